"""A listening socket: everything that the kernel has accepted is taken, always."""

import asyncio
import math
import select
import socket
from collections.abc import Callable

from larkcrank.transport.connection import Connection, wrap
from larkcrank.transport.descriptors import Descriptors, Use

BACKLOG = 4096  # a connection waiting here may hold a request that counts as taken


REST_S = 0.05
MOST_A_TURN = 64  # connections accepted in one turn of the loop: others wait for their turn too


class PassedSocketError(Exception):
    """The descriptor is no listening TCP socket; the message says what it is."""


def adopt(descriptor: int) -> socket.socket:
    """The listening socket that the platform holds. Bound and listening already, it stays as it is."""
    try:
        sock = socket.socket(fileno=descriptor)
    except OSError as error:
        raise PassedSocketError(f"PROXY_PASSED_SOCKET: descriptor {descriptor}: {error.strerror}") from None
    tcp = sock.family == socket.AF_INET and sock.type == socket.SOCK_STREAM
    if not tcp or not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        sock.detach()  # it is not ours to close
        raise PassedSocketError(f"PROXY_PASSED_SOCKET: descriptor {descriptor} is no listening TCP socket")
    return sock


class Listener:
    """Accepts until it is closed; with no descriptor left it waits until one is given back."""

    def __init__(
        self,
        place: tuple[str, int],
        descriptors: Descriptors,
        accepted: Callable[[Connection], None],
        use: Use = Use.CLIENT,
        passed: socket.socket | None = None,
    ) -> None:
        self._descriptors = descriptors
        self._accepted = accepted
        self._use = use
        self._loop = asyncio.get_running_loop()
        self.is_passed = passed is not None  # others hold it too: what waits there is theirs as well
        self._socket = passed or socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        if not self.is_passed:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._socket.bind(place)
        host, port = self._socket.getsockname()[:2]
        self.place = (str(host), int(port))
        self._closed = False

    def start(self) -> None:
        if not self.is_passed:
            self._socket.listen(BACKLOG)
        self._watch()

    def _watch(self) -> None:
        if not self._closed:
            self._loop.add_reader(self._socket.fileno(), self._accept)

    def _accept(self, most: float = MOST_A_TURN) -> bool:
        """Take what waits, so many at most; False where places ran out before."""
        taken = 0
        while taken < most:
            taken += 1
            if not self._descriptors.has_room(self._use) and not self._someone_waits():
                return True  # nothing is closed to make way for nobody
            if not self._descriptors.take(self._use):
                self._descriptors.when_free(self._watch)
                self._rest()
                return False
            try:
                sock, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                self._descriptors.give_back(self._use)
                return True
            except ConnectionError:  # it went away while it waited
                self._descriptors.give_back(self._use)
                continue
            except OSError:  # no descriptor after all: the count is not the whole truth
                self._descriptors.give_back(self._use)
                self._rest()
                return False
            try:
                connection = wrap(sock, self._descriptors, self._use)
            except OSError:  # it went away just now
                sock.close()
                self._descriptors.give_back(self._use)
                continue
            self._accepted(connection)
        return True

    def _someone_waits(self) -> bool:
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        return bool(poll.poll(0))

    def _rest(self) -> None:
        """A listening socket that can't be served would wake the loop without end."""
        self._loop.remove_reader(self._socket.fileno())
        self._loop.call_later(REST_S, self._watch)

    def finish(self) -> bool:
        """Take what still waits, then accept nothing more; False where there was no place for all of it.

        What waits at a passed socket is left to who holds it too.
        """
        if self._closed:
            return True
        if not self.is_passed and not self._accept(most=math.inf):
            return False
        self.close()
        return True

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()
