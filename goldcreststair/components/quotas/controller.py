"""Whether a customer's rate and burst have room, over all VMs together; no I/O.

Load it answers: each customer's requests reach every VM, a few a second to each, and now and then one
customer sends many times its rate. A bucket that every daemon keeps from all daemons' counters refuses
what a single bucket would; an even split would refuse what another VM has left.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.catalogue.models import CatalogueCustomer
from goldcreststair.components.fleet.const import HEARD_MS
from goldcreststair.const import MS_PER_SECOND


@dataclass(frozen=True, slots=True)
class FleetShare:
    """How much of the fleet this daemon can speak for."""

    heard: int = 1
    """Daemons heard of late, this one included."""
    members: int = 1
    """Daemons that may be admitting requests, heard or not."""

    @property
    def fraction(self) -> float:
        """The part of each quota that the daemons heard may use."""
        # A daemon behind a cut goes on with its part: it is counted as spent here, so that both
        # sides of a cut together stay within the quota.
        return self.heard / max(self.heard, self.members)


@dataclass(slots=True)
class _Bucket:
    level: float
    at: Millis
    admitted: int = 0
    """Admitted by this daemon since it started."""


@dataclass(slots=True)
class _PeerCounts:
    at: Millis
    by_customer: dict[int, int] = field(default_factory=dict)


class QuotaController:
    """One bucket for each customer, from all daemons' counters."""

    def __init__(self, clock: Clock) -> None:
        """Start with empty buckets."""
        self._clock = clock
        self._buckets: dict[int, _Bucket] = {}
        self._peers: dict[str, _PeerCounts] = {}
        self._share = FleetShare()
        self._customers: Mapping[int, CatalogueCustomer] = {}

    def take_customers(self, customers: Mapping[int, CatalogueCustomer]) -> None:
        """Take the customers in force, by the hash that beacons carry."""
        self._refill_all()
        self._customers = customers
        now = self._clock.now()
        kept = {key: b for key, b in self._buckets.items() if key in customers}
        # An empty start is the only safe one: what others admitted before is not known here.
        self._buckets = {key: kept.get(key) or _Bucket(0.0, now) for key in customers}
        self._refill_all()

    def take_share(self, share: FleetShare) -> None:
        """Take who is heard; a fall of the share takes its part of every level away at once."""
        if share == self._share:
            return
        self._refill_all()
        before, self._share = self._share.fraction, share
        if share.fraction < before:
            for bucket in self._buckets.values():
                bucket.level = min(bucket.level, bucket.level * share.fraction / before)

    def take_counts(self, session: str, counts: Iterable[tuple[int, int]]) -> None:
        """Take what another daemon has admitted since it started."""
        known = self._peers.get(session)
        found = dict(counts)
        now = self._clock.now()
        # What a daemon admitted before it was heard, or while it was not, only sets the mark: its
        # part of the quota was not used here meanwhile, and would be paid for twice.
        if known is not None and now - known.at <= HEARD_MS:
            for customer, admitted in found.items():
                self._charge(customer, admitted - known.by_customer.get(customer, 0))
        self._peers[session] = _PeerCounts(now, (known.by_customer if known else {}) | found)

    def forget(self, session: str) -> None:
        """Drop a daemon that is gone."""
        self._peers.pop(session, None)

    def void(self) -> None:
        """Empty every bucket: this process stood still, and others spent meanwhile."""
        now = self._clock.now()
        for bucket in self._buckets.values():
            bucket.level = min(bucket.level, 0.0)
            bucket.at = now

    def admit(self, customer: CatalogueCustomer, key: int) -> int | None:
        """Count a request; returns None, or after how many ms there will be room."""
        if customer.rate_per_s <= 0:
            return None
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = _Bucket(0.0, self._clock.now())
        self._refill(key, bucket)
        if bucket.level < 1:
            rate = customer.rate_per_s * self._share.fraction
            return int((1 - bucket.level) / rate * MS_PER_SECOND) + 1
        bucket.level -= 1
        bucket.admitted += 1
        return None

    def list_counts(self) -> dict[int, int]:
        """Return what this daemon has admitted since it started."""
        return {key: b.admitted for key, b in self._buckets.items() if b.admitted}

    def _charge(self, key: int, admitted: int) -> None:
        bucket = self._buckets.get(key)
        if bucket is None or admitted <= 0:
            return
        self._refill(key, bucket)
        # VMs that admit at the same moment overdraw the bucket; a deep hole would refuse a
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
            earned = (now - bucket.at) * customer.rate_per_s * part / MS_PER_SECOND
            bucket.level = min(customer.burst * part, bucket.level + earned)
        bucket.at = now
