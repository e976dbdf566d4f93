"""Follows the list of upstreams in the store."""

import asyncio
import logging
from collections.abc import Sequence
from typing import Final

from result import Err

from goldcreststair.clock import Millis
from goldcreststair.components.catalogue.models import CATALOGUE, Catalogue
from goldcreststair.components.discovery.const import CONFIRM_TIMEOUT_MS, LIST_CURRENT_MS
from goldcreststair.components.discovery.controller import DiscoveryController
from goldcreststair.components.discovery.models import LIVE_UPSTREAMS, LiveUpstreams, UpstreamEntry
from goldcreststair.components.fleet.protocols import FLEET_LINKS
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.store.feed import TableFeed
from goldcreststair.store.rows import StoredRow, Version

_LOGGER = logging.getLogger(__name__)

EXPIRY_CHECK_MS: Final = 250


class DiscoveryService:
    """Publishes the live upstreams on the blackboard."""

    def __init__(self, core: GatewayCore) -> None:
        """Create the service; nothing is read yet."""
        self._core = core
        self._reader = core.adapter.upstream_reader
        self._controller = DiscoveryController(core.clock)
        self._section = core.blackboard.open_section(LIVE_UPSTREAMS, LiveUpstreams())
        self._links = core.get(FLEET_LINKS)
        self._feed = TableFeed(
            core.adapter.store, core.clock, self._reader.table, self, with_snapshot=True
        )
        self._confirmed_at = Millis(0)
        self._followed_since = Millis(0)
        self._has_expired_entries = asyncio.Event()
        self._expiry_task: asyncio.Task[None] | None = None
        self._confirming: asyncio.Task[bool] | None = None
        """A call that the store has not answered yet."""
        self._confirming_next: asyncio.Task[bool] | None = None
        """The one after it, not sent yet."""
        self._resuming: asyncio.Task[bool] | None = None
        core.blackboard.subscribe(CATALOGUE, self._on_catalogue)
        core.on_process_resumed.append(lambda _: self._on_resumed())

    async def async_start(self) -> None:
        """Start to follow the list and to expire entries."""
        await self._feed.async_start()
        self._expiry_task = asyncio.create_task(self._async_expire_forever())

    async def async_close(self) -> None:
        """Stop following the list."""
        await self._feed.async_close()
        tasks = (self._expiry_task, self._confirming, self._confirming_next, self._resuming)
        running = [task for task in tasks if task is not None]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        self._expiry_task = None

    def replace_all(self, rows: Sequence[StoredRow], version: Version) -> None:
        """Replace the list by all entries in the store."""
        decoded = {row.key.key: self._decode(row) for row in rows}
        entries = [entry for entry in decoded.values() if entry is not None]
        unreadable = [name for name, entry in decoded.items() if entry is None]
        self._controller.replace_all(entries, unreadable)
        self._followed_since = self._core.clock.now()
        self._publish()

    def apply_changes(self, rows: Sequence[StoredRow]) -> None:
        """Apply changed entries."""
        known = {row.key.key for row in rows if self._controller.has_entry(row.key.key)}
        for row in rows:
            if row.deleted:
                if row.key.key not in known:
                    # It came and went without being published.
                    self._followed_since = self._core.clock.now()
                self._controller.remove(row.key.key)
            elif (entry := self._decode(row)) is not None:
                self._controller.put(entry)
        self._publish()

    def _on_catalogue(self, catalogue: Catalogue) -> None:
        if catalogue.version:
            self._controller.set_services(catalogue.services.keys())
            self._publish()

    def record_contact(self, *, reached: bool) -> None:
        """Record whether the store answered."""
        self._controller.record_contact(reached=reached)
        if reached:
            now = self._core.clock.now()
            if not self._is_current():
                self._followed_since = now
            self._confirmed_at = now
            self._links.record_store_contact()

    def read_confirmed_at(self) -> Millis:
        """Return the time up to which the store has confirmed that the list is complete."""
        # What a process handles first after a pause may be a run that ended, before any tick.
        self._links.check_paused()
        return self._feed.read_complete_at()

    def read_followed_since(self) -> Millis:
        """Return since when no change of the list can have been missed."""
        return self._followed_since

    def _is_current(self) -> bool:
        return self._core.clock.now() - self._confirmed_at <= LIST_CURRENT_MS

    def _on_resumed(self) -> None:
        self._resuming = asyncio.create_task(self.async_confirm())

    async def async_confirm(self) -> bool:
        """Bring the list up to the moment of this call; returns whether the store answered in time."""
        if self._core.store_contact.is_unavailable():
            return False
        # A call that was sent before this moment proves nothing. Those who come while it is under way
        # share the one after it.
        if self._confirming_next is None:
            self._confirming_next = asyncio.create_task(self._async_confirm_next(self._confirming))
        confirming = self._confirming_next
        timeout_s = CONFIRM_TIMEOUT_MS / MS_PER_SECOND
        done, _ = await asyncio.wait({confirming}, timeout=timeout_s)
        return bool(done) and not confirming.cancelled() and confirming.result()

    async def _async_confirm_next(self, before: asyncio.Task[bool] | None) -> bool:
        if before is not None:
            await asyncio.wait({before})
        self._confirming, self._confirming_next = self._confirming_next, None
        return await self._feed.async_catch_up()

    def _decode(self, row: StoredRow) -> UpstreamEntry | None:
        decoded = self._reader.decode(row.key.key, row.value)
        if isinstance(decoded, Err):
            error = decoded.err_value
            extra = {"upstream": row.key.key, "field": error.field, "row_version": row.version}
            _LOGGER.warning("Upstream entry invalid: %s", error.message, extra=extra)
            return None
        return decoded.ok_value

    async def _async_expire_forever(self) -> None:
        while True:
            await self._has_expired_entries.wait()
            await self._core.clock.async_sleep(EXPIRY_CHECK_MS)
            self._controller.expire()
            self._publish()

    def _publish(self) -> None:
        if self._controller.has_expired():
            self._has_expired_entries.set()
        else:
            self._has_expired_entries.clear()
        before = self._core.blackboard.read(LIVE_UPSTREAMS)
        after = self._controller.read()
        if after == before:
            return
        if not before.known:
            # One line for all upstreams: a line each, on hundreds of daemons that start together,
            # would flood the logs.
            serving = {n: entry for n, entry in after.by_name.items() if not entry.draining}
            slots = {name: entry.slots for name, entry in serving.items()}
            versions = {name: entry.software_version for name, entry in serving.items()}
            extra = {"slots_by_upstream": slots, "software_by_upstream": versions}
            _LOGGER.info("Upstreams known", extra=extra)
        else:
            for name in after.by_name.keys() | before.by_name.keys():
                _log_change(before, after, name)
        self._section.write(after)


def _log_change(before: LiveUpstreams, after: LiveUpstreams, name: str) -> None:
    old, new = before.by_name.get(name), after.by_name.get(name)
    if old == new and (name in before.expired) == (name in after.expired):
        return
    if new is None:
        _LOGGER.info("Upstream gone", extra={"upstream": name})
        return
    extra = {
        "upstream": name,
        "service": new.service,
        "address": new.address,
        "slots": new.slots,
        "draining": new.draining,
        "lapsed": name in after.expired,
        "cold_ms": new.cold_ms,
        "software": new.software_version,
    }
    _LOGGER.info("Upstream changed", extra=extra)
