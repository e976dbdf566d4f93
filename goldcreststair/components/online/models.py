"""Online requests."""

from dataclasses import dataclass

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
