"""Runs one item at one upstream and keeps what it brought."""

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.jobs.book import ItemProgress
from goldcreststair.components.jobs.const import FIRST_MS, GAP_MS, MAX_PATIENCE_DOUBLINGS
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.upstreams.dialect import RunCall, RunHead
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.events import EventSplitter
from goldcreststair.upstreams.runner import RunEnd, Runner

STATUS_OK = 200
WATCH_MS = 200


class ItemSink:
    """Collects the events of one run; implements `RunSink`."""

    def __init__(
        self,
        item: ItemProgress,
        clock: Clock,
        on_head: Callable[[RunHead], None],
        on_data: Callable[[], None],
    ) -> None:
        """Go on after the item's last event."""
        self.wants_chunks = True
        self.progress_at = clock.now()
        self.events = 0
        self.patience = 1 << min(item.silent, MAX_PATIENCE_DOUBLINGS)
        self._item = item
        self._clock = clock
        self._on_head = on_head
        self._on_data = on_data
        self._splitter = EventSplitter()
        self._gap = False
        self._closed = False

    def close(self) -> None:
        """Take nothing more: the item may go on in another run from here."""
        self._closed = True

    @property
    def is_whole(self) -> bool:
        """Whether the bytes end with a whole event and none is missing."""
        return not self._gap and not self._splitter.has_partial_event

    def on_head(self, head: RunHead) -> None:
        """Note a sign of life."""
        self.progress_at = self._clock.now()
        self._on_head(head)

    def on_data(self, chunk: bytes) -> None:
        """Keep the events that this piece completes."""
        if self._closed:
            return
        self.progress_at = self._clock.now()
        self._on_data()
        for event in self._splitter.feed(chunk):
            self.events += 1
            # A text with an event twice or left out is no result: each has its number.
            if self._gap or event.number != self._item.last_event + 1:
                self._gap = self._gap or event.number > self._item.last_event + 1
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
    """Run an item; cancelling closes the connection and keeps what came."""
    run = asyncio.ensure_future(runner.async_run(address, call, sink))
    looked_at = counted_from = clock.now()
    try:
        while True:
            done, _ = await asyncio.wait({run}, timeout=WATCH_MS / MS_PER_SECOND)
            if done:
                return _judge(run.result(), sink)
            now = clock.now()
            # Kept from reading, this process sees silence where there is none.
            if now - looked_at > 2 * WATCH_MS:
                counted_from = now
            looked_at = now
            if _is_silent(sink, now, counted_from):
                return Err(UpstreamError("upstream fell silent", UpstreamFailure.SILENT))
    finally:
        run.cancel()


def _is_silent(sink: ItemSink, now: Millis, counted_from: Millis) -> bool:
    patience_ms = (GAP_MS if sink.events else FIRST_MS) * sink.patience
    return now - max(sink.progress_at, counted_from) > patience_ms


def _judge(end: Result[RunEnd, UpstreamError], sink: ItemSink) -> Result[RunEnd, UpstreamError]:
    if isinstance(end, Ok) and end.ok_value.head.status == STATUS_OK and not sink.is_whole:
        return Err(UpstreamError("events are missing", UpstreamFailure.INCOMPLETE))
    return end
