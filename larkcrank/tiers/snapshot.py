"""Saves a tier's instance records to a file, and reads them when the tier starts.

The file is one line of JSON with the format and a checksum of the rest, followed by msgpack. The records
carry their owners' versions, so a record from the file, however old, never outranks one that is received
later. Until the tier has received current records, it serves those of the file only to receivers that have no
list yet.
"""

import zlib
from collections.abc import Callable
from pathlib import Path

import msgspec

from larkcrank.fleet.snapshot import write as write_file
from larkcrank.tiers.state import InstanceRecord, InstanceTable, Version

FORMAT = "larkcrank-tier"
FORMAT_VERSION = 1
MAX_FILE_BYTES = 16 << 20
MAX_CLOCK_BACKSTEP_MS = 60_000.0  # a file from the future is accepted if the clock was set back by no more


class SnapshotError(Exception):
    """The file cannot be used. `why` is a short code for logs; the message has the details."""

    def __init__(self, why: str, message: str) -> None:
        super().__init__(message)
        self.why = why


class _Head(msgspec.Struct, forbid_unknown_fields=True):
    """The first line of the file."""

    format: str
    version: int
    length: int  # bytes of the body
    crc32: int  # of the body


class _StoredRecord(msgspec.Struct, array_like=True):
    """An `InstanceRecord` without its sequence numbers and the tombstone's time."""

    instance_id: str
    service: str
    owner: str
    version: tuple[int, int]
    gone: bool
    body: bytes
    source: str


class _Body(msgspec.Struct):
    """The rest of the file."""

    tier: str
    saved_at_ms: float
    known: dict[str, tuple[int, int]]  # known versions by owner
    lines: list[_StoredRecord]


class Snapshot(msgspec.Struct):
    """What a tier loads from the file when it starts."""

    lines: list[InstanceRecord]
    known: dict[str, Version]  # known versions by owner
    age_ms: float


def encode(table: InstanceTable, now_ms: float) -> bytes:
    """The content of the file, for a save at `now_ms` of the system clock."""
    records = [
        _StoredRecord(
            record.instance_id,
            record.service,
            record.owner,
            record.version,
            record.gone,
            record.body,
            record.source,
        )
        for record in table.records()
    ]
    body = msgspec.msgpack.encode(_Body(table.name, now_ms, table.known_versions_of(), records))
    return msgspec.json.encode(_Head(FORMAT, FORMAT_VERSION, len(body), zlib.crc32(body))) + b"\n" + body


def decode(data: bytes, tier: str, now_ms: float, max_age_ms: float) -> Snapshot:
    """Decode the content of a file that `tier` saved at most `max_age_ms` ago. Raises SnapshotError."""
    first_line, newline, body = data.partition(b"\n")
    try:
        head = msgspec.json.decode(first_line, type=_Head)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SnapshotError("torn" if not newline else "foreign", str(error)) from None
    if head.format != FORMAT:
        raise SnapshotError("foreign", f"unknown format {head.format!r}")
    if head.version != FORMAT_VERSION:
        raise SnapshotError("version", f"format version is {head.version}, not {FORMAT_VERSION}")
    if len(body) != head.length or zlib.crc32(body) != head.crc32:
        raise SnapshotError("torn", f"{len(body)} bytes of {head.length}, or the checksum does not match")
    try:
        stored = msgspec.msgpack.decode(body, type=_Body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SnapshotError("foreign", str(error)) from None
    if stored.tier != tier:
        raise SnapshotError("other", f"saved by another tier, {stored.tier!r}")
    age_ms = now_ms - stored.saved_at_ms
    if age_ms < -MAX_CLOCK_BACKSTEP_MS:
        raise SnapshotError("future", f"saved {-age_ms / 1000:.0f} s in the future")
    if age_ms > max_age_ms:
        raise SnapshotError("old", f"saved {age_ms / 1000:.0f} s ago")
    records = [
        InstanceRecord(
            record.instance_id,
            record.service,
            record.owner,
            record.version,
            record.gone,
            record.body,
            record.source,
        )
        for record in stored.lines
    ]
    return Snapshot(records, stored.known, age_ms)


def read(path: Path, tier: str, now_ms: float, max_age_ms: float) -> Snapshot:
    """Read a file that `tier` saved at most `max_age_ms` ago. Raises SnapshotError."""
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except FileNotFoundError:
        raise SnapshotError("missing", "no such file") from None
    except OSError as error:
        raise SnapshotError("unreadable", error.strerror or str(error)) from None
    if len(data) > MAX_FILE_BYTES:
        raise SnapshotError("large", f"over {MAX_FILE_BYTES} bytes")
    return decode(data, tier, now_ms, max_age_ms)


def write(path: Path, data: bytes, on_step: Callable[[str], None] = lambda name: None) -> None:
    """Replace the file atomically. Blocks, so call it in a thread. Raises OSError."""
    write_file(path, data, on_step)
