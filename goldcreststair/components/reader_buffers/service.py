"""Serves requests through bounded buffers; sheds, logs and counts slow readers."""

import asyncio
import logging
from functools import partial
from typing import TYPE_CHECKING

from goldcreststair.components.features.protocols import FEATURES
from goldcreststair.components.reader_buffers.buffer import BufferedResponder
from goldcreststair.components.reader_buffers.controller import (
    BufferController,
    compute_daemon_bytes,
)
from goldcreststair.components.reader_buffers.models import (
    ReaderIdentity,
    ReaderState,
    ShedReason,
)
from goldcreststair.components.reader_buffers.protocols import Serve
from goldcreststair.features import Feature
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.helpers.cuts import CutCause

if TYPE_CHECKING:
    from goldcreststair.components.forwarding.protocols import Responder

_LOGGER = logging.getLogger(__name__)


class ReaderBufferService:
    """Implements `ReaderBuffers`."""

    def __init__(self, core: GatewayCore) -> None:
        """Create the service without readers."""
        self._core = core
        self._features = core.get(FEATURES)
        self.controller = BufferController(
            core.clock, compute_daemon_bytes(core.settings.memory_mb)
        )
        self._readers: dict[ReaderState, tuple[BufferedResponder, asyncio.Task[object]]] = {}
        """The buffer of each request and the task that serves it."""

    async def async_start(self) -> None:
        """Do nothing; requests drive this service."""

    async def async_close(self) -> None:
        """Do nothing; closing the callers' connections ends their requests."""

    async def async_serve(
        self, responder: "Responder", identity: ReaderIdentity, serve: Serve
    ) -> None:
        """Serve one request, and return once the caller has accepted its answer or was shed."""
        task = asyncio.current_task()
        if task is None or not self._features.is_active_anywhere(Feature.BUFFER_LIMITS):
            await serve(responder)
            return
        buffered = BufferedResponder(
            responder,
            identity,
            self._core.clock,
            self.controller,
            self._shed_excess,
            partial(self._shed, reason=ShedReason.STALLED),
        )
        self._readers[buffered.state] = buffered, task
        try:
            await serve(buffered)
            await buffered.async_drain()
        except asyncio.CancelledError:
            # `_shed` removes the reader before it cancels the task; any other cancellation goes on.
            if buffered.state in self._readers or task.uncancel() > 0:
                raise
        finally:
            self._readers.pop(buffered.state, None)
            buffered.close()

    def count_bytes(self) -> int:
        """Return the bytes held for all readers."""
        return self.controller.count_bytes()

    def count_slow(self) -> int:
        """Return the number of readers that have lagged for longer than reading may pause."""
        return self.controller.count_slow()

    def _shed_excess(self) -> None:
        while (state := self.controller.choose_shed()) is not None:
            self._shed(self._readers[state][0], reason=ShedReason.BOUND)

    def _shed(self, buffered: BufferedResponder, *, reason: ShedReason) -> None:
        state = buffered.state
        extra = {
            "request": state.identity.request_id,
            "reason": reason.value,
            "held_bytes": state.held,
            "accepted_bytes": state.accepted,
            "lag_ms": self.controller.read_lag_ms(state),
            "resumable": state.identity.resumable,
            "buffered_bytes": self.count_bytes(),
        }
        _LOGGER.warning("Slow reader shed", extra=extra)
        self._core.meters.count_shed_reader()
        _, task = self._readers.pop(state)
        # The connection is closed without an end of the stream, so that it does not look complete.
        buffered.abort()
        task.cancel(CutCause.SLOW_READER)
