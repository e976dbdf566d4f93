"""The faults, and the seeded schedule that puts them in force."""

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
from standins.chaos.traffic import POISON
from standins.demo.fleet import OPERATOR_TOKEN, Fleet, HttpAnswer, send_request
from standins.demo.process import ChildProcess

LEASE_S: Final = 40.0
"""Longer than the 30 s after which a silent session is taken for gone."""
OUTAGE_S: Final = 20.0
SLOW_MS: Final = 400
LOST_SHARE: Final = 0.2
HOLD_S: Final = 8.0
SHORT: Final = 0.15
"""Factor on holds in short runs."""
OPERATOR: Final = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
OPERATOR_TIMEOUT_S: Final = 10.0
MIN_DAEMONS: Final = 2


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of the schedule."""

    name: str
    apply: Callable[[], None]


class Saboteur:
    """Applies faults to one fleet; each returns once the fault is over."""

    def __init__(
        self, fleet: Fleet, seen: Observations, chooser: random.Random, hold_factor: float
    ) -> None:
        """Take the fleet; nothing is broken yet."""
        self._fleet = fleet
        self._seen = seen
        self._random = chooser
        self._hold_factor = hold_factor
        self._lock = threading.Lock()
        self._touched: set[str] = set()
        self._stopped = threading.Event()

    def list_usable(self) -> list[str]:
        """Return the addresses of daemons that callers may know."""
        with self._lock:
            return [
                daemon.wait_listening()
                for daemon in self._fleet.daemons
                if daemon.name not in self._touched
            ]

    def run(self, faults: list[Fault], until_ms: int) -> None:
        """Apply faults one after another, around again, until the time."""
        while read_ms() < until_ms and not self._stopped.is_set():
            fault = self._random.choice(faults)
            begun = read_ms()
            try:
                fault.apply()
            except NO_ANSWER:
                continue
            finally:
                self._seen.faults.append(FaultSpan(fault.name, begun, read_ms()))
            self._stopped.wait(self._random.uniform(1.0, 4.0) * max(0.5, self._hold_factor))

    def list_vm_faults(self) -> list[Fault]:
        """Return the faults of daemons."""
        return [
            Fault("vm killed", self.kill_daemon),
            Fault("vm paused", self.pause_daemon),
            Fault("vm stopped gracefully", self.stop_daemon),
            Fault("data centre leaves", self.stop_data_centre),
        ]

    def list_other_faults(self) -> list[Fault]:
        """Return the faults of the platform and engines, and what operators do."""
        return [
            Fault("store down", lambda: self._hold_platform({"down": True}, OUTAGE_S)),
            Fault("store slow", lambda: self._hold_platform({"slow_ms": SLOW_MS}, HOLD_S)),
            Fault(
                "answers lost",
                lambda: self._hold_platform({"lose_answer_share": LOST_SHARE}, HOLD_S),
            ),
            Fault("service answer lost", self.lose_service_answer),
            Fault("engine killed", self.kill_engine),
            Fault("engine silent", self.silence_engine),
            Fault("key withdrawn", self.withdraw_key),
            Fault("operators race", self.race_operators),
        ]

    def kill_daemon(self) -> None:
        """End a daemon at once; another starts."""
        with self._taking(1) as victims:
            for victim in victims:
                victim.send_signal(signal.SIGKILL)
                victim.wait(10)
            self._hold(1.0)
        self._add_daemon()

    def pause_daemon(self) -> None:
        """Pause a daemon past its lease; it goes on afterwards."""
        with self._taking(1) as victims:
            for victim in victims:
                victim.send_signal(signal.SIGSTOP)
            self._hold(LEASE_S)
            for victim in victims:
                victim.send_signal(signal.SIGCONT)
        with self._lock:
            self._touched -= {victim.name for victim in victims}

    def stop_daemon(self) -> None:
        """Stop one daemon gracefully; another starts."""
        with self._taking(1) as victims:
            self._stop_gracefully(victims)
        self._add_daemon()

    def stop_data_centre(self) -> None:
        """Stop all daemons of one data centre gracefully; as many start."""
        with self._taking(1) as chosen:
            victims = chosen + self._take_neighbours(chosen)
            self._stop_gracefully(victims)
        for _ in victims:
            self._add_daemon()

    def kill_engine(self) -> None:
        """End an engine at once; it starts again at the same address."""
        name = self._random.choice(sorted(self._fleet.engines))
        self._fleet.processes[name].send_signal(signal.SIGKILL)
        self._fleet.processes[name].wait(10)
        self._hold(2.0)
        self._fleet.restart_engine(name)
        self.set_poison(name)

    def silence_engine(self) -> None:
        """Let an engine's open streams go silent."""
        name = self._random.choice(sorted(self._fleet.engines))
        self._fleet.set_faults(name, {"silent": True, "crash_marker": POISON})
        self._hold(HOLD_S)
        self.set_poison(name)

    def set_poison(self, name: str) -> None:
        """Let an engine crash on poison and heal all else."""
        self._fleet.set_faults(name, {"crash_marker": POISON})

    def lose_service_answer(self) -> None:
        """Lose the service's next answer after it ran."""
        self._fleet.set_faults("service", {"lose_answers": 1})
        self._hold(1.0)

    def withdraw_key(self) -> None:
        """Withdraw the visitors' key, later give them a new customer's one."""
        key_hash = hashlib.sha256(b"key-visitors").hexdigest()
        if self._seen.withdrawn_ms:
            return
        answer = self._ask_operator("POST", "/operator/keys/withdraw", {"key_hash": key_hash})
        if answer.status in (STATUS_OK, 202):
            self._seen.withdrawn_ms["visitors"] = read_ms()

    def race_operators(self) -> None:
        """Let two operators patch the same version."""
        current = self._ask_operator("GET", "/operator/configuration", None)
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
        """Begin no more faults, and cut short those under way."""
        self._stopped.set()

    def heal(self) -> None:
        """Take every fault back, once the lanes that apply them have ended."""
        self._fleet.set_faults("platform", {})
        for name in self._fleet.engines:
            self.set_poison(name)
        for daemon in self._fleet.daemons:
            daemon.send_signal(signal.SIGCONT)

    def _patch(self, base: int, weight: int) -> None:
        patch_id = uuid.uuid4().hex
        patch = {"customers": {"designers": {"weight": weight}}}
        request = {"base_version": base, "patch_id": patch_id, "patch": patch}
        try:
            answer = self._ask_operator("PATCH", "/operator/configuration", request)
        except NO_ANSWER:
            return
        if answer.status == STATUS_OK:
            with self._seen.lock:
                self._seen.patches.append((patch_id, int(answer.json()["version"])))

    def _ask_operator(self, method: str, path: str, body: Any) -> HttpAnswer:
        address = self._random.choice(self.list_usable())
        return send_request(address, method, path, body, OPERATOR, OPERATOR_TIMEOUT_S)

    def _hold_platform(self, faults: Mapping[str, Any], hold_s: float) -> None:
        self._fleet.set_faults("platform", faults)
        self._hold(hold_s)
        self._fleet.set_faults("platform", {})

    def _hold(self, hold_s: float) -> None:
        self._stopped.wait(hold_s * self._hold_factor)

    def _stop_gracefully(self, victims: list[ChildProcess]) -> None:
        with self._seen.lock:
            self._seen.planned_stops |= {victim.wait_listening() for victim in victims}
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

    def _take_neighbours(self, chosen: list[ChildProcess]) -> list[ChildProcess]:
        """Take what else stands in the same data centres, while some daemons are left."""
        left = {self._fleet.find_data_centre(daemon) for daemon in chosen}
        with self._lock:
            whole = [daemon for daemon in self._fleet.daemons if daemon.name not in self._touched]
            neighbours = [
                daemon for daemon in whole if self._fleet.find_data_centre(daemon) in left
            ]
            neighbours = neighbours[: max(0, len(whole) - MIN_DAEMONS)]
            self._touched |= {daemon.name for daemon in neighbours}
        return neighbours

    @contextmanager
    def _taking(self, count: int) -> Iterator[list[ChildProcess]]:
        """Choose daemons that no fault has touched, so that some are always left."""
        with self._lock:
            whole = [daemon for daemon in self._fleet.daemons if daemon.name not in self._touched]
            room = max(0, len(whole) - MIN_DAEMONS)
            chosen = self._random.sample(whole, min(count, room))
            self._touched |= {daemon.name for daemon in chosen}
        yield chosen
