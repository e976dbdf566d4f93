"""Read-only HTTP handlers for operators: history, burn, explanations and status."""

import dataclasses

import orjson
from result import Err

from goldcreststair.components.configuration.controller import CONFIGURATION_FOLLOWER
from goldcreststair.components.configuration.models import CONFIGURATION
from goldcreststair.components.explain.service import EXPLAINER
from goldcreststair.components.membership.models import MEMBER_LOADS, MEMBERS
from goldcreststair.components.operator_api.views import OperatorHandler
from goldcreststair.components.service_level.protocols import SERVICE_LEVELS
from goldcreststair.components.service_level.service import ServiceLevels
from goldcreststair.journal import Subject

MAX_HISTORY = 1000


class HistoryHandler(OperatorHandler):
    """Handles queries of the configuration's history."""

    async def get(self) -> None:
        """Return at most `limit` patches after version `after`, oldest first."""
        try:
            after = int(self.get_query_argument("after", "0"))
            limit = int(self.get_query_argument("limit", "100"))
        except ValueError:
            self.set_status(400)
            message = "after and limit: must be whole numbers"
            self.finish({"error": {"code": "invalid", "message": message}})
            return
        store = self.core.get(CONFIGURATION_FOLLOWER).store
        read = await store.async_read_history(after, min(max(limit, 1), MAX_HISTORY))
        self.set_header("Content-Type", "application/json")
        if isinstance(read, Err):
            self.set_status(503)
            error = {"code": "store_unavailable", "message": read.err_value.message}
            self.finish(orjson.dumps({"error": error}))
            return
        versions = [dataclasses.asdict(entry) for entry in read.ok_value]
        self.finish(orjson.dumps({"versions": versions}))


class BurnHandler(OperatorHandler):
    """Handles queries of the error budgets."""

    async def get(self) -> None:
        """Return the burn of every customer, and the customers whose owner did not respond."""
        levels = self.core.get(SERVICE_LEVELS)
        assert isinstance(levels, ServiceLevels)
        computed = await levels.async_compute_burns()
        if isinstance(computed, Err):
            burns, missing = list(computed.err_value.partial), computed.err_value.customers
        else:
            burns, missing = computed.ok_value, ()
        body = {"burns": [dataclasses.asdict(burn) for burn in burns], "missing": missing}
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(body))


class ExplainHandler(OperatorHandler):
    """Handles queries of what was decided about a subject."""

    async def get(self, subject: str, subject_id: str) -> None:
        """Return the decisions of all members about one subject."""
        if subject not in tuple(Subject):
            self.set_status(404)
            subjects = ", ".join(Subject)
            message = f"subject: must be one of {subjects}"
            self.finish({"error": {"code": "unknown_subject", "message": message}})
            return
        explanation = await self.core.get(EXPLAINER).async_explain(Subject(subject), subject_id)
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(dataclasses.asdict(explanation)))


class StatusHandler(OperatorHandler):
    """Handles queries of the fleet's status as known to this VM."""

    def get(self) -> None:
        """Return the members with their loads, and the version of the active configuration."""
        board = self.core.blackboard
        loads = board.read(MEMBER_LOADS).by_session
        members = [
            {**dataclasses.asdict(member), "in_flight": loads.get(member.session_id, 0)}
            for member in board.read(MEMBERS).by_session.values()
        ]
        body = {
            "session_id": self.core.session_id,
            "configuration_version": board.read(CONFIGURATION).version,
            "members": sorted(members, key=lambda member: str(member["session_id"])),
        }
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(body))
