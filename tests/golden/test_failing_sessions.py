"""Sessions in which a key, an answer, a VM or an upstream is lost, compared byte for byte."""

import signal

from standins.demo.fleet import Fleet, send_request
from tests.golden.session import Session
from tests.golden.worlds import (
    DESIGNERS,
    OPERATOR,
    PATH_CHAT,
    count_running,
    make_chat,
    open_stream,
    read_runs,
    read_service_runs,
    start_fleet,
    wait_for,
)

BOOK = "/v1/services/grounds/book"


def read_addresses(fleet: Fleet, daemon: int) -> list[str]:
    address = fleet.daemons[daemon].wait_listening()
    named = send_request(address, "GET", "/v1/addresses", headers=DESIGNERS).json()["addresses"]
    vms = {vm.wait_listening(): f"vm{number}" for number, vm in enumerate(fleet.daemons)}
    return sorted(vms[name] for name in named)


def test_withdrawn_key_session() -> None:
    """A key is withdrawn while its customer reads a stream that is far from its end.

    The stream must end with the reason and without an end marker, the engines stop working on
    it, and the key is refused from then on; another customer's key still works.
    """
    with start_fleet() as fleet:
        session = Session(fleet)
        address = fleet.daemons[0].wait_listening()
        key_hash = next(
            key
            for key, customer in fleet.describe_configuration({"designers": {}})["keys"].items()
            if customer == "designers"
        )
        session.note("designers read a stream of 20,000 tokens")
        with open_stream(address, make_chat("long", 20_000, stream=True)) as stream:
            path = "/operator/keys/withdraw"
            session.call("operator", "POST", path, {"key_hash": key_hash}, OPERATOR)
            session.add_cut_answer("designers", stream.finish())
        wait_for(lambda: count_running(fleet) == 0, "engines idle")
        session.note("engines run: 0")
        session.call("designers", "POST", PATH_CHAT, make_chat("again"), DESIGNERS)
        fixtures = {"Authorization": "Bearer key-fixtures"}
        session.call("fixtures", "POST", PATH_CHAT, make_chat("move a slot"), fixtures)
        session.compare("withdrawn_key")


def test_lost_booking_answer_session() -> None:
    """A ground is booked, the service's answer is lost, and the caller sends the booking again.

    The booking may have run, so the caller must get `outcome_unknown` both times and the service
    must have run it once. A booking with a known answer is answered the same again, without a run.
    """
    with start_fleet() as fleet:
        session = Session(fleet)
        booking = {"ground": "north", "slot": 7}
        lost, kept = ({**DESIGNERS, "Idempotency-Key": key} for key in ("slot-7", "slot-8"))
        session.note("the service runs the next call, but its answer is lost")
        fleet.set_faults("service", {"lose_answers": 1})
        session.call("designers", "POST", BOOK, booking, lost)
        session.call("designers", "POST", BOOK, booking, lost)
        session.note(f"the service's runs by request: {read_service_runs(fleet)}")
        session.call("designers", "POST", BOOK, {**booking, "slot": 8}, kept)
        session.call("designers", "POST", BOOK, {**booking, "slot": 8}, kept)
        session.call("designers", "POST", BOOK, {**booking, "slot": 9}, kept)
        session.note(f"the service's runs by request: {read_service_runs(fleet)}")
        session.compare("lost_booking_answer")


def test_leaving_vm_session() -> None:
    """A VM is stopped while a caller reads a stream from it.

    It must report that it is not ready, its address must no longer be returned to callers, the
    stream must be complete, and the process must end by itself with status 0.
    """
    with start_fleet(daemons=2, daemon_flags={"drain-ms": "24000"}) as fleet:
        session = Session(fleet)
        address = fleet.daemons[0].wait_listening()
        wait_for(lambda: read_addresses(fleet, 1) == ["vm0", "vm1"], "both VMs named")
        session.note("vm1 names for designers: vm0, vm1")
        session.call("anyone", "GET", "/health/ready")
        session.note("designers read a stream of 1,000 tokens from vm0")
        with open_stream(address, make_chat("long", 1000, stream=True)) as stream:
            session.note("SIGTERM to vm0")
            fleet.daemons[0].send_signal(signal.SIGTERM)
            wait_for(lambda: send_request(address, "GET", "/health/ready").status == 503, "503")
            session.call("anyone", "GET", "/health/ready")
            wait_for(lambda: read_addresses(fleet, 1) == ["vm1"], "only vm1 named")
            session.note("vm1 names for designers: vm1")
            session.call("designers", "POST", PATH_CHAT, make_chat("late"), DESIGNERS)
            session.add_cut_answer("designers", stream.finish())
        session.note(f"vm0 ended with status {fleet.daemons[0].wait(60)}")
        session.compare("leaving_vm")


def test_leaving_upstream_session() -> None:
    """An operator takes an upstream out of service while it runs a stream.

    The stream must be complete, and requests sent after the patch must run elsewhere.
    """
    with start_fleet() as fleet:
        session = Session(fleet)
        address = fleet.daemons[0].wait_listening()
        with open_stream(address, make_chat("long", 1000, stream=True)) as stream:
            leaving = next(name for name in fleet.engines if read_runs(fleet, name))
            staying = next(name for name in fleet.engines if name != leaving)
            session.note(f"designers read a stream of 1,000 tokens that {leaving} runs")
            patch = {"leaving_upstreams": {leaving: True}}
            request = {"base_version": 1, "patch_id": "p1", "patch": patch}
            session.call("operator", "PATCH", "/operator/configuration", request, OPERATOR)
            for number in range(3):
                chat = make_chat(f"tag upload {number}")
                session.call("designers", "POST", PATH_CHAT, chat, DESIGNERS)
            session.add_cut_answer("designers", stream.finish())
        session.note(f"requests begun at {leaving}: {len(read_runs(fleet, leaving))}")
        session.note(f"requests begun at {staying}: {len(read_runs(fleet, staying))}")
        session.compare("leaving_upstream")
