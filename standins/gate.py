"""One daemon's effects behind a gate, so that a test can pause it or lose it with all its tasks."""

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
    """One call that a daemon makes to the world outside it."""

    address: str
    """The VM that makes it."""
    name: str
    """Name of the call, as `async_write`; `frame` for a frame to another VM."""
    arguments: tuple[Any, ...] = ()
    done: bool = False
    """False before the call takes effect, True when its answer is there."""


OnEffect = Callable[[Effect], None]


@dataclass(slots=True)
class VmGate:
    """All effects of one daemon; closed while it is paused, and for good once it is lost."""

    address: str
    clock: Clock
    on_effect: OnEffect | None = None
    lost: bool = False
    _open: asyncio.Event = field(default_factory=asyncio.Event)
    _tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    _context: contextvars.Context = field(default_factory=contextvars.copy_context)

    def __post_init__(self) -> None:
        """Start open, with a context that marks all tasks as this daemon's."""
        self._open.set()
        self._context.run(_CURRENT.set, self)

    @property
    def paused(self) -> bool:
        """Return whether nothing of this daemon goes on."""
        return not self._open.is_set()

    def pause(self) -> None:
        """Stop all effects and timers until `wake`."""
        self._open.clear()

    def wake(self) -> None:
        """Let held effects and timers go on, unless the daemon is lost."""
        if not self.lost:
            self._open.set()

    def lose(self) -> None:
        """End the daemon without any clean-up: its tasks end, and nothing of them gets out."""
        self.lost = True
        self._open.clear()
        for task in tuple(self._tasks):
            task.cancel()

    def run(self, work: Callable[[], T]) -> T:
        """Call a function as this daemon; tasks that it starts are the daemon's."""
        return self._context.copy().run(work)

    def spawn(self, work: Coroutine[Any, Any, T]) -> "asyncio.Task[T]":
        """Run a coroutine as a task of this daemon."""
        return asyncio.get_running_loop().create_task(work, context=self._context.copy())

    def adopt(self, task: asyncio.Task[Any]) -> None:
        """Remember a task of this daemon."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if self.lost:
            task.get_loop().call_soon(task.cancel)

    def note(self, effect: Effect) -> None:
        """Tell the test of an effect."""
        if self.on_effect is not None and not self.lost:
            self.on_effect(effect)

    async def async_pass(self) -> None:
        """Return once the gate is open."""
        await self._open.wait()

    async def async_do(self, name: str, call: Callable[..., Any], *arguments: Any) -> Any:
        """Make one call through the gate."""
        await self.async_pass()
        self.note(Effect(self.address, name, arguments))
        await self.async_pass()
        answer = await call(*arguments)
        self.note(Effect(self.address, name, arguments, done=True))
        await self.async_pass()
        return answer


def follow_tasks(loop: asyncio.AbstractEventLoop) -> None:
    """Let each daemon know the tasks that it starts on this loop."""

    def make_task(
        running: asyncio.AbstractEventLoop, work: Any, **options: Any
    ) -> "asyncio.Task[Any]":
        context = options.get("context")
        task: asyncio.Task[Any] = asyncio.Task(work, loop=running, **options)
        gate = context.get(_CURRENT) if context is not None else _CURRENT.get()
        if gate is not None:
            gate.adopt(task)
        return task

    loop.set_task_factory(make_task)


class _Gated:
    """Passes every coroutine of a stand-in through the gate."""

    def __init__(self, gate: VmGate, target: Any) -> None:
        self._gate = gate
        self._target = target

    def __getattr__(self, name: str) -> Any:
        call = getattr(self._target, name)

        async def async_call(*arguments: Any, **named: Any) -> Any:
            return await self._gate.async_do(name, partial(call, **named), *arguments)

        return async_call


class _GatedSink:
    """Holds chunks back while the daemon is paused."""

    def __init__(self, gate: VmGate, sink: Any) -> None:
        self._gate = gate
        self._sink = sink

    async def async_accept(self, chunk: Any) -> None:
        await self._gate.async_pass()
        self._gate.note(Effect(self._gate.address, "chunk", (chunk,)))
        await self._gate.async_pass()
        await self._sink.async_accept(chunk)


class _GatedEngines(_Gated):
    """Engines, whose chunks pass the gate too."""

    async def async_generate(self, upstream: Any, call: Any, sink: Any) -> Any:
        gated = _GatedSink(self._gate, sink)
        generate = self._target.async_generate
        return await self._gate.async_do("async_generate", generate, upstream, call, gated)


class GatedClock:
    """A clock whose timers wait while the daemon is paused; the time itself goes on."""

    def __init__(self, gate: VmGate, clock: Clock) -> None:
        """Stand between a daemon and its clock."""
        self._gate = gate
        self._clock = clock

    def now(self) -> Millis:
        """Return the current time."""
        return self._clock.now()

    def read_utc_s(self) -> int:
        """Return the date."""
        return self._clock.read_utc_s()

    def call_later(self, delay_ms: int, callback: Callable[[], None]) -> TimerHandle:
        """Run `callback` once after `delay_ms`, or when the daemon wakes."""
        return _GatedTimer(self._gate, self._clock, delay_ms, callback)

    async def async_sleep(self, delay_ms: int) -> None:
        """Wait `delay_ms`, or until the daemon wakes."""
        await self._clock.async_sleep(delay_ms)
        await self._gate.async_pass()


class _GatedTimer:
    """A timer that comes again soon while the daemon is paused."""

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
    """One channel of a daemon; frames wait while it is paused."""

    def __init__(self, gate: VmGate, channel: PeerChannel) -> None:
        self._gate = gate
        self._channel = channel
        self._held: list[bytes] = []

    def send(self, frame: bytes) -> bool:
        self._gate.note(Effect(self._gate.address, "frame", (frame,)))
        if self._gate.lost:
            return True
        if self._gate.paused:
            self._hold(frame)
            return True
        return self._channel.send(frame)

    async def async_receive(self) -> bytes | None:
        frame = await self._channel.async_receive()
        await self._gate.async_pass()
        return frame

    def close(self) -> None:
        if not self._gate.lost:
            self._channel.close()

    def _hold(self, frame: bytes) -> None:
        if not self._held:
            self._gate.spawn(self._async_flush())
        self._held.append(frame)

    async def _async_flush(self) -> None:
        await self._gate.async_pass()
        held, self._held = self._held, []
        for frame in held:
            self._channel.send(frame)


class GatedTransport:
    """A daemon's transport; implements `PeerTransport`."""

    def __init__(self, gate: VmGate, transport: PeerTransport) -> None:
        """Stand between a daemon and the network."""
        self._gate = gate
        self._transport = transport

    async def async_listen(self, address: str, port: int, on_accept: OnAccept) -> int:
        """Accept channels, as tasks of this daemon."""

        def accept(channel: PeerChannel) -> None:
            if not self._gate.lost:
                self._gate.run(lambda: on_accept(_GatedChannel(self._gate, channel)))

        return await self._transport.async_listen(address, port, accept)

    async def async_connect(
        self, address: str, port: int, timeout_ms: int
    ) -> Result[PeerChannel, TransportError]:
        """Open a channel."""
        await self._gate.async_pass()
        opened = await self._transport.async_connect(address, port, timeout_ms)
        await self._gate.async_pass()
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
