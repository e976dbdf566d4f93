"""What every component of a gateway daemon is given."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from goldcreststair.blackboard import Blackboard
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
    # The components import this module while they are imported.
    from goldcreststair.components.catalogue.protocols import CatalogueReader
    from goldcreststair.components.discovery.protocols import UpstreamReader
    from goldcreststair.components.evacuation.protocols import EvacuationReader
    from goldcreststair.components.jobs.protocols import SubmissionReader


@dataclass(frozen=True, slots=True)
class GatewayAdapter:
    """What a platform brings: its store, and how its documents read."""

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
    store_contact: StoreContact
    datagrams: DatagramTransport
    transport: PeerTransport
    session_id: str
    """Names this run of the daemon, never used again after a restart."""
    on_process_resumed: list[Callable[[int], None]] = field(default_factory=list)
    """Called with the ms that this process stood still, before it decides anything by age."""
    _components: dict[str, Any] = field(default_factory=dict)
