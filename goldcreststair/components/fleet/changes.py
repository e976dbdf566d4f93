"""Logs daemons that join, leave or change their reachability."""

import logging
from collections.abc import Collection
from typing import Final

from goldcreststair.components.fleet.models import Fleet

_LOGGER = logging.getLogger(__name__)

MAX_CHANGE_LINES: Final = 4
"""Up to this many daemons that change together are logged one by one."""


def log_changes(before: Fleet, after: Fleet) -> None:
    """Log the differences between two views of the fleet."""
    silent = [s for s in before.states.keys() - after.states.keys() if s in after.vms]
    returned = [s for s in after.states.keys() - before.states.keys() if s in before.vms]
    _log_daemons("Daemon known", after.vms.keys() - before.vms.keys(), after)
    _log_daemons("Daemon dropped", before.vms.keys() - after.vms.keys(), before)
    _log_daemons("Daemon silent", silent, after, logging.WARNING)
    _log_daemons("Daemon reachable again", returned, after)


def _log_daemons(
    event: str, sessions: Collection[str], fleet: Fleet, level: int = logging.INFO
) -> None:
    """Log one line per daemon, or a single line for many, as when a large fleet starts."""
    if len(sessions) > MAX_CHANGE_LINES:
        counts = {"daemons": len(sessions), "of": len(fleet.vms), "heard": fleet.reachable}
        _LOGGER.log(level, "%s, many at once", event, extra=counts)
        return
    for session in sessions:
        vm = fleet.vms[session]
        extra = {"session": session, "address": vm.address, "data_centre": vm.data_centre}
        _LOGGER.log(level, event, extra=extra)
