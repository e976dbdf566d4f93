"""Loads the records of a claimed partition."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from result import Err, Ok, Result

from goldcreststair.components.ledger.codec import async_decode_changes
from goldcreststair.components.ledger.models import Head, StoredHead
from goldcreststair.components.ledger.plan import Sizes, weigh
from goldcreststair.components.ledger.protocols import Change
from goldcreststair.components.ledger.records import replay
from goldcreststair.store.errors import ObjectMissing, PlatformError
from goldcreststair.store.protocols import ObjectStore


@dataclass(frozen=True, slots=True)
class Loaded:
    """A partition's records."""

    stored: StoredHead
    values: dict[str, bytes]
    sizes: Sizes


async def async_load(
    objects: ObjectStore, stored: StoredHead
) -> Result[Loaded, PlatformError | ObjectMissing]:
    """Return the records that a head row stands for."""
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
    return Ok(Loaded(stored, values, _measure(head, lengths)))


def _measure(head: Head, lengths: list[int]) -> Sizes:
    snapshot = lengths[0] if head.snapshot else 0
    return Sizes(sum(map(weigh, head.tail)), sum(lengths) - snapshot, snapshot)
