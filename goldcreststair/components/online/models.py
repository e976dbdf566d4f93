"""Online requests."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from goldcreststair.blackboard import SectionKey
from goldcreststair.components.keys.protocols import Identity


@dataclass(frozen=True, slots=True)
class GenerateRequest:
    """One inference request of a caller."""

    request_id: str
    identity: Identity
    path: str
    body: bytes
    model: str
    stream: bool
    prefix: str = ""
    deadline_ms: int = 60_000
    """Time from arrival within which the answer must be whole."""
    idempotency_key: str = ""


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """One call of a plain service."""

    request_id: str
    identity: Identity
    service: str
    method: str
    path: str
    """The service's own path, with its query."""
    body: bytes
    repeatable: bool
    deadline_ms: int = 60_000
    idempotency_key: str = ""
    headers: Mapping[str, str] = field(default_factory=dict)
    """Allow-listed headers only."""


@dataclass(frozen=True, slots=True)
class UpstreamPressure:
    """What this VM's online work meets at one upstream."""

    in_flight: int
    queue_ms: int
    """Wait beyond what an idle upstream would need, from times to first token; 0 for none."""


@dataclass(frozen=True, slots=True)
class OnlinePressure:
    """This VM's online work; changes at once when a burst begins, else a few times a second."""

    in_flight: int = 0
    by_upstream: Mapping[str, UpstreamPressure] = field(default_factory=dict)


ONLINE_PRESSURE: Final = SectionKey[OnlinePressure]("online_pressure")
