"""From one process of a sidecar to the next, while both live: what the first knows, and who is there.

The serving process listens on a Unix socket in the directory that both share. Its successor connects, is
sent one message (written whole or not at all, with a version and a length) and keeps the connection: its
end, which the kernel brings also after SIGKILL, tells each that the other has gone. A file was the other
way; it tells nothing of who still lives, and may be of any age.
"""

import asyncio
import os
import socket
import struct
import zlib
from collections.abc import Callable
from pathlib import Path

import msgspec

from larkcrank.core.interface import Address
from larkcrank.core.state import HandoverState

VERSION = 1
MOST_BYTES = 8 << 20
ASK_S = 0.7  # a predecessor that has not answered by then is not waited for
_HEAD = struct.Struct(">8sII")
_MAGIC = b"larkhand"


class Handed(msgspec.Struct):
    """What the process that still serves knows."""

    sidecar: str
    settings: str
    generation: int | None
    zones: list[str]
    kinds: list[str]
    places: dict[Address, tuple[str, int]]
    learnt: HandoverState


class HandoverError(Exception):
    """A predecessor is there, or was, and what it says can't be used; the message says why."""


_decoder = msgspec.msgpack.Decoder(Handed)


def encode(handed: Handed) -> bytes:
    body = msgspec.msgpack.encode(handed)
    return _HEAD.pack(_MAGIC, VERSION, len(body)) + body


def decode(body: bytes, sidecar: str, settings: str) -> Handed:
    """Raises `HandoverError` where it is damaged or of another sidecar."""
    try:
        handed = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise HandoverError(f"damaged: {error}") from None
    if (handed.sidecar, handed.settings) != (sidecar, settings):
        raise HandoverError("of another sidecar, or with other settings")
    return handed


def path_in(directory: str, sidecar: str) -> Path:
    """Where a sidecar's processes find each other."""
    return Path(directory) / f"larkcrank-{zlib.crc32(sidecar.encode()):08x}.sock"


class Predecessor:
    """The connection to the process that still serves; `on_gone` once it ends."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer
        self._watch: asyncio.Task[None] | None = None

    async def read(self) -> bytes:
        """The message's body. Raises `HandoverError`."""
        try:
            async with asyncio.timeout(ASK_S):
                magic, version, length = _HEAD.unpack(await self._reader.readexactly(_HEAD.size))
                if magic != _MAGIC or version != VERSION:
                    raise HandoverError("of another version")
                if length > MOST_BYTES:
                    raise HandoverError(f"over {MOST_BYTES} bytes")
                return await self._reader.readexactly(length)
        except TimeoutError:
            raise HandoverError("silent") from None
        except (OSError, asyncio.IncompleteReadError):
            raise HandoverError("cut short") from None

    def watch(self, on_gone: Callable[[], None]) -> None:
        self._watch = asyncio.get_running_loop().create_task(self._until_gone(on_gone))

    async def _until_gone(self, on_gone: Callable[[], None]) -> None:
        try:
            while await self._reader.read(4096):
                pass
        except OSError:
            pass
        self._writer.close()
        on_gone()

    def close(self) -> None:
        if self._watch is not None:
            self._watch.cancel()
        self._writer.close()


async def find(path: Path) -> Predecessor | None:
    """The process that serves now; None where there is none."""
    try:
        async with asyncio.timeout(ASK_S):
            return Predecessor(*await asyncio.open_unix_connection(str(path)))
    except (FileNotFoundError, ConnectionRefusedError):
        return None
    except TimeoutError:
        raise HandoverError("silent") from None
    except OSError as error:
        raise HandoverError(error.strerror or str(error)) from None


class Successors:
    """Where the next process finds this one. The path is taken over in one step, also from a dead process."""

    def __init__(self, path: Path, tell: Callable[[], bytes], changed: Callable[[int], None]) -> None:
        self._path, self._tell, self._changed = path, tell, changed
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._file: tuple[int, int] = (0, 0)

    async def start(self) -> None:
        """Raises OSError."""
        beside = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        beside.unlink(missing_ok=True)
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            sock.bind(str(beside))
            beside.chmod(0o600)
            self._server = await asyncio.start_unix_server(self._accept, sock=sock)
            status = beside.stat()
            self._file = status.st_dev, status.st_ino
            beside.replace(self._path)
        except OSError:
            sock.close()
            beside.unlink(missing_ok=True)
            raise

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """A task of our own: one of the library's, cancelled at the end, would log that as a crash."""
        task = asyncio.get_running_loop().create_task(self._connected(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        self._changed(len(self._writers))
        try:
            writer.write(self._tell())
            while await reader.read(4096):
                pass
        except OSError:
            pass
        finally:
            writer.close()
            self._writers.discard(writer)
            self._changed(len(self._writers))

    def close(self) -> None:
        """Give the path back, unless a successor has it already."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        try:
            status = self._path.stat()
            if (status.st_dev, status.st_ino) == self._file:
                self._path.unlink()
        except OSError:
            pass
        for writer in self._writers:
            writer.close()
