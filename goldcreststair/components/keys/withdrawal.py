"""Withdraws keys: at once through peers, then durably through the configuration."""

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
CHECK_MS: Final = 5000
MAX_STALE: Final = 5


@dataclass(frozen=True, slots=True)
class Withdrawal:
    """What a withdrawal has reached; it is in force here and passed on in any case."""

    durable: bool
    """Whether the configuration holds it; if not, the fleet goes on trying."""
    version: int
    """The configuration version in force here."""


class WithdrawalService:
    """Adds a key to the shared set, and to the configuration until it is there."""

    def __init__(self, core: Core, controller: KeyController, sets: SharedSets) -> None:
        """Use the components set up before."""
        self._core = core
        self._controller = controller
        self._sets = sets
        self._follower: ConfigurationFollower = core.get(CONFIGURATION_FOLLOWER)
        self._task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Follow up what is not durable yet."""
        self._task = asyncio.create_task(self._async_follow_up())

    async def async_close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()

    async def async_withdraw(self, key_hash: str) -> Withdrawal:
        """Withdraw a key now; waits a little for it to become durable."""
        self._sets.add(SET_WITHDRAWN_KEYS, key_hash)
        deadline = self._core.clock.now() + DURABLE_WAIT_MS
        durable = await self._async_write()
        while not durable and self._core.clock.now() < deadline:
            await self._core.clock.async_sleep(RETRY_MS)
            durable = await self._async_write()
        return Withdrawal(key_hash not in self._controller.not_durable, self._follower.version)

    async def _async_follow_up(self) -> None:
        while True:
            await self._core.clock.async_sleep(CHECK_MS)
            # The VM that took the call may be lost: the set has reached the others, and the
            # first of them by session id finishes it. Two that try do no harm.
            members = self._core.blackboard.read(MEMBERS)
            if members.own_session_id == min(members.by_session, default=""):
                await self._async_write()

    async def _async_write(self) -> bool:
        """Patch all that is missing into the configuration; returns whether none is missing."""
        for _ in range(MAX_STALE):
            missing = sorted(self._controller.not_durable)
            if not missing:
                return True
            patch = {"withdrawn": dict.fromkeys(missing, True)}
            base = self._follower.version
            patch_id = f"withdraw-{base}-{self._core.random.getrandbits(64):016x}"
            patched = await self._follower.async_patch(base, patch_id, patch)
            if not isinstance(patched, Err):
                _LOGGER.info("%d withdrawn keys made durable", len(missing))
            elif isinstance(patched.err_value, VersionStale):
                await self._follower.async_poll()
            else:
                _LOGGER.warning("Withdrawal not durable yet: %s", patched.err_value.message)
                return False
        return not self._controller.not_durable


WITHDRAWALS: Final = ComponentKey[WithdrawalService]("withdrawals")
