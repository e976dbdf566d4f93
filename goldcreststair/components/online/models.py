"""Models of online requests."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from goldcreststair.components.keys.protocols import Identity


@dataclass(frozen=True, slots=True)
class GenerateRequest:
    """A caller's inference request."""

    request_id: str
    identity: Identity
    path: str
    body: bytes
    model: str
    stream: bool
    prefix: str = ""
    deadline_ms: int = 60_000
    """Time from arrival until the complete response is due."""
    idempotency_key: str = ""


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A caller's call of a plain service."""

    request_id: str
    identity: Identity
    service: str
    method: str
    path: str
    """Path at the service, including the query."""
    body: bytes
    repeatable: bool
    deadline_ms: int = 60_000
    idempotency_key: str = ""
    headers: Mapping[str, str] = field(default_factory=dict)
    """Only headers on the allow list."""
