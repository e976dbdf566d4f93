"""What this VM's online work meets at upstreams; no I/O."""

from goldcreststair.blackboard import Blackboard
from goldcreststair.clock import Clock, Millis, TimerHandle
from goldcreststair.components.online.const import PRESSURE_PERIOD_MS
from goldcreststair.components.routing.protocols import Router
from goldcreststair.online_pressure import ONLINE_PRESSURE, OnlinePressure, UpstreamPressure

ONSET_SHARE = 0.125
"""Growth of the requests in flight that is published at once, as a share of the published."""
ONSET_SLACK = 1
IDLE_FACTOR = 2.0
IDLE_SLACK_MS = 100
IDLE_DRIFT = 1.02
"""The idle expectation rises by so much a sample, so that an outdated minimum fades."""
QUEUE_LIFETIME_MS = 300


class PressureMeter:
    """Writes `ONLINE_PRESSURE`: at once when a burst begins, otherwise throttled."""

    def __init__(self, board: Blackboard, clock: Clock, router: Router) -> None:
        """Open the section."""
        self._clock = clock
        self._router = router
        self._writer = board.open_section(ONLINE_PRESSURE, OnlinePressure())
        self._written = OnlinePressure()
        self._written_at = Millis(0)
        self._in_flight = 0
        self._timer: TimerHandle | None = None
        self._idle_ms: dict[str, float] = {}
        self._queues: dict[str, tuple[Millis, int]] = {}

    def note_first_token(self, upstream: str, waited_ms: int) -> None:
        """Take one time to first token, counted from when the call left."""
        idle = min(self._idle_ms.get(upstream, float(waited_ms)) * IDLE_DRIFT, float(waited_ms))
        self._idle_ms[upstream] = max(1.0, idle)
        expected = idle * IDLE_FACTOR + IDLE_SLACK_MS
        self._queues[upstream] = (self._clock.now(), max(0, int(waited_ms - expected)))
        self.update()

    def update(self, in_flight: int | None = None) -> None:
        """Publish if a burst began or the last word is old, else soon."""
        if in_flight is not None:
            self._in_flight = in_flight
        written = self._written.in_flight
        grown = self._in_flight - written >= max(ONSET_SLACK, written * ONSET_SHARE)
        if grown or self._clock.now() - self._written_at >= PRESSURE_PERIOD_MS:
            self._write()
        elif self._timer is None:
            self._arm()

    def close(self) -> None:
        """End the refreshing."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _write(self) -> None:
        self.close()
        now = self._clock.now()
        self._written_at = now
        self._written = OnlinePressure(self._in_flight, self._measure(now))
        self._writer.write(self._written)
        # Shows as batch held back for good: the end of a burst falls into the throttled time
        # and no later request corrects it. So the section is refreshed until it says idle.
        if self._in_flight or self._written.by_upstream:
            self._arm()

    def _arm(self) -> None:
        self._timer = self._clock.call_later(PRESSURE_PERIOD_MS, self._write)

    def _measure(self, now: Millis) -> dict[str, UpstreamPressure]:
        in_flight = self._router.count_in_flight()
        return {
            name: UpstreamPressure(count, self._measure_queue(name, now))
            for name, count in in_flight.items()
        }

    def _measure_queue(self, upstream: str, now: Millis) -> int:
        at, queue_ms = self._queues.get(upstream, (now, 0))
        # Without the reported queues: each request, a batch stream too, waits for one step, and a
        # report of that is a second old; batch yielded to its own starts.
        return queue_ms if now - at <= QUEUE_LIFETIME_MS else 0
