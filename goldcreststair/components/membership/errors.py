"""Errors of membership."""

from dataclasses import dataclass

from goldcreststair.errors import GoldcreststairError


@dataclass(frozen=True, slots=True)
class MembershipError(GoldcreststairError):
    """A step failed; it is retried."""


@dataclass(frozen=True, slots=True)
class SessionLost(MembershipError):
    """This VM's session row is gone: another VM has found the session expired."""
