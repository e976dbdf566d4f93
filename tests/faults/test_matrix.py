"""Every fault at every step of every path, checked against the invariants.

One fault is applied to the VM that reaches a step, while callers, operators and the platform work.
No invariant may be violated, and everything accepted or sent must end once the fault is over.
The id of a cell is path, step, fault.
"""

import itertools
import logging

import pytest

from standins.checking.checker import find_violations
from tests.faults.fleet import CUSTOMERS, Fleet
from tests.faults.injection import Fault, FaultScenario
from tests.faults.paths import PATHS, Path
from tests.faults.steps import Step
from tests.helpers.virtual_time import run_virtual


def list_cells() -> list[object]:
    return [
        pytest.param(path, step, fault, id=f"{path.name}-{step.name}-{name}")
        for path in PATHS
        for step, (name, fault) in itertools.product(path.steps, path.faults.items())
    ]


async def async_run_cell(path: Path, faults: list[tuple[Step, Fault]]) -> FaultScenario:
    fleet = Fleet()
    try:
        await fleet.async_start()
        scenario = FaultScenario(fleet)
        for step, fault in faults:
            scenario.arm(step, fault)
        await path.work(scenario)
        await scenario.async_finish()
        await scenario.async_recover()
        for job in fleet.jobs:
            await fleet.async_wait_job(job)
        record = await fleet.async_collect()
        violations = find_violations(record, CUSTOMERS)
        assert not violations, f"{violations}, refused: {fleet.refused}"
        assert not fleet.unfinished_jobs, "accepted items did not end"
        assert not fleet.cut_calls, "a request was cut"
        assert scenario.patched.count(True) <= 1, "two operators patched one version"
        return scenario
    finally:
        await fleet.async_close()


@pytest.mark.parametrize(("path", "step", "fault"), list_cells())
def test_invariants_hold_under_fault(path: Path, step: Step, fault: Fault) -> None:
    logging.disable(logging.CRITICAL)
    try:
        scenario = run_virtual(async_run_cell(path, [(step, fault)]))
    finally:
        logging.disable(logging.NOTSET)
    assert scenario.fired == [step.name], "the step never took place"
