"""How far a request has come."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class RequestProgress:
    """How far one request has come over all its runs."""

    ran: set[str] = field(default_factory=set)
    """Names of the upstreams that may have run it."""
    left: list[str] = field(default_factory=list)
    """Names of those whose run was left for its silence, and that may go on with it; first left first."""
    excluded: set[str] = field(default_factory=set)
    """Names of the upstreams that it is not placed at: those that may have run it, and those that turned
    it away since it last waited for a place."""
    turned_away: int = 0
    """Runs that certainly did not happen."""
    last_event: int = 0
    """Number of the last event passed on."""

    @property
    def attempts(self) -> int:
        """Return how many upstreams may have run it."""
        return len(self.ran)

    @property
    def may_have_run(self) -> bool:
        """Return whether any upstream may have run any part; "not run" is untrue from then on."""
        return bool(self.ran)
