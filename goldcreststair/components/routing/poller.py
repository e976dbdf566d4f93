"""Reads load reports and cache events at a bounded rate, and tracks the list of VMs."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from result import Err

from goldcreststair.components.listing.models import LEAVING_ADDRESSES, LeavingAddresses
from goldcreststair.components.routing.const import (
    EVENT_PERIOD_POLLS,
    MAX_POLLS_PER_S,
    POLL_PERIOD_MS,
)
from goldcreststair.components.routing.controller import AffinityRouter
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.core import Core
from goldcreststair.upstreams.models import Upstream, UpstreamKind

_LOGGER = logging.getLogger(__name__)


class UpstreamPoller:
    """Updates the router from the reports of upstreams and the platform's list of VMs."""

    def __init__(self, core: Core, router: AffinityRouter) -> None:
        """Use `router`; nothing runs yet."""
        self._core = core
        self._router = router
        self._tasks: list[asyncio.Task[None]] = []
        self._polls = 0
        self._unsubscribe: Callable[[], None] = lambda: None

    async def async_start(self) -> None:
        """Start polling and subscribe to the platform's list."""
        board = self._core.blackboard
        self._unsubscribe = board.subscribe(LEAVING_ADDRESSES, self._on_leaving)
        known = board.find(LEAVING_ADDRESSES)
        if known is not None:
            self._on_leaving(known)
        self._tasks = [
            asyncio.create_task(self._async_repeat(self.async_poll_upstreams, POLL_PERIOD_MS)),
        ]

    async def async_close(self) -> None:
        """Stop polling."""
        self._unsubscribe()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    async def async_poll_upstreams(self) -> None:
        """Poll each upstream once, at `MAX_POLLS_PER_S` at most."""
        self._polls += 1
        upstreams = [u for u in self._router.list_used() if u.kind is UpstreamKind.ENGINE]
        size = max(1, MAX_POLLS_PER_S // 2)
        for start in range(0, len(upstreams), size):
            if start:
                await self._core.clock.async_sleep(size * MS_PER_SECOND // MAX_POLLS_PER_S)
            batch = upstreams[start : start + size]
            await asyncio.gather(*(self._async_poll(upstream) for upstream in batch))

    def _on_leaving(self, leaving: LeavingAddresses) -> None:
        self._router.set_leaving_addresses(leaving.addresses)

    async def _async_poll(self, upstream: Upstream) -> None:
        engines = self._core.upstreams.engines
        report = await engines.async_read_load(upstream)
        if isinstance(report, Err):
            self._router.loads.discard_report(upstream.name)
            return
        self._router.loads.apply_report(upstream.name, report.ok_value)
        if self._polls % EVENT_PERIOD_POLLS:
            return
        after = self._router.prefix_cache.read_sequence(upstream.name)
        events = await engines.async_read_cache_events(upstream, after)
        if not isinstance(events, Err):
            self._router.prefix_cache.apply_events(upstream.name, events.ok_value)

    async def _async_repeat(self, poll: Callable[[], Awaitable[None]], period_ms: int) -> None:
        while True:
            try:
                await poll()
            except Exception:
                # A malformed response of one upstream must not stop the polling of all others.
                _LOGGER.exception("Polling upstreams failed")
            jitter = self._core.random.uniform(0.8, 1.2)
            await self._core.clock.async_sleep(int(period_ms * jitter))
