"""Loads of the overload measurement, and the times of their requests, jobs and faults.

Everything random in a load is drawn before the run, so that every policy gets the same callers,
items and faults.
"""

import random
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Final

from goldcreststair.const import MS_PER_SECOND

PERIOD_MS: Final = 6_000
BURST_MS: Final = 2_400
BURST_SHARE: Final = 1.91
LULL_SHARE: Final = 0.39
"""Demand over time: bursts of 2.4 s at 1.91 times the mean, between them 3.6 s at 0.39 times."""
ITEM_EVENTS: Final = 200
"""Mean number of events of an item."""
LEAST_EVENTS: Final = 50
JOB_ITEMS: Final = 10
"""Mean number of items of a job."""
ITEMS_SPREAD: Final = 4
"""Standard deviation of the number of items of a job."""
LEAST_ITEMS: Final = 2
DEFAULT_CUSTOMER: Final = "club"
TRIES: Final = 2
"""How often a caller sends a request or submits a job, the first attempt included."""
LOSS_MS: Final = PERIOD_MS + 3_700
"""When engines are lost: at the start of a burst."""
UNLIST_MS: Final = 3_000
"""From the loss of an engine to the removal of its entry."""
SLOW_MS: Final = 8_000
"""How long an engine is slow."""
TURN_MS: Final = 2_000
"""Interval between replacements of VMs."""
POWER_MS: Final = 2 * PERIOD_MS + 4_600
"""When all VMs are lost: in the middle of a burst."""
DARK_MS: Final = 1_000
"""From the loss of all VMs to their return."""


class FaultKind(StrEnum):
    """Kinds of faults and recoveries of engines and VMs."""

    ENGINE_LOST = "engine lost"
    ENGINE_UNLISTED = "engine unlisted"
    """The entry of a lost engine is removed from the store."""
    ENGINE_SLOW = "engine slow"
    ENGINE_QUICK = "engine quick again"
    VM_REPLACED = "VM replaced"
    VM_LOST = "VM lost"
    VM_BACK = "VM back"
    STORE_DOWN = "store refuses all"
    STORE_SILENT = "store silent"
    STORE_CUT = "store refuses a VM"
    STORE_BACK = "store back"


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault or a recovery of an engine or a VM."""

    at_ms: int
    """Milliseconds since the start of the load."""
    kind: FaultKind
    number: int = 0
    """Index of the engine or VM."""


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer with its rank and its part of the requests."""

    name: str
    priority: int
    share: float
    """Of all requests, relative to the other customers."""


@dataclass(frozen=True, slots=True)
class Load:
    """Rates of requests and jobs, the size of the fleet, and the faults that occur."""

    name: str
    requests_per_s: float = 27.0
    jobs_per_s: float = 0.34
    engines: int = 6
    vms: int = 6
    seconds: int = 36
    faults: tuple[Fault, ...] = ()
    customers: tuple[Customer, ...] = ()
    """Customers of the requests; if empty, all are of one customer."""


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's request for a stream."""

    name: str
    at_ms: int
    entries: tuple[float, ...]
    """The VM of each attempt, as a fraction from 0 to 1 of the list of VMs that are up."""
    customer: str = DEFAULT_CUSTOMER


@dataclass(frozen=True, slots=True)
class Job:
    """A caller's batch job."""

    name: str
    at_ms: int
    entries: tuple[float, ...]
    """The VM of each attempt to submit, as in `Request`."""
    events: tuple[int, ...]
    """Number of events of each item."""


@dataclass(frozen=True, slots=True)
class Record:
    """All requests, jobs and faults of a load; times are in ms since its start."""

    requests: tuple[Request, ...]
    jobs: tuple[Job, ...]
    faults: tuple[Fault, ...]


def draw_record(load: Load, seed: int) -> Record:
    """Draw a load; requests and jobs use separate random generators."""
    requests = _draw_requests(load, random.Random(f"requests {seed}"))
    if load.customers:
        requests = _draw_customers(requests, load.customers, random.Random(f"customers {seed}"))
    jobs = _draw_jobs(load, random.Random(f"jobs {seed}"))
    return Record(tuple(requests), tuple(jobs), load.faults)


def _draw_requests(load: Load, rng: random.Random) -> Iterator[Request]:
    at_ms, number = 0, 0
    while at_ms < load.seconds * MS_PER_SECOND:
        in_burst = at_ms % PERIOD_MS >= PERIOD_MS - BURST_MS
        rate = load.requests_per_s * (BURST_SHARE if in_burst else LULL_SHARE)
        at_ms += round(rng.expovariate(rate) * MS_PER_SECOND)
        number += 1
        yield Request(f"r{number}", at_ms, _draw_entries(rng))


def _draw_customers(
    requests: Iterable[Request], customers: Sequence[Customer], rng: random.Random
) -> Iterator[Request]:
    names = [customer.name for customer in customers]
    shares = [customer.share for customer in customers]
    for request in requests:
        yield replace(request, customer=rng.choices(names, shares)[0])


def _draw_jobs(load: Load, rng: random.Random) -> Iterator[Job]:
    at_ms, number = 0, 0
    while True:
        at_ms += round(rng.expovariate(load.jobs_per_s) * MS_PER_SECOND)
        if at_ms >= load.seconds * MS_PER_SECOND:
            return
        number += 1
        count = max(LEAST_ITEMS, round(rng.gauss(JOB_ITEMS, ITEMS_SPREAD)))
        events = tuple(_draw_events(rng) for _ in range(count))
        yield Job(f"job{number}", at_ms, _draw_entries(rng), events)


def _draw_entries(rng: random.Random) -> tuple[float, ...]:
    return tuple(rng.random() for _ in range(TRIES))


def _draw_events(rng: random.Random) -> int:
    return max(LEAST_EVENTS, round(rng.gauss(ITEM_EVENTS, ITEM_EVENTS / 4)))


WIDE_VMS: Final = 80
WIDE_ENGINES: Final = 30
ENGINE_SLOW: Final = (
    Fault(PERIOD_MS, FaultKind.ENGINE_SLOW),
    Fault(PERIOD_MS + SLOW_MS, FaultKind.ENGINE_QUICK),
)
VMS_REPLACED: Final = tuple(
    Fault((number + 1) * TURN_MS, FaultKind.VM_REPLACED, number) for number in range(6)
)


def lose_vms(vms: int) -> tuple[Fault, ...]:
    """Return the faults of losing all VMs at once and getting them back."""
    return (
        *(Fault(POWER_MS, FaultKind.VM_LOST, number) for number in range(vms)),
        *(Fault(POWER_MS + DARK_MS, FaultKind.VM_BACK, number) for number in range(vms)),
    )


def lose_engines(numbers: Iterable[int]) -> tuple[Fault, ...]:
    """Return the faults of losing several engines in a burst."""
    return tuple(
        fault
        for number in numbers
        for fault in (
            Fault(LOSS_MS, FaultKind.ENGINE_LOST, number),
            Fault(LOSS_MS + UNLIST_MS, FaultKind.ENGINE_UNLISTED, number),
        )
    )


def make_wide_load(name: str, faults: tuple[Fault, ...]) -> Load:
    """Return a load for a fleet of many small VMs."""
    return Load(name, 111.0, 1.28, engines=WIDE_ENGINES, vms=WIDE_VMS, seconds=24, faults=faults)


LOADS: Final = (
    Load("bursts within capacity"),
    Load("bursts beyond capacity", engines=4, jobs_per_s=0.7),
    Load("an engine lost in a burst", engines=5, jobs_per_s=0.8, faults=lose_engines([0])),
    Load("one engine of six slow", jobs_per_s=0.6, faults=ENGINE_SLOW),
    Load("VMs replaced in turn", engines=4, jobs_per_s=0.7, faults=VMS_REPLACED),
    Load("all VMs lost at once", engines=5, jobs_per_s=0.8, faults=lose_vms(6)),
    Load("six times the jobs", jobs_per_s=2.0, seconds=18),
    make_wide_load("80 VMs, a third of the engines lost", lose_engines(range(0, WIDE_ENGINES, 3))),
    make_wide_load("80 VMs, all lost at once", lose_vms(WIDE_VMS)),
)
