"""The fleet as this VM sees it."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from goldcreststair.blackboard import SectionKey


class MemberState(StrEnum):
    """Where a daemon stands in its life."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Member:
    """One daemon's session."""

    session_id: str
    address: str
    """IP number."""
    http_port: int
    peer_port: int
    data_centre: str
    region: str
    state: MemberState
    slot: int = -1
    """Number among the fleet's slots for static limit shares; -1 before one is claimed."""


@dataclass(frozen=True, slots=True)
class Members:
    """All sessions believed alive, by session id; always holds this VM's own."""

    own_session_id: str = ""
    by_session: Mapping[str, Member] = field(default_factory=dict)


MEMBERS: Final = SectionKey[Members]("members")


@dataclass(frozen=True, slots=True)
class MemberLoads:
    """Online requests in flight at each member, as last heard; old by some seconds."""

    by_session: Mapping[str, int] = field(default_factory=dict)


MEMBER_LOADS: Final = SectionKey[MemberLoads]("member_loads")


@dataclass(frozen=True, slots=True)
class PeerVersion:
    """The highest configuration version heard from a peer that is not in force here."""

    version: int = 0
    session_id: str = ""
    """Who has it."""


PEER_VERSION: Final = SectionKey[PeerVersion]("heard_version")
