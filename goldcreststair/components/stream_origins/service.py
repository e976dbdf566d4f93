"""Records the origins of streams, announces them to other daemons, and finds those of others."""

import asyncio
import logging
from collections.abc import Callable
from collections.abc import Set as AbstractSet

from result import Err, Ok, Result

from goldcreststair.clock import Millis
from goldcreststair.components.discovery.models import LIVE_UPSTREAMS, LiveUpstreams
from goldcreststair.components.discovery.protocols import UPSTREAM_LIST
from goldcreststair.components.fleet.models import FLEET
from goldcreststair.components.fleet.peer_requests import PeerRequestKind
from goldcreststair.components.fleet.protocols import FLEET_LINKS
from goldcreststair.components.stream_origins.codec import (
    decode_reply,
    encode_announced,
    encode_reply,
    split_streams,
)
from goldcreststair.components.stream_origins.const import (
    ASK_TIMEOUT_MS,
    MAX_ASKED,
    SOFTWARE_MEMORY_MS,
)
from goldcreststair.components.stream_origins.history import SoftwareHistory
from goldcreststair.components.stream_origins.history_rows import HistoryRows
from goldcreststair.components.stream_origins.known_origins import KnownOrigins
from goldcreststair.components.stream_origins.models import OriginUnknown, StreamKey, StreamOrigin
from goldcreststair.errors import GoldcreststairError
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.wire.codec import decode_struct, encode_struct
from goldcreststair.wire.generated.gateway.ttypes import Beacon, OriginAsk

_LOGGER = logging.getLogger(__name__)


class StreamOriginsService:
    """Implements `StreamOrigins`.

    Beacons list the streams that were begun while several versions serve. Where all origins are of one
    version, nothing is announced, and a stream that nobody knows is of that version.
    """

    def __init__(self, core: GatewayCore) -> None:
        """Create the service and register for beacons and requests of other daemons."""
        self._core = core
        self._clock = core.clock
        self._links = core.get(FLEET_LINKS)
        self._list = core.get(UPSTREAM_LIST)
        self._known = KnownOrigins(core.clock)
        self._history = SoftwareHistory(core.clock)
        self._rows = HistoryRows(core, self._history)
        self._followed_since = Millis(0)
        """Since when the list of upstreams was followed without a gap, as last noticed."""
        self._foreign: dict[int, Millis] = {}
        """Keys of versions that were not listed here when another daemon announced streams of them, and
        when it last did."""
        self._links.add_beacon_contributor(self._contribute)
        self._links.subscribe_direct_beacons(self._on_beacon)
        self._links.register_request_handler(PeerRequestKind.STREAM_ORIGIN, self._async_on_ask)
        core.on_process_resumed.append(lambda _: self._history.record_gap())
        self._begun: set[StreamOrigin] = set()
        """Origins of the streams that began here."""
        self._unsubscribe: Callable[[], None] = lambda: None

    async def async_start(self) -> None:
        """Follow the listed upstreams."""
        board = self._core.blackboard
        self._unsubscribe = board.subscribe(LIVE_UPSTREAMS, self._on_upstreams)
        self._on_upstreams(board.read(LIVE_UPSTREAMS))

    async def async_close(self) -> None:
        """Stop following, reading and writing."""
        self._unsubscribe()
        await self._rows.async_close()

    def record(self, stream: StreamKey, origin: StreamOrigin) -> None:
        """Record the origin of a stream that this daemon relays, and announce it to other daemons."""
        self._known.record_own(stream, origin.key)
        # Of a version that is the only one, the row tells those who start after the loss of all daemons,
        # during which it may be replaced.
        if origin not in self._begun:
            self._begun.add(origin)
            self._rows.schedule_write(origin.service, by_all=True)
        if self._has_several(origin.service):
            self._known.announce(stream)
            self._links.schedule_beacon()

    def release(self, stream: StreamKey) -> None:
        """Record that this daemon no longer relays a stream."""
        self._known.release(stream)

    async def async_find(
        self, stream: StreamKey | None, services: AbstractSet[str], request_ms: int
    ) -> Result[StreamOrigin, OriginUnknown]:
        """Return the origin of a stream, asking other daemons if this one does not know it."""
        key = None if stream is None else self._known.find(stream)
        if key is None:
            only = await self._async_find_only(services, max(request_ms, SOFTWARE_MEMORY_MS))
            if only is not None:
                return Ok(only)
            if stream is None:
                return Err(OriginUnknown("the caller does not name the stream", is_final=True))
            asked = await self._async_ask(stream)
            if isinstance(asked, Err):
                return asked
            key = asked.ok_value
        origin = self._history.find(key)
        if origin is None:
            return Err(OriginUnknown("no upstream of its software version was ever listed here"))
        return Ok(origin)

    async def _async_find_only(
        self, services: AbstractSet[str], within_ms: int
    ) -> StreamOrigin | None:
        """Return the only version that may have begun a stream of these services, if it is known."""
        self._check_gap()
        origins = self._history.list_origins(services, within_ms)
        if len(origins) != 1 or not self._is_current():
            return None
        horizon = self._clock.now() - within_ms
        if any(at >= horizon for key, at in self._foreign.items() if not self._history.find(key)):
            return None
        if self._history.has_gap(within_ms):
            await self._rows.async_read()
            origins = self._history.list_origins(services, within_ms)
        if len(origins) != 1 or self._history.has_gap(within_ms):
            return None
        return next(iter(origins))

    def _is_current(self) -> bool:
        """Return whether no other daemon can know an upstream that is not listed here."""
        if self._list.is_current():
            return True
        # While the store is away, those daemons that it still answers announce the streams that they begin
        # at other versions.
        fleet = self._core.blackboard.read(FLEET)
        return 1 < len(fleet.vms) == fleet.responsive and not fleet.unlisted

    def _has_several(self, service: str) -> bool:
        return len(self._history.list_origins({service}, SOFTWARE_MEMORY_MS)) > 1

    def _serves_several(self) -> bool:
        live = self._core.blackboard.read(LIVE_UPSTREAMS)
        services = {entry.service for entry in live.by_name.values()}
        return any(self._has_several(service) for service in services)

    def _check_gap(self) -> None:
        """Record a gap in the history if changes of the list may have been missed."""
        followed_since = self._list.read_followed_since()
        if followed_since != self._followed_since:
            self._followed_since = followed_since
            self._history.record_gap()

    def _on_upstreams(self, live: LiveUpstreams) -> None:
        if not live.known:
            return
        self._check_gap()
        listed = {
            StreamOrigin(entry.service, entry.software_version) for entry in live.by_name.values()
        }
        for service in self._history.apply_listed(listed):
            if self._has_several(service):
                self._known.announce_all()
                self._rows.schedule_write(service)
                self._links.schedule_beacon()

    def _contribute(self, beacon: Beacon) -> None:
        if self._known.has_long_stream() and self._serves_several():
            self._known.renew()
        announced = self._known.list_announced()
        if announced:
            beacon.origins = encode_announced(announced)

    def _on_beacon(self, _: str, beacon: Beacon) -> None:
        for listed in beacon.origins or ():
            self._known.record_other(split_streams(listed.streams), listed.origin)
            if self._history.find(listed.origin) is None:
                self._foreign[listed.origin] = self._clock.now()

    async def _async_ask(self, stream: StreamKey) -> Result[int, OriginUnknown]:
        """Return the key of a stream's origin from the first other daemon that knows it."""
        fleet = self._core.blackboard.read(FLEET)
        reached = fleet.responsive + len(fleet.lost)
        is_final = reached >= len(fleet.vms) and not fleet.unlisted
        payload = encode_struct(OriginAsk(stream))
        asked = [
            asyncio.ensure_future(self._async_ask_one(session, payload))
            for session in self._list_asked()
        ]
        try:
            for answered in asyncio.as_completed(asked):
                answer = await answered
                if isinstance(answer, Err):
                    is_final = False
                elif answer.ok_value is not None:
                    self._known.record_other([stream], answer.ok_value)
                    return Ok(answer.ok_value)
        finally:
            for task in asked:
                task.cancel()
        return Err(OriginUnknown("no daemon knows where the stream began", is_final=is_final))

    def _list_asked(self) -> list[str]:
        holders = self._links.list_beacon_receivers()
        if not self._links.has_mesh():
            return holders
        return self._core.random.sample(holders, min(MAX_ASKED, len(holders)))

    async def _async_ask_one(
        self, session: str, payload: bytes
    ) -> Result[int | None, GoldcreststairError]:
        kind = PeerRequestKind.STREAM_ORIGIN
        reply = await self._links.async_request(session, kind, payload, ASK_TIMEOUT_MS)
        if isinstance(reply, Err):
            return reply
        decoded = decode_reply(reply.ok_value)
        if isinstance(decoded, Err):
            extra = {"session": session, "reason": decoded.err_value.message}
            _LOGGER.warning("Reply about an origin unreadable", extra=extra)
        return decoded

    async def _async_on_ask(self, payload: bytes) -> bytes:
        decoded = decode_struct(OriginAsk, payload)
        if isinstance(decoded, Err):
            _LOGGER.warning("Request for an origin unreadable: %s", decoded.err_value.message)
            return encode_reply(None)
        return encode_reply(self._known.find(decoded.ok_value.stream))
