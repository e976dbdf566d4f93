"""What can be wrong with an operator's row about an evacuation."""

from dataclasses import dataclass

from goldcreststair.errors import GoldcreststairError


@dataclass(frozen=True, slots=True)
class EvacuationUnreadable(GoldcreststairError):
    """A row that names no data centre; names the field."""

    field: str = ""
