"""How far a request has come."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class RequestProgress:
    """How far one request has come over all its runs."""

    attempts: int = 0
    """Upstreams that may have run it."""
    excluded: set[str] = field(default_factory=set)
    may_have_run: bool = False
    """Whether any upstream may have run any part; "not run" is untrue from then on."""
    last_event: int = 0
    """Number of the last event passed on."""
