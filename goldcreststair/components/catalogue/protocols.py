"""What the catalogue asks of an adapter, and offers to others."""

from dataclasses import dataclass
from typing import Final, Protocol

from result import Result

from goldcreststair.components.catalogue.models import Catalogue
from goldcreststair.core import ComponentKey
from goldcreststair.errors import GoldcreststairError
from goldcreststair.store.rows import RowKey


@dataclass(frozen=True, slots=True)
class CatalogueUnreadable(GoldcreststairError):
    """A document that is no catalogue; names the field."""

    field: str = ""


class CatalogueReader(Protocol):
    """Knows where operators write the catalogue and how."""

    row: RowKey
    """The row that holds the newest version."""

    def decode(self, document: bytes) -> Result[Catalogue, CatalogueUnreadable]:
        """Return a version, complete."""


class CatalogueFollower(Protocol):
    """Holds the document in force, so that other daemons can be given it."""

    def read_document(self) -> tuple[int, bytes]:
        """Return the version in force and its document."""

    def apply_document(self, document: bytes, source: str) -> bool:
        """Put a document in force if it is newer; returns whether it was."""


CATALOGUE_FOLLOWER: Final = ComponentKey[CatalogueFollower]("catalogue")
