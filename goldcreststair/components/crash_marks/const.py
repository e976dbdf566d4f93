"""Constants of the crash marks."""

from typing import Final

TABLE: Final = "crash_marks"
CRASHES_TO_REFUSE: Final = 3
"""A request that ran at so many crashes is not run any more. One that was beside two crashes by chance
goes on: at nine upstreams of eight slots that is one request in several hundred."""
BEGUN_CRASHES_TO_REFUSE: Final = 8
"""The same for all its crashes, also those before which its run had brought something: what crashes an
upstream does so as it begins, and a long run is beside many crashes of others."""
BEGUN: Final = ":begun"
"""Ends the name of such a crash."""
GATHER_MS: Final = 60
"""Runs that one crash ends are reported within this time."""
MAX_SHARED: Final = 32
"""Fingerprints in one beacon, the newest."""
MAX_MARKS: Final = 60
"""Rows changed by one transaction."""
TRIES: Final = 4
"""Times that marks are written while other daemons write them too."""
REFUSED_MS: Final = 10 * 60_000
"""A request that crashes upstreams is refused for so long."""
