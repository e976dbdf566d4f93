"""Constants of the callers' interface."""

from typing import Final

BEARER: Final = "Bearer "
HEADER_DEADLINE: Final = "X-Deadline-Ms"
KEEP_ALIVE_MS: Final = 3000
KEEP_ALIVE_COMMENT: Final = b": keep-alive\n\n"

FORWARDED_HEADERS: Final = ("Accept", "Accept-Language", "Content-Language", "Content-Type")
"""All that plain services see of a caller's headers."""
FIELDS_NAMING_CALLERS: Final = ("user", "metadata")
"""Body fields that are dropped if they hold the key."""
