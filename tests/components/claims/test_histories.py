"""Random histories of resent requests on a faulty fleet: at most one run if not repeatable."""

import asyncio
from collections import Counter
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test
from result import Ok

from goldcreststair.components.claims import decisions, owner
from goldcreststair.components.claims.models import AnswerCode
from goldcreststair.components.claims.protocols import (
    ClaimRequest,
    Finished,
    Granted,
    Joined,
    Outcome,
)
from tests.helpers.virtual_time import VirtualTimeLoop
from tests.helpers.vms import Fleet, Vm

SETTINGS = settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


class ClaimHistory(RuleBasedStateMachine):
    """Callers send requests with three keys repeatedly; only the last key's are repeatable."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
        self.fleet = Fleet(2)
        self.tasks: list[asyncio.Task[None]] = []
        self.runs: Counter[str] = Counter()
        self.settled: dict[str, Outcome] = {}
        self.read: list[tuple[str, Outcome]] = []
        self.runner.run(self.fleet.async_add("vm0", "vm1", "vm2"))

    def list_alive(self) -> list[Vm]:
        return [vm for vm in self.fleet.vms.values() if not vm.table.dead]

    def make_request(self, key: str) -> ClaimRequest:
        return ClaimRequest("acme", key, "f", f"r{len(self.tasks)}", key == "k2")

    @rule(
        number=st.integers(0, 5),
        key=st.sampled_from(["k0", "k1", "k2"]),
        run_ms=st.sampled_from([0, 100, 5000]),
        ending=st.sampled_from(["settle", "settle", "release", "abandon"]),
    )
    def send(self, number: int, key: str, run_ms: int, ending: str) -> None:
        alive = self.list_alive()
        vm = alive[number % len(alive)]
        sending = self.async_send(vm, self.make_request(key), run_ms, ending)
        self.tasks.append(self.runner.get_loop().create_task(sending))
        self.advance(1)

    async def async_send(self, vm: Vm, request: ClaimRequest, run_ms: int, ending: str) -> None:
        claimed = await vm.claims.async_claim(request, 3000)
        if not isinstance(claimed, Ok):
            return
        found = claimed.ok_value
        if isinstance(found, Finished):
            self.read.append((request.key, found.outcome))
        elif isinstance(found, Joined):
            waited = await vm.claims.async_wait(found, 20_000)
            if isinstance(waited, Ok):
                self.read.append((request.key, waited.ok_value))
        elif not vm.table.dead:
            await self.async_run(vm, found, run_ms, ending)

    async def async_run(self, vm: Vm, granted: Granted, run_ms: int, ending: str) -> None:
        if ending == "release":
            await vm.claims.async_release(granted)
            return
        key = granted.request.key
        self.runs[key] += 1
        await asyncio.sleep(run_ms / 1000)
        if vm.table.dead:
            return
        if ending == "abandon":
            await vm.claims.async_abandon(granted)
            return
        outcome = Outcome(200, "text/plain", granted.claim_id.encode())
        if isinstance(await vm.claims.async_settle(granted, outcome, 3000), Ok):
            self.settled[key] = outcome

    @rule(delay_ms=st.sampled_from([1, 50, 3000, 15_000]))
    def advance(self, delay_ms: int) -> None:
        self.runner.run(asyncio.sleep(delay_ms / 1000))

    @rule(down=st.booleans(), slow_ms=st.sampled_from([0, 20]), lose=st.integers(0, 2))
    def disturb(self, down: bool, slow_ms: int, lose: int) -> None:
        faults = self.fleet.platform.faults
        faults.down, faults.slow_ms, faults.lose_answers = down, slow_ms, lose
        self.fleet.network.lose_answers = lose

    @rule(number=st.integers(0, 5), is_kill=st.booleans())
    def lose_vm(self, number: int, is_kill: bool) -> None:
        """Kill a VM, or expire the session of one that still runs, and start another."""
        alive = [vm for vm in self.list_alive() if vm.session_id in self.fleet.members]
        if len(alive) < 2 or len(self.fleet.vms) > 5:
            return
        session = alive[number % len(alive)].session_id
        if is_kill:
            self.fleet.kill(session)
        self.fleet.forget(session)
        self.runner.run(self.fleet.async_add(f"vm{len(self.fleet.vms)}"))

    def teardown(self) -> None:
        try:
            self.disturb(False, 0, 0)
            self.runner.run(self.async_check())
        finally:
            self.runner.close()

    async def async_check(self) -> None:
        await asyncio.sleep(90)
        assert self.runs["k0"] <= 1 and self.runs["k1"] <= 1, f"run twice: {self.runs}"
        for key, outcome in self.read:
            assert self.settled.get(key, outcome) == outcome, f"{key} has two outcomes"
        vm = next(vm for vm in self.list_alive() if vm.session_id in self.fleet.members)
        for key in ("k0", "k1", "k2"):
            again = await vm.claims.async_claim(self.make_request(key), 20_000)
            if key in self.settled:
                assert again == Ok(Finished(self.settled[key])), f"{key}: {again}"
            elif key != "k2" and self.runs[key]:
                granted = isinstance(again, Ok) and isinstance(again.ok_value, Granted)
                assert not granted, f"{key} would run twice"
        await self.fleet.async_close()


def test_histories_run_nothing_twice() -> None:
    """VMs die or expire, answers are lost and the store fails while callers resend requests."""
    run_state_machine_as_test(ClaimHistory, settings=SETTINGS)


def plant_rerun(monkeypatch: pytest.MonkeyPatch) -> None:
    """Grant a claim whose runner is gone, whether it is repeatable or not."""

    def decide(found: Any, new_record: Any) -> Any:
        return decisions.Decision(AnswerCode.GRANTED, new_record)

    monkeypatch.setattr(decisions, "_decide_lost_run", decide)


def plant_undurable_grant(monkeypatch: pytest.MonkeyPatch) -> None:
    """Grant claims without writing them."""

    def decide(found: Any, new_record: Any, is_gone: Any) -> Any:
        return replace(genuine(found, new_record, is_gone), write=None)

    genuine = decisions.decide_claim
    monkeypatch.setattr(owner, "decide_claim", decide)


@pytest.mark.parametrize("plant", [plant_rerun, plant_undurable_grant])
def test_histories_show_planted_faults(plant: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    plant(monkeypatch)
    with pytest.raises((AssertionError, ExceptionGroup)):
        run_state_machine_as_test(ClaimHistory, settings=SETTINGS)
