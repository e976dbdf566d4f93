"""Settings of the daemon, from flags and environment variables; checked before anything starts."""

from dataclasses import dataclass
from typing import Annotated, Final
from urllib.parse import urlsplit

from cyclopts import Parameter
from result import Err, Ok, Result

from goldcreststair.helpers.settings import (
    LOG_LEVELS,
    MAX_PORT,
    SettingsError,
    check_ip,
    check_range,
)

DEFAULT_PARTITIONS: Final = 64


@Parameter(name="*")
@dataclass(frozen=True)
class Settings:
    """Settings given at the start; everything else is in the fleet's configuration."""

    address: Annotated[str, Parameter(help="IP address at which others reach this VM.")]
    data_centre: Annotated[str, Parameter(help="Data centre of this VM.")]
    platform_url: Annotated[str, Parameter(help="Base URL of the platform's services.")]
    operator_token: Annotated[str, Parameter(help="Token that operators send.", show=True)]
    region: Annotated[str, Parameter(help="Region of the data centre.")] = "default"
    http_port: Annotated[int, Parameter(help="Port for callers and operators; 0 for any.")] = 8080
    peer_port: Annotated[int, Parameter(help="Port for other daemons; 0 for any.")] = 8081
    partitions: Annotated[int, Parameter(help="Partitions of the key space.")] = DEFAULT_PARTITIONS
    statsd_address: Annotated[str, Parameter(help="HOST:PORT of statsd; empty for none.")] = ""
    log_level: Annotated[str, Parameter(help="debug, info, warning or error.")] = "info"
    seed: Annotated[int, Parameter(help="Seed of random choices; 0 for a random seed.")] = 0
    memory_mb: Annotated[
        int, Parameter(help="Memory available to this process, MB; 0 for that of the machine.")
    ] = 0
    drain_ms: Annotated[int, Parameter(help="Longest wait for running work at shutdown, ms.")] = (
        120_000
    )


def check_settings(settings: Settings) -> Result[Settings, SettingsError]:
    """Return the settings, or an error that names the first invalid one."""
    for name, problem in _find_problems(settings):
        if problem:
            return Err(SettingsError(problem, name))
    return Ok(settings)


def _find_problems(settings: Settings) -> list[tuple[str, str]]:
    return [
        ("address", check_ip(settings.address)),
        ("data_centre", "" if settings.data_centre else "must not be empty"),
        ("platform_url", _check_url(settings.platform_url)),
        ("operator_token", "" if settings.operator_token else "must not be empty"),
        ("http_port", check_range(settings.http_port, 0, MAX_PORT)),
        ("peer_port", check_range(settings.peer_port, 0, MAX_PORT)),
        ("partitions", check_range(settings.partitions, 1, 65536)),
        ("statsd_address", _check_statsd(settings.statsd_address)),
        ("log_level", "" if settings.log_level in LOG_LEVELS else f"must be one of {LOG_LEVELS}"),
        ("memory_mb", check_range(settings.memory_mb, 0, 1_000_000)),
        ("drain_ms", check_range(settings.drain_ms, 0, 3_600_000)),
    ]


def _check_url(text: str) -> str:
    parts = urlsplit(text)
    return "" if parts.scheme in ("http", "https") and parts.hostname else "must be an HTTP URL"


def _check_statsd(text: str) -> str:
    if not text:
        return ""
    host, _, port = text.rpartition(":")
    return "" if host and port.isdecimal() else f"{text!r} is not HOST:PORT"
