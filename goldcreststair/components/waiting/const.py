"""Bounds and intervals of the queue of waiting requests."""

from typing import Final

MAX_WAITING: Final = 64
"""Requests that wait for one service at one daemon."""
MAX_WAITING_BYTES: Final = 4_000_000
"""Bytes of the bodies of these requests."""
CHECK_MS: Final = 25
"""Interval at which waiting requests are checked for their deadlines and for free slots; about a
tenth of the time that a request may wait."""
MIN_ALLOT_MS: Final = 10
"""Shortest time between two computations of the share of the free slots: 24 other daemons may send 600
beacons a second."""
REALLOT_MS: Final = 100
"""Without a newer view of the fleet, a daemon takes its share of the free slots again after this time:
what other daemons took has reached it by then in a fleet without relays."""
COUNT_VALID_MS: Final = 1_000
"""How long another daemon's count of waiting requests is used; a beacon comes every 250 ms."""
CONTENTION_MEMORY_MS: Final = 1_000
"""What customers asked for is forgotten once no request has lacked a slot for this time: a customer
that used idle slots owes nothing."""
AHEAD_REQUESTS: Final = 1.5
"""A customer is above its share if it is ahead of it by so many requests; two that happen to arrive
together put a customer ahead by one."""
MAX_AHEAD_REQUESTS: Final = 8.0
"""A customer is at most so far ahead, so that it has its share again soon after it sends less."""
LEAVING_RETRY_MS: Final = 200
"""Retry time of requests refused by a daemon that shuts down; another daemon may serve them."""
MAX_LEVEL: Final = 2**31 - 1
"""Worst level; levels are 32-bit numbers in beacons."""

EVEN_FILL: Final = 0.7
"""From this share of all slots in use, requests are spread over all upstreams where the view of the
fleet is old. The few free slots of such a view are taken before most daemons read of them."""
EVEN_SLACK: Final = 2.0
"""Requests beyond its slots up to which an upstream gets a larger part of what is spread. In the 250 ms
that a view is old, about two runs of eight begin or end unseen."""
EVEN_MIN_LEFT: Final = 0.3
"""Places that the weight of an upstream with a longer queue is computed with, so that none is 0."""
FILL_LIMITS: Final = (1.1, 1.0, 0.9)
"""Share of all slots in use from which requests are refused where the view is old: of rank 0, of other
ranks, and of customers above their share. Better ranks still find a slot when the others are refused."""
