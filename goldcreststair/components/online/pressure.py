"""Measures the load of online requests at upstreams; no I/O."""

from goldcreststair.blackboard import Blackboard
from goldcreststair.clock import Clock, Millis, TimerHandle
from goldcreststair.components.online.const import PRESSURE_PERIOD_MS
from goldcreststair.components.routing.protocols import Router
from goldcreststair.online_pressure import ONLINE_PRESSURE, OnlinePressure, UpstreamPressure

ONSET_SHARE = 0.125
"""Growth of the requests in flight that is published at once, relative to the last value."""
ONSET_SLACK = 1
IDLE_FACTOR = 2.0
IDLE_SLACK_MS = 100
IDLE_DRIFT = 1.02
"""Factor by which the idle time rises a sample, so that an outdated minimum fades."""
QUEUE_LIFETIME_MS = 300


class PressureMeter:
    """Publishes `ONLINE_PRESSURE`: at once when a burst begins, otherwise throttled."""

    def __init__(self, board: Blackboard, clock: Clock, router: Router) -> None:
        """Open the blackboard section."""
        self._clock = clock
        self._router = router
        self._writer = board.open_section(ONLINE_PRESSURE, OnlinePressure())
        self._published = OnlinePressure()
        self._published_at = Millis(0)
        self._in_flight = 0
        self._timer: TimerHandle | None = None
        self._idle_ms: dict[str, float] = {}
        self._queues: dict[str, tuple[Millis, int]] = {}

    def record_first_token(self, upstream: str, waited_ms: int) -> None:
        """Record one time to first token in ms, counted from when the call was sent."""
        idle = min(self._idle_ms.get(upstream, float(waited_ms)) * IDLE_DRIFT, float(waited_ms))
        self._idle_ms[upstream] = max(1.0, idle)
        expected = idle * IDLE_FACTOR + IDLE_SLACK_MS
        self._queues[upstream] = (self._clock.now(), max(0, int(waited_ms - expected)))
        self.update()

    def update(self, in_flight: int | None = None) -> None:
        """Publish if a burst began or the published value is old, otherwise schedule it."""
        if in_flight is not None:
            self._in_flight = in_flight
        published = self._published.in_flight
        grown = self._in_flight - published >= max(ONSET_SLACK, published * ONSET_SHARE)
        if grown or self._clock.now() - self._published_at >= PRESSURE_PERIOD_MS:
            self._publish()
        elif self._timer is None:
            self._arm()

    def close(self) -> None:
        """Stop the periodic refresh."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _publish(self) -> None:
        self.close()
        now = self._clock.now()
        self._published_at = now
        self._published = OnlinePressure(self._in_flight, self._measure(now))
        self._writer.write(self._published)
        # The end of a burst may fall into the throttled time with no later request to correct
        # the value, which would block batch for good. So refresh until the section shows idle.
        if self._in_flight or self._published.by_upstream:
            self._arm()

    def _arm(self) -> None:
        self._timer = self._clock.call_later(PRESSURE_PERIOD_MS, self._publish)

    def _measure(self, now: Millis) -> dict[str, UpstreamPressure]:
        in_flight = self._router.count_in_flight()
        return {
            name: UpstreamPressure(count, self._measure_queue(name, now))
            for name, count in in_flight.items()
        }

    def _measure_queue(self, upstream: str, now: Millis) -> int:
        at, queue_ms = self._queues.get(upstream, (now, 0))
        # Queues reported by engines are not used: every request, batch included, waits for one
        # step, and a report of that is a second old. Batch was preempted by its own starts.
        return queue_ms if now - at <= QUEUE_LIFETIME_MS else 0
