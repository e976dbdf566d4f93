"""Constants of service levels."""

from typing import Final

REPORT_INTERVAL_MS: Final = 20_000
REPORT_INTERVAL_PER_MEMBER_MS: Final = 100
"""Lengthens the interval with the size of the fleet, so that the owners' commit rate stays
constant."""
REPORT_TIMEOUT_MS: Final = 3000
COMMIT_TIMEOUT_MS: Final = 2500
QUERY_TIMEOUT_MS: Final = 2000

NUMBER_LEVEL_REPORT: Final = 140
NUMBER_LEVEL_REPORT_ANSWER: Final = 141
NUMBER_LEVEL_QUERY: Final = 142
NUMBER_LEVEL_QUERY_ANSWER: Final = 143

SECONDS_PER_MINUTE: Final = 60
SECONDS_PER_HOUR: Final = 3600
KEPT_MINUTES: Final = 60
KEPT_HOURS: Final = 24 * 30

HISTOGRAM_LOWEST_MS: Final = 1
HISTOGRAM_HIGHEST_MS: Final = 600_000
HISTOGRAM_DIGITS: Final = 2

KEY_PREFIX: Final = "level/"
KEY_RECENT: Final = "recent"
KEY_HOURS: Final = "hour/"
