"""Timeouts and intervals of request forwarding."""

from typing import Final

SILENCE_CHECK_MS: Final = 25
"""Interval between checks of the active runs for silence; a fifth of the shortest timeout."""
LATE_CHECK_MS: Final = 40
"""A check that is this late shows that this process was delayed in reading, not the upstream in
sending: the silence is measured anew from that check."""
GAP_TIMEOUT_MS: Final = 130
"""Silence between two events of a stream, while the upstream sends nothing else either, after which
the stream is resumed at another upstream. Events come every 30 ms, resuming takes 60 to 80 ms, and
callers accept a pause of 250 ms."""
BUSY_GAP_TIMEOUT_MS: Final = 600
"""Silence between two events while the upstream still sends to other runs: it may have suspended this
run for lack of memory, and resuming the stream elsewhere would not be faster."""
FIRST_EVENT_TIMEOUT_MS: Final = 150
"""Silence beyond the expected time to the first event, while the upstream sends nothing at all."""
BUSY_FIRST_EVENT_TIMEOUT_MS: Final = 1_000
"""Silence beyond the expected time to the first event while the upstream sends to other runs: the
request waits in the upstream's queue."""
BODY_TIMEOUT_MS: Final = 1_000
"""Least time that the body of an answer that is not streamed may take from its head on, before the request is sent
to another upstream; half of the time left then if that is longer."""
BODY_CHECK_MS: Final = 100
CONNECT_CHECK_TIMEOUT_MS: Final = 150
"""An upstream that accepts no connection within this time is considered down; one that is full still
accepts within a few ms."""
SETTLE_POLL_MS: Final = 25
"""Interval between admission attempts of a request while this daemon has just started and does not
receive the other daemons' beacons yet."""
PLACEMENT_RETRY_MS: Final = 50
"""Interval between placement attempts of a begun stream while no upstream can take it."""
MAX_PLACEMENT_DELAY_MS: Final = 400
"""Longest delay between two placements of a begun stream after many upstreams have refused it."""
NO_ALTERNATIVE_HOLD_MS: Final = 100
"""Time after which a silent run without an alternative upstream is checked for one again."""
MIN_REMAINING_MS: Final = 50
"""A run with less time before its deadline than this cannot return a first event."""
MIN_RETRY_AFTER_MS: Final = 200
"""Retry-after time for failures that another VM, or this one a moment later, may not have."""
