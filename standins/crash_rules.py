"""Checks how a fleet treats prompts with a part that crashes upstreams, from what callers and upstreams saw.

BUDGET: after the fifth crash under one part, at most three further requests with it reach upstreams, apart
from those of VMs that were disturbed. LOST: meanwhile sound requests that share the customer or the first part
begin at their first attempt at least half as often as without a disturbance. Times are of one clock, in any unit.
"""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Final

CRASHES: Final = 5
MAX_LATER: Final = 3
MIN_ATTEMPTS: Final = 20
BEGUN_SHARE: Final = 0.5
MAX_LIMITED_SHARE: Final = 0.05
"""Above this share of 429 without a disturbance, attempts with this status are left out."""
STATUS_LIMITED: Final = 429

InTouch = Callable[[str, float], bool]
"""Returns whether a VM was undisturbed for `stable` before a time."""


@dataclass(frozen=True, slots=True)
class PartCrash:
    """The end of an upstream that began an answer on a part."""

    part: str
    upstream: str
    at: float


@dataclass(frozen=True, slots=True)
class PartArrival:
    """A request or item with a crashing part that reached an upstream."""

    part: str
    request: str
    vm: str
    at: float


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request with a crashing part, as its caller sent it."""

    part: str
    at: float
    route: str
    customer: str
    first_part: str


@dataclass(frozen=True, slots=True)
class SoundAttempt:
    """The first attempt of a request without a crashing part."""

    at: float
    vm: str
    route: str
    customer: str
    first_part: str
    begun: bool
    """Whether its answer began."""
    status: int = 0


@dataclass(slots=True)
class CrashRecord:
    """Everything that was seen of the parts that crash upstreams."""

    crashes: list[PartCrash] = field(default_factory=list)
    arrivals: list[PartArrival] = field(default_factory=list)
    attempts: list[SoundAttempt] = field(default_factory=list)
    sent: list[SentRequest] = field(default_factory=list)

    def list_parts(self) -> list[str]:
        """Return the parts that crashed upstreams, in the order of their first crash."""
        return list(dict.fromkeys(crash.part for crash in self.crashes))

    def list_crash_times(self, part: str) -> list[float]:
        """Return when upstreams ended under a part."""
        return sorted(crash.at for crash in self.crashes if crash.part == part)

    def count_later(self, part: str, stable: float, in_touch: InTouch) -> int:
        """Return how many requests with a part reached upstreams after the budget was spent."""
        times = self.list_crash_times(part)
        if len(times) < CRASHES:
            return 0
        ends_at = times[CRASHES - 1] + stable
        return sum(
            each.part == part and each.at > ends_at and in_touch(each.vm, each.at)
            for each in self.arrivals
        )


def find_over_budget(record: CrashRecord, stable: float, in_touch: InTouch) -> Iterator[str]:
    """Yield the parts with which too many requests reached upstreams."""
    for part in record.list_parts():
        later = record.count_later(part, stable, in_touch)
        if later > MAX_LATER:
            crashes = len(record.list_crash_times(part))
            yield f"{part}: {later} requests later than {stable} after the fifth of {crashes} crashes"


def find_lost_sound(
    record: CrashRecord, stable: float, in_touch: InTouch, calm_until: float
) -> Iterator[str]:
    """Yield the parts whose sound companions begin too seldom; `calm_until` ends the undisturbed time."""
    calm = [a for a in record.attempts if a.at < calm_until and in_touch(a.vm, a.at)]
    for part in record.list_parts():
        for group, attempts in _group_companions(record, part, stable, in_touch).items():
            before = _select(calm, attempts)
            usual, now = _measure(before, before), _measure(attempts, before)
            if usual is not None and now is not None and now < usual * BEGUN_SHARE:
                yield f"{part}: {now:.2f} of the sound requests of {group} begin, {usual:.2f} usually"


def read_begun_share(
    record: CrashRecord, stable: float, in_touch: InTouch
) -> dict[str, tuple[int, int]]:
    """Return for each group of sound requests how many began, and how many there were."""
    found: dict[str, tuple[int, int]] = {}
    for part in record.list_parts():
        for group, attempts in _group_companions(record, part, stable, in_touch).items():
            begun, total = found.get(group, (0, 0))
            found[group] = begun + sum(a.begun for a in attempts), total + len(attempts)
    return found


def _group_companions(
    record: CrashRecord, part: str, stable: float, in_touch: InTouch
) -> dict[str, list[SoundAttempt]]:
    """Return the sound attempts beside a part, by what they share with its requests."""
    times = record.list_crash_times(part)
    since = times[min(len(times), CRASHES) - 1] + 2 * stable
    sent = [each for each in record.sent if each.part == part]
    until = max((each.at for each in sent), default=0.0)
    routes = {each.route for each in sent}
    customers = {each.customer for each in sent}
    firsts = {each.first_part for each in sent} - {part}
    near = [
        a
        for a in record.attempts
        if since <= a.at <= until and a.route in routes and in_touch(a.vm, a.at)
    ]
    return {
        "the same customer": [a for a in near if a.customer in customers],
        "the same first part": [a for a in near if a.first_part in firsts],
        "either": [a for a in near if a.customer in customers or a.first_part in firsts],
    }


def _select(calm: Sequence[SoundAttempt], like: Sequence[SoundAttempt]) -> list[SoundAttempt]:
    """Return the undisturbed attempts of the same routes, customers and first parts."""
    kinds = {(a.route, a.customer, a.first_part) for a in like}
    return [a for a in calm if (a.route, a.customer, a.first_part) in kinds]


def _measure(attempts: Sequence[SoundAttempt], usual: Sequence[SoundAttempt]) -> float | None:
    """Return the share of attempts that begin, or None if there are too few."""
    limited = sum(a.status == STATUS_LIMITED for a in usual)
    if limited > len(usual) * MAX_LIMITED_SHARE:
        attempts = [a for a in attempts if a.status != STATUS_LIMITED]
    if len(attempts) < MIN_ATTEMPTS:
        return None
    return sum(a.begun for a in attempts) / len(attempts)
