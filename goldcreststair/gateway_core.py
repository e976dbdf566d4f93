"""The core passed to every component of a gateway daemon."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from goldcreststair.blackboard import Blackboard
from goldcreststair.client_limits.controller import ClientBudget
from goldcreststair.clock import Clock
from goldcreststair.core import ComponentRegistry
from goldcreststair.datagrams import DatagramTransport
from goldcreststair.gateway_settings import GatewaySettings
from goldcreststair.meters import Meters
from goldcreststair.store.contact import StoreContact
from goldcreststair.store.rows import RowStore
from goldcreststair.transport import PeerTransport
from goldcreststair.upstreams.runner import Runner

if TYPE_CHECKING:
    # Imported for types only: these components import this module, which would be a cycle.
    from goldcreststair.components.catalogue.protocols import CatalogueReader
    from goldcreststair.components.discovery.protocols import UpstreamReader
    from goldcreststair.components.evacuation.protocols import EvacuationReader
    from goldcreststair.components.jobs.protocols import SubmissionReader


@dataclass(frozen=True, slots=True)
class GatewayAdapter:
    """A platform's store, and the readers of its documents."""

    store: RowStore
    catalogue_reader: CatalogueReader
    evacuation_reader: EvacuationReader
    upstream_reader: UpstreamReader
    submission_reader: SubmissionReader


@dataclass(slots=True)
class GatewayCore(ComponentRegistry):
    """The shared core of one gateway daemon."""

    settings: GatewaySettings
    clock: Clock
    random: random.Random
    blackboard: Blackboard
    adapter: GatewayAdapter
    runner: Runner
    meters: Meters
    clients: ClientBudget
    store_contact: StoreContact
    datagrams: DatagramTransport
    transport: PeerTransport
    session_id: str
    """Identifies this run of the daemon; never reused after a restart."""
    on_process_resumed: list[Callable[[int], None]] = field(default_factory=list)
    """Called after a pause of this process, with its length in ms, before any decision based on ages."""
    _components: dict[str, Any] = field(default_factory=dict)
