"""Plans the writes of a commit: the head row alone, or a segment or snapshot object first."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace

from goldcreststair.components.ledger.const import (
    MAX_ORPHANS,
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
    """Approximate sizes of a partition's parts, in bytes."""

    tail: int = 0
    segments: int = 0
    snapshot: int = 0


@dataclass(frozen=True, slots=True)
class Plan:
    """The writes of one commit."""

    head: Head
    sizes: Sizes
    object_name: str = ""
    """Name of the object to store before the head row; empty if there is none."""
    changes: Iterable[Change] = ()
    """The content of the object."""

    def with_object_bytes(self, length: int) -> "Plan":
        """Return the plan with `length` bytes of its object added to the sizes."""
        if self.head.snapshot == self.object_name:
            return replace(self, sizes=Sizes(snapshot=length))
        segments = self.sizes.segments + length
        return replace(self, sizes=replace(self.sizes, segments=segments))


def name_object(index: int, epoch: int, sequence: int, attempt: int) -> str:
    """Return the name of the object that one attempt at a commit stores.

    It is derived from the previous head row, so that the next owner can compute the names of
    objects that a killed owner left behind.
    """
    return f"{OBJECT_PREFIX}{index}/{epoch}-{sequence}-{attempt}"


def list_orphans(index: int, head: Head) -> tuple[str, ...]:
    """Return the names of objects that an owner killed before its next head write may have left."""
    return tuple(
        name_object(index, head.epoch, head.sequence + 1, attempt) for attempt in range(MAX_ORPHANS)
    )


def estimate_bytes(change: Change) -> int:
    """Return the approximate size of a change in bytes."""
    return len(change.key) + len(change.value or b"") + CHANGE_OVERHEAD_BYTES


def plan_commit(
    index: int,
    head: Head,
    sizes: Sizes,
    group: Sequence[Change],
    commit_id: str,
    export: Callable[[], Iterable[Change]] | None,
    attempt: int = 0,
) -> Plan:
    """Return the cheapest plan that commits a group of changes.

    `export` returns all records; None if they must not be compacted now. If an object is written,
    the tail is moved into it together with the group, so that the records still result from
    applying snapshot, segments and tail in this order.
    """
    added = sum(map(estimate_bytes, group))
    following = replace(head, sequence=head.sequence + 1, commit_id=commit_id)
    if sizes.tail + added <= MAX_TAIL_BYTES:
        tail = head.tail + tuple(group)
        return Plan(replace(following, tail=tail), replace(sizes, tail=sizes.tail + added))
    name = name_object(index, head.epoch, following.sequence, attempt)
    spilled = sizes.segments + sizes.tail + added
    due = spilled > max(MIN_COMPACT_BYTES, sizes.snapshot) or len(head.segments) >= MAX_SEGMENTS
    if due and export is not None:
        old = (*head.garbage, *head.segments, *((head.snapshot,) if head.snapshot else ()))
        fresh = replace(following, tail=(), segments=(), snapshot=name, garbage=old)
        return Plan(fresh, Sizes(), name, export())
    segments = (*head.segments, name)
    moved = replace(sizes, tail=0)
    spill = (*head.tail, *group)
    return Plan(replace(following, tail=(), segments=segments), moved, name, spill)
