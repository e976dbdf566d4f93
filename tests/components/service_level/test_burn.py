"""Error budgets, burn rates and alarms."""

import pytest

from goldcreststair.components.configuration.models import Objective
from goldcreststair.components.service_level.burn import compute_burn
from goldcreststair.components.service_level.history import CustomerHistory, decode_history
from goldcreststair.components.service_level.models import Alarm, Counts
from goldcreststair.components.service_level.recorder import LevelRecorder

OBJECTIVE = Objective("fast", "*", threshold_ms=1700, target=0.95)
NOW = 1_800_000_000
HOUR = 3600


def make_history(good: int, bad: int, hours: int) -> CustomerHistory:
    """Return a history with `good` and `bad` requests in each of the last `hours` hours."""
    history = CustomerHistory()
    for hour in range(hours, -1, -1):
        recorder = LevelRecorder()
        for _ in range(good):
            recorder.observe("acme", 100, [OBJECTIVE])
        for _ in range(bad):
            recorder.observe("acme", None, [OBJECTIVE])
        (report,) = recorder.collect_reports()
        assert history.add(f"session-{hour}", report, NOW - hour * HOUR)
    return history


@pytest.mark.parametrize(
    ("good", "bad", "hours", "alarm", "hour_rate"),
    [
        (100, 0, 1, Alarm.NONE, 0.0),
        (20, 80, 1, Alarm.PAGE, 16.0),
        (90, 10, 80, Alarm.TICKET, 2.0),
        (96, 4, 80, Alarm.NONE, 0.8),
    ],
)
def test_alarm_depends_on_burn_rate(
    good: int, bad: int, hours: int, alarm: Alarm, hour_rate: float
) -> None:
    burn = compute_burn("acme", OBJECTIVE, make_history(good, bad, hours), NOW)
    rates = {window.window_s: window.rate for window in burn.windows}
    assert burn.alarm is alarm
    assert rates[HOUR] == pytest.approx(hour_rate)
    assert burn.p99_ms == pytest.approx(100, rel=0.05)


def test_history_is_equal_after_decoding() -> None:
    history = make_history(10, 2, 5)
    decoded = decode_history(history.encode())
    assert decoded.encode() == history.encode()
    assert decoded.sum_since("fast", NOW, 30 * 24 * HOUR) == Counts(60, 72)


def test_resent_report_is_counted_once() -> None:
    """The answer to a report is lost, and the sender sends the same report again.

    If it were counted twice, a short outage would appear as twice the failures and page an operator
    without need.
    """
    recorder = LevelRecorder()
    recorder.observe("acme", None, [OBJECTIVE])
    history = CustomerHistory()
    (report,) = recorder.collect_reports()
    assert history.add("s1", report, NOW)
    recorder.observe("acme", 50, [OBJECTIVE])
    (resent,) = recorder.collect_reports()
    assert resent == report
    assert not history.add("s1", resent, NOW)
    recorder.confirm(resent)
    (following,) = recorder.collect_reports()
    assert history.add("s1", following, NOW)
    assert history.sum_since("fast", NOW, HOUR) == Counts(1, 2)
