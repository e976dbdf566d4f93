"""Decides which streams move off a departing upstream, when and how; no I/O."""

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
    """How the next upstream gets the KV state of a stream."""

    KV = "kv"
    """The state is exported from one engine and imported into the other."""
    PREFILL = "prefill"
    """The state is recomputed from the prompt and the text so far."""


@dataclass(frozen=True, slots=True)
class StreamState:
    """Progress of one stream at a departing upstream."""

    request_id: str
    departure_at: Millis
    """When its upstream stops serving."""
    produced: int
    """Tokens already sent to the caller."""
    max_tokens: int
    """Limit on the tokens of the response; 0 if unknown."""
    streaming_ms: int
    """Time since the first token; 0 before it."""

    def estimate_left_ms(self) -> float:
        """Return the estimated remaining time in ms; infinite if it cannot be estimated."""
        if not self.max_tokens or self.produced < 1 or self.streaming_ms < 1:
            return math.inf
        return (self.max_tokens - self.produced) * self.streaming_ms / self.produced


def choose_move_method(context_tokens: int) -> MoveMethod:
    """Return the faster method for a context of this many prompt and response tokens."""
    return MoveMethod.KV if context_tokens >= KV_MOVE_MIN_TOKENS else MoveMethod.PREFILL


def choose_streams_to_move(
    streams: Sequence[StreamState], moving: int, now: Millis
) -> tuple[StreamState, ...]:
    """Return the streams to move now, longest first; `moving` counts the moves in progress."""
    long = [s for s in streams if now + s.estimate_left_ms() > s.departure_at - END_MARGIN_MS]
    if not long:
        return ()
    # When a whole data centre departs, moving all its streams at once would send a wave of
    # prefills to the remaining engines and stall the tokens of every caller there.
    first_departure = min(stream.departure_at for stream in long)
    ticks_left = max(1, (first_departure - MOVE_MARGIN_MS - now) // MOVE_TICK_MS)
    due = min(math.ceil(len(long) / ticks_left), MAX_MOVES_AT_ONCE - moving)
    long.sort(key=lambda stream: (-stream.estimate_left_ms(), stream.request_id))
    return tuple(long[: max(0, due)])
