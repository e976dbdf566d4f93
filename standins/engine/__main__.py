"""HTTP server of the engine stand-in."""

import asyncio
import dataclasses
from typing import Any

import orjson
from cyclopts import App
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from goldcreststair.clock import LoopClock
from goldcreststair.upstreams.models import Order
from standins.engine.model import EngineModel, make_token
from standins.engine.models import EngineFaults, EngineParameters, GenerationState
from standins.engine.requests import (
    END_MARKER,
    ParsedRequest,
    encode_event,
    encode_response,
    parse_request,
)
from standins.serving import run_standin

app = App(help="Stand-in for an inference engine.")

FINAL_STATES = (GenerationState.DONE, GenerationState.CANCELLED, GenerationState.LOST)


class EngineHandler(RequestHandler):
    """Base of all handlers."""

    def initialize(self, engine: EngineModel, received: list[bytes]) -> None:
        """Set the engine model and the list of all received requests."""
        self.engine = engine
        self.received = received

    def prepare(self) -> None:
        """Record the request, so that tests can search it for keys."""
        head = f"{self.request.method} {self.request.uri}\n{self.request.headers}"
        self.received.append(head.encode() + self.request.body)


class GenerateHandler(EngineHandler):
    """Chat and text completions."""

    async def post(self) -> None:
        """Run or resume one request."""
        faults = self.engine.faults
        if faults.refuse or self.engine.draining:
            self._refuse("not accepting requests")
            return
        if faults.crash_marker and faults.crash_marker.encode() in self.request.body:
            self.engine.crash()
            self._close_connection()
            return
        try:
            request = self._parse()
        except (ValueError, KeyError, TypeError) as error:
            self.set_status(400)
            self.finish({"error": {"message": f"bad request: {error}", "type": "invalid"}})
            return
        if not self.engine.served.serves(request.model):
            self._refuse(f"model {request.model} is not loaded")
            return
        generation = self.engine.submit(request.generation)
        if generation is request.generation:
            generation.produced = self.first_index
        await self._async_generate(dataclasses.replace(request, generation=generation))

    def _parse(self) -> ParsedRequest:
        request_id = self.request.headers["X-Request-Id"]
        self.first_index = 0
        return parse_request(self.request.path, request_id, self.request.body)

    def _refuse(self, why: str) -> None:
        self.set_status(503)
        self.set_header("X-Not-Run", "true")
        self.finish({"error": {"message": why, "type": "unavailable"}})

    def _close_connection(self) -> None:
        self.request.connection.stream.close()  # type: ignore[union-attr]

    async def _async_generate(self, request: ParsedRequest) -> None:
        request_id = request.generation.request_id
        if self.engine.faults.cross_answers:
            self.engine.faults.cross_answers = False
            request_id = "crossed-" + request_id
        self.set_header("X-Request-Id", request_id)
        self.set_header("X-Software-Version", self.engine.software)
        try:
            if request.stream:
                await self._async_stream(request)
            else:
                await self._async_answer(request)
        except StreamClosedError:
            # Engines stop a request whose connection is closed only when it is cancelled.
            return

    async def _async_stream(self, request: ParsedRequest) -> None:
        self.set_header("Content-Type", "text/event-stream")
        generation = request.generation
        index = self.first_index
        silent_at_start = self.engine.faults.silent
        while True:
            generation.advanced.clear()
            while self.engine.faults.silent and not silent_at_start:
                await asyncio.sleep(0.05)
                if self.request.connection.stream.closed():  # type: ignore[union-attr]
                    return
            events = []
            while index < generation.produced:
                last = index + 1 >= generation.target_tokens
                text = make_token(generation.seed, index)
                events.append(encode_event(request, index, text, last=last))
                index += 1
            ended = generation.state in FINAL_STATES
            if generation.state is GenerationState.DONE and not self.engine.faults.drop_end:
                events.append(END_MARKER)
            if events:
                self.write(b"".join(events))
                await self.flush()
            if ended:
                break
            if generation.state in FINAL_STATES:
                # It ended while a slow caller was reading the last events.
                continue
            await generation.advanced.wait()
        if generation.state is not GenerationState.DONE or self.engine.faults.drop_end:
            self._close_connection()

    async def _async_answer(self, request: ParsedRequest) -> None:
        generation = request.generation
        while generation.state not in FINAL_STATES:
            generation.advanced.clear()
            await generation.advanced.wait()
        if generation.state is not GenerationState.DONE or self.engine.faults.drop_end:
            self._close_connection()
            return
        seed = generation.seed
        text = "".join(make_token(seed, index) for index in range(generation.target_tokens))
        self.set_header("Content-Type", "application/json")
        self.finish(encode_response(request, text))


class ResumeHandler(GenerateHandler):
    """Continues a request, known here or not, after the tokens that its caller has."""

    def _parse(self) -> ParsedRequest:
        resumption = orjson.loads(self.request.body)
        request_id = self.request.headers["X-Request-Id"]
        self.first_index = int(resumption["after"]) + 1
        body = orjson.dumps(resumption["request"])
        return parse_request(resumption["path"], request_id, body, resumption["prior"])


class CancelHandler(EngineHandler):
    """Cancellation of requests."""

    def post(self, request_id: str) -> None:
        """Stop a request."""
        self.engine.cancel(request_id)
        self.finish(b"null")


class KvHandler(EngineHandler):
    """Export and import of KV state."""

    async def get(self, request_id: str) -> None:
        """Export a running request's state."""
        state = await self.engine.kv.async_export(self.engine.find(request_id))
        if state is None:
            self.set_status(404)
        self.finish(state or b"null")

    async def put(self, request_id: str) -> None:
        """Import a request's state, whose tokens then need no prefill."""
        await self.engine.async_import_kv(request_id, self.request.body)
        self.finish(b"null")


class LoadHandler(EngineHandler):
    """Load reports."""

    def get(self) -> None:
        """Return the last report."""
        self.finish(orjson.dumps(dataclasses.asdict(self.engine.read_report())))


class CacheEventHandler(EngineHandler):
    """Events of the prefix cache."""

    def get(self) -> None:
        """Return events after a sequence number."""
        events = self.engine.read_events(int(self.get_query_argument("after", "0")))
        self.finish(orjson.dumps([dataclasses.asdict(event) for event in events]))


class OrderHandler(EngineHandler):
    """Orders to load, unload or change models, adapters and the role."""

    async def post(self) -> None:
        """Apply one order; status 409 if its fencing number is too old."""
        order = Order(**orjson.loads(self.request.body))
        if not await self.engine.async_apply_order(order):
            self.set_status(409)
        self.finish(b"null")


class FaultHandler(EngineHandler):
    """Faults and the requests received (tests and demo only)."""

    def get(self) -> None:
        """Return all received requests as one text."""
        self.finish(b"\n".join(self.received))

    def put(self) -> None:
        """Replace the faults in force."""
        request: dict[str, Any] = orjson.loads(self.request.body)
        self.engine.draining = request.pop("draining", self.engine.draining)
        self.engine.faults = EngineFaults(**request)
        self.finish(b"null")


def create_application(engine: EngineModel) -> Application:
    """Return the stand-in's HTTP interface."""
    arguments: dict[str, Any] = {"engine": engine, "received": []}
    return Application(
        [
            (r"/v1/chat/completions", GenerateHandler, arguments),
            (r"/v1/completions", GenerateHandler, arguments),
            (r"/v1/resume", ResumeHandler, arguments),
            (r"/requests/([^/]+)/cancel", CancelHandler, arguments),
            (r"/requests/([^/]+)/kv", KvHandler, arguments),
            (r"/load", LoadHandler, arguments),
            (r"/cache_events", CacheEventHandler, arguments),
            (r"/orders", OrderHandler, arguments),
            (r"/faults", FaultHandler, arguments),
        ]
    )


async def async_serve(engine: EngineModel, address: str, port: int) -> None:
    """Run the engine and serve until SIGTERM."""
    decoding = asyncio.ensure_future(engine.async_run())
    try:
        await run_standin(create_application(engine), address, port)
    finally:
        decoding.cancel()


@app.default
def main(
    models: str = "small",
    port: int = 0,
    address: str = "127.0.0.1",
    step_base_ms: float = 12.0,
    ignore_fencing: bool = False,
    software: str = "",
) -> None:
    """Serve `models` (comma-separated) until SIGTERM; prints the address as one JSON line."""
    parameters = EngineParameters(step_base_ms=step_base_ms, checks_fencing=not ignore_fencing)
    engine = EngineModel(LoopClock(), parameters, tuple(models.split(",")))
    engine.software = software
    asyncio.run(async_serve(engine, address, port))


if __name__ == "__main__":
    app()
