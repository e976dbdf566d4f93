"""Command line of the daemon `goldcreststaird`."""

import asyncio
import sys

from cyclopts import App
from cyclopts.config import Env
from result import Err

from goldcreststair.bootstrap import async_run
from goldcreststair.const import ENV_PREFIX, VERSION
from goldcreststair.log import configure_logging
from goldcreststair.settings import Settings, check_settings

EXIT_USAGE = 2

app = App(
    name="goldcreststaird",
    help="Serve online and batch inference.",
    version=VERSION,
    config=Env(ENV_PREFIX, command=False),
)


@app.default
def run(settings: Settings) -> None:
    """Serve until SIGTERM; each flag may be given as an environment variable."""
    checked = check_settings(settings)
    if isinstance(checked, Err):
        error = checked.err_value
        print(f"goldcreststaird: setting {error.setting}: {error.message}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    writer = configure_logging(settings.log_level)
    try:
        asyncio.run(async_run(settings))
    finally:
        writer.close()


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
