"""Settings of the gateway daemon, from flags, environment variables and a file; checked at start."""

import tomllib
from dataclasses import dataclass, fields
from typing import Any, Final

from result import Err, Ok, Result

from goldcreststair.features import Feature
from goldcreststair.helpers.settings import (
    LOG_LEVELS,
    MAX_PORT,
    SettingsError,
    check_ip,
    check_range,
)

DEFAULT_PEER_PORT: Final = 8081
DEFAULT_MEMORY_MB: Final = 340
FEATURE_NAMES: Final = tuple(feature.value for feature in Feature)
DEFAULT_SHARED_FEATURES: Final = ",".join(FEATURE_NAMES)
REQUIRED: Final = frozenset(("address", "data_centre", "store_address"))


@dataclass(frozen=True)
class GatewaySettings:
    """Settings given at the start; all other configuration is in the store."""

    address: str
    """IP address at which others reach this VM."""
    data_centre: str
    """Data centre of this VM."""
    store_address: str
    """HOST:PORT of the platform's store."""
    region: str = "default"
    """Region of the data centre."""
    data_centre_regions: str = ""
    """DATA_CENTRE=REGION of all data centres, separated by commas."""
    front: str = ""
    """HOST:PORT for callers."""
    entry: str = ""
    """HOST:PORT for address lookups; empty for none."""
    ready: str = ""
    """HOST:PORT of the readiness check; empty for none."""
    peer_port: int = DEFAULT_PEER_PORT
    """Port for other daemons."""
    metrics_port: int = 0
    """Port of the metrics page; 0 for none."""
    seeds: str = ""
    """IP addresses of some daemons, separated by commas."""
    memory_mb: int = DEFAULT_MEMORY_MB
    """Memory available to this process, MB."""
    max_descriptors: int = 0
    """Descriptors available to this process; 0 for the limit that it was started with."""
    log_level: str = "info"
    """debug, info, warning or error."""
    statsd_address: str = ""
    """HOST:PORT of statsd; empty for none."""
    seed: int = 0
    """Seed of random choices; 0 for a random seed."""
    answer_ttl_s: int = 1
    """How long callers may cache addresses, s."""
    grace_s: float = 8.0
    """Time from SIGTERM to SIGKILL, s."""
    job_read_s: float = 120.0
    """How long a job can be read after its submission, s."""
    features: str = ""
    """Optional features that are active for all services, separated by commas; see `Feature`."""
    shared_machine_features: str = DEFAULT_SHARED_FEATURES
    """Optional features of services whose upstreams report the pace of the machines that they
    share, separated by commas."""

    @property
    def regions(self) -> dict[str, str]:
        """Region by data centre, as known at the start.

        >>> GatewaySettings("1.2.3.4", "a", "", region="r", data_centre_regions="b=q").regions
        {'a': 'r', 'b': 'q'}
        """
        pairs = (pair.partition("=") for pair in self.data_centre_regions.split(",") if pair)
        return {self.data_centre: self.region} | {name: region for name, _, region in pairs}

    @property
    def feature_set(self) -> frozenset[Feature]:
        """Optional features that are active for all services.

        >>> GatewaySettings("1.2.3.4", "a", "", features="waiting-queue").feature_set
        frozenset({<Feature.WAITING_QUEUE: 'waiting-queue'>})
        """
        return frozenset(Feature(name) for name in _split(self.features))

    @property
    def shared_feature_set(self) -> frozenset[Feature]:
        """Optional features of services whose upstreams share machines."""
        return frozenset(Feature(name) for name in _split(self.shared_machine_features))

    @property
    def seed_addresses(self) -> tuple[str, ...]:
        """Addresses of the seeds, without this VM's own."""
        seeds = (seed.strip() for seed in self.seeds.split(","))
        return tuple(seed for seed in seeds if seed and seed != self.address)


def read_settings_text(text: str) -> GatewaySettings | None:
    """Return the settings from a TOML text.

    Returns None if one is missing, unknown or of the wrong type: the command line then reports it.
    """
    try:
        values: dict[str, Any] = tomllib.loads(text)
    except tomllib.TOMLDecodeError:
        return None
    types = {field.name: field.type for field in fields(GatewaySettings)}
    for name, value in values.items():
        if types.get(name) is float and type(value) is int:
            values[name] = float(value)
        elif type(value) is not types.get(name):
            return None
    return GatewaySettings(**values) if values.keys() >= REQUIRED else None


def check_gateway_settings(settings: GatewaySettings) -> Result[GatewaySettings, SettingsError]:
    """Return the settings, or an error that names the first invalid one."""
    for name, problem in _find_problems(settings):
        if problem:
            return Err(SettingsError(problem, name))
    return Ok(settings)


def _find_problems(settings: GatewaySettings) -> list[tuple[str, str]]:
    endpoints = ("front", "entry", "ready")
    return [
        ("address", check_ip(settings.address)),
        ("data_centre", "" if settings.data_centre else "must not be empty"),
        ("store_address", _check_endpoint(settings.store_address)),
        ("front", "" if settings.front else "must not be empty"),
        *((name, _check_endpoint(getattr(settings, name))) for name in endpoints),
        ("peer_port", check_range(settings.peer_port, 1, MAX_PORT)),
        ("metrics_port", check_range(settings.metrics_port, 0, MAX_PORT)),
        ("answer_ttl_s", check_range(settings.answer_ttl_s, 1, 3_600)),
        ("memory_mb", check_range(settings.memory_mb, 64, 1_000_000)),
        ("max_descriptors", check_range(settings.max_descriptors, 0, 1_000_000_000)),
        ("grace_s", "" if settings.grace_s > 0 else "must be above 0"),
        ("job_read_s", "" if settings.job_read_s > 0 else "must be above 0"),
        ("log_level", "" if settings.log_level in LOG_LEVELS else f"must be one of {LOG_LEVELS}"),
        ("features", _check_features(settings.features)),
        ("shared_machine_features", _check_features(settings.shared_machine_features)),
        ("data_centre_regions", _check_pairs(settings.data_centre_regions)),
        *(("seeds", check_ip(seed)) for seed in settings.seed_addresses),
    ]


def _check_pairs(text: str) -> str:
    pairs = (pair.split("=") for pair in text.split(",") if pair)
    invalid = ["=".join(pair) for pair in pairs if len(pair) != 2 or not all(pair)]
    return f"{invalid[0]!r} is not DATA_CENTRE=REGION" if invalid else ""


def _split(text: str) -> list[str]:
    return [name.strip() for name in text.split(",") if name.strip()]


def _check_features(text: str) -> str:
    unknown = [name for name in _split(text) if name not in FEATURE_NAMES]
    return f"{unknown[0]!r} is not one of {FEATURE_NAMES}" if unknown else ""


def _check_endpoint(text: str) -> str:
    if not text:
        return ""
    host, _, port = text.rpartition(":")
    return check_ip(host) if port.isdecimal() else f"{text!r} is not HOST:PORT"
