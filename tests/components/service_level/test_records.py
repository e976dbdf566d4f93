"""The records of a customer's history in the ledger."""

from goldcreststair.components.configuration.models import Objective
from goldcreststair.components.service_level.const import KEPT_HOURS, SECONDS_PER_HOUR
from goldcreststair.components.service_level.recorder import LevelRecorder
from goldcreststair.components.service_level.records import load_history, make_changes
from tests.helpers.ledgers import FakePartition

NOW = 1_800_000_000
OBJECTIVES = [Objective("fast", "*", threshold_ms=1700, target=0.95)]


def add_report(partition: FakePartition, session_id: str, utc_s: int) -> int:
    """Count one request; returns the size of its commit in bytes."""
    recorder = LevelRecorder()
    recorder.observe("acme", 100, OBJECTIVES)
    (report,) = recorder.collect_reports()
    history = load_history(partition, "acme")
    assert history.add(session_id, report, utc_s)
    history.forget_sessions(frozenset({session_id}))
    changes = make_changes(partition, "acme", history)
    for change in changes:
        if change.value is None:
            del partition.records[change.key]
        else:
            partition.records[change.key] = change.value
    return sum(len(change.value or b"") for change in changes)


def test_commit_stays_small_over_months() -> None:
    """Reports arrive for forty days.

    The hours of a month take over 20 KB. If all were written each time, each report would need a
    separate object besides the head row, and the state would grow without limit.
    """
    partition = FakePartition(0)
    hours = KEPT_HOURS + 240
    sizes = [
        add_report(partition, f"s{hour}", NOW + hour * SECONDS_PER_HOUR) for hour in range(hours)
    ]
    assert max(sizes) < 4096
    assert len(partition.records) <= KEPT_HOURS + 2
    history = load_history(partition, "acme")
    now = NOW + (hours - 1) * SECONDS_PER_HOUR
    assert history.sum_since("fast", now, KEPT_HOURS * SECONDS_PER_HOUR).total == KEPT_HOURS
