"""Refusals of requests, and their line in the log."""

import logging

from goldcreststair.components.requests.models import CallerRequest
from goldcreststair.helpers.refusals import Refusal, RefusalCode

_LOGGER = logging.getLogger(__name__)

STATUS_UNAVAILABLE = 503


def refuse_for_now(message: str, code: RefusalCode, retry_ms: int) -> Refusal:
    """Return a refusal of a request that has not run and may come back."""
    return Refusal(message, code, STATUS_UNAVAILABLE, True, retry_ms)


def log_refusal(request: CallerRequest, refusal: Refusal, *, cut: bool = False) -> None:
    """Write why a request has no whole answer; `cut` says that a part of one was sent."""
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
