"""Several in-process VMs with batch, and the check at the end of every batch failure test."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import orjson
from result import Result

from goldcreststair.clock import Clock
from goldcreststair.components import configuration, keys, quarantine
from goldcreststair.components.batch.dispatchers import MakeAllowance, make_upstream_key
from goldcreststair.components.batch.errors import BatchError
from goldcreststair.components.batch.models import Manifest
from goldcreststair.components.batch.parsing import Defaults
from goldcreststair.components.batch.records import decode_chunk
from goldcreststair.components.batch.service import BATCH, BatchService
from goldcreststair.components.batch.submission import SubmitOptions
from goldcreststair.components.batch.views import describe_result
from goldcreststair.components.configuration.controller import CONFIGURATION_FOLLOWER
from goldcreststair.components.ledger.protocols import LEDGER
from goldcreststair.components.membership.protocols import SHARED_SETS
from goldcreststair.components.peers.protocols import PEERS
from goldcreststair.core import Core
from standins.engine.client import FakeUpstreams
from standins.engine.model import make_text
from standins.engine.models import EngineParameters
from standins.platform.store import FakePlatform
from tests.helpers.cores import make_configuration, make_core
from tests.helpers.ledger_world import SharedLedgerStore
from tests.helpers.peers import FakePeerNetwork
from tests.helpers.shared_sets import FakeSharedSets

ADDRESSES = {"e1": "127.0.0.1:9001", "e2": "127.0.0.1:9002"}


class ManualCalendar:
    def __init__(self) -> None:
        self.seconds = 1_700_000_000

    def now_s(self) -> int:
        return self.seconds


@dataclass
class BatchFleet:
    """VMs, engines and store of one test; `async_start` requires a running event loop."""

    vms: int = 3
    parameters: EngineParameters = field(default_factory=EngineParameters)
    make_allowance: MakeAllowance | None = None
    make_upstreams: Callable[[Clock], FakeUpstreams] = FakeUpstreams

    async def async_start(self) -> None:
        clock = make_core().clock
        self.clock = clock
        self.platform = FakePlatform(clock)
        self.upstreams = self.make_upstreams(clock)
        self.engines = {
            name: self.upstreams.add_engine(address, parameters=self.parameters)
            for name, address in ADDRESSES.items()
        }
        self.network = FakePeerNetwork(clock)
        self.world = SharedLedgerStore()
        self.sets = FakeSharedSets()
        self.calendar = ManualCalendar()
        self.cores: dict[str, Core] = {}
        self.services: dict[str, BatchService] = {}
        for number in range(self.vms):
            await self._async_add(f"vm{number}")
        self.world.spread()
        for service in self.services.values():
            await service.async_start()

    async def _async_add(self, session_id: str) -> None:
        core = make_core(
            platform=self.platform,
            upstreams=self.upstreams,
            clock=self.clock,
            session_id=session_id,
            seed=len(self.cores) + 1,
        )
        core.offer(LEDGER, self.world.join(session_id))
        core.offer(PEERS, self.network.join(session_id))
        core.offer(SHARED_SETS, self.sets)
        await quarantine.async_setup(core)
        await configuration.async_setup(core)
        await keys.async_setup(core)
        core.get(CONFIGURATION_FOLLOWER).apply(make_configuration())
        service = BatchService(core, self.calendar, self.make_allowance)
        core.offer(BATCH, service)
        self.cores[session_id] = core
        self.services[session_id] = service

    async def async_close(self) -> None:
        for service in self.services.values():
            await service.async_close()
        await self.upstreams.async_close()

    async def async_kill(self, session_id: str) -> None:
        """Kill a VM; the others take over its partitions."""
        self.network.kill(session_id)
        service = self.services.pop(session_id)
        self.world.ledgers.pop(session_id)
        keeper, stewards = service.chunk_owner, service.dispatchers
        running = [*keeper._tasks, *keeper._job_monitor._tasks, *stewards._tasks]
        for task in [service._ticking, *running]:
            if task is not None:
                task.cancel()
        for steward in service.dispatchers.by_name.values():
            for stream in steward.running:
                assert stream.task is not None
                stream.task.cancel()
        survivors = sorted(self.services)
        for index, owner in enumerate(self.world.owners):
            if owner == session_id:
                self.world.move(index, survivors[index % len(survivors)])

    def set_pause(self, *, paused: bool) -> None:
        """Pause or resume decoding at all engines."""
        for engine in self.engines.values():
            engine.faults.pause = paused

    def find_steward(self, upstream: str) -> str:
        ledger = next(iter(self.world.ledgers.values()))
        return str(ledger.find_owner(ledger.find_index(make_upstream_key(upstream))))

    async def async_submit(
        self, lines: Sequence[bytes], key: str = "", vm: str = "vm0", customer: str = "acme"
    ) -> Result[Manifest, BatchError]:
        options = SubmitOptions(customer, key, 3600, Defaults("/v1/completions", "small"))
        submission = self.services[vm].begin_submission(options)
        body = b"\n".join(lines)
        for start in range(0, len(body), 1000):
            await submission.async_feed(body[start : start + 1000])
        return await submission.async_finish()

    async def async_wait(self, job: str, limit_s: int = 600) -> None:
        """Wait until every item has a committed terminal state."""
        for _ in range(limit_s * 5):
            await self.clock.async_sleep(200)
            if not any(record.undone for record in self.list_records(job)):
                return
        raise AssertionError([record.states for record in self.list_records(job)])

    def list_records(self, job: str) -> list[Any]:
        found = self.world.find_all(f"chunk/{job}/")
        return [decode_chunk(value) for _, value in sorted(found.items())]

    async def async_check(self, job: str, states: dict[str, str] | None = None) -> dict[str, int]:
        """Check the state, history and text of each item; returns the counts of states."""
        expected = states or {}
        self._check_history(job)
        vm = next(iter(self.services.values()))
        progress = (await vm.jobs.async_describe("acme", job)).unwrap()
        seen: list[str] = []
        after = 0
        while after >= 0:
            page = (await vm.jobs.async_page("acme", job, after, 50)).unwrap()
            for line in page.lines:
                seen.append(line.custom_id)
                assert line.state == expected.get(line.custom_id, line.state)
                if line.state == "done":
                    answer = describe_result(line)["response"]["body"]
                    prompt, tokens = line.custom_id.split("|")
                    assert answer["choices"][0]["text"] == make_text(prompt, int(tokens))
            after = page.next_after
        assert len(seen) == len(set(seen)) == progress.manifest.items
        return dict(progress.counts)

    def _check_history(self, job: str) -> None:
        last: dict[str, str] = {}
        for key, value in self.world.history:
            if value is None or not key.startswith(f"chunk/{job}/"):
                continue
            states = decode_chunk(value).states
            for before, now in zip(last.get(key, states), states, strict=True):
                assert before in (".", now), "a committed terminal state changed"
            last[key] = states


def make_lines(count: int, tokens: int = 10, word: str = "item") -> list[bytes]:
    """Return JSON lines whose custom id contains the prompt and the tokens, for the check."""
    lines = []
    for number in range(count):
        prompt = f"{word} {number}"
        body = {"prompt": prompt, "max_tokens": tokens}
        lines.append(orjson.dumps({"custom_id": f"{prompt}|{tokens}", "body": body}))
    return lines
