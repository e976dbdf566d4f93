"""A bounded record of decisions: what was seen, what was chosen and why."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from goldcreststair.clock import Clock, Millis

DEFAULT_JOURNAL_EVENTS: Final = 5000


class Subject(StrEnum):
    """What kind of thing a decision was about."""

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
    """The last events of this daemon, oldest first; old ones fall out."""

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
        """Add one decision; `seen` are the facts it rested on."""
        self._events.append(Event(self._clock.now(), subject, subject_id, choice, reason, seen))

    def find(self, subject: Subject, subject_id: str) -> Iterable[Event]:
        """Return the events about one thing, oldest first."""
        return [e for e in self._events if e.subject == subject and e.subject_id == subject_id]
