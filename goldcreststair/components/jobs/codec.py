"""Encodes and decodes the store's rows and objects of jobs."""

import logging
from collections.abc import Callable, Iterable, Sequence
from typing import TypeVar

from goldcreststair.components.jobs.const import TEXT_PART_BYTES
from goldcreststair.components.jobs.models import (
    ItemResult,
    JobItem,
    JobKey,
    JobRecord,
    OpenJob,
    SavedProgress,
    make_progress_key,
    make_result_key,
)
from goldcreststair.components.stream_origins.models import StreamOrigin
from goldcreststair.store.rows import RowKey, StoredRow
from goldcreststair.wire.codec import encode_struct, read_struct
from goldcreststair.wire.generated.gateway.ttypes import (
    ItemBody,
    JobBodies,
    JobRow,
    OpenRow,
    ProgressRow,
    ResultRow,
)

_LOGGER = logging.getLogger(__name__)

T = TypeVar("T")


def decode_readable(rows: Iterable[StoredRow], decode: Callable[[StoredRow], T]) -> list[T]:
    """Decode rows of many jobs; an unreadable one is logged and left out, as it must not hide the others."""
    decoded = []
    for row in rows:
        try:
            decoded.append(decode(row))
        # Bytes of another writer make the decoder raise errors of many kinds.
        except Exception as error:
            extra = {"table": row.key.table, "customer": row.key.part, "job": row.key.key}
            _LOGGER.error("Row of a job unreadable: %r", error, extra=extra)
    return decoded


def encode_items(items: Iterable[JobItem]) -> bytes:
    """Encode the items of a job as an object."""
    bodies = [ItemBody(i.item_id, i.path, dict(i.headers), i.body, i.tokens) for i in items]
    return encode_struct(JobBodies(bodies))


def decode_items(encoded: bytes) -> tuple[JobItem, ...]:
    """Decode the items of a job."""
    bodies = read_struct(JobBodies, encoded).items
    return tuple(
        JobItem(b.item, b.path, tuple(b.headers.items()), b.body, b.tokens) for b in bodies
    )


def encode_record(record: JobRecord) -> bytes:
    """Encode a job as it was accepted."""
    return encode_struct(
        JobRow(
            record.key.job,
            record.route_host,
            record.route_prefix,
            record.items,
            record.submitted_at,
            record.body_object,
            record.ended,
            record.max_wait_ms,
        )
    )


def decode_record(row: StoredRow) -> JobRecord:
    """Decode a job as it was accepted."""
    read = read_struct(JobRow, row.value)
    read.validate()
    return JobRecord(
        JobKey(row.key.part, read.job),
        read.route_host,
        read.route_prefix,
        read.items,
        read.submitted_at,
        read.body_object,
        read.ended,
        read.waiting_ms,
    )


def encode_open(job: OpenJob) -> bytes:
    """Encode an open job."""
    return encode_struct(
        OpenRow(
            job.key.job,
            job.owner,
            job.commit,
            job.committed,
            job.waiting_tokens,
            job.route,
            list(job.failures),
            sorted(job.customer_regions) or None,
        )
    )


def decode_open(row: StoredRow) -> OpenJob:
    """Decode an open job."""
    read = read_struct(OpenRow, row.value)
    read.validate()
    return OpenJob(
        JobKey(row.key.part, read.job),
        read.owner,
        read.commit,
        read.listed,
        read.waiting_tokens,
        read.route,
        tuple(read.failures),
        frozenset(read.customer_regions or ()),
        row.version,
    )


def encode_result(key: JobKey, position: int, result: ItemResult) -> list[tuple[RowKey, bytes]]:
    """Encode one result as one or more rows; the text is split to fit the size limit of a row."""
    text = result.text
    parts = [text[at : at + TEXT_PART_BYTES] for at in range(0, len(text), TEXT_PART_BYTES)]
    parts = parts or [b""]
    first = ResultRow(result.item_id, result.done, parts[0], len(parts))
    rows = [(make_result_key(key, position), encode_struct(first))]
    for number, part in enumerate(parts[1:], 1):
        rows.append((make_result_key(key, position, number), part))
    return rows


def decode_results(rows: Sequence[StoredRow]) -> list[ItemResult]:
    """Decode complete results; a last one whose rows are not all present is left out."""
    results: list[ItemResult] = []
    at = 0
    while at < len(rows):
        first = read_struct(ResultRow, rows[at].value)
        end = at + first.parts
        if end > len(rows):
            break
        text = first.text + b"".join(row.value for row in rows[at + 1 : end])
        results.append(ItemResult(first.item, first.done, text))
        at = end
    return results


def encode_progress(key: JobKey, progress: SavedProgress) -> tuple[RowKey, bytes]:
    """Encode the saved progress of an item."""
    row = ProgressRow(progress.last_event, progress.text)
    if progress.origin is not None:
        row.upstream_service = progress.origin.service
        row.software_version = progress.origin.software_version
    return make_progress_key(key, progress.number), encode_struct(row)


def decode_progress(rows: Iterable[StoredRow]) -> list[SavedProgress]:
    """Decode the saved progress of items; each row's key carries the item's number."""
    found = []
    for row in rows:
        read = read_struct(ProgressRow, row.value)
        number = int(row.key.key.rpartition("/")[2])
        found.append(SavedProgress(number, read.last_event, read.text, _decode_origin(read)))
    return found


def _decode_origin(row: ProgressRow) -> StreamOrigin | None:
    if row.upstream_service is None or row.software_version is None:
        return None
    return StreamOrigin(row.upstream_service, row.software_version)
