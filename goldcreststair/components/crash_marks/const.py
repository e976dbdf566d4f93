"""Constants of the crash tracker."""

from typing import Final

TABLE: Final = "crash_verdicts"
COLLECT_MS: Final = 20
"""Runs that end in the same crash are reported within this time; later ones are added to its report."""
CONTACT_MS: Final = 1_000
"""A VM that has heard neither the store nor another VM for this long cannot tell a crash from its own cut."""
MAX_LOGGED_RUNS: Final = 16
"""Most lost runs that the log line of a crash describes."""

SETTLE_MS: Final = 60
"""Time between a crash and its effect on verdicts: other VMs report answers on its suspects meanwhile."""
UPDATE_MS: Final = 10_000
"""Interval at which crashes and verdicts are checked for their age."""
RELAYED_SETTLE_MS: Final = 400
"""The same where beacons are relayed."""
REPORT_MS: Final = 1_000
"""How long crashes and answers are repeated in beacons, which may be lost."""
YOUNG_MS: Final = 5_000
"""How long a verdict is listed in beacons; later, VMs that lack it notice by the hash of all verdicts."""
MAX_REPORTS_IN_BEACON: Final = 16
MAX_ANSWERS_IN_BEACON: Final = 64
MAX_VERDICTS_IN_BEACON: Final = 16
MAX_PROBES_IN_BEACON: Final = 32
PROBES_VALID_MS: Final = 1_500
"""How long the suspects that another VM reported as running count, without a further beacon."""
DIFFERENCE_MS: Final = 500
"""Time that a difference between the verdicts of two VMs may take to settle by beacons."""
ASK_TIMEOUT_MS: Final = 500
ASK_PAUSE_MS: Final = 1_000
"""Pause between two requests for the verdicts of other VMs."""

TURN_POLL_MS: Final = 20
MAX_TURN_WAIT_MS: Final = 1_000
"""How long a request waits while another one with the same suspect runs."""
TURN_RETRY_MS: Final = 500

LOAD_TIMEOUT_MS: Final = 100
"""How long the first requests wait for the stored verdicts."""
READ_RETRY_MS: Final = 1_000
WRITER_GAP_MS: Final = 100
"""Delay between the VMs that write a verdict, by their rank; usually the first one's write is enough."""
WRITERS: Final = 3
