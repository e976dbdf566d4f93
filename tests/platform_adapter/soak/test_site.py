"""The soak's site records when its upstreams serve."""

import asyncio
from pathlib import Path

from tests.platform_adapter.soak.__main__ import REGISTRATION_S, Site


def test_an_upstream_that_crashes_before_it_is_registered_has_not_served(tmp_path: Path) -> None:
    """Guards against streams that the checker holds for cut at an upstream that serves, while it is down."""

    async def scenario() -> None:
        site = Site(tmp_path, size=0)
        await site.async_start()
        engine = site.engines[0]
        began_at = site.record.lifetimes[0].since
        first = asyncio.create_task(site._async_restart(0, 0.0, "v2"))
        # Steps instead of a time, after which a process that stood still may have registered it already.
        for _ in range(2):
            await asyncio.sleep(0)
        assert not engine.down
        ended_at = site.record.lifetimes[0].until
        second = asyncio.create_task(site._async_restart(0, 5 * REGISTRATION_S, "v2"))
        await first
        lives = [life for life in site.record.lifetimes if life.upstream == engine.name]
        assert engine.down
        assert [(life.since, life.until) for life in lives] == [(began_at, ended_at)]
        await second
        lives = [life for life in site.record.lifetimes if life.upstream == engine.name]
        assert [life.until for life in lives] == [ended_at, float("inf")]
        await site.async_close()

    asyncio.run(scenario())
