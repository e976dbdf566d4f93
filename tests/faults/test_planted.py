"""The matrix finds faults that are planted in components."""

import logging
from collections.abc import Callable
from typing import Any

import pytest
from result import Ok

from goldcreststair.components.claims import owner
from goldcreststair.components.claims.decisions import Decision
from goldcreststair.components.claims.models import AnswerCode
from goldcreststair.components.limits.fleet import FleetLimits
from tests.faults.paths import PATHS
from tests.faults.test_matrix import async_run_cell
from tests.helpers.virtual_time import run_virtual


def grant_every_claim(monkeypatch: pytest.MonkeyPatch) -> None:
    def decide(_found: Any, wanted: Any, _is_gone: Any) -> Decision:
        return Decision(AnswerCode.GRANTED, wanted)

    monkeypatch.setattr(owner, "decide_claim", decide)


def admit_everything(monkeypatch: pytest.MonkeyPatch) -> None:
    async def async_admit(_self: Any, _customer: Any, _deadline_at: Any) -> Any:
        return Ok(None)

    monkeypatch.setattr(FleetLimits, "async_admit", async_admit)


@pytest.mark.parametrize(
    ("plant", "path", "step", "fault", "message"),
    [
        (
            grant_every_claim,
            "booking",
            "before_the_run",
            "client_resends_elsewhere",
            "it ran again",
        ),
        (admit_everything, "limits", None, None, "ADMITTED_WITHIN_LIMIT"),
    ],
)
def test_planted_fault_is_found(
    monkeypatch: pytest.MonkeyPatch,
    plant: Callable[[pytest.MonkeyPatch], None],
    path: str,
    step: str | None,
    fault: str | None,
    message: str,
) -> None:
    """A planted fault books a ground twice or admits a customer above its rate."""
    plant(monkeypatch)
    chosen = next(known for known in PATHS if known.name == path)
    faults = [
        (known, chosen.faults[fault]) for known in chosen.steps if fault and known.name == step
    ]
    logging.disable(logging.CRITICAL)
    try:
        with pytest.raises(AssertionError, match=message):
            run_virtual(async_run_cell(chosen, faults))
    finally:
        logging.disable(logging.NOTSET)
