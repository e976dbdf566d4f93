"""Measures what logs cost a daemon: lines a second, processor time, and the longest pause of its loop.

A daemon that serves 40 requests a second writes three lines for each; so it does at five times that rate,
with a reader and with none.
"""

import asyncio
import logging
import os
import time
from dataclasses import dataclass
from typing import Final

from cyclopts import App

from goldcreststair.const import MS_PER_SECOND
from goldcreststair.line_writer import LineWriter
from goldcreststair.log import JsonLineFormatter, LineHandler, SampleFilter

app = App(help=__doc__)

REQUESTS_PER_S: Final = 40
EVENTS: Final = ("Request placed", "Request runs elsewhere", "Request answered")
TICK_MS: Final = 5
READ_BYTES: Final = 65_536


@dataclass(frozen=True, slots=True)
class LogFigures:
    """What one run came to."""

    asked: int
    """Lines that the code wrote."""
    written: int
    """Lines that a reader got; what nobody reads is counted as it stands in the pipe."""
    processor_ms: float
    longest_pause_ms: float


def make_logger(descriptor: int) -> tuple[logging.Logger, LineWriter]:
    """Return a logger set up as the daemon's is."""
    writer = LineWriter(descriptor)
    handler = LineHandler(writer)
    handler.setFormatter(JsonLineFormatter({"vm": "10.0.0.1"}))
    handler.addFilter(SampleFilter())
    logger = logging.Logger("goldcreststair.components.forwarding.request", logging.INFO)
    logger.addHandler(handler)
    return logger, writer


async def async_measure(seconds: float, requests_per_s: int, *, reader: bool) -> LogFigures:
    """Write the lines of so many requests a second."""
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    logger, writer = make_logger(writing)
    loop = asyncio.get_running_loop()
    read = bytearray()
    if reader:
        loop.add_reader(reading, lambda: read.extend(os.read(reading, READ_BYTES)))
    processor = time.process_time()
    asked, longest_ms, began = 0, 0.0, loop.time()
    while loop.time() - began < seconds:
        due = int((loop.time() - began) * requests_per_s) * len(EVENTS)
        for number in range(asked, due):
            extra = {"request": f"{number:016x}", "upstream": "e1", "reason": "a slot is free"}
            logger.info(EVENTS[number % len(EVENTS)], extra=extra | {"age_ms": 3, "left_ms": 4_900})
        asked = due
        slept_at = loop.time()
        await asyncio.sleep(TICK_MS / MS_PER_SECOND)
        longest_ms = max(longest_ms, (loop.time() - slept_at) * MS_PER_SECOND - TICK_MS)
    processor_ms = (time.process_time() - processor) * MS_PER_SECOND
    if reader:
        await asyncio.sleep(TICK_MS / MS_PER_SECOND)
        loop.remove_reader(reading)
    else:
        read.extend(os.read(reading, 1 << 20))
    writer.close()
    os.close(reading)
    os.close(writing)
    return LogFigures(asked, read.count(b"\n"), processor_ms, longest_ms)


@app.default
def main(seconds: float = 10) -> None:
    """Print a row for each rate, and one for a reader that has stopped."""
    print("requests/s reader  lines asked/s written/s  processor  longest pause ms")
    for rate, reader in (
        (0, True),
        (REQUESTS_PER_S, True),
        (5 * REQUESTS_PER_S, True),
        (200, False),
    ):
        found = asyncio.run(async_measure(seconds, rate, reader=reader))
        print(
            f"{rate:10d} {'yes' if reader else 'none':6s} {found.asked / seconds:14.0f} "
            f"{found.written / seconds:9.0f} {found.processor_ms / seconds / 10:9.2f}% "
            f"{found.longest_pause_ms:17.1f}"
        )


if __name__ == "__main__":
    app()
