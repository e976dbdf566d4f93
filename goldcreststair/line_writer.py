"""Writes lines to a file descriptor without ever blocking on a slow reader."""

import asyncio
import os
import select
from collections import deque
from typing import Final

import orjson

MAX_QUEUED_BYTES: Final = 256 * 1024
"""Limit of the queue for a slow reader: some seconds of log lines, small next to a daemon's memory."""
FINAL_WAIT_S: Final = 0.2
"""How long `close` waits for a slow reader."""


class LineWriter:
    """Queues lines, writes them when the descriptor is writable, and drops what exceeds the queue.

    If the reader of a log stopped, the pipe would fill and the next blocking write would stop the whole
    process, with all its requests.
    """

    def __init__(self, descriptor: int, max_bytes: int = MAX_QUEUED_BYTES) -> None:
        """Write to `descriptor`, which is set to non-blocking mode."""
        self.dropped = 0
        """Lines dropped since the last line that reported their number."""
        self._descriptor = descriptor
        self._max_bytes = max_bytes
        self._queue: deque[tuple[bool, bytes]] = deque()
        self._bytes = 0
        self._scheduled = False
        self._watching: asyncio.AbstractEventLoop | None = None
        os.set_blocking(descriptor, False)

    def put(self, line: bytes, *, important: bool) -> None:
        """Queue a line; if the queue is full, lines that are not important are dropped first."""
        if self._bytes + len(line) > self._max_bytes and not self._make_room(line, important):
            self.dropped += 1
            return
        self._queue.append((important, line))
        self._bytes += len(line)
        self._schedule()

    def flush(self) -> None:
        """Write what the descriptor accepts without blocking."""
        self._scheduled = False
        self._queue_dropped_count()
        while self._queue:
            lines = b"".join(line for _, line in self._queue)
            try:
                written = os.write(self._descriptor, lines)
            except BlockingIOError:
                self._watch()
                return
            except OSError:
                # The reader has closed its end for good.
                self._queue.clear()
                self._bytes = 0
                return
            self._remove_written(written)
        self._unwatch()

    def close(self) -> None:
        """Write the rest of the queue, waiting for `FINAL_WAIT_S` at most."""
        self.flush()
        self._unwatch()
        if self._queue and select.select([], [self._descriptor], [], FINAL_WAIT_S)[1]:
            self.flush()

    def _make_room(self, line: bytes, important: bool) -> bool:
        if not important:
            return False
        kept: deque[tuple[bool, bytes]] = deque()
        for queued_important, queued in self._queue:
            if queued_important or self._bytes + len(line) <= self._max_bytes:
                kept.append((queued_important, queued))
            else:
                self._bytes -= len(queued)
                self.dropped += 1
        self._queue = kept
        return self._bytes + len(line) <= self._max_bytes

    def _queue_dropped_count(self) -> None:
        if self.dropped and self._bytes < self._max_bytes // 2:
            event = {"level": "warning", "event": "Lines dropped", "dropped": self.dropped}
            self.dropped = 0
            line = orjson.dumps(event) + b"\n"
            self._queue.append((True, line))
            self._bytes += len(line)

    def _remove_written(self, written: int) -> None:
        self._bytes -= written
        while written:
            important, line = self._queue.popleft()
            if len(line) > written:
                self._queue.appendleft((important, line[written:]))
                return
            written -= len(line)

    def _schedule(self) -> None:
        """Schedule one write for all lines queued in the current iteration of the event loop."""
        if self._scheduled or self._watching is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._scheduled = True
        loop.call_soon(self.flush)

    def _watch(self) -> None:
        if self._watching is not None:
            return
        try:
            loop = asyncio.get_running_loop()
            loop.add_writer(self._descriptor, self.flush)
        except (RuntimeError, PermissionError, OSError):
            # No running loop, or a kind of file that cannot be watched: the next line retries the write.
            return
        self._watching = loop

    def _unwatch(self) -> None:
        if self._watching is not None and not self._watching.is_closed():
            self._watching.remove_writer(self._descriptor)
        self._watching = None
