"""Keeps the version of the catalogue in force; no I/O."""

import logging

from result import Err

from goldcreststair.blackboard import SectionWriter
from goldcreststair.components.catalogue.models import Catalogue
from goldcreststair.components.catalogue.protocols import CatalogueReader

_LOGGER = logging.getLogger(__name__)


class CatalogueController:
    """Applies newer versions of the catalogue, whatever their source."""

    def __init__(self, reader: CatalogueReader, section: SectionWriter[Catalogue]) -> None:
        """Create a controller without a version."""
        self._reader = reader
        self._section = section
        self._version = 0
        self._document = b""

    def read_document(self) -> tuple[int, bytes]:
        """Return the version in force and its document."""
        return self._version, self._document

    def apply_document(self, document: bytes, source: str) -> bool:
        """Apply a document if it is newer; returns whether it was applied."""
        if document == self._document:
            # Each full read of the table returns it again, and decoding 1,400 routes takes about 20
            # ms.
            return False
        decoded = self._reader.decode(document)
        if isinstance(decoded, Err):
            error = decoded.err_value
            extra = {"source": source, "field": error.field, "in_force": self._version}
            _LOGGER.error("Catalogue unreadable: %s", error.message, extra=extra)
            return False
        catalogue = decoded.ok_value
        # Feeds, full reads and peers deliver versions in any order. Applying an older version would
        # accept a withdrawn key again and send requests to services that a route no longer uses.
        if catalogue.version <= self._version:
            return False
        _LOGGER.info(
            "Catalogue in force",
            extra={"version": catalogue.version, "before": self._version, "source": source},
        )
        self._version, self._document = catalogue.version, document
        self._section.write(catalogue)
        return True
