"""Updates the gauges, measures pauses of the event loop and serves the metrics."""

import asyncio
import logging
from typing import Final

from tornado.web import Application, RequestHandler

from goldcreststair.client_limits.http import EndpointServer
from goldcreststair.components.catalogue.models import CATALOGUE
from goldcreststair.components.discovery.models import LIVE_UPSTREAMS
from goldcreststair.components.entry.service import ENTRY
from goldcreststair.components.evacuation.models import EVACUATIONS
from goldcreststair.components.fleet.models import FLEET, OWN_STATE, VmState
from goldcreststair.components.fleet.protocols import FLEET_LINKS
from goldcreststair.components.jobs.protocols import JOBS
from goldcreststair.components.outliers.protocols import OUTLIERS
from goldcreststair.components.placement.service import PLACEMENT
from goldcreststair.components.reader_buffers.protocols import READER_BUFFERS
from goldcreststair.components.upstream_pace.protocols import UPSTREAM_PACE
from goldcreststair.components.waiting.protocols import WAITING
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.meters import CONTENT_TYPE

_LOGGER = logging.getLogger(__name__)

PERIOD_MS: Final = 1_000
"""Period of the event loop check; the metrics are scraped every few seconds."""
LONG_PAUSE_MS: Final = 250
"""Event loop pause that is logged: callers count this much between events as late."""
PATH: Final = "/metrics"


class MetricsHandler(RequestHandler):
    """Serves the metrics endpoint."""

    def initialize(self, service: "MetricsService") -> None:
        """Store the service."""
        self.service = service

    def get(self) -> None:
        """Return all series with current gauges."""
        self.service.update()
        self.set_header("Content-Type", CONTENT_TYPE)
        self.finish(self.service.core.meters.render())


class MetricsService:
    """Updates gauges from the blackboard and watches the event loop."""

    def __init__(self, core: GatewayCore) -> None:
        """Store the core; nothing runs yet."""
        self.core = core
        self._server: EndpointServer | None = None
        self._pause_task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Start watching the event loop, and serve the metrics if a port is set."""
        settings = self.core.settings
        if settings.metrics_port:
            application = Application([(PATH, MetricsHandler, {"service": self})])
            self._server = EndpointServer(application, self.core.clients, "metrics")
            self._server.start(settings.address, settings.metrics_port)
        self._pause_task = asyncio.create_task(self._async_measure_pauses())

    async def async_close(self) -> None:
        """Stop the server and the event loop watch."""
        if self._server is not None:
            self._server.close()
        if self._pause_task is not None:
            self._pause_task.cancel()
            await asyncio.gather(self._pause_task, return_exceptions=True)

    def update(self) -> None:
        """Set all gauges to their current values."""
        board, meters = self.core.blackboard, self.core.meters
        fleet, jobs = board.read(FLEET), self.core.get(JOBS)
        controller = self.core.get(PLACEMENT).controller
        runs = controller.runs.list_own().values()
        gauges = {
            "catalogue_version": board.read(CATALOGUE).version,
            "daemons_known": len(fleet.vms),
            "daemons_heard": fleet.reachable,
            "upstreams": len(board.read(LIVE_UPSTREAMS).by_name),
            "upstreams_down": len(controller.upstreams.list_down()),
            "upstreams_cold": len(controller.upstreams.list_cold()),
            "upstreams_slow": self.core.get(UPSTREAM_PACE).count_slow(),
            "upstreams_ejected": self.core.get(OUTLIERS).count_ejected(),
            "data_centres_evacuated": len(board.read(EVACUATIONS).data_centres),
            "runs_online": sum(run.online for run in runs),
            "runs_batch": sum(run.batch for run in runs),
            "jobs_owned": jobs.count_owned(),
            "job_body_bytes": jobs.count_body_bytes(),
            "items_waiting": jobs.count_waiting(),
            "requests_waiting": self.core.get(WAITING).count_waiting(),
            "client_bytes": self.core.clients.count_bytes(),
            "client_connections": self.core.clients.count_connections(),
            "buffered_bytes": self.core.get(READER_BUFFERS).count_bytes(),
            "readers_slow": self.core.get(READER_BUFFERS).count_slow(),
            "admission_share": self.core.get(ENTRY).opening.share,
            "ready": board.read(OWN_STATE).state is VmState.READY,
            "isolated": self.core.get(FLEET_LINKS).is_isolated(),
        }
        for name, value in gauges.items():
            meters.set_gauge(name, float(value))

    async def _async_measure_pauses(self) -> None:
        clock = self.core.clock
        while True:
            due_at = clock.now() + PERIOD_MS
            await clock.async_sleep(PERIOD_MS)
            late_ms = max(0, clock.now() - due_at)
            self.core.meters.observe_pause(late_ms)
            if late_ms > LONG_PAUSE_MS:
                _LOGGER.warning("Loop paused", extra={"late_ms": late_ms})
