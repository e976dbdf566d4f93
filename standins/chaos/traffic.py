"""Traffic that callers send during the faults."""

import threading
from collections.abc import Callable
from typing import Any, Final

import orjson

from standins.chaos.caller import STATUS_OK, Caller, RequestSpec
from standins.chaos.observations import Attempt, Kind, Observations
from standins.engine.model import make_text

PATH_CHAT: Final = "/v1/chat/completions"
PATH_BOOK: Final = "/v1/services/grounds/book"
PATH_SUBMIT: Final = "/v1/batches?model=small"
POISON: Final = "poison-"
"""Engines crash on a request that contains this text."""
TOKENS: Final = 12
JOB_ITEMS: Final = 40
SOFTWARE: Final = ("v1", "v2")
"""Software versions of the engines."""
RESENDS: Final = 6
POISON_RESENDS: Final = 3
FINAL_CODES: Final = ("outcome_unknown", "invalid_request", "invalid_key")

SendAction = Callable[["Traffic", Caller, int], None]


def make_chat(text: str, *, stream: bool = False) -> dict[str, Any]:
    """Return a chat request."""
    messages = [{"role": "user", "content": text}]
    return {"model": "small", "max_tokens": TOKENS, "messages": messages, "stream": stream}


def list_expected_texts(text: str) -> tuple[str, ...]:
    """Return the answers to `make_chat(text)`, one of each software version."""
    return tuple(make_text(f"user: {text}", TOKENS, software) for software in SOFTWARE)


class Traffic:
    """Runs the loop of each caller in its own thread until stopped."""

    def __init__(self, observed: Observations) -> None:
        """Create traffic whose accepted jobs are recorded in `observed`."""
        self._observed = observed
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self, name: str, caller: Caller, body: SendAction, pause_s: float) -> None:
        """Start one caller's loop."""

        def run() -> None:
            number = 0
            while not self._stopped.is_set():
                body(self, caller, number)
                number += 1
                self._stopped.wait(pause_s * caller.random.uniform(0.5, 1.5))

        thread = threading.Thread(target=run, name=name, daemon=True)
        self._threads.append(thread)
        thread.start()

    def stop(self) -> None:
        """Stop all loops and wait for their last requests."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(120)

    def send_online(self, caller: Caller, number: int) -> None:
        """Send one online request, streamed or not."""
        stream = caller.random.random() < 0.5
        text = f"move slot {number} {caller.random.getrandbits(32):x}"
        kind = Kind.STREAM if stream else Kind.ONLINE
        caller.send(
            RequestSpec(
                kind,
                text,
                PATH_CHAT,
                make_chat(text, stream=stream),
                expected=list_expected_texts(text),
            )
        )

    def send_visitor(self, caller: Caller, number: int) -> None:
        """Send one request with the key that is withdrawn during the run."""
        text = f"visit {number}"
        caller.send(
            RequestSpec(
                Kind.VISITOR, text, PATH_CHAT, make_chat(text), expected=list_expected_texts(text)
            )
        )

    def send_booking(self, caller: Caller, number: int) -> None:
        """Book one ground; retries with the same idempotency key until the outcome is final."""
        name = f"b{caller.random.getrandbits(48):012x}"
        spec = RequestSpec(Kind.BOOKING, name, PATH_BOOK, {"booking": name}, name)
        self._send_until_final(caller, spec, RESENDS)

    def send_poison(self, caller: Caller, number: int) -> None:
        """Send a request that crashes engines, and retry it."""
        text = f"{POISON}{caller.random.getrandbits(32):x}"
        spec = RequestSpec(Kind.POISON, text, PATH_CHAT, make_chat(text))
        self._send_until_final(caller, spec, POISON_RESENDS)

    def submit_job(self, caller: Caller, number: int) -> None:
        """Submit a job; retries with the same idempotency key until it is accepted."""
        name = f"digest-{caller.random.getrandbits(48):012x}"
        prompts = [f"{name} brief {item}" for item in range(JOB_ITEMS)]
        lines = [{"custom_id": text, "body": make_chat(text)} for text in prompts]
        body = b"\n".join(orjson.dumps(line) for line in lines)
        spec = RequestSpec(Kind.SUBMIT, name, PATH_SUBMIT, body, name)
        accepted = self._send_until_final(caller, spec, RESENDS)
        if accepted.status == STATUS_OK:
            with self._observed.lock:
                self._observed.jobs[accepted.text] = prompts

    def _send_until_final(self, caller: Caller, spec: RequestSpec, limit: int) -> Attempt:
        attempt = caller.send(spec)
        for _ in range(limit):
            if attempt.status == STATUS_OK or attempt.code in FINAL_CODES:
                break
            self._stopped.wait(caller.random.uniform(0.3, 1.5))
            attempt = caller.send(spec)
        return attempt
