"""Turns keys into identities from the configuration in force and the withdrawals heard."""

import logging
from collections.abc import Callable

from result import Err, Ok, Result

from goldcreststair.components.configuration.models import CONFIGURATION, Configuration
from goldcreststair.components.keys.protocols import Identity, KeyRefused
from goldcreststair.components.membership.protocols import (
    MEMBERSHIP,
    SET_WITHDRAWN_KEYS,
    SHARED_SETS,
)
from goldcreststair.core import Core
from goldcreststair.helpers.api_keys import hash_key

_LOGGER = logging.getLogger(__name__)


class KeyController:
    """Knows the keys in force and tells watchers when theirs is withdrawn."""

    def __init__(self, core: Core) -> None:
        """Follow the configuration and the set of withdrawn keys."""
        self._board = core.blackboard
        self._membership = core.find(MEMBERSHIP)
        self._withdrawn: set[str] = set()
        self._watchers: dict[str, list[Callable[[], None]]] = {}
        self._unsubscribe = self._board.subscribe(CONFIGURATION, self._on_configuration)
        sets = core.find(SHARED_SETS)
        if sets is not None:
            sets.watch(SET_WITHDRAWN_KEYS, self._on_withdrawn)

    async def async_start(self) -> None:
        """Do nothing; the configuration drives this controller."""

    async def async_close(self) -> None:
        """Stop following."""
        self._unsubscribe()

    @property
    def not_durable(self) -> frozenset[str]:
        """Return the withdrawn keys that the configuration in force does not hold yet."""
        return frozenset(self._withdrawn - self._board.read(CONFIGURATION).withdrawn)

    def identify(self, key: str) -> Result[Identity, KeyRefused]:
        """Return whose key this is."""
        configuration = self._board.read(CONFIGURATION)
        if configuration.version == 0:
            return Err(KeyRefused("no configuration yet", temporary=True))
        # Cut off from the store and most peers, this VM would go on serving withdrawn keys.
        if self._membership is not None and self._membership.is_isolated():
            return Err(KeyRefused("cut off from the fleet", temporary=True))
        # Keys are found by their hash, so the time of the look-up tells nothing about the key.
        key_hash = hash_key(key)
        name = configuration.keys.get(key_hash)
        if name is None or key_hash in self._withdrawn:
            return Err(KeyRefused("unknown or withdrawn key"))
        return Ok(Identity(configuration.customers[name], key_hash))

    def watch(self, key_hash: str, on_withdrawn: Callable[[], None]) -> Callable[[], None]:
        """Call back once if the key is withdrawn; returns a function that ends the watch.

        A key that is gone already calls back at once, before this returns.
        """
        # Withdrawn between `identify` and here, as while the body was read: no later event would
        # tell the watcher, and its request would run to its end under a key that is gone.
        if self._is_gone(key_hash):
            on_withdrawn()
            return lambda: None
        watchers = self._watchers.setdefault(key_hash, [])
        watchers.append(on_withdrawn)

        def unwatch() -> None:
            if on_withdrawn in watchers:
                watchers.remove(on_withdrawn)
            if not watchers and self._watchers.get(key_hash) is watchers:
                del self._watchers[key_hash]

        return unwatch

    def _is_gone(self, key_hash: str) -> bool:
        known = self._board.read(CONFIGURATION).keys
        return key_hash in self._withdrawn or key_hash not in known

    def _on_withdrawn(self, key_hash: str) -> None:
        self._withdrawn.add(key_hash)
        self._stop(key_hash)

    def _on_configuration(self, configuration: Configuration) -> None:
        for key_hash in [key for key in self._watchers if key not in configuration.keys]:
            self._stop(key_hash)

    def _stop(self, key_hash: str) -> None:
        watchers = self._watchers.pop(key_hash, [])
        if watchers:
            _LOGGER.info("Key withdrawn with %d requests running", len(watchers))
        for on_withdrawn in tuple(watchers):
            on_withdrawn()
