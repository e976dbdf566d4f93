"""Objects of the ledger: those that a killed owner leaves behind, and their encoding."""

import asyncio
from typing import Any

from goldcreststair.components.ledger.codec import async_decode_changes, async_encode_changes
from goldcreststair.components.ledger.const import CHUNK_RECORDS, GARBAGE_GRACE_MS
from goldcreststair.components.ledger.protocols import Change
from tests.helpers.virtual_time import run_virtual
from tests.helpers.vms import Fleet

LARGE = b"x" * 40_000


def test_objects_of_killed_owner_are_deleted() -> None:
    """An owner stores a segment and is killed before it writes the head row that names it.

    Guards against an object store that grows with every killed VM by objects that no row names and
    that cannot be told from those in use.
    """

    async def async_test() -> None:
        fleet = Fleet(8)
        await fleet.async_add("a", "b")
        index = next(i for i in range(8) if fleet.vms["a"].ledger.get_owned(i))
        partition = fleet.vms["a"].get_owned(index)
        assert (await partition.async_commit([Change("kept", LARGE)], 5_000)).is_ok()
        kept = set(fleet.platform.objects)
        fleet.vms["a"].table.paused.clear()
        committing = asyncio.ensure_future(partition.async_commit([Change("k", LARGE)], 5_000))
        await asyncio.sleep(1)
        assert len(fleet.platform.objects) == len(kept) + 1
        fleet.kill("a")
        fleet.forget("a")
        await asyncio.sleep(GARBAGE_GRACE_MS / 1000 + 10)
        assert set(fleet.platform.objects) == kept
        assert fleet.vms["b"].get_owned(index).get("kept") == LARGE
        await committing
        await fleet.async_close()

    run_virtual(async_test())


def test_large_snapshot_does_not_block_the_event_loop() -> None:
    """A large partition is compacted or loaded while online streams run on the same event loop.

    Encoding or decoding all records at once would block every stream of the VM for hundreds of
    milliseconds.
    """

    async def async_test() -> None:
        changes = [Change(f"key{number}", b"value") for number in range(10 * CHUNK_RECORDS)]
        coding = asyncio.ensure_future(async_encode_changes(iter(changes)))
        assert await async_count_loop_turns(coding) >= 10
        decoding = asyncio.ensure_future(async_decode_changes(await coding))
        assert await async_count_loop_turns(decoding) >= 10
        assert await decoding == changes

    run_virtual(async_test())


async def async_count_loop_turns(task: "asyncio.Future[Any]") -> int:
    """Return how often the event loop ran other tasks until a task ended."""
    turns = 0
    while not task.done():
        turns += 1
        await asyncio.sleep(0)
    return turns
