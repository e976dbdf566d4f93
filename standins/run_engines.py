"""Engines behind the `Runner` protocol: slots, a first-come-first-served queue, events, faults."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from result import Err, Ok, Result

from goldcreststair.clock import Clock, Millis
from goldcreststair.upstreams.dialect import Headers, RunCall, RunHead, UpstreamLoad
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.runner import RunEnd, RunSink
from standins.crash_rules import CrashRecord, PartArrival, PartCrash

HEADER_PARTS: Final = "parts"
"""Header that lists the names of the prompt's parts, separated by commas."""
SILENCE_POLL_MS: Final = 100
"""Interval at which a silent engine checks whether it may continue."""


class CrashManner(StrEnum):
    """What an engine that crashes under a prompt part does first."""

    HEAD = "head"
    """Sends the head of its answer."""
    EVENTS = "events"
    """Sends its first events."""
    NO_LENGTH = "no_length"
    """Sends a head without a length: the answer ends with its connection, as a whole one would."""
    SILENT = "silent"
    """Sends nothing more; its connections stay open."""


@dataclass(frozen=True, slots=True)
class BrokenAnswer:
    """An answer with status 200 that stops before its end."""

    events: int = 0
    """Number of whole events before `rest`."""
    rest: bytes = b""
    """What follows them."""
    ended_by_close: bool = True
    """Whether it has neither a length nor chunks, so that its connection ends it."""


@dataclass(slots=True)
class RunEngine:
    """State and faults of one engine."""

    name: str
    address: str
    service: str = "engine"
    data_centre: str = "dc0"
    slots: int = 8
    first_ms: int = 40
    event_ms: int = 30
    queue: int = 24
    software: str = ""
    """Version of its software, which marks the events that it sends; empty for no mark."""
    up: bool = True
    restarts: int = 0
    silent: bool = False
    """Whether it accepts connections but sends nothing."""
    unreachable: bool = False
    """Whether it sends nothing and accepts no connection, as on a cut link."""
    refuse: bool = False
    """Whether it refuses runs as full."""
    reset: bool = False
    """Whether it resets the connection of each request without running it."""
    cold_until: Millis = Millis(0)
    """Until when it tolerates few requests, as its answers report."""
    cold_arrivals: list[Millis] = field(default_factory=list)
    """Arrival times of requests while it was cold."""
    fail_status: int = 0
    """Status of the answer to every run; 0 for none."""
    pace_percent: int | None = None
    """How long its work takes now; 100 is usual, as is None."""
    reports_pace: bool = True
    """Whether its answers report `pace_percent`, if it is not None."""
    fail_share: float = 0.0
    """Share of runs that are answered with status 500, evenly spread over the runs."""
    broken: list[BrokenAnswer] = field(default_factory=list)
    """Its next answers, in order; later ones are whole."""
    running: int = 0
    waiting: int = 0
    ran: list[RunCall] = field(default_factory=list)
    """All runs in the order of their starts."""
    freed: asyncio.Event = field(default_factory=asyncio.Event)

    def scale(self, duration_ms: int) -> int:
        """Return how long a step takes at its current pace."""
        if self.pace_percent is None:
            return duration_ms
        return round(duration_ms * self.pace_percent / 100)


@dataclass(slots=True)
class RunEngines:
    """All engines of a test; implements `Runner` and `Connections`."""

    clock: Clock
    by_address: dict[str, RunEngine] = field(default_factory=dict)
    events: int = 20
    """Events of each answer that `events_by_request` does not name."""
    events_by_request: dict[str, int] = field(default_factory=dict)
    """Request id -> number of events of its answer."""
    statuses: dict[str, int] = field(default_factory=dict)
    """Request id -> status of its answer; 200 for others."""
    poison: bytes = b""
    """Body that crashes each engine that runs it."""
    poison_after_ms: int = 0
    """Time from its first event in a run to the crash; 0 for a crash before that event."""
    poison_at_event: int = 0
    """Number of the event at which it crashes engines, whichever run it comes in; 0 for none."""
    poison_arrivals: list[Millis] = field(default_factory=list)
    """When requests with this body reached an engine."""
    poison_crashes: list[Millis] = field(default_factory=list)
    """When engines crashed under them."""
    crash_parts: dict[str, CrashManner] = field(default_factory=dict)
    """Prompt parts that crash each engine that begins an answer on them."""
    crash_events: int = 2
    """Events before a crash in the manner `EVENTS`."""
    record: CrashRecord = field(default_factory=CrashRecord)
    """What the engines saw of these parts."""
    read_vm: Callable[[str], str] = lambda _: ""
    """Returns the VM that sent a run, by its request id."""
    on_crash: Callable[[RunEngine], None] = lambda _: None
    """Called when an engine ends under a prompt part."""
    crashes: int = 0
    deadlines: list[int] = field(default_factory=list)
    """Remaining time of each request that reached an engine, run or not, ms."""
    active_runs: Counter[str] = field(default_factory=Counter)
    """Request id -> number of its current runs."""
    made: Counter[str] = field(default_factory=Counter)
    """Number of events sent for each request in `events_by_request`."""

    @property
    def pool(self) -> RunEngines:
        """Return this object as the connection pool; it keeps no connection."""
        return self

    def add(self, engine: RunEngine) -> RunEngine:
        """Add an engine."""
        self.by_address[engine.address] = engine
        return engine

    def count_open(self, address: str) -> int:
        """Return 0, as no connection is kept."""
        return 0

    def has_idle(self, address: str) -> bool:
        """Return False, as no connection is kept."""
        return False

    def close_idle(self, address: str) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""

    async def async_warm(self, address: str, connect_timeout_ms: int) -> bool:
        """Return whether a connection can be opened."""
        await self.clock.async_sleep(1)
        engine = self.by_address.get(address)
        return engine is not None and engine.up and not engine.unreachable

    async def async_run(
        self, address: str, call: RunCall, sink: RunSink
    ) -> Result[RunEnd, UpstreamError]:
        """Run a request."""
        await self.clock.async_sleep(1)
        engine = self.by_address.get(address)
        if engine is None or not engine.up:
            return Err(UpstreamError("cannot connect", UpstreamFailure.CONNECT))
        self.deadlines.append(call.deadline_ms)
        if self.poison and call.body == self.poison:
            self.poison_arrivals.append(self.clock.now())
        part = self._find_crash_part(call)
        if part:
            vm = self.read_vm(call.request_id)
            arrival = PartArrival(part, call.request_id, vm, self.clock.now())
            self.record.arrivals.append(arrival)
        if engine.cold_until > self.clock.now():
            engine.cold_arrivals.append(self.clock.now())
        if engine.reset:
            return Err(UpstreamError("connection reset", UpstreamFailure.LOST))
        full = engine.waiting >= engine.queue
        misdirected = call.upstream != engine.name
        if engine.refuse or full or misdirected:
            refused = UpstreamFailure.REFUSED
            return Err(UpstreamError("not run", refused, 503, misdirected=misdirected))
        try:
            async with asyncio.timeout(call.deadline_ms / 1000):
                return await self._async_serve(engine, call, sink)
        except TimeoutError:
            return Err(UpstreamError("no whole answer in time", UpstreamFailure.TIMEOUT))

    async def _async_serve(
        self, engine: RunEngine, call: RunCall, sink: RunSink
    ) -> Result[RunEnd, UpstreamError]:
        await self._async_enter(engine)
        engine.running += 1
        engine.ran.append(call)
        self.active_runs[call.request_id] += 1
        try:
            return await self._async_answer(engine, call, sink)
        finally:
            engine.running -= 1
            self.active_runs[call.request_id] -= 1
            engine.freed.set()

    async def _async_enter(self, engine: RunEngine) -> None:
        engine.waiting += 1
        try:
            while engine.running >= engine.slots:
                engine.freed.clear()
                await engine.freed.wait()
        finally:
            engine.waiting -= 1

    async def _async_answer(
        self, engine: RunEngine, call: RunCall, sink: RunSink
    ) -> Result[RunEnd, UpstreamError]:
        status = self._choose_status(engine, call)
        pace = engine.pace_percent if engine.reports_pace else None
        load = UpstreamLoad(engine.running, engine.waiting, engine.slots, pace)
        cold_ms = max(0, engine.cold_until - self.clock.now())
        head = RunHead(status, (("Stamp", engine.name),), False, False, load, cold_ms)
        is_late = self.poison_after_ms or self.poison_at_event
        if self.poison and call.body == self.poison and not is_late:
            self._crash_by_poison(engine)
        await self.clock.async_sleep(engine.scale(engine.first_ms))
        lost = await self._async_check(engine)
        if lost is not None:
            return Err(lost)
        sink.on_head(head)
        if part := self._find_crash_part(call):
            return await self._async_crash(engine, call, sink, head, part)
        if status != 200 or not sink.wants_chunks:
            return Ok(RunEnd(head, b"failed" if status != 200 else b"whole"))
        if engine.broken:
            return await self._async_break_off(engine.broken.pop(0), engine, call, sink, head)
        return await self._async_send_events(engine, call, sink, head)

    async def _async_send_events(
        self, engine: RunEngine, call: RunCall, sink: RunSink, head: RunHead
    ) -> Result[RunEnd, UpstreamError]:
        began_at = self.clock.now()
        for number in range(
            call.resume_after + 1, self.events_by_request.get(call.request_id, self.events) + 1
        ):
            if call.body == self.poison and engine.up and self._is_poison_due(number, began_at):
                self._crash_by_poison(engine)
            lost = await self._async_check(engine)
            if lost is not None:
                return Err(lost)
            if call.request_id in self.events_by_request:
                self.made[call.request_id] += 1
            event = make_event(call.request_id, number, engine.software)
            taken: Awaitable[None] | None = sink.on_data(event)
            if taken is not None:
                await taken
            await self.clock.async_sleep(engine.scale(engine.event_ms))
        return Ok(RunEnd(head, b""))

    async def _async_break_off(
        self, answer: BrokenAnswer, engine: RunEngine, call: RunCall, sink: RunSink, head: RunHead
    ) -> Result[RunEnd, UpstreamError]:
        first = call.resume_after + 1
        events = [
            make_event(call.request_id, number, engine.software)
            for number in range(first, first + answer.events)
        ]
        for data in (*events, answer.rest):
            taken = sink.on_data(data) if data else None
            if taken is not None:
                await taken
            if sink.is_broken:
                return Err(UpstreamError("nothing more can be used", UpstreamFailure.INCOMPLETE))
            await self.clock.async_sleep(engine.scale(engine.event_ms))
        return Ok(RunEnd(head, b"", ended_by_close=answer.ended_by_close))

    def _is_poison_due(self, number: int, began_at: Millis) -> bool:
        """Return whether an engine crashes before it sends an event of the poisonous request."""
        after_ms, at_event = self.poison_after_ms, self.poison_at_event
        is_late = bool(after_ms) and self.clock.now() - began_at >= after_ms
        return bool(self.poison) and (is_late or (bool(at_event) and number >= at_event))

    def _crash_by_poison(self, engine: RunEngine) -> None:
        self.crashes += 1
        self.poison_crashes.append(self.clock.now())
        engine.up = False
        self.on_crash(engine)

    def _choose_status(self, engine: RunEngine, call: RunCall) -> int:
        ran = len(engine.ran)
        if int(ran * engine.fail_share) > int((ran - 1) * engine.fail_share):
            return 500
        return engine.fail_status or self.statuses.get(call.request_id, 200)

    def _find_crash_part(self, call: RunCall) -> str:
        """Return the first part of a prompt that crashes engines; empty if none does."""
        parts = read_prompt_parts(call.headers)[:-1]
        return next((part for part in parts if part in self.crash_parts), "")

    async def _async_crash(
        self, engine: RunEngine, call: RunCall, sink: RunSink, head: RunHead, part: str
    ) -> Result[RunEnd, UpstreamError]:
        """End an engine in the manner of a part."""
        manner = self.crash_parts[part]
        if manner is CrashManner.EVENTS and sink.wants_chunks:
            for number in range(call.resume_after + 1, call.resume_after + self.crash_events + 1):
                taken = sink.on_data(make_event(call.request_id, number, engine.software))
                if taken is not None:
                    await taken
                await self.clock.async_sleep(engine.scale(engine.event_ms))
        if engine.up and not engine.unreachable:
            self.record.crashes.append(PartCrash(part, engine.name, self.clock.now()))
            self.crashes += 1
            engine.up = manner is CrashManner.SILENT
            engine.unreachable = manner is CrashManner.SILENT
            self.on_crash(engine)
        if manner is CrashManner.NO_LENGTH:
            return Ok(RunEnd(head, b"", ended_by_close=True))
        lost = await self._async_check(engine)
        return Err(lost or UpstreamError("connection reset", UpstreamFailure.LOST))

    async def _async_check(self, engine: RunEngine) -> UpstreamError | None:
        while engine.silent or engine.unreachable:
            await self.clock.async_sleep(SILENCE_POLL_MS)
        if not engine.up:
            return UpstreamError("connection reset", UpstreamFailure.LOST)
        return None


def read_prompt_parts(headers: Headers) -> tuple[str, ...]:
    """Return the names of the prompt's parts in order; the last one is the request's own.

    >>> read_prompt_parts((("parts", "shared,own"),))
    ('shared', 'own')
    """
    listed = next((value for name, value in headers if name == HEADER_PARTS), "")
    return tuple(part for part in listed.split(",") if part)


def make_event(request_id: str, number: int, software: str = "") -> bytes:
    """Return event `number` of a request's answer, the same for every engine of one software version."""
    mark = f"@{software}" if software else ""
    return f"id: {number}\ndata: {request_id}.{number}{mark}\n\n".encode()


def read_software(text: bytes) -> set[str]:
    """Return the software versions that marked the events of a stream or of an item's text.

    >>> sorted(read_software(make_event("r", 1, "v1") + make_event("r", 2, "v1.1")))
    ['v1', 'v1.1']
    """
    return {line.partition("@")[2] for line in text.decode().splitlines() if "@" in line}


def make_stream(request_id: str, events: int) -> bytes:
    """Return a whole stream."""
    return b"".join(make_event(request_id, number) for number in range(1, events + 1))


def make_text(request_id: str, events: int) -> bytes:
    """Return the data of a whole answer."""
    return "\n".join(f"{request_id}.{number}" for number in range(1, events + 1)).encode()
