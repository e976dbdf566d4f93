"""What becomes of a job's parts when submits fail, owners change and VMs leave."""

from collections import Counter

from goldcreststair.components.batch.errors import BatchProblem
from goldcreststair.components.membership.protocols import SET_QUARANTINE
from goldcreststair.components.quarantine.protocols import make_fingerprint
from tests.components.batch.test_failures import run
from tests.helpers.batch_fleet import BatchFleet, make_lines


def test_duplicate_custom_id_is_refused_with_its_line() -> None:
    """Two lines of a digest job carry the same id; their results could not be told apart."""

    async def story(fleet: BatchFleet) -> None:
        lines = make_lines(300)
        lines[250] = lines[3]
        refused = (await fleet.async_submit(lines, key="k")).unwrap_err()
        assert refused.problem is BatchProblem.BAD_LINE
        assert refused.message.startswith("line 251: custom_id: already in line 4")

    run(story)


def test_progress_asks_each_owner_once() -> None:
    """The digest job's page is read while the job has a thousand chunks.

    A message a chunk took seconds and crowded the links; one an owner tells the same counts.
    """

    async def story(fleet: BatchFleet) -> None:
        manifest = (await fleet.async_submit(make_lines(128 * 20))).unwrap()
        sent = len(fleet.network.sent)
        progress = (await fleet.services["vm0"].jobs.async_describe("acme", manifest.job)).unwrap()
        assert sum(progress.counts.values()) == 128 * 20
        asked = [m for who, _, m in fleet.network.sent[sent:] if who == "vm0"]
        kinds = Counter(type(message).__name__ for message in asked)
        assert kinds["RecordGet"] <= 1 and kinds["ChunksGet"] == 2

    run(story)


def test_progress_while_a_partition_moves() -> None:
    """A partition changes its owner while a job's page is read; the page is still whole."""

    async def story(fleet: BatchFleet) -> None:
        manifest = (await fleet.async_submit(make_lines(128 * 12))).unwrap()
        world = fleet.world
        known_owners = list(world.owners)
        stale = world.ledgers["vm0"]
        stale.find_owner = lambda index: known_owners[index]  # type: ignore[method-assign]
        for index, owner in enumerate(known_owners):
            if owner == "vm1":
                world.move(index, "vm2")
        asking = fleet.services["vm0"].jobs.async_describe("acme", manifest.job)
        progress = (await asking).unwrap()
        assert sum(progress.counts.values()) == 128 * 12

    run(story)


def test_leaving_vm_returns_its_items_at_once() -> None:
    """A VM is drained for the provider's maintenance while it runs long items.

    Items kept until their leases expired would stall for 10 seconds after the VM left.
    """

    async def story(fleet: BatchFleet) -> None:
        manifest = (await fleet.async_submit(make_lines(300, tokens=400))).unwrap()
        await fleet.clock.async_sleep(2000)
        leaving = fleet.find_steward("e1")
        core = fleet.cores[leaving]
        assert core.drainables
        for drainable in core.drainables:
            await drainable.async_drain(fleet.clock.now() + 1000)
        held = [
            lease
            for service in fleet.services.values()
            for chunk in service.chunk_owner.chunks.values()
            for lease in chunk.leases.values()
            if lease.holder == leaving
        ]
        assert not held
        assert not fleet.services[leaving].dispatchers.by_name
        await fleet.async_kill(leaving)
        await fleet.async_wait(manifest.job)
        assert (await fleet.async_check(manifest.job))["done"] == 300

    run(story)


def test_suspicion_outlives_the_owner_of_its_chunk() -> None:
    """A poison item crashed an engine once; then its chunk's owner is lost.

    If the next owner started from zero, the item would crash more engines at each takeover.
    """

    async def story(fleet: BatchFleet) -> None:
        for engine in fleet.engines.values():
            engine.faults.crash_marker = '"poison '
        lines = make_lines(20, tokens=400)
        lines[5:5] = make_lines(1, tokens=40, word="poison")
        manifest = (await fleet.async_submit(lines)).unwrap()
        services = fleet.services.values()
        while not any(
            t.suspect
            for s in services
            for c in s.chunk_owner.chunks.values()
            for t in c.tries.values()
        ):
            await fleet.clock.async_sleep(50)
        await fleet.clock.async_sleep(200)
        owner = next(vm for vm, s in fleet.services.items() if s.chunk_owner.chunks)
        await fleet.async_kill(owner)
        chunk = next(c for s in fleet.services.values() for c in s.chunk_owner.chunks.values())
        assert chunk.tries[5].suspect
        await fleet.async_wait(manifest.job)
        counts = await fleet.async_check(manifest.job, {"poison 0|40": "quarantined"})
        assert (counts["done"], counts["quarantined"]) == (20, 1)

    run(story)


def test_objects_of_a_job_never_accepted_are_deleted() -> None:
    """A submit fails before its manifest; its items would stay in the store for good.

    A resend that came in between uses objects of its own, so nothing of it is deleted.
    """

    async def story(fleet: BatchFleet) -> None:
        fleet.world.refused_prefix = "job/"
        await fleet.async_submit(make_lines(300), key="k")
        assert len(fleet.platform.objects) == 3
        fleet.world.refused_prefix = "none"
        other = (await fleet.async_submit(make_lines(10), key="k")).unwrap()
        fleet.calendar.seconds += 2 * 3600
        await fleet.clock.async_sleep(20_000)
        assert len([name for name in fleet.platform.objects if "/items/" in name]) == 1
        assert (await fleet.async_check(other.job))["done"] == 10

    run(story)


def test_resend_keeps_the_chunks_of_a_failed_submit_from_the_sweep() -> None:
    """A submit fails; an hour later its resend finds the chunks there, and the sweep comes.

    Swept between the resend's chunks and its manifest, an accepted job would lack items.
    """

    async def story(fleet: BatchFleet) -> None:
        fleet.world.refused_prefix = "job/"
        await fleet.async_submit(make_lines(10), key="k")
        fleet.calendar.seconds += 3550
        await fleet.async_submit(make_lines(10), key="k")
        fleet.calendar.seconds += 100
        await fleet.clock.async_sleep(20_000)
        assert fleet.world.find_all("chunk/")
        fleet.world.refused_prefix = "none"
        manifest = (await fleet.async_submit(make_lines(10), key="k")).unwrap()
        await fleet.async_wait(manifest.job)
        assert (await fleet.async_check(manifest.job))["done"] == 10

    run(story)


def test_item_quarantined_in_batch_is_refused_online() -> None:
    """A poison prompt of a job is quarantined; a member then sends the same prompt online.

    Known under another fingerprint there, it would crash engines all over again.
    """

    async def story(fleet: BatchFleet) -> None:
        for engine in fleet.engines.values():
            engine.faults.crash_marker = '"poison '
        manifest = (await fleet.async_submit(make_lines(1, tokens=40, word="poison"))).unwrap()
        await fleet.async_wait(manifest.job)
        body = b'{"model": "small",  "max_tokens": 40, "prompt": "poison 0"}'
        names = {item for name, item in fleet.sets.items if name == SET_QUARANTINE}
        assert names == {make_fingerprint("acme", body)}
        assert make_fingerprint("other", body) not in names

    run(story)
