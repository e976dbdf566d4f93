"""Table feeds: outages of the store, compacted history and calls that are never answered."""

from collections.abc import Awaitable, Callable, Sequence

from goldcreststair.clock import LoopClock
from goldcreststair.store.feed import FEED_WAIT_MS, TableFeed
from goldcreststair.store.rows import RowKey, StoredRow, Version
from standins.rows import FakeRowStore
from standins.virtual_time import run_virtual

KEY = RowKey("t", "", "k")


class Listener:
    """Records what a feed delivers."""

    def __init__(self) -> None:
        self.rows: dict[str, bytes] = {}
        self.snapshots = 0
        self.contacts: list[bool] = []

    def replace_all(self, rows: Sequence[StoredRow], version: Version) -> None:
        self.snapshots += 1
        self.rows = {row.key.key: row.value for row in rows}

    def apply_changes(self, rows: Sequence[StoredRow]) -> None:
        for row in rows:
            if row.deleted:
                self.rows.pop(row.key.key, None)
            else:
                self.rows[row.key.key] = row.value

    def record_contact(self, *, reached: bool) -> None:
        self.contacts.append(reached)


def run_feed(
    scenario: Callable[[FakeRowStore, Listener, LoopClock], Awaitable[None]],
    with_snapshot: bool = True,
) -> None:
    """Run a scenario with a feed that has finished its first read."""

    async def async_run() -> None:
        clock = LoopClock()
        store, listener = FakeRowStore(clock), Listener()
        store.put(KEY, b"0")
        feed = TableFeed(store.view(), clock, "t", listener, with_snapshot=with_snapshot)
        await feed.async_start()
        await clock.async_sleep(50)
        try:
            await scenario(store, listener, clock)
        finally:
            await feed.async_close()

    run_virtual(async_run())


def test_changes_arrive_during_a_waiting_call() -> None:
    async def scenario(store: FakeRowStore, listener: Listener, clock: LoopClock) -> None:
        assert listener.rows == {"k": b"0"}
        store.put(KEY, b"1")
        await clock.async_sleep(10)
        assert listener.rows == {"k": b"1"}
        store.drop(KEY)
        await clock.async_sleep(10)
        assert listener.rows == {}

    run_feed(scenario)


def test_changes_made_during_an_outage_arrive_soon_after_it() -> None:
    async def scenario(store: FakeRowStore, listener: Listener, clock: LoopClock) -> None:
        store.faults.down = True
        store.put(KEY, b"1")
        await clock.async_sleep(8_000)
        assert listener.contacts[-1] is False
        store.faults.down = False
        await clock.async_sleep(600)
        assert listener.rows == {"k": b"1"} and listener.contacts[-1] is True

    run_feed(scenario)


def test_all_rows_are_read_again_after_the_history_was_compacted() -> None:
    """Guards against an upstream that still gets requests after it left during a compaction.

    The feed cannot continue from its version, and rows removed meanwhile appear in no later change.
    """

    async def scenario(store: FakeRowStore, listener: Listener, clock: LoopClock) -> None:
        store.drop(KEY)
        store.put(RowKey("t", "", "new"), b"2")
        store.drop_history()
        await clock.async_sleep(FEED_WAIT_MS + 1_000)
        assert listener.rows == {"new": b"2"}

    run_feed(scenario)


def test_a_call_that_is_never_answered_is_replaced() -> None:
    async def scenario(store: FakeRowStore, listener: Listener, clock: LoopClock) -> None:
        store.faults.silent_feeds = True
        await clock.async_sleep(FEED_WAIT_MS)
        store.put(KEY, b"1")
        store.faults.silent_feeds = False
        await clock.async_sleep(4_500)
        assert listener.rows == {"k": b"1"}

    run_feed(scenario)


def test_a_feed_without_a_snapshot_delivers_only_changes() -> None:
    async def scenario(store: FakeRowStore, listener: Listener, clock: LoopClock) -> None:
        assert listener.rows == {}
        store.put(RowKey("t", "club", "job"), b"1")
        await clock.async_sleep(10)
        assert listener.rows == {"job": b"1"}

    run_feed(scenario, with_snapshot=False)


def test_catching_up_delivers_changes_whose_answer_still_waits() -> None:
    """Guards against a process that stood still and takes its last read of a table for the present."""

    async def async_run() -> None:
        clock = LoopClock()
        store, listener = FakeRowStore(clock), Listener()
        store.put(KEY, b"0")
        view = store.view()
        feed = TableFeed(view, clock, "t", listener, with_snapshot=True)
        await feed.async_start()
        await clock.async_sleep(50)
        view.held_until = clock.now() + 300
        store.put(KEY, b"1")
        await clock.async_sleep(10)
        assert listener.rows == {"k": b"0"}
        view.held_until, waiting_until = 0, view.held_until
        store.put(KEY, b"2")
        asked_at = clock.now()
        assert await feed.async_catch_up()
        assert listener.rows == {"k": b"2"} and feed.read_complete_at() == asked_at
        # The older answer arrives now, with the first change only.
        await clock.async_sleep(waiting_until - clock.now() + 10)
        assert listener.rows == {"k": b"2"} and feed.read_complete_at() >= asked_at
        store.drop(KEY)
        await clock.async_sleep(20)
        assert listener.rows == {}
        await feed.async_close()

    run_virtual(async_run())


def test_catching_up_fails_while_the_store_is_away() -> None:
    async def async_run() -> None:
        clock = LoopClock()
        store, listener = FakeRowStore(clock), Listener()
        feed = TableFeed(store.view(), clock, "t", listener, with_snapshot=True)
        assert not await feed.async_catch_up()
        await feed.async_start()
        await clock.async_sleep(50)
        store.faults.down = True
        complete_at = feed.read_complete_at()
        assert not await feed.async_catch_up()
        assert feed.read_complete_at() == complete_at
        await feed.async_close()

    run_virtual(async_run())
