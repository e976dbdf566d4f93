"""What refusals say before a request was looked at."""

import pytest

from goldcreststair.components.caller_api.errors import make_key_refusal
from goldcreststair.components.keys.protocols import KeyRefused


@pytest.mark.parametrize("temporary", [True, False])
@pytest.mark.parametrize(("idempotency_key", "not_run"), [("", True), ("booking-1", False)])
def test_refused_key_says_nothing_of_earlier_sends(
    temporary: bool, idempotency_key: str, not_run: bool
) -> None:
    """A booking ran at a VM whose link to its caller broke, so the caller sends it again.

    The next VM has just woken from a pause, holds itself for cut off and refuses every key. Told
    "not run", the caller would book another ground, though the first one is booked.
    """
    refusal = make_key_refusal(KeyRefused("cut off from the fleet", temporary), idempotency_key)
    assert refusal.not_run is not_run
