"""Record of what a test observed from outside, independent of the system's own state."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer to one caller's request."""

    request: str
    customer: str
    text: str
    expected: str


@dataclass(frozen=True, slots=True)
class RefusalRecord:
    """A refusal and its `not_run`."""

    request: str
    not_run: bool


@dataclass(frozen=True, slots=True)
class Run:
    """A run that an upstream received."""

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
    refusals: list[RefusalRecord] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    accepted_items: list[tuple[str, str]] = field(default_factory=list)
    """Job and item id of all accepted items."""
    items: list[ItemState] = field(default_factory=list)
    admitted_ms: dict[str, list[int]] = field(default_factory=dict)
    """Customer -> times at which its requests were admitted, on any VM."""
    versions: dict[str, list[int]] = field(default_factory=dict)
    """VM -> configuration versions that it had in force, in order."""
    received: list[bytes] = field(default_factory=list)
    """All bytes that upstreams received."""
    keys: list[str] = field(default_factory=list)
    """All keys that callers used."""
    leaving_ms: dict[str, int] = field(default_factory=dict)
    """Upstream -> time at which it was reported as leaving."""
