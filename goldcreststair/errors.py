"""Base class of all error values."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GoldcreststairError:
    """An error value; each layer has its own subclasses and converts errors of lower layers to them."""

    message: str
    """Description for operators; must not contain a key or a request body."""
