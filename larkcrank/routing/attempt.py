"""One attempt at sending a request to an endpoint."""

import asyncio
import math
from collections.abc import Callable

from larkcrank.core.interface import Address, Result
from larkcrank.routing.deadline_timer import DeadlineTimer
from larkcrank.routing.exchange import Exchange
from larkcrank.routing.server_process import ServerProcess
from larkcrank.transport.closing import CloseReason
from larkcrank.transport.connection import Connection
from larkcrank.transport.memory import MemoryAccount, MemoryReservation, MemoryUse


class Attempt:
    """One attempt at sending a request to an endpoint.

    Only `end` ends an attempt, stops its timer and closes its connection. An attempt that returns its
    connection to the pool does so before calling `end`.
    """

    __slots__ = (
        "_memory",
        "_on_end",
        "_response_memory",
        "address",
        "answered_at",
        "begin_by_ms",
        "connection",
        "connection_number",
        "ended",
        "exchange",
        "fully_written",
        "index",
        "is_time_known",
        "is_unproven",
        "position",
        "process",
        "response_started",
        "rested_ms",
        "started_at",
        "stops_at_ms",
        "timer",
        "writing_started",
        "written_at",
    )

    def __init__(
        self,
        exchange: Exchange,
        index: int,
        address: Address,
        started_at: float,
        begin_by_ms: float,
        memory: MemoryAccount,
        on_end: "Callable[[Attempt, Result, tuple[float, ...]], None]",
    ) -> None:
        self.exchange, self.index, self.address, self.started_at = exchange, index, address, started_at
        self._memory = memory
        self._response_memory: MemoryReservation | None = None  # What is held of its answer.
        self.connection: Connection | None = None
        self.process: ServerProcess | None = None  # to which it goes; None before it is looked up
        self.connection_number = 0
        self.position = 0  # of the request on its connection, from 1
        self.rested_ms = 0.0  # how long its connection had been idle; 0 if it is new
        self.written_at = self.answered_at = 0.0  # In ms of the process clock; 0 if not yet.
        self.timer: DeadlineTimer[Attempt] | None = None
        self.stops_at_ms = math.inf  # When it times out, on the process clock.
        self.begin_by_ms = begin_by_ms
        # Whether the first and the last byte of the request were passed to the kernel. Each is set just
        # before that byte is written.
        self.writing_started = False
        self.fully_written = False
        self.response_started = False  # Whether a streamed response has started.
        self.ended = False
        self.is_unproven = False  # Whether the response may belong to an earlier request.
        self.is_time_known = False  # Whether the time of its answer is recorded already.
        self._on_end = on_end

    @property
    def is_on_reused_connection(self) -> bool:
        return self.position > 1

    @property
    def answer_time_ms(self) -> float:
        """The time from the last byte of the request to the head of the answer."""
        return self.answered_at - self.written_at

    def time_left_ms(self) -> float:
        """Return the time until the attempt times out; 0 if it has no timeout yet."""
        if self.timer is None:
            return 0.0
        return (self.timer.when() - asyncio.get_running_loop().time()) * 1000.0

    def count_response_memory(self, byte_count: int) -> None:
        """Count so many bytes as held for the answer."""
        if self._response_memory is None:
            self._response_memory = MemoryReservation(self._memory, MemoryUse.RESPONSE)
        self._response_memory.resize(byte_count)

    def release_response_memory(self) -> None:
        """Count nothing as held for the answer."""
        if self._response_memory is not None:
            self._response_memory.release()

    def end(self, result: Result, load: tuple[float, ...] = ()) -> None:
        """End the attempt with `result` and the endpoint's load report. Later calls do nothing."""
        if self.ended:
            return
        self.ended = True
        self.release_response_memory()
        if self.timer is not None:
            self.timer.cancel()
        if self.connection is not None:  # HTTP/1.1 has no other way to cancel a request.
            self.connection.close(CloseReason(result.value))
            self.connection = None
        self._on_end(self, result, load)
