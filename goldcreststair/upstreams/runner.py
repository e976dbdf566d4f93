"""Runs a request at one upstream over kept connections and sorts what can go wrong."""

from collections.abc import Awaitable
from dataclasses import dataclass
from typing import Final, Protocol

from result import Err, Ok, Result
from tornado.httputil import HTTPHeaders

from goldcreststair.http_connection import ResponseHooks
from goldcreststair.http_exchange import Exchange, ExchangeError, ExchangeFailure
from goldcreststair.http_pool import ConnectionPool
from goldcreststair.upstreams.dialect import RunCall, RunHead, UpstreamDialect
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure

CONNECT_TIMEOUT_MS: Final = 300
"""A healthy upstream accepts within a few ms, even in another data centre; a lost packet on the
way is sent again only after a second, and another upstream is then the quicker way."""
STATUS_OK: Final = 200

_FAILURES: Final = {
    ExchangeFailure.CONNECT: UpstreamFailure.CONNECT,
    ExchangeFailure.BROKEN: UpstreamFailure.LOST,
    ExchangeFailure.TIMEOUT: UpstreamFailure.TIMEOUT,
    ExchangeFailure.IDLE: UpstreamFailure.SILENT,
    ExchangeFailure.MALFORMED: UpstreamFailure.CROSSED,
}


class RunSink(Protocol):
    """Takes an answer while it arrives."""

    streams: bool
    """Whether the body of a success is taken piece by piece, and not whole at the end."""

    def on_head(self, head: RunHead) -> None:
        """Take the head of an answer that is this run's own."""

    def on_data(self, chunk: bytes) -> Awaitable[None] | None:
        """Take a piece of the body of a success."""


@dataclass(frozen=True, slots=True)
class RunEnd:
    """An answer that is whole; the body of a success went to the sink."""

    head: RunHead
    body: bytes


class Connections(Protocol):
    """The connections that are kept to upstreams."""

    def count_open(self, address: str) -> int:
        """Return the open connections to an address, idle and in use."""

    def has_idle(self, address: str) -> bool:
        """Return whether the next request to an address needs no new connection."""

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address, as its server is gone or suspect."""

    async def async_warm(self, address: str, connect_timeout_ms: int) -> bool:
        """Open one more connection for later use; returns whether it opened."""

    def close(self) -> None:
        """Close all idle connections."""


class Runner(Protocol):
    """The only way by which requests reach upstreams."""

    @property
    def pool(self) -> Connections:
        """The connections kept."""

    async def async_run(
        self, address: str, call: RunCall, sink: RunSink
    ) -> Result[RunEnd, UpstreamError]:
        """Run a request; cancelling closes its connection, which ends the run."""


class UpstreamRunner:
    """Implements `Runner` over HTTP."""

    def __init__(self, pool: ConnectionPool, dialect: UpstreamDialect) -> None:
        """Use a pool shared by all upstreams."""
        self.pool = pool
        self._dialect = dialect

    async def async_run(
        self, address: str, call: RunCall, sink: RunSink
    ) -> Result[RunEnd, UpstreamError]:
        """Run a request; cancelling closes its connection, which ends the run."""
        dialect = self._dialect
        head: RunHead | None = None

        def on_head(status: int, headers: HTTPHeaders) -> None:
            nonlocal head
            head = dialect.decode_head(status, headers)
            sink.on_head(head)

        exchange = Exchange(
            address=address,
            method=call.method,
            path=call.path,
            timeout_ms=call.deadline_ms,
            headers=dialect.encode_run(call),
            body=call.body,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
        )
        on_data = sink.on_data if sink.streams else None
        hooks = ResponseHooks(on_head, on_data, lambda found: dialect.is_own(call, found))
        answered = await self.pool.async_exchange(exchange, hooks)
        if isinstance(answered, Err):
            return Err(_turn_error(answered.err_value))
        if head is None:
            return Err(UpstreamError("answer without a head", UpstreamFailure.LOST))
        if head.misdirected or head.not_run:
            message = "another upstream has the address" if head.misdirected else "not run"
            return Err(UpstreamError(message, UpstreamFailure.REFUSED, head.status))
        return Ok(RunEnd(head, answered.ok_value.body))


def _turn_error(error: ExchangeError) -> UpstreamError:
    return UpstreamError(error.message, _FAILURES[error.failure])
