"""Thresholds and times of outlier ejection."""

from typing import Final

WINDOW_MS: Final = 4_000
"""Outcomes count for this long, and those of a silent daemon for this long after its last beacon."""
MIN_FAILURES: Final = 4
"""Least failures in the window of an upstream that is ejected for its failure share."""
MIN_FAILURE_SHARE: Final = 0.3
RELATIVE_SHARE: Final = 3.0
"""An ejected upstream fails this many times as often as the other upstreams of its service."""
ROW_FAILURES: Final = 3
"""Consecutive failures at one daemon for which it ejects an upstream."""
ROW_MS: Final = 2_000
"""Time within which these failures happen."""
SETTLE_MS: Final = 500
"""An upstream is ejected for its share only after its failures have been known for this long.

Daemons report an upstream only from its first known failure on. Until their reports have arrived (200
to 300 ms each way through relays), the known share is that of the failures only.
"""

SLOW_FACTOR: Final = 4.0
"""A first event after this many times the service's median counts as a failure."""
SLOW_MIN_MS: Final = 200
"""A first event within this time never does: callers' objectives are about 300 ms."""
FIRST_EVENT_SAMPLES: Final = 64
"""First events of each service whose median is used."""
MIN_SAMPLES: Final = 8
"""Below this number of first events none counts as slow: their median means little."""

EJECTION_MS: Final = 1_500
MAX_EJECTION_MS: Final = 12_000
EJECTION_JITTER: Final = 0.1
"""Largest share by which an ejection is shortened at random."""
LEVEL_RESET_MS: Final = 12_000
"""An ejection this long after the upstream was restored is a first one again."""
MAX_EJECTED_SHARE: Final = 0.3
"""Largest share of a service's upstreams that is ejected or half-open at a time; at least one."""

TRIAL_DAEMONS: Final = 4
"""Daemons that send requests to a half-open upstream, one at a time each."""
TRIAL_SUCCESSES: Final = 3
"""Successes across the fleet that restore a half-open upstream."""

MAX_REPORTED: Final = 8
"""Most upstreams whose outcomes one beacon carries, those with the most failures first."""
TICK_MS: Final = 100
"""Interval of the checks for what other daemons report and for ejections that end."""
