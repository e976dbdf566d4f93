"""What the kernel reports about a process."""

from pathlib import Path
from typing import Final

KB_PER_MB: Final = 1024


def read_peak_mb(pid: int) -> float:
    """Return the most memory that a running process has had, MB."""
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(each for each in status.splitlines() if each.startswith("VmHWM"))
    return int(line.split()[1]) / KB_PER_MB


def count_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a running process."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))
