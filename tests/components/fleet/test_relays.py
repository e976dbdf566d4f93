"""Which relay a daemon follows."""

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
HEARD = VmState.READY


def make_choice(clock: ManualClock) -> RelaySelector:
    """Return the choice of a daemon that has run for a while."""
    choice = RelaySelector(clock, OWN)
    choice.replace_vms(VMS)
    clock.advance(2 * RELAY_SETTLE_MS)
    return choice


def play(
    choice: RelaySelector, clock: ManualClock, ms: int, alive: set[str], heard: dict[str, VmState]
) -> None:
    """Let time pass; the relays that are alive answer whoever follows them."""
    for _ in range(ms // TICK_MS):
        clock.advance(TICK_MS)
        if choice.choose(heard) in alive:
            choice.record_digest()


@pytest.mark.parametrize("gone", [0, 1, 2])
def test_the_first_that_answers_is_followed(gone: int) -> None:
    clock = ManualClock()
    choice = make_choice(clock)
    play(choice, clock, (gone + 1) * 2 * RELAY_FIRST_DIGEST_MS, set(RANKED[gone:]), {})
    assert choice.followed == RANKED[gone]


def test_those_who_follow_one_that_hears_few_find_the_others() -> None:
    """Ten seconds after a loss of all VMs some daemons heard eight or sixteen of 195, and refused their callers.

    A session that ranked first was gone. When its silence showed, they turned to one of those that the relay
    before had heard: the few that followed it.
    """
    clock = ManualClock()
    choice = make_choice(clock)
    few = {session: HEARD for session in RANKED[-4:]}
    alive = set(RANKED[1:])
    choice.choose(few)
    play(choice, clock, 2 * RELAY_EXCLUSION_MS + RELAY_SETTLE_MS, alive, few)
    assert choice.followed == RANKED[1]


def test_one_that_has_just_started_is_not_followed_at_once() -> None:
    """A VM that is replaced ranks first by chance: followed before it has heard the others, it makes the fleet
    look empty to all.
    """
    clock = ManualClock()
    choice = RelaySelector(clock, OWN)
    choice.replace_vms({s: vm for s, vm in VMS.items() if s != RANKED[0]})
    heard = dict.fromkeys(VMS, HEARD)
    play(choice, clock, 2 * RELAY_SETTLE_MS, set(VMS), heard)
    assert choice.followed == RANKED[1]
    choice.replace_vms(VMS)
    play(choice, clock, RELAY_SETTLE_MS - TICK_MS, set(VMS), heard)
    assert choice.followed == RANKED[1]
    play(choice, clock, 2 * TICK_MS, set(VMS), heard)
    assert choice.followed == RANKED[0]


def test_one_that_leaves_is_left() -> None:
    clock = ManualClock()
    choice = make_choice(clock)
    heard = dict.fromkeys(VMS, HEARD)
    play(choice, clock, RELAY_FIRST_DIGEST_MS, set(VMS), heard)
    assert choice.followed == RANKED[0]
    choice.choose(heard | {RANKED[0]: VmState.LEAVING})
    assert choice.followed == RANKED[1]


def test_another_data_centres_first_relays_are_told_beside_one_that_spoke() -> None:
    """Guards against two data centres that keep each other's word with those whom nobody follows any more."""
    others = rank_relays([vm for vm in VMS.values() if vm.data_centre != OWN.data_centre])
    choice = make_choice(ManualClock())
    transient = others[-1]
    told = choice.list_remote_targets("dc1", transient, {transient: HEARD})
    assert told == [transient, *others[:2]]
    everyone = dict.fromkeys(VMS, HEARD)
    assert choice.list_remote_targets("dc1", others[0], everyone) == others[:2]
