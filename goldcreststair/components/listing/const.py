"""Rates of polling the platform's list of VMs."""

from typing import Final

FLEET_POLLS_PER_S: Final = 2.0
"""Rate of reads by all VMs together. The list contains every VM: with 820 daemons and 3,100 engines
it is about 270 KB, and a read by every VM each second would take ninety times the budget for
control traffic."""
MIN_PERIOD_MS: Final = 1000
MAX_PERIOD_MS: Final = 600_000
SET_LEAVING: Final = "leaving_addresses"
ANNOUNCEMENT_LIFETIME_MS: Final = 90_000
ANNOUNCEMENT_PERIOD_S: Final = 60
"""A VM is announced again in each period of this length while it is listed as leaving."""
