"""Performs the graceful shutdown."""

import asyncio
import logging
from typing import Any

from goldcreststair.clock import Millis
from goldcreststair.components.configuration.models import CONFIGURATION, Configuration
from goldcreststair.components.listing.models import OWN_LISTING, OwnListing
from goldcreststair.components.membership.models import MemberState
from goldcreststair.components.membership.protocols import MEMBERSHIP
from goldcreststair.components.shutdown.const import (
    ADDRESS_LIFETIME_MS,
    HANDOVER_MS,
    HANDOVER_SHARE,
)
from goldcreststair.components.shutdown.controller import ListedStateFilter
from goldcreststair.components.shutdown.models import SHUTDOWN, LeaveReason, Shutdown
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.core import Core, Drainable
from goldcreststair.journal import Subject

_LOGGER = logging.getLogger(__name__)


class ShutdownService:
    """Implements `GracefulShutdown`."""

    def __init__(self, core: Core) -> None:
        """Open the blackboard section and subscribe to the configuration."""
        self._core = core
        self._listed_state = ListedStateFilter(core.clock.now())
        self._writer = core.blackboard.open_section(SHUTDOWN, Shutdown())
        self._unsubscribes = [core.blackboard.subscribe(CONFIGURATION, self._on_configuration)]
        self._finished = asyncio.Event()
        self._tasks: list[asyncio.Task[Any]] = []

    async def async_start(self) -> None:
        """Subscribe to the platform's list, and apply it and the configuration."""
        board = self._core.blackboard
        self._unsubscribes.append(board.subscribe(OWN_LISTING, self._on_listing))
        self._on_listing(board.find(OWN_LISTING) or OwnListing())
        configuration = board.find(CONFIGURATION)
        if configuration is not None:
            self._on_configuration(configuration)

    async def async_close(self) -> None:
        """Unsubscribe and cancel a shutdown in progress."""
        for unsubscribe in self._unsubscribes:
            unsubscribe()
        for task in self._tasks:
            task.cancel()

    def begin(self, reason: LeaveReason) -> None:
        """Begin to leave the fleet; does nothing if it has already begun."""
        if self._core.blackboard.read(SHUTDOWN).leaving:
            return
        _LOGGER.info("Leaving: %s", reason)
        self._core.journal.record(Subject.VM, self._core.settings.address, "leave", reason)
        drain_ms = self._core.settings.drain_ms
        began_at = self._core.clock.now()
        deadline = Millis(began_at + drain_ms)
        # For a while callers still connect to addresses that they got before. If the drain time is
        # too short for this and for the work in progress, each gets half of it.
        addresses_until = Millis(began_at + min(ADDRESS_LIFETIME_MS, drain_ms // 2))
        # Later components use earlier ones: requests have to end before the claims and partitions
        # that they commit to are handed over. A part of the time is reserved for the handover.
        requests_until = Millis(deadline - min(HANDOVER_MS, int(drain_ms * HANDOVER_SHARE)))
        self._writer.write(Shutdown(reason, addresses_until, requests_until))
        membership = self._core.find(MEMBERSHIP)
        if membership is not None:
            membership.set_state(MemberState.LEAVING)
        self._tasks.append(
            asyncio.create_task(self._async_leave(addresses_until, requests_until, deadline))
        )

    async def async_wait(self) -> None:
        """Wait until all work has ended."""
        await self._finished.wait()

    async def _async_leave(
        self, addresses_until: Millis, requests_until: Millis, deadline: Millis
    ) -> None:
        await self._core.clock.async_sleep(addresses_until - self._core.clock.now())
        drainables = list(self._core.drainables)
        for drainable in reversed(drainables[1:]):
            await self._async_drain(drainable, requests_until)
        for drainable in drainables[:1]:
            await self._async_drain(drainable, deadline)
        self._finished.set()

    async def _async_drain(self, drainable: Drainable, deadline: int) -> None:
        remaining_ms = max(0, deadline - self._core.clock.now())
        # A component that fails or hangs must not keep the others from draining.
        try:
            async with asyncio.timeout(remaining_ms / MS_PER_SECOND):
                await drainable.async_drain(deadline)
        except TimeoutError:
            _LOGGER.warning("%s was not drained in time", type(drainable).__name__)
        except Exception:
            _LOGGER.exception("Draining %s failed", type(drainable).__name__)

    def _on_configuration(self, configuration: Configuration) -> None:
        if self._core.settings.address in configuration.leaving_vms:
            self.begin(LeaveReason.CONFIGURED)

    def _on_listing(self, listing: OwnListing) -> None:
        if not listing.reads:
            return
        if self._listed_state.observe(listing.state, self._core.clock.now()):
            self.begin(LeaveReason.LISTED)
