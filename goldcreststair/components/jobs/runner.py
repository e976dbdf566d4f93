"""Runs one item at one upstream and collects its events."""

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.jobs.const import (
    EVENT_TIMEOUT_MS,
    FIRST_EVENT_TIMEOUT_MS,
    MAX_TEXT_BYTES,
    MAX_TIMEOUT_DOUBLINGS,
)
from goldcreststair.components.jobs.registry import ItemProgress
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.helpers.crash_evidence import Extent
from goldcreststair.upstreams.answers import AnswerState, EventSequence, classify_answer
from goldcreststair.upstreams.dialect import RunCall, RunHead
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.runner import RunEnd, Runner, async_run_checked

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
        self.first_event_at: Millis | None = None
        """When the run sent its first event."""
        self.timeout_factor = 1 << min(item.silent_runs, MAX_TIMEOUT_DOUBLINGS)
        self._item = item
        self._clock = clock
        self._report_head = report_head
        self._report_data = report_data
        self._sequence = EventSequence(item.last_event)
        self._text_bytes = sum(map(len, item.data))
        self._closed = False

    def close(self) -> None:
        """Ignore further data: the item may continue in another run from here."""
        self._closed = True

    @property
    def events(self) -> int:
        """Number of events of this run."""
        return self._sequence.events

    @property
    def repeated(self) -> int:
        """Events that an earlier run of the item has brought already."""
        return self._sequence.repeated

    @property
    def extent(self) -> Extent:
        """How far the answer of this run has got."""
        first_at = self.first_event_at
        return Extent(0 if first_at is None else self.last_progress_at - first_at, self.events)

    @property
    def is_broken(self) -> bool:
        """Whether nothing that follows in this run can continue the item's text."""
        return self._sequence.is_broken or self.is_oversized

    @property
    def is_oversized(self) -> bool:
        """Whether the item's text is longer than a result may be."""
        return self._text_bytes > MAX_TEXT_BYTES

    @property
    def held_bytes(self) -> int:
        """Length of the text so far, and of an event that is not complete."""
        return self._text_bytes + self._sequence.held_bytes

    def drop_partial_event(self) -> None:
        """Drop what has arrived of the next event, as the run ends here."""
        self._sequence.drop_partial_event()

    def classify(self, end: RunEnd) -> AnswerState:
        """Return whether the answer with which the run ended is whole."""
        return classify_answer(end, self._sequence)

    def on_head(self, head: RunHead) -> None:
        """Record the activity of the upstream, and report the head."""
        self.last_progress_at = self._clock.now()
        self._report_head(head)

    def on_data(self, chunk: bytes) -> None:
        """Add the events that this piece of data completes."""
        if self._closed:
            return
        before = self.events
        for event in self._sequence.feed(chunk):
            self._item.last_event = event.number
            self._item.data.append(event.data)
            self._text_bytes += len(event.data)
        if self.events == before:
            return
        # Bytes that complete no event may go on without end.
        self.last_progress_at = self._clock.now()
        if self.first_event_at is None:
            self.first_event_at = self.last_progress_at
        self._report_data()


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
    if isinstance(end, Ok) and sink.classify(end.ok_value) is AnswerState.BROKEN_OFF:
        return Err(UpstreamError("the answer was broken off", UpstreamFailure.INCOMPLETE))
    return end
