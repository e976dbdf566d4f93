"""Thrift compact encoding of head rows and change lists."""

import asyncio
from collections.abc import Iterable
from itertools import islice
from typing import Any

from goldcreststair.components.ledger.const import CHUNK_RECORDS
from goldcreststair.components.ledger.models import Head, StoredHead
from goldcreststair.components.ledger.protocols import Change
from goldcreststair.store.models import Row
from goldcreststair.wire.codec import encode_struct, read_struct, read_structs
from goldcreststair.wire.generated.ledger.ttypes import ChangeList, HeadRow, RecordChange


async def async_encode_changes(changes: Iterable[Change]) -> bytes:
    """Return the content of a segment or snapshot object: concatenated change lists."""
    # Encoding 50,000 records at once would block the event loop, and with it every online stream,
    # for about 300 ms.
    rest = iter(changes)
    chunks: list[bytes] = []
    while chunk := list(islice(rest, CHUNK_RECORDS)):
        chunks.append(encode_struct(ChangeList(_to_wire(chunk))))
        await asyncio.sleep(0)
    return b"".join(chunks)


async def async_decode_changes(content: bytes) -> list[Change]:
    """Return the changes in a segment or snapshot object."""
    changes: list[Change] = []
    for struct in read_structs(ChangeList, content):
        changes += _from_wire(struct.changes)
        await asyncio.sleep(0)
    return changes


def encode_head(head: Head) -> bytes:
    """Return the value of a head row."""
    return encode_struct(
        HeadRow(
            head.owner,
            head.epoch,
            head.sequence,
            head.commit_id,
            _to_wire(head.tail),
            list(head.segments),
            head.snapshot,
            head.claim_sequence,
            list(head.garbage),
        )
    )


def decode_head(row: Row | None) -> StoredHead:
    """Return the head of a row; a head with epoch 0 and no owner if there is no row."""
    if row is None:
        return StoredHead(Head(), 0)
    raw = read_struct(HeadRow, row.value)
    head = Head(
        raw.owner,
        raw.epoch,
        raw.sequence,
        raw.commit_id,
        _from_wire(raw.tail),
        tuple(raw.segments),
        raw.snapshot,
        raw.claim_sequence,
        tuple(raw.garbage),
    )
    return StoredHead(head, row.version)


def _to_wire(changes: Iterable[Change]) -> list[RecordChange]:
    return [RecordChange(change.key, change.value) for change in changes]


def _from_wire(changes: Iterable[Any]) -> tuple[Change, ...]:
    return tuple(Change(change.key, change.value) for change in changes)
