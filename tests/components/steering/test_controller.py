"""Choice of the VMs that callers should use."""

import dataclasses
from typing import Any

import pytest

from goldcreststair.components.configuration.models import Customer
from goldcreststair.components.membership.models import Member, MemberState
from goldcreststair.components.steering.controller import choose_addresses
from goldcreststair.components.steering.models import SteeringQuery

SMALL = Customer("small", 10, 20)
LARGE = Customer("large", 100, 200)


def make_members(count: int = 9, data_centres: int = 3) -> tuple[Member, ...]:
    return tuple(
        Member(
            session_id=f"s{number}",
            address=f"10.0.0.{number}",
            http_port=80,
            peer_port=81,
            data_centre=f"dc{number % data_centres}",
            region="r",
            state=MemberState.SERVING,
        )
        for number in range(count)
    )


def choose(customer: Customer = SMALL, caller: str = "c", **query: Any) -> tuple[str, ...]:
    values: dict[str, Any] = {"members": make_members(), "data_centre": "dc0", **query}
    return choose_addresses(SteeringQuery(customer, caller, **values)).addresses


@pytest.mark.parametrize("customer", [SMALL, LARGE])
def test_returns_near_vms_and_one_in_another_data_centre(customer: Customer) -> None:
    numbers = [int(address.split(":")[0].rpartition(".")[2]) for address in choose(customer)]
    assert all(number % 3 == 0 for number in numbers[:2])
    assert any(number % 3 for number in numbers)
    assert len(set(numbers)) == len(numbers) >= 3


@pytest.mark.parametrize("data_centre", ["dc0", "dc1", "unknown"])
def test_coordinator_comes_first_for_small_customer(data_centre: str) -> None:
    assert choose(coordinator="s4", data_centre=data_centre)[0] == "10.0.0.4:80"


def test_loaded_coordinator_is_not_first() -> None:
    assert choose(coordinator="s3", loads={"s3": 60})[0] != "10.0.0.3:80"


def test_callers_of_a_large_customer_start_at_different_vms() -> None:
    first = {choose(LARGE, f"caller{number}", coordinator="s3")[0] for number in range(40)}
    assert len(first) >= 3


@pytest.mark.parametrize("state", [MemberState.LEAVING, MemberState.STARTING])
def test_returns_only_serving_vms(state: MemberState) -> None:
    """Callers keep a response for its lifetime.

    If it named a leaving VM, they would find its port closed at the end of the drain.
    """
    gone = {"s0", "s3"}
    members = tuple(
        dataclasses.replace(m, state=state) if m.session_id in gone else m for m in make_members()
    )
    assert not {"10.0.0.0:80", "10.0.0.3:80"} & set(choose(members=members, coordinator="s3"))
    assert "10.0.0.6:80" not in choose(leaving_vms=frozenset({"10.0.0.6"}))


def test_suspected_vms_are_used_only_if_no_other_is_left() -> None:
    near = frozenset({"s0", "s3", "s6"})
    assert not any(a.split(":")[0][-1] in "036" for a in choose(suspected=near))
    everyone = frozenset(member.session_id for member in make_members())
    assert choose(suspected=everyone)


def test_few_callers_move_when_a_member_leaves() -> None:
    members = make_members(30, 1)
    before = {c: choose(LARGE, str(c), members=members) for c in range(200)}
    lost = before[0][0]
    rest = tuple(m for m in members if f"{m.address}:80" != lost)
    after = {c: choose(LARGE, str(c), members=rest) for c in range(200)}
    stayed = [c for c in before if before[c][0] != lost]
    moved = [after[c][0] for c in stayed if after[c][0] != before[c][0]]
    assert len(set(moved)) <= 1, "callers moved to more than the one VM that replaced the lost one"
    assert len(moved) <= 0.35 * len(stayed)


def test_no_members_give_no_addresses() -> None:
    assert choose(members=()) == ()
