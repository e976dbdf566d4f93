"""Calls to upstreams and their results."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum


class UpstreamKind(StrEnum):
    """Kind of server behind an upstream's address."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class Upstream:
    """One engine or plain service, as configured."""

    name: str
    address: str
    """HOST:PORT with an IP address."""
    data_centre: str
    kind: UpstreamKind = UpstreamKind.ENGINE
    models: tuple[str, ...] = ()
    """Models that an engine is to serve."""
    service: str = ""
    """Name of the service that a plain upstream serves."""
    checks_fencing: bool = True
    """Whether the engine refuses an order with an old fencing token."""
    adapters: tuple[str, ...] = ()
    """Adapters that an engine is to serve, each as `MODEL:ADAPTER`, the form used in requests as well."""
    role: str = ""
    """Desired role of an engine; empty for no particular one."""

    @property
    def served_names(self) -> tuple[str, ...]:
        """Values of a request's `model` field that this upstream serves: models and adapters."""
        return self.models + self.adapters


@dataclass(frozen=True, slots=True)
class GenerateCall:
    """One inference call to an engine."""

    request_id: str
    path: str
    """`/v1/chat/completions` or `/v1/completions`."""
    body: bytes
    """The caller's JSON, without anything that identifies the customer or the key."""
    stream: bool
    """Whether tokens are streamed; otherwise the complete JSON answer is sent at once."""
    timeout_ms: int
    resume_after: int = -1
    """Index of the last token already received; -1 runs from the start."""
    prior: str = ""
    """Text of the tokens up to `resume_after`, for an engine that has not run the request before."""
    software_version: str | None = None
    """Software version that produced those tokens; an answer of another one is not accepted. None if
    there are none."""


@dataclass(frozen=True, slots=True)
class GenerateEnd:
    """Result of a successful call: its end marker was received and its request id matched."""

    body: bytes
    """The complete JSON answer if not streamed, else empty."""
    tokens: int
    """Number of tokens that this call delivered."""
    last_index: int
    """Index of the last token of the complete answer."""


@dataclass(frozen=True, slots=True)
class StreamChunk:
    """Complete server-sent events that arrived together."""

    data: bytes
    tokens: int
    last_index: int
    software_version: str = ""
    """Software version of the engine, as its answer names it; empty if it names none."""


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
    """The complete HTTP response of a plain service."""

    status: int
    body: bytes
    content_type: str


@dataclass(frozen=True, slots=True)
class LoadReport:
    """State that an engine reports; it is already outdated when it is read."""

    sequence: int
    running: int
    waiting: int
    kv_used: int
    kv_total: int
    draining: bool
    models: tuple[str, ...]
    role: str = "mixed"
    fencing: int = 0
    """Highest fencing token that the engine has seen."""
    adapters: tuple[str, ...] = ()
    """Loaded adapters, each as `MODEL:ADAPTER`."""
    versions: Mapping[str, str] = field(default_factory=dict)
    """Loaded version of each model."""
    in_use: tuple[str, ...] = ()
    """Models and adapters that running or waiting requests use."""
    software_version: str = ""
    """Version of the engine's software, not of its models; empty if it reports none."""


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One prompt prefix that an engine stored or evicted."""

    sequence: int
    prefix: str
    stored: bool


@dataclass(frozen=True, slots=True)
class Order:
    """An order to change the state of an engine."""

    order_id: str
    fencing: int
    action: str
    """`load_model`, `unload_model`, `load_adapter`, `unload_adapter`, `set_version`, `set_role`."""
    target: str
    value: str = ""
