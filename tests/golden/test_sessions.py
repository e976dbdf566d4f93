"""Sessions with real processes, compared byte for byte."""

from collections.abc import Iterator

import pytest

from standins.demo.fleet import Fleet
from tests.golden.session import Session
from tests.golden.worlds import DESIGNERS, OPERATOR, start_fleet

BLURB = {
    "model": "small",
    "max_tokens": 4,
    "messages": [{"role": "user", "content": "draft a portfolio blurb"}],
}


@pytest.fixture(name="fleet")
def create_fleet() -> Iterator[Fleet]:
    with start_fleet() as fleet:
        yield fleet


def test_online_session(fleet: Fleet) -> None:
    session = Session(fleet)
    session.call("designers", "GET", "/v1/models", headers=DESIGNERS)
    session.call("designers", "POST", "/v1/chat/completions", BLURB, DESIGNERS)
    session.call("designers", "POST", "/v1/chat/completions", {**BLURB, "stream": True}, DESIGNERS)
    session.call("designers", "POST", "/v1/chat/completions", {**BLURB, "model": "no"}, DESIGNERS)
    session.call("designers", "POST", "/v1/chat/completions", {"model": "small"}, DESIGNERS)
    session.call("designers", "POST", "/v1/chat/completions", b"{", DESIGNERS)
    session.call("stranger", "POST", "/v1/chat/completions", BLURB)
    session.compare("online")


def test_stale_patch_session(fleet: Fleet) -> None:
    session = Session(fleet)
    path = "/operator/configuration"
    slower = {"customers": {"designers": {"rate_per_s": 20}}}
    first = {"base_version": 1, "patch_id": "p1", "patch": slower}
    session.call("operator 1", "PATCH", path, first, OPERATOR)
    session.call("operator 2", "PATCH", path, {**first, "patch_id": "p2"}, OPERATOR)
    session.note("operator 1's answer was lost; the same patch id comes again")
    session.call("operator 1", "PATCH", path, first, OPERATOR)
    wrong = {"customers": {"designers": {"rate_per_s": -1}}}
    bad = {"base_version": 2, "patch_id": "p3", "patch": wrong}
    session.call("operator 2", "PATCH", path, bad, OPERATOR)
    session.call("stranger", "PATCH", path, first)
    session.compare("stale_patch")
