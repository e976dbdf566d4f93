"""Callers' connections: valid and malformed messages, streams, and a daemon that leaves."""

import asyncio
import socket
import struct

import pytest
from users_platform.jobs import JobCalls

from goldcreststair.client_limits.const import FIELDS_PER_TURN, MAX_HEADER_FIELDS
from goldcreststair.client_limits.controller import ClientBudget
from goldcreststair.client_limits.models import Holding
from goldcreststair.components.entry.service import ENTRY
from goldcreststair.components.forwarding.service import ForwardingService
from tests.helpers.conditions import async_wait_until
from tests.platform_adapter.local import (
    LocalGateway,
    async_read_answer,
    make_request,
    run_local,
)
from tests.platform_adapter.wire_engine import EngineFault, make_event

WHOLE = b"".join(make_event(number) for number in (1, 2, 3))


def test_a_stream_reaches_the_caller_with_its_engines_headers() -> None:
    async def scenario(local: LocalGateway) -> None:
        headers = {"Prompt-Prefix": "a:10,b:20", "X-Other": "kept", "Tenant": "forged"}
        answer = await local.async_call("POST", "/stream/x?y=z", b"prompt", headers)
        assert (answer.status, answer.body, answer.whole) == (200, WHOLE, True)
        assert answer.headers["Response-Stamp"] == "s"
        assert answer.headers["Request-Id"] == "r1"
        (seen,) = local.engine.seen
        assert seen.start_line == "POST /stream/x?y=z HTTP/1.1" and seen.body == b"prompt"
        assert seen.headers["Tenant"] == "club" and seen.headers["X-Other"] == "kept"
        assert seen.headers["Host"] == "host.example"
        assert "X-Api-Key" not in seen.headers
        assert int(seen.headers["Deadline-Ms"]) <= 3000

    run_local(scenario)


def test_closed_connections_are_removed() -> None:
    """Guards against memory that grows with every connection that a caller ever opened."""

    async def scenario(local: LocalGateway) -> None:
        for _ in range(3):
            _, writer = await local.async_open()
            writer.write(make_request("POST", "/stream/x"))
        await asyncio.sleep(0.2)
        assert len(local.callers.connections) == 3
        for writer in local.connections:
            writer.close()
        await asyncio.sleep(0.2)
        assert len(local.callers.connections) == 0
        assert local.callers.count_running() == 0

    run_local(scenario)


@pytest.mark.parametrize("path", ["/stream/x", "/-/lots/j1"])
def test_an_internal_error_is_answered(monkeypatch: pytest.MonkeyPatch, path: str) -> None:
    """Guards against a connection that is closed without an answer after an exception in the daemon."""

    async def async_fail(*_: object) -> None:
        raise ZeroDivisionError

    async def scenario(local: LocalGateway) -> None:
        monkeypatch.setattr(ForwardingService, "async_forward", async_fail)
        monkeypatch.setattr(JobCalls, "async_answer", async_fail)
        answer = await local.async_call("POST", path)
        assert (answer.status, answer.whole) == (502, True)

    run_local(scenario)


def test_a_keep_alive_connection_serves_many_requests() -> None:
    async def scenario(local: LocalGateway) -> None:
        reader, writer = await local.async_open()
        for number in range(3):
            writer.write(make_request("POST", "/stream/x", headers={"Request-Id": f"r{number}"}))
            answer = await async_read_answer(reader)
            assert answer.whole and answer.headers["Request-Id"] == f"r{number}"

    run_local(scenario)


@pytest.mark.parametrize(
    ("path", "body", "headers", "status"),
    [
        ("/nowhere/x", b"", {}, 404),
        ("/stream/x", b"", {"Host": "other.example"}, 404),
        ("/stream/x", b"", {"X-Api-Key": "wrong"}, 401),
        ("/stream/x", b"", {"X-Api-Key": ""}, 401),
        ("/stream/x", b"", {"Request-Id": ""}, 400),
        ("/stream/x", b"", {"Deadline-Ms": "soon"}, 400),
        ("/stream/x", b"", {"Last-Event-Id": "-1"}, 400),
        ("/stream/x", b"", {"X-Long": "x" * 5_000}, 413),
        ("/stream/x", b"x" * 100_001, {}, 413),
    ],
)
def test_a_malformed_message_gets_a_clear_answer_and_affects_no_other_request(
    path: str, body: bytes, headers: dict[str, str], status: int
) -> None:
    async def scenario(local: LocalGateway) -> None:
        answer = await local.async_call("POST", path, body, headers)
        assert answer.status == status
        assert answer.read_json()["error"]["message"]
        assert local.engine.seen == []
        assert (await local.async_call("POST", "/stream/x")).status == 200

    run_local(scenario)


@pytest.mark.parametrize("bad", [b"GARBAGE\r\n\r\n", b"POST /stream/x HTTP/1.1\r\nHo"])
def test_a_malformed_head_ends_only_its_own_connection(bad: bytes) -> None:
    async def scenario(local: LocalGateway) -> None:
        _, writer = await local.async_open()
        writer.write(bad)
        writer.close()
        assert (await local.async_call("POST", "/stream/x")).status == 200

    run_local(scenario)


@pytest.mark.parametrize(
    ("faults", "path", "status", "whole"),
    [
        ([EngineFault.CUT], "/once/x", 200, False),
        ([EngineFault.GARBAGE], "/once/x", 502, True),
        ([EngineFault.NOT_RUN], "/once/x", 503, True),
        ([EngineFault.MISDIRECTED], "/once/x", 503, True),
    ],
)
def test_an_incomplete_answer_never_looks_complete(
    faults: list[EngineFault], path: str, status: int, whole: bool
) -> None:
    """Guards against a caller that takes half an answer for the whole, as the engine failed within it.

    A request that may have run is answered 502 or cut; only one that has certainly not run is answered
    503 with a time to retry.
    """

    async def scenario(local: LocalGateway) -> None:
        local.engine.faults = faults
        answer = await local.async_call("POST", path)
        assert (answer.status, answer.whole) == (status, whole)
        assert ("Retry-After" in answer.headers) == (status == 503)

    run_local(scenario)


BROKEN_HEADS = [fault for fault in EngineFault if fault.name.startswith("HEAD_")]


@pytest.mark.parametrize("fault", [*BROKEN_HEADS, EngineFault.SHORT])
@pytest.mark.parametrize("path", ["/once/x", "/call/x"])
@pytest.mark.parametrize("kept", [False, True], ids=["new", "kept"])
def test_a_head_that_is_broken_off_is_no_answer(fault: EngineFault, path: str, kept: bool) -> None:
    """Guards against a 200 with an empty body, framed as whole, for an engine that closed in its head."""

    async def scenario(local: LocalGateway) -> None:
        if kept:
            assert (await local.async_call("POST", path)).status == 200
        local.engine.faults = [fault]
        answer = await local.async_call("POST", path)
        assert not (answer.status < 300 and answer.whole)
        assert answer.status == 502 or (fault is EngineFault.SHORT and not answer.whole)
        assert "Response-Stamp" not in answer.headers or answer.status == 200

    run_local(scenario)


@pytest.mark.parametrize("fault", [*BROKEN_HEADS, EngineFault.SHORT])
def test_a_stream_whose_engine_closes_in_its_head_is_whole_or_no_success(
    fault: EngineFault,
) -> None:
    async def scenario(local: LocalGateway) -> None:
        local.engine.faults = [fault]
        answer = await local.async_call("POST", "/stream/x")
        assert (answer.status, answer.whole) in ((200, True), (502, True), (200, False))
        if answer.whole and answer.status == 200:
            assert answer.body == b"".join(make_event(number) for number in (1, 2, 3))

    run_local(scenario)


@pytest.mark.parametrize("path", ["/once/x", "/call/x"])
def test_a_status_that_is_not_registered_reaches_the_caller(path: str) -> None:
    """Guards against a connection that ends without an answer, as the answer's status has no reason phrase."""

    async def scenario(local: LocalGateway) -> None:
        local.engine.faults = [EngineFault.ODD_STATUS]
        answer = await local.async_call("POST", path)
        assert answer.whole and answer.status == 499 and answer.body == b"odd"

    run_local(scenario)


def test_a_caller_that_closes_its_connection_ends_the_run() -> None:
    async def scenario(local: LocalGateway) -> None:
        local.engine.faults = [EngineFault.SILENT]
        _, writer = await local.async_open()
        writer.write(make_request("POST", "/once/x"))
        await asyncio.sleep(0.2)
        pool = local.gateway.core.runner.pool
        assert pool.count_open(local.engine.address) == 1
        writer.close()
        await asyncio.sleep(0.2)
        assert pool.count_open(local.engine.address) == 0

    run_local(scenario)


@pytest.mark.parametrize("path", ["/call/x", "/stream/x"])
@pytest.mark.parametrize("resets", [True, False], ids=["reset", "closed"])
def test_requests_of_a_caller_that_has_gone_are_not_run(path: str, resets: bool) -> None:
    """Guards against requests sent one behind another that run although their caller has disconnected."""

    async def scenario(local: LocalGateway) -> None:
        local.engine.pause_s = 0.05
        _, writer = await local.async_open()
        writer.write(make_request("POST", path, b"x" * 1500) * 10)
        await async_wait_until(lambda: len(local.engine.seen) > 0)
        if resets:
            opened: socket.socket = writer.get_extra_info("socket")
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
        await async_wait_until(lambda: not local.callers.connections)
        # The first one was running, and the next one may have been read meanwhile.
        assert len(local.engine.seen) <= 2

    run_local(scenario)


def test_a_head_of_too_many_fields_closes_its_connection() -> None:
    """Guards against heads that take long to parse for their length."""

    async def scenario(local: LocalGateway) -> None:
        reader, writer = await local.async_open()
        fields = b"a:\r\n" * (MAX_HEADER_FIELDS + 1)
        writer.write(b"POST /call/x HTTP/1.1\r\n" + fields + b"\r\n")
        assert await reader.read() == b""

    run_local(scenario)


def test_heads_of_many_fields_take_turns(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against clients whose heads take the time of all others."""
    turns: list[int] = []

    async def async_take_turn(_: ClientBudget, __: Holding, count: int) -> None:
        turns.append(count)

    async def scenario(local: LocalGateway) -> None:
        monkeypatch.setattr(ClientBudget, "async_take_turn", async_take_turn)
        for count in (FIELDS_PER_TURN // 2, 2 * FIELDS_PER_TURN):
            fields = {f"X-{number}": "x" for number in range(count)}
            await local.async_call("POST", "/call/x", headers=fields)
        assert turns == [2]

    run_local(scenario)


def test_addresses_and_readiness_before_and_during_a_leave() -> None:
    async def scenario(local: LocalGateway) -> None:
        path = "/-/resolve?name=host.example&region=default&zone=dc-a"
        answer = await local.async_call("GET", path, address=local.entry_address)
        assert answer.read_json() == {"addresses": [local.front], "ttl_s": 1}
        ready = await local.async_call("GET", "/-/ready", address=local.entry_address)
        assert ready.status == 200
        local.gateway.core.get(ENTRY).leave()
        ready = await local.async_call("GET", "/-/ready", address=local.entry_address)
        assert ready.status == 503
        gone = await local.async_call("GET", path, address=local.entry_address)
        assert gone.status == 503

    run_local(scenario)


def test_a_leaving_daemon_still_serves_and_asks_callers_to_close() -> None:
    """Guards against requests that are cut by planned maintenance.

    A leaving VM still serves new requests, closes each connection after an answer, and ends within its
    grace period.
    """

    async def scenario(local: LocalGateway) -> None:
        reader, writer = await local.async_open()
        entry = local.gateway.core.get(ENTRY)
        started_at = asyncio.get_running_loop().time()
        entry.leave()
        writer.write(make_request("POST", "/stream/x"))
        answer = await async_read_answer(reader)
        assert answer.status == 200 and answer.whole
        assert answer.headers.get("Connection") == "close"
        await entry.async_wait()
        assert asyncio.get_running_loop().time() - started_at <= 1.0

    run_local(scenario)
