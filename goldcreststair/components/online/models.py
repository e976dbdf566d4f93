"""Online requests."""

from collections.abc import Mapping
from dataclasses import dataclass, field

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
