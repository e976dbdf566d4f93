"""Input and result of steering."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from goldcreststair.components.configuration.models import Customer
from goldcreststair.components.membership.models import Member


@dataclass(frozen=True, slots=True)
class SteeringQuery:
    """One caller, and this VM's view of the fleet."""

    customer: Customer
    caller: str
    """Anything that distinguishes callers of one customer, such as their IP address."""
    data_centre: str
    members: tuple[Member, ...]
    loads: Mapping[str, int] = field(default_factory=dict)
    coordinator: str | None = None
    """Session id of the customer's limit coordinator."""
    leaving_vms: frozenset[str] = frozenset()
    suspected: frozenset[str] = frozenset()
    """Session ids of VMs that may be lost; these are used only if no other VM is left."""


@dataclass(frozen=True, slots=True)
class SteeringResult:
    """Addresses in the order in which a caller should try them."""

    addresses: tuple[str, ...]
    lifetime_s: int
