"""Reconcilers bring engines to the configuration despite races, pauses and losses."""

import asyncio

import pytest

from goldcreststair.components.orders.const import LONGEST_ORDER_MS, UNLOAD_SPREAD_MS
from goldcreststair.journal import Subject
from goldcreststair.upstreams.models import GenerateCall, StreamChunk, Upstream
from tests.helpers.order_worlds import WEIGHT_BYTES, OrderWorld, run_orders

BOTH_KINDS = pytest.mark.parametrize("checks_fencing", [True, False])
CONVERGE_S = LONGEST_ORDER_MS / 1000 + 30


@BOTH_KINDS
def test_last_accepted_version_wins(checks_fencing: bool) -> None:
    """Two patches of an engine's models are accepted one after the other.

    The second version arrives while an order for the first is in flight. The engine must end
    in the second version's state, and nothing of the first may come back.
    """

    async def async_body(world: OrderWorld) -> None:
        vm = world.vms[0]
        vm.gain(1)
        vm.apply(1, models=["small", "a"], checks_fencing=checks_fencing)
        asyncio.get_running_loop().call_later(
            3, lambda: vm.apply(2, models=["small", "b"], checks_fencing=checks_fencing)
        )
        for _ in range(int(CONVERGE_S)):
            await asyncio.sleep(1)
            vm.confirm()
        assert set(world.versions) == {"small", "b"}
        assert vm.core.journal.find(Subject.UPSTREAM, "e1")

    run_orders(async_body, checks_fencing=checks_fencing, order_ms=4000)


@BOTH_KINDS
def test_owner_that_was_paused_changes_nothing(checks_fencing: bool) -> None:
    """A model that an operator removed must not come back after a pause of the old owner.

    The old owner is paused with an order in flight. Another VM takes over and brings the engine
    to a newer version; then the old owner resumes and its order is sent.
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
        converged = False
        for second in range(int(2 * CONVERGE_S)):
            await asyncio.sleep(1)
            new.confirm()
            if second == 30:
                old.way.gate.set()
            desired = set(world.versions) == {"small", "b"}
            assert desired or not converged
            converged = desired
        assert converged
        settled = len(world.engine.applied_orders)
        await asyncio.sleep(120)
        assert len(world.engine.applied_orders) == settled

    run_orders(async_body, checks_fencing=checks_fencing)


def test_fenced_owner_orders_again_only_when_confirmed() -> None:
    """Two VMs must not undo each other's orders after a change of owner.

    The engine refuses the old owner's fencing number. The old owner must send no order until a
    store call that began after the refusal confirms that it still owns the partition.
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


def test_order_whose_response_is_lost_is_compared_again() -> None:
    """The engine loads the model, but its response is lost.

    The reconciler must neither give up nor unload and reload; the next load report shows the
    outcome.
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
def test_owner_lost_during_a_load(checks_fencing: bool) -> None:
    """The owner is lost while the engine loads a model; the model must be served nevertheless."""

    async def async_body(world: OrderWorld) -> None:
        first, second = world.vms
        for vm in world.vms:
            vm.apply(1, models=["small", "a"], versions={"a": "7"}, checks_fencing=checks_fencing)
        first.gain(1)
        for _ in range(int(CONVERGE_S)):
            await asyncio.sleep(1)
            first.confirm()
            if first.core.journal.find(Subject.UPSTREAM, "e1"):
                break
        await first.service.async_close()
        second.gain(2)
        for _ in range(int(CONVERGE_S)):
            await asyncio.sleep(1)
            second.confirm()
        assert world.versions == {"small": "1", "a": "7"}

    run_orders(async_body, checks_fencing=checks_fencing, order_ms=5000)


def test_engine_restarted_empty_is_reloaded() -> None:
    """An engine restarts without any model and would refuse requests until a patch.

    The configuration does not change, so only the comparison with its load report shows it.
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


def test_model_is_unloaded_after_its_streams_end() -> None:
    """An operator removes a model from an engine while requests still run on it.

    Unloading it at once would break those streams.
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


def test_mistyped_model_blocks_no_other_order() -> None:
    """A patch names a model without weights; the rest of the patch must be applied.

    Only unloads wait, so that models are served until their replacement is loaded.
    """

    async def async_body(world: OrderWorld) -> None:
        vm = world.vms[0]
        vm.gain(1)
        vm.apply(1, models=["a", "0mistyped"])
        await asyncio.sleep(60)
        assert set(world.versions) == {"small", "a"}

    run_orders(async_body)


def test_vms_together_keep_within_the_weight_store_rate() -> None:
    """All engines restart empty and all VMs load models at once.

    The fleet shares the weight store's rate: each VM may start one load, then its share limits it.
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
