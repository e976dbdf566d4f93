"""Compare-and-set on head rows; a lost response is resolved by reading the row."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from result import Err, Ok, Result

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.ledger.codec import decode_head, encode_head
from goldcreststair.components.ledger.const import ROW_PREFIX
from goldcreststair.components.ledger.models import Head, StoredHead
from goldcreststair.components.ledger.pacing import Backoff
from goldcreststair.store.errors import PlatformError, PlatformOutcomeUnknown, RowConflict
from goldcreststair.store.models import RowWrite
from goldcreststair.store.protocols import TableService


@dataclass(frozen=True, slots=True)
class Swapped:
    """The new head is in place."""

    stored: StoredHead
    begun_at: Millis
    """Start of the store call that confirmed it."""


@dataclass(frozen=True, slots=True)
class NotSwapped:
    """The new head was not written and never will be; the old one may still be in place."""


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another head is in place, or the write was abandoned with an unknown outcome."""

    head: Head
    maybe_written: bool
    """Whether the new head may have been in place before it."""


SwapOutcome = Swapped | NotSwapped | Superseded


class HeadTable:
    """The head rows of all partitions in the table service."""

    def __init__(self, table: TableService, clock: Clock, random: Random) -> None:
        """Create an accessor to the head rows in `table`."""
        self._table = table
        self._clock = clock
        self._random = random

    async def async_read(
        self, indexes: Sequence[int]
    ) -> Result[tuple[StoredHead, ...], PlatformError]:
        """Return the heads of partitions in the order of `indexes`."""
        rows = await self._table.async_read_many([f"{ROW_PREFIX}{index}" for index in indexes])
        return rows.map(lambda found: tuple(decode_head(row) for row in found))

    async def async_swap(
        self, index: int, version: int, head: Head, is_abandoned: Callable[[], bool]
    ) -> SwapOutcome:
        """Replace the head row of version `version`.

        Returns when the outcome is known, or when `is_abandoned` returns True.
        """
        write = RowWrite(f"{ROW_PREFIX}{index}", version, encode_head(head))
        maybe_written = False
        backoff = Backoff(self._random)
        while True:
            begun_at = self._clock.now()
            written = await self._table.async_write([write])
            if isinstance(written, Ok):
                return Swapped(StoredHead(head, version + 1), begun_at)
            error = written.err_value
            if isinstance(error, RowConflict):
                return _compare_found(decode_head(error.current), head, maybe_written, begun_at)
            # The response was lost: the write may have taken effect, or may do so later. Until the
            # row shows the outcome, the same value is written again over the same version, so that
            # the store applies at most one of the writes.
            maybe_written = maybe_written or isinstance(error, PlatformOutcomeUnknown)
            if not maybe_written or is_abandoned():
                return Superseded(Head(), True) if maybe_written else NotSwapped()
            found = await self._async_read_back(index, version, head)
            if found is not None:
                return found
            await self._clock.async_sleep(backoff.next_ms())

    async def _async_read_back(self, index: int, version: int, head: Head) -> SwapOutcome | None:
        begun_at = self._clock.now()
        read = await self.async_read([index])
        if isinstance(read, Err) or read.ok_value[0].version == version:
            return None
        return _compare_found(read.ok_value[0], head, True, begun_at)


def _compare_found(
    found: StoredHead, written: Head, maybe_written: bool, begun_at: Millis
) -> SwapOutcome:
    same = found.head.commit_id == written.commit_id and found.head.epoch == written.epoch
    return Swapped(found, begun_at) if same else Superseded(found.head, maybe_written)
