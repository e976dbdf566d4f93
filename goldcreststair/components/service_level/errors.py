"""Errors of service levels."""

from dataclasses import dataclass

from goldcreststair.components.service_level.models import Burn
from goldcreststair.errors import GoldcreststairError


@dataclass(frozen=True, slots=True)
class LevelUnavailable(GoldcreststairError):
    """The owners of some customers' partitions did not answer."""

    customers: tuple[str, ...] = ()
    partial: tuple[Burn, ...] = ()
    """The results for the other customers."""
