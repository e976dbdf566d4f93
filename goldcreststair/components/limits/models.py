"""Token grants, the reports about them, and the state that a coordinator hands over."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class GrantReport:
    """Spending of a grant so far; `finished` promises that none of its tokens are spent later."""

    number: int
    spent: int
    finished: bool


@dataclass(frozen=True, slots=True)
class GrantSnapshot:
    """A grant as the old coordinator hands it over to the new one."""

    session_id: str
    number: int
    amount: int
    spent: int
    remaining_ms: int


@dataclass(frozen=True, slots=True)
class BucketSnapshot:
    """A coordinator's bucket as it is handed over."""

    level: float
    grants: tuple[GrantSnapshot, ...]


@dataclass(frozen=True, slots=True)
class Handover:
    """What the coordinator of an older epoch has handed over."""

    epoch: int
    """The sender's epoch; `NO_EPOCH` if its buckets are not complete."""
    snapshots: Mapping[str, BucketSnapshot] = field(default_factory=dict)
    """Buckets by customer."""
    starts_full: bool = False
    """Whether a customer without a bucket has spent nothing."""


@dataclass(frozen=True, slots=True)
class Allowance:
    """A rate and a burst."""

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class GrantResult:
    """Tokens that a coordinator granted; `retry_after_ms` applies if they are too few."""

    granted: int
    retry_after_ms: int = 0
