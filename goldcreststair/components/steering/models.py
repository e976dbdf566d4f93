"""What steering knows of a caller, and what it answers."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from goldcreststair.components.configuration.models import Customer
from goldcreststair.components.membership.models import Member


@dataclass(frozen=True, slots=True)
class SteeringFacts:
    """One caller and the fleet as this VM sees it."""

    customer: Customer
    caller: str
    """Anything that tells callers of one customer apart, as their IP number."""
    data_centre: str
    members: tuple[Member, ...]
    loads: Mapping[str, int] = field(default_factory=dict)
    home: str | None = None
    """Session of the customer's limit home."""
    leaving_vms: frozenset[str] = frozenset()
    suspected: frozenset[str] = frozenset()
    """Sessions that may be lost; used only where nothing else is left."""


@dataclass(frozen=True, slots=True)
class SteeringAnswer:
    """Addresses in the order in which a caller should try them."""

    addresses: tuple[str, ...]
    lifetime_s: int
