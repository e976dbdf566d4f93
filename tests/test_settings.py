"""Settings are checked before anything starts, and the error names the setting."""

import dataclasses
from typing import Any

import pytest
from result import Err, Ok

from goldcreststair.settings import Settings, check_settings

GOOD = Settings("127.0.0.1", "dc1", "http://127.0.0.1:8000", "token")


def test_accepts_good_settings() -> None:
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
def test_names_the_bad_setting(setting: str, value: Any) -> None:
    checked = check_settings(dataclasses.replace(GOOD, **{setting: value}))
    assert isinstance(checked, Err)
    assert checked.err_value.setting == setting
