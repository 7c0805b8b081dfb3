"""Idle connections to endpoints, kept for reuse by the next request."""

import asyncio
import math
from collections import OrderedDict
from collections.abc import Callable

import msgspec

from larkcrank.core.interface import Address
from larkcrank.transport.closing import CloseReason
from larkcrank.transport.connection import Connection, IdleInput
from larkcrank.transport.descriptors import DescriptorBudget, SocketUse

# The share of the endpoint's keepalive time for which a connection is kept here. The margin keeps the
# endpoint from closing a connection just as a request is sent on it.
MAX_IDLE_SHARE = 0.5
# The share of its time limit after which the rest of a connection is reported at the latest.
MAX_REST_SHARE = 0.5


class _IdleEntry(msgspec.Struct):
    address: Address
    since_s: float  # when the connection became idle, on the event loop's clock
    timer: asyncio.TimerHandle  # reports its rest, or closes it at its idle time limit


class ConnectionPool:
    """Owns idle connections. A caller that takes one owns it until it puts it back or closes it."""

    def __init__(self, descriptors: DescriptorBudget, keepalive_ms: float) -> None:
        self._loop = asyncio.get_running_loop()
        # In the order in which the connections became idle.
        self._idle: OrderedDict[Connection, _IdleEntry] = OrderedDict()
        # Called with data that an idle connection received, and how long (s) it had been idle by then.
        self.on_stray_answer: Callable[[Address, Connection, float], None] = lambda *_: None
        # Called with a connection that has been idle for the time given to `put` and has received nothing.
        self.on_rested: Callable[[Address, Connection], None] = lambda *_: None
        self._max_idle_s = keepalive_ms * MAX_IDLE_SHARE / 1000.0
        descriptors.register_evictor(SocketUse.ATTEMPT, self._close_longest_idle, self._longest_idle_since)

    def __len__(self) -> int:
        return len(self._idle)

    def put(self, address: Address, connection: Connection, rest_s: float) -> None:
        """Add an idle connection, which is closed when its idle time limit passes.

        After `rest_s`, or half of that limit if this is shorter, it is reported to `on_rested`.
        """
        if connection.closed or connection.has_write_failed:
            connection.close(CloseReason.CLOSED_BY_PEER)
            return
        now = self._loop.time()
        rest_s = min(rest_s, self._max_idle_s * MAX_REST_SHARE)
        timer = self._loop.call_later(rest_s, self._report_rest, connection)
        self._idle[connection] = _IdleEntry(address, now, timer)
        # The pending read completes if the endpoint closes the connection or sends unexpected bytes. In both
        # cases the connection can't be reused.
        connection.start_read().add_done_callback(
            lambda _: self._remove_readable(connection, connection.idle_input())
        )

    def _report_rest(self, connection: Connection) -> None:
        entry = self._idle[connection]
        entry.timer = self._loop.call_at(
            entry.since_s + self._max_idle_s, self._remove_and_close, connection, CloseReason.IDLE_TIME
        )
        if connection.is_idle():
            self.on_rested(entry.address, connection)

    def take(
        self, address: Address, host_port: tuple[str, int], min_rest_s: float = 0.0
    ) -> Connection | None:
        """Return an idle connection to an endpoint that has rested for at least `min_rest_s`, or None.

        Without a minimum it is the most recently used one, so that the others can reach their idle time
        limit. Otherwise it is the one that has rested longest.
        """
        while (connection := self._find(address, min_rest_s)) is not None:
            if connection.host_port != host_port:
                self._remove_and_close(connection, CloseReason.SERVER_LEFT)
            elif (idle_input := connection.idle_input()) is not IdleInput.NONE:
                self._remove_readable(connection, idle_input)
            else:
                entry = self._idle.pop(connection)
                entry.timer.cancel()
                connection.rested_ms = (self._loop.time() - entry.since_s) * 1000.0
                return connection
        return None

    def _find(self, address: Address, min_rest_s: float) -> Connection | None:
        connections = iter(self._idle) if min_rest_s else reversed(self._idle)
        for connection in connections:
            entry = self._idle[connection]
            if entry.address == address:
                has_rested = self._loop.time() - entry.since_s >= min_rest_s
                return connection if has_rested else None
        return None

    def close_address(self, address: Address) -> None:
        """Close all idle connections to one endpoint."""
        for connection in [key for key, entry in self._idle.items() if entry.address == address]:
            self._remove_and_close(connection, CloseReason.SERVER_LEFT)

    def close(self) -> None:
        for connection in list(self._idle):
            self._remove_and_close(connection, CloseReason.SHUTDOWN)

    def _remove_readable(self, connection: Connection, idle_input: IdleInput) -> None:
        """Close an idle connection that has received data or the end of the stream."""
        entry = self._idle.get(connection)
        if entry is None:
            return
        if idle_input is IdleInput.DATA:
            self._remove_and_close(connection, CloseReason.STRAY_ANSWER)
            self.on_stray_answer(entry.address, connection, self._loop.time() - entry.since_s)
        else:
            self._remove_and_close(connection, CloseReason.CLOSED_BY_PEER)

    def _remove_and_close(self, connection: Connection, reason: CloseReason) -> None:
        entry = self._idle.pop(connection, None)
        if entry is not None:
            entry.timer.cancel()
            connection.close(reason)

    def _longest_idle_since(self) -> float:
        """Return the loop time at which the longest idle connection became idle, or infinity."""
        for entry in self._idle.values():
            return entry.since_s
        return math.inf

    def _close_longest_idle(self) -> bool:
        if not self._idle:
            return False
        self._remove_and_close(next(iter(self._idle)), CloseReason.EVICTED)
        return True
