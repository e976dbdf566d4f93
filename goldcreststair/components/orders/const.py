"""Constants of orders."""

from typing import Final

CHECK_INTERVAL_MS: Final = 1000
LONGEST_ORDER_MS: Final = 60_000
"""An order either takes effect within this time or never does."""
REPORT_SETTLE_MS: Final = 3000
"""Reports lag: one read sooner after an order may still show the state before it."""
RETRY_BASE_MS: Final = 1000
RETRY_CAP_MS: Final = 30_000

DEFAULT_FLEET_WEIGHT_BYTES_PER_S: Final = 4_000_000_000
"""What the weight store serves to all engines together."""
