"""Data types of batch jobs, their items and their rows in the store."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from goldcreststair.components.catalogue.regions import Regions
from goldcreststair.components.jobs.const import TABLE_PROGRESS, TABLE_RESULTS
from goldcreststair.components.stream_origins.models import StreamOrigin
from goldcreststair.store.rows import RowKey


@dataclass(frozen=True, slots=True)
class JobItem:
    """One item as its caller submitted it."""

    item_id: str
    """Id of the item, unique within its job."""
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int
    """Tokens of the prompt plus the maximum of the output."""


@dataclass(frozen=True, slots=True)
class JobKey:
    """Identifies a job."""

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
    """Whether the caller ended the job."""
    max_wait_ms: int = 0
    """Time after `submitted_at` from which unfinished items may be given up."""


@dataclass(frozen=True, slots=True)
class OpenJob:
    """A job that is not finished, as its row in the store describes it."""

    key: JobKey
    owner: str
    """Session of the daemon that runs the job."""
    commit: str
    """Id of the row's last change; tells a commit whose answer was lost from a conflict."""
    committed: int
    """Number of committed results."""
    waiting_tokens: int
    """Tokens of the items whose results are not committed."""
    route: str
    """Name of the route whose limit of waiting tokens the job counts against."""
    failures: tuple[int, ...] = ()
    """Failed runs of each item, by its number."""
    customer_regions: frozenset[str] = frozenset()
    """Regions of the customer when the job was accepted; empty for everywhere."""
    version: int = 0
    """Version of the row; serves as the owner's fencing token."""


@dataclass(frozen=True, slots=True)
class ItemResult:
    """Final result of one item."""

    item_id: str
    done: bool
    """False if the item was given up."""
    text: bytes = b""
    """Data of all events, joined by line feeds."""


@dataclass(frozen=True, slots=True)
class SavedProgress:
    """Progress of an item whose result is not committed."""

    number: int
    """Index of the item in its job."""
    last_event: int
    text: bytes
    """Data of the events from the first to `last_event`, joined by line feeds."""
    origin: StreamOrigin | None = None
    """The software that made the events; None if an earlier daemon saved them."""


@dataclass(frozen=True, slots=True)
class ResultPage:
    """A page of results from one position on."""

    total: int
    """Number of items of the job."""
    results: tuple[ItemResult, ...]
    next_position: int


@dataclass(frozen=True, slots=True)
class Submission:
    """A job that a caller submits."""

    key: JobKey
    route_host: str
    route_prefix: str
    route: str
    items: tuple[JobItem, ...]
    max_wait_ms: int
    max_waiting_tokens: int
    """The customer's limit of waiting tokens on this route; 0 for none."""
    regions: Regions = None
    """Regions in which the job may run; None for all."""
    customer_regions: frozenset[str] = frozenset()
    """Regions of the customer; empty for everywhere."""

    @property
    def tokens(self) -> int:
        """Tokens of all items."""
        return sum(item.tokens for item in self.items)


@dataclass(frozen=True, slots=True)
class Usage:
    """Waiting work of a customer on one route."""

    tokens: int
    jobs: Mapping[str, OpenJob] = field(default_factory=dict)
    """All open jobs of the customer, by id."""
    order_version: int = 0
    """Version of the row that serializes submissions."""
    now_ms: int = 0
    """Time on the store's clock, ms."""


def make_row_key(table: str, key: JobKey, suffix: str = "") -> RowKey:
    """Return the key of a job's row; all rows of one customer share a part."""
    return RowKey(table, key.customer, key.job + suffix)


def make_result_key(key: JobKey, position: int, part: int = 0) -> RowKey:
    """Return the key of a result's row; keys sort by position, then by part.

    >>> make_result_key(JobKey("c", "j"), 3).key, make_result_key(JobKey("c", "j"), 3, 2).key
    ('j/000003', 'j/000003/02')
    """
    suffix = f"/{position:06d}" + (f"/{part:02d}" if part else "")
    return make_row_key(TABLE_RESULTS, key, suffix)


def make_progress_key(key: JobKey, number: int) -> RowKey:
    """Return the key of the row that holds an item's saved progress.

    >>> make_progress_key(JobKey("c", "j"), 3).key
    'j/000003'
    """
    return make_row_key(TABLE_PROGRESS, key, f"/{number:06d}")
