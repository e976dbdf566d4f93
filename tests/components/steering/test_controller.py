"""Which VMs callers are sent to."""

import dataclasses
from typing import Any

import pytest

from goldcreststair.components.configuration.models import Customer
from goldcreststair.components.membership.models import Member, MemberState
from goldcreststair.components.steering.controller import choose_addresses
from goldcreststair.components.steering.models import SteeringFacts

SMALL = Customer("small", 10, 20)
LARGE = Customer("large", 100, 200)


def make_members(count: int = 9, centres: int = 3) -> tuple[Member, ...]:
    return tuple(
        Member(
            session_id=f"s{number}",
            address=f"10.0.0.{number}",
            http_port=80,
            peer_port=81,
            data_centre=f"dc{number % centres}",
            region="r",
            state=MemberState.SERVING,
        )
        for number in range(count)
    )


def choose(customer: Customer = SMALL, caller: str = "c", **facts: Any) -> tuple[str, ...]:
    values: dict[str, Any] = {"members": make_members(), "data_centre": "dc0", **facts}
    return choose_addresses(SteeringFacts(customer, caller, **values)).addresses


@pytest.mark.parametrize("customer", [SMALL, LARGE])
def test_names_near_vms_and_one_elsewhere(customer: Customer) -> None:
    numbers = [int(address.split(":")[0].rpartition(".")[2]) for address in choose(customer)]
    assert all(number % 3 == 0 for number in numbers[:2])
    assert any(number % 3 for number in numbers)
    assert len(set(numbers)) == len(numbers) >= 3


@pytest.mark.parametrize("data_centre", ["dc0", "dc1", "unknown"])
def test_home_comes_first_for_a_small_customer(data_centre: str) -> None:
    assert choose(home="s4", data_centre=data_centre)[0] == "10.0.0.4:80"


def test_loaded_home_is_not_first() -> None:
    assert choose(home="s3", loads={"s3": 60})[0] != "10.0.0.3:80"


def test_callers_of_a_large_customer_start_at_different_vms() -> None:
    first = {choose(LARGE, f"caller{number}", home="s3")[0] for number in range(40)}
    assert len(first) >= 3


@pytest.mark.parametrize("state", [MemberState.LEAVING, MemberState.STARTING])
def test_names_only_serving_vms(state: MemberState) -> None:
    """A VM leaves, and callers keep an answer for its lifetime.

    One that was still sent there would meet a closed port at the end of the drain.
    """
    gone = {"s0", "s3"}
    members = tuple(
        dataclasses.replace(m, state=state) if m.session_id in gone else m for m in make_members()
    )
    assert not {"10.0.0.0:80", "10.0.0.3:80"} & set(choose(members=members, home="s3"))
    assert "10.0.0.6:80" not in choose(leaving_vms=frozenset({"10.0.0.6"}))


def test_suspected_vms_serve_only_if_nothing_else_is_left() -> None:
    near = frozenset({"s0", "s3", "s6"})
    assert not any(a.split(":")[0][-1] in "036" for a in choose(suspected=near))
    everyone = frozenset(member.session_id for member in make_members())
    assert choose(suspected=everyone)


def test_few_callers_move_when_a_member_goes() -> None:
    members = make_members(30, 1)
    before = {c: choose(LARGE, str(c), members=members) for c in range(200)}
    lost = before[0][0]
    rest = tuple(m for m in members if f"{m.address}:80" != lost)
    after = {c: choose(LARGE, str(c), members=rest) for c in range(200)}
    stayed = [c for c in before if before[c][0] != lost]
    moved = [after[c][0] for c in stayed if after[c][0] != before[c][0]]
    assert len(set(moved)) <= 1, "only to the VM that joined the customer's"
    assert len(moved) <= 0.35 * len(stayed)


def test_no_members_no_addresses() -> None:
    assert choose(members=()) == ()
