"""Answers address questions and readiness checks, and lets this daemon leave."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final, Protocol

from goldcreststair.clock import Millis
from goldcreststair.components.catalogue.models import CATALOGUE
from goldcreststair.components.catalogue.regions import find_host_regions
from goldcreststair.components.discovery.models import LIVE_UPSTREAMS
from goldcreststair.components.entry.addresses import choose_addresses
from goldcreststair.components.fleet.models import FLEET, OWN_STATE, OwnState, VmState
from goldcreststair.components.fleet.protocols import FLEET_LINKS
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.core import ComponentKey
from goldcreststair.gateway_core import GatewayCore

_LOGGER = logging.getLogger(__name__)

READY_CHECK_MS: Final = 250
"""How often this daemon looks whether it is cut off; news of other kinds come by themselves."""
ACCEPT_SHARE: Final = 0.55
"""Part of the grace in which a leaving daemon still accepts connections: callers keep an answer for
up to three times its lifetime, and would meet a closed port."""
END_SHARE: Final = 0.9
"""Part of the grace after which a leaving daemon ends, whatever still runs."""
DRAIN_CHECK_MS: Final = 50
START_WAIT_MS: Final = 300
"""Longest time that a daemon which has just started leaves its first callers waiting."""
START_LOOK_MS: Final = 5
KEPT_LIFETIMES: Final = 3
"""Callers keep an answer for up to so many of its lifetimes."""


class LeaveHandler(Protocol):
    """Work that a leaving daemon has to bring to its end or hand over."""

    def begin_leave(self) -> None:
        """Take no new work of its own."""

    def count_running(self) -> int:
        """Return how much is not at its end."""

    def stop_accepting(self) -> None:
        """Accept no new connections."""

    def end(self) -> None:
        """Begin nothing more, and end what still runs; the leave is over."""


class EntryService:
    """The daemon's face towards callers that look for a VM."""

    def __init__(self, core: GatewayCore) -> None:
        """Start as not ready."""
        self._core = core
        self._section = core.blackboard.open_section(OWN_STATE, OwnState())
        self._links = core.get(FLEET_LINKS)
        self._leavers: list[LeaveHandler] = []
        self._left = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._unsubscribe: list[Callable[[], None]] = []

    async def async_start(self) -> None:
        """Become ready once there is what requests need."""
        board = self._core.blackboard
        self._unsubscribe = [
            board.subscribe(CATALOGUE, lambda _: self._update()),
            board.subscribe(LIVE_UPSTREAMS, lambda _: self._update()),
        ]
        self._tasks.append(asyncio.create_task(self._async_check()))

    async def async_close(self) -> None:
        """Stop."""
        for unsubscribe in self._unsubscribe:
            unsubscribe()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    def add_leave_handler(self, leaver: LeaveHandler) -> None:
        """Let a leave wait for this work."""
        self._leavers.append(leaver)

    @property
    def leaving(self) -> bool:
        """Whether this daemon leaves."""
        return self._core.blackboard.read(OWN_STATE).state is VmState.LEAVING

    def is_ready(self) -> bool:
        """Return whether callers may be sent here."""
        return self._core.blackboard.read(OWN_STATE).state is VmState.READY

    async def async_await_ready(self) -> None:
        """Return once callers may be sent here, or after a short while.

        Callers who came while the daemon was loaded would else be refused for the few ms that its
        first reads of the store take.
        """
        ends_at = self._core.clock.now() + START_WAIT_MS
        while not (self.is_ready() or self.leaving) and self._core.clock.now() < ends_at:
            await self._core.clock.async_sleep(START_LOOK_MS)

    def list_addresses(self, data_centre: str, region: str, host: str = "") -> list[str]:
        """Return the addresses for a caller of a host; empty if no VM is known to be ready."""
        ready = self._core.blackboard.read(FLEET).list_ready()
        allowed = find_host_regions(self._core.blackboard.read(CATALOGUE), host)
        return choose_addresses(ready, data_centre, region, self._core.random, allowed)

    def leave(self) -> None:
        """Begin a graceful shutdown; asking again changes nothing."""
        if self.leaving:
            return
        _LOGGER.info("Leaving", extra={"session": self._core.session_id})
        began_at = self._core.clock.now()
        ends_at = Millis(began_at + int(self._grace_ms * END_SHARE))
        kept_ms = self._core.settings.answer_ttl_s * MS_PER_SECOND * KEPT_LIFETIMES
        self._section.write(OwnState(VmState.LEAVING, ends_at, Millis(began_at + kept_ms)))
        self._tasks.append(asyncio.create_task(self._async_leave(began_at, ends_at)))

    async def async_wait(self) -> None:
        """Return when this daemon has left."""
        await self._left.wait()

    @property
    def _grace_ms(self) -> float:
        return self._core.settings.grace_s * MS_PER_SECOND

    async def _async_leave(self, began_at: Millis, ends_at: Millis) -> None:
        for leaver in self._leavers:
            leaver.begin_leave()
        await self._core.clock.async_sleep(int(self._grace_ms * ACCEPT_SHARE))
        for leaver in self._leavers:
            leaver.stop_accepting()
        while self._count_running() and self._core.clock.now() < ends_at:
            await self._core.clock.async_sleep(DRAIN_CHECK_MS)
        cut = self._count_running()
        for leaver in self._leavers:
            leaver.end()
        level = logging.WARNING if cut else logging.INFO
        _LOGGER.log(
            level, "Left", extra={"cut": cut, "after_ms": self._core.clock.now() - began_at}
        )
        self._left.set()

    def _count_running(self) -> int:
        return sum(leaver.count_running() for leaver in self._leavers)

    async def _async_check(self) -> None:
        while True:
            self._update()
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


ENTRY: Final = ComponentKey[EntryService]("entry")
