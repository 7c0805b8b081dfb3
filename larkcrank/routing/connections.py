"""The connections that attempts use: kept ones where these may carry another request, else new ones."""

import math
from collections.abc import Callable
from typing import Protocol

from larkcrank.core.interface import Address, Effect
from larkcrank.routing.attempt import Attempt
from larkcrank.transport.answers import AnswerRecords
from larkcrank.transport.closing import CloseReason
from larkcrank.transport.connection import Connection, PendingConnection
from larkcrank.transport.descriptors import DescriptorBudget, SocketUse
from larkcrank.transport.pool import ConnectionPool
from larkcrank.transport.reuse import MIN_REST_MS, ReuseGuard


class ConnectionCounters(Protocol):
    """Counters that connections of attempts increment."""

    connects: int
    reuses: int

    def close(self, reason: CloseReason) -> None: ...


class AttemptConnections:
    """Gives each attempt its connection, and keeps it afterwards where it may be used again."""

    def __init__(
        self,
        pool: ConnectionPool,
        descriptors: DescriptorBudget,
        connect_timeout_ms: float,
        reuse_guard: ReuseGuard,
        answer_records: AnswerRecords,
        clock: Callable[[], float],
        counters: ConnectionCounters,
    ) -> None:
        self.pool = pool
        self._descriptors = descriptors
        self._connect_timeout_ms = connect_timeout_ms
        self._reuse_guard = reuse_guard
        self._answer_records = answer_records
        self._clock = clock
        self._counters = counters
        self._last_number = 0

    def take_idle(self, attempt: Attempt, host_port: tuple[str, int]) -> Connection | None:
        """Give the attempt an idle connection, and return it. Returns None if it needs a new one."""
        exchange = attempt.exchange
        if exchange.streaming:
            return None  # A stray answer would be passed on before it could be told from the true one.
        if exchange.effect is not Effect.SAFE and not self._answer_records.knows_answers:
            return None  # A copy of an earlier answer would not be recognized yet.
        rest_ms = self._reuse_guard.required_rest_ms(attempt.address, self._clock())
        if rest_ms == math.inf:
            return None
        if not self._answer_records.knows_times:
            rest_ms = max(rest_ms, MIN_REST_MS)  # A stray answer could not be told by its time yet.
        attempt.connection = self.pool.take(attempt.address, host_port, rest_ms / 1000.0)
        self._counters.reuses += attempt.connection is not None
        return attempt.connection

    async def open(self, attempt: Attempt, host_port: tuple[str, int]) -> Connection:
        """Give the attempt a new connection, and return it once it is established.

        Raises `NoDescriptorError` or `ConnectionLostError`.
        """
        self._counters.connects += 1
        pending_connection = PendingConnection(host_port, self._descriptors, SocketUse.ATTEMPT)
        attempt.connection = connection = pending_connection.connection
        self._last_number += 1
        connection.number, connection.on_closed = self._last_number, self._counters.close
        return await pending_connection.wait(self._connect_timeout_ms)

    def keep(self, attempt: Attempt, connection: Connection) -> None:
        """Return a connection to the pool, unless its endpoint's connections may not be used again."""
        attempt.connection = None
        if self._reuse_guard.required_rest_ms(attempt.address, self._clock()) == math.inf:
            connection.close(CloseReason.NOT_KEPT)
        else:
            rest_ms = self._answer_records.proof_ms(attempt.exchange.class_index)
            self.pool.put(attempt.address, connection, rest_ms / 1000.0)

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to one endpoint."""
        self.pool.close_address(address)

    def retire(self, address: Address) -> None:
        """Close the idle connections to an endpoint that gets no new requests."""
        self.pool.close_address(address)
        self._answer_records.forget(address)

    def forget(self, address: Address) -> None:
        """Close the idle connections to an endpoint whose process was replaced, and forget its answers."""
        self.retire(address)
        self._reuse_guard.forget(address)
