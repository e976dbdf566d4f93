"""What other components ask of limits."""

from dataclasses import dataclass
from typing import Final, Protocol

from result import Result

from goldcreststair.clock import Millis
from goldcreststair.components.configuration.models import Customer
from goldcreststair.core import ComponentKey
from goldcreststair.errors import GoldcreststairError


@dataclass(frozen=True, slots=True)
class LimitExceeded(GoldcreststairError):
    """The customer's rate and burst are spent."""

    retry_after_ms: int = 1000


class Limits(Protocol):
    """Admits requests so that rate and burst hold over all VMs together."""

    async def async_admit(
        self, customer: Customer, deadline_at: Millis | None = None
    ) -> Result[None, LimitExceeded]:
        """Take one token, asking the customer's home VM for more if need be."""


LIMITS: Final = ComponentKey[Limits]("limits")
