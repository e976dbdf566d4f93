"""Divides the initial tokens of each customer among the daemons of a returning fleet; no I/O.

Designed for the return of all VMs after a loss during a burst: the callers of every customer arrive
at random daemons within moments, before the daemons have heard of each other. An even split gives
each daemon less than one token, so that all would wait. Whole tokens go to the daemons that rank
first for the customer. The ranking depends only on the addresses in the store's sessions, which are
the same before and after the loss, so that daemons agree on it without a message.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from goldcreststair.helpers.rendezvous import score

START_LEVEL: Final = 20.0
"""Initial tokens per customer when the whole fleet has just started, over all VMs together. The
usage before the start is not known, but nothing was admitted while the fleet was down, and callers
that waited for it return at once."""


def count_return_tokens(daemons: int, burst: float) -> int:
    """Return the whole tokens of a customer that all daemons may admit before they hear each other.

    One for each daemon and at least the burst, but never more than the customer's limit allows in
    addition to what it sent before the loss.

    >>> count_return_tokens(8, 4), count_return_tokens(8, 12), count_return_tokens(89, 12)
    (8, 12, 20)
    """
    return int(min(START_LEVEL, max(daemons, burst)))


@dataclass(slots=True)
class ReturnShare:
    """This daemon's share of the initial tokens, by the daemons whose sessions the store holds."""

    own: str
    """This daemon's address, as the sessions give it."""
    addresses: frozenset[str]
    """Addresses of all daemons in the sessions, this one included."""
    _ranks: dict[str, int] = field(default_factory=dict)

    @property
    def daemons(self) -> int:
        """Return the number of daemons that share the tokens."""
        return len(self.addresses)

    def count_own(self, customer: str, total: int) -> int:
        """Return how many of a customer's `total` tokens are this daemon's."""
        whole, rest = divmod(total, self.daemons)
        return whole + (self._find_rank(customer) < rest)

    def _find_rank(self, customer: str) -> int:
        """Return how many daemons rank before this one for a customer."""
        rank = self._ranks.get(customer)
        if rank is None:
            rank = self._ranks[customer] = _count_before(self.own, self.addresses, customer)
        return rank


def _count_before(own: str, addresses: Iterable[str], customer: str) -> int:
    mine = (score(customer, own), own)
    return sum((score(customer, address), address) > mine for address in addresses)
