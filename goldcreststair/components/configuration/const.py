"""Constants of the configuration."""

from typing import Final

ROW_CURRENT: Final = "configuration/current"
DEFAULT_POLL_MS: Final = 5000
EMPTY_DOCUMENT: Final[dict[str, object]] = {}
