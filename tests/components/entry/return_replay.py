"""Replays the loss and return of all daemons during a burst, on virtual time."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import Final

from goldcreststair.components.entry.service import ENTRY
from goldcreststair.components.forwarding.protocols import FORWARDING
from standins.gateways import FakeResponder, FleetMember, GatewayFleet
from tests.helpers.gateways import run_fleet

BURST_MS: Final = 2_200
BURST_SHARE: Final = 1.85
LULL_SHARE: Final = 0.378
LOSS_MS: Final = 700
"""When all VMs are lost, counted from the start of the burst."""
DARK_MS: Final = 900
"""From the loss to the return of the first VM."""
RETURN_MS: Final = 400
"""The VMs return at random within this time."""
END_MS: Final = 4_000
ATTEMPTS: Final = 2


@dataclass(frozen=True, slots=True)
class Deployment:
    """Size and load of a deployment."""

    vms: int
    upstreams: int
    requests_per_s: float
    customers: int
    events: int
    event_ms: int
    objective_ms: int
    timeout_ms: int


SMALL: Final = Deployment(34, 36, 165, 77, 20, 35, 303, 5_055)
LARGE: Final = Deployment(89, 30, 113, 87, 23, 30, 308, 5_132)


@dataclass(slots=True)
class ReturnFigures:
    """Results of the callers."""

    in_time: int = 0
    late: int = 0
    failed: int = 0
    refusals: Counter[str] = field(default_factory=Counter)
    """Refused attempts by code."""

    @property
    def score(self) -> float:
        """Credit of all requests; a late answer counts 15%."""
        return (self.in_time + 0.15 * self.late) / (self.in_time + self.late + self.failed)


@dataclass(slots=True)
class Replay:
    """One run of a load."""

    fleet: GatewayFleet
    load: Deployment
    rng: random.Random
    figures: ReturnFigures = field(default_factory=ReturnFigures)

    async def async_run(self) -> None:
        """Start the daemons, send the requests and lose all VMs meanwhile."""
        await self._async_prepare()
        faults = asyncio.create_task(self.async_lose_all())
        await self._async_send_all()
        await faults

    async def _async_prepare(self) -> None:
        fleet, load = self.fleet, self.load
        fleet.store.faults.transaction_ms = 5
        fleet.engines.events = load.events
        for engine in fleet.add_engines(load.upstreams):
            engine.event_ms, engine.first_ms = load.event_ms, 60
        rate = load.requests_per_s * BURST_SHARE / load.customers
        limits = {"rate_per_s": rate, "burst": 2 * rate}
        names = [f"c{number}" for number in range(load.customers)]
        customers = tuple({"name": name, **limits} for name in names)
        fleet.write_catalogue(customers=customers, keys={f"key-{name}": name for name in names})
        await fleet.async_add_many(load.vms)
        await fleet.clock.async_sleep(3_000)

    async def async_lose_all(self, returning: float = 1.0) -> None:
        """Lose all VMs; a share of them returns."""
        clock = self.fleet.clock
        await clock.async_sleep(LOSS_MS)
        addresses = [member.address for member in self.fleet.members]
        members = tuple(self.fleet.members)
        await asyncio.gather(*(self.fleet.async_kill(member) for member in members))
        await clock.async_sleep(DARK_MS)
        self.rng.shuffle(addresses)
        returned = addresses[: round(len(addresses) * returning)]
        await asyncio.gather(*(self._async_return(address) for address in returned))

    async def _async_return(self, address: str) -> None:
        await self.fleet.clock.async_sleep(self.rng.randrange(RETURN_MS))
        await self.fleet.async_add(address)

    async def _async_send_all(self) -> None:
        clock, callers = self.fleet.clock, list[asyncio.Task[None]]()
        began = clock.now()
        while clock.now() - began < END_MS:
            share = BURST_SHARE if clock.now() - began < BURST_MS else LULL_SHARE
            gap_s = self.rng.expovariate(self.load.requests_per_s * share)
            await clock.async_sleep(max(1, round(gap_s * 1000)))
            callers.append(asyncio.create_task(self._async_call(f"r{len(callers)}")))
        await asyncio.gather(*callers)

    async def _async_call(self, name: str) -> None:
        """Send a request and retry it once, as callers do."""
        clock, sent_at = self.fleet.clock, self.fleet.clock.now()
        key = f"key-c{self.rng.randrange(self.load.customers)}"
        for attempt in range(ATTEMPTS):
            ends_at = sent_at + self.load.timeout_ms
            answer = await self._async_attempt(f"{name}.{attempt}", key, ends_at)
            if answer is not None and answer.whole:
                in_time = answer.event_times[0] - sent_at <= self.load.objective_ms
                self.figures.in_time += in_time
                self.figures.late += not in_time
                return
            wait_ms = 50
            if answer is not None and answer.refusal is not None:
                self.figures.refusals[answer.refusal.code.value] += 1
                if not answer.refusal.not_run:
                    break
                wait_ms = answer.refusal.retry_after_ms
            await clock.async_sleep(min(wait_ms, max(0, ends_at - clock.now()) // 3))
        self.figures.failed += 1

    async def _async_attempt(self, name: str, key: str, ends_at: int) -> FakeResponder | None:
        """Send to a VM that accepts connections, once there is one; None if the answer was lost."""
        clock = self.fleet.clock
        while not (ready := self._list_ready()) and clock.now() < ends_at:
            await clock.async_sleep(20 + self.rng.randrange(20))
        if clock.now() >= ends_at:
            return None
        member = self.rng.choice(ready)
        responder = FakeResponder(clock)
        request = self.fleet.make_request("/stream/x", b"", ends_at - clock.now(), name)
        forwarding = asyncio.ensure_future(
            member.core.get(FORWARDING).async_forward(replace(request, key=key), responder)
        )
        while not forwarding.done():
            await asyncio.wait({forwarding}, timeout=0.02)
            if member not in self.fleet.members:
                forwarding.cancel()
                return None
        return responder

    def _list_ready(self) -> list[FleetMember]:
        return [member for member in self.fleet.members if member.core.get(ENTRY).is_ready()]


def replay(load: Deployment, features: str, seed: int) -> ReturnFigures:
    """Return the figures of one run with features active."""
    runs: list[Replay] = []

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.features = features
        runs.append(Replay(fleet, load, random.Random(seed)))
        await runs[0].async_run()

    run_fleet(scenario)
    return runs[0].figures
