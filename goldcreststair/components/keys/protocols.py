"""What other components ask about keys."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Protocol

from result import Result

from goldcreststair.components.configuration.models import Customer
from goldcreststair.core import ComponentKey
from goldcreststair.errors import GoldcreststairError


@dataclass(frozen=True, slots=True)
class KeyRefused(GoldcreststairError):
    """The key is unknown, withdrawn, or cannot be trusted now."""

    temporary: bool = False
    """True when this VM is cut off and cannot know; the caller may ask another VM."""


@dataclass(frozen=True, slots=True)
class Identity:
    """Whose request it is."""

    customer: Customer
    key_hash: str


class Keys(Protocol):
    """Turns a caller's key into an identity."""

    def identify(self, key: str) -> Result[Identity, KeyRefused]:
        """Return whose key this is."""

    def watch(self, key_hash: str, on_withdrawn: Callable[[], None]) -> Callable[[], None]:
        """Call back once if the key is withdrawn; returns a function that ends the watch."""


KEYS: Final = ComponentKey[Keys]("keys")
