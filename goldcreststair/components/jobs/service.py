"""Accepts batch jobs, runs the jobs that this daemon owns, and serves reads of all jobs."""

import asyncio
import logging
from collections import OrderedDict
from typing import Final

from result import Err, Ok, Result

from goldcreststair.clock import Millis
from goldcreststair.components.fleet.models import OWN_STATE
from goldcreststair.components.fleet.peer_requests import PeerRequestKind
from goldcreststair.components.fleet.protocols import FLEET_LINKS, DatagramKind, hash_name
from goldcreststair.components.jobs.checkpoints import CheckpointWriter
from goldcreststair.components.jobs.codec import decode_items
from goldcreststair.components.jobs.const import (
    IDLE_MS,
    LEASE_MS,
    TICK_MS,
    WAITING_REPORT_TTL_MS,
)
from goldcreststair.components.jobs.errors import JobError, JobProblem
from goldcreststair.components.jobs.estimate import Pace, WorkEstimate
from goldcreststair.components.jobs.execution import ItemExecutor
from goldcreststair.components.jobs.handover import JobHandover
from goldcreststair.components.jobs.models import (
    ItemResult,
    JobItem,
    JobKey,
    JobRecord,
    OpenJob,
    ResultPage,
    SavedProgress,
    Submission,
)
from goldcreststair.components.jobs.reading import JobReader, limit_wait, make_page
from goldcreststair.components.jobs.records import JobRecords
from goldcreststair.components.jobs.registry import ItemProgress, ItemState, JobRegistry, OwnedJob
from goldcreststair.components.jobs.remote import async_answer_call
from goldcreststair.components.jobs.result_writer import ResultWriter
from goldcreststair.components.jobs.sweeping import JobSweeper
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.wire.codec import decode_struct, encode_struct
from goldcreststair.wire.generated.gateway.ttypes import Beacon, JobNotice, WorkPace

_LOGGER = logging.getLogger(__name__)

DEFAULT_DUE_MS: Final = 60_000
"""Due time of jobs whose route is not in the catalogue."""
MAX_RECENT_ENDS: Final = 10_000
"""Far more than the jobs that end while one job is read from the store."""
RECHECK_MS: Final = 250
"""Interval at which the store is asked about jobs whose ownership must be rechecked."""


class JobService:
    """Implements `LocalJobs`, and the callbacks of executor, sweeper and handover."""

    def __init__(self, core: GatewayCore) -> None:
        """Set up the parts of the service; the daemon owns no job yet."""
        self._core = core
        self._clock = core.clock
        self._links = core.get(FLEET_LINKS)
        self._records = JobRecords(core.adapter.store, core.clock)
        self._reader = JobReader(self._records, core.clock)
        self._registry = JobRegistry()
        self._writer = ResultWriter(core, self._records, self._on_committed, self._drop)
        self.estimate = WorkEstimate()
        """Estimates how long the items of each route take."""
        self._executor = ItemExecutor(
            core, self._registry, self._writer, self.estimate, self._count_waiting_elsewhere
        )
        self._checkpoints = CheckpointWriter(
            core, self._registry, self._records, self._writer, self.recheck
        )
        self._waiting_elsewhere: dict[str, tuple[Millis, int]] = {}
        """By session: when its last beacon came, and how many of its waiting items can still be in
        time."""
        self._handover = JobHandover(core, self._registry, self._records, self._writer, self)
        self._sweeper = JobSweeper(core, self._records, self)
        self._unconfirmed: set[JobKey] = set()
        """Jobs that may have another owner by now; until the store has confirmed them, their
        readers are answered from the store."""
        self._loading: dict[JobKey, asyncio.Task[None]] = {}
        self._recently_ended: OrderedDict[JobKey, None] = OrderedDict()
        """The most recent jobs whose end was reported, oldest first."""
        self._accepting_bytes = 0
        """Length of the bodies of jobs that are being accepted."""
        self._leaving = False
        self._jobs_added = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._result_events: dict[JobKey, asyncio.Event] = {}
        self._links.add_beacon_contributor(self._fill_beacon)
        self._links.subscribe_beacons(self._on_beacon, self._on_daemon_gone)
        self._links.register_notice_handler(DatagramKind.JOB_NOTICE, self._on_notice)
        self._links.register_request_handler(
            PeerRequestKind.JOB, lambda question: async_answer_call(self, question)
        )
        core.on_process_resumed.append(lambda _: self.recheck_all())

    async def async_start(self) -> None:
        """Start to run items, sweep for jobs without an owner, and save progress."""
        self._tasks = [
            asyncio.create_task(self._async_tick()),
            asyncio.create_task(self._async_recheck_ownership()),
        ]
        await self._sweeper.async_start()
        await self._checkpoints.async_start()

    async def async_close(self) -> None:
        """Stop; unfinished jobs are taken over by other daemons."""
        await self._checkpoints.async_close()
        await self._sweeper.async_close()
        tasks = [*self._tasks, *self._loading.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._executor.async_close()
        await self._writer.async_close()

    async def async_submit(self, submission: Submission) -> Result[None, JobError]:
        """Accept a job; submitting it again is no error and does not run it twice."""
        if self._leaving:
            # A job accepted during a leave would have to be handed over at once.
            return Err(JobError("this VM is leaving the fleet"))
        # If the session of a job's owner is not in the store, sweeps treat the job as abandoned.
        if not self._links.is_registered():
            return Err(JobError("this VM is not part of the fleet yet"))
        accepted = await self._async_accept(submission)
        extra = {"job": submission.key.job, "customer": submission.key.customer}
        if isinstance(accepted, Err):
            error = accepted.err_value
            outcome = {"problem": error.problem.value, "reason": error.message}
            _LOGGER.info("Job not accepted", extra=extra | outcome)
            self._core.meters.count_job(f"refused_{error.problem.value}")
            return accepted
        if accepted.ok_value is None:
            _LOGGER.info("Job accepted before", extra=extra)
            return Ok(None)
        record, opened = accepted.ok_value
        _LOGGER.info("Job accepted", extra=extra | {"items": record.items})
        self._core.meters.count_job("accepted")
        self._reader.cache_record(record)
        self._add_job(record, opened, submission.items)
        return Ok(None)

    async def _async_accept(
        self, submission: Submission
    ) -> Result[tuple[JobRecord, OpenJob] | None, JobError]:
        """Accept a job if its items can be held; returns None if it was accepted before."""
        size = sum(len(item.body) for item in submission.items)
        held = self._registry.count_body_bytes() + self._accepting_bytes
        # A job that is alone is accepted whatever its length, which has a limit of its own.
        if held and held + size > self._core.clients.limits.job_bytes:
            found = await self._reader.async_find(submission.key)
            if isinstance(found, Err) and found.err_value.problem is JobProblem.MISSING:
                # Another VM is asked next, which may have room.
                return Err(JobError("this VM holds too many items of jobs"))
            return found.map(lambda _: None)
        self._accepting_bytes += size
        try:
            return await self._records.async_accept(submission, self._core.session_id)
        finally:
            self._accepting_bytes -= size

    async def async_read_results(
        self, key: JobKey, position: int, wait_ms: int
    ) -> Result[ResultPage, JobError]:
        """Return the results from a position on; waits up to `wait_ms` for the first one."""
        # Another daemon that has this one read does not know when this one stops.
        own = self._core.blackboard.read(OWN_STATE)
        wait_ms = limit_wait(wait_ms, own, self._clock.now())
        job = self._find_confirmed(key)
        if job is None:
            return await self._reader.async_read(key, position, wait_ms)
        if position >= len(job.committed) and not job.is_complete and wait_ms > 0:
            await self._async_wait_for_result(key, wait_ms)
            if self._find_confirmed(key) is not job and not job.is_complete:
                return await self._reader.async_read(key, position, 0)
        return Ok(make_page(job.record.items, job.committed, position))

    async def async_read_body(self, key: JobKey, item: str) -> Result[bytes, JobError]:
        """Return the body of an item."""
        job = self._find_confirmed(key)
        if job is not None:
            items = tuple(progress.spec for progress in job.items)
        else:
            read = await self._reader.async_read_items(key)
            if isinstance(read, Err):
                return read
            items = read.ok_value
        found = next((each for each in items if each.item_id == item), None)
        if found is None:
            return Err(JobError("no such item", JobProblem.MISSING))
        return Ok(found.body)

    async def async_end(self, key: JobKey) -> Result[None, JobError]:
        """End a job; a repeated call is no error."""
        ended = await self._records.async_end(key)
        if isinstance(ended, Err):
            extra = {"job": key.job, "reason": ended.err_value.message}
            _LOGGER.warning("Job not ended", extra=extra)
            return ended
        if not ended.ok_value:
            return Err(JobError("no such job", JobProblem.MISSING))
        _LOGGER.info("Job ended", extra={"job": key.job, "customer": key.customer})
        self._reader.invalidate(key)
        self.drop_ended(key)
        return Ok(None)

    @property
    def can_accept(self) -> bool:
        """Whether a submission can be accepted here now."""
        away = self._core.store_contact.is_unavailable()
        return not (self._leaving or away) and self._links.is_registered()

    def can_read_results(self, key: JobKey, position: int) -> bool:
        """Return whether results from a position on can be read here now."""
        if not self._core.store_contact.is_unavailable() or self._find_confirmed(key) is not None:
            return True
        return self._reader.has_results(key, position)

    def can_read_items(self, key: JobKey) -> bool:
        """Return whether a job's items can be read here now."""
        return (
            not self._core.store_contact.is_unavailable() or self._find_confirmed(key) is not None
        )

    def begin_leave(self) -> None:
        """Start no more items, and hand over all jobs."""
        self._leaving = True
        self._executor.stop()
        self._tasks.append(asyncio.create_task(self._handover.async_run()))

    def count_running(self) -> int:
        """Return the number of jobs that are owned or being loaded."""
        return len(self._registry.jobs) + len(self._loading)

    def stop_accepting(self) -> None:
        """Do nothing: submissions are refused from the start of a leave."""

    def end(self) -> None:
        """Do nothing: sweeps of other daemons find the jobs that were not handed over."""

    def owns(self, key: JobKey) -> bool:
        """Return whether this daemon runs a job, or is loading it."""
        return key in self._registry.jobs or key in self._loading

    def count_owned(self) -> int:
        """Return the number of jobs that this daemon runs."""
        return len(self._registry.jobs)

    def count_body_bytes(self) -> int:
        """Return the length of the bodies of the jobs that this daemon runs."""
        return self._registry.count_body_bytes()

    def count_waiting(self) -> int:
        """Return the number of items that wait for a slot here and can still be in time."""
        return self._executor.waiting_in_time

    def load(self, key: JobKey) -> None:
        """Take over a job whose row names this daemon; a leaving daemon hands it on."""
        if self.owns(key):
            return
        task = asyncio.create_task(self._async_load(key))
        self._loading[key] = task
        task.add_done_callback(lambda _: self._loading.pop(key, None))

    def drop_ended(self, key: JobKey) -> None:
        """Stop a job that its caller ended."""
        # The job may still be loading from the store, so its end is remembered: otherwise this
        # daemon would run a job whose caller was told that it has stopped.
        self._recently_ended[key] = None
        if len(self._recently_ended) > MAX_RECENT_ENDS:
            self._recently_ended.popitem(last=False)
        job = self._registry.jobs.get(key)
        if job is not None:
            self._drop(job, "ended")

    def is_idle(self, job: OwnedJob) -> bool:
        """Return whether no item of a job runs."""
        return self._executor.is_idle(job)

    def release(self, job: OwnedJob, session: str) -> None:
        """Stop a job that another daemon owns now, and notify that daemon."""
        self._writer.count_repeated(job)
        self._drop(job, f"handed over to {session}")
        self.notify(session, job.key)

    def notify(self, session: str, key: JobKey) -> None:
        """Notify another daemon that it owns a job now, or that the job has ended."""
        payload = encode_struct(JobNotice(key.customer, key.job))
        self._links.notify(session, DatagramKind.JOB_NOTICE, payload)

    def _add_job(self, record: JobRecord, opened: OpenJob, items: tuple[JobItem, ...]) -> None:
        if record.key in self._recently_ended:
            return
        to_local = self._records.store_clock.to_local
        found = self._executor.find_route(record)
        due_ms = found.batch.due_ms if found is not None and found.batch else DEFAULT_DUE_MS
        route = hash_name(opened.route)
        progress = [
            ItemProgress(item, number, route, failures=failures)
            for number, (item, failures) in enumerate(
                zip(items, opened.failures or (0,) * len(items), strict=False)
            )
        ]
        job = OwnedJob(
            record,
            opened,
            progress,
            Millis(to_local(record.submitted_at + due_ms)),
            Millis(to_local(record.submitted_at + record.max_wait_ms)),
        )
        self._registry.jobs[record.key] = job
        self._jobs_added.set()

    async def _async_load(self, key: JobKey) -> None:
        opened = await self._records.async_find_open(key)
        if isinstance(opened, Err) or opened.ok_value is None:
            return
        if opened.ok_value.owner != self._core.session_id:
            return
        record = await self._records.async_find(key)
        if isinstance(record, Err) or record.ok_value is None:
            return
        content = await self._records.async_read_object(record.ok_value.body_object)
        committed = await self._records.async_read_all_results(key, opened.ok_value.committed)
        progress = await self._records.async_read_progress(key)
        if isinstance(content, Err) or isinstance(committed, Err) or isinstance(progress, Err):
            _LOGGER.warning("Job not loaded", extra={"job": key.job})
            return
        items = decode_items(content.ok_value)
        self._add_job(record.ok_value, opened.ok_value, items)
        job = self._registry.jobs.get(key)
        if job is None:
            return
        _restore(job, committed.ok_value, progress.ok_value)
        self._reader.cache_record(record.ok_value)
        extra = {
            "job": key.job,
            "customer": key.customer,
            "listed": len(job.committed),
            "begun": len(progress.ok_value),
        }
        _LOGGER.info("Job taken over", extra=extra)
        self._core.meters.count_job("taken_over")
        if job.is_complete:
            self._writer.schedule(job)

    def recheck(self, job: OwnedJob) -> None:
        """Recheck with the store whether this daemon still owns a job."""
        self._unconfirmed.add(job.key)

    def recheck_all(self) -> None:
        """Recheck with the store which jobs this daemon still owns."""
        self._unconfirmed = set(self._registry.jobs)

    async def _async_recheck_ownership(self) -> None:
        """Ask the store about unconfirmed jobs, and drop those with another owner."""
        while True:
            await self._clock.async_sleep(RECHECK_MS if self._registry.jobs else IDLE_MS)
            for key in tuple(self._unconfirmed):
                job = self._registry.jobs.get(key)
                if job is None or self._writer.is_committing(job):
                    # A commit in progress verifies ownership as well.
                    self._unconfirmed.discard(key)
                    continue
                opened = await self._records.async_find_open(key)
                if isinstance(opened, Err):
                    break
                self._unconfirmed.discard(key)
                found = opened.ok_value
                if found is None:
                    self._drop(job, "ended")
                elif found.owner != self._core.session_id:
                    self.release(job, found.owner)

    def _on_committed(self, job: OwnedJob) -> None:
        self._wake_readers(job.key)

    def _drop(self, job: OwnedJob, reason: str) -> None:
        if self._registry.jobs.get(job.key) is not job:
            return
        _LOGGER.info("Job released", extra={"job": job.key.job, "reason": reason})
        self._core.meters.count_job("left")
        job.lost = True
        del self._registry.jobs[job.key]
        self._reader.cache_results(job.record, job.committed)
        self._executor.stop_job(job, reason)
        self._wake_readers(job.key)

    def _find_confirmed(self, key: JobKey) -> OwnedJob | None:
        """Return a job whose committed results this daemon is certain to know."""
        job = self._registry.jobs.get(key)
        if job is None or job.lost:
            return None
        # After a longer isolation or pause, another daemon may have taken the job over and
        # committed more results. A reader that has seen those would miss them here.
        if self._links.read_contact_age_ms() > LEASE_MS:
            self.recheck_all()
        return None if key in self._unconfirmed else job

    def _fill_beacon(self, beacon: Beacon) -> None:
        beacon.batch_waiting = self._executor.waiting_in_time or None
        learned = self.estimate.list_learned()
        beacon.paces = [
            WorkPace(route, pace.events_per_token, pace.event_ms) for route, pace in learned.items()
        ] or None

    def _on_beacon(self, session: str, beacon: Beacon) -> None:
        for reported in beacon.paces or ():
            pace = Pace(reported.events_per_token, reported.event_ms)
            self.estimate.apply_reported(reported.route, pace)
        self._waiting_elsewhere[session] = (self._clock.now(), beacon.batch_waiting or 0)

    def _on_daemon_gone(self, session: str) -> None:
        self._waiting_elsewhere.pop(session, None)

    def _count_waiting_elsewhere(self) -> int:
        horizon = self._clock.now() - WAITING_REPORT_TTL_MS
        return sum(count for at, count in self._waiting_elsewhere.values() if at >= horizon)

    def _on_notice(self, sender: str, payload: bytes) -> None:
        decoded = decode_struct(JobNotice, payload)
        if isinstance(decoded, Err):
            _LOGGER.warning("Job notice cannot be decoded: %s", decoded.err_value.message)
            return
        notice = decoded.ok_value
        self.load(JobKey(notice.customer, notice.job))

    async def _async_tick(self) -> None:
        while True:
            if not self._registry.jobs:
                self._jobs_added.clear()
                await self._jobs_added.wait()
            await self._clock.async_sleep(TICK_MS)
            if self._links.read_contact_age_ms() > LEASE_MS:
                self.recheck_all()
            try:
                self._executor.tick()
            except Exception:
                # A failure in one job must not stop the others.
                _LOGGER.exception("Batch tick failed")

    async def _async_wait_for_result(self, key: JobKey, wait_ms: int) -> None:
        event = self._result_events.setdefault(key, asyncio.Event())
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await event.wait()
        except TimeoutError:
            return

    def _wake_readers(self, key: JobKey) -> None:
        event = self._result_events.pop(key, None)
        if event is not None:
            event.set()


def _restore(job: OwnedJob, committed: list[ItemResult], progress: list[SavedProgress]) -> None:
    """Restore the results and progress that a job's earlier owners saved."""
    job.committed = committed
    done = {result.item_id for result in committed}
    for item in job.items:
        if item.spec.item_id in done:
            item.state = ItemState.COMMITTED
    for saved in progress:
        if saved.number >= len(job.items):
            extra = {"job": job.key.job, "number": saved.number}
            _LOGGER.warning("Saved progress names no item of its job", extra=extra)
            continue
        job.items[saved.number].resume(saved)
