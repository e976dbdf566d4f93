"""Counts a job's items by state, with one message per owner."""

from collections import Counter, defaultdict

from result import Err, Ok, Result

from goldcreststair.components.batch.directory import Directory
from goldcreststair.components.batch.errors import BatchError, BatchProblem
from goldcreststair.components.batch.fan_out import async_map
from goldcreststair.components.batch.models import STATE_NAMES, ChunkRecord, ItemState, Manifest
from goldcreststair.components.batch.records import decode_chunk, make_chunk_key
from goldcreststair.wire.generated.batch.ttypes import (
    ChunksCount,
    ChunksGet,
    RecordGet,
    ReplyStatus,
)


async def async_read_chunk(directory: Directory, key: str) -> Result[ChunkRecord, BatchError]:
    """Return one chunk's record from its owner."""
    reply = await directory.async_ask(key, RecordGet(key, key))
    if reply.status == ReplyStatus.OK:
        return Ok(decode_chunk(reply.value))
    if reply.status == ReplyStatus.MISSING:
        return Err(BatchError("the job's results were swept", BatchProblem.MISSING))
    return Err(BatchError("a chunk's owner cannot be reached"))


async def async_count_items(
    directory: Directory, manifest: Manifest
) -> Result[dict[str, int], BatchError]:
    """Return a job's items by the name of their state."""
    groups = _group(directory, manifest)

    async def async_ask(owner: str) -> ChunksCount:
        message = ChunksGet(manifest.job, manifest.fingerprint, groups[owner])
        answer = await directory.async_send(owner, message) if owner else Err(None)
        if isinstance(answer, Err):
            return ChunksCount("", [], groups[owner])
        counted: ChunksCount = answer.ok_value
        return counted

    counts: Counter[str] = Counter()
    left: list[str] = []
    for answer in await async_map(async_ask, groups):
        counts.update(dict(zip(answer.letters, answer.counts, strict=True)))
        left += [_make_key(manifest, number) for number in answer.left]
    # Owners may change meanwhile; chunks that moved are read one by one from their new owners.
    for chunk in await async_map(lambda key: async_read_chunk(directory, key), left):
        if isinstance(chunk, Err):
            return chunk
        counts.update(chunk.ok_value.states)
    return Ok({STATE_NAMES[state]: counts[state] for state in ItemState})


def _group(directory: Directory, manifest: Manifest) -> dict[str, list[int]]:
    groups: defaultdict[str, list[int]] = defaultdict(list)
    for number in range(manifest.chunks):
        groups[directory.find_holder(_make_key(manifest, number))].append(number)
    return groups


def _make_key(manifest: Manifest, number: int) -> str:
    return make_chunk_key(manifest.job, manifest.fingerprint, number)
