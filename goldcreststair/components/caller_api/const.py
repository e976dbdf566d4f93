"""Constants of the callers' API."""

from typing import Final

BEARER: Final = "Bearer "
HEADER_DEADLINE: Final = "X-Deadline-Ms"
KEEP_ALIVE_MS: Final = 3000
KEEP_ALIVE_COMMENT: Final = b": keep-alive\n\n"

FORWARDED_HEADERS: Final = ("Accept", "Accept-Language", "Content-Language", "Content-Type")
"""The caller's headers that are forwarded to plain services; all others are dropped."""
IDENTIFYING_FIELDS: Final = ("user", "metadata")
"""Body fields that are dropped if they contain the caller's key."""
