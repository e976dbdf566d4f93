"""Shares of upstreams that become slower the more requests they get."""

import random
from collections import deque
from collections.abc import Iterator
from typing import Final

import pytest

from goldcreststair.components.discovery.models import LiveUpstreams, UpstreamEntry
from goldcreststair.components.features.controller import FeatureController
from goldcreststair.components.placement.spreading import SlotUsage, compute_weights
from goldcreststair.components.upstream_pace import controller as pace_controller
from goldcreststair.components.upstream_pace.controller import PaceController
from goldcreststair.components.upstream_pace.models import SharedPace
from goldcreststair.features import Feature
from goldcreststair.upstreams.dialect import UpstreamLoad
from standins.virtual_time import ManualClock

NAMES: Final = [f"e{number}" for number in range(12)]
DAEMONS: Final = 10
TICK_MS: Final = 10
MEMORY_TICKS: Final = 30
"""An upstream's pace follows its share of the requests of the last 300 ms."""
HEAD_TICKS: Final = 6
"""An answer reports the pace 60 ms after its request was placed."""
GAIN: Final = 8
"""An upstream with a tenth more requests than its fair share takes 1.8 times as long."""
RELAY_MS: Final = 150
BEGIN_MS: Final = 3_000
END_MS: Final = 7_000


def make_controllers(clock: ManualClock) -> list[PaceController]:
    """Return the controllers of all daemons."""
    entries = {n: UpstreamEntry(n, "s", f"{n}:80", "dc0", 8, False, 1) for n in NAMES}
    features = FeatureController({Feature.UPSTREAM_PACE}, set())
    controllers = [PaceController(clock, features) for _ in range(DAEMONS)]
    for controller in controllers:
        controller.apply_upstreams(LiveUpstreams(entries, frozenset(), True))
    return controllers


def compute_shares(controllers: list[PaceController]) -> list[float]:
    """Return the expected requests of each upstream over all daemons, relative to a fair share."""
    totals = [0.0] * len(NAMES)
    for controller in controllers:
        factors = controller.read_factors("s")
        usages = [SlotUsage(8, 4, 0, factor=factors.get(name, 1.0)) for name in NAMES]
        weights = compute_weights(usages)
        for number, weight in enumerate(weights):
            totals[number] += weight / sum(weights)
    return [total * len(NAMES) / DAEMONS for total in totals]


def exchange(controllers: list[PaceController]) -> None:
    """Pass the figures that each daemon sends to all others."""
    for sender in controllers:
        for pace in sender.list_shared():
            sent = SharedPace(pace.upstream, pace.percent, pace.age_ms + RELAY_MS)
            for receiver in controllers:
                if receiver is not sender:
                    receiver.record_shared(sent)


def play(rng: random.Random) -> Iterator[list[float]]:
    """Yield the shares after each tick; two upstreams are slow for 0.6 s, which starts a swing."""
    clock = ManualClock()
    controllers = make_controllers(clock)
    recent = deque([[1.0] * len(NAMES)] * MEMORY_TICKS, maxlen=MEMORY_TICKS)
    heads = deque[tuple[PaceController, str, int] | None]([None] * HEAD_TICKS)
    for at_ms in range(0, END_MS, TICK_MS):
        clock.advance(TICK_MS)
        loads = [sum(column) / MEMORY_TICKS for column in zip(*recent, strict=True)]
        paces = [round(100 * max(0.3, 1 + GAIN * (load - 1))) for load in loads]
        if 500 <= at_ms < 1_100:
            paces[:2] = [250, 250]
        if (head := heads.popleft()) is not None:
            head[0].record_load(head[1], UpstreamLoad(0, 0, 8, head[2]))
        shares = compute_shares(controllers)
        (number,) = rng.choices(range(len(NAMES)), shares)
        heads.append((rng.choice(controllers), NAMES[number], paces[number]))
        recent.append(shares)
        if at_ms % RELAY_MS == 0:
            exchange(controllers)
        yield shares


@pytest.mark.parametrize("seed", [1, 2])
def test_weights_do_not_oscillate(seed: int) -> None:
    """Guards against all daemons that follow the newest figures to the same upstreams in turn.

    Their requests make these slow, and the next figures send all requests to the others.
    """
    shares = list(play(random.Random(seed)))[BEGIN_MS // TICK_MS :]
    assert max(map(max, shares)) < 1.25
    assert min(map(min, shares)) > 0.8


def test_without_damping_the_weights_of_this_load_oscillate(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Shows that the load of the test above would reveal an oscillation."""
    monkeypatch.setattr(pace_controller, "APPROACH_MS", 1.0)
    monkeypatch.setattr(pace_controller, "DOUBLING_MS", 1.0)
    shares = list(play(random.Random(1)))[BEGIN_MS // TICK_MS :]
    assert max(map(max, shares)) > 1.35
