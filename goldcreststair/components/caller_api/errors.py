"""Formats refusals for callers."""

from typing import Final

import orjson

from goldcreststair.components.caller_api.parsing import BadField
from goldcreststair.components.keys.protocols import KeyRefused
from goldcreststair.helpers.refusals import Refusal, RefusalCode, clear_not_run

DEFAULT_TYPE: Final = "server_error"
_TYPES: Final = {
    RefusalCode.INVALID_REQUEST: "invalid_request_error",
    RefusalCode.UNKNOWN_MODEL: "invalid_request_error",
    RefusalCode.UNKNOWN_SERVICE: "invalid_request_error",
    RefusalCode.QUARANTINED: "invalid_request_error",
    RefusalCode.INVALID_KEY: "authentication_error",
    RefusalCode.KEY_WITHDRAWN: "authentication_error",
    RefusalCode.RATE_LIMITED: "rate_limit_error",
}


def make_key_refusal(error: KeyRefused, idempotency_key: str = "") -> Refusal:
    """Return the refusal of a request with a refused key.

    Under an idempotency key it is not marked as not run: an earlier send may have run.
    """
    refusal = Refusal(error.message, RefusalCode.INVALID_KEY, 401, True)
    if error.temporary:
        refusal = Refusal(error.message, RefusalCode.NOT_READY, 503, True, 1000)
    return clear_not_run(refusal) if idempotency_key else refusal


def make_field_refusal(error: BadField) -> Refusal:
    """Return the refusal of a request with an invalid field."""
    message = f"{error.field}: {error.message}"
    return Refusal(message, RefusalCode.INVALID_REQUEST, 400, True)


def encode_refusal(refusal: Refusal) -> bytes:
    """Return a refusal as an OpenAI-format error with `not_run` and `retry_after_ms`.

    An error body of the upstream is returned unchanged.
    """
    if refusal.upstream_body:
        return refusal.upstream_body
    field, separator, _ = refusal.message.partition(": ")
    invalid = refusal.code is RefusalCode.INVALID_REQUEST and separator
    error = {
        "message": refusal.message,
        "type": _TYPES.get(refusal.code, DEFAULT_TYPE),
        "param": field if invalid else None,
        "code": refusal.code,
        "not_run": refusal.not_run,
        "retry_after_ms": refusal.retry_after_ms,
    }
    return orjson.dumps({"error": error})
