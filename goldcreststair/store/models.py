"""Data types of the platform's services."""

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table service."""

    key: str
    version: int
    """Starts at 1 and increases by one with each write; 0 means that the row does not exist."""
    value: bytes


@dataclass(frozen=True, slots=True)
class RowWrite:
    """One conditional write; `value` None deletes the row."""

    key: str
    expected_version: int
    value: bytes | None


class ListedState(StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedVm:
    """One VM, entry or upstream, in the platform's list, which lags behind its real state."""

    address: str
    data_centre: str
    state: ListedState
