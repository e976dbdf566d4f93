"""Constants of the request quarantine."""

from typing import Final

SET_SUSPECTS: Final = "crash_suspects"
"""Items are `FINGERPRINT:CRASHES`; counts crashes in which the request was the only suspect."""

CRASHES_TO_QUARANTINE: Final = 2
SUSPECT_LIFETIME_MS: Final = 10 * 60_000
QUARANTINE_LIFETIME_MS: Final = 24 * 3_600_000
FINGERPRINT_CHARACTERS: Final = 32
