"""Which daemon the command line talks to, and as whom."""

import json
import os
import sys
from dataclasses import dataclass
from typing import Annotated, Any, Final, NoReturn

from cyclopts import Parameter
from result import Err, Result

from goldcreststair.cli.client import Client, ClientError
from goldcreststair.const import ENV_PREFIX

EXIT_FAILED: Final = 1
ENV_OPERATOR_TOKEN: Final = f"{ENV_PREFIX}OPERATOR_TOKEN"


@Parameter(name="*")
@dataclass(frozen=True)
class Target:
    """Any daemon, as a customer."""

    url: Annotated[str, Parameter(help="Base URL; else GOLDCRESTSTAIR_URL.")] = ""
    key: Annotated[str, Parameter(help="Customer's key; else GOLDCRESTSTAIR_KEY.")] = ""

    def create_client(self) -> Client:
        """Return a client that shows the customer's key."""
        return Client(self.url, self.key)


@Parameter(name="*")
@dataclass(frozen=True)
class OperatorTarget:
    """Any daemon, as an operator."""

    url: Annotated[str, Parameter(help="Base URL; else GOLDCRESTSTAIR_URL.")] = ""
    token: Annotated[str, Parameter(help="Token; else GOLDCRESTSTAIR_OPERATOR_TOKEN.")] = ""

    def create_client(self) -> Client:
        """Return a client that shows the operators' token."""
        return Client(self.url, self.token or os.environ.get(ENV_OPERATOR_TOKEN, ""))


NO_TARGET: Final = Target()
NO_OPERATOR_TARGET: Final = OperatorTarget()


def print_answer(outcome: Result[Any, ClientError]) -> None:
    """Print a JSON answer, or end the program with the error."""
    print(json.dumps(unwrap_answer(outcome)))


def unwrap_answer(outcome: Result[Any, ClientError]) -> Any:
    """Return the answer, or end the program with the error."""
    if isinstance(outcome, Err):
        fail(outcome.err_value)
    return outcome.ok_value


def fail(error: ClientError) -> NoReturn:
    """Print what went wrong and when to come back, and end the program."""
    message = f"goldcreststair: {error.message}"
    if error.not_run:
        message += " (not run)"
    if error.retry_after_s:
        message += f"; try again in {error.retry_after_s} s"
    print(message, file=sys.stderr)
    sys.exit(EXIT_FAILED)
