"""Constants of online requests."""

from typing import Final

DEFAULT_DEADLINE_MS: Final = 60_000
MAX_DEADLINE_MS: Final = 600_000

MAX_ATTEMPTS: Final = 6
"""Runs of one request, on all upstreams together."""
MAX_LEFT_RUNS: Final = MAX_ATTEMPTS - 1
"""Runs after which silence moves a request no more; the last is for a connection that broke."""
MAX_RECONNECTS: Final = 2
"""New connections to the same upstream that brought no token, before another is tried."""
MAX_WAITING_RECONNECTS: Final = 8
"""The same before the first token, when silence is more likely a queue than a dead connection."""
RETRY_PAUSE_MS: Final = 100


MAX_QUEUED: Final = 2000
"""Requests of one customer that may wait on one VM."""
SETTLE_TIMEOUT_MS: Final = 5000
CLAIM_TIMEOUT_MS: Final = 3000

MOVE_TICK_MS: Final = 250
END_MARGIN_MS: Final = 3000
"""A stream that would end so short before its upstream's departure, or later, is moved."""
MOVE_MARGIN_MS: Final = 8000
"""So long before the departure the last of them shall be moved."""
MAX_MOVES_AT_ONCE: Final = 8
KV_MOVE_TIMEOUT_MS: Final = 3000
KV_MOVE_MIN_TOKENS: Final = 850
"""From so many tokens on, KV transfer beats prefilling; see `docs/measurements/kv_move.md`."""
BYTES_PER_TOKEN: Final = 4

PRESSURE_PERIOD_MS: Final = 250
