"""Errors of the codec below the links."""

from dataclasses import dataclass

from goldcreststair.errors import GoldcreststairError


@dataclass(frozen=True, slots=True)
class FrameError(GoldcreststairError):
    """Bytes that are not the expected struct."""
