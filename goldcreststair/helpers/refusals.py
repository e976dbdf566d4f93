"""Final answers that are not the wanted ones, as callers see them."""

from dataclasses import dataclass, replace
from enum import StrEnum

from goldcreststair.errors import GoldcreststairError


class RefusalCode(StrEnum):
    """Why a request has no answer; part of the callers' interface."""

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
    TOO_LARGE = "too_large"
    QUOTA_FULL = "quota_full"


@dataclass(frozen=True, slots=True)
class Refusal(GoldcreststairError):
    """A final answer that is not the wanted one."""

    code: RefusalCode = RefusalCode.UPSTREAM_FAILED
    status: int = 502
    """HTTP status."""
    not_run: bool = False
    """True only if no upstream ran any part of the request."""
    retry_after_ms: int = 0
    """When to come back; 0 if coming back does not help."""
    upstream_body: bytes = b""
    """The upstream's own error answer, passed on as it is."""


def clear_not_run(refusal: Refusal) -> Refusal:
    """Return a refusal, given before the claim was read, that is true of all sends of its key.

    A caller whose first send ran and whose connection broke sends again under the same key. Were
    this send refused as "not run", as it is for a rate limit or while the store is down, the caller
    would take the booking for not made and make another one elsewhere. Only the claim tells whether
    an earlier send ran, and it was not read.
    """
    return replace(refusal, not_run=False)
