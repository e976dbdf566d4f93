"""Remembers decoded entries, so that a patched document costs what the patch touches."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar

T = TypeVar("T")

Decode = Callable[[str, Any, str], T]
"""Takes an entry's name, its JSON and its path; returns what it stands for."""


@dataclass(slots=True)
class _Section:
    raw: Mapping[str, Any] = field(default_factory=dict)
    decoded: dict[str, Any] = field(default_factory=dict)


class DecodingCache:
    """The last document's entries. A merge patch keeps untouched entries as the same objects.

    Decoding 3,100 upstreams takes 41 ms in one piece, at each of 3,800 changes a day: it shows as a
    stutter of every stream that the daemon relays.
    """

    def __init__(self) -> None:
        """Remember nothing yet."""
        self._sections: dict[str, _Section] = {}

    def decode(self, name: str, raw: Mapping[str, Any], decode: Decode[T]) -> dict[str, T]:
        """Return a section decoded; entries that are the same objects as last time are reused."""
        last = self._sections.get(name, _Section())
        decoded = {
            key: (
                last.decoded[key]
                if last.raw.get(key) is entry and key in last.decoded
                else decode(key, entry, f"{name}.{key}")
            )
            for key, entry in raw.items()
        }
        self._sections[name] = _Section(raw, decoded)
        return decoded
