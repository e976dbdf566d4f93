"""Jobs of owners that are lost, leave, or hear of an end too early."""

import asyncio

import pytest

from goldcreststair.components.catalogue.models import CATALOGUE
from goldcreststair.components.entry.service import ENTRY
from goldcreststair.components.jobs.const import TABLE_PROGRESS
from goldcreststair.components.jobs.models import JobKey, SavedProgress
from goldcreststair.components.jobs.protocols import JOBS
from goldcreststair.components.jobs.records import JobRecords
from goldcreststair.helpers.rendezvous import score
from goldcreststair.store.rows import RowsConflict
from standins.gateways import DEFAULT_ROUTES, FleetMember, GatewayFleet
from standins.run_engines import make_text
from tests.helpers.gateways import CUSTOMER, async_read, async_submit, run_fleet


def test_a_job_of_a_killed_owner_is_finished_by_another() -> None:
    """A digest job was accepted and its VM lost power right after.

    Its items must be finished all the same: another daemon reads the open job, takes it over, and every
    daemon shows the same results.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(2)
        first, second, third = await fleet.async_add_many(3)
        await fleet.clock.async_sleep(1_000)
        assert (await async_submit(fleet, first, "digest", 5)).accepted
        await fleet.async_kill(first)
        await fleet.clock.async_sleep(12_000)
        pages = [await async_read(member, "digest") for member in (second, third)]
        assert pages[0] == pages[1]
        assert sorted(result.item for result in pages[0].results) == [
            f"digest-{number}" for number in range(5)
        ]
        assert all(result.done for result in pages[0].results)

    run_fleet(scenario)


def test_a_job_that_ends_while_it_is_taken_over_does_not_run() -> None:
    """A caller ended its job, was told so, and items of it ran seconds later.

    Its first owner was lost and another daemon was reading the job's items when the end came: the news
    met a daemon that did not run the job yet, and it began to afterwards.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        first, second, third = await fleet.async_add_many(3)
        await fleet.clock.async_sleep(1_000)
        assert (await async_submit(fleet, first, "digest", 5)).accepted
        await fleet.async_kill(first)
        # The object of its items takes longer to read than the end takes.
        fleet.store.faults.slow_objects_ms = 300
        key = JobKey(CUSTOMER, "digest")
        owners = [member.core.get(JOBS) for member in (second, third)]
        fleet.add_engines(1)
        await fleet.async_wait(lambda: any(jobs.owns(key) for jobs in owners), 10_000)
        assert (await third.core.get(JOBS).async_end(key)).is_ok()
        await fleet.clock.async_sleep(5_000)
        (engine,) = fleet.engines.by_address.values()
        assert engine.ran == []

    run_fleet(scenario)


def test_a_leaving_owner_hands_its_jobs_over() -> None:
    """A VM was stopped as planned while it ran a job whose items take longer than its grace.

    What runs may end; the rest must go on elsewhere at once and not wait until the VM counts as lost.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        (engine,) = fleet.add_engines(1)
        engine.slots = 3
        fleet.register(engine)
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        assert (await async_submit(fleet, first, "digest", 8)).accepted
        await fleet.clock.async_sleep(100)
        first.core.get(ENTRY).leave()
        await asyncio.wait_for(first.core.get(ENTRY).async_wait(), 8)
        await fleet.async_kill(first)
        await fleet.clock.async_sleep(6_000)
        assert len((await async_read(second, "digest")).results) == 8
        ran = [call.request_id for call in engine.ran]
        assert sorted(set(ran)) == sorted(ran), "no item ran twice"

    run_fleet(scenario)


def find_owners(fleet: GatewayFleet, job: str) -> list[FleetMember]:
    """Return the daemons that run a job, or read it from the store to run it."""
    key = JobKey(CUSTOMER, job)
    return [member for member in fleet.members if member.core.get(JOBS).owns(key)]


def test_a_job_accepted_while_its_daemon_begins_to_leave_is_handed_over() -> None:
    """A job that was being accepted when SIGTERM came lay at its daemon until that ended."""

    async def scenario(fleet: GatewayFleet) -> None:
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        fleet.store.faults.slow_ms = 50
        submitting = asyncio.create_task(async_submit(fleet, first, "digest", 3))
        await fleet.clock.async_sleep(120)
        first.core.get(ENTRY).leave()
        assert (await submitting).accepted
        fleet.store.faults.slow_ms = 0
        await fleet.async_wait(lambda: find_owners(fleet, "digest") == [second], 1_000)

    run_fleet(scenario)


def test_a_job_taken_over_while_its_daemon_begins_to_leave_is_handed_over() -> None:
    """A job that was being read from the store when SIGTERM came lay at its daemon until that ended."""

    async def scenario(fleet: GatewayFleet) -> None:
        first, *others = await fleet.async_add_many(3)
        await fleet.clock.async_sleep(1_000)
        assert (await async_submit(fleet, first, "digest", 3)).accepted
        fleet.store.faults.slow_objects_ms = 300
        first.core.get(ENTRY).leave()
        await fleet.async_wait(lambda: find_owners(fleet, "digest") not in ([], [first]), 1_000)
        (next_owner,) = find_owners(fleet, "digest")
        next_owner.core.get(ENTRY).leave()
        (last,) = [member for member in others if member is not next_owner]
        await fleet.async_wait(lambda: find_owners(fleet, "digest") == [last], 1_500)

    run_fleet(scenario)


def test_a_job_handed_to_a_daemon_that_leaves_as_well_is_handed_on() -> None:
    """A job lay for seconds with a daemon that was sent SIGTERM in the same moment as its owner."""

    async def scenario(fleet: GatewayFleet) -> None:
        first, second, third = await fleet.async_add_many(3)
        await fleet.clock.async_sleep(1_000)
        job = name_job(second, third)
        assert (await async_submit(fleet, first, job, 3)).accepted
        for member in (first, second):
            member.core.get(ENTRY).leave()
        await fleet.async_wait(lambda: find_owners(fleet, job) == [third], 1_500)

    run_fleet(scenario)


@pytest.mark.parametrize("planned", [True, False])
def test_a_job_goes_to_an_owner_that_the_store_answers(planned: bool) -> None:
    """Jobs lay for seconds with daemons that the store turned away: none of them could read its items."""

    async def scenario(fleet: GatewayFleet) -> None:
        first, second, third = await fleet.async_add_many(3)
        await fleet.clock.async_sleep(1_000)
        job = name_job(second, third)
        assert (await async_submit(fleet, first, job, 3)).accepted
        second.view.cut = True
        await fleet.clock.async_sleep(1_500)
        if planned:
            first.core.get(ENTRY).leave()
        else:
            await fleet.async_kill(first)
        await fleet.async_wait(
            lambda: find_owners(fleet, job) == [third], 1_000 if planned else 6_000
        )

    run_fleet(scenario)


def name_job(wanted: FleetMember, other: FleetMember) -> str:
    """Return the name of a job that one daemon would own sooner than another."""

    def rank(member: FleetMember, job: str) -> int:
        return score(member.core.session_id, CUSTOMER, job)

    names = map(str, range(100))
    return next(name for name in names if rank(wanted, name) > rank(other, name))


def test_a_job_handed_over_by_a_change_whose_answer_was_lost_runs_on() -> None:
    """A leaving owner kept a job that the store had given to another, who was not told of it."""

    async def scenario(fleet: GatewayFleet) -> None:
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        assert (await async_submit(fleet, first, "digest", 3)).accepted
        fleet.store.faults.lose_answers = 2
        first.core.get(ENTRY).leave()
        await fleet.async_wait(lambda: find_owners(fleet, "digest") == [second], 1_000)

    run_fleet(scenario)


def test_a_job_of_a_new_route_outlives_an_owner_that_does_not_know_it_yet() -> None:
    """Items were given up: their next owner had not heard of the version that brought their route."""

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(1)
        fleet.write_catalogue(1, DEFAULT_ROUTES[:-1])
        first, behind = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        behind.view.cut = True
        fleet.write_catalogue(2)
        await fleet.async_wait(lambda: bool(first.read(CATALOGUE).version == 2), 1_000)
        assert (await async_submit(fleet, first, "digest", 2)).accepted
        behind.view.cut = False
        first.core.get(ENTRY).leave()
        await fleet.async_wait(lambda: find_owners(fleet, "digest") == [behind], 1_000)
        assert behind.read(CATALOGUE).version == 1
        await fleet.clock.async_sleep(10_000)
        assert [result.done for result in (await async_read(behind, "digest")).results] == [
            True
        ] * 2

    run_fleet(scenario)


def list_first_events(fleet: GatewayFleet, since: int) -> dict[str, int]:
    """Return after which event each item's last run went on, for runs begun after `since` calls."""
    calls = [call for engine in fleet.engines.by_address.values() for call in engine.ran[since:]]
    return {call.request_id: call.resume_after for call in calls}


def test_a_killed_owners_items_go_on_where_they_were() -> None:
    """All items of a job were late: their VM lost power when each had four of its five seconds done.

    What a run had brought was known to its owner only. The next owner ran every item from its first
    event on, in slots that other jobs needed to be in time.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        (engine,) = fleet.add_engines(1)
        fleet.engines.events_of = {f"digest-{n}": 150 for n in range(5)}
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        assert (await async_submit(fleet, first, "digest", 5)).accepted
        await fleet.clock.async_sleep(4_000)
        before = len(engine.ran)
        await fleet.async_kill(first)
        await fleet.clock.async_sleep(9_000)
        resumed = list_first_events(fleet, before)
        assert len(resumed) == 5
        # 30 ms an event, and a save each second: of some 130 events 40 at most are run again.
        assert min(resumed.values()) >= 90, resumed
        page = await async_read(second, "digest")
        texts = {result.item: result.text for result in page.results}
        assert texts == {f"digest-{n}": make_text(f"digest-{n}", 150) for n in range(5)}
        assert not [key for key in fleet.store.rows if key.table == TABLE_PROGRESS]

    run_fleet(scenario)


def test_a_leaving_owners_items_go_on_where_they_were() -> None:
    """VMs were replaced in turn, and jobs whose owner left were late although slots were free.

    A burst took the slots of the leaving VM's runs; it starts nothing more, and the job stayed there
    until its last run had ended. Then its items began anew at the next owner.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        (engine,) = fleet.add_engines(1)
        fleet.engines.events_of = {f"digest-{n}": 150 for n in range(5)}
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        assert (await async_submit(fleet, first, "digest", 5)).accepted
        await fleet.clock.async_sleep(2_500)
        before = len(engine.ran)
        first.core.get(ENTRY).leave()
        await fleet.clock.async_sleep(1_500)
        resumed = list_first_events(fleet, before)
        assert len(resumed) == 5
        assert min(resumed.values()) >= 90, resumed
        await fleet.clock.async_sleep(4_000)
        page = await async_read(second, "digest")
        texts = {result.item: result.text for result in page.results}
        assert texts == {f"digest-{n}": make_text(f"digest-{n}", 150) for n in range(5)}

    run_fleet(scenario)


def test_progress_of_a_job_that_ended_is_not_saved_any_more() -> None:
    """Rows of a job that its caller had ended stayed in the store for good.

    Its owner was about to save the progress of its items when the end came: a save that is made after the
    end, or after the job went to another owner, would write rows that nobody removes any more.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(1_000)
        assert (await async_submit(fleet, member, "digest", 3)).accepted
        key = JobKey(CUSTOMER, "digest")
        records = JobRecords(fleet.store.view(), fleet.clock)
        opened = (await records.async_find_open(key)).unwrap()
        assert opened is not None
        progress = [SavedProgress(0, 20, b"text")]
        assert (await records.async_save_progress(opened, progress)).is_ok()
        saved = (await records.async_read_progress(key)).unwrap()
        assert saved == progress
        assert (await records.async_end(key)).is_ok()
        late = await records.async_save_progress(opened, [SavedProgress(1, 20, b"text")])
        assert isinstance(late.unwrap_err(), RowsConflict)
        record = (await records.async_find(key)).unwrap()
        assert record is not None
        assert (await records.async_remove(record)).is_ok()
        assert not [row for row in fleet.store.rows if row.table == TABLE_PROGRESS]

    run_fleet(scenario)


def test_jobs_go_on_soon_after_all_vms_have_returned() -> None:
    """All VMs lost power for a second, and no item ran for two seconds after their return.

    Jobs without an owner were looked for every 1.5 s, counted from each VM's start; the jobs of several
    customers were late by less than that.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        (engine,) = fleet.add_engines(1)
        fleet.engines.events_of = {f"digest-{n}": 150 for n in range(5)}
        members = await fleet.async_add_many(3)
        await fleet.clock.async_sleep(1_000)
        assert (await async_submit(fleet, members[0], "digest", 5)).accepted
        await fleet.clock.async_sleep(2_000)
        addresses = [member.address for member in members]
        for member in members:
            await fleet.async_kill(member)
        before = len(engine.ran)
        for address in addresses:
            await fleet.async_add(address)
        took_ms = await fleet.async_wait(lambda: len(engine.ran) >= before + 5, 5_000)
        assert took_ms <= 1_000

    run_fleet(scenario)
