"""Polls the platform's list of VMs and announces leaving VMs to the other daemons."""

import asyncio
import logging

from result import Err

from goldcreststair.components.listing.const import (
    ANNOUNCEMENT_LIFETIME_MS,
    MIN_PERIOD_MS,
    SET_LEAVING,
)
from goldcreststair.components.listing.controller import (
    LeavingTracker,
    choose_poll_delay,
    make_announcement,
)
from goldcreststair.components.listing.models import (
    LEAVING_ADDRESSES,
    OWN_LISTING,
    LeavingAddresses,
    OwnListing,
)
from goldcreststair.components.membership.models import MEMBERS
from goldcreststair.components.membership.protocols import SHARED_SETS
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.core import Core
from goldcreststair.store.models import ListedState, ListedVm

_LOGGER = logging.getLogger(__name__)


class ListWatcher:
    """Publishes `LEAVING_ADDRESSES` and `OWN_LISTING` on the blackboard."""

    def __init__(self, core: Core) -> None:
        """Create the watcher; nothing is read yet."""
        self._core = core
        self._tracker = LeavingTracker()
        self._sets = core.find(SHARED_SETS)
        self._leaving = core.blackboard.open_section(LEAVING_ADDRESSES, LeavingAddresses())
        self._own = core.blackboard.open_section(OWN_LISTING, OwnListing())
        self._read_requested = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Start to poll the list, with a first read at once."""
        if self._sets is not None:
            self._sets.watch(SET_LEAVING, self._on_announcement)
        self._task = asyncio.create_task(self._async_run())

    async def async_close(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()

    async def _async_run(self) -> None:
        while True:
            try:
                await self._async_read()
            except Exception:
                # A list that cannot be parsed must not end the polling.
                _LOGGER.exception("Reading the list of VMs failed")
            self._publish()
            await self._async_wait()

    async def _async_wait(self) -> None:
        members = self._core.blackboard.find(MEMBERS)
        count = len(members.by_session) if members is not None else 1
        period_ms = choose_poll_delay(count, self._core.random.random())
        try:
            async with asyncio.timeout(period_ms / MS_PER_SECOND):
                await self._read_requested.wait()
        except TimeoutError:
            return
        self._read_requested.clear()
        await self._core.clock.async_sleep(MIN_PERIOD_MS)

    async def _async_read(self) -> None:
        listed = await self._core.platform.vm_list.async_list()
        if isinstance(listed, Err):
            return
        leaving = [vm.address for vm in listed.ok_value if vm.state is ListedState.LEAVING]
        self._tracker.apply_listing(leaving)
        self._update_own(listed.ok_value)
        utc_s = self._core.clock.read_utc_s()
        for address in leaving:
            if self._sets is not None:
                self._sets.add(
                    SET_LEAVING, make_announcement(address, utc_s), ANNOUNCEMENT_LIFETIME_MS
                )

    def _update_own(self, listed: tuple[ListedVm, ...]) -> None:
        own = self._core.settings.address
        state = next((vm.state for vm in listed if vm.address == own), None)
        reads = self._core.blackboard.read(OWN_LISTING).reads
        self._own.write(OwnListing(reads + 1, state))

    def _on_announcement(self, announcement: str) -> None:
        address = self._tracker.apply_announcement(announcement, self._core.clock.now())
        self._publish()
        # The announcement may refer to a VM that had this address before, so this VM reads the
        # list.
        if address == self._core.settings.address:
            self._read_requested.set()

    def _publish(self) -> None:
        leaving = self._tracker.list_leaving(self._core.clock.now())
        self._leaving.write(LeavingAddresses(leaving))
