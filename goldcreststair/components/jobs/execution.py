"""Runs items of owned jobs in slots that online work leaves free, and gives them back."""

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from result import Err, Ok, Result

from goldcreststair.clock import Millis
from goldcreststair.components.catalogue.models import CATALOGUE, Route
from goldcreststair.components.catalogue.regions import Regions, find_request_regions
from goldcreststair.components.crash_marks.service import CRASH_MARKS
from goldcreststair.components.discovery.models import UpstreamEntry
from goldcreststair.components.jobs.const import (
    GIVE_UP_MARGIN_MS,
    LATE_FREE_SHARE,
    POISON_PAUSE_MS,
    ROUTE_GONE_MS,
    RUN_TIMEOUT_MS,
    STARTS_PER_TICK,
)
from goldcreststair.components.jobs.estimate import WorkEstimate
from goldcreststair.components.jobs.models import ItemResult, JobKey, JobRecord
from goldcreststair.components.jobs.outcome import Verdict, choose_pause, count_silent, judge_run
from goldcreststair.components.jobs.registry import (
    ItemProgress,
    ItemState,
    JobBook,
    OwnedJob,
    RankedItem,
    choose_yielding,
)
from goldcreststair.components.jobs.result_writer import JobLister
from goldcreststair.components.jobs.runner import ItemSink, async_run_item
from goldcreststair.components.placement.loads import Runs
from goldcreststair.components.placement.service import PLACEMENT
from goldcreststair.components.placement.spreading import allot_starts
from goldcreststair.components.requests.admission import choose_service
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.helpers.fingerprints import make_call_fingerprint
from goldcreststair.upstreams.dialect import RunCall
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.runner import RunEnd

_LOGGER = logging.getLogger(__name__)

DEFAULT_ATTEMPTS = 3
METHOD = "POST"
LINES: Final = {
    "started": "Item started",
    "again": "Item runs again",
    "done": "Item done",
    "given_up": "Item given up",
    "yielded": "Item yielded",
    "stopped": "Item stopped",
}
"""One kind of line for each choice, so that each is sampled by itself."""


@dataclass(slots=True, eq=False)
class _Run:
    job: OwnedJob
    item: ItemProgress
    upstream: UpstreamEntry
    route: Route
    runs: Runs
    began_at: Millis
    first_event: int
    """Events that it had when this run began."""
    sink: ItemSink | None = None
    task: "asyncio.Task[Result[RunEnd, UpstreamError]] | None" = None
    ended: bool = False


class ItemExecutor:
    """Starts items, judges their runs, and stops them when online work needs their slots."""

    def __init__(
        self,
        core: GatewayCore,
        book: JobBook,
        lister: JobLister,
        estimate: WorkEstimate,
        read_others_urgent: Callable[[], int],
    ) -> None:
        """Run nothing yet; `read_others_urgent` counts what waits at other daemons in time."""
        self.urgent_waiting = 0
        """Items that wait here and can be in time."""
        self._read_others_urgent = read_others_urgent
        self._estimate = estimate
        self._core = core
        self._clock = core.clock
        self._book = book
        self._lister = lister
        self._placement = core.get(PLACEMENT)
        self._placement.on_yield(self._give_way)
        self._runs: dict[_Run, None] = {}
        """In the order of their begin, which decides between equal ones; a set has no order."""
        self._stopped = False
        self._picture: int | None = None
        self._starts: dict[str, int] = {}
        """Items of each service that may still start by `_picture`, where all daemons share one."""

    async def async_close(self) -> None:
        """End every run."""
        self._stopped = True
        runs = tuple(self._runs)
        for run in runs:
            self._stop_run(run)
        tasks = [run.task for run in runs if run.task is not None]
        await asyncio.gather(*tasks, return_exceptions=True)

    def stop(self) -> None:
        """Start nothing more; what runs may come to its end."""
        self._stopped = True

    def stop_job(self, job: OwnedJob, why: str) -> None:
        """End the runs of a job that is not this daemon's any more; `why` is for the log."""
        for run in tuple(self._runs):
            if run.job is job:
                self._stop_run(run)
                self._log(job, run.item, "stopped", why, run.upstream.name)

    def is_idle(self, job: OwnedJob) -> bool:
        """Return whether no item of a job runs."""
        return all(run.job is not job for run in self._runs)

    def find_route(self, record: JobRecord) -> Route | None:
        """Return the route of a job, as it stands now."""
        catalogue = self._core.blackboard.read(CATALOGUE)
        return catalogue.find_route(record.route_host, record.route_prefix)

    def tick(self) -> None:
        """Give up what waited too long, and start what may."""
        now = self._clock.now()
        for job, item in tuple(self._book.list_given_up(Millis(now - GIVE_UP_MARGIN_MS))):
            self._finish(job, item, ItemResult(item.item.item, done=False), "waited too long")
        self.urgent_waiting = 0
        if self._stopped or not self._book.jobs:
            return
        startable = self._book.list_startable(now, self._estimate.read_left_ms)
        self.urgent_waiting = sum(not ranked.hopeless for ranked in startable)
        self._start_some(startable)

    def _start_some(self, startable: Sequence[RankedItem]) -> None:
        left = STARTS_PER_TICK
        full: set[str] = set()
        stuck: set[JobKey] = set()
        for ranked in startable:
            # A job's items share their service: one that finds no slot speaks for the rest.
            if ranked.job.key in stuck:
                continue
            if not self._start(ranked, full):
                stuck.add(ranked.job.key)
                continue
            left -= 1
            if not left:
                return

    def _has_part(self, service: str) -> bool:
        """Return whether this daemon may take one more slot by the picture that all share."""
        controller = self._placement.controller
        picture = controller.picture
        if picture is None:
            return True
        if picture != self._picture:
            self._picture = picture
            self._starts.clear()
        if service not in self._starts:
            free = controller.count_free_for_batch(service)
            others = self._read_others_urgent()
            part = allot_starts(free, self.urgent_waiting, others, self._core.random)
            self._starts[service] = part
        return self._starts[service] > 0

    def _start(self, ranked: RankedItem, full: set[str]) -> bool:
        """Start an item or judge it; returns False if it waits for its route or its service.

        A service without a slot is added to `full`.
        """
        job, item = ranked.job, ranked.item
        catalogue = self._core.blackboard.read(CATALOGUE)
        route = catalogue.find_route(job.record.route_host, item.item.path)
        if route is None:
            if not self._has_lost_route(job):
                return False
            self._finish(job, item, ItemResult(item.item.item, done=False), "its route is gone")
            return True
        job.routeless_at = None
        service = choose_service(route, self._core.random.random())
        if service in full:
            return False
        if self._core.get(CRASH_MARKS).is_refused(_mark_item(job, item)):
            # It waits until it may be given up: upstreams that it crashes run others' items as well.
            item.not_before = Millis(self._clock.now() + POISON_PAUSE_MS)
            return True
        customer = catalogue.customers.get(job.key.customer)
        regions = find_request_regions(route, customer)
        entry = self._find_slot(service, regions, late=ranked.hopeless)
        if entry is None:
            if regions is None:
                full.add(service)
            return False
        runs = Runs(batch=1, late=int(ranked.hopeless))
        if service in self._starts:
            self._starts[service] -= 1
        self._begin(_Run(job, item, entry, route, runs, self._clock.now(), item.last_event))
        reason = "late, a slot is free" if ranked.hopeless else "a slot is free"
        self._log(job, item, "started", reason, entry.name)
        return True

    def _has_lost_route(self, job: OwnedJob) -> bool:
        """Return whether a job whose route is missing has lost it for good."""
        if not self._core.blackboard.read(CATALOGUE).version:
            return False
        now = self._clock.now()
        job.routeless_at = now if job.routeless_at is None else job.routeless_at
        return now - job.routeless_at >= ROUTE_GONE_MS

    def _find_slot(self, service: str, regions: Regions, *, late: bool) -> UpstreamEntry | None:
        """Return the upstream whose slot an item may take now."""
        if not self._has_part(service):
            return None
        entry = self._placement.controller.choose_for_batch(service, regions)
        if entry is None or not self._placement.has_connections(entry):
            return None
        return None if late and not self._may_start_late(service) else entry

    def _may_start_late(self, service: str) -> bool:
        """Return whether an item that is late anyway may take a slot.

        Other daemons' items that can be in time go first, unless there is room for all.
        """
        free, slots = self._placement.controller.read_idle(service)
        return free > slots * LATE_FREE_SHARE or not self._read_others_urgent()

    def _begin(self, run: _Run) -> None:
        name = run.upstream.name
        run.item.state = ItemState.RUNNING
        self._runs[run] = None
        self._placement.begin(name, run.runs)
        controller = self._placement.controller
        sink = run.sink = ItemSink(
            run.item,
            self._clock,
            lambda head: self._placement.note_head(name, head),
            lambda: controller.note_progress(name),
        )
        call = self._make_call(run.job, run.item, run.upstream)
        run.task = asyncio.create_task(
            async_run_item(self._core.runner, run.upstream.address, call, sink, self._clock)
        )
        run.task.add_done_callback(lambda task: self._on_ended(run, task))

    def _on_ended(self, run: _Run, task: "asyncio.Task[Result[RunEnd, UpstreamError]]") -> None:
        if run.ended or task.cancelled():
            self._close_run(run)
            return
        self._close_run(run)
        error = task.exception()
        if error is not None:
            _LOGGER.error("Item's run failed", exc_info=error)
            run.item.state = ItemState.WAITING
        elif not run.job.lost:
            self._judge(run, task.result())

    def _stop_run(self, run: _Run) -> None:
        """End a run; what it brought is kept."""
        # A task that is cancelled before its first step never runs: its item would wait for ever as
        # running, and its slot stay taken in every daemon's book. Both are settled here.
        self._close_run(run)
        if run.task is not None:
            run.task.cancel()

    def _close_run(self, run: _Run) -> None:
        if run.ended:
            return
        run.ended = True
        if run.sink is not None:
            run.sink.close()
        self._runs.pop(run, None)
        self._placement.end(run.upstream.name, run.runs)
        if run.item.state is ItemState.RUNNING:
            run.item.state = ItemState.WAITING

    def _make_call(self, job: OwnedJob, item: ItemProgress, entry: UpstreamEntry) -> RunCall:
        return RunCall(
            request_id=item.item.item,
            method=METHOD,
            host=job.record.route_host,
            path=item.item.path,
            headers=item.item.headers,
            body=item.item.body,
            customer=job.key.customer,
            upstream=entry.name,
            deadline_ms=RUN_TIMEOUT_MS,
            resume_after=item.last_event,
        )

    def _judge(self, run: _Run, end: Result[RunEnd, UpstreamError]) -> None:
        job, item, name = run.job, run.item, run.upstream.name
        verdict = judge_run(end, item.failures, run.route.max_attempts)
        item.failures += verdict.failed
        item.lost = item.lost + 1 if verdict.lost else 0
        item.silent = count_silent(end, item.silent)
        if verdict.verdict is Verdict.AGAIN:
            self._note_failure(run, end)
            pause_ms = choose_pause(item.lost + item.failures)
            item.not_before = Millis(self._clock.now() + pause_ms)
            item.state = ItemState.WAITING
            self._log(job, item, "again", _describe(end), name)
            return
        done = verdict.verdict is Verdict.DONE
        if done:
            run_ms = self._clock.now() - run.began_at
            self._estimate.learn(item, item.last_event - run.first_event, run_ms)
        text = b"\n".join(item.data) if done else b""
        reason = "whole" if done else _describe(end)
        self._finish(job, item, ItemResult(item.item.item, done, text), reason, name)

    def _note_failure(self, run: _Run, end: Result[RunEnd, UpstreamError]) -> None:
        if isinstance(end, Ok):
            return
        error = end.err_value
        if error.failure in (UpstreamFailure.CONNECT, UpstreamFailure.SILENT):
            self._placement.note_down(run.upstream, error.message, run.item.item.item)
        elif error.failure is UpstreamFailure.LOST:
            mark = _mark_item(run.job, run.item)
            begun = run.item.last_event > run.first_event
            self._core.get(CRASH_MARKS).report_lost(run.upstream, mark, begun=begun)
        elif error.failure is UpstreamFailure.REFUSED:
            self._placement.controller.note_full(run.upstream.name)

    def _finish(
        self, job: OwnedJob, item: ItemProgress, result: ItemResult, reason: str, upstream: str = ""
    ) -> None:
        item.state = ItemState.FINISHED
        item.data.clear()
        job.finished.append((item, result))
        self._log(job, item, "done" if result.done else "given_up", reason, upstream)
        self._lister.list_soon(job)

    def _give_way(self, upstream: str, count: int) -> None:
        there = [run for run in self._runs if run.upstream.name == upstream]
        for run in choose_yielding(there, count, self._clock.now(), self._estimate.read_left_ms):
            self._stop_run(run)
            self._log(run.job, run.item, "yielded", "online work needs the slot", upstream)
        self._placement.controller.note_yielded(upstream)

    def _log(
        self, job: OwnedJob, item: ItemProgress, choice: str, reason: str, upstream: str
    ) -> None:
        self._core.meters.count_item(choice)
        _LOGGER.info(
            LINES[choice],
            extra={
                "job": job.key.job,
                "item": item.item.item,
                "upstream": upstream,
                "reason": reason,
                "last_event": item.last_event,
                "failures": item.failures,
                "lost": item.lost,
                "due_in_ms": job.due_at - self._clock.now(),
            },
        )


def _mark_item(job: OwnedJob, item: ItemProgress) -> str:
    return make_call_fingerprint(job.key.customer, METHOD, item.item.path, item.item.body)


def _describe(end: Result[RunEnd, UpstreamError]) -> str:
    if isinstance(end, Err):
        return end.err_value.message
    return f"upstream answered {end.ok_value.head.status}"
