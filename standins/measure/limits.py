"""Over-admission and wrongful refusals: `python -m standins.measure.limits`."""

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
    """One load and one fault."""

    name: str
    seconds: int
    seeds: int
    bursty: bool = False
    steered: bool = False
    lost: int = 0
    """VMs lost, other than the homes of the greedy and the first other customer."""
    home_lost: bool = False
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
    """One request."""

    at_ms: int
    customer: str
    vm: str


@dataclass(slots=True)
class Tally:
    """What became of one customer's requests."""

    requests: int = 0
    admitted: list[int] = field(default_factory=list)
    by_oracle: int = 0
    by_split: int = 0


def make_arrivals(scenario: Scenario, seed: int, fleet: LimitFleet) -> list[Arrival]:
    """Return Poisson arrivals or Poisson lots; the greedy customer sends several times its rate."""
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    for customer in CUSTOMERS:
        factor = GREEDY_FACTOR if customer.name == GREEDY else WITHIN_FACTOR
        lot = BURST_REQUESTS if scenario.bursty else 1
        mean_ms = 1000 * lot / (customer.rate_per_s * factor)
        vms = choose_vms(scenario, customer.name, fleet, rng)
        at = rng.expovariate(1 / mean_ms)
        while at < scenario.seconds * 1000:
            arrivals += [Arrival(int(at), customer.name, rng.choice(vms)) for _ in range(lot)]
            at += rng.expovariate(1 / mean_ms)
    return sorted(arrivals, key=lambda arrival: arrival.at_ms)


def choose_vms(
    scenario: Scenario, customer: str, fleet: LimitFleet, rng: random.Random
) -> list[str]:
    """Return the VMs of a customer's callers, its home first if they are steered."""
    names = list(fleet.vms)
    if not scenario.steered:
        return names
    home = fleet.find_home(customer)
    return [home, *rng.sample([name for name in names if name != home], 2)]


def replay_bucket(arrivals: Sequence[Arrival], customer: Customer, parts: int) -> int:
    """Return how many requests pass `parts` equal buckets, one a VM, or one for all."""
    allowance = Allowance(customer.rate_per_s / parts, customer.burst / parts)
    buckets: dict[str, CoordinatorBucket] = {}
    passed = 0
    for arrival in arrivals:
        name = arrival.vm if parts > 1 else ""
        full = CoordinatorBucket(allowance, Millis(0), allowance.burst)
        passed += buckets.setdefault(name, full).spend(Millis(arrival.at_ms))
    return passed


async def async_disturb(scenario: Scenario, fleet: LimitFleet) -> None:
    """Cause the scenario's fault."""
    await fleet.clock.async_sleep(FAULT_AT_MS)
    greedy, first = (fleet.find_home(customer.name) for customer in CUSTOMERS[:2])
    if scenario.home_lost:
        await fleet.async_kill(first)
    others = [name for name in fleet.vms if name not in (greedy, first)]
    for name in others[: scenario.lost]:
        await fleet.async_kill(name)
    if scenario.outage_s:
        fleet.store.up = False
        await fleet.clock.async_sleep(scenario.outage_s * 1000)
        fleet.store.up = True


async def async_run(scenario: Scenario, seed: int) -> tuple[dict[str, Tally], float]:
    """Run one seed; returns the tallies and the messages a second and VM."""
    fleet = LimitFleet(VMS, CUSTOMERS)
    await fleet.async_start()
    arrivals = make_arrivals(scenario, seed, fleet)
    tallies = {customer.name: Tally() for customer in CUSTOMERS}
    named = {customer.name: customer for customer in CUSTOMERS}
    disturbance = asyncio.create_task(async_disturb(scenario, fleet))
    started = fleet.get_now()

    async def async_send(arrival: Arrival) -> None:
        alive = list(fleet.vms)
        vm = arrival.vm if arrival.vm in fleet.vms else alive[arrival.at_ms % len(alive)]
        outcome = await fleet.vms[vm].limits.async_admit(named[arrival.customer])
        tallies[arrival.customer].requests += 1
        if isinstance(outcome, Ok):
            tallies[arrival.customer].admitted.append(fleet.get_now() - started)

    running = []
    for arrival in arrivals:
        pause = arrival.at_ms - (fleet.get_now() - started)
        if pause > 0:
            await fleet.clock.async_sleep(pause)
        running.append(asyncio.create_task(async_send(arrival)))
    await asyncio.gather(*running)
    messages = fleet.count_messages() / scenario.seconds / VMS
    disturbance.cancel()
    await fleet.async_close()
    for customer in CUSTOMERS:
        own = [arrival for arrival in arrivals if arrival.customer == customer.name]
        tallies[customer.name].by_oracle = replay_bucket(own, customer, 1)
        tallies[customer.name].by_split = replay_bucket(own, customer, VMS)
    return tallies, messages


def report(scenario: Scenario) -> str:
    """Run all seeds of a scenario; returns one row of a table."""
    excess, messages = -1.0, 0.0
    missing = {True: 0, False: 0}
    split = {True: 0, False: 0}
    due = {True: 0, False: 0}
    for seed in range(scenario.seeds):
        tallies, rate = run_virtual(async_run(scenario, seed))
        messages = max(messages, rate)
        for customer in CUSTOMERS:
            tally, greedy = tallies[customer.name], customer.name == GREEDY
            worst = find_excess(sorted(tally.admitted), customer.rate_per_s, customer.burst)
            excess = max(excess, worst)
            missing[greedy] += max(0, tally.by_oracle - len(tally.admitted))
            split[greedy] += max(0, tally.by_oracle - tally.by_split)
            due[greedy] += tally.by_oracle
    cells = [scenario.name, str(scenario.seeds), f"{max(0.0, excess):.2f}"]
    for greedy in (False, True):
        cells.append(f"{100 * missing[greedy] / due[greedy]:.2f}%")
        cells.append(f"{100 * split[greedy] / due[greedy]:.2f}%")
    return "| " + " | ".join([*cells, f"{messages:.1f}"]) + " |"


def main() -> None:
    """Print the table."""
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
