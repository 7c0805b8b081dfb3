"""Handover of state from one process of a sidecar to the next, while both live.

The serving process listens on a Unix socket in a directory that both processes share. Its successor connects,
receives one message (a header with a version and a length, then the body) and keeps the connection open. The
end of the connection, which the kernel signals also after SIGKILL, tells each process that the other has
exited. A file instead of the socket would not show whether its writer is alive, and could be outdated.
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
MAX_MESSAGE_BYTES = 8 << 20
PREDECESSOR_TIMEOUT_S = 0.7  # for connecting to the predecessor, and again for reading its message
_HEADER = struct.Struct(">8sII")  # magic, version, length of the body
_MAGIC = b"larkhand"


class HandoverMessage(msgspec.Struct):
    """The state of the process that serves now."""

    sidecar: str
    settings: str  # must equal the receiver's: with other settings the learned state does not apply
    generation: int | None  # of discovery's server list
    zones: list[str]
    kinds: list[str]
    places: dict[Address, tuple[str, int]]  # host and port of each server
    learnt: HandoverState  # the learned state of the balancer


class HandoverError(Exception):
    """A predecessor exists or existed, but its message is missing or unusable. The text gives the reason."""


_decoder = msgspec.msgpack.Decoder(HandoverMessage)


def encode(message: HandoverMessage) -> bytes:
    """Return the header and the body."""
    body = msgspec.msgpack.encode(message)
    return _HEADER.pack(_MAGIC, VERSION, len(body)) + body


def decode(body: bytes, sidecar: str, settings: str) -> HandoverMessage:
    """Decode the body. Raises `HandoverError` if it is damaged, or of another sidecar or other settings."""
    try:
        message = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise HandoverError(f"damaged: {error}") from None
    if (message.sidecar, message.settings) != (sidecar, settings):
        raise HandoverError("of another sidecar, or with other settings")
    return message


def socket_path(directory: str, sidecar: str) -> Path:
    """The path of the Unix socket that the processes of one sidecar share."""
    return Path(directory) / f"larkcrank-{zlib.crc32(sidecar.encode()):08x}.sock"


class Predecessor:
    """The connection to the process that still serves."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer
        self._watch_task: asyncio.Task[None] | None = None

    async def read_message(self) -> bytes:
        """Return the body of the handover message. Raises `HandoverError`."""
        try:
            async with asyncio.timeout(PREDECESSOR_TIMEOUT_S):
                magic, version, length = _HEADER.unpack(await self._reader.readexactly(_HEADER.size))
                if magic != _MAGIC or version != VERSION:
                    raise HandoverError("unsupported version")
                if length > MAX_MESSAGE_BYTES:
                    raise HandoverError(f"over {MAX_MESSAGE_BYTES} bytes")
                return await self._reader.readexactly(length)
        except TimeoutError:
            raise HandoverError("silent") from None
        except (OSError, asyncio.IncompleteReadError):
            raise HandoverError("cut short") from None

    def watch(self, on_exit: Callable[[], None]) -> None:
        """Call `on_exit` once the predecessor has exited."""
        self._watch_task = asyncio.get_running_loop().create_task(self._wait_for_exit(on_exit))

    async def _wait_for_exit(self, on_exit: Callable[[], None]) -> None:
        try:
            while await self._reader.read(4096):
                pass
        except OSError:
            pass
        self._writer.close()
        on_exit()

    def close(self) -> None:
        """Close the connection. `on_exit` is not called any more."""
        if self._watch_task is not None:
            self._watch_task.cancel()
        self._writer.close()


async def connect_to_predecessor(path: Path) -> Predecessor | None:
    """Connect to the process that serves now. Returns None if there is none. Raises `HandoverError`."""
    try:
        async with asyncio.timeout(PREDECESSOR_TIMEOUT_S):
            return Predecessor(*await asyncio.open_unix_connection(str(path)))
    except (FileNotFoundError, ConnectionRefusedError):
        return None
    except TimeoutError:
        raise HandoverError("silent") from None
    except OSError as error:
        raise HandoverError(error.strerror or str(error)) from None


class HandoverServer:
    """Sends the handover message to successors and counts those that are connected.

    At its start it atomically replaces the socket of an earlier process, even one that was killed.
    """

    def __init__(
        self,
        path: Path,
        make_message: Callable[[], bytes],
        on_count_change: Callable[[int], None],
    ) -> None:
        """`on_count_change` gets the number of connected successors each time it changes."""
        self._path, self._make_message, self._on_count_change = path, make_message, on_count_change
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._socket_file_id: tuple[int, int] = (0, 0)  # device, inode

    async def start(self) -> None:
        """Listen on the path. Raises OSError."""
        temporary_path = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        temporary_path.unlink(missing_ok=True)
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            sock.bind(str(temporary_path))
            temporary_path.chmod(0o600)
            self._server = await asyncio.start_unix_server(self._accept, sock=sock)
            status = temporary_path.stat()
            self._socket_file_id = status.st_dev, status.st_ino
            temporary_path.replace(self._path)
        except OSError:
            sock.close()
            temporary_path.unlink(missing_ok=True)
            raise

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the successor in a task made here: asyncio logs the cancellation of its own as an error."""
        task = asyncio.get_running_loop().create_task(self._serve_successor(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve_successor(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        self._on_count_change(len(self._writers))
        try:
            writer.write(self._make_message())
            while await reader.read(4096):
                pass
        except OSError:
            pass
        finally:
            writer.close()
            self._writers.discard(writer)
            self._on_count_change(len(self._writers))

    def close(self) -> None:
        """Stop listening, and remove the path unless a successor has taken it over."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        try:
            status = self._path.stat()
            if (status.st_dev, status.st_ino) == self._socket_file_id:
                self._path.unlink()
        except OSError:
            pass
        for writer in self._writers:
            writer.close()
