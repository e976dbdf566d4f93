"""Finds broken promises in observations from outside the daemons."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Final

from standins.crash_rules import (
    CrashRecord,
    InTouch,
    SoundAttempt,
    find_lost_sound,
    find_over_budget,
)
from tests.platform_adapter.soak.engine import split_software
from tests.platform_adapter.soak.record import (
    GRACE_S,
    MAX_ATTEMPTS,
    REPEATABLE,
    Attempt,
    Exchange,
    Item,
    Record,
    Run,
)

NOT_RUN: Final = frozenset((429, 503))
DEADLINE_SLACK_S: Final = 0.1
CLOSING_S: Final = 0.6
"""A request sent at most this long before a process ends may arrive after its connection was closed."""
LATE_IN_LEAVE_S: Final = 3.0
"""A request sent at most this long before or after SIGTERM may still run when the grace period ends."""
STABLE_S: Final = 3.0
"""A daemon is calm once it has been undisturbed for this long."""
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
MIN_RESUMED: Final = 12
RESUMED_SHARE: Final = 0.5
STATUS_OK: Final = 200
CUSTOMER: Final = "club"
EVACUATED_S: Final = 5.0
"""Time after which no new request may reach an upstream of an evacuated data centre."""
LAST_PART_S: Final = GRACE_S * 5 / 6
"""Time after SIGTERM from which running requests may be cut."""


class Promise(StrEnum):
    """A guarantee to callers or operators."""

    ANSWERED = "answered"
    WHOLE = "whole"
    ONCE = "once"
    NOT_RUN = "not run"
    LISTED = "listed"
    EVACUATED = "evacuated"
    ONE_SOFTWARE = "one software version"
    RESUMED = "resumed"
    BUDGET = "budget"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken promise."""

    promise: Promise
    subject: str
    detail: str


def find_violations(record: Record) -> list[Violation]:
    """Return every broken promise."""
    return [
        *find_unanswered(record),
        *find_wrong_texts(record),
        *find_wrong_runs(record),
        *find_wrong_listings(record),
        *find_runs_in_evacuations(record),
        *find_joined_software(record),
        *find_lost_resumptions(record),
        *find_part_crashes(record),
    ]


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


def find_unanswered(record: Record) -> Iterator[Violation]:
    """Yield requests without a complete answer and without an excuse for it."""
    for seen, tried, excuse in list_unanswered(record):
        if excuse is None:
            detail = f"{_describe(seen)}, attempts {tried}"
            yield Violation(Promise.ANSWERED, seen.request, detail)


def list_unanswered(record: Record) -> Iterator[tuple[Exchange, list[Attempt], Excuse | None]]:
    """Yield requests without a complete answer, their attempts in order, and the excuse, if any."""
    attempts: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in sorted(record.attempts, key=lambda attempt: attempt.at):
        attempts[attempt.request].append(attempt)
    for seen in record.exchanges:
        if not seen.whole:
            tried = attempts[seen.request]
            yield seen, tried, _find_excuse(seen, tried, record)


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
        Excuse.LATE: _is_late_in_leave(seen, record),
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
    return attempt.broken or bool(spans and not lived)


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
    return not seen.status and any(
        absence.daemon == seen.daemon and absence.since - CLOSING_S <= seen.sent_at <= absence.until
        for absence in record.absences
    )


def _is_late_in_leave(seen: Exchange, record: Record) -> bool:
    ends = [run.ended_at for run in record.runs if run.request == seen.request]
    return any(
        abs(seen.sent_at - stop.at) <= LATE_IN_LEAVE_S
        and any(ended_at >= stop.at + LAST_PART_S for ended_at in ends)
        for stop in record.stops
        if stop.daemon == seen.daemon
    )


def find_wrong_texts(record: Record) -> Iterator[Violation]:
    """Yield streams with missing, duplicate or misordered events."""
    for seen in record.exchanges:
        if seen.status != 200 or seen.route == "batch":
            continue
        text = split_software(seen.body.decode())[0].encode()
        right = text == seen.expected if seen.whole else seen.expected.startswith(text)
        if not right:
            detail = f"{_describe(seen)}, got {seen.body!r} of {seen.expected!r}"
            yield Violation(Promise.WHOLE, seen.request, detail)


def find_wrong_runs(record: Record) -> Iterator[Violation]:
    """Yield requests that ran more often than their answer or route allows."""
    runs = Counter(run.request for run in record.runs)
    for seen in record.exchanges:
        count = runs[seen.request]
        if seen.route not in REPEATABLE and count > 1:
            yield Violation(Promise.ONCE, seen.request, f"{_describe(seen)}, ran {count} times")
        if seen.status in NOT_RUN and count:
            yield Violation(Promise.NOT_RUN, seen.request, f"{_describe(seen)}, ran {count} times")


def find_wrong_listings(record: Record) -> Iterator[Violation]:
    """Yield accepted items that are not listed exactly once with their complete text."""
    listed: dict[tuple[str, str], list[Item]] = defaultdict(list)
    for item in record.listed:
        listed[(item.job, item.item)].append(item)
    broken = Counter(attempt.request for attempt in record.attempts if attempt.broken)
    for item in record.accepted:
        found = listed[(item.job, item.item)]
        if len(found) != 1:
            yield Violation(Promise.LISTED, item.item, f"{item.job}: listed {len(found)} times")
        elif not found[0].done and broken[item.item] < MAX_ATTEMPTS["batch"]:
            yield Violation(Promise.LISTED, item.item, f"{item.job}: failed without three breaks")
        elif found[0].done and split_software(found[0].text)[0] != item.text:
            yield Violation(Promise.LISTED, item.item, f"{item.job}: text {found[0].text!r}")


def find_joined_software(record: Record) -> Iterator[Violation]:
    """Yield streams, over all attempts of their callers, and items with events of two versions."""
    versions: dict[str, set[str]] = defaultdict(set)
    for seen in record.exchanges:
        if seen.status == STATUS_OK and seen.route == "stream":
            versions[seen.stream] |= split_software(seen.body.decode())[1]
    for item in record.listed:
        versions[item.item] |= split_software(item.text)[1]
    for name, found in versions.items():
        if len(found) > 1:
            yield Violation(Promise.ONE_SOFTWARE, name, f"events of {sorted(found)}")


def find_lost_resumptions(record: Record) -> Iterator[Violation]:
    """Yield a violation if far fewer streams that callers take up go on than new streams begin.

    Counted are those at daemons without a disturbance, while two upstreams of their software serve.
    """
    calm = [
        seen
        for seen in record.exchanges
        if seen.route == "stream" and not seen.cut and _is_calm(seen, record)
    ]
    resumed = [
        bool(seen.body)
        for seen in calm
        if seen.begun_as and len(list_serving(record, seen.software, seen.sent_at)) >= 2
    ]
    begun = [seen.status == STATUS_OK for seen in calm if not seen.begun_as]
    if len(resumed) < MIN_RESUMED or not begun:
        return
    shares = [sum(each) / len(each) for each in (resumed, begun)]
    if shares[0] < shares[1] * RESUMED_SHARE:
        detail = f"{len(resumed)} streams: {shares[0]:.2f} go on, {shares[1]:.2f} of new ones begin"
        yield Violation(Promise.RESUMED, "all streams", detail)


def _is_calm(seen: Exchange, record: Record) -> bool:
    """Return whether a request's daemon ran undisturbed for `STABLE_S` before it."""
    since = seen.sent_at - STABLE_S
    signals = [*record.kills, *record.stops]
    if any(each.daemon == seen.daemon and since <= each.at <= seen.ended_at for each in signals):
        return False
    return not any(
        each.daemon == seen.daemon and each.until >= since and each.since <= seen.ended_at
        for each in [*record.absences, *record.pauses]
    )


def find_part_crashes(record: Record) -> Iterator[Violation]:
    """Yield prompt parts that crash too many upstreams, or whose sound companions do not begin."""
    seen = join_crash_record(record)

    is_in_touch = make_touch_check(record)
    for detail in find_over_budget(seen, STABLE_S, is_in_touch):
        yield Violation(Promise.BUDGET, detail.partition(":")[0], detail)
    calm_until = min((crash.at for crash in seen.crashes), default=0.0)
    for detail in find_lost_sound(seen, STABLE_S, is_in_touch, calm_until):
        yield Violation(Promise.LOST, detail.partition(":")[0], detail)


def make_touch_check(record: Record) -> InTouch:
    """Return a function that tells whether a daemon was undisturbed before a time."""
    return lambda daemon, at: _is_undisturbed(daemon, at, record)


def join_crash_record(record: Record) -> CrashRecord:
    """Return what was seen of crashing parts, with the daemons that sent requests and the sound attempts."""
    senders = record.crash_senders
    arrivals = [replace(each, vm=senders.get(each.request, "")) for each in record.crash.arrivals]
    attempts = [
        SoundAttempt(
            seen.sent_at,
            seen.daemon,
            seen.route,
            CUSTOMER,
            seen.first_part,
            seen.status == STATUS_OK and bool(seen.body),
            seen.status,
        )
        for seen in record.exchanges
        if seen.route == "stream" and not seen.begun_as and not seen.cut
    ]
    return CrashRecord(record.crash.crashes, arrivals, attempts, record.crash.sent)


def _is_undisturbed(daemon: str, at: float, record: Record) -> bool:
    """Return whether a daemon ran and reached the store undisturbed for `STABLE_S` before a time."""
    since = at - STABLE_S
    if any(s.daemon == daemon and since <= s.at <= at for s in (*record.kills, *record.stops)):
        return False
    return not any(
        each.daemon == daemon and each.until >= since and each.since <= at
        for each in (*record.absences, *record.pauses, *record.store_faults)
    )


def find_runs_in_evacuations(record: Record) -> Iterator[Violation]:
    """Yield runs that began at an upstream after its data centre had been evacuated."""
    for evacuation in record.evacuations:
        for run in record.runs:
            late_s = run.at - evacuation.since
            if (
                run.upstream == evacuation.upstream
                and late_s > EVACUATED_S
                and run.at < evacuation.until
            ):
                yield Violation(Promise.EVACUATED, run.request, f"{run.upstream}, {late_s:.3f} s")


def _describe(seen: Exchange) -> str:
    return (
        f"{seen.route} at {seen.daemon}, sent {seen.sent_at:.3f}, ended {seen.ended_at:.3f}, "
        f"status {seen.status}, whole {seen.whole}"
    )
