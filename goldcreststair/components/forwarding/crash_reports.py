"""Reports what the runs of one request show about the crashes of upstreams."""

from goldcreststair.clock import Clock
from goldcreststair.components.crash_marks.guard import RequestGuard
from goldcreststair.components.crash_marks.models import LostRun
from goldcreststair.components.crash_marks.service import CrashTracker
from goldcreststair.components.discovery.models import UpstreamEntry
from goldcreststair.components.forwarding.relay import StreamRelay
from goldcreststair.components.requests.models import AdmittedRequest
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure


class CrashReports:
    """Reports lost runs, and how far answers have got."""

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
        self._guard.record_progress(self._clock.now(), self._relay.run_extent)

    def record_whole(self) -> None:
        """Record that the current run returned a whole answer, or the rest of one."""
        if self._relay.run_begins_at:
            self._guard.record_progress(self._clock.now(), self._relay.run_extent.end())
        else:
            self._guard.record_whole(self._clock.now())

    def record_failure(self, entry: UpstreamEntry, error: UpstreamError) -> None:
        """Record that a run failed."""
        lost = error.failure is UpstreamFailure.LOST and not error.status
        if not lost and error.failure is not UpstreamFailure.SILENT:
            return
        request = self._admitted.request
        run = LostRun(
            request.request_id,
            self._guard.request,
            request.prompt_parts,
            self._relay.run_extent,
        )
        self._tracker.report_lost_run(entry, run)
