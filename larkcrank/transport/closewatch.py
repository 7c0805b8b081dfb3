"""Notices that the other side has closed a connection from which nothing is read just now."""

import asyncio
import select
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from larkcrank.transport.connection import RDHUP, Connection

LOOK_S = 0.05  # between looks, while any connection is watched


class CloseWatch:
    """One look at all of them each `LOOK_S`: its cost is one system call, and one more for each that has
    something to tell, however many there are. While a read is pending the loop tells the end, at no cost.
    """

    def __init__(self) -> None:
        self._watched: dict[Connection, Callable[[], None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._watched)

    @contextmanager
    def watch(self, connection: Connection, closed: Callable[[], None]) -> Iterator[None]:
        """Call `closed` once, if the other side ends the connection within this block."""
        self._watched[connection] = closed
        if self._timer is None:
            self._arm()
        try:
            yield
        finally:
            self._watched.pop(connection, None)

    def _arm(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(LOOK_S, self._look)

    def _look(self) -> None:
        self._timer = None
        if not self._watched:
            return
        self._arm()
        for connection in self._reported():
            if connection.has_ended() and (closed := self._watched.pop(connection, None)) is not None:
                closed()

    def _reported(self) -> list[Connection]:
        """Those with something to tell. The descriptors are taken anew each time: a closed one's number may
        be another's by now."""
        found = [connection for connection in self._watched if connection.closed]
        by_number = {
            connection.stream.socket.fileno(): connection
            for connection in self._watched
            if not connection.closed
        }
        try:
            poll = select.poll()
            for number in by_number:
                poll.register(number, select.POLLIN | RDHUP)
            return found + [by_number[number] for number, _ in poll.poll(0)]
        except (AttributeError, OSError):  # a system without this call: each is looked at by itself
            return list(self._watched)
