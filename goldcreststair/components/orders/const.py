"""Constants of orders to engines."""

from typing import Final

CHECK_INTERVAL_MS: Final = 1000
LONGEST_ORDER_MS: Final = 60_000
"""Longest time after which an order can still take effect."""
FRESH_OWNERSHIP_MS: Final = 15_000
"""Greatest age of the last ownership confirmation for ordering engines that ignore fencing."""
EPOCH_BITS: Final = 36
"""Bits of the epoch in a fencing number; with 65,536 partitions it stays below 2**53."""
UNLOAD_SPREAD_MS: Final = 5000
"""Wait before an unload, so that every VM has applied the new configuration and load reports
include the requests sent before it.
"""
UNLOAD_DRAIN_MS: Final = 120_000
"""Longest wait for running requests; a model still in use is unloaded after it anyway."""
REPORT_SETTLE_MS: Final = 3000
"""Wait after an order; load reports lag and may still show the state before the order."""
RETRY_BASE_MS: Final = 1000
RETRY_CAP_MS: Final = 30_000

DEFAULT_FLEET_WEIGHT_BYTES_PER_S: Final = 4_000_000_000
"""Rate at which the weight store serves all engines together."""
