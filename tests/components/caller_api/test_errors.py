"""Tests of the refusals of requests that were not parsed."""

import pytest

from goldcreststair.components.caller_api.errors import make_key_refusal
from goldcreststair.components.keys.protocols import KeyRefused


@pytest.mark.parametrize("temporary", [True, False])
@pytest.mark.parametrize(("idempotency_key", "not_run"), [("", True), ("booking-1", False)])
def test_refused_key_is_not_run_only_without_idempotency_key(
    temporary: bool, idempotency_key: str, not_run: bool
) -> None:
    """A call ran at a VM whose connection to the caller broke, so the caller resends it.

    The next VM was paused, considers itself isolated and refuses every key. After "not run" the
    caller would make, for example, a second booking, although the first one took effect.
    """
    refusal = make_key_refusal(KeyRefused("cut off from the fleet", temporary), idempotency_key)
    assert refusal.not_run is not_run
