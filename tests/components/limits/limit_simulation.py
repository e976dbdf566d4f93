"""Simulation of limits without I/O: VMs on drifting clocks, a store and a faulty network."""

import random
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from goldcreststair.clock import Millis
from goldcreststair.components.configuration.models import Customer
from goldcreststair.components.ledger.protocols import Partition
from goldcreststair.components.limits.const import SUPPORTERS_RECORD
from goldcreststair.components.limits.coordinators import Coordinator, Coordinators
from goldcreststair.components.limits.granted_tokens import GrantedTokens
from goldcreststair.components.limits.models import Handover
from goldcreststair.components.limits.static_share import StaticShare
from standins.measure.excess import find_excess
from tests.helpers.ledgers import FakePartition

DRIFT = 0.01


class VmLedger:
    """One VM's knowledge of the only partition; implements the part of `Ledger` in use."""

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
    tokens: GrantedTokens = field(default_factory=GrantedTokens)

    def __post_init__(self) -> None:
        self.coordinators = Coordinators(self.ledger)  # type: ignore[arg-type]

    def find_coordinator(self) -> Coordinator | None:
        return self.coordinators.find(0)


class Simulation:
    """One customer of several VMs; the steps may be called in any order."""

    def __init__(
        self,
        seed: int,
        vms: int = 4,
        rate: float = 20,
        burst: int = 40,
        unknown_write_share: float = 0.0,
    ) -> None:
        rng = random.Random(seed)
        self.write_random = random.Random(seed)
        self.unknown_write_share = unknown_write_share
        """Fraction of the writes of supporters whose outcome the coordinator learns only later."""
        self.pending_write: bytes | None = None
        """Set of supporters whose write has an outcome that the coordinator does not know yet."""
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
        self.epoch, self.owner, self.pending_write = self.epoch + 1, vm.name, None
        partition = FakePartition(0)
        partition.epoch, partition.confirmed_at = self.epoch, self.now(vm)
        partition.records[SUPPORTERS_RECORD] = self.record
        vm.ledger.partition = partition
        vm.coordinators.gain(partition, self.now(vm))

    def confirm(self, vm: Vm) -> None:
        """Make one store call of a VM, by which it may learn that it lost the partition."""
        if not self.store_up or vm.ledger.partition is None:
            return
        if self.owner == vm.name and vm.ledger.partition.epoch == self.epoch:
            vm.ledger.partition.confirmed_at = self.now(vm)
        else:
            vm.ledger.partition = None

    def write_supporters(self, vm: Vm) -> None:
        coordinator = vm.find_coordinator()
        if coordinator is None or not self.store_up or not coordinator.is_ready(self.now(vm)):
            return
        self.confirm(vm)
        if vm.ledger.partition is not None:
            chosen = [name for name in self.vms if name != vm.name][:3]
            encoded = " ".join(chosen).encode()
            # The outcome of the previous write is known before the next one begins.
            if self.pending_write is not None:
                coordinator.lease.end_change(written=self.record == self.pending_write)
                self.pending_write = None
            coordinator.lease.begin_change(chosen)
            outcome_unknown = self.write_random.random() < self.unknown_write_share
            written = not outcome_unknown or self.write_random.random() < 0.5
            if written:
                self.record = encoded
            if outcome_unknown:
                self.pending_write = encoded
            else:
                coordinator.lease.end_change(written=written)

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
        answer = vm.coordinators.spend(self.customer, now)
        return bool(answer is not None and answer.granted) or vm.tokens.spend(now)

    def request_and_deliver(self, vm: Vm, wanted: int, target: str = "") -> None:
        """Request tokens, and deliver all messages at once."""
        self.request_tokens(vm, wanted, target)
        self.deliver_all()

    def hand_over(self, vm: Vm) -> None:
        """Move the coordinator to another VM, as in a planned stop."""
        self.claim(vm)
        self.request_renounce(vm)
        self.deliver_all()

    def deliver_all(self) -> None:
        for _ in range(100):
            self.deliver(0)

    def request_tokens(self, vm: Vm, wanted: int, target: str = "") -> None:
        """Send a token request to a VM that assumes, rightly or not, to be the owner."""
        number = next(self.numbers)
        reports = vm.tokens.begin_request(number, self.now(vm))
        claimants = [v.name for v in self.vms.values() if v.ledger.partition is not None]
        found = claimants[-1:] if number % 3 else claimants[:1]
        for name in [target] if target else found:
            self.messages.append((vm.name, name, ("request", number, wanted, reports)))

    def give_up(self, vm: Vm) -> None:
        for number in list(vm.tokens._requested_at):
            vm.tokens.give_up(number)

    def request_renounce(self, vm: Vm) -> None:
        coordinator = vm.find_coordinator()
        if coordinator is not None and coordinator.takeover is not None:
            for name in [*self.vms, *coordinator.takeover.not_renounced]:
                self.messages.append((vm.name, name, ("renounce", coordinator.epoch)))

    def request_support(self, vm: Vm) -> None:
        coordinator = vm.find_coordinator()
        if coordinator is not None:
            for name in coordinator.lease.supporters:
                request = ("support", coordinator.epoch, self.now(vm))
                self.messages.append((vm.name, name, request))

    def kill(self, vm: Vm) -> None:
        """Replace a VM by a new one with another name and slot."""
        del self.vms[vm.name]
        name = f"v{next(self.numbers) + 100}"
        slot = max((v.slot for v in self.vms.values()), default=0) + 1
        self.vms[name] = Vm(name, slot, vm.offset, vm.speed)

    def deliver(self, position: int, keep: bool = False) -> None:
        """Deliver one message of any age; with `keep` it is delivered once more later."""
        if not self.messages:
            return
        index = position % len(self.messages)
        source, target, body = self.messages[index] if keep else self.messages.pop(index)
        if target in self.vms:
            getattr(self, f"_on_{body[0]}")(source, self.vms[target], *body[1:])

    def drop(self, position: int) -> None:
        if self.messages:
            self.messages.pop(position % len(self.messages))

    def _on_request(self, source: str, vm: Vm, number: int, wanted: int, reports: Any) -> None:
        answer = vm.coordinators.grant_tokens(
            self.customer, source, number, wanted, reports, self.now(vm)
        )
        if answer is not None:
            self.messages.append((vm.name, source, ("grant", number, answer.granted)))

    def _on_grant(self, source: str, vm: Vm, number: int, granted: int) -> None:
        vm.tokens.accept(number, granted, self.now(vm))

    def _on_renounce(self, source: str, vm: Vm, epoch: int) -> None:
        handover = vm.coordinators.renounce(0, epoch, [self.customer], self.now(vm))
        self.messages.append((vm.name, source, ("renounced", epoch, handover)))

    def _on_renounced(self, source: str, vm: Vm, epoch: int, handover: Handover) -> None:
        coordinator = vm.find_coordinator()
        if coordinator is None or coordinator.epoch != epoch:
            return
        if coordinator.takeover is not None:
            coordinator.takeover.renounce(source, self.now(vm))
        if handover.epoch == coordinator.epoch - 1:
            vm.coordinators.restore(coordinator, handover, self.now(vm))

    def _on_support(self, source: str, vm: Vm, epoch: int, requested_at: Millis) -> None:
        if vm.coordinators.may_support(0, epoch):
            self.messages.append((vm.name, source, ("supported", epoch, requested_at)))

    def _on_supported(self, source: str, vm: Vm, epoch: int, requested_at: Millis) -> None:
        coordinator = vm.find_coordinator()
        if coordinator is not None and coordinator.epoch == epoch:
            coordinator.lease.record_support(source, requested_at)

    def find_excess(self) -> float:
        """Return by how many requests the worst interval exceeds rate x time + burst."""
        return find_excess(self.admitted, self.highest.rate_per_s, self.highest.burst, DRIFT)
