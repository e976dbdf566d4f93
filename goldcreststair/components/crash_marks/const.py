"""Constants of the crash tracker."""

from typing import Final

TABLE: Final = "crash_marks"
CRASHES_TO_REFUSE: Final = 3
"""A request that was running at this many crashes is refused. One that ran during two crashes by
chance is still accepted: with nine upstreams of eight slots, that is one request in several
hundred."""
ALL_CRASHES_TO_REFUSE: Final = 8
"""The same for all its crashes, including those after its run had produced output: a request that
crashes an upstream does so at the start, and a long run is present at many crashes that others
cause."""
BEGUN_SUFFIX: Final = ":begun"
"""Suffix of a crash's name if the request's run had produced output."""
COLLECT_MS: Final = 60
"""Runs that end in the same crash are reported within this time."""
MAX_LOGGED_RUNS: Final = 16
"""Most lost runs that the log line of a crash describes."""
MAX_REFUSED_IN_BEACON: Final = 32
"""Most fingerprints in one beacon; the newest are sent."""
MAX_ROWS: Final = 60
"""Most rows changed by one transaction."""
MAX_WRITE_ATTEMPTS: Final = 4
"""How often a write is attempted while other daemons write the same rows."""
REFUSED_MS: Final = 10 * 60_000
"""A request that crashes upstreams is refused for this long."""
