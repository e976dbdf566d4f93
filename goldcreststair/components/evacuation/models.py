"""Evacuated data centres."""

from dataclasses import dataclass
from typing import Final

from goldcreststair.blackboard import SectionKey


@dataclass(frozen=True, slots=True)
class Evacuations:
    """All evacuations at one version of the store."""

    version: int = 0
    """Store version of the last change of `data_centres`; 0 before the first evacuation."""
    data_centres: frozenset[str] = frozenset()
    """Their upstreams get no new work; runs in progress continue."""


EVACUATIONS: Final = SectionKey[Evacuations]("evacuations")
