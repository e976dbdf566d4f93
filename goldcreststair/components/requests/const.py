"""Times of callers' requests."""

from typing import Final

DEFAULT_DEADLINE_MS: Final = 60_000
"""For callers that name none, on routes without a timeout."""
READY_RETRY_MS: Final = 500
"""When to come back to a VM that has no catalogue yet or is cut off."""
