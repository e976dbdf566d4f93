"""Decides which streams leave a departing upstream, when and how; no I/O."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from goldcreststair.clock import Millis
from goldcreststair.components.online.const import (
    END_MARGIN_MS,
    KV_MOVE_MIN_TOKENS,
    MAX_MOVES_AT_ONCE,
    MOVE_MARGIN_MS,
    MOVE_TICK_MS,
)


class MoveMethod(StrEnum):
    """How the next upstream comes by the KV state of a stream."""

    KV = "kv"
    """Exported and imported."""
    PREFILL = "prefill"
    """Computed again from the prompt and the text so far."""


@dataclass(frozen=True, slots=True)
class StreamState:
    """How far one stream at a departing upstream has come."""

    request_id: str
    departure_at: Millis
    """When its upstream is gone."""
    produced: int
    """Tokens that its caller has."""
    wanted: int
    """Tokens it may come to; 0 if unknown."""
    streaming_ms: int
    """Time since its first token; 0 before it."""

    def estimate_left_ms(self) -> float:
        """Return how long it will go on; without end if nothing tells."""
        if not self.wanted or self.produced < 1 or self.streaming_ms < 1:
            return math.inf
        return (self.wanted - self.produced) * self.streaming_ms / self.produced


def choose_method(context_tokens: int) -> MoveMethod:
    """Return the quicker way for a stream with so many tokens of prompt and answer."""
    return MoveMethod.KV if context_tokens >= KV_MOVE_MIN_TOKENS else MoveMethod.PREFILL


def choose_movers(
    streams: Sequence[StreamState], moving: int, now: Millis
) -> tuple[StreamState, ...]:
    """Return which streams to move now, longest first; `moving` are under way already."""
    long = [s for s in streams if now + s.estimate_left_ms() > s.departure_at - END_MARGIN_MS]
    if not long:
        return ()
    # A whole data centre leaves in one night: moved all at once, its streams would meet as one
    # wave of prefills at the engines that stay, and every caller there would see its tokens halt.
    first_departure = min(stream.departure_at for stream in long)
    ticks_left = max(1, (first_departure - MOVE_MARGIN_MS - now) // MOVE_TICK_MS)
    due = min(math.ceil(len(long) / ticks_left), MAX_MOVES_AT_ONCE - moving)
    long.sort(key=lambda stream: (-stream.estimate_left_ms(), stream.request_id))
    return tuple(long[: max(0, due)])
