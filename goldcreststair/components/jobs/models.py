"""Batch jobs and their items."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from goldcreststair.components.catalogue.regions import Regions
from goldcreststair.components.jobs.const import TABLE_PROGRESS, TABLE_RESULTS
from goldcreststair.store.rows import RowKey


@dataclass(frozen=True, slots=True)
class JobItem:
    """One item as its caller sent it."""

    item: str
    """Its id, unique within the job."""
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int
    """Prompt and longest output together."""


@dataclass(frozen=True, slots=True)
class JobKey:
    """Names a job."""

    customer: str
    job: str


@dataclass(frozen=True, slots=True)
class JobRecord:
    """A job as it was accepted."""

    key: JobKey
    route_host: str
    route_prefix: str
    items: int
    submitted_at: int
    """Time on the store's clock, ms."""
    body_object: str
    """Name of the object that holds the items."""
    ended: bool = False
    """Whether its caller ended it."""
    max_wait_ms: int = 0
    """Its items may be given up so long after `submitted_at`."""


@dataclass(frozen=True, slots=True)
class OpenJob:
    """A job that is not finished, as its row stands in the store."""

    key: JobKey
    owner: str
    """Session of the daemon that runs it."""
    commit: str
    """Names the last change of the row, so that a lost answer can be told from a conflict."""
    committed: int
    """Results listed."""
    waiting_tokens: int
    """Tokens of the items that are not listed."""
    route: str
    """Name of the route whose limit of waiting tokens it counts for."""
    failures: tuple[int, ...] = ()
    """Failed runs of each item."""
    version: int = 0
    """Of the row; the fencing token of its owner."""


@dataclass(frozen=True, slots=True)
class ItemResult:
    """What became of one item."""

    item: str
    done: bool
    """False if it was given up."""
    text: bytes = b""
    """The data of all events, joined by line feeds."""


@dataclass(frozen=True, slots=True)
class SavedProgress:
    """What an item that is not listed has brought so far."""

    number: int
    """Place of the item in its job."""
    last_event: int
    text: bytes
    """The data of its events from the first to `last_event`, joined by line feeds."""


@dataclass(frozen=True, slots=True)
class ResultPage:
    """Results from one position on."""

    total: int
    """Items of the job."""
    results: tuple[ItemResult, ...]
    next_position: int


@dataclass(frozen=True, slots=True)
class Submission:
    """A job on its way in."""

    key: JobKey
    route_host: str
    route_prefix: str
    route: str
    items: tuple[JobItem, ...]
    max_wait_ms: int
    max_waiting_tokens: int
    """The customer's limit on this route; 0 for none."""
    regions: Regions = None
    """Where it may be handled."""

    @property
    def tokens(self) -> int:
        """Tokens of all items."""
        return sum(item.tokens for item in self.items)


@dataclass(frozen=True, slots=True)
class Usage:
    """What of a customer is waiting on one route."""

    tokens: int
    jobs: Mapping[str, OpenJob] = field(default_factory=dict)
    """All open jobs of the customer, by id."""
    order: int = 0
    """Version of the row that puts submissions in one order."""
    now_ms: int = 0
    """Time on the store's clock."""


def make_row_key(table: str, key: JobKey, suffix: str = "") -> RowKey:
    """Return where a row of a job stands: all rows of a customer share their part."""
    return RowKey(table, key.customer, key.job + suffix)


def make_result_key(key: JobKey, position: int, part: int = 0) -> RowKey:
    """Return where a result stands; rows sort by position, then by part.

    >>> make_result_key(JobKey("c", "j"), 3).key, make_result_key(JobKey("c", "j"), 3, 2).key
    ('j/000003', 'j/000003/02')
    """
    suffix = f"/{position:06d}" + (f"/{part:02d}" if part else "")
    return make_row_key(TABLE_RESULTS, key, suffix)


def make_progress_key(key: JobKey, number: int) -> RowKey:
    """Return where the progress of an item stands.

    >>> make_progress_key(JobKey("c", "j"), 3).key
    'j/000003'
    """
    return make_row_key(TABLE_PROGRESS, key, f"/{number:06d}")
