"""Requests that crash the upstreams that run them late in their answers, beside sound long ones."""

import asyncio
from dataclasses import dataclass
from functools import partial
from typing import Final

import pytest

from goldcreststair.helpers.refusals import RefusalCode
from standins.gateways import FakeResponder, GatewayFleet
from standins.run_engines import RunEngine
from tests.helpers.crash_plays import STABLE_MS
from tests.helpers.gateways import async_send, run_fleet

POISON: Final = b"crash"
EVENTS: Final = 150
"""An answer takes 4.5 s."""
RESTART_MS: Final = 3_000
ALLOWED: Final = 3
"""Requests that may still reach upstreams once the third crash is `STABLE_MS` ago."""
LASTS_MS: Final = 40_000


@dataclass(frozen=True, slots=True)
class Late:
    """A request that crashes upstreams, and how it comes again."""

    after_ms: int = 0
    at_event: int = 0
    every_ms: int = 1_500
    path: str = "/once/bad"
    vms: int = 3
    varied: bool = False
    """Whether upstreams differ in speed."""


def restart_later(fleet: GatewayFleet, engine: RunEngine) -> None:
    """Start an engine again under another name after some time."""

    def restart() -> None:
        fleet.unregister(engine)
        started = fleet.replace_engine(engine, renamed=True)
        started.event_ms = engine.event_ms

    fleet.clock.call_later(RESTART_MS, restart)


async def async_prepare(fleet: GatewayFleet, vms: int, engines: int) -> list[RunEngine]:
    """Start daemons, and engines that return after a crash."""
    fleet.engines.events = EVENTS
    fleet.engines.on_crash = partial(restart_later, fleet)
    added = fleet.add_engines(engines)
    await fleet.async_add_many(vms)
    await fleet.clock.async_sleep(1_000)
    return added


async def async_send_sound(fleet: GatewayFleet, every_ms: int, lasts_ms: int) -> None:
    """Send requests of the same customer with a part that all of them hold, none like another."""
    async with asyncio.TaskGroup() as tasks:
        for number in range(lasts_ms // every_ms):
            member = fleet.members[number % len(fleet.members)]
            parts = ("shared", f"own{number}")
            sending = async_send(
                fleet, member, f"/once/{number}", b"%d" % number, parts=parts, deadline_ms=9_000
            )
            tasks.create_task(sending)
            await fleet.clock.async_sleep(every_ms)


LATE: Final = [
    Late(after_ms=100),
    Late(after_ms=900),
    Late(after_ms=1_300),
    Late(after_ms=3_000),
    Late(after_ms=4_000),
    Late(after_ms=1_300, every_ms=300),
    Late(after_ms=1_300, every_ms=6_000),
    Late(after_ms=3_000, every_ms=300),
    Late(after_ms=3_000, every_ms=6_000),
    Late(after_ms=1_300, path="/stream/bad"),
    Late(after_ms=3_000, path="/stream/bad"),
    Late(at_event=60),
    Late(at_event=60, path="/stream/bad"),
    Late(at_event=130, path="/stream/bad"),
    Late(at_event=60, varied=True),
    Late(after_ms=1_800, varied=True),
    Late(after_ms=1_300, vms=1),
    Late(after_ms=1_300, vms=8),
]


@pytest.mark.parametrize("late", LATE, ids=str)
def test_a_request_that_crashes_upstreams_late_is_refused(late: Late) -> None:
    """A request took one upstream after another, as an answer that had gone on for a second acquitted it."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = await async_prepare(fleet, late.vms, 6)
        if late.varied:
            for engine, event_ms in zip(engines, (15, 18, 21, 24, 27, 30), strict=True):
                engine.event_ms = event_ms
        world = fleet.engines
        world.poison, world.poison_after_ms = POISON, late.after_ms
        world.poison_at_event = late.at_event
        sound = asyncio.create_task(async_send_sound(fleet, 100, LASTS_MS))
        answers: list[FakeResponder] = []
        async with asyncio.TaskGroup() as tasks:
            for number in range(max(LASTS_MS, 14 * late.every_ms) // late.every_ms):
                member = fleet.members[number % late.vms]
                sending = async_send(
                    fleet, member, late.path, POISON, parts=("shared", "dead"), deadline_ms=9_000
                )
                tasks.create_task(sending).add_done_callback(
                    lambda done: answers.append(done.result())
                )
                await fleet.clock.async_sleep(late.every_ms)
        await sound
        third = world.poison_crashes[2]
        later = sum(at > third + STABLE_MS for at in world.poison_arrivals)
        assert later <= ALLOWED
        codes = [answer.refusal.code for answer in answers[-3:] if answer.refusal is not None]
        assert RefusalCode.QUARANTINED in codes
        other = await async_send(fleet, fleet.members[0], "/once/a", parts=("shared", "own"))
        assert other.whole

    run_fleet(scenario)
