"""Stand-in for an engine of the platform, by PROTOCOL.md ("Requests", "Engines"): streams of events.

It registers itself in the store, beats every `beat_s`, runs `slots` requests at once and queues `queue` more.
"""

import asyncio
import json
import time

FREE_TEXT = b"text of %s event %d"


class Engine:
    def __init__(
        self,
        store,
        name,
        service,
        record,
        host="127.0.0.1",
        slots=8,
        queue=24,
        gap_s=0.02,
        beat_s=1.2,
        zone="zone-a",
    ):
        self.store, self.name, self.service, self.record = store, name, service, record
        self.host, self.slots, self.queue, self.gap_s, self.beat_s, self.zone = (
            host,
            slots,
            queue,
            gap_s,
            beat_s,
            zone,
        )
        self.version = "1"
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.server = None
        self.address = ""
        self.writers = set()
        self.before_run = None
        """Async hook with the request's id; what it returns replaces the run: `("status", 500)` or None."""

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self._serve, self.host, port, limit=8 * 1024 * 1024
        )
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.beating = asyncio.create_task(self._beat())

    def register(self):
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.store.put("servers", "", self.name, json.dumps(entry).encode())

    async def _beat(self):
        while True:
            self.register()
            await asyncio.sleep(self.beat_s)

    def crash(self):
        """End at once: reset all channels, accept no more, send nothing."""
        self.beating.cancel()
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin1").split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                headers = {
                    line.partition(":")[0].strip().lower(): line.partition(":")[2].strip()
                    for line in lines[1:]
                }
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if method == "GET":
                    await self._report(writer, path)
                    continue
                await self._run(writer, path, headers, body)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _head(self, status, request, extra=""):
        load = f"{self.running},{self.waiting},{self.slots}"
        return f"HTTP/1.1 {status} X\r\nRequest-Id: {request}\r\nServer-Load: {load}\r\nKeep-Alive: timeout=10\r\n{extra}"

    async def _report(self, writer, path):
        if path == "/-/report":
            content = {
                "stage": "hybrid",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "sequence": 0,
                "waiting": self.waiting,
                "running": self.running,
                "kv_used": 0,
                "kv_total": 101495,
                "handles": 0,
                "born": self.born,
            }
            status = 200
        else:
            content, status = {}, 200 if self.state == "ready" else 503
        data = json.dumps(content).encode()
        load = f"{self.running},{self.waiting},{self.slots}"
        writer.write(
            f"HTTP/1.1 {status} X\r\nInstance-Id: {self.name}\r\nServer-Load: {load}\r\nContent-Length: {len(data)}\r\n\r\n".encode()
            + data
        )
        await writer.drain()

    async def _run(self, writer, path, headers, body):
        request = headers.get("request-id", "")
        self.record(
            "reached",
            request=request,
            engine=self.name,
            path=path,
            tenant=headers.get("tenant", ""),
            after=headers.get("last-event-id", ""),
        )
        if headers.get("target-instance", self.name) != self.name:
            writer.write(
                self._head(421, request, "Not-Run: 1\r\nContent-Length: 0\r\n\r\n").encode()
            )
            return
        if self.waiting >= self.queue:
            writer.write(
                self._head(503, request, "Not-Run: 1\r\nContent-Length: 0\r\n\r\n").encode()
            )
            return
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.record("ran", request=request, engine=self.name)
            chosen = await self.before_run(request) if self.before_run else None
            if chosen:
                stamp = f"Response-Stamp: {self.name}.{request}\r\nContent-Length: 0\r\n\r\n"
                writer.write(self._head(chosen[1], request, stamp).encode())
                return
            await self._stream(writer, request, headers)
        finally:
            self.running -= 1
            self.free.release()

    async def _stream(self, writer, request, headers):
        count = int(headers.get("token-count", "0,8").split(",")[1])
        first = int(headers.get("last-event-id", "0") or "0") + 1
        stamp = f"Response-Stamp: {self.name}.{request}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(self._head(200, request, stamp).encode())
        for number in range(first, count + 1):
            await asyncio.sleep(self.gap_s)
            if writer.transport.is_closing():
                raise ConnectionError
            event = (
                b"id: %d\ndata: " % number
                + FREE_TEXT % (request.encode(), number)
                + b" by version "
                + self.version.encode()
                + b"\n\n"
            )
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record("finished", request=request, engine=self.name)
