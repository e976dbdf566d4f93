"""Constants of the graceful shutdown."""

from typing import Final

from goldcreststair.components.steering.const import ADDRESS_LIFETIME_S
from goldcreststair.const import MS_PER_SECOND

ADDRESS_LIFETIME_MS: Final = ADDRESS_LIFETIME_S * MS_PER_SECOND + 1000
"""How long callers may use an address response, plus one second until all VMs know that this VM
leaves and no longer return its address."""
LIST_LAG_MS: Final = 60_000
"""How long after its start a daemon ignores a listed leaving state that may be that of a former VM
with the same address."""
HANDOVER_MS: Final = 5000
"""Part of the drain time reserved for the handover of what the first component owns."""
HANDOVER_SHARE: Final = 0.2
"""Maximum fraction of the drain time that is reserved for the handover."""
