"""Selects the upstreams that one VM uses."""

from collections.abc import Iterable

from goldcreststair.helpers.rendezvous import score
from goldcreststair.upstreams.models import Upstream


def select_subset(
    upstreams: Iterable[Upstream], session_id: str, data_centre: str, size: int
) -> list[Upstream]:
    """Return `size` upstreams at most: those of the data centre first, then by rendezvous rank."""

    def rank(upstream: Upstream) -> tuple[bool, int]:
        return upstream.data_centre == data_centre, score(session_id, data_centre, upstream.name)

    return sorted(upstreams, key=rank, reverse=True)[:size]
