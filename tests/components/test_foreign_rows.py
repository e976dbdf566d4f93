"""Rows of other writers in the tables that daemons share stop neither requests nor jobs."""

from typing import Final

import pytest

from goldcreststair.components.crash_marks.const import TABLE as TABLE_VERDICTS
from goldcreststair.components.fleet.const import TABLE_HEARTBEATS, TABLE_SESSIONS
from goldcreststair.components.jobs.const import (
    TABLE_ENDS,
    TABLE_JOBS,
    TABLE_OPEN,
    TABLE_ORDER,
    TABLE_PROGRESS,
    TABLE_RESULTS,
)
from goldcreststair.components.stream_origins.const import TABLE_SOFTWARE
from goldcreststair.store.rows import RowKey
from standins.gateways import CATALOGUE_ROW, GatewayFleet
from standins.run_engines import make_text
from tests.helpers.gateways import CUSTOMER, async_read, async_send, async_submit, run_fleet

TABLES: Final = (
    CATALOGUE_ROW.table,
    TABLE_SESSIONS,
    TABLE_HEARTBEATS,
    TABLE_JOBS,
    TABLE_OPEN,
    TABLE_RESULTS,
    TABLE_PROGRESS,
    TABLE_ENDS,
    TABLE_ORDER,
    TABLE_SOFTWARE,
    TABLE_VERDICTS,
)
GARBAGE: Final = (b"", b"\xff\x00{", b"[]", b"{}", b'{"at_ms": "x", "version": -1}', b"\x18\x01a")
NAMES: Final = ("", "zz", "a/b", f"{CUSTOMER}/x", "61616161", "~\x7f")


def put_garbage(fleet: GatewayFleet, table: str, parts: tuple[str, ...] = ("", "zz")) -> None:
    """Write rows of every kind under names of every kind."""
    for row in GARBAGE:
        for part in parts:
            for name in NAMES:
                fleet.store.put(RowKey(table, part, f"{name}{GARBAGE.index(row)}"), row)


@pytest.mark.parametrize("table", TABLES)
@pytest.mark.parametrize("before_start", [False, True], ids=["running", "at the start"])
def test_requests_and_jobs_go_on_beside_rows_of_other_writers(
    table: str, before_start: bool
) -> None:
    """Guards against a row that stops the feed or the task which reads it, at all daemons at once."""

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(3)
        if before_start:
            put_garbage(fleet, table)
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(2_000)
        if not before_start:
            assert (await async_submit(fleet, first, "early", 4)).accepted
            put_garbage(fleet, table)
        await fleet.clock.async_sleep(3_000)
        (third,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(2_000)
        for member in (first, second, third):
            assert (await async_send(fleet, member, "/stream/a")).whole
            assert (await async_submit(fleet, member, f"j{member.address}", 3)).accepted
        await fleet.async_kill(first)
        await fleet.clock.async_sleep(12_000)
        for member in (first, second, third):
            page = await async_read(third, f"j{member.address}")
            texts = {result.item_id: result.text for result in page.results}
            names = [f"j{member.address}-{number}" for number in range(3)]
            assert texts == {name: make_text(name, 20) for name in names}

    run_fleet(scenario)


@pytest.mark.parametrize("table", [TABLE_JOBS, TABLE_OPEN])
@pytest.mark.parametrize("part", [CUSTOMER, "aa"])
def test_jobs_are_taken_over_beside_unreadable_rows(table: str, part: str) -> None:
    """Guards against a row that hides the open jobs of its customer, or of all customers behind it."""

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(3)
        fleet.engines.events_by_request = {f"early-{number}": 150 for number in range(4)}
        first, second, third = await fleet.async_add_many(3)
        await fleet.clock.async_sleep(1_000)
        assert (await async_submit(fleet, first, "early", 4)).accepted
        put_garbage(fleet, table, (part,))
        fleet.write_catalogue(2, customers=({"name": "aa"},), keys={})
        await fleet.async_kill(first)
        await fleet.clock.async_sleep(18_000)
        for member in (second, third):
            page = await async_read(member, "early")
            texts = {result.item_id: result.text for result in page.results}
            assert texts == {f"early-{n}": make_text(f"early-{n}", 150) for n in range(4)}

    run_fleet(scenario)
