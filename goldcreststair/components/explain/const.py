"""Constants of explanations."""

from typing import Final

NUMBER_JOURNAL_QUERY: Final = 150
NUMBER_JOURNAL_ANSWER: Final = 151

QUERY_TIMEOUT_MS: Final = 1500
PARALLEL_QUERIES: Final = 16
MAX_EVENTS_PER_VM: Final = 200
