"""Data classes for daemons and the fleet."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Final

from goldcreststair.blackboard import SectionKey
from goldcreststair.clock import Millis


class VmState(IntEnum):
    """State that a daemon reports about itself; the numbers go out on the wire."""

    STARTING = 0
    READY = 1
    LEAVING = 2


@dataclass(frozen=True, slots=True)
class FleetVm:
    """Session of one daemon."""

    session: str
    address: str
    """IP address."""
    peer_port: int
    front_address: str
    """HOST:PORT for callers."""
    data_centre: str
    region: str


@dataclass(frozen=True, slots=True)
class Fleet:
    """Daemons that count as alive, this one included."""

    own_session: str = ""
    vms: Mapping[str, FleetVm] = field(default_factory=dict)
    """By session; includes silent daemons that are not yet known to be gone."""
    states: Mapping[str, VmState] = field(default_factory=dict)
    """By session, of the reachable daemons."""
    lost: frozenset[str] = frozenset()
    """Sessions without beacons and without a changing heartbeat in the store; they admit nothing
    any more."""
    responsive: int = 1
    """Number of daemons, this one included, whose last beacon is at most a few beacon intervals
    old."""
    unlisted: int = 0
    """Number of daemons that send beacons but whose session is unknown here, as this daemon cannot
    read the session list from the store."""
    loaded: bool = False
    """Whether the session list has been read from the store."""
    agreed: bool = True
    """Whether the responsive daemons report the same set of responsive daemons as this one."""

    @property
    def reachable(self) -> int:
        """Return the number of reachable daemons, this one included."""
        return len(self.states)

    def list_ready(self) -> list[FleetVm]:
        """Return the daemons that may be offered to callers."""
        return [vm for session, vm in self.vms.items() if self.states.get(session) is VmState.READY]


FLEET: Final = SectionKey[Fleet]("fleet")


@dataclass(frozen=True, slots=True)
class OwnState:
    """State that this daemon reports about itself."""

    state: VmState = VmState.STARTING
    leaving_since: Millis | None = None
    stops_at: Millis | None = None
    """When a leaving daemon aborts the runs that are left."""
    advertised_until: Millis | None = None
    """Until when callers may hold an answer that lists a leaving daemon."""


OWN_STATE: Final = SectionKey[OwnState]("own_state")
