"""Tracks which prompt prefixes upstreams probably have cached; no I/O.

Engines compute digests of prefix blocks in their own way, so their events cannot be matched to
our digests. Assumed cached is what this VM has sent there; events only remove assumptions.
"""

from collections import OrderedDict
from collections.abc import Sequence

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.routing.const import CACHE_LIFETIME_MS, MAX_CACHED_PREFIXES
from goldcreststair.upstreams.models import CacheEvent


class PrefixCacheTracker:
    """Prefixes assumed cached by upstream, least recently sent first."""

    def __init__(self, clock: Clock) -> None:
        """Create a tracker without any prefix."""
        self._clock = clock
        self._prefixes: dict[str, OrderedDict[str, Millis]] = {}
        self._sequences: dict[str, int] = {}

    def record(self, upstream: str, prefix: str) -> None:
        """Record that a prompt with this prefix was sent."""
        if not prefix:
            return
        prefixes = self._prefixes.setdefault(upstream, OrderedDict())
        prefixes[prefix] = self._clock.now()
        prefixes.move_to_end(prefix)
        while len(prefixes) > MAX_CACHED_PREFIXES:
            prefixes.popitem(last=False)

    def holds(self, upstream: str, prefix: str) -> bool:
        """Return whether an upstream probably still has a prefix cached."""
        prefixes = self._prefixes.get(upstream)
        at = prefixes.get(prefix) if prefixes else None
        return at is not None and self._clock.now() - at < CACHE_LIFETIME_MS

    def drop(self, upstream: str) -> None:
        """Discard all prefixes of an upstream."""
        self._prefixes.pop(upstream, None)

    def read_sequence(self, upstream: str) -> int:
        """Return the sequence number of the last event, to request those after it."""
        return self._sequences.get(upstream, 0)

    def apply_events(self, upstream: str, events: Sequence[CacheEvent]) -> None:
        """Apply cache events in order; a gap discards all prefixes, an eviction the oldest."""
        prefixes = self._prefixes.get(upstream, OrderedDict())
        for event in events:
            known = self._sequences.get(upstream, 0)
            self._sequences[upstream] = event.sequence
            # The missing events could be evictions, or a crash that emptied the cache. Keeping
            # the prefixes would cause long prefills at an upstream that lost its cache.
            if known and event.sequence != known + 1:
                self.drop(upstream)
                prefixes = OrderedDict()
            elif not event.stored and prefixes:
                prefixes.popitem(last=False)
