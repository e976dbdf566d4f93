"""Jobs, chunks and items."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum


class ItemState(StrEnum):
    """State of an item; one letter each, so that a chunk's states are one short string."""

    UNDONE = "."
    DONE = "d"
    FAILED = "f"
    CANCELLED = "c"
    QUARANTINED = "q"
    OUTCOME_UNKNOWN = "u"


STATE_NAMES: Mapping[ItemState, str] = {state: state.name.lower() for state in ItemState}


@dataclass(frozen=True, slots=True)
class Manifest:
    """Record of a job; the job exists once it is committed."""

    job: str
    customer: str
    fingerprint: str
    """SHA-256 of the content, in hex."""
    items: int
    chunks: int
    created_s: int
    due_s: int
    """Calendar time in seconds, as is `created_s`."""
    cancelled: bool = False


@dataclass(frozen=True, slots=True)
class IndexEntry:
    """One job in its customer's list."""

    job: str
    due_s: int


@dataclass(frozen=True, slots=True)
class ItemTries:
    """Counts of runs of an item that ended without an answer."""

    index: int
    runs: int = 0
    suspect: bool = False
    crashes_alone: int = 0
    crashes_beside: int = 0


@dataclass(frozen=True, slots=True)
class ChunkRecord:
    """A committed chunk: the states of its items and the names of its objects."""

    job: str
    fingerprint: str
    number: int
    customer: str
    items_object: str
    models: tuple[str, ...]
    created_s: int
    due_s: int
    states: str
    """One `ItemState` letter an item."""
    results: tuple[str, ...] = ()
    """Names of result objects."""
    tries: tuple[ItemTries, ...] = ()
    """Tries of undone items whose runs ended without an answer; most chunks have none."""

    @property
    def undone(self) -> int:
        """Items without a terminal state."""
        return self.states.count(ItemState.UNDONE)


@dataclass(frozen=True, slots=True)
class Item:
    """One request of a job."""

    custom_id: str
    path: str
    model: str
    body: str
    """JSON of the engine's request."""


@dataclass(frozen=True, slots=True)
class ResultLine:
    """One item's result as callers read it."""

    index: int
    custom_id: str
    state: str
    status: int
    body: str


@dataclass(frozen=True, slots=True)
class JobProgress:
    """A job and how many of its items are in each state."""

    manifest: Manifest
    counts: Mapping[str, int] = field(default_factory=dict)

    @property
    def state(self) -> str:
        """`running`, `finished`, or `cancelled` once every item is terminal."""
        if self.counts.get("undone", 0):
            return "cancelling" if self.manifest.cancelled else "running"
        return "cancelled" if self.manifest.cancelled else "finished"
