"""What discovery asks of an adapter."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from goldcreststair.components.discovery.models import UpstreamEntry
from goldcreststair.errors import GoldcreststairError


@dataclass(frozen=True, slots=True)
class EntryUnreadable(GoldcreststairError):
    """A row that names no upstream to use; names the field."""

    field: str = ""


class UpstreamReader(Protocol):
    """Knows where upstreams register themselves and how."""

    table: str

    def decode(self, name: str, value: bytes) -> Result[UpstreamEntry, EntryUnreadable]:
        """Return what an upstream says of itself."""
