"""Renders the burn report as text and as a chart."""

from collections.abc import Sequence
from typing import Any, Final

import pygal

COLUMNS: Final = ("customer", "objective", "target", "budget left", "alarm", "p50/p95/p99 ms")
WINDOW_NAMES: Final = {300: "5m", 3600: "1h", 21600: "6h", 259200: "3d"}


def _make_row(burn: dict[str, Any]) -> list[str]:
    latencies = "/".join(str(burn[name]) for name in ("p50_ms", "p95_ms", "p99_ms"))
    rates = [f"{window['rate']:.2f}x" for window in burn["windows"]]
    return [
        burn["customer"],
        burn["objective"],
        f"{burn['target']:.1%} < {burn['threshold_ms']} ms",
        f"{burn['budget_left']:.1%}",
        burn["alarm"],
        latencies,
        *rates,
    ]


def render_text(report: dict[str, Any]) -> str:
    """Return the report as an aligned table, smallest remaining budget first.

    >>> print(render_text({"burns": [], "missing": ["acme"]}))
    no objectives with known burn
    no response from the owners of: acme
    """
    burns = sorted(report["burns"], key=lambda burn: burn["budget_left"])
    lines = []
    if burns:
        windows = [WINDOW_NAMES.get(w["window_s"], str(w["window_s"])) for w in burns[0]["windows"]]
        lines = _align([[*COLUMNS, *windows], *(_make_row(burn) for burn in burns)])
    else:
        lines = ["no objectives with known burn"]
    if report["missing"]:
        lines.append("no response from the owners of: " + ", ".join(report["missing"]))
    return "\n".join(lines)


def _align(rows: Sequence[Sequence[str]]) -> list[str]:
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    return ["  ".join(f"{c:<{w}}" for c, w in zip(r, widths, strict=True)).rstrip() for r in rows]


def render_svg(report: dict[str, Any]) -> bytes:
    """Return an SVG bar chart of burn rates: a bar a window, grouped by customer and objective."""
    burns = sorted(report["burns"], key=lambda burn: burn["budget_left"])
    chart = pygal.Bar(
        title="Service-level burn (1 = budget lasts its whole window)",
        x_title="customer / objective (budget left)",
        y_title="times the allowed rate",
        legend_at_bottom=True,
        disable_xml_declaration=True,
        no_data_text="no objectives with known burn",
        js=[],
    )
    chart.x_labels = [
        f"{burn['customer']} / {burn['objective']} ({burn['budget_left']:.0%})" for burn in burns
    ]
    for position, name in enumerate(WINDOW_NAMES.values()):
        rates = [round(burn["windows"][position]["rate"], 3) for burn in burns]
        chart.add(name, rates)
    rendered: str = chart.render(is_unicode=True)
    return rendered.encode()
