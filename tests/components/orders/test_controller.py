"""Orders bring an engine to its desired state, one idempotent step at a time."""

import pytest

from goldcreststair.clock import Millis
from goldcreststair.components.orders import const
from goldcreststair.components.orders.controller import (
    WeightBudget,
    begin_progress,
    choose_step,
    record_failure,
)
from goldcreststair.components.orders.models import Action, EngineState, Step

A = frozenset({"a"})
B = frozenset({"b"})


@pytest.mark.parametrize(
    ("desired", "reported", "step"),
    [
        (EngineState(A), EngineState(A), None),
        (EngineState(A), EngineState(B), Step(Action.LOAD_MODEL, "a")),
        (EngineState(A), EngineState(A | B), Step(Action.UNLOAD_MODEL, "b")),
        (EngineState(A, role="prefill"), EngineState(A), Step(Action.SET_ROLE, "role", "prefill")),
        (
            EngineState(A, versions={"a": "2"}),
            EngineState(A, versions={"a": "1"}),
            Step(Action.SET_VERSION, "a", "2"),
        ),
        (
            EngineState(A, versions={"a": "2"}),
            EngineState(versions={}),
            Step(Action.LOAD_MODEL, "a", "2"),
        ),
        (EngineState(A, adapters=B), EngineState(A), Step(Action.LOAD_ADAPTER, "b")),
        (EngineState(A), EngineState(A, adapters=B), Step(Action.UNLOAD_ADAPTER, "b")),
    ],
)
def test_chooses_the_next_step(
    desired: EngineState, reported: EngineState, step: Step | None
) -> None:
    assert choose_step(desired, reported) == step


def test_waits_for_orders_of_the_previous_owner_if_fencing_is_ignored() -> None:
    """An owner sends an order and is lost while the engine still carries it out.

    If the next owner sent another order at once, an engine that ignores fencing numbers could
    complete the older order last and stay in the wrong state.
    """
    now = Millis(5000)
    assert begin_progress(now, checks_fencing=True).wait_until == now
    waiting = begin_progress(now, checks_fencing=False)
    assert waiting.wait_until == now + const.LONGEST_ORDER_MS


def test_backs_off_after_failures() -> None:
    progress = begin_progress(Millis(0), checks_fencing=True)
    waits = []
    for _ in range(7):
        progress = record_failure(progress, Millis(0), maybe_running=False)
        waits.append(progress.wait_until)
    assert waits == [1000, 2000, 4000, 8000, 16000, 30000, 30000]


def test_budget_limits_the_rate_of_the_fleet() -> None:
    """100 VMs load a model at once; together they must not exceed the weight store's rate."""
    budgets = [WeightBudget(1000) for _ in range(100)]
    loads = 0
    for now in range(0, 60_000, 100):
        loads += sum(budget.try_reserve(500, 100, Millis(now)) for budget in budgets)
    # Each VM may start one load before its share has covered it.
    assert loads * 500 <= 60 * 1000 + 100 * 500
