"""Interfaces of the adapter that decodes the catalogue, and of the catalogue component."""

from dataclasses import dataclass
from typing import Final, Protocol

from result import Result

from goldcreststair.components.catalogue.models import Catalogue
from goldcreststair.core import ComponentKey
from goldcreststair.errors import GoldcreststairError
from goldcreststair.store.rows import RowKey


@dataclass(frozen=True, slots=True)
class CatalogueUnreadable(GoldcreststairError):
    """A document is not a valid catalogue; `field` is the invalid field."""

    field: str = ""


class CatalogueReader(Protocol):
    """Decodes the catalogue that operators write."""

    row: RowKey
    """The row that holds the newest version."""

    def decode(self, document: bytes) -> Result[Catalogue, CatalogueUnreadable]:
        """Return the complete version in a document."""


class CatalogueFollower(Protocol):
    """Provides the document in force, so that it can be passed to other daemons."""

    def read_document(self) -> tuple[int, bytes]:
        """Return the version in force and its document."""

    def apply_document(self, document: bytes, source: str) -> bool:
        """Apply a document if it is newer; returns whether it was applied."""


CATALOGUE_FOLLOWER: Final = ComponentKey[CatalogueFollower]("catalogue")
