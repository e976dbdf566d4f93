"""Constants of batch jobs."""

from typing import Final

CHUNK_ITEMS: Final = 128
"""Items of one chunk, which is one object and one record."""
MAX_LINE_BYTES: Final = 4 * 1024 * 1024
MAX_ITEMS: Final = 200_000
MAX_JOB_BYTES: Final = 512 * 1024 * 1024
"""Body of one job, which is stored as it arrives."""
DEFAULT_DUE_S: Final = 24 * 3600
RETENTION_S: Final = 7 * 24 * 3600
"""Time that results stay readable after a job was accepted and due."""
ORPHAN_S: Final = 3600
"""Age at which chunks without a committed manifest are deleted."""

CALL_TIMEOUT_MS: Final = 5_000
PUT_TIMEOUT_MS: Final = 4_000
"""Commits that a caller waits for; below `CALL_TIMEOUT_MS`, so that the owner's reply arrives."""
COMMIT_TIMEOUT_MS: Final = 20_000
FAN_OUT: Final = 16
"""Concurrent messages of one job."""
ATTEMPTS: Final = 3
"""Calls to a partition's owner before giving up."""
RETRY_DELAY_MS: Final = 200

LEASE_MS: Final = 10_000
"""Time after which the lease of an item expires if its holder does not renew it."""
RENEW_MS: Final = LEASE_MS // 4
MAX_TRIES: Final = 3
"""Runs of an item that end without an answer before the item ends as failed."""
MAX_CRASHES_ALONE: Final = 2
"""Crashes with an item as the only suspect before it is quarantined."""

MAX_CRASHES_BESIDE: Final = 12
"""Crashes attributed to other items before an item ends as failed, to bound its runs."""

TICK_MS: Final = 100
RETURN_MS: Final = 2_000
"""Part of a drain reserved for returning results and items."""
ADVERT_MS: Final = 500
ADVERT_LIFETIME_MS: Final = 5_000
ADVERT_FAN_OUT: Final = 4
JOB_CHECK_MS: Final = 5_000
FLUSH_MS: Final = 5_000
"""Longest wait of a finished result for others of its chunk before the commit."""
TRIES_FLUSH_MS: Final = 100
"""Longest wait of changed tries before the commit; short, as crashes are rare."""
MAX_FINISHED_BYTES: Final = 8 * 1024 * 1024
"""Finished results kept in memory while the store is down; above it no items are assigned."""
LOADED_CHUNKS: Final = 8
"""Chunks whose items are in memory at once."""
LOAD_REPORT_MS: Final = 500
ITEM_TIMEOUT_MS: Final = 300_000
RESULT_KEEP_MS: Final = 120_000
"""Time after which the dispatcher drops a result that no owner acknowledges."""
ASSIGNMENT_ITEMS: Final = 16
RESULT_PAGE: Final = 200
HEADER_DUE_IN_S: Final = "X-Due-In-S"
