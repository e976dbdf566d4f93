"""Notifies the desired owner of a partition's release, so that it claims the partition at once."""

from collections.abc import Callable
from typing import Final

from goldcreststair.components.ledger.codec import decode_head, encode_head
from goldcreststair.components.ledger.const import ROW_PREFIX
from goldcreststair.components.ledger.models import StoredHead
from goldcreststair.components.peers.protocols import PEERS, PeerMessage
from goldcreststair.core import Core
from goldcreststair.store.models import Row
from goldcreststair.wire.generated.ledger.ttypes import Released

NUMBER_RELEASED: Final = 44


class ReleaseNotices:
    """Sends and receives release notices.

    If a notice is lost, the receiver finds the released partition at its next sweep.
    """

    def __init__(self, core: Core, on_released: Callable[[int, StoredHead], None]) -> None:
        """Register the message; without the peers component nothing is sent."""
        self._peers = core.find(PEERS)
        self._on_released = on_released
        if self._peers is not None:
            self._peers.register(NUMBER_RELEASED, Released, self._async_on_released)

    def send(self, session: str, index: int, stored: StoredHead) -> None:
        """Send a session the released head row that its claim has to replace."""
        if self._peers is not None:
            self._peers.post(session, Released(index, stored.version, encode_head(stored.head)))

    async def _async_on_released(self, _sender: str, message: PeerMessage) -> None:
        row = Row(f"{ROW_PREFIX}{message.partition}", message.version, message.head)
        self._on_released(message.partition, decode_head(row))
