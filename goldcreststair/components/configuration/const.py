"""Constants of the configuration: row keys, times and bounds."""

from typing import Final

ROW_CURRENT: Final = "configuration/current"
ROW_HISTORY: Final = "configuration/version/"
DEFAULT_POLL_MS: Final = 5000
CATCH_UP_INTERVAL_MS: Final = 500
"""Time between two attempts to get a newer version that a peer has."""
FETCH_TIMEOUT_MS: Final = 1000
RECENT_PATCHES: Final = 64
"""Patch ids kept in the row, so that a patch sent again is recognised after later patches."""
HISTORY_VERSIONS: Final = 2000
"""Versions whose patches are kept in the store."""
MAX_PATCHES: Final = 100
"""Patches kept for peers, and read from the store at a time.

A VM that is further behind gets the whole document.
"""
EMPTY_DOCUMENT: Final[dict[str, object]] = {}
