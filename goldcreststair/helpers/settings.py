"""Checks of settings that both daemons have."""

import ipaddress
from dataclasses import dataclass
from typing import Final

from goldcreststair.errors import GoldcreststairError

MAX_PORT: Final = 65535
LOG_LEVELS: Final = ("debug", "info", "warning", "error")


@dataclass(frozen=True, slots=True)
class SettingsError(GoldcreststairError):
    """A setting that cannot be used."""

    setting: str = ""


def check_ip(text: str) -> str:
    """Return what is wrong with an IP number, or nothing."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return f"{text!r} is not an IP number"
    return ""


def check_range(value: int, low: int, high: int) -> str:
    """Return what is wrong with a number, or nothing."""
    return "" if low <= value <= high else f"{value} is not between {low} and {high}"
