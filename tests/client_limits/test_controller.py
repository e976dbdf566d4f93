"""Which clients are closed when all of them together hold too much."""

import asyncio
from dataclasses import dataclass, field
from typing import Final

import pytest

from goldcreststair.client_limits.const import MAX_WAITING_TURNS, SMALL_BYTES, STALL_MS
from goldcreststair.client_limits.controller import ClientBudget
from goldcreststair.client_limits.models import ClientLimits, CloseCause, Holding
from goldcreststair.clock import LoopClock, Millis
from tests.helpers.virtual_time import ManualClock, run_virtual

LARGE: Final = 1024 * 1024
LIMITS: Final = ClientLimits(
    held_bytes=8 * LARGE, large_bytes=7 * LARGE, job_bytes=LARGE, connections=3
)


@dataclass(slots=True)
class Client:
    """A connection that records why it was closed; implements `Connection` and `ClientReporter`."""

    causes: list[CloseCause] = field(default_factory=list)

    def shed(self, cause: CloseCause) -> None:
        self.causes.append(cause)

    def count_closed_client(self, cause: CloseCause) -> None:
        self.causes.append(cause)


@dataclass(frozen=True, slots=True)
class Case:
    """What a client holds, and for how long it has been silent."""

    received: int = 0
    unsent: int = 0
    ahead: int = 0
    silent_ms: int = 0
    is_serving: bool = False


STILL: Final = STALL_MS + 1
"""Longer than a client may be silent without standing still."""


@pytest.mark.parametrize(
    ("cases", "closed"),
    [
        ([Case(7 * LARGE)], None),
        ([Case(4 * LARGE), Case(3 * LARGE + 1)], 0),
        ([Case(4 * LARGE), Case(3 * LARGE + 1, silent_ms=STILL)], 1),
        ([Case(4 * LARGE, silent_ms=STILL), Case(3 * LARGE + 1, silent_ms=STILL)], 0),
        ([Case(6 * LARGE, is_serving=True), Case(1500), Case(2 * LARGE)], 2),
        ([Case(6 * LARGE, is_serving=True), Case(LARGE, 2 * LARGE, is_serving=True)], None),
        (
            [
                Case(6 * LARGE, is_serving=True),
                Case(LARGE, 2 * LARGE, silent_ms=STILL, is_serving=True),
            ],
            1,
        ),
        ([Case(7 * LARGE, is_serving=True), Case(LARGE, ahead=LARGE, is_serving=True)], 1),
        ([Case(6 * LARGE), *[Case(SMALL_BYTES)] * 16], None),
        ([Case(6 * LARGE, is_serving=True), *[Case(SMALL_BYTES)] * 33], 1),
    ],
    ids=[
        "one below the limit",
        "the largest of those that move",
        "one that stands still",
        "the largest of those that stand still",
        "not a small one in place of a large one",
        "no request that runs",
        "an answer that is not read",
        "a request sent behind one that runs",
        "small ones use what is kept for them",
        "small ones are bounded as well",
    ],
)
def test_who_is_closed(cases: list[Case], closed: int | None) -> None:
    """Guards against ordinary clients that are closed in place of those that fill the memory."""
    clock = ManualClock()
    budget = ClientBudget(clock, LIMITS, Client())
    holdings: list[Holding] = []
    for case in cases:
        holding = budget.open(Client(), "front")
        holding.is_serving = case.is_serving
        holding.progressed_at = Millis(clock.now() - case.silent_ms)
        budget.resize(holding, case.received, case.unsent, case.ahead)
        holdings.append(holding)
    chosen = budget.choose_closed()
    assert (None if chosen is None else holdings.index(chosen)) == closed


def test_connections_are_closed_until_the_limit_is_kept() -> None:
    """Guards against a limit that one closed connection does not restore."""
    clients = [Client() for _ in range(5)]
    reporter = Client()
    budget = ClientBudget(ManualClock(), LIMITS, reporter)
    for client in clients:
        budget.resize(budget.open(client, "front"), 3 * LARGE, 0)
    budget.enforce()
    assert budget.count_bytes() == 6 * LARGE
    assert budget.count_connections() == 2
    assert reporter.causes == [CloseCause.MEMORY] * 3
    assert sum(len(client.causes) for client in clients) == 3


def test_bytes_are_given_back_with_the_connection() -> None:
    """Guards against a budget that shrinks with every client that disconnects."""
    budget = ClientBudget(ManualClock(), LIMITS, Client())
    for size in (10, SMALL_BYTES, LARGE, 6 * LARGE):
        holding = budget.open(Client(), "front")
        budget.resize(holding, size, size)
        budget.resize(holding, size, 0)
        budget.close(holding)
    assert (budget.count_bytes(), budget.count_connections()) == (0, 0)
    full = budget.open(Client(), "front")
    budget.resize(full, 7 * LARGE, 0)
    assert budget.choose_closed() is None


@pytest.mark.parametrize(
    ("cases", "closed"),
    [
        ([Case(), Case(), Case()], 0),
        ([Case(is_serving=True), Case(10), Case()], 2),
        ([Case(is_serving=True), Case(10), Case(20)], 1),
        ([Case(is_serving=True)] * 3, None),
    ],
    ids=["the longest silent", "idle ones first", "then a message", "no request that runs"],
)
def test_which_connection_makes_room_for_another(cases: list[Case], closed: int | None) -> None:
    """Guards against requests that are cut for a connection which has sent nothing yet."""
    budget = ClientBudget(ManualClock(), LIMITS, Client())
    clients = [Client() for _ in cases]
    for client, case in zip(clients, cases, strict=True):
        holding = budget.open(client, "front")
        holding.is_serving = case.is_serving
        budget.resize(holding, case.received, 0)
    assert budget.make_room() is (closed is not None)
    assert [n for n, client in enumerate(clients) if client.causes] == (
        [] if closed is None else [closed]
    )


def test_a_client_that_goes_on_is_not_the_longest_silent() -> None:
    """Guards against a busy connection that is closed because it is the oldest."""
    budget = ClientBudget(ManualClock(), LIMITS, Client())
    clients = [Client() for _ in range(3)]
    holdings = [budget.open(client, "front") for client in clients]
    budget.advance(holdings[0])
    assert budget.make_room()
    assert [len(client.causes) for client in clients] == [0, 1, 0]


def test_clients_with_small_chunks_take_turns() -> None:
    """Guards against bodies in small chunks that take all of the time, and against more than can be decoded."""

    async def scenario() -> None:
        budget = ClientBudget(LoopClock(), LIMITS, Client())
        clients = [Client() for _ in range(MAX_WAITING_TURNS + 2)]
        holdings = [budget.open(client, "front") for client in clients]
        turns = [
            asyncio.ensure_future(budget.async_take_turn(holding, number))
            for number, holding in enumerate(holdings[:-1], start=1)
        ]
        await asyncio.sleep(0)
        # The newest of them has had the most turns.
        assert clients[MAX_WAITING_TURNS].causes == [CloseCause.CHUNKS]
        turns.append(asyncio.ensure_future(budget.async_take_turn(holdings[-1], 0)))
        await asyncio.sleep(0)
        assert sum(turn.done() for turn in turns) < MAX_WAITING_TURNS
        await asyncio.gather(*turns)
        assert clients[-1].causes == []

    run_virtual(scenario())
