"""Several VMs on drifting clocks, a store and a hostile network around the pure controllers."""

import random
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from goldcreststair.clock import Millis
from goldcreststair.components.configuration.models import Customer
from goldcreststair.components.ledger.protocols import Partition
from goldcreststair.components.limits.const import SUPPORTERS_RECORD
from goldcreststair.components.limits.coordinators import Home, Homes
from goldcreststair.components.limits.granted_tokens import BorrowedBucket
from goldcreststair.components.limits.static_share import StaticShare
from standins.measure.excess import find_excess
from tests.helpers.ledgers import FakePartition

DRIFT = 0.01


class VmLedger:
    """What one VM believes of the only partition; implements the part of `Ledger` in use."""

    def __init__(self) -> None:
        self.partition: FakePartition | None = None

    def find_index(self, key: str) -> int:
        return 0

    def get_owned(self, index: int) -> Partition | None:
        return self.partition


@dataclass
class Vm:
    name: str
    slot: int
    offset: int
    speed: float
    ledger: VmLedger = field(default_factory=VmLedger)
    share: StaticShare = field(default_factory=StaticShare)
    bucket: BorrowedBucket = field(default_factory=BorrowedBucket)

    def __post_init__(self) -> None:
        self.homes = Homes(self.ledger)  # type: ignore[arg-type]

    def find_home(self) -> Home | None:
        return self.homes.find(0)


class World:
    """One customer; every step may be called in any order."""

    def __init__(
        self, seed: int, vms: int = 4, rate: float = 20, burst: int = 40, doubt: float = 0.0
    ) -> None:
        rng = random.Random(seed)
        self.doubts = random.Random(seed)
        self.doubt = doubt
        """Part of the writes of supporters whose outcome the home does not hear at once."""
        self.in_doubt: bytes | None = None
        """A set of supporters whose write's outcome the home does not know."""
        self.time = 0
        self.customer = Customer("acme", rate, burst)
        self.highest = self.customer
        self.admitted: list[int] = []
        self.epoch, self.owner, self.record, self.store_up = 0, "", b"", True
        self.messages: list[tuple[str, str, Any]] = []
        self.numbers = count(1)
        self.vms: dict[str, Vm] = {}
        for index in range(vms):
            speed = 1 + rng.uniform(-DRIFT, DRIFT)
            self.vms[f"v{index}"] = Vm(f"v{index}", index, rng.randrange(10**6), speed)

    def now(self, vm: Vm) -> Millis:
        return Millis(int(vm.offset + self.time * vm.speed))

    def advance(self, delay_ms: int) -> None:
        self.time += delay_ms

    def claim(self, vm: Vm) -> None:
        if not self.store_up:
            return
        self.epoch, self.owner, self.in_doubt = self.epoch + 1, vm.name, None
        partition = FakePartition(0)
        partition.epoch, partition.confirmed_at = self.epoch, self.now(vm)
        partition.records[SUPPORTERS_RECORD] = self.record
        vm.ledger.partition = partition
        vm.homes.gain(partition, self.now(vm))

    def confirm(self, vm: Vm) -> None:
        """One store call of a VM that may find that it lost the partition."""
        if not self.store_up or vm.ledger.partition is None:
            return
        if self.owner == vm.name and vm.ledger.partition.epoch == self.epoch:
            vm.ledger.partition.confirmed_at = self.now(vm)
        else:
            vm.ledger.partition = None

    def write_supporters(self, vm: Vm) -> None:
        home = vm.find_home()
        if home is None or not self.store_up or not home.is_ready(self.now(vm)):
            return
        self.confirm(vm)
        if vm.ledger.partition is not None:
            chosen = [name for name in self.vms if name != vm.name][:3]
            encoded = " ".join(chosen).encode()
            # What became of a write that was left in doubt is known before the next one begins.
            if self.in_doubt is not None:
                home.right.end_change(written=self.record == self.in_doubt)
                self.in_doubt = None
            home.right.begin_change(chosen)
            in_doubt = self.doubts.random() < self.doubt
            written = not in_doubt or self.doubts.random() < 0.5
            if written:
                self.record = encoded
            if in_doubt:
                self.in_doubt = encoded
            else:
                home.right.end_change(written=written)

    def change(self, rate: float, burst: int) -> None:
        self.customer = Customer("acme", rate, burst)
        high = self.highest
        self.highest = Customer("acme", max(rate, high.rate_per_s), max(burst, high.burst))

    def admit(self, vm: Vm, wanted: int) -> None:
        for _ in range(wanted):
            if self._spend(vm, self.now(vm)):
                self.admitted.append(self.time)

    def _spend(self, vm: Vm, now: Millis) -> bool:
        if vm.share.spend(self.customer, vm.slot, now):
            return True
        answer = vm.homes.spend(self.customer, now)
        return bool(answer is not None and answer.granted) or vm.bucket.take(now)

    def converse(self, vm: Vm, want: int, target: str = "") -> None:
        """Ask, and deliver everything at once."""
        self.ask(vm, want, target)
        self.deliver_all()

    def hand_over(self, vm: Vm) -> None:
        """Move the home to another VM, as in a planned stop."""
        self.claim(vm)
        self.question(vm)
        self.deliver_all()

    def deliver_all(self) -> None:
        for _ in range(100):
            self.deliver(0)

    def ask(self, vm: Vm, want: int, target: str = "") -> None:
        """Send an ask with reports to a VM that believes to be owner, the true one or not."""
        number = next(self.numbers)
        reports = vm.bucket.ask(number, self.now(vm))
        believed = [v.name for v in self.vms.values() if v.ledger.partition is not None]
        found = believed[-1:] if number % 3 else believed[:1]
        for name in [target] if target else found:
            self.messages.append((vm.name, name, ("ask", number, want, reports)))

    def give_up(self, vm: Vm) -> None:
        for number in list(vm.bucket._asked):
            vm.bucket.give_up(number)

    def question(self, vm: Vm) -> None:
        home = vm.find_home()
        if home is not None and home.take_over is not None:
            for name in [*self.vms, *home.take_over.unheard]:
                self.messages.append((vm.name, name, ("renounce", home.epoch)))

    def ask_support(self, vm: Vm) -> None:
        home = vm.find_home()
        if home is not None:
            for name in home.right.supporters:
                asked = ("support", home.epoch, self.now(vm))
                self.messages.append((vm.name, name, asked))

    def kill(self, vm: Vm) -> None:
        """Replace a VM by a new one of another name and slot."""
        del self.vms[vm.name]
        name = f"v{next(self.numbers) + 100}"
        slot = max((v.slot for v in self.vms.values()), default=0) + 1
        self.vms[name] = Vm(name, slot, vm.offset, vm.speed)

    def deliver(self, position: int, keep: bool = False) -> None:
        """Deliver one message, whatever its age; kept, it will come once more."""
        if not self.messages:
            return
        index = position % len(self.messages)
        source, target, body = self.messages[index] if keep else self.messages.pop(index)
        if target in self.vms:
            getattr(self, f"_on_{body[0]}")(source, self.vms[target], *body[1:])

    def drop(self, position: int) -> None:
        if self.messages:
            self.messages.pop(position % len(self.messages))

    def _on_ask(self, source: str, vm: Vm, number: int, want: int, reports: Any) -> None:
        answer = vm.homes.grant_tokens(self.customer, source, number, want, reports, self.now(vm))
        if answer is not None:
            self.messages.append((vm.name, source, ("grant", number, answer.granted)))

    def _on_grant(self, source: str, vm: Vm, number: int, granted: int) -> None:
        vm.bucket.accept(number, granted, self.now(vm))

    def _on_renounce(self, source: str, vm: Vm, epoch: int) -> None:
        held = vm.homes.renounce(0, epoch, [self.customer], self.now(vm))
        self.messages.append((vm.name, source, ("renounced", epoch, *held)))

    def _on_renounced(self, source: str, vm: Vm, epoch: int, held_epoch: int, held: Any) -> None:
        home = vm.find_home()
        if home is None or home.epoch != epoch:
            return
        if home.take_over is not None:
            home.take_over.renounce(source, self.now(vm))
        if held_epoch == home.epoch - 1:
            vm.homes.restore(home, held, [self.customer], self.now(vm))

    def _on_support(self, source: str, vm: Vm, epoch: int, asked_at: Millis) -> None:
        if vm.homes.may_support(0, epoch):
            self.messages.append((vm.name, source, ("supported", epoch, asked_at)))

    def _on_supported(self, source: str, vm: Vm, epoch: int, asked_at: Millis) -> None:
        home = vm.find_home()
        if home is not None and home.epoch == epoch:
            home.right.support(source, asked_at)

    def find_excess(self) -> float:
        """Return by how much the worst interval exceeds rate x time + burst."""
        return find_excess(self.admitted, self.highest.rate_per_s, self.highest.burst, DRIFT)
