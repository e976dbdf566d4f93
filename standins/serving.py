"""HTTP serving shared by the stand-in processes."""

import asyncio
import signal

import orjson
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application


async def run_standin(application: Application, address: str, port: int) -> None:
    """Serve until SIGTERM or SIGINT; prints `{"listening": "HOST:PORT"}` once ready."""
    server = HTTPServer(application, max_buffer_size=256 * 1024 * 1024)
    sockets = bind_sockets(port, address)
    server.add_sockets(sockets)
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    host, bound = sockets[0].getsockname()[:2]
    print(orjson.dumps({"listening": f"{host}:{bound}"}).decode(), flush=True)
    await stopped.wait()
    server.stop()
