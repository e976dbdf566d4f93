"""Paths to which faults are applied: their steps, the work of callers, and what must result."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final

from result import Ok

from goldcreststair.components.configuration.controller import CONFIGURATION_FOLLOWER
from goldcreststair.components.configuration.models import CONFIGURATION
from goldcreststair.components.keys.protocols import KEYS
from goldcreststair.components.keys.withdrawal import WITHDRAWALS
from goldcreststair.helpers.api_keys import hash_key
from goldcreststair.helpers.refusals import RefusalCode
from tests.faults.fleet import Fleet
from tests.faults.injection import (
    CALLER_FAULTS,
    ENGINE_FAULTS,
    LIST_FAULTS,
    SERVICE_FAULTS,
    VM_FAULTS,
    Fault,
    FaultScenario,
    create_outside_task,
    leave_vm,
)
from tests.faults.steps import Step, match_call, match_frame, match_put, match_write

Work = Callable[[FaultScenario], Awaitable[None]]

RETRY_MS: Final = 1000
MAX_SENDS: Final = 150
LONG_TOKENS: Final = 15_000
LONG_MS: Final = 300_000
SECONDS_MS: Final = 11_000
"""Time within which a configuration, withdrawal or end of service is in force everywhere."""


@dataclass(frozen=True, slots=True)
class Path:
    """One path through the system."""

    name: str
    work: Work
    steps: tuple[Step, ...]
    faults: dict[str, Fault]
    """Faults that affect it; for example, engine faults have no effect on a path without engines."""


async def async_send_until_answered(
    fleet: Fleet, vm: int, name: str, async_send: Callable[[int, str], Awaitable[bool]]
) -> bool:
    """Send to one VM after another until answered; False if the outcome is unknown."""
    for attempt in range(MAX_SENDS):
        live = [n for n, d in enumerate(fleet.daemons.running) if not fleet.is_lost(d)]
        at = vm if attempt == 0 else live[attempt % len(live)]
        fleet.sent += 1
        if await async_send(at, f"{name}-{fleet.sent}"):
            return True
        if fleet.refused.get(name) is RefusalCode.OUTCOME_UNKNOWN:
            return False
        await fleet.clock.async_sleep(RETRY_MS)
    raise AssertionError(f"{name}: no answer to {MAX_SENDS} sends: {fleet.refused}")


async def async_online_plain(scenario: FaultScenario) -> None:
    fleet = scenario.fleet

    async def async_send(vm: int, request: str) -> bool:
        return await fleet.async_generate(vm, request, "a blurb")

    scenario.resend = lambda vm: fleet.async_generate(vm, "again", "a blurb")
    assert await async_send_until_answered(fleet, 0, "plain", async_send)


async def async_online_claimed(scenario: FaultScenario) -> None:
    fleet = scenario.fleet

    async def async_send(vm: int, request: str) -> bool:
        return await fleet.async_generate(vm, request, "a tag", key="tag-1")

    scenario.resend = lambda vm: fleet.async_generate(vm, "again", "a tag", key="tag-1")
    assert await async_send_until_answered(fleet, 0, "claimed", async_send)


async def async_booking(scenario: FaultScenario) -> None:
    fleet = scenario.fleet

    async def async_send(vm: int, request: str) -> bool:
        return await fleet.async_book(vm, request, "booking")

    scenario.resend = lambda vm: fleet.async_book(vm, "again", "booking")
    await async_send_until_answered(fleet, 0, "booking", async_send)
    # An unknown outcome stays unknown and a known one known, at any VM and any later time.
    await scenario.async_recover()
    before = len(fleet.upstreams.runs)
    await async_send_until_answered(
        fleet, scenario.find_other(fleet.daemons.running[0]), "booking", async_send
    )
    assert not before or len(fleet.upstreams.runs) == before, "it ran again"


async def async_submit_until_accepted(scenario: FaultScenario, items: int) -> str:
    fleet = scenario.fleet
    prompts = [f"summary {number}" for number in range(items)]
    jobs: list[str] = []

    async def async_send(vm: int, _: str) -> bool:
        jobs.append(await fleet.async_submit(vm, "digest", prompts))
        return bool(jobs[-1])

    scenario.resend = lambda vm: fleet.async_submit(vm, "digest", prompts)
    assert await async_send_until_answered(fleet, 0, "digest", async_send)
    return jobs[-1]


async def async_batch(scenario: FaultScenario) -> None:
    fleet = scenario.fleet
    job = await async_submit_until_accepted(scenario, 40)
    await fleet.async_wait_job(job)


async def async_batch_cancel(scenario: FaultScenario) -> None:
    fleet = scenario.fleet
    job = await async_submit_until_accepted(scenario, 140)
    await fleet.clock.async_sleep(300)

    async def async_send(vm: int, _: str) -> bool:
        return await fleet.async_cancel(vm, job)

    assert await async_send_until_answered(fleet, 1, "cancel", async_send)
    await fleet.async_wait_job(job)
    ended_at = fleet.clock.now()
    await scenario.async_recover()
    late = [
        run for run in fleet.upstreams.runs if run.at_ms > ended_at and "poison" not in run.request
    ]
    assert not late, "a cancelled job went on"


async def async_patch(fleet: Fleet, vm: int, patch_id: str, patch: Any) -> int:
    """Patch as an operator does, who reads the version again if it was stale."""
    versions: list[int] = []

    async def async_send(number: int, _: str) -> bool:
        async def async_call(core: Any) -> Any:
            follower = core.get(CONFIGURATION_FOLLOWER)
            await follower.async_poll()
            return await follower.async_patch(follower.version, patch_id, patch)

        patched = await fleet.async_as_caller(number, async_call)
        if isinstance(patched, Ok):
            versions.append(patched.ok_value.version)
        return isinstance(patched, Ok)

    assert await async_send_until_answered(fleet, vm, patch_id, async_send)
    return versions[-1]


async def async_patch_configuration(scenario: FaultScenario) -> None:
    fleet = scenario.fleet
    scenario.resend = lambda vm: async_patch(fleet, vm, "patch-1", {"models": {"small": "2"}})
    version = await async_patch(fleet, 0, "patch-1", {"models": {"small": "2"}})
    await scenario.async_recover()
    for daemon in fleet.live:
        assert daemon.core.blackboard.read(CONFIGURATION).version >= version


async def async_withdraw_key(scenario: FaultScenario) -> None:
    fleet = scenario.fleet
    key_hash = hash_key("key-busy")
    # Takes minutes unless it is ended, longer than any pause.
    running = create_outside_task(
        fleet.async_generate(
            1, "running", "long", customer="busy", tokens=LONG_TOKENS, deadline_ms=LONG_MS
        )
    )
    await fleet.clock.async_sleep(200)

    async def async_send(vm: int, _: str) -> bool:
        done = await fleet.async_as_caller(
            vm, lambda core: core.get(WITHDRAWALS).async_withdraw(key_hash)
        )
        return done is not None

    scenario.resend = lambda vm: async_send(vm, "")
    assert await async_send_until_answered(fleet, 0, "withdraw", async_send)
    await scenario.async_recover()
    assert running.done(), "a request runs on under a withdrawn key"
    assert not running.result()
    for daemon in fleet.live:
        assert daemon.core.get(KEYS).identify("key-busy").is_err()
        assert key_hash in daemon.core.blackboard.read(CONFIGURATION).withdrawn


async def async_limit_burst(scenario: FaultScenario) -> None:
    """One customer sends several times its rate to all VMs for six seconds."""
    fleet = scenario.fleet
    for number in range(60):
        for vm in range(3):
            if not fleet.is_lost(fleet.daemons.running[vm]):
                request = f"burst-{number}-{vm}"
                scenario.spawn(fleet.async_generate(vm, request, "short", customer="busy"))
        await fleet.clock.async_sleep(100)
    await scenario.async_recover()
    # After the faults have ended, the customer is served again.
    live = fleet.daemons.running.index(fleet.live[0])
    assert await fleet.async_generate(live, "after", "short", customer="busy")


async def async_join(scenario: FaultScenario) -> None:
    """A VM joins and takes over partitions while bookings arrive."""
    fleet = scenario.fleet
    scenario.spawn(fleet.async_add())
    for number in range(12):
        key = f"booking-{number}"

        async def async_send(vm: int, request: str, key: str = key) -> bool:
            return await fleet.async_book(vm, request, key)

        scenario.spawn(async_send_until_answered(fleet, number % 3, key, async_send))
        await fleet.clock.async_sleep(1000)
    await scenario.async_recover()


async def async_leave(scenario: FaultScenario) -> None:
    """A VM leaves while bookings and requests run there."""
    fleet = scenario.fleet
    scenario.spawn(async_online_plain(scenario))
    scenario.spawn(async_booking(scenario))
    await fleet.clock.async_sleep(20)
    leave_vm(scenario, fleet.daemons.running[0])
    await scenario.async_recover()


async def async_leave_upstream(scenario: FaultScenario) -> None:
    """Operators take an upstream out of service under traffic."""
    fleet = scenario.fleet

    async def async_traffic() -> None:
        for number in range(80):
            live = [n for n, d in enumerate(fleet.daemons.running) if not fleet.is_lost(d)]
            vm = live[number % len(live)]
            scenario.spawn(fleet.async_generate(vm, f"traffic-{number}", "short"))
            await fleet.clock.async_sleep(800)

    scenario.spawn(async_traffic())
    await async_patch(fleet, 0, "leave", {"leaving_upstreams": {"e1": True}})
    accepted_at = fleet.clock.now()
    # With failing links or VMs, a version may take up to SECONDS_MS to be in force everywhere.
    while not _is_leaving_everywhere(fleet) and fleet.clock.now() < accepted_at + SECONDS_MS:
        await fleet.clock.async_sleep(100)
    fleet.record.leaving_ms["e1"] = fleet.clock.now()
    await scenario.async_recover()


def _is_leaving_everywhere(fleet: Fleet) -> bool:
    boards = [daemon.core.blackboard for daemon in fleet.live]
    return all("e1" in board.read(CONFIGURATION).leaving_upstreams for board in boards)


_CLAIM: Final = b"claim/acme/"
_DISPATCH: Final = Step("before_dispatch", match_call("async_generate"))
_STREAM: Final = Step("at_the_fifth_chunk", match_call("chunk"), 5)
_ANSWER: Final = Step("before_the_answer", match_call("async_generate", done=True))


def _list_claim_steps() -> tuple[Step, ...]:
    return (
        Step("before_the_claim_is_kept", match_write(_CLAIM)),
        Step("after_the_claim_is_kept", match_write(_CLAIM, done=True)),
        Step("before_the_outcome_is_kept", match_write(_CLAIM), 2),
        Step("after_the_outcome_is_kept", match_write(_CLAIM, done=True), 2),
    )


PATHS: Final = (
    Path(
        "online_plain",
        async_online_plain,
        (_DISPATCH, _STREAM, _ANSWER),
        VM_FAULTS | ENGINE_FAULTS | CALLER_FAULTS,
    ),
    Path(
        "online_claimed",
        async_online_claimed,
        (*_list_claim_steps(), _DISPATCH, _STREAM),
        VM_FAULTS | ENGINE_FAULTS | CALLER_FAULTS,
    ),
    Path(
        "booking",
        async_booking,
        (
            *_list_claim_steps(),
            Step("before_the_run", match_call("async_call")),
            Step("after_the_run", match_call("async_call", done=True)),
        ),
        VM_FAULTS | SERVICE_FAULTS | CALLER_FAULTS,
    ),
    Path(
        "batch",
        async_batch,
        (
            Step("before_the_items_are_stored", match_put("/items/")),
            Step("before_the_chunk_is_kept", match_write(b"chunk/")),
            Step("before_the_manifest_is_kept", match_write(b"job/")),
            Step("after_the_manifest_is_kept", match_write(b"job/", done=True)),
            Step("before_the_first_run", match_call("async_generate")),
            Step("at_the_fiftieth_chunk", match_call("chunk"), 50),
            Step("after_the_first_run", match_call("async_generate", done=True)),
            Step("before_results_are_stored", match_put("/results/")),
            Step("after_results_are_stored", match_put("/results/", done=True)),
        ),
        VM_FAULTS | ENGINE_FAULTS | CALLER_FAULTS,
    ),
    Path(
        "batch_cancel",
        async_batch_cancel,
        (
            Step("before_the_cancel_is_kept", match_write(b'"cancelled":true')),
            Step("after_the_cancel_is_kept", match_write(b'"cancelled":true', done=True)),
        ),
        VM_FAULTS | ENGINE_FAULTS | CALLER_FAULTS,
    ),
    Path(
        "patch",
        async_patch_configuration,
        (
            Step("before_the_version_is_written", match_write(b"patch-1")),
            Step("after_the_version_is_written", match_write(b"patch-1", done=True)),
            Step("when_a_vm_asks_a_peer_for_it", match_frame(80)),
        ),
        VM_FAULTS | CALLER_FAULTS,
    ),
    Path(
        "withdrawal",
        async_withdraw_key,
        (
            Step("before_it_is_written", match_write(b"withdraw")),
            Step("after_it_is_written", match_write(b"withdraw", done=True)),
        ),
        VM_FAULTS | CALLER_FAULTS,
    ),
    Path(
        "limits",
        async_limit_burst,
        (
            Step("when_tokens_are_asked_for", match_frame(20), 3),
            Step("when_tokens_are_lent", match_frame(21), 3),
            Step("when_spent_tokens_are_reported", match_frame(20), 40),
        ),
        VM_FAULTS,
    ),
    Path(
        "vm_joins",
        async_join,
        (
            Step("before_a_partition_changes_hands", match_write(b"partition/")),
            Step("after_a_partition_changes_hands", match_write(b"partition/", done=True), 2),
        ),
        VM_FAULTS | SERVICE_FAULTS | LIST_FAULTS,
    ),
    Path(
        "vm_leaves",
        async_leave,
        (
            Step("before_a_run_there", match_call("async_call")),
            Step("before_a_partition_is_released", match_write(b"partition/"), 4),
        ),
        VM_FAULTS | ENGINE_FAULTS | SERVICE_FAULTS | LIST_FAULTS,
    ),
    Path(
        "upstream_leaves",
        async_leave_upstream,
        (
            Step("before_the_version_is_written", match_write(b"leaving_upstreams")),
            Step("after_the_version_is_written", match_write(b"leaving_upstreams", done=True)),
        ),
        VM_FAULTS | ENGINE_FAULTS,
    ),
)
