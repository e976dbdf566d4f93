"""Selection of the progress that is saved."""

import pytest

from goldcreststair.clock import Millis
from goldcreststair.components.jobs.checkpoints import list_unsaved
from goldcreststair.components.jobs.const import TEXT_PART_BYTES
from goldcreststair.components.jobs.models import JobItem, JobKey, JobRecord, OpenJob
from goldcreststair.components.jobs.registry import ItemProgress, ItemState, OwnedJob
from goldcreststair.components.stream_origins.models import StreamOrigin

ORIGIN = StreamOrigin("engine", "v1")


def make_job(item: ItemProgress) -> OwnedJob:
    """Return a job of one item."""
    key = JobKey("club", "digest")
    record = JobRecord(key, "host", "/batch/", 1, 0, "object")
    opened = OpenJob(key, "me", "", 0, 1, "route")
    return OwnedJob(record, opened, [item], Millis(1_000), Millis(2_000))


@pytest.mark.parametrize(
    ("state", "last_event", "saved_event", "include_all", "saved"),
    [
        (ItemState.RUNNING, 20, 0, False, True),
        (ItemState.WAITING, 20, 0, False, True),
        # Too few new events to be worth a row, unless the job is handed over.
        (ItemState.RUNNING, 19, 0, False, False),
        (ItemState.RUNNING, 19, 0, True, True),
        # A save writes the whole answer, so a long one must have grown by a fifth.
        (ItemState.RUNNING, 1_030, 1_000, False, False),
        (ItemState.RUNNING, 1_200, 1_000, False, True),
        (ItemState.RUNNING, 1_030, 1_000, True, True),
        (ItemState.RUNNING, 1_000, 1_000, True, False),
        # Its result is being committed, or is committed already.
        (ItemState.FINISHED, 100, 0, True, False),
        (ItemState.COMMITTED, 100, 0, True, False),
    ],
)
def test_progress_worth_saving(
    state: ItemState, last_event: int, saved_event: int, include_all: bool, saved: bool
) -> None:
    item = ItemProgress(JobItem("i", "/", (), b"", 1), 0, state=state, origin=ORIGIN)
    item.last_event, item.saved_event, item.data = last_event, saved_event, [b"one", b"two"]
    found = list_unsaved(make_job(item), include_all=include_all)
    assert [(each.last_event, each.text) for each in found] == [(last_event, b"one\ntwo")] * saved
    assert all(each.origin == ORIGIN for each in found)


def test_progress_of_unknown_software_is_not_saved() -> None:
    """Guards against saved events that the next owner continues at another software version."""
    item = ItemProgress(JobItem("i", "/", (), b"", 1), 0, state=ItemState.RUNNING)
    item.last_event, item.data = 50, [b"one"]
    assert list_unsaved(make_job(item), include_all=True) == []


def test_answer_too_long_for_a_row_keeps_its_last_save() -> None:
    item = ItemProgress(JobItem("i", "/", (), b"", 1), 0, state=ItemState.RUNNING, origin=ORIGIN)
    item.last_event, item.data = 50, [b"x" * (TEXT_PART_BYTES + 1)]
    assert list_unsaved(make_job(item), include_all=True) == []
