"""Chooses the VMs that a customer's callers should use."""

import hashlib
import math
from collections.abc import Iterable

from goldcreststair.components.configuration.models import Customer
from goldcreststair.components.membership.models import Member, MemberState
from goldcreststair.components.steering.const import (
    ADDRESS_LIFETIME_S,
    DATA_CENTRE_FACTOR,
    LOAD_FACTOR,
    LOAD_SLACK,
    MAX_ADDRESSES,
    MIN_VMS,
    RATE_PER_VM,
)
from goldcreststair.components.steering.models import SteeringQuery, SteeringResult


def choose_addresses(query: SteeringQuery) -> SteeringResult:
    """Return the addresses for one caller; every VM returns the same for the same query."""
    usable = _find_usable(query)
    loaded = _find_loaded(query, usable)
    near, far = _split_by_distance(query, usable)
    data_centres = len({member.data_centre for member in usable})
    ranked = _rank(query.customer.name, near or far, loaded)
    pool = ranked[: count_vms(query.customer, data_centres)]
    coordinator = next(
        (member for member in usable if member.session_id == query.coordinator), None
    )
    if (
        coordinator is not None
        and coordinator not in pool
        and _should_add_coordinator(query, coordinator, loaded)
    ):
        pool = [coordinator, *pool]
    ordered = _order_pool(query, pool, coordinator, loaded)[: MAX_ADDRESSES - 1]
    ordered += _choose_elsewhere(query, ordered, usable, loaded)
    addresses = tuple(f"{member.address}:{member.http_port}" for member in ordered)
    return SteeringResult(addresses, ADDRESS_LIFETIME_S)


def count_vms(customer: Customer, data_centres: int) -> int:
    """Return how many VMs a customer's callers use in one of `centres` data centres.

    Callers are seldom spread evenly, so that each data centre gets twice its even share.

    >>> count_vms(Customer("small", 5, 10), 3), count_vms(Customer("large", 200, 400), 3)
    (2, 6)
    """
    share = min(1.0, DATA_CENTRE_FACTOR / max(1, data_centres))
    return max(MIN_VMS, math.ceil(customer.rate_per_s * share / RATE_PER_VM))


def _should_add_coordinator(query: SteeringQuery, coordinator: Member, loaded: set[str]) -> bool:
    # Callers of a large customer from every data centre would overload its coordinator.
    small = query.customer.rate_per_s <= RATE_PER_VM
    return coordinator.session_id not in loaded and (
        small or coordinator.data_centre == query.data_centre
    )


def _find_usable(query: SteeringQuery) -> list[Member]:
    serving = [
        member
        for member in query.members
        if member.state is MemberState.SERVING and member.address not in query.leaving_vms
    ]
    trusted = [member for member in serving if member.session_id not in query.suspected]
    return trusted or serving


def _find_loaded(query: SteeringQuery, usable: list[Member]) -> set[str]:
    # The bound is relative to the mean, so that customers keep their VMs while the whole fleet is
    # busy.
    loads = {member.session_id: query.loads.get(member.session_id, 0) for member in usable}
    bound = LOAD_FACTOR * sum(loads.values()) / max(1, len(loads)) + LOAD_SLACK
    return {session_id for session_id, load in loads.items() if load > bound}


def _split_by_distance(
    query: SteeringQuery, usable: list[Member]
) -> tuple[list[Member], list[Member]]:
    near = [member for member in usable if member.data_centre == query.data_centre]
    return near, [member for member in usable if member.data_centre != query.data_centre]


def _order_pool(
    query: SteeringQuery, pool: list[Member], coordinator: Member | None, loaded: set[str]
) -> list[Member]:
    """Put the coordinator first for a customer that one VM can serve; else spread its callers."""
    ranked = _rank(f"{query.customer.name}/{query.caller}", pool, loaded)
    if coordinator in ranked and query.customer.rate_per_s <= RATE_PER_VM:
        ranked.sort(key=lambda member: (member.session_id in loaded, member is not coordinator))
    return ranked


def _choose_elsewhere(
    query: SteeringQuery, chosen: list[Member], usable: list[Member], loaded: set[str]
) -> list[Member]:
    # After the loss of a data centre every caller must have an address that still works.
    data_centres = {member.data_centre for member in chosen}
    if len(data_centres) > 1:
        return []
    others = {member.data_centre for member in usable} - data_centres
    if not others:
        return []
    other_data_centre = min(others, key=lambda each: _score(query.customer.name, each))
    members = [member for member in usable if member.data_centre == other_data_centre]
    return _rank(query.customer.name, members, loaded)[:1]


def _rank(key: str, members: Iterable[Member], loaded: set[str]) -> list[Member]:
    """Return members ordered by rendezvous hash, loaded ones last.

    A change of the members moves only few callers.
    """

    def score(member: Member) -> tuple[bool, bytes]:
        return member.session_id in loaded, _score(key, member.session_id)

    return sorted(members, key=score)


def _score(key: str, candidate: str) -> bytes:
    return hashlib.blake2b(f"{key}/{candidate}".encode(), digest_size=8).digest()
