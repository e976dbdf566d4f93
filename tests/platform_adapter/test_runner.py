"""Runs over keep-alive connections against an engine that answers wrongly."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest
from result import Err, Ok, Result
from users_platform.dialect import PlatformDialect

from goldcreststair.clock import LoopClock, Millis
from goldcreststair.http_pool import ConnectionPool
from goldcreststair.upstreams.dialect import RunCall, RunHead
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.runner import RunEnd, UpstreamRunner, async_run_checked
from tests.platform_adapter.wire_engine import EngineFault, WireEngine, make_event, make_head


class Sink:
    """Collects the head and the data of an answer."""

    def __init__(self, streams: bool = True) -> None:
        self.wants_chunks = streams
        self.is_broken = False
        self.held_bytes = 0
        self.head: RunHead | None = None
        self.data = b""

    def drop_partial_event(self) -> None:
        pass

    def on_head(self, head: RunHead) -> None:
        self.head = head

    def on_data(self, chunk: bytes) -> None:
        self.data += chunk


def make_call(request_id: str = "r1", **changes: object) -> RunCall:
    """Return a run call with changed fields."""
    fields: dict[str, object] = {
        "request_id": request_id,
        "method": "POST",
        "host": "host.example",
        "path": "/a/b?c=d",
        "headers": (("Model", "m"),),
        "body": b"body",
        "customer": "club",
        "upstream": "i-1",
        "deadline_ms": 2_000,
    }
    return RunCall(**(fields | changes))  # type: ignore[arg-type]


def run_engine(scenario: Callable[[WireEngine, UpstreamRunner], Awaitable[None]]) -> None:
    """Run a scenario against an engine on loopback."""

    async def async_run() -> None:
        engine = WireEngine()
        await engine.async_start()
        pool = ConnectionPool(LoopClock())
        try:
            async with asyncio.timeout(20):
                await scenario(engine, UpstreamRunner(pool, PlatformDialect()))
        finally:
            pool.close()
            await engine.async_close()

    asyncio.run(async_run())


async def async_run_call(
    engine: WireEngine, runner: UpstreamRunner, call: RunCall
) -> tuple[Result[RunEnd, UpstreamError], Sink]:
    """Run one call; returns its end and the sink that collected the answer."""
    sink = Sink()
    return await runner.async_run(engine.address, call, sink), sink


WHOLE = b"".join(make_event(number) for number in (1, 2, 3))


def test_a_run_sends_only_the_headers_that_the_engine_needs() -> None:
    async def scenario(engine: WireEngine, runner: UpstreamRunner) -> None:
        end, sink = await async_run_call(engine, runner, make_call(resume_after=1))
        assert isinstance(end, Ok) and sink.data == make_event(2) + make_event(3)
        (seen,) = engine.seen
        assert seen.start_line == "POST /a/b?c=d HTTP/1.1"
        assert seen.body == b"body"
        assert seen.headers == {
            "Host": "host.example",
            "Model": "m",
            "Request-Id": "r1",
            "Tenant": "club",
            "Deadline-Ms": "2000",
            "Target-Instance": "i-1",
            "Last-Event-Id": "1",
            "Content-Length": "4",
        }
        assert sink.head is not None
        names = [name for name, _ in sink.head.headers]
        assert "Response-Stamp" in names and "Request-Id" in names
        assert not {"Transfer-Encoding", "Keep-Alive", "Server-Load"} & set(names)

    run_engine(scenario)


@pytest.mark.parametrize("size", [4, 100_000, 2_000_000])
def test_connections_are_reused(size: int) -> None:
    async def scenario(engine: WireEngine, runner: UpstreamRunner) -> None:
        for number in range(5):
            call = make_call(f"r{number}", body=b"x" * size)
            end, _ = await async_run_call(engine, runner, call)
            assert isinstance(end, Ok)
        assert engine.connections == 1

    run_engine(scenario)


@pytest.mark.parametrize("fault", [EngineFault.EXTRA, EngineFault.EXTRA_LATE])
def test_an_answer_to_another_request_is_never_forwarded(fault: EngineFault) -> None:
    """Guards against a caller that gets the answer to another caller's request.

    An engine sends an extra answer on a connection, where the answer to the next request is expected.
    Its request id tells it apart, whether it arrives before the next request or after.
    """

    async def scenario(engine: WireEngine, runner: UpstreamRunner) -> None:
        engine.faults = [fault]
        await async_run_call(engine, runner, make_call("r1"))
        await asyncio.sleep(0.05)
        end, sink = await async_run_call(engine, runner, make_call("r2"))
        assert isinstance(end, Ok) and sink.data == WHOLE
        assert dict(sink.head.headers)["Request-Id"] == "r2"  # type: ignore[union-attr]

    run_engine(scenario)


@pytest.mark.parametrize(
    ("fault", "failure"),
    [
        (EngineFault.CUT, UpstreamFailure.LOST),
        (EngineFault.UNFRAMED_RESET, UpstreamFailure.LOST),
        (EngineFault.GARBAGE, UpstreamFailure.LOST),
        (EngineFault.NOT_RUN, UpstreamFailure.REFUSED),
        (EngineFault.MISDIRECTED, UpstreamFailure.REFUSED),
        (EngineFault.SILENT, UpstreamFailure.TIMEOUT),
    ],
)
def test_failures_are_classified(fault: EngineFault, failure: UpstreamFailure) -> None:
    async def scenario(engine: WireEngine, runner: UpstreamRunner) -> None:
        engine.faults = [fault]
        end, _ = await async_run_call(engine, runner, make_call(deadline_ms=300))
        assert isinstance(end, Err) and end.err_value.failure is failure
        again, sink = await async_run_call(engine, runner, make_call("r2"))
        assert isinstance(again, Ok) and sink.data == WHOLE

    run_engine(scenario)


@pytest.mark.parametrize("fault", [EngineFault.UNFRAMED, EngineFault.CLOSES])
def test_an_answer_that_ends_with_its_connection_is_complete(fault: EngineFault) -> None:
    async def scenario(engine: WireEngine, runner: UpstreamRunner) -> None:
        engine.faults = [fault]
        end, sink = await async_run_call(engine, runner, make_call("r1"))
        assert isinstance(end, Ok) and sink.data == WHOLE
        await async_run_call(engine, runner, make_call("r2"))
        assert engine.connections == 2

    run_engine(scenario)


def test_an_answer_without_a_length_is_not_complete_if_its_engine_crashed() -> None:
    """Guards against an answer that is cut by a crash, and passed on as a whole one."""

    async def scenario(engine: WireEngine, runner: UpstreamRunner) -> None:
        for fault, is_whole in ((EngineFault.UNFRAMED, True), (EngineFault.UNFRAMED_CRASH, False)):
            engine.faults, sink = [fault], Sink()
            end = await async_run_checked(runner, engine.address, make_call(), sink)
            assert isinstance(end, Ok) is is_whole
            assert is_whole or sink.data == make_event(1)

    run_engine(scenario)


def test_an_answer_without_a_length_is_complete_if_its_engine_accepts_late() -> None:
    """Guards against a whole stream that is cut, as its engine had no room for another connection at its end."""

    async def scenario(engine: WireEngine, runner: UpstreamRunner) -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as listening:
            listening.bind(("127.0.0.1", 0))
            listening.listen(0)
            listening.setblocking(False)
            host, port = listening.getsockname()
            sink = Sink()
            address = f"{host}:{port}"
            running = asyncio.create_task(async_run_checked(runner, address, make_call(), sink))
            served, _ = await loop.sock_accept(listening)
            await loop.sock_recv(served, 65_536)
            # It fills the queue, so that the kernel drops the first packet of the next one.
            waiting = socket.create_connection((host, port))
            await loop.sock_sendall(served, make_head(200, "r1", "Connection: close") + WHOLE)
            served.close()
            await asyncio.sleep(0.5)
            first, _ = await loop.sock_accept(listening)
            end = await running
            waiting.close()
            first.close()
        assert isinstance(end, Ok) and sink.data == WHOLE

    run_engine(scenario)


@pytest.mark.parametrize("size", [1_000_000, 8_000_000], ids=["in the kernel", "in this process"])
def test_a_connection_whose_engine_answered_before_it_read_the_body_is_not_reused(
    size: int,
) -> None:
    """Guards against an engine that takes the next request for the rest of a body, or reads it seconds later.

    It answers a failure before it has read a long body, and reads on: another request on that connection
    would be read as part of the body, or after the rest of it.
    """

    async def scenario(engine: WireEngine, runner: UpstreamRunner) -> None:
        engine.faults = [EngineFault.EARLY]
        end, _ = await async_run_call(engine, runner, make_call("r1", body=b"x" * size))
        assert isinstance(end, Ok) and end.ok_value.head.status == 500
        again, sink = await async_run_call(engine, runner, make_call("r2"))
        assert isinstance(again, Ok) and sink.data == WHOLE
        assert engine.seen[-1].connection == 2

    run_engine(scenario)


def test_a_cancelled_run_closes_its_connection() -> None:
    async def scenario(engine: WireEngine, runner: UpstreamRunner) -> None:
        engine.faults = [EngineFault.SILENT]
        run = asyncio.create_task(async_run_call(engine, runner, make_call("r1")))
        await asyncio.sleep(0.1)
        run.cancel()
        await asyncio.gather(run, return_exceptions=True)
        assert runner.pool.count_open(engine.address) == 0

    run_engine(scenario)


class ShiftedClock(LoopClock):
    """The loop's time with a shift, as after a suspension of the VM."""

    shift_ms = 0

    def now(self) -> Millis:
        return Millis(super().now() + self.shift_ms)


def test_an_expired_idle_connection_does_not_count_as_open() -> None:
    """Guards against items that wait while slots are free, as unusable connections count as open."""

    async def scenario(engine: WireEngine, _: UpstreamRunner) -> None:
        clock = ShiftedClock()
        runner = UpstreamRunner(ConnectionPool(clock), PlatformDialect())
        calls = (async_run_call(engine, runner, make_call(f"r{number}")) for number in range(2))
        await asyncio.gather(*calls)
        assert runner.pool.count_open(engine.address) == 2
        clock.shift_ms = 10_000
        assert runner.pool.count_open(engine.address) == 0

    run_engine(scenario)


def test_a_refused_connection_is_reported_as_not_run() -> None:
    async def scenario(engine: WireEngine, runner: UpstreamRunner) -> None:
        await engine.async_close()
        end, _ = await async_run_call(engine, runner, make_call())
        assert isinstance(end, Err) and end.err_value.not_run

    run_engine(scenario)


def test_a_late_copy_is_not_the_answer_of_the_next_run_of_its_request() -> None:
    """Guards against an item that is given up as one failure of its upstream counts twice."""

    async def scenario(engine: WireEngine, runner: UpstreamRunner) -> None:
        engine.faults = [EngineFault.FAILED_TWICE]
        first = await runner.async_run(engine.address, make_call(), Sink())
        assert isinstance(first, Ok) and first.ok_value.head.status == 500
        await asyncio.sleep(0.02)
        again = await runner.async_run(engine.address, make_call(), Sink())
        assert isinstance(again, Ok) and again.ok_value.head.status == 200
        # Another request may use the connection: the copy does not belong to it.
        other = await runner.async_run(engine.address, make_call("r2"), Sink())
        assert isinstance(other, Ok) and other.ok_value.head.status == 200
        assert engine.connections == 2

    run_engine(scenario)


@pytest.mark.parametrize(
    "address",
    [
        "127.0.0.1:65536",
        "127.0.0.1:" + "9" * 5_000,
        "127.0.0.1\0:80",
        "127.0.0.1 \r\n:80",
        "\udcff:80",
        "no-port",
    ],
)
def test_address_to_which_nothing_can_connect_is_a_failed_connection(address: str) -> None:
    """An entry's odd address ended requests with an internal error, although others could run them."""

    async def scenario(engine: WireEngine, runner: UpstreamRunner) -> None:
        ended = await runner.async_run(address, make_call(), Sink())
        assert isinstance(ended, Err) and ended.err_value.failure is UpstreamFailure.CONNECT
        assert not await runner.pool.async_warm(address, 100)
        assert runner.pool.count_open(address) == 0

    run_engine(scenario)


def test_exception_of_a_run_is_a_failure_of_that_run() -> None:
    """An exception at one upstream ended the request, and an item was neither done nor run again."""

    async def scenario(engine: WireEngine, runner: UpstreamRunner) -> None:
        call = make_call(headers=(("A", "b\r\nC: d"),))
        ended = await async_run_checked(runner, engine.address, call, Sink())
        assert isinstance(ended, Err) and ended.err_value.failure is UpstreamFailure.INCOMPLETE
        assert not ended.err_value.not_run

    run_engine(scenario)
