"""In-memory shared sets, for tests of the components that use them."""

from collections.abc import Callable


class FakeSharedSets:
    """Implements `SharedSets`; several cores may share one."""

    def __init__(self) -> None:
        self.items: set[tuple[str, str]] = set()
        self._watchers: list[tuple[str, Callable[[str], None]]] = []

    def add(self, name: str, item: str, lifetime_ms: int = 0) -> None:
        if (name, item) in self.items:
            return
        self.items.add((name, item))
        for watched, on_added in self._watchers:
            if watched == name:
                on_added(item)

    def contains(self, name: str, item: str) -> bool:
        return (name, item) in self.items

    def watch(self, name: str, on_added: Callable[[str], None]) -> None:
        self._watchers.append((name, on_added))
