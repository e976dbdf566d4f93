"""Constants of orders."""

from typing import Final

CHECK_INTERVAL_MS: Final = 1000
LONGEST_ORDER_MS: Final = 60_000
"""An order either takes effect within this time or never does."""
FRESH_OWNERSHIP_MS: Final = 15_000
"""An engine that ignores fencing gets no order from a steward not confirmed for longer."""
EPOCH_BITS: Final = 36
"""Epochs of one number of partitions; with 65,536 partitions fencing numbers stay below 2**53."""
UNLOAD_SPREAD_MS: Final = 5000
"""By then every VM has the configuration, and reports show what was sent before."""
UNLOAD_DRAIN_MS: Final = 120_000
"""A model that is still in use is unloaded after this time all the same."""
REPORT_SETTLE_MS: Final = 3000
"""Reports lag: one read sooner after an order may still show the state before it."""
RETRY_BASE_MS: Final = 1000
RETRY_CAP_MS: Final = 30_000

DEFAULT_FLEET_WEIGHT_BYTES_PER_S: Final = 4_000_000_000
"""What the weight store serves to all engines together."""
