"""Whether a customer's rate and burst have room, over all VMs together; no I/O.

Load it answers: each customer's requests reach every VM, a few a second to each, and now and then one
customer sends many times its rate. A bucket that every daemon keeps from all daemons' counters refuses
what a single bucket would; an even split would refuse what another VM has left.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import exp
from typing import Final

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.catalogue.models import CatalogueCustomer
from goldcreststair.components.fleet.const import BEACON_INTERVAL_MS, UNRESPONSIVE_MS
from goldcreststair.const import MS_PER_SECOND

START_LEVEL: Final = 20.0
"""Requests that a customer may send at once to a fleet that has just started, over all VMs together.
What it used before is not known, but nothing was admitted while the fleet was down; callers that waited
for it come back at once."""
UNSURE_MS: Final = 1_000
"""A daemon that has just started takes another one's word for a level within this time."""
SETTLED_FRACTION: Final = 0.5
"""Hearing so much of the fleet, a daemon that has just started can tell what is left of a quota."""
UNHEARD_EVEN_SHARES: Final = 2.0
"""A daemon may admit so many times its even part of a burst before it has heard all others again."""
MIN_UNHEARD_SHARE: Final = 0.2
"""The same as a part of the burst, in a fleet of many daemons."""
MIN_UNHEARD: Final = 3
"""Requests that it may admit so in any case."""
FLOW_MS: Final = 500
"""Time over which the flow of others' requests is taken: two or three digests."""
PICTURE_AGE_MS: Final = 300
"""A request is known to all so long after it was admitted, where relays sum up."""
ACTIVE_MS: Final = 3_000
"""Counters of customers that have been quiet for longer are not sent again."""


@dataclass(frozen=True, slots=True)
class FleetShare:
    """How much of the fleet this daemon can speak for."""

    heard: int = 1
    """Daemons heard of late, this one included."""
    members: int = 1
    """Daemons that may be admitting requests, heard or not."""
    agreed: bool = True
    """Whether all daemons heard hear the same ones as this one."""

    @property
    def alone(self) -> bool:
        """Whether this daemon can speak for no part but its own."""
        # Shows as half as much again as the quota when two VMs lose each other while the rest hear
        # both: each of the two counts the part of all others as its own and the other's, and all
        # others give way. Sets of daemons that all hear exactly their own set cannot overlap, so
        # that the parts of such sets add up to the whole; whoever is in none keeps to one part.
        # A daemon that hears all counts what each of them spends, whatever they hear.
        return self.heard < self.members and not self.agreed

    @property
    def fraction(self) -> float:
        """The part of each quota that the daemons heard may use."""
        # A daemon behind a cut goes on with its part: it is counted as spent here, so that both
        # sides of a cut together stay within the quota.
        return (1 if self.alone else self.heard) / max(self.heard, self.members)


@dataclass(frozen=True, slots=True)
class AdmittedCount:
    """What one daemon says of one customer."""

    admitted: int
    """Requests that it admitted since it started."""
    level: int | None = None
    """The customer's bucket as it knows it; None while it does not know."""


@dataclass(slots=True)
class _Bucket:
    level: float
    at: Millis
    since: Millis
    """When this daemon began to keep it."""
    admitted: int = 0
    """Admitted by this daemon since it started."""
    admitted_at: Millis = Millis(0)
    unsure: bool = True
    """Whether the level is a guess that the word of another daemon replaces."""
    unheard: int = 0
    """Admitted by this daemon since `unheard_since`."""
    unheard_since: Millis = Millis(0)
    """Not all other daemons have been heard since."""
    flow: float = 0.0
    """Requests that others admitted of late, those of longer ago counting less."""
    flow_at: Millis = Millis(0)
    withheld: float = 0.0
    """Left to daemons that are not heard, and not yet known to be spent by them."""


@dataclass(slots=True)
class _PeerCounts:
    at: Millis
    by_customer: Mapping[int, AdmittedCount] = field(default_factory=dict)


class QuotaController:
    """One bucket for each customer, from all daemons' counters."""

    def __init__(self, clock: Clock) -> None:
        """Start with empty buckets."""
        self._clock = clock
        self._buckets: dict[int, _Bucket] = {}
        self._peers: dict[str, _PeerCounts] = {}
        self._share = FleetShare()
        self._whole_since: Millis | None = clock.now()
        """Since when this daemon hears all others; None while it does not."""
        self._since = clock.now()
        self._customers: Mapping[int, CatalogueCustomer] = {}
        self.picture_age_ms = 0
        """How old the others' counters are that come by digests; 0 where they come at once."""

    def take_customers(self, customers: Mapping[int, CatalogueCustomer]) -> None:
        """Take the customers in force, by the hash that beacons carry."""
        self._refill_all()
        self._customers = customers
        kept = {key: b for key, b in self._buckets.items() if key in customers}
        self._buckets = {key: kept.get(key) or self._make_bucket(key) for key in customers}
        self._refill_all()

    def take_share(self, share: FleetShare) -> None:
        """Take who is heard; a fall of the share takes its part of every level away at once."""
        if share == self._share:
            return
        self._refill_all()
        before, self._share = self._share.fraction, share
        if share.fraction < 1:
            self._whole_since = None
        else:
            self._whole_since = self._whole_since or self._clock.now()
        for key, bucket in self._buckets.items():
            if share.fraction < before:
                kept = min(bucket.level, bucket.level * share.fraction / before)
                bucket.withheld += bucket.level - kept
                bucket.level = kept
            elif self._is_unsure(bucket):
                # While a fleet starts, each daemon hears one after the other of those that share the
                # start's level with it.
                bucket.level += (share.fraction - before) * self._find_start_level(key)

    def take_counts(self, session: str, counts: Mapping[int, AdmittedCount]) -> None:
        """Take what another daemon has admitted since it started."""
        known = self._peers.get(session)
        now = self._clock.now()
        # What a daemon admitted before it was heard only sets the mark. What it admitted while it was
        # silent is paid from the part that was withheld for it, and would else be paid for twice.
        fresh = known is not None and now - known.at <= UNRESPONSIVE_MS
        before = known.by_customer if known else {}
        for key, count in counts.items():
            bucket = self._buckets.get(key)
            if bucket is None:
                continue
            if count.level is not None and self._is_unsure(bucket):
                self._refill(key, bucket)
                bucket.level, bucket.unsure = float(count.level), False
            elif fresh and key in before:
                self._charge(key, count.admitted - before[key].admitted)
            elif fresh:
                self._charge(key, count.admitted)
            elif key in before:
                self._settle(key, count.admitted - before[key].admitted)
        self._peers[session] = _PeerCounts(now, {**before, **counts})

    def forget(self, session: str) -> None:
        """Drop a daemon that is gone."""
        self._peers.pop(session, None)

    def void(self) -> None:
        """Empty every bucket: this process stood still, and others spent meanwhile."""
        now = self._clock.now()
        for bucket in self._buckets.values():
            bucket.level = min(bucket.level, 0.0)
            bucket.at = bucket.since = now
            bucket.unsure = True
        # What the others admitted meanwhile was theirs to admit.
        self._peers.clear()

    def admit(
        self, customer: CatalogueCustomer, key: int, all_heard_at: Millis | None = None
    ) -> int | None:
        """Count a request; returns None, or after how many ms there will be room.

        `all_heard_at` is since when all other daemons have been heard; None if there is no other.
        """
        if customer.rate_per_s <= 0:
            return None
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = self._make_bucket(key)
        self._refill(key, bucket)
        level = bucket.level - self._expect_unheard(bucket)
        if level < 1:
            rate = customer.rate_per_s * self._share.fraction
            return int((1 - level) / rate * MS_PER_SECOND) + 1
        if all_heard_at is not None and not self._may_go_on_unheard(customer, bucket, all_heard_at):
            return BEACON_INTERVAL_MS
        bucket.level -= 1
        bucket.admitted += 1
        bucket.admitted_at = self._clock.now()
        return None

    def is_settling(self) -> bool:
        """Return whether this daemon has just started and does not hear most others yet."""
        young = self._clock.now() - self._since <= UNSURE_MS
        return young and self._share.fraction < SETTLED_FRACTION

    def _expect_unheard(self, bucket: _Bucket) -> float:
        """Return how many requests others have likely admitted that are not heard of yet."""
        # Shows as quotas exceeded by all that a customer sends while digests are under way, when it
        # sends many times its rate to hundreds of VMs: each of them still sees the same room.
        if not self.picture_age_ms:
            return 0.0
        self._fade(bucket)
        return bucket.flow * self.picture_age_ms / FLOW_MS

    def _fade(self, bucket: _Bucket) -> None:
        now = self._clock.now()
        bucket.flow *= exp((bucket.flow_at - now) / FLOW_MS)
        bucket.flow_at = now

    def _may_go_on_unheard(
        self, customer: CatalogueCustomer, bucket: _Bucket, all_heard_at: Millis
    ) -> bool:
        """Return whether the burst may be spent further before all other daemons are heard again."""
        # Until a cut is noticed, both its sides spend the whole bucket: shows as a burst more than the
        # quota for each VM that loses everyone at a full bucket. Callers reach all VMs alike, so that
        # a VM which spends far more than its part before the others' next beacons is likely cut off.
        if all_heard_at > bucket.unheard_since:
            bucket.unheard, bucket.unheard_since = 0, self._clock.now()
        share = max(UNHEARD_EVEN_SHARES / max(1, self._share.members), MIN_UNHEARD_SHARE)
        if bucket.unheard >= max(MIN_UNHEARD, customer.burst * share):
            return False
        bucket.unheard += 1
        return True

    def refund(self, key: int) -> None:
        """Take back the count of a request that was refused and never ran."""
        bucket = self._buckets.get(key)
        # Shows as callers who were sent away in an overload and are then refused for their quota.
        if bucket is not None and bucket.admitted:
            bucket.admitted -= 1
            bucket.level += 1

    def describe(self, key: int) -> str:
        """Return what a decision about a customer rests on, for the log."""
        bucket, share = self._buckets.get(key), self._share
        level = f"{bucket.level:.1f}" if bucket is not None else "unknown"
        alone = ", each keeps to its own part" if share.alone else ""
        heard = f"{share.heard} of {share.members} daemons heard{alone}"
        customer = self._customers.get(key)
        if customer is None:
            return f"level {level}, {heard}"
        return f"{customer.rate_per_s:g}/s, burst {customer.burst:g}, level {level}, {heard}"

    def list_counts(self) -> dict[int, AdmittedCount]:
        """Return what this daemon has admitted since it started, of the customers active here."""
        horizon = self._clock.now() - ACTIVE_MS
        counts: dict[int, AdmittedCount] = {}
        for key, bucket in self._buckets.items():
            if bucket.admitted and bucket.admitted_at >= horizon:
                self._refill(key, bucket)
                level = None if self._is_unsure(bucket) else int(bucket.level)
                counts[key] = AdmittedCount(bucket.admitted, level)
        return counts

    def _make_bucket(self, key: int) -> _Bucket:
        now = self._clock.now()
        return _Bucket(self._find_start_level(key) * self._share.fraction, now, now)

    def _find_start_level(self, key: int) -> float:
        customer = self._customers.get(key)
        return min(START_LEVEL, customer.burst) if customer is not None else 0.0

    def _is_unsure(self, bucket: _Bucket) -> bool:
        return bucket.unsure and self._clock.now() - bucket.since <= UNSURE_MS

    def _settle(self, key: int, admitted: int) -> None:
        """Charge what a daemon admitted while it was silent beyond what was withheld for it."""
        bucket = self._buckets[key]
        self._refill(key, bucket)
        # Shows as two bursts within one second: until two daemons notice that they do not hear each
        # other, both spend the whole bucket. What was spent twice is paid back as soon as it shows.
        paid = min(bucket.withheld, max(0, admitted))
        bucket.withheld -= paid
        self._take(key, bucket, admitted - paid)

    def _charge(self, key: int, admitted: int) -> None:
        bucket = self._buckets.get(key)
        if bucket is None or not admitted or self._share.alone:
            return
        self._refill(key, bucket)
        self._fade(bucket)
        bucket.flow = max(0.0, bucket.flow + admitted)
        self._take(key, bucket, admitted)

    def _take(self, key: int, bucket: _Bucket, admitted: float) -> None:
        # VMs that admit at the same moment overdraw the bucket; a deeper hole would refuse a
        # customer for seconds for what may also be a counter gone wrong.
        bucket.level = max(-self._customers[key].burst, bucket.level - admitted)

    def _refill_all(self) -> None:
        for key, bucket in self._buckets.items():
            self._refill(key, bucket)

    def _refill(self, key: int, bucket: _Bucket) -> None:
        now = self._clock.now()
        customer = self._customers.get(key)
        if customer is not None:
            part = self._share.fraction
            earned = (now - bucket.at) * customer.rate_per_s / MS_PER_SECOND
            bucket.level = min(customer.burst * part, bucket.level + earned * part)
            bucket.withheld += earned * (1 - part)
        if self._whole_since is not None and now - self._whole_since > UNRESPONSIVE_MS:
            bucket.withheld = 0.0
        bucket.at = now
