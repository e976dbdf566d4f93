"""Validation of settings that both daemons have."""

import ipaddress
from dataclasses import dataclass
from typing import Final

from goldcreststair.errors import GoldcreststairError

MAX_PORT: Final = 65535
LOG_LEVELS: Final = ("debug", "info", "warning", "error")


@dataclass(frozen=True, slots=True)
class SettingsError(GoldcreststairError):
    """A setting with an invalid value."""

    setting: str = ""


def check_ip(text: str) -> str:
    """Return an error message for an invalid IP address; empty if it is valid."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return f"{text!r} is not an IP address"
    return ""


def check_range(value: int, low: int, high: int) -> str:
    """Return an error message for a number out of range; empty if it is in the range."""
    return "" if low <= value <= high else f"{value} is not between {low} and {high}"
