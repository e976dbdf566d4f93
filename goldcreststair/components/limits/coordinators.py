"""The partitions whose customers this VM is home of: buckets, rights and take-overs."""

from dataclasses import dataclass, field

from goldcreststair.clock import Millis
from goldcreststair.components.configuration.models import Customer
from goldcreststair.components.ledger.protocols import Ledger, Partition
from goldcreststair.components.limits.const import (
    FIRST_EPOCH,
    RESERVE,
    STORE_RIGHT_MS,
    SUPPORTERS_RECORD,
)
from goldcreststair.components.limits.coordinator_bucket import CoordinatorBucket
from goldcreststair.components.limits.lease import HomeRight, TakeOver
from goldcreststair.components.limits.models import Allowance, HeldBucket, HomeAnswer, LotReport
from goldcreststair.components.limits.static_share import find_home_allowance

RIGHT_LAPSED_RETRY_MS = 1000
NO_EPOCH = -1


@dataclass(slots=True)
class Home:
    """One partition in one epoch."""

    partition: Partition
    epoch: int
    ready_at: Millis
    take_over: TakeOver | None
    right: HomeRight
    writing: bool = False
    """Whether a new set of supporters is on its way to the store."""
    buckets: dict[str, CoordinatorBucket] = field(default_factory=dict)

    def is_ready(self, now: Millis) -> bool:
        """Return whether all older rights have ended."""
        if self.take_over is not None and now >= self.take_over.find_end():
            self.ready_at = self.take_over.find_end()
            self.take_over = None
        return self.take_over is None

    def is_settling(self, now: Millis) -> bool:
        """Return whether a request should wait for the predecessor's buckets."""
        # In a planned change they come within milliseconds. Refused meanwhile, a caller would be
        # told to come back after the whole wait for a lost home.
        return (
            not self.is_ready(now) and self.take_over is not None and self.take_over.is_asking(now)
        )

    def get_bucket(self, customer: Customer, now: Millis) -> CoordinatorBucket:
        """Return a customer's bucket with the rate and burst now in force."""
        allowance = find_home_allowance(customer)
        part = self.find_part(now)
        allowance = Allowance(allowance.rate_per_s * part, allowance.burst * part)
        bucket = self.buckets.get(customer.name)
        if bucket is None:
            level = allowance.burst if self.epoch == FIRST_EPOCH else 0.0
            bucket = self.buckets[customer.name] = CoordinatorBucket(
                allowance, self.ready_at, level
            )
        if part < 1 and self.take_over is None:
            # Refill at the full rate must end where the store right did, not at the first request
            # after it: from there on a successor may already spend the reserve.
            lapsed_at = Millis(self.partition.confirmed_at + STORE_RIGHT_MS)
            bucket.change(allowance, min(now, lapsed_at))
        bucket.change(allowance, now)
        return bucket

    def find_part(self, now: Millis) -> float:
        """Return the part of rate and burst that this home may use now."""
        if self.is_ready(now):
            return self.right.find_part(self.partition.confirmed_at, now)
        assert self.take_over is not None
        self.ready_at = self.take_over.find_reserve_start()
        return RESERVE if now >= self.ready_at else 0.0


def find_customer_index(ledger: Ledger, name: str) -> int:
    """Return the partition whose owner is a customer's home."""
    return ledger.find_index(f"customer/{name}")


class Homes:
    """Decides as home; all times are this VM's."""

    def __init__(self, ledger: Ledger) -> None:
        """Start with no partition."""
        self._ledger = ledger
        self._homes: dict[int, Home] = {}
        self._fences: dict[int, int] = {}

    def gain(self, partition: Partition, now: Millis) -> Home:
        """Begin to be home for a partition's customers."""
        known = self._homes.get(partition.index)
        if known is not None and known.epoch == partition.epoch:
            return known
        take_over = None
        record = partition.get(SUPPORTERS_RECORD) or b""
        if partition.epoch > FIRST_EPOCH:
            take_over = TakeOver(record.decode().split(), now)
        right = HomeRight(recorded=bool(record))
        home = Home(partition, partition.epoch, now, take_over, right)
        self._homes[partition.index] = home
        return home

    def find_owned(self) -> list[Home]:
        """Return the homes this VM still owns."""
        return [home for index in self._homes if (home := self.find(index)) is not None]

    def find(self, index: int) -> Home | None:
        """Return a home that is this VM's by the ledger and by what it has renounced."""
        partition = self._ledger.get_owned(index)
        home = self._homes.get(index)
        if partition is None or home is None or home.epoch != partition.epoch:
            return None
        return home if self._fences.get(index, NO_EPOCH) <= home.epoch else None

    def spend(self, customer: Customer, now: Millis) -> HomeAnswer | None:
        """Take one token here; None if the home is elsewhere."""
        home = self.find(find_customer_index(self._ledger, customer.name))
        if home is None or home.is_settling(now):
            return None
        refused = self._find_obstacle(home, now)
        if refused is not None:
            return refused
        bucket = home.get_bucket(customer, now)
        if bucket.spend(now):
            return HomeAnswer(1)
        return HomeAnswer(0, bucket.get_retry_after(now))

    def grant_tokens(
        self,
        customer: Customer,
        session_id: str,
        number: int,
        want: int,
        reports: tuple[LotReport, ...],
        now: Millis,
    ) -> HomeAnswer | None:
        """Take in reports and lend tokens; None if the home is elsewhere."""
        home = self.find(find_customer_index(self._ledger, customer.name))
        if home is None or home.is_settling(now):
            return None
        refused = self._find_obstacle(home, now)
        if refused is not None:
            return refused
        bucket = home.get_bucket(customer, now)
        bucket.report(session_id, reports, now)
        granted = bucket.grant_tokens(session_id, number, want, now)
        return HomeAnswer(granted, bucket.get_retry_after(now))

    def renounce(
        self, index: int, epoch: int, customers: list[Customer], now: Millis
    ) -> tuple[int, dict[str, HeldBucket]]:
        """End every right older than `epoch`; returns what the epoch before it held here."""
        self._fences[index] = max(epoch, self._fences.get(index, NO_EPOCH))
        home = self._homes.get(index)
        # Only the direct predecessor's buckets are complete, and only after its own wait: an
        # older home's tokens may have been spent since, which would admit them twice.
        if home is None or home.epoch != epoch - 1 or not home.is_ready(now):
            return NO_EPOCH, {}
        held = {customer.name: home.get_bucket(customer, now).hold(now) for customer in customers}
        return home.epoch, held

    def may_support(self, index: int, epoch: int) -> bool:
        """Return whether no newer epoch of a partition is known here."""
        return self._fences.get(index, NO_EPOCH) <= epoch

    def restore(
        self, home: Home, held: dict[str, HeldBucket], customers: list[Customer], now: Millis
    ) -> None:
        """End a take-over with what the old home held."""
        if home.is_ready(now):
            return
        home.take_over, home.ready_at = None, now
        for customer in customers:
            if customer.name in held:
                home.get_bucket(customer, now).restore(held[customer.name], now)

    def _find_obstacle(self, home: Home, now: Millis) -> HomeAnswer | None:
        if home.find_part(now) == 0 and home.take_over is not None:
            start = min(home.take_over.find_end(), home.take_over.find_reserve_start())
            return HomeAnswer(0, start - now)
        if now >= home.right.find_end(home.partition.confirmed_at):
            return HomeAnswer(0, RIGHT_LAPSED_RETRY_MS)
        return None
