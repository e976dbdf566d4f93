"""The measure of overloads: it counts what callers got, and shows what a mechanism is worth."""

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
