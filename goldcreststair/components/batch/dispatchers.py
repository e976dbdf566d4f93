"""Dispatchers of the upstreams this VM owns, with their hints, assignments and leases."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from result import Err

from goldcreststair.clock import Millis
from goldcreststair.components.batch.allowance import AllowanceController, AllowanceParameters
from goldcreststair.components.batch.const import (
    ADVERT_LIFETIME_MS,
    LOAD_REPORT_MS,
    RENEW_MS,
    RETURN_MS,
    TICK_MS,
)
from goldcreststair.components.batch.directory import Directory
from goldcreststair.components.batch.dispatcher import UpstreamDispatcher
from goldcreststair.components.batch.online_load import OnlineLoadReporter
from goldcreststair.components.batch.outbox import Outbox
from goldcreststair.components.configuration.models import CONFIGURATION
from goldcreststair.core import Core
from goldcreststair.online_pressure import OnlinePressure, UpstreamPressure
from goldcreststair.upstreams.models import Upstream, UpstreamKind
from goldcreststair.wire.generated.batch.ttypes import (
    BacklogAdvert,
    LotItem,
    LotRenewal,
    LotRequest,
    ReplyStatus,
)
from goldcreststair.wire.generated.online.ttypes import YieldHint

MakeAllowance = Callable[[], AllowanceController]


def make_upstream_key(name: str) -> str:
    """Return the key whose partition's owner runs the dispatcher of an upstream."""
    return f"upstream/{name}"


class Dispatchers:
    """All dispatchers of one VM; also the source of their items."""

    def __init__(
        self, core: Core, directory: Directory, make_allowance: MakeAllowance | None = None
    ) -> None:
        """Create without dispatchers; `make_allowance` replaces the default allowance."""
        self._core = core
        self._directory = directory
        self._make_allowance = make_allowance or (
            lambda: AllowanceController(core.clock, AllowanceParameters())
        )
        self._outbox = Outbox(core.clock, directory)
        self.by_name: dict[str, UpstreamDispatcher] = {}
        self._adverts: dict[tuple[str, str], tuple[int, Millis]] = {}
        """(model, owner) to the advertised items and the time of the advert."""
        self._next_load: dict[str, int] = {}
        self._reporters: dict[str, OnlineLoadReporter] = {}
        self._renewed_at = Millis(0)
        self._draining = False
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_close(self) -> None:
        """Stop all streams, send finished results once more, and close."""
        for dispatcher in self.by_name.values():
            await dispatcher.async_close()
        self.by_name.clear()
        await asyncio.gather(*(self._outbox.async_send(k) for k in self._outbox.list_unsent()))
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def async_drain(self, deadline_ms: int) -> None:
        """Let streams end and return the others early enough for results to be sent."""
        # Items that are not returned would stall until their leases expire, for 10 seconds.
        self._draining = True
        now = self._core.clock.now()
        stop_at = max(now, deadline_ms - min(RETURN_MS, (deadline_ms - now) // 2))
        await asyncio.gather(*(s.async_drain(stop_at) for s in self.by_name.values()))
        self.by_name.clear()
        while self._outbox.list_chunks() and self._core.clock.now() < deadline_ms:
            await asyncio.gather(*(self._outbox.async_send(k) for k in self._outbox.list_unsent()))
            await self._core.clock.async_sleep(TICK_MS)

    def tick(self) -> None:
        """Adapt to configuration and owned partitions, then tick each dispatcher."""
        configuration = self._core.blackboard.read(CONFIGURATION)
        desired = {
            name: upstream
            for name, upstream in configuration.upstreams.items()
            if upstream.kind is UpstreamKind.ENGINE
            and self._directory.owns(make_upstream_key(name))
        }
        if not self._draining:
            self._update_dispatchers(desired)
        for name, dispatcher in self.by_name.items():
            dispatcher.tick(may_request=name not in configuration.leaving_upstreams)
            self._read_load(dispatcher)
        for chunk in self._outbox.list_unsent():
            self._spawn(self._outbox.async_send(chunk))
        now = self._core.clock.now()
        if now - self._renewed_at >= RENEW_MS:
            self._renewed_at = now
            self._renew()

    def apply_advert(self, owner: str, advert: BacklogAdvert) -> None:
        """Store how many undone items an owner has."""
        key = (advert.model, owner)
        if advert.items:
            self._adverts[key] = (advert.items, self._core.clock.now())
        else:
            self._adverts.pop(key, None)

    def apply_hint(self, sender: str, hint: YieldHint) -> None:
        """Apply a hint about online work at an upstream, preempting batch if needed."""
        dispatcher = self.by_name.get(hint.upstream)
        if dispatcher is None:
            return
        if hint.in_flight is not None:
            dispatcher.apply_online(sender, hint.in_flight)
        if hint.queue_ms > 0 or hint.in_flight is None:
            dispatcher.preempt()

    def apply_pressure(self, pressure: OnlinePressure) -> None:
        """Report this VM's online work and its queueing to the dispatchers of the upstreams."""
        for name in self._reporters.keys() | pressure.by_upstream.keys():
            met_pressure = pressure.by_upstream.get(name, UpstreamPressure(0, 0))
            reporter = self._reporters.setdefault(name, OnlineLoadReporter(self._core.clock))
            is_due = reporter.observe(met_pressure)
            hint = YieldHint(name, met_pressure.queue_ms, met_pressure.in_flight)
            if name in self.by_name:
                self.apply_hint(self._core.session_id, hint)
                continue
            owner = self._directory.find_owner(make_upstream_key(name))
            if is_due and owner is not None and owner != self._core.session_id:
                self._directory.post(owner, hint)

    def stop_chunk(self, chunk: str) -> None:
        """Stop the items of a chunk that ended."""
        for dispatcher in self.by_name.values():
            dispatcher.stop_chunk(chunk)

    async def async_request(self, request: LotRequest) -> list[LotItem]:
        """Request items from one owner with backlog, chosen at random."""
        horizon = self._core.clock.now() - ADVERT_LIFETIME_MS
        owners = sorted(
            owner
            for (model, owner), (_, at) in self._adverts.items()
            if model == request.model and at >= horizon
        )
        if not owners:
            return []
        owner = self._core.random.choice(owners)
        answer = await self._directory.async_send(owner, request)
        if isinstance(answer, Err) or not answer.ok_value.items:
            self._adverts.pop((request.model, owner), None)
            return []
        items: list[LotItem] = answer.ok_value.items
        self._outbox.assigners.update({item.chunk: owner for item in items})
        return items

    def _update_dispatchers(self, desired: dict[str, Upstream]) -> None:
        for name in [name for name in self.by_name if name not in desired]:
            self._spawn(self.by_name.pop(name).async_close())
        for name, upstream in desired.items():
            if name not in self.by_name:
                allowance = self._make_allowance()
                self.by_name[name] = UpstreamDispatcher(
                    self._core, upstream, allowance, self, self._outbox
                )
            self.by_name[name].upstream = upstream

    def _read_load(self, dispatcher: UpstreamDispatcher) -> None:
        now = self._core.clock.now()
        if self._next_load.get(dispatcher.upstream.name, 0) <= now:
            self._next_load[dispatcher.upstream.name] = now + LOAD_REPORT_MS
            self._spawn(self._async_read_load(dispatcher))

    async def _async_read_load(self, dispatcher: UpstreamDispatcher) -> None:
        report = await self._core.upstreams.engines.async_read_load(dispatcher.upstream)
        if not isinstance(report, Err):
            dispatcher.allowance.observe_load(report.ok_value, len(dispatcher.running))

    def _renew(self) -> None:
        indexes_by_chunk: dict[str, list[int]] = {
            chunk: self._outbox.list_indexes(chunk) for chunk in self._outbox.list_chunks()
        }
        for dispatcher in self.by_name.values():
            for chunk, indexes in dispatcher.list_items_by_chunk().items():
                indexes_by_chunk[chunk] = indexes_by_chunk.get(chunk, []) + indexes
        self._outbox.keep_assigners(indexes_by_chunk)
        for chunk, indexes in indexes_by_chunk.items():
            self._spawn(self._async_renew(chunk, indexes))

    async def _async_renew(self, chunk: str, indexes: list[int]) -> None:
        assigner = self._outbox.assigners.get(chunk)
        reply = await self._directory.async_ask(chunk, LotRenewal(chunk, indexes), assigner)
        if reply.status == ReplyStatus.MISSING:
            self.stop_chunk(chunk)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
