"""Loads the records of a claimed partition."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from result import Err, Ok, Result

from goldcreststair.components.ledger.codec import async_decode_changes
from goldcreststair.components.ledger.models import Head, StoredHead
from goldcreststair.components.ledger.plan import Sizes, estimate_bytes
from goldcreststair.components.ledger.protocols import Change
from goldcreststair.components.ledger.records import replay
from goldcreststair.store.errors import ObjectMissing, PlatformError
from goldcreststair.store.protocols import ObjectStore


@dataclass(frozen=True, slots=True)
class Loaded:
    """The records of a partition, with the head row that they were loaded from."""

    stored: StoredHead
    values: dict[str, bytes]
    sizes: Sizes


async def async_load(
    objects: ObjectStore, stored: StoredHead
) -> Result[Loaded, PlatformError | ObjectMissing]:
    """Load the records of a partition from the objects and the tail of its head row."""
    head = stored.head
    names = [*([head.snapshot] if head.snapshot else []), *head.segments]
    contents = await asyncio.gather(*(objects.async_get(name) for name in names))
    parts: list[Sequence[Change]] = []
    for content in contents:
        if isinstance(content, Err):
            return content
        parts.append(await async_decode_changes(content.ok_value))
    lengths = [len(content.ok_value) for content in contents if isinstance(content, Ok)]
    values = replay([*parts, head.tail])
    return Ok(Loaded(stored, values, _compute_sizes(head, lengths)))


def _compute_sizes(head: Head, lengths: list[int]) -> Sizes:
    snapshot = lengths[0] if head.snapshot else 0
    return Sizes(sum(map(estimate_bytes, head.tail)), sum(lengths) - snapshot, snapshot)
