"""An in-process fleet, its callers, and the record of what they observe from outside."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import orjson
from result import Err, Ok, Result

from goldcreststair.bootstrap import COMPONENTS
from goldcreststair.clock import LoopClock
from goldcreststair.components.batch.parsing import Defaults
from goldcreststair.components.batch.service import BATCH
from goldcreststair.components.batch.submission import SubmitOptions
from goldcreststair.components.caller_api.errors import make_key_refusal
from goldcreststair.components.configuration.controller import CONFIGURATION_FOLLOWER
from goldcreststair.components.configuration.models import CONFIGURATION
from goldcreststair.components.keys.protocols import KEYS
from goldcreststair.components.online.models import GenerateRequest, ServiceRequest
from goldcreststair.components.online.service import ONLINE
from goldcreststair.helpers.api_keys import hash_key
from goldcreststair.helpers.refusals import RefusalCode
from goldcreststair.store.models import ListedState, ListedVm
from goldcreststair.upstreams.errors import UpstreamError
from goldcreststair.upstreams.models import (
    GenerateCall,
    GenerateEnd,
    ServiceCall,
    ServiceResponse,
    StreamChunk,
    Upstream,
)
from goldcreststair.upstreams.protocols import StreamSink
from standins.checking.checker import Limit
from standins.checking.record import Answer, ItemState, Record, RefusalRecord, Run
from standins.daemons import FakeDaemon, FakeDaemons
from standins.engine.client import FakeUpstreams
from standins.engine.model import make_text
from standins.engine.models import EngineParameters
from standins.gate import Effect, track_tasks
from standins.network import FakeNetwork
from standins.platform.store import FakePlatform

ENGINES = {"e1": "10.8.0.1:9000", "e2": "10.8.0.2:9000"}
GROUNDS = {"g1": "10.8.1.1:9000", "g2": "10.8.1.2:9000"}
UPSTREAMS = ENGINES | GROUNDS
CUSTOMERS = {"acme": Limit(20.0, 20), "busy": Limit(10.0, 10)}
SETTLE_MS = 12_000
TOKENS = 30
DEADLINE_MS = 60_000
POISON = "poison"


def make_document() -> dict[str, Any]:
    engine = {"data_centre": "dc1", "models": ["small"]}
    service = {"data_centre": "dc1", "kind": "service", "service": "grounds"}
    return {
        "customers": {
            name: {"rate_per_s": limit.rate_per_s, "burst": limit.burst}
            for name, limit in CUSTOMERS.items()
        },
        "keys": {hash_key(f"key-{name}"): name for name in CUSTOMERS},
        "upstreams": {name: {"address": at, **engine} for name, at in ENGINES.items()}
        | {name: {"address": at, **service} for name, at in GROUNDS.items()},
    }


class TextSink:
    """Joins the data that one caller's connection received."""

    def __init__(self) -> None:
        self.data = b""

    async def async_accept(self, chunk: StreamChunk) -> None:
        self.data += chunk.data

    def read_text(self) -> str:
        events = [event.partition(b"data: ")[2] for event in self.data.split(b"\n\n") if event]
        return "".join(orjson.loads(event)["choices"][0]["text"] for event in events)


class ObservedUpstreams(FakeUpstreams):
    """Upstreams that record each run with its time; refused and crossed calls are no runs."""

    def __init__(self, clock: LoopClock) -> None:
        super().__init__(clock)
        self.runs: list[Run] = []
        self.now = clock.now

    async def async_generate(
        self, upstream: Upstream, call: GenerateCall, sink: StreamSink
    ) -> Result[GenerateEnd, UpstreamError]:
        engine = self.engines[upstream.address]
        refused = engine.faults.refuse or engine.draining or engine.faults.cross_answers
        if not refused and upstream.address not in self.unreachable:
            self.runs.append(Run(self.now(), upstream.name, call.request_id, True))
        return await super().async_generate(upstream, call, sink)

    async def async_call(
        self, upstream: Upstream, call: ServiceCall
    ) -> Result[ServiceResponse, UpstreamError]:
        content = orjson.loads(call.body)
        if not self.services[upstream.address].refuse:
            repeatable = bool(content["repeatable"])
            self.runs.append(Run(self.now(), upstream.name, content["booking"], repeatable))
            # Recorded under the request id as well, to check `not_run` of each single send.
            self.runs.append(Run(self.now(), upstream.name, call.request_id, True))
        return await super().async_call(upstream, call)


class CallerEndpoint:
    """Caller connections of one VM; drains as the HTTP server does."""

    def __init__(self, fleet: "Fleet", daemon: FakeDaemon) -> None:
        self.calls: set[asyncio.Task[Any]] = set()
        self._fleet = fleet
        self._daemon = daemon

    async def async_drain(self, deadline_ms: int) -> None:
        self._fleet.leaving.add(self._daemon.address)
        clock = self._daemon.core.clock
        while self.calls and clock.now() < deadline_ms:
            await clock.async_sleep(20)


class Fleet:
    """Three daemons with all components, two engines, two services, one platform."""

    def __init__(self) -> None:
        track_tasks(asyncio.get_running_loop())
        self.clock = clock = LoopClock(0.0)
        self.platform = FakePlatform(clock)
        self.network = FakeNetwork(clock)
        self.upstreams = ObservedUpstreams(clock)
        self.daemons = FakeDaemons(
            clock,
            self.platform,
            self.network,
            COMPONENTS,
            upstreams=self.upstreams,
            partitions=8,
            gated=True,
        )
        self.record = Record(keys=[f"key-{name}" for name in CUSTOMERS])
        self.jobs: dict[str, list[str]] = {}
        """Accepted job -> its items, each named by its prompt."""
        self.on_effect: Callable[[Effect], None] | None = None
        self.unfinished_jobs: set[str] = set()
        self.listed: dict[str, ListedState] = {}
        self.cut_calls: list[str] = []
        """Requests whose connection broke although no fault killed their VM."""
        self.refused: dict[str, RefusalCode] = {}
        """Request -> code of its last refusal."""
        self.endpoints: dict[str, CallerEndpoint] = {}
        self.leaving: set[str] = set()
        """Addresses of the VMs that leave and accept no connection any more."""
        self.killed: set[str] = set()
        """Addresses of the VMs that a fault killed."""
        self.sent = 0

    @property
    def live(self) -> list[FakeDaemon]:
        return [daemon for daemon in self.daemons.running if not self.is_lost(daemon)]

    def is_lost(self, daemon: FakeDaemon) -> bool:
        """Return whether this VM accepts no connection any more."""
        assert daemon.gate is not None
        return daemon.gate.lost or daemon.address in self.leaving

    async def async_start(self) -> None:
        for address in ENGINES.values():
            self.upstreams.add_engine(address, parameters=EngineParameters(idle_poll_ms=500))
        for address in GROUNDS.values():
            self.upstreams.add_service(address).delay_ms = 50
        for _ in range(3):
            await self.async_add()
        follower = self.daemons.running[0].core.get(CONFIGURATION_FOLLOWER)
        (await follower.async_patch(0, "first", make_document())).unwrap()
        await self.clock.async_sleep(SETTLE_MS)

    async def async_add(self) -> FakeDaemon:
        daemon = await self.daemons.async_add()
        assert daemon.gate is not None
        daemon.gate.on_effect = self._on_effect
        versions = self.record.versions.setdefault(daemon.address, [0])
        daemon.core.blackboard.subscribe(
            CONFIGURATION, lambda configuration: versions.append(configuration.version)
        )
        self._follow_admissions(daemon)
        self.endpoints[daemon.address] = endpoint = CallerEndpoint(self, daemon)
        daemon.core.drainables.append(endpoint)
        self.listed[daemon.address] = ListedState.LIVE
        self.publish_list()
        return daemon

    def publish_list(self) -> None:
        self.platform.set_vms([ListedVm(at, "dc1", state) for at, state in self.listed.items()])

    def _follow_admissions(self, daemon: FakeDaemon) -> None:
        limits: Any = daemon.core.get(ONLINE)._limits
        admit = limits.async_admit

        async def async_admit(customer: Any, deadline_at: Any) -> Any:
            admitted = await admit(customer, deadline_at)
            if isinstance(admitted, Ok):
                times = self.record.admitted_ms.setdefault(customer.name, [])
                times.append(self.clock.now())
            return admitted

        limits.async_admit = async_admit

    def _on_effect(self, effect: Effect) -> None:
        if self.on_effect is not None:
            self.on_effect(effect)

    async def async_close(self) -> None:
        for daemon in self.daemons.running:
            assert daemon.gate is not None
            daemon.gate.on_effect = None
            daemon.gate.lose()
        self.daemons.running.clear()
        await self.upstreams.async_close()
        await asyncio.sleep(0)

    async def async_as_caller(self, vm: int, make: Callable[[Any], Awaitable[Any]]) -> Any:
        """Run a call at one VM; returns None if the VM was lost before the answer."""
        daemon = self.daemons.running[vm]
        assert daemon.gate is not None
        if self.is_lost(daemon):
            return None

        gate = daemon.gate

        async def async_run() -> Any:
            # A paused VM accepts no call until it resumes.
            await gate.async_wait_open()
            return await make(daemon.core)

        task = daemon.gate.spawn(async_run())
        calls = self.endpoints[daemon.address].calls
        calls.add(task)
        await asyncio.wait({task})
        calls.discard(task)
        if task.cancelled():
            if daemon.address not in self.killed:
                self.cut_calls.append(f"a call at {daemon.address}")
            return None
        return task.result()

    async def async_generate(
        self,
        vm: int,
        request: str,
        prompt: str,
        *,
        key: str = "",
        customer: str = "acme",
        tokens: int = TOKENS,
        deadline_ms: int = DEADLINE_MS,
    ) -> bool:
        """Send one streamed request; returns whether its complete answer arrived."""
        sink = TextSink()
        body = {"model": "small", "prompt": prompt, "max_tokens": tokens, "stream": True}

        async def async_send(core: Any) -> Any:
            identified = core.get(KEYS).identify(f"key-{customer}")
            if isinstance(identified, Err):
                return Err(make_key_refusal(identified.err_value, key))
            identity = identified.ok_value
            wanted = GenerateRequest(
                request,
                identity,
                "/v1/completions",
                orjson.dumps(body),
                "small",
                True,
                deadline_ms=deadline_ms,
                idempotency_key=key,
            )
            return await core.get(ONLINE).async_generate(wanted, sink)

        ended = await self.async_as_caller(vm, async_send)
        text = sink.read_text() if isinstance(ended, Ok) else ""
        return self._observe(request, request, customer, ended, text, make_text(prompt, tokens))

    async def async_book(
        self, vm: int, request: str, key: str, *, repeatable: bool = False, body: str = "a ground"
    ) -> bool:
        """Book a ground; returns whether the complete answer arrived."""

        async def async_send(core: Any) -> Any:
            identified = core.get(KEYS).identify("key-acme")
            if isinstance(identified, Err):
                return Err(make_key_refusal(identified.err_value, key))
            identity = identified.ok_value
            content = orjson.dumps({"booking": key, "body": body, "repeatable": repeatable})
            wanted = ServiceRequest(
                request,
                identity,
                "grounds",
                "POST",
                "/book",
                content,
                repeatable,
                idempotency_key=key,
            )
            return await core.get(ONLINE).async_call(wanted)

        ended = await self.async_as_caller(vm, async_send)
        text = orjson.loads(ended.ok_value.body)["path"] if isinstance(ended, Ok) else ""
        return self._observe(key, request, "acme", ended, text, "/book")

    def _observe(
        self, request: str, send: str, customer: str, ended: Any, text: str, expected: str
    ) -> bool:
        if ended is None:
            return False
        if isinstance(ended, Ok):
            self.record.answers.append(Answer(request, customer, text, expected))
            return True
        refusal = ended.err_value
        self.record.refusals.append(RefusalRecord(send, refusal.not_run))
        if any(run.request == request for run in self.upstreams.runs):
            # An earlier send under the same key may have run, and then `not_run` would be wrong.
            self.record.refusals.append(RefusalRecord(request, refusal.not_run))
        self.refused[request] = refusal.code
        return False

    async def async_submit(self, vm: int, key: str, prompts: list[str]) -> str:
        """Submit a job; returns its id if it was acknowledged."""
        lines = [
            orjson.dumps({"custom_id": prompt, "body": {"prompt": prompt, "max_tokens": TOKENS}})
            for prompt in prompts
        ]

        async def async_send(core: Any) -> Any:
            options = SubmitOptions("acme", key, 3600, Defaults("/v1/completions", "small"))
            submission = core.get(BATCH).begin_submission(options)
            await submission.async_feed(b"\n".join(lines))
            return await submission.async_finish()

        ended = await self.async_as_caller(vm, async_send)
        if not isinstance(ended, Ok):
            return ""
        job: str = ended.ok_value.job
        self.jobs[job] = prompts
        return job

    async def async_cancel(self, vm: int, job: str) -> bool:
        """Cancel a job; returns whether the cancel was acknowledged."""

        async def async_send(core: Any) -> Any:
            return await core.get(BATCH).jobs.async_cancel("acme", job)

        return isinstance(await self.async_as_caller(vm, async_send), Ok)

    async def async_read_job(self, job: str) -> Result[Any, Any]:
        """Return the job's progress as reported by the first live VM."""
        return await self.live[0].core.get(BATCH).jobs.async_describe("acme", job)

    async def async_wait_job(self, job: str, limit_s: int = 300) -> None:
        """Wait until all items of a job are terminal."""
        for _ in range(limit_s):
            progress = await self.async_read_job(job)
            if isinstance(progress, Ok) and not progress.ok_value.counts.get("undone", 0):
                return
            await self.clock.async_sleep(1000)
        self.unfinished_jobs.add(job)

    async def async_collect(self) -> Record:
        """Add the runs at upstreams and the results read back to the record."""
        record = self.record
        record.received += [repr(call).encode() for _, call in self.upstreams.calls]
        record.runs += self.upstreams.runs
        for job, prompts in self.jobs.items():
            record.accepted_items += [(job, prompt) for prompt in prompts]
            await self._async_read_back(job)
        return record

    async def _async_read_back(self, job: str) -> None:
        jobs = self.live[0].core.get(BATCH).jobs
        page = await jobs.async_page("acme", job, 0, 1000)
        for line in page.ok_value.lines if isinstance(page, Ok) else ():
            text = ""
            if line.state == "done":
                text = orjson.loads(line.body)["choices"][0]["text"]
            expected = make_text(line.custom_id, TOKENS)
            state = ItemState(job, line.custom_id, line.state, text, expected)
            self.record.items.append(state)
