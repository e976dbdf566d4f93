"""Crowds of clients that send more than they should, and keep their connections open."""

import asyncio
import contextlib
import itertools
import socket
import struct
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final

MAX_BODY_BYTES: Final = 4 * 1024 * 1024
PIECE_BYTES: Final = 64 * 1024
CROWD_S: Final = 8.0
"""How long a crowd goes on."""
ATTEMPTS: Final = 3
"""Connections that each client opens, one after the other, while it is refused."""
RECONNECT_S: Final = 0.2
MEMORY_MB: Final = 128
"""Memory of a daemon under test: less than a crowd sends together; without callers it takes about 40 MB."""
DESCRIPTORS: Final = 300
"""Limit on its descriptors, where these are looked at: fewer than a crowd opens."""
SPARE_DESCRIPTORS: Final = 16
"""Descriptors that a daemon may open beside its callers' while a crowd is there: to engines and the store."""
FRAME_BYTES: Final = 16 * 1024 * 1024
TRIES: Final = 5
"""Attempts of an ordinary caller, which is told to come back while the daemon is busy."""
ANSWER_TIMEOUT_S: Final = 10.0
RETURN_S: Final = 0.5
SETTLE_S: Final = 60.0
"""How long a daemon may take to notice that a crowd has gone."""
SETTLE_POLL_S: Final = 0.5
IDLE_CLIENTS: Final = 500
DATAGRAM_PAUSE_S: Final = 0.001
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)

Pieces = Callable[[], Iterable[bytes]]


@dataclass(frozen=True, slots=True)
class Manner:
    """What each client of a crowd sends on a connection; then it leaves the connection open."""

    name: str
    pieces: Pieces
    clients: int = 60
    attempts: int = ATTEMPTS
    closes: bool = False
    """Whether clients close their connections at the end instead of resetting them."""

    def __str__(self) -> str:
        """Return the name, as an id of test cases."""
        return self.name


@dataclass(slots=True)
class Crowd:
    """Clients that send what their manner says, without reading."""

    address: str
    manner: Manner
    _open: list[socket.socket] = field(default_factory=list)

    async def async_run(self) -> None:
        """Let all clients send until they are done, for at most `CROWD_S`."""
        clients = [asyncio.create_task(self._async_send()) for _ in range(self.manner.clients)]
        _, pending = await asyncio.wait(clients, timeout=CROWD_S)
        for client in pending:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)

    def leave(self) -> None:
        """Reset or close the connections that are still open."""
        for opened in self._open:
            if not self.manner.closes:
                opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            opened.close()
        self._open.clear()

    async def _async_send(self) -> None:
        for _ in range(self.manner.attempts):
            with contextlib.suppress(OSError):
                await self._async_send_once()
                return
            await asyncio.sleep(RECONNECT_S)

    async def _async_send_once(self) -> None:
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._open.append(opened)
        opened.setblocking(False)
        await loop.sock_connect(opened, (host, int(port)))
        for piece in self.manner.pieces():
            await loop.sock_sendall(opened, piece)


async def async_send_datagrams(address: str, make: Callable[[int], bytes]) -> None:
    """Send datagrams, made by their number, for `CROWD_S`."""
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    ends_at = loop.time() + CROWD_S
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as opened:
        opened.setblocking(False)
        for number in itertools.count():
            if loop.time() >= ends_at:
                return
            await loop.sock_sendto(opened, make(number), (host, int(port)))
            await asyncio.sleep(DATAGRAM_PAUSE_S)


def make_head(path: str, *fields: str, method: str = "POST") -> bytes:
    """Return the head of a request to `path` with further header fields."""
    lines = (
        f"{method} {path} HTTP/1.1",
        "Host: host.example",
        "Request-Id: crowd",
        "X-Api-Key: key-club",
        "Deadline-Ms: 5000",
        *fields,
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def make_chunks(size: int, total: int) -> bytes:
    """Return `total` bytes in chunks of `size`, without the last chunk."""
    return (f"{size:x}\r\n".encode() + b"x" * size + b"\r\n") * (total // size)


def send_endless(path: str, chunk: int = PIECE_BYTES, method: str = "POST") -> Pieces:
    """Return a body in chunks that does not end."""
    piece = make_chunks(chunk, max(chunk, PIECE_BYTES // 8))

    def make_pieces() -> Iterator[bytes]:
        return itertools.chain(
            (make_head(path, "Transfer-Encoding: chunked", method=method),),
            itertools.repeat(piece),
        )

    return make_pieces


def send_unfinished_chunks(path: str, total: int = MAX_BODY_BYTES - PIECE_BYTES) -> Pieces:
    """Return a body in chunks that stops just before the longest allowed length."""
    piece = make_chunks(PIECE_BYTES, PIECE_BYTES)
    count = total // PIECE_BYTES
    head = make_head(path, "Transfer-Encoding: chunked")
    return lambda: itertools.chain((head,), itertools.repeat(piece, count))


def send_unfinished_length(
    path: str, total: int = MAX_BODY_BYTES, announced: int | None = None
) -> Pieces:
    """Return a body with a length that stops one byte before its end."""
    head = make_head(path, f"Content-Length: {announced or total}")
    piece, count = b"x" * PIECE_BYTES, total // PIECE_BYTES
    return lambda: itertools.chain((head,), itertools.repeat(piece, count - 1), (piece[:-1],))


def send_unfinished_chunk(head: bytes, body: bytes) -> Pieces:
    """Return a body in one chunk, without the last chunk."""
    return lambda: (head, f"{len(body):x}\r\n".encode(), body)


def send_whole(path: str, body: bytes, *fields: str) -> Pieces:
    """Return a complete request."""
    head = make_head(path, f"Content-Length: {len(body)}", *fields)
    return lambda: (head, body)


def send_unfinished_head(size: int) -> Pieces:
    """Return a head of `size` bytes without its end."""
    return lambda: (make_head("/call/x")[:-2] + b"X-Long: " + b"x" * size,)


def send_unread(path: str, count: int) -> Pieces:
    """Return requests one behind the other."""
    request = make_head(path, "Content-Length: 1500") + b"x" * 1500
    return lambda: itertools.repeat(request, count)


def send_frames(announced: int, sent: int) -> Pieces:
    """Return a frame of the peer protocol that announces more than is sent."""
    head = struct.pack("!I", announced)
    return lambda: itertools.chain(
        (head,), itertools.repeat(b"x" * PIECE_BYTES, sent // PIECE_BYTES)
    )


def make_frame(message: bytes) -> bytes:
    """Return a whole frame of the peer protocol."""
    return struct.pack("!I", len(message)) + message


def send_nothing() -> Iterable[bytes]:
    """Return nothing: an idle connection."""
    return ()


IDLE: Final = Manner("idle connections", send_nothing, clients=IDLE_CLIENTS, attempts=1)
UNFINISHED_FRAMES: Final = Manner(
    "frames that stop short", send_frames(FRAME_BYTES, FRAME_BYTES - PIECE_BYTES)
)
