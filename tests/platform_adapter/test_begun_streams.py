"""Streams of one attempt that end only with their engines or their deadlines."""

import pytest

from tests.platform_adapter.local import LocalGateway, run_local
from tests.platform_adapter.wire_engine import EngineFault, make_event

PATH = "/once/x"
WHOLE = b"".join(make_event(number) for number in (1, 2, 3))
DEADLINE = {"Deadline-Ms": "5000"}


@pytest.mark.parametrize("fault", [EngineFault.STALLS_IN_FRAMING])
def test_stream_of_a_slow_engine_is_not_cut(fault: EngineFault) -> None:
    """Guards against a stream of one attempt that is cut though its engine is still at work."""

    async def scenario(local: LocalGateway) -> None:
        local.engine.faults = [fault]
        answer = await local.async_call("POST", PATH, headers=DEADLINE)
        assert (answer.status, answer.whole, answer.body) == (200, True, WHOLE)

    run_local(scenario)
