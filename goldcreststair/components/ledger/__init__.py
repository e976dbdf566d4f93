"""Durable records in fenced partitions, each of which one VM owns at a time."""

from goldcreststair.components.ledger.controller import LedgerController
from goldcreststair.components.ledger.protocols import LEDGER
from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Set up the ledger; the blackboard section `MEMBERS` must be open."""
    ledger = LedgerController(core)
    core.offer(LEDGER, ledger)
    return ledger
