"""Times of callers' requests."""

from typing import Final

DEFAULT_DEADLINE_MS: Final = 60_000
"""Deadline of callers that send none, on routes without a timeout."""
NOT_READY_RETRY_MS: Final = 500
"""Retry-after time of a VM that has no catalogue yet or is isolated."""
STORE_DOWN_RETRY_FRACTION: Final = 0.3
"""Retry-after time as a fraction of the caller's deadline, while the store does not answer this VM: store
outages last seconds, and callers do not wait for longer than a third of their time."""
