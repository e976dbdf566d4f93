"""Follows evacuations in the operators' rows and in the beacons of other daemons."""

import logging
from collections.abc import Sequence

from goldcreststair.components.evacuation.controller import EvacuationController
from goldcreststair.components.evacuation.models import EVACUATIONS, Evacuations
from goldcreststair.components.fleet.protocols import FLEET_LINKS
from goldcreststair.components.operator_rows.service import OPERATOR_ROWS
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.store.rows import StoredRow, Version
from goldcreststair.wire.generated.gateway.ttypes import Beacon

_LOGGER = logging.getLogger(__name__)

SOURCE_STORE = "store"


class EvacuationService:
    """Publishes the evacuations on the blackboard; implements `RowListener`."""

    def __init__(self, core: GatewayCore) -> None:
        """Create the service and register for rows and beacons."""
        self._controller = EvacuationController(core.adapter.evacuation_reader)
        self._section = core.blackboard.open_section(EVACUATIONS, Evacuations())
        self._published = Evacuations()
        self._links = core.get(FLEET_LINKS)
        self._links.add_beacon_contributor(self._contribute)
        # A VM that the store refuses, or that starts during an outage, only has the reports of
        # others.
        self._links.subscribe_beacons(self._on_beacon, lambda _: None)
        core.get(OPERATOR_ROWS).add_listener(self)

    async def async_start(self) -> None:
        """Do nothing; rows and beacons arrive through the registered listeners."""

    async def async_close(self) -> None:
        """Do nothing."""

    def replace_all(self, rows: Sequence[StoredRow], version: Version) -> None:
        """Replace the evacuations by those in all rows of the operators' table."""
        self._controller.replace_all(rows, version)
        self._publish(SOURCE_STORE)

    def apply_changes(self, rows: Sequence[StoredRow]) -> None:
        """Apply changed rows."""
        self._controller.apply_changes(rows)
        self._publish(SOURCE_STORE)

    def _contribute(self, beacon: Beacon) -> None:
        current = self._controller.read()
        if current.version:
            beacon.evacuation_version = current.version
            beacon.evacuated = sorted(current.data_centres)

    def _on_beacon(self, session: str, beacon: Beacon) -> None:
        if beacon.evacuation_version is None:
            return
        reported = Evacuations(beacon.evacuation_version, frozenset(beacon.evacuated or ()))
        self._controller.apply_peer_state(reported)
        self._publish(f"daemon {session}")

    def _publish(self, source: str) -> None:
        before, after = self._published, self._controller.read()
        if before == after:
            return
        self._published = after
        extra = {"version": after.version, "source": source}
        for name in sorted(after.data_centres - before.data_centres):
            _LOGGER.info("Data centre evacuated", extra=extra | {"data_centre": name})
        for name in sorted(before.data_centres - after.data_centres):
            _LOGGER.info("Data centre no longer evacuated", extra=extra | {"data_centre": name})
        self._section.write(after)
        self._links.schedule_beacon()
