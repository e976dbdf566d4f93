"""What other components ask of the fleet."""

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
"""Takes the session and the `Beacon` of another daemon; in a large fleet, a relay's session and what all others
say together, as one beacon."""
BatchRunsListener = Callable[[Sequence[Any]], None]
"""Takes the `BatchRuns` of all other daemons."""
NoticeHandler = Callable[[str, bytes], None]
"""Takes the session that sent a notice and its payload."""


class DatagramKind(IntEnum):
    """The first byte of each datagram."""

    BEACON = 1
    JOB_NOTICE = 2
    DIGEST = 3
    YIELD_NOTICE = 4


class FleetLinks(Protocol):
    """Tells other daemons what this one knows, and the other way round."""

    def add_beacon_contributor(self, add_beacon_contributor: BeaconContributor) -> None:
        """Add to every beacon from now on."""

    def subscribe_beacons(self, on_beacon: BeaconListener, on_gone: Callable[[str], None]) -> None:
        """Be told of every beacon that is news, and of each daemon that is gone.

        A relay whose word is no longer taken counts as gone.
        """

    def subscribe_batch_runs(self, on_batch: BatchRunsListener) -> None:
        """In a large fleet, be told which daemons have batch runs where."""

    def has_mesh(self) -> bool:
        """Return whether all daemons tell each other; else relays do, and all is known later."""

    def schedule_beacon(self) -> None:
        """Send a beacon soon, as something changed that others act on."""

    def notify(self, session: str, kind: DatagramKind, payload: bytes) -> None:
        """Send one datagram, which may be lost."""

    def notify_by_hash(self, daemon: int, kind: DatagramKind, payload: bytes) -> None:
        """Send one datagram to the daemon whose session has this hash."""

    def register_request_handler(self, kind: PeerRequestKind, handler: PeerRequestHandler) -> None:
        """Answer the questions of one kind."""

    async def async_request(
        self, session: str, kind: PeerRequestKind, question: bytes, timeout_ms: int
    ) -> Result[bytes, PeerRequestError]:
        """Ask one daemon over a connection of its own."""

    def list_with_store_access(self) -> list[str]:
        """Return the other daemons that are heard and whose store answers."""

    def register_notice_handler(self, kind: DatagramKind, handler: NoticeHandler) -> None:
        """Handle the datagrams of one kind."""

    def is_isolated(self) -> bool:
        """Return whether this daemon hears neither the store nor any other daemon."""

    def read_contact_age_ms(self) -> int:
        """Return the ms since the store or another daemon was heard; 0 if there is no other."""

    def read_all_seen_since(self) -> Millis:
        """Return since when every daemon that counts as heard has been heard; now if there is none."""

    def is_lost(self, session: str, after_ms: int) -> bool:
        """Return whether a daemon has shown no sign of life for so long, the store included."""

    def is_registered(self) -> bool:
        """Return whether this daemon's session stands in the store."""

    async def async_list_sessions(self) -> frozenset[str] | None:
        """Return the sessions that stand in the store now, or None if it does not answer."""

    def record_store_contact(self) -> None:
        """Note an answer of the store."""

    async def async_leave(self) -> None:
        """Remove this daemon's session, so that nobody waits for its silence."""


FLEET_LINKS: Final = ComponentKey[FleetLinks]("fleet")


def hash_name(name: str) -> int:
    """Return the short form of a name in beacons, a signed 32-bit number.

    >>> hash_name("a") == hash_name("a"), -(2**31) <= hash_name("b") < 2**31
    (True, True)
    """
    return crc32(name.encode()) - 2**31
