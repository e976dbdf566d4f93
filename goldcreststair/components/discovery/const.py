"""Time constants of discovery."""

from typing import Final

EXPIRY_GRACE_MS: Final = 2_500
"""How long an entry that expired during a store outage is kept. Live upstreams register again
within about 2 s after the store has returned."""
UNREADABLE_COLD_MS: Final = 3_000
"""How long a new upstream counts as cold if its entry does not say whether it is."""
RENEWED_MS: Final = 4_000
"""An entry that was written so much earlier than another one at its address is not renewed any more: upstreams
write theirs about once a second."""
OUTAGE_MEMORY_MS: Final = 1_000
"""An entry that is removed this soon after a store outage may have expired during the outage."""
LIST_CURRENT_MS: Final = 3_000
"""The list is current for this long after the store confirmed it; the feed does so every 2.5 s where
nothing changes."""
CONFIRM_TIMEOUT_MS: Final = 500
"""Time for the store to confirm the list while a caller waits; a slow store takes 300 ms."""
