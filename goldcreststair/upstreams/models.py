"""Calls to upstreams and what they answer."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum


class UpstreamKind(StrEnum):
    """What runs behind an upstream's address."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class Upstream:
    """One engine or plain service, as the configuration names it."""

    name: str
    address: str
    """HOST:PORT with an IP number."""
    data_centre: str
    kind: UpstreamKind = UpstreamKind.ENGINE
    models: tuple[str, ...] = ()
    """Models an engine shall serve."""
    service: str = ""
    """The service that a plain upstream serves."""
    checks_fencing: bool = True
    """Whether the engine refuses an order with an old fencing number."""
    adapters: tuple[str, ...] = ()
    """Adapters an engine shall serve, each as `MODEL:ADAPTER`; requests name them so as well."""
    role: str = ""
    """Role an engine shall have; empty wants no particular one."""

    @property
    def served_names(self) -> tuple[str, ...]:
        """What a request's `model` may name to run here: models and adapters."""
        return self.models + self.adapters


@dataclass(frozen=True, slots=True)
class GenerateCall:
    """One inference call to an engine."""

    request_id: str
    path: str
    """`/v1/chat/completions` or `/v1/completions`."""
    body: bytes
    """The caller's JSON, without anything that names the customer or the key."""
    stream: bool
    """Whether tokens come one by one; else the whole JSON answer at once."""
    timeout_ms: int
    resume_after: int = -1
    """Index of the last token already received; -1 starts anew."""
    prior: str = ""
    """Text of the tokens up to `resume_after`, for an engine that never saw the request."""


@dataclass(frozen=True, slots=True)
class GenerateEnd:
    """How a call ended well: its end marker was seen and its request id matched."""

    body: bytes
    """The whole JSON answer when not streamed, else empty."""
    tokens: int
    """Tokens of the answer that this call delivered."""
    last_index: int
    """Index of the last token of the whole answer."""


@dataclass(frozen=True, slots=True)
class StreamChunk:
    """Whole server-sent events, as many as arrived together."""

    data: bytes
    tokens: int
    last_index: int


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """One call to a plain service."""

    request_id: str
    method: str
    path: str
    body: bytes
    timeout_ms: int
    headers: Mapping[str, str] = field(default_factory=dict)
    """Allow-listed headers only."""


@dataclass(frozen=True, slots=True)
class ServiceResponse:
    """A plain service's whole answer."""

    status: int
    body: bytes
    content_type: str


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an engine says of itself; old by the time it is read."""

    sequence: int
    running: int
    waiting: int
    kv_used: int
    kv_total: int
    draining: bool
    models: tuple[str, ...]
    role: str = "mixed"
    fencing: int = 0
    """Highest fencing number the engine has seen."""
    adapters: tuple[str, ...] = ()
    """Adapters loaded, each as `MODEL:ADAPTER`."""
    versions: Mapping[str, str] = field(default_factory=dict)
    """Model to the version loaded."""
    in_use: tuple[str, ...] = ()
    """Models and adapters that running or waiting requests use."""


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One prompt prefix that an engine stored or evicted."""

    sequence: int
    prefix: str
    stored: bool


@dataclass(frozen=True, slots=True)
class Order:
    """One wanted state of an engine."""

    order_id: str
    fencing: int
    action: str
    """`load_model`, `unload_model`, `load_adapter`, `unload_adapter`, `set_version`, `set_role`."""
    target: str
    value: str = ""
