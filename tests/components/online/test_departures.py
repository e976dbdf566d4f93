"""Tests of which streams move off a departing upstream, and how fast."""

import pytest

from goldcreststair.clock import Millis
from goldcreststair.components.online.const import (
    KV_MOVE_MIN_TOKENS,
    MAX_MOVES_AT_ONCE,
    MOVE_TICK_MS,
)
from goldcreststair.components.online.departures import (
    MoveMethod,
    StreamState,
    choose_move_method,
    choose_streams_to_move,
)

DEPARTURE = Millis(20_000)


def make_stream(name: str, produced: int = 100, max_tokens: int = 10_000) -> StreamState:
    return StreamState(name, DEPARTURE, produced, max_tokens, streaming_ms=2000)


@pytest.mark.parametrize(
    ("stream", "moves"),
    [
        (make_stream("long"), True),
        (make_stream("short", max_tokens=200), False),
        (make_stream("unknown", max_tokens=0), True),
        (make_stream("waiting", produced=0), True),
    ],
)
def test_only_streams_that_cannot_end_in_time_move(stream: StreamState, moves: bool) -> None:
    assert bool(choose_streams_to_move([stream], 0, Millis(11_900))) is moves


def test_streams_of_a_data_centre_move_at_an_even_pace() -> None:
    """All upstreams of a data centre depart, with 300 streams of this VM.

    Moved all at once, they would send a wave of prefills to the remaining engines.
    """
    remaining = [make_stream(f"r{number}") for number in range(300)]
    max_moves = 0
    for now in range(0, DEPARTURE, MOVE_TICK_MS):
        chosen = choose_streams_to_move(remaining, 0, Millis(now))
        max_moves = max(max_moves, len(chosen))
        remaining = [stream for stream in remaining if stream not in chosen]
    assert not remaining
    assert max_moves <= MAX_MOVES_AT_ONCE
    assert choose_streams_to_move([make_stream("r")], MAX_MOVES_AT_ONCE, Millis(0)) == ()


def test_longest_streams_move_first() -> None:
    streams = [make_stream("a", max_tokens=5000), make_stream("b", max_tokens=9000)]
    assert [stream.request_id for stream in choose_streams_to_move(streams, 0, Millis(0))] == ["b"]


def test_method_follows_the_measured_crossover() -> None:
    assert choose_move_method(KV_MOVE_MIN_TOKENS - 1) is MoveMethod.PREFILL
    assert choose_move_method(KV_MOVE_MIN_TOKENS) is MoveMethod.KV
