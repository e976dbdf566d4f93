"""What the ledger keeps."""

from dataclasses import dataclass
from typing import Final

from goldcreststair.blackboard import SectionKey
from goldcreststair.components.ledger.protocols import Change


@dataclass(frozen=True, slots=True)
class Head:
    """The head row of a partition; snapshot, segments and tail in this order give its records."""

    owner: str = ""
    """Session id of the owner; empty if released."""
    epoch: int = 0
    sequence: int = 0
    """Number of the last commit."""
    commit_id: str = ""
    tail: tuple[Change, ...] = ()
    segments: tuple[str, ...] = ()
    snapshot: str = ""
    claim_sequence: int = 0
    """Value of `sequence` when this epoch's owner claimed the partition."""
    garbage: tuple[str, ...] = ()
    """Superseded objects that are not known to be deleted."""


@dataclass(frozen=True, slots=True)
class StoredHead:
    """A head with the version of its row; version 0 stands for no row."""

    head: Head
    version: int


@dataclass(frozen=True, slots=True)
class LedgerState:
    """How far this VM has come with its partitions."""

    settled: bool = False
    """Whether it has once claimed all it may claim, or found that the store does not answer."""


LEDGER_STATE: Final = SectionKey[LedgerState]("ledger_state")
