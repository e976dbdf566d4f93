"""Jobs whose owner is lost or leaves, and jobs that end during a takeover."""

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


def test_job_of_a_killed_owner_is_finished_by_another_daemon() -> None:
    """A VM lost power right after it had accepted a job.

    Another daemon must take the job over and finish its items, and all daemons must return the same
    results.
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
        assert sorted(result.item_id for result in pages[0].results) == [
            f"digest-{number}" for number in range(5)
        ]
        assert all(result.done for result in pages[0].results)

    run_fleet(scenario)


def test_job_that_ends_during_a_takeover_does_not_run() -> None:
    """Items of a job ran seconds after its caller was told that it had ended.

    The job's owner was lost, and the daemon taking over was still loading the job when the end was
    reported; it ignored the end and ran the items afterwards.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        first, second, third = await fleet.async_add_many(3)
        await fleet.clock.async_sleep(1_000)
        assert (await async_submit(fleet, first, "digest", 5)).accepted
        await fleet.async_kill(first)
        # Loading the job's items takes longer than ending the job.
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


def test_leaving_owner_hands_its_jobs_over() -> None:
    """A VM is stopped as planned while it runs a job whose items take longer than its grace period.

    Current runs may finish; the rest must continue elsewhere at once, without waiting until the VM
    counts as lost.
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
    """Return the daemons that run a job, or are loading it to run it."""
    key = JobKey(CUSTOMER, job)
    return [member for member in fleet.members if member.core.get(JOBS).owns(key)]


def test_job_accepted_during_the_start_of_a_leave_is_handed_over() -> None:
    """A job whose acceptance was in progress at SIGTERM stayed at its daemon until that exited."""

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


def test_job_loaded_during_the_start_of_a_leave_is_handed_over() -> None:
    """A job that was being loaded at SIGTERM stayed at its daemon until that exited."""

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


def test_job_handed_over_to_a_leaving_daemon_is_handed_on() -> None:
    """A job stayed for seconds with a daemon that got SIGTERM at the same moment as its owner."""

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
def test_new_owner_can_reach_the_store(planned: bool) -> None:
    """Jobs stayed for seconds with daemons that the store rejected.

    Those daemons could not load the items.
    """

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


def name_job(preferred: FleetMember, other: FleetMember) -> str:
    """Return the name of a job for which one daemon ranks higher as owner than another."""

    def rank(member: FleetMember, job: str) -> int:
        return score(member.core.session_id, CUSTOMER, job)

    names = map(str, range(100))
    return next(name for name in names if rank(preferred, name) > rank(other, name))


def test_handover_whose_answer_was_lost_still_takes_effect() -> None:
    """A leaving owner kept a job that the store had assigned to another daemon.

    The answer to the change was lost, and the new owner was not notified.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        assert (await async_submit(fleet, first, "digest", 3)).accepted
        fleet.store.faults.lose_answers = 2
        first.core.get(ENTRY).leave()
        await fleet.async_wait(lambda: find_owners(fleet, "digest") == [second], 1_000)

    run_fleet(scenario)


def test_job_of_a_new_route_survives_an_owner_with_an_older_catalogue() -> None:
    """Items were given up because their next owner did not know their route.

    It had not yet received the catalogue version that adds the route.
    """

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
    """Return the event after which each item's last run resumed.

    Only runs after the first `since` calls of each engine are considered.
    """
    calls = [call for engine in fleet.engines.by_address.values() for call in engine.ran[since:]]
    return {call.request_id: call.resume_after for call in calls}


def test_items_of_a_killed_owner_resume_from_saved_progress() -> None:
    """All items of a job were late after their VM lost power with four of five seconds done.

    The progress was known to the lost owner only. The next owner ran every item from its first
    event, in slots that other jobs needed to be in time.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        (engine,) = fleet.add_engines(1)
        fleet.engines.events_by_request = {f"digest-{n}": 150 for n in range(5)}
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        assert (await async_submit(fleet, first, "digest", 5)).accepted
        await fleet.clock.async_sleep(4_000)
        before = len(engine.ran)
        await fleet.async_kill(first)
        await fleet.clock.async_sleep(9_000)
        resumed = list_first_events(fleet, before)
        assert len(resumed) == 5
        # At 30 ms per event and one save per second, at most 40 of about 130 events are repeated.
        assert min(resumed.values()) >= 90, resumed
        page = await async_read(second, "digest")
        texts = {result.item_id: result.text for result in page.results}
        assert texts == {f"digest-{n}": make_text(f"digest-{n}", 150) for n in range(5)}
        assert not [key for key in fleet.store.rows if key.table == TABLE_PROGRESS]

    run_fleet(scenario)


def test_items_of_a_leaving_owner_resume_from_handed_over_progress() -> None:
    """Jobs were late after a rolling replacement of VMs, although slots were free.

    A burst took the slots of a leaving VM's runs. The VM starts no more items, so the job was stuck
    there until its last run had ended, and its items then restarted from the beginning at the next
    owner.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        (engine,) = fleet.add_engines(1)
        fleet.engines.events_by_request = {f"digest-{n}": 150 for n in range(5)}
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
        texts = {result.item_id: result.text for result in page.results}
        assert texts == {f"digest-{n}": make_text(f"digest-{n}", 150) for n in range(5)}

    run_fleet(scenario)


def test_progress_of_an_ended_job_is_not_saved() -> None:
    """Rows of an ended job stayed in the store forever.

    Its owner saved progress after the job had ended or had another owner, and nothing removes rows
    that are written then.
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


def test_jobs_resume_soon_after_all_vms_return() -> None:
    """After all VMs lost power for a second, no item ran for two seconds.

    Sweeps for jobs without an owner ran every 1.5 s, counted from each VM's start; jobs of several
    customers were late by less than that.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        (engine,) = fleet.add_engines(1)
        fleet.engines.events_by_request = {f"digest-{n}": 150 for n in range(5)}
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
