"""The outbox sends results until an owner acknowledges them."""

from typing import Any, cast

from goldcreststair.components.batch.directory import Directory
from goldcreststair.components.batch.outbox import Outbox
from goldcreststair.wire.generated.batch.ttypes import ItemResult, Reply, ReplyStatus, Verdict
from tests.helpers.virtual_time import ManualClock, run_virtual


class ScriptedDirectory:
    def __init__(self, *statuses: int) -> None:
        self.statuses = list(statuses)
        self.targets: list[str | None] = []

    async def async_ask(self, key: str, message: Any, first: str | None = None) -> Reply:
        self.targets.append(first)
        return Reply(status=self.statuses.pop(0))


def test_result_is_sent_until_acknowledged() -> None:
    """The owner of a chunk is unreachable for a while after items ended.

    If results were dropped, their items would run again. They are sent until acknowledged and
    dropped only after two minutes, long after their leases expired.
    """

    async def async_test() -> None:
        refused, ok = ReplyStatus.REFUSED, ReplyStatus.OK
        directory = ScriptedDirectory(refused, ReplyStatus.UNKNOWN, ok, refused)
        clock = ManualClock()
        outbox = Outbox(clock, cast(Directory, directory))
        outbox.assigners["c"] = "vm1"
        outbox.put("c", ItemResult(4, Verdict.DONE, 200, b""))
        for held in ([4], [4], []):
            await outbox.async_send("c")
            assert outbox.list_indexes("c") == held
        assert directory.targets == ["vm1"] * 3
        outbox.put("c", ItemResult(5, Verdict.DONE, 200, b""))
        clock.advance(200_000)
        await outbox.async_send("c")
        assert not outbox.list_chunks()

    run_virtual(async_test())
