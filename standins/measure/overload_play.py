"""Runs a load of the overload measurement against a fleet of real gateway daemons."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from operator import attrgetter
from typing import Any, Final

from goldcreststair.clock import Clock, LoopClock
from goldcreststair.components.entry.service import ENTRY
from goldcreststair.components.forwarding.protocols import FORWARDING
from goldcreststair.components.jobs.codec import decode_results
from goldcreststair.components.jobs.const import TABLE_RESULTS
from goldcreststair.components.jobs.models import ItemResult
from goldcreststair.components.requests.models import CallerRequest
from goldcreststair.const import MS_PER_SECOND
from standins.gateways import FakeResponder, FleetMember, GatewayFleet, make_fleet
from standins.measure.overload_figures import Came, Figures, Listed, Outcome
from standins.measure.overload_loads import (
    DEFAULT_CUSTOMER,
    Fault,
    FaultKind,
    Job,
    Load,
    Record,
    Request,
    draw_record,
)
from standins.measure.overload_policies import Policy, apply_policy
from standins.run_engines import RunEngine, make_text
from standins.virtual_time import run_virtual

OBJECTIVE_MS: Final = 300
"""An answer is in time if its first event arrives within this time."""
DEADLINE_MS: Final = 5_000
"""How long a caller waits for all attempts of a request."""
DUE_MS: Final = 18_000
"""An item is in time if its result is stored within this time of its job's arrival."""
REQUEST_EVENTS: Final = 35
EVENT_MS: Final = 20
"""Time between events at an engine of normal speed."""
FIRST_MS: Final = 60
"""From the start of a run to its first event at an engine of normal speed."""
SLOWNESS: Final = 2.6
"""Factor by which a slow engine takes longer."""
ITEM_TOKENS: Final = 2_000
START_MS: Final = 1_500
"""Time for the daemons to start before the load begins."""
HALF_MS_S: Final = 0.000_5
REST_MS: Final = 22_000
"""Time for the last jobs to finish."""
REPLACE_MS: Final = 500
"""From the stop of a VM to the start of its replacement at the same address."""


@dataclass(slots=True)
class Play:
    """A run of one load."""

    load: Load
    record: Record
    fleet: GatewayFleet
    figures: Figures = field(default_factory=Figures)
    engines: list[RunEngine] = field(default_factory=list)
    addresses: list[str] = field(default_factory=list)
    """Addresses of the VMs, by their numbers in the load."""
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    began: int = 0
    """Time at which the load started, on the clock of the fleet."""

    @property
    def clock(self) -> Clock:
        """The clock of the fleet."""
        return self.fleet.clock

    async def async_run(self) -> None:
        """Run the load until its last jobs have had time to finish."""
        self._add_engines()
        self._write_customers()
        members = await self.fleet.async_add_many(self.load.vms)
        self.addresses = [member.address for member in members]
        await self.clock.async_sleep(START_MS)
        # Timers may fire early by a rounding error. At the boundary of a millisecond, two runs of
        # one load would then read different times.
        await asyncio.sleep(HALF_MS_S)
        self.began = self.clock.now()
        for coroutine in (self._async_jobs(), self._async_faults()):
            self.tasks.append(asyncio.create_task(coroutine))
        await self._async_requests()
        await self.clock.async_sleep(REST_MS)
        self._end_tasks()
        self._count_events()

    def _end_tasks(self) -> None:
        for task in self.tasks:
            if task.done():
                task.result()
            task.cancel()

    def _add_engines(self) -> None:
        self.fleet.engines.events = REQUEST_EVENTS
        for number in range(self.load.engines):
            engine = self.fleet.add_engines(1)[0]
            engine.first_ms, engine.event_ms = FIRST_MS, EVENT_MS
            engine.data_centre = f"dc{number % 3}"
            self.engines.append(engine)

    def _write_customers(self) -> None:
        if self.load.customers:
            raw: list[Mapping[str, Any]] = [
                {"name": each.name, "priority": each.priority} for each in self.load.customers
            ]
            names = [DEFAULT_CUSTOMER, *(each.name for each in self.load.customers)]
            keys = {f"key-{name}": name for name in names}
            customers = ({"name": DEFAULT_CUSTOMER}, *raw)
            self.fleet.write_catalogue(2, customers=customers, keys=keys)

    async def _async_sleep_until(self, at_ms: int) -> None:
        await self.clock.async_sleep(max(0, self.began + at_ms - self.clock.now()))

    def _record_arrival(self, name: str, events: tuple[int, ...] = ()) -> None:
        self.figures.came.append(Came(self.clock.now() - self.began, name, events))

    async def _async_requests(self) -> None:
        for request in self.record.requests:
            await self._async_sleep_until(request.at_ms)
            self._record_arrival(request.name)
            self.tasks.append(asyncio.create_task(self._async_request(request)))

    async def _async_request(self, request: Request) -> None:
        figures, sent_at = self.figures, self.clock.now()
        figures.requests += 1
        for attempt, entry in enumerate(request.entries):
            left_ms = sent_at + DEADLINE_MS - self.clock.now()
            name = f"{request.name}.{attempt}"
            answer = await self._async_send(
                "/stream/x", b"", left_ms, name, entry, request.customer
            )
            if answer is not None and answer.whole:
                first_ms = answer.event_times[0] - sent_at
                figures.firsts_ms.append(first_ms)
                figures.in_time += first_ms <= OBJECTIVE_MS
                figures.late += first_ms > OBJECTIVE_MS
                return
            refusal = answer.refusal if answer is not None else None
            if attempt or (refusal is not None and not refusal.not_run):
                return
            delay_ms = refusal.retry_after_ms if refusal is not None else 50
            await self.clock.async_sleep(min(delay_ms, max(0, left_ms // 3)))

    async def _async_send(
        self,
        path: str,
        body: bytes,
        left_ms: int,
        request_id: str,
        entry: float,
        customer: str = DEFAULT_CUSTOMER,
    ) -> FakeResponder | None:
        """Send a request to a VM; return None if there is none or it was lost before its answer.

        `entry` selects the VM, as a fraction from 0 to 1 of the list of VMs that are up.
        """
        if not self.fleet.members or left_ms <= 0:
            return None
        sent_at = self.clock.now()
        request = replace(
            self.fleet.make_request(path, body, left_ms, request_id), key=f"key-{customer}"
        )
        responder = await self._async_serve(request, _choose_member(self.fleet.members, entry))
        outcome = Outcome(request.request_id, "none", sent_at, self.clock.now())
        if responder is not None:
            events = tuple(responder.event_times)
            outcome = replace(outcome, answer=_classify(responder), event_times=events)
        self.figures.outcomes.append(outcome)
        return responder

    async def _async_serve(
        self, request: CallerRequest, member: FleetMember
    ) -> FakeResponder | None:
        responder = FakeResponder(self.clock)
        forwarding = asyncio.ensure_future(
            member.core.get(FORWARDING).async_forward(request, responder)
        )
        while not forwarding.done():
            await asyncio.wait({forwarding}, timeout=0.02)
            if member not in self.fleet.members and not forwarding.done():
                forwarding.cancel()
                return None
        return responder

    async def _async_jobs(self) -> None:
        for job in self.record.jobs:
            await self._async_sleep_until(job.at_ms)
            self._record_arrival(job.name, job.events)
            self.tasks.append(asyncio.create_task(self._async_job(job)))

    async def _async_job(self, job: Job) -> None:
        sent_at = self.clock.now()
        self.figures.items += len(job.events)
        names = [f"{job.name}-{number}" for number in range(len(job.events))]
        self.fleet.engines.events_by_request.update(zip(names, job.events, strict=True))
        lines = "\n".join(f"{name} {ITEM_TOKENS}" for name in names).encode()
        for entry in job.entries:
            answer = await self._async_send(
                f"/batch/{job.name}", lines, DEADLINE_MS, job.name, entry
            )
            if answer is not None and answer.accepted:
                break
            await self.clock.async_sleep(MS_PER_SECOND)
        await self._async_watch(job.name, len(job.events), sent_at)

    async def _async_watch(self, name: str, count: int, sent_at: int) -> None:
        listed = 0
        while listed < count:
            await self.clock.async_sleep(200)
            rows = [row for row in self.fleet.store.rows if row.table == "job_results"]
            stored = sum(row.key.startswith(f"{name}/") for row in rows)
            age_ms = self.clock.now() - sent_at
            in_time = stored - listed if age_ms <= DUE_MS else 0
            self.figures.items_in_time += in_time
            self.figures.items_late += stored - listed - in_time
            if stored != listed:
                self.figures.listed.append(Listed(self.clock.now(), name, stored))
            listed = stored

    async def _async_faults(self) -> None:
        for fault in self.record.faults:
            await self._async_sleep_until(fault.at_ms)
            self._record_arrival(f"{fault.kind} {fault.number}")
            self.tasks.append(asyncio.create_task(self._async_apply(fault)))

    async def _async_apply(self, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.VM_REPLACED:
                await self._async_replace(self._find_member(fault.number))
            case FaultKind.VM_LOST:
                await self.fleet.async_kill(self._find_member(fault.number))
            case FaultKind.VM_BACK:
                await self.fleet.async_add(self.addresses[fault.number])
            case (
                FaultKind.STORE_DOWN
                | FaultKind.STORE_SILENT
                | FaultKind.STORE_CUT
                | FaultKind.STORE_BACK
            ):
                self._apply_to_store(fault)
            case _:
                self._apply_to_engine(fault.kind, self.engines[fault.number])

    def _apply_to_engine(self, kind: FaultKind, engine: RunEngine) -> None:
        match kind:
            case FaultKind.ENGINE_LOST:
                engine.up = False
            case FaultKind.ENGINE_UNLISTED:
                self.fleet.unregister(engine)
            case FaultKind.ENGINE_SLOW:
                engine.first_ms = round(FIRST_MS * SLOWNESS)
                engine.event_ms = round(EVENT_MS * SLOWNESS)
            case FaultKind.ENGINE_QUICK:
                engine.first_ms, engine.event_ms = FIRST_MS, EVENT_MS

    def _apply_to_store(self, fault: Fault) -> None:
        faults = self.fleet.store.faults
        if fault.kind is FaultKind.STORE_CUT:
            self._find_member(fault.number).view.cut = True
            return
        faults.down = fault.kind is FaultKind.STORE_DOWN
        faults.silent = fault.kind is FaultKind.STORE_SILENT
        if fault.kind is FaultKind.STORE_BACK:
            for member in self.fleet.members:
                member.view.cut = False

    def _find_member(self, number: int) -> FleetMember:
        address = self.addresses[number]
        return next(member for member in self.fleet.members if member.address == address)

    async def _async_replace(self, member: FleetMember) -> None:
        """Stop a VM gracefully and start a new one at its address."""
        service = member.core.get(ENTRY)
        service.leave()
        await service.async_wait()
        await self.fleet.async_kill(member)
        await self.clock.async_sleep(REPLACE_MS)
        await self.fleet.async_add(member.address)

    def _count_events(self) -> None:
        engines = self.fleet.engines
        self.figures.events_made = sum(engines.made.values())
        self.figures.events_repeated = sum(
            max(0, engines.made[name] - events)
            for name, events in engines.events_by_request.items()
        )
        rows = self.fleet.store.rows
        results = sorted((key for key in rows if key.table == TABLE_RESULTS), key=attrgetter("key"))
        self.figures.items_wrong = _count_wrong(
            decode_results([rows[key] for key in results]), engines.events_by_request
        )
        for row in self.fleet.store.rows.values():
            if row.key.table == "job_results":
                self.figures.events_kept += row.value.count(b"\n") + 1
        self.figures.ran = {
            engine.name: [f"{call.request_id} after {call.resume_after}" for call in engine.ran]
            for engine in engines.by_address.values()
        }


def _count_wrong(results: Sequence[ItemResult], events: Mapping[str, int]) -> int:
    """Return how many results repeat another one's item or have not its whole text."""
    first = {result.item_id: result for result in reversed(results)}
    whole = [
        item
        for item, result in first.items()
        if not result.done or result.text == make_text(item, events[item])
    ]
    return len(results) - len(whole)


def _choose_member(members: Sequence[FleetMember], entry: float) -> FleetMember:
    return members[int(entry * len(members))]


def _classify(responder: FakeResponder) -> str:
    if responder.refusal is not None:
        return responder.refusal.code
    if responder.accepted:
        return "accepted"
    return "whole" if responder.whole else "broken"


def measure(load: Load, seed: int, policy: Policy) -> Figures:
    """Run a load once with a policy in virtual time and return its figures."""

    async def async_run() -> Figures:
        play = Play(load, draw_record(load, seed), make_fleet(LoopClock()))
        play.fleet.features = policy.features
        try:
            await play.async_run()
            return play.figures
        finally:
            await play.fleet.async_close()

    with apply_policy(policy):
        return run_virtual(async_run())
