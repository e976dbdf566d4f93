"""Two faults in one path, for work that must run exactly once or at most once.

A booking or batch job meets a fault, and then a second one at the same or a later step while the
fleet still recovers. No ground may be booked twice and no batch result lost or duplicated. The pairs
are drawn with a fixed seed.
"""

import logging
import random
from typing import Final

import pytest

from tests.faults.injection import (
    Fault,
    cut_links,
    kill_vm,
    lose_service_answer,
    lose_store_answer,
    pause_vm,
    stop_store,
)
from tests.faults.paths import PATHS, Path
from tests.faults.steps import Step
from tests.faults.test_matrix import async_run_cell
from tests.helpers.virtual_time import run_virtual

SEED: Final = 6
PAIRS: Final = 30
SECOND_FAULTS: Final[dict[str, Fault]] = {
    "vm_killed": kill_vm,
    "vm_paused_past_its_lease": pause_vm,
    "store_down_60_s": stop_store,
    "store_answer_lost": lose_store_answer,
    "links_cut": cut_links,
    "service_answer_lost": lose_service_answer,
}


def list_pairs() -> list[object]:
    rng = random.Random(SEED)
    cells: dict[str, object] = {}
    for path in PATHS:
        if path.name not in ("booking", "batch"):
            continue
        target_count = len(cells) + PAIRS
        while len(cells) < target_count:
            first, then = sorted(rng.choices(range(len(path.steps)), k=2))
            one, fault = rng.choice(sorted(path.faults.items()))
            two, second = rng.choice(sorted(SECOND_FAULTS.items()))
            steps = path.steps[first], path.steps[then]
            name = f"{path.name}-{steps[0].name}-{one}-then-{steps[1].name}-{two}"
            faults = [(steps[0], fault), (steps[1], second)]
            cells[name] = pytest.param(path, faults, id=name)
    return list(cells.values())


@pytest.mark.parametrize(("path", "faults"), list_pairs())
def test_invariants_hold_under_two_faults(path: Path, faults: list[tuple[Step, Fault]]) -> None:
    logging.disable(logging.CRITICAL)
    try:
        scenario = run_virtual(async_run_cell(path, faults))
    finally:
        logging.disable(logging.NOTSET)
    assert scenario.fired[:1] == [faults[0][0].name], "the first step never took place"
