"""Finds the reason, if any, for which a request may have no complete answer."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from enum import StrEnum
from typing import Final

from tests.platform_adapter.leave_rule import LAST_PART, LATE_SEND_S, LOSS_SLACK_S
from tests.platform_adapter.soak.engine import split_software
from tests.platform_adapter.soak.record import GRACE_S, MAX_ATTEMPTS, Attempt, Exchange, Record, Run

DEADLINE_SLACK_S: Final = 0.001
"""Deadlines are sent in whole ms."""
CLOSING_S: Final = 0.6
"""A request sent at most this long before a process ends may arrive after its connection was closed."""
LAST_PART_S: Final = GRACE_S * LAST_PART
"""Time after SIGTERM from which running requests may be cut."""
OLD_LIST_S: Final = 6.0
"""How long after a disturbance a daemon's list of upstreams may still be old: it notices a silent feed after
some 3 s."""
SETTLED_S: Final = 0.5
"""Upstreams count as serving this long after their start, and until this long before their end."""
REGISTERED_S: Final = 1.0
"""How long after the start of an upstream, or after its own pause, a daemon may not be sure of its software: it had
seen it down, and its entry settles for a second, or it has no current list."""
REFUSED_WITHIN_S: Final = 1.0
"""An attempt whose upstream refused the request within this time did not run."""
EVACUATED_S: Final = 5.0
"""Time after which no new request may reach an upstream of an evacuated data centre."""


class Excuse(StrEnum):
    """Why a request may have no complete answer."""

    CUT = "its own connection was disturbed"
    DEADLINE = "its deadline passed"
    KILLED = "its daemon was killed"
    SPENT = "its last attempt was broken"
    UNREAD = "its daemon was gone or closing"
    LATE = "its run went on late in a leave"
    NO_SOFTWARE = "no other upstream of its software was up"
    UNKNOWN_SOFTWARE = "its daemon could not know the software that began it"


def list_unanswered(record: Record) -> Iterator[tuple[Exchange, list[Attempt], Excuse | None]]:
    """Yield requests without a complete answer, their attempts in order, and the excuse, if any."""
    attempts: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in sorted(record.attempts, key=lambda attempt: attempt.at):
        attempts[attempt.request].append(attempt)
    for seen in record.exchanges:
        if not seen.whole:
            tried = attempts[seen.request]
            yield seen, tried, _find_excuse(seen, tried, record)


def count_in_leaves(record: Record) -> dict[str, int]:
    """Return how often requests ended in each way, by s from their daemon's last SIGTERM to their sending."""
    ends = {seen.request: excuse for seen, _, excuse in list_unanswered(record)}
    counts = Counter[str]()
    for seen in record.exchanges:
        ages = [seen.sent_at - stop.at for stop in record.stops if stop.daemon == seen.daemon]
        late_s = min((age for age in ages if age >= 0), default=GRACE_S)
        if late_s < GRACE_S:
            counts[f"{int(late_s)} s: {ends.get(seen.request, seen.status) or 'cut'}"] += 1
    return dict(sorted(counts.items()))


def _find_excuse(seen: Exchange, tried: list[Attempt], record: Record) -> Excuse | None:
    reasons = {
        Excuse.CUT: seen.cut,
        Excuse.DEADLINE: seen.ended_at >= seen.deadline_at - DEADLINE_SLACK_S,
        Excuse.KILLED: any(
            kill.daemon == seen.daemon and seen.sent_at <= kill.at <= seen.ended_at
            for kill in record.kills
        ),
        Excuse.SPENT: _has_spent_attempts(seen, tried, record),
        Excuse.UNREAD: not tried and _may_have_crossed(seen, record),
        Excuse.LATE: _is_late_in_leave(seen, tried, record),
        Excuse.NO_SOFTWARE: bool(tried)
        and _was_lost(tried[-1], seen, record)
        and not _has_other_upstream(seen, tried, record),
        Excuse.UNKNOWN_SOFTWARE: seen.route == "stream"
        and bool(tried)
        and _was_lost(tried[-1], seen, record)
        and (_had_old_list(seen, record) or _began_at_restarted(tried[0], record)),
    }
    return next((excuse for excuse, holds in reasons.items() if holds), None)


def _has_spent_attempts(seen: Exchange, tried: list[Attempt], record: Record) -> bool:
    """Return whether a request had all its attempts, and the last one was lost.

    Attempts that upstreams refused as not run do not count.
    """
    refused = [
        _find_refused(each, tried) for each in record.refusals if each.request == seen.request
    ]
    counted = [attempt for attempt in tried if not any(attempt is each for each in refused)]
    return len(counted) >= MAX_ATTEMPTS[seen.route] and _was_lost(counted[-1], seen, record)


def _find_refused(refusal: Run, tried: list[Attempt]) -> Attempt | None:
    """Return the attempt that an upstream refused: the last one there before the refusal."""
    before = [
        attempt
        for attempt in tried
        if attempt.upstream == refusal.upstream and 0 <= refusal.at - attempt.at < REFUSED_WITHIN_S
    ]
    return before[-1] if before else None


def _began_at_restarted(attempt: Attempt, record: Record) -> bool:
    """Return whether an attempt reached an upstream that had just started, perhaps with other software."""
    return any(
        life.upstream == attempt.upstream
        and life.since > record.began_at
        and -SETTLED_S <= attempt.at - life.since <= REGISTERED_S
        for life in record.lifetimes
    )


def _had_old_list(seen: Exchange, record: Record) -> bool:
    """Return whether a daemon's list of upstreams may have been old when it began a stream."""
    faults = [(fault, OLD_LIST_S) for fault in record.store_faults]
    faults += [(pause, REGISTERED_S) for pause in record.pauses]
    return any(
        fault.daemon == seen.daemon
        and fault.since <= seen.sent_at
        and seen.sent_at - old_s <= fault.until
        for fault, old_s in faults
    )


def _was_lost(attempt: Attempt, seen: Exchange, record: Record) -> bool:
    """Return whether an attempt ended with its connection or with its upstream."""
    spans = [life for life in record.lifetimes if life.upstream == attempt.upstream]
    lived = any(life.since <= attempt.at and seen.ended_at <= life.until for life in spans)
    return attempt.broken_at <= seen.ended_at or bool(spans and not lived)


def _has_other_upstream(seen: Exchange, tried: list[Attempt], record: Record) -> bool:
    """Return whether an upstream that was not tried yet could continue a stream when it ended."""
    _, versions = split_software(seen.body.decode(errors="replace"))
    software = next(iter(versions), seen.software)
    names = list_serving(record, software, seen.ended_at)
    return not software or bool(names - {attempt.upstream for attempt in tried})


def list_serving(record: Record, software: str, at: float) -> set[str]:
    """Return the upstreams of a software version that served and were not evacuated, around a time."""
    evacuated = {
        evacuation.upstream
        for evacuation in record.evacuations
        if evacuation.since <= at <= evacuation.until + EVACUATED_S
    }
    serving = {
        life.upstream
        for life in record.lifetimes
        if life.software == software
        and life.since + SETTLED_S <= at
        and at + SETTLED_S <= life.until
    }
    return serving - evacuated


def _may_have_crossed(seen: Exchange, record: Record) -> bool:
    """Return whether the daemon may have closed the connection before it read the request."""
    sent_at = max(seen.sent_at, seen.body_sent_at)
    soon = seen.ended_at - sent_at <= LOSS_SLACK_S or any(
        delay.daemon == seen.daemon and delay.since <= seen.ended_at and sent_at <= delay.until
        for delay in record.caller_delays
    )
    return not seen.status and any(
        absence.daemon == seen.daemon
        and absence.since - CLOSING_S <= seen.sent_at <= absence.until
        and (soon or absence.since <= seen.sent_at)
        for absence in record.absences
    )


def _is_late_in_leave(seen: Exchange, tried: list[Attempt], record: Record) -> bool:
    """Return whether a request's last upstream worked on it until its answer was cut, late in a leave.

    An upstream may work on after an early cut, until it notices that the connection was closed.
    """
    runs = [
        run
        for run in record.runs
        if run.request == seen.request and tried and run.upstream == tried[-1].upstream
    ]
    return any(
        abs(seen.sent_at - stop.at) <= LATE_SEND_S
        and stop.at + LAST_PART_S <= seen.ended_at
        and any(run.ended_at >= stop.at + LAST_PART_S for run in runs)
        for stop in record.stops
        if stop.daemon == seen.daemon
    )
