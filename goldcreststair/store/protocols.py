"""Interfaces of the platform's services; adapters and stand-ins implement them."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from result import Result

from goldcreststair.store.errors import ObjectMissing, PlatformError, RowConflict
from goldcreststair.store.models import ListedVm, Row, RowWrite


class TableService(Protocol):
    """Rows with versions and conditional writes; linearisable, with outages."""

    async def async_read(self, key: str) -> Result[Row | None, PlatformError]:
        """Return one row, or None if it does not exist."""

    async def async_read_many(
        self, keys: Sequence[str]
    ) -> Result[tuple[Row | None, ...], PlatformError]:
        """Return rows in the order of `keys`; counts as one read per key."""

    async def async_scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Return up to `limit` rows whose key starts with `prefix` and is greater than `after`."""

    async def async_write(
        self, writes: Sequence[RowWrite]
    ) -> Result[tuple[int, ...], PlatformError | RowConflict]:
        """Apply all writes or none; returns the new versions in order."""


class ObjectStore(Protocol):
    """Immutable objects by name."""

    async def async_put(self, name: str, content: bytes) -> Result[None, PlatformError]:
        """Store an object; storing the same name and content again is no error."""

    async def async_get(self, name: str) -> Result[bytes, PlatformError | ObjectMissing]:
        """Return an object's content."""

    async def async_delete(self, name: str) -> Result[None, PlatformError]:
        """Remove an object; a missing one is no error."""


class VmList(Protocol):
    """The platform's list of VMs, which lags behind their real state."""

    async def async_list(self) -> Result[tuple[ListedVm, ...], PlatformError]:
        """Return all VMs, live and leaving."""


class WeightStore(Protocol):
    """Model weights, which engines load at a limited rate."""

    async def async_describe(self, model: str) -> Result[int, PlatformError | ObjectMissing]:
        """Return the size of a model's weights in bytes."""


@dataclass(frozen=True, slots=True)
class Platform:
    """All services of the platform."""

    table: TableService
    objects: ObjectStore
    vm_list: VmList
    weights: WeightStore
