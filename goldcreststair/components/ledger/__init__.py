"""Fenced partitions: everything that is kept or agreed."""

from goldcreststair.components.ledger.controller import LedgerController
from goldcreststair.components.ledger.protocols import LEDGER
from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Set up the ledger; needs the section `MEMBERS`."""
    ledger = LedgerController(core)
    core.offer(LEDGER, ledger)
    return ledger
