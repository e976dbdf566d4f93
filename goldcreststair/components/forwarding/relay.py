"""Joins the runs of one streamed answer by event number into a single stream for the caller."""

from collections.abc import Awaitable, Callable

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.forwarding.protocols import Responder
from goldcreststair.helpers.crash_evidence import Extent
from goldcreststair.upstreams.answers import (
    STATUS_OK,
    AnswerState,
    EventSequence,
    classify_answer,
)
from goldcreststair.upstreams.dialect import RunHead, UpstreamLoad
from goldcreststair.upstreams.runner import RunEnd


class StreamRelay:
    """Receives the consecutive runs of one request and relays their events; implements `RunSink`."""

    def __init__(
        self,
        responder: Responder,
        clock: Clock,
        last_event: int,
        on_head: Callable[[RunHead], None],
        on_data: Callable[[], None],
        on_begin: Callable[[], None],
    ) -> None:
        """Continue after event `last_event`; the callbacks report what the upstream sent.

        `on_begin` is called before the caller gets the head of the stream.
        """
        self.wants_chunks = True
        self.first_event_at: Millis | None = None
        self.progress_at = clock.now()
        """When the current run last sent its head or an event."""
        self.head_at: Millis | None = None
        """When the current run sent the head of its answer."""
        self.has_begun = False
        """Whether the head of the stream was sent to the caller."""
        self.run_first_at: Millis | None = None
        """When the current run sent its first event."""
        self.run_begins_at = last_event
        """Number of the event after which the current run began."""
        self.run_load: UpstreamLoad | None = None
        """Load in the head of the current run."""
        self.run_gap_ms: float | None = None
        """Mean time between the events of the current run; None if too few or delayed by the caller."""
        self.waits_for_caller = False
        """Whether the caller's connection is congested, so that the upstream is not read either."""
        self._responder = responder
        self._clock = clock
        self._on_head = on_head
        self._on_data = on_data
        self._on_begin = on_begin
        self._events = EventSequence(last_event)
        self._head: RunHead | None = None
        self._delayed = False
        """Whether the caller has delayed the current run."""

    def begin_run(self) -> None:
        """Prepare for the next run; an incomplete event of the previous run is dropped."""
        self._events = EventSequence(self.last_event)
        self.run_begins_at = self.last_event
        if not self.has_begun:
            self._head = None
        self.run_first_at = self.run_gap_ms = self.run_load = self.head_at = None
        self._delayed = False
        self.waits_for_caller = False
        self.progress_at = self._clock.now()

    @property
    def last_event(self) -> int:
        """Number of the last event that was relayed, or that the caller had before."""
        return self._events.last_event

    @property
    def run_events(self) -> int:
        """Number of events of the current run."""
        return self._events.events

    @property
    def run_extent(self) -> Extent:
        """How far the answer of the current run has got."""
        wrote_ms = 0 if self.run_first_at is None else self.progress_at - self.run_first_at
        return Extent(wrote_ms, self.run_events)

    @property
    def is_broken(self) -> bool:
        """Whether nothing that follows in the current run can continue the answer."""
        return self._events.is_broken

    @property
    def held_bytes(self) -> int:
        """Length of what has arrived of the next event."""
        return self._events.held_bytes

    def drop_partial_event(self) -> None:
        """Drop what has arrived of the next event, as the run ends here."""
        self._events.drop_partial_event()

    def classify(self, end: RunEnd) -> AnswerState:
        """Return whether the answer with which the current run ended is whole."""
        events = self._events if self.wants_chunks else None
        return classify_answer(end, events, has_begun=self.has_begun)

    def on_head(self, head: RunHead) -> None:
        """Keep the head of the run that sends the first event: the caller gets one head."""
        self.progress_at = self.head_at = self._clock.now()
        self.run_load = head.load
        self._on_head(head)
        if head.status == STATUS_OK and self._head is None:
            self._head = head

    def on_data(self, chunk: bytes) -> Awaitable[None] | None:
        """Relay the events that this chunk completes."""
        before = self.run_events
        accepted = [event.raw for event in self._events.feed(chunk)]
        if self.run_events == before:
            return None
        # Bytes that complete no event may go on without end.
        self.progress_at = self._clock.now()
        self._on_data()
        if not accepted:
            return None
        if self.first_event_at is None:
            self.first_event_at = self._clock.now()
        self._measure_gap()
        self.begin()
        written = self._responder.write(b"".join(accepted))
        return None if written is None else self._async_wait_for_caller(written)

    def _measure_gap(self) -> None:
        if self.run_first_at is None:
            self.run_first_at = self.progress_at
        elif self._delayed:
            self.run_gap_ms = None
        elif self.run_events > 1:
            self.run_gap_ms = (self.progress_at - self.run_first_at) / (self.run_events - 1)

    async def _async_wait_for_caller(self, written: Awaitable[None]) -> None:
        self.waits_for_caller = self._delayed = True
        try:
            await written
        finally:
            self.waits_for_caller = False
            self.progress_at = self._clock.now()

    def begin(self) -> None:
        """Send the head to the caller, once."""
        if not self.has_begun and self._head is not None:
            self.has_begun = True
            self._on_begin()
            self._responder.begin(self._head)
