"""Tests of which relay a daemon follows."""

import pytest

from goldcreststair.components.fleet.const import (
    RELAY_EXCLUSION_MS,
    RELAY_FIRST_DIGEST_MS,
    RELAY_SETTLE_MS,
)
from goldcreststair.components.fleet.models import FleetVm, VmState
from goldcreststair.components.fleet.relays import RelaySelector, rank_relays
from standins.virtual_time import ManualClock

TICK_MS = 150
VMS = {
    f"s{n}": FleetVm(f"s{n}", f"10.0.0.{n}", 7000, f"10.0.0.{n}:80", f"dc{n % 2}", "r")
    for n in range(60)
}
OWN = VMS["s2"]
RANKED = rank_relays([vm for vm in VMS.values() if vm.data_centre == OWN.data_centre])
STATE = VmState.READY


def make_selector(clock: ManualClock) -> RelaySelector:
    """Return the relay selector of a daemon that has run for a while."""
    selector = RelaySelector(clock, OWN)
    selector.replace_vms(VMS)
    clock.advance(2 * RELAY_SETTLE_MS)
    return selector


def run_for(
    selector: RelaySelector,
    clock: ManualClock,
    ms: int,
    alive: set[str],
    reachable: dict[str, VmState],
) -> None:
    """Advance the time; relays that are alive answer the daemons that follow them."""
    for _ in range(ms // TICK_MS):
        clock.advance(TICK_MS)
        if selector.choose(reachable) in alive:
            selector.record_digest()


@pytest.mark.parametrize("gone", [0, 1, 2])
def test_first_ranked_relay_that_answers_is_followed(gone: int) -> None:
    clock = ManualClock()
    selector = make_selector(clock)
    run_for(selector, clock, (gone + 1) * 2 * RELAY_FIRST_DIGEST_MS, set(RANKED[gone:]), {})
    assert selector.followed == RANKED[gone]


def test_followers_of_a_relay_that_reaches_few_find_another() -> None:
    """Guards against followers of a relay with few daemons that keep choosing among those few.

    Ten seconds after the loss of all VMs, some daemons reached eight or sixteen of 195 and refused
    their callers. A session that ranked first was gone; when its silence showed, they chose one of
    the daemons that the relay before had reached, which were the few that followed it.
    """
    clock = ManualClock()
    selector = make_selector(clock)
    few = {session: STATE for session in RANKED[-4:]}
    alive = set(RANKED[1:])
    selector.choose(few)
    run_for(selector, clock, 2 * RELAY_EXCLUSION_MS + RELAY_SETTLE_MS, alive, few)
    assert selector.followed == RANKED[1]


def test_relay_that_just_started_is_not_followed_at_once() -> None:
    """Guards against following a relay that has not received the beacons of the others yet.

    A VM that replaces another one may happen to rank first; its view makes the fleet look empty.
    """
    clock = ManualClock()
    selector = RelaySelector(clock, OWN)
    selector.replace_vms({s: vm for s, vm in VMS.items() if s != RANKED[0]})
    reachable = dict.fromkeys(VMS, STATE)
    run_for(selector, clock, 2 * RELAY_SETTLE_MS, set(VMS), reachable)
    assert selector.followed == RANKED[1]
    selector.replace_vms(VMS)
    run_for(selector, clock, RELAY_SETTLE_MS - TICK_MS, set(VMS), reachable)
    assert selector.followed == RANKED[1]
    run_for(selector, clock, 2 * TICK_MS, set(VMS), reachable)
    assert selector.followed == RANKED[0]


def test_leaving_relay_is_replaced() -> None:
    clock = ManualClock()
    selector = make_selector(clock)
    reachable = dict.fromkeys(VMS, STATE)
    run_for(selector, clock, RELAY_FIRST_DIGEST_MS, set(VMS), reachable)
    assert selector.followed == RANKED[0]
    selector.choose(reachable | {RANKED[0]: VmState.LEAVING})
    assert selector.followed == RANKED[1]


def test_remote_targets_include_first_ranked_relays() -> None:
    """Guards against data centres that send digests only to relays that nobody follows any more."""
    others = rank_relays([vm for vm in VMS.values() if vm.data_centre != OWN.data_centre])
    selector = make_selector(ManualClock())
    transient = others[-1]
    targets = selector.list_remote_targets("dc1", transient, {transient: STATE})
    assert targets == [transient, *others[:2]]
    everyone = dict.fromkeys(VMS, STATE)
    assert selector.list_remote_targets("dc1", others[0], everyone) == others[:2]
