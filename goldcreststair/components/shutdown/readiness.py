"""Readiness: whether callers may be sent to this VM."""

from goldcreststair.components.configuration.models import CONFIGURATION
from goldcreststair.components.ledger.models import LEDGER_STATE
from goldcreststair.components.membership.protocols import MEMBERSHIP
from goldcreststair.components.shutdown.models import SHUTDOWN
from goldcreststair.core import Core


def is_ready(core: Core) -> bool:
    """Return whether callers may be sent to this VM."""
    return not list_obstacles(core)


def list_obstacles(core: Core) -> list[str]:
    """Return the reasons why callers may not be sent to this VM; empty if they may."""
    board = core.blackboard
    shutdown = board.find(SHUTDOWN)
    membership = core.find(MEMBERSHIP)
    ledger = board.find(LEDGER_STATE)
    obstacles = {
        "leaving": shutdown is not None and shutdown.leaving,
        "cut off from the store and from other VMs": (
            membership is not None and membership.is_isolated()
        ),
        # Without its partitions it would refuse callers whose limits it has to coordinate; in a
        # fleet that has just started these are all callers.
        "partitions not claimed yet": ledger is not None and not ledger.initial_claims_done,
        "no configuration yet": board.read(CONFIGURATION).version == 0,
    }
    return [name for name, applies in obstacles.items() if applies]
