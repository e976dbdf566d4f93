"""Interface of membership to other components, beside its blackboard sections."""

from collections.abc import Callable
from typing import Final, Protocol

from goldcreststair.components.membership.models import MemberState
from goldcreststair.core import ComponentKey


class SharedSets(Protocol):
    """Named grow-only sets of short texts that reach every member in seconds, without the store.

    Items cannot be removed; each expires `lifetime_ms` after it was first added (0: never).
    """

    def add(self, name: str, item: str, lifetime_ms: int = 0) -> None:
        """Add an item on this VM and send it to the others."""

    def contains(self, name: str, item: str) -> bool:
        """Return whether this VM knows the item and it has not expired."""

    def watch(self, name: str, on_added: Callable[[str], None]) -> None:
        """Register a callback for every item that this VM learns of, whichever VM added it."""


SHARED_SETS: Final = ComponentKey[SharedSets]("shared_sets")
SET_WITHDRAWN_KEYS: Final = "withdrawn_keys"
SET_QUARANTINE: Final = "quarantine"


class Membership(Protocol):
    """This VM's membership in the fleet."""

    def set_state(self, state: MemberState) -> None:
        """Change this VM's state and send it to all gossip partners at once."""

    def is_isolated(self) -> bool:
        """Return whether this VM may have missed recent withdrawals.

        True until it has fetched the state of a peer, and while it has been cut off from the store
        for 15 s and from most of its gossip partners.
        """

    def find_slot(self) -> int:
        """Return this VM's slot, or -1 if another VM may hold it now."""


MEMBERSHIP: Final = ComponentKey[Membership]("membership")
