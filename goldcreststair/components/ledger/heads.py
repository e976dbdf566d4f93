"""Compare-and-set on head rows, with lost answers settled by reading back."""

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
    """The new head stands."""

    stored: StoredHead
    begun_at: Millis
    """When the call began that showed it."""


@dataclass(frozen=True, slots=True)
class NotSwapped:
    """The new head was not written and never will be; the old one may still stand."""


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another head stands."""

    head: Head
    doubtful: bool
    """True if ours may have stood before it."""


SwapOutcome = Swapped | NotSwapped | Superseded


class HeadTable:
    """The head rows of all partitions in the table service."""

    def __init__(self, table: TableService, clock: Clock, random: Random) -> None:
        """Use the platform's table."""
        self._table = table
        self._clock = clock
        self._random = random

    async def async_read(
        self, indexes: Sequence[int]
    ) -> Result[tuple[StoredHead, ...], PlatformError]:
        """Return heads in the order of `indexes`."""
        rows = await self._table.async_read_many([f"{ROW_PREFIX}{index}" for index in indexes])
        return rows.map(lambda found: tuple(decode_head(row) for row in found))

    async def async_swap(
        self, index: int, version: int, head: Head, is_given_up: Callable[[], bool]
    ) -> SwapOutcome:
        """Write a head over `version`; returns only when the outcome is known or given up."""
        write = RowWrite(f"{ROW_PREFIX}{index}", version, encode_head(head))
        doubtful = False
        backoff = Backoff(self._random)
        while True:
            begun_at = self._clock.now()
            written = await self._table.async_write([write])
            if isinstance(written, Ok):
                return Swapped(StoredHead(head, version + 1), begun_at)
            error = written.err_value
            if isinstance(error, RowConflict):
                return _judge(decode_head(error.current), head, doubtful, begun_at)
            # An answer was lost: the write may have taken effect, or may yet arrive. Only the row
            # can tell, and until it does the same bytes are sent again over the same version, so
            # that the store lets at most one of them in.
            doubtful = doubtful or isinstance(error, PlatformOutcomeUnknown)
            if not doubtful or is_given_up():
                return Superseded(Head(), True) if doubtful else NotSwapped()
            found = await self._async_read_back(index, version, head)
            if found is not None:
                return found
            await self._clock.async_sleep(backoff.next_ms())

    async def _async_read_back(self, index: int, version: int, head: Head) -> SwapOutcome | None:
        begun_at = self._clock.now()
        read = await self.async_read([index])
        if isinstance(read, Err) or read.ok_value[0].version == version:
            return None
        return _judge(read.ok_value[0], head, True, begun_at)


def _judge(found: StoredHead, wanted: Head, doubtful: bool, begun_at: Millis) -> SwapOutcome:
    same = found.head.commit_id == wanted.commit_id and found.head.epoch == wanted.epoch
    return Swapped(found, begun_at) if same else Superseded(found.head, doubtful)
