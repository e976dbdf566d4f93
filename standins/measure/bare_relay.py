"""Minimal tornado relay, the baseline for the daemon's relaying."""

import asyncio

from cyclopts import App
from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.web import Application, RequestHandler

from standins.serving import run_standin

app = App(help="Relay without any decision, on tornado's own client and server.")


class RelayHandler(RequestHandler):
    """Forwards a request and streams its answer back."""

    def initialize(self, upstreams: list[str]) -> None:
        """Set the upstreams."""
        self.upstreams = upstreams

    async def post(self) -> None:
        """Relay one request."""
        upstream = self.upstreams[0]
        self.upstreams.append(self.upstreams.pop(0))
        self.set_header("Content-Type", "text/event-stream")
        request = HTTPRequest(
            f"http://{upstream}{self.request.path}",
            method="POST",
            body=self.request.body,
            headers={"X-Request-Id": "r"},
            streaming_callback=self._relay,
            request_timeout=60,
        )
        await AsyncHTTPClient().fetch(request)
        await self.finish()

    async def _relay(self, data: bytes) -> None:
        self.write(data)
        await self.flush()


@app.default
def main(upstreams: str, port: int = 0, address: str = "127.0.0.1") -> None:
    """Relay to `upstreams` (comma-separated) in turn until SIGTERM."""
    AsyncHTTPClient.configure(None, max_clients=1000)
    arguments = {"upstreams": upstreams.split(",")}
    asyncio.run(run_standin(Application([(r"/.*", RelayHandler, arguments)]), address, port))


if __name__ == "__main__":
    app()
