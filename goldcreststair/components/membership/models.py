"""Models of membership: this VM's view of the fleet."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from goldcreststair.blackboard import SectionKey


class MemberState(StrEnum):
    """Lifecycle state of a daemon."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Member:
    """One daemon's session."""

    session_id: str
    address: str
    """IP address."""
    http_port: int
    peer_port: int
    data_centre: str
    region: str
    state: MemberState
    slot: int = -1
    """Number of its slot, which determines its static limit share; -1 before one is claimed."""


@dataclass(frozen=True, slots=True)
class Members:
    """All sessions assumed to be alive, by session id; always contains this VM's own."""

    own_session_id: str = ""
    by_session: Mapping[str, Member] = field(default_factory=dict)


MEMBERS: Final = SectionKey[Members]("members")


@dataclass(frozen=True, slots=True)
class MemberLoads:
    """Online requests in flight at each member as last reported, some seconds ago."""

    by_session: Mapping[str, int] = field(default_factory=dict)


MEMBER_LOADS: Final = SectionKey[MemberLoads]("member_loads")


@dataclass(frozen=True, slots=True)
class PeerVersion:
    """The highest configuration version reported by a peer, if newer than this VM's own."""

    version: int = 0
    session_id: str = ""
    """The peer that reported it."""


PEER_VERSION: Final = SectionKey[PeerVersion]("heard_version")
