"""Replays jobs beside online bursts through outages of the store, with `outage-jobs` on and off."""

from dataclasses import replace

import pytest

from standins.measure.overload_loads import Load
from standins.measure.overload_outages import OFF, ON, OUTAGES, read_jobs
from standins.measure.overload_play import measure

SEED = 1
TOLERANCE = 0.05
"""Share of the items by which two plays of a load differ by chance: which runs a burst preempts
decides about single items. The figures of many seeds are in the design note."""


@pytest.mark.parametrize("outage", OUTAGES, ids=lambda load: load.name)
def test_jobs_go_through_an_outage_of_the_store(outage: Load) -> None:
    """Items were late after an outage, and some ran again although their results were known.

    Each item is listed exactly once and whole, with the feature on and off, and the feature makes
    no more items late, cuts no more runs short, and computes no more tokens twice.
    """
    load = replace(outage, requests_per_s=12.0, jobs_per_s=0.4, engines=2, vms=4, seconds=20)
    off, on = (measure(load, SEED, policy) for policy in (OFF, ON))
    assert off.items_wrong == on.items_wrong == 0
    before, after = read_jobs(off), read_jobs(on)
    assert before.items > 20
    for jobs in (before, after):
        assert jobs.in_time + jobs.late == jobs.items
    chance = TOLERANCE * before.items
    assert after.in_time >= before.in_time - chance
    assert after.runs_cut <= before.runs_cut + chance
    assert after.repeated <= before.repeated + chance
