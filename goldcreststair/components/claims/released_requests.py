"""Requests whose claims were released; request ids are never reused."""

from collections import OrderedDict

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.claims.const import MAX_RELEASED, RELEASED_RETENTION_MS


class ReleasedRequests:
    """Keeps releases for as long as an earlier claim message may still arrive."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty collection."""
        self._clock = clock
        self._released: OrderedDict[tuple[str, str], Millis] = OrderedDict()

    def add(self, requester: str, request_id: str) -> None:
        """Add a release, and drop those that are too old or beyond the bound, oldest first."""
        now = self._clock.now()
        self._released.pop((requester, request_id), None)
        self._released[(requester, request_id)] = now
        while self._released:
            oldest = next(iter(self._released.values()))
            if len(self._released) <= MAX_RELEASED and oldest + RELEASED_RETENTION_MS > now:
                return
            self._released.popitem(last=False)

    def contains(self, requester: str, request_id: str) -> bool:
        """Return whether the requester released this request recently."""
        return (requester, request_id) in self._released
