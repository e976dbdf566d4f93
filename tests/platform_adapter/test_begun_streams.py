"""Streams of one attempt that end only with their engines or their deadlines."""

import asyncio
import copy
from collections.abc import Callable
from typing import Any

import orjson
import pytest

from goldcreststair.components.crash_marks.service import CRASH_TRACKER
from goldcreststair.components.placement.service import PLACEMENT
from goldcreststair.store.rows import RowKey
from tests.platform_adapter.local import (
    CONFIG,
    HOST,
    KEY,
    LocalGateway,
    async_read_answer,
    make_request,
    register,
    run_local,
)
from tests.platform_adapter.wire_engine import EngineFault, make_event

PATH = "/once/x"
WHOLE = b"".join(make_event(number) for number in (1, 2, 3))
DEADLINE = {"Deadline-Ms": "5000"}
LONG_BODY = b"x" * 2_000_000
"""More than an engine receives without reading it."""


def make_config() -> dict[str, Any]:
    """Return a configuration in which long bodies are allowed."""
    config = copy.deepcopy(CONFIG)
    config["limits"]["max_body_bytes"] = len(LONG_BODY)
    return config


@pytest.mark.parametrize("fault", [EngineFault.STALLS_IN_FRAMING, EngineFault.READS_LATE])
def test_stream_of_a_slow_engine_is_not_cut(fault: EngineFault) -> None:
    """Guards against a stream of one attempt that is cut though its engine is still at work."""

    async def scenario(local: LocalGateway) -> None:
        local.engine.faults = [fault]
        answer = await local.async_call("POST", PATH, LONG_BODY, DEADLINE)
        assert (answer.status, answer.whole, answer.body) == (200, True, WHOLE)
        assert [len(seen.body) for seen in local.engine.seen] == [len(LONG_BODY)]

    run_local(scenario, make_config())


SILENT_S = 3.5
"""Longer than any timeout on the silence of an upstream or of a connection."""


@pytest.mark.parametrize("path", ["/once/x", "/stream/x"])
@pytest.mark.parametrize("body", [b"body", LONG_BODY], ids=["short", "long"])
def test_stream_of_the_only_engine_outlives_its_silence(path: str, body: bytes) -> None:
    """Guards against a stream that is ended for a silence of its engine, which nobody could replace."""

    async def scenario(local: LocalGateway) -> None:
        local.engine.events, local.engine.pause_s = 1, SILENT_S
        answer = await local.async_call("POST", path, body, DEADLINE)
        assert (answer.status, answer.whole, answer.body) == (200, True, make_event(1))
        assert len(local.engine.seen) == 1

    run_local(scenario, make_config())


EVENTS = 10
PAUSE_S = 0.12
LONG_WHOLE = b"".join(make_event(number) for number in range(1, EVENTS + 1))


def put_config(local: LocalGateway, change: Callable[[dict[str, Any]], None]) -> None:
    """Put a configuration in force that differs from the first one by a change."""
    config = copy.deepcopy(CONFIG)
    config["version"] += 1
    change(config)
    local.store.store.put(RowKey("op", "", "config"), orjson.dumps(config))


def drop_route(config: dict[str, Any]) -> None:
    config["routes"] = [route for route in config["routes"] if route["name"] != "r-once"]


def move_route(config: dict[str, Any]) -> None:
    config["services"].append({"name": "other"})
    next(each for each in config["routes"] if each["name"] == "r-once")["service"] = "other"


def shorten_route(config: dict[str, Any]) -> None:
    next(each for each in config["routes"] if each["name"] == "r-once")["timeout_ms"] = 300


def drop_customer(config: dict[str, Any]) -> None:
    config["tenants"] = config["tenants"][1:]


def revoke_key(config: dict[str, Any]) -> None:
    config["tenants"][0]["api_keys"] = ["key-new"]


def lower_quota(config: dict[str, Any]) -> None:
    config["tenants"][0] |= {"rate_per_s": 0.01, "burst": 1}


def lower_limits(config: dict[str, Any]) -> None:
    config["limits"] = {"max_header_bytes": 10, "max_body_bytes": 1}
    config["services"][0]["max_conns"] = 1


def refuse_suspects(local: LocalGateway) -> None:
    """Let a crash verdict fall on all that runs."""
    tracker = local.gateway.core.get(CRASH_TRACKER)
    for guard in tuple(tracker._guards):
        guard.on_refused()


def mark_upstream_down(local: LocalGateway) -> None:
    """Let another request find that the engine refuses connections; the events that follow refute it."""
    placement = local.gateway.core.get(PLACEMENT)
    entry = placement.controller.upstreams.find(local.engine.name)
    assert entry is not None
    placement.mark_down(entry, "refused", "r9", refuses_connections=True)


CHANGES: dict[str, tuple[Callable[[LocalGateway], None], int]] = {
    "route dropped": (lambda local: put_config(local, drop_route), 404),
    "route moved": (lambda local: put_config(local, move_route), 503),
    "timeout shortened": (lambda local: put_config(local, shorten_route), 504),
    "customer dropped": (lambda local: put_config(local, drop_customer), 401),
    "key revoked": (lambda local: put_config(local, revoke_key), 401),
    "quota lowered": (lambda local: put_config(local, lower_quota), 429),
    "limits lowered": (lambda local: put_config(local, lower_limits), 413),
    "upstream drained": (lambda local: register(local.store, local.engine, "draining"), 503),
    "upstream removed": (
        lambda local: local.store.store.drop(RowKey("servers", "", local.engine.name)),
        503,
    ),
    "upstream restarted": (
        lambda local: register(local.store, local.engine, version="v2", born=2),
        200,
    ),
    "data centre evacuated": (
        lambda local: local.store.store.put(RowKey("op", "", "evacuate/dc-a"), b"{}"),
        503,
    ),
    "crash verdict": (refuse_suspects, 200),
    "upstream found down": (mark_upstream_down, 200),
    "feed lost its history": (lambda local: local.store.store.drop_history(), 200),
    "store lost": (lambda local: local.store.stop(), 200),
    "idle connections closed": (lambda local: local.gateway.core.runner.pool.close(), 200),
}
"""What happens during a stream, and the status of a request after it."""


@pytest.mark.parametrize(("change", "status"), CHANGES.values(), ids=CHANGES.keys())
@pytest.mark.parametrize("kept", [False, True], ids=["new connections", "kept connections"])
def test_begun_stream_outlives_what_new_requests_are_refused_for(
    change: Callable[[LocalGateway], None], status: int, kept: bool
) -> None:
    """Guards against a begun stream that is cut because the configuration or the fleet has changed."""

    async def scenario(local: LocalGateway) -> None:
        reader, writer = await local.async_open()
        if kept:
            writer.write(make_request("POST", PATH, headers={"Request-Id": "r0"}))
            assert (await async_read_answer(reader)).whole
        local.engine.events, local.engine.pause_s = EVENTS, PAUSE_S
        writer.write(make_request("POST", PATH, b"body", DEADLINE))
        await asyncio.sleep(2.5 * PAUSE_S)
        assert local.engine.seen
        change(local)
        answer = await async_read_answer(reader)
        assert (answer.status, answer.whole, answer.body) == (200, True, LONG_WHOLE)
        local.engine.faults = [EngineFault.SILENT] if status == 504 else []
        later = await local.async_call("POST", PATH, b"body", {"Request-Id": "r2"})
        assert later.status == status

    run_local(scenario)


CHUNKED = (
    f"POST {PATH} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r1\r\nX-Api-Key: {KEY}\r\n"
    "Deadline-Ms: 5000\r\nTransfer-Encoding: chunked\r\n"
).encode()
NEXT = make_request("POST", PATH, headers={"Request-Id": "r2"})
BODY = b"5\r\nprobe\r\n0\r\n\r\n"
SENDINGS: dict[str, tuple[bytes, ...]] = {
    "in one piece": (CHUNKED + b"\r\n" + BODY,),
    "byte by byte": (CHUNKED + b"\r\n", *(BODY[n : n + 1] for n in range(len(BODY)))),
    "last chunk late": (CHUNKED + b"\r\n5\r\nprobe\r\n", b"0\r\n", b"\r\n"),
    "awaiting 100": (CHUNKED + b"Expect: 100-continue\r\n\r\n", BODY),
    "next request behind": (CHUNKED + b"\r\n" + BODY + NEXT,),
    "next request during the answer": (CHUNKED + b"\r\n" + BODY, b"", b"", b"", NEXT),
    "blank line behind": (CHUNKED + b"\r\n" + BODY + b"\r\n",),
    "announced close": (CHUNKED + b"Connection: close\r\n\r\n" + BODY,),
}


@pytest.mark.parametrize("pieces", SENDINGS.values(), ids=SENDINGS.keys())
def test_stream_of_a_request_in_chunks_is_whole(pieces: tuple[bytes, ...]) -> None:
    """Guards against an answer that is cut for how its caller has sent the request."""

    async def scenario(local: LocalGateway) -> None:
        local.engine.events, local.engine.pause_s = EVENTS, PAUSE_S
        reader, writer = await local.async_open()
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0.1)
        if b"Expect" in pieces[0]:
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100")
        answer = await async_read_answer(reader)
        assert (answer.status, answer.whole, answer.body) == (200, True, LONG_WHOLE)
        assert local.engine.seen[0].body == b"probe"

    run_local(scenario)
