"""Two faults in one path, for all that must run exactly or at most once.

Story of the table: a booking or a digest job has met one fault of the brief, and while the fleet
still works at it a second one comes, at a later step or the next of the same kind. A user must see
no second ground and no second or lost summary. The pairs are drawn by a fixed seed.
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
from tests.faults.test_matrix import async_judge
from tests.helpers.virtual_time import run_virtual

SEED: Final = 6
PAIRS: Final = 30
SECOND: Final[dict[str, Fault]] = {
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
        wanted = len(cells) + PAIRS
        while len(cells) < wanted:
            first, then = sorted(rng.choices(range(len(path.steps)), k=2))
            one, fault = rng.choice(sorted(path.faults.items()))
            two, second = rng.choice(sorted(SECOND.items()))
            steps = path.steps[first], path.steps[then]
            name = f"{path.name}-{steps[0].name}-{one}-then-{steps[1].name}-{two}"
            faults = [(steps[0], fault), (steps[1], second)]
            cells[name] = pytest.param(path, faults, id=name)
    return list(cells.values())


@pytest.mark.parametrize(("path", "faults"), list_pairs())
def test_holds_all_promises_under_two_faults(path: Path, faults: list[tuple[Step, Fault]]) -> None:
    logging.disable(logging.CRITICAL)
    try:
        scene = run_virtual(async_judge(path, faults))
    finally:
        logging.disable(logging.NOTSET)
    assert scene.fired[:1] == [faults[0][0].name], "the first step never took place"
