"""Calendar time, roughly equal on all VMs; used for due times and retention only."""

import time
from typing import Protocol


class Calendar(Protocol):
    """Seconds since 1970; minutes of difference between VMs do no harm here."""

    def now_s(self) -> int:
        """Return the calendar time."""


class SystemCalendar:
    """The VM's own calendar; a due time outlives the VM, so `Clock` cannot hold it."""

    def now_s(self) -> int:
        """Return the calendar time in seconds."""
        return int(time.time())
