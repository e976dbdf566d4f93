"""Ledgers of several daemons on one platform stand-in, with a membership set by the test."""

import asyncio
import random
from typing import Any

from result import Err, Result

from goldcreststair.blackboard import SectionWriter
from goldcreststair.clock import LoopClock
from goldcreststair.components.claims.service import ClaimService
from goldcreststair.components.ledger.controller import LedgerController
from goldcreststair.components.ledger.protocols import LEDGER, Change, LedgerError, Partition
from goldcreststair.components.membership.models import MEMBERS, Member, Members, MemberState
from goldcreststair.components.peers.protocols import PEERS
from goldcreststair.store.errors import PlatformError, PlatformUnavailable
from goldcreststair.store.models import Row
from goldcreststair.store.protocols import Platform
from standins.platform.store import FakePlatform
from tests.helpers.cores import make_core
from tests.helpers.peers import FakePeerNetwork


class VmTable:
    """Table client of one VM; clearing `paused` delays its calls before and after their effect."""

    def __init__(self, table: FakePlatform) -> None:
        self.table = table
        self.paused = asyncio.Event()
        self.paused.set()
        self.dead = False

    async def _async_enter(self) -> PlatformError | None:
        await self.paused.wait()
        return PlatformUnavailable("this VM is dead") if self.dead else None

    async def async_read(self, key: str) -> Any:
        return (await self.async_read_many([key])).map(lambda rows: rows[0])

    async def async_read_many(self, keys: Any) -> Any:
        refused = await self._async_enter()
        outcome = await self.table.async_read_many(keys) if refused is None else Err(refused)
        await self.paused.wait()
        return outcome

    async def async_scan(self, prefix: str, after: str = "", limit: int = 1000) -> Any:
        return await self.table.async_scan(prefix, after, limit)

    async def async_write(self, writes: Any) -> Any:
        refused = await self._async_enter()
        outcome = await self.table.async_write(writes) if refused is None else Err(refused)
        await self.paused.wait()
        return outcome


class Vm:
    """Core, ledger and claims of one daemon."""

    def __init__(self, fleet: "Fleet", session_id: str) -> None:
        self.core = make_core(
            platform=fleet.platform,
            clock=fleet.clock,
            session_id=session_id,
            seed=len(fleet.vms) + 1,
            partitions=fleet.partitions,
            drain_ms=2_000,
        )
        self.table = VmTable(fleet.platform)
        stores = self.core.platform
        self.core.platform = Platform(self.table, stores.objects, stores.vm_list, stores.weights)
        self.members: SectionWriter[Members] = self.core.blackboard.open_section(MEMBERS, Members())
        self.core.offer(PEERS, fleet.network.join(session_id))
        self.ledger = LedgerController(self.core)
        self.core.offer(LEDGER, self.ledger)
        self.claims = ClaimService(self.core)

    @property
    def session_id(self) -> str:
        return self.core.session_id

    def get_owned(self, index: int) -> Partition:
        partition = self.ledger.get_owned(index)
        assert partition is not None, f"{self.session_id} does not own {index}"
        return partition

    async def async_put(
        self, key: str, value: bytes, timeout_ms: int = 60_000
    ) -> Result[None, LedgerError]:
        partition = self.get_owned(self.ledger.find_index(key))
        return await partition.async_commit([Change(key, value)], timeout_ms)


class Fleet:
    """VMs by session id."""

    def __init__(self, partitions: int = 4, platform: FakePlatform | None = None) -> None:
        self.clock = LoopClock()
        self.platform = platform or FakePlatform(self.clock, random.Random(7))
        self.network = FakePeerNetwork(self.clock)
        self.partitions = partitions
        self.vms: dict[str, Vm] = {}
        self.members: dict[str, Member] = {}

    async def async_add(self, *sessions: str) -> None:
        """Start VMs and wait until the partitions have their desired owners."""
        for session in sessions:
            self.vms[session] = Vm(self, session)
            self.set_state(session, MemberState.SERVING)
            self._publish()
            await self.vms[session].ledger.async_start()
            await self.vms[session].claims.async_start()
        await self.clock.async_sleep(15_000)

    def set_state(self, session: str, state: MemberState) -> None:
        self.members[session] = Member(session, "127.0.0.1", 1, 2, "dc1", "default", state)
        self._publish()

    def forget(self, session: str) -> None:
        """Remove a session from every VM's membership, as if it had expired."""
        self.members.pop(session, None)
        self._publish()

    def kill(self, session: str) -> None:
        """Kill a VM without notice; none of its calls reaches the store any more."""
        self.vms[session].table.dead = True
        self.network.kill(session)

    def _publish(self) -> None:
        for session, vm in self.vms.items():
            vm.members.write(Members(session, dict(self.members)))

    async def async_close(self) -> None:
        for vm in self.vms.values():
            vm.table.paused.set()
            await vm.claims.async_close()
            await vm.ledger.async_close()

    def find_row(self, index: int) -> Row | None:
        return self.platform.rows.get(f"partition/{index}")
