"""Constants of online requests."""

from typing import Final

DEFAULT_DEADLINE_MS: Final = 60_000
MAX_DEADLINE_MS: Final = 600_000

MAX_ATTEMPTS: Final = 6
"""Attempts of one request over all upstreams."""
MAX_SILENCE_ATTEMPTS: Final = MAX_ATTEMPTS - 1
"""After this many attempts silence no longer moves a request.

The last attempt is reserved for a broken connection.
"""
MAX_RECONNECTS: Final = 2
"""New connections to one upstream without a new token before another upstream is tried."""
MAX_WAITING_RECONNECTS: Final = 8
"""As `MAX_RECONNECTS`, before the first token: the request is then more likely queued.

A silent connection after the first token is more likely dead.
"""
RETRY_PAUSE_MS: Final = 100

MAX_QUEUED: Final = 2000
"""Limit on the queued requests of one customer on one VM."""
SETTLE_TIMEOUT_MS: Final = 5000
CLAIM_TIMEOUT_MS: Final = 3000

MOVE_TICK_MS: Final = 250
END_MARGIN_MS: Final = 3000
"""A stream is moved unless it is expected to end at least this long before the departure."""
MOVE_MARGIN_MS: Final = 8000
"""The last stream should have moved this long before the departure."""
MAX_MOVES_AT_ONCE: Final = 8
KV_MOVE_TIMEOUT_MS: Final = 3000
KV_MOVE_MIN_TOKENS: Final = 850
"""Context from which KV transfer is faster than prefill; see `docs/measurements/kv_move.md`."""
BYTES_PER_TOKEN: Final = 4

PRESSURE_PERIOD_MS: Final = 250

SETTLE_POLL_MS: Final = 50
"""Interval at which a request checks whether the verdict on its prompt has settled."""
