"""Errors of evacuation rows."""

from dataclasses import dataclass

from goldcreststair.errors import GoldcreststairError


@dataclass(frozen=True, slots=True)
class EvacuationUnreadable(GoldcreststairError):
    """An evacuation row does not name a data centre; `field` is the invalid field."""

    field: str = ""
