"""Checks of settings at the start; an error names the setting."""

import dataclasses
from typing import Any

import pytest
from result import Err, Ok

from goldcreststair.gateway_settings import (
    GatewaySettings,
    check_gateway_settings,
    read_settings_text,
)
from goldcreststair.settings import Settings, check_settings

GOOD = Settings("127.0.0.1", "dc1", "http://127.0.0.1:8000", "token")


def test_valid_settings_are_accepted() -> None:
    assert isinstance(check_settings(GOOD), Ok)


@pytest.mark.parametrize(
    ("setting", "value"),
    [
        ("address", "example"),
        ("data_centre", ""),
        ("platform_url", "ftp://x"),
        ("operator_token", ""),
        ("http_port", 70000),
        ("peer_port", -1),
        ("partitions", 0),
        ("statsd_address", "nowhere"),
        ("log_level", "loud"),
        ("drain_ms", -5),
    ],
)
def test_the_error_names_the_invalid_setting(setting: str, value: Any) -> None:
    checked = check_settings(dataclasses.replace(GOOD, **{setting: value}))
    assert isinstance(checked, Err)
    assert checked.err_value.setting == setting


GATEWAY_FILE = """
address = "127.0.0.1"
data_centre = "dc1"
store_address = "127.0.0.1:1"
front = "127.0.0.1:2"
grace_s = 8
"""


def test_a_complete_settings_file_is_read_without_the_command_line() -> None:
    settings = read_settings_text(GATEWAY_FILE)
    assert settings == GatewaySettings(
        "127.0.0.1", "dc1", "127.0.0.1:1", front="127.0.0.1:2", grace_s=8.0
    )
    assert isinstance(check_gateway_settings(settings), Ok)


@pytest.mark.parametrize(
    "line",
    ["unknown = 1", "memory_mb = 'much'", "seed = true", "peer_port = 1.5", "region = 7", "["],
)
def test_a_settings_file_with_an_invalid_line_is_left_to_the_command_line(line: str) -> None:
    """Guards against a wrong setting that is ignored, or reported differently than by the command line."""
    assert read_settings_text(GATEWAY_FILE + line) is None
    assert read_settings_text("address = '127.0.0.1'") is None


@pytest.mark.parametrize(
    ("pairs", "good"),
    [("", True), ("a=r,b=r", True), ("a", False), ("a=", False), ("a=b=c", False)],
)
def test_regions_are_pairs(pairs: str, good: bool) -> None:
    settings = read_settings_text(f'{GATEWAY_FILE}data_centre_regions = "{pairs}"')
    assert settings is not None
    checked = check_gateway_settings(settings)
    assert isinstance(checked, Ok) == good
    assert good or checked.unwrap_err().setting == "data_centre_regions"


@pytest.mark.parametrize("setting", ["features", "shared_machine_features"])
@pytest.mark.parametrize(("value", "good"), [("", True), ("waiting-queue", True), ("queue", False)])
def test_unknown_features_are_refused(setting: str, value: str, good: bool) -> None:
    """Guards against a misspelt feature that stays inactive unnoticed."""
    settings = read_settings_text(f'{GATEWAY_FILE}{setting} = "{value}"')
    assert settings is not None
    checked = check_gateway_settings(settings)
    assert isinstance(checked, Ok) == good
    assert good or checked.unwrap_err().setting == setting
