"""Decisions on ejection, in tables."""

import random
from dataclasses import dataclass

import pytest

from goldcreststair.clock import Millis
from goldcreststair.components.discovery.models import UpstreamEntry
from goldcreststair.components.fleet.protocols import hash_name
from goldcreststair.components.outliers.const import (
    EJECTION_MS,
    MAX_EJECTION_MS,
    SETTLE_MS,
    TICK_MS,
    WINDOW_MS,
)
from goldcreststair.components.outliers.controller import OutlierController
from goldcreststair.components.outliers.models import EjectionReason, Outcomes, OutlierState
from goldcreststair.components.placement.models import RunOutcome
from standins.virtual_time import ManualClock

OWN = "own"
NAMES = ("a", "b", "c", "d", "e", "f", "g")
BAD = NAMES[0]
OUTCOMES = {"s": RunOutcome.SUCCESS, "f": RunOutcome.FAILED, "r": RunOutcome.REFUSED}
OUTCOMES["x"] = RunOutcome.ABORTED


def make_entry(name: str, started_ms: int = 1) -> UpstreamEntry:
    """Return an upstream."""
    return UpstreamEntry(name, "s", f"{name}:80", "dc0", 8, False, started_ms)


@dataclass(slots=True)
class Bench:
    """A controller and its clock."""

    clock: ManualClock
    controller: OutlierController

    def record(
        self,
        name: str,
        outcomes: str,
        gap_ms: int = 0,
        first_ms: int | None = 40,
        *,
        began_at: Millis | None = None,
    ) -> None:
        """Record outcomes, one letter each with a pause after it, and let the controller decide."""
        for outcome in outcomes:
            began = self.clock.now() if began_at is None else began_at
            self.controller.record_outcome(make_entry(name), OUTCOMES[outcome], first_ms, began)
            if gap_ms:
                self.clock.advance(gap_ms)
                self.controller.advance()
        self.controller.advance()

    def report(self, session: str, **outcomes: tuple[int, int]) -> None:
        """Apply another daemon's report."""
        reported = {hash_name(name): Outcomes(*each) for name, each in outcomes.items()}
        self.controller.peers.apply(session, reported)

    def wait(self, duration_ms: int) -> None:
        """Let time pass."""
        for _ in range(duration_ms // TICK_MS):
            self.clock.advance(TICK_MS)
            self.controller.advance()

    def read_reasons(self) -> list[EjectionReason | None]:
        """Return the reasons of the ejections since the last call."""
        changes = self.controller.take_changes()
        return [each.reason for each in changes if each.state is OutlierState.EJECTED]

    def half_open(self) -> None:
        """Eject `BAD` and let the ejection end."""
        self.record("b", "s")
        self.record(BAD, "fff")
        assert self.controller.is_ejected(BAD)
        self.wait(EJECTION_MS)
        assert self.controller.is_excluded(BAD) and not self.controller.is_ejected(BAD)


def make_bench(names: tuple[str, ...] = NAMES, *, active: bool = True) -> Bench:
    """Return a bench with upstreams of one service."""
    clock = ManualClock()
    controller = OutlierController(clock, random.Random(1), OWN, lambda _: active)
    controller.apply_upstreams({name: make_entry(name) for name in names})
    return Bench(clock, controller)


SHARE, ROW, SLOW = EjectionReason.SHARE, EjectionReason.ROW, EjectionReason.SLOW


@pytest.mark.parametrize(
    ("bad", "others", "reasons"),
    [
        pytest.param("sfsfsfsfs", "ssss", [SHARE], id="fails-often"),
        pytest.param("sfssfssfs", "ssss", [], id="three-failures"),
        pytest.param("ssssfsssfsssfsssf", "ssss", [], id="share-below-0.3"),
        pytest.param("sfsfsfsfs", "sfss", [], id="others-fail-too"),
        pytest.param("sfffs", "ssss", [ROW], id="consecutive"),
        pytest.param("ffsff", "ssss", [SHARE], id="row-interrupted"),
        pytest.param("frfrf", "ssss", [ROW], id="refusals-count-as-nothing"),
        pytest.param("xxxxxxrrrr", "ssss", [], id="aborted-and-refused"),
        pytest.param("fffff", "ffff", [], id="whole-service"),
        pytest.param("fffff", "", [], id="nothing-to-compare-with"),
    ],
)
def test_ejection_depends_on_failures_and_the_other_upstreams(
    bad: str, others: str, reasons: list[EjectionReason]
) -> None:
    """Guards against an upstream that keeps its share, and against excluding a whole service."""
    bench = make_bench()
    for name in NAMES[1:]:
        bench.record(name, others)
    bench.record(BAD, bad, gap_ms=100)
    bench.wait(SETTLE_MS)
    assert bench.read_reasons() == reasons
    assert bench.controller.is_ejected(BAD) == bool(reasons)


@pytest.mark.parametrize(
    ("gap_ms", "ejected"), [(900, True), (1_100, False), (WINDOW_MS, False)], ids=str
)
def test_consecutive_failures_count_within_two_seconds(gap_ms: int, ejected: bool) -> None:
    """Guards against ejecting an upstream for failures that are far apart."""
    bench = make_bench()
    bench.record("b", "s", gap_ms=1)
    bench.record(BAD, "ff", gap_ms)
    bench.record("b", "s", gap_ms=1)
    bench.record(BAD, "f")
    assert bench.controller.is_ejected(BAD) == ejected


@pytest.mark.parametrize(
    ("usual_ms", "first_ms", "reasons"),
    [(40, 300, [SLOW]), (40, 190, []), (100, 390, []), (100, 410, [SLOW])],
)
def test_late_first_events_count_as_failures(
    usual_ms: int, first_ms: int, reasons: list[EjectionReason]
) -> None:
    """Guards against an upstream that answers, but takes several times as long as the others."""
    bench = make_bench()
    for name in NAMES[1:]:
        bench.record(name, "sss", first_ms=usual_ms)
    bench.record(BAD, "sss", first_ms=first_ms)
    assert bench.read_reasons() == reasons


def test_outcomes_of_all_daemons_are_added() -> None:
    """In a large fleet no daemon sees enough requests at one upstream to decide by itself."""
    bench = make_bench()
    bench.record("b", "s")
    bench.record(BAD, "f")
    bench.report("p", a=(2, 2))
    bench.report("q", a=(3, 1))
    bench.wait(SETTLE_MS)
    assert bench.read_reasons() == [SHARE]


def test_reports_are_awaited_before_the_share_counts() -> None:
    """Daemons without a failure report their successes only after the first failure is known."""
    bench = make_bench()
    bench.record("b", "s")
    for session in "pqrt":
        bench.report(session, a=(0, 1))
    bench.wait(SETTLE_MS - TICK_MS)
    for session in "uvwx":
        bench.report(session, a=(9, 0))
    bench.wait(WINDOW_MS - SETTLE_MS)
    assert not bench.read_reasons()


def test_outcomes_of_a_lost_daemon_age_out() -> None:
    """Guards against deciding by what a lost daemon reported last."""
    bench = make_bench()
    bench.report("p", a=(0, 3))
    bench.wait(WINDOW_MS)
    bench.record("b", "s")
    bench.record(BAD, "sfs")
    bench.wait(SETTLE_MS)
    assert not bench.read_reasons()


@pytest.mark.parametrize("reported", [(-6, 5), (-2, 2), (0, -5), (-1, -1)])
def test_negative_figures_are_ignored(reported: tuple[int, int]) -> None:
    """Guards against sums of zero, by which the check of all upstreams would end with an error."""
    bench = make_bench()
    bench.record("b", "s")
    bench.record(BAD, "f")
    bench.report("p", a=reported, b=reported)
    bench.wait(SETTLE_MS)
    assert bench.controller.is_ejected(BAD) is False
    assert bench.controller.peers.read(hash_name(BAD)) == Outcomes()


@pytest.mark.parametrize(
    ("names", "bad", "ejected"),
    [
        (NAMES, ("a", "b", "c"), 2),
        (NAMES[:3], ("a", "b"), 1),
        (NAMES[:2], ("a",), 1),
        (NAMES[:1], ("a",), 0),
    ],
)
def test_most_upstreams_stay_in_use(
    names: tuple[str, ...], bad: tuple[str, ...], ejected: int
) -> None:
    """Guards against requests crowding at the few upstreams that are left."""
    bench = make_bench(names)
    for name in names[len(bad) :]:
        bench.record(name, "s" * 20)
    for name in bad:
        bench.record(name, "fff")
    assert bench.controller.count_ejected() == ejected


def test_ejections_double_up_to_a_bound() -> None:
    """Guards against an upstream that flaps and gets requests at each return."""
    bench = make_bench()
    bench.record("b", "s")
    bench.record(BAD, "fff")
    durations = []
    for _ in range(6):
        durations += [each.duration_ms for each in bench.controller.take_changes()]
        while bench.controller.is_ejected(BAD):
            bench.wait(TICK_MS)
        bench.controller.record_begin(BAD)
        bench.record(BAD, "f")
    durations = [each for each in durations if each]
    for number, duration_ms in enumerate(durations):
        full_ms = min(MAX_EJECTION_MS, EJECTION_MS << number)
        assert 0.9 * full_ms <= duration_ms <= full_ms


def test_half_open_upstream_gets_one_request_at_a_time_until_three_succeed() -> None:
    """Guards against all daemons sending to an upstream that has not recovered."""
    bench = make_bench()
    bench.half_open()
    for _ in range(3):
        assert bench.controller.may_send(BAD) and bench.controller.is_excluded(BAD)
        bench.controller.record_begin(BAD)
        assert not bench.controller.may_send(BAD)
        bench.record(BAD, "s")
    assert not bench.controller.is_excluded(BAD)


@pytest.mark.parametrize(("trial", "state"), [("f", "ejected"), ("x", "half"), ("r", "half")])
def test_end_of_a_trial_request(trial: str, state: str) -> None:
    """A failed trial ejects again; one that shows nothing frees the way for the next."""
    bench = make_bench()
    bench.half_open()
    bench.controller.record_begin(BAD)
    bench.record(BAD, trial)
    assert bench.controller.is_ejected(BAD) == (state == "ejected")
    assert bench.controller.may_send(BAD) == (state == "half")


@pytest.mark.parametrize("outcome", ["f", "x", "s"])
def test_run_from_before_the_half_open_state_is_no_trial(outcome: str) -> None:
    """A run that hung before the ejection may end during a trial and must not decide or end it."""
    bench = make_bench()
    before = bench.clock.now()
    bench.half_open()
    bench.controller.record_begin(BAD)
    bench.record(BAD, outcome, began_at=before)
    assert bench.controller.is_excluded(BAD) and not bench.controller.is_ejected(BAD)
    assert not bench.controller.may_send(BAD)


def test_batch_run_is_no_trial() -> None:
    """Guards against a second trial request at a time after a batch run was preempted."""
    bench = make_bench()
    bench.half_open()
    bench.controller.record_begin(BAD)
    bench.controller.record_outcome(make_entry(BAD), RunOutcome.ABORTED, None)
    assert not bench.controller.may_send(BAD)


@pytest.mark.parametrize(
    ("reports", "state"),
    [
        ([(20, 6), (20, 0)], "half"),
        ([(20, 6), (17, 0), (21, 0)], "restored"),
        ([(20, 6), (0, 0), (3, 0)], "restored"),
        ([(20, 6), (0, 0), (2, 1)], "ejected"),
    ],
)
def test_reports_from_before_the_half_open_state_do_not_count(
    reports: list[tuple[int, int]], state: str
) -> None:
    """Reports cover a window, so that they include outcomes from before the ejection."""
    bench = make_bench()
    bench.report("p", a=reports[0])
    bench.half_open()
    for reported in reports[1:]:
        bench.report("p", a=reported)
        bench.controller.advance()
    controller = bench.controller
    states = {True: "ejected"} | {False: "half" if controller.is_excluded(BAD) else "restored"}
    assert states[controller.is_ejected(BAD)] == state


def test_only_the_first_daemons_of_the_ranking_send_trials() -> None:
    """Guards against hundreds of daemons sending a trial request each."""
    sessions = [f"vm{number}" for number in range(50)]
    senders = 0
    for session in sessions:
        clock = ManualClock()
        controller = OutlierController(clock, random.Random(1), session, lambda _: True)
        controller.apply_upstreams({name: make_entry(name) for name in NAMES})
        controller.apply_sessions(sessions)
        bench = Bench(clock, controller)
        bench.half_open()
        senders += controller.may_send(BAD)
    assert senders == 4


def test_upstream_is_restored_if_nobody_reports_trials() -> None:
    """Guards against an exclusion for good where the daemons that send trials are lost."""
    bench = make_bench()
    bench.controller.apply_sessions([f"vm{number}" for number in range(500)])
    bench.half_open()
    assert not bench.controller.may_send(BAD)
    bench.wait(WINDOW_MS + 2 * EJECTION_MS)
    assert not bench.controller.is_excluded(BAD)


def test_restarted_upstream_starts_anew() -> None:
    bench = make_bench()
    bench.record("b", "s")
    bench.record(BAD, "fff")
    assert bench.controller.is_ejected(BAD)
    bench.controller.apply_upstreams({BAD: make_entry(BAD, 2), "b": make_entry("b")})
    assert bench.controller.may_send(BAD)
    assert bench.controller.take_changes()[-1].state is OutlierState.CLOSED


def read_report(bench: Bench) -> dict[str, tuple[int, int]]:
    """Return what the next beacon carries."""
    names = {hash_name(name): name for name in NAMES}
    report = bench.controller.list_report()
    return {names[key]: (each.succeeded, each.failed) for key, each in report}


def test_only_suspected_upstreams_are_reported() -> None:
    """Outcomes of all upstreams would add kilobytes a second to the digests of a large fleet."""
    bench = make_bench()
    for name in NAMES:
        bench.record(name, "ss")
    assert not read_report(bench)
    bench.record(BAD, "f")
    assert read_report(bench) == {BAD: (2, 1)}
    bench.report("p", b=(0, 1), c=(4, 0))
    assert read_report(bench) == {BAD: (2, 1), "b": (2, 0)}
    bench.report("p")
    bench.wait(WINDOW_MS)
    assert not read_report(bench)


@pytest.mark.parametrize(("failing", "reported"), [(1, True), (2, False), (5, False)])
def test_daemon_whose_own_network_is_bad_reports_nothing(failing: int, reported: bool) -> None:
    """Guards against a daemon's own fault that ejects healthy upstreams at all others."""
    bench = make_bench()
    for name in NAMES[:failing]:
        bench.record(name, "sff")
    bench.record(NAMES[-1], "s")
    assert bool(read_report(bench)) == reported


def test_inactive_feature_decides_nothing() -> None:
    bench = make_bench(active=False)
    bench.record(BAD, "ffffff")
    bench.wait(SETTLE_MS)
    assert bench.controller.may_send(BAD) and not bench.controller.list_report()
