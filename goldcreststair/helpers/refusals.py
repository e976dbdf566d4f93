"""Refusals: final answers that report an error to the caller."""

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Final

from goldcreststair.errors import GoldcreststairError

STATUS_UNAVAILABLE: Final = 503
PROMISE_STATUSES: Final = frozenset((408, 421, 429, 503))
"""Statuses that promise a caller that its request has not run and never will, so that it may be sent again."""


class RefusalCode(StrEnum):
    """Reason of a refusal; the values are part of the callers' interface."""

    INVALID_REQUEST = "invalid_request"
    INVALID_KEY = "invalid_key"
    KEY_WITHDRAWN = "key_withdrawn"
    RATE_LIMITED = "rate_limited"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    OVERLOADED = "overloaded"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_FAILED = "upstream_failed"
    DEADLINE = "deadline"
    QUARANTINED = "quarantined"
    OUTCOME_UNKNOWN = "outcome_unknown"
    NOT_READY = "not_ready"
    UNKNOWN_ROUTE = "unknown_route"
    CANNOT_RESUME = "cannot_resume"
    """The stream cannot be continued at the software that began it; a new one can begin."""
    TOO_LARGE = "too_large"
    QUOTA_FULL = "quota_full"


@dataclass(frozen=True, slots=True)
class Refusal(GoldcreststairError):
    """A final answer that reports an error to the caller."""

    code: RefusalCode = RefusalCode.UPSTREAM_FAILED
    status: int = 502
    """HTTP status."""
    not_run: bool = False
    """True only if no upstream ran any part of the request."""
    retry_after_ms: int = 0
    """Time after which a retry may succeed; 0 if a retry does not help."""
    upstream_body: bytes = b""
    """The upstream's own error response, passed on unchanged."""


def make_retryable_refusal(message: str, code: RefusalCode, retry_ms: int) -> Refusal:
    """Return a refusal of a request that has not run and may be sent again after `retry_ms`."""
    return Refusal(message, code, STATUS_UNAVAILABLE, True, retry_ms)


def clear_not_run(refusal: Refusal) -> Refusal:
    """Return the refusal without "not run", for a request refused before its claim was read.

    A caller whose first attempt ran but whose connection broke retries with the same idempotency key.
    If the retry were refused as "not run", as for a rate limit or while the store is down, the caller
    would assume that nothing was booked and book again elsewhere. Only the claim shows whether an
    earlier attempt ran, and it was not read.
    """
    return replace(refusal, not_run=False)
