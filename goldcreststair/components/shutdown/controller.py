"""Decides from the platform's list when this VM has to leave."""

from goldcreststair.clock import Millis
from goldcreststair.components.shutdown.const import LIST_LAG_MS
from goldcreststair.store.models import ListedState


class ListedStateFilter:
    """Filters this VM's state in the platform's list, which lags.

    >>> listed_state = ListedStateFilter(Millis(0))
    >>> listed_state.observe(ListedState.LEAVING, Millis(5)), listed_state.observe(None, Millis(10))
    (False, False)
    >>> listed_state.observe(ListedState.LEAVING, Millis(15))
    True
    """

    def __init__(self, started_at: Millis) -> None:
        """Create the filter; `started_at` is the start of this daemon."""
        self._started_at = started_at
        self._seen_not_leaving = False

    def observe(self, state: ListedState | None, now: Millis) -> bool:
        """Record the listed state, None if not listed; returns whether this VM has to leave."""
        if state is not ListedState.LEAVING:
            self._seen_not_leaving = True
            return False
        # The list lags: a VM that has the address of one that left would see that VM's state and
        # leave at once. A leaving state counts only if another state was seen before it, or if this
        # daemon has run for longer than the lag.
        return self._seen_not_leaving or now - self._started_at > LIST_LAG_MS
