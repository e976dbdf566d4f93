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
from tests.platform_adapter.soak.excuses import EVACUATED_S, list_serving, list_unanswered
from tests.platform_adapter.soak.record import (
    MAX_ATTEMPTS,
    REPEATABLE,
    Exchange,
    Item,
    Record,
)

NOT_RUN: Final = frozenset((408, 421, 429, 503))
STABLE_S: Final = 3.0
"""A daemon is calm once it has been undisturbed for this long."""
MIN_RESUMED: Final = 12
RESUMED_SHARE: Final = 0.5
STATUS_OK: Final = 200
CUSTOMER: Final = "club"


class Promise(StrEnum):
    """A guarantee to callers or operators."""

    ANSWERED = "answered"
    WHOLE = "whole"
    ONCE = "once"
    NOT_RUN = "not run"
    LISTED = "listed"
    KEPT = "items of a removed customer run"
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
        *find_dropped_items(record),
        *find_runs_in_evacuations(record),
        *find_joined_software(record),
        *find_lost_resumptions(record),
        *find_part_crashes(record),
    ]


def find_unanswered(record: Record) -> Iterator[Violation]:
    """Yield requests without a complete answer and without an excuse for it."""
    for seen, tried, excuse in list_unanswered(record):
        if excuse is None:
            detail = f"{_describe(seen)}, attempts {tried}"
            yield Violation(Promise.ANSWERED, seen.request, detail)


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


def find_dropped_items(record: Record) -> Iterator[Violation]:
    """Yield accepted items of a removed customer that no upstream ran before the customer returned."""
    run = {each.request for each in record.runs if each.at <= record.customer_returned_at}
    for item in record.removed_items:
        if item not in run:
            yield Violation(Promise.KEPT, item, "did not run while its customer was removed")


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
