"""The log line of every refusal."""

import logging

from goldcreststair.components.requests.models import CallerRequest
from goldcreststair.helpers.refusals import Refusal

_LOGGER = logging.getLogger(__name__)


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
