"""What is known of the platform's list."""

from dataclasses import dataclass
from typing import Final

from goldcreststair.blackboard import SectionKey
from goldcreststair.store.models import ListedState


@dataclass(frozen=True, slots=True)
class LeavingAddresses:
    """IP numbers of VMs, entry and upstream, that the platform lists as leaving."""

    addresses: frozenset[str] = frozenset()


LEAVING_ADDRESSES: Final = SectionKey[LeavingAddresses]("leaving_addresses")


@dataclass(frozen=True, slots=True)
class OwnListing:
    """What this VM itself last read of its own address."""

    reads: int = 0
    """How often the list was read; 0 stands for never."""
    state: ListedState | None = None
    """None if the address was not listed."""


OWN_LISTING: Final = SectionKey[OwnListing]("own_listing")
