"""`python -m tests.components.stream_origins.measure_out_of_step`: what becomes of streams, by kind of trouble."""

import logging
import random
from collections import Counter

from cyclopts import App

from tests.components.stream_origins.test_out_of_step import Play, Trouble, play_out

app = App(help="Count streams that are taken up at a VM that is out of step, on virtual time.")


def draw_play(chooser: random.Random, trouble: Trouble, software: str) -> Play:
    """Return a play of one kind of trouble."""
    return Play(
        trouble,
        joins_ms=chooser.randint(0, 6_000),
        begins_ms=chooser.randint(10, 1_500),
        breaks_ms=chooser.randint(20, 300),
        returns_ms=chooser.randint(1, 500),
        kills=chooser.random() < 0.5,
        software=software,
    )


@app.default
def main(plays: int = 100, vms: int = 3, seed: int = 1, software: str = "v2") -> None:
    """Print for each kind of trouble how many streams went on, were refused and were joined."""
    logging.disable(logging.CRITICAL)
    for trouble in Trouble:
        chooser = random.Random(f"{seed} {trouble}")
        found: Counter[str] = Counter()
        for _ in range(plays):
            found += play_out(draw_play(chooser, trouble, software), vms)
        print(f"{trouble}: {dict(sorted(found.items()))}", flush=True)


if __name__ == "__main__":
    app()
