"""Keeps the newest configuration on the blackboard."""

import asyncio
import logging
from typing import Any, Final

from result import Err

from goldcreststair.blackboard import SectionWriter
from goldcreststair.components.configuration.const import (
    CATCH_UP_MS,
    DEFAULT_POLL_MS,
    FETCH_TIMEOUT_MS,
)
from goldcreststair.components.configuration.document import decode_document
from goldcreststair.components.configuration.models import CONFIGURATION, Configuration
from goldcreststair.components.configuration.spread import Spread
from goldcreststair.components.configuration.store import (
    ConfigurationStore,
    StoredVersion,
    decode_stored,
)
from goldcreststair.components.membership.models import HEARD_VERSION, HeardVersion
from goldcreststair.components.peers.protocols import PEERS
from goldcreststair.core import ComponentKey, Core
from goldcreststair.wire.generated.configuration.ttypes import (
    ConfigurationCopy,
    FetchConfiguration,
)

_LOGGER = logging.getLogger(__name__)

NUMBER_FETCH: Final = 80
NUMBER_COPY: Final = 81


class ConfigurationFollower:
    """Takes newer versions from peers or the store, and never goes back to an older one."""

    def __init__(self, core: Core) -> None:
        """Open the section with no configuration yet."""
        self.store = ConfigurationStore(core.platform.table)
        self._core = core
        self._spread = Spread()
        self._row = b""
        self._writer: SectionWriter[Configuration] = core.blackboard.open_section(
            CONFIGURATION, Configuration()
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._catching_up: asyncio.Task[None] | None = None
        self._unsubscribe = core.blackboard.subscribe(HEARD_VERSION, self._on_heard)
        self._peers = core.find(PEERS)
        if self._peers is not None:
            self._peers.register(NUMBER_FETCH, FetchConfiguration, self._async_on_fetch)
            self._peers.register(NUMBER_COPY, ConfigurationCopy, None)

    async def async_start(self) -> None:
        """Read once and go on polling."""
        await self.async_poll()
        self._tasks.append(asyncio.create_task(self._async_poll_forever()))

    async def async_close(self) -> None:
        """Stop following."""
        self._unsubscribe()
        for task in (*self._tasks, self._catching_up):
            if task is not None:
                task.cancel()

    @property
    def version(self) -> int:
        """Return the version in force."""
        return self._spread.in_force

    def apply(self, configuration: Configuration, row: bytes = b"") -> None:
        """Put a configuration in force if it is newer; `row` is what peers that ask are given."""
        # A restored store, a peer behind or an empty answer must not undo what is in force.
        if self._spread.is_newer(configuration.version):
            self._row = row
            self._spread.advance(configuration.version)
            self._writer.write(configuration)
            _LOGGER.info("Configuration version %d in force", configuration.version)

    def take(self, stored: StoredVersion) -> None:
        """Check a stored version and put it in force if it is newer."""
        decoded = decode_document(stored.version, stored.document)
        if isinstance(decoded, Err):
            _LOGGER.error("Configuration invalid: %s", decoded.err_value.message)
            return
        self.apply(decoded.ok_value, stored.row)

    async def async_poll(self) -> None:
        """Read the store once."""
        read = await self.store.async_read()
        if isinstance(read, Err):
            _LOGGER.warning("Cannot read configuration: %s", read.err_value.message)
            return
        self.take(read.ok_value)

    async def _async_poll_forever(self) -> None:
        while True:
            await self._core.clock.async_sleep(DEFAULT_POLL_MS)
            await self.async_poll()

    def _on_heard(self, heard: HeardVersion) -> None:
        self._spread.hear(heard.version, heard.session_id)
        if self._catching_up is None or self._catching_up.done():
            self._catching_up = asyncio.create_task(self._async_catch_up())

    async def _async_catch_up(self) -> None:
        while (source := self._spread.choose()) is not None:
            before = self._spread.in_force
            if source:
                await self._async_fetch(source)
            else:
                await self.async_poll()
            if self._spread.in_force == before:
                await self._core.clock.async_sleep(CATCH_UP_MS)

    async def _async_fetch(self, session_id: str) -> None:
        if self._peers is None:
            return
        request = FetchConfiguration(self._spread.in_force)
        answered = await self._peers.async_request(session_id, request, FETCH_TIMEOUT_MS)
        if isinstance(answered, Err):
            _LOGGER.info("No configuration from %s: %s", session_id, answered.err_value.message)
        elif answered.ok_value is not None and answered.ok_value.version:
            self.take(decode_stored(answered.ok_value.version, answered.ok_value.row))

    async def _async_on_fetch(self, session_id: str, message: Any) -> Any:
        if self._spread.in_force <= message.known_version or not self._row:
            return ConfigurationCopy(0, b"")
        return ConfigurationCopy(self._spread.in_force, self._row)


CONFIGURATION_FOLLOWER = ComponentKey[ConfigurationFollower]("configuration")
