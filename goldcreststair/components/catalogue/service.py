"""Follows the catalogue's row, and peers where the store does not answer."""

import asyncio
import logging
from collections.abc import Sequence

from result import Err

from goldcreststair.clock import Millis
from goldcreststair.components.catalogue.controller import CatalogueController
from goldcreststair.components.catalogue.models import CATALOGUE, Catalogue
from goldcreststair.components.fleet.const import (
    FETCH_RETRY_MS,
    FETCH_TIMEOUT_MS,
    STORE_HEAD_START_MS,
)
from goldcreststair.components.fleet.peer_requests import PeerRequestKind
from goldcreststair.components.fleet.protocols import FLEET_LINKS
from goldcreststair.components.operator_rows.service import OPERATOR_ROWS
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.store.rows import RowRange, StoredRow, Version
from goldcreststair.wire.codec import decode_struct, encode_struct
from goldcreststair.wire.generated.gateway.ttypes import Beacon, CatalogueAsk, CatalogueDocument

_LOGGER = logging.getLogger(__name__)


class CatalogueService:
    """Implements `CatalogueFollower`."""

    def __init__(self, core: GatewayCore) -> None:
        """Start with no version in force."""
        self._core = core
        reader = core.adapter.catalogue_reader
        section = core.blackboard.open_section(CATALOGUE, Catalogue())
        self._row = reader.row
        self._controller = CatalogueController(reader, section)
        self._links = core.get(FLEET_LINKS)
        self._links.add_beacon_contributor(self._contribute)
        self._links.subscribe_beacons(self._on_beacon, lambda _: None)
        core.get(OPERATOR_ROWS).add_listener(self)
        self._fetching: asyncio.Task[None] | None = None
        self._fetched_at = Millis(-FETCH_RETRY_MS)

    async def async_start(self) -> None:
        """Serve peers."""
        self._links.register_request_handler(PeerRequestKind.CATALOGUE, self._async_answer)

    async def async_close(self) -> None:
        """Stop."""
        if self._fetching is not None:
            self._fetching.cancel()
            await asyncio.gather(self._fetching, return_exceptions=True)

    def read_document(self) -> tuple[int, bytes]:
        """Return the version in force and its document."""
        return self._controller.read_document()

    def apply_document(self, document: bytes, source: str) -> bool:
        """Put a document in force if it is newer; returns whether it was."""
        taken = self._controller.apply_document(document, source)
        if taken:
            self._links.schedule_beacon()
        return taken

    def replace_all(self, rows: Sequence[StoredRow], version: Version) -> None:
        """Take the newest version from the store's table."""
        self.apply_changes(rows)

    def apply_changes(self, rows: Sequence[StoredRow]) -> None:
        """Take versions as the store brings them."""
        for row in rows:
            if row.key == self._row and not row.deleted:
                self.apply_document(row.value, "store")

    def _contribute(self, beacon: Beacon) -> None:
        beacon.catalogue_version = self._controller.read_document()[0]

    def _on_beacon(self, _: str, beacon: Beacon) -> None:
        version = self._controller.read_document()[0]
        now = self._core.clock.now()
        idle = self._fetching is None or self._fetching.done()
        if beacon.catalogue_version > version and idle and now >= self._fetched_at + FETCH_RETRY_MS:
            self._fetched_at = now
            self._fetching = asyncio.create_task(self._async_fetch(beacon.session, version))

    async def _async_fetch(self, session: str, version: int) -> None:
        """Get a newer version from the store if it answers, else from the peer that has it."""
        await self._core.clock.async_sleep(STORE_HEAD_START_MS)
        if self._controller.read_document()[0] > version:
            return
        # A feed that went silent looks the same as a store that turns this VM away: one read on
        # a new connection tells them apart, and brings the version where the store answers.
        read = await self._core.adapter.store.async_read(RowRange(self._row.table))
        if not isinstance(read, Err):
            self.apply_changes(read.ok_value.rows)
        if self._controller.read_document()[0] > version:
            return
        document = await self._async_ask(session, version)
        if document:
            self.apply_document(document, f"daemon {session}")

    async def _async_ask(self, session: str, version: int) -> bytes:
        question = encode_struct(CatalogueAsk(version))
        asked = await self._links.async_request(
            session, PeerRequestKind.CATALOGUE, question, FETCH_TIMEOUT_MS
        )
        if isinstance(asked, Err):
            _LOGGER.warning("No catalogue from a peer: %s", asked.err_value.message)
            return b""
        answer = decode_struct(CatalogueDocument, asked.ok_value)
        return b"" if isinstance(answer, Err) else answer.ok_value.document

    async def _async_answer(self, question: bytes) -> bytes:
        asked = decode_struct(CatalogueAsk, question)
        version, document = self._controller.read_document()
        if isinstance(asked, Err) or version <= asked.ok_value.version:
            document = b""
        return encode_struct(CatalogueDocument(version, document))
