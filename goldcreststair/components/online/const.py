"""Constants of online requests."""

from typing import Final

DEFAULT_DEADLINE_MS: Final = 60_000
MAX_ATTEMPTS: Final = 3
