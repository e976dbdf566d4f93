"""What other components ask of membership, beside the sections of the blackboard."""

from collections.abc import Callable
from typing import Final, Protocol

from goldcreststair.components.membership.models import MemberState
from goldcreststair.core import ComponentKey


class SharedSets(Protocol):
    """Named grow-only sets of short texts that spread to every member in seconds, without the store.

    Items cannot be taken back; each expires `lifetime_ms` after it was first added (0: never).
    """

    def add(self, name: str, item: str, lifetime_ms: int = 0) -> None:
        """Add an item here and pass it on."""

    def contains(self, name: str, item: str) -> bool:
        """Return whether the item is known here."""

    def watch(self, name: str, on_added: Callable[[str], None]) -> None:
        """Call back for every item that becomes known here, whoever added it."""


SHARED_SETS: Final = ComponentKey[SharedSets]("shared_sets")
SET_WITHDRAWN_KEYS: Final = "withdrawn_keys"
SET_QUARANTINE: Final = "quarantine"


class Membership(Protocol):
    """This VM's place in the fleet."""

    def set_state(self, state: MemberState) -> None:
        """Change this VM's state and tell all partners at once."""

    def is_isolated(self) -> bool:
        """Return whether this VM cannot know what was withdrawn lately.

        True before it has fetched what peers know, and while it is cut off from the store for
        15 s and from most of the VMs it talks to.
        """

    def find_slot(self) -> int:
        """Return this VM's slot, or -1 without one that is certainly its own at this moment."""


MEMBERSHIP: Final = ComponentKey[Membership]("membership")
