"""Open jobs of customers that operators remove from the catalogue while daemons are lost."""

import asyncio
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

import pytest

from goldcreststair.components.entry.service import ENTRY
from goldcreststair.components.jobs.const import REMOVED_SWEEPS, SWEEP_MS, TABLE_OPEN
from goldcreststair.components.jobs.models import JobKey
from goldcreststair.components.jobs.protocols import JOBS
from goldcreststair.helpers.rendezvous import score
from standins.gateways import FleetMember, GatewayFleet
from standins.run_engines import make_text
from tests.helpers.gateways import CUSTOMER, async_read, async_submit, run_fleet

ITEMS = 5
EVENTS = 100
"""An item takes 3 s."""
FINISH_MS = 18_000
"""Time in which the items of an open job must be done once nothing is disturbed any more."""
OTHERS: tuple[Mapping[str, Any], ...] = ({"name": "stays"},)
ALL: tuple[Mapping[str, Any], ...] = (*OTHERS, {"name": CUSTOMER})
KEYS = {"key-stays": "stays", "key-club": CUSTOMER}


class Play:
    """Events around one open job of `CUSTOMER`, by name."""

    def __init__(self, fleet: GatewayFleet, *, daemons: int = 3, events: int = EVENTS) -> None:
        self._fleet = fleet
        self._daemons = daemons
        self._events = events
        self._version = 1

    async def async_start(self) -> None:
        """Start daemons, and submit the job at one that doesn't list the customers."""
        fleet = self._fleet
        fleet.add_engines(2)
        fleet.engines.events_by_request = {f"digest-{n}": self._events for n in range(ITEMS)}
        fleet.write_catalogue(1, customers=ALL, keys=KEYS)
        members = await fleet.async_add_many(self._daemons)
        await fleet.clock.async_sleep(1_000)
        lister = max(members, key=lambda member: score(member.core.session_id, TABLE_OPEN))
        owner = next(member for member in members if member is not lister)
        assert (await async_submit(fleet, owner, "digest", ITEMS)).accepted
        await fleet.clock.async_sleep(500)

    async def async_play(self, event: str) -> None:
        """Play one event."""
        await getattr(self, f"_async_{event}")()

    async def _async_remove(self) -> None:
        self._write(OTHERS)
        await self._fleet.clock.async_sleep(500)

    async def _async_remove_all(self) -> None:
        self._write(())
        await self._fleet.clock.async_sleep(500)

    async def _async_remove_briefly(self) -> None:
        self._write(OTHERS)
        await self._fleet.clock.async_sleep(300)
        self._write(ALL)
        await self._fleet.clock.async_sleep(300)

    async def _async_return(self) -> None:
        self._write(ALL)
        await self._fleet.clock.async_sleep(500)

    async def _async_kill_owner(self) -> None:
        await self._fleet.async_wait(lambda: self.find_owner() is not None, 10_000)
        owner = self.find_owner()
        assert owner is not None
        await self._fleet.async_kill(owner)
        await self._fleet.async_add(owner.address)

    async def _async_stop_owner(self) -> None:
        owner = self.find_owner()
        assert owner is not None
        owner.core.get(ENTRY).leave()
        await asyncio.wait_for(owner.core.get(ENTRY).async_wait(), 8)
        await self._fleet.async_kill(owner)

    async def _async_kill_all(self) -> None:
        addresses = [member.address for member in self._fleet.members]
        for member in tuple(self._fleet.members):
            await self._fleet.async_kill(member)
        await self._fleet.clock.async_sleep(1_000)
        for address in addresses:
            await self._fleet.async_add(address)

    async def _async_store_away(self) -> None:
        self._fleet.store.faults.down = True
        await self._fleet.clock.async_sleep(4_000)
        self._fleet.store.faults.down = False

    async def _async_leave_one_behind(self) -> None:
        """Let a daemon that doesn't own the job miss the next versions."""
        others = [member for member in self._fleet.members if member is not self.find_owner()]
        others[0].view.cut = True
        self._fleet.clock.call_later(3_000, lambda: setattr(others[0].view, "cut", False))

    def _write(self, customers: tuple[Mapping[str, Any], ...]) -> None:
        self._version += 1
        names = {customer["name"] for customer in customers}
        keys = {key: name for key, name in KEYS.items() if name in names}
        self._fleet.write_catalogue(self._version, customers=customers, keys=keys)

    def find_owner(self) -> FleetMember | None:
        """Return the daemon that runs the job, if any."""
        key = JobKey(CUSTOMER, "digest")
        members = self._fleet.members
        return next((member for member in members if member.core.get(JOBS).owns(key)), None)


def copy_job(fleet: GatewayFleet, customer: str) -> None:
    """Store a copy of the open job for another customer."""
    for key, row in tuple(fleet.store.rows.items()):
        if key.part == CUSTOMER:
            fleet.store.put(replace(key, part=customer), row.value)


@pytest.mark.parametrize(
    "events",
    [
        ("remove", "kill_owner"),
        ("kill_owner", "remove"),
        ("remove", "kill_owner", "kill_owner"),
        ("remove", "kill_all"),
        ("kill_all", "remove", "kill_owner"),
        ("remove_all", "kill_owner"),
        ("remove_all", "kill_all"),
        ("remove", "store_away", "kill_owner"),
        ("remove", "kill_owner", "store_away"),
        ("leave_one_behind", "remove", "kill_owner"),
        ("remove", "stop_owner"),
        ("remove_briefly", "kill_owner"),
        ("remove", "kill_owner", "return"),
    ],
    ids="-".join,
)
def test_job_of_a_removed_customer_is_finished_after_the_loss_of_its_owner(
    events: tuple[str, ...],
) -> None:
    """Items were neither done nor given up: nobody looked for jobs of customers outside the catalogue."""

    async def scenario(fleet: GatewayFleet) -> None:
        play = Play(fleet)
        await play.async_start()
        for event in events:
            await play.async_play(event)
        await fleet.clock.async_sleep(FINISH_MS)
        page = await async_read(fleet.members[0], "digest")
        texts = {result.item_id: result.text for result in page.results}
        assert texts == {f"digest-{n}": make_text(f"digest-{n}", EVENTS) for n in range(ITEMS)}

    run_fleet(scenario)


def test_items_of_a_removed_customer_are_given_up_in_time() -> None:
    """A job stayed open for good if its customer was removed and its owner lost while nothing could run it."""

    async def scenario(fleet: GatewayFleet) -> None:
        play = Play(fleet)
        await play.async_start()
        for engine in fleet.engines.by_address.values():
            engine.up = False
            fleet.unregister(engine)
        await play.async_play("remove")
        await play.async_play("kill_owner")
        await fleet.clock.async_sleep(60_000 + FINISH_MS)
        page = await async_read(fleet.members[0], "digest")
        assert [result.done for result in page.results] == [False] * ITEMS

    run_fleet(scenario)


def test_old_jobs_of_a_removed_customer_are_dropped_from_the_store() -> None:
    """Rows and objects of jobs stayed in the store for good once their customer was removed."""

    async def scenario(fleet: GatewayFleet) -> None:
        play = Play(fleet)
        await play.async_start()
        await play.async_play("remove")
        await fleet.clock.async_sleep(240_000)
        assert not [key for key in fleet.store.rows if key.part == CUSTOMER]
        assert not fleet.store.objects

    run_fleet(scenario)


def measure_takeover(removed: int, lost_after_ms: int) -> int:
    """Return after how long a job has a new owner, ms, beside jobs of removed customers; the store is slow."""
    took_ms: list[int] = []

    async def scenario(fleet: GatewayFleet) -> None:
        # The daemon that is left sweeps the customers of the catalogue as well as the removed ones.
        play = Play(fleet, daemons=2, events=1_000)
        await play.async_start()
        for number in range(removed):
            copy_job(fleet, f"removed{number}")
        fleet.store.faults.slow_ms = 100
        await fleet.clock.async_sleep(lost_after_ms)
        owner = play.find_owner()
        assert owner is not None
        await fleet.async_kill(owner)
        took_ms.append(await fleet.async_wait(lambda: play.find_owner() is not None, 60_000))

    run_fleet(scenario)
    return took_ms[0]


@pytest.mark.parametrize("lost_after_ms", [2_000, 4_000, 6_000])
def test_sweep_of_removed_customers_delays_no_other_takeover(lost_after_ms: int) -> None:
    """With a hundred removed customers a slow store would keep the jobs of all others waiting."""
    alone_ms = measure_takeover(0, lost_after_ms)
    assert measure_takeover(100, lost_after_ms) <= alone_ms + SWEEP_MS


def test_listing_of_removed_customers_costs_one_daemon_one_call() -> None:
    """Calls to the store are limited for the whole fleet: a listing by each daemon would take them all."""

    async def scenario(fleet: GatewayFleet) -> None:
        play = Play(fleet)
        await play.async_start()
        await fleet.async_add_many(17)
        await fleet.clock.async_sleep(10_000)
        fleet.store.calls.clear()
        periods = 10
        await fleet.clock.async_sleep(SWEEP_MS * REMOVED_SWEEPS * periods)
        assert 1 <= fleet.store.calls["parts"] <= periods + 1

    run_fleet(scenario)
