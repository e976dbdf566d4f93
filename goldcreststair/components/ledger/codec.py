"""Thrift compact encoding of head rows and change lists."""

import asyncio
from collections.abc import Iterable
from itertools import islice
from typing import Any

from goldcreststair.components.ledger.const import PIECE_RECORDS
from goldcreststair.components.ledger.models import Head, StoredHead
from goldcreststair.components.ledger.protocols import Change
from goldcreststair.store.models import Row
from goldcreststair.wire.codec import encode_struct, read_struct, read_structs
from goldcreststair.wire.generated.ledger.ttypes import ChangeList, HeadRow, RecordChange


async def async_encode_changes(changes: Iterable[Change]) -> bytes:
    """Return the content of a segment or snapshot object: one list after another."""
    # All at once, 50,000 records stop the loop for some 300 ms, and every online stream with it.
    rest = iter(changes)
    pieces: list[bytes] = []
    while piece := list(islice(rest, PIECE_RECORDS)):
        pieces.append(encode_struct(ChangeList(_to_wire(piece))))
        await asyncio.sleep(0)
    return b"".join(pieces)


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
    """Return what a head row says; epoch 0 without owner if there is none."""
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
