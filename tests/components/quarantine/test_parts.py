"""Parts of prompts that crash upstreams, under requests no two of which are alike."""

from collections.abc import Awaitable, Callable
from typing import Final

import orjson
import pytest
from result import Err, Ok

from goldcreststair.components.quarantine.const import CRASH_MERGE_MS, PART_CHARACTERS, SETTLE_MS
from goldcreststair.components.quarantine.parts import PartQuarantine, find_suspects
from goldcreststair.helpers.crash_evidence import CRASHES_TO_REFUSE, Suspects, hash_part
from goldcreststair.helpers.refusals import RefusalCode
from tests.helpers.batch_fleet import BatchFleet
from tests.helpers.cores import make_core
from tests.helpers.online import ADDRESSES, OnlineVm
from tests.helpers.shared_sets import FakeSharedSets
from tests.helpers.virtual_time import run_virtual

MARK: Final = "CRASH"
BEGINNING: Final = "b" * PART_CHARACTERS
BUDGET: Final = 5
CRASH_DELAY_MS: Final = 60


def name_part(name: str, *others: str) -> Suspects:
    """Return the suspects that stand for some parts."""
    return frozenset(hash_part(each) for each in (name, *others))


def run_pair(scenario: Callable[[PartQuarantine, PartQuarantine], Awaitable[None]]) -> None:
    """Run a scenario with the parts known to two VMs."""

    async def async_run() -> None:
        sets = FakeSharedSets()
        first = PartQuarantine(make_core(session_id="vm1"), sets)
        second = PartQuarantine(make_core(session_id="vm2"), sets)
        await scenario(first, second)

    run_virtual(async_run())


async def async_crash(vm: PartQuarantine, upstream: str, *runs: Suspects) -> None:
    """Lose runs with an upstream, and wait until the next crash counts as another one."""
    for run in runs:
        vm.report_lost(upstream, run, wrote_ms=None)
    await make_core().clock.async_sleep(CRASH_MERGE_MS + SETTLE_MS)


def test_a_part_is_refused_at_all_vms_after_three_crashes() -> None:
    """Guards against requests with one common part that crash upstream after upstream."""

    async def scenario(first: PartQuarantine, second: PartQuarantine) -> None:
        for number in range(CRASHES_TO_REFUSE):
            vm = (first, second)[number % 2]
            assert not first.is_refused(name_part("bad"))
            await async_crash(vm, f"e{number}", name_part("bad", f"own{number}"))
        assert first.is_refused(name_part("bad", "new"))
        assert second.is_refused(name_part("bad", "new"))
        assert not second.is_refused(name_part("new", "own1"))

    run_pair(scenario)


def test_reports_of_two_vms_about_one_crash_count_once() -> None:
    async def scenario(first: PartQuarantine, second: PartQuarantine) -> None:
        for number in range(CRASHES_TO_REFUSE - 1):
            second.report_lost(f"e{number}", name_part("a"), wrote_ms=None)
            await async_crash(first, f"e{number}", name_part("a"), name_part("a", "b"))
        assert first.is_suspect(name_part("a")) and not first.is_refused(name_part("a"))

    run_pair(scenario)


def test_a_part_that_upstreams_answer_is_never_refused() -> None:
    """Guards against refusing a part that most requests hold, and that is at every crash."""

    async def scenario(first: PartQuarantine, second: PartQuarantine) -> None:
        for number in range(6):
            await async_crash(first, f"e{number}", name_part("popular", "bad"))
            second.report_answer(name_part("popular", f"own{number}"))
        assert not first.is_refused(name_part("popular", "own9"))
        assert second.is_refused(name_part("popular", "bad"))

    run_pair(scenario)


def test_long_answers_that_crashes_cut_off_speak_for_their_parts() -> None:
    """Guards against refusing a part that all items hold, as upstreams crash while these are being written."""

    async def scenario(first: PartQuarantine, second: PartQuarantine) -> None:
        for number in range(6):
            first.report_lost(f"e{number}", name_part("popular", f"own{number}"), wrote_ms=5_000)
            await async_crash(second, f"e{number}", name_part("popular", f"new{number}"))
        assert not first.is_refused(name_part("popular", "own9"))
        assert not second.is_refused(name_part("popular", "own9"))

    run_pair(scenario)


@pytest.mark.parametrize("answers_at", [0, 1])
def test_an_answer_refutes_a_verdict_at_all_vms(answers_at: int) -> None:
    """Guards against a verdict that outlives its refutation at VMs that only heard of it."""

    async def scenario(first: PartQuarantine, second: PartQuarantine) -> None:
        for number in range(CRASHES_TO_REFUSE):
            await async_crash(first, f"e{number}", name_part("popular"))
        assert first.is_refused(name_part("popular")) and second.is_refused(name_part("popular"))
        (first, second)[answers_at].report_answer(name_part("popular", "own"))
        assert not first.is_refused(name_part("popular"))
        assert not second.is_refused(name_part("popular"))

    run_pair(scenario)


def make_prompt(number: int, *, mark: str = "", beginning: str = BEGINNING) -> str:
    """Return a prompt whose beginning other requests share."""
    return f"{beginning}{mark} {number}"


def test_online_requests_with_a_crashing_beginning_are_refused_at_all_vms() -> None:
    """Guards against different prompts that begin alike and crash upstream after upstream."""

    async def scenario() -> None:
        sets = FakeSharedSets()
        first = OnlineVm(session_id="vm1")
        second = OnlineVm(first.upstreams, session_id="vm2")
        for vm in (first, second):
            await vm.async_setup(4, shared_sets=sets)
        engines = [first.upstreams.engines[address] for address in ADDRESSES]
        for engine in engines:
            engine.faults.crash_marker, engine.faults.crash_delay_ms = MARK, CRASH_DELAY_MS
        codes = []
        for number in range(8):
            vm, beginning = (first, second)[number % 2], MARK + BEGINNING
            prompt = make_prompt(number, beginning=beginning)
            ended = await vm.async_generate(f"bad{number}", prompt=prompt)
            codes.append(ended.err_value.code if isinstance(ended, Err) else None)
            await vm.core.clock.async_sleep(CRASH_MERGE_MS + SETTLE_MS)
            sound = await vm.async_generate(f"ok{number}", prompt=make_prompt(number))
            assert isinstance(sound, Ok)
        assert codes[-2:] == [RefusalCode.QUARANTINED] * 2
        assert sum(engine.crashes for engine in engines) <= BUDGET
        before = sum(engine.crashes for engine in engines)
        await first.async_generate("again", prompt=make_prompt(99, beginning=MARK + BEGINNING))
        assert sum(engine.crashes for engine in engines) == before
        for vm in (first, second):
            await vm.async_close()

    run_virtual(scenario())


def test_items_with_a_crashing_beginning_end_as_quarantined() -> None:
    """Guards against a job whose items crash upstream after upstream, or that never ends."""

    async def scenario() -> None:
        fleet = BatchFleet()
        await fleet.async_start()
        for engine in fleet.engines.values():
            engine.faults.crash_marker = MARK
        bad = [make_prompt(number, beginning=MARK + BEGINNING) for number in range(6)]
        good = [make_prompt(number) for number in range(30)]
        manifest = (await fleet.async_submit(make_job(bad + good))).unwrap()
        await fleet.async_wait(manifest.job)
        counts = await fleet.async_check(manifest.job)
        assert counts == {"quarantined": 6, "done": 30} | counts
        await fleet.async_close()

    run_virtual(scenario(), 900)


def make_job(prompts: list[str]) -> list[bytes]:
    """Return the lines of a job, with custom ids as `BatchFleet.async_check` reads them."""
    tokens = 5
    bodies = ({"prompt": prompt, "max_tokens": tokens} for prompt in prompts)
    return [orjson.dumps({"custom_id": f"{b['prompt']}|{tokens}", "body": b}) for b in bodies]


@pytest.mark.parametrize(
    ("body", "count"),
    [
        (b'{"prompt": "short"}', 1),
        (b'{"prompt": "' + b"x" * 300 + b'"}', 2),
        (b'{"messages": [{"role": "system"}, {"role": "user"}, {"role": "user"}]}', 3),
        (b"not json", 1),
        (b"[]", 1),
    ],
)
def test_suspects_of_a_body(body: bytes, count: int) -> None:
    assert len(find_suspects("0" * 32, body)) == count
    assert len(find_suspects("", body)) == count - 1
