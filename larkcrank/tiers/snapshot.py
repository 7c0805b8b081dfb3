"""What a tier held, in a file: whole or not at all, read at a start.

One line of JSON that names the format and holds a checksum of the rest, then msgpack. What is in it carries
its owners' versions, so that nothing in it, however old, prevails over what is heard later. Until that is
heard it serves those alone that have no list at all.
"""

import zlib
from collections.abc import Callable
from pathlib import Path

import msgspec

from larkcrank.fleet.snapshot import write as write_file
from larkcrank.tiers.state import Line, State, Version

FORMAT = "larkcrank-tier"
VERSION = 1
MOST_BYTES = 16 << 20
FUTURE_MS = 60_000.0  # a clock that was set back by so little is forgiven


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


class _Line(msgspec.Struct, array_like=True):
    id: str
    service: str
    owner: str
    version: tuple[int, int]
    gone: bool
    body: bytes
    source: str


class _Body(msgspec.Struct):
    tier: str
    saved_at_ms: float
    known: dict[str, tuple[int, int]]
    lines: list[_Line]


class Kept(msgspec.Struct):
    """What is taken up at a start."""

    lines: list[Line]
    known: dict[str, Version]
    age_ms: float


def encode(state: State, now_ms: float) -> bytes:
    lines = [
        _Line(one.id, one.service, one.owner, one.version, one.gone, one.body, one.source)
        for one in state.lines()
    ]
    body = msgspec.msgpack.encode(_Body(state.name, now_ms, state.known_of(), lines))
    return msgspec.json.encode(_Head(FORMAT, VERSION, len(body), zlib.crc32(body))) + b"\n" + body


def decode(data: bytes, tier: str, now_ms: float, oldest_ms: float) -> Kept:
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
        found = msgspec.msgpack.decode(body, type=_Body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SnapshotError("foreign", str(error)) from None
    if found.tier != tier:
        raise SnapshotError("other", f"of {found.tier!r}")
    age_ms = now_ms - found.saved_at_ms
    if age_ms < -FUTURE_MS:
        raise SnapshotError("future", f"saved {-age_ms / 1000:.0f} s from now")
    if age_ms > oldest_ms:
        raise SnapshotError("old", f"saved {age_ms / 1000:.0f} s ago")
    lines = [
        Line(one.id, one.service, one.owner, one.version, one.gone, one.body, one.source)
        for one in found.lines
    ]
    return Kept(lines, found.known, age_ms)


def read(path: Path, tier: str, now_ms: float, oldest_ms: float) -> Kept:
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
    return decode(data, tier, now_ms, oldest_ms)


def write(path: Path, data: bytes, step: Callable[[str], None] = lambda name: None) -> None:
    """Replace the file in one step; blocks, so it is called in a thread. Raises OSError."""
    write_file(path, data, step)
