"""Decides whether an upstream's answer is whole, and whether a caller may get it.

Everything that passes an answer on asks here.
"""

from enum import StrEnum
from typing import Final

from goldcreststair.helpers.refusals import PROMISE_STATUSES
from goldcreststair.upstreams.dialect import RunHead
from goldcreststair.upstreams.events import EventSplitter, StreamEvent
from goldcreststair.upstreams.runner import RunEnd

STATUS_OK: Final = 200
STATUS_FAILED: Final = 500


class AnswerState(StrEnum):
    """What a run that ended with its answer has brought."""

    WHOLE = "whole"
    BROKEN_OFF = "broken_off"
    """A part of the answer is missing or unreadable, whatever its framing says."""
    FAILED = "failed"
    """The upstream reports a failure of its own, or one that cannot continue what was begun."""


class EventSequence:
    """Selects the events of one run that continue an answer."""

    def __init__(self, last_event: int) -> None:
        """Continue after event `last_event`, 0 for the start."""
        self.last_event = last_event
        """Number of the last event of the answer, whichever run sent it."""
        self.events = 0
        """Number of complete events of this run."""
        self.repeated = 0
        """Events of this run that an earlier run had sent already."""
        self._resumed = last_event > 0
        self._splitter = EventSplitter()
        self._last_number = 0
        self._has_gap = False

    @property
    def is_broken(self) -> bool:
        """Whether nothing that follows in this run can continue the answer."""
        return self._has_gap or self._splitter.is_oversized

    def drop_partial_event(self) -> None:
        """Drop what has arrived of the next event, as the run ends here."""
        self._splitter.drop_partial_event()

    @property
    def held_bytes(self) -> int:
        """Length of what has arrived of the next event."""
        return self._splitter.held_bytes

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that this chunk completes and that continue the answer."""
        if self.is_broken:
            return []
        return [event for event in self._splitter.feed(chunk) if self._accept(event.number)]

    def is_whole(self, *, ended_by_close: bool) -> bool:
        """Return whether the run may end here; `ended_by_close` as in `RunEnd`."""
        if self.is_broken or self._splitter.has_partial_event:
            return False
        # An upstream that stops right behind its head ends a response without a length as a whole one
        # ends. A resumed run may have nothing left to send.
        return bool(self.events) or self._resumed or not ended_by_close

    def _accept(self, number: int) -> bool:
        if self._has_gap:
            return False
        self.events += 1
        # The number of each event gives its position, whichever run sent it. Without this check words
        # would be missing or doubled in the caller's text after a stream is resumed elsewhere.
        if number <= self._last_number or number > self.last_event + 1:
            self._has_gap = True
            return False
        self._last_number = number
        if number <= self.last_event:
            self.repeated += 1
            return False
        self.last_event = number
        return True


def classify_answer(
    end: RunEnd, events: EventSequence | None, *, has_begun: bool = False
) -> AnswerState:
    """Return whether the answer of a run is whole.

    `events` holds the events of a streamed answer, None for any other; `has_begun` tells whether the
    caller has the head of the answer already, so that no other status can follow.
    """
    status = end.head.status
    if status >= STATUS_FAILED or status in PROMISE_STATUSES:
        return AnswerState.FAILED
    if has_begun and status != STATUS_OK:
        return AnswerState.FAILED
    if status == STATUS_OK and events is not None:
        whole = events.is_whole(ended_by_close=end.ended_by_close)
        return AnswerState.WHOLE if whole else AnswerState.BROKEN_OFF
    return AnswerState.WHOLE


def may_pass_on(head: RunHead) -> bool:
    """Return whether a caller may get an upstream's failure as it is.

    Some statuses promise that the request has not run. A run that ended with its answer may have happened: an
    upstream that has not run a request says so, and that is no answer (`UpstreamFailure.REFUSED`).
    """
    return head.status not in PROMISE_STATUSES
