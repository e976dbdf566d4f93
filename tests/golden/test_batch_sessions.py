"""Sessions of batch jobs, compared byte for byte."""

import orjson

from standins.demo.fleet import Fleet, send_request
from tests.golden.session import Session
from tests.golden.worlds import DESIGNERS, count_running, make_chat, start_fleet, wait_for

SUBMIT = "/v1/batches?model=small"
DIGEST = {**DESIGNERS, "Idempotency-Key": "weekly-digest"}


def make_lines(items: int) -> bytes:
    lines = [
        {"custom_id": f"brief-{number}", "body": make_chat(f"sum up {number}")}
        for number in range(items)
    ]
    return b"\n".join(orjson.dumps(line) for line in lines)


def read_state(fleet: Fleet, job: str) -> str:
    address = fleet.daemons[0].wait_listening()
    answer = send_request(address, "GET", f"/v1/batches/{job}", headers=DESIGNERS)
    return str(answer.json().get("state"))


def test_batch_session() -> None:
    with start_fleet() as fleet:
        session = Session(fleet)
        bad = b'{"custom_id": "brief-0", "body": {"messages": []}}'
        session.call("designers", "POST", SUBMIT, bad, DESIGNERS)
        job = session.call("designers", "POST", SUBMIT, make_lines(3), DIGEST).json()["id"]
        session.note("the same submit once more, then the same key with other content")
        session.call("designers", "POST", SUBMIT, make_lines(3), DIGEST)
        session.call("designers", "POST", SUBMIT, make_lines(2), DIGEST)
        wait_for(lambda: read_state(fleet, job) == "finished", "job finished")
        session.call("designers", "GET", f"/v1/batches/{job}", headers=DESIGNERS)
        session.call("designers", "GET", f"/v1/batches/{job}/results?limit=2", headers=DESIGNERS)
        session.call("designers", "GET", f"/v1/batches/{job}/output", headers=DESIGNERS)
        session.call("designers", "GET", "/v1/batches", headers=DESIGNERS)
        fixtures = {"Authorization": "Bearer key-fixtures"}
        session.call("fixtures", "GET", f"/v1/batches/{job}", headers=fixtures)
        session.compare("batch")


def test_cancelled_batch_session() -> None:
    """A job is cancelled while the engines work on its items.

    The job must end as cancelled with one state per item, and the engines must stop.
    """
    with start_fleet() as fleet:
        session = Session(fleet)
        session.note("the engines decode nothing")
        for name in fleet.engines:
            fleet.set_faults(name, {"pause": True})
        job = session.call("designers", "POST", SUBMIT, make_lines(3), DIGEST).json()["id"]
        session.call("designers", "POST", f"/v1/batches/{job}/cancel", headers=DESIGNERS)
        session.call("designers", "POST", f"/v1/batches/{job}/cancel", headers=DESIGNERS)
        wait_for(lambda: read_state(fleet, job) == "cancelled", "job cancelled")
        session.call("designers", "GET", f"/v1/batches/{job}", headers=DESIGNERS)
        session.call("designers", "GET", f"/v1/batches/{job}/output", headers=DESIGNERS)
        session.note("the engines decode again")
        for name in fleet.engines:
            fleet.set_faults(name, {})
        wait_for(lambda: count_running(fleet) == 0, "engines idle")
        session.note("engines run: 0")
        session.compare("cancelled_batch")
