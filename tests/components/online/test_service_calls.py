"""Calls of plain services under faults: at most once, and truth about "not run"."""

import asyncio

import pytest
from result import Err, Ok

from goldcreststair.components.configuration.models import CONFIGURATION, Customer
from goldcreststair.components.limits.protocols import LIMITS
from goldcreststair.components.online.service import ONLINE
from goldcreststair.helpers.refusals import RefusalCode
from tests.helpers.claims import FakeClaims
from tests.helpers.online import SERVICE_ADDRESSES, OnlineVm
from tests.helpers.virtual_time import run_virtual


@pytest.mark.parametrize("repeatable", [False, True])
def test_lost_answer_is_repeated_only_where_that_does_no_harm(repeatable: bool) -> None:
    """A secretary books a ground; the service books it, then the answer is lost.

    Sent again, a child's team would have two grounds. The booking must end as "outcome
    unknown", not as "not run", and its resend must not book either; a mere listing is repeated.
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


def test_call_that_did_not_run_is_free_to_move() -> None:
    """One replica cannot be reached, the other says that it did not run the call.

    Neither booked anything: with the refusal gone the second try books once, and while both
    fail the caller reads a true "not run" and may send again.
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


def test_resend_joins_the_run_whose_caller_went_away() -> None:
    """A caller's connection breaks while its booking runs, and it sends the booking again.

    The first run must go on to its end and the resend read its outcome: one booking, one
    answer, although the connection that began it is gone.
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


def test_booking_without_claims_is_refused_before_it_runs() -> None:
    """The store that keeps claims is not there, and a secretary books a ground.

    Run all the same, a resend could book twice; refused as "not run", the caller may try again.
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
def test_resend_that_is_refused_unread_is_not_called_not_run(cause: str, caller_key: str) -> None:
    """A ground is booked, the connection breaks, and the secretary sends again under the same key.

    At that moment the store is down, or the customer's rate is spent, so the VM refuses without
    having read what became of the first send. Told "not run", the secretary would book another
    ground. Without a key of the caller's no earlier send can be meant.
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


def test_drain_waits_for_a_run_whose_caller_went_away() -> None:
    """A booking runs under a claim; its caller's connection breaks; then the VM is told to leave.

    Stopping at once would cut the run: the ground may be booked, and nobody could say so.
    """

    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup(claims=FakeClaims())
        record = vm.upstreams.services[SERVICE_ADDRESSES[0]]
        other = vm.upstreams.services[SERVICE_ADDRESSES[1]]
        record.delay_ms = other.delay_ms = 3000
        service = vm.core.get(ONLINE)
        call = vm.make_call("r1", repeatable=False, key="k1")
        running = asyncio.create_task(service.async_call(call))
        await asyncio.sleep(0.5)
        running.cancel()
        began = vm.core.clock.now()
        await service.async_drain(began + 60_000)
        assert 2000 <= vm.core.clock.now() - began <= 4000
        assert len(record.runs) + len(other.runs) == 1
        resent = await service.async_call(vm.make_call("r2", repeatable=False, key="k1"))
        assert isinstance(resent, Ok)
        assert service in vm.core.drainables
        await vm.async_close()

    run_virtual(async_test())
