"""Measures over-admission and wrongful refusals of limits.

Run with `python -m standins.measure.limits`.
"""

import argparse
import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from result import Ok

from goldcreststair.clock import Millis
from goldcreststair.components.configuration.models import Customer
from goldcreststair.components.limits.coordinator_bucket import CoordinatorBucket
from goldcreststair.components.limits.models import Allowance
from standins.measure.excess import find_excess
from standins.measure.limit_fleet import LimitFleet
from tests.helpers.virtual_time import run_virtual

VMS = 10
CUSTOMERS = tuple(Customer(f"customer{number}", 20.0, 40) for number in range(8))
GREEDY = CUSTOMERS[0].name
GREEDY_FACTOR = 5.0
WITHIN_FACTOR = 0.8
BURST_REQUESTS = 30
FAULT_AT_MS = 20_000


@dataclass(frozen=True, slots=True)
class Scenario:
    """A load and the fault that occurs under it."""

    name: str
    seconds: int
    seeds: int
    bursty: bool = False
    steered: bool = False
    lost: int = 0
    """VMs lost, other than the coordinators of the greedy and the first other customer."""
    home_lost: bool = False
    """Whether the coordinator of the first customer within its limits is lost."""
    outage_s: int = 0


SCENARIOS = (
    Scenario("steady, callers on all VMs", 60, 3),
    Scenario("bursty, callers on all VMs", 60, 3, bursty=True),
    Scenario("steady, callers on 3 VMs", 60, 3, steered=True),
    Scenario("bursty, callers on 3 VMs", 60, 3, bursty=True, steered=True),
    Scenario("two VMs lost", 60, 3, steered=True, lost=2),
    Scenario("a home lost", 60, 3, steered=True, home_lost=True),
    Scenario("store down 300 s", 330, 1, outage_s=300),
)


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request and the VM that its caller sends it to."""

    at_ms: int
    customer: str
    vm: str


@dataclass(slots=True)
class Tally:
    """Outcomes of one customer's requests."""

    requests: int = 0
    admitted: list[int] = field(default_factory=list)
    """Times of admission, in milliseconds since the start."""
    by_oracle: int = 0
    """Requests that one bucket for the whole fleet admits."""
    by_split: int = 0
    """Requests that equal buckets, one per VM, admit."""


def make_arrivals(scenario: Scenario, seed: int, fleet: LimitFleet) -> list[Arrival]:
    """Return Poisson arrivals, single or in bursts.

    The greedy customer sends several times its rate, all others less than theirs.
    """
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    for customer in CUSTOMERS:
        factor = GREEDY_FACTOR if customer.name == GREEDY else WITHIN_FACTOR
        burst_size = BURST_REQUESTS if scenario.bursty else 1
        mean_ms = 1000 * burst_size / (customer.rate_per_s * factor)
        vms = choose_vms(scenario, customer.name, fleet, rng)
        at_ms = rng.expovariate(1 / mean_ms)
        while at_ms < scenario.seconds * 1000:
            arrivals += [
                Arrival(int(at_ms), customer.name, rng.choice(vms)) for _ in range(burst_size)
            ]
            at_ms += rng.expovariate(1 / mean_ms)
    return sorted(arrivals, key=lambda arrival: arrival.at_ms)


def choose_vms(
    scenario: Scenario, customer: str, fleet: LimitFleet, rng: random.Random
) -> list[str]:
    """Return the VMs that a customer's callers use.

    Steered callers use three VMs, the first of which is the customer's limit coordinator.
    """
    names = list(fleet.vms)
    if not scenario.steered:
        return names
    coordinator = fleet.find_home(customer)
    return [coordinator, *rng.sample([name for name in names if name != coordinator], 2)]


def replay_bucket(arrivals: Sequence[Arrival], customer: Customer, parts: int) -> int:
    """Return how many requests are admitted by `parts` equal buckets.

    With several parts each VM has one of the buckets; with one, all VMs share it.
    """
    allowance = Allowance(customer.rate_per_s / parts, customer.burst / parts)
    buckets: dict[str, CoordinatorBucket] = {}
    admitted = 0
    for arrival in arrivals:
        vm = arrival.vm if parts > 1 else ""
        full = CoordinatorBucket(allowance, Millis(0), allowance.burst)
        admitted += buckets.setdefault(vm, full).spend(Millis(arrival.at_ms))
    return admitted


async def async_disturb(scenario: Scenario, fleet: LimitFleet) -> None:
    """Cause the fault of a scenario, `FAULT_AT_MS` after its start."""
    await fleet.clock.async_sleep(FAULT_AT_MS)
    greedy_vm, first_vm = (fleet.find_home(customer.name) for customer in CUSTOMERS[:2])
    if scenario.home_lost:
        await fleet.async_kill(first_vm)
    others = [name for name in fleet.vms if name not in (greedy_vm, first_vm)]
    for name in others[: scenario.lost]:
        await fleet.async_kill(name)
    if scenario.outage_s:
        fleet.store.up = False
        await fleet.clock.async_sleep(scenario.outage_s * 1000)
        fleet.store.up = True


async def async_run(scenario: Scenario, seed: int) -> tuple[dict[str, Tally], float]:
    """Run one seed; return the tallies by customer and the messages per second and VM."""
    fleet = LimitFleet(VMS, CUSTOMERS)
    await fleet.async_start()
    arrivals = make_arrivals(scenario, seed, fleet)
    tallies = {customer.name: Tally() for customer in CUSTOMERS}
    customers_by_name = {customer.name: customer for customer in CUSTOMERS}
    fault = asyncio.create_task(async_disturb(scenario, fleet))
    started_at = fleet.get_now()

    async def async_send(arrival: Arrival) -> None:
        alive = list(fleet.vms)
        vm = arrival.vm if arrival.vm in fleet.vms else alive[arrival.at_ms % len(alive)]
        outcome = await fleet.vms[vm].limits.async_admit(customers_by_name[arrival.customer])
        tallies[arrival.customer].requests += 1
        if isinstance(outcome, Ok):
            tallies[arrival.customer].admitted.append(fleet.get_now() - started_at)

    sends = []
    for arrival in arrivals:
        delay_ms = arrival.at_ms - (fleet.get_now() - started_at)
        if delay_ms > 0:
            await fleet.clock.async_sleep(delay_ms)
        sends.append(asyncio.create_task(async_send(arrival)))
    await asyncio.gather(*sends)
    messages = fleet.count_messages() / scenario.seconds / VMS
    fault.cancel()
    await fleet.async_close()
    for customer in CUSTOMERS:
        arrived = [arrival for arrival in arrivals if arrival.customer == customer.name]
        tallies[customer.name].by_oracle = replay_bucket(arrived, customer, 1)
        tallies[customer.name].by_split = replay_bucket(arrived, customer, VMS)
    return tallies, messages


def report(scenario: Scenario) -> str:
    """Run all seeds of a scenario; return its row of the table."""
    excess, messages = -1.0, 0.0
    missing = {True: 0, False: 0}
    split = {True: 0, False: 0}
    admissible = {True: 0, False: 0}
    for seed in range(scenario.seeds):
        tallies, rate = run_virtual(async_run(scenario, seed))
        messages = max(messages, rate)
        for customer in CUSTOMERS:
            tally, greedy = tallies[customer.name], customer.name == GREEDY
            worst = find_excess(sorted(tally.admitted), customer.rate_per_s, customer.burst)
            excess = max(excess, worst)
            missing[greedy] += max(0, tally.by_oracle - len(tally.admitted))
            split[greedy] += max(0, tally.by_oracle - tally.by_split)
            admissible[greedy] += tally.by_oracle
    cells = [scenario.name, str(scenario.seeds), f"{max(0.0, excess):.2f}"]
    for greedy in (False, True):
        cells.append(f"{100 * missing[greedy] / admissible[greedy]:.2f}%")
        cells.append(f"{100 * split[greedy] / admissible[greedy]:.2f}%")
    return "| " + " | ".join([*cells, f"{messages:.1f}"]) + " |"


def main() -> None:
    """Print a table with a row for each scenario."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--only", default="", help="Part of a scenario's name.")
    only = parser.parse_args().only
    print("| scenario | seeds | over | within | split | greedy | split | messages/s/VM |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for scenario in SCENARIOS:
        if only in scenario.name:
            print(report(scenario), flush=True)


if __name__ == "__main__":
    main()
