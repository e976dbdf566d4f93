"""Jobs through an outage of the store with the feature `outage-jobs`: each failure by itself."""

import logging
from collections.abc import Callable

import pytest

from goldcreststair.components.jobs.const import TABLE_RESULTS
from goldcreststair.components.jobs.models import JobKey
from goldcreststair.components.jobs.protocols import JOBS
from goldcreststair.components.jobs.records import JobRecords
from goldcreststair.components.jobs.service import JobService
from goldcreststair.features import Feature
from standins.gateways import FleetMember, GatewayFleet
from standins.run_engines import make_text
from tests.helpers.gateways import CUSTOMER, async_read, async_submit, run_fleet

ITEMS = 12
EVENTS = 60
JOB = JobKey(CUSTOMER, "digest")


async def async_begin(fleet: GatewayFleet, daemons: int, **events: int) -> list[FleetMember]:
    """Start daemons with the feature; the first one owns a job whose items have begun."""
    fleet.features = Feature.OUTAGE_JOBS.value
    fleet.add_engines(1)
    names = [f"digest-{number}" for number in range(ITEMS)]
    fleet.engines.events_by_request = dict.fromkeys(names, EVENTS) | events
    members = await fleet.async_add_many(daemons)
    await fleet.clock.async_sleep(1_000)
    assert (await async_submit(fleet, members[0], JOB.job, ITEMS)).accepted
    await fleet.clock.async_sleep(500)
    return members


async def async_check_results(fleet: GatewayFleet, member: FleetMember) -> None:
    """Check that each item is listed exactly once, whole and in order."""
    results = (await async_read(member, JOB.job)).results
    ended = fleet.engines.events_by_request
    assert sorted(result.item_id for result in results) == sorted(ended)
    for result in results:
        assert result.text == make_text(result.item_id, ended[result.item_id])


def get_service(member: FleetMember) -> JobService:
    """Return the job service of a daemon."""
    service = member.core.get(JOBS)
    assert isinstance(service, JobService)
    return service


def read_gauge(member: FleetMember, name: str) -> float:
    """Return a gauge of a daemon."""
    return member.core.meters._gauges[name]


def read_repeated(member: FleetMember) -> float:
    """Return the number of tokens that a daemon counted as computed twice."""
    return member.core.meters._counters["batch_tokens_repeated"].values[()]


def set_down(fleet: GatewayFleet, members: list[FleetMember], away: bool) -> None:
    """Refuse all calls."""
    fleet.store.faults.down = away


def set_silent(fleet: GatewayFleet, members: list[FleetMember], away: bool) -> None:
    """Answer no call."""
    fleet.store.faults.silent = away


def set_cut(fleet: GatewayFleet, members: list[FleetMember], away: bool) -> None:
    """Refuse the calls of the job's owner only."""
    members[0].view.cut = away


@pytest.mark.parametrize("set_away", [set_down, set_silent, set_cut])
def test_items_run_on_and_are_written_after_the_outage(
    set_away: Callable[[GatewayFleet, list[FleetMember], bool], None],
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Items waited for the store, or ran again because their results were not committed.

    The store refuses all VMs, answers none, or refuses only the owner, whose job must stay with it.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        members = await async_begin(fleet, 2)
        (engine,) = fleet.engines.by_address.values()
        set_away(fleet, members, True)
        await fleet.clock.async_sleep(9_000)
        # All items have run in slots that they did not keep, and their results wait.
        assert len(engine.ran) == ITEMS and engine.running == 0
        assert read_gauge(members[0], "results_waiting") == ITEMS
        assert read_gauge(members[0], "results_waiting_bytes") > ITEMS * EVENTS * 10
        set_away(fleet, members, False)
        await fleet.clock.async_sleep(2_500)
        assert read_gauge(members[0], "results_waiting") == 0
        assert read_gauge(members[0], "results_waiting_bytes") == 0
        assert len(engine.ran) == ITEMS
        for member in members:
            await async_check_results(fleet, member)

    with caplog.at_level(logging.INFO):
        run_fleet(scenario)
    (written,) = [r for r in caplog.records if r.message == "Results written after an outage"]
    assert vars(written)["results"] == ITEMS and vars(written)["commits"] <= 2
    assert len([r for r in caplog.records if r.message.startswith("Results not committed")]) <= 3


def test_results_of_a_lost_owner_are_computed_again() -> None:
    """The owner is lost during the outage, with all results that wait in its memory."""

    async def scenario(fleet: GatewayFleet) -> None:
        owner, other = await async_begin(fleet, 2)
        fleet.store.faults.down = True
        await fleet.clock.async_sleep(5_000)
        assert read_gauge(owner, "results_waiting") > 0
        await fleet.async_kill(owner)
        await fleet.clock.async_sleep(1_000)
        fleet.store.faults.down = False
        await fleet.clock.async_sleep(14_000)
        await async_check_results(fleet, other)

    run_fleet(scenario)


def test_owner_that_was_replaced_during_the_outage_writes_nothing() -> None:
    """Results that waited for the store must not be listed beside those of the next owner."""

    async def scenario(fleet: GatewayFleet) -> None:
        owner, other = await async_begin(fleet, 2)
        owner.view.cut = True
        await fleet.clock.async_sleep(4_000)
        waiting = int(read_gauge(owner, "results_waiting"))
        assert waiting > 0
        records = JobRecords(fleet.store.view(), fleet.clock)
        opened = (await records.async_find_open(JOB)).unwrap()
        assert opened is not None
        assert (await records.async_assign(opened, other.core.session_id)).is_ok()
        get_service(other).load(JOB)
        await fleet.clock.async_sleep(1_000)
        owner.view.cut = False
        await fleet.clock.async_sleep(12_000)
        assert not owner.core.get(JOBS).owns(JOB)
        assert read_gauge(owner, "results_waiting") == 0
        assert read_repeated(owner) >= waiting * EVENTS / 2
        await async_check_results(fleet, other)

    run_fleet(scenario)


def test_commit_whose_answer_was_lost_before_the_outage_is_not_written_twice() -> None:
    """The commit took effect; prepared anew, its results would get a second position."""

    async def scenario(fleet: GatewayFleet) -> None:
        owner, other = await async_begin(fleet, 2)
        fleet.store.faults.lose_answers = 1_000
        await fleet.async_wait(
            lambda: any(key.table == TABLE_RESULTS for key in fleet.store.rows), 5_000
        )
        fleet.store.faults.lose_answers, fleet.store.faults.down = 0, True
        await fleet.clock.async_sleep(5_000)
        fleet.store.faults.down = False
        await fleet.clock.async_sleep(6_000)
        await async_check_results(fleet, other)

    run_fleet(scenario)


def test_no_item_starts_when_the_memory_for_results_is_full() -> None:
    """Results must not take more memory than their bound; running items go on."""

    async def scenario(fleet: GatewayFleet) -> None:
        members = await async_begin(fleet, 2)
        (engine,) = fleet.engines.by_address.values()
        began = len(engine.ran)
        assert began < ITEMS
        text = len(make_text("digest-1", EVENTS))
        writer = get_service(members[0])._writer
        writer._backlog._max_bytes = began * text
        fleet.store.faults.down = True
        await fleet.clock.async_sleep(6_000)
        assert len(engine.ran) == began and engine.running == 0
        assert read_gauge(members[0], "results_waiting") == began
        fleet.store.faults.down = False
        await fleet.clock.async_sleep(6_000)
        await async_check_results(fleet, members[1])

    run_fleet(scenario)


def test_job_that_ended_during_the_outage_is_released() -> None:
    """A caller ends the job at a VM that the store still serves, while its owner waits."""

    async def scenario(fleet: GatewayFleet) -> None:
        owner, other = await async_begin(fleet, 2)
        owner.view.cut = True
        await fleet.clock.async_sleep(4_000)
        assert (await other.core.get(JOBS).async_end(JOB)).is_ok()
        owner.view.cut = False
        await fleet.clock.async_sleep(3_000)
        assert not owner.core.get(JOBS).owns(JOB)
        assert read_gauge(owner, "results_waiting") == 0
        assert not get_service(owner)._writer._tasks
        assert read_repeated(owner) == 0

    run_fleet(scenario)


def test_single_lost_answer_does_not_begin_an_outage(caplog: pytest.LogCaptureFixture) -> None:
    async def scenario(fleet: GatewayFleet) -> None:
        (member,) = await async_begin(fleet, 1)
        fleet.store.faults.lose_answers = 1
        await fleet.clock.async_sleep(6_000)
        await async_check_results(fleet, member)

    run_fleet(scenario)
    assert "Results wait for the store" not in caplog.messages
