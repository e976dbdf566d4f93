"""Constants of the ledger."""

from typing import Final

ROW_PREFIX: Final = "partition/"
OBJECT_PREFIX: Final = "ledger/"

MAX_TAIL_BYTES: Final = 16 * 1024
"""Maximum size of the tail, which every commit rewrites; a larger one moves to a segment object."""
MAX_SEGMENTS: Final = 24
MIN_COMPACT_BYTES: Final = 512 * 1024
"""Segments are compacted when they are larger than both the snapshot and this."""
MAX_ORPHANS: Final = 4
"""Attempts at one commit whose objects the next owner deletes after an owner was killed."""
CHUNK_RECORDS: Final = 500
"""Records that are encoded or decoded before the event loop may run other tasks."""
GARBAGE_GRACE_MS: Final = 60_000
"""How long superseded objects are kept for VMs that are still loading them."""

FLEET_WRITES_PER_S: Final = 250
"""The ledger's share of the several hundred writes a second that the table service can take."""
BURST_WRITES: Final = 8
"""Writes that a VM may make at once after an idle period."""
FLEET_HANDOVERS_PER_S: Final = 25
"""Graceful handovers in the whole fleet; each costs a release, a claim and a load."""
MAX_CONCURRENT_CLAIMS: Final = 8
CLAIM_PAUSE_MS: Final = 20
"""Time between two sweeps while there are more partitions to claim."""

SWEEP_INTERVAL_MS: Final = 1000
FORMER_OWNER_MS: Final = 3000
"""How long requests still go to the previous desired owner after a change of members; it may not
have released the partition yet."""
CONFIRM_INTERVAL_MS: Final = 5000
"""Age of the last confirmation at which ownership is confirmed by a read; a commit confirms it as
well."""
UNSEEN_GRACE_MS: Final = 30_000
"""How long a session counts as alive that this VM has never seen among the members."""
FIRST_BACKOFF_MS: Final = 100
MAX_BACKOFF_MS: Final = 5000
