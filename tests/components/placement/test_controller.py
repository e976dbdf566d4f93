"""Choice of upstreams for requests, and preemption of batch runs."""

import random

import pytest
from result import Err

from goldcreststair.components.discovery.models import LiveUpstreams, UpstreamEntry
from goldcreststair.components.fleet.protocols import hash_name
from goldcreststair.components.placement.admission import TimeBudget, decide_retry_after
from goldcreststair.components.placement.const import BATCH_RESERVE, DOWN_MS, FULL_MS
from goldcreststair.components.placement.controller import PlacementController
from goldcreststair.components.placement.loads import Runs
from goldcreststair.components.placement.models import Placement, PlacementQuery
from standins.virtual_time import ManualClock

QUERY = PlacementQuery("s")


def make_entry(name: str, data_centre: str = "dc0", draining: bool = False) -> UpstreamEntry:
    """Return an upstream with eight slots."""
    return UpstreamEntry(name, "s", f"{name}:80", data_centre, 8, draining, 1)


def make_controller(
    clock: ManualClock, *entries: UpstreamEntry, expired: frozenset[str] = frozenset()
) -> PlacementController:
    """Return a controller in data centre dc0."""
    controller = PlacementController(clock, random.Random(1), "dc0")
    controller.upstreams.apply_upstreams(LiveUpstreams({e.name: e for e in entries}, expired, True))
    return controller


def choose(controller: PlacementController, query: PlacementQuery = QUERY) -> str:
    """Return the name of the upstream chosen for a request."""
    return controller.choose(query).unwrap().upstream.name


def test_own_data_centre_is_preferred_while_slots_are_free() -> None:
    clock = ManualClock()
    controller = make_controller(clock, make_entry("near"), make_entry("far", "dc1"))
    assert choose(controller) == "near"
    controller.begin("near", Runs(online=8))
    assert choose(controller) == "far"


def test_runs_of_other_daemons_are_counted() -> None:
    """In a burst, one engine got eight times its slots while others had free slots.

    Each VM counted only its own requests there.
    """
    clock = ManualClock()
    controller = make_controller(clock, make_entry("a"), make_entry("b"))
    controller.runs.apply_peer_runs("other", {hash_name("a"): Runs(online=8)})
    assert choose(controller) == "b"
    controller.runs.apply_peer_runs("other", {})
    controller.runs.apply_peer_runs("third", {hash_name("b"): Runs(online=8)})
    assert choose(controller) == "a"
    controller.runs.forget("third")
    assert controller.runs.read_all(hash_name("b")) == Runs()


def test_runs_of_a_silent_daemon_expire() -> None:
    clock = ManualClock()
    controller = make_controller(clock, make_entry("a"))
    controller.runs.apply_peer_runs("other", {hash_name("a"): Runs(online=8)})
    clock.advance(5_000)
    controller.runs.expire()
    assert controller.runs.read_all(hash_name("a")) == Runs()


def test_draining_excluded_and_unknown_upstreams_get_no_requests() -> None:
    clock = ManualClock()
    controller = make_controller(clock, make_entry("a"), make_entry("b", draining=True))
    assert isinstance(controller.choose(PlacementQuery("s", frozenset({"a"}))), Err)
    assert isinstance(controller.choose(PlacementQuery("other")), Err)


@pytest.mark.parametrize(("method", "ms"), [("mark_down", DOWN_MS), ("mark_full", FULL_MS)])
def test_failed_upstream_is_skipped_for_a_while(method: str, ms: int) -> None:
    clock = ManualClock()
    controller = make_controller(clock, make_entry("a"))
    getattr(controller.upstreams, method)("a")
    refused = controller.choose(QUERY)
    assert isinstance(refused, Err) and 0 < refused.err_value.retry_after_ms <= ms
    clock.advance(ms)
    assert choose(controller) == "a"


def test_suspected_and_expired_upstreams_are_used_only_as_last_resort() -> None:
    clock = ManualClock()
    entries = (make_entry("a"), make_entry("b", "dc1"), make_entry("c"))
    controller = make_controller(clock, *entries, expired=frozenset({"c"}))
    controller.upstreams.mark_suspected([hash_name("a")])
    assert choose(controller) == "b"
    assert choose(controller, PlacementQuery("s", frozenset({"b"}))) in ("a", "c")


def test_prompts_with_the_same_prefix_go_to_the_same_upstream() -> None:
    clock = ManualClock()
    controller = make_controller(clock, *(make_entry(f"e{n}") for n in range(5)))
    chosen = {choose(controller, PlacementQuery("s", affinity="part-7")) for _ in range(20)}
    assert len(chosen) == 1


def test_batch_leaves_a_free_slot_and_starts_no_runs_in_a_burst() -> None:
    clock = ManualClock()
    controller = make_controller(clock, make_entry("a"), make_entry("b"))
    started = 0
    while (entry := controller.batch.choose("s")) is not None:
        controller.begin(entry.name, Runs(batch=1))
        started += 1
    assert started == 2 * (8 - BATCH_RESERVE)
    controller = make_controller(clock, make_entry("a"), make_entry("b"))
    controller.begin("a", Runs(online=8))
    controller.begin("b", Runs(online=6))
    assert controller.batch.choose("s") is None


def test_daemons_together_preempt_exactly_the_excess() -> None:
    """Every VM preempted a batch run for the same request: half of an engine's slots were empty.

    Each daemon has to compute its own part from the runs that all of them know; late runs go first.
    """
    clock = ManualClock()
    batch_runs = {"v1": Runs(batch=3), "v2": Runs(batch=3, late=1), "v3": Runs(batch=1)}
    preempted: dict[str, int] = {}
    for own in batch_runs:
        controller = make_controller(clock, make_entry("a"))
        controller.begin("a", batch_runs[own])
        for other, runs in batch_runs.items():
            if other != own:
                controller.runs.apply_peer_runs(other, {hash_name("a"): runs})
        controller.runs.apply_peer_runs("v4", {hash_name("a"): Runs(online=4)})
        preempted[own] = controller.batch.count_runs_to_preempt("a", own)
    assert sum(preempted.values()) == 3
    assert preempted["v2"] >= 1


def test_no_preemption_while_a_slot_is_free() -> None:
    clock = ManualClock()
    controller = make_controller(clock, make_entry("a"))
    controller.begin("a", Runs(online=2, batch=6))
    assert controller.batch.count_runs_to_preempt("a", "me") == 0


def test_expected_waits_follow_measured_run_times() -> None:
    clock = ManualClock()
    controller = make_controller(clock, make_entry("a"))
    for _ in range(200):
        controller.record_run("s", 30.0, 1_600.0)
    controller.begin("a", Runs(online=9))
    placement = controller.choose(QUERY).unwrap()
    assert placement.wait_ms == pytest.approx(2 * 1_600 / 8, rel=0.01)
    assert placement.first_ms == pytest.approx(30, rel=0.01)


def make_placement(wait_ms: float) -> Placement:
    """Return a placement with an expected wait."""
    return Placement(make_entry("a"), wait_ms, 50.0)


@pytest.mark.parametrize(
    ("wait_ms", "left_ms", "refused"),
    [
        (0, 5_000, False),
        (200, 5_000, False),
        # Its answer would be late; after a retry it can be in time, when the burst is over.
        (400, 5_000, True),
        # It has been refused before: a late answer is better than none.
        (400, 4_000, False),
    ],
)
def test_late_first_attempts_are_refused(wait_ms: float, left_ms: int, refused: bool) -> None:
    time = TimeBudget(objective_ms=300, timeout_ms=5_000, left_ms=left_ms)
    retry_ms = decide_retry_after(make_placement(wait_ms), time, random.Random(1))
    assert (retry_ms is not None) == refused
    assert retry_ms is None or 300 <= retry_ms <= left_ms * 0.3
