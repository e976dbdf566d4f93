"""Results wait with the steward until an owner has them."""

from typing import Any, cast

from goldcreststair.components.batch.directory import Directory
from goldcreststair.components.batch.outbox import Outbox
from goldcreststair.wire.generated.batch.ttypes import ItemResult, Reply, ReplyStatus, Verdict
from tests.helpers.virtual_time import ManualClock, run_virtual


class ScriptedDirectory:
    def __init__(self, *statuses: int) -> None:
        self.statuses = list(statuses)
        self.asked: list[str | None] = []

    async def async_ask(self, key: str, message: Any, first: str | None = None) -> Reply:
        self.asked.append(first)
        return Reply(status=self.statuses.pop(0))


def test_result_is_offered_until_acknowledged() -> None:
    """The owner of a chunk is unreachable for a while after a lot ended.

    Dropped results would run again and again; they are offered until taken, and given up only
    after two minutes, when their leases have long lapsed.
    """

    async def async_test() -> None:
        refused, ok = ReplyStatus.REFUSED, ReplyStatus.OK
        directory = ScriptedDirectory(refused, ReplyStatus.UNKNOWN, ok, refused)
        clock = ManualClock()
        outbox = Outbox(clock, cast(Directory, directory))
        outbox.givers["c"] = "vm1"
        outbox.put("c", ItemResult(4, Verdict.DONE, 200, b""))
        for held in ([4], [4], []):
            await outbox.async_send("c")
            assert outbox.list_held("c") == held
        assert directory.asked == ["vm1"] * 3
        outbox.put("c", ItemResult(5, Verdict.DONE, 200, b""))
        clock.advance(200_000)
        await outbox.async_send("c")
        assert not outbox.list_chunks()

    run_virtual(async_test())
