"""Spread of load, VMs of a customer and callers that move: `python -m standins.measure.steering`."""

import dataclasses
import random
from collections import Counter
from collections.abc import Mapping, Sequence

from goldcreststair.components.configuration.models import Customer
from goldcreststair.components.membership.models import Member, MemberState
from goldcreststair.components.steering.controller import choose_addresses
from goldcreststair.components.steering.models import SteeringQuery


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """One size to measure."""

    name: str
    vms: int
    centres: int
    customers: tuple[Customer, ...]
    callers_per_rate: float
    """Callers of a customer for each request a second."""
    rounds: int


def make_customers(count: int, large: int, rate: float) -> tuple[Customer, ...]:
    """Return customers of whom the first few are large."""
    rates = [rate * 8 if number < large else rate for number in range(count)]
    return tuple(Customer(f"customer{n}", r, int(2 * r)) for n, r in enumerate(rates))


FLEETS = (
    Fleet("today", 11, 3, make_customers(8, 2, 20), 0.5, 40),
    Fleet("letter size", 820, 9, make_customers(230, 30, 80), 0.1, 12),
)


def make_members(fleet: Fleet) -> tuple[Member, ...]:
    """Return a fleet's members."""
    return tuple(
        Member(f"s{n}", f"vm{n}", 80, 81, f"dc{n % fleet.centres}", "r", MemberState.SERVING)
        for n in range(fleet.vms)
    )


def place(
    fleet: Fleet, members: Sequence[Member], loads: Mapping[str, int]
) -> dict[tuple[str, int], str]:
    """Return the first address of every caller."""
    rng = random.Random(1)
    placed = {}
    for customer in fleet.customers:
        home = rng.choice(members).session_id
        for number in range(max(1, int(customer.rate_per_s * fleet.callers_per_rate))):
            centre = f"dc{number % fleet.centres}"
            caller = f"caller{number}"
            facts = SteeringQuery(customer, caller, centre, tuple(members), loads, home)
            placed[(customer.name, number)] = choose_addresses(facts).addresses[0]
    return placed


def spread(placed: Mapping[tuple[str, int], str], members: Sequence[Member]) -> tuple[float, float]:
    """Return the busiest VM against the mean, and the mean number of VMs a customer."""
    counts = Counter(placed.values())
    users: dict[str, set[str]] = {}
    for (customer, _), address in placed.items():
        users.setdefault(customer, set()).add(address)
    mean = len(placed) / len(members)
    return max(counts.values()) / mean, sum(map(len, users.values())) / len(users)


def settle(fleet: Fleet, members: Sequence[Member]) -> dict[tuple[str, int], str]:
    """Follow the loads: each round a quarter of the callers asks again under those of before."""
    placed = place(fleet, members, {})
    rng = random.Random(2)
    for _ in range(fleet.rounds):
        counts = Counter(placed.values())
        loads = {m.session_id: counts.get(f"{m.address}:{m.http_port}", 0) for m in members}
        fresh = place(fleet, members, loads)
        placed.update({caller: fresh[caller] for caller in placed if rng.random() < 0.25})
    return placed


def main() -> None:
    """Print the table."""
    print("| fleet | busiest / mean | VMs a customer | other callers moved by one loss |")
    print("| --- | --- | --- | --- |")
    for fleet in FLEETS:
        members = make_members(fleet)
        before = place(fleet, members, {})
        busiest, width = spread(before, members)
        lost = Counter(before.values()).most_common(1)[0][0]
        rest = tuple(
            (
                dataclasses.replace(m, state=MemberState.LEAVING)
                if f"{m.address}:{m.http_port}" == lost
                else m
            )
            for m in members
        )
        after = place(fleet, rest, {})
        others = [caller for caller, address in before.items() if address != lost]
        moved = sum(before[caller] != after[caller] for caller in others)
        part = f"{100 * moved / len(others):.2f}%"
        print(f"| {fleet.name} | {busiest:.2f} | {width:.2f} | {part} |")
        busiest, width = spread(settle(fleet, members), members)
        print(f"| {fleet.name}, loads followed | {busiest:.2f} | {width:.2f} | |", flush=True)


if __name__ == "__main__":
    main()
