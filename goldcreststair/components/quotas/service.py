"""Connects the quotas to the catalogue, the fleet and beacons."""

from collections.abc import Callable
from typing import Final

from goldcreststair.clock import Millis
from goldcreststair.components.catalogue.models import CATALOGUE, Catalogue, CatalogueCustomer
from goldcreststair.components.features.protocols import FEATURES
from goldcreststair.components.fleet.models import FLEET, Fleet
from goldcreststair.components.fleet.protocols import FLEET_LINKS, hash_name
from goldcreststair.components.quotas.controller import (
    DIGEST_DELAY_MS,
    AdmittedCount,
    FleetShare,
    QuotaController,
)
from goldcreststair.components.quotas.return_share import ReturnShare
from goldcreststair.core import ComponentKey
from goldcreststair.features import Feature
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.wire.generated.gateway.ttypes import Beacon, CustomerCount


class QuotaService:
    """Admits requests within each customer's rate and burst."""

    def __init__(self, core: GatewayCore) -> None:
        """Create the service and register for beacons."""
        self._core = core
        self._controller = QuotaController(core.clock, core.meters)
        self._links = core.get(FLEET_LINKS)
        self._links.add_beacon_contributor(self._contribute)
        self._links.subscribe_beacons(self._on_beacon, self._controller.forget)
        core.on_process_resumed.append(lambda _: self._controller.reset_after_pause())
        self._unsubscribe: list[Callable[[], None]] = []

    async def async_start(self) -> None:
        """Subscribe to the catalogue and the fleet."""
        board = self._core.blackboard
        self._unsubscribe = [
            board.subscribe(CATALOGUE, self._on_catalogue),
            board.subscribe(FLEET, self._on_fleet),
        ]
        self._on_catalogue(board.read(CATALOGUE))
        self._on_fleet(board.read(FLEET))

    async def async_close(self) -> None:
        """Unsubscribe."""
        for unsubscribe in self._unsubscribe:
            unsubscribe()
        self._unsubscribe.clear()

    def admit(self, customer: CatalogueCustomer) -> int | None:
        """Admit and count a request, or return the ms after which it can be admitted."""
        known_until = self._read_known_until()
        if customer.rate_per_s > 0:
            self._core.meters.observe_counter_age(self._core.clock.now() - known_until)
        retry_after_ms = self._controller.admit(customer, hash_name(customer.name), known_until)
        if retry_after_ms is None and customer.rate_per_s > 0:
            self._links.schedule_beacon()
        return retry_after_ms

    def _read_known_until(self) -> Millis:
        """Return until when all that the other daemons admitted is known here."""
        delay_ms = 0 if self._links.has_mesh() else DIGEST_DELAY_MS
        reported_at = self._links.read_all_seen_since()
        return Millis(reported_at - self._links.read_lag_ms() - delay_ms)

    def is_settling(self) -> bool:
        """Return whether this daemon has just started and does not reach most others yet."""
        return self._controller.is_settling()

    def refund(self, customer: CatalogueCustomer) -> None:
        """Undo the count of a request that was refused later and never ran."""
        self._controller.refund(hash_name(customer.name))

    def describe(self, customer: CatalogueCustomer) -> str:
        """Return the state behind a decision about a customer, for logs and refusals."""
        return self._controller.describe(hash_name(customer.name))

    def _on_catalogue(self, catalogue: Catalogue) -> None:
        customers = catalogue.customers.values()
        self._controller.apply_customers({hash_name(c.name): c for c in customers})

    def _on_fleet(self, fleet: Fleet) -> None:
        members = len(fleet.vms) - len(fleet.lost) + fleet.unlisted
        self._controller.apply_share(FleetShare(fleet.responsive, members, fleet.agreed))
        self._update_return_share(fleet)

    def _update_return_share(self, fleet: Fleet) -> None:
        """Set the share of a returning daemon from the sessions in the store."""
        returns = self._core.get(FEATURES).is_active_anywhere(Feature.FLEET_RETURN)
        if not (returns and fleet.loaded and self._controller.is_settling()):
            return
        own = fleet.vms[fleet.own_session]
        addresses = frozenset(f"{vm.address} {vm.peer_port}" for vm in fleet.vms.values())
        share = ReturnShare(f"{own.address} {own.peer_port}", addresses)
        self._controller.return_share = share

    def _contribute(self, beacon: Beacon) -> None:
        beacon.admitted = [
            CustomerCount(key, count.admitted, count.level)
            for key, count in self._controller.list_counts().items()
        ]

    def _on_beacon(self, session: str, beacon: Beacon) -> None:
        counts = {c.customer: AdmittedCount(c.admitted, c.level) for c in beacon.admitted or ()}
        has_mesh = self._links.has_mesh()
        self._controller.digest_delay_ms = 0 if has_mesh else DIGEST_DELAY_MS
        # Beacons leave out customers that have not sent for a while, a relay's first digest none.
        self._controller.apply_counts(session, counts, beacon.up_ms, complete=not has_mesh)


QUOTAS: Final = ComponentKey[QuotaService]("quotas")
