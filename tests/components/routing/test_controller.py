"""Tests of which upstreams a VM uses, and in which order."""

from goldcreststair.components.configuration.models import CONFIGURATION, Configuration
from goldcreststair.components.routing.const import MAX_IN_FLIGHT, SUBSET_SIZE
from goldcreststair.components.routing.controller import AffinityRouter
from goldcreststair.components.routing.protocols import RouteQuery
from goldcreststair.upstreams.models import Upstream
from tests.helpers.cores import make_core
from tests.helpers.virtual_time import ManualClock


def make_router(near: int, far: int, session_id: str = "vm1") -> AffinityRouter:
    core = make_core(clock=ManualClock(), session_id=session_id)
    centres = ["dc1"] * near + ["dc2"] * far
    upstreams = {
        f"e{number}": Upstream(f"e{number}", f"10.0.0.{number}:1", centre, models=("small", "big"))
        for number, centre in enumerate(centres)
    }
    core.blackboard.open_section(CONFIGURATION, Configuration(1, upstreams=upstreams))
    return AffinityRouter(core)


def test_upstreams_of_the_own_data_centre_are_filled_first() -> None:
    router = make_router(near=2, far=2)
    chosen = []
    for number in range(4 * MAX_IN_FLIGHT):
        upstream = router.choose(RouteQuery(model="small", prefix=str(number))).unwrap()
        router.begin(upstream.name)
        chosen.append(upstream.data_centre)
    assert chosen == ["dc1"] * 2 * MAX_IN_FLIGHT + ["dc2"] * 2 * MAX_IN_FLIGHT
    assert router.choose(RouteQuery(model="small")).unwrap_err().saturated


def test_vm_uses_and_polls_only_its_subset() -> None:
    subsets = []
    for session_id in ("vm1", "vm2"):
        router = make_router(near=100, far=0, session_id=session_id)
        assert router.list_used() == []
        router.choose(RouteQuery(model="small"))
        subsets.append({upstream.name for upstream in router.list_used()})
        assert len(subsets[-1]) == SUBSET_SIZE
    assert subsets[0] != subsets[1]
