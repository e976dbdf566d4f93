"""The overload measurement: it counts results of callers and the effect of each mechanism."""

import random
from dataclasses import replace

import pytest

from standins.measure.overload_bound import find_bound
from standins.measure.overload_figures import Came, Figures
from standins.measure.overload_loads import LOADS, Load, Record, draw_record
from standins.measure.overload_play import measure
from standins.measure.overload_policies import (
    ALL_MECHANISMS,
    FIRST_COME,
    POLICIES,
    SWITCHES,
    Policy,
    Switch,
    apply_policy,
)

ALL_VMS_LOST = next(load for load in LOADS if load.name == "all VMs lost at once")
SHORT = replace(ALL_VMS_LOST, requests_per_s=12.0, seconds=9)


@pytest.mark.parametrize("switch", [*SWITCHES, *FIRST_COME], ids=lambda switch: switch.name)
def test_every_switch_names_a_constant(switch: Switch) -> None:
    assert getattr(switch.owner, switch.attribute) != switch.off


@pytest.mark.parametrize("policy", POLICIES, ids=lambda policy: policy.name)
def test_policy_restores_disabled_mechanisms(policy: Policy) -> None:
    """A mechanism that stays disabled would be missing in all later rows."""
    before = [getattr(switch.owner, switch.attribute) for switch in policy.off]
    with apply_policy(policy):
        assert all(getattr(s.owner, s.attribute) == s.off for s in policy.off)
    assert [getattr(switch.owner, switch.attribute) for switch in policy.off] == before


@pytest.mark.parametrize(
    ("figures", "worth"),
    [
        (Figures(requests=10, in_time=10, items=2, items_in_time=2), 1.0),
        (Figures(requests=10, in_time=0, items=0), 0.0),
        (Figures(requests=10, in_time=0, late=10), 0.15),
        (Figures(items=10, items_in_time=5, items_late=5), 0.55),
    ],
)
def test_worth_is_share_of_worth_possible(figures: Figures, worth: float) -> None:
    assert figures.worth == pytest.approx(worth)


def test_saved_progress_is_worth_something_when_all_vms_are_lost() -> None:
    """After all VMs lose power for a second, unsaved progress is run again beside new jobs."""
    switch = next(switch for switch in SWITCHES if switch.name == "progress saved")
    kept = measure(ALL_VMS_LOST, 1, ALL_MECHANISMS)
    lost = measure(ALL_VMS_LOST, 1, Policy("without", (switch,)))
    assert kept.wasted < lost.wasted
    assert kept.requests > 500 and kept.items > 100
    bound = find_bound(draw_record(ALL_VMS_LOST, 1), ALL_VMS_LOST.engines)
    assert lost.worth < kept.worth < bound


def test_plays_of_one_seed_agree_to_the_last_event() -> None:
    """If preemption depended on the memory addresses of runs, no two runs would be the same."""
    load = replace(ALL_VMS_LOST, seconds=20)
    first = measure(load, 1, ALL_MECHANISMS)
    garbage = _scatter_memory()
    again = measure(load, 1, ALL_MECHANISMS)
    del garbage
    assert len(first.outcomes) > 300 and len(first.listed) > 20
    assert again.outcomes == first.outcomes
    assert again.listed == first.listed
    assert again.ran == first.ran
    assert again == first


@pytest.mark.parametrize("policy", POLICIES, ids=lambda policy: policy.name)
def test_every_policy_meets_the_same_callers_items_and_faults(policy: Policy) -> None:
    """Drawn during the run, later callers and items would depend on how earlier ones were served."""
    figures = measure(SHORT, 3, policy)
    assert sorted(figures.came) == _expect(draw_record(SHORT, 3))
    assert {"r1", "job1", "VM lost 5", "VM back 5"} <= {came.name for came in figures.came}


def _expect(record: Record) -> list[Came]:
    requests = [Came(request.at_ms, request.name) for request in record.requests]
    jobs = [Came(job.at_ms, job.name, job.events) for job in record.jobs]
    faults = [Came(fault.at_ms, f"{fault.kind} {fault.number}") for fault in record.faults]
    return sorted([*requests, *jobs, *faults])


@pytest.mark.parametrize(
    "other", [replace(SHORT, jobs_per_s=3.0), replace(SHORT, vms=2, engines=2)], ids=str
)
def test_requests_are_independent_of_jobs_and_fleet(other: Load) -> None:
    """A shared generator would change the requests with each additional job."""
    assert draw_record(other, 1).requests == draw_record(SHORT, 1).requests


def test_each_seed_is_another_load() -> None:
    assert draw_record(SHORT, 1).requests != draw_record(SHORT, 2).requests
    assert draw_record(SHORT, 1).jobs != draw_record(SHORT, 2).jobs


def _scatter_memory() -> list[object]:
    """Return garbage with gaps of all sizes, so that new objects lie in another order."""
    chance = random.Random(1)
    garbage: list[object] = [bytearray(chance.randrange(1, 700)) for _ in range(100_000)]
    garbage += [[None] * chance.randrange(40) for _ in range(100_000)]
    chance.shuffle(garbage)
    return garbage[:100_000]
