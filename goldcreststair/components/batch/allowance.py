"""How many batch streams one upstream may run now."""

from dataclasses import dataclass
from typing import Final

from goldcreststair.clock import Clock, Millis
from goldcreststair.upstreams.models import LoadReport

START: Final = 4.0
MAX_ALLOWANCE: Final = 256.0


@dataclass(frozen=True, slots=True)
class AllowanceParameters:
    """What shapes the rise and the cut."""

    quiet_ms: int = 300
    """Time without a sign of pressure before the allowance rises."""
    raise_share: float = 0.25
    """Growth a tick, as a share of the allowance; at least one stream."""
    cut_share: float = 0.25
    """What a hint leaves of the running streams."""
    kv_headroom: float = 0.15
    """Share of KV memory kept free for online work."""
    slot_headroom: float = 0.2
    """Share of the streams at which a queue was seen that is kept free."""
    first_token_ms: int = 400
    """A batch stream's own time to first token above which the engine is held to queue."""


class AllowanceController:
    """Raises slowly, cuts at once; decides only."""

    def __init__(self, clock: Clock, parameters: AllowanceParameters) -> None:
        """Start low."""
        self._clock = clock
        self._parameters = parameters
        self._allowance = START
        self._ceiling = MAX_ALLOWANCE
        self._pressed_at: Millis | None = None
        self._sequence = -1

    @property
    def limit(self) -> int:
        """Streams that may run now."""
        return int(min(self._allowance, self._ceiling))

    def cut(self, running: int) -> None:
        """Take a yield hint; one a quiet time, so that hints of many VMs count once."""
        now = self._clock.now()
        # Every VM of a fleet hints at the same onset within milliseconds; were each to cut, one
        # burst would stop all batch work of the upstream however small the burst.
        if self._pressed_at is None or now - self._pressed_at >= self._parameters.quiet_ms:
            self._allowance = float(int(min(self._allowance, running) * self._parameters.cut_share))
        self._pressed_at = now

    def observe_first_token(self, wait_ms: int, running: int) -> None:
        """Take the time a batch stream waited for its first token."""
        if wait_ms > self._parameters.first_token_ms:
            self._lower(running * (1 - self._parameters.slot_headroom))

    def observe_load(self, report: LoadReport, running: int) -> None:
        """Take a load report; it lags, so an old one counts once only."""
        if report.sequence <= self._sequence:
            return
        self._sequence = report.sequence
        if report.waiting and report.running:
            self._ceiling = max(1.0, report.running * (1 - self._parameters.slot_headroom))
            self._lower(max(0.0, running - report.waiting))
        if report.kv_total and report.kv_used > report.kv_total * (
            1 - self._parameters.kv_headroom
        ):
            self._lower(running)

    def tick(self, running: int) -> None:
        """Raise the allowance once pressure has been gone for a while and it is being used."""
        now = self._clock.now()
        parameters = self._parameters
        if self._pressed_at is not None and now - self._pressed_at < parameters.quiet_ms:
            return
        if running + 1 >= self.limit:
            step = max(1.0, self._allowance * parameters.raise_share)
            self._allowance = min(self._allowance + step, self._ceiling)

    def _lower(self, value: float) -> None:
        self._allowance = min(self._allowance, value)
        self._pressed_at = self._clock.now()
