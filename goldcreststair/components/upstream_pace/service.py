"""Connects the pace of upstreams to answers, beacons, log and metrics."""

import logging
from collections.abc import Callable, Mapping

from goldcreststair.components.discovery.models import LIVE_UPSTREAMS, LiveUpstreams, UpstreamEntry
from goldcreststair.components.features.protocols import FEATURES
from goldcreststair.components.fleet.protocols import FLEET_LINKS, hash_name
from goldcreststair.components.upstream_pace.const import RELAYED_AGE_MS
from goldcreststair.components.upstream_pace.controller import PaceController
from goldcreststair.components.upstream_pace.models import SharedPace
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.upstreams.dialect import RunHead, UpstreamLoad
from goldcreststair.wire.generated.gateway.ttypes import Beacon, UpstreamPace

_LOGGER = logging.getLogger(__name__)


class PaceService:
    """Implements `UpstreamPaces`."""

    def __init__(self, core: GatewayCore) -> None:
        """Create the service and register for beacons."""
        self._core = core
        self._features = core.get(FEATURES)
        self.controller = PaceController(core.clock, self._features)
        self._links = core.get(FLEET_LINKS)
        self._links.add_beacon_contributor(self._contribute)
        self._links.subscribe_beacons(self._on_beacon, lambda _: None)
        self._names: dict[int, str] = {}
        self._invalid: set[str] = set()
        """Upstreams whose invalid load header was logged."""
        self._unsubscribe: Callable[[], None] = lambda: None

    async def async_start(self) -> None:
        """Subscribe to the list of upstreams."""
        board = self._core.blackboard
        self._unsubscribe = board.subscribe(LIVE_UPSTREAMS, self._on_upstreams)
        self._on_upstreams(board.read(LIVE_UPSTREAMS))

    async def async_close(self) -> None:
        """Unsubscribe."""
        self._unsubscribe()

    def read_factor(self, upstream: str) -> float:
        """Return the factor of an upstream's times: 1.0 is usual, 2.0 takes twice as long."""
        return self.controller.read_factor(upstream)

    def read_factors(self, service: str) -> Mapping[str, float]:
        """Return the factors of a service's upstreams, without those of usual pace."""
        return self.controller.read_factors(service)

    def read_reported_factor(self, upstream: str, load: UpstreamLoad | None) -> float:
        """Return how much longer than usual work takes by the upstream's own report; at least 1."""
        return self.controller.read_reported_factor(upstream, load)

    def read_waiting(self, upstream: str) -> int:
        """Return the requests that an upstream last reported as waiting; 0 if unknown or old."""
        return self.controller.read_waiting(upstream)

    def count_slow(self) -> int:
        """Return the number of upstreams at which work takes much longer than usual."""
        return self.controller.count_slow()

    def record_head(self, name: str, head: RunHead) -> None:
        """Record the load in the head of an answer."""
        load = head.load
        if load is None:
            if head.load_text:
                self._report_invalid(name, head.load_text)
        elif not self.controller.record_load(name, load):
            self._report_invalid(name, head.load_text)
        elif load.pace_percent is not None:
            self._mark_shared(name, load.pace_percent, "answer")

    def record_events(
        self, entry: UpstreamEntry, first_ms: float | None, gap_ms: float | None
    ) -> None:
        """Record the times of a run: to its first event, and between two events."""
        self.controller.record_events(entry, first_ms, gap_ms)

    def _report_invalid(self, name: str, text: str) -> None:
        self._core.meters.count_invalid_load()
        if name not in self._invalid:
            self._invalid.add(name)
            _LOGGER.warning("Load header invalid", extra={"upstream": name, "text": text})

    def _mark_shared(self, name: str, percent: int, source: str) -> None:
        service = self.controller.find_service(name)
        if service is not None and self._features.mark_shared(service):
            extra = {"service": service, "upstream": name, "percent": percent, "source": source}
            _LOGGER.info("Upstream reports its pace", extra=extra)

    def _on_upstreams(self, live: LiveUpstreams) -> None:
        self._names = {hash_name(name): name for name in live.by_name}
        self._invalid &= live.by_name.keys()
        self.controller.apply_upstreams(live)

    def _contribute(self, beacon: Beacon) -> None:
        shared = self.controller.list_shared()
        if shared:
            beacon.upstream_paces = [
                UpstreamPace(hash_name(pace.upstream), pace.percent, pace.age_ms) for pace in shared
            ]

    def _on_beacon(self, _: str, beacon: Beacon) -> None:
        delay_ms = 0 if self._links.has_mesh() else RELAYED_AGE_MS
        for pace in beacon.upstream_paces or ():
            name = self._names.get(pace.upstream)
            if name is None:
                continue
            if self.controller.record_shared(
                SharedPace(name, pace.percent, pace.age_ms + delay_ms)
            ):
                self._mark_shared(name, pace.percent, "beacon")
            else:
                self._core.meters.count_invalid_load()
