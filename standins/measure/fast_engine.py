"""Upstream that streams without computing, to measure the relaying between it and a caller."""

import asyncio

import orjson
from cyclopts import App
from tornado.web import Application, RequestHandler

from standins.engine.requests import END_MARKER
from standins.serving import run_standin

app = App(help="Stand-in that streams tokens without computing anything.")


class StreamHandler(RequestHandler):
    """Streams `max_tokens` events, each flushed on its own, paced by `pace_ms`."""

    async def post(self) -> None:
        """Stream one answer."""
        request = orjson.loads(self.request.body)
        request_id = self.request.headers.get("X-Request-Id", "")
        self.set_header("X-Request-Id", request_id)
        if not request.get("stream"):
            usage = {"completion_tokens": 1, "prompt_tokens": 1, "total_tokens": 2}
            choice = {"index": 0, "text": "a", "finish_reason": "stop"}
            self.finish({"id": request_id, "choices": [choice], "usage": usage})
            return
        self.set_header("Content-Type", "text/event-stream")
        data = orjson.dumps(
            {
                "id": request_id,
                "object": "text_completion",
                "model": request["model"],
                "choices": [{"index": 0, "finish_reason": None, "text": "token "}],
            }
        )
        pace_s = float(request.get("pace_ms", 0)) / 1000
        for index in range(int(request["max_tokens"])):
            self.write(b"id: %d\ndata: %s\n\n" % (index, data))
            await self.flush()
            await asyncio.sleep(pace_s)
        self.finish(END_MARKER)


class LoadHandler(RequestHandler):
    """An idle load report."""

    def get(self) -> None:
        """Answer."""
        report = {"sequence": 1, "running": 0, "waiting": 0, "kv_used": 0, "kv_total": 1}
        self.finish({**report, "draining": False, "models": ["small"]})


class EventsHandler(RequestHandler):
    """No cache events."""

    def get(self) -> None:
        """Answer."""
        self.finish(b"[]")


@app.default
def main(port: int = 0, address: str = "127.0.0.1") -> None:
    """Serve until SIGTERM; prints the address as one JSON line."""
    routes = [
        (r"/v1/completions", StreamHandler),
        (r"/load", LoadHandler),
        (r"/cache_events", EventsHandler),
    ]
    asyncio.run(run_standin(Application(routes), address, port))


if __name__ == "__main__":
    app()
