"""Decides what an item does that has events and needs an upstream of the same software; no I/O.

Upstreams of several software versions serve side by side for hours while they are replaced, and the last
ones of a version are few. An item may wait for one of them, or start over at another version and lose
its events. It waits for as long as its events took: this costs at most twice the better choice.
"""

from enum import StrEnum

from goldcreststair.clock import Millis
from goldcreststair.components.jobs.registry import ItemProgress


class Continuation(StrEnum):
    """What an item without an upstream of its software does."""

    WAIT = "wait"
    START_OVER = "start_over"


def decide_continuation(item: ItemProgress, now: Millis, repeat_ms: float) -> Continuation:
    """Return what an item does whose software has no free slot, while other upstreams have.

    `repeat_ms` is how long its events took.
    """
    if item.held_since is None:
        item.held_since = now
    waited_ms = now - item.held_since
    return Continuation.START_OVER if waited_ms >= repeat_ms else Continuation.WAIT
