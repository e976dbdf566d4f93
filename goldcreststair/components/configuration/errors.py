"""Errors of the configuration."""

from dataclasses import dataclass

from goldcreststair.errors import GoldcreststairError


@dataclass(frozen=True, slots=True)
class ConfigurationError(GoldcreststairError):
    """A configuration call that changed nothing, unless it says otherwise."""


@dataclass(frozen=True, slots=True)
class DocumentInvalid(ConfigurationError):
    """The document does not validate."""

    field: str = ""
    """Path of the offending field, as `customers.acme.rate_per_s`."""


@dataclass(frozen=True, slots=True)
class VersionStale(ConfigurationError):
    """The patch names a version that is not the current one."""

    current: int = 0


@dataclass(frozen=True, slots=True)
class StoreUnavailable(ConfigurationError):
    """The platform's table could not be reached."""

    outcome_known: bool = True
    """False if the patch may have taken effect; send it again with the same patch id."""
