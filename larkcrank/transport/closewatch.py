"""Detects that the peer has closed a connection while no read is pending on it."""

import asyncio
import select
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from larkcrank.transport.connection import POLLRDHUP, Connection

POLL_INTERVAL_S = 0.05  # applies while any connection is watched


class CloseWatcher:
    """Polls all watched connections together every `POLL_INTERVAL_S`.

    A poll costs one system call, and one or two more for each connection that reports an event, however many
    are watched. A connection with a pending read need not be watched, since the event loop reports its end.
    """

    def __init__(self) -> None:
        self._watched: dict[Connection, Callable[[], None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._watched)

    @contextmanager
    def watch(self, connection: Connection, on_close: Callable[[], None]) -> Iterator[None]:
        """Call `on_close` once if the peer closes the connection while this block runs."""
        self._watched[connection] = on_close
        if self._timer is None:
            self._start_timer()
        try:
            yield
        finally:
            self._watched.pop(connection, None)

    def _start_timer(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(POLL_INTERVAL_S, self._poll)

    def _poll(self) -> None:
        self._timer = None
        if not self._watched:
            return
        self._start_timer()
        for connection in self._connections_with_events():
            if connection.has_peer_closed() and (on_close := self._watched.pop(connection, None)) is not None:
                on_close()

    def _connections_with_events(self) -> list[Connection]:
        """Return the watched connections that are closed here or that have data or an end to read.

        The descriptors are looked up again in every poll, because the kernel may have reused the descriptor
        of a closed connection for another one.
        """
        closed_connections = [connection for connection in self._watched if connection.closed]
        by_descriptor = {
            connection.stream.socket.fileno(): connection
            for connection in self._watched
            if not connection.closed
        }
        try:
            poll = select.poll()
            for descriptor in by_descriptor:
                poll.register(descriptor, select.POLLIN | POLLRDHUP)
            return closed_connections + [by_descriptor[descriptor] for descriptor, _ in poll.poll(0)]
        except (AttributeError, OSError):  # without poll() the caller checks every connection by itself
            return list(self._watched)
