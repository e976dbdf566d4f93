"""Interface of the keys component."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Protocol

from result import Result

from goldcreststair.components.configuration.models import Customer
from goldcreststair.core import ComponentKey
from goldcreststair.errors import GoldcreststairError


@dataclass(frozen=True, slots=True)
class KeyRefused(GoldcreststairError):
    """The key is unknown or withdrawn, or cannot be checked now."""

    temporary: bool = False
    """Whether this VM cannot check keys now, as it has no configuration or is isolated; the caller may
    retry at another VM."""


@dataclass(frozen=True, slots=True)
class Identity:
    """The customer behind a request and the hash of the key used."""

    customer: Customer
    key_hash: str


class Keys(Protocol):
    """Resolves callers' keys to identities."""

    def identify(self, key: str) -> Result[Identity, KeyRefused]:
        """Return the identity that a key belongs to."""

    def watch(self, key_hash: str, on_withdrawn: Callable[[], None]) -> Callable[[], None]:
        """Call `on_withdrawn` once if the key is withdrawn; returns a function that ends the watch."""


KEYS: Final = ComponentKey[Keys]("keys")
