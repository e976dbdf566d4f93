"""Writes lines to a descriptor without ever waiting for its reader."""

import asyncio
import os
import select
from collections import deque
from typing import Final

import orjson

MAX_QUEUED_BYTES: Final = 256 * 1024
"""Lines that wait for a slow reader: some seconds of them, and little beside a daemon's memory."""
FINAL_WAIT_S: Final = 0.2
"""How long the end of the process waits for a slow reader."""


class LineWriter:
    """Queues lines, writes them when the descriptor takes them, and drops what does not fit.

    A log whose reader stopped would fill its pipe, and the next write stop the whole process: every
    request would hang for a line nobody reads.
    """

    def __init__(self, descriptor: int, max_bytes: int = MAX_QUEUED_BYTES) -> None:
        """Take the descriptor over and never let it block."""
        self.dropped = 0
        """Lines dropped since the last line that told of them."""
        self._descriptor = descriptor
        self._max_bytes = max_bytes
        self._queue: deque[tuple[bool, bytes]] = deque()
        self._bytes = 0
        self._scheduled = False
        self._watching: asyncio.AbstractEventLoop | None = None
        os.set_blocking(descriptor, False)

    def put(self, line: bytes, *, important: bool) -> None:
        """Queue a line; an ordinary one is dropped first if there is no room."""
        if self._bytes + len(line) > self._max_bytes and not self._make_room(line, important):
            self.dropped += 1
            return
        self._queue.append((important, line))
        self._bytes += len(line)
        self._schedule()

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        self._scheduled = False
        self._note_dropped()
        while self._queue:
            lines = b"".join(line for _, line in self._queue)
            try:
                written = os.write(self._descriptor, lines)
            except BlockingIOError:
                self._watch()
                return
            except OSError:
                # Nobody will ever read this descriptor again.
                self._queue.clear()
                self._bytes = 0
                return
            self._take_written(written)
        self._unwatch()

    def close(self) -> None:
        """Write the rest, for a moment at most."""
        self.flush()
        self._unwatch()
        if self._queue and select.select([], [self._descriptor], [], FINAL_WAIT_S)[1]:
            self.flush()

    def _make_room(self, line: bytes, important: bool) -> bool:
        if not important:
            return False
        kept: deque[tuple[bool, bytes]] = deque()
        for kind, queued in self._queue:
            if kind or self._bytes + len(line) <= self._max_bytes:
                kept.append((kind, queued))
            else:
                self._bytes -= len(queued)
                self.dropped += 1
        self._queue = kept
        return self._bytes + len(line) <= self._max_bytes

    def _note_dropped(self) -> None:
        if self.dropped and self._bytes < self._max_bytes // 2:
            event = {"level": "warning", "event": "Lines dropped", "dropped": self.dropped}
            self.dropped = 0
            line = orjson.dumps(event) + b"\n"
            self._queue.append((True, line))
            self._bytes += len(line)

    def _take_written(self, written: int) -> None:
        self._bytes -= written
        while written:
            important, line = self._queue.popleft()
            if len(line) > written:
                self._queue.appendleft((important, line[written:]))
                return
            written -= len(line)

    def _schedule(self) -> None:
        """Write all lines of one turn of the loop together."""
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
            # Outside a loop, or a kind of file that cannot be watched: the next line tries again.
            return
        self._watching = loop

    def _unwatch(self) -> None:
        if self._watching is not None and not self._watching.is_closed():
            self._watching.remove_writer(self._descriptor)
        self._watching = None
