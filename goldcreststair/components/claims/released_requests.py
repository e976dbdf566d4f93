"""Requests whose askers gave their claims back; request ids are never used again."""

from collections import OrderedDict

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.claims.const import MAX_RELEASED, RELEASED_KEEP_MS


class ReleasedRequests:
    """Remembers releases for as long as a message of before may still arrive."""

    def __init__(self, clock: Clock) -> None:
        """Start with none."""
        self._clock = clock
        self._released: OrderedDict[tuple[str, str], Millis] = OrderedDict()

    def add(self, asker: str, request_id: str) -> None:
        """Remember one release; the oldest go first beyond the bound."""
        now = self._clock.now()
        self._released.pop((asker, request_id), None)
        self._released[(asker, request_id)] = now
        while self._released:
            oldest = next(iter(self._released.values()))
            if len(self._released) <= MAX_RELEASED and oldest + RELEASED_KEEP_MS > now:
                return
            self._released.popitem(last=False)

    def contains(self, asker: str, request_id: str) -> bool:
        """Return whether this request was released by its asker lately."""
        return (asker, request_id) in self._released
