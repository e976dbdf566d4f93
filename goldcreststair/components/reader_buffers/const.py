"""Bounds of the buffers for slow readers."""

from typing import Final

CONNECTION_BYTES: Final = 256 * 1024
"""Bytes held for one connection."""
MAX_DAEMON_BYTES: Final = 32 * 1024 * 1024
"""Bytes held for all connections, if the memory is large."""
MEMORY_SHARE: Final = 6
"""All connections together may hold the memory of the process divided by this."""
PAUSE_MS: Final = 1_500
"""Longest pause in reading from an upstream, which cuts an answer that is unread for some seconds."""
WRITE_BYTES: Final = 16 * 1024
"""Bytes passed to a connection at once; the connection reports only that all of them were accepted."""
MAX_STALL_MS: Final = 60_000
"""A reader that accepts nothing for this time is shed. The kernel reports progress of a reader at
1 KB/s in steps of up to 64 KB only, which a shorter time would take for a stall."""
ASSUMED_BYTES: Final = 64 * 1024
ASSUMED_MS: Final = 1_000
"""A reader is ranked as if it had accepted `ASSUMED_BYTES` in `ASSUMED_MS` before it was measured.
Otherwise one that has only just begun to lag would rank as the slowest."""
