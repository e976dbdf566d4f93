"""Builds, starts and stops one gateway daemon: the core and its components in order."""

import logging
import random
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Final

from goldcreststair.blackboard import Blackboard
from goldcreststair.client_limits.controller import ClientBudget
from goldcreststair.client_limits.models import compute_limits
from goldcreststair.clock import Clock
from goldcreststair.components import (
    catalogue,
    crash_marks,
    discovery,
    entry,
    evacuation,
    features,
    fleet,
    forwarding,
    jobs,
    metrics,
    operator_rows,
    outliers,
    placement,
    quotas,
    reader_buffers,
    stream_origins,
    upstream_pace,
    waiting,
)
from goldcreststair.components.entry.service import ENTRY
from goldcreststair.components.fleet.protocols import FLEET_LINKS
from goldcreststair.core import Component
from goldcreststair.datagrams import UdpTransport
from goldcreststair.gateway_core import GatewayAdapter, GatewayCore
from goldcreststair.gateway_settings import GatewaySettings
from goldcreststair.meters import Meters
from goldcreststair.statistics import create_statistics
from goldcreststair.store.contact import StoreContact
from goldcreststair.store.metered import MeteredStore
from goldcreststair.transport import TcpTransport
from goldcreststair.upstreams.runner import Runner

_LOGGER = logging.getLogger(__name__)

Setup = Callable[[GatewayCore], Awaitable[Component]]

GATEWAY_COMPONENTS: Final[tuple[Setup, ...]] = (
    features.async_setup,
    fleet.async_setup,
    entry.async_setup,
    operator_rows.async_setup,
    evacuation.async_setup,
    catalogue.async_setup,
    discovery.async_setup,
    stream_origins.async_setup,
    quotas.async_setup,
    upstream_pace.async_setup,
    outliers.async_setup,
    placement.async_setup,
    waiting.async_setup,
    crash_marks.async_setup,
    jobs.async_setup,
    reader_buffers.async_setup,
    forwarding.async_setup,
    metrics.async_setup,
)
"""Set up and started in this order, closed in reverse; each may use those before it."""


def create_gateway_core(
    settings: GatewaySettings, clock: Clock, adapter: GatewayAdapter, runner: Runner
) -> GatewayCore:
    """Return a core that uses the real network."""
    meters = Meters(create_statistics(settings.statsd_address))
    contact = StoreContact(clock)
    clients = ClientBudget(
        clock, compute_limits(settings.memory_mb, settings.max_descriptors), meters
    )
    return GatewayCore(
        settings=settings,
        clock=clock,
        random=random.Random(settings.seed or secrets.randbits(64)),
        blackboard=Blackboard(),
        adapter=replace(adapter, store=MeteredStore(adapter.store, meters, contact)),
        runner=runner,
        meters=meters,
        clients=clients,
        store_contact=contact,
        datagrams=UdpTransport(),
        transport=TcpTransport(clients),
        session_id=secrets.token_hex(8),
    )


class Gateway:
    """One running gateway daemon; the platform's adapter adds the servers for callers."""

    def __init__(self, core: GatewayCore) -> None:
        """Create a daemon on `core`; nothing is started yet."""
        self.core = core
        self._components: list[Component] = []
        self._leave_requested = False
        self._started = False

    async def async_start(self) -> None:
        """Set up and start every component."""
        for setup in GATEWAY_COMPONENTS:
            self._components.append(await setup(self.core))
        for component in self._components:
            await component.async_start()
        self._started = True
        settings = self.core.settings
        extra = {
            "session": self.core.session_id,
            "address": settings.address,
            "data_centre": settings.data_centre,
        }
        _LOGGER.info("Started", extra=extra)
        if self._leave_requested:
            self.leave()

    def leave(self) -> None:
        """Begin a graceful shutdown; further calls have no effect, so they cut no request."""
        self._leave_requested = True
        # A signal during the start is handled once all components run, so that all of them are closed.
        if self._started:
            self.core.get(ENTRY).leave()

    async def async_wait(self) -> None:
        """Return once the daemon has finished leaving."""
        await self.core.get(ENTRY).async_wait()

    async def async_close(self) -> None:
        """Remove this daemon from the fleet and close every component in reverse order."""
        await self.core.get(FLEET_LINKS).async_leave()
        for component in reversed(self._components):
            await component.async_close()
        self._components.clear()
        _LOGGER.info("Stopped", extra={"session": self.core.session_id})
