"""Crashes and answers in beacons and digests, also of daemons that do not know how far answers had got."""

import pytest

from goldcreststair.components.crash_marks.codec import (
    decode_answers,
    decode_report,
    encode_answers,
    encode_report,
)
from goldcreststair.components.fleet.digests import _DigestBuilder
from goldcreststair.helpers.crash_evidence import WHOLE, Answers, CrashReport, Extent
from goldcreststair.wire.generated.gateway.ttypes import Beacon

ONE, TWO, THREE = b"suspect1", b"suspect2", b"suspect3"
LATE = Extent(3_000, 99)


@pytest.mark.parametrize(
    "report",
    [
        CrashReport(b"crash", 1, frozenset((ONE,))),
        CrashReport(b"crash", 1, frozenset((ONE,)), frozenset((TWO, THREE)), 5, 3, {TWO: 2}),
        CrashReport(b"crash", 1, frozenset((ONE,)), frozenset((TWO, THREE)), extents={THREE: LATE}),
    ],
)
def test_a_report_is_read_as_it_was_written(report: CrashReport) -> None:
    """Where in the answers a crash came was lost between daemons, so that others acquitted its request."""
    read = decode_report(encode_report(report, report.age_ms))
    assert (read.suspects, read.begun, read.elsewhere) == (
        report.suspects,
        report.begun,
        report.elsewhere,
    )
    for suspect in report.begun:
        assert read.extents[suspect] == report.extents.get(suspect, Extent())


def test_a_report_without_extents_is_read() -> None:
    raw = encode_report(CrashReport(b"crash", 1, frozenset(), frozenset((ONE,))), 0)
    raw.begun_ms = raw.begun_events = None
    assert decode_report(raw).extents == {}


@pytest.mark.parametrize("extents", [{}, {ONE: LATE}, {ONE: LATE, TWO: Extent(1_500, 40)}])
def test_answers_are_read_as_they_were_written(extents: dict[bytes, Extent]) -> None:
    answers = Answers(7, {ONE: 10, TWO: 20}, extents)
    assert decode_answers(encode_answers(answers)) == answers


@pytest.mark.parametrize(
    ("answers", "age_ms", "extent"),
    [
        ([(300, LATE), (500, WHOLE)], 500, WHOLE),
        ([(500, WHOLE), (300, WHOLE)], 300, WHOLE),
        ([(300, LATE), (200, Extent(1_500, 40))], 200, Extent(1_500, 40)),
    ],
)
def test_a_digest_keeps_the_answer_that_says_most(
    answers: list[tuple[int, Extent]], age_ms: int, extent: Extent
) -> None:
    """A whole answer was displaced by a younger one that is still in progress."""
    builder = _DigestBuilder()
    for age, reached in answers:
        extents = {} if reached == WHOLE else {ONE: reached}
        raw = encode_answers(Answers(7, {ONE: age}, extents))
        builder.add(Beacon("s", 1, 1, 1, answered=[raw]))
    (found,) = builder.build("s", 1, "dc", {}).answered
    read = decode_answers(found)
    assert (read.ages_ms[ONE], read.extents.get(ONE, WHOLE)) == (age_ms, extent)
