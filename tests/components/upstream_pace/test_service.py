"""Pace of upstreams in fleets of daemons: marking, beacons, failures, and a load with and without."""

import asyncio
import logging
import random

import pytest

from goldcreststair.components.features.protocols import FEATURES
from goldcreststair.components.upstream_pace.protocols import UPSTREAM_PACE
from goldcreststair.features import Feature
from goldcreststair.upstreams.dialect import RunHead, UpstreamLoad
from standins.gateways import FleetMember, GatewayFleet
from standins.run_engines import RunEngine
from tests.helpers.gateways import async_send, run_fleet

PACE = Feature.UPSTREAM_PACE.value
SETTLE_MS = 2_000
SLOW_PERCENT = 200
RUN_MS = 6_000


def make_head(text: str, load: UpstreamLoad | None) -> RunHead:
    """Return a head with a load header."""
    return RunHead(200, (), False, False, load, load_text=text)


def read_factor(member: FleetMember, upstream: str) -> float:
    """Return a daemon's factor of an upstream."""
    return member.core.get(UPSTREAM_PACE).read_factor(upstream)


async def async_report(
    fleet: GatewayFleet, member: FleetMember, percent: int, count: int = 8
) -> None:
    """Let an answer to one daemon report a pace every 100 ms."""
    head = make_head("", UpstreamLoad(1, 0, 8, percent))
    for _ in range(count):
        member.core.get(UPSTREAM_PACE).record_head("e0", head)
        await fleet.clock.async_sleep(100)


MARKED_EVENTS = ("Upstream reports its pace", "Service on shared machines")
"""Each daemon logs one of them: the first report reaches it in a message, or in a session row."""


@pytest.mark.parametrize("daemons", [3, 30])
def test_one_report_marks_the_service_and_slows_the_upstream_at_all_daemons(
    daemons: int, caplog: pytest.LogCaptureFixture
) -> None:
    """A daemon of 34 gets a figure of one upstream every few seconds; a relay must drop none."""

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(4)
        members = await fleet.async_add_many(daemons)
        await fleet.clock.async_sleep(SETTLE_MS)
        await async_report(fleet, members[1], 300)
        for member in members:
            assert member.core.get(FEATURES).is_active(Feature.UPSTREAM_PACE, "engine")
            assert read_factor(member, "e0") > 1.3
            assert read_factor(member, "e1") == 1.0
        events = [record.message for record in caplog.records]
        assert "Upstream reports its pace" in events
        assert sum(events.count(event) for event in MARKED_EVENTS) == daemons

    with caplog.at_level(logging.INFO):
        run_fleet(scenario)


def test_a_daemon_that_is_cut_off_uses_its_own_figures() -> None:
    """Without beacons the other daemons return to the usual pace, and this one learns by itself."""

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(2)
        members = await fleet.async_add_many(3)
        await fleet.clock.async_sleep(SETTLE_MS)
        members[0].datagrams.closed = True
        await async_report(fleet, members[0], 300)
        assert read_factor(members[0], "e0") > 2.0
        assert read_factor(members[1], "e0") == 1.0
        await fleet.clock.async_sleep(3_500)
        read_factor(members[0], "e0")
        await fleet.clock.async_sleep(500)
        assert read_factor(members[0], "e0") == 1.0

    run_fleet(scenario)


@pytest.mark.parametrize(
    ("text", "load", "counted"),
    [
        ("3,1,8", UpstreamLoad(3, 1, 8), 0),
        ("3,1,8,fast", None, 2),
        ("3,1,8,0", UpstreamLoad(3, 1, 8, 0), 2),
        ("", None, 0),
    ],
)
def test_an_invalid_header_changes_nothing_and_is_logged_once(
    text: str, load: UpstreamLoad | None, counted: int, caplog: pytest.LogCaptureFixture
) -> None:
    """An upstream that sends garbage must not fill the log or make itself preferred."""

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(1)
        member = await fleet.async_add()
        await fleet.clock.async_sleep(SETTLE_MS)
        for _ in range(2):
            member.core.get(UPSTREAM_PACE).record_head("e0", make_head(text, load))
        await fleet.clock.async_sleep(300)
        assert read_factor(member, "e0") == 1.0
        page = member.core.meters.render().decode()
        assert f"goldcreststair_upstream_load_invalid_total {counted:.1f}" in page
        lines = [r for r in caplog.records if r.message == "Load header invalid"]
        assert [vars(line)["text"] for line in lines] == [text] * (counted > 0)

    run_fleet(scenario)


def test_no_pace_is_sent_where_the_feature_is_inactive() -> None:
    """Guards the messages of deployments that worked without the feature."""

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.shared_machine_features = ""
        fleet.add_engines(1)
        members = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(SETTLE_MS)
        await async_report(fleet, members[0], 300)
        assert [read_factor(member, "e0") for member in members] == [1.0, 1.0]
        # True only if no message has marked the service before.
        assert members[1].core.get(FEATURES).mark_shared("engine")

    run_fleet(scenario)


async def async_change_pace(fleet: GatewayFleet, engine: RunEngine, rng: random.Random) -> None:
    """Make an upstream slow for 15% of the time, in phases of about 600 ms."""
    while True:
        engine.pace_percent = 250 if rng.random() < 0.15 else 100
        await fleet.clock.async_sleep(rng.randrange(400, 800))


async def async_play(fleet: GatewayFleet, *, reported: bool) -> tuple[list[int], int]:
    """Play bursts; returns the sorted times to the first event and the runs at slow upstreams."""
    rng, engines = random.Random(3), fleet.add_engines(10)
    members = await fleet.async_add_many(5)
    await fleet.clock.async_sleep(SETTLE_MS)
    changes: list[asyncio.Task[None]] = []
    for number, engine in enumerate(engines):
        engine.first_ms, engine.event_ms, engine.reports_pace = 60, 30, reported
        engine.pace_percent = SLOW_PERCENT if number % 5 == 0 else 100
        if reported:
            change = async_change_pace(fleet, engine, random.Random(number))
            changes.append(asyncio.create_task(change))
    firsts: list[int] = []

    async def async_request(member: FleetMember) -> None:
        began_at = fleet.clock.now()
        answer = await async_send(fleet, member, "/stream/x")
        assert answer.whole
        firsts.append(answer.event_times[0] - began_at)

    requests, began_at = [], fleet.clock.now()
    while (age_ms := fleet.clock.now() - began_at) < RUN_MS:
        requests.append(asyncio.create_task(async_request(rng.choice(members))))
        per_s = 46 * (1.85 if age_ms % 5_200 < 2_200 else 0.378)
        await fleet.clock.async_sleep(1 + round(rng.expovariate(per_s / 1_000)))
    await asyncio.gather(*requests)
    for task in changes:
        task.cancel()
    return sorted(firsts), sum(len(e.ran) for e in engines if e.pace_percent == SLOW_PERCENT)


def play(features: str, *, reported: bool) -> tuple[list[int], int]:
    """Play the load on a new fleet with these features."""
    results: list[tuple[list[int], int]] = []

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.features = fleet.shared_machine_features = features
        results.append(await async_play(fleet, reported=reported))

    run_fleet(scenario)
    return results[0]


def test_upstreams_that_are_always_slow_get_fewer_requests() -> None:
    """Two of ten upstreams take twice as long, and only their runs show it."""
    without, slow_without = play("", reported=False)
    firsts, slow = play(PACE, reported=False)
    assert len(firsts) == len(without)
    assert slow < slow_without * 0.9
    assert sum(firsts) < sum(without)


def test_short_slow_phases_cause_no_more_late_answers() -> None:
    """Figures are almost as old as the phases last, so that following them fully harms."""
    without, _ = play("", reported=True)
    firsts, _ = play(PACE, reported=True)
    late = [sum(first > 303 for first in times) for times in (without, firsts)]
    assert late[1] <= late[0] + len(firsts) // 100
    assert sum(firsts) < sum(without) * 1.03
