"""Quotas under partitions, stops, freezes, restarts and outages drawn by hypothesis."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from standins.gateways import FleetMember, GatewayFleet
from standins.measure.quotas import CUSTOMER, QuotaFigures, async_drive, async_start
from tests.helpers.gateways import run_fleet

RATE = 30.0
BURST = 30.0
WINDOW_S = 5
BOUND = (RATE * WINDOW_S + BURST) * 1.1 + 20
"""The highest number of requests of one customer that is allowed in any window."""
VMS = 4
EXAMPLES = 24
RELAYED_VMS = 30
"""Size of a fleet in which relays report what all others admit."""
RELAYED_EXAMPLES = 10
LONGEST_FREEZE_MS = 8_000
LATE_VMS = 11
DELAYS_MS = (1, 200, 400, 800, 1_500)
LOSSES = (0.0, 0.2, 0.4, 0.7)


@dataclass(frozen=True, slots=True)
class Step:
    """One event, the daemons it affects, and the pause before the next one."""

    kind: str
    first: int
    second: int
    pause_ms: int


KINDS = ("cut", "isolate", "heal", "kill", "kill", "stop", "freeze", "add", "store", "refuse")


def draw_steps(vms: int, *more: str) -> st.SearchStrategy[Step]:
    """Return a strategy for steps in a fleet of `vms` VMs, of the usual kinds and `more`."""
    number = st.integers(0, vms - 1)
    return st.builds(Step, st.sampled_from((*KINDS, *more)), number, number, st.integers(50, 4_000))


STEPS = draw_steps(VMS)


class History:
    """Applies steps to a fleet."""

    def __init__(self, fleet: GatewayFleet, vms: int) -> None:
        """Create a history without events, for a fleet of `vms` VMs."""
        self._fleet = fleet
        self._vms = vms
        self._freezing: set[asyncio.Task[None]] = set()
        self._version = 1

    async def async_apply_all(self, steps: Sequence[Step]) -> None:
        """Apply all steps; at the end all partitions are healed and all paused VMs have resumed."""
        for step in steps:
            await self._async_apply_step(step)
            await self._fleet.clock.async_sleep(step.pause_ms)
        await asyncio.gather(*self._freezing)
        self._fleet.datagrams.clear_cuts()
        self._fleet.datagrams.delay_ms, self._fleet.datagrams.loss = 1, 0.0
        self._fleet.store.faults.down = False

    async def _async_apply_step(self, step: Step) -> None:
        fleet = self._fleet
        if step.kind == "heal":
            fleet.datagrams.clear_cuts()
        elif step.kind == "store":
            fleet.store.faults.down = not fleet.store.faults.down
        elif step.kind == "add":
            if len(fleet.members) < self._vms + 2:
                await fleet.async_add()
        elif step.kind in ("late", "lose", "leave out", "herd"):
            await self._async_apply_to_all(step)
        elif len(fleet.members) > 1:
            first = fleet.members[step.first % len(fleet.members)]
            second = fleet.members[step.second % len(fleet.members)]
            await self._async_apply(step, first, second)

    async def _async_apply(self, step: Step, first: FleetMember, second: FleetMember) -> None:
        fleet = self._fleet
        if step.kind == "cut":
            fleet.datagrams.cut(first.address, second.address)
        elif step.kind == "isolate":
            self._cut_off(first)
        elif step.kind == "split":
            self._split(first.core.settings.data_centre)
        elif step.kind == "refuse":
            first.view.cut = not first.view.cut
        elif step.kind == "kill":
            await fleet.async_kill(first)
            await fleet.async_add(first.address)
        elif step.kind == "stop":
            fleet.members.remove(first)
            await first.gateway.async_close()
        elif step.kind == "freeze":
            gap_ms = min(LONGEST_FREEZE_MS, 1_000 + 2 * step.pause_ms)
            self._freezing.add(asyncio.create_task(self._async_freeze(first, gap_ms)))

    async def _async_apply_to_all(self, step: Step) -> None:
        datagrams = self._fleet.datagrams
        if step.kind == "late":
            datagrams.delay_ms = DELAYS_MS[step.second % len(DELAYS_MS)]
        elif step.kind == "lose":
            datagrams.loss = LOSSES[step.second % len(LOSSES)]
        elif step.kind == "leave out":
            await self._async_leave_out(100 * (1 + step.first % 20))
        else:
            await self._async_kill_many(1 + step.second % len(self._fleet.members))

    async def _async_leave_out(self, missing_ms: int) -> None:
        """Leave the customer out of one version of the catalogue."""
        self._version += 2
        self._fleet.write_catalogue(self._version, customers=())
        await self._fleet.clock.async_sleep(missing_ms)
        limits = {"name": CUSTOMER, "rate_per_s": RATE, "burst": BURST}
        self._fleet.write_catalogue(self._version + 1, customers=(limits,))

    async def _async_kill_many(self, count: int) -> None:
        """Kill daemons at the same moment and start them again at their addresses."""
        killed = self._fleet.members[:count]
        await asyncio.gather(*(self._fleet.async_kill(member) for member in killed))
        for member in killed:
            await self._fleet.async_add(member.address)

    def _cut_off(self, member: FleetMember) -> None:
        for other in self._fleet.members:
            if other is not member:
                self._fleet.datagrams.cut(member.address, other.address)

    def _split(self, data_centre: str) -> None:
        """Cut a data centre off from all others."""
        members = self._fleet.members
        inside = [m.address for m in members if m.core.settings.data_centre == data_centre]
        for member in members:
            if member.address not in inside:
                for address in inside:
                    self._fleet.datagrams.cut(member.address, address)

    async def _async_freeze(self, member: FleetMember, gap_ms: int) -> None:
        """Isolate a VM without requests for a while, then report a pause of that length to it."""
        fleet = self._fleet
        fleet.members.remove(member)
        self._cut_off(member)
        await fleet.clock.async_sleep(gap_ms)
        for on_process_resumed in member.core.on_process_resumed:
            on_process_resumed(gap_ms)
        fleet.datagrams.clear_cuts()
        fleet.members.append(member)


def measure_history(steps: Sequence[Step], seed: int, vms: int = VMS) -> int:
    """Return the highest number of requests in one window while a history is applied."""
    found: list[QuotaFigures] = []

    async def scenario(fleet: GatewayFleet) -> None:
        await async_start(fleet, vms, RATE, BURST)
        history = asyncio.create_task(History(fleet, vms).async_apply_all(steps))
        length_s = sum(step.pause_ms for step in steps) / 1_000 + 6
        found.append(await async_drive(fleet, RATE, BURST, RATE * 4, length_s, seed))
        await history

    run_fleet(scenario)
    return found[0].most_in_window


@settings(
    max_examples=EXAMPLES,
    deadline=None,
    derandomize=True,
    # Failing histories are reported as drawn: each one takes a second, and shrinking would take
    # minutes.
    phases=(Phase.generate,),
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.lists(STEPS, min_size=3, max_size=9), st.integers(0, 1_000))
def test_quota_holds_in_any_history(steps: list[Step], seed: int) -> None:
    """One customer sends four times its rate while VMs start, stop, are paused and are cut off.

    Each VM decides by the last reports of the others. Whatever it received when, all VMs together
    must not admit more than the allowed number of requests in any five seconds.
    """
    assert measure_history(steps, seed) <= BOUND


@settings(
    max_examples=RELAYED_EXAMPLES,
    deadline=None,
    derandomize=True,
    phases=(Phase.generate,),
    suppress_health_check=[HealthCheck.too_slow],
)
@given(
    st.lists(draw_steps(RELAYED_VMS, "split", "split"), min_size=3, max_size=9),
    st.integers(0, 1_000),
)
def test_quota_holds_in_any_history_of_a_relayed_fleet(steps: list[Step], seed: int) -> None:
    """The same in a fleet with relays, in which data centres lose contact as well.

    A relay that is gone, cut off or followed by only a few daemons must not lead its followers to
    use a share of a quota that others spend too.
    """
    assert measure_history(steps, seed, RELAYED_VMS) <= BOUND


LATE_STEPS = st.builds(
    Step,
    st.sampled_from(("late", "late", "lose", "leave out", "herd", "kill", "freeze")),
    st.integers(0, LATE_VMS - 1),
    st.integers(0, LATE_VMS - 1),
    st.integers(50, 4_000),
)


@pytest.mark.parametrize("vms", [LATE_VMS, RELAYED_VMS])
@settings(
    max_examples=RELAYED_EXAMPLES,
    deadline=None,
    derandomize=True,
    phases=(Phase.generate,),
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.lists(LATE_STEPS, min_size=3, max_size=9), st.integers(0, 1_000))
def test_quota_holds_while_counters_are_late_or_lost(
    vms: int, steps: list[Step], seed: int
) -> None:
    """Reports come late or never, daemons die together, and versions leave the customer out."""
    assert measure_history(steps, seed, vms) <= BOUND


@pytest.mark.parametrize(
    ("steps", "seed"),
    [
        ([Step("cut", 0, 2, 998), Step("cut", 0, 0, 303), Step("cut", 0, 0, 450)], 1),
        ([Step("cut", 0, 2, 993), Step("kill", 1, 0, 50), Step("cut", 0, 0, 50)], 0),
        ([Step("isolate", 1, 0, 50), Step("cut", 0, 0, 50), Step("cut", 0, 2, 643)], 2),
        ([Step("isolate", 0, 0, 50), Step("cut", 0, 0, 50), Step("cut", 0, 0, 2_989)], 50),
    ],
)
def test_histories_that_exceeded_the_bound_before(steps: list[Step], seed: int) -> None:
    """VMs lost contact for 0.7 to 3 s, and a customer over its rate got up to 1.05 times the bound.

    Each of them spent the whole bucket until it detected this, and then the shares of VMs that were
    reachable for others.
    """
    assert measure_history(steps, seed) <= BOUND


def test_new_vm_that_is_unknown_to_others_is_counted() -> None:
    """The store refused two VMs while a third was added: 231 of 218 allowed requests.

    The two do not know the new VM's session, drop its beacons, and divide the whole quota among the
    VMs they know; the new VM considers them lost, as their heartbeats do not advance.
    """
    steps = [
        Step("refuse", 0, 2, 314),
        Step("refuse", 1, 0, 653),
        Step("cut", 0, 2, 3_774),
        Step("freeze", 2, 3, 282),
        Step("add", 1, 0, 1_248),
        Step("cut", 2, 0, 453),
        Step("store", 3, 1, 107),
        Step("cut", 0, 2, 3_774),
        Step("isolate", 3, 1, 350),
    ]
    assert measure_history(steps, 451) <= BOUND


def test_two_vms_cut_off_within_a_second_do_not_spend_three_bursts() -> None:
    """Two VMs were cut off one second apart at a full bucket: 220 of 218 allowed requests.

    Each of them, and the two that still reach each other, spend the bucket until the partition is
    detected.
    """
    steps = [
        Step("isolate", 1, 2, 1_043),
        Step("isolate", 0, 2, 361),
        Step("cut", 1, 2, 1_048),
        Step("isolate", 1, 2, 1_558),
        Step("add", 2, 0, 191),
        Step("stop", 2, 1, 191),
    ]
    assert measure_history(steps, 0) <= BOUND


def test_vm_that_was_paused_while_another_was_added_uses_only_its_share() -> None:
    """A VM was paused, others were added while the store refused one: 222 of 218 allowed requests.

    The daemons did not know the same members, and each divided the whole quota among those it knew.
    """
    steps = [
        Step("freeze", 3, 2, 1_967),
        Step("heal", 3, 3, 2_697),
        Step("kill", 1, 3, 585),
        Step("add", 2, 1, 51),
        Step("refuse", 2, 0, 1_507),
        Step("add", 3, 2, 528),
    ]
    assert measure_history(steps, 312) <= BOUND
