"""Finds open jobs whose owner is lost, and removes old jobs."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Final, Protocol

from result import Err

from goldcreststair.components.catalogue.models import CATALOGUE
from goldcreststair.components.catalogue.regions import Regions, find_job_regions
from goldcreststair.components.fleet.models import FLEET, Fleet, VmState
from goldcreststair.components.fleet.protocols import FLEET_LINKS
from goldcreststair.components.jobs.const import (
    REMOVED_SWEEPS,
    RETENTION_MARGIN_MS,
    RETENTION_REMOVED_SWEEPS,
    RETENTION_SWEEPS,
    SWEEP_MS,
    SWEEP_SOON_MS,
    TABLE_ENDS,
    TABLE_OPEN,
    TAKEOVER_AFTER_MS,
)
from goldcreststair.components.jobs.models import JobKey, OpenJob
from goldcreststair.components.jobs.records import JobRecords
from goldcreststair.components.jobs.sweep_assignments import SweepAssignments
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.helpers.rendezvous import score
from goldcreststair.store.feed import TableFeed
from goldcreststair.store.rows import StoredRow, Version

_LOGGER = logging.getLogger(__name__)

MAX_LOGGED_CUSTOMERS: Final = 16
"""Most customers that one log line names."""


class JobOwner(Protocol):
    """The jobs of this daemon."""

    def owns(self, key: JobKey) -> bool:
        """Return whether this daemon runs a job, or is loading it."""

    def load(self, key: JobKey) -> None:
        """Take over a job whose row names this daemon."""

    def drop_ended(self, key: JobKey) -> None:
        """Stop a job that its caller ended."""

    def recheck_all(self) -> None:
        """Recheck with the store which jobs this daemon still owns."""

    def notify(self, session: str, key: JobKey) -> None:
        """Notify another daemon that it owns a job."""


class JobSweeper:
    """Checks the open jobs of the customers that are assigned to this daemon.

    One daemon also checks those of customers that are not in the catalogue: operators may remove a customer
    whose jobs are open.
    """

    def __init__(self, core: GatewayCore, records: JobRecords, owner: JobOwner) -> None:
        """Set up the sweeper; `owner` receives the jobs to take over."""
        self._core = core
        self._records = records
        self._owner = owner
        self._links = core.get(FLEET_LINKS)
        self._feed = TableFeed(
            core.adapter.store, core.clock, TABLE_ENDS, self, with_snapshot=False
        )

        self._sessions: frozenset[str] = frozenset()
        self._assigned_for: tuple[frozenset[str], frozenset[str]] = (frozenset(), frozenset())
        self._assignments = SweepAssignments()
        self._assigned: list[str] = []
        """Customers assigned to this daemon, for the daemons and customers in `_assigned_for`."""
        self._seen_versions: dict[str, dict[JobKey, int]] = {}
        """By customer: versions of the jobs' rows at the last sweep."""
        self._removed: frozenset[str] = frozenset()
        """Customers with open jobs that were not in the catalogue when this daemon last listed them."""
        self._removed_task: asyncio.Task[None] | None = None
        self._sweeps = 0
        self._removed_sweeps = 0
        self._vm_lost = asyncio.Event()
        self._unsubscribe: Callable[[], None] = lambda: None
        self._task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Start to sweep and to follow the ends of jobs."""
        await self._feed.async_start()
        self._unsubscribe = self._core.blackboard.subscribe(FLEET, self._on_fleet)
        self._task = asyncio.create_task(self._async_repeat())

    async def async_close(self) -> None:
        """Stop the sweeps."""
        self._unsubscribe()
        await self._feed.async_close()
        tasks = [task for task in (self._task, self._removed_task) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._task = self._removed_task = None

    def replace_all(self, rows: Sequence[StoredRow], version: Version) -> None:
        """Recheck all jobs: ends may have been missed."""
        self._owner.recheck_all()

    def apply_changes(self, rows: Sequence[StoredRow]) -> None:
        """Stop the jobs that their callers ended."""
        for row in rows:
            if not row.deleted:
                self._owner.drop_ended(JobKey(row.key.part, row.key.key))

    def record_contact(self, *, reached: bool) -> None:
        """Record whether the store answered."""
        if reached:
            self._links.record_store_contact()

    def _on_fleet(self, fleet: Fleet) -> None:
        if self._sessions - fleet.vms.keys():
            self._vm_lost.set()
        self._sessions = frozenset(fleet.vms)

    async def _async_wait_for_sweep(self) -> None:
        """Wait for the next sweep; it comes sooner after the loss of a VM."""
        await self._core.clock.async_sleep(SWEEP_SOON_MS)
        try:
            async with asyncio.timeout((SWEEP_MS - SWEEP_SOON_MS) / MS_PER_SECOND):
                await self._vm_lost.wait()
        except TimeoutError:
            return
        # VMs that return together become reachable one after another; the new owners are chosen
        # among all of them.
        self._vm_lost.clear()
        await self._core.clock.async_sleep(SWEEP_SOON_MS)

    async def _async_repeat(self) -> None:
        while True:
            await self._async_wait_for_sweep()
            await _async_log_failure(self._async_sweep())

    async def _async_sweep(self) -> None:
        fleet = self._core.blackboard.read(FLEET)
        if not fleet.loaded or self._links.is_isolated():
            return
        self._sweeps += 1
        assigned = self._list_assigned(fleet)
        swept = self._removed.union(assigned)
        self._seen_versions = {c: seen for c, seen in self._seen_versions.items() if c in swept}
        removes_old = self._sweeps % RETENTION_SWEEPS == 0
        for customer in assigned:
            sweep = self._async_sweep_customer(customer, removes_old=removes_old)
            await _async_log_failure(sweep)
        if self._sweeps % REMOVED_SWEEPS == 0:
            self._begin_removed_sweep()

    def _begin_removed_sweep(self) -> None:
        """Begin to sweep the customers that are not in the catalogue, if this daemon does so for the fleet.

        Their sweep runs beside that of the others, which it must not delay.
        """
        eligible = list_eligible(self._core)
        lister = max(eligible, key=lambda session: score(session, TABLE_OPEN), default="")
        if lister != self._core.session_id:
            self._set_removed(frozenset())
        elif self._removed_task is None or self._removed_task.done():
            self._removed_sweeps += 1
            removes_old = self._removed_sweeps % RETENTION_REMOVED_SWEEPS == 0
            sweep = self._async_sweep_removed(removes_old=removes_old)
            self._removed_task = asyncio.create_task(_async_log_failure(sweep))

    async def _async_sweep_removed(self, *, removes_old: bool) -> None:
        listed = await self._records.async_list_customers(open_only=not removes_old)
        catalogue = self._core.blackboard.read(CATALOGUE)
        if not catalogue.version or isinstance(listed, Err):
            return
        removed = sorted(set(listed.ok_value) - catalogue.customers.keys())
        if not removes_old:
            self._set_removed(frozenset(removed))
        for customer in removed:
            sweep = self._async_sweep_customer(customer, removes_old=removes_old)
            await _async_log_failure(sweep)

    def _set_removed(self, removed: frozenset[str]) -> None:
        if removed - self._removed:
            named = sorted(removed)[:MAX_LOGGED_CUSTOMERS]
            extra = {"customers": named, "count": len(removed)}
            _LOGGER.warning("Customers that are not in the catalogue have open jobs", extra=extra)
        self._removed = removed
        self._core.meters.set_gauge("removed_customers", float(len(removed)))

    def _list_assigned(self, fleet: Fleet) -> list[str]:
        """Return the customers whose jobs this daemon sweeps."""
        eligible = list_eligible(self._core)
        customers = frozenset(self._core.blackboard.read(CATALOGUE).customers)
        if (eligible, customers) != self._assigned_for:
            self._assigned_for = (eligible, customers)
            self._assignments.update(eligible, customers)
            self._assigned = self._assignments.list_customers(fleet.own_session)
        return self._assigned

    async def _async_sweep_customer(self, customer: str, *, removes_old: bool) -> None:
        listed = await self._records.async_list_open(customer)
        if isinstance(listed, Err):
            return
        for job in listed.ok_value.values():
            await self._async_check_owner(job)
        seen = {job.key: job.version for job in listed.ok_value.values()}
        self._seen_versions[customer] = seen
        if removes_old:
            await self._async_remove_old(customer, listed.ok_value)

    async def _async_check_owner(self, job: OpenJob) -> None:
        fleet = self._core.blackboard.read(FLEET)
        if job.owner in fleet.vms:
            if self._links.is_lost(job.owner, TAKEOVER_AFTER_MS):
                await self._async_take_over(job)
            elif self._seen_versions.get(job.key.customer, {}).get(job.key) == job.version:
                self._notify_owner(job)
            return
        # A daemon that has just started may accept a job before its session is known here, but
        # never before its session is in the store.
        sessions = await self._links.async_list_sessions()
        if sessions is not None and job.owner not in sessions:
            await self._async_take_over(job)

    def _notify_owner(self, job: OpenJob) -> None:
        # An owner whose commit of the acceptance was answered too late does not know about its job,
        # and one that a job was handed over to may have missed the notice.
        if job.owner != self._core.session_id:
            self._owner.notify(job.owner, job.key)
        elif not self._owner.owns(job.key):
            self._owner.load(job.key)

    async def _async_take_over(self, job: OpenJob) -> None:
        session = choose_owner(self._core, job)
        if not session:
            return
        extra = {"job": job.key.job, "before": job.owner, "owner": session}
        assigned = await self._records.async_assign(job, session)
        if isinstance(assigned, Err):
            reason = {"reason": assigned.err_value.message}
            _LOGGER.warning("Job without owner not taken over", extra=extra | reason)
            return
        _LOGGER.info("Job without owner taken over", extra=extra)
        if session == self._core.session_id:
            self._owner.load(job.key)
        else:
            self._owner.notify(session, job.key)

    async def _async_remove_old(self, customer: str, opened: dict[str, OpenJob]) -> None:
        listed = await self._records.async_list_records(customer)
        if isinstance(listed, Err):
            return
        kept_ms = int(self._core.settings.job_read_s * MS_PER_SECOND) + RETENTION_MARGIN_MS
        for record in listed.ok_value:
            age_ms = self._core.clock.now() - self._records.store_clock.to_local(
                record.submitted_at
            )
            if record.key.job not in opened and age_ms > kept_ms:
                removed = await self._records.async_remove(record)
                if isinstance(removed, Err):
                    return


async def _async_log_failure(sweep: Awaitable[None]) -> None:
    """Log an exception of a sweep: one customer must not leave the jobs of all others without an owner."""
    try:
        await sweep
    except Exception:
        _LOGGER.exception("Sweep failed")


def choose_owner(core: GatewayCore, job: OpenJob) -> str:
    """Return the session to own a job; daemons with the same fleet view choose the same one."""
    catalogue, (customer, name) = core.blackboard.read(CATALOGUE), (job.key.customer, job.key.job)
    regions = find_job_regions(catalogue, customer, job.route, job.customer_regions)
    eligible = filter_by_region(core, list_eligible(core), regions)
    return max(eligible, key=lambda session: score(session, customer, name), default="")


def filter_by_region(core: GatewayCore, sessions: Iterable[str], regions: Regions) -> list[str]:
    """Return the sessions whose VM is in one of `regions`; None means all."""
    if regions is None:
        return list(sessions)
    vms = core.blackboard.read(FLEET).vms
    return [session for session in sessions if session in vms and vms[session].region in regions]


def list_eligible(core: GatewayCore) -> frozenset[str]:
    """Return the sessions that may own jobs: those that are not leaving and can reach the store.

    Without the store, a daemon could not read the items of a job.
    """
    own = core.session_id
    eligible = set(core.get(FLEET_LINKS).list_with_store_access())
    ready = core.blackboard.read(FLEET).states.get(own) is VmState.READY
    if ready and not core.store_contact.is_unavailable():
        eligible.add(own)
    return frozenset(eligible)
