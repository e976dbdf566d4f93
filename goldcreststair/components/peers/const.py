"""Constants of the links to other daemons."""

from typing import Final

HEARTBEAT_MS: Final = 1500
SILENT_MS: Final = 3 * HEARTBEAT_MS + HEARTBEAT_MS // 2
"""A link on which nothing came for this long is left for a new one."""
IDLE_MS: Final = 30_000
"""A link that carried nothing but heartbeats for this long is closed."""
CONNECT_TIMEOUT_MS: Final = 1000
MAX_SERVED: Final = 256
"""Requests of one link that may be served at a time; more are refused."""
SERVED_TO_NON_MEMBERS: Final = frozenset((*range(1, 20), 80, 81))
"""Messages of membership and configuration, which make the sender known and bring it up to date."""
