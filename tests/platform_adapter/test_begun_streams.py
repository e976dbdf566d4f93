"""Streams of one attempt that end only with their engines or their deadlines."""

import copy
from typing import Any

import pytest

from tests.platform_adapter.local import CONFIG, LocalGateway, run_local
from tests.platform_adapter.wire_engine import EngineFault, make_event

PATH = "/once/x"
WHOLE = b"".join(make_event(number) for number in (1, 2, 3))
DEADLINE = {"Deadline-Ms": "5000"}
LONG_BODY = b"x" * 2_000_000
"""More than an engine receives without reading it."""


def make_config() -> dict[str, Any]:
    """Return a configuration in which long bodies are allowed."""
    config = copy.deepcopy(CONFIG)
    config["limits"]["max_body_bytes"] = len(LONG_BODY)
    return config


@pytest.mark.parametrize("fault", [EngineFault.STALLS_IN_FRAMING, EngineFault.READS_LATE])
def test_stream_of_a_slow_engine_is_not_cut(fault: EngineFault) -> None:
    """Guards against a stream of one attempt that is cut though its engine is still at work."""

    async def scenario(local: LocalGateway) -> None:
        local.engine.faults = [fault]
        answer = await local.async_call("POST", PATH, LONG_BODY, DEADLINE)
        assert (answer.status, answer.whole, answer.body) == (200, True, WHOLE)
        assert [len(seen.body) for seen in local.engine.seen] == [len(LONG_BODY)]

    run_local(scenario, make_config())
