"""Several order services on shared engines, whose ownership the test sets."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from result import Result

from goldcreststair.clock import LoopClock, Millis
from goldcreststair.components.configuration.models import CONFIGURATION, Configuration
from goldcreststair.components.ledger.protocols import LEDGER, Partition
from goldcreststair.components.membership.models import MEMBERS, Member, Members, MemberState
from goldcreststair.components.orders.service import OrderService
from goldcreststair.upstreams.errors import UpstreamError
from goldcreststair.upstreams.models import Order, Upstream
from goldcreststair.upstreams.protocols import UpstreamClients
from standins.engine.client import FakeUpstreams
from standins.engine.models import EngineParameters
from standins.platform.store import FakePlatform
from tests.helpers.cores import make_configuration, make_core
from tests.helpers.ledgers import FakeLedger, FakePartition
from tests.helpers.virtual_time import run_virtual

WEIGHT_BYTES = 1_000_000


class SwitchableLedger(FakeLedger):
    """Ledger of one partition that the VM owns while the test sets `owned`."""

    def __init__(self, session_id: str) -> None:
        super().__init__(session_id, 1)
        self.owned: FakePartition | None = None

    def get_owned(self, index: int) -> Partition | None:
        return self.owned


class GatedUpstreams:
    """Engine client of one VM; it delays orders while `gate` is closed, as during a pause."""

    def __init__(self, engines: FakeUpstreams) -> None:
        self.gate = asyncio.Event()
        self.gate.set()
        self.held = 0
        self._engines = engines

    def __getattr__(self, name: str) -> Any:
        return getattr(self._engines, name)

    async def async_send_order(
        self, upstream: Upstream, order: Order
    ) -> Result[None, UpstreamError]:
        self.held += not self.gate.is_set()
        await self.gate.wait()
        return await self._engines.async_send_order(upstream, order)


class OrderVm:
    """One VM that runs only the order service."""

    def __init__(self, world: "OrderWorld", session_id: str) -> None:
        self.clock = world.clock
        self.way = GatedUpstreams(world.engines)
        self.core = make_core(platform=world.platform, session_id=session_id, clock=world.clock)
        self.core.upstreams = UpstreamClients(self.way, world.engines)
        self.ledger = SwitchableLedger(session_id)
        self.core.offer(LEDGER, self.ledger)
        self.core.blackboard.open_section(MEMBERS, world.members)
        self._writer = self.core.blackboard.open_section(CONFIGURATION, Configuration())
        self.service = OrderService(self.core, world.weight_rate)

    def apply(self, version: int, **engine: Any) -> None:
        versions = engine.pop("versions", {})
        fields = {"address": "127.0.0.1:9001", "data_centre": "dc1"} | engine
        self._writer.write(make_configuration(version, upstreams={"e1": fields}, models=versions))

    def gain(self, epoch: int) -> None:
        partition = FakePartition(0)
        partition.epoch = epoch
        partition.confirmed_at = self.clock.now()
        self.ledger.owned = partition

    def confirm(self) -> None:
        assert self.ledger.owned is not None
        self.ledger.owned.confirmed_at = Millis(self.clock.now() + 1)

    def lose(self) -> None:
        self.ledger.owned = None


class OrderWorld:
    """One engine at 127.0.0.1:9001 and the VMs that may own it."""

    def __init__(
        self,
        *,
        checks_fencing: bool = True,
        order_ms: int = 300,
        vms: int = 2,
        weight_rate: int = WEIGHT_BYTES * 1000,
    ) -> None:
        self.clock = LoopClock()
        self.platform = FakePlatform(self.clock)
        self.platform.weights = dict.fromkeys(("small", "a", "b", "small:legal"), WEIGHT_BYTES)
        self.engines = FakeUpstreams(self.clock)
        parameters = EngineParameters(checks_fencing=checks_fencing, order_ms=order_ms)
        self.engine = self.engines.add_engine("127.0.0.1:9001", ("small",), parameters)
        self.weight_rate = weight_rate
        names = [f"vm{number}" for number in range(vms)]
        self.members = Members(names[0], {name: _make_member(name) for name in names})
        self.vms = [OrderVm(self, name) for name in names]

    async def async_start(self) -> None:
        for vm in self.vms:
            await vm.service.async_start()

    async def async_close(self) -> None:
        for vm in self.vms:
            vm.way.gate.set()
            await vm.service.async_close()
        await self.engines.async_close()

    @property
    def versions(self) -> dict[str, str]:
        return self.engine.served.versions


def _make_member(name: str) -> Member:
    return Member(name, "10.0.0.1", 1, 1, "dc1", "r1", MemberState.SERVING)


def run_orders(async_body: Callable[[OrderWorld], Awaitable[None]], **world: Any) -> None:
    """Run a test on a new `OrderWorld` and close it."""

    async def async_run() -> None:
        made = OrderWorld(**world)
        await made.async_start()
        try:
            await async_body(made)
        finally:
            await made.async_close()

    run_virtual(async_run())
