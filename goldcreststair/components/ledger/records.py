"""A partition's records in memory, with staged changes that can be taken back."""

from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator, Mapping, Sequence

from goldcreststair.components.ledger.protocols import Change

Undo = tuple[Change, ...]
"""Changes that restore what a commit replaced, in the order in which to apply them."""


class Records:
    """Records by key, in order.

    >>> records = Records({"a": b"1"})
    >>> undo = records.apply([Change("a", None), Change("b", b"2")])
    >>> list(records.scan(""))
    [('b', b'2')]
    >>> _ = records.apply(undo)
    >>> list(records.scan(""))
    [('a', b'1')]
    """

    def __init__(self, values: Mapping[str, bytes]) -> None:
        """Start with these records."""
        self._values = dict(values)
        self._keys = sorted(self._values)

    def get(self, key: str) -> bytes | None:
        """Return a record."""
        return self._values.get(key)

    def scan(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        """Yield records by key; safe against changes made meanwhile."""
        first = bisect_left(self._keys, prefix)
        last = bisect_left(self._keys, prefix + "\U0010ffff") if prefix else len(self._keys)
        for key in self._keys[first:last]:
            value = self._values.get(key)
            if value is not None:
                yield key, value

    def apply(self, changes: Iterable[Change]) -> Undo:
        """Apply changes and return what takes them back."""
        undo: list[Change] = []
        for change in changes:
            undo.append(Change(change.key, self._values.get(change.key)))
            self._set(change)
        return tuple(reversed(undo))

    def _set(self, change: Change) -> None:
        known = change.key in self._values
        if change.value is not None:
            self._values[change.key] = change.value
            if not known:
                insort(self._keys, change.key)
        elif known:
            del self._values[change.key]
            del self._keys[bisect_left(self._keys, change.key)]

    def export(self) -> Iterator[Change]:
        """Return all records as they are now, as changes made one by one."""
        copied = dict(self._values)
        return (Change(key, value) for key, value in copied.items())


def replay(parts: Iterable[Sequence[Change]]) -> dict[str, bytes]:
    """Return the records that lists of changes give, applied in order."""
    values: dict[str, bytes] = {}
    for changes in parts:
        for change in changes:
            if change.value is None:
                values.pop(change.key, None)
            else:
                values[change.key] = change.value
    return values
