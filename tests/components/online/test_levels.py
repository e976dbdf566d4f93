"""Tests of what counts against a customer's objectives."""

import pytest
from result import Err, Ok, Result

from goldcreststair.clock import Millis
from goldcreststair.components.online.levels import LevelObserver
from goldcreststair.components.service_level.protocols import SERVICE_LEVELS
from goldcreststair.helpers.refusals import Refusal, RefusalCode
from goldcreststair.upstreams.models import GenerateEnd
from tests.helpers.cores import make_core
from tests.helpers.virtual_time import ManualClock

COMPLETE = Ok(GenerateEnd(b"", 1, 0))


class RecordingLevels:
    def __init__(self) -> None:
        self.seen: list[tuple[str, int | None]] = []

    def observe(self, customer: str, first_token_ms: int | None) -> None:
        self.seen.append((customer, first_token_ms))


@pytest.mark.parametrize(
    ("ended", "first_token_at", "seen"),
    [
        (COMPLETE, Millis(1_000_040), [("acme", 40)]),
        (COMPLETE, None, [("acme", 900)]),
        (Err(Refusal("late", RefusalCode.DEADLINE)), None, [("acme", None)]),
        (Err(Refusal("broken", RefusalCode.UPSTREAM_FAILED)), Millis(1), [("acme", None)]),
        (Err(Refusal("over its rate", RefusalCode.RATE_LIMITED)), None, []),
        (Err(Refusal("bad", RefusalCode.INVALID_REQUEST)), None, []),
    ],
)
def test_counts_only_failures_not_caused_by_the_caller(
    ended: Result[GenerateEnd, Refusal],
    first_token_at: Millis | None,
    seen: list[tuple[str, int | None]],
) -> None:
    clock = ManualClock()
    core = make_core(clock=clock)
    levels = RecordingLevels()
    core.offer(SERVICE_LEVELS, levels)
    observer = LevelObserver(core)
    begun_at = clock.now()
    clock.advance(900)
    observer.observe("acme", begun_at, first_token_at, ended)
    assert levels.seen == seen
