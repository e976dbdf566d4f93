"""Constants of membership."""

from typing import Final

ROW_SESSION: Final = "session/"
ROW_SLOT: Final = "slot/"

BEAT_MS: Final = 10_000
"""Time between two writes of the own session row."""
RETRY_MS: Final = 1000
"""Time to the next try of a store call that failed."""
EXPIRY_MS: Final = 30_000
"""A row that did not move for this much of an observer's successful reads is expired."""
WATCH_MS: Final = 10_000
"""Time between two reads of the watched rows."""
SMALL_FLEET: Final = 16
"""Up to this many members every VM scans all rows."""
SMALL_WATCH_MS: Final = 5000
FULL_SCAN_MS: Final = 600_000
"""Time between two scans of all rows in a large fleet."""
WATCHED: Final = 3
"""Rows that one VM watches, so watchers of one row."""
PAGE_ROWS: Final = 1000

SLOT_GRACE_MS: Final = 60_000
"""How long a slot stays taken after its session has gone, for leases given out to run out."""
SLOT_RIGHT_MS: Final = 80_000
"""How long a VM may use its slot after the store confirmed its session; expiry and grace together
are 90 s, and the rest is for clock drift."""
JANITOR_MS: Final = 30_000

GOSSIP_MS: Final = 1000
GOSSIP_FANOUT: Final = 2
"""Partners that get each regular gossip; a change goes to all of them at once."""
PARTNERS: Final = 6
RING_PARTNERS: Final = 2
COALESCE_MS: Final = 20
"""How long a change waits for others to travel with it."""
MAX_GOSSIP_ENTRIES: Final = 200
MAX_LOAD_ENTRIES: Final = 24
FETCH_MS: Final = 10_000
"""Shortest time between two fetches of everything."""
FETCH_TIMEOUT_MS: Final = 2000
TOMBSTONE_MS: Final = 600_000
EXPIRED_ITEM_MS: Final = 60_000
"""How long an expired item is remembered, so that a slower VM's copy does not bring it back."""

PROBE_MS: Final = 1000
"""Time between two looks at the ring successors."""
PROBE_TIMEOUT_MS: Final = 2000
PROBE_ROUNDS: Final = 2
"""Looks in a row that must agree before a session is ended early."""
WITNESSES: Final = 3
MIN_WITNESSES: Final = 2
"""Other members that must find the process gone as well."""

STORE_SILENT_MS: Final = 15_000
"""No store answer for this long counts as cut off from the store."""
