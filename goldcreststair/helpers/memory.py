"""Memory available to this process."""

import os

from goldcreststair.const import BYTES_PER_MB


def compute_memory_bytes(memory_mb: int) -> int:
    """Return the memory of a process that may use `memory_mb`, MB, in bytes; 0 stands for all of the machine's.

    >>> compute_memory_bytes(320)
    335544320
    """
    return memory_mb * BYTES_PER_MB or os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
