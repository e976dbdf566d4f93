"""The client of the platform's store against a stand-in over HTTP, with faults."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from result import Err, Ok
from users_platform.store import PlatformStore

from goldcreststair.clock import LoopClock
from goldcreststair.http_pool import ConnectionPool
from goldcreststair.store.errors import (
    ObjectMissing,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
)
from goldcreststair.store.reading import async_list_all_parts
from goldcreststair.store.rows import (
    HistoryLost,
    ObjectExists,
    RowKey,
    RowRange,
    RowsConflict,
    Transaction,
)
from standins.rows import FakeRowStore
from tests.platform_adapter.wire_store import WireStore

KEY = RowKey("jobs", "club", "a b/0")


def run_store(scenario: Callable[[PlatformStore, WireStore], Awaitable[None]]) -> None:
    """Run a scenario against a store on loopback."""

    async def async_run() -> None:
        clock = LoopClock()
        wire = WireStore(FakeRowStore(clock))
        wire.start()
        pool = ConnectionPool(clock)
        try:
            async with asyncio.timeout(20):
                await scenario(PlatformStore(wire.address, pool), wire)
        finally:
            pool.close()
            wire.stop()

    asyncio.run(async_run())


def test_rows_are_written_under_conditions_and_read_back() -> None:
    async def scenario(store: PlatformStore, wire: WireStore) -> None:
        made = await store.async_commit(
            Transaction(puts=((KEY, b"\x00v"),), conditions=((KEY, 0),))
        )
        assert isinstance(made, Ok)
        page = (await store.async_read(RowRange("jobs", "club", "a b", "a c"))).unwrap()
        assert [(row.key, row.value) for row in page.rows] == [(KEY, b"\x00v")]
        assert page.rows[0].version == made.ok_value.version
        again = await store.async_commit(Transaction(puts=((KEY, b"w"),), conditions=((KEY, 0),)))
        assert isinstance(again, Err) and isinstance(again.err_value, RowsConflict)
        assert again.err_value.rows[0].value == b"\x00v"
        assert (await store.async_list_parts("jobs")).unwrap() == (["club"], False)

    run_store(scenario)


@pytest.mark.parametrize("count", [0, 1, 999, 1_000, 1_001, 2_000])
def test_all_parts_of_a_table_are_listed(count: int) -> None:
    """Customers behind the first page of parts were not listed, so that nobody ran their jobs."""

    async def scenario(store: PlatformStore, wire: WireStore) -> None:
        names = [f"customer {number:04}" for number in range(count)]
        for name in names:
            wire.store.put(RowKey("jobs", name, "j"), b"v")
        assert (await async_list_all_parts(store, "jobs")).unwrap() == names

    run_store(scenario)


def test_a_feed_delivers_changes_and_removals_and_reports_compacted_history() -> None:
    async def scenario(store: PlatformStore, wire: WireStore) -> None:
        wire.store.put(KEY, b"1")
        page = (await store.async_follow("jobs", 0, 100)).unwrap()
        assert [row.value for row in page.rows] == [b"1"]
        waiting = asyncio.create_task(store.async_follow("jobs", page.version, 2_000))
        await asyncio.sleep(0.05)
        wire.store.drop(KEY)
        changed = (await waiting).unwrap()
        assert [row.deleted for row in changed.rows] == [True]
        nothing = (await store.async_follow("jobs", changed.version, 50)).unwrap()
        assert nothing.rows == () and nothing.version == changed.version
        wire.store.drop_history()
        lost = await store.async_follow("jobs", 0, 50)
        assert isinstance(lost, Err) and isinstance(lost.err_value, HistoryLost)

    run_store(scenario)


def test_an_object_is_not_overwritten() -> None:
    async def scenario(store: PlatformStore, wire: WireStore) -> None:
        assert (await store.async_put_object("c.j.1", b"items")).is_ok()
        again = await store.async_put_object("c.j.1", b"other")
        assert isinstance(again, Err) and isinstance(again.err_value, ObjectExists)
        assert (await store.async_get_object("c.j.1")).unwrap() == b"items"
        for _ in range(2):
            assert (await store.async_drop_object("c.j.1")).is_ok()
        gone = await store.async_get_object("c.j.1")
        assert isinstance(gone, Err) and isinstance(gone.err_value, ObjectMissing)

    run_store(scenario)


@pytest.mark.parametrize(
    ("status", "reset", "error"),
    [
        (503, False, PlatformUnavailable),
        (429, False, PlatformUnavailable),
        (0, True, PlatformOutcomeUnknown),
    ],
)
def test_a_refusal_means_no_effect_and_a_lost_answer_an_unknown_outcome(
    status: int, reset: bool, error: type[PlatformUnavailable]
) -> None:
    """Guards against a job that runs although its caller was told that it was refused.

    The store applied the transaction and its answer was lost. Only an answer proves that nothing was
    done; a broken connection proves nothing.
    """

    async def scenario(store: PlatformStore, wire: WireStore) -> None:
        wire.faults.status, wire.faults.reset = status, reset
        made = await store.async_commit(Transaction(puts=((KEY, b"v"),)))
        assert isinstance(made, Err) and isinstance(made.err_value, error)
        assert (KEY in wire.store.rows) == reset
        wire.faults.status, wire.faults.reset = 0, False
        assert isinstance(await store.async_commit(Transaction(puts=((KEY, b"v"),))), Ok)

    run_store(scenario)


def test_a_feed_call_without_an_answer_fails_soon_after_its_wait() -> None:
    async def scenario(store: PlatformStore, wire: WireStore) -> None:
        wire.faults.silent = True
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        followed = await store.async_follow("jobs", 0, 100)
        assert isinstance(followed, Err)
        assert loop.time() - started_at < 2

    run_store(scenario)


def test_a_store_that_refuses_connections_is_unavailable() -> None:
    async def scenario(store: PlatformStore, wire: WireStore) -> None:
        wire.stop()
        made = await store.async_commit(Transaction(puts=((KEY, b"v"),)))
        assert isinstance(made, Err) and isinstance(made.err_value, PlatformUnavailable)

    run_store(scenario)
