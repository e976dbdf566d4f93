"""Constants of membership."""

from typing import Final

ROW_SESSION: Final = "session/"
ROW_SLOT: Final = "slot/"

SESSION_HEARTBEAT_MS: Final = 10_000
"""Interval between two writes of this VM's session row."""
RETRY_MS: Final = 1000
"""Delay before a failed store call is retried."""
EXPIRY_MS: Final = 30_000
"""A session has expired if its row did not change for this long, counting only the time that the
observer covered by successful reads."""
WATCH_MS: Final = 10_000
"""Interval between two reads of the watched rows."""
SMALL_FLEET: Final = 16
"""Number of members up to which every VM scans all rows."""
SMALL_WATCH_MS: Final = 5000
FULL_SCAN_MS: Final = 600_000
"""Interval between two scans of all rows in a large fleet."""
WATCHED_ROWS: Final = 3
"""Number of rows that each VM watches, and so of watchers of each row."""
PAGE_ROWS: Final = 1000

SLOT_GRACE_MS: Final = 60_000
"""How long a slot stays reserved after its session has ended, until granted leases expire."""
SLOT_LEASE_MS: Final = 80_000
"""How long a VM may use its slot after the store confirmed its session; expiry and grace period
together are 90 s, and the difference allows for clock drift."""
SLOT_CLEANUP_MS: Final = 30_000

GOSSIP_MS: Final = 1000
GOSSIP_FANOUT: Final = 2
"""Partners that each regular gossip message goes to; a change goes to all of them at once."""
PARTNERS: Final = 6
RING_PARTNERS: Final = 2
COALESCE_MS: Final = 20
"""How long a change waits so that others are sent in the same message."""
MAX_GOSSIP_ENTRIES: Final = 200
MAX_LOAD_ENTRIES: Final = 24
FETCH_MS: Final = 10_000
"""Minimum time between two fetches of a peer's whole state."""
FETCH_TIMEOUT_MS: Final = 2000
TOMBSTONE_MS: Final = 600_000
EXPIRED_ITEM_MS: Final = 60_000
"""How long an expired item is remembered, so that a copy from a slower VM does not add it again."""

PROBE_MS: Final = 1000
"""Interval between two probes of the ring successors."""
PROBE_TIMEOUT_MS: Final = 2000
PROBE_ROUNDS: Final = 2
"""Successive probes that must find the process gone before its session is ended early."""
WITNESSES: Final = 3
MIN_WITNESSES: Final = 2
"""Other members, of the `WITNESSES` asked, that must find the process gone as well."""

STORE_SILENT_MS: Final = 15_000
"""A VM counts as cut off from the store after this time without a response."""
