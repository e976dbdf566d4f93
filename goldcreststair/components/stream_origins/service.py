"""Records the origins of streams, announces them to other daemons, and finds those of others."""

import asyncio
import logging
from collections.abc import Callable
from collections.abc import Set as AbstractSet

from result import Err, Ok, Result

from goldcreststair.clock import Millis
from goldcreststair.components.catalogue.models import CATALOGUE, Catalogue
from goldcreststair.components.discovery.models import LIVE_UPSTREAMS, LiveUpstreams
from goldcreststair.components.discovery.protocols import UPSTREAM_LIST
from goldcreststair.components.fleet.models import FLEET
from goldcreststair.components.fleet.peer_requests import PeerRequestKind
from goldcreststair.components.fleet.protocols import FLEET_LINKS
from goldcreststair.components.stream_origins.codec import (
    decode_history,
    decode_reply,
    encode_announced,
    encode_history,
    encode_reply,
    split_streams,
)
from goldcreststair.components.stream_origins.const import (
    ASK_TIMEOUT_MS,
    MAX_ASKED,
    MAX_CONFIRMING,
    SOFTWARE_MEMORY_MS,
)
from goldcreststair.components.stream_origins.history import SoftwareHistory
from goldcreststair.components.stream_origins.history_rows import HistoryRows
from goldcreststair.components.stream_origins.known_origins import KnownOrigins
from goldcreststair.components.stream_origins.models import (
    OriginUnknown,
    StreamKey,
    StreamOrigin,
    VersionRecord,
)
from goldcreststair.components.stream_origins.route_services import RouteServices
from goldcreststair.errors import GoldcreststairError
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.wire.codec import decode_struct, encode_struct
from goldcreststair.wire.generated.gateway.ttypes import Beacon, OriginAsk

_LOGGER = logging.getLogger(__name__)


class StreamOriginsService:
    """Implements `StreamOrigins`.

    Beacons list the streams that were begun while several versions serve, or soon after a route moved to
    another service. Where all origins are of one version, nothing is announced, and a stream that nobody knows is of that version.
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
        self._routes = RouteServices(core.clock)
        self._followed_since = Millis(0)
        """Since when the list of upstreams was followed without a gap, as last noticed."""
        self._foreign: dict[int, Millis] = {}
        """Keys of versions that were not listed here when another daemon announced streams of them, and
        when it last did."""
        self._links.add_beacon_contributor(self._contribute)
        self._links.subscribe_direct_beacons(self._on_beacon)
        self._links.register_request_handler(PeerRequestKind.STREAM_ORIGIN, self._async_on_ask)
        self._links.register_request_handler(
            PeerRequestKind.SOFTWARE_VERSIONS, self._async_on_versions
        )
        core.on_process_resumed.append(lambda _: self._history.record_gap())
        self._begun: set[StreamOrigin] = set()
        """Origins of the streams that began here."""
        self._unsubscribe: list[Callable[[], None]] = []

    async def async_start(self) -> None:
        """Follow the listed upstreams and the routes."""
        board = self._core.blackboard
        self._unsubscribe = [
            board.subscribe(LIVE_UPSTREAMS, self._on_upstreams),
            board.subscribe(CATALOGUE, self._on_catalogue),
        ]
        self._on_catalogue(board.read(CATALOGUE))
        self._on_upstreams(board.read(LIVE_UPSTREAMS))

    async def async_close(self) -> None:
        """Stop following, reading and writing."""
        for unsubscribe in self._unsubscribe:
            unsubscribe()
        await self._rows.async_close()

    def record(self, stream: StreamKey, origin: StreamOrigin) -> None:
        """Record the origin of a stream that this daemon relays, and announce it to other daemons."""
        self._known.record_own(stream, origin.key)
        # Of a version that is the only one, the row tells those who start after the loss of all daemons,
        # during which it may be replaced.
        if origin not in self._begun:
            self._begun.add(origin)
            self._rows.schedule_write(origin.service, by_all=True)
        if self._has_several(origin.service) or self._routes.has_moved():
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
            within_ms = max(request_ms, SOFTWARE_MEMORY_MS)
            services = self._routes.list_services(services, within_ms)
            only = await self._async_find_only(services, within_ms)
            if only is not None:
                return Ok(only)
            may_infer = self._find_only(services, within_ms) is not None
            if stream is None:
                return Err(OriginUnknown("the caller does not name the stream", not may_infer))
            # A stream of the only version was not announced: the daemon that began it knows it, no other.
            asked = await self._async_ask(stream, ask_all=may_infer)
            if isinstance(asked, Err):
                only = self._find_only(services, within_ms) if self._is_list_frozen() else None
                return asked if only is None else Ok(only)
            key = asked.ok_value
        origin = self._history.find(key)
        if origin is None:
            return Err(OriginUnknown("no upstream of its software version was ever listed here"))
        return Ok(origin)

    async def _async_find_only(
        self, services: AbstractSet[str], within_ms: int
    ) -> StreamOrigin | None:
        """Return the only version that may have begun a stream of these services, if it is certain.

        The stream began before this call, so that its version is in a list that the store confirms after it.
        """
        origins = self._history.list_origins(services, within_ms)
        if len(origins) != 1:
            return None
        if await self._async_confirm(within_ms):
            return self._find_only(services, within_ms)
        (origin,) = origins
        if len(services) != 1 or within_ms > SOFTWARE_MEMORY_MS:
            return None
        if not await self._async_confirm_by_others(origin):
            return None
        return self._find_only(services, within_ms, is_complete=True)

    async def _async_confirm(self, within_ms: int) -> bool:
        """Bring the list and its history up to now; returns whether the store confirmed the list."""
        if not await self._list.async_confirm():
            return False
        self._check_gap()
        if self._history.has_gap(within_ms):
            await self._rows.async_read()
        return True

    async def _async_confirm_by_others(self, origin: StreamOrigin) -> bool:
        """Add the versions of a service that daemons with access to the store list now.

        Returns whether one did that knows `origin`; the catalogue of another may not have the service yet.
        """
        able = self._links.list_with_store_access()
        chosen = self._core.random.sample(able, min(MAX_CONFIRMING, len(able)))
        asked = (self._async_ask_versions(session, origin.service) for session in chosen)
        replies = [records for records in await asyncio.gather(*asked) if records is not None]
        for records in replies:
            self._history.merge_stored(origin.service, records, 0)
        versions = ({record.version for record in records} for records in replies)
        return any(origin.software_version in each for each in versions)

    async def _async_ask_versions(self, session: str, service: str) -> list[VersionRecord] | None:
        """Return the versions that a daemon lists now, times relative to now; None if it can't confirm them."""
        kind = PeerRequestKind.SOFTWARE_VERSIONS
        reply = await self._links.async_request(session, kind, service.encode(), ASK_TIMEOUT_MS)
        if isinstance(reply, Err) or not reply.ok_value:
            return None
        decoded = decode_history(reply.ok_value)
        if isinstance(decoded, Err):
            extra = {"session": session, "reason": decoded.err_value.message}
            _LOGGER.warning("Reply about software versions unreadable", extra=extra)
            return None
        return decoded.ok_value

    async def _async_on_versions(self, payload: bytes) -> bytes:
        """Return the versions of a service as of now, or nothing if the store does not confirm them."""
        confirmed = await self._async_confirm(SOFTWARE_MEMORY_MS)
        if not confirmed or self._history.has_gap(SOFTWARE_MEMORY_MS):
            return b""
        return encode_history(self._history.list_records(payload.decode(errors="replace"), 0))

    def _find_only(
        self, services: AbstractSet[str], within_ms: int, *, is_complete: bool = False
    ) -> StreamOrigin | None:
        """Return the only version that may have begun a stream of these services, as far as is known.

        With `is_complete`, the history of these services has no gap.
        """
        self._check_gap()
        origins = self._history.list_origins(services, within_ms)
        if len(origins) != 1 or (not is_complete and self._history.has_gap(within_ms)):
            return None
        horizon = self._clock.now() - within_ms
        if any(at >= horizon for key, at in self._foreign.items() if not self._history.find(key)):
            return None
        return next(iter(origins))

    def _is_list_frozen(self) -> bool:
        """Return whether the store answers no daemon, so that no upstream can join for any of them."""
        fleet = self._core.blackboard.read(FLEET)
        others = fleet.vms.keys() - {fleet.own_session}
        without = self._links.list_without_store_access()
        is_away = self._core.store_contact.is_unavailable()
        return bool(others) and is_away and others <= set(without) and not fleet.unlisted

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

    def _on_catalogue(self, catalogue: Catalogue) -> None:
        if self._routes.apply_catalogue(catalogue):
            self._known.announce_all()
            self._links.schedule_beacon()

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
        if self._known.has_long_stream() and (self._serves_several() or self._routes.has_moved()):
            self._known.renew()
        announced = self._known.list_announced()
        if announced:
            beacon.origins = encode_announced(announced)

    def _on_beacon(self, _: str, beacon: Beacon) -> None:
        for listed in beacon.origins or ():
            self._known.record_other(split_streams(listed.streams), listed.origin)
            if self._history.find(listed.origin) is None:
                self._foreign[listed.origin] = self._clock.now()

    async def _async_ask(self, stream: StreamKey, *, ask_all: bool) -> Result[int, OriginUnknown]:
        """Return the key of a stream's origin from the first other daemon that knows it."""
        fleet = self._core.blackboard.read(FLEET)
        reached = fleet.responsive + len(fleet.lost)
        # Once the store confirms the list, the only version may be certain.
        is_final = not ask_all and reached >= len(fleet.vms) and not fleet.unlisted
        payload = encode_struct(OriginAsk(stream))
        asked = [
            asyncio.ensure_future(self._async_ask_one(session, payload))
            for session in self._list_asked(ask_all=ask_all)
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

    def _list_asked(self, *, ask_all: bool) -> list[str]:
        holders = self._links.list_beacon_receivers()
        if ask_all or not self._links.has_mesh():
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
