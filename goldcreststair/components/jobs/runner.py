"""Runs one item at one upstream and collects its events."""

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.jobs.const import (
    EVENT_TIMEOUT_MS,
    FIRST_EVENT_TIMEOUT_MS,
    MAX_TIMEOUT_DOUBLINGS,
)
from goldcreststair.components.jobs.registry import ItemProgress
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.upstreams.dialect import RunCall, RunHead
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.events import EventSplitter
from goldcreststair.upstreams.runner import RunEnd, Runner, async_run_checked

STATUS_OK = 200
CHECK_INTERVAL_MS = 200


class ItemSink:
    """Collects the events of one run; implements `RunSink`."""

    def __init__(
        self,
        item: ItemProgress,
        clock: Clock,
        report_head: Callable[[RunHead], None],
        report_data: Callable[[], None],
    ) -> None:
        """Continue after the item's last event; callbacks report heads and data."""
        self.wants_chunks = True
        self.last_progress_at = clock.now()
        self.events = 0
        self.first_event_at: Millis | None = None
        """When the run sent its first event."""
        self.repeated = 0
        """Events that an earlier run of the item has brought already."""
        self.timeout_factor = 1 << min(item.silent_runs, MAX_TIMEOUT_DOUBLINGS)
        self._item = item
        self._clock = clock
        self._report_head = report_head
        self._report_data = report_data
        self._splitter = EventSplitter()
        self._has_gap = False
        self._closed = False

    def close(self) -> None:
        """Ignore further data: the item may continue in another run from here."""
        self._closed = True

    @property
    def is_complete(self) -> bool:
        """Whether the data ends with a complete event and no event is missing."""
        return not self._has_gap and not self._splitter.has_partial_event

    def on_head(self, head: RunHead) -> None:
        """Record the activity of the upstream, and report the head."""
        self.last_progress_at = self._clock.now()
        self._report_head(head)

    def on_data(self, chunk: bytes) -> None:
        """Add the events that this piece of data completes."""
        if self._closed:
            return
        self.last_progress_at = self._clock.now()
        self._report_data()
        for event in self._splitter.feed(chunk):
            self.events += 1
            if self.first_event_at is None:
                self.first_event_at = self._clock.now()
            # Events are numbered; a duplicate or missing one would corrupt the item's text.
            if self._has_gap or event.number != self._item.last_event + 1:
                self._has_gap = self._has_gap or event.number > self._item.last_event + 1
                self.repeated += event.number <= self._item.last_event
                continue
            self._item.last_event = event.number
            self._item.data.append(event.data)


async def async_run_item(
    runner: Runner,
    address: str,
    call: RunCall,
    sink: ItemSink,
    clock: Clock,
) -> Result[RunEnd, UpstreamError]:
    """Run an item; cancellation closes the connection and keeps the received events."""
    run = asyncio.ensure_future(async_run_checked(runner, address, call, sink))
    checked_at = counted_from = clock.now()
    try:
        while True:
            done, _ = await asyncio.wait({run}, timeout=CHECK_INTERVAL_MS / MS_PER_SECOND)
            if done:
                return _check_events(run.result(), sink)
            now = clock.now()
            # If this process was paused, it read nothing: that is not silence of the upstream.
            if now - checked_at > 2 * CHECK_INTERVAL_MS:
                counted_from = now
            checked_at = now
            if _is_silent(sink, now, counted_from):
                return Err(UpstreamError("upstream fell silent", UpstreamFailure.SILENT))
    finally:
        run.cancel()


def _is_silent(sink: ItemSink, now: Millis, counted_from: Millis) -> bool:
    timeout_ms = (EVENT_TIMEOUT_MS if sink.events else FIRST_EVENT_TIMEOUT_MS) * sink.timeout_factor
    return now - max(sink.last_progress_at, counted_from) > timeout_ms


def _check_events(
    end: Result[RunEnd, UpstreamError], sink: ItemSink
) -> Result[RunEnd, UpstreamError]:
    if isinstance(end, Ok) and end.ok_value.head.status == STATUS_OK and not sink.is_complete:
        return Err(UpstreamError("events are missing", UpstreamFailure.INCOMPLETE))
    return end
