"""Runs tests on an in-process fleet of daemons."""

from collections.abc import Awaitable, Callable

from goldcreststair.clock import LoopClock
from standins.daemons import FakeDaemons
from standins.network import FakeNetwork
from standins.platform.store import FakePlatform
from tests.helpers.virtual_time import run_virtual


def run_fleet(async_test: Callable[[FakeDaemons], Awaitable[None]]) -> None:
    """Run a test on an empty fleet and close the fleet."""

    async def async_run() -> None:
        clock = LoopClock()
        fleet = FakeDaemons(clock, FakePlatform(clock), FakeNetwork(clock))
        try:
            await async_test(fleet)
        finally:
            await fleet.async_close()

    run_virtual(async_run())


def share_platform(fleet: FakeDaemons) -> FakePlatform:
    """Return a second platform on the same rows as the fleet's, with its own faults."""
    store = fleet.platform
    other = FakePlatform(fleet.clock, rows=store.rows)
    other._keys = store._keys
    return other
