"""Constants of batch jobs."""

from typing import Final

CHUNK_ITEMS: Final = 128
"""Items of one chunk: one object, one record."""
MAX_LINE_BYTES: Final = 4 * 1024 * 1024
MAX_ITEMS: Final = 200_000
DEFAULT_DUE_S: Final = 24 * 3600
RETENTION_S: Final = 7 * 24 * 3600
"""How long results stay readable after a job was accepted and due."""
ORPHAN_S: Final = 3600
"""Age at which chunks whose manifest never came are swept."""

CALL_TIMEOUT_MS: Final = 5_000
PUT_TIMEOUT_MS: Final = 4_000
"""Of commits that a caller waits for; below `CALL_TIMEOUT_MS`, so that the owner's word arrives."""
COMMIT_TIMEOUT_MS: Final = 20_000
FAN_OUT: Final = 16
"""Messages of one job under way at once."""
ATTEMPTS: Final = 3
"""Calls to a partition's owner before giving up."""
RETRY_DELAY_MS: Final = 200

LEASE_MS: Final = 10_000
"""A lot lapses when its holder is silent for so long."""
RENEW_MS: Final = LEASE_MS // 4
MAX_TRIES: Final = 3
"""Runs of an item that end without an answer before it is failed."""
MAX_CRASHES_ALONE: Final = 2
"""Crashes with this item as the only suspect before it is quarantined."""

MAX_CRASHES_BESIDE: Final = 12
"""Crashes held to be another item's before an item is failed, so that its runs are bounded."""

TICK_MS: Final = 100
HAND_BACK_MS: Final = 2_000
"""Part of a drain kept for sending results and items back."""
ADVERT_MS: Final = 500
ADVERT_LIFETIME_MS: Final = 5_000
ADVERT_FAN_OUT: Final = 4
JOB_CHECK_MS: Final = 5_000
FLUSH_MS: Final = 5_000
"""Longest wait of a finished result for others of its chunk before it is committed."""
TRIES_FLUSH_MS: Final = 100
"""Longest wait of a changed suspicion before it is committed; crashes are rare."""
MAX_FINISHED_BYTES: Final = 8 * 1024 * 1024
"""Finished results kept while the store is down; no new lots are given out beyond it."""
LOADED_CHUNKS: Final = 8
"""Chunks whose items are in memory."""
LOAD_REPORT_MS: Final = 500
ITEM_TIMEOUT_MS: Final = 300_000
RESULT_KEEP_MS: Final = 120_000
"""How long a dispatcher offers a result that no owner takes."""
LOT_ITEMS: Final = 16
RESULT_PAGE: Final = 200
HEADER_DUE_IN_S: Final = "X-Due-In-S"
