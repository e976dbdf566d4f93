"""Whether callers may be sent to this VM."""

from goldcreststair.components.configuration.models import CONFIGURATION
from goldcreststair.components.ledger.models import LEDGER_STATE
from goldcreststair.components.membership.protocols import MEMBERSHIP
from goldcreststair.components.shutdown.models import SHUTDOWN
from goldcreststair.core import Core


def is_ready(core: Core) -> bool:
    """Return whether a configuration is in force and this VM neither leaves nor is cut off.

    A VM that has not yet claimed its partitions would refuse callers whose limits it is to keep:
    in a fleet that has just started these are all of them.
    """
    shutdown = core.blackboard.find(SHUTDOWN)
    if shutdown is not None and shutdown.leaving:
        return False
    membership = core.find(MEMBERSHIP)
    if membership is not None and membership.is_isolated():
        return False
    ledger = core.blackboard.find(LEDGER_STATE)
    if ledger is not None and not ledger.settled:
        return False
    return core.blackboard.read(CONFIGURATION).version > 0
