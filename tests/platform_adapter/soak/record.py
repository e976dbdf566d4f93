"""Observations of one soak by callers, upstreams and proxies; times are in s of one monotonic clock."""

from dataclasses import dataclass, field
from typing import Final

from standins.crash_rules import CrashRecord

GRACE_S: Final = 8.0
MAX_ATTEMPTS: Final = {"stream": 2, "once": 1, "call": 1, "batch": 3}
REPEATABLE: Final = frozenset(("stream", "call", "batch"))


@dataclass(frozen=True, slots=True)
class Exchange:
    """One request as its caller saw it."""

    request: str
    route: str
    daemon: str
    sent_at: float
    ended_at: float
    deadline_at: float
    status: int = 0
    """0 if there was no readable head."""
    whole: bool = False
    """Whether the answer was complete according to its framing."""
    body: bytes = b""
    expected: bytes = b""
    cut: bool = False
    """Whether a proxy disturbed the caller's own connection."""
    begun_as: str = ""
    """The attempt that brought the first event, if this one takes up its stream."""
    software: str = ""
    """Software version of the events that earlier attempts brought."""
    first_part: str = ""
    """First part of the prompt."""
    body_sent_at: float = 0.0
    """When the last byte was sent, if later than the head."""

    @property
    def stream(self) -> str:
        """Return the name of the stream, the same for all attempts of its caller."""
        return self.begun_as or self.request


@dataclass(slots=True)
class Attempt:
    """One request that a daemon sent on a connection to an upstream."""

    request: str
    upstream: str
    at: float
    broken_at: float = float("inf")
    """When the proxy reset the connection after the request was sent."""

    @property
    def broken(self) -> bool:
        """Return whether the proxy reset the connection."""
        return self.broken_at < float("inf")


@dataclass(slots=True)
class Run:
    """One request that an upstream read completely and began."""

    request: str
    upstream: str
    at: float
    ended_at: float = float("inf")


@dataclass(frozen=True, slots=True)
class Item:
    """One batch item, accepted or listed, with its text."""

    job: str
    item: str
    text: str
    done: bool = True


@dataclass(frozen=True, slots=True)
class Signal:
    """A SIGTERM, or an injected SIGKILL."""

    daemon: str
    at: float


@dataclass(slots=True)
class Absence:
    """A period in which a daemon's process did not run or was not ready."""

    daemon: str
    since: float
    until: float = float("inf")


@dataclass(slots=True)
class Evacuation:
    """A period in which an upstream's data centre was evacuated, starting when the store acknowledged it."""

    upstream: str
    since: float
    until: float = float("inf")


@dataclass(slots=True)
class Lifetime:
    """A period in which an upstream was listed and ran one software version."""

    upstream: str
    software: str
    since: float
    until: float = float("inf")


@dataclass(slots=True)
class Record:
    """All observations of one soak."""

    exchanges: list[Exchange] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    accepted: list[Item] = field(default_factory=list)
    listed: list[Item] = field(default_factory=list)
    kills: list[Signal] = field(default_factory=list)
    stops: list[Signal] = field(default_factory=list)
    absences: list[Absence] = field(default_factory=list)
    evacuations: list[Evacuation] = field(default_factory=list)
    lifetimes: list[Lifetime] = field(default_factory=list)
    pauses: list[Absence] = field(default_factory=list)
    refusals: list[Run] = field(default_factory=list)
    """Requests that upstreams refused as not run."""
    broken_off: list[Run] = field(default_factory=list)
    """Requests whose answer an upstream broke off in the middle of its first event."""
    failed: list[Run] = field(default_factory=list)
    """Requests that failed after an upstream had begun them."""
    store_faults: list[Absence] = field(default_factory=list)
    """Disturbances of a daemon's connections to the store."""
    caller_delays: list[Absence] = field(default_factory=list)
    """Periods in which a proxy delayed what callers sent to a daemon, and its answers."""
    crash: CrashRecord = field(default_factory=CrashRecord)
    """Requests with prompt parts that crash upstreams; times are in s here as well."""
    crash_senders: dict[str, str] = field(default_factory=dict)
    """The daemon that got each of these requests, by request id."""
    removed_items: list[str] = field(default_factory=list)
    """Accepted items of a customer that was then removed from the configuration."""
    customer_returned_at: float = 0.0
    """When that customer was added again."""
    foreign_entries: int = 0
    """Rows that another writer has put into the table of upstreams."""
    began_at: float = 0.0
    """When all daemons were ready for the first time."""
