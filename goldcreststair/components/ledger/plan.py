"""What one commit writes: the head row alone, or a segment or snapshot object first."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace

from goldcreststair.components.ledger.codec import encode_changes
from goldcreststair.components.ledger.const import (
    MAX_SEGMENTS,
    MAX_TAIL_BYTES,
    MIN_COMPACT_BYTES,
    OBJECT_PREFIX,
)
from goldcreststair.components.ledger.models import Head
from goldcreststair.components.ledger.protocols import Change

CHANGE_OVERHEAD_BYTES = 8


@dataclass(frozen=True, slots=True)
class Sizes:
    """Bytes of a partition's parts, about."""

    tail: int = 0
    segments: int = 0
    snapshot: int = 0


@dataclass(frozen=True, slots=True)
class Plan:
    """One commit."""

    head: Head
    sizes: Sizes
    object_name: str = ""
    """An object to store before the head; empty for none."""
    content: bytes = b""


def weigh(change: Change) -> int:
    """Return about how many bytes a change takes."""
    return len(change.key) + len(change.value or b"") + CHANGE_OVERHEAD_BYTES


def plan_commit(
    index: int,
    head: Head,
    sizes: Sizes,
    group: Sequence[Change],
    commit_id: str,
    export: Callable[[], Iterable[Change]] | None,
) -> Plan:
    """Return the cheapest commit of a group; `export` gives all records, if they may be compacted.

    The tail is moved into the object together with the group, so that the order snapshot,
    segments, tail always holds.
    """
    added = sum(map(weigh, group))
    following = replace(head, sequence=head.sequence + 1, commit_id=commit_id)
    if sizes.tail + added <= MAX_TAIL_BYTES:
        tail = head.tail + tuple(group)
        return Plan(replace(following, tail=tail), replace(sizes, tail=sizes.tail + added))
    name = f"{OBJECT_PREFIX}{index}/{head.epoch}-{following.sequence}-{commit_id}"
    spilled = sizes.segments + sizes.tail + added
    due = spilled > max(MIN_COMPACT_BYTES, sizes.snapshot) or len(head.segments) >= MAX_SEGMENTS
    if due and export is not None:
        content = encode_changes(export())
        old = (*head.garbage, *head.segments, *((head.snapshot,) if head.snapshot else ()))
        fresh = replace(following, tail=(), segments=(), snapshot=name, garbage=old)
        return Plan(fresh, Sizes(snapshot=len(content)), name, content)
    content = encode_changes((*head.tail, *group))
    segments = (*head.segments, name)
    moved = Sizes(0, sizes.segments + len(content), sizes.snapshot)
    return Plan(replace(following, tail=(), segments=segments), moved, name, content)
