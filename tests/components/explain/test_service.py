"""Test of the explanations collected from all VMs."""

from goldcreststair.components.explain.service import Explainer
from goldcreststair.components.membership.models import MEMBERS, Member, Members, MemberState
from goldcreststair.components.peers.protocols import PEERS
from goldcreststair.core import Core
from goldcreststair.journal import Subject
from tests.helpers.cores import make_core
from tests.helpers.peers import FakePeerNetwork
from tests.helpers.virtual_time import run_virtual

SESSIONS = ("s1", "s2", "s3")


def make_vm(network: FakePeerNetwork, session_id: str) -> tuple[Core, Explainer]:
    core = make_core(session_id=session_id)
    members = {
        name: Member(name, "127.0.0.1", 1, 2, "dc1", "r", MemberState.SERVING) for name in SESSIONS
    }
    core.blackboard.open_section(MEMBERS, Members(session_id, members))
    core.offer(PEERS, network.join(session_id))
    return core, Explainer(core)


def test_gathers_steps_and_names_silent_vms() -> None:
    """One VM ran a request that another had refused; a third cannot be reached.

    The explanation must contain both steps and name the VM that did not respond.
    """

    async def async_test() -> None:
        network = FakePeerNetwork(make_core().clock)
        first, explainer = make_vm(network, "s1")
        second, _ = make_vm(network, "s2")
        make_vm(network, "s3")
        network.cut("s1", "s3")
        first.journal.record(Subject.REQUEST, "r1", "refused", "overloaded", waiting=7)
        second.journal.record(Subject.REQUEST, "r1", "ran", "free", upstream="e1")
        second.journal.record(Subject.REQUEST, "r2", "ran", "free")
        explanation = await explainer.async_explain(Subject.REQUEST, "r1")
        assert [(step.vm, step.choice) for step in explanation.steps] == [
            ("s1", "refused"),
            ("s2", "ran"),
        ]
        assert explanation.steps[0].seen == {"waiting": 7}
        assert explanation.silent == ("s3",)

    run_virtual(async_test())
