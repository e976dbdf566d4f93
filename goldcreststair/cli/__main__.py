"""The command line: `goldcreststair`."""

from cyclopts import App

from goldcreststair.cli import batch
from goldcreststair.const import VERSION

app = App(name="goldcreststair", help="Work with a goldcreststair fleet.", version=VERSION)
app.command(batch.app)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
