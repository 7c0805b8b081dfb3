"""The listening socket: everything that the kernel has accepted is taken, always."""

import asyncio
import socket
from collections.abc import Callable

from larkcrank.transport.connection import Connection, wrap
from larkcrank.transport.descriptors import Descriptors

BACKLOG = 4096  # a connection waiting here may hold a request that counts as taken


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
        self._closed = False

    @property
    def place(self) -> tuple[str, int]:
        host, port = self._socket.getsockname()[:2]
        return str(host), int(port)

    def start(self) -> None:
        self._socket.listen(BACKLOG)
        self._watch()

    def _watch(self) -> None:
        if not self._closed:
            self._loop.add_reader(self._socket.fileno(), self._accept)

    def _accept(self) -> None:
        while True:
            if not self._descriptors.take():
                self._loop.remove_reader(self._socket.fileno())
                self._descriptors.when_free(self._watch)
                return
            try:
                sock, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                self._descriptors.give_back()
                return
            except ConnectionError:  # it went away while it waited
                self._descriptors.give_back()
                continue
            except OSError:  # no descriptor after all: the count is not the whole truth
                self._loop.remove_reader(self._socket.fileno())
                self._descriptors.give_back()
                self._loop.call_later(0.05, self._watch)
                return
            self._accepted(wrap(sock, self._descriptors))

    def close(self) -> None:
        """Take what still waits, then accept nothing more."""
        if self._closed:
            return
        self._accept()
        self._closed = True
        self._loop.remove_reader(self._socket.fileno())
        self._socket.close()
