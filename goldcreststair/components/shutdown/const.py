"""Constants of the shutdown."""

from typing import Final

ADDRESS_LIFETIME_MS: Final = 10_000
"""How long callers may use an address answer; a leaving VM serves at least this long."""
LIST_POLL_MS: Final = 5000
LIST_LAG_MS: Final = 60_000
"""How long a daemon takes its VM's first state in the platform's list for that of a former one."""
HANDOVER_MS: Final = 5000
"""Time kept back from the drain for handing over what the first components own."""
HANDOVER_SHARE: Final = 0.2
"""Largest fraction of the drain that is kept back."""
