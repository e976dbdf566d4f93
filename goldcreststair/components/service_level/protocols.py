"""Interface of service levels for other components."""

from typing import Final, Protocol

from goldcreststair.core import ComponentKey


class RequestObserver(Protocol):
    """Receives the outcome of each online request."""

    def observe(self, customer: str, first_token_ms: int | None) -> None:
        """Count one request; None means it failed through no fault of the customer."""


SERVICE_LEVELS: Final = ComponentKey[RequestObserver]("service_levels")
