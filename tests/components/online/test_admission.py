"""Tests of fair queueing, deadlines, crashing requests and leaving upstreams."""

import asyncio
from dataclasses import replace

import pytest
from result import Err, Ok, Result

from goldcreststair.clock import Millis
from goldcreststair.components.membership.protocols import SET_QUARANTINE
from goldcreststair.components.online.fair_queue import FairQueue, Ticket
from goldcreststair.components.online.gate import AdmissionGate
from goldcreststair.components.online.service import ONLINE
from goldcreststair.components.routing import loads
from goldcreststair.components.routing.protocols import ROUTER, RouteQuery
from goldcreststair.helpers.refusals import Refusal, RefusalCode
from goldcreststair.online_pressure import ONLINE_PRESSURE, OnlinePressure
from goldcreststair.store.models import ListedState, ListedVm
from goldcreststair.upstreams.models import GenerateEnd
from tests.helpers.online import ADDRESSES, OnlineVm, RecordingSink
from tests.helpers.shared_sets import FakeSharedSets
from tests.helpers.virtual_time import run_virtual


@pytest.mark.parametrize(
    ("weights", "expected"),
    [({"a": 1.0, "b": 1.0}, (20, 20)), ({"a": 3.0, "b": 1.0}, (30, 10))],
)
def test_shares_follow_weights(weights: dict[str, float], expected: tuple[int, int]) -> None:
    queue = FairQueue()
    for number in range(200):
        for customer, weight in weights.items():
            queue.push(Ticket(f"{customer}{number}", customer, weight, Millis(10)))
    taken = [ticket.customer for _ in range(40) if (ticket := queue.pop())]
    assert (taken.count("a"), taken.count("b")) == expected


def test_busy_customer_does_not_delay_the_other(monkeypatch: pytest.MonkeyPatch) -> None:
    """One customer sends five times the requests of the other, and both wait for one upstream.

    In order of arrival the small customer would wait behind all requests of the busy one. With
    fair queueing its last request ends when about twice its own work is done.
    """
    monkeypatch.setattr(loads, "MAX_IN_FLIGHT", 2)
    ended: list[str] = []

    async def async_send(vm: OnlineVm, customer: str, number: int) -> None:
        outcome = await vm.async_generate(f"{customer}{number}", customer=customer, max_tokens=5)
        assert isinstance(outcome, Ok)
        ended.append(customer)

    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup(engines=1)
        plan = [("busy", n) for n in range(50)] + [("acme", n) for n in range(10)]
        await asyncio.gather(*(async_send(vm, customer, number) for customer, number in plan))
        assert max(at for at, customer in enumerate(ended) if customer == "acme") < 26
        await vm.async_close()

    run_virtual(async_test())


def test_request_that_cannot_meet_its_deadline_is_refused_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A burst fills the queue, and a caller sends a request with a deadline of 300 ms.

    Refused at its deadline, the caller could not try another VM any more. So it must be refused
    at once, as not run and with a time to retry.
    """
    monkeypatch.setattr(loads, "MAX_IN_FLIGHT", 2)

    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup(engines=1)
        burst = [asyncio.create_task(vm.async_generate(f"b{n}", max_tokens=20)) for n in range(100)]
        await asyncio.sleep(1.0)
        began = vm.core.clock.now()
        refused = await vm.async_generate("late", deadline_ms=300)
        assert isinstance(refused, Err) and refused.err_value.not_run
        assert refused.err_value.retry_after_ms >= 1000
        assert vm.core.clock.now() - began < 50
        assert vm.core.get(ONLINE).count_in_flight() > 0
        for task in burst:
            task.cancel()
        await asyncio.gather(*burst, return_exceptions=True)
        assert vm.core.get(ONLINE).count_in_flight() == 0
        assert not [call for _, call in vm.upstreams.calls if call.request_id == "late"]
        await vm.async_close()

    run_virtual(async_test())


@pytest.mark.parametrize("after_tokens", [0, 1, 60, 150])
def test_crashing_request_is_quarantined_and_others_finish(after_tokens: int) -> None:
    """A request crashes each upstream that runs it, and its caller resends it to another VM.

    Requests that ran beside it must finish. It must be quarantined in the whole fleet, so that
    the resend to another VM crashes nothing.
    """

    async def async_test() -> None:
        shared = FakeSharedSets()
        vm = OnlineVm()
        other = OnlineVm(vm.upstreams, "vm2")
        await vm.async_setup(engines=3, shared_sets=shared)
        await other.async_setup(engines=3, shared_sets=shared)
        for engine in vm.upstreams.engines.values():
            engine.faults.crash_marker = "poison"
            engine.faults.crash_after_tokens = after_tokens
        sinks = [RecordingSink() for _ in range(12)]
        unaffected = [
            asyncio.create_task(vm.async_generate(f"r{n}", sink, prompt=f"p{n}", max_tokens=100))
            for n, sink in enumerate(sinks)
        ]
        await asyncio.sleep(0.5)
        poisoned = await vm.async_generate("bad", prompt="poison", max_tokens=1_000)
        assert isinstance(poisoned, Err)
        assert poisoned.err_value.code is RefusalCode.QUARANTINED
        assert not poisoned.err_value.not_run
        for outcome in await asyncio.gather(*unaffected):
            assert isinstance(outcome, Ok)
        assert all(sink.data.count(b"id: ") == 100 for sink in sinks)
        crashes = sum(engine.crashes for engine in vm.upstreams.engines.values())
        assert crashes <= 4
        again = await other.async_generate("bad2", prompt="poison", max_tokens=1_000)
        assert isinstance(again, Err) and again.err_value.code is RefusalCode.QUARANTINED
        assert again.err_value.not_run
        assert sum(engine.crashes for engine in vm.upstreams.engines.values()) == crashes
        assert len([item for item in shared.items if item[0] == SET_QUARANTINE]) == 1
        await other.async_close()
        await vm.async_close()

    run_virtual(async_test())


def test_waiting_suspects_are_placed_one_to_an_upstream() -> None:
    """Three suspect requests wait, and two upstreams become free at the same time.

    If suspects shared an upstream, one could be blamed for the crash of another.
    """

    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup(engines=2)
        gate = AdmissionGate(vm.core)
        query = RouteQuery(model="small", alone=True)
        vm.core.get(ROUTER).isolate("e0", "other")
        vm.core.get(ROUTER).isolate("e1", "other")
        tickets = [Ticket(f"r{n}", "acme", 1.0, Millis(10**9)) for n in range(3)]
        waiting = [asyncio.create_task(gate.async_enter(ticket, query)) for ticket in tickets]
        await asyncio.sleep(0.2)
        vm.core.get(ROUTER).release("e0", "other")
        vm.core.get(ROUTER).release("e1", "other")
        await asyncio.sleep(0.2)
        assert sum(task.done() for task in waiting) == 1
        gate.close()
        await asyncio.gather(*waiting)
        await vm.async_close()

    run_virtual(async_test())


def test_waiting_requests_are_answered_when_their_model_is_withdrawn() -> None:
    """Guards against a waiting request that hangs after a patch removed its model.

    Another request for the model, which is refused first, must not remove its queue.
    """

    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup(engines=1)
        gate = AdmissionGate(vm.core)
        query = RouteQuery(model="small", alone=True)
        vm.core.get(ROUTER).isolate("e0", "other")
        ticket = Ticket("waits", "acme", 1.0, Millis(vm.core.clock.now() + 60_000))
        waiting = asyncio.create_task(gate.async_enter(ticket, query))
        await asyncio.sleep(0.2)
        vm.apply(upstreams={})
        moving = Ticket("moves", "acme", 1.0, ticket.deadline_at)
        moved = await gate.async_enter(moving, replace(query, admitted=True))
        assert moved.unwrap_err().code is RefusalCode.UNKNOWN_MODEL
        refused = await asyncio.wait_for(waiting, 120)
        assert refused.unwrap_err().not_run
        gate.close()
        await vm.async_close()

    run_virtual(async_test())


async def async_take_out(vm: OnlineVm, how: str) -> None:
    if how == "configuration":
        vm.apply(leaving_upstreams={"e0": True})
    if how == "report":
        vm.upstreams.engines[ADDRESSES[0]].draining = True
    if how == "platform":
        vm.platform.set_vms([ListedVm(ADDRESSES[0], "dc1", ListedState.LEAVING)])


@pytest.mark.parametrize("how", ["configuration", "report", "platform"])
def test_leaving_upstream_gets_no_new_work(how: str) -> None:
    """An upstream is taken out of service while callers are served.

    Three seconds later it must get no new requests, and those running there must finish.
    """

    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup()
        running = [
            asyncio.create_task(vm.async_generate(f"r{n}", prompt=f"p{n}", max_tokens=300))
            for n in range(8)
        ]
        await asyncio.sleep(0.5)
        await async_take_out(vm, how)
        before = [await vm.async_generate(f"s{n}", prompt=f"q{n}", max_tokens=2) for n in range(8)]
        await asyncio.sleep(3)
        sent = len(vm.upstreams.calls)
        after = [await vm.async_generate(f"t{n}", prompt=f"u{n}", max_tokens=2) for n in range(20)]
        assert all(isinstance(outcome, Ok) for outcome in before + after)
        assert ADDRESSES[0] not in {address for address, _ in vm.upstreams.calls[sent:]}
        finished: list[Result[GenerateEnd, Refusal]] = await asyncio.gather(*running)
        assert all(isinstance(outcome, Ok) for outcome in finished)
        await vm.async_close()

    run_virtual(async_test())


def test_pressure_shows_a_burst_at_once_and_its_end() -> None:
    """A burst of online requests begins and ends while a batch job waits.

    The section must show the onset at once, so that batch is preempted, and the end soon after.
    If it kept the last throttled value, it would block batch for good.
    """

    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup()
        tasks = [asyncio.create_task(vm.async_generate(f"r{n}")) for n in range(20)]
        await asyncio.sleep(0.001)
        assert vm.core.blackboard.read(ONLINE_PRESSURE).in_flight >= 10
        await asyncio.gather(*tasks)
        await asyncio.sleep(0.6)
        assert vm.core.blackboard.read(ONLINE_PRESSURE) == OnlinePressure()
        await vm.async_close()

    run_virtual(async_test())


def test_request_that_waits_at_the_end_of_a_drain_is_refused_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests that never ran and whose connections close without an answer."""
    monkeypatch.setattr(loads, "MAX_IN_FLIGHT", 2)

    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup(engines=1)
        sent = [
            asyncio.create_task(vm.async_generate(f"r{n}", max_tokens=2_000)) for n in range(20)
        ]
        await asyncio.sleep(1)
        await vm.core.get(ONLINE).async_drain(vm.core.clock.now() + 2_000)
        begun = {call.request_id for _, call in vm.upstreams.calls}
        waiting = [task for number, task in enumerate(sent) if f"r{number}" not in begun]
        assert waiting and all(task.done() for task in waiting)
        for task in waiting:
            refused = task.result()
            assert isinstance(refused, Err)
            assert refused.err_value.status == 503 and refused.err_value.not_run
        for task in sent:
            task.cancel()
        await asyncio.gather(*sent, return_exceptions=True)
        await vm.async_close()

    run_virtual(async_test())
