"""Sessions of operators who only read, compared byte for byte."""

from tests.golden.session import Session
from tests.golden.worlds import DESIGNERS, OPERATOR, PATH_CHAT, make_chat, start_fleet


def test_status_and_explain_session() -> None:
    with start_fleet(engines=1) as fleet:
        session = Session(fleet)
        session.call("operator", "GET", "/operator/status", headers=OPERATOR)
        session.note("the engine sends its next answer under another request's id")
        fleet.set_faults("engine0", {"cross_answers": True})
        answer = session.call("designers", "POST", PATH_CHAT, make_chat("a blurb"), DESIGNERS)
        path = f"/operator/explain/request/{answer.headers['X-Request-Id']}"
        session.call("operator", "GET", path, headers=OPERATOR)
        session.call("operator", "GET", "/operator/explain/request/none", headers=OPERATOR)
        session.call("operator", "GET", "/operator/explain/weather/1", headers=OPERATOR)
        path = "/operator/configuration/history?after=0&limit=one"
        session.call("operator", "GET", path, headers=OPERATOR)
        session.call("stranger", "GET", "/operator/status")
        session.compare("status_and_explain")
