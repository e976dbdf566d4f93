"""Heads of answers that no upstream in order sends."""

import pytest
from result import Err, Ok

from goldcreststair.http_exchange import Exchange, ExchangeFailure, async_exchange
from goldcreststair.http_pool import ConnectionPool
from goldcreststair.upstreams.errors import UpstreamFailure
from goldcreststair.upstreams.runner import UpstreamRunner, async_run_checked
from tests.platform_adapter.test_early_answers import PART, EarlyEngine, Ending, run_early
from tests.platform_adapter.test_runner import Sink, make_call

HEADERS = f"Request-Id: r1\r\nResponse-Stamp: s\r\nContent-Length: {len(PART)}\r\n"


def make_engine(status_line: str, more: str = "") -> EarlyEngine:
    """Return an engine that answers with a status line, and headers that fit any answer."""
    return EarlyEngine(Ending.READS_ON, f"{status_line}\r\n{HEADERS}{more}\r\n".encode())


@pytest.mark.parametrize("streams", [False, True])
@pytest.mark.parametrize("status", ["000", "001", "099", "20", "-1", "0200", "600", "999", "2000"])
def test_a_status_that_http_does_not_define_is_no_answer(status: str, streams: bool) -> None:
    """A caller got an answer whose status was 000 or 600 from an engine in trouble."""
    engine = make_engine(f"HTTP/1.1 {status} X")

    async def scenario(runner: UpstreamRunner, _: ConnectionPool) -> None:
        sink = Sink(streams)
        end = await async_run_checked(runner, engine.address, make_call(), sink)
        assert isinstance(end, Err) and end.err_value.failure is UpstreamFailure.LOST
        assert sink.head is None and not sink.data
        exchanged = await async_exchange(Exchange(engine.address, "POST", "/", 2_000))
        assert isinstance(exchanged, Err)
        assert exchanged.err_value.failure is ExchangeFailure.BROKEN

    run_early(engine, scenario)


@pytest.mark.parametrize("status", [200, 204, 206, 301, 304])
@pytest.mark.parametrize("streams", [False, True])
def test_a_success_that_has_not_run_is_neither(status: int, streams: bool) -> None:
    """An answer that contradicts itself was a promise, and its text reached the caller before it."""
    engine = make_engine(f"HTTP/1.1 {status} X", "Not-Run: 1\r\n")

    async def scenario(runner: UpstreamRunner, _: ConnectionPool) -> None:
        sink = Sink(streams)
        end = await async_run_checked(runner, engine.address, make_call(), sink)
        assert isinstance(end, Err) and not end.err_value.not_run
        assert end.err_value.failure is UpstreamFailure.INCOMPLETE
        assert sink.head is None and not sink.data

    run_early(engine, scenario)


@pytest.mark.parametrize("status", [400, 421, 429, 500, 503])
def test_a_failure_that_has_not_run_is_a_refusal(status: int) -> None:
    engine = make_engine(f"HTTP/1.1 {status} X", "Not-Run: 1\r\n")

    async def scenario(runner: UpstreamRunner, _: ConnectionPool) -> None:
        end = await async_run_checked(runner, engine.address, make_call(), Sink())
        assert isinstance(end, Err) and end.err_value.failure is UpstreamFailure.REFUSED

    run_early(engine, scenario)


@pytest.mark.parametrize("status", [200, 299, 404, 499, 500, 599])
def test_every_other_status_is_an_answer(status: int) -> None:
    engine = make_engine(f"HTTP/1.1 {status} X")

    async def scenario(runner: UpstreamRunner, _: ConnectionPool) -> None:
        end = await async_run_checked(runner, engine.address, make_call(), Sink())
        assert isinstance(end, Ok) and end.ok_value.head.status == status

    run_early(engine, scenario)
