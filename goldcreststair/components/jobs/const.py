"""Times and sizes of batch jobs."""

from typing import Final

MAX_ITEMS: Final = 200
"""Items of one job."""
TEXT_PART_BYTES: Final = 45_000
"""A row holds 64 KB, in a text encoding that is a third longer; longer results take several rows."""
PAGE_BYTES: Final = 1_000_000
"""Results of one answer to a reader."""
MAX_COMMIT_ENTRIES: Final = 80
"""Rows written at once; the store takes 100 in one transaction, of 1 MB together."""
MAX_COMMIT_BYTES: Final = 600_000

TICK_MS: Final = 20
"""How often free slots are looked for; a start shows in other daemons' books after one beacon, so
that two of them rarely take the same slot."""
IDLE_MS: Final = 1_000
"""How often a daemon without jobs looks whether it has any in doubt: hundreds of daemons that wake for
nothing cost more than the jobs do."""
STARTS_PER_TICK: Final = 2
"""Runs started at once, for the same reason."""
LATE_FREE_SHARE: Final = 0.5
"""With more than this share of a service's slots free, late items start although others could be in
time: there is room for both."""
WAITING_REPORT_TTL_MS: Final = 1_000
"""What another daemon says of its waiting items counts for so long."""
COMMIT_RETRY_MS: Final = 150
"""Pause after a commit that failed."""
MAX_COMMIT_RETRY_MS: Final = 600
RETRY_MIN_MS: Final = 100
RETRY_MAX_MS: Final = 2_000
"""Pauses before an item runs again after a failure: it may be what fails the upstreams."""
ROUTE_GONE_MS: Final = 5_000
"""A job whose route has been missing here for so long has lost it; before, the version that brought it may
be on its way to this daemon."""
POISON_PAUSE_MS: Final = 5_000
"""How often an item that crashes upstreams is looked at again."""
EVENT_TIMEOUT_MS: Final = 700
"""Silence within a run after which it goes on elsewhere."""
FIRST_EVENT_TIMEOUT_MS: Final = 2_500
"""Silence before a run's first event: it may wait in the upstream's queue."""
MAX_TIMEOUT_DOUBLINGS: Final = 4
"""Each silent run of an item in a row doubles both for its next one, so often at most: where all upstreams
are slow none takes the place of a run that is given up."""
RUN_TIMEOUT_MS: Final = 60_000

CHECKPOINT_MS: Final = 1_000
"""How often the progress of a job's items is saved, in a small fleet: what a lost VM's runs had brought
is then run again for half a second on average, of some four that an item takes."""
CHECKPOINTS_PER_S: Final = 100
"""Saves of all daemons together, an eighth of the transactions that the store takes; a large fleet saves
less often."""
CHECKPOINT_EVENTS: Final = 20
"""Fewer new events than this are not worth a row: they are run again in less than half a second."""
CHECKPOINT_GROWTH: Final = 1.2
"""An answer is saved again once it has grown by so much, so that the bytes written for a long one stay
within a few times its length."""
HANDOVER_GRACE_MS: Final = 800
"""A leaving daemon's runs may end for so long before their jobs go to another one with what they have
brought: a run that moves loses some 150 ms, and a job that stays keeps its waiting items from starting."""

LEASE_MS: Final = 1_500
"""An owner that has heard neither store nor peers for so long answers readers from the store only:
another daemon may have taken its jobs over and listed more."""
TAKEOVER_AFTER_MS: Final = 3_500
"""A job whose owner shows no sign of life for so long gets another one. Longer than `LEASE_MS`;
taken over too early, its items run twice."""
SWEEP_MS: Final = 1_500
"""How often the open jobs of a customer are read, by one daemon for each customer."""
SWEEP_SOON_MS: Final = 250
"""The same after a VM has gone, and the least pause between two sweeps: when all VMs return at once
their jobs are taken over a second sooner."""
RETENTION_SWEEPS: Final = 20
"""Every so many sweeps jobs past their time are removed."""
RETENTION_MARGIN_MS: Final = 30_000
EXPIRY_MARGIN_MS: Final = 1_000
"""An item is given up so long after it may be: the store's clock is read with a delay."""

USAGE_SERIALIZED_SHARE: Final = 0.6
"""Above this share of a customer's limit of waiting tokens, submissions are put in one order, so that
two at the same moment cannot both take the last room."""
ACCEPT_TRIES: Final = 4
READ_AGAIN_SHARE: Final = 0.85
"""Part of a reader's wait after which the store is read once more."""
CACHE_BYTES: Final = 24 * 1024 * 1024
"""Results and bodies kept to answer readers; a quarter of the memory that a daemon may take."""

TABLE_JOBS: Final = "jobs"
TABLE_OPEN: Final = "jobs_open"
TABLE_RESULTS: Final = "job_results"
TABLE_PROGRESS: Final = "job_progress"
TABLE_ENDS: Final = "job_ends"
TABLE_ORDER: Final = "job_order"
