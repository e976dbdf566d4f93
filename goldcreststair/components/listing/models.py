"""State from the platform's list of VMs."""

from dataclasses import dataclass
from typing import Final

from goldcreststair.blackboard import SectionKey
from goldcreststair.store.models import ListedState


@dataclass(frozen=True, slots=True)
class LeavingAddresses:
    """IP addresses of entry and upstream VMs that the platform lists as leaving."""

    addresses: frozenset[str] = frozenset()


LEAVING_ADDRESSES: Final = SectionKey[LeavingAddresses]("leaving_addresses")


@dataclass(frozen=True, slots=True)
class OwnListing:
    """State of this VM's own address when it last read the list itself."""

    reads: int = 0
    """Number of reads of the list; 0 before the first one."""
    state: ListedState | None = None
    """None if the address was not listed."""


OWN_LISTING: Final = SectionKey[OwnListing]("own_listing")
