"""Applies each customer's rate and burst limit across all VMs; no I/O.

Designed for customers whose requests reach every VM, a few per second each, and that sometimes send
many times their rate. Every daemon keeps a token bucket per customer and updates it from the
counters of all daemons, so that requests are refused as by a single bucket. An even split of the
quota would refuse requests on one VM while another VM has tokens left.
"""

import logging
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from math import exp
from typing import Final

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.catalogue.models import CatalogueCustomer
from goldcreststair.components.fleet.const import BEACON_INTERVAL_MS, UNRESPONSIVE_MS
from goldcreststair.components.quotas.return_share import (
    START_LEVEL,
    ReturnShare,
    count_return_tokens,
)
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.helpers.counters import estimate_earlier_count
from goldcreststair.meters import Meters

_LOGGER = logging.getLogger(__name__)

UNCERTAIN_MS: Final = 1_000
"""How long after the creation of a bucket its level may be replaced by the level another daemon
reports."""
SETTLED_FRACTION: Final = 0.5
"""Share of the fleet that a daemon must reach after its start to know what is left of a quota."""
OVERSPEND_TOKENS: Final = 20.0
"""How many tokens beyond a limit all daemons together may spend before they know of each other's."""
MIN_UNCONFIRMED: Final = 3
"""How many requests a daemon may admit before it knows what the others admitted meanwhile, while half
of the burst is left and counters are fresh; else fewer, and one at least."""
FRESH_MS: Final = 600
"""Counters of others that are older than this are late: a relay's are 300 to 500 ms old."""
DEBT_MS: Final = 5_000
"""A customer that got more than its limit is refused for this long at most."""
RECENT_DECAY_MS: Final = 500
"""Time constant of the decaying count of requests that others admitted: two or three digests."""
DIGEST_DELAY_MS: Final = 300
"""Time until all daemons know of an admitted request if counters are sent by relays as digests."""
MAX_MISSED_MS: Final = 1_500
"""Longest time for which an estimate is charged: then the other daemons count as silent."""
MAX_REMOVED_CUSTOMERS: Final = 1_000
"""Customers that are not in the catalogue any more and whose buckets are kept, the last ones."""
ACTIVE_CUSTOMER_MS: Final = 3_000
"""Counters of customers without a request for longer than this are not sent."""


@dataclass(frozen=True, slots=True)
class FleetShare:
    """The part of the fleet whose admitted requests this daemon knows of."""

    responsive: int = 1
    """Number of daemons, this one included, whose last beacon is at most a few beacon intervals
    old."""
    members: int = 1
    """Number of daemons that may be admitting requests, responsive or not."""
    agreed: bool = True
    """Whether all responsive daemons report the same set of responsive daemons as this one."""

    @property
    def isolated(self) -> bool:
        """Whether this daemon may use only its own share of each quota."""
        # Without this rule customers get 1.5 times their quota when two VMs lose contact with each
        # other while the rest reaches both: each of the two uses the shares of all but the other,
        # and the rest, which sees both spend, gets nothing. Sets of daemons in which each member
        # reaches exactly this set cannot overlap, so their shares add up to the whole quota. A
        # daemon outside such a set uses one share. A daemon that reaches all others counts what
        # each of them spends, whatever the others can reach.
        return self.responsive < self.members and not self.agreed

    @property
    def fraction(self) -> float:
        """The share of each quota that the responsive daemons may use together."""
        # An unresponsive daemon continues to use its share. Its share is counted as spent here, so
        # that both sides of a network partition together stay within the quota.
        return (1 if self.isolated else self.responsive) / max(self.responsive, self.members)


@dataclass(frozen=True, slots=True)
class AdmittedCount:
    """One daemon's report about one customer."""

    admitted: int
    """Requests that the daemon admitted since it started."""
    level: int | None = None
    """Level of the customer's bucket at the daemon; None while that is uncertain."""


@dataclass(slots=True)
class _Bucket:
    level: float
    at: Millis
    since: Millis
    """When this daemon created or reset the bucket."""
    admitted: int = 0
    """Requests admitted by this daemon since it started."""
    admitted_at: Millis = Millis(0)
    uncertain: bool = True
    """Whether the level is an estimate, to be replaced by the level another daemon reports."""
    unconfirmed: deque[Millis] = field(default_factory=deque)
    """When this daemon admitted requests while it did not know what the others admitted."""
    recent_admitted: float = 0.0
    """Requests that other daemons admitted, with exponential decay by age."""
    recent_at: Millis = Millis(0)
    withheld: float = 0.0
    """Tokens reserved for unreachable daemons and not yet known to be spent by them."""


@dataclass(slots=True)
class _PeerCounts:
    at: Millis
    by_customer: Mapping[int, AdmittedCount]
    complete: bool
    """Whether customers that it has not listed have had no request there since it started."""

    def find_admitted(self, key: int, now_admitted: int) -> int:
        """Return what the daemon had admitted for a customer when it reported last."""
        count = self.by_customer.get(key)
        if count is not None:
            return count.admitted
        return estimate_earlier_count(now_admitted, complete=self.complete)


class QuotaController:
    """Keeps one token bucket per customer, updated from the counters of all daemons."""

    def __init__(self, clock: Clock, meters: Meters | None = None) -> None:
        """Create a controller without customers."""
        self._clock = clock
        self._meters = meters or Meters()
        self._buckets: dict[int, _Bucket] = {}
        self._peers: dict[str, _PeerCounts] = {}
        self._share = FleetShare()
        self._all_responsive_since: Millis | None = clock.now()
        """Since when all other daemons are responsive; None while they are not."""
        self._started_at = clock.now()
        self._listening_since = clock.now()
        """Since when each daemon that started has been heard."""
        self._reported_at = clock.now()
        """When the last report of another daemon arrived."""
        self._relay_lost_at: Millis | None = None
        """When the relay that was followed before sent its last counters."""
        self._customers: Mapping[int, CatalogueCustomer] = {}
        """Customers of the catalogue, after those that were removed from it."""
        self.digest_delay_ms = 0
        """Age of the other daemons' counters if they arrive by digests; 0 if by direct beacons."""
        self.return_share: ReturnShare | None = None
        """The share of the initial tokens that this daemon admits before it hears the others; None
        if `Feature.FLEET_RETURN` is inactive or the sessions in the store are unknown."""

    def apply_customers(self, customers: Mapping[int, CatalogueCustomer]) -> None:
        """Apply the customers of the catalogue, by the hash of their name as used in beacons."""
        self._refill_all()
        # A bucket that was dropped and created anew would hold initial tokens, and its counter would
        # begin at zero: to the other daemons as if all had been refunded.
        removed = {key: c for key, c in self._customers.items() if key not in customers}
        for key in list(removed)[: max(0, len(removed) - MAX_REMOVED_CUSTOMERS)]:
            del removed[key], self._buckets[key]
        self._customers = {**removed, **customers}
        for key in customers.keys() - self._buckets.keys():
            self._buckets[key] = self._make_bucket(key)
        self._refill_all()

    def apply_share(self, share: FleetShare) -> None:
        """Apply a new fleet share; a smaller one reduces every level in proportion at once."""
        if share == self._share:
            return
        self._refill_all()
        before, self._share = self._share.fraction, share
        if share.fraction < 1:
            self._all_responsive_since = None
        else:
            self._all_responsive_since = self._all_responsive_since or self._clock.now()
        for key, bucket in self._buckets.items():
            if share.fraction < before:
                kept = min(bucket.level, bucket.level * share.fraction / before)
                bucket.withheld += bucket.level - kept
                bucket.level = kept
            elif self._is_uncertain(bucket):
                # While a fleet starts, each daemon discovers one by one the others that share the
                # initial level with it.
                bucket.level += (share.fraction - before) * self._find_start_level(key)

    def apply_counts(
        self,
        session: str,
        counts: Mapping[int, AdmittedCount],
        up_ms: int | None = None,
        *,
        complete: bool = True,
    ) -> None:
        """Apply the counters of another daemon: what it has admitted since it started.

        `up_ms` is for how long it has run, None if for long; `complete` says whether a first report
        lists all customers that had a request there.
        """
        known = self._peers.get(session)
        now = self._clock.now()
        is_new = known is None and up_ms is not None and now - self._listening_since > up_ms
        if known is None and not is_new:
            self._meters.count_quota_baseline()
            self._charge_missed()
        self._reported_at = now
        for key, count in counts.items():
            bucket = self._buckets.get(key)
            if bucket is None:
                continue
            if count.level is not None and self._is_uncertain(bucket):
                self._refill(key, bucket)
                bucket.level, bucket.uncertain = float(count.level), False
            elif known is not None:
                self._charge_change(key, count, known)
            elif self._started_together(bucket, count):
                self._charge(key, min(count.admitted, int(START_LEVEL)))
            elif is_new:
                self._charge(key, count.admitted)
        before = known.by_customer if known else {}
        complete = known.complete if known else complete or is_new
        self._peers[session] = _PeerCounts(now, {**before, **counts}, complete)

    def _charge_change(self, key: int, count: AdmittedCount, known: _PeerCounts) -> None:
        admitted = count.admitted - known.find_admitted(key, count.admitted)
        # What a daemon admitted while it was unreachable is charged to the tokens withheld for it;
        # otherwise it would be charged twice.
        if self._clock.now() - known.at <= UNRESPONSIVE_MS:
            self._charge(key, admitted)
        else:
            self._charge_reconnected(key, admitted)

    def forget(self, session: str) -> None:
        """Drop the counters of a daemon that is gone, or of a relay that is not followed any more."""
        known = self._peers.pop(session, None)
        if known is not None and self.digest_delay_ms:
            self._relay_lost_at = known.at

    def reset_after_pause(self) -> None:
        """Empty every bucket after a pause of this process, in which other daemons spent tokens."""
        now = self._clock.now()
        for bucket in self._buckets.values():
            bucket.level = min(bucket.level, 0.0)
            bucket.at = bucket.since = now
            bucket.uncertain = True
        # What the others admitted during the pause must not be charged to the emptied buckets, also
        # not by first reports of daemons that were paused as well.
        self._peers.clear()
        self._listening_since = now
        self.return_share = None

    def admit(
        self, customer: CatalogueCustomer, key: int, known_until: Millis | None = None
    ) -> int | None:
        """Admit and count a request, or return the ms after which it can be admitted.

        All that the other daemons admitted until `known_until` is charged here; None if there is no
        other daemon.
        """
        if customer.rate_per_s <= 0:
            return None
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = self._make_bucket(key)
        self._refill(key, bucket)
        level = min(
            customer.burst * self._share.fraction,
            bucket.level - self._estimate_unreported(bucket),
        )
        if level < 1 and not self._may_spend_return_share(customer, bucket):
            rate = customer.rate_per_s * self._share.fraction
            return int((1 - level) / rate * MS_PER_SECOND) + 1
        if known_until is not None and not self._may_spend_unconfirmed(
            customer, bucket, level, known_until
        ):
            return BEACON_INTERVAL_MS
        bucket.level -= 1
        bucket.admitted += 1
        bucket.admitted_at = self._clock.now()
        return None

    def is_settling(self) -> bool:
        """Return whether this daemon has just started and does not reach most others yet."""
        just_started = self._clock.now() - self._started_at <= UNCERTAIN_MS
        return just_started and self._share.fraction < SETTLED_FRACTION

    def _may_spend_return_share(self, customer: CatalogueCustomer, bucket: _Bucket) -> bool:
        """Return whether a request is within this daemon's whole share of the initial tokens."""
        if self.return_share is None or not self.is_settling() or self._share.isolated:
            return False
        total = count_return_tokens(self.return_share.daemons, customer.burst)
        return bucket.admitted < self.return_share.count_own(customer.name, total)

    def _started_together(self, bucket: _Bucket, count: AdmittedCount) -> bool:
        """Return whether the first report of a daemon holds only requests since a common start."""
        # The daemon cannot have a certain level, so that it has just started as well. Its requests
        # are part of the initial tokens, which all daemons share.
        just_started = count.level is None and self._is_uncertain(bucket)
        return self.return_share is not None and just_started

    def _estimate_unreported(self, bucket: _Bucket) -> float:
        """Return an estimate of the requests that others have admitted but not reported yet."""
        # Without this estimate, a customer that sends many times its rate to hundreds of VMs
        # exceeds its quota by all it sends until the next digest, as every VM knows the same level
        # until then.
        if not self.digest_delay_ms:
            return 0.0
        self._decay_recent(bucket)
        return bucket.recent_admitted * self.digest_delay_ms / RECENT_DECAY_MS

    def _decay_recent(self, bucket: _Bucket) -> None:
        # Without a report nothing is known of the time since the last one.
        until = max(bucket.recent_at, self._reported_at)
        bucket.recent_admitted *= exp((bucket.recent_at - until) / RECENT_DECAY_MS)
        bucket.recent_at = until

    def _may_spend_unconfirmed(
        self, customer: CatalogueCustomer, bucket: _Bucket, level: float, known_until: Millis
    ) -> bool:
        """Return whether more may be spent before this daemon knows what the others spent."""
        # Reports may be lost or late, and until then each VM spends the same tokens. Callers spread
        # over all VMs evenly, so each may spend an even share of what it knows to be left.
        while bucket.unconfirmed and bucket.unconfirmed[0] < known_until:
            bucket.unconfirmed.popleft()
        left = level + len(bucket.unconfirmed)
        even_share = (left + OVERSPEND_TOKENS) / max(1, self._share.members)
        # In a large fleet that is less than one request.
        least = 1.0
        if self._clock.now() - known_until <= FRESH_MS:
            half = max(1.0, customer.burst / 2)
            least = max(least, MIN_UNCONFIRMED * min(1.0, (level - 1) / half))
        if len(bucket.unconfirmed) >= max(least, even_share):
            return False
        bucket.unconfirmed.append(self._clock.now())
        return True

    def refund(self, key: int) -> None:
        """Undo the count of a request that was refused later and never ran."""
        bucket = self._buckets.get(key)
        # Without the refund, callers that are refused in an overload are then refused again by
        # their quota.
        if bucket is not None and bucket.admitted:
            bucket.admitted -= 1
            bucket.level += 1

    def describe(self, key: int) -> str:
        """Return the state behind a decision about a customer, for logs and refusals."""
        bucket, share = self._buckets.get(key), self._share
        level = f"{bucket.level:.1f}" if bucket is not None else "unknown"
        isolated = ", each limited to its own share" if share.isolated else ""
        reachable = f"{share.responsive} of {share.members} daemons reachable{isolated}"
        customer = self._customers.get(key)
        if customer is None:
            return f"level {level}, {reachable}"
        return f"{customer.rate_per_s:g}/s, burst {customer.burst:g}, level {level}, {reachable}"

    def list_counts(self) -> dict[int, AdmittedCount]:
        """Return this daemon's counters since its start, for the customers active here."""
        horizon = self._clock.now() - ACTIVE_CUSTOMER_MS
        counts: dict[int, AdmittedCount] = {}
        for key, bucket in self._buckets.items():
            if bucket.admitted and bucket.admitted_at >= horizon:
                self._refill(key, bucket)
                level = None if self._is_uncertain(bucket) else self._read_level(key, bucket)
                counts[key] = AdmittedCount(bucket.admitted, level)
        return counts

    def _read_level(self, key: int, bucket: _Bucket) -> int:
        return int(min(bucket.level, self._customers[key].burst))

    def _make_bucket(self, key: int) -> _Bucket:
        self._meters.count_quota_bucket()
        now = self._clock.now()
        return _Bucket(self._find_start_level(key) * self._share.fraction, now, now)

    def _find_start_level(self, key: int) -> float:
        customer = self._customers.get(key)
        return min(START_LEVEL, customer.burst) if customer is not None else 0.0

    def _is_uncertain(self, bucket: _Bucket) -> bool:
        return bucket.uncertain and self._clock.now() - bucket.since <= UNCERTAIN_MS

    def _charge_reconnected(self, key: int, admitted: int) -> None:
        """Charge what a daemon admitted while unreachable, beyond what was withheld for it."""
        bucket = self._buckets[key]
        self._refill(key, bucket)
        # Until two daemons detect that they have lost contact, both spend the whole bucket: two
        # bursts within one second. The excess is charged as soon as it is known.
        covered = min(bucket.withheld, max(0, admitted))
        bucket.withheld -= covered
        self._spend(key, bucket, admitted - covered)

    def _charge(self, key: int, admitted: int) -> None:
        bucket = self._buckets.get(key)
        if bucket is None or not admitted or self._share.isolated:
            return
        self._refill(key, bucket)
        self._decay_recent(bucket)
        bucket.recent_admitted = max(0.0, bucket.recent_admitted + admitted)
        self._spend(key, bucket, admitted)

    def _charge_missed(self) -> None:
        """Charge an estimate of what the others admitted between the reports of two relays.

        The totals of two relays can't be compared, as each counts from when it began.
        """
        if self._relay_lost_at is None:
            return
        now = self._clock.now()
        gap_ms = min(now - self._relay_lost_at, MAX_MISSED_MS)
        self._relay_lost_at = None
        for key, bucket in self._buckets.items():
            if bucket.recent_admitted:
                self._refill(key, bucket)
                self._decay_recent(bucket)
                self._spend(key, bucket, bucket.recent_admitted * gap_ms / RECENT_DECAY_MS)
                bucket.recent_at = now

    def _spend(self, key: int, bucket: _Bucket, admitted: float) -> None:
        # VMs that admit at the same moment overdraw the bucket. What is not owed afterwards would be
        # admitted again; the limit keeps a wrong counter from blocking a customer for long.
        customer, before = self._customers[key], bucket.level
        level = before - admitted
        most = max(customer.burst, customer.rate_per_s * DEBT_MS / MS_PER_SECOND)
        bucket.level = max(-most, level)
        if level < bucket.level:
            self._meters.count_dropped_debt(bucket.level - level)
        if bucket.level <= -customer.burst < before:
            extra = {"customer": customer.name, "level": round(level), "burst": customer.burst}
            _LOGGER.info("Limit overspent", extra=extra)

    def _refill_all(self) -> None:
        for key, bucket in self._buckets.items():
            self._refill(key, bucket)

    def _refill(self, key: int, bucket: _Bucket) -> None:
        now = self._clock.now()
        customer = self._customers.get(key)
        if customer is not None:
            fraction = self._share.fraction
            earned = (now - bucket.at) * customer.rate_per_s / MS_PER_SECOND
            # What the others admitted during the delay is charged later than it was refilled.
            most = customer.burst + customer.rate_per_s * self.digest_delay_ms / MS_PER_SECOND
            bucket.level = min(most * fraction, bucket.level + earned * fraction)
            bucket.withheld += earned * (1 - fraction)
        if (
            self._all_responsive_since is not None
            and now - self._all_responsive_since > UNRESPONSIVE_MS
        ):
            bucket.withheld = 0.0
        bucket.at = now
