"""The HTTP route that returns the addresses of the VMs that callers should use."""

from goldcreststair.components.caller_api.handler import CallerHandler
from goldcreststair.components.configuration.models import CONFIGURATION
from goldcreststair.components.ledger.protocols import LEDGER
from goldcreststair.components.limits.coordinators import find_customer_index
from goldcreststair.components.membership.models import (
    MEMBER_LOADS,
    MEMBERS,
    Member,
    MemberLoads,
    Members,
    MemberState,
)
from goldcreststair.components.steering.controller import choose_addresses
from goldcreststair.components.steering.models import SteeringQuery
from goldcreststair.core import Core
from goldcreststair.helpers.refusals import Refusal, RefusalCode


class AddressesHandler(CallerHandler):
    """Serves the addresses for one caller."""

    def get(self) -> None:
        """Respond with the addresses and their lifetime in seconds."""
        settings = self.core.settings
        query = SteeringQuery(
            customer=self.identity.customer,
            caller=self.request.remote_ip or "",
            data_centre=self.get_query_argument("data_centre", settings.data_centre),
            members=read_members(self.core),
            loads=read_loads(self.core).by_session,
            coordinator=find_coordinator(self.core, self.identity.customer.name),
            leaving_vms=self.core.blackboard.read(CONFIGURATION).leaving_vms,
        )
        result = choose_addresses(query)
        if not result.addresses:
            message = "no VM takes new callers"
            self.refuse(Refusal(message, RefusalCode.NOT_READY, 503, True, 1000))
            return
        self.finish({"addresses": list(result.addresses), "lifetime_s": result.lifetime_s})


def read_members(core: Core) -> tuple[Member, ...]:
    """Return the members; only this VM if the membership component is not set up."""
    try:
        members: Members = core.blackboard.read(MEMBERS)
    except KeyError:
        settings = core.settings
        place = (settings.data_centre, settings.region, MemberState.SERVING)
        return (Member(core.session_id, settings.address, core.http_port, 0, *place),)
    return tuple(members.by_session.values())


def read_loads(core: Core) -> MemberLoads:
    """Return the loads; none if the membership component is not set up."""
    try:
        return core.blackboard.read(MEMBER_LOADS)
    except KeyError:
        return MemberLoads()


def find_coordinator(core: Core, customer: str) -> str | None:
    """Return the session id of a customer's limit coordinator, or None if it is not known."""
    try:
        ledger = core.get(LEDGER)
    except KeyError:
        return None
    return ledger.find_owner(find_customer_index(ledger, customer))
