"""The root of every layer's errors."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GoldcreststairError:
    """An error value; each layer derives its own and turns those from below into them."""

    message: str
    """What happened, for an operator; never holds a key or a request body."""
