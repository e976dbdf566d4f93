"""Decides which requests a leaving daemon may still begin; no I/O."""

from collections.abc import Callable
from typing import Final

from goldcreststair.clock import Millis
from goldcreststair.components.catalogue.models import Route
from goldcreststair.components.fleet.models import OwnState
from goldcreststair.components.forwarding.const import MIN_RETRY_AFTER_MS
from goldcreststair.components.requests.models import AdmissionBasis
from goldcreststair.helpers.refusals import Refusal, RefusalCode, make_retryable_refusal

OTHER_VM_RETRY_MS: Final = 10
"""Retry-after time of a leaving daemon while another VM is ready, which can serve the caller at once."""


def find_basis(
    own: OwnState, route: Route, now: Millis, ends_at: Millis, read_run_ms: Callable[[], float]
) -> AdmissionBasis | None:
    """Return why a request that begins now ends before this daemon stops; None if it may not.

    `ends_at` is the request's deadline, `read_run_ms` returns the usual time of an answer of its route, ms.
    """
    if own.stops_at is None:
        return AdmissionBasis.NOT_LEAVING
    if ends_at <= own.stops_at:
        return AdmissionBasis.DEADLINE
    # Past run times bound nothing: upstreams may slow down at any moment. They decide only while a
    # refused caller may be sent here again, and only for requests that callers can repeat or resume at
    # another VM after a cut.
    is_advertised = own.advertised_until is not None and now < own.advertised_until
    if is_advertised and route.repeatable and now + read_run_ms() <= own.stops_at:
        return AdmissionBasis.RUN_TIME
    return None


def make_leave_refusal(*, has_other_vm: bool) -> Refusal:
    """Return the refusal of a request that may not end before this daemon stops.

    >>> make_leave_refusal(has_other_vm=True).retry_after_ms
    10
    """
    message = "this VM shuts down before the answer would be complete"
    retry_ms = OTHER_VM_RETRY_MS if has_other_vm else MIN_RETRY_AFTER_MS
    return make_retryable_refusal(message, RefusalCode.NOT_READY, retry_ms)


def make_memory_refusal(*, has_other_vm: bool) -> Refusal:
    """Return the refusal of a request whose body can't be held.

    >>> make_memory_refusal(has_other_vm=True).not_run
    True
    """
    message = "this VM holds too much for all of its clients"
    retry_ms = OTHER_VM_RETRY_MS if has_other_vm else MIN_RETRY_AFTER_MS
    return make_retryable_refusal(message, RefusalCode.OVERLOADED, retry_ms)
