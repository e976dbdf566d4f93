"""Which streams leave a departing upstream, and how fast."""

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
    choose_method,
    choose_movers,
)

DEPARTURE = Millis(20_000)


def make_stream(name: str, produced: int = 100, wanted: int = 10_000) -> StreamState:
    return StreamState(name, DEPARTURE, produced, wanted, streaming_ms=2000)


@pytest.mark.parametrize(
    ("stream", "moves"),
    [
        (make_stream("long"), True),
        (make_stream("short", wanted=200), False),
        (make_stream("unknown", wanted=0), True),
        (make_stream("waiting", produced=0), True),
    ],
)
def test_only_streams_that_cannot_end_in_time_move(stream: StreamState, moves: bool) -> None:
    assert bool(choose_movers([stream], 0, Millis(11_900))) is moves


def test_a_data_centre_moves_at_an_even_pace() -> None:
    """All upstreams of a data centre depart in one night, with 300 streams of this VM.

    Moved at once, they would meet as a wave of prefills at the engines that stay.
    """
    left = [make_stream(f"r{number}") for number in range(300)]
    most = 0
    for now in range(0, DEPARTURE, MOVE_TICK_MS):
        chosen = choose_movers(left, 0, Millis(now))
        most = max(most, len(chosen))
        left = [stream for stream in left if stream not in chosen]
    assert not left
    assert most <= MAX_MOVES_AT_ONCE
    assert choose_movers([make_stream("r")], MAX_MOVES_AT_ONCE, Millis(0)) == ()


def test_longest_go_first() -> None:
    streams = [make_stream("a", wanted=5000), make_stream("b", wanted=9000)]
    assert [stream.request_id for stream in choose_movers(streams, 0, Millis(0))] == ["b"]


def test_method_follows_the_measured_crossover() -> None:
    assert choose_method(KV_MOVE_MIN_TOKENS - 1) is MoveMethod.PREFILL
    assert choose_method(KV_MOVE_MIN_TOKENS) is MoveMethod.KV
