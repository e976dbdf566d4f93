"""Encodes and decodes session rows, and reads them from the store."""

import logging
from collections.abc import Iterable
from typing import Final

from result import Err, Result

from goldcreststair.components.fleet.const import SESSION_PARTS
from goldcreststair.components.fleet.models import FleetVm
from goldcreststair.components.fleet.protocols import hash_name
from goldcreststair.helpers.addresses import is_ip_address, is_port
from goldcreststair.store.errors import PlatformError
from goldcreststair.store.reading import async_read_ranges
from goldcreststair.store.rows import RowPage, RowRange, RowStore
from goldcreststair.wire.codec import decode_struct, encode_struct, split_struct
from goldcreststair.wire.generated.gateway.ttypes import SessionRow

_LOGGER = logging.getLogger(__name__)


PARTS: Final = tuple(f"vm{number}" for number in range(SESSION_PARTS))
"""Store parts that hold the rows of sessions and heartbeats."""
SEPARATOR: Final = "\n"
"""Between the names of services on shared machines."""


def choose_part(vm: FleetVm) -> str:
    """Return the part that holds a daemon's rows; it is the same after its process restarts.

    >>> one = FleetVm("s1", "10.0.0.1", 1, "", "", "")
    >>> choose_part(one) == choose_part(FleetVm("s2", "10.0.0.1", 1, "", "", "")), choose_part(one) in PARTS
    (True, True)
    """
    return PARTS[hash_name(f"{vm.address} {vm.peer_port}") % SESSION_PARTS]


async def async_read_parts(
    store: RowStore, table: str, parts: Iterable[str] = PARTS
) -> Result[RowPage, PlatformError]:
    """Return the session or heartbeat rows of some parts, as of the oldest version among them."""
    return await async_read_ranges(store, [RowRange(table, part) for part in parts])


def encode_session(vm: FleetVm, shared_services: Iterable[str] = ()) -> bytes:
    """Return the encoded row of a session.

    `shared_services` are the services on shared machines. They follow the struct, so that a row
    without them is the same as before, and earlier versions can read a row that has them.
    """
    return _encode_vm(vm) + SEPARATOR.join(shared_services).encode()


def decode_shared_services(encoded: bytes) -> list[str]:
    """Return the services on shared machines that a session row names."""
    split = split_struct(SessionRow, encoded)
    names = b"" if isinstance(split, Err) else split.ok_value[1]
    return [name for name in names.decode(errors="replace").split(SEPARATOR) if name]


def _encode_vm(vm: FleetVm) -> bytes:
    return encode_struct(
        SessionRow(
            vm.session, vm.address, vm.peer_port, vm.front_address, vm.data_centre, vm.region
        )
    )


def decode_session(encoded: bytes) -> FleetVm | None:
    """Return the session of a row, or None if the row cannot be decoded."""
    decoded = decode_struct(SessionRow, encoded)
    if isinstance(decoded, Err):
        _LOGGER.warning("Session row unreadable: %s", decoded.err_value.message)
        return None
    row = decoded.ok_value
    if not is_ip_address(row.address) or not is_port(row.peer_port):
        _LOGGER.warning("Session row has no address: %.80r, %s", row.address, row.peer_port)
        return None
    return FleetVm(
        row.session,
        row.address,
        row.peer_port,
        row.front_address,
        row.data_centre,
        row.region,
    )
