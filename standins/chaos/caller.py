"""A caller that fetches the daemons' addresses and uses them for their lifetime."""

import http.client
import random
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any, Final

from standins.chaos.observations import Attempt, Kind, Observations, read_ms, read_refusal
from standins.demo.__main__ import read_stream
from standins.demo.fleet import HttpResponse, send_request

TIMEOUT_S: Final = 20.0
ADDRESSES_TIMEOUT_S: Final = 2.0
STATUS_OK: Final = 200
NO_ANSWER: Final = (OSError, http.client.HTTPException)


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """One request and the text that its complete answer must have."""

    kind: Kind
    subject: str
    path: str
    body: Any
    idempotency_key: str = ""
    expected: tuple[str, ...] = ()
    """Each answer that would be whole; empty where any is."""


class Caller:
    """Sends requests of one customer."""

    def __init__(
        self,
        customer: str,
        list_daemons: Callable[[], list[str]],
        observed: Observations,
        rng: random.Random,
    ) -> None:
        """Create a caller that fetches addresses from one of `list_daemons`."""
        self.customer = customer
        self.random = rng
        self._list_daemons = list_daemons
        self._observed = observed
        self._addresses: list[str] = []
        self._valid_until_ms = 0

    def send(self, spec: RequestSpec) -> Attempt:
        """Send once and record the outcome."""
        address = self._choose_address()
        begun = Attempt(
            spec.kind, self.customer, spec.subject, address, read_ms(), 0, 0, code="no address"
        )
        attempt = self._try_send(spec, begun) if address else begun
        attempt = replace(attempt, ended_ms=read_ms())
        if attempt.status == 0 and address in self._addresses:
            self._addresses.remove(address)
        self._observed.add(attempt)
        return attempt

    def _try_send(self, spec: RequestSpec, begun: Attempt) -> Attempt:
        headers = self._make_headers(spec.idempotency_key)
        try:
            answer = send_request(begun.address, "POST", spec.path, spec.body, headers, TIMEOUT_S)
        except NO_ANSWER as error:
            return replace(begun, code=type(error).__name__)
        return _make_attempt(spec, begun, answer)

    def _make_headers(self, idempotency_key: str) -> Mapping[str, str]:
        headers = {"Authorization": f"Bearer key-{self.customer}"}
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        return headers

    def _choose_address(self) -> str:
        if read_ms() >= self._valid_until_ms or not self._addresses:
            self._fetch_addresses()
        return self._addresses[0] if self._addresses else ""

    def _fetch_addresses(self) -> None:
        # Expired addresses are not used again, even if no new ones can be fetched.
        self._addresses = []
        daemons = self._list_daemons()
        self.random.shuffle(daemons)
        for daemon in daemons:
            try:
                answer = send_request(
                    daemon,
                    "GET",
                    "/v1/addresses",
                    None,
                    self._make_headers(""),
                    ADDRESSES_TIMEOUT_S,
                )
            except NO_ANSWER:
                continue
            if answer.status == STATUS_OK:
                found = answer.json()
                self._addresses = list(found["addresses"])
                self._valid_until_ms = read_ms() + int(found["lifetime_s"]) * 1000
                return
        time.sleep(0.2)


def _make_attempt(spec: RequestSpec, begun: Attempt, answer: HttpResponse) -> Attempt:
    request_id = answer.headers.get("X-Request-Id", "")
    if answer.status != STATUS_OK:
        code, not_run = read_refusal(answer)
        return replace(
            begun, status=answer.status, request_id=request_id, code=code, not_run=not_run
        )
    text = _read_text(spec, answer)
    if spec.kind is Kind.STREAM and not text:
        # Cut before its end marker, so that its caller knows that it is incomplete.
        ended = b"event: error" in answer.body
        return replace(begun, request_id=request_id, code="ended" if ended else "cut")
    return replace(
        begun,
        status=answer.status,
        request_id=request_id,
        text=text,
        expected=choose_expected(spec.expected, text),
    )


def choose_expected(expected: tuple[str, ...], text: str) -> str:
    """Return the expected text that a text equals, else the first one.

    >>> choose_expected(("a", "b"), "b"), choose_expected(("a", "b"), "ab"), choose_expected((), "c")
    ('b', 'a', 'c')
    """
    if not expected or text in expected:
        return text
    return expected[0]


def _read_text(spec: RequestSpec, answer: HttpResponse) -> str:
    if spec.kind is Kind.STREAM:
        return read_stream(answer)
    body = answer.json()
    if spec.kind in (Kind.BOOKING, Kind.SUBMIT):
        return str(body.get("request_id", body.get("id")))
    return str(body["choices"][0]["message"]["content"])
