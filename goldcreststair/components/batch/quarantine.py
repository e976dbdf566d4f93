"""Keeps items that crash engines away from them, fleet-wide where shared sets are offered."""

import hashlib

from goldcreststair.clock import Millis
from goldcreststair.components.batch.chunks import Chunk, Finished
from goldcreststair.components.batch.models import ItemState
from goldcreststair.components.membership.protocols import SET_QUARANTINE, SHARED_SETS, SharedSets
from goldcreststair.core import Core


def make_fingerprint(customer: str, body: str) -> str:
    """Return the name of a request in the quarantine: SHA-256 of customer and body, in hex."""
    return hashlib.sha256(f"{customer}\0{body}".encode()).hexdigest()


class Quarantine:
    """Adds quarantined items to the shared set and ends those found in it."""

    def __init__(self, core: Core) -> None:
        """Use the shared sets if membership offers them."""
        self._sets: SharedSets | None = None
        try:
            self._sets = core.get(SHARED_SETS)
        except KeyError:
            return

    def observe(self, chunk: Chunk, index: int) -> None:
        """Tell the fleet of an item that was just quarantined."""
        finished = chunk.finished.get(index)
        if self._sets is None or chunk.items is None or finished is None:
            return
        if finished.state is ItemState.QUARANTINED:
            body = chunk.items[index].body
            self._sets.add(SET_QUARANTINE, make_fingerprint(chunk.record.customer, body))

    def sift(self, chunk: Chunk, now: Millis) -> None:
        """End items of a loaded chunk that the fleet has quarantined."""
        if self._sets is None or chunk.items is None:
            return
        for index, item in enumerate(chunk.items):
            name = make_fingerprint(chunk.record.customer, item.body)
            if chunk.is_open(index) and self._sets.contains(SET_QUARANTINE, name):
                chunk.finished[index] = Finished(ItemState.QUARANTINED, 0, b"")
                chunk.finished_at = now
