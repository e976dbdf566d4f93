"""Constants of claims."""

from typing import Final

RECORD_PREFIX: Final = "claim/"
KEY_TICK: Final = "claim_tick"
"""Record that counts the age of a partition's claims; no two VMs' clocks are compared."""
OBJECT_PREFIX: Final = "outcomes/"

NUMBER_CLAIM: Final = 40
NUMBER_SETTLE: Final = 41
NUMBER_WAIT: Final = 42
NUMBER_ANSWER: Final = 43

MAX_INLINE_BODY_BYTES: Final = 4096
TICK_MS: Final = 10 * 60 * 1000
RETENTION_TICKS: Final = 24 * 6
REMOVE_AT_ONCE: Final = 200
REMOVE_PAUSE_MS: Final = 100

WAIT_SLICE_MS: Final = 10_000
RUNNER_CHECK_MS: Final = 1000
RETRY_DELAY_MS: Final = 200
RELEASE_TIMEOUT_MS: Final = 5000
INSIST_MS: Final = 10 * 60 * 1000
"""How long an ending that got no answer is sent again behind the caller's back."""
INSIST_DELAY_MS: Final = 2000

RELEASED_KEEP_MS: Final = 10 * 60 * 1000
"""How long a release is remembered, for claim messages that it overtook."""
MAX_RELEASED: Final = 10_000
"""Releases remembered at most, so that memory is bounded."""
