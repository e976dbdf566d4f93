"""Connects evacuations to the operators' rows and to other daemons."""

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
    """Writes the section of evacuations; implements `RowListener`."""

    def __init__(self, core: GatewayCore) -> None:
        """Know of no evacuation."""
        self._controller = EvacuationController(core.adapter.evacuation_reader)
        self._section = core.blackboard.open_section(EVACUATIONS, Evacuations())
        self._published = Evacuations()
        self._links = core.get(FLEET_LINKS)
        self._links.add_beacon_contributor(self._contribute)
        # A VM that the store turns away, or that starts meanwhile, has only the word of others.
        self._links.subscribe_beacons(self._on_beacon, lambda _: None)
        core.get(OPERATOR_ROWS).add_listener(self)

    async def async_start(self) -> None:
        """Do nothing; rows and beacons come by themselves."""

    async def async_close(self) -> None:
        """Do nothing."""

    def replace_all(self, rows: Sequence[StoredRow], version: Version) -> None:
        """Take every row of the operators' table."""
        self._controller.replace_all(rows, version)
        self._publish(SOURCE_STORE)

    def apply_changes(self, rows: Sequence[StoredRow]) -> None:
        """Take rows that changed."""
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
        told = Evacuations(beacon.evacuation_version, frozenset(beacon.evacuated or ()))
        self._controller.take_word(told)
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
            _LOGGER.info("Evacuation taken back", extra=extra | {"data_centre": name})
        self._section.write(after)
        self._links.schedule_beacon()
