"""Which prompt prefixes upstreams probably hold in their caches; no I/O.

Engines digest prefix blocks in their own way, so their events cannot be matched to our digests.
What is believed cached is what this VM sent there; events only take belief away.
"""

from collections import OrderedDict
from collections.abc import Sequence

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.routing.const import BELIEF_LIFETIME_MS, MAX_BELIEFS
from goldcreststair.upstreams.models import CacheEvent


class CacheBeliefs:
    """Prefixes by upstream, least recently sent first."""

    def __init__(self, clock: Clock) -> None:
        """Start believing nothing."""
        self._clock = clock
        self._prefixes: dict[str, OrderedDict[str, Millis]] = {}
        self._sequences: dict[str, int] = {}

    def record(self, upstream: str, prefix: str) -> None:
        """Note that a prompt with this prefix was sent."""
        if not prefix:
            return
        prefixes = self._prefixes.setdefault(upstream, OrderedDict())
        prefixes[prefix] = self._clock.now()
        prefixes.move_to_end(prefix)
        while len(prefixes) > MAX_BELIEFS:
            prefixes.popitem(last=False)

    def holds(self, upstream: str, prefix: str) -> bool:
        """Return whether an upstream probably still holds a prefix."""
        prefixes = self._prefixes.get(upstream)
        at = prefixes.get(prefix) if prefixes else None
        return at is not None and self._clock.now() - at < BELIEF_LIFETIME_MS

    def drop(self, upstream: str) -> None:
        """Believe nothing more of an upstream."""
        self._prefixes.pop(upstream, None)

    def read_sequence(self, upstream: str) -> int:
        """Return the last event's number, to ask for those after it."""
        return self._sequences.get(upstream, 0)

    def take_events(self, upstream: str, events: Sequence[CacheEvent]) -> None:
        """Take cache events in order; a gap drops all belief, an eviction the oldest."""
        prefixes = self._prefixes.get(upstream, OrderedDict())
        for event in events:
            known = self._sequences.get(upstream, 0)
            self._sequences[upstream] = event.sequence
            # Shows as long prefills at a favourite that lost its cache: the missing events
            # could be evictions, or a crash that emptied it.
            if known and event.sequence != known + 1:
                self.drop(upstream)
                prefixes = OrderedDict()
            elif not event.stored and prefixes:
                prefixes.popitem(last=False)
