"""Batch jobs during failures; most tests end with `BatchFleet.async_check`."""

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
from goldcreststair.components.configuration.controller import CONFIGURATION_FOLLOWER
from goldcreststair.components.peers.protocols import PEERS, Handler
from goldcreststair.wire.generated.batch.ttypes import RecordPut
from standins.engine.models import EngineParameters
from tests.helpers.batch_fleet import BatchFleet, make_lines
from tests.helpers.cores import make_configuration
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


def test_job_runs_to_completion() -> None:
    async def story(fleet: BatchFleet) -> None:
        manifest = (await fleet.async_submit(make_lines(300))).unwrap()
        assert (manifest.items, manifest.chunks) == (300, 3)
        await fleet.async_wait(manifest.job)
        assert (await fleet.async_check(manifest.job))["done"] == 300

    run(story)


def test_owner_lost_right_after_acknowledgement() -> None:
    """A job is lost although its submit was acknowledged.

    A VM that owns chunks of the job is lost right after the reply. Manifest and chunks are
    committed before the reply, so the next owners of the partitions find and run them.
    """

    async def story(fleet: BatchFleet) -> None:
        manifest = (await fleet.async_submit(make_lines(300))).unwrap()
        await fleet.async_kill(next(vm for vm, s in fleet.services.items() if s.chunk_owner.chunks))
        await fleet.async_wait(manifest.job)
        assert (await fleet.async_check(manifest.job))["done"] == 300

    run(story)


@pytest.mark.parametrize("lost", [0, 1, 2])
@pytest.mark.parametrize(
    "removed", [{}, {"other": {"rate_per_s": 1, "burst": 1}}], ids=["all", "one"]
)
@pytest.mark.parametrize("loses_first", [False, True])
def test_job_of_a_removed_customer_is_finished(
    lost: int, removed: dict[str, Any], loses_first: bool
) -> None:
    """Items stay undone once their customer is removed from the configuration and VMs are lost."""

    async def story(fleet: BatchFleet) -> None:
        manifest = (await fleet.async_submit(make_lines(300, tokens=60))).unwrap()
        for loses in (loses_first, not loses_first):
            await fleet.clock.async_sleep(500)
            if loses:
                for vm in sorted(fleet.services)[:lost]:
                    await fleet.async_kill(vm)
            else:
                configuration = make_configuration(2, customers=removed, keys={})
                for core in fleet.cores.values():
                    core.get(CONFIGURATION_FOLLOWER).apply(configuration)
        await fleet.async_wait(manifest.job)
        assert (await fleet.async_check(manifest.job))["done"] == 300

    run(story)


def test_paused_chunk_owner_resumes() -> None:
    """A former chunk owner overwrites item states that the new owner committed.

    The owner is paused, and the chunk's partition moves to another VM, which finishes the chunk.
    When the former owner resumes, it commits its own results. Fencing must reject that commit.
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
    """A job never finishes because the VM that runs its assigned items is lost.

    The leases on the items must expire, and other VMs must run the items.
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
    """A job stalls or loses results because the store is down for minutes while it runs.

    VMs must continue with the chunks that they own, keep results in memory and commit them when
    the store is available again.
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
    """A job that was refused as not run because the store was down runs nevertheless.

    No item may run during the outage, and a resend after it must be accepted.
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
    """Items of a refused job run because its chunks were committed.

    The store fails between the chunks and the manifest, so the caller gets "not run". Chunks
    without a manifest must not run and must be swept.
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


def test_submit_without_replies_has_unknown_outcome() -> None:
    """A submit is refused as not run although its job runs.

    The manifest's owner commits the manifest, but all its replies are lost. The caller must get
    an unknown outcome, and a resend with the same key must find the job.
    """

    async def story(fleet: BatchFleet) -> None:
        local = fleet.services["vm0"].directory
        keys = (f"k{number}" for number in range(100))
        key = next(k for k in keys if not local.owns(make_job_key(make_job_id("acme", k))))

        for vm in ("vm1", "vm2"):
            links = fleet.cores[vm].get(PEERS)
            handle = links.handlers[RecordPut]  # type: ignore[attr-defined]
            links.handlers[RecordPut] = partial(_async_lose_reply, fleet, handle)  # type: ignore
        unknown = await fleet.async_submit(make_lines(10), key=key)
        assert unknown.unwrap_err().problem is BatchProblem.OUTCOME_UNKNOWN
        manifest = (await fleet.async_submit(make_lines(10), key=key, vm="vm1")).unwrap()
        assert manifest.job == unknown.unwrap_err().job
        await fleet.async_wait(manifest.job)
        assert (await fleet.async_check(manifest.job))["done"] == 10

    run(story)


async def _async_lose_reply(
    fleet: BatchFleet, handle: Handler, sender: str, message: RecordPut
) -> Any:
    if message.key.startswith("job/"):
        fleet.network.lose_answers += 1
    return await handle(sender, message)


def test_reply_lost_after_manifest_commit() -> None:
    """A job is accepted twice because the reply to its manifest's commit is lost.

    The manifest is committed and its partition moves. The submit must ask the new owner, which
    has the manifest, and return that one job.
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
    """Items that run on an engine are lost when it crashes and restarts."""

    async def story(fleet: BatchFleet) -> None:
        manifest = (await fleet.async_submit(make_lines(200, tokens=40))).unwrap()
        await fleet.clock.async_sleep(1500)
        fleet.engines["e1"].crash()
        await fleet.async_wait(manifest.job)
        assert (await fleet.async_check(manifest.job))["done"] == 200

    run(story)


class SteadyAllowance(AllowanceController):
    """Allows a fixed number of batch items, whatever the load reports say."""

    limit = bound = 64


@pytest.mark.parametrize("begun", [False, True])
@pytest.mark.parametrize("quiet_s", [20, 120])
def test_slow_engines_lose_no_item(quiet_s: int, begun: bool) -> None:
    """Items are run again or end as failed because their engines were slow for a while."""

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
def test_job_continues_on_engines_without_throughput_history(max_running: int, slow: bool) -> None:
    """A job stalls because its engines had run at most one request when its items queued."""

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
    """Items change between done and cancelled, or still run, after their job is cancelled.

    The job is cancelled while its items complete. Each item must end as done or cancelled and
    stay so, and nothing more may be sent to the engines.
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


def test_resent_submit_returns_the_same_job() -> None:
    """A resent submit creates a second job, or replaces the content of the first.

    A caller sends its job twice at once and later other content with the same key. The other
    content must be refused with the job's id in the message, and must not run.
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


@pytest.mark.parametrize("after_tokens", [0, 1, 60, 150])
@pytest.mark.parametrize("poison", [1, 4])
def test_poison_items_do_not_delay_the_rest(poison: int, after_tokens: int) -> None:
    """Items that crash each engine that runs them delay or fail the rest of their job.

    They must be quarantined after at most 3 crashes each, and all other items must end as done.
    """

    async def story(fleet: BatchFleet) -> None:
        for engine in fleet.engines.values():
            engine.faults.crash_marker = '"poison '
            engine.faults.crash_after_tokens = after_tokens
        bad = make_lines(poison, tokens=400, word="poison")
        lines = make_lines(200, tokens=40)
        lines[20:20] = bad
        manifest = (await fleet.async_submit(lines)).unwrap()
        await fleet.async_wait(manifest.job, 240)
        expected = {f"poison {number}|400": "quarantined" for number in range(poison)}
        counts = await fleet.async_check(manifest.job, expected)
        assert (counts["done"], counts["quarantined"]) == (200, poison)
        assert sum(engine.crashes for engine in fleet.engines.values()) <= 3 * poison
        assert len(fleet.sets.items) == poison

    run(story)


@pytest.mark.parametrize("failing", [("e1",), ("e1", "e2")], ids="-".join)
@pytest.mark.parametrize("status", [408, 429, 503, 500, 502])
def test_items_survive_engines_that_fail_requests_for_a_while(
    status: int, failing: tuple[str, ...]
) -> None:
    """Sound items ended as failed or quarantined, as an engine that answers was taken for one that crashed."""

    async def story(fleet: BatchFleet) -> None:
        for name in failing:
            fleet.engines[name].faults.fail_status = status
        manifest = (await fleet.async_submit(make_lines(100, tokens=40))).unwrap()
        await fleet.clock.async_sleep(8_000)
        for name in failing:
            fleet.engines[name].faults.fail_status = 0
        await fleet.async_wait(manifest.job)
        counts = await fleet.async_check(manifest.job)
        assert counts["quarantined"] == 0
        if status not in (500, 502):
            assert counts["done"] == 100

    run(story)


def test_item_rejected_by_engines_fails_alone() -> None:
    """An item that only the engine can recognise as invalid makes other items fail."""

    async def story(fleet: BatchFleet) -> None:
        lines = make_lines(30)
        lines[7] = b'{"custom_id": "bad|1", "body": {"prompt": "x", "max_tokens": -1}}'
        manifest = (await fleet.async_submit(lines)).unwrap()
        await fleet.async_wait(manifest.job)
        counts = await fleet.async_check(manifest.job, {"bad|1": "failed"})
        assert (counts["done"], counts["failed"]) == (29, 1)

    run(story)


def test_results_delivered_twice() -> None:
    """Items run again because replies to delivered results are lost and results are resent."""

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


def test_job_is_visible_only_to_its_customer() -> None:
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


def test_items_refused_by_all_upstreams_end_as_failed() -> None:
    """Items stay undone forever because every engine refuses them.

    At the end of the job's retention they must end as failed, so that their records can be swept.
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
