"""Selects the daemon and the credentials that the command line uses."""

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
    """Any daemon, with a customer's key."""

    url: Annotated[str, Parameter(help="Base URL; else GOLDCRESTSTAIR_URL.")] = ""
    key: Annotated[str, Parameter(help="Customer's key; else GOLDCRESTSTAIR_KEY.")] = ""

    def create_client(self) -> Client:
        """Return a client that sends the customer's key."""
        return Client(self.url, self.key)


@Parameter(name="*")
@dataclass(frozen=True)
class OperatorTarget:
    """Any daemon, with the operator token."""

    url: Annotated[str, Parameter(help="Base URL; else GOLDCRESTSTAIR_URL.")] = ""
    token: Annotated[str, Parameter(help="Token; else GOLDCRESTSTAIR_OPERATOR_TOKEN.")] = ""

    def create_client(self) -> Client:
        """Return a client that sends the operator token."""
        return Client(self.url, self.token or os.environ.get(ENV_OPERATOR_TOKEN, ""))


NO_TARGET: Final = Target()
NO_OPERATOR_TARGET: Final = OperatorTarget()


def print_response(outcome: Result[Any, ClientError]) -> None:
    """Print a JSON response, or exit with the error."""
    print(json.dumps(unwrap_response(outcome)))


def unwrap_response(outcome: Result[Any, ClientError]) -> Any:
    """Return the response, or exit with the error."""
    if isinstance(outcome, Err):
        fail(outcome.err_value)
    return outcome.ok_value


def fail(error: ClientError) -> NoReturn:
    """Print the error and when to retry, and exit with `EXIT_FAILED`."""
    message = f"goldcreststair: {error.message}"
    if error.not_run:
        message += " (not run)"
    if error.retry_after_s:
        message += f"; try again in {error.retry_after_s} s"
    print(message, file=sys.stderr)
    sys.exit(EXIT_FAILED)
