"""Constants of the configuration."""

from typing import Final

ROW_CURRENT: Final = "configuration/current"
ROW_HISTORY: Final = "configuration/version/"
DEFAULT_POLL_MS: Final = 5000
CATCH_UP_MS: Final = 500
"""Time between two tries to catch up with a version that a peer has."""
FETCH_TIMEOUT_MS: Final = 1000
RECENT_PATCHES: Final = 64
"""Patch ids kept in the row, so that a patch sent again is known after others followed it."""
HISTORY_VERSIONS: Final = 2000
MAX_PATCHES: Final = 100
"""Patches kept for peers, and read from the store at a time; who is further behind takes all."""
EMPTY_DOCUMENT: Final[dict[str, object]] = {}
