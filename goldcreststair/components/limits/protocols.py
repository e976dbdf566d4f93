"""Interface of limits for other components."""

from dataclasses import dataclass
from typing import Final, Protocol

from result import Result

from goldcreststair.clock import Millis
from goldcreststair.components.configuration.models import Customer
from goldcreststair.core import ComponentKey
from goldcreststair.errors import GoldcreststairError


@dataclass(frozen=True, slots=True)
class LimitExceeded(GoldcreststairError):
    """The customer has used up its rate and burst."""

    retry_after_ms: int = 1000


class Limits(Protocol):
    """Admits requests so that rate and burst hold over all VMs together."""

    async def async_admit(
        self, customer: Customer, deadline_at: Millis | None = None
    ) -> Result[None, LimitExceeded]:
        """Spend one token, requesting more from the customer's coordinator if needed.

        Without a `deadline_at` it waits as long as the component allows.
        """


LIMITS: Final = ComponentKey[Limits]("limits")
