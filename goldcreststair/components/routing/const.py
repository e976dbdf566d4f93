"""Constants of routing."""

from typing import Final

SUBSET_SIZE: Final = 40
"""Upstreams of one model that one VM uses."""
MAX_IN_FLIGHT: Final = 64
"""Requests of this VM that may run at one upstream."""
MIN_LIMIT: Final = 4
"""Requests of this VM that may run at an upstream whose own queue is long."""
BOUND_FACTOR: Final = 1.25
"""The favourite takes a request while its load is at most so many times the mean."""
OWN_SLACK: Final = 1.0
"""Requests of this VM by which the favourite may always exceed the mean."""
BELIEVED_SLACK: Final = 4.0
"""Requests of all VMs, as believed, by which the favourite may always exceed the mean."""

REPORT_LIFETIME_MS: Final = 10_000
"""A report's word on other VMs' load fades to nothing over this time."""
REPORT_LAG_MS: Final = 1000
"""Assumed age of a report when it is read."""
HISTORY_MS: Final = 6000
BELIEF_LIFETIME_MS: Final = 120_000
MAX_BELIEFS: Final = 2000
"""Prefixes believed cached at one upstream."""

REFUSED_MS: Final = 1000
"""An upstream that refused gets no new work for so long."""

DEPARTURE_GRACE_MS: Final = 20_000
"""An upstream that the platform takes away serves for so long after its list says so."""

POLL_PERIOD_MS: Final = 1000
MAX_POLLS_PER_S: Final = 20
ASKED_LIFETIME_MS: Final = 60_000
"""Upstreams of a model are polled for so long after its last request."""
EVENT_PERIOD_POLLS: Final = 2
