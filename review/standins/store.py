"""The platform's store: rows, their feed, and objects."""

import asyncio
import base64
import json
import time
from typing import Any

from standins.web import Request, Server, write_bytes, write_json

Key = tuple[str, str, str]
"""Table, part and key of a row."""

CALL_S = 0.004
MAX_ROWS = 500
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
ROW_BYTES = 65_536


class Store:
    """Applies each call at once and loses nothing."""

    def __init__(self) -> None:
        """Start empty."""
        self.rows: dict[Key, tuple[bytes, int]] = {}
        self.history: list[tuple[int, Key, bytes | None]] = []
        self.blobs: dict[str, bytes] = {}
        self.version = 0
        self._changed = asyncio.Event()
        self._began_at = time.monotonic()
        self.server = Server(self._handle)

    async def start(self) -> None:
        """Listen on a free port."""
        await self.server.start()

    async def close(self) -> None:
        """Stop listening."""
        await self.server.close()

    @property
    def now_ms(self) -> int:
        """The store's steady clock."""
        return int((time.monotonic() - self._began_at) * 1000) + 50_000

    def put(self, table: str, key: str, value: Any, part: str = "") -> None:
        """Write a row with a JSON value, as the operator and the engines do."""
        self._apply([((table, part, key), json.dumps(value).encode())], [])

    def drop(self, table: str, key: str, part: str = "") -> None:
        """Remove a row."""
        self._apply([], [(table, part, key)])

    def _apply(self, puts: list[tuple[Key, bytes]], deletes: list[Key]) -> None:
        self.version += 1
        for key, value in puts:
            self.rows[key] = (value, self.version)
            self.history.append((self.version, key, value))
        for key in deletes:
            if self.rows.pop(key, None) is not None:
                self.history.append((self.version, key, None))
        event, self._changed = self._changed, asyncio.Event()
        event.set()

    def _encode(self, key: Key, value: bytes | None, version: int) -> dict[str, Any]:
        row: dict[str, Any] = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    async def _handle(self, request: Request) -> bool:
        path = request.path
        if path == "/-/rows-feed":
            await self._feed(request)
            return True
        await asyncio.sleep(CALL_S)
        if path == "/-/rows-tx":
            self._commit(request)
        elif path == "/-/rows-get":
            self._read(request)
        elif path == "/-/rows-parts":
            table, after = request.query("table"), request.query("after")
            parts = sorted({k[1] for k in self.rows if k[0] == table and k[1] > after})
            write_json(request, 200, {"parts": parts[:1000], "truncated": len(parts) > 1000})
        elif path.startswith("/-/blob-"):
            await self._blob(request)
        else:
            write_json(request, 404, {})
        return True

    def _commit(self, request: Request) -> None:
        raw = json.loads(request.body)

        def read_key(row: dict[str, Any]) -> Key:
            return (row["table"], row["part"], row["key"])

        entries = len(raw["precondition"]) + len(raw["puts"]) + len(raw["deletes"])
        if entries > MAX_ENTRIES or len(request.body) > MAX_CALL_BYTES:
            write_json(request, 413, {})
            return
        conditions = [(read_key(row), row["ver"]) for row in raw["precondition"]]
        if any(self.rows.get(key, (b"", 0))[1] != version for key, version in conditions):
            found = [self._encode(k, *self.rows[k]) for k, _ in conditions if k in self.rows]
            write_json(request, 412, {"rows": found, "ver": self.version, "now_ms": self.now_ms})
            return
        puts = [(read_key(row), base64.b64decode(row["value"])) for row in raw["puts"]]
        self._apply(puts, [read_key(row) for row in raw["deletes"]])
        write_json(request, 200, {"ver": self.version, "now_ms": self.now_ms})

    def _read(self, request: Request) -> None:
        table, part = request.query("table"), request.query("part")
        first, end = request.query("from"), request.query("target")
        limit = min(MAX_ROWS, int(request.query("limit", str(MAX_ROWS))))
        keys = sorted(
            k
            for k in self.rows
            if k[:2] == (table, part) and k[2] >= first and (not end or k[2] < end)
        )
        rows, size = [], 0
        for key in keys:
            size += len(self.rows[key][0])
            if len(rows) == limit or (rows and size > MAX_CALL_BYTES):
                break
            rows.append(self._encode(key, *self.rows[key]))
        body = {"rows": rows, "truncated": len(rows) < len(keys)}
        write_json(request, 200, body | {"ver": self.version, "now_ms": self.now_ms})

    async def _feed(self, request: Request) -> None:
        table, after = request.query("table"), int(request.query("after"))
        ends_at = time.monotonic() + int(request.query("wait_ms")) / 1000
        while True:
            changed = self._changed
            rows = [self._encode(k, v, n) for n, k, v in self.history if n > after and k[0] == table]
            left_s = ends_at - time.monotonic()
            if rows or left_s <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue
        write_json(request, 200, {"rows": rows, "ver": self.version, "now_ms": self.now_ms})

    async def _blob(self, request: Request) -> None:
        await asyncio.sleep(0.02)
        verb, _, name = request.path.removeprefix("/-/blob-").partition("/")
        if verb == "put":
            exists = name in self.blobs and request.headers.get("if-none-match") == "*"
            full = sum(map(len, self.blobs.values())) + len(request.body) > 400_000_000
            if not exists and not full:
                self.blobs[name] = request.body
            write_json(request, 412 if exists else 507 if full else 200, {})
        elif verb == "get" and name in self.blobs:
            write_bytes(request, 200, self.blobs[name], "application/octet-stream")
        elif verb == "drop":
            self.blobs.pop(name, None)
            write_json(request, 200, {})
        else:
            write_json(request, 404, {})
