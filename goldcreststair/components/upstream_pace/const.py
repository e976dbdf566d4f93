"""Bounds and time constants of the pace of upstreams."""

from typing import Final

MIN_PERCENT: Final = 10
MAX_PERCENT: Final = 1_000
"""A reported figure outside these bounds is an error of the upstream and is ignored."""
MIN_FACTOR: Final = 0.5
MAX_FACTOR: Final = 4.0
"""Bounds of the factor, so that no figure excludes an upstream or attracts all requests to it."""

APPROACH_MS: Final = 300.0
"""Time constant with which a factor approaches the newest figure. Slow phases last about 600 ms, and
a shorter time constant would let all daemons follow each single figure at once."""
DOUBLING_MS: Final = 250.0
"""A factor changes by at most a factor of 2 in this time."""
REPORTED_DECAY_MS: Final = 600.0
"""Time constant with which a reported figure loses its effect: upstreams' pace changes about as
often."""
LEARNED_DECAY_MS: Final = 10_000.0
"""The same for a learned figure: a daemon has a run at each upstream every few seconds."""
STEP_MS: Final = 25
"""Factors are updated at most this often; short compared with the time constants."""
SETTLED: Final = 0.02
"""A factor this close to 1 is set to 1, so that upstreams of usual pace cost no time per decision."""

SMOOTHING: Final = 0.3
"""Weight of a new run in an upstream's own averages: about the last three runs count."""
MIN_COMPARED: Final = 3
"""Number of upstreams with measured runs from which a median is meaningful."""
LEARNED_FORGET_MS: Final = 20_000
"""Averages without a new run for this long are left out of the median."""

SHARED_PACES: Final = 8
"""Most figures in one beacon."""
SHARED_DEVIATION: Final = 15
"""Figures that differ from 100, or from what the fleet already knows, by less are not sent."""
SHARED_AGE_MS: Final = 1_000
"""Older figures are not sent: they have lost four fifths of their effect."""
SHARE_INTERVAL_MS: Final = 400
"""Shortest time between two beacons with figures."""
REPEAT_MS: Final = 600
"""A figure that the fleet knows is sent again after this time only. Otherwise every daemon would send
the same figures, and the digests of 34 daemons would exceed 200 B/s for them."""
RELAYED_AGE_MS: Final = 150
"""Added to the age of figures that a relay passed on: beacon and digest each wait up to 100 ms."""
WAITING_VALID_MS: Final = 500
"""A reported number of waiting requests is valid for this long: about half of the requests that
waited then have started since."""

SLOW_FACTOR: Final = 1.5
"""From this factor on an upstream counts as slow in the metrics."""
