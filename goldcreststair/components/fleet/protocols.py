"""Interface that the fleet offers to other components."""

from collections.abc import Callable, Sequence
from enum import IntEnum
from typing import Any, Final, Protocol
from zlib import crc32

from result import Result

from goldcreststair.clock import Millis
from goldcreststair.components.fleet.peer_requests import (
    PeerRequestError,
    PeerRequestHandler,
    PeerRequestKind,
)
from goldcreststair.core import ComponentKey

BeaconContributor = Callable[[Any], None]
"""Fills its fields of an outgoing `Beacon`."""
BeaconListener = Callable[[str, Any], None]
"""Receives the session and the `Beacon` of another daemon. In a large fleet it receives a relay's
session and one beacon that aggregates all other daemons."""
BatchRunsListener = Callable[[Sequence[Any]], None]
"""Receives the `BatchRuns` of all other daemons."""
NoticeHandler = Callable[[str, bytes], None]
"""Receives the session that sent a notice, and its payload."""


class DatagramKind(IntEnum):
    """First byte of each datagram."""

    BEACON = 1
    JOB_NOTICE = 2
    DIGEST = 3
    YIELD_NOTICE = 4


class FleetLinks(Protocol):
    """Exchanges state and requests with the other daemons."""

    def add_beacon_contributor(self, add_beacon_contributor: BeaconContributor) -> None:
        """Register a callback that adds fields to every beacon."""

    def subscribe_beacons(self, on_beacon: BeaconListener, on_gone: Callable[[str], None]) -> None:
        """Register callbacks for every new beacon and for each daemon that is gone.

        A relay that this daemon no longer follows counts as gone.
        """

    def subscribe_direct_beacons(self, on_beacon: BeaconListener) -> None:
        """Register a callback for every new beacon as its daemon sent it; in a large fleet only relays
        receive any.
        """

    def list_beacon_receivers(self) -> list[str]:
        """Return the other reachable daemons that receive beacons directly.

        In a small fleet each of them receives all beacons, in a large one those of its data centre.
        """

    def subscribe_batch_runs(self, on_batch: BatchRunsListener) -> None:
        """Register a callback for the batch runs of other daemons; only called in a large fleet."""

    def has_mesh(self) -> bool:
        """Return whether every daemon sends beacons to every other one.

        If not, relays aggregate the beacons and changes arrive later.
        """

    def schedule_beacon(self) -> None:
        """Send a beacon soon, because something changed that other daemons act on."""

    def notify(self, session: str, kind: DatagramKind, payload: bytes) -> None:
        """Send one datagram, which may be lost."""

    def notify_by_hash(self, daemon: int, kind: DatagramKind, payload: bytes) -> None:
        """Send one datagram to the daemon whose session has this hash; it may be lost."""

    def register_request_handler(self, kind: PeerRequestKind, handler: PeerRequestHandler) -> None:
        """Register the handler for requests of one kind."""

    async def async_request(
        self, session: str, kind: PeerRequestKind, payload: bytes, timeout_ms: int
    ) -> Result[bytes, PeerRequestError]:
        """Send a request to one daemon over a separate connection and return the response."""

    def list_with_store_access(self) -> list[str]:
        """Return the other ready daemons that are reachable and have contact with the store."""

    def list_without_store_access(self) -> list[str]:
        """Return the other responsive daemons whose last report says that the store does not answer."""

    def register_notice_handler(self, kind: DatagramKind, handler: NoticeHandler) -> None:
        """Register the handler for datagrams of one kind."""

    def check_paused(self) -> None:
        """Discard time-dependent state if this process was paused; called before decisions by age."""

    def is_isolated(self) -> bool:
        """Return whether this daemon has contact with neither the store nor another daemon."""

    def read_contact_age_ms(self) -> int:
        """Return the ms since the last contact with store or peers; 0 without other daemons."""

    def read_all_seen_since(self) -> Millis:
        """Return the oldest last-seen time of all responsive daemons; now if there is none."""

    def read_lag_ms(self) -> int:
        """Return how long the last reports of the responsive daemons may have taken, ms.

        In a large fleet, the sum over all relays on the way, less the relays' regular pauses.
        """

    def is_lost(self, session: str, after_ms: int) -> bool:
        """Return whether a daemon has shown no sign of life for `after_ms`, in the store either."""

    def is_registered(self) -> bool:
        """Return whether this daemon's session is in the store."""

    async def async_list_sessions(self) -> frozenset[str] | None:
        """Return the sessions that are in the store now, or None if it does not answer."""

    def record_store_contact(self) -> None:
        """Record that the store answered."""

    async def async_leave(self) -> None:
        """Remove this daemon's session, so that others do not wait for it to time out."""


FLEET_LINKS: Final = ComponentKey[FleetLinks]("fleet")


def hash_name(name: str) -> int:
    """Return the hash that stands for a name in beacons, a signed 32-bit number.

    >>> hash_name("a") == hash_name("a"), -(2**31) <= hash_name("b") < 2**31
    (True, True)
    """
    return crc32(name.encode()) - 2**31
