"""The blackboard section of this VM's online load, also read by components set up before the online one.

It is not in the online component, as membership would then import a component that imports membership.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from goldcreststair.blackboard import SectionKey


@dataclass(frozen=True, slots=True)
class UpstreamPressure:
    """This VM's online requests at one upstream."""

    in_flight: int
    queue_ms: int
    """Queueing time at the upstream, ms: times to first token beyond those of an idle upstream; 0 for none."""


@dataclass(frozen=True, slots=True)
class OnlinePressure:
    """This VM's online requests; updated at once when a burst begins, else a few times per second."""

    in_flight: int = 0
    by_upstream: Mapping[str, UpstreamPressure] = field(default_factory=dict)


ONLINE_PRESSURE: Final = SectionKey[OnlinePressure]("online_pressure")
