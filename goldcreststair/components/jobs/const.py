"""Timings and limits of batch jobs."""

from typing import Final

MAX_ITEMS: Final = 200
"""Maximum number of items of one job."""
TEXT_PART_BYTES: Final = 45_000
"""A row holds 64 KB in a text encoding that adds a third; a longer result takes several rows."""
READ_MARGIN_MS: Final = 200
"""Time before the end of a planned shutdown at which reads of results stop waiting, so that their
answers are written by then."""
PAGE_BYTES: Final = 1_000_000
"""Maximum bytes of results in one answer to a reader."""
MAX_COMMIT_ENTRIES: Final = 80
"""Rows written in one transaction; the store accepts 100, of 1 MB in total."""
MAX_COMMIT_BYTES: Final = 600_000
MAX_TEXT_BYTES: Final = MAX_COMMIT_BYTES
"""Longest text of an item, which one transaction has to hold; a run that sends more is broken off."""

TICK_MS: Final = 20
"""Interval of the search for free slots. A start becomes visible to other daemons with the next
beacon; the interval keeps two daemons from often taking the same slot."""
IDLE_MS: Final = 1_000
"""Interval at which a daemon without jobs checks for ownership to recheck: hundreds of daemons that
wake up without need would cost more than the jobs do."""
STARTS_PER_TICK: Final = 2
"""Runs started in one tick; limited so that two daemons rarely take the same slot."""
LATE_FREE_SHARE: Final = 0.5
"""If more than this share of a service's slots is free, late items start even though other items
could still be in time: there is room for both."""
WAITING_REPORT_TTL_MS: Final = 1_000
"""Lifetime of another daemon's report of its waiting items."""
COMMIT_RETRY_MS: Final = 150
"""Delay before a failed commit is retried."""
MAX_COMMIT_RETRY_MS: Final = 600
RETRY_MIN_MS: Final = 100
RETRY_MAX_MS: Final = 2_000
"""Limits of the delay before an item runs again after a failure: the item itself may be what makes
the upstreams fail."""
ROUTE_GONE_MS: Final = 5_000
"""A route that has been missing for so long counts as removed; before that, the catalogue version
that adds it may still be on its way to this daemon."""
SUSPECT_PAUSE_MS: Final = 200
"""Pause before an item is looked at again that may not run now, as upstreams crashed under it or its like."""
HOLD_RETRY_MS: Final = 100
"""Interval at which an item looks for a free slot of the software that began it, while others have
slots."""
EVENT_TIMEOUT_MS: Final = 700
"""Silence between two events of a run after which the item is moved to another upstream."""
FIRST_EVENT_TIMEOUT_MS: Final = 2_500
"""Silence allowed before a run's first event: the run may wait in the upstream's queue."""
MAX_TIMEOUT_DOUBLINGS: Final = 4
"""Each consecutive silent run of an item doubles both timeouts for its next run, at most so many
times: if all upstreams are slow, aborting a run gains nothing."""
RUN_TIMEOUT_MS: Final = 60_000

CHECKPOINT_MS: Final = 1_000
"""Interval at which the progress of a job's items is saved in a small fleet. If a VM is lost, half
a second of each run is repeated on average, of some four seconds that an item takes."""
CHECKPOINTS_PER_S: Final = 100
"""Saves of all daemons together, an eighth of the transactions that the store can take; a large
fleet therefore saves less often."""
CHECKPOINT_EVENTS: Final = 20
"""Minimum number of new events to save: fewer are run again in less than half a second."""
CHECKPOINT_GROWTH: Final = 1.2
"""Growth of an answer since its last save before it is saved again; keeps the bytes written for a
long answer within a few times its length."""
HANDOVER_GRACE_MS: Final = 800
"""Time that the runs of a leaving daemon get to finish before their jobs are handed over with the
progress so far. Moving a run costs some 150 ms; a job that stays keeps its waiting items from
starting."""

LEASE_MS: Final = 1_500
"""An owner without contact to the store or peers for so long answers readers from the store only:
another daemon may have taken over its jobs and committed more results."""
TAKEOVER_AFTER_MS: Final = 3_500
"""Time without a sign of life from a job's owner after which another daemon takes the job over.
Longer than `LEASE_MS`; if a job is taken over too early, its items run twice."""
SWEEP_MS: Final = 1_500
"""Interval at which the open jobs of a customer are read, by one daemon per customer."""
SWEEP_SOON_MS: Final = 250
"""Delay of a sweep after a VM was lost, and the minimum pause between two sweeps. When all VMs
return at once, their jobs are taken over a second sooner than with `SWEEP_MS`."""
REMOVED_SWEEPS: Final = 3
"""One daemon lists the customers that have open jobs but are not in the catalogue in every so many sweeps: the
listing is one call to the store, and rarely finds anything."""
RETENTION_SWEEPS: Final = 20
"""Expired jobs are removed in every so many sweeps."""
RETENTION_REMOVED_SWEEPS: Final = 7
"""The same for customers that are not in the catalogue, by the sweeps of these."""
RETENTION_MARGIN_MS: Final = 30_000
EXPIRY_MARGIN_MS: Final = 1_000
"""Added to the time from which an item may be given up: the estimate of the store's clock lags."""

USAGE_SERIALIZED_SHARE: Final = 0.6
"""Above this share of a customer's limit of waiting tokens, submissions are serialized, so that two
concurrent ones cannot both take the last room."""
ACCEPT_TRIES: Final = 4
REREAD_WAIT_SHARE: Final = 0.85
"""Fraction of a reader's wait after which the store is read once more."""
CACHE_BYTES: Final = 24 * 1024 * 1024
"""Size of the cache of results and bodies for readers: a quarter of the memory a daemon may use."""

TABLE_JOBS: Final = "jobs"
TABLE_OPEN: Final = "jobs_open"
TABLE_RESULTS: Final = "job_results"
TABLE_PROGRESS: Final = "job_progress"
TABLE_ENDS: Final = "job_ends"
TABLE_ORDER: Final = "job_order"
