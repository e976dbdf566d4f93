"""Child process that reports its listening address."""

import contextlib
import os
import signal
import subprocess
import sys
import threading
from collections.abc import Sequence
from pathlib import Path
from typing import IO, Any

import orjson

ROOT = Path(__file__).resolve().parents[2]


class ProcessStartError(RuntimeError):
    """A child process did not reach its listening state."""


class ChildProcess:
    """A Python module run as a process; its address is the `listening` field of a JSON line."""

    def __init__(self, name: str, module: str, arguments: Sequence[str]) -> None:
        """Start the process; `wait_listening` waits until it serves."""
        self.name = name
        self.lines: list[dict[str, Any]] = []
        self._address = ""
        self._listening = threading.Event()
        self._process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        assert self._process.stdout is not None
        reader = threading.Thread(target=self._read, args=(self._process.stdout,), daemon=True)
        reader.start()

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    def wait_listening(self, timeout_s: float = 30.0) -> str:
        """Return HOST:PORT once the process serves; raises `ProcessStartError`."""
        if not self._listening.wait(timeout_s) or not self._address:
            raise ProcessStartError(f"{self.name} does not listen: {self.lines[-5:]}")
        return self._address

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is still running."""
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    def wait(self, timeout_s: float) -> int | None:
        """Return the exit status, or None if the process is still running after `timeout_s`."""
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def close(self, timeout_s: float = 10.0) -> int | None:
        """Terminate the process, and kill it after `timeout_s`; returns its exit status."""
        if self._process.poll() is None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGTERM)
            if self.wait(timeout_s) is None:
                self.send_signal(signal.SIGKILL)
                self._process.wait()
        return self._process.returncode

    def _read(self, output: IO[bytes]) -> None:
        for raw in output:
            try:
                line = orjson.loads(raw)
            except ValueError:
                line = {"text": raw.decode(errors="replace").rstrip()}
            if not isinstance(line, dict):
                continue
            self.lines.append(line)
            if "listening" in line:
                self._address = line["listening"]
                self._listening.set()
        self._listening.set()
