"""Stewards bring engines to the configuration through races, pauses and losses."""

import asyncio

import pytest

from goldcreststair.components.orders.const import LONGEST_ORDER_MS, UNLOAD_SPREAD_MS
from goldcreststair.journal import Subject
from goldcreststair.upstreams.models import GenerateCall, StreamChunk, Upstream
from tests.helpers.order_worlds import WEIGHT_BYTES, OrderWorld, run_orders

BOTH_KINDS = pytest.mark.parametrize("checks_fencing", [True, False])
ENOUGH_S = LONGEST_ORDER_MS / 1000 + 30


@BOTH_KINDS
def test_last_accepted_version_wins(checks_fencing: bool) -> None:
    """Two operators patch an engine's models one after the other; both are accepted.

    The steward is in the middle of the first one's order when the second version comes. The
    engine must end with what the second one says, and nothing of the first may come back.
    """

    async def async_body(world: OrderWorld) -> None:
        vm = world.vms[0]
        vm.gain(1)
        vm.apply(1, models=["small", "a"], checks_fencing=checks_fencing)
        asyncio.get_running_loop().call_later(
            3, lambda: vm.apply(2, models=["small", "b"], checks_fencing=checks_fencing)
        )
        for _ in range(int(ENOUGH_S)):
            await asyncio.sleep(1)
            vm.confirm()
        assert set(world.versions) == {"small", "b"}
        assert vm.core.journal.find(Subject.UPSTREAM, "e1")

    run_orders(async_body, checks_fencing=checks_fencing, order_ms=4000)


@BOTH_KINDS
def test_steward_that_was_paused_changes_nothing(checks_fencing: bool) -> None:
    """A model that an operator removed comes back, and traffic is served by the old one.

    The old steward is paused with an order on its way; another VM takes over and brings the
    engine to a newer version; then the old one wakes, its order goes out, and it orders on.
    """

    async def async_body(world: OrderWorld) -> None:
        old, new = world.vms
        old.gain(1)
        old.apply(1, models=["a"], checks_fencing=checks_fencing)
        old.way.gate.clear()
        while not old.way.held:
            await asyncio.sleep(1)
            old.confirm()
        new.gain(2)
        new.apply(2, models=["small", "b"], checks_fencing=checks_fencing)
        reached = False
        for second in range(int(2 * ENOUGH_S)):
            await asyncio.sleep(1)
            new.confirm()
            if second == 30:
                old.way.gate.set()
            wanted = set(world.versions) == {"small", "b"}
            assert wanted or not reached
            reached = wanted
        assert reached
        settled = len(world.engine.applied_orders)
        await asyncio.sleep(120)
        assert len(world.engine.applied_orders) == settled

    run_orders(async_body, checks_fencing=checks_fencing)


def test_fenced_steward_asks_again_only_as_confirmed_owner() -> None:
    """Two VMs undo each other's orders for minutes after a change of owner.

    The engine refuses the old one's numbers. It must not go on asking until a store call that
    began after the refusal showed that it still owns the partition.
    """

    async def async_body(world: OrderWorld) -> None:
        old = world.vms[0]
        world.engine.fencing = 2**52
        old.gain(1)
        old.apply(1, models=["small", "a"])
        await asyncio.sleep(60)
        events = [e.choice for e in old.core.journal.find(Subject.UPSTREAM, "e1")]
        assert events.count("fenced") == 1
        old.confirm()
        await asyncio.sleep(10)
        events = [e.choice for e in old.core.journal.find(Subject.UPSTREAM, "e1")]
        assert events.count("fenced") == 2

    run_orders(async_body)


def test_order_whose_answer_is_lost_is_compared_again() -> None:
    """The engine loads the model, but its answer is lost.

    The steward must neither give up nor unload and load again; the next report settles it.
    """

    async def async_body(world: OrderWorld) -> None:
        vm = world.vms[0]
        world.engine.faults.lose_order_answers = 1
        vm.gain(1)
        vm.apply(1, models=["small", "a"])
        await asyncio.sleep(30)
        assert set(world.versions) == {"small", "a"}
        assert len(world.engine.applied_orders) == 1

    run_orders(async_body)


@BOTH_KINDS
def test_steward_lost_in_the_middle_of_a_load(checks_fencing: bool) -> None:
    """The steward's VM is lost while the engine loads; the model must be served all the same."""

    async def async_body(world: OrderWorld) -> None:
        first, second = world.vms
        for vm in world.vms:
            vm.apply(1, models=["small", "a"], versions={"a": "7"}, checks_fencing=checks_fencing)
        first.gain(1)
        for _ in range(int(ENOUGH_S)):
            await asyncio.sleep(1)
            first.confirm()
            if first.core.journal.find(Subject.UPSTREAM, "e1"):
                break
        await first.service.async_close()
        second.gain(2)
        for _ in range(int(ENOUGH_S)):
            await asyncio.sleep(1)
            second.confirm()
        assert world.versions == {"small": "1", "a": "7"}

    run_orders(async_body, checks_fencing=checks_fencing, order_ms=5000)


def test_engine_restarted_empty_is_reloaded() -> None:
    """An engine comes back from a restart without any model: requests are refused there for good.

    Nobody patches anything, so only a comparison with its report can show it.
    """

    async def async_body(world: OrderWorld) -> None:
        vm = world.vms[0]
        vm.gain(1)
        vm.apply(1, models=["small"], adapters=["small:legal"], role="decode")
        await asyncio.sleep(30)
        assert world.engine.served.adapters == {"small:legal"}
        world.engine.restart_empty()
        await asyncio.sleep(30)
        assert set(world.versions) == {"small"}
        assert world.engine.served.adapters == {"small:legal"}
        assert world.engine.served.role == "decode"

    run_orders(async_body)


def test_versions_follow_the_configuration() -> None:
    async def async_body(world: OrderWorld) -> None:
        vm = world.vms[0]
        vm.gain(1)
        vm.apply(1, models=["small"], versions={"small": "2"})
        await asyncio.sleep(10)
        assert world.versions == {"small": "2"}

    run_orders(async_body)


def test_model_is_unloaded_after_its_streams() -> None:
    """An operator takes a model from an engine, and members' streams there break off.

    The steward unloads at once although requests still run on it.
    """

    async def async_body(world: OrderWorld) -> None:
        vm = world.vms[0]
        upstream = Upstream("e1", "127.0.0.1:9001", "dc1", models=("small",))
        body = b'{"model":"small","prompt":"x","max_tokens":1500,"stream":true}'
        call = GenerateCall("r1", "/v1/completions", body, True, 120_000)
        running = asyncio.ensure_future(world.engines.async_generate(upstream, call, Sink()))
        vm.gain(1)
        vm.apply(1, models=["a"])
        await asyncio.sleep(2 * UNLOAD_SPREAD_MS / 1000)
        assert set(world.versions) == {"small", "a"}
        assert (await running).is_ok()
        await asyncio.sleep(10)
        assert set(world.versions) == {"a"}

    run_orders(async_body)


def test_mistyped_model_holds_nothing_else_back() -> None:
    """A patch names a model without weights; the rest of it must come into force.

    Only unloading waits: what is to be replaced is served until its replacement is there.
    """

    async def async_body(world: OrderWorld) -> None:
        vm = world.vms[0]
        vm.gain(1)
        vm.apply(1, models=["a", "0mistyped"])
        await asyncio.sleep(60)
        assert set(world.versions) == {"small", "a"}

    run_orders(async_body)


def test_stewards_together_keep_the_weight_stores_rate() -> None:
    """Every engine restarts empty in one night; all stewards load at once.

    The weight store's rate is the fleet's: each VM may begin one load, then its share counts.
    """
    vms, load_s, duration_s = 10, 10, 150

    async def async_body(world: OrderWorld) -> None:
        engines = []
        for number, vm in enumerate(world.vms):
            address = f"10.0.0.{number}:1"
            engines.append(world.engines.add_engine(address, ()))
            vm.gain(1)
            vm.apply(1, address=address, models=["small", "a", "b"])
        await asyncio.sleep(duration_s)
        loads = sum(len(engine.applied_orders) for engine in engines)
        assert vms < loads <= vms + duration_s / load_s

    run_orders(async_body, vms=vms, weight_rate=WEIGHT_BYTES // load_s)


class Sink:
    async def async_accept(self, chunk: StreamChunk) -> None:
        pass
