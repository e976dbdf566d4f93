"""What other components ask of the ledger."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Final, Protocol

from result import Result

from goldcreststair.clock import Millis
from goldcreststair.core import ComponentKey
from goldcreststair.errors import GoldcreststairError


@dataclass(frozen=True, slots=True)
class LedgerError(GoldcreststairError):
    """A commit that is not known to be durable."""


@dataclass(frozen=True, slots=True)
class CommitRefused(LedgerError):
    """The change was certainly not written and never will be (store down, or not the owner)."""


@dataclass(frozen=True, slots=True)
class CommitUnknown(LedgerError):
    """The partition was lost while the write was under way; its next owner knows."""


@dataclass(frozen=True, slots=True)
class Change:
    """One record set, or removed with `value` None."""

    key: str
    value: bytes | None


class Partition(Protocol):
    """An owned partition: records in memory, durable through its head row."""

    @property
    def index(self) -> int:
        """Number of the partition."""

    @property
    def epoch(self) -> int:
        """The fencing number; grows at each change of owner."""

    @property
    def confirmed_at(self) -> Millis:
        """When the last store call began that showed this VM still owns the partition."""

    def get(self, key: str) -> bytes | None:
        """Return a record, staged changes included."""

    def scan(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        """Yield records in the order of their keys, staged changes included."""

    async def async_commit(
        self, changes: Sequence[Change], timeout_ms: int
    ) -> Result[None, LedgerError]:
        """Stage at once (so that `get` sees them), then make durable, all or none, grouped.

        On `CommitRefused` the staged changes are taken back.
        """


class Ledger(Protocol):
    """The partitions of the key space."""

    def find_index(self, key: str) -> int:
        """Return the partition of a key."""

    def get_owned(self, index: int) -> Partition | None:
        """Return a partition that this VM owns and has loaded, else None."""

    def find_owner(self, index: int) -> str | None:
        """Return the session id believed to own a partition (may be this VM's), else None."""

    def record_owner(self, index: int, session: str) -> None:
        """Believe another VM's word on the owner of a partition."""

    async def async_read_owner(self, index: int) -> str | None:
        """Return the owner that the head row names, and believe it; None if there is none."""

    def watch(self, on_gained: Callable[[Partition], None], on_lost: Callable[[int], None]) -> None:
        """Call back when this VM gains or loses a partition; at once for those it owns."""


LEDGER: Final = ComponentKey[Ledger]("ledger")
