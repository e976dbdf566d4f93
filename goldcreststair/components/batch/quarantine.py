"""Fleet-wide quarantine of batch items that crash engines, if shared sets are offered."""

from goldcreststair.clock import Millis
from goldcreststair.components.batch.chunks import Chunk, Finished
from goldcreststair.components.batch.models import ItemState
from goldcreststair.components.membership.protocols import SET_QUARANTINE, SHARED_SETS, SharedSets
from goldcreststair.components.quarantine.const import QUARANTINE_LIFETIME_MS
from goldcreststair.components.quarantine.protocols import make_fingerprint
from goldcreststair.core import Core


class ItemQuarantine:
    """Adds quarantined items to the shared set and ends items that are in it."""

    def __init__(self, core: Core) -> None:
        """Use the shared sets if membership offers them, else do nothing."""
        self._sets: SharedSets | None = None
        try:
            self._sets = core.get(SHARED_SETS)
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
            fingerprint = make_fingerprint(chunk.record.customer, item.body.encode())
            if chunk.is_open(index) and self._sets.contains(SET_QUARANTINE, fingerprint):
                chunk.finished[index] = Finished(ItemState.QUARANTINED, 0, b"")
                chunk.finished_at = now
