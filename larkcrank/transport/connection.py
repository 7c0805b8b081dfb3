"""One TCP connection, whose file descriptor is counted by a `DescriptorBudget`."""

import asyncio
import errno
import fcntl
import functools
import select
import socket
import struct
import termios
from collections.abc import Callable
from enum import Enum

from tornado.iostream import StreamClosedError

from larkcrank.transport.answers import AnswerHistory, UnprovenTime
from larkcrank.transport.closing import CloseReason
from larkcrank.transport.descriptors import DescriptorBudget, SocketUse
from larkcrank.transport.stream import SocketStream
from larkcrank.transport.turns import OPERATION_UNITS, WorkAllowance, turn_queue_of

READ_CHUNK_BYTES = 16 * 1024
DISCARD_READ_BYTES = 4 * 1024
DISCARDED_BYTES_PER_UNIT = 8  # nothing is parsed of them
# After so many reads in a row that did not have to wait, other tasks run first.
MAX_READY_READS = 2
# Linux reports a socket as writable once a third of its send buffer is free. A buffer that grows to megabytes
# would make a slow reader look like one that has stopped. Clients are on the same machine, endpoints are not.
_SEND_BUFFER_BYTES = {
    SocketUse.CLIENT: 64 * 1024,
    SocketUse.ATTEMPT: 256 * 1024,
    SocketUse.DISCOVERY: 64 * 1024,
    SocketUse.OPERATOR: 64 * 1024,
}
_INT = struct.Struct("i")
# The socket option that tells the memory of a socket, first what its input takes and the limit of that.
_SO_MEMINFO = 55
_MEMORY_INFO = struct.Struct("II")
# At this part of the limit the window is still open, whatever share of the memory is overhead.
SURELY_OPEN_FACTOR = 4
_SEND_BUFFER_LIMITS = "/proc/sys/net/ipv4/tcp_wmem"
DEFAULT_LARGEST_SEND_BUFFER = 4 << 20
# Linux only: poll() reports that the peer has closed even if unread bytes come before the end.
POLLRDHUP = int(getattr(select, "POLLRDHUP", 0))


class IdleInput(Enum):
    """What an idle connection has to read."""

    NONE = "none"
    DATA = "data"
    END = "end"  # it is closed, or broken


class ConnectionLostError(Exception):
    """The connection has ended. `fin_was_read` tells an orderly end by the peer from all others."""

    def __init__(self, reason: str, fin_was_read: bool = False) -> None:
        super().__init__(reason)
        self.fin_was_read = fin_was_read


class Connection:
    """A stream with at most one pending read, which may stay pending while no caller awaits it.

    A stream notices that the peer has closed only while a read is pending. An idle connection therefore
    keeps one pending; its result is the first bytes of the next message.
    """

    def __init__(self, stream: SocketStream, descriptors: DescriptorBudget, use: SocketUse) -> None:
        self.stream = stream
        self._use = use
        self._descriptors = descriptors
        self._pending_read: asyncio.Future[bytes] | None = None
        self._loop = asyncio.get_running_loop()
        self._allowance = WorkAllowance(self._loop.time())
        self._turns = turn_queue_of(self._loop)
        self._ready_reads = 0  # reads in a row that did not have to wait
        self._closed = False
        self.host_port: tuple[str, int] | None = None  # the remote address of an outgoing connection
        self.number = 0  # identifies a connection to an endpoint in the log
        self.requests_carried = 0
        self.rested_ms = 0.0  # how long it was idle before its present request; 0 if it is new
        self.answers = AnswerHistory()
        self.unproven_times: list[UnprovenTime] = []
        self.last_answer_at = 0.0  # in ms of the process clock
        self.on_closed: Callable[[CloseReason], None] = lambda _: None

    @property
    def closed(self) -> bool:
        return self._closed or self.stream.closed()

    @property
    def has_write_failed(self) -> bool:
        """Whether the peer takes no more data, although the connection may still be read."""
        return self.stream.write_error is not None

    def start_read(self, max_bytes: int = READ_CHUNK_BYTES) -> "asyncio.Future[bytes]":
        """Return the pending read, starting one if there is none."""
        if self._pending_read is None:
            self.stream.read_chunk_size = max_bytes
            try:
                self._pending_read = asyncio.ensure_future(self.stream.read_bytes(max_bytes, partial=True))
            except OSError as error:
                # A StreamClosedError, or the error itself if IOStream does not count it as a reset.
                cause = error.real_error if isinstance(error, StreamClosedError) else error
                self._pending_read = asyncio.get_running_loop().create_future()
                self._pending_read.set_exception(StreamClosedError(cause))
            self._pending_read.add_done_callback(_retrieve_exception)
        return self._pending_read

    async def read(self, max_bytes: int = READ_CHUNK_BYTES, is_parsed: bool = True) -> bytes:
        """Return at least one byte. Raises `ConnectionLostError` at the end of the stream.

        Other connections go first if this one has used up its allowance of work, which bytes use up less if
        they are not parsed.
        """
        pending = self.start_read(max_bytes)
        if not pending.done():
            self._ready_reads = 0
        elif (ready_reads := self._ready_reads + 1) > MAX_READY_READS:
            self._ready_reads = 0
            await asyncio.sleep(0)
        else:
            self._ready_reads = ready_reads
        if pending.cancelled():
            raise ConnectionLostError("an earlier read was cancelled")
        try:
            data = await pending
        except StreamClosedError as error:
            self._pending_read = None
            del pending  # its exception refers to this frame: a cycle would keep the connection's memory
            fin_was_read = self.stream.fin_was_read and not self._closed
            raise ConnectionLostError(str(error.real_error or "closed"), fin_was_read) from None
        # If the caller is cancelled, `_pending_read` keeps the cancelled read, because the stream can't start
        # another one. (asyncio.shield would avoid that, at the cost of one more loop iteration per read.)
        self._pending_read = None
        byte_units = len(data) if is_parsed else len(data) // DISCARDED_BYTES_PER_UNIT
        if self.must_take_turn(OPERATION_UNITS + byte_units):
            await self.take_turn(OPERATION_UNITS + byte_units)
        return data

    async def discard(self) -> int:
        """Read and drop input. Returns how many bytes. Raises `ConnectionLostError` at the stream's end."""
        return len(await self.read(DISCARD_READ_BYTES, is_parsed=False))

    def must_take_turn(self, units: int) -> bool:
        """Count work for the peer. Returns whether other connections go first: then `take_turn` follows."""
        if self._allowance.spend(units, self._loop.time()) or self._closed:
            return False
        return not self._turns.try_take_turn(units)

    async def take_turn(self, units: int) -> None:
        """Return once work may be done that exceeds the allowance."""
        await self._turns.take_turn(units)

    async def write(self, data: bytes) -> None:
        """Return when the kernel has accepted all bytes.

        Raises `ConnectionLostError` if it can't. What the peer had sent before can still be read then.
        """
        try:
            await self.stream.write(data)
        except StreamClosedError as error:
            raise ConnectionLostError(str(error.real_error or "closed")) from None
        if self.stream.write_error is not None:
            raise ConnectionLostError(str(self.stream.write_error))

    async def write_to_reader(self, data: bytes, stall_timeout_s: float) -> None:
        """Write like `write`. Raises `TimeoutError` once the peer has taken nothing for the timeout."""
        try:
            written = asyncio.ensure_future(self.stream.write(data))
            queued_bytes = 0 if written.done() else self._queued_bytes()
            while not written.done():
                await asyncio.wait((written,), timeout=stall_timeout_s)
                queued_before, queued_bytes = queued_bytes, self._queued_bytes()
                if not written.done() and queued_bytes == queued_before:
                    _retrieve_exception_when_done(written)
                    raise TimeoutError("the peer takes nothing")
            await written
        except StreamClosedError as error:
            raise ConnectionLostError(str(error.real_error or "closed")) from None
        if self.stream.write_error is not None:
            raise ConnectionLostError(str(self.stream.write_error))

    def _queued_bytes(self) -> int:
        """Return how many bytes the kernel holds that the peer has not acknowledged."""
        return self._ask_kernel(termios.TIOCOUTQ)

    def write_and_close(self, data: bytes) -> None:
        """Write as much as the kernel accepts at once, drop the rest and close."""
        if not self.closed:
            _retrieve_exception_when_done(self.stream.write(data))
        self.close()

    def is_idle(self) -> bool:
        """Return whether the connection is open and nothing is left to read, neither data nor its end."""
        return self.idle_input() is IdleInput.NONE

    def idle_input(self) -> IdleInput:
        """Return what can be read from a connection that no request uses."""
        pending = self._pending_read
        if pending is not None and pending.done():
            has_data = not pending.cancelled() and pending.exception() is None
            return IdleInput.DATA if has_data else IdleInput.END
        if self.closed:
            return IdleInput.END
        try:
            return IdleInput.DATA if self.stream.peek(1) else IdleInput.END
        except (BlockingIOError, InterruptedError):
            return IdleInput.NONE
        except OSError:
            return IdleInput.END

    def unread_bytes(self) -> int:
        """Return how many bytes the kernel has received that were not read."""
        return self._ask_kernel(termios.FIONREAD)

    def _ask_kernel(self, request: int) -> int:
        try:
            answer = fcntl.ioctl(self.stream.socket, request, bytes(_INT.size))
        except (OSError, AttributeError):
            return 0  # it has been closed
        (byte_count,) = _INT.unpack(answer)
        return int(byte_count)

    def is_receive_window_open(self) -> bool:
        """Return whether the kernel surely has room for more input, so that none waits at the peer.

        Linux only: elsewhere it is never sure.
        """
        try:
            answer = self.stream.socket.getsockopt(socket.SOL_SOCKET, _SO_MEMINFO, _MEMORY_INFO.size)
        except (OSError, AttributeError):
            return False
        if len(answer) < _MEMORY_INFO.size:
            return False
        allocated_bytes, limit_bytes = _MEMORY_INFO.unpack(answer)
        return bool(allocated_bytes * SURELY_OPEN_FACTOR <= limit_bytes)

    def peek(self, max_bytes: int) -> bytes:
        """Return what the kernel has received that was not read, up to `max_bytes`, and leave it there."""
        try:
            return self.stream.peek(max_bytes)
        except (OSError, AttributeError):
            return b""

    def has_peer_closed(self) -> bool:
        """Return whether the peer has closed the connection, even if the end of its data has not been read.

        While there are unread bytes, a read returns these and does not show the end; poll() with POLLRDHUP
        does. On a system without POLLRDHUP the end shows only once the bytes are read. Costs one system call,
        or two if there are unread bytes.
        """
        if self.closed:
            return True
        try:
            if not self.stream.peek(1):
                return True
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        try:
            poll = select.poll()
            poll.register(self.stream.socket, POLLRDHUP)
            return bool(poll.poll(0))
        except (AttributeError, OSError):
            return False

    def close(self, reason: CloseReason = CloseReason.UNSPECIFIED) -> None:
        """Close at once and release the descriptor. No other method releases it."""
        if self._closed:
            return
        self._closed = True
        self.stream.close()
        self._descriptors.release(self._use)
        self.on_closed(reason)

    def abort(self, reason: CloseReason = CloseReason.UNSPECIFIED) -> None:
        """Close with a TCP reset, so that the peer can't take a partial message for a complete one."""
        if not self.closed:
            linger = struct.pack("ii", 1, 0)
            self.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.close(reason)

    def shutdown_write(self) -> None:
        """Close the sending direction only."""
        try:
            self.stream.socket.shutdown(socket.SHUT_WR)
        except (OSError, AttributeError):
            return  # the connection has been closed in the meantime


def _retrieve_exception(future: "asyncio.Future[bytes]") -> None:
    """Mark the exception of a read that nobody awaits as retrieved, so that asyncio does not log it."""
    if not future.cancelled():
        future.exception()


def _retrieve_exception_when_done(future: "asyncio.Future[None]") -> None:
    future.add_done_callback(lambda done: done.cancelled() or done.exception())


def wrap_socket(sock: socket.socket, descriptors: DescriptorBudget, use: SocketUse) -> Connection:
    """Return a connection on a socket whose descriptor the caller has already acquired."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES[use])
    return Connection(SocketStream(sock, READ_CHUNK_BYTES), descriptors, use)


@functools.cache
def largest_send_buffer() -> int:
    """Return to how many bytes the kernel lets the send buffer of a TCP socket grow."""
    try:
        with open(_SEND_BUFFER_LIMITS) as limits:
            return int(limits.read().split()[2])
    except (OSError, ValueError, IndexError):
        return DEFAULT_LARGEST_SEND_BUFFER


class NoDescriptorError(Exception):
    """No file descriptor is available for another socket."""


class PendingConnection:
    """An outgoing connection that is being established.

    If the connection is closed before that, `wait` raises `ConnectionLostError`.
    """

    def __init__(self, host_port: tuple[str, int], descriptors: DescriptorBudget, use: SocketUse) -> None:
        if not descriptors.acquire(use):
            raise NoDescriptorError
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            descriptors.release(use)
            if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                raise NoDescriptorError from None
            raise ConnectionLostError(str(error)) from None
        self.connection = wrap_socket(sock, descriptors, use)
        self.connection.host_port = host_port
        self._host_port = host_port

    async def wait(self, timeout_ms: float) -> Connection:
        """Return the connection once it is established. Raises `ConnectionLostError` after `timeout_ms`."""
        connection = self.connection
        loop = asyncio.get_running_loop()
        timer = loop.call_later(timeout_ms / 1000.0, connection.close)
        try:
            await connection.stream.connect(self._host_port)
        except (StreamClosedError, OSError) as error:
            connection.close()
            cause = error.real_error if isinstance(error, StreamClosedError) else error
            raise ConnectionLostError(str(cause or "not connected")) from None
        finally:
            timer.cancel()
        return connection
