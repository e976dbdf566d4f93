"""Serves the stand-in's rows in the wire format of the platform's store, with injected faults."""

import asyncio
import base64
from dataclasses import dataclass, field
from typing import Any

import orjson
from result import Err
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from goldcreststair.store.rows import RowKey, RowRange, StoredRow, Transaction
from standins.rows import FakeRowStore, StoreView


@dataclass(slots=True)
class WireFaults:
    """Faults of the server; tests may change them at any time."""

    status: int = 0
    """Answer every call with this status; 0 for none."""
    reset: bool = False
    """Close every connection without an answer, after the call took effect."""
    reset_commits: bool = False
    """The same, but only for transactions."""
    silent: bool = False
    """Send no answer and keep the connection open."""


@dataclass(slots=True)
class WireStore:
    """A store that listens on one port."""

    store: FakeRowStore
    faults: WireFaults = field(default_factory=WireFaults)
    address: str = ""
    server: HTTPServer | None = None

    def start(self) -> None:
        """Listen on any free port."""
        arguments = {"wire": self, "view": self.store.view()}
        application = Application(
            [
                (r"/-/rows-tx", CommitHandler, arguments),
                (r"/-/rows-get", ReadHandler, arguments),
                (r"/-/rows-feed", FeedHandler, arguments),
                (r"/-/rows-parts", PartsHandler, arguments),
                (r"/-/blob-(put|get|drop)/(.+)", ObjectHandler, arguments),
            ]
        )
        sockets = bind_sockets(0, "127.0.0.1")
        self.server = HTTPServer(application)
        self.server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.stop()


class StoreHandler(RequestHandler):
    """Base of all handlers: applies the faults and encodes answers."""

    def initialize(self, wire: WireStore, view: StoreView) -> None:
        self.wire = wire
        self.view = view

    async def prepare(self) -> None:
        if self.wire.faults.silent:
            await asyncio.sleep(30)
        if self.wire.faults.status:
            self.set_status(self.wire.faults.status)
            await self.finish(b"{}")

    async def answer(self, status: int, body: Any) -> None:
        if self.wire.faults.reset:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        await self.finish(orjson.dumps(body))

    async def answer_rows(self, rows: tuple[StoredRow, ...], truncated: bool = False) -> None:
        store = self.view.store
        await self.answer(
            200,
            {
                "rows": [encode_row(row) for row in rows],
                "truncated": truncated,
                "ver": store.version,
                "now_ms": store.clock.now(),
            },
        )


def encode_row(row: StoredRow) -> dict[str, Any]:
    encoded: dict[str, Any] = {
        "table": row.key.table,
        "part": row.key.part,
        "key": row.key.key,
        "ver": row.version,
    }
    if row.deleted:
        encoded["tombstone"] = True
    else:
        encoded["value"] = base64.b64encode(row.value).decode()
    return encoded


def read_key(raw: dict[str, Any]) -> RowKey:
    return RowKey(raw["table"], raw["part"], raw["key"])


class CommitHandler(StoreHandler):
    async def post(self) -> None:
        raw = orjson.loads(self.request.body)
        transaction = Transaction(
            tuple((read_key(put), base64.b64decode(put["value"])) for put in raw["puts"]),
            tuple(read_key(key) for key in raw["deletes"]),
            tuple((read_key(row), row["ver"]) for row in raw["precondition"]),
        )
        done = self.view.store.apply(transaction)
        if self.wire.faults.reset_commits:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        if isinstance(done, Err):
            rows = [encode_row(row) for row in done.err_value.rows]
            await self.answer(412, {"rows": rows, "ver": 0, "now_ms": 0})
            return
        await self.answer(200, {"ver": done.ok_value.version, "now_ms": done.ok_value.now_ms})


class ReadHandler(StoreHandler):
    async def get(self) -> None:
        row_range = RowRange(
            self.get_query_argument("table"),
            self.get_query_argument("part"),
            self.get_query_argument("from", "", strip=False),
            self.get_query_argument("target", "", strip=False),
            int(self.get_query_argument("limit", "500")),
        )
        page = (await self.view.async_read(row_range)).unwrap()
        await self.answer_rows(page.rows, page.truncated)


class PartsHandler(StoreHandler):
    async def get(self) -> None:
        table = self.get_query_argument("table")
        after = self.get_query_argument("after", "", strip=False)
        parts, _ = (await self.view.async_list_parts(table, after)).unwrap()
        await self.answer(200, {"parts": parts})


class FeedHandler(StoreHandler):
    async def get(self) -> None:
        table, after = self.get_query_argument("table"), int(self.get_query_argument("after"))
        wait_ms = int(self.get_query_argument("wait_ms"))
        page = await self.view.async_follow(table, after, wait_ms)
        if isinstance(page, Err):
            await self.answer(410, {})
        else:
            await self.answer_rows(page.ok_value.rows)


class ObjectHandler(StoreHandler):
    async def put(self, _: str, name: str) -> None:
        if name in self.view.store.objects:
            await self.answer(412, {})
            return
        self.view.store.objects[name] = self.request.body
        await self.answer(200, {})

    async def get(self, _: str, name: str) -> None:
        if name not in self.view.store.objects:
            await self.answer(404, {})
            return
        await self.finish(self.view.store.objects[name])

    async def delete(self, _: str, name: str) -> None:
        self.view.store.objects.pop(name, None)
        await self.answer(200, {})
