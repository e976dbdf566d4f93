"""Shared state in named sections, each with one writer and any number of readers and subscribers."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

_LOGGER = logging.getLogger(__name__)

T = TypeVar("T")


@dataclass(frozen=True)
class SectionKey(Generic[T]):
    """The typed name of one section; `T` is a frozen data class."""

    name: str


class SectionWriter(Generic[T]):
    """Writes one section; only one writer exists for each."""

    def __init__(self, board: "Blackboard", key: SectionKey[T]) -> None:
        """Create the writer of the section `key`."""
        self._board = board
        self._key = key

    def write(self, value: T) -> None:
        """Replace the section's value; subscribers are called if it changed."""
        self._board._write(self._key.name, value)


class Blackboard:
    """State that components share: observed facts and decisions.

    >>> board = Blackboard()
    >>> key = SectionKey[int]("answer")
    >>> writer = board.open_section(key, 0)
    >>> seen: list[int] = []
    >>> stop = board.subscribe(key, seen.append)
    >>> writer.write(42)
    >>> board.read(key), seen
    (42, [42])
    """

    def __init__(self) -> None:
        """Create a blackboard without sections."""
        self._values: dict[str, Any] = {}
        self._subscribers: dict[str, list[Callable[[Any], None]]] = {}

    def open_section(self, key: SectionKey[T], initial: T) -> SectionWriter[T]:
        """Create a section and return its only writer; raises `ValueError` if it exists."""
        if key.name in self._values:
            raise ValueError(f"section {key.name} already has a writer")
        self._values[key.name] = initial
        return SectionWriter(self, key)

    def read(self, key: SectionKey[T]) -> T:
        """Return the section's value; raises `KeyError` if no component opened it."""
        value: T = self._values[key.name]
        return value

    def find(self, key: SectionKey[T]) -> T | None:
        """Return the section's value, or None if no component opened it."""
        value: T | None = self._values.get(key.name)
        return value

    def subscribe(self, key: SectionKey[T], callback: Callable[[T], None]) -> Callable[[], None]:
        """Call `callback` with each new value; returns a function that unsubscribes it."""
        subscribers = self._subscribers.setdefault(key.name, [])
        subscribers.append(callback)

        def unsubscribe() -> None:
            if callback in subscribers:
                subscribers.remove(callback)

        return unsubscribe

    def _write(self, name: str, value: Any) -> None:
        if self._values[name] == value:
            return
        self._values[name] = value
        for callback in tuple(self._subscribers.get(name, ())):
            # A failing subscriber must not keep the others from being called.
            try:
                callback(value)
            except Exception:
                _LOGGER.exception("Subscriber of section %s failed", name)
