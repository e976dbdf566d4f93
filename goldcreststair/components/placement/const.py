"""Weights and times of placement; all costs are in ms of a caller's wait."""

from typing import Final

DEFAULT_RUN_MS: Final = 800.0
"""Time a run holds its slot, until runs have been seen."""
DEFAULT_FIRST_MS: Final = 60.0
"""Time to the first event where a slot is free, until runs have been seen."""
SMOOTHING: Final = 0.1
"""Weight of one more run in both means: about the last ten count."""

PREEMPT_MS: Final = 20.0
"""Wait for a slot that batch gives up: one beacon, one closed connection and one engine step."""
OTHER_DATA_CENTRE_MS: Final = 2.0
"""Cost of another data centre: a round trip, and bytes between data centres are paid for."""
BUSY_MS: Final = 6.0
"""Cost of a full upstream against an empty one, by share of slots taken: with free slots they are
equally quick, but a full one is sooner overrun by requests that other VMs place meanwhile."""
UNCACHED_MS: Final = 3.0
"""Cost of an upstream that is unlikely to cache the prompt's beginning: about 200 tokens read."""
JITTER_MS: Final = 1.0
"""Keeps VMs that know the same from choosing the same upstream at the same moment."""

DOWN_MS: Final = 3_000
"""An upstream that did not accept a connection gets no work for so long, unless one opens."""
PROBE_MS: Final = 400
"""Pause between connections tried to an upstream that is down."""
SHED_MS: Final = 150
"""An upstream that was full gets no work for so long: about one run ends there meanwhile."""
DOUBT_MS: Final = 1_000
"""Word of another VM that an upstream is down counts for so long."""

HOLDER_REQUESTS: Final = 2
"""Requests a second that each daemon named for a cold upstream may send it, where there are enough daemons: two
more daemons that name themselves by an old list stay within what the upstream bears."""
COLD_SETTLE_MS: Final = 2_000
"""A daemon that has just started, or stood still, sends nothing to cold upstreams for so long."""
COLD_RETRY_MS: Final = 300
"""When to come back while only cold upstreams are left that others are named for."""
EVACUATED_RETRY_MS: Final = 1_500
"""When to come back while every upstream of a service is evacuated: that lasts seconds at least."""

BATCH_RESERVE: Final = 1
"""Slots of each upstream that batch leaves free, so that an online request finds one at once."""
BATCH_FREE_SHARE: Final = 0.15
"""Batch starts nothing while less than this share of a service's slots is free: in a burst the few
slots that come free are taken by the next requests, and each run that gives way at once has read
its prompt for nothing."""
BATCH_HOLD_MS: Final = 250
"""After batch gave up a slot at an upstream, none is taken there for so long: a burst goes on, and
each run that is taken up again reads its prompt and its output anew."""
DEFAULT_SLOTS: Final = 64
"""For upstreams that name none, such as plain services."""
CONNECTION_SHARE: Final = 0.9
"""Part of an upstream's connections that the daemons use together; the rest is for probes and for
daemons that just started."""
MIN_CONNECTIONS: Final = 2
"""Connections that a daemon may open to an upstream, however many daemons there are."""
