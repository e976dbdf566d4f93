"""Times of callers' requests."""

from typing import Final

DEFAULT_DEADLINE_MS: Final = 60_000
"""For callers that name none, on routes without a timeout."""
NOT_READY_RETRY_MS: Final = 500
"""When to come back to a VM that has no catalogue yet or is cut off."""
AWAY_RETRY_SHARE: Final = 0.3
"""The same as a share of what the caller has left, if the store does not answer the VM: its outages last
seconds, and callers do not wait longer than a third of their time."""
