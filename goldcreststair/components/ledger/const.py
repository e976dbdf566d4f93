"""Constants of the ledger."""

from typing import Final

ROW_PREFIX: Final = "partition/"
OBJECT_PREFIX: Final = "ledger/"

MAX_TAIL_BYTES: Final = 16 * 1024
"""Every commit rewrites the tail, so it is kept small; beyond it goes to a segment object."""
MAX_SEGMENTS: Final = 24
MIN_COMPACT_BYTES: Final = 512 * 1024
"""Segments are compacted when they outweigh the snapshot and this."""
MAX_ORPHANS: Final = 4
"""Attempts at one commit whose objects the owner after a killed one deletes."""
PIECE_RECORDS: Final = 500
"""Records that are encoded or decoded in one go on the loop."""
GARBAGE_GRACE_MS: Final = 60_000
"""How long superseded objects stay for loaders that still read them."""

FLEET_WRITES_PER_S: Final = 250
"""The ledger's part of the table service's several hundred writes a second."""
BURST_WRITES: Final = 8
"""Writes that a VM may make at once after a quiet time."""
FLEET_HANDOVERS_PER_S: Final = 25
"""Graceful hand-overs of the whole fleet; each costs a release, a claim and a load."""
CLAIMS_AT_ONCE: Final = 8
CLAIM_PAUSE_MS: Final = 20
"""Pause between two looks for more to claim while there is more."""

SWEEP_INTERVAL_MS: Final = 1000
FORMER_OWNER_MS: Final = 3000
"""How long the owner wanted before a change of members is asked first; it may not be done."""
CONFIRM_INTERVAL_MS: Final = 5000
"""Age at which ownership is confirmed by a read; a commit confirms as well."""
UNSEEN_GRACE_MS: Final = 30_000
"""How long a session that this VM never saw among the members counts as alive."""
FIRST_BACKOFF_MS: Final = 100
MAX_BACKOFF_MS: Final = 5000
