"""Service for address lookups, readiness checks and the graceful shutdown of this daemon."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final, Protocol

from goldcreststair.clock import Millis
from goldcreststair.components.catalogue.models import CATALOGUE
from goldcreststair.components.catalogue.regions import find_host_regions
from goldcreststair.components.discovery.models import LIVE_UPSTREAMS
from goldcreststair.components.entry.addresses import choose_addresses
from goldcreststair.components.entry.opening import AdmissionOpening
from goldcreststair.components.features.protocols import FEATURES
from goldcreststair.components.fleet.models import FLEET, OWN_STATE, Fleet, OwnState, VmState
from goldcreststair.components.fleet.protocols import FLEET_LINKS
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.core import ComponentKey
from goldcreststair.features import Feature
from goldcreststair.gateway_core import GatewayCore

_LOGGER = logging.getLogger(__name__)

READY_CHECK_MS: Final = 250
"""Interval of the isolation check; other changes arrive through subscriptions."""
ACCEPT_FRACTION: Final = 0.55
"""Fraction of the grace period in which a leaving daemon still accepts connections: callers cache an
address for up to three times its lifetime and would otherwise find a closed port."""
END_RESERVE_MS: Final = 400
"""Part of the grace period in which a leaving daemon flushes its last answers and ends its process."""
MAX_RESERVE_FRACTION: Final = 0.1
"""Largest fraction of the grace period that is reserved for this."""
DRAIN_CHECK_MS: Final = 50
START_WAIT_MS: Final = 300
"""Longest time that a daemon which has just started keeps its first callers waiting."""
START_POLL_MS: Final = 5
CACHED_LIFETIMES: Final = 3
"""Callers cache an address lookup for up to this many of its lifetimes."""


def compute_serving_ms(grace_ms: float) -> int:
    """Return the time in ms from the begin of a leave until it ends, whatever still runs.

    >>> compute_serving_ms(8_000), compute_serving_ms(1_000)
    (7600, 900)
    """
    return int(grace_ms - min(END_RESERVE_MS, grace_ms * MAX_RESERVE_FRACTION))


class LeaveHandler(Protocol):
    """Work that a leaving daemon has to finish or hand over."""

    def begin_leave(self) -> None:
        """Start no new work of its own."""

    def count_running(self) -> int:
        """Return the number of unfinished pieces of work."""

    def stop_accepting(self) -> None:
        """Accept no new connections."""

    def end(self) -> None:
        """Start nothing more and end what still runs; the leave is over."""


class EntryService:
    """Looks up VM addresses for callers; manages the readiness and the leave of this daemon."""

    def __init__(self, core: GatewayCore) -> None:
        """Publish this daemon as not ready."""
        self._core = core
        self._section = core.blackboard.open_section(OWN_STATE, OwnState())
        self._links = core.get(FLEET_LINKS)
        self.opening = AdmissionOpening(core.clock, core.random)
        self._leave_handlers: list[LeaveHandler] = []
        self._left = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._unsubscribe: list[Callable[[], None]] = []

    async def async_start(self) -> None:
        """Start to update the readiness of this daemon."""
        board = self._core.blackboard
        self._unsubscribe = [
            board.subscribe(CATALOGUE, lambda _: self._update()),
            board.subscribe(LIVE_UPSTREAMS, lambda _: self._update()),
            board.subscribe(FLEET, lambda _: self._update_opening()),
        ]
        self._tasks.append(asyncio.create_task(self._async_check()))

    async def async_close(self) -> None:
        """Stop updating the readiness, and cancel a leave in progress."""
        for unsubscribe in self._unsubscribe:
            unsubscribe()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    def add_leave_handler(self, handler: LeaveHandler) -> None:
        """Register work that a leave waits for."""
        self._leave_handlers.append(handler)

    @property
    def leaving(self) -> bool:
        """Whether this daemon is leaving."""
        return self._core.blackboard.read(OWN_STATE).state is VmState.LEAVING

    def is_ready(self) -> bool:
        """Return whether callers may be sent here."""
        return self._core.blackboard.read(OWN_STATE).state is VmState.READY

    async def async_await_ready(self) -> None:
        """Return once callers may be sent here, or after `START_WAIT_MS`.

        Callers that connect while the daemon starts would otherwise be refused during the few ms that
        its first reads of the store take.
        """
        ends_at = self._core.clock.now() + START_WAIT_MS
        while not (self.is_ready() or self.leaving) and self._core.clock.now() < ends_at:
            await self._core.clock.async_sleep(START_POLL_MS)

    def list_addresses(self, data_centre: str, region: str, host: str = "") -> list[str]:
        """Return the addresses for a caller that requests `host`; empty if no VM is known to be ready."""
        ready = self._core.blackboard.read(FLEET).list_ready()
        allowed = find_host_regions(self._core.blackboard.read(CATALOGUE), host)
        return choose_addresses(ready, data_centre, region, self._core.random, allowed)

    def leave(self) -> None:
        """Begin a graceful shutdown; further calls have no effect."""
        if self.leaving:
            return
        _LOGGER.info("Leaving", extra={"session": self._core.session_id})
        began_at = self._core.clock.now()
        ends_at = Millis(began_at + compute_serving_ms(self._grace_ms))
        cached_ms = self._core.settings.answer_ttl_s * MS_PER_SECOND * CACHED_LIFETIMES
        advertised_until = Millis(began_at + cached_ms)
        self._section.write(OwnState(VmState.LEAVING, began_at, ends_at, advertised_until))
        self._tasks.append(asyncio.create_task(self._async_leave(began_at, ends_at)))

    async def async_wait(self) -> None:
        """Wait until this daemon has left."""
        await self._left.wait()

    @property
    def _grace_ms(self) -> float:
        return self._core.settings.grace_s * MS_PER_SECOND

    async def _async_leave(self, began_at: Millis, ends_at: Millis) -> None:
        for handler in self._leave_handlers:
            handler.begin_leave()
        await self._core.clock.async_sleep(int(self._grace_ms * ACCEPT_FRACTION))
        # A process that stood still wakes up for its timers before it accepts and reads what has arrived
        # meanwhile, and only what was read counts as running.
        await self._core.clock.async_sleep(DRAIN_CHECK_MS)
        for handler in self._leave_handlers:
            handler.stop_accepting()
        await self._core.clock.async_sleep(DRAIN_CHECK_MS)
        while self._count_running() and self._core.clock.now() < ends_at:
            await self._core.clock.async_sleep(DRAIN_CHECK_MS)
        cut = self._count_running()
        for handler in self._leave_handlers:
            handler.end()
        level = logging.WARNING if cut else logging.INFO
        _LOGGER.log(
            level, "Left", extra={"cut": cut, "after_ms": self._core.clock.now() - began_at}
        )
        self._left.set()

    def _count_running(self) -> int:
        return sum(handler.count_running() for handler in self._leave_handlers)

    async def _async_check(self) -> None:
        while True:
            self._update()
            self._update_opening()
            await self._core.clock.async_sleep(READY_CHECK_MS)

    def _update(self) -> None:
        if self.leaving:
            return
        board = self._core.blackboard
        known = board.read(CATALOGUE).version > 0 and board.read(LIVE_UPSTREAMS).known
        ready = known and not self._links.is_isolated()
        state = VmState.READY if ready else VmState.STARTING
        if board.read(OWN_STATE).state is not state:
            _LOGGER.info("Readiness changed", extra={"ready": ready})
            self._section.write(OwnState(state))

    def _update_opening(self) -> None:
        """Open admission once the runs of the other daemons are known."""
        board = self._core.blackboard
        fleet: Fleet = board.read(FLEET)
        members = len(fleet.vms) - len(fleet.lost) + fleet.unlisted
        opened = self.opening.apply_fleet(fleet.responsive, members, loaded=fleet.loaded)
        if opened and self._core.get(FEATURES).is_active_anywhere(Feature.FLEET_RETURN):
            known = {
                "catalogue": board.read(CATALOGUE).version,
                "upstreams": len(board.read(LIVE_UPSTREAMS).by_name),
                "sessions_loaded": fleet.loaded,
                "daemons": members,
                "heard": fleet.responsive,
            }
            _LOGGER.info("Admission open", extra=known | {"after_ms": self.opening.age_ms})


ENTRY: Final = ComponentKey[EntryService]("entry")
