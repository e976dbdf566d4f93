"""Results to be sent to the owners of their chunks; sent again until acknowledged."""

from collections.abc import Container
from dataclasses import dataclass, field

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.batch.const import RESULT_KEEP_MS
from goldcreststair.components.batch.directory import Directory
from goldcreststair.wire.generated.batch.ttypes import ItemResult, LotResult, ReplyStatus


@dataclass(slots=True)
class _PendingResults:
    since: Millis
    results: list[ItemResult] = field(default_factory=list)
    sending: bool = False


class Outbox:
    """Collects unacknowledged results by chunk."""

    def __init__(self, clock: Clock, directory: Directory) -> None:
        """Create empty."""
        self._clock = clock
        self._directory = directory
        self._pending: dict[str, _PendingResults] = {}
        self.assigners: dict[str, str] = {}
        """Chunk to the session that assigned its items last."""

    def put(self, chunk: str, result: ItemResult) -> None:
        """Add a result."""
        pending = self._pending.setdefault(chunk, _PendingResults(self._clock.now()))
        pending.results.append(result)

    def list_unsent(self) -> list[str]:
        """Return the chunks whose results are not being sent."""
        return [key for key, pending in self._pending.items() if not pending.sending]

    def list_indexes(self, chunk: str) -> list[int]:
        """Return the items of a chunk whose results are not acknowledged."""
        pending = self._pending.get(chunk)
        return [result.index for result in pending.results] if pending else []

    def list_chunks(self) -> list[str]:
        """Return the chunks with results here."""
        return list(self._pending)

    def keep_assigners(self, held: Container[str]) -> None:
        """Drop the assigners of chunks that are not in `held`, as no item of them is here."""
        self.assigners = {
            chunk: assigner for chunk, assigner in self.assigners.items() if chunk in held
        }

    async def async_send(self, chunk: str) -> None:
        """Send the results of one chunk to its owner once."""
        pending = self._pending[chunk]
        pending.sending = True
        sent = list(pending.results)
        try:
            # The assigner first: this VM may be a former owner of the chunk that does not know of
            # its loss yet; it would accept the results itself, and their commit would be refused.
            assigner = self.assigners.get(chunk)
            reply = await self._directory.async_ask(chunk, LotResult(chunk, sent), assigner)
        finally:
            pending.sending = False
        # If the reply was lost, the owner gets all results again and ignores known ones. A new
        # owner is found by the chunk's key, so results survive the loss of the assigning VM.
        is_expired = self._clock.now() - pending.since > RESULT_KEEP_MS
        if reply.status in (ReplyStatus.OK, ReplyStatus.MISSING) or is_expired:
            pending.results = pending.results[len(sent) :]
            pending.since = self._clock.now()
        if not pending.results:
            self._pending.pop(chunk, None)
