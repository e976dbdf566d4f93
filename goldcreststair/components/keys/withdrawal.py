"""Withdraws keys: immediately through the peers, then durably through the configuration."""

import asyncio
import logging
from dataclasses import dataclass
from typing import Final

from result import Err

from goldcreststair.components.configuration.controller import (
    CONFIGURATION_FOLLOWER,
    ConfigurationFollower,
)
from goldcreststair.components.configuration.errors import VersionStale
from goldcreststair.components.keys.controller import KeyController
from goldcreststair.components.membership.models import MEMBERS
from goldcreststair.components.membership.protocols import (
    SET_WITHDRAWN_KEYS,
    SharedSets,
)
from goldcreststair.core import ComponentKey, Core

_LOGGER = logging.getLogger(__name__)

DURABLE_WAIT_MS: Final = 3000
RETRY_MS: Final = 500
PENDING_CHECK_MS: Final = 5000
MAX_STALE_ATTEMPTS: Final = 5


@dataclass(frozen=True, slots=True)
class Withdrawal:
    """State of a withdrawal, which is in any case in force here and sent to the peers."""

    durable: bool
    """Whether the configuration contains it; if not, the fleet keeps retrying."""
    version: int
    """Configuration version in force on this VM."""


class WithdrawalService:
    """Adds keys to the set shared by the fleet, and retries until the configuration contains them."""

    def __init__(self, core: Core, controller: KeyController, sets: SharedSets) -> None:
        """Initialise from the components that were set up before."""
        self._core = core
        self._controller = controller
        self._sets = sets
        self._follower: ConfigurationFollower = core.get(CONFIGURATION_FOLLOWER)
        self._task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Start to retry withdrawals that are not durable yet."""
        self._task = asyncio.create_task(self._async_retry_pending())

    async def async_close(self) -> None:
        """Stop retrying."""
        if self._task is not None:
            self._task.cancel()

    async def async_withdraw(self, key_hash: str) -> Withdrawal:
        """Withdraw a key now; waits up to `DURABLE_WAIT_MS` for it to become durable."""
        self._sets.add(SET_WITHDRAWN_KEYS, key_hash)
        deadline = self._core.clock.now() + DURABLE_WAIT_MS
        durable = await self._async_write()
        while not durable and self._core.clock.now() < deadline:
            await self._core.clock.async_sleep(RETRY_MS)
            durable = await self._async_write()
        return Withdrawal(key_hash not in self._controller.not_durable, self._follower.version)

    async def _async_retry_pending(self) -> None:
        while True:
            await self._core.clock.async_sleep(PENDING_CHECK_MS)
            # The VM that received the call may be lost. The other VMs have the shared set, and the one
            # with the lowest session id completes the withdrawal; concurrent attempts are harmless.
            members = self._core.blackboard.read(MEMBERS)
            if members.own_session_id == min(members.by_session, default=""):
                await self._async_write()

    async def _async_write(self) -> bool:
        """Patch all missing keys into the configuration; returns whether none is missing."""
        for _ in range(MAX_STALE_ATTEMPTS):
            missing = sorted(self._controller.not_durable)
            if not missing:
                return True
            patch = {"withdrawn": dict.fromkeys(missing, True)}
            base = self._follower.version
            patch_id = f"withdraw-{base}-{self._core.random.getrandbits(64):016x}"
            patched = await self._follower.async_patch(base, patch_id, patch)
            if not isinstance(patched, Err):
                _LOGGER.info("%d withdrawn keys saved to the configuration", len(missing))
            elif isinstance(patched.err_value, VersionStale):
                await self._follower.async_poll()
            else:
                _LOGGER.warning("Key withdrawal not durable yet: %s", patched.err_value.message)
                return False
        return not self._controller.not_durable


WITHDRAWALS: Final = ComponentKey[WithdrawalService]("withdrawals")
