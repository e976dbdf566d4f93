"""Errors of membership."""

from dataclasses import dataclass

from goldcreststair.errors import GoldcreststairError


@dataclass(frozen=True, slots=True)
class MembershipError(GoldcreststairError):
    """A step that was not taken; it is tried again."""


@dataclass(frozen=True, slots=True)
class SessionLost(MembershipError):
    """The own session row is gone: others have judged this session expired."""
