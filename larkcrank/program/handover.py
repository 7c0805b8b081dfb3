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
from typing import Protocol

import msgspec

from larkcrank.core.interface import Address
from larkcrank.core.state import HandoverState
from larkcrank.protocol import claims
from larkcrank.protocol.claims import ClaimKind, ClaimMessage, ClaimParser

VERSION = 1
MAX_MESSAGE_BYTES = 8 << 20
PREDECESSOR_TIMEOUT_S = 0.7  # for connecting to the predecessor, and again for reading its message
CLAIM_TIMEOUT_S = 0.5  # for the answer to a claim; a request without one is not taken
READ_BYTES = 64 * 1024
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
    answers_claims: bool = False  # whether the sender answers claims of request ids


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
        self._claims: dict[int, asyncio.Future[bool]] = {}  # by number
        self._last_claim = 0

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

    def watch(self, on_exit: Callable[[], None], on_known_id: Callable[[str], None]) -> None:
        """Call `on_exit` once the predecessor has exited, and `on_known_id` for each request id it takes."""
        self._watch_task = asyncio.get_running_loop().create_task(self._read_until_exit(on_exit, on_known_id))

    async def claim(self, request_id: str) -> bool:
        """Return whether a request may be taken: the predecessor has not taken one with this id.

        If the predecessor exits, it may: all ids are known then. Raises `TimeoutError` without an answer.
        """
        self._last_claim += 1
        number = self._last_claim
        answer: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._claims[number] = answer
        self._writer.write(claims.encode(ClaimMessage(ClaimKind.CLAIM, number, request_id)))
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                return await answer
        finally:
            del self._claims[number]

    async def _read_until_exit(self, on_exit: Callable[[], None], on_known_id: Callable[[str], None]) -> None:
        parser = ClaimParser()
        try:
            while data := await self._reader.read(READ_BYTES):
                for message in parser.feed(data):
                    if message.kind is ClaimKind.KNOWN:
                        on_known_id(message.request_id)
                    else:
                        self._answer_claim(message.number, message.kind is ClaimKind.GRANTED)
        except (OSError, ValueError):
            pass
        self._writer.close()
        on_exit()
        for number in self._claims:
            self._answer_claim(number, True)

    def _answer_claim(self, number: int, is_granted: bool) -> None:
        answer = self._claims.get(number)
        if answer is not None and not answer.done():
            answer.set_result(is_granted)

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


class SharedIds(Protocol):
    """The request ids that a process has taken."""

    def __contains__(self, request_id: object) -> bool: ...
    def remember(self, request_id: str) -> None: ...
    def all_ids(self) -> list[str]: ...


class HandoverServer:
    """Sends the handover message to successors and counts those that are connected.

    At its start it atomically replaces the socket of an earlier process, even one that was killed.
    """

    def __init__(
        self,
        path: Path,
        make_message: Callable[[], bytes],
        on_count_change: Callable[[int], None],
        request_ids: SharedIds,
    ) -> None:
        """`on_count_change` gets the number of connected successors each time it changes."""
        self._path, self._make_message, self._on_count_change = path, make_message, on_count_change
        self._request_ids = request_ids
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
            for request_id in self._request_ids.all_ids():
                writer.write(claims.encode(ClaimMessage(ClaimKind.KNOWN, 0, request_id)))
            parser = ClaimParser()
            while data := await reader.read(READ_BYTES):
                for message in parser.feed(data):
                    self._answer(message, writer)
        except (OSError, ValueError):
            pass
        finally:
            writer.close()
            self._writers.discard(writer)
            self._on_count_change(len(self._writers))

    def tell_known(self, request_id: str) -> None:
        """Tell all successors that a request is taken here."""
        for writer in self._writers:
            writer.write(claims.encode(ClaimMessage(ClaimKind.KNOWN, 0, request_id)))

    def _answer(self, message: ClaimMessage, writer: asyncio.StreamWriter) -> None:
        """Grant a claim, and remember its id, unless the id is known here."""
        if message.kind is not ClaimKind.CLAIM:
            return
        is_known = message.request_id in self._request_ids
        if not is_known:
            self._request_ids.remember(message.request_id)
        kind = ClaimKind.DENIED if is_known else ClaimKind.GRANTED
        writer.write(claims.encode(ClaimMessage(kind, message.number, message.request_id)))

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
