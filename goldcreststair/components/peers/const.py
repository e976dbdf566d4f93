"""Constants of the links to other daemons."""

from typing import Final

HEARTBEAT_MS: Final = 1500
SILENCE_TIMEOUT_MS: Final = 3 * HEARTBEAT_MS + HEARTBEAT_MS // 2
"""A link that received nothing for this long is closed; the next message opens a new one."""
IDLE_TIMEOUT_MS: Final = 30_000
"""A link that carried nothing but heartbeats for this long is closed."""
CONNECT_TIMEOUT_MS: Final = 1000
MAX_CONCURRENT_REQUESTS: Final = 256
"""Most requests of one link that are served at a time; others are refused."""
SERVED_TO_NON_MEMBERS: Final = frozenset((*range(1, 20), 80, 81))
"""Messages of membership and configuration, which make the sender known and bring it up to date."""
MAX_HELLO_BYTES: Final = 4 * 1024
MAX_NON_MEMBER_BYTES: Final = 128 * 1024
"""Longest message of a session that is not a member; each byte may be an entry of a list."""
