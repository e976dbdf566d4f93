"""Callers of a fleet on virtual time: sound requests beside others with a part that crashes upstreams.

Sound requests and crashing ones share customer, path and all parts but one. Each caller sends a request that
failed once more, at another VM.
"""

import asyncio
import functools
import random
from dataclasses import dataclass, field
from typing import Final

from goldcreststair.clock import Millis
from goldcreststair.components.forwarding.protocols import FORWARDING
from goldcreststair.const import MS_PER_SECOND
from standins.crash_rules import CrashRecord, SentRequest, SoundAttempt
from standins.gateways import FakeResponder, FleetMember, GatewayFleet
from standins.run_engines import CrashManner, RunEngine

RESTART_MS: Final = 2_500
REPEAT_MS: Final = 100
SYSTEM_PARTS: Final = ("system-0", "system-1", "system-2")
"""First parts of the prompts."""
SESSIONS: Final = 60
"""Number of second parts, of which each belongs to one session of a caller."""
CUSTOMERS: Final = ("club", "other")


@dataclass(frozen=True, slots=True)
class CrashPart:
    """A part that crashes upstreams, and how its requests look."""

    name: str = "crash"
    manner: CrashManner = CrashManner.HEAD
    first: bool = False
    """Whether it is the first part of its prompts, and not the second."""
    per_s: float = 4.0


@dataclass(frozen=True, slots=True)
class CrashLoad:
    """The traffic of one play."""

    parts: tuple[CrashPart, ...] = (CrashPart(),)
    sound_per_s: float = 16.0
    calm_s: float = 10.0
    """Time before the first request with a crashing part."""
    crash_s: float = 25.0
    """How long such requests come."""
    path: str = "/stream/a"
    renames: bool = True
    """Whether an upstream returns under another name."""
    members: tuple[int, ...] = ()
    """Numbers of the VMs that get requests; empty for all."""
    system_parts: tuple[str, ...] = SYSTEM_PARTS
    """First parts of the prompts; a single one is common to all."""


@dataclass(frozen=True, slots=True)
class Outages:
    """How upstreams end by themselves."""

    every_ms: int
    together: int = 1
    """Number of upstreams that end at one moment."""
    silent: bool = False


@dataclass(slots=True)
class CrashTraffic:
    """Sends the requests of a load and records what became of them."""

    fleet: GatewayFleet
    load: CrashLoad
    chooser: random.Random
    record: CrashRecord = field(init=False)
    _vms: dict[str, str] = field(default_factory=dict)
    _number: int = 0

    def __post_init__(self) -> None:
        """Let the engines crash, and return after a time."""
        engines = self.fleet.engines
        self.record = engines.record
        engines.crash_parts = {part.name: part.manner for part in self.load.parts}
        engines.read_vm = lambda request_id: self._vms.get(request_id, "")
        engines.on_crash = lambda engine: self._schedule_restart(engine)

    async def async_play(self) -> CrashRecord:
        """Play the whole load."""
        load, began_at = self.load, self.fleet.clock.now()
        crash_at = Millis(began_at + int(load.calm_s * MS_PER_SECOND))
        ends_at = Millis(crash_at + int(load.crash_s * MS_PER_SECOND))
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._async_send_all(None, load.sound_per_s, began_at, ends_at))
            for part in load.parts:
                tasks.create_task(self._async_send_all(part, part.per_s, crash_at, ends_at))
        return self.record

    async def _async_send_all(
        self, part: CrashPart | None, per_s: float, since: Millis, until: Millis
    ) -> None:
        clock = self.fleet.clock
        await clock.async_sleep(max(0, since - clock.now()))
        async with asyncio.TaskGroup() as tasks:
            while clock.now() < until:
                tasks.create_task(self._async_send(part))
                pause_ms = self.chooser.expovariate(per_s) * MS_PER_SECOND
                await clock.async_sleep(max(1, int(pause_ms)))

    async def _async_send(self, part: CrashPart | None) -> None:
        customer = self.chooser.choice(CUSTOMERS) if part is None else CUSTOMERS[0]
        parts = self._choose_parts(part)
        body, clock = f"body {self._next()}".encode(), self.fleet.clock
        members = self._list_members()
        for attempt in range(2):
            member, at = self.chooser.choice(members), clock.now()
            if part is not None:
                sent = SentRequest(part.name, at, self.load.path, customer, parts[0])
                self.record.sent.append(sent)
            answer = await self._async_send_to(member, body, parts, customer)
            status = answer.refusal.status if answer.refusal is not None else 200
            begun = answer.head is not None
            if part is None and not attempt:
                vm, path = member.address, self.load.path
                seen = SoundAttempt(at, vm, path, customer, parts[0], begun, status)
                self.record.attempts.append(seen)
            if answer.whole:
                return
            retry_ms = answer.refusal.retry_after_ms if answer.refusal is not None else 0
            await clock.async_sleep(max(REPEAT_MS, retry_ms))
            members = [each for each in self._list_members() if each is not member] or members

    async def _async_send_to(
        self, member: FleetMember, body: bytes, parts: tuple[str, ...], customer: str
    ) -> FakeResponder:
        request_id = f"q{self._next()}"
        self._vms[request_id] = member.address
        responder = FakeResponder(self.fleet.clock)
        request = self.fleet.make_request(
            self.load.path, body, request_id=request_id, parts=parts, key=f"key-{customer}"
        )
        await member.core.get(FORWARDING).async_forward(request, responder)
        return responder

    def _choose_parts(self, part: CrashPart | None) -> tuple[str, ...]:
        system = self.chooser.choice(self.load.system_parts)
        session = f"session-{self.chooser.randrange(SESSIONS)}"
        own = f"own-{self._next()}"
        if part is None:
            return system, session, own
        return (part.name, session, own) if part.first else (system, part.name, session, own)

    def _list_members(self) -> list[FleetMember]:
        members = self.fleet.members
        return [members[number] for number in self.load.members] or members

    def _next(self) -> int:
        self._number += 1
        return self._number

    def _schedule_restart(self, engine: RunEngine) -> None:
        self.fleet.clock.call_later(RESTART_MS, lambda: self.restart(engine))

    async def async_end_upstreams(self, outages: Outages, chooser: random.Random) -> None:
        """End upstreams without a cause in their requests, each of which returns after some time."""
        fleet = self.fleet
        while True:
            await fleet.clock.async_sleep(int(chooser.expovariate(1 / outages.every_ms)) + 1)
            up = [e for e in fleet.engines.by_address.values() if e.up and not e.unreachable]
            for engine in chooser.sample(up, min(outages.together, max(0, len(up) - 2))):
                engine.up, engine.unreachable = outages.silent, outages.silent
                fleet.clock.call_later(RESTART_MS, functools.partial(self.restart, engine))

    def restart(self, engine: RunEngine) -> None:
        """Start an engine again that has ended."""
        if self.load.renames:
            self.fleet.unregister(engine)
        self.fleet.replace_engine(engine, renamed=self.load.renames)
