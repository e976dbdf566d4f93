"""Which part of a prompt, or which request, is to blame for crashes."""

from dataclasses import dataclass
from typing import Final

import pytest

from goldcreststair.clock import Millis
from goldcreststair.helpers.crash_evidence import (
    EVIDENCE_MS,
    FRESH_MS,
    MAX_ANSWERS,
    MAX_CRASHES,
    MAX_PARTS,
    MAX_SUSPECTS,
    SOUND_MS,
    WHOLE,
    Answers,
    CrashEvidence,
    CrashReport,
    Extent,
    RequestSuspects,
    Suspects,
    Written,
    hash_part,
    list_suspects,
)
from goldcreststair.helpers.crash_verdicts import VerdictChange, Verdicts
from tests.helpers.virtual_time import ManualClock

V1, V2 = 1, 2
OTHERS = 5
"""Upstreams beside the one that crashes."""


def name(*names: str) -> Suspects:
    """Return suspects by readable names."""
    return frozenset(each.encode().ljust(8, b".") for each in names)


@dataclass(frozen=True, slots=True)
class At:
    """What happens at one moment, ms; suspects are separated by spaces."""

    ms: int
    crashed: str = ""
    """Suspects whose runs had not returned anything when an upstream crashed."""
    begun: str = ""
    """Suspects whose runs had."""
    answered: str = ""
    extent: Extent | None = None
    """How far the answers had got: those that the crash ended, or that speak for their suspects."""
    software: int = V1
    common: str = ""
    """Suspects that ran at all other upstreams as well."""


def replay(events: list[At]) -> list[set[str]]:
    """Return the culprits after some events, each as a set of names."""
    clock = ManualClock()
    clock.advance(10_000)
    evidence, started = CrashEvidence(clock), clock.now()
    for number, event in enumerate(events):
        clock.advance(started + event.ms - clock.now())
        if event.crashed or event.begun:
            crash, suspects = f"c{number}".encode(), name(*event.crashed.split())
            elsewhere = dict.fromkeys(name(*event.common.split()), OTHERS)
            begun = name(*event.begun.split())
            extents = dict.fromkeys(begun, event.extent) if event.extent else {}
            report = CrashReport(
                crash,
                event.software,
                suspects,
                begun,
                others=OTHERS,
                elsewhere=elsewhere,
                extents=extents,
            )
            evidence.record_crash(report)
        if event.answered:
            answered, written = (
                name(*event.answered.split()),
                Written(clock.now(), event.extent or WHOLE),
            )
            evidence.record_answer(answered, event.software, written)
    return [{each.decode().rstrip(".") for each in c.suspects} for c in evidence.find_culprits(())]


def reach(seconds: float, events: int = 0) -> Extent:
    """Return how far an answer of 33 events a second has got."""
    return Extent(int(seconds * 1000), events or int(seconds * 33))


PLACE: Final = reach(3)


@pytest.mark.parametrize(
    ("events", "culprits"),
    [
        pytest.param(
            [At(5_000 * n, begun="x", extent=PLACE) for n in range(4)],
            [{"x"}],
            id="four crashes at one place of an answer",
        ),
        pytest.param(
            [At(5_000 * n, begun="x", extent=PLACE) for n in range(3)],
            [],
            id="three may be chance",
        ),
        pytest.param(
            [At(5_000 * n, begun="x", extent=reach(1 + 1.5 * n)) for n in range(4)],
            [],
            id="crashes by chance: later answers have passed the places of earlier ones",
        ),
        pytest.param(
            [
                *(At(5_000 * n, begun="x", extent=PLACE) for n in range(4)),
                At(20_000, answered="x", extent=reach(3.5)),
            ],
            [{"x"}],
            id="an answer that has just reached the place",
        ),
        pytest.param(
            [
                *(At(5_000 * n, begun="x", extent=PLACE) for n in range(4)),
                At(20_000, answered="x", extent=reach(6, 90)),
            ],
            [{"x"}],
            id="a slow answer that has not reached the event",
        ),
        pytest.param(
            [
                *(At(5_000 * n, begun="x", extent=PLACE) for n in range(4)),
                At(20_000, answered="x", extent=reach(5)),
            ],
            [],
            id="an answer that has passed the place",
        ),
        pytest.param(
            [
                *(At(5_000 * n, begun="x", extent=PLACE) for n in range(4)),
                At(20_000, answered="x", extent=reach(0.5).end()),
            ],
            [{"x"}],
            id="the rest of an answer, which does not hold the place",
        ),
        pytest.param(
            [
                *(At(5_000 * n, begun="x", extent=reach(0.5)) for n in range(5)),
                At(25_000, answered="x", extent=reach(0.2).end()),
            ],
            [],
            id="the rest of an answer after crashes at the begin",
        ),
        pytest.param(
            [
                *(At(5_000 * n, begun="x", extent=PLACE) for n in range(4)),
                At(20_000, answered="x"),
            ],
            [],
            id="a whole answer",
        ),
        pytest.param(
            [
                *(At(5_000 * n, begun="x", extent=PLACE) for n in range(3)),
                At(15_000, answered="x"),
                At(20_000, begun="x", extent=PLACE),
            ],
            [],
            id="a whole answer between the crashes",
        ),
    ],
)
def test_a_crash_late_in_an_answer_is_cleared_by_answers_that_pass_it(
    events: list[At], culprits: list[set[str]]
) -> None:
    """An answer in progress acquitted its request of crashes at places that it had not reached."""
    assert replay(events) == culprits


@pytest.mark.parametrize(
    ("extent", "blamed", "answered"),
    [
        (reach(0.5), "request part", []),
        (Extent(SOUND_MS, 30), "request part", []),
        (reach(3), "request", [("part", WHOLE), ("request", reach(3))]),
        (WHOLE, "request", [("part", WHOLE), ("request", WHOLE)]),
    ],
)
def test_late_crashes_count_against_the_request_and_not_its_parts(
    extent: Extent, blamed: str, answered: list[tuple[str, Extent]]
) -> None:
    """Parts that all long answers hold were present at each late crash, and were refused for chance."""
    request = RequestSuspects(name("request", "part"), late=name("request"))
    assert request.list_blamed(extent) == name(*blamed.split())
    found = request.list_answered(Written(Millis(7), extent))
    assert found == tuple((name(each), Written(Millis(7), reached)) for each, reached in answered)


@pytest.mark.parametrize("order", [1, -1])
def test_reports_of_several_vms_say_how_far_the_longest_run_had_got(order: int) -> None:
    """One VM's short run beside another VM's long one let the long one speak against its own crash."""
    clock = ManualClock()
    clock.advance(10_000)
    evidence = CrashEvidence(clock)
    for number in range(4):
        crash = f"c{number}".encode()
        reports = [
            CrashReport(crash, V1, frozenset(), name("x"), extents={b"x.......": extent})
            for extent in (reach(0.2), PLACE)
        ]
        for report in reports[::order]:
            evidence.record_crash(report)
        evidence.record_answer(name("x"), V1, Written(clock.now(), PLACE))
        clock.advance(5_000)
    assert [culprit.suspects for culprit in evidence.find_culprits(())] == [name("x")]


@pytest.mark.parametrize(
    ("events", "culprits"),
    [
        pytest.param([At(0, "bad r1"), At(100, "bad r2")], [], id="two crashes are not enough"),
        pytest.param(
            [At(0, "bad r1 x"), At(100, "bad r2"), At(200, "bad r3 x")],
            [{"bad"}],
            id="what three crashes have in common",
        ),
        pytest.param(
            [At(0, "bad r1 a"), At(100, "bad r2 a"), At(200, "bad r3 a")],
            [{"a", "bad"}],
            id="two suspects of all crashes: only requests with both",
        ),
        pytest.param(
            [At(0, "bad a"), At(100, "bad a"), At(200, "bad a"), At(300, answered="a")],
            [{"bad"}],
            id="an answer after the crashes clears a suspect",
        ),
        pytest.param(
            [At(0, answered="a"), At(500, "bad a"), At(600, "bad a"), At(700, "bad a")],
            [{"bad"}],
            id="a fresh answer before the crashes clears a suspect",
        ),
        pytest.param(
            [At(0, answered="a"), At(2_000, "a"), At(2_100, "a"), At(2_200, "a")],
            [{"a"}],
            id="an old answer does not",
        ),
        pytest.param(
            [At(0, "a"), At(100, "a"), At(200, "a"), At(300, answered="a", software=V2)],
            [{"a"}],
            id="nor does one of another software version",
        ),
        pytest.param(
            [At(0, "a"), At(1, "a"), At(2, "a"), At(3, "a"), At(4, "a")],
            [],
            id="upstreams that end at one moment count once",
        ),
        pytest.param(
            [At(100 * n, begun="long") for n in range(4)],
            [],
            id="a long run is present at crashes of others",
        ),
        pytest.param(
            [At(100 * n, begun="late") for n in range(5)],
            [{"late"}],
            id="a part that crashes upstreams after some events",
        ),
        pytest.param(
            [
                At(0, "p s"),
                At(100, "q s"),
                At(200, "p s"),
                At(300, "q"),
                At(400, "p"),
                At(500, "q"),
            ],
            [{"p"}, {"q"}],
            id="two parts at once, and a bystander of both",
        ),
        pytest.param(
            [At(0, "a whole"), At(100, "a whole"), At(150, answered="a"), At(200, "a whole")],
            [{"whole"}],
            id="a whole request that crashes upstreams",
        ),
        pytest.param(
            [At(100 * n, f"all r{n}", common="all") for n in range(9)],
            [],
            id="a suspect that runs everywhere is at each crash, whoever causes it",
        ),
        pytest.param(
            [At(100 * n, f"bad r{n}", common="bad") for n in range(2)]
            + [At(100 * n, f"bad r{n}") for n in range(2, 5)],
            [{"bad"}],
            id="a common suspect that was run alone since",
        ),
        pytest.param(
            [At(100 * n, f"bad all r{n}", common="all") for n in range(3)],
            [{"all", "bad"}],
            id="a rare suspect beside a common one",
        ),
    ],
)
def test_blame(events: list[At], culprits: list[set[str]]) -> None:
    assert sorted(map(sorted, replay(events))) == sorted(map(sorted, culprits))


@pytest.mark.parametrize("is_served", [False, True])
def test_answers_of_another_software_version(is_served: bool) -> None:
    """Guards against suspects that no answer can clear, as their software version is gone."""
    evidence = CrashEvidence(ManualClock(), lambda software: is_served or software != V1)
    for number in range(3):
        evidence.record_crash(CrashReport(b"crash%d" % number, V1, name("a")))
        evidence._clock.advance(100)  # type: ignore[attr-defined]
    evidence.record_answer(name("a"), V2, Written(evidence._clock.now()))
    assert bool(evidence.find_culprits(())) is is_served
    assert evidence.count_crashes(()) == {}


def test_the_report_of_the_vm_that_used_most_upstreams_counts() -> None:
    """Guards against blame by a VM that runs nothing else and takes a common part for a rare one."""
    evidence = CrashEvidence(ManualClock())
    for crash in (b"first", b"second"):
        for others, common in ((0, 0), (4, 4), (1, 0)):
            elsewhere = dict.fromkeys(name("a"), common)
            report = CrashReport(crash, V1, name("a"), others=others, elsewhere=elsewhere)
            evidence.record_crash(report)
    assert evidence.count_crashes(())[next(iter(name("a")))].points == 0


def test_reports_of_several_vms_about_one_crash_count_once() -> None:
    """Guards against a part that is convicted because ten VMs saw one crash."""
    evidence = CrashEvidence(ManualClock())
    for _ in range(10):
        evidence.record_crash(CrashReport(b"crash", V1, name("a")))
    assert evidence.count_crashes(())[next(iter(name("a")))].total == 1


def test_a_run_that_had_returned_nothing_counts_among_several() -> None:
    """Guards against a crash that is excused by another run with the same part."""
    evidence = CrashEvidence(ManualClock())
    evidence.record_crash(CrashReport(b"crash", V1, frozenset(), name("a")))
    assert evidence.record_crash(CrashReport(b"crash", V1, name("a")))
    assert evidence.count_crashes(())[next(iter(name("a")))].before_output == 1


def test_answers_are_passed_on_to_vms_that_suspect_a_part() -> None:
    """Guards against a part that one VM knows to be sound and another one refuses."""
    clock = ManualClock()
    clock.advance(10_000)
    knows, suspects = CrashEvidence(clock), CrashEvidence(clock)
    knows.record_answer(name("a"), V1, Written(clock.now()))
    for crash in (b"first", b"second"):
        assert knows.list_untold(name("a")) == [] and set(knows.count_crashes(())) <= set(name("b"))
        for evidence in (knows, suspects):
            evidence.record_crash(CrashReport(crash, V1, name("a", "b")))
    (answers,) = knows.list_untold(name("a", "b"))
    assert (
        answers == Answers(V1, dict.fromkeys(name("a"), 0)) and knows.list_untold(name("a")) == []
    )
    assert suspects.record_shared(answers) and not suspects.record_shared(answers)
    assert set(suspects.count_crashes(())) == set(name("b"))
    assert suspects.list_untold(name("a")) == []


def test_crashes_expire() -> None:
    clock = ManualClock()
    evidence = CrashEvidence(clock)
    evidence.record_crash(CrashReport(b"crash", V1, name("a")))
    clock.advance(EVIDENCE_MS + 1)
    evidence.expire()
    assert evidence.is_empty


def test_memory_is_bounded_and_keeps_what_is_in_use() -> None:
    """Guards against a customer that makes up parts until other parts are forgotten."""
    clock = ManualClock()
    clock.advance(FRESH_MS)
    evidence = CrashEvidence(clock)
    for number in range(2 * MAX_ANSWERS):
        evidence.record_answer(
            frozenset((b"%08d" % number, *name("used"))), V1, Written(clock.now())
        )
    assert len(evidence._answers) == MAX_ANSWERS
    made_up = frozenset(b"%08d" % number for number in range(2 * MAX_SUSPECTS))
    for number in range(2 * MAX_CRASHES):
        evidence.record_crash(CrashReport(b"crash%d" % number, V1, made_up))
    assert len(evidence._crashes) == MAX_CRASHES
    assert all(len(crash.suspects) == MAX_SUSPECTS for crash in evidence._crashes.values())
    evidence.record_crash(CrashReport(b"last", V1, name("used", "new")))
    counts = evidence.count_crashes(())
    assert set(counts) & name("used", "new") == name("new")


def test_the_last_part_and_parts_beyond_a_limit_are_no_suspects() -> None:
    fingerprint = "00" * 8
    parts = [f"p{number}" for number in range(MAX_PARTS + 5)]
    assert len(list_suspects(fingerprint, parts)) == MAX_PARTS + 1
    assert list_suspects(fingerprint, ("shared", "own")) == {bytes(8), hash_part("shared")}
    assert list_suspects(fingerprint, ()) == {bytes(8)}


def test_a_verdict_is_not_displaced_by_a_bystander_of_more_crashes() -> None:
    """Guards against releasing a part that crashes upstreams for one that was at more crashes by chance."""
    clock = ManualClock()
    clock.advance(10_000)
    evidence = CrashEvidence(clock)
    verdicts = Verdicts(clock, evidence)

    def crash(number: int, *names: str) -> VerdictChange:
        clock.advance(100)
        evidence.record_crash(CrashReport(b"crash%d" % number, V1, name(*names)))
        return verdicts.update(0)

    crash(0, "bad", "seen")
    crash(1, "bad", "seen")
    assert crash(2, "bad").added == (name("bad"),)
    for number in range(3, 5):
        assert crash(number, "seen") == VerdictChange()
    assert verdicts.find(name("bad", "x")) and not verdicts.find(name("seen"))
    assert crash(5, "seen").added == (name("seen"),)
    assert verdicts.find(name("bad"))
    evidence.record_answer(name("seen"), V1, Written(clock.now()))
    assert verdicts.update(0).released == (name("seen"),)
    assert verdicts.find(name("bad")) and not verdicts.find(name("seen"))


def test_a_bystander_of_two_culprits_is_released_with_the_second_verdict() -> None:
    """Guards against a sound part that stays refused because two parts crashed upstreams in turn."""
    clock = ManualClock()
    clock.advance(10_000)
    evidence = CrashEvidence(clock)
    verdicts = Verdicts(clock, evidence)
    for number, names in enumerate(("p s", "q s", "p s", "q", "p", "q", "p", "q", "p", "q")):
        clock.advance(100)
        evidence.record_crash(CrashReport(b"crash%d" % number, V1, name(*names.split())))
        verdicts.update(0)
    assert verdicts.find(name("p")) and verdicts.find(name("q")) and not verdicts.find(name("s"))
