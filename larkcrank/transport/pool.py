"""Idle connections to endpoints, kept for reuse by the next request."""

import asyncio
import math
from collections import OrderedDict

from larkcrank.core.interface import Address
from larkcrank.transport.closing import CloseReason
from larkcrank.transport.connection import Connection, IdleInput
from larkcrank.transport.descriptors import DescriptorBudget, SocketUse

# The share of the endpoint's keepalive time for which a connection is kept here. The margin keeps the
# endpoint from closing a connection just as a request is sent on it.
MAX_IDLE_SHARE = 0.5


class ConnectionPool:
    """Owns idle connections. A caller that takes one owns it until it puts it back or closes it."""

    def __init__(self, descriptors: DescriptorBudget, keepalive_ms: float) -> None:
        self._loop = asyncio.get_running_loop()
        # Address and idle timer of each connection, in the order in which the connections became idle.
        self._idle: OrderedDict[Connection, tuple[Address, asyncio.TimerHandle]] = OrderedDict()
        self._max_idle_s = keepalive_ms * MAX_IDLE_SHARE / 1000.0
        descriptors.register_evictor(SocketUse.ATTEMPT, self._close_longest_idle, self._longest_idle_since)

    def __len__(self) -> int:
        return len(self._idle)

    def put(self, address: Address, connection: Connection) -> None:
        """Add an idle connection, which is closed when its idle time limit passes."""
        if connection.closed:
            connection.close(CloseReason.CLOSED_BY_PEER)
            return
        timer = self._loop.call_later(
            self._max_idle_s, self._remove_and_close, connection, CloseReason.IDLE_TIME
        )
        self._idle[connection] = (address, timer)
        # The pending read completes if the endpoint closes the connection or sends unexpected bytes. In both
        # cases the connection can't be reused.
        connection.start_read().add_done_callback(lambda _: self._remove_readable(connection))

    def take(self, address: Address, host_port: tuple[str, int]) -> Connection | None:
        """Return the most recently used idle connection to an endpoint, or None. The others can then reach
        their idle time limit.
        """
        for connection in reversed(self._idle):
            if self._idle[connection][0] == address:
                self._idle.pop(connection)[1].cancel()
                if connection.is_idle() and connection.host_port == host_port:
                    return connection
                connection.close(
                    CloseReason.SERVER_LEFT
                    if connection.host_port != host_port
                    else _reason_of_input(connection.idle_input())
                )
                return self.take(address, host_port)
        return None

    def close_address(self, address: Address) -> None:
        """Close all idle connections to one endpoint."""
        for connection in [
            key for key, (pooled_address, _) in self._idle.items() if pooled_address == address
        ]:
            self._remove_and_close(connection, CloseReason.SERVER_LEFT)

    def close(self) -> None:
        for connection in list(self._idle):
            self._remove_and_close(connection, CloseReason.SHUTDOWN)

    def _remove_readable(self, connection: Connection) -> None:
        """Close an idle connection whose read has ended, with data or with the end of the stream."""
        if connection in self._idle:
            self._remove_and_close(connection, _reason_of_input(connection.idle_input()))

    def _remove_and_close(self, connection: Connection, reason: CloseReason) -> None:
        entry = self._idle.pop(connection, None)
        if entry is not None:
            entry[1].cancel()
            connection.close(reason)

    def _longest_idle_since(self) -> float:
        """Return the loop time at which the longest idle connection became idle, or infinity."""
        for _, timer in self._idle.values():
            return timer.when() - self._max_idle_s
        return math.inf

    def _close_longest_idle(self) -> bool:
        if not self._idle:
            return False
        self._remove_and_close(next(iter(self._idle)), CloseReason.EVICTED)
        return True


def _reason_of_input(idle_input: IdleInput) -> CloseReason:
    return CloseReason.STRAY_ANSWER if idle_input is IdleInput.DATA else CloseReason.CLOSED_BY_PEER
