"""Models of the ledger."""

from dataclasses import dataclass
from typing import Final

from goldcreststair.blackboard import SectionKey
from goldcreststair.components.ledger.protocols import Change


@dataclass(frozen=True, slots=True)
class Head:
    """The head row of a partition.

    Its records are the result of applying snapshot, segments and tail in this order.
    """

    owner: str = ""
    """Session id of the owner; empty if the partition is released."""
    epoch: int = 0
    sequence: int = 0
    """Sequence number of the last commit."""
    commit_id: str = ""
    tail: tuple[Change, ...] = ()
    segments: tuple[str, ...] = ()
    snapshot: str = ""
    claim_sequence: int = 0
    """Value of `sequence` when this epoch's owner claimed the partition."""
    garbage: tuple[str, ...] = ()
    """Names of superseded objects that are not known to be deleted."""


@dataclass(frozen=True, slots=True)
class StoredHead:
    """A head with the version of its row; version 0 means that there is no row."""

    head: Head
    version: int


@dataclass(frozen=True, slots=True)
class LedgerState:
    """Progress of this VM in claiming its partitions after its start."""

    initial_claims_done: bool = False
    """Whether it has once claimed all partitions it may claim, or the store did not respond."""


LEDGER_STATE: Final = SectionKey[LedgerState]("ledger_state")
