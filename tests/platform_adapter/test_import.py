"""The folder `platform/` does not shadow the standard module, and alone contains the platform's wire names."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


def test_the_standard_module_is_not_shadowed() -> None:
    assert not (ROOT / "platform" / "__init__.py").exists()
    command = [sys.executable, "-c", "import platform; print(platform.python_version())"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.startswith("3.")


WIRE_NAMES = (
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


def test_wire_names_of_the_platform_appear_only_in_the_adapter() -> None:
    for folder in ("goldcreststair", "standins"):
        for source in (ROOT / folder).rglob("*.py"):
            text = source.read_text()
            assert not [name for name in WIRE_NAMES if name in text], source
