"""Coordinators on this VM, one per owned partition: buckets, leases and takeovers."""

from dataclasses import dataclass, field

from goldcreststair.clock import Millis
from goldcreststair.components.configuration.models import Customer
from goldcreststair.components.ledger.protocols import Ledger, Partition
from goldcreststair.components.limits.const import (
    FIRST_EPOCH,
    NO_EPOCH,
    STORE_LEASE_MS,
    SUCCESSOR_RESERVE,
    SUPPORTERS_RECORD,
)
from goldcreststair.components.limits.coordinator_bucket import CoordinatorBucket
from goldcreststair.components.limits.lease import CoordinatorLease, Takeover
from goldcreststair.components.limits.models import (
    Allowance,
    BucketSnapshot,
    GrantReport,
    GrantResult,
    Handover,
)
from goldcreststair.components.limits.static_share import find_coordinator_allowance

LEASE_EXPIRED_RETRY_MS = 1000


@dataclass(slots=True)
class Coordinator:
    """Coordinator of the customers of one partition in one epoch."""

    partition: Partition
    epoch: int
    ready_at: Millis
    takeover: Takeover | None
    lease: CoordinatorLease
    writing_supporters: bool = False
    """Whether a write of a new set of supporters is in progress."""
    buckets: dict[str, CoordinatorBucket] = field(default_factory=dict)
    starts_full: bool = False
    """Whether a customer without a bucket has spent nothing: no coordinator of any epoch had one for it, and
    each handed over completely."""
    handed_over: dict[str, BucketSnapshot] = field(default_factory=dict)
    """Buckets of the preceding epoch whose customers are not known here yet."""

    def is_ready(self, now: Millis) -> bool:
        """Return whether all older leases have ended."""
        if self.takeover is not None and now >= self.takeover.find_end():
            self.ready_at = self.takeover.find_end()
            self.takeover = None
        return self.takeover is None

    def is_awaiting_predecessor(self, now: Millis) -> bool:
        """Return whether a request should wait for the predecessor's buckets."""
        # In a planned change they arrive within milliseconds. A refusal meanwhile would tell the
        # caller to retry only after the whole wait for a lost coordinator.
        return (
            not self.is_ready(now)
            and self.takeover is not None
            and self.takeover.is_predecessor_expected(now)
        )

    def get_bucket(self, customer: Customer, now: Millis) -> CoordinatorBucket:
        """Return a customer's bucket with the current rate and burst."""
        allowance = find_coordinator_allowance(customer)
        fraction = self.find_usable_fraction(now)
        allowance = Allowance(allowance.rate_per_s * fraction, allowance.burst * fraction)
        bucket = self.buckets.get(customer.name)
        if bucket is None:
            level = allowance.burst if self.starts_full else 0.0
            bucket = self.buckets[customer.name] = CoordinatorBucket(
                allowance, self.ready_at, level
            )
            snapshot = self.handed_over.pop(customer.name, None)
            if snapshot is not None:
                bucket.restore(snapshot, self.ready_at)
        if fraction < 1 and self.takeover is None:
            # Refill at the full rate must end when the store lease expired, not at the first
            # request after it: from then on a successor may already spend the reserve.
            expired_at = Millis(self.partition.confirmed_at + STORE_LEASE_MS)
            bucket.change(allowance, min(now, expired_at))
        bucket.change(allowance, now)
        return bucket

    def find_usable_fraction(self, now: Millis) -> float:
        """Return the fraction of rate and burst that this coordinator may use now."""
        if self.is_ready(now):
            return self.lease.find_usable_fraction(self.partition.confirmed_at, now)
        assert self.takeover is not None
        self.ready_at = self.takeover.find_reserve_start()
        return SUCCESSOR_RESERVE if now >= self.ready_at else 0.0


def find_customer_index(ledger: Ledger, name: str) -> int:
    """Return the index of the partition whose owner is a customer's coordinator."""
    return ledger.find_index(f"customer/{name}")


class Coordinators:
    """Spends and grants tokens for the owned partitions; all times are this VM's own."""

    def __init__(self, ledger: Ledger) -> None:
        """Create without partitions."""
        self._ledger = ledger
        self._coordinators: dict[int, Coordinator] = {}
        self._min_epochs: dict[int, int] = {}
        """Lowest epoch of each partition that this VM has not renounced."""

    def gain(self, partition: Partition, now: Millis) -> Coordinator:
        """Begin to coordinate the customers of a partition."""
        known = self._coordinators.get(partition.index)
        if known is not None and known.epoch == partition.epoch:
            return known
        takeover = None
        record = partition.get(SUPPORTERS_RECORD) or b""
        if partition.epoch > FIRST_EPOCH:
            takeover = Takeover(record.decode().split(), now)
        lease = CoordinatorLease(recorded=bool(record))
        starts_full = partition.epoch == FIRST_EPOCH
        coordinator = Coordinator(
            partition, partition.epoch, now, takeover, lease, starts_full=starts_full
        )
        self._coordinators[partition.index] = coordinator
        return coordinator

    def find_owned(self) -> list[Coordinator]:
        """Return the coordinators of partitions that this VM still owns."""
        return [
            coordinator
            for index in self._coordinators
            if (coordinator := self.find(index)) is not None
        ]

    def find(self, index: int) -> Coordinator | None:
        """Return a partition's coordinator; None if it is not owned or was renounced."""
        partition = self._ledger.get_owned(index)
        coordinator = self._coordinators.get(index)
        if partition is None or coordinator is None or coordinator.epoch != partition.epoch:
            return None
        return coordinator if self._min_epochs.get(index, NO_EPOCH) <= coordinator.epoch else None

    def spend(self, customer: Customer, now: Millis) -> GrantResult | None:
        """Spend one token here; None if the coordinator is elsewhere."""
        coordinator = self.find(find_customer_index(self._ledger, customer.name))
        if coordinator is None or coordinator.is_awaiting_predecessor(now):
            return None
        refused = self._find_refusal(coordinator, now)
        if refused is not None:
            return refused
        bucket = coordinator.get_bucket(customer, now)
        if bucket.spend(now):
            return GrantResult(1)
        return GrantResult(0, bucket.get_retry_after(now))

    def grant_tokens(
        self,
        customer: Customer,
        session_id: str,
        number: int,
        wanted: int,
        reports: tuple[GrantReport, ...],
        now: Millis,
    ) -> GrantResult | None:
        """Apply reports and grant tokens; None if the coordinator is elsewhere."""
        coordinator = self.find(find_customer_index(self._ledger, customer.name))
        if coordinator is None or coordinator.is_awaiting_predecessor(now):
            return None
        refused = self._find_refusal(coordinator, now)
        if refused is not None:
            return refused
        bucket = coordinator.get_bucket(customer, now)
        bucket.report(session_id, reports, now)
        granted = bucket.grant_tokens(session_id, number, wanted, now)
        return GrantResult(granted, bucket.get_retry_after(now))

    def renounce(self, index: int, epoch: int, customers: list[Customer], now: Millis) -> Handover:
        """End every lease older than `epoch`; returns the preceding epoch and its buckets here.

        `NO_EPOCH` and no buckets if this VM does not have them completely.
        """
        self._min_epochs[index] = max(epoch, self._min_epochs.get(index, NO_EPOCH))
        coordinator = self._coordinators.get(index)
        # Only the direct predecessor's buckets are complete, and only after its own wait. Tokens of
        # an older coordinator may have been spent since and would be admitted twice.
        if coordinator is None or coordinator.epoch != epoch - 1 or not coordinator.is_ready(now):
            return Handover(NO_EPOCH)
        for customer in customers:
            coordinator.get_bucket(customer, now)
        # The successor may know customers that this VM does not know yet, or not any more.
        snapshots = dict(coordinator.handed_over)
        for name, bucket in coordinator.buckets.items():
            snapshots[name] = bucket.take_snapshot(now)
        return Handover(coordinator.epoch, snapshots, coordinator.starts_full)

    def is_taking_over(self, index: int, epoch: int, now: Millis) -> bool:
        """Return whether this VM is of an epoch and soon has the buckets of the epoch before."""
        coordinator = self._coordinators.get(index)
        if coordinator is None or coordinator.epoch != epoch:
            return False
        return coordinator.is_awaiting_predecessor(now)

    def may_support(self, index: int, epoch: int) -> bool:
        """Return whether no newer epoch of a partition is known here."""
        return self._min_epochs.get(index, NO_EPOCH) <= epoch

    def restore(self, coordinator: Coordinator, handover: Handover, now: Millis) -> None:
        """End a takeover with the buckets of the old coordinator."""
        if coordinator.is_ready(now):
            return
        coordinator.takeover, coordinator.ready_at = None, now
        coordinator.starts_full = handover.starts_full
        coordinator.handed_over = dict(handover.snapshots)
        for name, bucket in coordinator.buckets.items():
            if name in coordinator.handed_over:
                bucket.restore(coordinator.handed_over.pop(name), now)

    def _find_refusal(self, coordinator: Coordinator, now: Millis) -> GrantResult | None:
        if coordinator.find_usable_fraction(now) == 0 and coordinator.takeover is not None:
            start = min(coordinator.takeover.find_end(), coordinator.takeover.find_reserve_start())
            return GrantResult(0, start - now)
        if now >= coordinator.lease.find_end(coordinator.partition.confirmed_at):
            return GrantResult(0, LEASE_EXPIRED_RETRY_MS)
        return None
