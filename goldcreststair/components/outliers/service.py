"""Connects outlier ejection to upstreams, fleet and beacons; logs and counts its decisions."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from goldcreststair.clock import Millis
from goldcreststair.components.discovery.models import LIVE_UPSTREAMS, LiveUpstreams, UpstreamEntry
from goldcreststair.components.features.protocols import FEATURES
from goldcreststair.components.fleet.models import FLEET, Fleet
from goldcreststair.components.fleet.protocols import FLEET_LINKS
from goldcreststair.components.outliers.const import TICK_MS
from goldcreststair.components.outliers.controller import OutlierController
from goldcreststair.components.outliers.models import Outcomes, OutlierChange, OutlierState
from goldcreststair.components.placement.models import RunOutcome
from goldcreststair.features import Feature
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.wire.generated.gateway.ttypes import Beacon, UpstreamOutcomes

_LOGGER = logging.getLogger(__name__)

LOG_MESSAGES: Final = {
    OutlierState.EJECTED: "Upstream ejected",
    OutlierState.HALF_OPEN: "Upstream half open",
    OutlierState.CLOSED: "Upstream restored",
}


class OutlierService:
    """Implements `Outliers`."""

    def __init__(self, core: GatewayCore) -> None:
        """Create the service and register for beacons."""
        self._core = core
        self._features = core.get(FEATURES)
        self.controller = OutlierController(
            core.clock, core.random, core.session_id, self.is_active
        )
        self._links = core.get(FLEET_LINKS)
        self._links.add_beacon_contributor(self._contribute)
        self._links.subscribe_beacons(self._on_beacon, self.controller.peers.forget)
        core.on_process_resumed.append(lambda _: self.controller.reset_own())
        self._unsubscribe: list[Callable[[], None]] = []
        self._started = False
        self._task: asyncio.Task[None] | None = None
        """The periodic checks; None until the feature is active for a service."""

    async def async_start(self) -> None:
        """Subscribe to upstreams and fleet."""
        board = self._core.blackboard
        self._unsubscribe = [
            board.subscribe(LIVE_UPSTREAMS, self._on_upstreams),
            board.subscribe(FLEET, self._on_fleet),
        ]
        self._on_upstreams(board.read(LIVE_UPSTREAMS))
        self._on_fleet(board.read(FLEET))
        self._started = True
        self._start_checks()

    async def async_close(self) -> None:
        """Unsubscribe and stop the checks."""
        for unsubscribe in self._unsubscribe:
            unsubscribe()
        self._unsubscribe.clear()
        self._started = False
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    def is_active(self, service: str) -> bool:
        """Return whether the feature is active for a service."""
        return self._features.is_active(Feature.OUTLIER_EJECTION, service)

    def has_excluded(self) -> bool:
        """Return whether any upstream is ejected or half-open."""
        return self.controller.has_excluded()

    def is_ejected(self, upstream: str) -> bool:
        """Return whether an upstream is ejected."""
        return self.controller.is_ejected(upstream)

    def is_excluded(self, upstream: str) -> bool:
        """Return whether an upstream is ejected or half-open; batch runs are not sent there."""
        return self.controller.is_excluded(upstream)

    def may_send(self, upstream: str) -> bool:
        """Return whether this daemon may send a request to an upstream now."""
        return self.controller.may_send(upstream)

    def read_slow_ms(self, service: str) -> int | None:
        """Return the time after which a first event is late; None if unknown or inactive."""
        return self.controller.read_slow_ms(service) if self.is_active(service) else None

    def record_begin(self, upstream: str) -> None:
        """Record that an online run begins at an upstream."""
        self.controller.record_begin(upstream)

    def record_outcome(
        self,
        entry: UpstreamEntry,
        outcome: RunOutcome,
        first_ms: int | None,
        began_at: Millis | None = None,
    ) -> None:
        """Record the end of a run; `began_at` is None for a batch run."""
        if self.is_active(entry.service):
            self._start_checks()
            self.controller.record_outcome(entry, outcome, first_ms, began_at)
            self._report_changes()

    def count_ejected(self) -> int:
        """Return the number of upstreams that are ejected."""
        return self.controller.count_ejected()

    def _on_upstreams(self, live: LiveUpstreams) -> None:
        self.controller.apply_upstreams(live.by_name)

    def _on_fleet(self, fleet: Fleet) -> None:
        self.controller.apply_sessions(fleet.states)

    def _contribute(self, beacon: Beacon) -> None:
        if not self._features.is_active_anywhere(Feature.OUTLIER_EJECTION):
            return
        report = self.controller.list_report()
        beacon.outcomes = [
            UpstreamOutcomes(key, each.succeeded, each.failed) for key, each in report
        ] or None

    def _on_beacon(self, session: str, beacon: Beacon) -> None:
        reported = {
            each.upstream: Outcomes(each.succeeded, each.failed) for each in beacon.outcomes or ()
        }
        self.controller.peers.apply(session, reported)
        if reported:
            self._start_checks()

    def _start_checks(self) -> None:
        # Daemons of deployments without the feature have no additional timer.
        active = self._features.is_active_anywhere(Feature.OUTLIER_EJECTION)
        if self._task is None and self._started and active:
            self._task = asyncio.create_task(self._async_tick())

    async def _async_tick(self) -> None:
        while True:
            await self._core.clock.async_sleep(TICK_MS)
            self.controller.advance()
            self._report_changes()

    def _report_changes(self) -> None:
        for change in self.controller.take_changes():
            self._log(change)
            self._links.schedule_beacon()

    def _log(self, change: OutlierChange) -> None:
        extra: dict[str, object] = {"upstream": change.upstream}
        if change.reason is not None:
            self._core.meters.count_ejection(change.reason.value)
            extra |= {
                "reason": change.reason.value,
                "duration_ms": change.duration_ms,
                "succeeded": change.outcomes.succeeded,
                "failed": change.outcomes.failed,
                "others_share": round(change.others_share, 3),
            }
        _LOGGER.info(LOG_MESSAGES[change.state], extra=extra)
