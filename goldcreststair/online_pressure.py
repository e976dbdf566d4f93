"""The section of online pressure, which components below the online one read as well.

It is no part of the online component, as membership would then import what imports membership.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from goldcreststair.blackboard import SectionKey


@dataclass(frozen=True, slots=True)
class UpstreamPressure:
    """What this VM's online work meets at one upstream."""

    in_flight: int
    queue_ms: int
    """Wait beyond what an idle upstream would need, from times to first token; 0 for none."""


@dataclass(frozen=True, slots=True)
class OnlinePressure:
    """This VM's online work; changes at once when a burst begins, else a few times a second."""

    in_flight: int = 0
    by_upstream: Mapping[str, UpstreamPressure] = field(default_factory=dict)


ONLINE_PRESSURE: Final = SectionKey[OnlinePressure]("online_pressure")
