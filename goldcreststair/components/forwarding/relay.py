"""Joins the runs of one streamed answer by event number and passes them on whole."""

from collections.abc import Awaitable, Callable

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.forwarding.protocols import Responder
from goldcreststair.upstreams.dialect import RunHead
from goldcreststair.upstreams.events import EventSplitter

STATUS_OK = 200


class StreamRelay:
    """Takes the runs of one request one after another; implements `RunSink`."""

    def __init__(
        self,
        responder: Responder,
        clock: Clock,
        last_event: int,
        on_head: Callable[[RunHead], None],
        on_data: Callable[[], None],
    ) -> None:
        """Go on after `last_event`; the calls tell what the upstream sent."""
        self.streams = True
        self.last_event = last_event
        self.first_event_at: Millis | None = None
        self.progress_at = clock.now()
        """When the present run last sent something."""
        self.has_begun = False
        """Whether the caller has the head of a stream."""
        self.run_events = 0
        """Events of the present run."""
        self.waits_for_caller = False
        """Whether the caller's connection takes nothing more, so that nothing is read either."""
        self._responder = responder
        self._clock = clock
        self._on_head = on_head
        self._on_data = on_data
        self._splitter = EventSplitter()
        self._head: RunHead | None = None
        self._gap = False

    def begin_run(self) -> None:
        """Take the next run: what began an event of the one before is dropped."""
        self._splitter = EventSplitter()
        self._gap = False
        self.run_events = 0
        self.waits_for_caller = False
        self.progress_at = self._clock.now()

    @property
    def is_whole(self) -> bool:
        """Whether the present run's bytes end with a whole event and none is missing."""
        return not self._gap and not self._splitter.has_partial_event

    def on_head(self, head: RunHead) -> None:
        """Keep the head of the first success: the caller gets one, whichever run goes on."""
        self.progress_at = self._clock.now()
        self._on_head(head)
        if head.status == STATUS_OK and self._head is None:
            self._head = head

    def on_data(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass on the events that this piece completes."""
        self.progress_at = self._clock.now()
        self._on_data()
        passed = [event.raw for event in self._splitter.feed(chunk) if self._accept(event.number)]
        if not passed:
            return None
        if self.first_event_at is None:
            self.first_event_at = self._clock.now()
        self.begin()
        written = self._responder.write(b"".join(passed))
        return None if written is None else self._async_wait_for_caller(written)

    async def _async_wait_for_caller(self, written: Awaitable[None]) -> None:
        self.waits_for_caller = True
        try:
            await written
        finally:
            self.waits_for_caller = False
            self.progress_at = self._clock.now()

    def begin(self) -> None:
        """Send the head, once."""
        if not self.has_begun and self._head is not None:
            self.has_begun = True
            self._responder.begin(self._head)

    def _accept(self, number: int) -> bool:
        if self._gap or self._splitter.is_oversized:
            return False
        self.run_events += 1
        # Shows as words missing or doubled in a caller's text after a stream went on elsewhere: the
        # number of each event says where it belongs, whichever run brought it.
        if number != self.last_event + 1:
            self._gap = number > self.last_event + 1 or number == 0
            return False
        self.last_event = number
        return True
