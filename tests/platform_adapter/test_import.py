"""The folder `platform/` beside the standard module of that name."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


def test_the_standard_module_is_not_shadowed() -> None:
    assert not (ROOT / "platform" / "__init__.py").exists()
    command = [sys.executable, "-c", "import platform; print(platform.python_version())"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.startswith("3.")


WORDS = (
    "rows-tx",
    "rows-get",
    "blob-put",
    '"Not-Run',
    "Server-Load",
    "Response-Stamp",
    "Target-Instance",
    "Prompt-Prefix",
    "Poll-Wait-Ms",
    "/-/",
    "X-Api-Key",
    "cold_left_ms",
)


def test_nothing_outside_the_adapter_names_the_platforms_wire() -> None:
    for folder in ("goldcreststair", "standins"):
        for source in (ROOT / folder).rglob("*.py"):
            text = source.read_text()
            assert not [word for word in WORDS if word in text], source
