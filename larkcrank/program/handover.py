"""Handover of state from one process of a sidecar to the next, while both live.

The serving process listens on a Unix socket in a directory that both processes share. Its successor connects,
receives one message (a header with a version and a length, then the body) and keeps the connection open. The
end of the connection, which the kernel signals also after SIGKILL, tells each process that the other has
exited. A file instead of the socket would not show whether its writer is alive, and could be outdated.
"""

import asyncio
import contextlib
import os
import socket
import struct
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import msgspec

from larkcrank.core.host_port_owners import KnownServer
from larkcrank.core.interface import Address, Endpoint, HostPort
from larkcrank.core.state import HandoverState
from larkcrank.program.process_link import ProcessLink
from larkcrank.protocol import process_messages
from larkcrank.protocol.process_messages import MessageKind, MessageParser, News, ProcessMessage

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
    places: dict[Address, HostPort]  # where each server that may be used listens
    learnt: HandoverState  # the learned state of the balancer
    answers_claims: bool = False  # whether the sender answers claims of request ids
    shares_news: bool = False  # whether the sender understands news
    discovery: str = ""  # host:port of the service whose generation this is; empty: not told
    # The servers of the list, also those withheld as another one owns their host and port. Empty: not told.
    known_servers: list[KnownServer] = []

    def listed_endpoints(self) -> list[Endpoint]:
        """Return the servers that the receiver begins with, also those withheld or draining."""
        learnt = {server.endpoint.address: server.endpoint for server in self.learnt.servers}
        unused = {
            server.endpoint.address: server.endpoint
            for server in self.known_servers
            if server.endpoint.address not in self.places
        }
        return list((unused | learnt).values())

    def host_ports(self) -> dict[Address, HostPort]:
        """Return where each of these servers listens."""
        return {server.endpoint.address: server.host_port for server in self.known_servers} | self.places


class HandoverError(Exception):
    """A predecessor exists or existed, but its message is missing or unusable. The text gives the reason."""


class OtherSettingsError(HandoverError):
    """The predecessor has other settings, so that what it has learnt does not apply. Its list does."""

    def __init__(self, message: HandoverMessage) -> None:
        super().__init__("with other settings")
        self.message = message


_decoder = msgspec.msgpack.Decoder(HandoverMessage)


def encode(message: HandoverMessage) -> bytes:
    """Return the header and the body."""
    body = msgspec.msgpack.encode(message)
    return _HEADER.pack(_MAGIC, VERSION, len(body)) + body


def decode(body: bytes, sidecar: str, settings: str) -> HandoverMessage:
    """Decode the body. Raises `HandoverError` if it is damaged, or of another sidecar or other settings,
    in the last case an `OtherSettingsError`.
    """
    try:
        message = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise HandoverError(f"damaged: {error}") from None
    if message.sidecar != sidecar:
        raise HandoverError("of another sidecar")
    if message.settings != settings:
        raise OtherSettingsError(message)
    return message


def socket_path(directory: str, sidecar: str) -> Path:
    """The path of the Unix socket that the processes of one sidecar share."""
    return Path(directory) / f"larkcrank-{zlib.crc32(sidecar.encode()):08x}.sock"


class Predecessor:
    """The connection to the process that still serves."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self.link = reader, ProcessLink(writer)
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

    def share_news(self) -> None:
        """Tell a predecessor that understands news that this process does so, too."""
        self.link.enable_news()
        self.link.send(ProcessMessage(MessageKind.SHARES_NEWS))

    def watch(
        self,
        on_exit: Callable[[], None],
        on_known_id: Callable[[str], None],
        on_news: Callable[[News, ProcessLink], None] = lambda *_: None,
    ) -> None:
        """Call `on_exit` once the predecessor has exited, `on_known_id` for each request id that it takes,
        and `on_news` for what discovery tells it.
        """
        self._watch_task = asyncio.get_running_loop().create_task(
            self._read_until_exit(on_exit, on_known_id, on_news)
        )

    async def claim(self, request_id: str) -> bool:
        """Return whether a request may be taken: the predecessor has not taken one with this id.

        If the predecessor exits, it may: all ids are known then. Raises `TimeoutError` without an answer.
        """
        self._last_claim += 1
        number = self._last_claim
        answer: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._claims[number] = answer
        self.link.send(process_messages.id_message(MessageKind.CLAIM, request_id, number))
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                return await answer
        finally:
            del self._claims[number]

    async def _read_until_exit(
        self,
        on_exit: Callable[[], None],
        on_known_id: Callable[[str], None],
        on_news: Callable[[News, ProcessLink], None],
    ) -> None:
        parser = MessageParser()
        try:
            while data := await self._reader.read(READ_BYTES):
                for message in parser.feed(data):
                    if message.kind is MessageKind.KNOWN:
                        on_known_id(message.request_id)
                    elif message.kind in (MessageKind.GRANTED, MessageKind.DENIED):
                        self._answer_claim(message.number, message.kind is MessageKind.GRANTED)
                    elif (news := self.link.receive(message)) is not None:
                        on_news(news, self.link)
        except (OSError, ValueError):
            pass
        self.link.close()
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
        self.link.close()


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


async def _is_served(path: Path) -> bool:
    """Return whether a process listens on the path, or may do so."""
    try:
        predecessor = await connect_to_predecessor(path)
    except HandoverError:
        return True
    if predecessor is None:
        return False
    predecessor.close()
    return True


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
        on_news: Callable[[News, ProcessLink], None] = lambda *_: None,
    ) -> None:
        """`on_count_change` gets the number of connected successors each time it changes, `on_news` what
        discovery tells one of them.
        """
        self._path, self._make_message, self._on_count_change = path, make_message, on_count_change
        self._request_ids, self._on_news = request_ids, on_news
        self._server: asyncio.Server | None = None
        self._links: set[ProcessLink] = set()
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
        link = ProcessLink(writer)
        self._links.add(link)
        self._on_count_change(len(self._links))
        try:
            writer.write(self._make_message())
            for request_id in self._request_ids.all_ids():
                link.send(process_messages.id_message(MessageKind.KNOWN, request_id))
            parser = MessageParser()
            while data := await reader.read(READ_BYTES):
                for message in parser.feed(data):
                    if message.kind is MessageKind.CLAIM:
                        self._answer_claim(message, link)
                    elif (news := link.receive(message)) is not None:
                        self._on_news(news, link)
        except (OSError, ValueError):
            pass
        finally:
            link.close()
            self._links.discard(link)
            self._on_count_change(len(self._links))
            if not self._links:
                await self._reclaim_path()

    async def _reclaim_path(self) -> None:
        """Listen on the path again if the successors that took it over have all gone.

        The next process would find nobody there otherwise, although this one still serves.
        """
        if self._server is None or self._owns_path() or await _is_served(self._path):
            return
        self._server.close()
        with contextlib.suppress(OSError):  # the next process starts without a handover
            await self.start()

    def _owns_path(self) -> bool:
        try:
            status = self._path.stat()
        except OSError:
            return False
        return (status.st_dev, status.st_ino) == self._socket_file_id

    def tell_known(self, request_id: str) -> None:
        """Tell all successors that a request is taken here."""
        for link in self._links:
            link.send(process_messages.id_message(MessageKind.KNOWN, request_id))

    @property
    def links(self) -> set[ProcessLink]:
        """The connections to all successors."""
        return self._links

    def _answer_claim(self, message: ProcessMessage, link: ProcessLink) -> None:
        """Grant a claim, and remember its id, unless the id is known here."""
        is_known = message.request_id in self._request_ids
        if not is_known:
            self._request_ids.remember(message.request_id)
        kind = MessageKind.DENIED if is_known else MessageKind.GRANTED
        link.send(process_messages.id_message(kind, message.request_id, message.number))

    def close(self) -> None:
        """Stop listening, and remove the path unless a successor has taken it over."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        if self._owns_path():
            self._path.unlink(missing_ok=True)
        for link in self._links:
            link.close()
