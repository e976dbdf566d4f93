"""What evacuations ask of an adapter."""

from typing import Protocol

from result import Result

from goldcreststair.components.evacuation.errors import EvacuationUnreadable
from goldcreststair.store.rows import RowKey


class EvacuationReader(Protocol):
    """Knows how operators name a data centre that they evacuate."""

    def is_evacuation(self, key: RowKey) -> bool:
        """Return whether a row of the operators' table is about an evacuation."""

    def decode(self, key: RowKey) -> Result[str, EvacuationUnreadable]:
        """Return the name of the data centre; the row's existence is the evacuation."""
