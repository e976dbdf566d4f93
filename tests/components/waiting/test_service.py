"""Requests that wait for a slot in a fleet, and what ends their wait."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest

from goldcreststair.components.catalogue.models import CATALOGUE
from goldcreststair.components.fleet.protocols import hash_name
from goldcreststair.components.forwarding.protocols import FORWARDING
from goldcreststair.components.placement.loads import Runs
from goldcreststair.components.placement.service import PLACEMENT
from goldcreststair.components.waiting.const import CHECK_MS, COUNT_VALID_MS, MAX_LEVEL
from goldcreststair.components.waiting.other_daemons import OtherDaemons
from goldcreststair.components.waiting.protocols import WAITING
from goldcreststair.components.waiting.service import WaitingService
from goldcreststair.features import Feature
from goldcreststair.helpers.refusals import RefusalCode
from standins.gateways import FakeResponder, FleetMember, GatewayFleet
from standins.virtual_time import ManualClock
from tests.components.placement.test_outliers import FixedOutliers
from tests.helpers.gateways import async_send, run_fleet

CUSTOMERS = ({"name": "club", "priority": 1}, {"name": "urgent", "priority": 0})
KEYS = {"key-club": "club", "key-urgent": "urgent"}
PLACES = 18
"""Of two engines with eight slots and one more request each."""
Sent = list["asyncio.Task[FakeResponder]"]


def run_waiting_fleet(
    scenario: Callable[[GatewayFleet, list[FleetMember]], Awaitable[None]], vms: int = 1
) -> None:
    """Run a scenario on a fleet with two engines and the feature."""

    async def async_run(fleet: GatewayFleet) -> None:
        fleet.features = Feature.WAITING_QUEUE.value
        fleet.write_catalogue(2, customers=CUSTOMERS, keys=KEYS)
        fleet.add_engines(2)
        members = await fleet.async_add_many(vms)
        await fleet.clock.async_sleep(1_500)
        await scenario(fleet, members)

    run_fleet(async_run)


def send(fleet: GatewayFleet, member: FleetMember, count: int, customer: str = "club") -> Sent:
    """Send requests of a customer at once."""

    async def async_serve() -> FakeResponder:
        responder = FakeResponder(fleet.clock)
        request = replace(fleet.make_request("/stream/x"), key=f"key-{customer}")
        await member.core.get(FORWARDING).async_forward(request, responder)
        return responder

    return [asyncio.create_task(async_serve()) for _ in range(count)]


def read_waiting(member: FleetMember) -> WaitingService:
    """Return the component under test."""
    service = member.core.get(WAITING)
    assert isinstance(service, WaitingService)
    return service


async def async_fill(fleet: GatewayFleet, member: FleetMember, waiting: int = 2) -> Sent:
    """Fill all places, and send requests that wait; return these."""
    send(fleet, member, PLACES)
    await fleet.clock.async_sleep(10)
    sent = send(fleet, member, waiting)
    await fleet.clock.async_sleep(10)
    assert read_waiting(member).count_waiting() == waiting
    return sent


def count_runs(fleet: GatewayFleet) -> int:
    """Return how many runs reached an engine."""
    return len(fleet.engines.deadlines)


def test_a_request_waits_for_a_freed_slot_and_is_served_in_time() -> None:
    """Guards against refusing requests for which a slot becomes free within their objective."""

    async def scenario(fleet: GatewayFleet, members: list[FleetMember]) -> None:
        tasks: Sent = []
        was_waiting = 0
        for _ in range(60):
            # 16 slots serve one request in 40 ms.
            tasks += send(fleet, members[0], 1)
            await fleet.clock.async_sleep(34)
            was_waiting += read_waiting(members[0]).count_waiting() > 0
        answers = await asyncio.gather(*tasks)
        served = [answer for answer in answers if answer.whole]
        assert was_waiting and len(served) >= 45
        assert read_waiting(members[0]).count_waiting() == 0

    run_waiting_fleet(scenario)


def test_a_better_rank_takes_the_place_of_a_worse_one() -> None:
    """Guards against refusals in order of arrival while the priority of customers is known."""

    async def scenario(fleet: GatewayFleet, members: list[FleetMember]) -> None:
        low = await async_fill(fleet, members[0])
        send(fleet, members[0], 1, "urgent")
        await fleet.clock.async_sleep(1)
        ended = [task.result() for task in low if task.done()]
        assert read_waiting(members[0]).count_waiting() == 2
        (refusal,) = [answer.refusal for answer in ended if answer.refusal]
        assert refusal.code is RefusalCode.OVERLOADED and refusal.not_run
        assert 300 <= refusal.retry_after_ms <= 5_000 * 0.3

    run_waiting_fleet(scenario)


def test_a_caller_that_returns_is_not_refused_again_unless_it_cannot_be_served() -> None:
    """Guards against callers that use up their retries on refusals for lack of slots."""

    async def scenario(fleet: GatewayFleet, members: list[FleetMember]) -> None:
        await async_fill(fleet, members[0])
        returned = asyncio.create_task(
            async_send(fleet, members[0], "/stream/x", deadline_ms=4_000)
        )
        refused = await async_send(fleet, members[0], "/stream/x", deadline_ms=120)
        assert (await returned).whole
        assert refused.refusal is not None and refused.refusal.not_run
        assert refused.refusal.code is RefusalCode.OVERLOADED

    run_waiting_fleet(scenario)


def test_request_that_runs_only_once_is_no_trial_request() -> None:
    """Guards against a request that fails for good at an upstream that was ejected a moment ago."""

    async def scenario(fleet: GatewayFleet, members: list[FleetMember]) -> None:
        member = members[0]
        good, half_open = fleet.engines.by_address.values()
        controller = member.core.get(PLACEMENT).controller
        controller._outliers = FixedOutliers(trial=frozenset((half_open.name,)))
        controller.begin(good.name, Runs(online=9))
        refused = await async_send(fleet, member, "/once/x")
        assert refused.refusal is not None and refused.refusal.not_run
        assert (await async_send(fleet, member, "/stream/x")).whole

    run_waiting_fleet(scenario)


@pytest.mark.parametrize(
    ("is_view_old", "reason"),
    [
        (True, "1.25 of the slots in use: late"),
        (False, "0 requests wait, first event expected after 210 ms: late"),
    ],
)
def test_refusal_names_what_it_was_decided_by(is_view_old: bool, reason: str) -> None:
    """A refusal for lack of slots named an expected wait that was well within the objective."""

    async def scenario(fleet: GatewayFleet, members: list[FleetMember]) -> None:
        controller = members[0].core.get(PLACEMENT).controller
        for engine in fleet.engines.by_address.values():
            controller.begin(engine.name, Runs(online=10))
        controller.runs.digest_sequence = 1 if is_view_old else None
        deadline_ms = 5_000 if is_view_old else 150
        refused = await async_send(fleet, members[0], "/stream/x", deadline_ms=deadline_ms)
        assert refused.refusal is not None and refused.refusal.not_run
        assert refused.refusal.message == reason

    run_waiting_fleet(scenario)


def test_caller_that_disconnects_leaves_the_queue_at_once() -> None:
    """Guards against slots that are given to callers that are gone."""

    async def scenario(fleet: GatewayFleet, members: list[FleetMember]) -> None:
        sent = await async_fill(fleet, members[0])
        before = count_runs(fleet)
        for task in sent:
            task.cancel()
        await fleet.clock.async_sleep(1)
        assert read_waiting(members[0]).count_waiting() == 0
        await fleet.clock.async_sleep(2_000)
        assert count_runs(fleet) == before

    run_waiting_fleet(scenario)


def test_caller_that_disconnects_as_its_slot_becomes_free_blocks_no_other() -> None:
    """Guards against a queue that waits for ever for the run of a caller that is gone."""

    async def scenario(fleet: GatewayFleet, members: list[FleetMember]) -> None:
        first, second = await async_fill(fleet, members[0])
        queue = read_waiting(members[0])._queues["engine"]
        for engine in fleet.engines.by_address.values():
            members[0].core.get(PLACEMENT).end(engine.name)
        assert any(waiter.decided.done() for waiter in queue.waiters.values())
        first.cancel()
        answer = await second
        assert answer.whole

    run_waiting_fleet(scenario)


@pytest.mark.parametrize(
    ("upstream", "runs", "starts"),
    [("", Runs(online=1), 1), ("", Runs(batch=1), 0), ("of another service", Runs(online=1), 0)],
)
def test_only_online_runs_of_the_service_free_a_slot(
    upstream: str, runs: Runs, starts: int
) -> None:
    """A daemon took more than its share of the free slots as its batch runs were preempted."""

    async def scenario(fleet: GatewayFleet, members: list[FleetMember]) -> None:
        await async_fill(fleet, members[0])
        queue = read_waiting(members[0])._queues["engine"]
        name = upstream or next(iter(fleet.engines.by_address.values())).name
        placement = members[0].core.get(PLACEMENT)
        placement.controller.begin(name, runs)
        queue._starts = 0
        placement.end(name, runs)
        assert queue._starts == starts

    run_waiting_fleet(scenario)


@pytest.mark.parametrize("cause", ["key", "leave", "close"])
def test_withdrawn_key_and_shutdown_refuse_what_waits_as_not_run(cause: str) -> None:
    """Guards against requests that run under a withdrawn key, or are cut without an answer."""

    async def scenario(fleet: GatewayFleet, members: list[FleetMember]) -> None:
        sent = await async_fill(fleet, members[0])
        before = count_runs(fleet)
        if cause == "key":
            fleet.write_catalogue(3, customers=CUSTOMERS, keys={"key-urgent": "urgent"})
            await fleet.async_wait(lambda: members[0].read(CATALOGUE).version == 3, 60)
        elif cause == "leave":
            members[0].gateway.leave()
        else:
            await read_waiting(members[0]).async_close()
        await fleet.clock.async_sleep(1)
        refusals = [task.result().refusal for task in sent]
        code = RefusalCode.INVALID_KEY if cause == "key" else RefusalCode.NOT_READY
        assert [refusal.code for refusal in refusals if refusal] == [code] * len(sent)
        assert all(refusal.not_run for refusal in refusals if refusal)
        assert read_waiting(members[0]).count_waiting() == 0 and count_runs(fleet) == before

    run_waiting_fleet(scenario)


@pytest.mark.parametrize("fault", ["lost", "partition"])
def test_reports_of_daemons_that_are_not_heard_age_out(fault: str) -> None:
    """Guards against a share of the slots that stays reserved for requests that wait no longer."""

    async def scenario(fleet: GatewayFleet, members: list[FleetMember]) -> None:
        first, second = members
        await async_fill(fleet, first)
        service = read_waiting(second)
        key = hash_name("engine")
        await fleet.async_wait(lambda: service._others.count(key, MAX_LEVEL) == 2, 100)
        if fault == "lost":
            await fleet.async_kill(first)
        else:
            fleet.datagrams.cut(first.address, second.address)
        await fleet.clock.async_sleep(COUNT_VALID_MS + 100)
        assert service._others.count(key, MAX_LEVEL) == 0
        await fleet.clock.async_sleep(1_000)
        assert (await async_send(fleet, second, "/stream/x")).whole

    run_waiting_fleet(scenario, vms=2)


def test_without_reports_the_share_is_that_of_one_of_the_daemons() -> None:
    """Guards against daemons that each take all free slots while digests are late."""
    clock = ManualClock()
    others = OtherDaemons(clock, lambda: 3)
    others.apply("relay", {(1, 2): 4, (1, 3): 2, (7, 2): 9})
    assert others.is_known()
    assert [others.count(1, level) for level in (1, 2, 3)] == [0, 4, 6]
    clock.advance(COUNT_VALID_MS + 1)
    assert not others.is_known() and others.count(1, 3) == 0
    assert others.count_daemons() == 3


def test_daemon_without_beacons_assumes_that_as_many_wait_elsewhere() -> None:
    """Guards against a daemon that counts on all freed slots while the digests are late."""

    async def scenario(fleet: GatewayFleet, members: list[FleetMember]) -> None:
        service = read_waiting(members[0])
        (waiting,) = await async_fill(fleet, members[0], 1)
        service._others.count_daemons = lambda: 3
        assert service._queues["engine"].count_others(MAX_LEVEL) == 3
        await fleet.clock.async_sleep(CHECK_MS)
        # A slot becomes free every 50 ms; the fourth one is too late.
        assert waiting.result().refusal is not None

    run_waiting_fleet(scenario)


def test_inactive_feature_queues_and_reports_nothing() -> None:
    """Guards against other decisions or messages in deployments without the feature."""

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(2)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(1_500)
        sent = send(fleet, member, 60)
        await fleet.clock.async_sleep(5)
        assert read_waiting(member).count_waiting() == 0 and not read_waiting(member)._queues
        refused = [task for task in sent if task.done()]
        assert refused and len(fleet.engines.deadlines) == 20

    run_fleet(scenario)
