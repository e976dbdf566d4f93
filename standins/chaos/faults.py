"""The faults and the seeded schedule that applies them."""

import hashlib
import random
import signal
import threading
import time
import uuid
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any, Final

from standins.chaos.caller import NO_ANSWER, STATUS_OK
from standins.chaos.observations import FaultSpan, Observations, read_ms
from standins.chaos.traffic import POISON, SOFTWARE
from standins.demo.fleet import OPERATOR_TOKEN, Fleet, HttpResponse, send_request
from standins.demo.process import ChildProcess

PAUSE_S: Final = 40.0
"""Longer than the 30 s after which a session without heartbeat counts as gone."""
OUTAGE_S: Final = 20.0
SLOW_MS: Final = 400
LOST_ANSWER_SHARE: Final = 0.2
HOLD_S: Final = 8.0
SHORT_RUN_FACTOR: Final = 0.15
"""Factor on the duration of faults in short runs."""
OPERATOR: Final = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
OPERATOR_TIMEOUT_S: Final = 10.0
MIN_DAEMONS: Final = 2


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of the schedule."""

    name: str
    apply: Callable[[], None]


class FaultInjector:
    """Applies faults to one fleet; each method returns once its fault is over."""

    def __init__(
        self, fleet: Fleet, observed: Observations, rng: random.Random, hold_factor: float
    ) -> None:
        """Create an injector; `hold_factor` scales the duration of each fault."""
        self._fleet = fleet
        self._observed = observed
        self._random = rng
        self._hold_factor = hold_factor
        self._lock = threading.Lock()
        self._affected: set[str] = set()
        self._stopped = threading.Event()

    def list_available(self) -> list[str]:
        """Return the addresses of the daemons without a fault."""
        with self._lock:
            return [
                daemon.wait_listening()
                for daemon in self._fleet.daemons
                if daemon.name not in self._affected
            ]

    def run(self, faults: list[Fault], until_ms: int) -> None:
        """Apply randomly chosen faults one after another until the time."""
        while read_ms() < until_ms and not self._stopped.is_set():
            fault = self._random.choice(faults)
            begun = read_ms()
            try:
                fault.apply()
            except NO_ANSWER:
                continue
            finally:
                self._observed.faults.append(FaultSpan(fault.name, begun, read_ms()))
            self._stopped.wait(self._random.uniform(1.0, 4.0) * max(0.5, self._hold_factor))

    def list_vm_faults(self) -> list[Fault]:
        """Return the faults that affect daemons."""
        return [
            Fault("vm killed", self.kill_daemon),
            Fault("vm paused", self.pause_daemon),
            Fault("vm stopped gracefully", self.stop_daemon),
            Fault("data centre leaves", self.stop_data_centre),
        ]

    def list_other_faults(self) -> list[Fault]:
        """Return the faults of the platform, service and engines, and the actions of operators."""
        return [
            Fault("store down", lambda: self._apply_platform_faults({"down": True}, OUTAGE_S)),
            Fault("store slow", lambda: self._apply_platform_faults({"slow_ms": SLOW_MS}, HOLD_S)),
            Fault(
                "answers lost",
                lambda: self._apply_platform_faults(
                    {"lose_answer_share": LOST_ANSWER_SHARE}, HOLD_S
                ),
            ),
            Fault("service answer lost", self.lose_service_answer),
            Fault("engine killed", self.kill_engine),
            Fault("engine silent", self.silence_engine),
            Fault("key withdrawn", self.withdraw_key),
            Fault("operators race", self.race_operators),
        ]

    def kill_daemon(self) -> None:
        """Kill a daemon, then start another."""
        with self._claim_daemons(1) as victims:
            for victim in victims:
                victim.send_signal(signal.SIGKILL)
                victim.wait(10)
            self._wait(1.0)
        self._add_daemon()

    def pause_daemon(self) -> None:
        """Pause a daemon past its lease, then let it continue."""
        with self._claim_daemons(1) as victims:
            for victim in victims:
                victim.send_signal(signal.SIGSTOP)
            self._wait(PAUSE_S)
            for victim in victims:
                victim.send_signal(signal.SIGCONT)
        with self._lock:
            self._affected -= {victim.name for victim in victims}

    def stop_daemon(self) -> None:
        """Stop one daemon gracefully, then start another."""
        with self._claim_daemons(1) as victims:
            self._stop_gracefully(victims)
        self._add_daemon()

    def stop_data_centre(self) -> None:
        """Stop all daemons of one data centre gracefully, then start as many."""
        with self._claim_daemons(1) as chosen:
            victims = chosen + self._claim_data_centre(chosen)
            self._stop_gracefully(victims)
        for _ in victims:
            self._add_daemon()

    def kill_engine(self) -> None:
        """Kill an engine, then restart it at the same address with any software version."""
        name = self._random.choice(sorted(self._fleet.engines))
        self._fleet.processes[name].send_signal(signal.SIGKILL)
        self._fleet.processes[name].wait(10)
        self._wait(2.0)
        self._fleet.restart_engine(name, self._random.choice(SOFTWARE))
        self.set_crash_marker(name)

    def silence_engine(self) -> None:
        """Stop an engine's open streams from sending for a while."""
        name = self._random.choice(sorted(self._fleet.engines))
        self._fleet.set_faults(name, {"silent": True, "crash_marker": POISON})
        self._wait(HOLD_S)
        self.set_crash_marker(name)

    def set_crash_marker(self, name: str) -> None:
        """Clear an engine's faults except that it crashes on poison requests."""
        self._fleet.set_faults(name, {"crash_marker": POISON})

    def lose_service_answer(self) -> None:
        """Drop the service's next answer after the call has run."""
        self._fleet.set_faults("service", {"lose_answers": 1})
        self._wait(1.0)

    def withdraw_key(self) -> None:
        """Withdraw the visitors' key, once per run."""
        key_hash = hashlib.sha256(b"key-visitors").hexdigest()
        if self._observed.withdrawn_ms:
            return
        answer = self._send_to_operator_api(
            "POST", "/operator/keys/withdraw", {"key_hash": key_hash}
        )
        if answer.status in (STATUS_OK, 202):
            self._observed.withdrawn_ms["visitors"] = read_ms()

    def race_operators(self) -> None:
        """Patch the same configuration version by two operators at once."""
        current = self._send_to_operator_api("GET", "/operator/configuration", None)
        if current.status != STATUS_OK:
            return
        base = int(current.json()["version"])
        racing = [
            threading.Thread(target=self._patch, args=(base, weight), daemon=True)
            for weight in (1, 2)
        ]
        for thread in racing:
            thread.start()
        for thread in racing:
            thread.join(3 * OPERATOR_TIMEOUT_S)

    def stop(self) -> None:
        """Apply no more faults and shorten those in force."""
        self._stopped.set()

    def clear_faults(self) -> None:
        """Clear every fault; call it after the threads that apply them have ended."""
        self._fleet.set_faults("platform", {})
        for name in self._fleet.engines:
            self.set_crash_marker(name)
        for daemon in self._fleet.daemons:
            daemon.send_signal(signal.SIGCONT)

    def _patch(self, base: int, weight: int) -> None:
        patch_id = uuid.uuid4().hex
        patch = {"customers": {"designers": {"weight": weight}}}
        request = {"base_version": base, "patch_id": patch_id, "patch": patch}
        try:
            answer = self._send_to_operator_api("PATCH", "/operator/configuration", request)
        except NO_ANSWER:
            return
        if answer.status == STATUS_OK:
            with self._observed.lock:
                self._observed.patches.append((patch_id, int(answer.json()["version"])))

    def _send_to_operator_api(self, method: str, path: str, body: Any) -> HttpResponse:
        address = self._random.choice(self.list_available())
        return send_request(address, method, path, body, OPERATOR, OPERATOR_TIMEOUT_S)

    def _apply_platform_faults(self, faults: Mapping[str, Any], hold_s: float) -> None:
        self._fleet.set_faults("platform", faults)
        self._wait(hold_s)
        self._fleet.set_faults("platform", {})

    def _wait(self, hold_s: float) -> None:
        self._stopped.wait(hold_s * self._hold_factor)

    def _stop_gracefully(self, victims: list[ChildProcess]) -> None:
        with self._observed.lock:
            self._observed.planned_stops |= {victim.wait_listening() for victim in victims}
        for victim in victims:
            victim.send_signal(signal.SIGTERM)
        for victim in victims:
            victim.wait(90)

    def _add_daemon(self) -> None:
        daemon = self._fleet.add_daemon()
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:
            try:
                if (
                    send_request(daemon.wait_listening(), "GET", "/health/ready").status
                    == STATUS_OK
                ):
                    return
            except NO_ANSWER:
                pass
            time.sleep(0.1)

    def _claim_data_centre(self, chosen: list[ChildProcess]) -> list[ChildProcess]:
        """Claim the other daemons of the same data centres, keeping `MIN_DAEMONS` unaffected."""
        left = {self._fleet.find_data_centre(daemon) for daemon in chosen}
        with self._lock:
            unaffected = [
                daemon for daemon in self._fleet.daemons if daemon.name not in self._affected
            ]
            neighbours = [
                daemon for daemon in unaffected if self._fleet.find_data_centre(daemon) in left
            ]
            neighbours = neighbours[: max(0, len(unaffected) - MIN_DAEMONS)]
            self._affected |= {daemon.name for daemon in neighbours}
        return neighbours

    @contextmanager
    def _claim_daemons(self, count: int) -> Iterator[list[ChildProcess]]:
        """Choose daemons without a fault, keeping `MIN_DAEMONS` unaffected."""
        with self._lock:
            unaffected = [
                daemon for daemon in self._fleet.daemons if daemon.name not in self._affected
            ]
            available = max(0, len(unaffected) - MIN_DAEMONS)
            chosen = self._random.sample(unaffected, min(count, available))
            self._affected |= {daemon.name for daemon in chosen}
        yield chosen
