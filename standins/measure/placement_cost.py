"""Time of one placement decision at 40 and 400 upstreams, with and without the pace of upstreams."""

import random
import time
from statistics import median
from typing import Final

from cyclopts import App

from goldcreststair.components.discovery.models import LiveUpstreams, UpstreamEntry
from goldcreststair.components.features.controller import FeatureController
from goldcreststair.components.fleet.protocols import hash_name
from goldcreststair.components.placement.controller import PlacementController
from goldcreststair.components.placement.loads import Runs
from goldcreststair.components.placement.models import PlacementQuery
from goldcreststair.components.upstream_pace.controller import PaceController
from goldcreststair.features import Feature
from goldcreststair.upstreams.dialect import UpstreamLoad
from standins.virtual_time import ManualClock

app = App(help="Time of a placement decision.")
QUERY: Final = PlacementQuery("s")
SLOW_SHARE: Final = 0.15
SLOTS: Final = 8
REPORT_EVERY: Final = 5
"""Decisions between two reported figures."""


def make_controllers(
    upstreams: int, features: frozenset[Feature], *, relayed: bool
) -> tuple[ManualClock, PaceController, PlacementController]:
    """Return the controllers of a daemon that knows runs at most upstreams."""
    clock, rng = ManualClock(), random.Random(1)
    entries = [
        UpstreamEntry(f"e{n}", "s", f"e{n}:80", f"dc{n % 4}", SLOTS, False, 1)
        for n in range(upstreams)
    ]
    live = LiveUpstreams({e.name: e for e in entries}, frozenset(), True)
    pace = PaceController(clock, FeatureController(features, set()))
    pace.apply_upstreams(live)
    placement = PlacementController(clock, rng, "dc0", pace)
    placement.upstreams.apply_upstreams(live)
    runs = {hash_name(e.name): Runs(online=rng.randrange(SLOTS)) for e in entries}
    placement.runs.apply_peer_runs("relay", runs)
    placement.runs.digest_sequence = 1 if relayed else None
    return clock, pace, placement


def measure_us(
    upstreams: int, features: frozenset[Feature], rounds: int, *, relayed: bool
) -> float:
    """Return the median time of a decision, us, while figures arrive and factors change."""
    clock, pace, placement = make_controllers(upstreams, features, relayed=relayed)
    slow = max(1, int(upstreams * SLOW_SHARE))
    for number in range(slow):
        pace.record_load(f"e{number}", UpstreamLoad(1, 0, SLOTS, 250))
    times = []
    for number in range(rounds):
        clock.advance(5)
        if number % REPORT_EVERY == 0:
            pace.record_load(f"e{number % slow}", UpstreamLoad(1, 0, SLOTS, 250))
        began_ns = time.perf_counter_ns()
        placement.choose(QUERY)
        times.append(time.perf_counter_ns() - began_ns)
    return median(times) / 1_000


@app.default
def main(rounds: int = 4_000, repeats: int = 3) -> None:
    """Print the times; cases are measured in turn, and the least of `repeats` medians is taken."""
    cases = [
        (upstreams, relayed, features)
        for upstreams in (40, 400)
        for relayed in (False, True)
        for features in (frozenset[Feature](), frozenset((Feature.UPSTREAM_PACE,)))
    ]
    times: dict[int, list[float]] = {}
    for _ in range(repeats):
        for number, (upstreams, relayed, features) in enumerate(cases):
            took_us = measure_us(upstreams, features, rounds, relayed=relayed)
            times.setdefault(number, []).append(took_us)
    for number, (upstreams, relayed, features) in enumerate(cases):
        view = "digests" if relayed else "beacons"
        pace = "with pace" if features else "without pace"
        print(f"{upstreams} upstreams, {view}, {pace}: {min(times[number]):.0f} us")


if __name__ == "__main__":
    app()
