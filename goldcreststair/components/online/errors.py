"""Errors of online requests, as callers see them."""

from dataclasses import dataclass
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
