"""Random histories of several VMs on a faulty store, checked against the results of commits."""

import asyncio
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule, run_state_machine_as_test
from result import Err

from goldcreststair.clock import LoopClock
from goldcreststair.components.ledger import garbage, partition, plan, stage
from goldcreststair.components.ledger.codec import decode_head
from goldcreststair.components.ledger.loader import async_load
from goldcreststair.components.ledger.protocols import Change, CommitRefused, Partition
from goldcreststair.components.ledger.stage import OK_RESULT, CommitResult, Stage
from goldcreststair.components.membership.models import MemberState
from goldcreststair.store.models import Row, RowWrite
from standins.platform.store import FakePlatform
from tests.helpers.virtual_time import VirtualTimeLoop
from tests.helpers.vms import Fleet, VmTable

SETTINGS = settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


class RecordingPlatform(FakePlatform):
    """Checks at every write that an epoch has one owner and never decreases."""

    def __init__(self) -> None:
        super().__init__(LoopClock())
        self.owners: dict[tuple[str, int], str] = {}
        self.problems: list[str] = []

    def _apply(self, write: RowWrite) -> int:
        before = decode_head(self.rows.get(write.key)).head
        after = decode_head(Row(write.key, 1, write.value or b"")).head
        if after.epoch < before.epoch:
            self.problems.append(f"epoch went back on {write.key}")
        owner = self.owners.setdefault((write.key, after.epoch), after.owner)
        if after.owner not in ("", owner):
            self.problems.append(f"two owners in epoch {after.epoch} of {write.key}")
        return super()._apply(write)


# Hypothesis derives its seed from the source of this class, comments aside: any change of it checks
# other histories, which may be too few to detect a planted fault.
class LedgerHistory(RuleBasedStateMachine):
    """Each commit names the one before it, so what is kept must form one chain."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
        self.platform = RecordingPlatform()
        self.fleet = Fleet(2, self.platform)
        self.commits: dict[str, asyncio.Future[CommitResult]] = {}
        self.started = 0
        self.runner.run(self.fleet.async_add("vm0", "vm1"))
        self.started = 2

    def pick(self, number: int) -> str:
        return sorted(self.fleet.vms)[number % len(self.fleet.vms)]

    def list_owners(self, index: int) -> list[str]:
        vms = self.fleet.vms
        return [session for session in sorted(vms) if vms[session].ledger.get_owned(index)]

    @rule(
        index=st.integers(0, 1),
        size=st.sampled_from([1, 1, 400]),
        timeouts=st.lists(st.sampled_from([200, 3000, 30_000]), min_size=1, max_size=3),
    )
    def commit(self, index: int, size: int, timeouts: list[int]) -> None:
        for session in self.list_owners(index):
            owned = self.fleet.vms[session].get_owned(index)
            for timeout_ms in timeouts:
                self.runner.run(self.async_commit(owned, size, timeout_ms))

    @rule(index=st.integers(0, 1), wait_ms=st.sampled_from([0, 2, 30]))
    def displace(self, index: int, wait_ms: int) -> None:
        """Pause an owner about its commit and let its session expire."""
        sessions = self.list_owners(index)
        if not sessions:
            return
        session = sessions[0]
        self.runner.run(self.async_commit(self.fleet.vms[session].get_owned(index), 1, 60_000))
        self.advance(wait_ms)
        self.fleet.vms[session].table.paused.clear()
        if len(self.fleet.members) < 2:
            self.join()
        self.fleet.forget(session)
        self.advance(12_000)

    async def async_commit(self, owned: Partition, size: int, timeout_ms: int) -> None:
        name = f"{owned.index}-{len(self.commits):04d}"
        before = owned.get("last") or b""
        changes = [
            Change(f"left/{name}", before),
            Change("last", name.encode()),
            Change(f"right/{name}", b"x" * size),
        ]
        self.commits[name] = asyncio.ensure_future(owned.async_commit(changes, timeout_ms))
        await asyncio.sleep(0)

    @rule(delay_ms=st.sampled_from([1, 5, 20, 300, 2000, 12_000]))
    def advance(self, delay_ms: int) -> None:
        self.runner.run(asyncio.sleep(delay_ms / 1000))

    @rule(down=st.booleans(), slow_ms=st.sampled_from([0, 10, 150]), lose=st.integers(0, 2))
    def disturb_store(self, down: bool, slow_ms: int, lose: int) -> None:
        faults = self.platform.faults
        faults.down, faults.slow_ms, faults.lose_answers = down, slow_ms, lose

    @rule(number=st.integers(0, 5))
    def pause(self, number: int) -> None:
        self.fleet.vms[self.pick(number)].table.paused.clear()

    @rule(number=st.integers(0, 5))
    def wake(self, number: int) -> None:
        self.fleet.vms[self.pick(number)].table.paused.set()

    @rule(number=st.integers(0, 5))
    def expire(self, number: int) -> None:
        session = self.pick(number)
        if len(self.fleet.members) > 1:
            self.fleet.forget(session)

    @rule(number=st.integers(0, 5))
    def leave(self, number: int) -> None:
        session = self.pick(number)
        if session in self.fleet.members and len(self.fleet.members) > 1:
            self.fleet.set_state(session, MemberState.LEAVING)

    @precondition(lambda self: self.started < 8)
    @rule()
    def join(self) -> None:
        self.runner.run(self.fleet.async_add(f"vm{self.started}"))
        self.started += 1

    def teardown(self) -> None:
        try:
            self.runner.run(self.async_check())
        finally:
            self.runner.close()

    async def async_check(self) -> None:
        faults = self.platform.faults
        faults.down, faults.slow_ms, faults.lose_answers = False, 0, 0
        for vm in self.fleet.vms.values():
            vm.table.paused.set()
        await asyncio.sleep(60)
        told = {name: await future for name, future in self.commits.items()}
        assert not self.platform.problems, self.platform.problems
        for index in range(self.fleet.partitions):
            await self.async_check_partition(index, told)
        await self.fleet.async_close()

    async def async_check_partition(self, index: int, told: dict[str, CommitResult]) -> None:
        stored = decode_head(self.fleet.find_row(index))
        kept = (await async_load(self.platform, stored)).unwrap().values
        chain: set[str] = set()
        name = kept.get("last", b"").decode()
        while name:
            assert name not in chain, "the chain of commits has a loop"
            assert f"right/{name}" in kept, f"{name} is half kept"
            chain.add(name)
            name = kept[f"left/{name}"].decode()
        sides = {key.partition("/")[2] for key in kept if key != "last"}
        assert sides == chain, f"kept outside the chain: {sides ^ chain}"
        for name, result in told.items():
            if name.startswith(f"{index}-"):
                error = result.err()
                assert error is not None or name in chain, f"{name} was acknowledged and lost"
                refused = isinstance(error, CommitRefused)
                assert not (refused and name in chain), f"{name} was refused and kept"


@pytest.fixture(autouse=True)
def _small_bounds(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(plan, "MAX_TAIL_BYTES", 300)
    monkeypatch.setattr(plan, "MIN_COMPACT_BYTES", 1000)
    monkeypatch.setattr(garbage, "GARBAGE_GRACE_MS", 500)


def test_acknowledged_commits_survive_random_histories() -> None:
    """VMs pause, expire, leave and join while the store fails and loses responses."""
    run_state_machine_as_test(LedgerHistory, settings=SETTINGS)


def plant_blind_write(monkeypatch: pytest.MonkeyPatch) -> None:
    """Write without a check of the row's version."""
    genuine = VmTable.async_write

    async def async_write(self: VmTable, writes: Any) -> Any:
        await self.paused.wait()
        current = self.table.rows.get(writes[0].key)
        version = current.version if current else 0
        return await genuine(self, [RowWrite(writes[0].key, version, writes[0].value)])

    monkeypatch.setattr(VmTable, "async_write", async_write)


def plant_early_acknowledgement(monkeypatch: pytest.MonkeyPatch) -> None:
    """Acknowledge a commit before it is written."""

    def add(self: Stage, changes: Any, timeout_ms: int) -> Any:
        done = genuine(self, changes, timeout_ms)
        done.set_result(OK_RESULT)
        return done

    genuine = Stage.add
    monkeypatch.setattr(Stage, "add", add)


def plant_refusal_without_later_commits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Refuse a timed-out commit but keep the later ones that were staged on top of it."""

    def roll_back(self: Stage, position: int, reason: str) -> None:
        for commit in self._commits[position : position + 1]:
            self._records.apply(commit.undo)
            commit.resolve(Err(CommitRefused(reason)))
        del self._commits[position : position + 1]

    monkeypatch.setattr(Stage, "_roll_back", roll_back)


def plant_refusal_of_unknown_outcome(monkeypatch: pytest.MonkeyPatch) -> None:
    """Report a write with an unknown outcome as refused."""
    monkeypatch.setattr(stage, "CommitUnknown", CommitRefused)


def plant_ignored_epoch(monkeypatch: pytest.MonkeyPatch) -> None:
    """Resolve a commit in flight without a look at the epoch that ended the ownership."""

    def resolve_outcome(self: Any, head: Any, maybe_written: bool) -> CommitResult:
        return OK_RESULT

    monkeypatch.setattr(partition.OwnedPartition, "_resolve_outcome", resolve_outcome)


@pytest.mark.parametrize(
    "plant",
    [
        plant_blind_write,
        plant_early_acknowledgement,
        plant_refusal_without_later_commits,
        plant_refusal_of_unknown_outcome,
        plant_ignored_epoch,
    ],
)
def test_random_histories_detect_planted_faults(
    plant: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    with pytest.raises((AssertionError, KeyError, ExceptionGroup)):
        run_state_machine_as_test(LedgerHistory, settings=SETTINGS)
