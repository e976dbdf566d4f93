"""Limits of several VMs that exchange messages, on virtual time."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest
from result import Err, Ok

from goldcreststair.components import limits
from goldcreststair.components.configuration.models import Configuration, Customer
from goldcreststair.components.limits.controller import LocalLimits
from goldcreststair.components.limits.protocols import LIMITS
from goldcreststair.components.membership.models import MEMBERS, MemberState
from goldcreststair.wire.generated.limits import ttypes
from standins.measure.excess import find_excess
from standins.measure.limit_fleet import LimitFleet
from tests.helpers.cores import make_core
from tests.helpers.virtual_time import run_virtual

ACME = Customer("acme", 20.0, 40)


class Callers:
    """Sends requests to one fleet and records the times of those admitted."""

    def __init__(self, fleet: LimitFleet) -> None:
        self.fleet = fleet
        self.coordinator = fleet.find_home(ACME.name)
        self.others = [name for name in fleet.vms if name != self.coordinator]
        self.admitted: list[int] = []
        self.refused: list[int] = []

    async def async_send(self, vm: str, requests: int) -> int:
        """Send concurrent requests; returns how many were admitted."""
        sent = [self.fleet.vms[vm].limits.async_admit(ACME) for _ in range(requests)]
        outcomes = await asyncio.gather(*sent)
        passed = sum(isinstance(outcome, Ok) for outcome in outcomes)
        self.admitted += [self.fleet.get_now()] * passed
        self.refused += [o.err_value.retry_after_ms for o in outcomes if isinstance(o, Err)]
        return passed

    async def async_stream(self, vm: str, seconds: int, per_s: int) -> float:
        """Send requests at a constant rate; returns the fraction that was admitted."""
        running = []
        for _ in range(seconds * per_s):
            running.append(asyncio.create_task(self.async_send(vm, 1)))
            await self.fleet.clock.async_sleep(1000 // per_s)
        return sum(await asyncio.gather(*running)) / len(running)


def run_fleet(test: Callable[[Callers], Awaitable[None]]) -> None:
    """Run a test on four VMs, then check the bound of admitted requests."""

    async def async_run() -> None:
        fleet = LimitFleet(4, [ACME])
        await fleet.async_start()
        callers = Callers(fleet)
        await test(callers)
        await fleet.async_close()
        assert find_excess(callers.admitted, ACME.rate_per_s, ACME.burst) <= 0
        assert all(retry_after_ms > 0 for retry_after_ms in callers.refused)

    run_virtual(async_run())


def test_concurrent_requests_share_one_token_request() -> None:
    async def async_test(callers: Callers) -> None:
        assert await callers.async_send(callers.others[0], 30) == 30
        token_requests = [
            m for _, _, m in callers.fleet.network.sent if isinstance(m, ttypes.TokenAsk)
        ]
        assert len(token_requests) == 1
        assert await callers.async_send(callers.others[1], 30) <= 11

    run_fleet(async_test)


def test_lost_answer_returns_its_tokens() -> None:
    """The coordinator grants all its tokens and the answer is lost.

    Callers are refused at once. With its next token request the VM reports the grant as unused, so
    that the tokens are available again before the grant would have expired.
    """

    async def async_test(callers: Callers) -> None:
        callers.fleet.network.lose_answers = 1
        assert await callers.async_send(callers.others[0], 40) == 0
        await callers.fleet.clock.async_sleep(600)
        assert await callers.async_send(callers.others[1], 40) == 40

    run_fleet(async_test)


def test_cut_link_to_the_coordinator_refuses_at_once() -> None:
    """The link between a VM and a customer's coordinator is cut.

    Its callers are refused at once with a retry time, instead of waiting.
    """

    async def async_test(callers: Callers) -> None:
        callers.fleet.network.cut(callers.coordinator, callers.others[0])
        before = callers.fleet.get_now()
        assert await callers.async_send(callers.others[0], 5) == 0
        assert callers.fleet.get_now() - before <= 150

    run_fleet(async_test)


def test_stale_owner_is_corrected_while_requests_wait() -> None:
    """A VM assumes another coordinator than the store names.

    Every token request is answered "not the coordinator", so that all of the customer's requests
    would be refused although there are tokens. The VM reads the owner and admits those waiting.
    """

    async def async_test(callers: Callers) -> None:
        requesting, other = callers.others[:2]
        ledger = callers.fleet.vms[requesting].ledger
        ledger.stale[ledger.find_index(f"customer/{ACME.name}")] = other
        assert await callers.async_send(requesting, 5) == 5

    run_fleet(async_test)


def test_planned_change_of_coordinator_keeps_the_level() -> None:
    """A coordinator leaves and hands its partition over.

    A new coordinator that waited for the old lease to end would refuse everything for seconds. It
    gets the old one's buckets instead, including the granted tokens.
    """

    async def async_test(callers: Callers) -> None:
        assert await callers.async_send(callers.others[0], 30) == 30
        fleet = callers.fleet
        index = fleet.vms[callers.coordinator].ledger.find_index(f"customer/{ACME.name}")
        fleet.vms[callers.others[1]].ledger.claim(index)
        await fleet.clock.async_sleep(900)
        assert await callers.async_send(callers.others[1], 40) >= 24

    run_fleet(async_test)


def test_store_outage_costs_at_most_a_tenth() -> None:
    """The store is down for five minutes.

    No coordinator can confirm that it still owns its partition. Its supporters extend the lease as
    long as they know no newer owner, and it continues with nine tenths of the limit; customers
    that send less notice nothing.
    """

    async def async_test(callers: Callers) -> None:
        await callers.fleet.clock.async_sleep(5000)
        callers.fleet.store.up = False
        assert await callers.async_stream(callers.others[0], 300, 16) >= 0.99

    run_fleet(async_test)


@pytest.mark.parametrize("outage", [False, True])
def test_lost_coordinator_is_replaced_after_its_lease(outage: bool) -> None:
    """A coordinator is lost, in one case while the store is down and supporters extend its lease.

    Once the loss is noticed, the successor waits until the old lease has ended and then refills an
    empty bucket; no more than the bound is ever admitted.
    """

    async def async_test(callers: Callers) -> None:
        fleet = callers.fleet
        await fleet.clock.async_sleep(5000)
        fleet.store.up = not outage
        await fleet.clock.async_sleep(30_000)
        await callers.async_send(callers.others[0], 40)
        await fleet.async_kill(callers.coordinator)
        fleet.store.up = True
        assert await callers.async_stream(callers.others[0], 20, 10) < 0.1
        await fleet.clock.async_sleep(9000)
        assert await callers.async_stream(callers.others[0], 10, 16) >= 0.99

    run_fleet(async_test)


def test_without_other_components_limits_are_local() -> None:
    async def async_test() -> None:
        core = make_core()
        await limits.async_setup(core)
        assert isinstance(core.get(LIMITS), LocalLimits)

    run_virtual(async_test())


def test_leaving_supporter_in_an_outage_stops_no_coordinator() -> None:
    """The store goes down, and two seconds later another VM begins to leave.

    The coordinators tried to write other supporters, and had none while the outcome of that write
    was unknown: all customers were refused for nine seconds, until the write was given up.
    """

    async def async_test(callers: Callers) -> None:
        fleet = callers.fleet
        await fleet.clock.async_sleep(5000)
        fleet.store.up = False
        await fleet.clock.async_sleep(2000)
        leaving = callers.others[-1]
        for vm in fleet.vms.values():
            members = vm.core.blackboard.read(MEMBERS)
            gone = replace(members.by_session[leaving], state=MemberState.LEAVING)
            vm.members.write(replace(members, by_session={**members.by_session, leaving: gone}))
        assert await callers.async_stream(callers.others[0], 20, 16) >= 0.99

    run_fleet(async_test)


@pytest.mark.parametrize("gap_ms", [0, 5, 900])
def test_a_partition_that_moves_on_during_its_takeover_keeps_the_level(gap_ms: int) -> None:
    """Guards against seconds of refusals if a coordinator hands over before it has the old buckets itself."""

    async def async_test(callers: Callers) -> None:
        fleet = callers.fleet
        index = fleet.vms[callers.coordinator].ledger.find_index(f"customer/{ACME.name}")
        for successor in callers.others[:2]:
            fleet.vms[successor].ledger.claim(index)
            await fleet.clock.async_sleep(gap_ms)
        assert await callers.async_send(callers.others[2], 40) == 40

    run_fleet(async_test)


@pytest.mark.parametrize("moves", [1, 2])
@pytest.mark.parametrize("knows_first", [None, "successor", "predecessor"])
def test_a_customer_added_while_its_partition_moves_has_its_burst(
    knows_first: str | None, moves: int
) -> None:
    """Guards against refusals of a new customer that has sent nothing.

    The old coordinator hands over before it knows the customer, before the new one does, or before either does.
    """

    async def async_test(callers: Callers) -> None:
        fleet = callers.fleet
        index = fleet.vms[callers.coordinator].ledger.find_index(f"customer/{ACME.name}")
        fleet.configure([])
        successors = callers.others[:moves]
        knowing = {"successor": successors[-1], "predecessor": callers.coordinator, None: None}
        name = knowing[knows_first]
        if name is not None:
            configuration = Configuration(version=1, customers={ACME.name: ACME})
            fleet.vms[name].configuration.write(configuration)
        for successor in successors:
            fleet.vms[successor].ledger.claim(index)
            await fleet.clock.async_sleep(900)
        fleet.configure([ACME])
        assert await callers.async_send(callers.others[2], 40) == 40

    run_fleet(async_test)


def test_tokens_spent_before_a_change_of_coordinator_stay_spent() -> None:
    """Guards against a second burst if the new coordinator learns of a customer after the handover."""

    async def async_test(callers: Callers) -> None:
        fleet = callers.fleet
        index = fleet.vms[callers.coordinator].ledger.find_index(f"customer/{ACME.name}")
        assert await callers.async_send(callers.coordinator, 40) == 40
        successor = fleet.vms[callers.others[0]]
        successor.configuration.write(Configuration(version=1))
        successor.ledger.claim(index)
        await fleet.clock.async_sleep(100)
        fleet.configure([ACME])
        assert await callers.async_send(callers.others[0], 40) <= 5

    run_fleet(async_test)
