"""Interface of the ledger to other components."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Final, Protocol

from result import Result

from goldcreststair.clock import Millis
from goldcreststair.core import ComponentKey
from goldcreststair.errors import GoldcreststairError


@dataclass(frozen=True, slots=True)
class LedgerError(GoldcreststairError):
    """The commit is not known to be durable."""


@dataclass(frozen=True, slots=True)
class CommitRefused(LedgerError):
    """The change was not written and never will be (the store is down, or not the owner)."""


@dataclass(frozen=True, slots=True)
class CommitUnknown(LedgerError):
    """The outcome of the write is unknown here; the next owner of the partition knows it."""


@dataclass(frozen=True, slots=True)
class Change:
    """Sets a record, or removes it if `value` is None."""

    key: str
    value: bytes | None


class Partition(Protocol):
    """An owned partition: its records are in memory and made durable through its head row."""

    @property
    def index(self) -> int:
        """Number of the partition."""

    @property
    def epoch(self) -> int:
        """The fencing token; it grows at each change of owner."""

    @property
    def confirmed_at(self) -> Millis:
        """Start of the last store call that confirmed that this VM owns the partition."""

    def get(self, key: str) -> bytes | None:
        """Return the value of a record, staged changes included, or None if there is none."""

    def scan(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        """Yield records in the order of their keys, staged changes included."""

    async def async_commit(
        self, changes: Sequence[Change], timeout_ms: int
    ) -> Result[None, LedgerError]:
        """Stage changes at once, so that `get` returns them, then write all of them or none.

        Commits made at the same time share a write. On `CommitRefused` the staged changes are
        rolled back.
        """


class Ledger(Protocol):
    """The key space, divided into partitions."""

    def find_index(self, key: str) -> int:
        """Return the index of a key's partition."""

    def get_owned(self, index: int) -> Partition | None:
        """Return a partition that this VM owns and has loaded, else None."""

    def find_owner(self, index: int) -> str | None:
        """Return the session id of a partition's assumed owner (may be this VM's), else None."""

    def record_owner(self, index: int, session: str) -> None:
        """Record the owner of a partition that another VM has reported."""

    async def async_read_owner(self, index: int) -> str | None:
        """Read the owner from the head row and record it; None without one or if the read fails."""

    def watch(self, on_gained: Callable[[Partition], None], on_lost: Callable[[int], None]) -> None:
        """Register callbacks for gained and lost partitions; calls back at once for owned ones."""


LEDGER: Final = ComponentKey[Ledger]("ledger")
