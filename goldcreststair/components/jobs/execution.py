"""Runs the items of owned jobs in slots that online requests leave free, and preempts them."""

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from result import Err, Ok, Result

from goldcreststair.clock import Millis
from goldcreststair.components.catalogue.models import CATALOGUE, Route
from goldcreststair.components.catalogue.regions import (
    Regions,
    combine_regions,
    find_customer_regions,
)
from goldcreststair.components.crash_marks.guard import RequestGuard
from goldcreststair.components.crash_marks.models import LostRun
from goldcreststair.components.crash_marks.service import CRASH_TRACKER
from goldcreststair.components.discovery.models import UpstreamEntry
from goldcreststair.components.jobs.const import (
    EXPIRY_MARGIN_MS,
    LATE_FREE_SHARE,
    ROUTE_GONE_MS,
    RUN_TIMEOUT_MS,
    STARTS_PER_TICK,
    SUSPECT_PAUSE_MS,
)
from goldcreststair.components.jobs.continuation import ItemContinuation
from goldcreststair.components.jobs.estimate import WorkEstimate
from goldcreststair.components.jobs.item_order import ItemOrder
from goldcreststair.components.jobs.models import ItemResult, JobKey, JobRecord
from goldcreststair.components.jobs.outcome import (
    Verdict,
    choose_backoff_ms,
    classify_run,
    count_silent_runs,
)
from goldcreststair.components.jobs.registry import (
    ItemProgress,
    ItemState,
    JobRegistry,
    OwnedJob,
    RankedItem,
)
from goldcreststair.components.jobs.result_writer import ResultWriter
from goldcreststair.components.jobs.runner import ItemSink, async_run_item
from goldcreststair.components.placement.loads import Runs
from goldcreststair.components.placement.models import RunOutcome
from goldcreststair.components.placement.outcomes import classify_run_end
from goldcreststair.components.placement.service import PLACEMENT
from goldcreststair.components.placement.spreading import allot_starts
from goldcreststair.components.requests.admission import choose_service
from goldcreststair.components.stream_origins.models import StreamOrigin
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.helpers.crash_evidence import (
    BEGIN,
    Extent,
    RequestSuspects,
    Suspects,
    Written,
    list_suspects,
)
from goldcreststair.helpers.fingerprints import make_call_fingerprint
from goldcreststair.upstreams.dialect import RunCall
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.runner import RunEnd

_LOGGER = logging.getLogger(__name__)

DEFAULT_ATTEMPTS = 3
METHOD = "POST"
LOG_MESSAGES: Final = {
    "started": "Item started",
    "again": "Item runs again",
    "done": "Item done",
    "given_up": "Item given up",
    "yielded": "Item yielded",
    "stopped": "Item stopped",
    "started_over": "Item starts over",
}
"""Each choice has its own log message, so that log sampling treats each one separately."""


@dataclass(slots=True, eq=False)
class _Run:
    job: OwnedJob
    item: ItemProgress
    upstream: UpstreamEntry
    route: Route
    runs: Runs
    began_at: Millis
    first_event: int
    """Last event of the item when this run began."""
    sink: ItemSink | None = None
    guard: RequestGuard | None = None
    task: "asyncio.Task[Result[RunEnd, UpstreamError]] | None" = None
    ended: bool = False

    @property
    def extent(self) -> Extent:
        return BEGIN if self.sink is None else self.sink.extent


class ItemExecutor:
    """Starts items, handles the outcomes of their runs, and preempts them for online requests."""

    def __init__(
        self,
        core: GatewayCore,
        registry: JobRegistry,
        writer: ResultWriter,
        estimate: WorkEstimate,
        count_waiting_elsewhere: Callable[[], int],
    ) -> None:
        """Set up the executor; nothing runs yet.

        `count_waiting_elsewhere` returns the number of items that wait at other daemons and can
        still be in time.
        """
        self.waiting_in_time = 0
        """Number of items that wait here and can still be in time."""
        self._count_waiting_elsewhere = count_waiting_elsewhere
        self._estimate = estimate
        self._order = ItemOrder(registry, estimate, writer.is_outage_for)
        self._core = core
        self._clock = core.clock
        self._registry = registry
        self._writer = writer
        self._placement = core.get(PLACEMENT)
        self._placement.on_preempt(self._preempt)
        self._continuation = ItemContinuation(
            core.clock, self._placement.controller, estimate, self._record_start_over
        )
        self._runs: dict[_Run, None] = {}
        """Runs in the order of their start, which breaks ties in preemption; a set is unordered."""
        self._stopped = False
        self._digest_sequence: int | None = None
        self._starts_left: dict[str, int] = {}
        """By service: items that may still start under the digest `_digest_sequence`."""

    async def async_close(self) -> None:
        """Abort all runs."""
        self._stopped = True
        runs = tuple(self._runs)
        for run in runs:
            self._stop_run(run)
        tasks = [run.task for run in runs if run.task is not None]
        await asyncio.gather(*tasks, return_exceptions=True)

    def stop(self) -> None:
        """Start no more items; current runs may finish."""
        self._stopped = True

    def stop_job(self, job: OwnedJob, reason: str) -> None:
        """Abort the runs of a job that this daemon no longer owns; `reason` is logged."""
        for run in tuple(self._runs):
            if run.job is job:
                self._stop_run(run)
                self._log(job, run.item, "stopped", reason, run.upstream.name)

    def is_idle(self, job: OwnedJob) -> bool:
        """Return whether no item of a job runs."""
        return all(run.job is not job for run in self._runs)

    def find_route(self, record: JobRecord) -> Route | None:
        """Return the current route of a job, or None if the catalogue has none."""
        catalogue = self._core.blackboard.read(CATALOGUE)
        return catalogue.find_route(record.route_host, record.route_prefix)

    def tick(self) -> None:
        """Give up items that have waited too long, and start the most urgent ones."""
        now = self._clock.now()
        for job, item in tuple(self._registry.list_expired(Millis(now - EXPIRY_MARGIN_MS))):
            self._finish(job, item, ItemResult(item.spec.item_id, done=False), "waited too long")
        self.waiting_in_time = 0
        if self._stopped or not self._registry.jobs:
            return
        startable = self._order.list_startable(now)
        self.waiting_in_time = sum(not ranked.late for ranked in startable)
        self._start_items(startable)

    def _start_items(self, startable: Sequence[RankedItem]) -> None:
        left = STARTS_PER_TICK
        full: set[str] = set()
        blocked: set[JobKey] = set()
        for ranked in startable:
            # All items of a job use the same service: if one finds no slot, neither do the others.
            if ranked.job.key in blocked:
                continue
            if self._writer.is_full(ranked.job, len(self._runs)) or not self._start(ranked, full):
                blocked.add(ranked.job.key)
                continue
            left -= 1
            if not left:
                return

    def _may_start_another(self, service: str) -> bool:
        """Return whether this daemon may take one more slot of a service now.

        In a large fleet all daemons decide from the same digest, and each takes its part of the
        free slots once per digest.
        """
        controller = self._placement.controller
        sequence = controller.runs.digest_sequence
        if sequence is None:
            return True
        if sequence != self._digest_sequence:
            self._digest_sequence = sequence
            self._starts_left.clear()
        if service not in self._starts_left:
            free = controller.batch.count_free(service)
            others = self._count_waiting_elsewhere()
            part = allot_starts(free, self.waiting_in_time, others, self._core.random)
            self._starts_left[service] = part
        return self._starts_left[service] > 0

    def _start(self, ranked: RankedItem, full: set[str]) -> bool:
        """Start an item, or give it up; returns False if its route or its service keeps it waiting.

        A service without a free slot is added to `full`.
        """
        job, item = ranked.job, ranked.item
        catalogue = self._core.blackboard.read(CATALOGUE)
        route = catalogue.find_route(job.record.route_host, item.spec.path)
        if route is None:
            if not self._is_route_gone(job):
                return False
            self._finish(job, item, ItemResult(item.spec.item_id, done=False), "its route is gone")
            return True
        job.route_missing_since = None
        customer_regions = find_customer_regions(
            catalogue, job.key.customer, job.open.customer_regions
        )
        regions = combine_regions([route.regions, customer_regions])
        self._continuation.check_origin(job, item, route)
        service = choose_service(route, self._core.random.random())
        if item.origin is not None:
            service = item.origin.service
        if service in full:
            return False
        if self._must_pause(job, item):
            return True
        entry = self._find_slot(service, regions, job, item, late=ranked.late)
        if entry is None and self._continuation.is_held(job, item, regions):
            return True
        if entry is None:
            if regions is None:
                full.add(service)
            return False
        runs = Runs(batch=1, late=int(ranked.late))
        if service in self._starts_left:
            self._starts_left[service] -= 1
        self._begin(_Run(job, item, entry, route, runs, self._clock.now(), item.last_event))
        reason = "late, a slot is free" if ranked.late else "a slot is free"
        self._log(job, item, "started", reason, entry.name)
        return True

    def _must_pause(self, job: OwnedJob, item: ItemProgress) -> bool:
        """Return whether an item may not run for now, as it may crash upstreams."""
        tracker, suspects = self._core.get(CRASH_TRACKER), self._find_suspects(job, item)
        if not tracker.is_loading(suspects):
            turn = tracker.choose_turn(suspects, can_wait=True)
            if turn.may_run:
                return False
        item.not_before = Millis(self._clock.now() + SUSPECT_PAUSE_MS)
        return True

    def _find_suspects(self, job: OwnedJob, item: ItemProgress) -> Suspects:
        if item.suspects is None:
            spec = item.spec
            fingerprint = make_call_fingerprint(job.key.customer, METHOD, spec.path, spec.body)
            parts = self._core.adapter.submission_reader.read_prompt_parts(spec)
            item.suspects = list_suspects(fingerprint, parts)
        return item.suspects

    def _record_start_over(self, job: OwnedJob, item: ItemProgress, reason: str) -> None:
        self._core.meters.count_repeated(item.last_event)
        self._log(job, item, "started_over", reason, "")

    def _is_route_gone(self, job: OwnedJob) -> bool:
        """Return whether a job's route has been missing long enough to count as removed."""
        if not self._core.blackboard.read(CATALOGUE).version:
            return False
        now = self._clock.now()
        job.route_missing_since = (
            now if job.route_missing_since is None else job.route_missing_since
        )
        return now - job.route_missing_since >= ROUTE_GONE_MS

    def _find_slot(
        self, service: str, regions: Regions, job: OwnedJob, item: ItemProgress, *, late: bool
    ) -> UpstreamEntry | None:
        """Return an upstream with a slot that an item may take now, or None."""
        if not self._may_start_another(service):
            return None
        software = item.origin.software_version if item.origin is not None else None
        tracker, suspects = self._core.get(CRASH_TRACKER), self._find_suspects(job, item)
        # A crash ends all other work at its upstream.
        idlest = tracker.is_refused(suspects) or tracker.is_suspected(suspects)
        batch = self._placement.controller.batch
        entry = batch.choose(service, regions, software, idlest=idlest)
        if entry is None or not self._placement.has_connections(entry):
            return None
        return None if late and not self._may_start_late(service) else entry

    def _may_start_late(self, service: str) -> bool:
        """Return whether an item that will be late anyway may take a slot.

        Items at other daemons that can be in time have priority, unless there is room for all.
        """
        free, slots = self._placement.controller.upstreams.read_idle(service)
        return free > slots * LATE_FREE_SHARE or not self._count_waiting_elsewhere()

    def _begin(self, run: _Run) -> None:
        name = run.upstream.name
        run.item.state = ItemState.RUNNING
        run.item.held_since = None
        if not run.item.last_event:
            run.item.origin = self._find_origin(run.upstream)
        tracker, suspects = self._core.get(CRASH_TRACKER), self._find_suspects(run.job, run.item)
        request = RequestSuspects(suspects)
        run.guard = tracker.open_guard(request, lambda: self._on_refused(run), can_wait=True)
        run.guard.try_enter()
        run.guard.begin_run(run.upstream)
        self._runs[run] = None
        self._placement.begin(name, run.runs)
        sink = run.sink = ItemSink(
            run.item,
            self._clock,
            lambda head: self._placement.record_head(name, head),
            lambda: self._on_data(run),
        )
        call = self._make_call(run.job, run.item, run.upstream)
        run.task = asyncio.create_task(
            async_run_item(self._core.runner, run.upstream.address, call, sink, self._clock)
        )
        run.task.add_done_callback(lambda task: self._on_ended(run, task))

    def _on_data(self, run: _Run) -> None:
        self._placement.controller.upstreams.record_progress(run.upstream.name)
        if run.guard is not None:
            run.guard.record_progress(self._clock.now(), run.extent)

    def _find_origin(self, entry: UpstreamEntry) -> StreamOrigin | None:
        """Return the software that an upstream certainly runs, or None."""
        software = self._placement.controller.upstreams.find_software(entry.name)
        return None if software is None else StreamOrigin(entry.service, software)

    def _on_ended(self, run: _Run, task: "asyncio.Task[Result[RunEnd, UpstreamError]]") -> None:
        if run.ended or task.cancelled():
            self._close_run(run)
            return
        self._close_run(run, _classify_outcome(run, task))
        error = task.exception()
        if error is not None:
            _LOGGER.error("Run of an item raised an exception", exc_info=error)
            run.item.state = ItemState.WAITING
        elif not run.job.lost:
            self._handle_result(run, task.result())

    def _on_refused(self, run: _Run) -> None:
        if run.sink is None or run.sink.events:
            return
        self._stop_run(run)
        run.item.not_before = Millis(self._clock.now() + SUSPECT_PAUSE_MS)
        self._log(run.job, run.item, "stopped", "it crashes upstreams", run.upstream.name)

    def _stop_run(self, run: _Run) -> None:
        """Abort a run; the events it received are kept."""
        # A task that is cancelled before its first step never runs any code, so the state is
        # updated here: otherwise its item would stay marked as running and its slot as taken on all
        # daemons.
        self._close_run(run)
        if run.task is not None:
            run.task.cancel()

    def _close_run(self, run: _Run, outcome: RunOutcome = RunOutcome.ABORTED) -> None:
        if run.ended:
            return
        run.ended = True
        if run.sink is not None:
            run.sink.close()
            self._core.meters.count_repeated(run.sink.repeated)
        if run.guard is not None:
            run.guard.leave()
        self._runs.pop(run, None)
        self._placement.end(run.upstream.name, run.runs)
        # The time to the first event of an item says little: its prompts are longer than those online.
        self._placement.record_outcome(run.upstream, outcome, None)
        if run.item.state is ItemState.RUNNING:
            run.item.state = ItemState.WAITING

    def _make_call(self, job: OwnedJob, item: ItemProgress, entry: UpstreamEntry) -> RunCall:
        return RunCall(
            request_id=item.spec.item_id,
            method=METHOD,
            host=job.record.route_host,
            path=item.spec.path,
            headers=item.spec.headers,
            body=item.spec.body,
            customer=job.key.customer,
            upstream=entry.name,
            deadline_ms=RUN_TIMEOUT_MS,
            resume_after=item.last_event,
        )

    def _handle_result(self, run: _Run, end: Result[RunEnd, UpstreamError]) -> None:
        job, item, name = run.job, run.item, run.upstream.name
        verdict = classify_run(end, item.failures, run.route.max_attempts)
        item.failures += verdict.failed
        item.lost_runs = item.lost_runs + 1 if verdict.lost else 0
        item.silent_runs = count_silent_runs(end, item.silent_runs)
        if verdict.verdict is Verdict.AGAIN:
            self._report_failure(run, end)
            if run.sink is not None and run.sink.is_oversized:
                # What the item has is not the beginning of an answer that may end.
                self._record_start_over(job, item, "its text is longer than a result may be")
                item.start_over()
            pause_ms = choose_backoff_ms(item.lost_runs + item.failures)
            item.not_before = Millis(self._clock.now() + pause_ms)
            item.state = ItemState.WAITING
            self._log(job, item, "again", _describe(end), name)
            return
        done = verdict.verdict is Verdict.DONE
        if done:
            suspects = RequestSuspects(self._find_suspects(job, item))
            written = Written(self._clock.now())
            self._core.get(CRASH_TRACKER).report_answer(run.upstream, suspects, written)
            run_ms = self._clock.now() - run.began_at
            self._estimate.learn(item, item.last_event - run.first_event, run_ms)
        text = b"\n".join(item.data) if done else b""
        reason = "whole" if done else _describe(end)
        self._finish(job, item, ItemResult(item.spec.item_id, done, text), reason, name)

    def _report_failure(self, run: _Run, end: Result[RunEnd, UpstreamError]) -> None:
        if isinstance(end, Ok):
            return
        error = end.err_value
        if error.failure in (UpstreamFailure.CONNECT, UpstreamFailure.SILENT):
            self._placement.mark_down(
                run.upstream,
                error.message,
                run.item.spec.item_id,
                refuses_connections=error.failure is UpstreamFailure.CONNECT,
            )
        elif error.failure is UpstreamFailure.REFUSED:
            self._placement.controller.upstreams.mark_full(run.upstream.name)
        if error.failure in (UpstreamFailure.LOST, UpstreamFailure.SILENT):
            self._report_lost(run)

    def _report_lost(self, run: _Run) -> None:
        spec = run.item.spec
        parts = self._core.adapter.submission_reader.read_prompt_parts(spec)
        suspects = RequestSuspects(self._find_suspects(run.job, run.item))
        lost = LostRun(spec.item_id, suspects, parts, run.extent)
        self._core.get(CRASH_TRACKER).report_lost_run(run.upstream, lost)

    def _finish(
        self, job: OwnedJob, item: ItemProgress, result: ItemResult, reason: str, upstream: str = ""
    ) -> None:
        item.state = ItemState.FINISHED
        item.data.clear()
        job.finished.append((item, result))
        self._log(job, item, "done" if result.done else "given_up", reason, upstream)
        self._writer.schedule(job)

    def _preempt(self, upstream: str, count: int) -> None:
        running = [run for run in self._runs if run.upstream.name == upstream]
        for run in self._order.choose_preempted(running, count, self._clock.now()):
            self._stop_run(run)
            self._log(run.job, run.item, "yielded", "online work needs the slot", upstream)
        self._placement.controller.batch.mark_preempted(upstream)

    def _log(
        self, job: OwnedJob, item: ItemProgress, choice: str, reason: str, upstream: str
    ) -> None:
        self._core.meters.count_item(choice)
        _LOGGER.info(
            LOG_MESSAGES[choice],
            extra={
                "job": job.key.job,
                "item": item.spec.item_id,
                "upstream": upstream,
                "reason": reason,
                "last_event": item.last_event,
                "failures": item.failures,
                "lost": item.lost_runs,
                "due_in_ms": job.due_at - self._clock.now(),
            },
        )


def _classify_outcome(run: _Run, task: "asyncio.Task[Result[RunEnd, UpstreamError]]") -> RunOutcome:
    if task.exception() is not None:
        return RunOutcome.ABORTED
    has_answered = run.item.last_event > run.first_event
    return classify_run_end(task.result(), complete=True, has_answered=has_answered)


def _describe(end: Result[RunEnd, UpstreamError]) -> str:
    if isinstance(end, Err):
        return end.err_value.message
    return f"upstream answered {end.ok_value.head.status}"
