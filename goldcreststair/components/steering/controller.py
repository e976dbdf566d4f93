"""Chooses the VMs that a customer's callers should use."""

import hashlib
import math
from collections.abc import Iterable

from goldcreststair.components.configuration.models import Customer
from goldcreststair.components.membership.models import Member, MemberState
from goldcreststair.components.steering.const import (
    ADDRESS_LIFETIME_S,
    CENTRE_FACTOR,
    LOAD_FACTOR,
    LOAD_SLACK,
    MAX_ADDRESSES,
    MIN_VMS,
    RATE_PER_VM,
)
from goldcreststair.components.steering.models import SteeringAnswer, SteeringFacts


def choose_addresses(facts: SteeringFacts) -> SteeringAnswer:
    """Return the addresses for one caller; the same facts give the same answer on every VM."""
    usable = _find_usable(facts)
    loaded = _find_loaded(facts, usable)
    near, far = _split_by_distance(facts, usable)
    centres = len({member.data_centre for member in usable})
    ranked = _rank(facts.customer.name, near or far, loaded)
    pool = ranked[: count_vms(facts.customer, centres)]
    home = next((member for member in usable if member.session_id == facts.home), None)
    if home is not None and home not in pool and _wants_home(facts, home, loaded):
        pool = [home, *pool]
    ordered = _order_pool(facts, pool, home, loaded)[: MAX_ADDRESSES - 1]
    ordered += _choose_elsewhere(facts, ordered, usable, loaded)
    addresses = tuple(f"{member.address}:{member.http_port}" for member in ordered)
    return SteeringAnswer(addresses, ADDRESS_LIFETIME_S)


def count_vms(customer: Customer, centres: int) -> int:
    """Return how many VMs a customer's callers use in one of `centres` data centres.

    Callers are seldom spread evenly, so each data centre is given twice its even part.

    >>> count_vms(Customer("small", 5, 10), 3), count_vms(Customer("large", 200, 400), 3)
    (2, 6)
    """
    part = min(1.0, CENTRE_FACTOR / max(1, centres))
    return max(MIN_VMS, math.ceil(customer.rate_per_s * part / RATE_PER_VM))


def _wants_home(facts: SteeringFacts, home: Member, loaded: set[str]) -> bool:
    # Callers of a large customer from every data centre would overload its home.
    small = facts.customer.rate_per_s <= RATE_PER_VM
    return home.session_id not in loaded and (small or home.data_centre == facts.data_centre)


def _find_usable(facts: SteeringFacts) -> list[Member]:
    serving = [
        member
        for member in facts.members
        if member.state is MemberState.SERVING and member.address not in facts.leaving_vms
    ]
    trusted = [member for member in serving if member.session_id not in facts.suspected]
    return trusted or serving


def _find_loaded(facts: SteeringFacts, usable: list[Member]) -> set[str]:
    # Judged against the mean, so a fleet that is busy everywhere keeps its customers in place.
    loads = {member.session_id: facts.loads.get(member.session_id, 0) for member in usable}
    bound = LOAD_FACTOR * sum(loads.values()) / max(1, len(loads)) + LOAD_SLACK
    return {session_id for session_id, load in loads.items() if load > bound}


def _split_by_distance(
    facts: SteeringFacts, usable: list[Member]
) -> tuple[list[Member], list[Member]]:
    near = [member for member in usable if member.data_centre == facts.data_centre]
    return near, [member for member in usable if member.data_centre != facts.data_centre]


def _order_pool(
    facts: SteeringFacts, pool: list[Member], home: Member | None, loaded: set[str]
) -> list[Member]:
    """Put the home first for a customer that one VM can serve; else spread its callers."""
    ranked = _rank(f"{facts.customer.name}/{facts.caller}", pool, loaded)
    if home in ranked and facts.customer.rate_per_s <= RATE_PER_VM:
        ranked.sort(key=lambda member: (member.session_id in loaded, member is not home))
    return ranked


def _choose_elsewhere(
    facts: SteeringFacts, chosen: list[Member], usable: list[Member], loaded: set[str]
) -> list[Member]:
    # A lost data centre must leave every caller an address that still works.
    centres = {member.data_centre for member in chosen}
    if len(centres) > 1:
        return []
    others = {member.data_centre for member in usable} - centres
    if not others:
        return []
    other = min(others, key=lambda centre: _score(facts.customer.name, centre))
    members = [member for member in usable if member.data_centre == other]
    return _rank(facts.customer.name, members, loaded)[:1]


def _rank(key: str, members: Iterable[Member], loaded: set[str]) -> list[Member]:
    """Return members by rendezvous hash, loaded ones last: few places change with the members."""

    def score(member: Member) -> tuple[bool, bytes]:
        return member.session_id in loaded, _score(key, member.session_id)

    return sorted(members, key=score)


def _score(key: str, candidate: str) -> bytes:
    return hashlib.blake2b(f"{key}/{candidate}".encode(), digest_size=8).digest()
