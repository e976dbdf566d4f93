"""Keys and encodings of the stored records of jobs."""

from collections.abc import Iterable
from dataclasses import replace

import orjson

from goldcreststair.components.batch.models import (
    ChunkRecord,
    IndexEntry,
    Item,
    ItemTries,
    Manifest,
    ResultLine,
)

PREFIX_JOB = "job/"
PREFIX_CHUNK = "chunk/"
PREFIX_INDEX = "batch-index/"


def make_job_key(job: str) -> str:
    """Return the key of a manifest, which also names its partition."""
    return f"{PREFIX_JOB}{job}"


def make_chunk_key(job: str, fingerprint: str, number: int) -> str:
    """Return the key of a chunk, which also names its partition.

    With the fingerprint a resend with other content cannot overwrite the accepted job's chunks.

    >>> make_chunk_key("j", "0123456789abcdef", 7)
    'chunk/j/0123456789ab/00007'
    """
    return f"{PREFIX_CHUNK}{job}/{fingerprint[:12]}/{number:05d}"


def make_index_key(customer: str) -> str:
    """Return the key whose partition lists a customer's jobs."""
    return f"{PREFIX_INDEX}{customer}/"


def list_chunk_keys(manifest: Manifest) -> list[str]:
    """Return the keys of all chunks of a job."""
    return [
        make_chunk_key(manifest.job, manifest.fingerprint, number)
        for number in range(manifest.chunks)
    ]


def encode_record(record: Manifest | ChunkRecord | IndexEntry) -> bytes:
    """Return a record as JSON."""
    return orjson.dumps(record)


def decode_manifest(value: bytes) -> Manifest:
    """Return a manifest from JSON."""
    return Manifest(**orjson.loads(value))


def decode_index(value: bytes) -> IndexEntry:
    """Return an entry of a customer's list from JSON."""
    return IndexEntry(**orjson.loads(value))


def decode_chunk(value: bytes) -> ChunkRecord:
    """Return a chunk record from JSON."""
    fields = orjson.loads(value)
    tries = tuple(ItemTries(**tries) for tries in fields.pop("tries", ()))
    record = ChunkRecord(**fields, tries=tries)
    return replace(record, models=tuple(record.models), results=tuple(record.results))


def encode_lines(lines: Iterable[Item | ResultLine]) -> bytes:
    """Return items or results as JSON lines."""
    return b"\n".join(orjson.dumps(line) for line in lines)


def decode_items(content: bytes) -> list[Item]:
    """Return a chunk's items."""
    return [Item(**orjson.loads(line)) for line in content.split(b"\n")]


def decode_results(content: bytes) -> list[ResultLine]:
    """Return the results of one result object."""
    return [ResultLine(**orjson.loads(line)) for line in content.split(b"\n")]
