"""What callers send while faults come and go."""

import threading
from collections.abc import Callable
from typing import Any, Final

import orjson

from standins.chaos.caller import STATUS_OK, Caller, Wanted
from standins.chaos.observations import Attempt, Kind, Observations
from standins.engine.model import make_text

PATH_CHAT: Final = "/v1/chat/completions"
PATH_BOOK: Final = "/v1/services/grounds/book"
PATH_SUBMIT: Final = "/v1/batches?model=small"
POISON: Final = "poison-"
"""Engines crash on a request that holds this."""
TOKENS: Final = 12
JOB_ITEMS: Final = 40
RESENDS: Final = 6
POISON_RESENDS: Final = 3
FINAL_CODES: Final = ("outcome_unknown", "invalid_request", "invalid_key")

Body = Callable[["Traffic", Caller, int], None]


def make_chat(text: str, *, stream: bool = False) -> dict[str, Any]:
    """Return a chat request."""
    messages = [{"role": "user", "content": text}]
    return {"model": "small", "max_tokens": TOKENS, "messages": messages, "stream": stream}


def expect_text(text: str) -> str:
    """Return what any engine answers to `make_chat(text)`."""
    return make_text(f"user: {text}", TOKENS)


class Traffic:
    """Loops of callers, each in its thread, until stopped."""

    def __init__(self, seen: Observations) -> None:
        """Write down into `seen`."""
        self._seen = seen
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self, name: str, caller: Caller, body: Body, pause_s: float) -> None:
        """Begin one caller's loop."""

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
        """End all loops after their last request."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(120)

    def send_online(self, caller: Caller, number: int) -> None:
        """Send one online request, streamed or not."""
        stream = caller.random.random() < 0.5
        text = f"move slot {number} {caller.random.getrandbits(32):x}"
        kind = Kind.STREAM if stream else Kind.ONLINE
        caller.send(
            Wanted(
                kind, text, PATH_CHAT, make_chat(text, stream=stream), expected=expect_text(text)
            )
        )

    def send_visitor(self, caller: Caller, number: int) -> None:
        """Send one request under a key that is to be withdrawn."""
        text = f"visit {number}"
        caller.send(
            Wanted(Kind.VISITOR, text, PATH_CHAT, make_chat(text), expected=expect_text(text))
        )

    def send_booking(self, caller: Caller, number: int) -> None:
        """Book one ground, again under the same key until there is an outcome."""
        name = f"b{caller.random.getrandbits(48):012x}"
        wanted = Wanted(Kind.BOOKING, name, PATH_BOOK, {"booking": name}, name)
        self._send_until_final(caller, wanted, RESENDS)

    def send_poison(self, caller: Caller, number: int) -> None:
        """Send what crashes engines, again and again."""
        text = f"{POISON}{caller.random.getrandbits(32):x}"
        wanted = Wanted(Kind.POISON, text, PATH_CHAT, make_chat(text))
        self._send_until_final(caller, wanted, POISON_RESENDS)

    def submit_job(self, caller: Caller, number: int) -> None:
        """Submit a job, again under the same key until it is accepted."""
        name = f"digest-{caller.random.getrandbits(48):012x}"
        prompts = [f"{name} brief {item}" for item in range(JOB_ITEMS)]
        lines = [{"custom_id": text, "body": make_chat(text)} for text in prompts]
        body = b"\n".join(orjson.dumps(line) for line in lines)
        wanted = Wanted(Kind.SUBMIT, name, PATH_SUBMIT, body, name)
        accepted = self._send_until_final(caller, wanted, RESENDS)
        if accepted.status == STATUS_OK:
            with self._seen.lock:
                self._seen.jobs[accepted.text] = prompts

    def _send_until_final(self, caller: Caller, wanted: Wanted, limit: int) -> Attempt:
        attempt = caller.send(wanted)
        for _ in range(limit):
            if attempt.status == STATUS_OK or attempt.code in FINAL_CODES:
                break
            self._stopped.wait(caller.random.uniform(0.3, 1.5))
            attempt = caller.send(wanted)
        return attempt
