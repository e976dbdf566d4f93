"""Runs a request at one upstream over persistent connections and classifies failures."""

import asyncio
import logging
from collections.abc import Awaitable
from dataclasses import dataclass
from typing import Final, Protocol

from result import Err, Ok, Result
from tornado.httputil import HTTPHeaders

from goldcreststair.const import MS_PER_SECOND
from goldcreststair.http_connection import ResponseHooks
from goldcreststair.http_exchange import Exchange, ExchangeError, ExchangeFailure
from goldcreststair.http_pool import MAX_BUFFERED_BYTES, ConnectionPool
from goldcreststair.response_budget import compute_response_bytes
from goldcreststair.upstreams.dialect import RunCall, RunHead, UpstreamDialect
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.events import MAX_ANSWER_BYTES

_LOGGER = logging.getLogger(__name__)

CONNECT_TIMEOUT_MS: Final = 300
"""A healthy upstream accepts within a few ms, even in another data centre. A lost packet is
retransmitted only after a second, so another upstream is faster by then."""
CONFIRM_TIMEOUT_MS: Final = 1_500
"""The same behind an answer that ended with its connection. An upstream that is down refuses; one whose queue of
connections is full drops the first packet, and gets the second one after a second."""
STATUS_OK: Final = 200

_FAILURES: Final = {
    ExchangeFailure.CONNECT: UpstreamFailure.CONNECT,
    ExchangeFailure.BROKEN: UpstreamFailure.LOST,
    ExchangeFailure.TIMEOUT: UpstreamFailure.TIMEOUT,
    ExchangeFailure.IDLE: UpstreamFailure.SILENT,
    ExchangeFailure.MALFORMED: UpstreamFailure.CROSSED,
    ExchangeFailure.REJECTED: UpstreamFailure.INCOMPLETE,
}


def compute_buffered_bytes(memory_mb: int) -> int:
    """Return how many bytes of answers a process of `memory_mb`, MB, may hold until they are whole.

    >>> [compute_buffered_bytes(memory_mb) // 2**20 for memory_mb in (96, 200, 340)]
    [16, 25, 32]
    """
    share = compute_response_bytes(memory_mb)
    return min(MAX_BUFFERED_BYTES, max(MAX_ANSWER_BYTES, share))


class RunSink(Protocol):
    """Receives an answer while it arrives."""

    wants_chunks: bool
    """Whether the body of a success is passed to `on_data` in chunks, not as a whole at the end."""

    @property
    def is_broken(self) -> bool:
        """Whether nothing that follows in this run can be used, so that it may end."""

    @property
    def held_bytes(self) -> int:
        """Bytes of the answer that are held, as more of it must follow."""

    def drop_partial_event(self) -> None:
        """Free what has arrived of an event that will not be complete."""

    def on_head(self, head: RunHead) -> None:
        """Handle the head of the answer to this run."""

    def on_data(self, chunk: bytes) -> Awaitable[None] | None:
        """Handle a chunk of the body of a success; reading pauses until the awaitable completes."""


@dataclass(frozen=True, slots=True)
class RunEnd:
    """A complete answer; `body` is empty where the body was passed to the sink."""

    head: RunHead
    body: bytes
    ended_by_close: bool = False
    """Whether the answer had neither a length nor chunks, so that it ends like one that is cut by a crash."""


class Connections(Protocol):
    """The pool of persistent connections to upstreams."""

    def count_open(self, address: str) -> int:
        """Return the number of open connections to an address, idle and in use."""

    def has_idle(self, address: str) -> bool:
        """Return whether an idle connection to an address is available."""

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address, for a server that is down or suspected."""

    async def async_warm(self, address: str, connect_timeout_ms: int) -> bool:
        """Open another connection for later use; returns whether this succeeded."""

    def close(self) -> None:
        """Close all idle connections."""


class Runner(Protocol):
    """Runs requests at upstreams; the only path by which requests reach them."""

    @property
    def pool(self) -> Connections:
        """The persistent connections."""

    async def async_run(
        self, address: str, call: RunCall, sink: RunSink
    ) -> Result[RunEnd, UpstreamError]:
        """Run a request; cancelling closes its connection, which ends the run."""


class UpstreamRunner:
    """Implements `Runner` over HTTP."""

    def __init__(self, pool: ConnectionPool, dialect: UpstreamDialect) -> None:
        """Initialise with a connection pool shared by all upstreams."""
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
            if not head.is_contradictory:
                sink.on_head(head)

        def is_rejected() -> bool:
            return sink.is_broken or (head is not None and head.is_contradictory)

        exchange = Exchange(
            address=address,
            method=call.method,
            path=call.path,
            timeout_ms=call.deadline_ms,
            headers=dialect.encode_run(call),
            body=call.body,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            max_response_bytes=MAX_ANSWER_BYTES,
            key=call.request_id,
            delivers_late=call.delivers_late,
        )
        on_data = sink.on_data if sink.wants_chunks else None
        hooks = ResponseHooks(
            on_head,
            on_data,
            lambda found: dialect.matches_run(call, found),
            is_rejected=is_rejected,
            read_held=lambda: sink.held_bytes,
        )
        whole = False
        try:
            outcome = await self.pool.async_exchange(exchange, hooks)
            whole = isinstance(outcome, Ok)
        finally:
            # A run that failed may stay referenced until the next garbage collection.
            if not whole:
                sink.drop_partial_event()
        # The head of a refusal says all of it, whatever becomes of its body.
        if head is not None and head.is_refusal:
            message = "the address belongs to another upstream" if head.misdirected else "not run"
            refused = UpstreamFailure.REFUSED
            return Err(UpstreamError(message, refused, head.status, misdirected=head.misdirected))
        if isinstance(outcome, Err):
            return Err(_convert_error(outcome.err_value))
        if head is None:
            return Err(UpstreamError("answer has no head", UpstreamFailure.LOST))
        return Ok(RunEnd(head, outcome.ok_value.body, outcome.ok_value.ended_by_close))


async def async_run_checked(
    runner: Runner, address: str, call: RunCall, sink: RunSink
) -> Result[RunEnd, UpstreamError]:
    """Run a request; an answer that ends with its connection is whole only if its upstream is still up.

    A crash ends the connection as the end of such an answer does.
    """
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + call.deadline_ms / MS_PER_SECOND
    try:
        end = await runner.async_run(address, call, sink)
    # Without this, what one upstream sends or registers could end requests that others can run.
    except Exception as error:
        _LOGGER.exception("Run failed unexpectedly", extra={"upstream": call.upstream})
        return Err(UpstreamError(f"run failed: {error!r}", UpstreamFailure.INCOMPLETE))
    if isinstance(end, Err) or not end.ok_value.ended_by_close:
        return end
    left_ms = int((ends_at - loop.time()) * MS_PER_SECOND)
    timeout_ms = max(CONNECT_TIMEOUT_MS, min(CONFIRM_TIMEOUT_MS, left_ms))
    if await runner.pool.async_warm(address, timeout_ms):
        return end
    message = "connection closed, and no new one is accepted"
    return Err(UpstreamError(message, UpstreamFailure.LOST))


def _convert_error(error: ExchangeError) -> UpstreamError:
    return UpstreamError(error.message, _FAILURES[error.failure])
