"""Single requests inside the limits, which no bound on all clients may refuse."""

import asyncio
import base64
from collections.abc import Iterable
from pathlib import Path
from typing import Final

import orjson
import pytest

from goldcreststair.gateway_settings import DEFAULT_MEMORY_MB
from tests.client_limits.crowd import MAX_BODY_BYTES, PIECE_BYTES, make_chunks
from tests.client_limits.gateway_site import GatewaySite
from tests.platform_adapter.local import HttpAnswer, async_read_answer, make_request

pytestmark = pytest.mark.crowd

LAST_CHUNK: Final = b"0\r\n\r\n"
HEADER_BYTES: Final = 16 * 1024
KEPT: Final = 150
KEPT_IDLE_S: Final = 11.0
BURST: Final = 120
LARGEST_BODY: Final = 55_000
JOBS: Final = 30
JOB_ITEMS: Final = 10
JOB_ITEM_BYTES: Final = 45_000
DEADLINE: Final = {"Deadline-Ms": "25000"}


def make_chunked(pieces: Iterable[bytes]) -> list[bytes]:
    """Return a request whose body is in chunks, each written on its own."""
    head = make_request("POST", "/call/x", b"", DEADLINE | {"Content-Type": "text/plain"})
    return [head.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked"), *pieces, LAST_CHUNK]


def make_long_head() -> bytes:
    """Return a request whose header is just below the limit."""
    plain = make_request("POST", "/call/x", b"", DEADLINE | {"X-Long": ""})
    return make_request(
        "POST", "/call/x", b"", DEADLINE | {"X-Long": "x" * (HEADER_BYTES - len(plain) - 16)}
    )


CASES: Final = (
    ("longest body", 0.0, [make_request("POST", "/call/x", b"x" * MAX_BODY_BYTES, DEADLINE)]),
    ("longest body in chunks", 0.0, make_chunked([make_chunks(PIECE_BYTES, MAX_BODY_BYTES)])),
    ("chunks of one byte", 0.0, make_chunked([make_chunks(1, 300_000)])),
    ("over six seconds", 0.6, make_chunked([make_chunks(150, 150)] * 10)),
    ("byte by byte", 0.06, make_chunked([make_chunks(1, 1)] * 100)),
    ("longest head", 0.0, [make_long_head()]),
)


async def async_send_slowly(site: GatewaySite, pieces: Iterable[bytes], pause_s: float) -> int:
    """Send the pieces with pauses, and return the status."""
    host, _, port = site.front.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(pause_s)
    answer = await async_read_answer(reader)
    writer.close()
    return answer.status


@pytest.mark.parametrize(
    ("pause_s", "pieces"), [each[1:] for each in CASES], ids=[c[0] for c in CASES]
)
def test_a_single_request_inside_the_limits_is_served(
    pause_s: float, pieces: list[bytes], tmp_path: Path
) -> None:
    """Guards against bounds on crowds that a single well-behaved client meets."""

    async def scenario() -> int:
        async with GatewaySite(tmp_path, DEFAULT_MEMORY_MB) as site:
            return await async_send_slowly(site, pieces, pause_s)

    assert asyncio.run(scenario()) == 200


def test_kept_connections_serve_again(tmp_path: Path) -> None:
    """Guards against idle connections that are closed within the time for which callers keep them."""

    async def async_ask(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> int:
        writer.write(make_request("POST", "/call/x", b"x" * 1500, {"Request-Id": f"k{number}"}))
        return (await async_read_answer(reader)).status

    async def scenario() -> set[int]:
        async with GatewaySite(tmp_path, DEFAULT_MEMORY_MB) as site:
            host, _, port = site.front.rpartition(":")
            kept = [await asyncio.open_connection(host, int(port)) for _ in range(KEPT)]
            first = [await async_ask(*each, n) for n, each in enumerate(kept)]
            await asyncio.sleep(KEPT_IDLE_S)
            second = [await async_ask(*each, KEPT + n) for n, each in enumerate(kept)]
            for _, writer in kept:
                writer.close()
        return {*first, *second}

    assert asyncio.run(scenario()) == {200}


def make_job(number: int) -> bytes:
    """Return the submission of a batch job with large items."""
    body = base64.b64encode(b"x" * JOB_ITEM_BYTES).decode()
    items = [
        {"id": f"{number:08x}{n:08x}", "path": "/batch/x", "headers": {}, "body": body, "tokens": 1}
        for n in range(JOB_ITEMS)
    ]
    fields = DEADLINE | {"Request-Id": f"job{number}", "Content-Type": "application/json"}
    return make_request("POST", "/batch/x", orjson.dumps({"requests": items}), fields)


def make_burst_request(number: int) -> bytes:
    """Return a request with the largest body that callers send."""
    fields = DEADLINE | {"Request-Id": f"b{number}"}
    return make_request("POST", "/call/x", b"x" * LARGEST_BODY, fields)


def test_a_burst_of_large_bodies_is_no_crowd(tmp_path: Path) -> None:
    """Guards against a bound that refuses many ordinary callers who send their largest bodies at once."""
    requests = [
        *(make_burst_request(number) for number in range(BURST)),
        *(make_job(number) for number in range(JOBS)),
    ]

    async def scenario() -> tuple[list[HttpAnswer], str]:
        async with GatewaySite(tmp_path, DEFAULT_MEMORY_MB) as site:
            answers = await asyncio.gather(*(site.async_call(each) for each in requests))
            return answers, (tmp_path / "daemon.log").read_text()

    answers, log = asyncio.run(scenario())
    # A job over its customer's tokens may be refused; the bound on all clients may refuse none.
    assert {each.status for each in answers} <= {200, 202, 429}
    assert '"event":"Client connection closed"' not in log
