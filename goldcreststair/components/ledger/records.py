"""A partition's records in memory, with changes that can be undone."""

from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator, Mapping, Sequence

from goldcreststair.components.ledger.protocols import Change

Undo = tuple[Change, ...]
"""Changes that restore the values which other changes replaced, in the order to apply them."""


class Records:
    """Records in the order of their keys.

    >>> records = Records({"a": b"1"})
    >>> undo = records.apply([Change("a", None), Change("b", b"2")])
    >>> list(records.scan(""))
    [('b', b'2')]
    >>> _ = records.apply(undo)
    >>> list(records.scan(""))
    [('a', b'1')]
    """

    def __init__(self, values: Mapping[str, bytes]) -> None:
        """Create the records from a mapping, which is copied."""
        self._values = dict(values)
        self._keys = sorted(self._values)

    def get(self, key: str) -> bytes | None:
        """Return the value of a record, or None if there is none."""
        return self._values.get(key)

    def scan(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        """Yield the records with a key prefix in order; changes are allowed during iteration."""
        first = bisect_left(self._keys, prefix)
        last = bisect_left(self._keys, prefix + "\U0010ffff") if prefix else len(self._keys)
        for key in self._keys[first:last]:
            value = self._values.get(key)
            if value is not None:
                yield key, value

    def apply(self, changes: Iterable[Change]) -> Undo:
        """Apply changes and return the changes that undo them."""
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
        """Return a snapshot of all records; the changes are created lazily."""
        copied = dict(self._values)
        return (Change(key, value) for key, value in copied.items())


def replay(parts: Iterable[Sequence[Change]]) -> dict[str, bytes]:
    """Return the records that result from applying lists of changes in order."""
    values: dict[str, bytes] = {}
    for changes in parts:
        for change in changes:
            if change.value is None:
                values.pop(change.key, None)
            else:
                values[change.key] = change.value
    return values
