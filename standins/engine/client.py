"""In-process engines and services behind the daemon's client protocols, with faults."""

import asyncio
import dataclasses
from dataclasses import dataclass, field

import orjson
from result import Err, Ok, Result
from tornado.httputil import HTTPHeaders

from goldcreststair.clock import Clock
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.http_exchange import HttpResponse
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.http_engine import convert_error_response
from goldcreststair.upstreams.models import (
    CacheEvent,
    GenerateCall,
    GenerateEnd,
    LoadReport,
    Order,
    ServiceCall,
    ServiceResponse,
    StreamChunk,
    Upstream,
)
from goldcreststair.upstreams.protocols import StreamSink, UpstreamClients
from standins.engine.model import EngineModel, make_token
from standins.engine.models import EngineParameters, GenerationState
from standins.engine.requests import ParsedRequest, encode_event, encode_response, parse_request

FINAL_STATES = (GenerationState.DONE, GenerationState.CANCELLED, GenerationState.LOST)
IDLE_TIMEOUT_MS = 5000
SILENT_POLL_MS = 50


@dataclass(slots=True)
class ServiceRecord:
    """Runs and faults of an in-process plain service."""

    runs: list[ServiceCall] = field(default_factory=list)
    lose_answers: int = 0
    refuse: bool = False
    delay_ms: int = 0


class FakeUpstreams:
    """All upstreams of a test by address; implements both client protocols."""

    def __init__(self, clock: Clock) -> None:
        """Create a set without upstreams."""
        self.engines: dict[str, EngineModel] = {}
        self.services: dict[str, ServiceRecord] = {}
        self.calls: list[tuple[str, GenerateCall | ServiceCall]] = []
        """Address and call of everything that upstreams received."""
        self.unreachable: set[str] = set()
        self._clock = clock
        self._decoding: list[asyncio.Task[None]] = []

    def add_engine(
        self,
        address: str,
        models: tuple[str, ...] = ("small",),
        parameters: EngineParameters | None = None,
        seed: int = 1,
    ) -> EngineModel:
        """Start an engine; requires a running event loop."""
        engine = EngineModel(self._clock, parameters or EngineParameters(), models, seed)
        self.engines[address] = engine
        self._decoding.append(asyncio.create_task(engine.async_run()))
        return engine

    def add_service(self, address: str) -> ServiceRecord:
        """Start a plain service."""
        self.services[address] = ServiceRecord()
        return self.services[address]

    def as_clients(self) -> UpstreamClients:
        """Return this stand-in under the daemon's protocols."""
        return UpstreamClients(self, self)

    async def async_close(self) -> None:
        """Stop all engines."""
        for task in self._decoding:
            task.cancel()
        await asyncio.gather(*self._decoding, return_exceptions=True)

    async def async_generate(
        self, upstream: Upstream, call: GenerateCall, sink: StreamSink
    ) -> Result[GenerateEnd, UpstreamError]:
        """Run or resume one request."""
        await asyncio.sleep(0)
        if upstream.address in self.unreachable:
            return Err(UpstreamError("no route", UpstreamFailure.CONNECT))
        self.calls.append((upstream.address, call))
        engine = self.engines[upstream.address]
        if call.software_version not in (None, engine.software):
            return Err(UpstreamError("other software", UpstreamFailure.OTHER_SOFTWARE))
        faults = engine.faults
        if faults.crash_delay_ms and faults.crash_marker.encode() in call.body:
            await self._clock.async_sleep(faults.crash_delay_ms)
        refused = self._check_refusal(engine, call)
        if refused is not None:
            return Err(refused)
        try:
            request = parse_request(call.path, call.request_id, call.body, call.prior)
        except (ValueError, KeyError, TypeError) as error:
            body = orjson.dumps({"error": {"message": f"bad request: {error}"}})
            return Err(UpstreamError("rejected", UpstreamFailure.REJECTED, 400, body))
        if not engine.served.serves(request.model):
            return Err(UpstreamError("model not loaded", UpstreamFailure.REFUSED, 503))
        generation = engine.submit(request.generation)
        if generation is request.generation:
            generation.produced = call.resume_after + 1
        request = dataclasses.replace(request, generation=generation)
        try:
            async with asyncio.timeout(call.timeout_ms / MS_PER_SECOND):
                return await self._async_follow(engine, request, call, sink)
        except TimeoutError:
            return Err(UpstreamError("no whole answer in time", UpstreamFailure.TIMEOUT))

    async def async_cancel(
        self, upstream: Upstream, request_id: str
    ) -> Result[None, UpstreamError]:
        """Stop a request."""
        if upstream.address in self.unreachable:
            return Err(UpstreamError("no route", UpstreamFailure.CONNECT))
        self.engines[upstream.address].cancel(request_id)
        return Ok(None)

    async def async_read_load(self, upstream: Upstream) -> Result[LoadReport, UpstreamError]:
        """Return the engine's last load report."""
        if upstream.address in self.unreachable:
            return Err(UpstreamError("no route", UpstreamFailure.CONNECT))
        return Ok(self.engines[upstream.address].read_report())

    async def async_read_cache_events(
        self, upstream: Upstream, after_sequence: int
    ) -> Result[tuple[CacheEvent, ...], UpstreamError]:
        """Return prefix-cache events after a sequence number."""
        if upstream.address in self.unreachable:
            return Err(UpstreamError("no route", UpstreamFailure.CONNECT))
        return Ok(self.engines[upstream.address].read_events(after_sequence))

    async def async_send_order(
        self, upstream: Upstream, order: Order
    ) -> Result[None, UpstreamError]:
        """Send an order to an engine."""
        if upstream.address in self.unreachable:
            return Err(UpstreamError("no route", UpstreamFailure.CONNECT))
        engine = self.engines[upstream.address]
        if not await engine.async_apply_order(order):
            return Err(UpstreamError("old fencing number", UpstreamFailure.FENCED, 409))
        if engine.faults.lose_order_answers > 0:
            engine.faults.lose_order_answers -= 1
            return Err(UpstreamError("answer lost", UpstreamFailure.LOST))
        return Ok(None)

    async def async_export_kv(
        self, upstream: Upstream, request_id: str
    ) -> Result[bytes, UpstreamError]:
        """Return the KV state of a running request."""
        engine = self.engines[upstream.address]
        if upstream.address in self.unreachable or engine.faults.refuse_kv:
            return Err(UpstreamError("no route", UpstreamFailure.CONNECT))
        state = await engine.kv.async_export(engine.find(request_id))
        if state is None:
            return Err(UpstreamError("unknown request", UpstreamFailure.REJECTED, 404))
        return Ok(state)

    async def async_import_kv(
        self, upstream: Upstream, request_id: str, state: bytes
    ) -> Result[None, UpstreamError]:
        """Import the KV state of a request into an engine."""
        if upstream.address in self.unreachable:
            return Err(UpstreamError("no route", UpstreamFailure.CONNECT))
        await self.engines[upstream.address].async_import_kv(request_id, state)
        return Ok(None)

    async def async_call(
        self, upstream: Upstream, call: ServiceCall
    ) -> Result[ServiceResponse, UpstreamError]:
        """Make one call to a plain service."""
        await asyncio.sleep(0)
        if upstream.address in self.unreachable:
            return Err(UpstreamError("no route", UpstreamFailure.CONNECT))
        self.calls.append((upstream.address, call))
        record = self.services[upstream.address]
        if record.refuse:
            return Err(UpstreamError("refused", UpstreamFailure.REFUSED, 503))
        record.runs.append(call)
        if record.delay_ms:
            await self._clock.async_sleep(record.delay_ms)
        if record.lose_answers > 0:
            record.lose_answers -= 1
            return Err(UpstreamError("answer lost", UpstreamFailure.LOST))
        body = orjson.dumps({"path": call.path, "run": len(record.runs)})
        return Ok(ServiceResponse(200, body, "application/json"))

    def _check_refusal(self, engine: EngineModel, call: GenerateCall) -> UpstreamError | None:
        faults = engine.faults
        if faults.refuse or engine.draining:
            return UpstreamError("not accepting requests", UpstreamFailure.REFUSED, 503)
        if faults.fail_status:
            return convert_error_response(HttpResponse(faults.fail_status, HTTPHeaders(), b"{}"))
        if _is_poison(engine, call) and not faults.crash_after_tokens:
            engine.crash()
            return UpstreamError("connection closed early", UpstreamFailure.LOST)
        if faults.cross_answers:
            faults.cross_answers = False
            return UpstreamError("answer of another request", UpstreamFailure.CROSSED)
        return None

    async def _async_follow(
        self, engine: EngineModel, request: ParsedRequest, call: GenerateCall, sink: StreamSink
    ) -> Result[GenerateEnd, UpstreamError]:
        generation = request.generation
        index = call.resume_after + 1
        silent_at_start = engine.faults.silent
        while True:
            generation.advanced.clear()
            silent = engine.faults.silent and not silent_at_start
            if silent and not await self._async_wait_while_silent(engine, call):
                return Err(UpstreamError("no progress", UpstreamFailure.SILENT))
            returned = index - call.resume_after - 1
            if _is_poison(engine, call) and returned >= engine.faults.crash_after_tokens:
                engine.crash()
                return Err(UpstreamError("connection closed early", UpstreamFailure.LOST))
            if call.stream and index < generation.produced:
                chunk = _make_chunk(request, index, engine.software)
                index = chunk.last_index + 1
                # A slow caller may take long, so that more tokens or the end may follow at once.
                await sink.async_accept(chunk)
                continue
            if generation.state in FINAL_STATES:
                break
            await generation.advanced.wait()
        if generation.state is not GenerationState.DONE:
            return Err(UpstreamError("connection closed early", UpstreamFailure.LOST))
        if engine.faults.drop_end:
            return Err(UpstreamError("no end marker", UpstreamFailure.INCOMPLETE))
        target = generation.target_tokens
        if call.stream:
            return Ok(GenerateEnd(b"", target - call.resume_after - 1, target - 1))
        text = "".join(make_token(generation.seed, i) for i in range(target))
        return Ok(GenerateEnd(encode_response(request, text), target, target - 1))

    async def _async_wait_while_silent(self, engine: EngineModel, call: GenerateCall) -> bool:
        """Wait while the engine is silent; False if the idle time-out expires first."""
        for _ in range(IDLE_TIMEOUT_MS // SILENT_POLL_MS):
            await self._clock.async_sleep(SILENT_POLL_MS)
            if not engine.faults.silent:
                return True
        return False


def _is_poison(engine: EngineModel, call: GenerateCall) -> bool:
    marker = engine.faults.crash_marker
    return bool(marker) and marker.encode() in call.body


def _make_chunk(request: ParsedRequest, first: int, software: str) -> StreamChunk:
    generation = request.generation
    last = generation.produced - 1
    data = b"".join(
        encode_event(
            request,
            index,
            make_token(generation.seed, index),
            last=index + 1 >= generation.target_tokens,
        )
        for index in range(first, last + 1)
    )
    return StreamChunk(data, last + 1 - first, last, software)
