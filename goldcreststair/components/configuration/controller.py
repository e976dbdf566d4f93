"""Follows the versions of the configuration and keeps the newest on the blackboard."""

import asyncio
import logging
from collections import deque
from collections.abc import Sequence
from typing import Any, Final

import orjson
from result import Err, Ok, Result

from goldcreststair.blackboard import SectionWriter
from goldcreststair.components.configuration.const import (
    CATCH_UP_INTERVAL_MS,
    DEFAULT_POLL_MS,
    FETCH_TIMEOUT_MS,
    MAX_PATCHES,
)
from goldcreststair.components.configuration.decoding_cache import DecodingCache
from goldcreststair.components.configuration.document import decode_document
from goldcreststair.components.configuration.errors import ConfigurationError
from goldcreststair.components.configuration.models import CONFIGURATION, Configuration
from goldcreststair.components.configuration.store import (
    AppliedPatch,
    ConfigurationStore,
    HistoryEntry,
    StoredVersion,
    apply_entry,
    decode_stored,
)
from goldcreststair.components.configuration.version_tracker import VersionTracker
from goldcreststair.components.membership.models import PEER_VERSION, PeerVersion
from goldcreststair.components.peers.protocols import PEERS
from goldcreststair.core import ComponentKey, Core
from goldcreststair.wire.generated.configuration.ttypes import (
    ConfigurationCopy,
    ConfigurationPatch,
    FetchConfiguration,
)

_LOGGER = logging.getLogger(__name__)

NUMBER_FETCH: Final = 80
NUMBER_COPY: Final = 81


class ConfigurationFollower:
    """Applies newer versions from peers or the store, and never an older one."""

    def __init__(self, core: Core) -> None:
        """Open the blackboard section, with an empty configuration of version 0."""
        self.store = ConfigurationStore(core.platform.table)
        self._core = core
        self._version_tracker = VersionTracker()
        self._decoding_cache = DecodingCache()
        self._stored: StoredVersion | None = None
        self._recent_patches: deque[HistoryEntry] = deque(maxlen=MAX_PATCHES)
        self._writer: SectionWriter[Configuration] = core.blackboard.open_section(
            CONFIGURATION, Configuration()
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._catching_up: asyncio.Task[None] | None = None
        self._unsubscribe = core.blackboard.subscribe(PEER_VERSION, self._on_newer_version)
        self._peers = core.find(PEERS)
        if self._peers is not None:
            self._peers.register(NUMBER_FETCH, FetchConfiguration, self._async_on_fetch)
            self._peers.register(NUMBER_COPY, ConfigurationCopy, None)

    async def async_start(self) -> None:
        """Read the store once, then poll it regularly."""
        await self.async_poll()
        self._tasks.append(asyncio.create_task(self._async_poll_forever()))

    async def async_close(self) -> None:
        """Unsubscribe and cancel all tasks."""
        self._unsubscribe()
        for task in (*self._tasks, self._catching_up):
            if task is not None:
                task.cancel()

    @property
    def version(self) -> int:
        """Return the version in force on this VM; 0 if there is none yet."""
        return self._version_tracker.in_force

    def apply(self, configuration: Configuration) -> None:
        """Publish a configuration if it is newer than the one in force."""
        # A restored store, an outdated peer or an empty answer must not revert the configuration.
        if self._version_tracker.is_newer(configuration.version):
            self._version_tracker.advance(configuration.version)
            self._writer.write(configuration)
            _LOGGER.info("Configuration version %d in force", configuration.version)

    async def async_patch(
        self, base_version: int, patch_id: str, patch: Any
    ) -> Result[AppliedPatch, ConfigurationError]:
        """Patch the stored version and apply the result on this VM."""
        patched = await self.store.async_patch(base_version, patch_id, patch)
        if isinstance(patched, Ok):
            # The history row's patch is applied, as a patch sent again with the same id may differ
            # from the one that took effect.
            await self.async_poll()
            self._apply_stored(patched.ok_value.current)
        return patched

    async def async_poll(self) -> None:
        """Read the store once: only newer patches, so that an unchanged version costs little."""
        if self._stored is not None:
            entries = await self.store.async_read_history(self.version, MAX_PATCHES)
            if isinstance(entries, Err):
                _LOGGER.warning("Could not read the configuration: %s", entries.err_value.message)
                return
            if not entries.ok_value or self._apply_patches(entries.ok_value):
                return
        read = await self.store.async_read()
        if isinstance(read, Err):
            _LOGGER.warning("Could not read the configuration: %s", read.err_value.message)
            return
        self._apply_stored(read.ok_value)

    def _apply_stored(self, stored: StoredVersion) -> bool:
        """Apply a whole version if it is valid and newer; returns whether it was."""
        if not self._version_tracker.is_newer(stored.version):
            return False
        decoded = decode_document(stored.version, stored.document, self._decoding_cache)
        if isinstance(decoded, Err):
            _LOGGER.error("Configuration invalid: %s", decoded.err_value.message)
            return False
        self._stored = stored
        self.apply(decoded.ok_value)
        return True

    def _apply_patches(self, entries: Sequence[HistoryEntry]) -> bool:
        """Apply patches that follow the version in force; returns whether there were any."""
        stored, applied = self._stored, []
        for entry in entries:
            # A patch is valid only for the version before it; after a gap the whole row is read.
            if stored is not None and entry.version == stored.version + 1:
                stored = apply_entry(stored, entry)
                applied.append(entry)
        if not applied or stored is None or not self._apply_stored(stored):
            return False
        self._recent_patches.extend(applied)
        return True

    async def _async_poll_forever(self) -> None:
        while True:
            await self._core.clock.async_sleep(DEFAULT_POLL_MS)
            await self.async_poll()

    def _on_newer_version(self, newer: PeerVersion) -> None:
        self._version_tracker.record_offer(newer.version, newer.session_id)
        if self._catching_up is None or self._catching_up.done():
            self._catching_up = asyncio.create_task(self._async_catch_up())

    async def _async_catch_up(self) -> None:
        while (source := self._version_tracker.choose_source()) is not None:
            before = self._version_tracker.in_force
            if source:
                await self._async_fetch(source)
            else:
                await self.async_poll()
            if self._version_tracker.in_force == before:
                await self._core.clock.async_sleep(CATCH_UP_INTERVAL_MS)

    async def _async_fetch(self, session_id: str) -> None:
        if self._peers is None:
            return
        request = FetchConfiguration(self._version_tracker.in_force)
        answered = await self._peers.async_request(session_id, request, FETCH_TIMEOUT_MS)
        if isinstance(answered, Err):
            _LOGGER.info(
                "Could not fetch the configuration from %s: %s",
                session_id,
                answered.err_value.message,
            )
        elif answered.ok_value is not None:
            self._apply_copy(answered.ok_value)

    def _apply_copy(self, copy: Any) -> None:
        if copy.row:
            self._apply_stored(decode_stored(copy.version, copy.row))
        self._apply_patches(
            [
                HistoryEntry(patch.version, patch.patch_id, orjson.loads(patch.patch))
                for patch in copy.patches or ()
            ]
        )

    async def _async_on_fetch(self, session_id: str, message: Any) -> Any:
        known: int = message.known_version
        if self._stored is None or self._stored.version <= known:
            return ConfigurationCopy(self.version)
        # Whole documents at every change would exceed all other control traffic.
        entries = [entry for entry in self._recent_patches if entry.version > known]
        if not known or not entries or entries[0].version != known + 1:
            return ConfigurationCopy(self._stored.version, self._stored.encode())
        patches = [
            ConfigurationPatch(entry.version, entry.patch_id, orjson.dumps(entry.patch))
            for entry in entries
        ]
        return ConfigurationCopy(self._stored.version, None, patches)


CONFIGURATION_FOLLOWER = ComponentKey[ConfigurationFollower]("configuration")
