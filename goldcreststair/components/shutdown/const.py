"""Constants of the shutdown."""

from typing import Final

from goldcreststair.components.steering.const import ADDRESS_LIFETIME_S
from goldcreststair.const import MS_PER_SECOND

ADDRESS_LIFETIME_MS: Final = ADDRESS_LIFETIME_S * MS_PER_SECOND + 1000
"""How long callers may use an address answer, and another second until no VM gives one out."""
LIST_LAG_MS: Final = 60_000
"""How long a daemon takes its VM's first state in the platform's list for that of a former one."""
HANDOVER_MS: Final = 5000
"""Time kept back from the drain for handing over what the first components own."""
HANDOVER_SHARE: Final = 0.2
"""Largest fraction of the drain that is kept back."""
