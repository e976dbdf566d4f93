"""Grow-only sets that are replicated by gossip."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.membership.const import EXPIRED_ITEM_MS
from goldcreststair.components.membership.ring import hash_text


@dataclass(frozen=True, slots=True)
class Item:
    """One item with its remaining lifetime in ms; 0 if it never expires."""

    set_name: str
    text: str
    lifetime_ms: int


class SharedSetTable:
    """Implements `SharedSets`; `on_new` sends new items to other VMs."""

    def __init__(self, clock: Clock, on_new: Callable[[list[Item]], None]) -> None:
        """Create empty sets."""
        self._clock = clock
        self._on_new = on_new
        self._expires: dict[tuple[str, str], Millis | None] = {}
        self._dated: dict[tuple[str, str], Millis] = {}
        self._digest = 0
        self._watchers: dict[str, list[Callable[[str], None]]] = {}

    @property
    def digest(self) -> int:
        """Return a digest of all items that have not expired."""
        now = self._clock.now()
        for key in [key for key, expires in self._dated.items() if expires <= now]:
            del self._dated[key]
            self._digest ^= _hash_key(key)
        return self._digest

    def add(self, name: str, item: str, lifetime_ms: int = 0) -> None:
        """Add an item on this VM and send it to the others."""
        self.merge([Item(name, item, lifetime_ms)])

    def contains(self, name: str, item: str) -> bool:
        """Return whether this VM knows the item and it has not expired."""
        return self._is_valid(self._expires.get((name, item), Millis(0)))

    def watch(self, name: str, on_added: Callable[[str], None]) -> None:
        """Register a callback for every item that this VM learns of."""
        self._watchers.setdefault(name, []).append(on_added)

    def merge(self, items: Iterable[Item]) -> None:
        """Add items of this or another VM; callbacks and other VMs get the new ones."""
        unique = {(item.set_name, item.text): item for item in items}
        new_items = [item for key, item in unique.items() if key not in self._expires]
        now = self._clock.now()
        for item in new_items:
            key = (item.set_name, item.text)
            self._expires[key] = Millis(now + item.lifetime_ms) if item.lifetime_ms else None
            if item.lifetime_ms:
                self._dated[key] = Millis(now + item.lifetime_ms)
            self._digest ^= _hash_key(key)
        if new_items:
            self._on_new(new_items)
        for item in new_items:
            for on_added in tuple(self._watchers.get(item.set_name, ())):
                on_added(item.text)

    def list_items(self) -> list[Item]:
        """Return all items that have not expired."""
        now = self._clock.now()
        found = []
        for name, text in self._iterate():
            expires = self._expires[(name, text)]
            found.append(Item(name, text, 0 if expires is None else expires - now))
        return found

    def prune(self) -> None:
        """Remove items that expired more than `EXPIRED_ITEM_MS` ago."""
        horizon = self._clock.now() - EXPIRED_ITEM_MS
        self._expires = {
            key: at for key, at in self._expires.items() if at is None or at >= horizon
        }

    def _iterate(self) -> Iterable[tuple[str, str]]:
        return (key for key, expires in self._expires.items() if self._is_valid(expires))

    def _is_valid(self, expires: Millis | None) -> bool:
        return expires is None or expires > self._clock.now()


def _hash_key(key: tuple[str, str]) -> int:
    return hash_text(f"{key[0]}:{key[1]}")
