"""Entry point of the command line `goldcreststair`."""

from cyclopts import App

from goldcreststair.cli import batch, operator
from goldcreststair.const import VERSION

app = App(name="goldcreststair", help="Work with a goldcreststair fleet.", version=VERSION)
app.command(batch.app)
app.command(operator.config)
app.command(operator.key)
app.command(operator.leave)
app.command(operator.report)
app.command(operator.status)
app.command(operator.explain)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
