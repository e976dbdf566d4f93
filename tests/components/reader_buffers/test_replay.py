"""Replay of hundreds of readers at 1 KB/s beside normal ones, with the feature on and off."""

import asyncio

import pytest

from goldcreststair.components.reader_buffers.controller import compute_daemon_bytes
from tests.components.reader_buffers.replay import (
    EVENTS,
    PacedResponder,
    Readers,
    run_readers,
)

NORMAL_RATE = 1_000_000.0
SLOW, NORMAL = 300, 60


async def async_serve_all(
    readers: Readers, event: bytes
) -> tuple[list[PacedResponder], list[PacedResponder]]:
    """Serve slow readers, of which every third may not resume, beside normal ones."""
    clock = readers.fleet.clock
    slow = [PacedResponder(clock) for _ in range(SLOW)]
    normal = [PacedResponder(clock, rate=NORMAL_RATE) for _ in range(NORMAL)]
    async with asyncio.TaskGroup() as group:
        for number, caller in enumerate(slow):
            group.create_task(readers.async_serve(caller, event, number % 3 > 0))
        for start in range(0, NORMAL, 20):
            for caller in normal[start : start + 20]:
                group.create_task(readers.async_serve(caller, event))
            await clock.async_sleep(1_000)
    return slow, normal


@pytest.mark.parametrize("active", [True, False])
def test_slow_readers_get_their_answers_beside_normal_ones(active: bool) -> None:
    """Guards against upstreams that cut the answers of slow readers because they are not read."""
    event = b"x" * 600

    async def scenario(readers: Readers) -> None:
        slow, normal = await async_serve_all(readers, event)
        assert all(caller.whole and caller.body == event * EVENTS for caller in normal)
        assert all(after.event_times[-1] - after.event_times[0] == 665 for after in normal)
        if active:
            assert all(caller.whole and caller.body == event * EVENTS for caller in slow)
            assert 0 < readers.peak_bytes <= SLOW * len(event) * EVENTS
        else:
            assert all(caller.aborted and not caller.whole for caller in slow)
            assert readers.peak_bytes == 0

    run_readers(scenario, active=active)


def test_memory_stays_within_the_daemons_bound() -> None:
    """Guards against memory that grows with the number of slow readers until the daemon is killed.

    The slow readers would hold 18 MB. Streams that may be resumed are shed before others, and a shed
    stream does not look complete.
    """
    event = b"x" * 3_000

    async def scenario(readers: Readers) -> None:
        slow, normal = await async_serve_all(readers, event)
        assert all(caller.whole for caller in normal)
        assert readers.peak_bytes <= compute_daemon_bytes(64)
        shed = [caller for caller in slow if caller.aborted]
        assert 100 < len(shed) < 200
        assert not any(caller.whole for caller in shed)
        assert not any(caller.aborted for caller in slow[::3])
        assert all(caller.body == event * EVENTS for caller in slow if not caller.aborted)
        page = readers.service._core.meters.render().decode()
        assert f"goldcreststair_readers_shed_total {len(shed)}.0" in page

    run_readers(scenario, memory_mb=64)
