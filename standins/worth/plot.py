"""Draws the use of the slots per second."""

from collections.abc import Sequence
from pathlib import Path

import pygal

from standins.worth.runs import SlotUse
from standins.worth.slots import SlotSecond


def draw_slots(seconds: Sequence[SlotSecond], path: Path) -> None:
    """Write an SVG chart that stacks the slots of each use and the idle ones."""
    chart = pygal.StackedLine(fill=True, show_dots=False, x_title="second", y_title="slots")
    chart.title = "What held the upstreams' slots"
    chart.x_labels = [str(second.at_s) for second in seconds]
    chart.x_labels_major_every = 5
    chart.show_minor_x_labels = False
    for use in SlotUse:
        chart.add(use.value, [second.mean_slots(use) for second in seconds])
    idle = [max(0.0, second.slots - second.mean_slots(*SlotUse)) for second in seconds]
    chart.add("idle", idle)
    path.write_bytes(chart.render())
