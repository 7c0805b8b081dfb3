"""A listening socket. Connections that the kernel has queued in its backlog are accepted before it closes."""

import asyncio
import math
import select
import socket
from collections.abc import Callable

from larkcrank.transport.connection import Connection, wrap_socket
from larkcrank.transport.descriptors import DescriptorBudget, SocketUse

# Large, because a client may already have sent a request on a connection in the backlog.
LISTEN_BACKLOG = 4096


ACCEPT_RETRY_S = 0.05
MAX_ACCEPTS_PER_TURN = 64  # per turn of the event loop, so that other callbacks get to run
# In place of that, while connections are to be accepted slowly; then accepting pauses for `ACCEPT_RETRY_S`.
MAX_SLOW_ACCEPTS = 4


class PassedSocketError(Exception):
    """The passed descriptor is not a listening TCP socket. The message tells what is wrong."""


def adopt_socket(descriptor: int) -> socket.socket:
    """Return the listening socket that the platform passed. It is already bound and listening."""
    try:
        sock = socket.socket(fileno=descriptor)
    except OSError as error:
        raise PassedSocketError(f"PROXY_PASSED_SOCKET: descriptor {descriptor}: {error.strerror}") from None
    is_tcp = sock.family == socket.AF_INET and sock.type == socket.SOCK_STREAM
    if not is_tcp or not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        sock.detach()  # this process does not own the descriptor and must not close it
        raise PassedSocketError(f"PROXY_PASSED_SOCKET: descriptor {descriptor} is not a listening TCP socket")
    return sock


class Listener:
    """Accepts connections until it is closed. Without a free descriptor it waits until one is released."""

    def __init__(
        self,
        host_port: tuple[str, int],
        descriptors: DescriptorBudget,
        on_accept: Callable[[Connection], None],
        use: SocketUse = SocketUse.CLIENT,
        passed_socket: socket.socket | None = None,
        must_accept_slowly: Callable[[], bool] = lambda: False,
    ) -> None:
        """`must_accept_slowly` tells whether memory is too scarce for many further connections."""
        self._descriptors = descriptors
        self._must_accept_slowly = must_accept_slowly
        self._on_accept = on_accept
        self._use = use
        self._loop = asyncio.get_running_loop()
        # Other processes have a passed socket open too, and may accept the connections in its backlog.
        self.uses_passed_socket = passed_socket is not None
        self._socket = passed_socket or socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        if not self.uses_passed_socket:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._socket.bind(host_port)
        host, port = self._socket.getsockname()[:2]
        self.host_port = (str(host), int(port))
        self._closed = False

    def start(self) -> None:
        """Listen, unless the socket was passed and already listens, and accept connections."""
        if not self.uses_passed_socket:
            self._socket.listen(LISTEN_BACKLOG)
        self._resume_accepting()

    def _resume_accepting(self) -> None:
        if not self._closed:
            self._loop.add_reader(self._socket.fileno(), self._accept_some)

    def _accept_some(self) -> None:
        """Accept connections that are waiting, as many as one turn allows."""
        if not self._must_accept_slowly():
            self._accept_pending()
        elif self._accept_pending(MAX_SLOW_ACCEPTS):
            self._pause_accepting()

    def _accept_pending(self, max_connections: float = MAX_ACCEPTS_PER_TURN) -> bool:
        """Accept up to `max_connections` waiting connections. Returns False if descriptors ran out first."""
        accepted = 0
        while accepted < max_connections:
            accepted += 1
            if not self._descriptors.has_free(self._use) and not self._has_waiting_connection():
                return True  # acquiring a descriptor now would close an idle connection needlessly
            if not self._descriptors.acquire(self._use):
                self._descriptors.on_next_release(self._resume_accepting)
                self._pause_accepting()
                return False
            try:
                sock, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                self._descriptors.release(self._use)
                return True
            except ConnectionError:  # the client closed the connection while it was in the backlog
                self._descriptors.release(self._use)
                continue
            except OSError:  # the system has no descriptor left, although the count allows one
                self._descriptors.release(self._use)
                self._pause_accepting()
                return False
            try:
                connection = wrap_socket(sock, self._descriptors, self._use)
            except OSError:  # the client has just closed the connection
                sock.close()
                self._descriptors.release(self._use)
                continue
            self._on_accept(connection)
        return True

    def _has_waiting_connection(self) -> bool:
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        return bool(poll.poll(0))

    def _pause_accepting(self) -> None:
        """Stop watching the socket for a while, since a connection that can't be accepted keeps waking the
        event loop.
        """
        self._loop.remove_reader(self._socket.fileno())
        self._loop.call_later(ACCEPT_RETRY_S, self._resume_accepting)

    def accept_remaining_and_close(self) -> bool:
        """Accept the whole backlog, then close. Returns False, still open, if descriptors ran out first.

        The backlog of a passed socket is left to the other processes that have it open.
        """
        if self._closed:
            return True
        if not self.uses_passed_socket and not self._accept_pending(max_connections=math.inf):
            return False
        self.close()
        return True

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()
