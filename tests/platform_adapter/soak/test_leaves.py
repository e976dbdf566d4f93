"""Leaves are drawn with everything that is to happen around them."""

import asyncio
from collections import Counter
from pathlib import Path

from tests.platform_adapter.soak.__main__ import Site
from tests.platform_adapter.soak.leaves import (
    LASTS_S,
    MOMENTS_S,
    LeaveRunner,
    Step,
    StepKind,
    plan_leaves,
)

SEEDS = range(200)
SECONDS = 15.0


def test_every_kind_of_step_is_drawn() -> None:
    """Guards against a soak that passes as what it guards against never happens in it."""
    plans = [plan_leaves(seed, SECONDS) for seed in SEEDS]
    kinds = Counter(kind for plan in plans for kind in {step.kind for step in plan.steps})
    assert min(kinds[kind] for kind in StepKind) > len(SEEDS) / 4
    assert {(plan.is_calm, plan.is_short) for plan in plans} == {
        (calm, short) for calm in (False, True) for short in (False, True)
    }
    assert 0 < sum(plan.busy_processes > 0 for plan in plans) < len(SEEDS) / 2


def test_upstreams_become_slower_while_a_daemon_leaves() -> None:
    """Guards against leaves whose requests end as fast as those before."""
    moments: list[float] = []
    for seed in SEEDS:
        steps = plan_leaves(seed, SECONDS).steps
        stops = [
            step.at_s for step in steps if step.kind in (StepKind.STOP, StepKind.STOP_AT_START)
        ]
        for step in steps:
            if step.kind is StepKind.SLOW:
                low_s, high_s = MOMENTS_S[StepKind.SLOW]
                assert any(low_s <= step.at_s - stop <= high_s for stop in stops)
                moments += [step.at_s - stop for stop in stops if stop <= step.at_s]
                assert step.factor >= 4
                assert LASTS_S[StepKind.SLOW][0] <= step.lasts_s <= LASTS_S[StepKind.SLOW][1]
    assert {int(moment) for moment in moments} >= {0, 1, 2, 3, 4}


def test_overlapping_slow_steps_end(tmp_path: Path) -> None:
    async def scenario() -> None:
        site = Site(tmp_path, size=0)
        await site.async_start()
        runner = LeaveRunner(site.daemons, site.engines, site.proxies, site.record, site.configure)
        steps = (
            Step(0.0, StepKind.SLOW, 0, 0.1, 10.0, 0.5),
            Step(0.02, StepKind.SLOW, 1, 0.2, 4.0),
            Step(0.05, StepKind.CONFIGURE, 0),
        )
        running = asyncio.create_task(runner.async_run(steps))
        await asyncio.sleep(0.07)
        assert Counter(engine.slowness for engine in site.engines) == {40.0: 3, 4.0: 3}
        await running
        assert {round(engine.slowness, 6) for engine in site.engines} == {1.0}
        assert len(site.config["routes"]) == 5
        await site.async_close()

    asyncio.run(scenario())
