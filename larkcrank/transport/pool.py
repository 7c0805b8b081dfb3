"""Idle connections to endpoints, kept for the next request."""

import asyncio
import math
from collections import OrderedDict

from larkcrank.core.interface import Address
from larkcrank.transport.connection import Connection
from larkcrank.transport.descriptors import Descriptors, Use

IDLE_SHARE = 0.5  # of the time after which the endpoint closes: a request must not cross that


class Pool:
    """Owns connections while they are idle; whoever takes one owns it until it is put back or closed."""

    def __init__(self, descriptors: Descriptors, keepalive_ms: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._idle: OrderedDict[Connection, tuple[Address, asyncio.TimerHandle]] = OrderedDict()
        self._keep_s = keepalive_ms * IDLE_SHARE / 1000.0
        descriptors.add_spare(Use.ATTEMPT, self._close_oldest, self._oldest)

    def __len__(self) -> int:
        return len(self._idle)

    def put(self, address: Address, connection: Connection) -> None:
        if connection.closed:
            connection.close()
            return
        timer = self._loop.call_later(self._keep_s, self._drop, connection)
        self._idle[connection] = (address, timer)
        # A pending read sees the endpoint's end; bytes that nobody asked for end it as well.
        connection.start_read().add_done_callback(lambda _: self._drop(connection))

    def take(self, address: Address, place: tuple[str, int]) -> Connection | None:
        """The connection used last: the others may then grow old and close."""
        for connection in reversed(self._idle):
            if self._idle[connection][0] == address:
                self._idle.pop(connection)[1].cancel()
                if connection.is_quiet() and connection.place == place:
                    return connection
                connection.close()
                return self.take(address, place)
        return None

    def close_to(self, address: Address) -> None:
        for connection in [key for key, (to, _) in self._idle.items() if to == address]:
            self._drop(connection)

    def close(self) -> None:
        for connection in list(self._idle):
            self._drop(connection)

    def _drop(self, connection: Connection) -> None:
        found = self._idle.pop(connection, None)
        if found is not None:
            found[1].cancel()
            connection.close()

    def _oldest(self) -> float:
        """Since when the one that has been idle longest is so."""
        for _, timer in self._idle.values():
            return timer.when() - self._keep_s
        return math.inf

    def _close_oldest(self) -> bool:
        if not self._idle:
            return False
        self._drop(next(iter(self._idle)))
        return True
