"""Partitions move within seconds to VMs that join."""

import asyncio

from goldcreststair.components import ledger
from goldcreststair.components.ledger.models import LEDGER_STATE
from goldcreststair.components.ledger.protocols import LEDGER
from standins.daemons import CONTROL, FakeDaemon, FakeDaemons
from tests.helpers.daemons import run_fleet

PARTITIONS = 64
LIMIT_MS = 10_000


def count_owned(daemon: FakeDaemon) -> int:
    ledger_controller = daemon.core.get(LEDGER)
    return sum(ledger_controller.get_owned(index) is not None for index in range(PARTITIONS))


def test_partitions_of_a_grown_fleet_move_within_seconds() -> None:
    """Three VMs join one that owns all partitions; about 48 of them have to move.

    Guards against an owner that releases only one partition a second, whatever its share of the
    fleet's 25 handovers a second is: the moves would take most of a minute, with refused requests
    at each of them.
    """

    async def async_test(fleet: FakeDaemons) -> None:
        fleet.setups = (*CONTROL, ledger.async_setup)
        first = await fleet.async_add()
        await fleet.async_wait(lambda: count_owned(first) == PARTITIONS, LIMIT_MS)
        daemons = [first, *await fleet.async_add_many(3)]
        await fleet.async_wait(lambda: all(8 <= count_owned(d) <= 28 for d in daemons), LIMIT_MS)
        await fleet.async_wait(lambda: sum(map(count_owned, daemons)) == PARTITIONS, LIMIT_MS)

    run_fleet(async_test)


def test_vm_is_ready_while_it_hands_over_partitions() -> None:
    """Four VMs start almost together; the first claims partitions that soon move to the others.

    Guards against a VM that owns all its partitions but is not ready until it has handed over its
    last surplus one: a new fleet would refuse callers for up to 37 s.
    """

    async def async_test(fleet: FakeDaemons) -> None:
        fleet.setups = (*CONTROL, ledger.async_setup)
        first = await fleet.async_add()
        await fleet.async_wait(lambda: count_owned(first) > PARTITIONS // 2, LIMIT_MS)
        daemons = [first, *await asyncio.gather(*(fleet.async_add() for _ in range(3)))]
        await fleet.async_wait(
            lambda: daemons[0].core.blackboard.read(LEDGER_STATE).initial_claims_done,
            LIMIT_MS // 10,
        )
        await fleet.async_wait(
            lambda: all(d.core.blackboard.read(LEDGER_STATE).initial_claims_done for d in daemons),
            LIMIT_MS,
        )

    run_fleet(async_test)
