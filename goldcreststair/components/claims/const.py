"""Constants of claims: record keys, message numbers, sizes and times."""

from typing import Final

RECORD_PREFIX: Final = "claim/"
KEY_TICK: Final = "claim_tick"
"""Record with the tick by which a partition's claims age, as clocks of VMs are not comparable."""
OBJECT_PREFIX: Final = "outcomes/"

NUMBER_CLAIM: Final = 40
NUMBER_SETTLE: Final = 41
NUMBER_WAIT: Final = 42
NUMBER_ANSWER: Final = 43

MAX_INLINE_BODY_BYTES: Final = 4096
TICK_MS: Final = 10 * 60 * 1000
RETENTION_TICKS: Final = 24 * 6
REMOVE_BATCH_SIZE: Final = 200
"""Records read at a time when expired claims are removed."""
REMOVE_INTERVAL_MS: Final = 100

WAIT_SLICE_MS: Final = 10_000
RUNNER_CHECK_MS: Final = 1000
RETRY_DELAY_MS: Final = 200
RELEASE_TIMEOUT_MS: Final = 5000
ENDING_RETRY_MS: Final = 10 * 60 * 1000
"""How long an ending without an answer is sent again in the background."""
ENDING_RETRY_DELAY_MS: Final = 2000

RELEASED_RETENTION_MS: Final = 10 * 60 * 1000
"""How long a release is kept, for claim messages that arrive after it."""
MAX_RELEASED: Final = 10_000
"""Bounds the memory for kept releases."""
