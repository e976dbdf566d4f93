"""Interface of the adapter that decodes evacuation rows."""

from typing import Protocol

from result import Result

from goldcreststair.components.evacuation.errors import EvacuationUnreadable
from goldcreststair.store.rows import RowKey


class EvacuationReader(Protocol):
    """Decodes the rows by which operators evacuate a data centre."""

    def is_evacuation(self, key: RowKey) -> bool:
        """Return whether a row of the operators' table is about an evacuation."""

    def decode(self, key: RowKey) -> Result[str, EvacuationUnreadable]:
        """Return the name of the data centre, which is evacuated as long as the row exists."""
