"""Adaptive limit of the batch streams that one upstream may run."""

from dataclasses import dataclass
from typing import Final

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.batch.burst import BurstLimiter, BurstParameters
from goldcreststair.components.batch.history import CountHistory
from goldcreststair.upstreams.models import LoadReport

START: Final = 4.0
PROBE: Final = 16
"""Streams allowed above the reported peak while no queue has been seen at the upstream."""

FULL: Final = 0.95
"""Share of the peak of running streams above which an upstream may be full."""

GROWTH_MS: Final = 200
"""Time over which the growth of online work is measured."""
GROWTH_NOISE: Final = 2
"""Growth in that time that is ignored; the smallest change that one VM reports."""


@dataclass(frozen=True, slots=True)
class AllowanceParameters:
    """Parameters of raising and cutting; defaults are measured (docs/measurements/batch.md)."""

    quiet_ms: int = 100
    """Time without a sign of pressure before the allowance rises."""
    raise_share: float = 1.0
    """Growth per tick far below the available slots, as a share of the allowance."""
    fast_below: float = 0.8
    """Share of the available slots below which the allowance grows at `raise_share`."""
    cut_share: float = 0.4
    """Share of the running streams that is left after a preemption hint."""
    cut_every_ms: int = 400
    """Shortest time between two cuts."""
    kv_headroom: float = 0.15
    """Share of KV memory kept free for online work."""
    slot_headroom: float = 0.06
    """Share of the streams at which a queue was seen that no new batch stream takes."""
    kept_share: float = 0.05
    """Share of the streams kept free for online work by cancelling batch streams."""
    ahead: float = 2.0
    """Slots reserved for each online request by which the load grew in `GROWTH_MS`."""
    full_share: float = 0.7
    """A hint while batch runs this share of the peak means that the upstream was full."""
    unreported_weight: float = 0.2
    """Weight of the newest load report in the estimate of unreported streams."""
    report_lag_ms: int = 1000
    """Assumed age of a load report."""
    first_token_ms: int = 200
    """Time to first token of a batch stream above which the engine is assumed to queue."""


class AllowanceController:
    """Raises the allowance gradually and cuts it at once; no I/O."""

    def __init__(self, clock: Clock, parameters: AllowanceParameters) -> None:
        """Start with an allowance of `START` streams."""
        self._clock = clock
        self._parameters = parameters
        self._allowance = START
        self._peak = 0
        """Most streams ever reported running; the capacity of the upstream once a queue was seen."""
        self._queue_seen = False
        self._unreported = 0.0
        """Streams at the upstream that are neither batch nor reported by a VM, smoothed."""
        self._queued = False
        self._pressure_at: Millis | None = None
        self._cut_at: Millis | None = None
        self._sequence = -1
        self._past_running = CountHistory(parameters.report_lag_ms)
        """Running batch streams."""
        self._reported = 0
        self._burst = BurstLimiter(clock, BurstParameters())
        self._recent_reported = CountHistory(GROWTH_MS)
        self._past_reported = CountHistory(parameters.report_lag_ms)
        """Online requests reported by VMs."""

    @property
    def limit(self) -> int:
        """Streams up to which new ones may start."""
        return max(0, int(min(self._allowance, self._available, self._burst.bound)))

    @property
    def bound(self) -> int:
        """Streams that may go on; those above it are cancelled."""
        bound = min(self._allowance, self._burst.bound)
        if self._queue_seen:
            bound = min(bound, self._keep_free(self._parameters.kept_share) - self._online)
        return max(0, int(bound))

    @property
    def _online(self) -> float:
        # Requests that arrive until the next report need slots too, about as many as arrived lately.
        growth = max(0, self._reported - self._recent_reported.read_oldest() - GROWTH_NOISE)
        return self._reported + self._unreported + growth * self._parameters.ahead

    @property
    def _available(self) -> float:
        # Without this bound the allowance would grow faster than the load reports, which are a
        # second old, and fill the upstream's queue, where online requests wait behind batch.
        free = self._keep_free(self._parameters.slot_headroom)
        total = free if self._queue_seen else self._peak + PROBE
        return total - self._online

    def _keep_free(self, share: float) -> float:
        # An upstream that runs one request at a time has no slot to spare.
        return max(1.0, self._peak * (1 - share))

    def _mark_queue_seen(self) -> None:
        # An upstream that ran nothing yet is slow, not full; with a peak of 0 jobs would stall.
        self._queue_seen = self._peak > 0

    def cut(self, running: int) -> None:
        """Apply a preemption hint; hints within `cut_every_ms` cut once."""
        now = self._clock.now()
        self._pressure_at = now
        if self._peak and running >= self._peak * self._parameters.full_share:
            self._queue_seen = True
        # All VMs of a fleet send a hint at the same onset within milliseconds. If each of them cut
        # the allowance, even a small burst would stop all batch work of the upstream.
        if self._cut_at is None or now - self._cut_at >= self._parameters.cut_every_ms:
            self._cut_at = now
            if self._burst.is_on:
                self._burst.tighten()
                return
            self._allowance = min(self._allowance, running) * self._parameters.cut_share

    def observe_online(self, reported: int) -> None:
        """Apply the sum of the online requests that VMs report at the upstream."""
        self._reported = reported
        self._recent_reported.add(self._clock.now(), reported)
        self._burst.observe(reported)

    def begin_burst(self) -> None:
        """Limit batch to the share kept in a burst until the burst is over."""
        self._burst.begin(self._peak, self._reported)

    def observe_first_token(self, wait_ms: int, running: int) -> None:
        """Apply the time in ms that a batch stream waited for its first token."""
        if wait_ms > self._parameters.first_token_ms:
            self._mark_queue_seen()
            self._lower(running * (1 - self._parameters.slot_headroom))

    def observe_load(self, report: LoadReport, running: int) -> None:
        """Apply a load report; one that was applied before is ignored."""
        if report.sequence <= self._sequence:
            return
        self._sequence = report.sequence
        # The report is `report_lag_ms` old and is compared with the counts of that time. Compared
        # with the present counts, each burst would appear again after its end.
        reported = self._past_running.read_oldest() + self._past_reported.read_oldest()
        weight = self._parameters.unreported_weight
        self._unreported = (1 - weight) * self._unreported + weight * max(
            0, report.running - reported
        )
        self._learn_capacity(report, running)
        headroom = 1 - self._parameters.kv_headroom
        if report.kv_total and report.kv_used > report.kv_total * headroom:
            self._lower(running * headroom)

    def tick(self, running: int) -> None:
        """Raise the allowance if it is used and there was no pressure for `quiet_ms`."""
        now = self._clock.now()
        parameters = self._parameters
        self._past_running.add(now, running)
        self._past_reported.add(now, self._reported)
        self._recent_reported.add(now, self._reported)
        if self._pressure_at is not None and now - self._pressure_at < parameters.quiet_ms:
            return
        if running + 1 >= self.limit:
            # Fast far below the capacity, or slots would stay idle for seconds after each burst;
            # one stream per tick near the capacity, where the next one may queue.
            fast = self._allowance < self._available * parameters.fast_below
            step = max(1.0, self._allowance * parameters.raise_share) if fast else 1.0
            self._allowance = min(self._allowance + step, float(self._peak + PROBE))

    def _learn_capacity(self, report: LoadReport, running: int) -> None:
        self._peak = max(self._peak, report.running)
        # A request waits for one step even at an idle engine, so a single report of a queue means
        # nothing; two in a row mean a queue if the running streams were near the peak both times.
        queued = report.waiting > 0 and report.running >= self._peak * FULL
        if queued and self._queued:
            self._mark_queue_seen()
            self._lower(max(0.0, running - report.waiting))
        self._queued = queued

    def _lower(self, value: float) -> None:
        self._allowance = min(self._allowance, value)
        self._pressure_at = self._clock.now()
