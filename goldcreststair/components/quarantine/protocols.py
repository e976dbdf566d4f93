"""Interface of the quarantine for other components."""

import hashlib
from collections.abc import Callable
from typing import Final, Protocol

import orjson

from goldcreststair.components.quarantine.const import FINGERPRINT_CHARACTERS
from goldcreststair.core import ComponentKey
from goldcreststair.helpers.crash_evidence import Suspects

DELIVERY_FIELDS: Final = ("stream", "stream_options")
"""Request fields that change only how the response is delivered, not what is generated."""


def make_fingerprint(customer: str, body: bytes) -> str:
    """Return an id that is equal for equal requests, sent online or as an item of a batch job.

    >>> make_fingerprint("acme", b'{"a": 1, "b": 2}') == make_fingerprint("acme", b'{"b":2,"a":1}')
    True
    """
    digest = hashlib.sha256(customer.encode() + b"\0" + _normalise(body))
    return digest.hexdigest()[:FINGERPRINT_CHARACTERS]


def _normalise(body: bytes) -> bytes:
    # Batch parses items, adds missing fields and streams them. Hashing the raw bytes would give a
    # request quarantined by batch another fingerprint online, where it would crash engines again.
    try:
        request = orjson.loads(body)
    except ValueError:
        return body
    if not isinstance(request, dict):
        return body
    fields = {name: value for name, value in request.items() if name not in DELIVERY_FIELDS}
    return orjson.dumps(fields, option=orjson.OPT_SORT_KEYS)


class Parts(Protocol):
    """Identifies parts of prompts that crash upstreams, whatever else their requests hold."""

    def on_verdict(self, handler: Callable[[], None]) -> None:
        """Add a handler that is called when more requests are refused."""

    def is_refused(self, suspects: Suspects) -> bool:
        """Return whether a request must not run."""

    def is_suspect(self, suspects: Suspects) -> bool:
        """Return whether a request must run apart from others."""

    def is_pending(self, suspects: Suspects) -> bool:
        """Return whether a request is about to be refused, unless another VM reports an answer."""

    def report_lost(self, upstream: str, suspects: Suspects, *, wrote_ms: int | None) -> None:
        """Report a run that was lost with its upstream, and how long it had returned tokens; None if not at all."""

    def report_answer(self, suspects: Suspects) -> None:
        """Report an answer that is whole or has gone on: nothing about its request crashes upstreams."""


class UnknownParts:
    """Implements `Parts` where no component identifies parts: none is refused."""

    def on_verdict(self, handler: Callable[[], None]) -> None:
        """Do nothing; there are no verdicts."""

    def is_refused(self, suspects: Suspects) -> bool:
        """Return False."""
        return False

    def is_suspect(self, suspects: Suspects) -> bool:
        """Return False."""
        return False

    def is_pending(self, suspects: Suspects) -> bool:
        """Return False."""
        return False

    def report_lost(self, upstream: str, suspects: Suspects, *, wrote_ms: int | None) -> None:
        """Do nothing."""

    def report_answer(self, suspects: Suspects) -> None:
        """Do nothing."""


UNKNOWN_PARTS: Final = UnknownParts()


class Quarantine(Protocol):
    """Identifies requests that crash upstreams and blocks them on the whole fleet."""

    @property
    def parts(self) -> Parts:
        """The same for parts of prompts."""

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the request must not run."""

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the request must run apart from other suspects."""

    def begin(self, upstream: str, request_id: str, fingerprint: str) -> None:
        """Record that a request started at an upstream."""

    def end(self, upstream: str, request_id: str, *, ok: bool) -> None:
        """Record that a run ended; `ok` clears a suspect that has no counted crash."""

    def report_crash(self, upstream: str, request_id: str) -> None:
        """Record that a run's connection broke; call before its `end`."""


QUARANTINE: Final = ComponentKey[Quarantine]("quarantine")
