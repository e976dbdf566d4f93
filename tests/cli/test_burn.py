"""Tests of the rendered burn report."""

from typing import Any
from xml.etree import ElementTree

from goldcreststair.cli.burn import render_svg, render_text

WINDOWS = [{"window_s": w, "rate": r, "total": 10} for w, r in ((300, 20.0), (3600, 16.0))]
WINDOWS += [{"window_s": w, "rate": 0.5, "total": 10} for w in (21600, 259200)]


def make_report() -> dict[str, Any]:
    burn = {
        "objective": "fast",
        "threshold_ms": 1700,
        "target": 0.95,
        "windows": WINDOWS,
        "p50_ms": 90,
        "p95_ms": 400,
        "p99_ms": 900,
    }
    return {
        "burns": [
            {**burn, "customer": "designers", "budget_left": 0.9, "alarm": "none"},
            {**burn, "customer": "fixtures", "budget_left": -0.2, "alarm": "page"},
        ],
        "missing": [],
    }


def test_text_lists_the_smallest_budget_first() -> None:
    lines = render_text(make_report()).splitlines()
    assert lines[0].split()[:2] == ["customer", "objective"]
    assert lines[1].startswith("fixtures")
    assert "-20.0%" in lines[1]
    assert "page" in lines[1]
    assert "16.00x" in lines[1]


def test_chart_is_svg_and_names_each_customer() -> None:
    chart = render_svg(make_report())
    assert ElementTree.fromstring(chart).tag.endswith("svg")
    assert b"fixtures / fast (-20%)" in chart
