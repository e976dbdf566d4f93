"""State of one chunk at its owner: leases, tries, finished items and commits; no I/O."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace

from goldcreststair.clock import Millis
from goldcreststair.components.batch.const import (
    LEASE_MS,
    MAX_CRASHES_ALONE,
    MAX_CRASHES_BESIDE,
    MAX_TRIES,
)
from goldcreststair.components.batch.models import (
    STATE_NAMES,
    ChunkRecord,
    Item,
    ItemState,
    ItemTries,
    ResultLine,
)
from goldcreststair.components.ledger.protocols import Partition
from goldcreststair.wire.generated.batch.ttypes import ItemResult, Verdict


@dataclass(slots=True)
class Lease:
    """An item assigned to the VM `holder`, whose dispatcher runs it."""

    holder: str
    expires_at: Millis


@dataclass(frozen=True, slots=True)
class Finished:
    """A terminal state of an item that is not committed yet."""

    state: ItemState
    status: int
    body: bytes


@dataclass(slots=True)
class Chunk:
    """A chunk in memory of its partition's owner."""

    key: str
    partition: Partition
    record: ChunkRecord
    active: bool = False
    """Whether the manifest is known to be committed and the job is not cancelled."""
    cancelled: bool = False
    items: list[Item] | None = None
    leases: dict[int, Lease] = field(default_factory=dict)
    tries: dict[int, ItemTries] = field(default_factory=dict)
    tried_at: Millis | None = None
    """Time of the first change of `tries` since their last commit."""
    finished: dict[int, Finished] = field(default_factory=dict)
    finished_at: Millis | None = None
    """Time of the oldest uncommitted result."""
    committing: bool = False
    touched_s: int = 0
    """Calendar time at which a submit last committed the chunk here."""

    def __post_init__(self) -> None:
        """Load the tries that earlier owners committed."""
        # If each owner started from zero, a poison item could crash more engines at each takeover.
        self.tries = {tries.index: tries for tries in self.record.tries}

    def is_open(self, index: int) -> bool:
        """Return whether an item has no terminal state, committed or not."""
        in_range = 0 <= index < len(self.record.states)
        undone = in_range and self.record.states[index] == ItemState.UNDONE
        return undone and index not in self.finished

    def list_ready(self, model: str, *, suspects: bool) -> list[int]:
        """Return the items of a model that may be assigned, either suspects or the others."""
        if not self.active or self.items is None:
            return []
        return [
            index
            for index, item in enumerate(self.items)
            if item.model == model
            and index not in self.leases
            and self.is_open(index)
            and self._is_suspect(index) == suspects
        ]

    def lease(self, indexes: Iterable[int], holder: str, now: Millis) -> None:
        """Lease items to a holder."""
        for index in indexes:
            self.leases[index] = Lease(holder, Millis(now + LEASE_MS))

    def renew(self, indexes: Iterable[int], holder: str, now: Millis) -> None:
        """Extend the leases that a holder has on these items."""
        for index in indexes:
            lease = self.leases.get(index)
            if lease is not None and lease.holder == holder:
                lease.expires_at = Millis(now + LEASE_MS)

    def expire_leases(self, now: Millis) -> int:
        """Remove expired leases; returns how many."""
        expired = [index for index, lease in self.leases.items() if lease.expires_at <= now]
        for index in expired:
            del self.leases[index]
        return len(expired)

    def accept(self, holder: str, result: ItemResult, now: Millis) -> None:
        """Accept one result; the first answer of an open item counts, whoever ran it."""
        index = result.index
        # A result may come twice, or from a holder whose lease expired. The item is no longer open
        # after the first answer, so a second one cannot change its state.
        if self.cancelled or not self.is_open(index):
            return
        lease = self.leases.get(index)
        is_holder = lease is not None and lease.holder == holder
        if result.verdict == Verdict.DONE:
            self._finish(index, ItemState.DONE, result, now)
        elif is_holder:
            del self.leases[index]
            self._apply_failure(index, result, now)

    def cancel(self) -> list[str]:
        """End open items as cancelled; returns the holders to notify."""
        return self._end_open(ItemState.CANCELLED)

    def end_overdue(self) -> list[str]:
        """End open items as failed after the job's retention; returns the holders to notify."""
        return self._end_open(ItemState.FAILED)

    def _end_open(self, end: ItemState) -> list[str]:
        holders = sorted({lease.holder for lease in self.leases.values()})
        self.cancelled, self.active = True, False
        self.leases.clear()
        for index, state in enumerate(self.record.states):
            if state == ItemState.UNDONE and index not in self.finished:
                self.finished[index] = Finished(end, 0, b"")
        return holders

    def make_lines(self, indexes: Sequence[int]) -> list[ResultLine]:
        """Return result lines of finished items; items ended without a response have none."""
        return [
            self._make_line(index, self.finished[index])
            for index in indexes
            if self.finished[index].body or self.finished[index].status
        ]

    def make_record(self, indexes: Sequence[int], result_object: str) -> ChunkRecord:
        """Return the record with the states of these finished items."""
        states = list(self.record.states)
        for index in indexes:
            states[index] = self.finished[index].state
        results = self.record.results + ((result_object,) if result_object else ())
        tries = tuple(tries for index, tries in sorted(self.tries.items()) if states[index] == ".")
        return replace(self.record, states="".join(states), results=results, tries=tries)

    def drop_committed(self, indexes: Sequence[int], record: ChunkRecord) -> None:
        """Drop finished items that are now committed in `record`."""
        self.record = record
        for index in indexes:
            del self.finished[index]
            self.tries.pop(index, None)
        self.finished_at = None
        if record.tries == tuple(tries for _, tries in sorted(self.tries.items())):
            self.tried_at = None
        if not record.undone:
            self.items = None
            self.tries.clear()

    def _make_line(self, index: int, finished: Finished) -> ResultLine:
        custom_id = self.items[index].custom_id if self.items else ""
        name = STATE_NAMES[finished.state]
        body = finished.body.decode(errors="replace")
        return ResultLine(index, custom_id, name, finished.status, body)

    def _is_suspect(self, index: int) -> bool:
        tries = self.tries.get(index)
        return tries is not None and tries.suspect

    def _apply_failure(self, index: int, result: ItemResult, now: Millis) -> None:
        if result.verdict == Verdict.REJECTED:
            self._finish(index, ItemState.FAILED, result, now)
            return
        tries = count_try(self.tries.get(index, ItemTries(index)), result.verdict)
        if tries == self.tries.get(index, ItemTries(index)):
            return
        self.tries[index] = tries
        if self.tried_at is None:
            self.tried_at = now
        if tries.crashes_alone >= MAX_CRASHES_ALONE:
            self._finish(index, ItemState.QUARANTINED, result, now)
        elif tries.crashes_beside >= MAX_CRASHES_BESIDE or tries.runs >= MAX_TRIES:
            self._finish(index, ItemState.FAILED, result, now)

    def _finish(self, index: int, state: ItemState, result: ItemResult, now: Millis) -> None:
        self.leases.pop(index, None)
        self.finished[index] = Finished(state, result.status, result.body)
        if self.finished_at is None:
            self.finished_at = now


def count_try(tries: ItemTries, verdict: int) -> ItemTries:
    """Return an item's tries after one more run that ended without an answer."""
    if verdict == Verdict.CRASHED:
        alone = tries.crashes_alone + tries.suspect
        return replace(tries, suspect=True, crashes_alone=alone)
    if verdict == Verdict.BYSTANDER:
        return replace(tries, crashes_beside=tries.crashes_beside + 1)
    if verdict == Verdict.FAILED:
        return replace(tries, runs=tries.runs + 1)
    return tries
