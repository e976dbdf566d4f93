"""Whether callers may be sent to this VM."""

from goldcreststair.components.configuration.models import CONFIGURATION
from goldcreststair.components.membership.protocols import MEMBERSHIP
from goldcreststair.components.shutdown.models import SHUTDOWN
from goldcreststair.core import Core


def is_ready(core: Core) -> bool:
    """Return whether a configuration is in force and this VM neither leaves nor is cut off."""
    shutdown = core.blackboard.find(SHUTDOWN)
    if shutdown is not None and shutdown.leaving:
        return False
    membership = core.find(MEMBERSHIP)
    if membership is not None and membership.is_isolated():
        return False
    return core.blackboard.read(CONFIGURATION).version > 0
