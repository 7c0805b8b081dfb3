"""What a member knew, in a file for installations with a lasting disk: whole or not at all, read at a start.

One line of JSON that names the format and holds a checksum of the rest, then msgpack. A file that is missing,
torn, of another version, from the future or of another fleet is each told apart. What is in it, what it is
trusted for and how long: docs/fleet-recovery.md.
"""

import os
import zlib
from collections.abc import Callable
from pathlib import Path

import msgspec

from larkcrank.fleet import trust
from larkcrank.fleet.wire import Line

FORMAT = "larkcrank-fleet"
VERSION = 1
MOST_BYTES = 4 << 20
FUTURE_MS = 60_000.0  # a clock that was set back by so little is forgiven
LIST_MS = trust.LIST.before_ms  # an older list names servers that are others by now
FELLOWS_MOST = 256


class SnapshotError(Exception):
    """The file can't be used; `why` is a word, the message says more."""

    def __init__(self, why: str, message: str) -> None:
        super().__init__(message)
        self.why = why


class _Head(msgspec.Struct, forbid_unknown_fields=True):
    format: str
    version: int
    length: int
    crc32: int


class Gone(msgspec.Struct, array_like=True, frozen=True):
    name: str
    started_ms: float
    state: int
    age_ms: float  # since it was known


class Snapshot(msgspec.Struct, frozen=True):
    """Times are Unix milliseconds of the writer's clock; ages are safe against clocks that disagree."""

    fleet: str
    member: str
    saved_at_ms: float
    generation: int
    list_age_ms: float  # when it was saved, since discovery told the list; below 0: nobody knew
    lines: list[Line]
    gone: list[Gone]
    places: list[str]  # of fellows, for a start at which no seed answers
    size: int  # members that were counted on


def encode(snapshot: Snapshot) -> bytes:
    body = msgspec.msgpack.encode(snapshot)
    head = _Head(FORMAT, VERSION, len(body), zlib.crc32(body))
    return msgspec.json.encode(head) + b"\n" + body


def decode(data: bytes, fleet: str, member: str, now_ms: float) -> Snapshot:
    """Raises SnapshotError."""
    first, newline, body = data.partition(b"\n")
    try:
        head = msgspec.json.decode(first, type=_Head)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SnapshotError("torn" if not newline else "foreign", str(error)) from None
    if head.format != FORMAT:
        raise SnapshotError("foreign", f"format {head.format!r}")
    if head.version != VERSION:
        raise SnapshotError("version", f"version {head.version}, not {VERSION}")
    if len(body) != head.length or zlib.crc32(body) != head.crc32:
        raise SnapshotError("torn", f"{len(body)} bytes of {head.length}, or others than were written")
    try:
        found = msgspec.msgpack.decode(body, type=Snapshot)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SnapshotError("foreign", str(error)) from None
    if found.fleet != fleet or found.member != member:
        raise SnapshotError("other", f"of {found.member!r} in {found.fleet!r}")
    age = now_ms - found.saved_at_ms
    if age < -FUTURE_MS:
        raise SnapshotError("future", f"saved {-age / 1000:.0f} s from now")
    if age > LIST_MS:
        raise SnapshotError("old", f"saved {age / 1000:.0f} s ago")
    return found


def read(path: Path, fleet: str, member: str, now_ms: float) -> Snapshot:
    """Raises SnapshotError."""
    try:
        with path.open("rb") as file:
            data = file.read(MOST_BYTES + 1)
    except FileNotFoundError:
        raise SnapshotError("missing", "no such file") from None
    except OSError as error:
        raise SnapshotError("unreadable", error.strerror or str(error)) from None
    if len(data) > MOST_BYTES:
        raise SnapshotError("large", f"over {MOST_BYTES} bytes")
    return decode(data, fleet, member, now_ms)


def write(path: Path, data: bytes, step: Callable[[str], None] = lambda name: None) -> None:
    """Replace the file in one step; blocks, so it is called in a thread. Raises OSError.

    `step` is told each step that is done; tests end the process in it.
    """
    beside = path.with_name(f"{path.name}.part")
    with beside.open("wb") as file:
        step("opened")
        file.write(data[: len(data) // 2])
        file.flush()
        step("half written")
        file.write(data[len(data) // 2 :])
        file.flush()
        step("written")
        os.fsync(file.fileno())
    step("synced")
    beside.replace(path)
    step("replaced")
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
