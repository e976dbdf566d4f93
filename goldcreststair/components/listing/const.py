"""Rates of reading the platform's list of VMs."""

from typing import Final

FLEET_POLLS_PER_S: Final = 2.0
"""Reads of the list by all VMs together. The list names every VM: at 820 daemons and 3,100 engines
it is some 270 KB, and read by every VM each second would be ninety times the control budget."""
MIN_PERIOD_MS: Final = 1000
MAX_PERIOD_MS: Final = 600_000
SET_LEAVING: Final = "leaving_addresses"
HINT_LIFETIME_MS: Final = 90_000
HINT_PERIOD_S: Final = 60
"""A leaving VM is announced anew in each such period while it is listed."""
