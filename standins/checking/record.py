"""What a test saw from outside, whatever the system believes of itself."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer to one caller's request."""

    request: str
    customer: str
    text: str
    expected: str


@dataclass(frozen=True, slots=True)
class Refused:
    """A refusal, and what it said about running."""

    request: str
    not_run: bool


@dataclass(frozen=True, slots=True)
class Run:
    """A run that an upstream saw."""

    at_ms: int
    upstream: str
    request: str
    repeatable: bool
    customer: str = ""


@dataclass(frozen=True, slots=True)
class ItemState:
    """One terminal state of one batch item, as read back."""

    job: str
    item: str
    state: str
    text: str = ""
    expected: str = ""


@dataclass(slots=True)
class Record:
    """All observations of one test."""

    answers: list[Answer] = field(default_factory=list)
    refusals: list[Refused] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    accepted_items: list[tuple[str, str]] = field(default_factory=list)
    """Job and item of everything acknowledged."""
    items: list[ItemState] = field(default_factory=list)
    admitted_ms: dict[str, list[int]] = field(default_factory=dict)
    """Customer to the times at which its requests were admitted, on any VM."""
    versions: dict[str, list[int]] = field(default_factory=dict)
    """VM to the configuration versions it had in force, in order."""
    received: list[bytes] = field(default_factory=list)
    """Everything any upstream received."""
    keys: list[str] = field(default_factory=list)
    """Every key that callers used."""
    leaving_ms: dict[str, int] = field(default_factory=dict)
    """Upstream to the time at which it was said to leave."""
