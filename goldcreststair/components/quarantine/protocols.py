"""What other components ask of the quarantine."""

import hashlib
from typing import Final, Protocol

from goldcreststair.components.quarantine.const import FINGERPRINT_CHARACTERS
from goldcreststair.core import ComponentKey


def make_fingerprint(customer: str, body: bytes) -> str:
    """Return what recognises a request that is sent again."""
    digest = hashlib.sha256(customer.encode() + b"\0" + body)
    return digest.hexdigest()[:FINGERPRINT_CHARACTERS]


class Quarantine(Protocol):
    """Finds out which request crashes upstreams, and keeps it out of the whole fleet."""

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the request must not run."""

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the request must run apart from other suspects."""

    def begin(self, upstream: str, request_id: str, fingerprint: str) -> None:
        """Note that a request runs at an upstream."""

    def end(self, upstream: str, request_id: str, *, ok: bool) -> None:
        """Note that a run ended; `ok` clears the request of suspicion."""

    def report_crash(self, upstream: str, request_id: str) -> None:
        """Note that a run's connection broke; call before its `end`."""


QUARANTINE: Final = ComponentKey[Quarantine]("quarantine")
