"""Fleet-wide quarantine of batch items that crash engines, if shared sets are offered."""

from goldcreststair.clock import Millis
from goldcreststair.components.batch.chunks import Chunk, Finished
from goldcreststair.components.batch.models import ItemState
from goldcreststair.components.membership.protocols import SET_QUARANTINE, SHARED_SETS, SharedSets
from goldcreststair.components.quarantine.const import QUARANTINE_LIFETIME_MS
from goldcreststair.components.quarantine.parts import find_suspects
from goldcreststair.components.quarantine.protocols import (
    QUARANTINE,
    UNKNOWN_PARTS,
    Parts,
    make_fingerprint,
)
from goldcreststair.core import Core


class ItemQuarantine:
    """Adds quarantined items to the shared set and ends items that are in it."""

    def __init__(self, core: Core) -> None:
        """Use the shared sets if membership offers them, else do nothing."""
        self._sets: SharedSets | None = None
        self.parts: Parts = UNKNOWN_PARTS
        try:
            self._sets = core.get(SHARED_SETS)
            self.parts = core.get(QUARANTINE).parts
        except KeyError:
            return

    def publish(self, chunk: Chunk, index: int) -> None:
        """Add an item to the shared set if it was just quarantined."""
        finished = chunk.finished.get(index)
        if self._sets is None or chunk.items is None or finished is None:
            return
        if finished.state is ItemState.QUARANTINED:
            body = chunk.items[index].body.encode()
            fingerprint = make_fingerprint(chunk.record.customer, body)
            self._sets.add(SET_QUARANTINE, fingerprint, QUARANTINE_LIFETIME_MS)

    def end_quarantined(self, chunk: Chunk, now: Millis) -> None:
        """End the items of a loaded chunk that are in the shared set."""
        if self._sets is None or chunk.items is None:
            return
        for index, item in enumerate(chunk.items):
            if not chunk.is_open(index):
                continue
            body = item.body.encode()
            fingerprint = make_fingerprint(chunk.record.customer, body)
            if self._sets.contains(SET_QUARANTINE, fingerprint) or self.parts.is_refused(
                find_suspects(fingerprint, body)
            ):
                chunk.leases.pop(index, None)
                chunk.finished[index] = Finished(ItemState.QUARANTINED, 0, b"")
                chunk.finished_at = now
