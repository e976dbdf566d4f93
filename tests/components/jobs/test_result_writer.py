"""Commits of results to the store."""

import asyncio
from typing import Any

from result import Ok

from goldcreststair.components.jobs.models import ItemResult
from goldcreststair.components.jobs.records import JobRecords, ResultCommit
from goldcreststair.components.jobs.registry import ItemState, OwnedJob
from goldcreststair.components.jobs.result_writer import ResultWriter
from standins.gateways import GatewayFleet
from tests.components.jobs.test_execution import make_job
from tests.helpers.gateways import run_fleet


class SlowRecords(JobRecords):
    """Commits results when the test allows it."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.answers: list[asyncio.Future[None]] = []

    async def async_commit_results(self, listing: ResultCommit) -> Any:
        answer: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.answers.append(answer)
        await answer
        return Ok(listing.after)


def test_result_that_arrives_as_a_commit_ends_is_committed() -> None:
    """A job's last result was never committed.

    It arrived in the turn of the event loop in which a commit ended.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        (member,) = await fleet.async_add_many(1)
        records = SlowRecords(fleet.store.view(), fleet.clock)
        writer = ResultWriter(member.core, records, lambda _: None, lambda *_: None)
        job = make_job("digest", 3, 10_000)

        finish(writer, job, 0)
        await fleet.async_wait(lambda: len(records.answers) == 1, 100)
        records.answers[0].set_result(None)
        # This callback runs right after the step in which the commit ends.
        asyncio.get_running_loop().call_soon(finish, writer, job, 1)
        await fleet.async_wait(lambda: len(records.answers) == 2, 100)
        records.answers[1].set_result(None)
        await fleet.async_wait(lambda: list_states(job)[:2] == [ItemState.COMMITTED] * 2, 100)
        assert writer.is_idle(job)

    run_fleet(scenario)


def test_job_taken_over_again_is_independent_of_earlier_commits() -> None:
    """The last result of a job that was taken over again was not committed.

    A commit of the job's earlier ownership was still pending, and the result was left to that.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        (member,) = await fleet.async_add_many(1)
        records = SlowRecords(fleet.store.view(), fleet.clock)
        writer = ResultWriter(member.core, records, lambda _: None, lambda *_: None)
        before, again = make_job("digest", 2, 10_000), make_job("digest", 2, 10_000)
        finish(writer, before, 0)
        await fleet.async_wait(lambda: len(records.answers) == 1, 100)
        before.lost = True
        finish(writer, again, 1)
        await fleet.async_wait(lambda: len(records.answers) == 2, 100)
        for answer in records.answers:
            answer.set_result(None)
        await fleet.async_wait(lambda: list_states(again)[1] is ItemState.COMMITTED, 100)
        assert writer.is_idle(again)

    run_fleet(scenario)


def finish(writer: ResultWriter, job: OwnedJob, number: int) -> None:
    """Finish an item of a job."""
    item = job.items[number]
    item.state = ItemState.FINISHED
    job.finished.append((item, ItemResult(item.spec.item_id, done=True)))
    writer.schedule(job)


def list_states(job: OwnedJob) -> list[ItemState]:
    """Return the states of a job's items."""
    return [item.state for item in job.items]
