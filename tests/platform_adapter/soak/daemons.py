"""Gateway daemons as processes, controlled by signals."""

import asyncio
import contextlib
import os
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

from tests.helpers.processes import read_peak_mb
from tests.platform_adapter.soak.proxy import Proxy
from tests.platform_adapter.soak.record import GRACE_S, Absence, Record, Signal

ROOT: Final = Path(__file__).resolve().parents[3]
KILL_AFTER_S: Final = GRACE_S + 0.5
ADDRESS_CACHE_S: Final = 3.0
"""How long callers cache addresses, and so may still use that of a daemon that leaves."""
READY_POLLS: Final = 400
READY_POLL_S: Final = 0.05


@dataclass(frozen=True, slots=True)
class DaemonPlan:
    """Addresses of one daemon, and the address at which it reaches the store."""

    address: str
    front_port: int
    ready_port: int
    peer_port: int
    store_address: str
    seeds: tuple[str, ...]
    flags: tuple[str, ...] = ()
    """Further flags of the command line."""

    @property
    def front(self) -> str:
        """Return HOST:PORT for callers."""
        return f"{self.address}:{self.front_port}"

    def list_arguments(self) -> list[str]:
        """Return the command line that starts the daemon."""
        flags = {
            "address": self.address,
            "data-centre": "dc-a",
            "store-address": self.store_address,
            "front": self.front,
            "ready": f"{self.address}:{self.ready_port}",
            "peer-port": str(self.peer_port),
            "seeds": ",".join(self.seeds),
            "grace-s": str(GRACE_S),
        }
        pairs = [f"--{name}={value}" for name, value in flags.items()]
        return [sys.executable, str(ROOT / "platform" / "serve.py"), *pairs, *self.flags]


@dataclass(slots=True)
class Daemon:
    """One daemon process, restarted each time that it ends."""

    plan: DaemonPlan
    front: Proxy
    record: Record
    log: Path
    leaving: bool = False
    """Whether a SIGTERM was sent and the process still runs."""
    _process: asyncio.subprocess.Process | None = None
    _absence: Absence | None = None
    _listed_until: float = float("inf")
    _signals: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def name(self) -> str:
        """Return the VM's address."""
        return self.plan.address

    @property
    def listed(self) -> bool:
        """Return whether callers may still have this daemon's address."""
        return time.monotonic() < self._listed_until

    def read_peak_mb(self) -> float:
        """Return the most memory that the running process has had, MB."""
        return read_peak_mb(self.read_pid())

    def read_pid(self) -> int:
        """Return the process id; raises `AssertionError` if no process runs."""
        assert self._process is not None and self._process.returncode is None
        return self._process.pid

    @property
    def busy(self) -> bool:
        """Return whether an earlier signal is still being handled."""
        return self._signals.locked()

    async def async_start(self) -> None:
        """Start the process and wait until it is ready."""
        await self._async_spawn()
        await self._async_wait_ready()
        self._listed_until = float("inf")
        if self._absence is not None:
            self._absence.until = time.monotonic()

    async def async_stop(self, restarts_after_s: float = 0.0) -> None:
        """Send SIGTERM, wait for the end as the platform does, and restart the process.

        If `restarts_after_s` is given, the new process gets a SIGTERM so long after it was started.
        """
        async with self._signals:
            absence = await self.async_leave()
            if restarts_after_s:
                await self._async_spawn()
                absence.until = time.monotonic()
                await asyncio.sleep(restarts_after_s)
                await self.async_leave()
            await self.async_start()

    async def async_leave(self) -> Absence:
        """Send SIGTERM and wait for the end as the platform does; returns when the process ended."""
        self._listed_until = time.monotonic() + ADDRESS_CACHE_S
        self.leaving = True
        try:
            self.send(signal.SIGTERM)
            return await self._async_end()
        finally:
            self.leaving = False

    async def async_kill(self, down_s: float) -> None:
        """Kill the process and restart it after `down_s`."""
        async with self._signals:
            self.send(signal.SIGKILL)
            killed_at = time.monotonic()
            absence = await self._async_end()
            # It reads nothing more from here on, though its end may be seen later.
            absence.since = killed_at
            await asyncio.sleep(down_s)
            await self.async_start()

    async def async_pause(self, paused_s: float) -> None:
        """Pause the process for `paused_s`; its connections stay open."""
        async with self._signals:
            pause = Absence(self.name, time.monotonic())
            self.record.pauses.append(pause)
            self.send(signal.SIGSTOP)
            try:
                await asyncio.sleep(paused_s)
            finally:
                self.send(signal.SIGCONT)
                pause.until = time.monotonic()

    async def async_close(self) -> None:
        """Kill the process; called when all observations have been made."""
        self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    def send(self, number: signal.Signals) -> None:
        """Send the process a signal, if it runs, and record a SIGTERM or SIGKILL."""
        signals = {signal.SIGTERM: self.record.stops, signal.SIGKILL: self.record.kills}
        if number in signals:
            signals[number].append(Signal(self.name, time.monotonic()))
        self.repeat(number)

    def repeat(self, number: signal.Signals) -> None:
        """Send the process a signal, if it runs, that gives it no more time."""
        if self._process is not None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def _async_spawn(self) -> None:
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self.plan.list_arguments(), stdout=log, stderr=log, env=_make_environment()
            )

    async def _async_end(self) -> Absence:
        assert self._process is not None
        try:
            # `asyncio.wait_for` drops a cancellation that comes as its task ends.
            async with asyncio.timeout(KILL_AFTER_S):
                await self._process.wait()
        except TimeoutError:
            # Not recorded as an injected kill: the daemon is to blame for what it loses by this one.
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()
        self._absence = Absence(self.name, time.monotonic())
        self.record.absences.append(self._absence)
        return self._absence

    async def _async_wait_ready(self) -> None:
        for _ in range(READY_POLLS):
            if await self._async_is_ready():
                return
            await asyncio.sleep(READY_POLL_S)
        raise TimeoutError(f"{self.name} is not ready, see {self.log}")

    async def _async_is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.name, self.plan.ready_port)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in head


def _make_environment() -> dict[str, str]:
    kept = {name: value for name, value in os.environ.items() if not name.startswith("GOLDCREST")}
    return kept | {"PYTHONPATH": str(ROOT)}
