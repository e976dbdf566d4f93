"""What the platform's services hold and answer."""

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table service."""

    key: str
    version: int
    """Starts at 1 and grows by one at each write; 0 stands for no row."""
    value: bytes


@dataclass(frozen=True, slots=True)
class RowWrite:
    """One conditional write; `value` None deletes the row."""

    key: str
    expected_version: int
    value: bytes | None


class ListedState(StrEnum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedVm:
    """One VM, entry or upstream, in the platform's lagging list."""

    address: str
    data_centre: str
    state: ListedState
