"""Keeps the newest configuration on the blackboard."""

import asyncio
import logging

from result import Err

from goldcreststair.blackboard import SectionWriter
from goldcreststair.components.configuration.const import DEFAULT_POLL_MS
from goldcreststair.components.configuration.document import decode_document
from goldcreststair.components.configuration.models import CONFIGURATION, Configuration
from goldcreststair.components.configuration.store import ConfigurationStore
from goldcreststair.core import ComponentKey, Core

_LOGGER = logging.getLogger(__name__)


class ConfigurationFollower:
    """Polls the store and never goes back to an older version."""

    def __init__(self, core: Core) -> None:
        """Open the section with no configuration yet."""
        self.store = ConfigurationStore(core.platform.table)
        self._core = core
        self._writer: SectionWriter[Configuration] = core.blackboard.open_section(
            CONFIGURATION, Configuration()
        )
        self._polling: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Read once and go on polling."""
        await self.async_poll()
        self._polling = asyncio.create_task(self._async_poll_forever())

    async def async_close(self) -> None:
        """Stop polling."""
        if self._polling is not None:
            self._polling.cancel()

    def apply(self, configuration: Configuration) -> None:
        """Take a configuration if it is newer than the one in force."""
        if configuration.version > self._core.blackboard.read(CONFIGURATION).version:
            self._writer.write(configuration)
            _LOGGER.info("Configuration version %d in force", configuration.version)

    async def async_poll(self) -> None:
        """Read the store once."""
        read = await self.store.async_read()
        if isinstance(read, Err):
            _LOGGER.warning("Cannot read configuration: %s", read.err_value.message)
            return
        stored = read.ok_value
        decoded = decode_document(stored.version, stored.document)
        if isinstance(decoded, Err):
            _LOGGER.error("Stored configuration invalid: %s", decoded.err_value.message)
            return
        self.apply(decoded.ok_value)

    async def _async_poll_forever(self) -> None:
        while True:
            await self._core.clock.async_sleep(DEFAULT_POLL_MS)
            await self.async_poll()


CONFIGURATION_FOLLOWER = ComponentKey[ConfigurationFollower]("configuration")
