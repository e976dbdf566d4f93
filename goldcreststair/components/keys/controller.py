"""Resolves keys to identities by the current configuration and the received withdrawals."""

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
    """Resolves keys and notifies watchers when their key is withdrawn."""

    def __init__(self, core: Core) -> None:
        """Subscribe to the configuration and to the set of withdrawn keys."""
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
        """Unsubscribe from the configuration."""
        self._unsubscribe()

    @property
    def not_durable(self) -> frozenset[str]:
        """Return the hashes of withdrawn keys that the current configuration does not contain yet."""
        return frozenset(self._withdrawn - self._board.read(CONFIGURATION).withdrawn)

    def identify(self, key: str) -> Result[Identity, KeyRefused]:
        """Return the identity that a key belongs to."""
        configuration = self._board.read(CONFIGURATION)
        if configuration.version == 0:
            return Err(KeyRefused("no configuration yet", temporary=True))
        # A VM cut off from the store and most peers would keep serving withdrawn keys.
        if self._membership is not None and self._membership.is_isolated():
            return Err(KeyRefused("cut off from the fleet", temporary=True))
        # Keys are looked up by their hash, so the time of the look-up reveals nothing about the key.
        key_hash = hash_key(key)
        name = configuration.keys.get(key_hash)
        if name is None or key_hash in self._withdrawn:
            return Err(KeyRefused("unknown or withdrawn key"))
        return Ok(Identity(configuration.customers[name], key_hash))

    def watch(self, key_hash: str, on_withdrawn: Callable[[], None]) -> Callable[[], None]:
        """Call `on_withdrawn` once if the key is withdrawn; returns a function that ends the watch.

        If the key is no longer valid, `on_withdrawn` is called at once, before this returns.
        """
        # The key may have been withdrawn after `identify`, for example while the body was read. No
        # later event would notify the watcher, and its request would run to its end.
        if self._is_invalid(key_hash):
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

    def _is_invalid(self, key_hash: str) -> bool:
        known = self._board.read(CONFIGURATION).keys
        return key_hash in self._withdrawn or key_hash not in known

    def _on_withdrawn(self, key_hash: str) -> None:
        self._withdrawn.add(key_hash)
        self._notify_watchers(key_hash)

    def _on_configuration(self, configuration: Configuration) -> None:
        for key_hash in [key for key in self._watchers if key not in configuration.keys]:
            self._notify_watchers(key_hash)

    def _notify_watchers(self, key_hash: str) -> None:
        watchers = self._watchers.pop(key_hash, [])
        if watchers:
            _LOGGER.info("Key withdrawn with %d requests running", len(watchers))
        for on_withdrawn in tuple(watchers):
            on_withdrawn()
