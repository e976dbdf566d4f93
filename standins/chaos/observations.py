"""Observations of callers, operators and the fault schedule, shared by threads."""

import threading
import time
from dataclasses import dataclass, field
from enum import StrEnum

from standins.demo.fleet import HttpResponse


class Kind(StrEnum):
    """Kind of a caller's request."""

    ONLINE = "online"
    STREAM = "stream"
    BOOKING = "booking"
    POISON = "poison"
    SUBMIT = "submit"
    VISITOR = "visitor"


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request as its caller saw it; `status` is 0 without a complete answer."""

    kind: Kind
    customer: str
    subject: str
    """Its content, such as the name of a booking: the same for all its attempts."""
    address: str
    sent_ms: int
    ended_ms: int
    status: int
    request_id: str = ""
    code: str = ""
    """Refusal code, or the failure if there was no complete answer."""
    not_run: bool = False
    text: str = ""
    expected: str = ""


@dataclass(frozen=True, slots=True)
class FaultSpan:
    """The interval in which one fault was in force."""

    name: str
    begun_ms: int
    ended_ms: int


@dataclass(slots=True)
class Observations:
    """All observations of a run; append-only."""

    attempts: list[Attempt] = field(default_factory=list)
    faults: list[FaultSpan] = field(default_factory=list)
    versions: dict[str, list[int]] = field(default_factory=dict)
    patches: list[tuple[str, int]] = field(default_factory=list)
    """Id and version of each acknowledged patch."""
    jobs: dict[str, list[str]] = field(default_factory=dict)
    """Accepted job -> prompts of its items."""
    withdrawn_ms: dict[str, int] = field(default_factory=dict)
    """Customer -> time at which the withdrawal of its key was acknowledged."""
    planned_stops: set[str] = field(default_factory=set)
    """Addresses of daemons that were only ever stopped gracefully."""
    lock: threading.Lock = field(default_factory=threading.Lock)

    def add(self, attempt: Attempt) -> None:
        """Add one attempt."""
        with self.lock:
            self.attempts.append(attempt)


def read_ms() -> int:
    """Return this process's monotonic time in milliseconds."""
    return time.monotonic_ns() // 1_000_000


def read_refusal(answer: HttpResponse) -> tuple[str, bool]:
    """Return an error answer's code and `not_run`; empty and False if it has none."""
    try:
        error = answer.json()["error"]
        return str(error["code"]), bool(error["not_run"])
    except (ValueError, KeyError, TypeError):
        return "", False
