"""A bounded record of decisions: the observed facts, the choice and its reason."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from goldcreststair.clock import Clock, Millis

DEFAULT_JOURNAL_EVENTS: Final = 5000


class Subject(StrEnum):
    """Kind of the object that a decision concerns."""

    REQUEST = "request"
    JOB = "job"
    VM = "vm"
    UPSTREAM = "upstream"
    CUSTOMER = "customer"
    PARTITION = "partition"
    CONFIGURATION = "configuration"


@dataclass(frozen=True, slots=True)
class Event:
    """One decision."""

    at_ms: Millis
    subject: Subject
    subject_id: str
    choice: str
    reason: str
    seen: Mapping[str, str | int | float | bool] = field(default_factory=dict)


class Journal:
    """The latest events of this daemon, oldest first; the oldest are dropped when it is full."""

    def __init__(self, clock: Clock, capacity: int = DEFAULT_JOURNAL_EVENTS) -> None:
        """Keep at most `capacity` events."""
        self._clock = clock
        self._events: deque[Event] = deque(maxlen=capacity)

    def record(
        self,
        subject: Subject,
        subject_id: str,
        choice: str,
        reason: str,
        **seen: str | int | float | bool,
    ) -> None:
        """Add one decision; `seen` are the facts it is based on."""
        self._events.append(Event(self._clock.now(), subject, subject_id, choice, reason, seen))

    def find(self, subject: Subject, subject_id: str) -> Iterable[Event]:
        """Return the events about one object, oldest first."""
        return [e for e in self._events if e.subject == subject and e.subject_id == subject_id]
