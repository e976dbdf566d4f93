"""The log line of every refusal, and refusals of requests that crash upstreams."""

import logging
from typing import Final

from goldcreststair.components.crash_marks.const import TURN_RETRY_MS
from goldcreststair.components.forwarding.const import MIN_RETRY_AFTER_MS
from goldcreststair.components.requests.models import CallerRequest
from goldcreststair.helpers.refusals import (
    STATUS_UNAVAILABLE,
    Refusal,
    RefusalCode,
    make_retryable_refusal,
)

STATUS_FAILED: Final = 502
OTHER_VM_RETRY_MS: Final = 10
"""Retry-after time while another VM is ready, which can serve the caller at once."""

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


def make_leave_refusal(*, has_other_vm: bool) -> Refusal:
    """Return the refusal of a request that may not end before this daemon stops.

    >>> make_leave_refusal(has_other_vm=True).retry_after_ms
    10
    """
    message = "this VM shuts down before the answer would be complete"
    return make_retryable_refusal(
        message, RefusalCode.NOT_READY, _find_retry_ms(has_other_vm=has_other_vm)
    )


def make_memory_refusal(*, has_other_vm: bool) -> Refusal:
    """Return the refusal of a request whose body can't be held.

    >>> make_memory_refusal(has_other_vm=True).not_run
    True
    """
    message = "this VM holds too much for all of its clients"
    return make_retryable_refusal(
        message, RefusalCode.OVERLOADED, _find_retry_ms(has_other_vm=has_other_vm)
    )


def _find_retry_ms(*, has_other_vm: bool) -> int:
    return OTHER_VM_RETRY_MS if has_other_vm else MIN_RETRY_AFTER_MS


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
