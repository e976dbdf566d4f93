"""What other components ask of service levels."""

from typing import Final, Protocol

from goldcreststair.core import ComponentKey


class RequestObserver(Protocol):
    """Takes what became of each online request."""

    def observe(self, customer: str, first_token_ms: int | None) -> None:
        """Count one request; None if it failed for a reason that is not the customer's."""


SERVICE_LEVELS: Final = ComponentKey[RequestObserver]("service_levels")
