"""One TCP connection with its place among the descriptors."""

import asyncio
import errno
import select
import socket
import struct

from tornado.iostream import IOStream, StreamClosedError

from larkcrank.transport.descriptors import Descriptors, Use

CHUNK = 64 * 1024
_PEEK = int(
    socket.MSG_PEEK | socket.MSG_DONTWAIT
)  # joined here: as enum members they cost more than the call
RDHUP = int(getattr(select, "POLLRDHUP", 0))  # the other side has closed, whatever is unread; Linux tells it


class ConnectionLostError(Exception):
    """The connection ended, `in_order` or broken."""

    def __init__(self, reason: str, in_order: bool = False) -> None:
        super().__init__(reason)
        self.in_order = in_order


class Connection:
    """An IOStream with at most one read pending, which may stand while nobody waits for it.

    IOStream notices that the other side has closed only while a read is pending, so an idle
    connection keeps one: its result is the first bytes of what comes next.
    """

    def __init__(self, stream: IOStream, descriptors: Descriptors, use: Use) -> None:
        self.stream = stream
        self._use = use
        self._descriptors = descriptors
        self._reading: asyncio.Future[bytes] | None = None
        self._closed = False
        self.place: tuple[str, int] | None = None  # where it leads

    @property
    def closed(self) -> bool:
        return self._closed or self.stream.closed()

    def start_read(self, most: int = CHUNK) -> "asyncio.Future[bytes]":
        if self._reading is None:
            self.stream.read_chunk_size = most
            try:
                self._reading = asyncio.ensure_future(self.stream.read_bytes(most, partial=True))
            except StreamClosedError:
                self._reading = asyncio.get_running_loop().create_future()
                self._reading.set_exception(StreamClosedError())
            self._reading.add_done_callback(_seen)
        return self._reading

    async def read(self, most: int = CHUNK) -> bytes:
        """Some bytes. Raises `ConnectionLostError` at the end."""
        pending = self.start_read(most)
        if pending.cancelled():
            raise ConnectionLostError("a reader gave up before")
        try:
            data = await pending
        except StreamClosedError as error:
            self._reading = None
            in_order = error.real_error is None and not self._closed
            raise ConnectionLostError(str(error.real_error or "closed"), in_order) from None
        # A reader that gives up leaves its dead read here: the stream can't begin another one. (A shield
        # would spare it, for one more turn of the loop on every read.)
        self._reading = None
        return data

    async def write(self, data: bytes) -> None:
        """Return when the kernel has taken the last byte. Raises `ConnectionLostError` before that."""
        try:
            await self.stream.write(data)
        except StreamClosedError as error:
            raise ConnectionLostError(str(error.real_error or "closed")) from None

    def write_last(self, data: bytes) -> None:
        """Hand over what the kernel takes at once, and close."""
        if not self.closed:
            _seen_later(self.stream.write(data))
        self.close()

    def is_quiet(self) -> bool:
        """Nothing has come that was not read, not even an end."""
        if self.closed or (self._reading is not None and self._reading.done()):
            return False
        try:
            self.stream.socket.recv(1, _PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            pass
        return False

    def has_ended(self) -> bool:
        """The other side has ended it, whether or not that was read. Unread bytes may stand before the end:
        these hide it from a read, but not from the kernel. (Where a system has no such call, they do hide it
        until they are read.) One system call, two where bytes are unread."""
        if self.closed:
            return True
        try:
            if not self.stream.socket.recv(1, _PEEK):
                return True
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        try:
            poll = select.poll()
            poll.register(self.stream.socket, RDHUP)
            return bool(poll.poll(0))
        except (AttributeError, OSError):
            return False

    def close(self) -> None:
        """Close at once; the one place where the descriptor is given back."""
        if self._closed:
            return
        self._closed = True
        self.stream.close()
        self._descriptors.give_back(self._use)

    def break_off(self) -> None:
        """Close so that the other side can't take what it has for the whole."""
        if not self.closed:
            linger = struct.pack("ii", 1, 0)
            self.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.close()

    def stop_sending(self) -> None:
        """Tell the other side that nothing more comes."""
        try:
            self.stream.socket.shutdown(socket.SHUT_WR)
        except (OSError, AttributeError):
            return  # it has closed meanwhile


def _seen(future: "asyncio.Future[bytes]") -> None:
    """A read that nobody waits for may end in an error; that is no defect."""
    if not future.cancelled():
        future.exception()


def _seen_later(future: "asyncio.Future[None]") -> None:
    future.add_done_callback(lambda done: done.cancelled() or done.exception())


def wrap(sock: socket.socket, descriptors: Descriptors, use: Use) -> Connection:
    """A connection on a connected socket whose place was taken already."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return Connection(IOStream(sock, read_chunk_size=CHUNK), descriptors, use)


class NoRoomError(Exception):
    """All descriptors are in use."""


class Connecting:
    """A connection on its way up. `close` gives it up; whoever waits gets `ConnectionLostError`."""

    def __init__(self, place: tuple[str, int], descriptors: Descriptors, use: Use) -> None:
        if not descriptors.take(use):
            raise NoRoomError
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            descriptors.give_back(use)
            if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                raise NoRoomError from None
            raise ConnectionLostError(str(error)) from None
        self.connection = wrap(sock, descriptors, use)
        self.connection.place = place
        self._place = place

    async def wait(self, timeout_ms: float) -> Connection:
        connection = self.connection
        loop = asyncio.get_running_loop()
        timer = loop.call_later(timeout_ms / 1000.0, connection.close)
        try:
            await connection.stream.connect(self._place)
        except (StreamClosedError, OSError) as error:
            connection.close()
            real = error.real_error if isinstance(error, StreamClosedError) else error
            raise ConnectionLostError(str(real or "not connected")) from None
        finally:
            timer.cancel()
        return connection
