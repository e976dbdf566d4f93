"""Builds, starts and stops one daemon: the core, its components in order, and the HTTP server."""

import asyncio
import logging
import random
import secrets
import signal
from collections.abc import Awaitable, Callable
from typing import Final

from tornado.netutil import bind_sockets

from goldcreststair.blackboard import Blackboard
from goldcreststair.client_limits.controller import ClientBudget
from goldcreststair.client_limits.models import compute_limits
from goldcreststair.client_limits.reports import StatisticsReporter
from goldcreststair.clock import Clock, LoopClock
from goldcreststair.components import (
    batch,
    caller_api,
    claims,
    configuration,
    explain,
    keys,
    ledger,
    limits,
    listing,
    membership,
    online,
    operator_api,
    orders,
    peers,
    quarantine,
    routing,
    service_level,
    shutdown,
    steering,
)
from goldcreststair.components.shutdown.models import SHUTDOWN_SERVICE, LeaveReason
from goldcreststair.core import Component, Core
from goldcreststair.http_server import DaemonServer
from goldcreststair.journal import Journal
from goldcreststair.response_budget import compute_response_bytes
from goldcreststair.settings import Settings
from goldcreststair.statistics import create_statistics
from goldcreststair.store.http import create_platform
from goldcreststair.transport import TcpTransport
from goldcreststair.upstreams.http import create_upstream_clients

_LOGGER = logging.getLogger(__name__)

Setup = Callable[[Core], Awaitable[Component]]

COMPONENTS: Final[tuple[Setup, ...]] = (
    peers.async_setup,
    membership.async_setup,
    configuration.async_setup,
    keys.async_setup,
    listing.async_setup,
    ledger.async_setup,
    claims.async_setup,
    limits.async_setup,
    service_level.async_setup,
    quarantine.async_setup,
    routing.async_setup,
    online.async_setup,
    batch.async_setup,
    orders.async_setup,
    explain.async_setup,
    caller_api.async_setup,
    steering.async_setup,
    operator_api.async_setup,
    shutdown.async_setup,
)
"""Set up and started in this order, closed in reverse; each may use those before it."""


def create_core(settings: Settings, clock: Clock) -> Core:
    """Return a core that uses the real platform and upstreams."""
    seed = settings.seed or secrets.randbits(64)
    statistics = create_statistics(settings.statsd_address)
    clients = ClientBudget(
        clock, compute_limits(settings.memory_mb), StatisticsReporter(statistics)
    )
    return Core(
        settings=settings,
        clock=clock,
        random=random.Random(seed),
        blackboard=Blackboard(),
        journal=Journal(clock),
        statistics=statistics,
        platform=create_platform(settings.platform_url),
        upstreams=create_upstream_clients(compute_response_bytes(settings.memory_mb)),
        clients=clients,
        transport=TcpTransport(clients),
        session_id=secrets.token_hex(8),
    )


class Daemon:
    """One running daemon."""

    def __init__(self, core: Core) -> None:
        """Create a daemon on `core`; nothing is started yet."""
        self._core = core
        self._components: list[Component] = []
        self._server: DaemonServer | None = None
        self._leave_requested = False

    async def async_start(self) -> None:
        """Bind the port, set up and start every component, then serve."""
        core = self._core
        sockets = bind_sockets(core.settings.http_port, core.settings.address)
        core.http_port = sockets[0].getsockname()[1]
        for setup in COMPONENTS:
            self._components.append(await setup(core))
        for component in self._components:
            await component.async_start()
        self._server = DaemonServer(core)
        self._server.start(sockets)
        address = f"{core.settings.address}:{core.http_port}"
        _LOGGER.info("Serving", extra={"listening": address, "session": core.session_id})
        if self._leave_requested:
            self.leave()

    def leave(self) -> None:
        """Begin a graceful shutdown; further calls have no effect, so they cut no request."""
        self._leave_requested = True
        # A signal during the start is handled once all components run, so that all of them are closed.
        if self._server is None:
            return
        self._core.get(SHUTDOWN_SERVICE).begin(LeaveReason.SIGNAL)

    async def async_wait(self) -> None:
        """Return once the daemon has left the fleet, for whatever reason."""
        await self._core.get(SHUTDOWN_SERVICE).async_wait()

    async def async_close(self) -> None:
        """Close the server, then every component in reverse."""
        if self._server is not None:
            await self._server.async_close()
            self._server = None
        for component in reversed(self._components):
            await component.async_close()
        self._components.clear()


async def async_run(settings: Settings) -> None:
    """Run a daemon until it has left the fleet; SIGTERM and SIGINT make it leave."""
    daemon = Daemon(create_core(settings, LoopClock()))
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, daemon.leave)
    await daemon.async_start()
    await daemon.async_wait()
    _LOGGER.info("Stopping")
    await daemon.async_close()
