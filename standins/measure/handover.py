"""What customers lose when VMs come and go: `python -m standins.measure.handover`.

Time is virtual and the store takes 5 ms a call. Run from the root of the source tree (it uses the
tests' fakes).
"""

import argparse
import asyncio
import random
import statistics
from dataclasses import dataclass, field
from typing import Final

from result import Ok

from goldcreststair.clock import LoopClock, Millis
from goldcreststair.components import claims, ledger, limits
from goldcreststair.components.claims.protocols import CLAIMS, ClaimRequest
from goldcreststair.components.configuration.models import CONFIGURATION, Customer
from goldcreststair.components.ledger.protocols import LEDGER
from goldcreststair.components.limits.coordinator_bucket import CoordinatorBucket
from goldcreststair.components.limits.models import Allowance
from goldcreststair.components.limits.protocols import LIMITS
from goldcreststair.components.membership.models import MemberState
from goldcreststair.components.membership.protocols import MEMBERSHIP
from goldcreststair.store.protocols import Platform
from standins.daemons import CONTROL, FakeDaemon, FakeDaemons
from standins.measure.control import async_patch
from standins.measure.excess import find_excess
from standins.network import FakeNetwork
from standins.platform.store import FakePlatform
from tests.helpers.virtual_time import run_virtual
from tests.helpers.vms import VmTable

VMS: Final = 10
STORE_MS: Final = 5
CUSTOMERS: Final = tuple(Customer(f"customer{number}", 20.0, 40) for number in range(8))
LOAD: Final = 0.6
"""Fraction of its rate that each customer sends, over all VMs."""
CLAIMS_PER_S: Final = 20
CLAIM_TIMEOUT_MS: Final = 2000
SETTLE_MS: Final = 30_000
EVENT_AT_MS: Final = 10_000
LEAVE_MS: Final = 15_000
"""Time between the word that a VM leaves and its end."""
EVENTS: Final = ("join", "leave", "crash", "kill")
"""A crash ends the process and its VM refuses connections; a kill takes the VM, which is silent."""
RUN_MS: Final = {"join": 60_000, "leave": 60_000, "crash": 90_000, "kill": 90_000}


@dataclass(slots=True)
class Ownership:
    """When partitions were without an owner that serves."""

    clock: LoopClock
    owners: dict[int, FakeDaemon] = field(default_factory=dict)
    lost_at: dict[int, Millis] = field(default_factory=dict)
    gaps: list[int] = field(default_factory=list)

    def follow(self, daemon: FakeDaemon) -> None:
        """Take note of what a VM gains and loses."""
        daemon.core.get(LEDGER).watch(
            lambda partition: self._gain(daemon, partition.index),
            lambda index: self._lose(daemon, index),
        )

    def kill(self, daemon: FakeDaemon) -> None:
        """Count everything that a VM owns as lost now."""
        for index in [index for index, owner in self.owners.items() if owner is daemon]:
            self._lose(daemon, index)

    def _gain(self, daemon: FakeDaemon, index: int) -> None:
        self.owners[index] = daemon
        lost_at = self.lost_at.pop(index, None)
        if lost_at is not None:
            self.gaps.append(self.clock.now() - lost_at)

    def _lose(self, daemon: FakeDaemon, index: int) -> None:
        if self.owners.get(index) is daemon:
            del self.owners[index]
            self.lost_at[index] = self.clock.now()


@dataclass(slots=True)
class Figures:
    """What one run, or several added up, showed."""

    gaps: list[int] = field(default_factory=list)
    unserved: int = 0
    """Partitions without an owner at the end."""
    requests: int = 0
    wrongful: int = 0
    excess: float = 0.0
    claims: int = 0
    claims_refused: int = 0
    slowest_ms: int = 0
    """Longest wait for an admission."""

    def add(self, other: "Figures") -> None:
        """Add another run."""
        self.gaps += other.gaps
        self.unserved += other.unserved
        self.requests += other.requests
        self.wrongful += other.wrongful
        self.excess = max(self.excess, other.excess)
        self.claims += other.claims
        self.claims_refused += other.claims_refused
        self.slowest_ms = max(self.slowest_ms, other.slowest_ms)

    def describe(self, event: str, seeds: int) -> str:
        """Return a row of the table."""
        median = statistics.median(self.gaps) if self.gaps else 0
        cells = (
            event,
            seeds,
            len(self.gaps),
            f"{median:.0f}",
            max(self.gaps, default=0),
            self.unserved,
            f"{self.wrongful} of {self.requests}",
            f"{self.excess:.2f}",
            f"{self.claims_refused} of {self.claims}",
            self.slowest_ms,
        )
        return "| " + " | ".join(map(str, cells)) + " |"


class Trial:
    """One fleet, one event, one seed."""

    def __init__(self, event: str, seed: int) -> None:
        """Build nothing yet."""
        self._event = event
        self._random = random.Random(seed)
        self._clock = clock = LoopClock()
        self._platform = FakePlatform(clock, random.Random(seed))
        self._platform.faults.slow_ms = STORE_MS
        setups = (*CONTROL, ledger.async_setup, claims.async_setup, limits.async_setup)
        self._fleet = FakeDaemons(clock, self._platform, FakeNetwork(clock), setups)
        self._tables: dict[str, VmTable] = {}
        self._ownership = Ownership(clock)
        self._alive: list[FakeDaemon] = []
        self._figures = Figures()
        self._admitted: dict[str, list[int]] = {customer.name: [] for customer in CUSTOMERS}

    async def async_run(self) -> Figures:
        """Run it."""
        for _ in range(VMS):
            await self._async_add()
        document = {"customers": {c.name: {"rate_per_s": 20, "burst": 40} for c in CUSTOMERS}}
        await async_patch(self._alive[0], document)
        await self._clock.async_sleep(SETTLE_MS)
        self._ownership.gaps.clear()
        tasks = [asyncio.create_task(self._async_send(customer)) for customer in CUSTOMERS]
        tasks.append(asyncio.create_task(self._async_send_claims()))
        await self._clock.async_sleep(EVENT_AT_MS)
        event = asyncio.create_task(self._async_disturb())
        await asyncio.gather(*tasks, event)
        figures = self._figures
        figures.gaps, figures.unserved = self._ownership.gaps, len(self._ownership.lost_at)
        for admitted in self._admitted.values():
            figures.excess = max(figures.excess, find_excess(sorted(admitted), 20, 40))
        await self._fleet.async_close()
        return figures

    async def _async_add(self) -> None:
        stores = self._platform.as_platform()
        table = VmTable(self._platform)
        platform = Platform(table, stores.objects, stores.vm_list, stores.weights)
        daemon = await self._fleet.async_add(platform)
        self._tables[daemon.core.session_id] = table
        self._ownership.follow(daemon)
        self._alive.append(daemon)

    async def _async_disturb(self) -> None:
        if self._event == "join":
            await self._async_add()
            return
        # The VM that is home of the most customers shows most.
        index_of = self._alive[0].core.get(LEDGER).find_index
        homes = [self._ownership.owners.get(index_of(f"customer/{c.name}")) for c in CUSTOMERS]
        victim = max(self._alive, key=lambda daemon: homes.count(daemon))
        if self._event == "leave":
            victim.core.get(MEMBERSHIP).set_state(MemberState.LEAVING)
            await self._clock.async_sleep(LEAVE_MS)
            self._alive.remove(victim)
            await victim.async_close()
        else:
            self._alive.remove(victim)
            await self._async_kill(victim)
        self._fleet.running.remove(victim)

    async def _async_kill(self, victim: FakeDaemon) -> None:
        self._ownership.kill(victim)
        self._tables[victim.core.session_id].dead = True
        if self._event == "kill":
            for other in self._alive:
                self._fleet.network.cut(victim.address, other.address)
        await victim.components[0].async_close()
        for component in reversed(victim.components[4:]):
            closing = asyncio.create_task(component.async_close())
            await asyncio.wait({closing}, timeout=30)

    async def _async_send(self, customer: Customer) -> None:
        oracle = CoordinatorBucket(
            Allowance(customer.rate_per_s, customer.burst), self._clock.now(), 40
        )
        until = self._clock.now() + RUN_MS[self._event]
        running = []
        while self._clock.now() < until:
            gap_ms = self._random.expovariate(customer.rate_per_s * LOAD) * 1000
            await self._clock.async_sleep(int(gap_ms))
            due = oracle.spend(self._clock.now())
            running.append(asyncio.create_task(self._async_admit(customer, due)))
        await asyncio.gather(*running)

    async def _async_admit(self, customer: Customer, due: bool) -> None:
        daemon = self._random.choice(self._alive)
        known = daemon.core.blackboard.read(CONFIGURATION).customers.get(customer.name)
        if known is None:
            return
        self._figures.requests += 1
        begun_at = self._clock.now()
        admitted = isinstance(await daemon.core.get(LIMITS).async_admit(known), Ok)
        waited_ms = self._clock.now() - begun_at
        self._figures.slowest_ms = max(self._figures.slowest_ms, waited_ms)
        if admitted:
            self._admitted[customer.name].append(self._clock.now())
        elif due:
            self._figures.wrongful += 1

    async def _async_send_claims(self) -> None:
        until = self._clock.now() + RUN_MS[self._event]
        running = []
        number = 0
        while self._clock.now() < until:
            await self._clock.async_sleep(1000 // CLAIMS_PER_S)
            number += 1
            running.append(asyncio.create_task(self._async_claim(number)))
        await asyncio.gather(*running)

    async def _async_claim(self, number: int) -> None:
        daemon = self._random.choice(self._alive)
        request = ClaimRequest("customer0", f"key{number}", "print", f"request{number}", True)
        claimed = await daemon.core.get(CLAIMS).async_claim(request, CLAIM_TIMEOUT_MS)
        self._figures.claims += 1
        self._figures.claims_refused += not isinstance(claimed, Ok)


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--only", default="", choices=("", *EVENTS))
    options = parser.parse_args()
    print(
        "| event | seeds | partitions moved | gap ms, median | worst | unserved at the end "
        "| wrongful refusals | over | claims refused | longest admission ms |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for event in EVENTS:
        if options.only in ("", event):
            total = Figures()
            for seed in range(options.seeds):
                total.add(run_virtual(Trial(event, seed).async_run()))
            print(total.describe(event, options.seeds), flush=True)


if __name__ == "__main__":
    main()
