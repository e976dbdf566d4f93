"""Session rows to bytes and back."""

import logging

from result import Err

from goldcreststair.components.fleet.models import FleetVm
from goldcreststair.wire.codec import decode_struct, encode_struct
from goldcreststair.wire.generated.gateway.ttypes import SessionRow

_LOGGER = logging.getLogger(__name__)


def encode_session(vm: FleetVm) -> bytes:
    """Return the row of a session."""
    return encode_struct(
        SessionRow(
            vm.session, vm.address, vm.peer_port, vm.front_address, vm.data_centre, vm.region
        )
    )


def decode_session(encoded: bytes) -> FleetVm | None:
    """Return a session, or None for a row that holds none."""
    decoded = decode_struct(SessionRow, encoded)
    if isinstance(decoded, Err):
        _LOGGER.warning("Session row unreadable: %s", decoded.err_value.message)
        return None
    row = decoded.ok_value
    return FleetVm(
        row.session,
        row.address,
        row.peer_port,
        row.front_address,
        row.data_centre,
        row.region,
    )
