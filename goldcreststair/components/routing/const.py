"""Constants of routing."""

from typing import Final

SUBSET_SIZE: Final = 40
"""Upstreams of one model that one VM uses."""
MAX_IN_FLIGHT: Final = 64
"""Limit on this VM's requests in flight at one upstream."""
MIN_LIMIT: Final = 4
"""Limit on this VM's requests in flight at an upstream whose own queue is long."""
BOUND_FACTOR: Final = 1.25
"""The preferred upstream takes a request while its load is at most this multiple of the mean."""
OWN_SLACK: Final = 1.0
"""Requests of this VM by which the preferred upstream may always exceed the mean."""
ESTIMATED_SLACK: Final = 4.0
"""Estimated requests of all VMs by which the preferred upstream may always exceed the mean."""

REPORT_LIFETIME_MS: Final = 10_000
"""The load of other VMs in a report is discounted linearly to zero over this time."""
REPORT_LAG_MS: Final = 1000
"""Assumed age of a report when it is read."""
HISTORY_MS: Final = 6000
CACHE_LIFETIME_MS: Final = 120_000
MAX_CACHED_PREFIXES: Final = 2000
"""Limit on the prefixes assumed cached at one upstream."""

REFUSED_MS: Final = 1000
"""How long an upstream that refused a request gets no new work."""

DEPARTURE_GRACE_MS: Final = 20_000
"""How long an upstream still serves after the platform lists it as leaving."""

POLL_PERIOD_MS: Final = 1000
MAX_POLLS_PER_S: Final = 20
MODEL_IDLE_MS: Final = 60_000
"""How long the upstreams of a model are polled after its last request."""
EVENT_PERIOD_POLLS: Final = 2
