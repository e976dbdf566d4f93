"""Runs of items: started in free slots, preempted for online requests, and resumed."""

import asyncio
from types import SimpleNamespace

import pytest
from result import Result

from goldcreststair.clock import Millis
from goldcreststair.components.fleet.protocols import hash_name
from goldcreststair.components.jobs.models import JobItem, JobKey, JobRecord, OpenJob
from goldcreststair.components.jobs.registry import (
    ItemProgress,
    JobRegistry,
    OwnedJob,
    choose_preempted,
)
from goldcreststair.components.placement.service import PLACEMENT
from goldcreststair.upstreams.dialect import RunCall
from goldcreststair.upstreams.errors import UpstreamError
from goldcreststair.upstreams.runner import RunEnd, RunSink
from standins.gateways import DEFAULT_ROUTES, GatewayFleet
from standins.run_engines import make_event, make_text
from tests.helpers.gateways import async_read, async_send, async_submit, run_fleet


def make_job(name: str, items: int, due_at: int) -> OwnedJob:
    """Return a job that this daemon owns."""
    key = JobKey("club", name)
    record = JobRecord(key, "host", "/batch/", items, 0, "object")
    progress = [ItemProgress(JobItem(f"{name}{n}", "/", (), b"", 1), n) for n in range(items)]
    opened = OpenJob(key, "me", "", 0, items, "route")
    return OwnedJob(record, opened, progress, Millis(due_at), Millis(100_000))


def estimate_remaining_ms(item: ItemProgress) -> float:
    """Return 10 ms for each remaining event, of 20 in total."""
    return (20 - item.last_event) * 10.0


@pytest.mark.parametrize(
    ("now", "begun", "expected"),
    [
        (0, [], ["soon0", "soon1", "later0"]),
        # Items that have already run resume first, so that some items of an overload are in time
        # instead of none.
        (0, ["later0"], ["later0", "soon0", "soon1"]),
        # Items that can no longer be in time wait for those that can, whether they have run or not.
        (400, [], ["later0", "soon0", "soon1"]),
        (400, ["soon1"], ["soon1", "later0", "soon0"]),
        (600, ["soon1"], ["later0", "soon1", "soon0"]),
    ],
)
def test_items_that_can_be_in_time_start_first(
    now: int, begun: list[str], expected: list[str]
) -> None:
    book = JobRegistry()
    for job in (make_job("later", 1, 1_000), make_job("soon", 2, 500)):
        book.jobs[job.key] = job
        for item in job.items:
            item.last_event = 15 if item.spec.item_id in begun else 0
    ranked = book.list_startable(Millis(now), estimate_remaining_ms)
    assert [each.item.spec.item_id for each in ranked] == expected


@pytest.mark.parametrize(
    ("now", "expected"),
    [(0, ["soon0", "later1", "later0"]), (450, ["soon0", "later1", "later0"])],
)
def test_run_with_most_remaining_work_is_preempted_first(now: int, expected: list[str]) -> None:
    soon, later = make_job("soon", 1, 500), make_job("later", 2, 1_000)
    later.items[0].last_event, later.items[1].last_event = 7, 5
    soon.items[0].last_event = 3

    class Run:
        def __init__(self, job: OwnedJob, item: ItemProgress) -> None:
            self.job, self.item = job, item

    runs = [Run(soon, soon.items[0]), *(Run(later, item) for item in later.items)]
    chosen = choose_preempted(runs, 3, Millis(now), estimate_remaining_ms)
    assert [run.item.spec.item_id for run in chosen] == expected


def test_run_preempted_before_its_first_step_is_restarted() -> None:
    """An item of an accepted job never finished, although slots were free.

    Its run was started and preempted in the same turn of the event loop. A task cancelled before
    its first step runs none of its code, so the item stayed marked as running and its slot as
    taken.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        (engine,) = fleet.add_engines(1)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(1_000)
        placement = member.core.get(PLACEMENT)
        assert (await async_submit(fleet, member, "digest", 1)).accepted
        await fleet.async_wait(lambda: placement.controller.runs.list_own() != {}, 1_000)
        for _ in range(engine.slots):
            placement.begin(engine.name)
        for _ in range(engine.slots):
            placement.end(engine.name)
        await fleet.clock.async_sleep(5_000)
        assert len((await async_read(member, "digest")).results) == 1
        assert placement.controller.runs.list_own() == {}

    run_fleet(scenario)


def test_equal_runs_are_preempted_in_start_order() -> None:
    """Between runs with equal remaining work, memory addresses decided which one was preempted."""

    async def scenario(fleet: GatewayFleet) -> None:
        (engine,) = fleet.add_engines(1)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(1_000)
        fleet.engines.events_by_request = {f"digest-{n}": 150 for n in range(engine.slots)}
        assert (await async_submit(fleet, member, "digest", engine.slots)).accepted
        await fleet.clock.async_sleep(1_000)
        began = [call.request_id for call in engine.ran]
        placement = member.core.get(PLACEMENT)
        for _ in range(4):
            placement.begin(engine.name)
        await fleet.clock.async_sleep(100)
        active_runs = [name for name, count in fleet.engines.active_runs.items() if count]
        yielded = len(began) - len(active_runs)
        assert yielded >= 3
        assert sorted(active_runs) == sorted(began[yielded:])

    run_fleet(scenario)


@pytest.mark.parametrize(
    ("other_engines", "sequence"),
    # With a digest shared by all daemons, each service has a start allowance of its own.
    [(0, None), (1, None), (0, 1)],
)
def test_full_service_does_not_block_items_of_other_services(
    other_engines: int, sequence: int | None
) -> None:
    """A job waited beside free slots because an older job's service had none."""

    async def scenario(fleet: GatewayFleet) -> None:
        batch = next(route for route in DEFAULT_ROUTES if route["prefix"] == "/batch/")
        other = {**batch, "prefix": "/batch/other/", "service": "other"}
        fleet.write_catalogue(routes=(*DEFAULT_ROUTES, other))
        fleet.add_engines(1)
        for engine in fleet.add_engines(other_engines):
            engine.service, engine.slots = "other", 2
            fleet.register(engine)
        fleet.engines.events_by_request = {f"other/job-{n}": 1_000 for n in range(5)}
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(1_000)
        member.core.get(PLACEMENT).controller.runs.digest_sequence = sequence
        assert (await async_submit(fleet, member, "other/job", 5)).accepted
        await fleet.clock.async_sleep(200)
        assert (await async_submit(fleet, member, "digest", 5)).accepted
        await fleet.clock.async_sleep(5_000)
        assert len((await async_read(member, "digest")).results) == 5

    run_fleet(scenario)


def test_batch_is_preempted_by_a_burst_and_resumes_after_it() -> None:
    """Online requests met engines full of batch items and waited behind them.

    Engines have no priorities. A burst that needs every slot must find them free within the time of
    a beacon and of closing a connection; each preempted item then resumes after its last event, and
    its text is complete without duplicates.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(2)
        fleet.engines.events_by_request = {f"digest-{n}": 150 for n in range(14)}
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        assert (await async_submit(fleet, first, "digest", 14)).accepted
        await fleet.clock.async_sleep(2_000)
        assert sum(engine.running for engine in engines) == 14
        began = fleet.clock.now()
        burst = [async_send(fleet, second, f"/stream/{n}") for n in range(16)]
        answers = await asyncio.gather(*burst)
        firsts = sorted(answer.event_times[0] - began for answer in answers)
        assert firsts[-1] < 150, firsts
        await fleet.clock.async_sleep(20_000)
        page = await async_read(second, "digest")
        texts = {result.item_id: result.text for result in page.results}
        assert texts == {f"digest-{n}": make_text(f"digest-{n}", 150) for n in range(14)}
        resumed = [call for engine in engines for call in engine.ran if call.resume_after]
        assert resumed, "preempted items resume after their last event"

    run_fleet(scenario)


@pytest.mark.parametrize(
    ("first_ms", "event_ms"),
    # Upstreams that are slow to send the first event, and upstreams that are slow throughout.
    [(3_000, 30), (40, 1_000)],
)
def test_item_at_slow_upstreams_finishes(first_ms: int, event_ms: int) -> None:
    """Every run of an item was aborted as silent, and the next upstream was just as slow."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(2)
        for engine in engines:
            engine.first_ms, engine.event_ms = first_ms, event_ms
        fleet.engines.events = 5
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(1_000)
        assert (await async_submit(fleet, member, "digest", 1)).accepted
        await fleet.clock.async_sleep(25_000)
        runs = [call.resume_after for engine in engines for call in engine.ran]
        assert len((await async_read(member, "digest")).results) == 1, runs
        assert len(runs) <= 2, runs

    run_fleet(scenario)


def test_items_of_a_removed_route_are_given_up() -> None:
    async def scenario(fleet: GatewayFleet) -> None:
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(1_000)
        assert (await async_submit(fleet, member, "digest", 2)).accepted
        fleet.add_engines(1)
        fleet.write_catalogue(2, DEFAULT_ROUTES[:-1])
        await fleet.clock.async_sleep(6_000)
        assert [result.done for result in (await async_read(member, "digest")).results] == [
            False
        ] * 2

    run_fleet(scenario)


def test_data_that_arrives_after_preemption_is_dropped() -> None:
    """Data that arrived after preemption corrupted the item's text.

    It moved the item past the event after which its next run had been asked to resume.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        (engine,) = fleet.add_engines(1)
        (member,) = await fleet.async_add_many(1)
        sinks: list[RunSink] = []
        run = fleet.engines.async_run

        async def async_run(
            address: str, call: RunCall, sink: RunSink
        ) -> Result[RunEnd, UpstreamError]:
            sinks.append(sink)
            return await run(address, call, sink)

        member.core.runner = SimpleNamespace(pool=fleet.engines, async_run=async_run)
        await fleet.clock.async_sleep(1_000)
        await async_submit(fleet, member, "j", 1)
        await fleet.clock.async_sleep(400)
        controller = member.core.get(PLACEMENT).controller
        before = controller.runs.read_own(hash_name(engine.name)).batch
        member.core.get(PLACEMENT)._preempt_handler(engine.name, 1)
        made = round(sinks[0].events)  # type: ignore[attr-defined]
        sinks[0].on_data(make_event("j-0", made + 1))
        await fleet.clock.async_sleep(5_000)
        assert before == 1 and made > 0
        assert [call.resume_after for call in engine.ran] == [0, made]
        (result,) = (await async_read(member, "j")).results
        assert result.text == make_text("j-0", 20)

    run_fleet(scenario)
