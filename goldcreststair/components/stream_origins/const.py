"""Times, limits and the table of stream origins."""

from typing import Final

TABLE_SOFTWARE: Final = "software_versions"

ORIGIN_MEMORY_MS: Final = 15_000
"""How long a daemon keeps the origin of a stream after it was last announced; callers that take up a
stream do so within their deadline of some seconds."""
RENEW_MS: Final = 5_000
"""Interval at which the origin of a stream that still runs is announced again."""
ANNOUNCE_MS: Final = 300
"""How long beacons repeat an origin: one or two of them may be lost, and the second relay of a data
centre gets one only every 200 ms."""
MAX_ANNOUNCED: Final = 100
"""Most streams in one beacon, which stays below the size of one network packet."""
MAX_KNOWN: Final = 200_000
"""Most streams whose origins are kept; the oldest are dropped beyond it. About 30 MB."""

SOFTWARE_MEMORY_MS: Final = 60_000
"""How long a version counts as a possible origin after its last upstream was listed; no shorter than the
longest request."""
SOFTWARE_FORGET_MS: Final = 3_600_000
"""A version without an upstream is dropped from the history after this long."""
WRITERS: Final = 3
"""Daemons that write a service's history to the store, one after the other if the first one does not."""
WRITER_GAP_MS: Final = 400
"""Head start of each of these daemons before the next one."""
WRITE_RETRY_MS: Final = 500
"""Pause before a failed write of a service's history is repeated."""
READ_TIMEOUT_MS: Final = 200
"""Time for the store to return the history while a caller waits."""

ASK_TIMEOUT_MS: Final = 200
"""Time for other daemons to report an origin; a daemon in the next data centre takes a few ms."""
MAX_ASKED: Final = 3
"""Daemons that are asked where every daemon receives all beacons."""
MAX_CONFIRMING: Final = 2
"""Daemons with access to the store that are asked for the versions that are listed now."""
STREAM_HASH_BYTES: Final = 8
