"""Which data centres are evacuated."""

from dataclasses import dataclass
from typing import Final

from goldcreststair.blackboard import SectionKey


@dataclass(frozen=True, slots=True)
class Evacuations:
    """All evacuations as of one version of the store."""

    version: int = 0
    """When `data_centres` came to hold; 0 before the first evacuation."""
    data_centres: frozenset[str] = frozenset()
    """Their upstreams get no new work; what runs there goes on."""


EVACUATIONS: Final = SectionKey[Evacuations]("evacuations")
