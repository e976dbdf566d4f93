"""Interface of the adapter that decodes upstream entries."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from goldcreststair.components.discovery.models import UpstreamEntry
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
