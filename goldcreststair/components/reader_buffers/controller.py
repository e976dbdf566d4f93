"""Decides when an upstream is read and which slow readers are shed; no I/O.

Designed for hundreds of callers that read at 1 KB/s beside normal ones, on VMs of 200 MB, with
upstreams that cut an answer which is unread for some seconds.
"""

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.reader_buffers.const import (
    ASSUMED_BYTES,
    ASSUMED_MS,
    CONNECTION_BYTES,
    MAX_DAEMON_BYTES,
    MEMORY_SHARE,
    PAUSE_MS,
)
from goldcreststair.components.reader_buffers.models import ReaderState
from goldcreststair.const import BYTES_PER_MB
from goldcreststair.http_exchange import READ_BYTES


def compute_daemon_bytes(memory_mb: int) -> int:
    """Return the bytes that a daemon may hold for all readers.

    >>> compute_daemon_bytes(60), compute_daemon_bytes(340)
    (10485760, 33554432)
    """
    return min(MAX_DAEMON_BYTES, memory_mb * BYTES_PER_MB // MEMORY_SHARE)


class BufferController:
    """Counts the bytes held for each reader of one daemon."""

    def __init__(self, clock: Clock, daemon_bytes: int) -> None:
        """Start without readers; all of them together may hold `daemon_bytes`."""
        self._clock = clock
        self._daemon_bytes = daemon_bytes
        self._lagging: dict[ReaderState, None] = {}
        """The readers that lag, in the order in which they began to."""
        self._total = 0

    def hold(self, reader: ReaderState, size: int) -> None:
        """Record that `size` more bytes are held for a reader."""
        if not size:
            return
        if reader.lags_since is None:
            reader.lags_since = self._clock.now()
            reader.accepted = 0
            self._lagging[reader] = None
        reader.held += size
        self._total += size

    def release(self, reader: ReaderState, size: int) -> None:
        """Record that the connection of a reader has accepted `size` bytes."""
        reader.held -= size
        reader.accepted += size
        self._total -= size

    def end_lag(self, reader: ReaderState) -> None:
        """Record that the connection of a reader has accepted a write at once.

        A reader that accepts each write within the pause lags as well: many short pauses in a row
        make an upstream cut the answer as one long pause does.
        """
        if reader.lags_since is not None:
            reader.lags_since = None
            del self._lagging[reader]

    def remove(self, reader: ReaderState) -> None:
        """Forget a reader; what was held for it has been dropped."""
        self.release(reader, reader.held)
        self.end_lag(reader)

    def count_bytes(self) -> int:
        """Return the bytes held for all readers."""
        return self._total

    def count_slow(self) -> int:
        """Return the number of slow readers."""
        return sum(self.is_slow(reader) for reader in self._lagging)

    def is_slow(self, reader: ReaderState) -> bool:
        """Return whether a reader has lagged for longer than reading may pause."""
        return self.read_lag_ms(reader) >= PAUSE_MS

    def read_lag_ms(self, reader: ReaderState) -> int:
        """Return for how long a reader has lagged."""
        return 0 if reader.lags_since is None else self._clock.now() - reader.lags_since

    def may_read(self, reader: ReaderState) -> bool:
        """Return whether the upstream of a reader may be read now.

        Reading pauses while a reader begins to lag, and while another read could exceed the bound.
        """
        if not reader.held:
            return True
        return not self.read_pause_ms(reader) and reader.held + READ_BYTES <= CONNECTION_BYTES

    def read_pause_ms(self, reader: ReaderState) -> int:
        """Return for how long reading still pauses for a reader that lags."""
        pause_ms = PAUSE_MS - self.read_lag_ms(reader)
        # A pause up to the deadline would cut an answer that its upstream has finished.
        left_ms = reader.identity.ends_at - PAUSE_MS - self._clock.now()
        return max(0, min(pause_ms, left_ms))

    def choose_shed(self) -> ReaderState | None:
        """Return the reader to be shed next, or None if the daemon's bound is kept."""
        if self._total <= self._daemon_bytes:
            return None
        now = self._clock.now()
        holding = (reader for reader in self._lagging if reader.held)
        return min(holding, key=lambda reader: _rank(reader, now))


def _rank(reader: ReaderState, now: Millis) -> tuple[bool, bool, float, int]:
    lag_ms = now - (now if reader.lags_since is None else reader.lags_since)
    rate = (reader.accepted + ASSUMED_BYTES) / (lag_ms + ASSUMED_MS)
    # Slow readers come first, so that a normal one is not shed for a delay of a moment.
    return lag_ms < PAUSE_MS, not reader.identity.resumable, rate, -reader.held
