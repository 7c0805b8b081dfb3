"""Reads and writes a file with a member's state. A file that is not valid as a whole is not used.

It is for installations with a persistent disk.

The format is one line of JSON, which names the format and contains a checksum of the rest, followed by
msgpack. A file that is missing, truncated, of another version, from the future or of another fleet gives a
distinct error each. docs/fleet-recovery.md describes the contents, and for how long they are trusted.
"""

import os
import zlib
from collections.abc import Callable
from pathlib import Path

import msgspec

from larkcrank.fleet import trust
from larkcrank.fleet.wire import ServerEntry

FORMAT = "larkcrank-fleet"
VERSION = 1
MAX_FILE_BYTES = 4 << 20
MAX_CLOCK_SETBACK_MS = (
    60_000.0  # a file from further in the future is rejected; the clock may have been set back
)
MAX_AGE_MS = (
    trust.SERVER_LIST.restart_max_age_ms
)  # beyond this age, most servers of the list have been replaced
MAX_PEER_ADDRESSES = 256  # addresses of peers in a snapshot


class SnapshotError(Exception):
    """The file cannot be used. `reason` is the name of the cause in logs; the message has details."""

    def __init__(self, reason: str, message: str) -> None:
        super().__init__(message)
        self.reason = reason


class _Head(msgspec.Struct, forbid_unknown_fields=True):
    """First line of the file, in JSON."""

    format: str
    version: int
    length: int  # of the rest of the file, in bytes
    crc32: int  # of the rest of the file


class DepartedServer(msgspec.Struct, array_like=True, frozen=True):
    """A server that is draining or gone."""

    name: str
    started_at_ms: float
    state: int  # value of `core.interface.State`
    age_ms: float  # since this became known


class Snapshot(msgspec.Struct, frozen=True):
    """A member's state. Times are Unix milliseconds on the writer's clock; ages do not depend on a clock."""

    fleet: str  # name of the fleet
    member: str  # name of the member that wrote the file
    saved_at_ms: float
    generation: int  # of the server list
    list_age_ms: float  # when saved, time since discovery reported the list; negative: unknown
    lines: list[ServerEntry]  # the server list
    gone: list[DepartedServer]  # servers that are draining or gone
    places: list[str]  # addresses of peers, to be contacted if no seed answers after a start
    size: int  # size of the fleet, as the member determined it


def encode(snapshot: Snapshot) -> bytes:
    """Return the contents of the file for a snapshot."""
    body = msgspec.msgpack.encode(snapshot)
    head = _Head(FORMAT, VERSION, len(body), zlib.crc32(body))
    return msgspec.json.encode(head) + b"\n" + body


def decode(data: bytes, fleet: str, member: str, now_ms: float) -> Snapshot:
    """Decode and check a snapshot. Raises SnapshotError if it cannot be used."""
    first_line, newline, body = data.partition(b"\n")
    try:
        head = msgspec.json.decode(first_line, type=_Head)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SnapshotError("torn" if not newline else "foreign", str(error)) from None
    if head.format != FORMAT:
        raise SnapshotError("foreign", f"unknown format {head.format!r}")
    if head.version != VERSION:
        raise SnapshotError("version", f"unsupported version {head.version}, expected {VERSION}")
    if len(body) != head.length or zlib.crc32(body) != head.crc32:
        raise SnapshotError("torn", f"{len(body)} of {head.length} bytes, or a wrong checksum")
    try:
        snapshot = msgspec.msgpack.decode(body, type=Snapshot)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SnapshotError("foreign", str(error)) from None
    if snapshot.fleet != fleet or snapshot.member != member:
        raise SnapshotError("other", f"belongs to member {snapshot.member!r} of fleet {snapshot.fleet!r}")
    age = now_ms - snapshot.saved_at_ms
    if age < -MAX_CLOCK_SETBACK_MS:
        raise SnapshotError("future", f"its time is {-age / 1000:.0f} s in the future")
    if age > MAX_AGE_MS:
        raise SnapshotError("old", f"was saved {age / 1000:.0f} s ago")
    return snapshot


def read(path: Path, fleet: str, member: str, now_ms: float) -> Snapshot:
    """Read and check a snapshot file. Raises SnapshotError if it cannot be used."""
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except FileNotFoundError:
        raise SnapshotError("missing", "no such file") from None
    except OSError as error:
        raise SnapshotError("unreadable", error.strerror or str(error)) from None
    if len(data) > MAX_FILE_BYTES:
        raise SnapshotError("large", f"is larger than {MAX_FILE_BYTES} bytes")
    return decode(data, fleet, member, now_ms)


def write(path: Path, data: bytes, on_step: Callable[[str], None] = lambda step: None) -> None:
    """Replace the file atomically. Raises OSError on failure. Blocks, so call it in a thread.

    `on_step` is called after each step with the step's name, so that tests can end the process there.
    """
    temporary_path = path.with_name(f"{path.name}.part")
    with temporary_path.open("wb") as file:
        on_step("opened")
        file.write(data[: len(data) // 2])
        file.flush()
        on_step("half written")
        file.write(data[len(data) // 2 :])
        file.flush()
        on_step("written")
        os.fsync(file.fileno())
    on_step("synced")
    temporary_path.replace(path)
    on_step("replaced")
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
