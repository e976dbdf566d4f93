"""Tests of service calls under faults: run at most once, and a correct "not run"."""

import asyncio

import pytest
from result import Err, Ok

from goldcreststair.clock import Millis
from goldcreststair.components.configuration.models import CONFIGURATION, Customer
from goldcreststair.components.limits.protocols import LIMITS
from goldcreststair.components.online.service import ONLINE
from goldcreststair.components.shutdown.models import SHUTDOWN, LeaveReason, Shutdown
from goldcreststair.helpers.refusals import RefusalCode
from tests.helpers.claims import FakeClaims
from tests.helpers.online import SERVICE_ADDRESSES, OnlineVm
from tests.helpers.virtual_time import run_virtual


@pytest.mark.parametrize("repeatable", [False, True])
def test_lost_response_is_repeated_only_for_repeatable_calls(repeatable: bool) -> None:
    """A service runs a call, for example a booking, and its response is lost.

    Repeating a booking would book twice. It must end as "outcome unknown", not as "not run", and
    a resend must not run it either. A repeatable call is repeated.
    """

    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup(claims=FakeClaims())
        for service in vm.upstreams.services.values():
            service.lose_answers = 1
        online = vm.core.get(ONLINE)
        outcomes = [
            await online.async_call(vm.make_call(f"r{n}", repeatable=repeatable, key="k"))
            for n in range(2)
        ]
        if repeatable:
            assert all(isinstance(outcome, Ok) for outcome in outcomes)
            assert vm.count_runs() > 1
        else:
            assert vm.count_runs() == 1
            assert all(isinstance(outcome, Err) for outcome in outcomes)
        for outcome in outcomes:
            if isinstance(outcome, Err):
                assert outcome.err_value.code is RefusalCode.OUTCOME_UNKNOWN
                assert not outcome.err_value.not_run
        await vm.async_close()

    run_virtual(async_test())


def test_call_that_did_not_run_may_move() -> None:
    """One replica cannot be reached, and the other reports that it did not run the call.

    While both fail, the caller gets a correct "not run" and may resend. Once the second replica
    accepts calls, the resend runs exactly once.
    """

    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup(claims=FakeClaims())
        online = vm.core.get(ONLINE)
        vm.upstreams.unreachable.add(SERVICE_ADDRESSES[0])
        vm.upstreams.services[SERVICE_ADDRESSES[1]].refuse = True
        refused = await online.async_call(vm.make_call("r1", repeatable=False, key="k"))
        assert isinstance(refused, Err) and refused.err_value.not_run
        assert vm.count_runs() == 0
        vm.upstreams.services[SERVICE_ADDRESSES[1]].refuse = False
        await asyncio.sleep(2)
        again = await online.async_call(vm.make_call("r2", repeatable=False, key="k"))
        assert isinstance(again, Ok)
        assert vm.count_runs() == 1
        await vm.async_close()

    run_virtual(async_test())


def test_resend_joins_the_run_of_a_disconnected_caller() -> None:
    """A caller's connection breaks while its call runs, and the caller resends the call.

    The first run must complete without its connection, and the resend must get its outcome.
    """

    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup(claims=FakeClaims())
        online = vm.core.get(ONLINE)
        for service in vm.upstreams.services.values():
            service.delay_ms = 1000
        first = asyncio.create_task(
            online.async_call(vm.make_call("r1", repeatable=False, key="k"))
        )
        await asyncio.sleep(0.5)
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        assert online.count_in_flight() == 1
        again = await online.async_call(vm.make_call("r2", repeatable=False, key="k"))
        assert isinstance(again, Ok)
        assert vm.count_runs() == 1
        await vm.async_close()

    run_virtual(async_test())


def test_non_repeatable_call_without_claims_is_refused() -> None:
    """The store of claims is not available when a call arrives that must run only once.

    If it ran, a resend could run it twice. Refused as "not run", the caller may retry.
    """

    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup()
        refused = await vm.core.get(ONLINE).async_call(vm.make_call("r1", repeatable=False))
        assert isinstance(refused, Err) and refused.err_value.not_run
        assert refused.err_value.retry_after_ms > 0
        assert vm.count_runs() == 0
        await vm.async_close()

    run_virtual(async_test())


@pytest.mark.parametrize("cause", ["claims cannot be read", "rate is spent"])
@pytest.mark.parametrize("caller_key", ["k", ""])
def test_resend_refused_without_reading_its_claim_is_not_marked_not_run(
    cause: str, caller_key: str
) -> None:
    """A call runs, its connection breaks, and the caller resends it under the same key.

    The store is down by then, or the customer's rate is spent, so the VM refuses the resend
    without having read the outcome of the first send. After "not run" the caller would make the
    booking anew. Without an idempotency key there is no earlier send.
    """

    async def async_test() -> None:
        vm = OnlineVm()
        claims = FakeClaims()
        await vm.async_setup(claims=claims)
        online = vm.core.get(ONLINE)
        first = await online.async_call(vm.make_call("r1", repeatable=False, key=caller_key))
        assert isinstance(first, Ok)
        claims.unavailable = cause == "claims cannot be read"
        if cause == "rate is spent":
            slow = {"rate_per_s": 0.001, "burst": 1}
            vm.apply(customers={"acme": slow, "busy": slow})
            while isinstance(await vm.core.get(LIMITS).async_admit(find_acme(vm)), Ok):
                pass
        refused = await online.async_call(vm.make_call("r2", repeatable=False, key=caller_key))
        assert isinstance(refused, Err)
        assert refused.err_value.not_run is (caller_key == "")
        await vm.async_close()

    run_virtual(async_test())


def find_acme(vm: OnlineVm) -> Customer:
    return vm.core.blackboard.read(CONFIGURATION).customers["acme"]


def test_drain_waits_for_the_run_of_a_disconnected_caller() -> None:
    """A call runs under a claim, its caller disconnects, and then the VM drains.

    Stopping at once would cut the run and leave its outcome unknown.
    """

    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup(claims=FakeClaims())
        first = vm.upstreams.services[SERVICE_ADDRESSES[0]]
        second = vm.upstreams.services[SERVICE_ADDRESSES[1]]
        first.delay_ms = second.delay_ms = 3000
        service = vm.core.get(ONLINE)
        call = vm.make_call("r1", repeatable=False, key="k1")
        running = asyncio.create_task(service.async_call(call))
        await asyncio.sleep(0.5)
        running.cancel()
        began = vm.core.clock.now()
        await service.async_drain(began + 60_000)
        assert 2000 <= vm.core.clock.now() - began <= 4000
        assert len(first.runs) + len(second.runs) == 1
        resent = await service.async_call(vm.make_call("r2", repeatable=False, key="k1"))
        assert isinstance(resent, Ok)
        assert service in vm.core.drainables
        await vm.async_close()

    run_virtual(async_test())


@pytest.mark.parametrize(
    ("key", "deadline_ms", "not_run"),
    [("", 60_000, True), ("k", 60_000, False), ("", 5_000, None)],
    ids=["refused", "resend", "ends in time"],
)
def test_call_that_may_outlast_the_drain_is_refused(
    key: str, deadline_ms: int, not_run: bool | None
) -> None:
    """Guards against a booking that is begun late in a drain, and whose answer is then cut.

    Under an idempotency key an earlier send may have run.
    """

    async def async_test() -> None:
        vm = OnlineVm()
        now = vm.core.clock.now()
        shutdown = Shutdown(LeaveReason.SIGNAL, now, Millis(now + 10_000))
        vm.core.blackboard.open_section(SHUTDOWN, shutdown)
        await vm.async_setup(claims=FakeClaims())
        call = vm.make_call("r1", repeatable=False, key=key, deadline_ms=deadline_ms)
        outcome = await vm.core.get(ONLINE).async_call(call)
        if not_run is None:
            assert isinstance(outcome, Ok)
        else:
            assert isinstance(outcome, Err) and outcome.err_value.status == 503
            assert outcome.err_value.not_run is not_run
            assert vm.count_runs() == 0
        await vm.async_close()

    run_virtual(async_test())
