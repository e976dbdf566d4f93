"""Reports what the runs of one request show about the crashes of upstreams."""

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.crash_marks.const import SOUND_MS
from goldcreststair.components.crash_marks.models import LostRun
from goldcreststair.components.crash_marks.service import CrashTracker
from goldcreststair.components.discovery.models import UpstreamEntry
from goldcreststair.components.forwarding.relay import StreamRelay
from goldcreststair.components.requests.models import AdmittedRequest
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure


class CrashReports:
    """Reports lost runs, and answers that are whole or have gone on for some time."""

    def __init__(
        self, tracker: CrashTracker, clock: Clock, admitted: AdmittedRequest, relay: StreamRelay
    ) -> None:
        """Report the runs of `admitted`, whose events go through `relay`."""
        self._tracker = tracker
        self._clock = clock
        self._admitted = admitted
        self._relay = relay
        self._entry: UpstreamEntry | None = None
        self._began_at = clock.now()
        self._answered = False
        """Whether the current run has shown that the request crashes no upstream."""

    def begin_run(self, entry: UpstreamEntry) -> None:
        """Record that a run begins."""
        self._entry, self._began_at, self._answered = entry, self._clock.now(), False

    def record_data(self) -> None:
        """Record that the current run returned data."""
        began_at = self._relay.run_first_at
        if self._answered or began_at is None:
            return
        if self._clock.now() - began_at > SOUND_MS:
            self._report_answer(began_at)

    def record_whole(self) -> None:
        """Record that the current run returned a whole answer."""
        if not self._answered:
            self._report_answer(self._relay.run_first_at or self._began_at)

    def record_failure(self, entry: UpstreamEntry, error: UpstreamError) -> None:
        """Record that a run failed."""
        lost = error.failure is UpstreamFailure.LOST and not error.status
        if not lost and error.failure is not UpstreamFailure.SILENT:
            return
        request, events = self._admitted.request, self._relay.run_events
        run = LostRun(request.request_id, self._admitted.suspects, request.prompt_parts, events)
        self._tracker.report_lost_run(entry, run)

    def _report_answer(self, began_at: Millis) -> None:
        self._answered = True
        if self._entry is not None:
            self._tracker.report_answer(self._entry, self._admitted.suspects, began_at)
