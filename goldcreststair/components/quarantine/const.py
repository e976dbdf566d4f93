"""Constants of the request quarantine."""

from typing import Final

SET_SUSPECTS: Final = "crash_suspects"
"""Items are `FINGERPRINT:CRASHES`; counts crashes in which the request was the only suspect."""

CRASHES_TO_QUARANTINE: Final = 2
SUSPECT_LIFETIME_MS: Final = 10 * 60_000
QUARANTINE_LIFETIME_MS: Final = 24 * 3_600_000
FINGERPRINT_CHARACTERS: Final = 32

SET_LOST_PARTS: Final = "lost_parts"
"""Items are `UPSTREAM new|begun SUSPECTS NONCE`: what a VM lost with an upstream."""
SET_ANSWERED_PARTS: Final = "answered_parts"
"""Items are `SUSPECTS NONCE`: suspects of crashes that an upstream has answered since."""
SET_RELEASED_PARTS: Final = "released_parts"
"""Items are `SUSPECTS NONCE`: verdicts that do not hold."""
VERDICT_PREFIX: Final = "parts:"
"""Begins an item of the quarantine that refuses all requests with some parts."""
REPORT_LIFETIME_MS: Final = 10 * 60_000
CRASH_MERGE_MS: Final = 2_000
"""Reports about one upstream within this time are of one crash: gossip takes up to a second."""
SETTLE_MS: Final = 500
"""Time between a crash and its effect on verdicts: other VMs report answers meanwhile."""
PART_CHARACTERS: Final = 256
"""Length of the beginning of a prompt that other requests may share."""
