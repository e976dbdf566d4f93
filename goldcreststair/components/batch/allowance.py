"""How many batch streams one upstream may run now."""

from dataclasses import dataclass
from typing import Final

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.batch.burst import BurstLimiter, BurstParameters
from goldcreststair.components.batch.history import CountHistory
from goldcreststair.upstreams.models import LoadReport

START: Final = 4.0
PROBE: Final = 16
"""Streams beyond the most ever reported, while no queue has been seen at the upstream."""

FULL: Final = 0.95
"""Share of the most ever running from which on an upstream may be full."""

GROWTH_MS: Final = 200
"""Time over which the growth of online work is watched."""
GROWTH_NOISE: Final = 2
"""Growth in that time that says nothing; one VM's smallest word."""


@dataclass(frozen=True, slots=True)
class AllowanceParameters:
    """What shapes the rise and the cut; the defaults are measured (docs/measurements/batch.md)."""

    quiet_ms: int = 100
    """Time without a sign of pressure before the allowance rises."""
    raise_share: float = 1.0
    """Growth a tick far below the upstream's room, as a share of the allowance."""
    fast_below: float = 0.8
    """Share of the upstream's room below which the allowance grows so fast."""
    cut_share: float = 0.4
    """What a hint leaves of the running streams."""
    cut_every_ms: int = 400
    """Shortest time between two cuts."""
    kv_headroom: float = 0.15
    """Share of KV memory kept free for online work."""
    slot_headroom: float = 0.06
    """Share of the streams at which a queue was seen that is kept free."""
    kept_share: float = 0.05
    """Share of the streams kept free for online work by cancelling."""
    ahead: float = 2.0
    """Slots kept for each online request by which there are more than a moment ago."""
    full_share: float = 0.7
    """A hint with this share of the peak running in batch means that the upstream was full."""
    untold_weight: float = 0.2
    """Weight of the newest report in what is believed to be untold."""
    report_lag_ms: int = 1000
    """Assumed age of a load report."""
    first_token_ms: int = 200
    """A batch stream's own time to first token above which the engine is held to queue."""


class AllowanceController:
    """Raises slowly, cuts at once; decides only."""

    def __init__(self, clock: Clock, parameters: AllowanceParameters) -> None:
        """Start low."""
        self._clock = clock
        self._parameters = parameters
        self._allowance = START
        self._peak = 0
        """Most streams ever reported running: what the upstream takes, once a queue was seen."""
        self._queue_seen = False
        self._untold = 0.0
        """Streams at the upstream beyond own and told ones, smoothed."""
        self._queued = False
        self._pressed_at: Millis | None = None
        self._cut_at: Millis | None = None
        self._sequence = -1
        self._past = CountHistory(parameters.report_lag_ms)
        """Own running streams."""
        self._told = 0
        self._burst = BurstLimiter(clock, BurstParameters())
        self._lately = CountHistory(GROWTH_MS)
        self._past_told = CountHistory(parameters.report_lag_ms)
        """Online requests as told."""

    @property
    def limit(self) -> int:
        """Streams up to which new ones may start."""
        return max(0, int(min(self._allowance, self._room, self._burst.bound)))

    @property
    def bound(self) -> int:
        """Streams that may go on; those above it are cancelled."""
        bound = min(self._allowance, self._burst.bound)
        if self._queue_seen:
            bound = min(bound, self._keep_free(self._parameters.kept_share) - self._online)
        return max(0, int(bound))

    @property
    def _online(self) -> float:
        # What arrives until the next word needs slots too, as many as arrived since the last ones.
        grown = max(0, self._told - self._lately.read_oldest() - GROWTH_NOISE)
        return self._told + self._untold + grown * self._parameters.ahead

    @property
    def _room(self) -> float:
        # Unbounded, the allowance would outrun reports that are a second old and fill the
        # upstream's queue, where online work then stands behind batch.
        free = self._keep_free(self._parameters.slot_headroom)
        whole = free if self._queue_seen else self._peak + PROBE
        return whole - self._online

    def _keep_free(self, share: float) -> float:
        # An upstream that takes one request at a time has no part of it to keep free.
        return max(1.0, self._peak * (1 - share))

    def _note_queue(self) -> None:
        # Shows as jobs that stand still: an upstream that ran nothing yet is slow and not full.
        self._queue_seen = self._peak > 0

    def cut(self, running: int) -> None:
        """Take a yield hint; hints that come together cut once."""
        now = self._clock.now()
        self._pressed_at = now
        if self._peak and running >= self._peak * self._parameters.full_share:
            self._queue_seen = True
        # Every VM of a fleet hints at the same onset within milliseconds; were each to cut, one
        # burst would stop all batch work of the upstream however small the burst.
        if self._cut_at is None or now - self._cut_at >= self._parameters.cut_every_ms:
            self._cut_at = now
            if self._burst.is_on:
                self._burst.press()
                return
            self._allowance = min(self._allowance, running) * self._parameters.cut_share

    def observe_online(self, told: int) -> None:
        """Take the online requests that VMs say they have at the upstream now."""
        self._told = told
        self._lately.add(self._clock.now(), told)
        self._burst.observe(told)

    def begin_burst(self) -> None:
        """Take the onset of a burst: fall to the burst's share, and rise when it is over."""
        self._burst.begin(self._peak, self._told)

    def observe_first_token(self, wait_ms: int, running: int) -> None:
        """Take the time a batch stream waited for its first token."""
        if wait_ms > self._parameters.first_token_ms:
            self._note_queue()
            self._lower(running * (1 - self._parameters.slot_headroom))

    def observe_load(self, report: LoadReport, running: int) -> None:
        """Take a load report; it lags, so an old one counts once only."""
        if report.sequence <= self._sequence:
            return
        self._sequence = report.sequence
        # The report is a lag old, so it is compared with what was told by then: taken as the
        # load of now, each burst would be seen again when it is over.
        told = self._past.read_oldest() + self._past_told.read_oldest()
        newest = self._parameters.untold_weight
        self._untold = (1 - newest) * self._untold + newest * max(0, report.running - told)
        self._learn_capacity(report, running)
        headroom = 1 - self._parameters.kv_headroom
        if report.kv_total and report.kv_used > report.kv_total * headroom:
            self._lower(running * headroom)

    def tick(self, running: int) -> None:
        """Raise the allowance once pressure has been gone for a while and it is being used."""
        now = self._clock.now()
        parameters = self._parameters
        self._past.add(now, running)
        self._past_told.add(now, self._told)
        self._lately.add(now, self._told)
        if self._pressed_at is not None and now - self._pressed_at < parameters.quiet_ms:
            return
        if running + 1 >= self.limit:
            # Fast while far below what the upstream takes, or each burst would cost seconds of
            # idle slots after it; one stream a tick near it, where the next one may queue.
            fast = self._allowance < self._room * parameters.fast_below
            step = max(1.0, self._allowance * parameters.raise_share) if fast else 1.0
            self._allowance = min(self._allowance + step, float(self._peak + PROBE))

    def _learn_capacity(self, report: LoadReport, running: int) -> None:
        self._peak = max(self._peak, report.running)
        # A request waits for one step even at an idle engine, so a report of a queue says nothing
        # alone; two in a row do, if no more than before ran meanwhile.
        queued = report.waiting > 0 and report.running >= self._peak * FULL
        if queued and self._queued:
            self._note_queue()
            self._lower(max(0.0, running - report.waiting))
        self._queued = queued

    def _lower(self, value: float) -> None:
        self._allowance = min(self._allowance, value)
        self._pressed_at = self._clock.now()
