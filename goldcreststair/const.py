"""Constants shared by all components."""

from typing import Final

VERSION: Final = "0.1.0"
ENV_PREFIX: Final = "GOLDCRESTSTAIR_"

MS_PER_SECOND: Final = 1000
NS_PER_MS: Final = 1_000_000
BYTES_PER_MB: Final = 1024 * 1024

HEADER_REQUEST_ID: Final = "X-Request-Id"
HEADER_IDEMPOTENCY_KEY: Final = "Idempotency-Key"
HEADER_RETRY_AFTER: Final = "Retry-After"
