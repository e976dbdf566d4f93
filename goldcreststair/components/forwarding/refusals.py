"""The log line of every refusal, and refusals of requests that crash upstreams."""

import logging
from typing import Final

from goldcreststair.components.crash_marks.const import TURN_RETRY_MS
from goldcreststair.components.requests.models import CallerRequest
from goldcreststair.helpers.refusals import (
    STATUS_UNAVAILABLE,
    Refusal,
    RefusalCode,
    make_retryable_refusal,
)

STATUS_FAILED: Final = 502

_LOGGER = logging.getLogger(__name__)


def make_quarantine_refusal(*, may_have_run: bool) -> Refusal:
    """Return the refusal of a request that crashes the upstreams that run it; a retry does not help."""
    message = "upstreams that ran requests with a part of its prompt, or with its body, crashed"
    status = STATUS_FAILED if may_have_run else STATUS_UNAVAILABLE
    return Refusal(message, RefusalCode.QUARANTINED, status, not may_have_run)


def make_turn_refusal(*, may_have_run: bool) -> Refusal:
    """Return the refusal of a request that may crash upstreams, while another one like it still runs."""
    message = "upstreams crashed under requests like this one, and another one still runs"
    if may_have_run:
        return Refusal(message, RefusalCode.UPSTREAM_FAILED, STATUS_FAILED)
    return make_retryable_refusal(message, RefusalCode.OVERLOADED, TURN_RETRY_MS)


def log_refusal(request: CallerRequest, refusal: Refusal, *, cut: bool = False) -> None:
    """Log why a request has no complete answer; `cut` means that a part of it was already sent."""
    _LOGGER.info(
        "Request refused",
        extra={
            "request": request.request_id,
            "code": refusal.code.value,
            "status": refusal.status,
            "not_run": refusal.not_run,
            "retry_after_ms": refusal.retry_after_ms,
            "reason": refusal.message,
            "cut": cut,
        },
    )
