"""Every fault at every step of every path, each judged by the shared checker.

Story of the table: callers, operators and the landlord go about their work while, at the very
moment that a step of it takes place, one fault of the brief comes to the VM that takes the step.
A user must see no broken promise, and everything accepted or sent must come to its end once the
fault has healed. The cell's id reads path, step, fault.
"""

import itertools
import logging

import pytest

from standins.checking.checker import find_violations
from tests.faults.fleet import CUSTOMERS, Fleet
from tests.faults.injection import Fault, Scene
from tests.faults.paths import PATHS, Path
from tests.faults.steps import Step
from tests.helpers.virtual_time import run_virtual


def list_cells() -> list[object]:
    return [
        pytest.param(path, step, fault, id=f"{path.name}-{step.name}-{name}")
        for path in PATHS
        for step, (name, fault) in itertools.product(path.steps, path.faults.items())
    ]


async def async_judge(path: Path, faults: list[tuple[Step, Fault]]) -> Scene:
    fleet = Fleet()
    try:
        await fleet.async_start()
        scene = Scene(fleet)
        for step, fault in faults:
            scene.arm(step, fault)
        await path.work(scene)
        await scene.async_finish()
        await scene.async_recover()
        for job in fleet.jobs:
            await fleet.async_wait_job(job)
        record = await fleet.async_collect()
        violations = find_violations(record, CUSTOMERS)
        assert not violations, f"{violations}, refused: {fleet.refused}"
        assert not fleet.unended, "accepted items did not end"
        assert not fleet.cut, "a request was cut"
        assert scene.patched.count(True) <= 1, "two operators patched one version"
        return scene
    finally:
        await fleet.async_close()


@pytest.mark.parametrize(("path", "step", "fault"), list_cells())
def test_holds_all_promises(path: Path, step: Step, fault: Fault) -> None:
    logging.disable(logging.CRITICAL)
    try:
        scene = run_virtual(async_judge(path, [(step, fault)]))
    finally:
        logging.disable(logging.NOTSET)
    assert scene.fired == [step.name], "the step never took place"
