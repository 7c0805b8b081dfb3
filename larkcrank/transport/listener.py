"""The listening socket: everything that the kernel has accepted is taken, always."""

import asyncio
import socket
from collections.abc import Callable

from larkcrank.transport.connection import Connection, wrap
from larkcrank.transport.descriptors import Descriptors, Use

BACKLOG = 4096  # a connection waiting here may hold a request that counts as taken


REST_S = 0.05


class Listener:
    """Accepts until it is closed; with no descriptor left it waits until one is given back."""

    def __init__(
        self, place: tuple[str, int], descriptors: Descriptors, accepted: Callable[[Connection], None]
    ) -> None:
        self._descriptors = descriptors
        self._accepted = accepted
        self._loop = asyncio.get_running_loop()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind(place)
        host, port = self._socket.getsockname()[:2]
        self.place = (str(host), int(port))
        self._closed = False

    def start(self) -> None:
        self._socket.listen(BACKLOG)
        self._watch()

    def _watch(self) -> None:
        if not self._closed:
            self._loop.add_reader(self._socket.fileno(), self._accept)

    def _accept(self) -> bool:
        """Take all that waits; False where places ran out before."""
        while True:
            if not self._descriptors.take(Use.CLIENT):
                self._descriptors.when_free(self._watch)
                self._rest()
                return False
            try:
                sock, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                self._descriptors.give_back(Use.CLIENT)
                return True
            except ConnectionError:  # it went away while it waited
                self._descriptors.give_back(Use.CLIENT)
                continue
            except OSError:  # no descriptor after all: the count is not the whole truth
                self._descriptors.give_back(Use.CLIENT)
                self._rest()
                return False
            try:
                connection = wrap(sock, self._descriptors, Use.CLIENT)
            except OSError:  # it went away just now
                sock.close()
                self._descriptors.give_back(Use.CLIENT)
                continue
            self._accepted(connection)

    def _rest(self) -> None:
        """A listening socket that can't be served would wake the loop without end."""
        self._loop.remove_reader(self._socket.fileno())
        self._loop.call_later(REST_S, self._watch)

    def finish(self) -> bool:
        """Take what still waits, then accept nothing more; False where there was no place for all of it."""
        if self._closed:
            return True
        if not self._accept():
            return False
        self.close()
        return True

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()
