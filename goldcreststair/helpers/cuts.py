"""Causes for which this daemon ends a request without a complete answer."""

import asyncio
from enum import StrEnum


class CutCause(StrEnum):
    """Reason for which the task of a request is cancelled; passed as the message of the cancellation."""

    CALLER = "caller"
    SHUTDOWN = "shutdown"
    SLOW_READER = "slow_reader"
    UNKNOWN = "unknown"


def read_cause(error: asyncio.CancelledError) -> CutCause:
    """Return the reason of a cancellation.

    >>> read_cause(asyncio.CancelledError(CutCause.SHUTDOWN)).value
    'shutdown'
    >>> read_cause(asyncio.CancelledError()).value
    'unknown'
    """
    cause = error.args[0] if error.args else None
    return cause if isinstance(cause, CutCause) else CutCause.UNKNOWN
