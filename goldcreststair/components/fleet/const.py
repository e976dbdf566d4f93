"""Intervals and timeouts of the fleet.

Beacons are cheap datagrams that show that a daemon is alive. Heartbeat rows in the store decide
whether a silent daemon is gone.
"""

from typing import Final

BEACON_INTERVAL_MS: Final = 250
"""Longest time between two beacons of a daemon; it stays responsive when four datagrams in a row
are lost."""
NEW_DAEMON_MS: Final = 3_000
"""A daemon says in its beacons for how long it has run until it has run for this long."""
BEACON_MIN_GAP_MS: Final = 20
"""Changes within this time share a beacon; at 80 requests/s over 11 VMs, two changes arrive in
it."""
MAX_UNLISTED_DATAGRAM_BYTES: Final = 1_400
"""Longest datagram from an address that is not another daemon's; the first beacons of a new daemon are far
shorter. Each byte may cost a microsecond to decode."""
MAX_MESH_PEERS: Final = 24
"""Up to this many other daemons, every daemon sends its beacons to every other one. In a larger
fleet, relays aggregate each data centre."""
RELAYED_MIN_GAP_MS: Final = 50
"""Replaces `BEACON_MIN_GAP_MS` where relays are used: half the age that a digest has anyway."""
RELAYED_TICK_MS: Final = 150
"""Replaces `TICK_MS` where relays are used: each tick iterates over hundreds of daemons."""
STANDBY_GAP_MS: Final = 200
"""Interval of beacons to the second relay; its load view stays recent enough to take over."""
DIGEST_GAP_MS: Final = 100
"""Pause between two digests; an upstream of eight slots begins one or two requests in it."""
DIGEST_IDLE_MS: Final = 200
"""Pause between two digests while nothing changes."""
REACHABLE_RESEND_MS: Final = 500
"""How often a digest lists the reachable daemons even if they have not changed."""
COUNTER_RESEND_MS: Final = 1_000
"""A counter is repeated in digests for this long after it changed, so that nine digests in a row
may be lost."""
FOLLOWER_TIMEOUT_MS: Final = 1_200
"""A relay sends digests to a daemon for this long after the daemon last asked for them."""
MEMBER_TIMEOUT_MS: Final = 900
"""A relay counts a daemon of its data centre as reachable for this long after a beacon; three may
be lost."""
REMOTE_TIMEOUT_MS: Final = 1_200
"""A digest from a relay of another data centre is valid for this long; by then another relay has
taken over."""
REMOTE_UNRESPONSIVE_MS: Final = 450
"""After this time without a digest from a data centre, its share of each quota is left to its own
daemons: until a network partition shows, both sides spend the whole quota. Two digests in a row are
lost now and then, three seldom are."""
RELAY_TIMEOUT_MS: Final = 450
"""A relay that sent no digest for this long is replaced by the next one: two digests are lost, or
its process is paused."""
RELAY_FIRST_DIGEST_MS: Final = 300
"""A newly chosen relay sends its first digest within one pause between digests; otherwise the next
relay is tried."""
RELAY_EXCLUSION_MS: Final = 3_000
"""A relay that stopped answering is not chosen again for this long."""
RELAY_SETTLE_MS: Final = 3_000
"""The relay that ranks first is chosen again only after it has been known for this long."""
UNREACHABLE_MS: Final = 1_200
"""A daemon without a beacon for this long is not offered to callers, as their first attempt would
hang for a second."""
RUNS_VALID_MS: Final = 1_500
"""The runs that a daemon reported are counted for this long; its streams end soon after it does."""

HEARTBEAT_MS: Final = 1_000
"""Interval between writes of a daemon's heartbeat row in a small fleet."""
HEARTBEATS_PER_S: Final = 100
"""Most heartbeat writes of all daemons together; in a large fleet each daemon writes less often."""
HEARTBEAT_READ_MS: Final = 600
"""Interval between reads of the heartbeats while a daemon is unresponsive."""
FEED_DELAY_PER_DAEMON_MS: Final = 1
"""Changes of the session list are collected for this long, multiplied by the number of daemons."""
MAX_FEED_DELAY_MS: Final = 500
UNRESPONSIVE_MS: Final = 600
"""A daemon without a beacon for this long has its heartbeat read, before it becomes unreachable to
callers, and its share of quotas is left to it. Until then two daemons that lose contact with each
other both spend that share."""
ISOLATED_MS: Final = 1_500
"""A daemon that has contact with neither the store nor a peer for this long accepts no requests:
its keys may have been withdrawn, and the other daemons will soon take over its share of quotas."""
LOST_MS: Final = 2_000
"""A daemon that sends no beacon and whose heartbeat does not change for this long admits nothing
any more. Longer than `ISOLATED_MS`, so that it has stopped before others use its share."""
AGREEMENT_GRACE_MS: Final = 400
"""Daemons may differ for this long in whom they can reach: they notice a silent daemon one after
the other, within a beacon interval, and report it with their next beacon."""
EXPIRE_MS: Final = 7_000
"""The session of a silent daemon is removed from the store after this long."""
PAUSE_THRESHOLD_MS: Final = 600
"""A tick this late means that the process was paused; far above the pauses of a busy VM."""
TICK_MS: Final = 100

LEAVE_TIMEOUT_MS: Final = 400
"""How long a leaving daemon waits for the store; its process is killed at the end of its grace
period."""

SESSION_PARTS: Final = 4
"""Number of store parts that sessions and heartbeats are spread over. A part runs one transaction
at a time, and all daemons of a starting fleet write their sessions at the same moment."""
TABLE_SESSIONS: Final = "vms"
TABLE_HEARTBEATS: Final = "vm_heartbeats"
FETCH_TIMEOUT_MS: Final = 1_000
"""Timeout for fetching a catalogue from a peer."""
FETCH_RETRY_MS: Final = 500
"""Pause between two attempts to fetch the same catalogue from peers."""
STORE_HEAD_START_MS: Final = 300
"""How long a daemon waits for the store to deliver a version that a peer already has, before it
asks the peer."""
