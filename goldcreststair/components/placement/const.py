"""Weights and times of placement; costs are in ms of a caller's waiting time."""

from typing import Final

DEFAULT_RUN_MS: Final = 800.0
"""Assumed duration of a run until runs have been measured."""
DEFAULT_FIRST_MS: Final = 60.0
"""Assumed time to the first event at a free slot until runs have been measured."""
SMOOTHING: Final = 0.1
"""Weight of a new run in the moving averages of both times: about the last ten runs count."""

PREEMPT_MS: Final = 20.0
"""Wait for a slot freed by preempting a batch run: one beacon, one closed connection, one engine
step."""
OTHER_DATA_CENTRE_MS: Final = 2.0
"""Cost of an upstream in another data centre: a round trip, and traffic between data centres is
charged."""
BUSY_MS: Final = 6.0
"""Cost of a full upstream relative to an empty one, scaled by the share of slots in use. Upstreams
with free slots are equally fast, but one that is nearly full is sooner overloaded by requests that
other VMs place at the same time."""
SLOW_MS: Final = 6.0
"""Cost of a free slot where work takes twice as long as usual. The full time to the first event
would fill the other upstreams first, and more requests would find a queue there."""
UNCACHED_MS: Final = 3.0
"""Cost of an upstream that is unlikely to have the prompt prefix cached: prefill of about 200
tokens."""
JITTER_MS: Final = 1.0
"""Keeps VMs with the same view from choosing the same upstream at the same moment."""

DOWN_MS: Final = 3_000
"""How long an upstream that did not accept a connection gets no work, unless one succeeds before."""
PROBE_MS: Final = 400
"""Interval between connection attempts to an upstream that is down."""
FULL_MS: Final = 150
"""How long an upstream that was full gets no work: about one run ends there in this time."""
REGISTRATION_MS: Final = 1_000
"""Time after which the new entry of an upstream that has restarted is known, while the store answers."""
SUSPECT_MS: Final = 1_000
"""How long another VM's report that an upstream is down is honoured."""

REQUESTS_PER_SENDER: Final = 2
"""Requests per second that each sender may send to a cold upstream, if there are enough daemons.
With this rate, two additional daemons that select themselves from an outdated list stay within what
the upstream tolerates."""
COLD_SETTLE_MS: Final = 2_000
"""How long a daemon sends nothing to cold upstreams after its start or a pause of its process."""
COLD_RETRY_MS: Final = 300
"""Retry time while only cold upstreams are left to which this daemon may send no more requests."""
EVACUATED_RETRY_MS: Final = 1_500
"""Retry time while all upstreams of a service are evacuated, which lasts at least some seconds."""

BATCH_RESERVE: Final = 1
"""Slots of each upstream that batch leaves free, so that online requests find a free slot."""
BATCH_FREE_SHARE: Final = 0.15
"""Batch starts no runs while less than this share of a service's slots is free. In a burst the few
slots that become free are needed by the next online requests, and a batch run that is preempted at
once has wasted its prefill."""
BATCH_HOLD_MS: Final = 250
"""How long batch starts no run at an upstream after a preemption there. The burst is probably not
over, and each resumed run has to prefill its prompt and its previous output again."""
DEFAULT_SLOTS: Final = 64
"""Slots of upstreams that declare none, such as plain services."""
CONNECTION_SHARE: Final = 0.9
"""Share of an upstream's connections that all daemons together use; the rest is left for probes and
for daemons that have just started."""
MIN_CONNECTIONS: Final = 2
"""Connections to an upstream that each daemon may open regardless of the number of daemons."""
