"""Answers whose last write to a slow caller ends after the caller's deadline."""

import asyncio
from dataclasses import dataclass

import pytest
from result import Err, Ok, Result
from users_platform.dialect import PlatformDialect

from goldcreststair.clock import LoopClock
from goldcreststair.http_pool import ConnectionPool
from goldcreststair.upstreams.dialect import RunHead
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.runner import RunEnd, UpstreamRunner
from tests.platform_adapter.test_runner import WHOLE, make_call
from tests.platform_adapter.wire_engine import EngineFault, WireEngine

DEADLINE_MS = 500


@dataclass(slots=True)
class SlowSink:
    """A caller that takes `delay_s` for each part of an answer."""

    delay_s: float
    wants_chunks: bool = True
    held_bytes: int = 0
    is_broken: bool = False
    data: bytes = b""

    def drop_partial_event(self) -> None:
        pass

    def on_head(self, head: RunHead) -> None:
        """Ignore the head."""

    async def on_data(self, chunk: bytes) -> None:
        """Receive a part."""
        await asyncio.sleep(self.delay_s)
        self.data += chunk


async def async_run_slow(
    fault: EngineFault, delay_s: float, *, delivers_late: bool
) -> tuple[Result[RunEnd, UpstreamError], bytes]:
    """Return the end of a run to a slow caller, and what the caller received."""
    engine, pool = WireEngine(), ConnectionPool(LoopClock())
    await engine.async_start()
    engine.faults = [fault]
    sink = SlowSink(delay_s)
    call = make_call(deadline_ms=DEADLINE_MS, delivers_late=delivers_late)
    runner = UpstreamRunner(pool, PlatformDialect())
    try:
        return await runner.async_run(engine.address, call, sink), sink.data
    finally:
        pool.close()
        await engine.async_close()


@pytest.mark.parametrize(
    ("fault", "delay_s", "delivers_late", "delivered"),
    [
        (EngineFault.NONE, 0.6, True, True),
        (EngineFault.NONE, 0.6, False, False),
        (EngineFault.NONE, 1.6, True, False),
        (EngineFault.SILENT, 0.0, True, False),
    ],
)
def test_a_complete_answer_is_delivered_after_the_deadline(
    fault: EngineFault, delay_s: float, delivers_late: bool, delivered: bool
) -> None:
    """A whole answer was cut because its caller's deadline passed during the last write.

    The deadline still ends a wait for the upstream, and a delivery that takes as long again.
    """
    end, data = asyncio.run(async_run_slow(fault, delay_s, delivers_late=delivers_late))
    if delivered:
        assert isinstance(end, Ok) and data == WHOLE
    else:
        assert isinstance(end, Err) and end.err_value.failure is UpstreamFailure.TIMEOUT
