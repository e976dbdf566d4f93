"""Counts of two VMs are merged by the customer's owner."""

from goldcreststair.components.configuration.models import CONFIGURATION
from goldcreststair.components.ledger.protocols import LEDGER
from goldcreststair.components.membership.models import MEMBERS, Member, Members, MemberState
from goldcreststair.components.peers.protocols import PEERS
from goldcreststair.components.service_level.service import ServiceLevels
from goldcreststair.core import Core
from tests.helpers.cores import make_configuration, make_core
from tests.helpers.ledgers import FakeLedger
from tests.helpers.peers import FakePeerNetwork
from tests.helpers.virtual_time import run_virtual

OBJECTIVES = {"fast": {"threshold_ms": 1700, "target": 0.95}}


class RemoteLedger(FakeLedger):
    """A ledger in which this VM owns no partition: all belong to `session_id`."""

    def get_owned(self, index: int) -> None:
        return None


def make_levels(network: FakePeerNetwork, session_id: str, ledger: FakeLedger) -> ServiceLevels:
    core: Core = make_core(session_id=session_id)
    configuration = make_configuration(objectives=OBJECTIVES)
    core.blackboard.open_section(CONFIGURATION, configuration)
    members = {
        name: Member(name, "127.0.0.1", 1, 2, "dc1", "r", MemberState.SERVING)
        for name in ("s1", "s2")
    }
    core.blackboard.open_section(MEMBERS, Members(session_id, members))
    core.offer(LEDGER, ledger)
    core.offer(PEERS, network.join(session_id))
    return ServiceLevels(core)


def test_counts_of_two_vms_are_merged_once() -> None:
    """Two VMs serve one customer, and the owner's answer to one report is lost.

    Every request has to be counted once, whichever VM served it.
    """

    async def async_test() -> None:
        network = FakePeerNetwork(make_core().clock)
        owner = make_levels(network, "s1", FakeLedger("s1"))
        other = make_levels(network, "s2", RemoteLedger("s1"))
        owner.observe("acme", 200)
        other.observe("acme", 5000)
        network.lose_answers = 1
        await other.async_report()
        await other.async_report()
        await owner.async_report()
        (seen_by_owner,) = (await owner.async_compute_burns()).unwrap()
        (seen_by_other,) = (await other.async_compute_burns()).unwrap()
        assert seen_by_owner == seen_by_other
        assert seen_by_owner.windows[0].total == 2
        assert round(seen_by_owner.windows[0].rate, 6) == 10.0

    run_virtual(async_test())
