"""Times and sizes of limits; docs/design/limits.md has the proof that rests on them."""

from typing import Final

STORE_RIGHT_MS: Final = 12_000
"""How long a home without supporters may spend after a store call confirmed it."""
SUPPORT_RIGHT_MS: Final = 5_000
"""How long a home with supporters may spend after they or the store confirmed it."""
LOT_LIFETIME_MS: Final = 2_000
"""How long a borrower may spend a lot, counted from when it asked."""
SUPPORTED_LIMIT_MS: Final = 420_000
"""How long a home may live on its supporters alone."""
RESERVE: Final = 0.1
"""Part that such a home leaves to a successor that cannot hear of its supporters."""
SUPPORT_INTERVAL_MS: Final = 1_000
SUPPORT_AFTER_MS: Final = 1_500
"""Age of the last store confirmation at which a home turns to its supporters."""
SUPPORTERS: Final = 3
MARGIN_DIVISOR: Final = 50
"""Observers of another clock wait a fiftieth longer: two clocks drifting 1% apart each."""
MARGIN_MS: Final = 100

ASK_INTERVAL_MS: Final = 100
ASK_TIMEOUT_MS: Final = 500
"""How long a home may be silent before an ask counts as unanswered."""
LOOK_MS: Final = 50
"""How often an ask without an answer is looked at."""
LATE_LOOK_MS: Final = 40
"""A look that comes so late means that this process stood still: silence is counted anew."""
ADMIT_WAIT_MS: Final = 150
"""Longest wait of a request for a home that left the last ask unanswered."""
OWNER_READ_INTERVAL_MS: Final = 1_000
"""Shortest time between two store reads for one customer's home."""
HOME_WAIT_MS: Final = 1_500
"""Longest wait of a request for a home that is slow, or on its way from one VM to another."""
FIRST_MOVING_ASK_MS: Final = 10
"""Pause after the first ask that met no home; doubled up to `ASK_INTERVAL_MS`."""
PREDECESSOR_WAIT_MS: Final = 300
"""How long a new home lets requests wait for its predecessor's buckets before it refuses."""
UNREACHABLE_RETRY_MS: Final = 300
PREFETCH_MS: Final = 200
DEMAND_WINDOW_MS: Final = 1_000
REPORT_INTERVAL_MS: Final = 300
IDLE_RETURN_MS: Final = 400
QUESTION_TIMEOUT_MS: Final = 500
QUESTION_INTERVAL_MS: Final = 1_000
COMMIT_TIMEOUT_MS: Final = 5_000

STATIC_FRACTION: Final = 0.1
FIRST_SLOTS: Final = 16
FIRST_SLOTS_PART: Final = 0.75

SUPPORTERS_RECORD: Final = "limits/supporters"


def wait_out(duration_ms: int) -> int:
    """Return how long to wait until another clock has certainly counted `duration_ms`.

    >>> wait_out(3000)
    3160
    """
    return duration_ms + duration_ms // MARGIN_DIVISOR + MARGIN_MS


FIRST_EPOCH: Final = 1
"""A partition's first owner has no predecessor."""
