"""The measure of overloads: it counts what callers got, and shows what a mechanism is worth."""

import random
from dataclasses import replace

import pytest

from standins.measure.overload import LOADS, SWITCHES, Figures, measure


def test_every_switch_names_a_constant() -> None:
    for switch in SWITCHES:
        assert getattr(switch.module, switch.constant) != switch.off, switch.name


@pytest.mark.parametrize(
    ("figures", "worth"),
    [
        (Figures(requests=10, in_time=10, items=2, items_in_time=2), 1.0),
        (Figures(requests=10, in_time=0, items=0), 0.0),
        (Figures(requests=10, in_time=0, late=10), 0.15),
        (Figures(items=10, items_in_time=5, items_late=5), 0.55),
    ],
)
def test_worth_is_the_share_of_what_was_owed(figures: Figures, worth: float) -> None:
    assert figures.worth == pytest.approx(worth)


def test_saved_progress_is_worth_something_when_all_vms_are_lost() -> None:
    """All VMs lost power for a second: what items had brought was run again, beside new jobs."""
    load = next(load for load in LOADS if load.name == "all VMs lost at once")
    switch = next(switch for switch in SWITCHES if switch.name == "progress saved")
    kept, lost = measure(load, 1), measure(load, 1, switch)
    assert kept.wasted < lost.wasted
    assert kept.requests > 500 and kept.items > 100


def test_plays_of_one_seed_agree_to_the_last_event() -> None:
    """Which items gave way went by where in memory their runs lay: no two plays were the same."""
    load = next(load for load in LOADS if load.name == "all VMs lost at once")
    load = replace(load, seconds=20)
    first = measure(load, 1)
    garbage = _scatter_memory()
    again = measure(load, 1)
    del garbage
    assert len(first.outcomes) > 300 and len(first.listed) > 20
    assert again.outcomes == first.outcomes
    assert again.listed == first.listed
    assert again.ran == first.ran
    assert again == first


def _scatter_memory() -> list[object]:
    """Return garbage with gaps of all sizes, so that new objects lie in another order."""
    chance = random.Random(1)
    garbage: list[object] = [bytearray(chance.randrange(1, 700)) for _ in range(100_000)]
    garbage += [[None] * chance.randrange(40) for _ in range(100_000)]
    chance.shuffle(garbage)
    return garbage[:100_000]
