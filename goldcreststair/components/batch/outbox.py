"""Results on their way to the owners of their chunks; offered until acknowledged."""

from collections.abc import Container
from dataclasses import dataclass, field

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.batch.const import RESULT_KEEP_MS
from goldcreststair.components.batch.directory import Directory
from goldcreststair.wire.generated.batch.ttypes import ItemResult, LotResult, ReplyStatus


@dataclass(slots=True)
class _Parcel:
    since: Millis
    results: list[ItemResult] = field(default_factory=list)
    sending: bool = False


class Outbox:
    """One parcel a chunk."""

    def __init__(self, clock: Clock, directory: Directory) -> None:
        """Start empty."""
        self._clock = clock
        self._directory = directory
        self._parcels: dict[str, _Parcel] = {}
        self.givers: dict[str, str] = {}
        """Chunk to the session that gave its items out last."""

    def put(self, chunk: str, result: ItemResult) -> None:
        """Add a result."""
        parcel = self._parcels.setdefault(chunk, _Parcel(self._clock.now()))
        parcel.results.append(result)

    def list_unsent(self) -> list[str]:
        """Return the chunks whose results are not under way."""
        return [key for key, parcel in self._parcels.items() if not parcel.sending]

    def list_held(self, chunk: str) -> list[int]:
        """Return the items of a chunk whose results are not acknowledged."""
        parcel = self._parcels.get(chunk)
        return [result.index for result in parcel.results] if parcel else []

    def list_chunks(self) -> list[str]:
        """Return the chunks with results here."""
        return list(self._parcels)

    def forget(self, held: Container[str]) -> None:
        """Drop the givers of chunks no item of which is held here."""
        self.givers = {chunk: giver for chunk, giver in self.givers.items() if chunk in held}

    async def async_send(self, chunk: str) -> None:
        """Offer the results of one chunk to its owner once."""
        parcel = self._parcels[chunk]
        parcel.sending = True
        sent = list(parcel.results)
        try:
            # The giver first: this VM may be a stale owner of the chunk that was not told yet,
            # and would take the results to itself, where their commit is refused.
            giver = self.givers.get(chunk)
            reply = await self._directory.async_ask(chunk, LotResult(chunk, sent), giver)
        finally:
            parcel.sending = False
        # An owner that lost the answer gets all again and ignores what it has; one that changed
        # is found by the chunk's key, so work survives the loss of the VM that gave it out.
        late = self._clock.now() - parcel.since > RESULT_KEEP_MS
        if reply.status in (ReplyStatus.OK, ReplyStatus.MISSING) or late:
            parcel.results = parcel.results[len(sent) :]
            parcel.since = self._clock.now()
        if not parcel.results:
            self._parcels.pop(chunk, None)
