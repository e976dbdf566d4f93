"""Progress of a forwarded request."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class RequestProgress:
    """Progress of one request over all its runs."""

    attempted: set[str] = field(default_factory=set)
    """Names of the upstreams that may have run the request."""
    abandoned: list[str] = field(default_factory=list)
    """Names of the upstreams whose run was abandoned for silence and that may still resume it, in the
    order in which they were abandoned."""
    excluded: set[str] = field(default_factory=set)
    """Names of the upstreams at which the request is not placed: those that may have run it, and those
    that refused it since it last waited for a placement."""
    not_run_count: int = 0
    """Number of runs that certainly did not happen."""
    last_event: int = 0
    """Number of the last event passed on to the caller."""
    can_continue: bool = True
    """Whether a begun stream may be continued: it is known which software began it."""

    @property
    def attempts(self) -> int:
        """Return how many upstreams may have run the request."""
        return len(self.attempted)

    @property
    def may_have_run(self) -> bool:
        """Return whether any upstream may have run any part; if so, "not run" must not be reported."""
        return bool(self.attempted)
