"""Stand-in for the platform's store, by PROTOCOL.md ("The platform's metadata store"): rows, feed and objects.

It is linearizable: every call takes effect in one step of the event loop. A transaction takes `tx_ms`, those of
one part one after another, an object call takes `blob_ms`, any other call `answer_ms`; `slow` multiplies all.
"""

import asyncio
import base64
import json
import time
import urllib.parse


class Store:
    def __init__(self, tx_ms=5.0, blob_ms=25.0, answer_ms=4.0, history_s=20.0):
        self.tx_ms, self.blob_ms, self.answer_ms, self.history_s = (
            tx_ms,
            blob_ms,
            answer_ms,
            history_s,
        )
        self.slow = 1.0
        self.version = 0
        self.rows = {}
        """By (table, part, key): value in base64, version."""
        self.log = []
        """Changes in order: version, steady time, row as the feed sends it."""
        self.log_start = 0
        self.blobs = {}
        self.turned_away = set()
        """Addresses of this store at which no call is answered, and none has an effect."""
        self.before_commit = None
        """Async hook with the body of a transaction; returns `lost` or `late:SECONDS` or None."""
        self.changed = asyncio.Event()
        self.parts = {}
        self.address = ""
        self.servers = []

    async def start(self, host="127.0.0.1", port=0):
        self.address = await self.listen(host, port)

    async def listen(self, host="127.0.0.1", port=0):
        """Serve at one more address, so that the daemons that use it can be turned away; returns it."""
        server = await asyncio.start_server(self._serve, host, port, limit=16 * 1024 * 1024)
        self.servers.append(server)
        return "%s:%d" % server.sockets[0].getsockname()[:2]

    def now_ms(self):
        return int(time.monotonic() * 1000)

    def put(self, table, part, key, value):
        """Write a row as the operator or an engine does, without a condition; returns its version."""
        self._apply([(table, part, key, base64.b64encode(value).decode())], [])
        return self.version

    def drop(self, table, part, key):
        self._apply([], [(table, part, key)])

    def read(self, table, part, key):
        row = self.rows.get((table, part, key))
        return None if row is None else base64.b64decode(row[0])

    def _apply(self, puts, deletes):
        self.version += 1
        at = time.monotonic()
        for table, part, key, value in puts:
            self.rows[table, part, key] = (value, self.version)
            row = {"table": table, "part": part, "key": key, "value": value, "ver": self.version}
            self.log.append((self.version, at, row))
        for table, part, key in deletes:
            if self.rows.pop((table, part, key), None) is not None:
                row = {
                    "table": table,
                    "part": part,
                    "key": key,
                    "tombstone": True,
                    "ver": self.version,
                }
                self.log.append((self.version, at, row))
        while self.log and self.log[0][1] < at - self.history_s:
            self.log_start = self.log.pop(0)[0]
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def compact(self):
        """Drop the history, as the page allows at any time."""
        self.log_start = self.version
        self.log.clear()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = b""
                if headers.get("transfer-encoding", "").lower() == "chunked":
                    while size := int((await reader.readline()).split(b";")[0], 16):
                        body += await reader.readexactly(size)
                        await reader.readline()
                    await reader.readline()
                elif length := int(headers.get("content-length", "0")):
                    body = await reader.readexactly(length)
                if "%s:%d" % writer.get_extra_info("sockname")[:2] in self.turned_away:
                    await asyncio.sleep(3600)
                status, content = await self._answer(method, target, headers, body)
                data = content if isinstance(content, bytes) else json.dumps(content).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(data))
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, headers, body):
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        if path == "/-/rows-tx":
            return await self._commit(json.loads(body))
        if path == "/-/rows-get":
            await asyncio.sleep(self.answer_ms * self.slow / 1000)
            return 200, self._get(query)
        if path == "/-/rows-feed":
            return await self._feed(query)
        if path == "/-/rows-parts":
            await asyncio.sleep(self.answer_ms * self.slow / 1000)
            parts = sorted(
                {
                    part
                    for table, part, _ in self.rows
                    if table == query["table"] and part > query.get("after", "")
                }
            )
            return 200, {
                "parts": parts[:1000],
                "truncated": len(parts) > 1000,
                "ver": self.version,
                "now_ms": self.now_ms(),
            }
        await asyncio.sleep(self.blob_ms * self.slow / 1000)
        kind, _, name = path.removeprefix("/-/").partition("/")
        name = urllib.parse.unquote(name)
        if kind == "blob-put":
            if name in self.blobs and headers.get("if-none-match") == "*":
                return 412, {}
            self.blobs[name] = body
            return 200, {}
        if kind == "blob-get":
            return (200, self.blobs[name]) if name in self.blobs else (404, {})
        if kind == "blob-drop":
            return (200, {}) if self.blobs.pop(name, None) is not None else (404, {})
        return 404, {}

    async def _commit(self, call):
        verdict = await self.before_commit(call) if self.before_commit else None
        entries = call.get("precondition", []) + call.get("puts", []) + call.get("deletes", [])
        if len(entries) > 100 or len({entry["part"] for entry in entries}) > 1:
            return 400, {}
        part = entries[0]["part"] if entries else ""
        if verdict and verdict.startswith("late:"):
            asyncio.get_running_loop().call_later(float(verdict[5:]), self._try, call)
            await asyncio.sleep(3600)
        lock = self.parts.setdefault(part, asyncio.Lock())
        async with lock:
            await asyncio.sleep(self.tx_ms * self.slow / 1000)
            answer = self._try(call)
        if verdict == "lost":
            await asyncio.sleep(3600)
        return answer

    def _try(self, call):
        checked = []
        holds = True
        for row in call.get("precondition", []):
            found = self.rows.get((row["table"], row["part"], row["key"]))
            holds = holds and (found[1] if found else 0) == row["ver"]
            if found:
                checked.append(
                    {
                        "table": row["table"],
                        "part": row["part"],
                        "key": row["key"],
                        "value": found[0],
                        "ver": found[1],
                    }
                )
        if not holds:
            return 412, {"rows": checked, "ver": self.version, "now_ms": self.now_ms()}
        if any(
            entry["table"] in ("op", "servers")
            for entry in call.get("puts", []) + call.get("deletes", [])
        ):
            return 403, {}
        self._apply(
            [(row["table"], row["part"], row["key"], row["value"]) for row in call.get("puts", [])],
            [(row["table"], row["part"], row["key"]) for row in call.get("deletes", [])],
        )
        return 200, {"ver": self.version, "now_ms": self.now_ms()}

    def _get(self, query):
        first, end = query.get("from", ""), query.get("target", "")
        found = sorted(
            (key, row)
            for (table, part, key), row in self.rows.items()
            if table == query["table"]
            and part == query.get("part", "")
            and key >= first
            and (not end or key < end)
        )
        limit = min(500, int(query.get("limit", "500")))
        rows = []
        size = 0
        for key, (value, version) in found:
            size += len(value)
            if len(rows) == limit or (rows and size > 1_000_000):
                break
            rows.append(
                {
                    "table": query["table"],
                    "part": query.get("part", ""),
                    "key": key,
                    "value": value,
                    "ver": version,
                }
            )
        return {
            "rows": rows,
            "truncated": len(rows) < len(found),
            "ver": self.version,
            "now_ms": self.now_ms(),
        }

    async def _feed(self, query):
        after, ends_at = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
        await asyncio.sleep(self.answer_ms * self.slow / 1000)
        while True:
            if after < self.log_start:
                return 410, {}
            rows = [
                row
                for version, _, row in self.log
                if version > after and row["table"] == query["table"]
            ]
            left_s = ends_at - time.monotonic()
            if rows or left_s <= 0:
                return 200, {"rows": rows, "ver": self.version, "now_ms": self.now_ms()}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass
