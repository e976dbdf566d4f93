"""One chunk at its owner: what is undone, given out, finished and committed. Decides only."""

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
    """An item given to a dispatcher."""

    holder: str
    expires_at: Millis


@dataclass(frozen=True, slots=True)
class Finished:
    """A terminal state that is not committed yet."""

    state: ItemState
    status: int
    body: bytes


@dataclass(slots=True)
class Chunk:
    """A chunk held by its partition's owner."""

    key: str
    partition: Partition
    record: ChunkRecord
    active: bool = False
    """Whether the manifest is known to be committed, and the job not cancelled."""
    cancelled: bool = False
    items: list[Item] | None = None
    leases: dict[int, Lease] = field(default_factory=dict)
    tries: dict[int, ItemTries] = field(default_factory=dict)
    tried_at: Millis | None = None
    """When tries changed first since they were committed."""
    finished: dict[int, Finished] = field(default_factory=dict)
    finished_at: Millis | None = None
    """When the oldest uncommitted result came."""
    committing: bool = False
    touched_s: int = 0
    """Calendar time at which a submit last committed the chunk here."""

    def __post_init__(self) -> None:
        """Take the tries that earlier owners committed."""
        # Begun anew by each owner, they would let a poison item crash engines at each hand-over.
        self.tries = {tries.index: tries for tries in self.record.tries}

    def is_open(self, index: int) -> bool:
        """Return whether an item has no terminal state, committed or not."""
        in_range = 0 <= index < len(self.record.states)
        undone = in_range and self.record.states[index] == ItemState.UNDONE
        return undone and index not in self.finished

    def list_ready(self, model: str, *, suspects: bool) -> list[int]:
        """Return items of a model that may be given out; suspects or the others."""
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
        """Give items out."""
        for index in indexes:
            self.leases[index] = Lease(holder, Millis(now + LEASE_MS))

    def renew(self, indexes: Iterable[int], holder: str, now: Millis) -> None:
        """Keep the leases of a holder that lives."""
        for index in indexes:
            lease = self.leases.get(index)
            if lease is not None and lease.holder == holder:
                lease.expires_at = Millis(now + LEASE_MS)

    def lapse(self, now: Millis) -> int:
        """Take items back whose holder is silent; returns how many."""
        late = [index for index, lease in self.leases.items() if lease.expires_at <= now]
        for index in late:
            del self.leases[index]
        return len(late)

    def accept(self, holder: str, result: ItemResult, now: Millis) -> None:
        """Take one result; whoever ran it, the first answer of an open item stands."""
        index = result.index
        # A lot answered twice, or by a dispatcher whose lease lapsed: the item is not open any more
        # once the first answer is in, so a second one cannot change its state.
        if self.cancelled or not self.is_open(index):
            return
        lease = self.leases.get(index)
        held = lease is not None and lease.holder == holder
        if result.verdict == Verdict.DONE:
            self._finish(index, ItemState.DONE, result, now)
        elif held:
            del self.leases[index]
            self._judge(index, result, now)

    def cancel(self) -> list[str]:
        """Stop the chunk; returns the holders to tell."""
        return self._end_open(ItemState.CANCELLED)

    def expire(self) -> list[str]:
        """End items that were not done in all the time of the job; returns the holders to tell."""
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
        """Return the results of finished items for a result object; ended ones need none."""
        return [
            self._make_line(index, self.finished[index])
            for index in indexes
            if self.finished[index].body or self.finished[index].status
        ]

    def make_record(self, indexes: Sequence[int], result_object: str) -> ChunkRecord:
        """Return the record with some finished items made terminal."""
        states = list(self.record.states)
        for index in indexes:
            states[index] = self.finished[index].state
        results = self.record.results + ((result_object,) if result_object else ())
        tries = tuple(tries for index, tries in sorted(self.tries.items()) if states[index] == ".")
        return replace(self.record, states="".join(states), results=results, tries=tries)

    def settle(self, indexes: Sequence[int], record: ChunkRecord) -> None:
        """Drop what is committed now."""
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

    def _judge(self, index: int, result: ItemResult, now: Millis) -> None:
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
