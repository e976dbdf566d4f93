"""Replays a burst above capacity with a customer at many times the others' rate, with and without."""

from dataclasses import replace

import pytest

from goldcreststair.features import Feature
from standins.measure import overload_play
from standins.measure.overload_ranked import (
    ALL,
    GREEDY,
    OTHERS,
    RANKED_LOADS,
    URGENT,
    RankedPlan,
    Tally,
    play_plan,
    select_loads,
)

SMALL, RELAYED, _ = (load.name for load in RANKED_LOADS)


def replay(name: str, features: str) -> dict[str, Tally]:
    """Return what became of the requests of each class of customers."""
    (load,) = select_loads(name)
    if name == RELAYED:
        load = replace(load, requests_per_s=60.0, engines=10, vms=28)
    tallies, _ = play_plan(RankedPlan(replace(load, seconds=12), 1, features))
    return tallies


@pytest.mark.parametrize("name", [SMALL, RELAYED])
def test_burst_above_capacity_is_shared_by_rank_and_customer(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a burst in which whoever sends most gets most, whatever its rank and share."""
    monkeypatch.setattr(overload_play, "REST_MS", 5_000)
    off, on = replay(name, ""), replay(name, Feature.WAITING_QUEUE.value)
    assert on[ALL].mean_credit > off[ALL].mean_credit
    assert on[URGENT].mean_credit > off[URGENT].mean_credit + 0.03
    assert on[OTHERS].mean_credit > off[OTHERS].mean_credit
    assert on[GREEDY].mean_credit > 0.5
    refused = {each: tally.refused / tally.requests for each, tally in on.items()}
    assert refused[URGENT] < refused[OTHERS] < refused[GREEDY]
