"""Interface that the waiting component offers to forwarding."""

from typing import Final, Protocol

from result import Result

from goldcreststair.components.placement.models import Placement
from goldcreststair.components.requests.models import AdmittedRequest
from goldcreststair.core import ComponentKey
from goldcreststair.helpers.refusals import Refusal


class Waiting(Protocol):
    """Decides whether a request is placed now, waits for a slot, or is refused."""

    async def async_admit(
        self, request: AdmittedRequest, placement: Placement
    ) -> Result[Placement, Refusal]:
        """Return the placement of a request that no upstream has had yet, or its refusal.

        The run has to begin before the caller of this method waits for anything else, as later
        decisions count it. Cancel the coroutine when the caller disconnects.
        """

    def count_waiting(self) -> int:
        """Return the number of requests that wait for a slot."""


WAITING: Final = ComponentKey[Waiting]("waiting")
