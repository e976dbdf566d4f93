"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit


@dataclass
class Request:
    """One request as it arrived."""

    method: str
    target: str
    headers: dict[str, str]
    """Header names in lower case."""
    body: bytes
    connection: int
    writer: asyncio.StreamWriter
    reader: asyncio.StreamReader

    @property
    def path(self) -> str:
        """The decoded path without the query."""
        return unquote(urlsplit(self.target).path)

    def query(self, name: str, default: str = "") -> str:
        """Return a parameter of the query."""
        found = parse_qs(urlsplit(self.target).query, keep_blank_values=True)
        return found.get(name, [default])[0]


@dataclass
class Answer:
    """One answer as a client read it."""

    status: int = 0
    """0 if the channel ended without an answer."""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    """Whether the answer is complete according to its framing."""
    error: str = ""

    def json(self) -> Any:
        """Return the body, decoded."""
        return json.loads(self.body)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: Mapping[str, str]) -> bytes:
    """Return the body that the headers announce."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Server:
    """Serves one request after another on each connection."""

    def __init__(self, handle: Callable[[Request], Awaitable[bool]]) -> None:
        """`handle` writes the answer, and returns whether the connection stays open."""
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._count = 0
        self.address = ""

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on a port, by default on a free one."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=2**20)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def reset(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            raw = writer.get_extra_info("socket")
            with contextlib.suppress(OSError, AttributeError):
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        self._count += 1
        number = self._count
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                request = Request(method, target, headers, body, number, writer, reader)
                if not await self._handle(request):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


def write_json(request: Request, status: int, body: Any) -> None:
    """Write an answer with a JSON body."""
    write_bytes(request, status, json.dumps(body).encode(), "application/json")


def write_bytes(request: Request, status: int, body: bytes, kind: str = "text/plain") -> None:
    """Write a complete answer."""
    head = f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n"
    request.writer.write(head.encode() + body)


async def call(
    address: str,
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Answer:
    """Send one request on a new channel and return its answer."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port), limit=2**20)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines += [f"Content-Length: {len(body)}", "", ""]
            writer.write("\r\n".join(lines).encode("latin1") + body)
            first, answer.headers = await read_head(reader)
            answer.status = int(first.split(" ")[1])
            answer.body = await read_body(reader, answer.headers)
            answer.whole = True
    except (OSError, EOFError, TimeoutError, ValueError) as error:
        answer.error = repr(error)
    finally:
        if writer is not None:
            writer.close()
    return answer
