"""HTTP server of the plain service stand-in, which counts the runs of each request."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

import orjson
from cyclopts import App
from tornado.web import Application, RequestHandler

from standins.serving import run_standin

app = App(help="Stand-in for a plain service.")


@dataclass(slots=True)
class ServiceState:
    """Runs and faults of the service."""

    runs: dict[str, int] = field(default_factory=dict)
    """Request id -> number of its runs."""
    received: list[bytes] = field(default_factory=list)
    lose_answers: int = 0
    """Number of next calls that run but whose answers are lost."""
    refuse: bool = False
    delay_ms: int = 0


class ServiceHandler(RequestHandler):
    """Runs a call to any path and answers with its number of runs."""

    def initialize(self, state: ServiceState) -> None:
        """Keep the state."""
        self.state = state

    async def get(self, path: str) -> None:
        """Run a call."""
        await self._async_run(path)

    async def post(self, path: str) -> None:
        """Run a call."""
        await self._async_run(path)

    async def _async_run(self, path: str) -> None:
        state = self.state
        head = f"{self.request.method} {self.request.uri}\n{self.request.headers}"
        state.received.append(head.encode() + self.request.body)
        request_id = self.request.headers.get("X-Request-Id", "")
        if state.refuse:
            self.set_status(503)
            self.set_header("X-Not-Run", "true")
            self.finish(b"null")
            return
        state.runs[request_id] = state.runs.get(request_id, 0) + 1
        if state.delay_ms:
            await asyncio.sleep(state.delay_ms / 1000)
        if state.lose_answers > 0:
            state.lose_answers -= 1
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        self.set_header("X-Request-Id", request_id)
        self.finish({"path": path, "request_id": request_id, "run": state.runs[request_id]})


class FaultHandler(RequestHandler):
    """Faults, runs and requests received (tests and demo only)."""

    def initialize(self, state: ServiceState) -> None:
        """Keep the state."""
        self.state = state

    def get(self) -> None:
        """Return the runs by request id and all received requests."""
        received = b"\n".join(self.state.received).decode(errors="replace")
        self.finish({"runs": self.state.runs, "received": received})

    def put(self) -> None:
        """Change the faults in the request."""
        request: dict[str, Any] = orjson.loads(self.request.body)
        for name, value in request.items():
            setattr(self.state, name, value)
        self.finish(b"null")


@app.default
def main(port: int = 0, address: str = "127.0.0.1") -> None:
    """Serve until SIGTERM; prints the address as one JSON line."""
    arguments = {"state": ServiceState()}
    application = Application(
        [(r"/faults", FaultHandler, arguments), (r"/(.*)", ServiceHandler, arguments)]
    )
    asyncio.run(run_standin(application, address, port))


if __name__ == "__main__":
    app()
