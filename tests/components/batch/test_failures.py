"""Failures of batch jobs; each ends with the checker of `BatchFleet`."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import pytest
from result import Err, Ok

from goldcreststair.clock import LoopClock
from goldcreststair.components.batch.allowance import AllowanceController, AllowanceParameters
from goldcreststair.components.batch.errors import BatchProblem
from goldcreststair.components.batch.records import make_job_key
from goldcreststair.components.batch.submission import make_job_id
from goldcreststair.components.peers.protocols import PEERS, Handler
from goldcreststair.wire.generated.batch.ttypes import RecordPut
from standins.engine.models import EngineParameters
from tests.helpers.batch_fleet import BatchFleet, make_lines
from tests.helpers.idle_upstreams import IdleUpstreams
from tests.helpers.virtual_time import run_virtual

Story = Callable[[BatchFleet], Awaitable[None]]


def run(story: Story, **options: Any) -> None:
    async def async_test() -> None:
        fleet = BatchFleet(**options)
        await fleet.async_start()
        try:
            await story(fleet)
        finally:
            await fleet.async_close()

    run_virtual(async_test())


def test_runs_a_job_over_the_fleet() -> None:
    async def story(fleet: BatchFleet) -> None:
        manifest = (await fleet.async_submit(make_lines(300))).unwrap()
        assert (manifest.items, manifest.chunks) == (300, 3)
        await fleet.async_wait(manifest.job)
        assert (await fleet.async_check(manifest.job))["done"] == 300

    run(story)


def test_owner_lost_right_after_acknowledgement() -> None:
    """The VM that accepted a job is lost right after its reply.

    A caller must not lose a job it has an id for: manifest and chunks were committed before the
    answer, so the next owners of the partitions find and run them.
    """

    async def story(fleet: BatchFleet) -> None:
        manifest = (await fleet.async_submit(make_lines(300))).unwrap()
        await fleet.async_kill(next(vm for vm, s in fleet.services.items() if s.chunk_owner.chunks))
        await fleet.async_wait(manifest.job)
        assert (await fleet.async_check(manifest.job))["done"] == 300

    run(story)


def test_paused_chunk_owner_resumes() -> None:
    """A chunk's owner is paused, another takes over and finishes, then the first wakes.

    The old owner does not know of its loss and commits its results. The commit is fenced, so the
    states that the new owner committed do not change.
    """

    async def story(fleet: BatchFleet) -> None:
        manifest = (await fleet.async_submit(make_lines(128, tokens=60))).unwrap()
        await fleet.clock.async_sleep(1500)
        owner = next(vm for vm, s in fleet.services.items() if s.chunk_owner.chunks)
        other = next(vm for vm in fleet.services if vm != owner)
        chunk = next(iter(fleet.services[owner].chunk_owner.chunks.values()))
        index = chunk.partition.index
        fleet.world.move(index, other, notify_old_owner=False)
        await fleet.async_wait(manifest.job)
        assert chunk.key in fleet.services[owner].chunk_owner.chunks, "the old owner was told"
        await fleet.clock.async_sleep(10_000)
        fleet.world.ledgers[owner].lose(index)
        assert (await fleet.async_check(manifest.job))["done"] == 128

    run(story)


def test_vm_lost_with_assigned_items() -> None:
    """The VM that runs assigned items is lost.

    Their leases must expire and the items run on other VMs, or the job would never finish.
    """

    async def story(fleet: BatchFleet) -> None:
        manifest = (await fleet.async_submit(make_lines(700, tokens=40))).unwrap()
        await fleet.clock.async_sleep(1500)
        victim = fleet.find_steward("e1")
        await fleet.async_kill(victim)
        assert any(
            lease.holder == victim
            for service in fleet.services.values()
            for chunk in service.chunk_owner.chunks.values()
            for lease in chunk.leases.values()
        )
        await fleet.async_wait(manifest.job)
        assert (await fleet.async_check(manifest.job))["done"] == 700

    run(story)


def test_store_down_for_minutes_while_running() -> None:
    """The store goes down while a job runs and comes back minutes later.

    Work goes on with what the VMs own; results wait in memory and are committed afterwards.
    """

    async def story(fleet: BatchFleet) -> None:
        manifest = (await fleet.async_submit(make_lines(300))).unwrap()
        await fleet.clock.async_sleep(700)
        fleet.world.down = fleet.platform.faults.down = True
        await fleet.clock.async_sleep(180_000)
        held = sum(
            len(c.finished) for s in fleet.services.values() for c in s.chunk_owner.chunks.values()
        )
        assert held > 100, "nothing went on through the outage"
        fleet.world.down = fleet.platform.faults.down = False
        await fleet.async_wait(manifest.job, 30)
        assert (await fleet.async_check(manifest.job))["done"] == 300

    run(story)


def test_store_down_at_submit_accepts_nothing() -> None:
    """A job is submitted while the store is down.

    "Not run" must be true: no manifest, nothing runs, and the resend after the outage is taken.
    """

    async def story(fleet: BatchFleet) -> None:
        fleet.world.down = True
        refused = await fleet.async_submit(make_lines(10), key="k")
        assert refused.unwrap_err().problem is BatchProblem.UNAVAILABLE
        await fleet.clock.async_sleep(5000)
        assert not fleet.upstreams.calls
        fleet.world.down = False
        manifest = (await fleet.async_submit(make_lines(10), key="k")).unwrap()
        await fleet.async_wait(manifest.job)
        assert (await fleet.async_check(manifest.job))["done"] == 10

    run(story)


def test_chunks_without_manifest_never_run() -> None:
    """The store goes away between the chunks and the manifest of a job.

    The caller was told "not run"; chunks without a manifest must not run, and are swept.
    """

    async def story(fleet: BatchFleet) -> None:
        fleet.world.refused_prefix = "job/"
        refused = await fleet.async_submit(make_lines(10), key="k")
        assert refused.unwrap_err().problem is BatchProblem.UNAVAILABLE
        await fleet.clock.async_sleep(20_000)
        assert fleet.world.find_all("chunk/") and not fleet.upstreams.calls
        fleet.calendar.seconds += 2 * 3600
        await fleet.clock.async_sleep(20_000)
        assert not fleet.world.find_all("chunk/")

    run(story)


def test_submit_whose_answers_stay_lost_is_not_called_not_run() -> None:
    """The manifest's owner commits it, and no answer of it ever comes back.

    "Not run" would be wrong, as the job runs; the caller is told that the outcome is unknown, and
    a resend with the same key finds the job.
    """

    async def story(fleet: BatchFleet) -> None:
        local = fleet.services["vm0"].directory
        keys = (f"k{number}" for number in range(100))
        key = next(k for k in keys if not local.owns(make_job_key(make_job_id("acme", k))))

        for vm in ("vm1", "vm2"):
            links = fleet.cores[vm].get(PEERS)
            handle = links.handlers[RecordPut]  # type: ignore[attr-defined]
            links.handlers[RecordPut] = partial(_async_lose, fleet, handle)  # type: ignore
        unknown = await fleet.async_submit(make_lines(10), key=key)
        assert unknown.unwrap_err().problem is BatchProblem.OUTCOME_UNKNOWN
        manifest = (await fleet.async_submit(make_lines(10), key=key, vm="vm1")).unwrap()
        assert manifest.job == unknown.unwrap_err().job
        await fleet.async_wait(manifest.job)
        assert (await fleet.async_check(manifest.job))["done"] == 10

    run(story)


async def _async_lose(fleet: BatchFleet, handle: Handler, sender: str, message: RecordPut) -> Any:
    if message.key.startswith("job/"):
        fleet.network.lose_answers += 1
    return await handle(sender, message)


def test_answer_lost_after_effect_on_submit() -> None:
    """The manifest is committed, its partition moves, and the commit's answer is lost.

    The submit asks the new owner, which has the manifest: one job, accepted once.
    """

    async def story(fleet: BatchFleet) -> None:
        lines = make_lines(20)
        first = (await fleet.async_submit(lines, key="probe")).unwrap()
        fleet.world.lose_next = True
        second = (await fleet.async_submit(lines, key="real")).unwrap()
        assert not fleet.world.lose_next
        again = (await fleet.async_submit(lines, key="real", vm="vm1")).unwrap()
        assert again.job == second.job != first.job
        await fleet.async_wait(second.job)
        assert (await fleet.async_check(second.job))["done"] == 20

    run(story)


def test_engine_dies_with_items_in_flight() -> None:
    """An engine restarts and loses all that runs there; every item still ends done."""

    async def story(fleet: BatchFleet) -> None:
        manifest = (await fleet.async_submit(make_lines(200, tokens=40))).unwrap()
        await fleet.clock.async_sleep(1500)
        fleet.engines["e1"].crash()
        await fleet.async_wait(manifest.job)
        assert (await fleet.async_check(manifest.job))["done"] == 200

    run(story)


class SteadyAllowance(AllowanceController):
    """Lets batch run whatever the reports say."""

    limit = bound = 64


@pytest.mark.parametrize("begun", [False, True])
@pytest.mark.parametrize("quiet_s", [20, 120])
def test_slow_engines_lose_no_item(quiet_s: int, begun: bool) -> None:
    """Items are run again, and end as failed, because their engines were slow for a while."""

    async def story(fleet: BatchFleet) -> None:
        fleet.set_pause(paused=not begun)
        manifest = (await fleet.async_submit(make_lines(20, tokens=200))).unwrap()
        await fleet.clock.async_sleep(1500)
        fleet.set_pause(paused=True)
        await fleet.clock.async_sleep(quiet_s * 1000)
        fleet.set_pause(paused=False)
        await fleet.async_wait(manifest.job)
        assert (await fleet.async_check(manifest.job))["done"] == 20
        assert sum(engine.tokens_produced for engine in fleet.engines.values()) == 20 * 200

    def make_allowance() -> SteadyAllowance:
        return SteadyAllowance(LoopClock(), AllowanceParameters())

    run(story, make_allowance=make_allowance, make_upstreams=IdleUpstreams)


@pytest.mark.parametrize(("max_running", "slow"), [(1, False), (1, True), (64, True)])
def test_job_goes_on_where_little_ran_before(max_running: int, slow: bool) -> None:
    """A job must not stall at engines that had run nothing, or one request, when it queued."""

    async def story(fleet: BatchFleet) -> None:
        fleet.set_pause(paused=slow)
        manifest = (await fleet.async_submit(make_lines(20))).unwrap()
        await fleet.clock.async_sleep(20_000)
        fleet.set_pause(paused=False)
        await fleet.async_wait(manifest.job, 60)
        assert (await fleet.async_check(manifest.job))["done"] == 20

    run(story, parameters=EngineParameters(max_running=max_running))


@pytest.mark.parametrize("wait_ms", [0, 400, 900, 1500, 2500])
def test_cancel_racing_completion(wait_ms: int) -> None:
    """A job is cancelled while its items complete.

    Each item ends either done or cancelled, and neither changes into the other afterwards;
    nothing more is sent to the engines.
    """

    async def story(fleet: BatchFleet) -> None:
        manifest = (await fleet.async_submit(make_lines(300, tokens=60))).unwrap()
        await fleet.clock.async_sleep(wait_ms)
        cancelled = (await fleet.services["vm1"].jobs.async_cancel("acme", manifest.job)).unwrap()
        assert cancelled.cancelled
        await fleet.clock.async_sleep(200)
        calls = len(fleet.upstreams.calls)
        assert not any(engine._running for engine in fleet.engines.values())
        await fleet.async_wait(manifest.job, 20)
        counts = await fleet.async_check(manifest.job)
        assert counts["done"] + counts["cancelled"] == 300 and counts["cancelled"] > 0
        assert len(fleet.upstreams.calls) == calls

    run(story)


def test_resent_submit_gives_the_same_job() -> None:
    """A caller sends its job twice at once, and once more later with other content.

    One job; the other content is refused by name and runs nothing.
    """

    async def story(fleet: BatchFleet) -> None:
        lines = make_lines(150)
        outcomes = await asyncio.gather(
            fleet.async_submit(lines, "k", "vm0"), fleet.async_submit(lines, "k", "vm1")
        )
        jobs = {outcome.unwrap().job for outcome in outcomes}
        assert len(jobs) == 1
        other = await fleet.async_submit(make_lines(150, word="other"), key="k")
        assert isinstance(other, Err) and other.err_value.problem is BatchProblem.MISMATCH
        (job,) = jobs
        assert job in other.err_value.message
        await fleet.async_wait(job)
        assert (await fleet.async_check(job))["done"] == 150

    run(story)


@pytest.mark.parametrize("poison", [1, 4])
def test_poison_items_do_not_delay_the_rest(poison: int) -> None:
    """Some items crash each engine that runs them.

    They end quarantined after bounded runs; every other item ends done, the job soon.
    """

    async def story(fleet: BatchFleet) -> None:
        for engine in fleet.engines.values():
            engine.faults.crash_marker = '"poison '
        bad = make_lines(poison, tokens=40, word="poison")
        lines = make_lines(200, tokens=40)
        lines[20:20] = bad
        manifest = (await fleet.async_submit(lines)).unwrap()
        await fleet.async_wait(manifest.job, 240)
        expected = {f"poison {number}|40": "quarantined" for number in range(poison)}
        counts = await fleet.async_check(manifest.job, expected)
        assert (counts["done"], counts["quarantined"]) == (200, poison)
        assert sum(engine.crashes for engine in fleet.engines.values()) <= 3 * poison
        assert len(fleet.sets.items) == poison

    run(story)


def test_item_that_engines_reject_fails_alone() -> None:
    """An item is bad in a way that only the engine sees; it fails, the others finish."""

    async def story(fleet: BatchFleet) -> None:
        lines = make_lines(30)
        lines[7] = b'{"custom_id": "bad|1", "body": {"prompt": "x", "max_tokens": -1}}'
        manifest = (await fleet.async_submit(lines)).unwrap()
        await fleet.async_wait(manifest.job)
        counts = await fleet.async_check(manifest.job, {"bad|1": "failed"})
        assert (counts["done"], counts["failed"]) == (29, 1)

    run(story)


def test_results_delivered_twice() -> None:
    """Replies to delivered results are lost, so dispatchers send the results again."""

    async def story(fleet: BatchFleet) -> None:
        manifest = (await fleet.async_submit(make_lines(300))).unwrap()
        for _ in range(20):
            fleet.network.lose_answers = 1000
            await fleet.clock.async_sleep(200)
        fleet.network.lose_answers = 0
        await fleet.async_wait(manifest.job)
        assert (await fleet.async_check(manifest.job))["done"] == 300
        ids = {call.request_id for _, call in fleet.upstreams.calls}
        assert len(ids) <= 330, "results were dropped and their items run again"

    run(story)


def test_only_its_customer_sees_a_job() -> None:
    async def story(fleet: BatchFleet) -> None:
        manifest = (await fleet.async_submit(make_lines(3))).unwrap()
        jobs = fleet.services["vm1"].jobs
        missing = (await jobs.async_describe("other", manifest.job)).unwrap_err()
        assert missing.problem is BatchProblem.MISSING
        assert isinstance(await jobs.async_cancel("other", manifest.job), Err)
        listed = (await jobs.async_list("acme", "", 10)).unwrap()
        assert [found.job for found in listed] == [manifest.job]
        assert await jobs.async_list("other", "", 10) == Ok(())

    run(story)


def test_bad_line_names_line_and_field_and_accepts_nothing() -> None:
    async def story(fleet: BatchFleet) -> None:
        lines = make_lines(200)
        lines[150] = b'{"custom_id": "x", "body": {"max_tokens": 3}}'
        refused = (await fleet.async_submit(lines, key="k")).unwrap_err()
        assert refused.problem is BatchProblem.BAD_LINE
        assert refused.message.startswith("line 151: body.prompt:")
        assert not fleet.world.find_all(make_job_key(""))

    run(story)


def test_items_no_upstream_takes_end_as_failed() -> None:
    """Every engine refuses for as long as a job is kept.

    Its items must not stay undone for good: they end as failed, and their records can be swept.
    """

    async def story(fleet: BatchFleet) -> None:
        for engine in fleet.engines.values():
            engine.faults.refuse = True
        manifest = (await fleet.async_submit(make_lines(10))).unwrap()
        await fleet.clock.async_sleep(20_000)
        assert [record.undone for record in fleet.list_records(manifest.job)] == [10]
        fleet.calendar.seconds += 7 * 24 * 3600 + 3601
        await fleet.async_wait(manifest.job, 6)
        assert set(fleet.list_records(manifest.job)[0].states) == {"f"}

    run(story)


def test_unknown_model_is_refused_with_its_line() -> None:
    async def story(fleet: BatchFleet) -> None:
        line = b'{"custom_id": "x", "body": {"model": "huge", "prompt": "p"}}'
        refused = (await fleet.async_submit([*make_lines(3), line])).unwrap_err()
        assert refused.message.startswith("line 4: body.model:")

    run(story)


def test_results_are_swept_after_retention() -> None:
    async def story(fleet: BatchFleet) -> None:
        manifest = (await fleet.async_submit(make_lines(10))).unwrap()
        await fleet.async_wait(manifest.job)
        await fleet.async_check(manifest.job)
        fleet.calendar.seconds += 8 * 24 * 3600
        await fleet.clock.async_sleep(30_000)
        assert not fleet.list_records(manifest.job)
        assert not fleet.platform.objects
        fleet.calendar.seconds += 24 * 3600
        await fleet.clock.async_sleep(70_000)
        assert not any(fleet.world.records)

    run(story)
