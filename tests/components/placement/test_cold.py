"""Requests sent to cold upstreams, by one daemon and by all daemons together."""

import asyncio
import random

import pytest

from goldcreststair.clock import Millis
from goldcreststair.components.catalogue.models import Service
from goldcreststair.components.discovery.models import LiveUpstreams, UpstreamEntry
from goldcreststair.components.placement.cold import ColdRateLimiter, split_cold_rate
from goldcreststair.components.placement.const import COLD_SETTLE_MS
from goldcreststair.components.placement.controller import PlacementController
from goldcreststair.components.placement.loads import Runs
from goldcreststair.components.placement.models import PlacementQuery
from standins.gateways import GatewayFleet
from standins.run_engines import RunEngine
from standins.virtual_time import ManualClock
from tests.helpers.gateways import async_send, async_submit, run_fleet

COLD_PER_S = 22.0
BOUND = COLD_PER_S * 1.5 + 5
"""Requests within one second that a cold upstream tolerates."""
COLD_MS = 3_000
SERVICE_FIELDS = {"cold_per_s": COLD_PER_S, "cold_start_ms": COLD_MS}
SERVICE = Service("s", 0, 8, cold_per_s=COLD_PER_S, cold_start_ms=COLD_MS)
QUERY = PlacementQuery("s")


def make_controller(
    clock: ManualClock, cold: tuple[str, ...], names: tuple[str, ...] = ("a", "b")
) -> PlacementController:
    """Return the controller of a single daemon that has finished starting."""
    controller = PlacementController(clock, random.Random(1), "dc0")
    controller.upstreams.cold_limiter.apply_sessions("me", frozenset({"me"}))
    controller.upstreams.apply_services({"s": SERVICE})
    entries = {n: UpstreamEntry(n, "s", f"{n}:80", f"dc-{n}", 8, False, 1) for n in names}
    clock.advance(COLD_SETTLE_MS)
    until = Millis(clock.now() + COLD_MS)
    controller.upstreams.apply_upstreams(
        LiveUpstreams(entries, known=True, cold_until=dict.fromkeys(cold, until))
    )
    return controller


def choose(controller: PlacementController) -> str:
    """Return the name of the upstream chosen for a request."""
    return controller.choose(QUERY).unwrap().upstream.name


def test_cold_upstreams_are_avoided_while_others_have_free_slots() -> None:
    controller = make_controller(ManualClock(), ("a",))
    assert {choose(controller) for _ in range(20)} == {"b"}
    controller.begin("b", Runs(online=8))
    assert choose(controller) == "a"


def test_service_with_only_cold_upstreams_is_served_within_their_rate() -> None:
    """Guards against refusing all requests of a service whose upstreams have just started."""
    clock = ManualClock()
    controller = make_controller(clock, ("a", "b"))
    served = 0
    for _ in range(100):
        placed = controller.choose(QUERY)
        if placed.is_ok():
            served += 1
            controller.begin(placed.unwrap().upstream.name, Runs(online=1))
            controller.end(placed.unwrap().upstream.name, Runs(online=1))
    assert served == 2 * COLD_PER_S
    refused = controller.choose(QUERY).unwrap_err()
    assert refused.known and refused.retry_after_ms > 0
    clock.advance(1_001)
    assert controller.choose(QUERY).is_ok()


def test_batch_avoids_cold_upstreams_while_one_is_warm() -> None:
    controller = make_controller(ManualClock(), ("a",))
    assert controller.batch.count_free("s") == 7
    chosen = controller.batch.choose("s")
    assert chosen is not None and chosen.name == "b"


def test_upstreams_are_cold_after_an_evacuation_ends() -> None:
    """Guards against a crash of all upstreams of a data centre when its evacuation ends."""
    clock = ManualClock()
    controller = make_controller(clock, ())
    controller.upstreams.apply_evacuations(frozenset({"dc-a"}))
    controller.upstreams.apply_evacuations(frozenset())
    assert [entry.name for entry in controller.upstreams.list_cold()] == ["a"]
    clock.advance(COLD_MS)
    assert not controller.upstreams.list_cold()


def test_answer_marks_upstream_as_cold() -> None:
    controller = make_controller(ManualClock(), ())
    assert controller.upstreams.mark_cold("a", 2_000) and not controller.upstreams.mark_cold(
        "a", 1_900
    )
    assert [entry.name for entry in controller.upstreams.list_cold()] == ["a"]


@pytest.mark.parametrize("count", [1, 2, 4, 11, 80, 820])
def test_all_daemons_together_stay_within_the_rate(count: int) -> None:
    clock = ManualClock()
    sessions = frozenset(f"v{number}" for number in range(count))
    limiters = [ColdRateLimiter(clock) for _ in sessions]
    for limiter, session in zip(limiters, sorted(sessions), strict=True):
        limiter.apply_sessions(session, sessions)
    assert not any(limiter.can_send("u", COLD_PER_S) for limiter in limiters)
    clock.advance(COLD_SETTLE_MS)
    sent = 0
    for _ in range(10):
        for limiter in limiters:
            while limiter.can_send("u", COLD_PER_S):
                limiter.record_sent("u")
                sent += 1
        clock.advance(99)
    assert COLD_PER_S * 0.5 <= sent <= COLD_PER_S


@pytest.mark.parametrize("per_s", [0.1, 0.5, 1.0, 3.0, 22.0, 1_000.0])
@pytest.mark.parametrize("daemons", [1, 5, 80])
def test_shares_stay_within_the_rate(per_s: float, daemons: int) -> None:
    share = split_cold_rate(per_s, daemons)
    assert share.senders * share.requests / share.window_ms * 1_000 <= per_s * 1.001


def count_peak_arrivals(engine: RunEngine) -> int:
    """Return the highest number of requests within one second while an engine was cold."""
    at = engine.cold_arrivals
    return max((sum(first <= each < first + 1_000 for each in at) for first in at), default=0)


async def async_overload(fleet: GatewayFleet, seconds: int) -> None:
    """Send requests far beyond the capacity of all engines to all daemons, and jobs as well."""
    tasks = []
    for number in range(seconds * 20):
        for member in fleet.members[number % 4 :: 4]:
            tasks.append(asyncio.create_task(async_send(fleet, member, "/stream/1")))
        if number % 10 == 0:
            member = fleet.members[number % len(fleet.members)]
            tasks.append(
                asyncio.create_task(async_submit(fleet, member, f"j{fleet.clock.now()}", 20))
            )
        await fleet.clock.async_sleep(50)
    await asyncio.gather(*tasks)


@pytest.mark.parametrize("vms", [8, 30])
@pytest.mark.parametrize("how", ["return together", "all vms killed", "evacuation ended"])
def test_cold_upstreams_do_not_exceed_their_rate_under_overload(vms: int, how: str) -> None:
    """Guards against upstreams that crash again as soon as an overloaded fleet finds them empty."""

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.write_catalogue(cold=SERVICE_FIELDS)
        engines = fleet.add_engines(6)
        cold = [engine for engine in engines if engine.data_centre == "dc1"]
        await fleet.async_add_many(vms)
        await fleet.clock.async_sleep(3_000)
        if how == "evacuation ended":
            fleet.evacuate("dc1")
        else:
            for engine in cold:
                fleet.unregister(engine)
        await async_overload(fleet, 2)
        for engine in cold:
            engine.cold_until = Millis(fleet.clock.now() + COLD_MS)
            fleet.register(engine)
        if how == "all vms killed":
            for member in tuple(fleet.members):
                await fleet.async_kill(member)
            await fleet.async_add_many(vms)
        if how == "evacuation ended":
            fleet.end_evacuation("dc1")
        await async_overload(fleet, 4)
        assert all(count_peak_arrivals(engine) <= BOUND for engine in cold)
        assert all(engine.ran for engine in cold)

    run_fleet(scenario)
