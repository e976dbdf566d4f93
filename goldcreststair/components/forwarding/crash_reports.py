"""Reports what the runs of one request show about the crashes of upstreams."""

from goldcreststair.clock import Clock
from goldcreststair.components.crash_marks.guard import RequestGuard
from goldcreststair.components.crash_marks.models import LostRun
from goldcreststair.components.crash_marks.service import CrashTracker
from goldcreststair.components.discovery.models import UpstreamEntry
from goldcreststair.components.forwarding.relay import StreamRelay
from goldcreststair.components.requests.models import AdmittedRequest
from goldcreststair.helpers.crash_evidence import SOUND_MS
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure


class CrashReports:
    """Reports lost runs, and answers that are whole or have gone on for some time."""

    def __init__(
        self,
        tracker: CrashTracker,
        guard: RequestGuard,
        clock: Clock,
        admitted: AdmittedRequest,
        relay: StreamRelay,
    ) -> None:
        """Report the runs of `admitted`, whose events go through `relay`."""
        self._tracker = tracker
        self._guard = guard
        self._clock = clock
        self._admitted = admitted
        self._relay = relay

    def record_data(self) -> None:
        """Record that the current run returned an event."""
        if self._relay.run_wrote_ms > SOUND_MS:
            self._guard.record_sound(self._clock.now())

    def record_whole(self) -> None:
        """Record that the current run returned a whole answer."""
        self._guard.record_sound(self._clock.now())

    def record_failure(self, entry: UpstreamEntry, error: UpstreamError) -> None:
        """Record that a run failed."""
        lost = error.failure is UpstreamFailure.LOST and not error.status
        if not lost and error.failure is not UpstreamFailure.SILENT:
            return
        request = self._admitted.request
        run = LostRun(
            request.request_id,
            self._admitted.suspects,
            request.prompt_parts,
            self._relay.run_events,
            self._relay.run_wrote_ms,
        )
        self._tracker.report_lost_run(entry, run)
