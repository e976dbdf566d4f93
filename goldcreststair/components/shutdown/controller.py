"""Decides when this VM has to leave."""

from goldcreststair.clock import Millis
from goldcreststair.components.shutdown.const import LIST_LAG_MS
from goldcreststair.store.models import ListedState


class ListedLeaving:
    """Judges what the platform's lagging list says of this VM.

    >>> judge = ListedLeaving(Millis(0))
    >>> judge.observe(ListedState.LEAVING, Millis(5)), judge.observe(None, Millis(10))
    (False, False)
    >>> judge.observe(ListedState.LEAVING, Millis(15))
    True
    """

    def __init__(self, started_at: Millis) -> None:
        """Believe nothing yet."""
        self._started_at = started_at
        self._seen_staying = False

    def observe(self, state: ListedState | None, now: Millis) -> bool:
        """Take the listed state, None if not listed; returns whether this VM leaves."""
        if state is not ListedState.LEAVING:
            self._seen_staying = True
            return False
        # The list lags: a VM that took over the address of one that left would read the other's
        # state and leave at once. It is believed when it has changed, or has stood too long.
        return self._seen_staying or now - self._started_at > LIST_LAG_MS
