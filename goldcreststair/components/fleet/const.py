"""Times of the fleet. Beacons are cheap and show life; the store settles who is gone."""

from typing import Final

BEACON_INTERVAL_MS: Final = 250
"""A daemon is heard at least so often; four lost datagrams in a row pass unnoticed."""
BEACON_MIN_GAP_MS: Final = 20
"""Changes within this time share a beacon: at 80 requests a second over 11 VMs two arrive in it."""
MESH_DAEMONS: Final = 24
"""Up to so many others each daemon tells every other; beyond, relays sum up a data centre each."""
RELAYED_MIN_GAP_MS: Final = 50
"""The same as `BEACON_MIN_GAP_MS` where relays sum up: half of what a digest is old anyway."""
RELAYED_TICK_MS: Final = 150
"""The same as `TICK_MS` there: each look goes through hundreds of daemons."""
STANDBY_GAP_MS: Final = 200
"""How often the second relay is told: it follows the load closely enough to take over."""
DIGEST_GAP_MS: Final = 100
"""Pause between two digests: an upstream of eight slots begins one or two requests meanwhile."""
DIGEST_IDLE_MS: Final = 200
"""The same while nothing changes."""
HEARD_RESENT_MS: Final = 500
"""How often a digest lists whom its relay hears, beside at each change."""
COUNTS_RESENT_MS: Final = 1_000
"""A counter that changed is told for so long: it outlasts nine lost digests."""
FOLLOWED_MS: Final = 1_200
"""A relay sends digests for so long after a daemon asked for them."""
MEMBER_HEARD_MS: Final = 900
"""A relay takes a daemon of its data centre for heard so long after a beacon, three of them lost."""
REMOTE_HEARD_MS: Final = 1_200
"""The word of another data centre's relay counts for so long: another one has taken over by then."""
REMOTE_QUIET_MS: Final = 450
"""Without a word for so long, a data centre's daemons keep their part of each quota: both sides of a cut
spend the whole until it shows. Two digests are lost now and then; three seldom are."""
RELAY_SILENT_MS: Final = 450
"""A relay without a digest for so long is left for the next one: two are lost, or it stands still."""
RELAY_ANSWER_MS: Final = 300
"""A relay that was just turned to answers within a pause between digests; else the next one is tried."""
RELAY_SHUNNED_MS: Final = 3_000
"""It is not followed again for so long."""
RELAY_SETTLED_MS: Final = 3_000
"""A relay that ranks first is returned to once it has been heard for so long."""
UNREACHABLE_MS: Final = 1_200
"""A daemon not heard for so long gets no callers: their first attempt would hang for a second."""
RUNS_VALID_MS: Final = 1_500
"""What a daemon said of its runs counts for so long; its streams end soon after it does."""

HEARTBEAT_MS: Final = 1_000
"""How often a daemon's heartbeat row is written, in a small fleet."""
HEARTBEATS_PER_S: Final = 100
"""Heartbeats of all daemons together, which beat less often in a large fleet."""
HEARTBEAT_READ_MS: Final = 600
"""How often heartbeats are read while a daemon is not heard."""
FEED_PAUSE_MS: Final = 1
"""For each daemon, how long changes of the list of daemons are gathered."""
MAX_FEED_PAUSE_MS: Final = 500
UNRESPONSIVE_MS: Final = 600
"""A daemon not heard for so long has its heartbeat looked at, before callers must not get it, and its
part of quotas is left to it: until then two daemons that lose each other both spend it."""
ISOLATED_MS: Final = 1_500
"""A daemon that hears neither store nor peers for so long takes no requests: its keys may be
withdrawn by now, and the others will soon count its share of quotas as theirs."""
LOST_MS: Final = 2_000
"""A daemon that is not heard and whose heartbeat stands still for so long admits nothing any more:
longer than `ISOLATED_MS`, so that it has stopped by the time its share is used by others."""
SETTLE_MS: Final = 400
"""Daemons may differ so long in whom they hear: they notice a daemon that falls silent one after
the other, within a beacon's interval, and tell each other with the next one."""
EXPIRE_MS: Final = 7_000
"""Such a daemon is taken off the list after so long."""
STAND_STILL_MS: Final = 600
"""A tick so late means that the process stood still: far above the pauses of a busy VM."""
TICK_MS: Final = 100

LEAVE_TIMEOUT_MS: Final = 400
"""A leaving daemon waits no longer for the store: its grace ends with a kill."""

SESSION_PARTS: Final = 4
"""Parts of the store that sessions and heartbeats are spread over: each takes one transaction after the other, and
all daemons of a fleet that starts write theirs at the same moment."""
TABLE_SESSIONS: Final = "vms"
TABLE_HEARTBEATS: Final = "vm_heartbeats"
FETCH_TIMEOUT_MS: Final = 1_000
"""For one catalogue from a peer."""
FETCH_RETRY_MS: Final = 500
"""Pause between two tries to get the same catalogue from peers."""
STORE_HEAD_START_MS: Final = 300
"""The store has so long to bring a version that a peer already has, before the peer is asked."""
