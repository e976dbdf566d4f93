"""Daemons as others see them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Final

from goldcreststair.blackboard import SectionKey
from goldcreststair.clock import Millis


class VmState(IntEnum):
    """What a daemon says of itself; the numbers are sent."""

    STARTING = 0
    READY = 1
    LEAVING = 2


@dataclass(frozen=True, slots=True)
class FleetVm:
    """One daemon's session."""

    session: str
    address: str
    """IP number."""
    peer_port: int
    front_address: str
    """HOST:PORT for callers."""
    data_centre: str
    region: str


@dataclass(frozen=True, slots=True)
class Fleet:
    """The daemons that count as alive, this one included."""

    own_session: str = ""
    vms: Mapping[str, FleetVm] = field(default_factory=dict)
    """By session; those that are silent but not yet known to be gone included."""
    states: Mapping[str, VmState] = field(default_factory=dict)
    """By session, of those heard of late."""
    lost: frozenset[str] = frozenset()
    """Sessions that show no sign of life, in the store either: they admit nothing any more."""
    responsive: int = 1
    """How many daemons were heard just now, within a few beacons, this one included."""
    unlisted: int = 0
    """Daemons heard whose session this daemon does not know: it cannot read the store's list."""
    loaded: bool = False
    """Whether the store's list of sessions has been read."""
    agreed: bool = True
    """Whether the daemons heard just now say that they hear the same ones as this one does."""

    @property
    def reachable(self) -> int:
        """How many daemons are heard, this one included."""
        return len(self.states)

    def list_ready(self) -> list[FleetVm]:
        """Return the daemons that may be given to callers."""
        return [vm for session, vm in self.vms.items() if self.states.get(session) is VmState.READY]


FLEET: Final = SectionKey[Fleet]("fleet")


@dataclass(frozen=True, slots=True)
class OwnState:
    """What this daemon says of itself."""

    state: VmState = VmState.STARTING
    stops_at: Millis | None = None
    """When a leaving daemon ends what still runs."""
    advertised_until: Millis | None = None
    """Until when callers may hold an answer that names a leaving daemon."""


OWN_STATE: Final = SectionKey[OwnState]("own_state")
