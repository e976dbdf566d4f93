"""A fleet of the real limits in process: virtual time, fake links, a store that can be down."""

import hashlib
import zlib
from collections.abc import Callable, Sequence

from result import Err, Result

from goldcreststair.clock import LoopClock, Millis
from goldcreststair.components.configuration.models import CONFIGURATION, Configuration, Customer
from goldcreststair.components.ledger.protocols import (
    LEDGER,
    Change,
    CommitRefused,
    LedgerError,
    Partition,
)
from goldcreststair.components.limits.fleet import FleetLimits
from goldcreststair.components.membership.models import MEMBERS, Member, Members, MemberState
from goldcreststair.components.peers.protocols import PEERS
from tests.helpers.cores import make_core
from tests.helpers.ledgers import FakePartition
from tests.helpers.peers import FakePeerNetwork

PARTITIONS = 16
HEARTBEAT_MS = 10_000
"""How often the store confirms an owner; the ledger may do so more often."""
DETECTION_MS = 20_000
"""How long a lost VM goes unnoticed."""


class SharedStore:
    """Who owns which partition."""

    def __init__(self) -> None:
        """Start up, with nothing owned."""
        self.up = True
        self.owners: dict[int, str] = {}
        self.epochs = dict.fromkeys(range(PARTITIONS), 0)
        self.records: dict[int, dict[str, bytes]] = {index: {} for index in range(PARTITIONS)}


class StoredPartition(FakePartition):
    """A partition whose records outlive its owner."""

    def __init__(self, index: int, store: SharedStore, clock: LoopClock) -> None:
        """Take the partition as its newest owner."""
        super().__init__(index)
        self._store = store
        self._clock = clock
        self.epoch = store.epochs[index]
        self.records = store.records[index]
        self.confirmed_at = clock.now()

    async def async_commit(
        self, changes: Sequence[Change], timeout_ms: int
    ) -> Result[None, LedgerError]:
        """Write while the store is up and this owner the newest."""
        if not self._store.up:
            # It is tried again until the time is out.
            await self._clock.async_sleep(timeout_ms)
        if not self._store.up or self._store.epochs[self.index] != self.epoch:
            return Err(CommitRefused("not written"))
        self.confirmed_at = self._clock.now()
        return await super().async_commit(changes, timeout_ms)


class StoredLedger:
    """One VM's ledger; implements `Ledger`."""

    def __init__(self, session_id: str, store: SharedStore, clock: LoopClock) -> None:
        """Own nothing."""
        self._session_id = session_id
        self._store = store
        self._clock = clock
        self.owned: dict[int, StoredPartition] = {}
        self.stale: dict[int, str] = {}
        self._on_gained: list[Callable[[Partition], None]] = []

    def find_index(self, key: str) -> int:
        """Return the partition of a key."""
        return zlib.crc32(key.encode()) % PARTITIONS

    def get_owned(self, index: int) -> Partition | None:
        """Return an owned partition."""
        return self.owned.get(index)

    def find_owner(self, index: int) -> str | None:
        """Return the last known owner, which may be stale."""
        return self.stale.get(index) or self._store.owners.get(index)

    def record_owner(self, index: int, session: str) -> None:
        """Do nothing: only a read of the store corrects a stale owner here."""

    async def async_read_owner(self, index: int) -> str | None:
        """Return the owner."""
        self.stale.pop(index, None)
        return self._store.owners.get(index)

    def watch(self, on_gained: Callable[[Partition], None], on_lost: Callable[[int], None]) -> None:
        """Call back at a gain."""
        self._on_gained.append(on_gained)
        for partition in self.owned.values():
            on_gained(partition)

    def claim(self, index: int) -> None:
        """Become the owner."""
        self._store.epochs[index] += 1
        self._store.owners[index] = self._session_id
        self.owned[index] = partition = StoredPartition(index, self._store, self._clock)
        for on_gained in self._on_gained:
            on_gained(partition)

    def confirm(self) -> None:
        """Renew what is still owned while the store answers."""
        if not self._store.up:
            return
        for index, partition in tuple(self.owned.items()):
            if self._store.epochs[index] == partition.epoch:
                partition.confirmed_at = self._clock.now()
            else:
                del self.owned[index]


class LimitVm:
    """One daemon's limits."""

    def __init__(
        self, session_id: str, number: int, store: SharedStore, network: FakePeerNetwork
    ) -> None:
        """Build a core with only what limits need."""
        self.session_id = session_id
        clock = LoopClock()
        self.ledger = StoredLedger(session_id, store, clock)
        self.core = core = make_core(
            session_id=session_id, clock=clock, data_centre=f"dc{number % 3}"
        )
        core.offer(PEERS, network.join(session_id))
        core.offer(LEDGER, self.ledger)
        self.configuration = core.blackboard.open_section(CONFIGURATION, Configuration())
        self.members = core.blackboard.open_section(MEMBERS, Members(session_id))
        self.limits = FleetLimits(core)


class LimitFleet:
    """Several VMs, one store, one network."""

    def __init__(self, vms: int, customers: Sequence[Customer]) -> None:
        """Start with every partition owned; call inside the loop."""
        self.clock = LoopClock()
        self.network = FakePeerNetwork(self.clock, delay_ms=1)
        self.store = SharedStore()
        self.vms: dict[str, LimitVm] = {}
        for number in range(vms):
            name = f"vm{number}"
            self.vms[name] = LimitVm(name, number, self.store, self.network)
        self._members = {n: self._describe(n, i) for i, n in enumerate(self.vms)}
        self.configure(customers)
        self._share_members()
        for index in range(PARTITIONS):
            self.vms[self._choose_owner(index)].ledger.claim(index)

    async def async_start(self) -> None:
        """Start every VM and its heartbeat."""
        for vm in self.vms.values():
            await vm.limits.async_start()
        self.network.spawn(self._async_confirm())

    async def async_close(self) -> None:
        """Stop every VM."""
        for vm in self.vms.values():
            await vm.limits.async_close()

    def configure(self, customers: Sequence[Customer]) -> None:
        """Put rates and bursts in force everywhere."""
        named = {customer.name: customer for customer in customers}
        for vm in self.vms.values():
            vm.configuration.write(Configuration(version=1, customers=named))

    def find_home(self, customer: str) -> str:
        """Return the owner of a customer's partition."""
        return self.store.owners[zlib.crc32(f"customer/{customer}".encode()) % PARTITIONS]

    async def async_kill(self, name: str) -> None:
        """Lose a VM; its partitions find new owners after the detection."""
        vm = self.vms.pop(name)
        self.network.kill(name)
        await vm.limits.async_close()
        self.network.spawn(self._async_replace(name))

    async def _async_replace(self, name: str) -> None:
        await self.clock.async_sleep(DETECTION_MS)
        while not self.store.up:
            await self.clock.async_sleep(1000)
        del self._members[name]
        self._share_members()
        for index, owner in tuple(self.store.owners.items()):
            if owner == name:
                self.vms[self._choose_owner(index)].ledger.claim(index)

    async def _async_confirm(self) -> None:
        while True:
            await self.clock.async_sleep(HEARTBEAT_MS)
            for vm in self.vms.values():
                vm.ledger.confirm()

    def _choose_owner(self, index: int) -> str:
        return max(self.vms, key=lambda n: hashlib.sha256(f"{index}/{n}".encode()).digest())

    def _share_members(self) -> None:
        for name, vm in self.vms.items():
            vm.members.write(Members(name, dict(self._members)))

    def _describe(self, name: str, slot: int) -> Member:
        centre = f"dc{slot % 3}"
        address = f"127.0.0.{slot + 1}"
        return Member(name, address, 8080, 8081, centre, "r", MemberState.SERVING, slot)

    def count_messages(self) -> int:
        """Return how many requests went over the links so far; each has one answer."""
        return len(self.network.sent)

    def get_now(self) -> Millis:
        """Return the virtual time."""
        return self.clock.now()
