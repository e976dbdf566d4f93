"""Idempotency claims: at most one run per key."""

from goldcreststair.components.claims.protocols import CLAIMS
from goldcreststair.components.claims.service import ClaimService
from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Set up claims; needs the ledger, `PEERS` and the section `MEMBERS`."""
    claims = ClaimService(core)
    core.offer(CLAIMS, claims)
    return claims
