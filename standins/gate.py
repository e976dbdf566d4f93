"""Gate for the effects of one daemon, so that a test can pause or kill it with all its tasks."""

import asyncio
import contextvars
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Final, TypeVar

from result import Ok, Result

from goldcreststair.clock import Clock, Millis, TimerHandle
from goldcreststair.store.protocols import Platform
from goldcreststair.transport import OnAccept, PeerChannel, PeerTransport, TransportError
from goldcreststair.upstreams.protocols import UpstreamClients

T = TypeVar("T")

_CURRENT: Final[contextvars.ContextVar["VmGate | None"]] = contextvars.ContextVar(
    "vm", default=None
)


@dataclass(frozen=True, slots=True)
class Effect:
    """One call of a daemon to something outside it."""

    address: str
    """Address of the calling VM."""
    name: str
    """Name of the call, such as `async_write`; `frame` for a frame to another VM."""
    arguments: tuple[Any, ...] = ()
    done: bool = False
    """False before the call takes effect, True once its answer has arrived."""


OnEffect = Callable[[Effect], None]


@dataclass(slots=True)
class VmGate:
    """Gate of one daemon's effects: closed during a pause, and for good once the daemon is lost."""

    address: str
    clock: Clock
    on_effect: OnEffect | None = None
    lost: bool = False
    _open: asyncio.Event = field(default_factory=asyncio.Event)
    _tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    _context: contextvars.Context = field(default_factory=contextvars.copy_context)

    def __post_init__(self) -> None:
        """Open the gate and create the context that marks tasks as this daemon's."""
        self._open.set()
        self._context.run(_CURRENT.set, self)

    @property
    def paused(self) -> bool:
        """Return whether the daemon is paused or lost."""
        return not self._open.is_set()

    def pause(self) -> None:
        """Stop all effects and timers until `resume`."""
        self._open.clear()

    def resume(self) -> None:
        """Resume effects and timers unless the daemon is lost."""
        if not self.lost:
            self._open.set()

    def lose(self) -> None:
        """Cancel the daemon's tasks without any clean-up; they cause no further effect."""
        self.lost = True
        self._open.clear()
        for task in tuple(self._tasks):
            task.cancel()

    def run(self, work: Callable[[], T]) -> T:
        """Call a function in this daemon's context, so that tasks it starts belong to the daemon."""
        return self._context.copy().run(work)

    def spawn(self, work: Coroutine[Any, Any, T]) -> "asyncio.Task[T]":
        """Run a coroutine as a task of this daemon."""
        return asyncio.get_running_loop().create_task(work, context=self._context.copy())

    def add_task(self, task: asyncio.Task[Any]) -> None:
        """Register a task of this daemon."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if self.lost:
            task.get_loop().call_soon(task.cancel)

    def report_effect(self, effect: Effect) -> None:
        """Report an effect to the test."""
        if self.on_effect is not None and not self.lost:
            self.on_effect(effect)

    async def async_wait_open(self) -> None:
        """Wait until the gate is open."""
        await self._open.wait()

    async def async_call_gated(self, name: str, call: Callable[..., Any], *arguments: Any) -> Any:
        """Make one call through the gate."""
        await self.async_wait_open()
        self.report_effect(Effect(self.address, name, arguments))
        await self.async_wait_open()
        answer = await call(*arguments)
        self.report_effect(Effect(self.address, name, arguments, done=True))
        await self.async_wait_open()
        return answer


def track_tasks(loop: asyncio.AbstractEventLoop) -> None:
    """Register each task on this loop with the daemon that starts it."""

    def make_task(
        running: asyncio.AbstractEventLoop, work: Any, **options: Any
    ) -> "asyncio.Task[Any]":
        context = options.get("context")
        task: asyncio.Task[Any] = asyncio.Task(work, loop=running, **options)
        gate = context.get(_CURRENT) if context is not None else _CURRENT.get()
        if gate is not None:
            gate.add_task(task)
        return task

    loop.set_task_factory(make_task)


class _Gated:
    """Calls every coroutine of a stand-in through the gate."""

    def __init__(self, gate: VmGate, target: Any) -> None:
        self._gate = gate
        self._target = target

    def __getattr__(self, name: str) -> Any:
        call = getattr(self._target, name)

        async def async_call(*arguments: Any, **named: Any) -> Any:
            return await self._gate.async_call_gated(name, partial(call, **named), *arguments)

        return async_call


class _GatedSink:
    """Delays chunks while the daemon is paused."""

    def __init__(self, gate: VmGate, sink: Any) -> None:
        self._gate = gate
        self._sink = sink

    async def async_accept(self, chunk: Any) -> None:
        await self._gate.async_wait_open()
        self._gate.report_effect(Effect(self._gate.address, "chunk", (chunk,)))
        await self._gate.async_wait_open()
        await self._sink.async_accept(chunk)


class _GatedEngines(_Gated):
    """Engine client whose chunks pass the gate as well."""

    async def async_generate(self, upstream: Any, call: Any, sink: Any) -> Any:
        gated = _GatedSink(self._gate, sink)
        generate = self._target.async_generate
        return await self._gate.async_call_gated("async_generate", generate, upstream, call, gated)


class GatedClock:
    """Clock whose timers are delayed during a pause; its time continues."""

    def __init__(self, gate: VmGate, clock: Clock) -> None:
        """Wrap a daemon's clock."""
        self._gate = gate
        self._clock = clock

    def now(self) -> Millis:
        """Return the current time."""
        return self._clock.now()

    def read_utc_s(self) -> int:
        """Return the UTC time in seconds."""
        return self._clock.read_utc_s()

    def call_later(self, delay_ms: int, callback: Callable[[], None]) -> TimerHandle:
        """Run `callback` once after `delay_ms`, or after the pause if the daemon is paused then."""
        return _GatedTimer(self._gate, self._clock, delay_ms, callback)

    async def async_sleep(self, delay_ms: int) -> None:
        """Wait `delay_ms`, and longer while the daemon is paused."""
        await self._clock.async_sleep(delay_ms)
        await self._gate.async_wait_open()


class _GatedTimer:
    """Timer that is retried every `RETRY_MS` while the daemon is paused."""

    RETRY_MS: Final = 50

    def __init__(
        self, gate: VmGate, clock: Clock, delay_ms: int, callback: Callable[[], None]
    ) -> None:
        self._gate = gate
        self._clock = clock
        self._callback = callback
        self._cancelled = False
        self._handle = clock.call_later(delay_ms, self._fire)

    def cancel(self) -> None:
        self._cancelled = True
        self._handle.cancel()

    def _fire(self) -> None:
        if self._cancelled or self._gate.lost:
            return
        if self._gate.paused:
            self._handle = self._clock.call_later(self.RETRY_MS, self._fire)
            return
        self._gate.run(self._callback)


class _GatedChannel:
    """Channel of a daemon whose frames are delayed while it is paused."""

    def __init__(self, gate: VmGate, channel: PeerChannel) -> None:
        self._gate = gate
        self._channel = channel
        self._delayed: list[bytes] = []

    def send(self, frame: bytes) -> bool:
        self._gate.report_effect(Effect(self._gate.address, "frame", (frame,)))
        if self._gate.lost:
            return True
        if self._gate.paused:
            self._delay(frame)
            return True
        return self._channel.send(frame)

    async def async_receive(self) -> bytes | None:
        frame = await self._channel.async_receive()
        await self._gate.async_wait_open()
        return frame

    def close(self) -> None:
        if not self._gate.lost:
            self._channel.close()

    def _delay(self, frame: bytes) -> None:
        if not self._delayed:
            self._gate.spawn(self._async_flush())
        self._delayed.append(frame)

    async def _async_flush(self) -> None:
        await self._gate.async_wait_open()
        delayed, self._delayed = self._delayed, []
        for frame in delayed:
            self._channel.send(frame)


class GatedTransport:
    """Gated transport of a daemon; implements `PeerTransport`."""

    def __init__(self, gate: VmGate, transport: PeerTransport) -> None:
        """Wrap a daemon's transport."""
        self._gate = gate
        self._transport = transport

    async def async_listen(self, address: str, port: int, on_accept: OnAccept) -> int:
        """Accept channels in this daemon's context."""

        def accept(channel: PeerChannel) -> None:
            if not self._gate.lost:
                self._gate.run(lambda: on_accept(_GatedChannel(self._gate, channel)))

        return await self._transport.async_listen(address, port, accept)

    async def async_connect(
        self, address: str, port: int, timeout_ms: int
    ) -> Result[PeerChannel, TransportError]:
        """Open a channel."""
        await self._gate.async_wait_open()
        opened = await self._transport.async_connect(address, port, timeout_ms)
        await self._gate.async_wait_open()
        return Ok(_GatedChannel(self._gate, opened.ok_value)) if isinstance(opened, Ok) else opened

    async def async_close(self) -> None:
        """Stop accepting."""
        await self._transport.async_close()


def gate_platform(gate: VmGate, platform: Platform) -> Platform:
    """Return a platform whose calls pass the gate."""
    table: Any = _Gated(gate, platform.table)
    objects: Any = _Gated(gate, platform.objects)
    vm_list: Any = _Gated(gate, platform.vm_list)
    weights: Any = _Gated(gate, platform.weights)
    return Platform(table, objects, vm_list, weights)


def gate_upstreams(gate: VmGate, upstreams: UpstreamClients) -> UpstreamClients:
    """Return upstream clients whose calls and chunks pass the gate."""
    engines: Any = _GatedEngines(gate, upstreams.engines)
    services: Any = _Gated(gate, upstreams.services)
    return UpstreamClients(engines, services)
