"""At most one run per key, with resends, lost answers, lost VMs and outages."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from result import Ok

from goldcreststair.components.claims import retention
from goldcreststair.components.claims.const import TICK_MS
from goldcreststair.components.claims.models import AnswerCode, Ending
from goldcreststair.components.claims.protocols import (
    ClaimProblem,
    ClaimRequest,
    Finished,
    Granted,
    Joined,
    Outcome,
)
from goldcreststair.components.membership.models import MemberState
from goldcreststair.wire.generated.ledger.ttypes import ClaimMessage, SettleMessage
from tests.helpers.virtual_time import run_virtual
from tests.helpers.vms import Fleet, Vm

SMALL = Outcome(200, "application/json", b"{}")
LARGE = Outcome(200, "application/json", b"x" * 100_000)


def run_fleet(body: Callable[[Fleet], Awaitable[None]]) -> None:
    async def async_test() -> None:
        fleet = Fleet()
        await fleet.async_add("a", "b", "c")
        await body(fleet)
        fleet.platform.faults.down = False
        await fleet.async_close()

    run_virtual(async_test())


def make_request(
    request_id: str = "r1", key: str = "k", repeatable: bool = False, fingerprint: str = "f"
) -> ClaimRequest:
    return ClaimRequest("acme", key, fingerprint, request_id, repeatable)


def split_by_role(fleet: Fleet, key: str = "k") -> tuple[Vm, Vm, Vm]:
    """Return the owner of a key, then the other two VMs."""
    vms = list(fleet.vms.values())
    index = vms[0].ledger.find_index(f"claim/acme/{key}")
    vms.sort(key=lambda vm: vm.ledger.get_owned(index) is None)
    return vms[0], vms[1], vms[2]


async def async_grant(vm: Vm, request: ClaimRequest) -> Granted:
    granted = (await vm.claims.async_claim(request, 5000)).unwrap()
    assert isinstance(granted, Granted)
    return granted


async def async_find_problem(vm: Vm, request: ClaimRequest, timeout_ms: int = 5000) -> ClaimProblem:
    return (await vm.claims.async_claim(request, timeout_ms)).unwrap_err().problem


@pytest.mark.parametrize("outcome", [SMALL, LARGE], ids=["small", "large"])
@pytest.mark.parametrize("runner", [0, 1], ids=["at the owner", "elsewhere"])
def test_a_resend_joins_the_run_then_reads_its_outcome(outcome: Outcome, runner: int) -> None:
    async def async_body(fleet: Fleet) -> None:
        first, resend = split_by_role(fleet)[runner], split_by_role(fleet)[2]
        granted = await async_grant(first, make_request())
        joined = (await resend.claims.async_claim(make_request("r2"), 5000)).unwrap()
        assert isinstance(joined, Joined)
        assert joined.runner == first.session_id
        waiting = asyncio.ensure_future(resend.claims.async_wait(joined, 60_000))
        await fleet.clock.async_sleep(15_000)
        assert (await first.claims.async_settle(granted, outcome, 5000)).is_ok()
        assert (await waiting).unwrap() == outcome
        again = (await resend.claims.async_claim(make_request("r3"), 5000)).unwrap()
        assert again == Finished(outcome)
        other = make_request("r4", fingerprint="g")
        assert await async_find_problem(first, other) is ClaimProblem.MISMATCH

    run_fleet(async_body)


@pytest.mark.parametrize("repeatable", [False, True])
def test_a_claim_whose_runner_died_runs_again_only_if_repeatable(repeatable: bool) -> None:
    """A VM dies while it books a ground, and the caller sends the request again to another VM.

    It is unknown whether the ground was booked; running the request again could book it twice.
    """

    async def async_body(fleet: Fleet) -> None:
        _, runner, other = split_by_role(fleet)
        granted = await async_grant(runner, make_request(repeatable=repeatable))
        fleet.kill(runner.session_id)
        fleet.forget(runner.session_id)
        resend = make_request("r2", repeatable=repeatable)
        if repeatable:
            assert (await async_grant(other, resend)).claim_id != granted.claim_id
            return
        for _ in range(2):
            problem = await async_find_problem(other, resend)
            assert problem is ClaimProblem.OUTCOME_UNKNOWN

    run_fleet(async_body)


def test_a_run_is_settled_although_the_owner_of_its_key_died() -> None:
    """The owner grants a claim and dies; the runner continues and settles with the next owner."""

    async def async_body(fleet: Fleet) -> None:
        owner, runner, other = split_by_role(fleet)
        granted = await async_grant(runner, make_request())
        fleet.kill(owner.session_id)
        settling = asyncio.ensure_future(runner.claims.async_settle(granted, SMALL, 30_000))
        await fleet.clock.async_sleep(3000)
        fleet.forget(owner.session_id)
        assert isinstance(await settling, Ok)
        again = (await other.claims.async_claim(make_request("r2"), 5000)).unwrap()
        assert again == Finished(SMALL)

    run_fleet(async_body)


def test_a_repeated_claim_message_gets_its_own_grant() -> None:
    """The owner grants a claim and its answer is lost; the requester sends the message again.

    It must get its own grant, not join a run that does not exist.
    """

    async def async_body(fleet: Fleet) -> None:
        fleet.network.lose_answers = 1
        await async_grant(split_by_role(fleet)[1], make_request())

    run_fleet(async_body)


@pytest.mark.parametrize("ending", ["release", "give up"])
def test_a_claim_that_did_not_run_can_be_claimed_again(ending: str) -> None:
    """A claim is released, or its requester gives up while all answers are lost.

    A resend must be granted; joining would wait for a run that never starts.
    """

    async def async_body(fleet: Fleet) -> None:
        _, requester, other = split_by_role(fleet)
        if ending == "release":
            await requester.claims.async_release(await async_grant(requester, make_request()))
        else:
            fleet.network.lose_answers = 1
            problem = await async_find_problem(requester, make_request(), 2)
            assert problem is ClaimProblem.UNAVAILABLE
            await fleet.clock.async_sleep(5000)
        await async_grant(other, make_request("r2"))

    run_fleet(async_body)


def test_a_store_outage_is_reported_and_holds_no_claim() -> None:
    """The store is down for minutes: claims are refused, a finished run is settled later."""

    async def async_body(fleet: Fleet) -> None:
        owner, runner, other = split_by_role(fleet)
        granted = await async_grant(runner, make_request())
        fleet.platform.faults.down = True
        settled = await runner.claims.async_settle(granted, SMALL, 2000)
        assert settled.unwrap_err().problem is ClaimProblem.TIMEOUT
        refused = make_request("r9", key="other")
        assert await async_find_problem(other, refused, 2000) is ClaimProblem.UNAVAILABLE
        await fleet.clock.async_sleep(120_000)
        fleet.platform.faults.down = False
        await fleet.clock.async_sleep(60_000)
        again = (await other.claims.async_claim(make_request("r2"), 5000)).unwrap()
        assert again == Finished(SMALL)
        await async_grant(owner, make_request("r10", key="other"))

    run_fleet(async_body)


def test_a_late_outcome_replaces_unknown_but_not_another_run() -> None:
    """A runner is paused so long that it is considered lost, and settles its claims afterwards."""

    async def async_body(fleet: Fleet) -> None:
        _, runner, other = split_by_role(fleet)
        single_run = await async_grant(runner, make_request())
        repeatable_run = await async_grant(runner, make_request(key="again", repeatable=True))
        fleet.forget(runner.session_id)
        await fleet.clock.async_sleep(40_000)
        assert await async_find_problem(other, make_request("r2")) is ClaimProblem.OUTCOME_UNKNOWN
        await async_grant(other, make_request("r2", key="again", repeatable=True))
        assert (await runner.claims.async_settle(single_run, SMALL, 5000)).is_ok()
        taken = await runner.claims.async_settle(repeatable_run, SMALL, 5000)
        assert taken.unwrap_err().problem is ClaimProblem.OUTCOME_UNKNOWN
        again = (await other.claims.async_claim(make_request("r3"), 5000)).unwrap()
        assert again == Finished(SMALL)

    run_fleet(async_body)


def test_abandoned_and_handed_over_claims_stay_unknown() -> None:
    async def async_body(fleet: Fleet) -> None:
        owner, runner, other = split_by_role(fleet)
        await runner.claims.async_abandon(await async_grant(runner, make_request()))
        fleet.set_state(owner.session_id, MemberState.LEAVING)
        await fleet.clock.async_sleep(5000)
        for vm in (owner, other):
            problem = await async_find_problem(vm, make_request("r2"))
            assert problem is ClaimProblem.OUTCOME_UNKNOWN

    run_fleet(async_body)


@pytest.mark.parametrize(("ticks", "kept"), [(3, True), (6, False)])
def test_outcomes_are_kept_for_their_retention(
    ticks: int, kept: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(retention, "RETENTION_TICKS", 3)

    async def async_body(fleet: Fleet) -> None:
        _, runner, _ = split_by_role(fleet)
        granted = await async_grant(runner, make_request())
        await runner.claims.async_settle(granted, LARGE, 5000)
        await fleet.clock.async_sleep(ticks * TICK_MS)
        again = (await runner.claims.async_claim(make_request("r2"), 5000)).unwrap()
        assert isinstance(again, Finished) is kept
        assert any(name.startswith("outcomes/") for name in fleet.platform.objects) is kept

    run_fleet(async_body)


def test_a_claim_message_that_arrives_after_its_release_is_not_granted() -> None:
    """The owner reads a release before the claim message that it belongs to.

    The owner's VM is paused for seconds; the requester closes the link with its claim message and
    sends the release over a new one. If the owner granted the claim after the release, nothing
    would run, and each resend would join a run that never ends and time out.
    """

    async def async_body(fleet: Fleet) -> None:
        owner, requester, other = split_by_role(fleet)
        claim_owner = owner.claims._claim_owner
        release = SettleMessage("acme", "k", "", "r1", int(Ending.RELEASED), 1000, None)
        late = ClaimMessage("acme", "k", "f", "r1", False, 1000)
        await claim_owner.async_end(requester.session_id, release)
        answer = await claim_owner.async_claim(requester.session_id, late)
        assert answer.code == AnswerCode.UNAVAILABLE
        await async_grant(other, make_request("r2"))

    run_fleet(async_body)
