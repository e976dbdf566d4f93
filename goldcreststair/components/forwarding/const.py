"""Times of forwarding."""

from typing import Final

WATCH_MS: Final = 25
"""How often a run is looked at; a fifth of the shortest patience."""
LATE_TICK_MS: Final = 40
"""A look that comes so late means that this process was kept from reading, not the upstream from
sending: the silence is counted anew."""
GAP_PATIENCE_MS: Final = 130
"""Silence within a stream, while the upstream sends nothing else either, after which it goes on
elsewhere. Events come every 30 ms; taking a stream up again takes 60 to 80 ms, and callers count a
pause of 250 ms as good."""
GAP_LONG_MS: Final = 600
"""The same where the upstream goes on sending to others: it may have put this run aside for lack of
memory, which moving would not better."""
FIRST_PATIENCE_MS: Final = 150
"""Silence beyond the expected time to the first event, while the upstream sends nothing at all."""
FIRST_LONG_MS: Final = 1_000
"""The same where the upstream sends to others: the request waits in its queue."""
CHECK_TIMEOUT_MS: Final = 150
"""An upstream that accepts no connection within this time is gone: one that is full accepts in a few ms."""
SETTLE_LOOK_MS: Final = 25
"""How often a request is looked at whose daemon has just started and does not hear the others yet."""
PLACE_LOOK_MS: Final = 50
"""How often a begun stream that no upstream can take at this moment is placed again."""
MAX_PLACE_PAUSE_MS: Final = 400
"""Longest pause between two upstreams that a begun stream asks, when many have turned it away."""
STAY_MS: Final = 100
"""A silent run that has nowhere to go is not asked for so long whether it has."""
MIN_LEFT_MS: Final = 50
"""A run with less time left than this cannot bring a first event."""
DURATION_WINDOW_MS: Final = 10_000
"""The longest requests of this window of time and the one before are remembered."""
RETRY_NOW_MS: Final = 200
"""When to come back after a failure that another VM or the next moment may not have."""
