"""HTTP server of the platform stand-in."""

import asyncio
import base64
import dataclasses
from typing import Any

import orjson
from cyclopts import App
from result import Err, Result
from tornado.web import Application, RequestHandler

from goldcreststair.clock import LoopClock
from goldcreststair.store.errors import (
    ObjectMissing,
    PlatformError,
    PlatformOutcomeUnknown,
    RowConflict,
)
from goldcreststair.store.models import ListedState, ListedVm, Row, RowWrite
from standins.platform.store import FakePlatform, PlatformFaults
from standins.serving import run_standin

app = App(help="Stand-in for the platform's services.")


def encode_row(row: Row | None) -> Any:
    """Return a row as JSON."""
    if row is None:
        return None
    value = base64.b64encode(row.value).decode()
    return {"key": row.key, "version": row.version, "value": value}


class PlatformHandler(RequestHandler):
    """Base of all handlers."""

    def initialize(self, platform: FakePlatform) -> None:
        """Set the platform model."""
        self.platform = platform

    def send_result(self, outcome: Result[Any, PlatformError]) -> None:
        """Send a value or an error status; an unknown outcome closes the connection."""
        if not isinstance(outcome, Err):
            self.finish(orjson.dumps(outcome.ok_value))
            return
        error = outcome.err_value
        if isinstance(error, PlatformOutcomeUnknown):
            self.request.connection.stream.close()  # type: ignore[union-attr]
        elif isinstance(error, RowConflict):
            self.set_status(409)
            self.finish(orjson.dumps(encode_row(error.current)))
        else:
            self.set_status(404 if isinstance(error, ObjectMissing) else 503)
            self.finish()


class TableHandler(PlatformHandler):
    """The table service."""

    async def post(self, action: str) -> None:
        """Read, scan or write."""
        request = orjson.loads(self.request.body)
        if action == "read":
            rows = await self.platform.async_read_many(request["keys"])
            self.send_result(rows.map(lambda found: [encode_row(row) for row in found]))
        elif action == "scan":
            scanned = await self.platform.async_scan(**request)
            self.send_result(scanned.map(lambda found: [encode_row(row) for row in found]))
        else:
            writes = [_decode_write(raw) for raw in request["writes"]]
            self.send_result(await self.platform.async_write(writes))


def _decode_write(raw: Any) -> RowWrite:
    value = None if raw["value"] is None else base64.b64decode(raw["value"])
    return RowWrite(raw["key"], raw["expected_version"], value)


class ObjectHandler(PlatformHandler):
    """The object store."""

    async def put(self, name: str) -> None:
        """Store an object."""
        self.send_result(await self.platform.async_put(name, self.request.body))

    async def get(self, name: str) -> None:
        """Return an object."""
        outcome = await self.platform.async_get(name)
        if isinstance(outcome, Err):
            self.send_result(outcome)
        else:
            self.finish(outcome.ok_value)

    async def delete(self, name: str) -> None:
        """Remove an object."""
        self.send_result(await self.platform.async_delete(name))


class VmListHandler(PlatformHandler):
    """The list of VMs."""

    async def get(self) -> None:
        """Return the list."""
        listed = await self.platform.async_list()
        self.send_result(listed.map(lambda vms: [dataclasses.asdict(vm) for vm in vms]))

    async def put(self) -> None:
        """Replace the list (tests and demo only)."""
        vms = orjson.loads(self.request.body)
        self.platform.set_vms(
            [ListedVm(vm["address"], vm["data_centre"], ListedState(vm["state"])) for vm in vms]
        )
        self.finish(b"null")


class WeightHandler(PlatformHandler):
    """The weight store."""

    async def get(self, model: str) -> None:
        """Describe a model's weights."""
        described = await self.platform.async_describe(model)
        self.send_result(described.map(lambda size: {"bytes": size}))

    async def put(self, model: str) -> None:
        """Add a model's weights (tests and demo only)."""
        self.platform.weights[model] = orjson.loads(self.request.body)["bytes"]
        self.finish(b"null")


class FaultHandler(PlatformHandler):
    """Faults and counts of calls (tests and demo only)."""

    async def get(self) -> None:
        """Return the counts of calls."""
        self.finish(orjson.dumps(dataclasses.asdict(self.platform.counts)))

    async def put(self) -> None:
        """Replace the faults in force."""
        self.platform.faults = PlatformFaults(**orjson.loads(self.request.body))
        self.finish(b"null")


def create_application() -> Application:
    """Return the stand-in's HTTP interface."""
    arguments = {"platform": FakePlatform(LoopClock())}
    return Application(
        [
            (r"/table/(read|scan|write)", TableHandler, arguments),
            (r"/objects/(.+)", ObjectHandler, arguments),
            (r"/vms", VmListHandler, arguments),
            (r"/weights/(.+)", WeightHandler, arguments),
            (r"/faults", FaultHandler, arguments),
        ]
    )


@app.default
def main(port: int = 0, address: str = "127.0.0.1") -> None:
    """Serve until SIGTERM; prints the address as one JSON line."""
    asyncio.run(run_standin(create_application(), address, port))


if __name__ == "__main__":
    app()
