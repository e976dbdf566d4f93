"""Interfaces of discovery: the adapter that decodes upstream entries, and the age of the list."""

from dataclasses import dataclass
from typing import Final, Protocol

from result import Result

from goldcreststair.clock import Millis
from goldcreststair.components.discovery.models import UpstreamEntry
from goldcreststair.core import ComponentKey
from goldcreststair.errors import GoldcreststairError


@dataclass(frozen=True, slots=True)
class EntryUnreadable(GoldcreststairError):
    """A row is not a valid upstream entry; `field` is the invalid field."""

    field: str = ""


class UpstreamReader(Protocol):
    """Decodes the entries by which upstreams register themselves in `table`."""

    table: str

    def decode(self, name: str, value: bytes) -> Result[UpstreamEntry, EntryUnreadable]:
        """Return the upstream's entry."""


class UpstreamList(Protocol):
    """How old the list of upstreams may be."""

    def read_confirmed_at(self) -> Millis:
        """Return the time up to which the store has confirmed that the list is complete."""

    def read_followed_since(self) -> Millis:
        """Return since when no change of the list can have been missed."""

    async def async_confirm(self) -> bool:
        """Bring the list up to the moment of this call; returns whether the store answered in time."""


class _AlwaysCurrent:
    """A list that cannot be old."""

    def read_confirmed_at(self) -> Millis:
        return Millis(1 << 62)

    def read_followed_since(self) -> Millis:
        return Millis(0)

    async def async_confirm(self) -> bool:
        return True


ALWAYS_CURRENT: Final[UpstreamList] = _AlwaysCurrent()
UPSTREAM_LIST: Final = ComponentKey[UpstreamList]("upstream_list")
