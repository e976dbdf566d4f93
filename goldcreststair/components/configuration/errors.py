"""Errors of the configuration."""

from dataclasses import dataclass

from goldcreststair.errors import GoldcreststairError


@dataclass(frozen=True, slots=True)
class ConfigurationError(GoldcreststairError):
    """A failed configuration call, which changed nothing unless the subclass says otherwise."""


@dataclass(frozen=True, slots=True)
class DocumentInvalid(ConfigurationError):
    """The document is invalid."""

    field: str = ""
    """Path of the invalid field, such as `customers.acme.rate_per_s`."""


@dataclass(frozen=True, slots=True)
class VersionStale(ConfigurationError):
    """The patch was made for a version that is not the current one."""

    current: int = 0


@dataclass(frozen=True, slots=True)
class StoreUnavailable(ConfigurationError):
    """The platform's table is unavailable."""

    outcome_known: bool = True
    """False if the patch may have taken effect; it can be sent again with the same patch id."""
