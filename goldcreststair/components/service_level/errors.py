"""Errors of service levels."""

from dataclasses import dataclass

from goldcreststair.components.service_level.models import Burn
from goldcreststair.errors import GoldcreststairError


@dataclass(frozen=True, slots=True)
class LevelUnavailable(GoldcreststairError):
    """Some customers' owners did not answer."""

    customers: tuple[str, ...] = ()
    partial: tuple[Burn, ...] = ()
    """The standings that did come."""
