"""Retryable refusals, and the log line of every refusal."""

import logging

from goldcreststair.components.requests.models import CallerRequest
from goldcreststair.helpers.refusals import Refusal, RefusalCode

_LOGGER = logging.getLogger(__name__)

STATUS_UNAVAILABLE = 503


def make_retryable_refusal(message: str, code: RefusalCode, retry_ms: int) -> Refusal:
    """Return a refusal of a request that has not run and may be sent again after `retry_ms`."""
    return Refusal(message, code, STATUS_UNAVAILABLE, True, retry_ms)


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
