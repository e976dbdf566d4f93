"""Times and sizes of limits; the proof in docs/design/limits.md depends on them."""

from typing import Final

STORE_LEASE_MS: Final = 12_000
"""Lease of a coordinator without supporters, from its last confirmation by the store."""
SUPPORT_LEASE_MS: Final = 5_000
"""Lease of a coordinator with supporters, from its last confirmation by them or the store."""
GRANT_LIFETIME_MS: Final = 2_000
"""How long a VM may spend the tokens of a grant, from when it sent the request."""
MAX_SUPPORTED_MS: Final = 420_000
"""How long supporters may extend a lease without a confirmation by the store."""
SUCCESSOR_RESERVE: Final = 0.1
"""Fraction of a limit that such a coordinator leaves unused.

A successor that cannot reach the supporters may use it.
"""
SUPPORT_INTERVAL_MS: Final = 1_000
SUPPORT_AFTER_MS: Final = 1_500
"""Age of the last confirmation by the store at which a coordinator asks its supporters."""
SUPPORTERS: Final = 3
MARGIN_DIVISOR: Final = 50
"""A wait for a time on another VM's clock is a fiftieth longer, as each clock may drift by 1%."""
MARGIN_MS: Final = 100

REQUEST_INTERVAL_MS: Final = 100
REQUEST_TIMEOUT_MS: Final = 500
"""How long a coordinator may be silent before a token request counts as unanswered."""
CHECK_INTERVAL_MS: Final = 50
"""Time between two checks of an unanswered token request."""
LATE_CHECK_MS: Final = 40
"""A check that is later than this means that this process was paused: the timeout starts anew."""
ADMIT_WAIT_MS: Final = 150
"""Longest wait of a request for a coordinator that left the last token request unanswered."""
OWNER_READ_INTERVAL_MS: Final = 1_000
"""Shortest time between two store reads of one customer's coordinator."""
COORDINATOR_WAIT_MS: Final = 1_500
"""Longest wait of a request for a coordinator that is slow or is moving to another VM."""
FIRST_MOVING_INTERVAL_MS: Final = 10
"""Delay after the first token request that found no coordinator.

It doubles up to `REQUEST_INTERVAL_MS`.
"""
PREDECESSOR_WAIT_MS: Final = 300
"""How long a new coordinator lets requests wait for the buckets of its predecessor."""
HANDOVER_POLL_MS: Final = 10
UNREACHABLE_RETRY_MS: Final = 300
PREFETCH_MS: Final = 200
DEMAND_WINDOW_MS: Final = 1_000
REPORT_INTERVAL_MS: Final = 300
IDLE_RETURN_MS: Final = 400
PEER_TIMEOUT_MS: Final = 500
RENOUNCE_INTERVAL_MS: Final = 1_000
COMMIT_TIMEOUT_MS: Final = 5_000

STATIC_FRACTION: Final = 0.1
"""Fraction of a limit that is divided statically among the slots of all VMs."""
FIRST_SLOTS: Final = 16
FIRST_SLOTS_FRACTION: Final = 0.75
"""Fraction of the static share that belongs to the first slots."""

SUPPORTERS_RECORD: Final = "limits/supporters"


def wait_out(duration_ms: int) -> int:
    """Return how long to wait until another clock has certainly counted `duration_ms`.

    >>> wait_out(3000)
    3160
    """
    return duration_ms + duration_ms // MARGIN_DIVISOR + MARGIN_MS


FIRST_EPOCH: Final = 1
"""A partition's first owner has no predecessor."""
NO_EPOCH: Final = -1
