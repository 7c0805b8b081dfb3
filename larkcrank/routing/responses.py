"""Tells whether a response on a reused connection is the answer to the request that was sent on it."""

import asyncio
import math
from collections.abc import Callable
from typing import Protocol

import msgspec

from larkcrank.core.interface import Address
from larkcrank.protocol import http1
from larkcrank.routing.attempt import Attempt
from larkcrank.routing.exchange import Exchange
from larkcrank.transport.answers import (
    MAX_UNPROVEN_TIMES,
    AnswerRecords,
    CarriedAnswer,
    UnprovenTime,
)
from larkcrank.transport.closing import CloseReason
from larkcrank.transport.connection import Connection, ConnectionLostError, IdleInput
from larkcrank.transport.memory import MEDIUM_READ_BYTES, SMALL_READ_BYTES, MemoryAccount
from larkcrank.transport.reuse import ReuseGuard

# So long before its attempt's timeout, a response of unknown length begins to be passed on.
STREAM_START_MARGIN_MS = 100.0


class CheckCounters(Protocol):
    """Counters that the checks increment."""

    stray_answers: int
    held_answers: int


class _Doubt(msgspec.Struct, frozen=True):
    """Why a response may be the answer to an earlier request."""

    reason: str  # as it stands in the log
    late_ms: float  # after the last answer on its connection, or after the answer that it equals
    hold_ms: float
    earlier: CarriedAnswer | None = None  # the answer that it equals


class ResponseChecker:
    """Checks responses against what their connection has carried, and records stray answers."""

    def __init__(
        self,
        guard: ReuseGuard,
        records: AnswerRecords,
        memory: MemoryAccount,
        max_body: int,
        clock: Callable[[], float],
        counters: CheckCounters,
        report_event: Callable[..., None],
    ) -> None:
        self._guard = guard
        self._records = records
        self._memory = memory
        self._max_body = max_body
        self._clock = clock
        self._counters = counters
        self._report_event = report_event

    async def read_answer(self, attempt: Attempt, connection: Connection) -> http1.ResponseParser:
        """Return the parser of the response that is taken for the answer to the request.

        It has read the head and, on a reused connection, the whole response if that is short. A doubtful
        response is held back, and is only the answer if no other one follows it.
        """
        parser = http1.ResponseParser(math.inf if attempt.exchange.streaming else self._max_body)
        while True:
            await self._read_response(attempt, connection, parser)
            doubt = self._doubt_about(attempt, connection, parser)
            if doubt is None:
                return parser
            following_bytes = await self._wait_for_another(attempt, connection, parser, doubt)
            if not following_bytes:
                return parser
            self.record_stray(attempt.address, connection, doubt.late_ms, doubt.reason, attempt.exchange)
            parser = http1.ResponseParser(self._max_body)
            parser.feed(following_bytes)

    async def _read_response(
        self, attempt: Attempt, connection: Connection, parser: http1.ResponseParser
    ) -> None:
        while parser.head is None:
            parser.feed(await connection.read(SMALL_READ_BYTES))
        attempt.answered_at = self._clock()
        is_long = (parser.head.content_length or 0) > http1.MAX_BUFFERED_BODY_BYTES
        if not attempt.is_on_reused_connection or parser.head.status != 200 or is_long:
            return
        while not parser.complete and not self.is_too_long_to_hold(parser):
            if not await self.read_more(attempt, connection, parser):
                return

    def is_too_long_to_hold(self, parser: http1.ResponseParser) -> bool:
        """Return whether more of a response has come than is held before it is passed on. A response that is
        known to be short is held whole.
        """
        is_length_known = parser.head is not None and parser.head.content_length is not None
        limit = http1.MAX_BUFFERED_BODY_BYTES if is_length_known else self._memory.answer_allowance
        return parser.buffered_bytes > limit

    async def read_more(self, attempt: Attempt, connection: Connection, parser: http1.ResponseParser) -> bool:
        """Read and parse what has come of a response, and count the memory that it takes.

        Returns False if the response may be long and the time for its first bytes is nearly up.
        Raises `ConnectionLostError` if the connection ends before the response is complete.
        """
        read_size = min(self._memory.read_size, MEDIUM_READ_BYTES)
        if not await self._wait_for_input(attempt, connection, parser, read_size):
            return False
        try:
            parser.feed(await connection.read(read_size))
        except ConnectionLostError as error:
            if not error.fin_was_read or not parser.handle_clean_close():
                raise
        # The body is copied when it is complete.
        attempt.count_response_memory(2 * parser.buffered_bytes)
        return True

    @staticmethod
    async def _wait_for_input(
        attempt: Attempt, connection: Connection, parser: http1.ResponseParser, read_size: int
    ) -> bool:
        """Wait until a read has ended. Returns False if the response has to be passed on before that.

        Only the first bytes of a long response are due in time. One that does not tell its length may turn
        out long, so it is passed on as it comes when its attempt would otherwise time out. An attempt that
        has given no byte of the body may still be followed by another one, unless time is up then.
        """
        if parser.head is None or parser.head.status != 200 or parser.head.content_length is not None:
            return True
        exchange = attempt.exchange
        can_retry = attempt.stops_at_ms < exchange.deadline and not parser.buffered_bytes
        if attempt.timer is None or exchange.closed or can_retry:
            return True
        time_left_ms = attempt.time_left_ms() - STREAM_START_MARGIN_MS
        if time_left_ms <= 0.0:
            return False
        pending_read = connection.start_read(read_size)
        if not pending_read.done():
            await asyncio.wait((pending_read,), timeout=time_left_ms / 1000.0)
        return pending_read.done()

    def _doubt_about(
        self, attempt: Attempt, connection: Connection, parser: http1.ResponseParser
    ) -> _Doubt | None:
        """Return why a response may be the answer to an earlier request, or None."""
        is_whole = parser.complete and attempt.fully_written
        if (
            not attempt.is_on_reused_connection
            or not is_whole
            or parser.head is None
            or parser.head.status != 200
        ):
            return None
        exchange, time_left_ms = attempt.exchange, attempt.time_left_ms()
        earlier = connection.answers.find(parser.content_digest())
        if earlier is not None and self._records.is_copy(earlier, exchange.request.target):
            if not self._records.knows_answers:  # only safe requests reuse connections then
                raise ConnectionLostError("the answer may be a copy of an earlier one")
            late_ms = self._clock() - earlier.arrived_at
            hold_ms = (time_left_ms or exchange.client_timeout_ms) / 2
            return _Doubt("copy", late_ms, hold_ms, earlier)
        hold_ms = self._records.hold_ms(attempt.address, exchange.class_index, attempt.answer_time_ms)
        hold_ms = min(hold_ms, time_left_ms / 2)
        if hold_ms <= 0.0 or parser.has_extra_bytes:
            return None
        return _Doubt("too soon", attempt.answered_at - connection.last_answer_at, hold_ms)

    async def _wait_for_another(
        self, attempt: Attempt, connection: Connection, parser: http1.ResponseParser, doubt: _Doubt
    ) -> bytes:
        """Hold a doubtful response back. Return the beginning of the one that follows it, if one does."""
        if parser.has_extra_bytes:
            return parser.take_extra_bytes()
        self._counters.held_answers += 1
        await asyncio.wait((connection.start_read(),), timeout=doubt.hold_ms / 1000.0)
        idle_input = connection.idle_input()
        if idle_input is IdleInput.DATA:
            return await connection.read()
        if idle_input is IdleInput.NONE:
            self._record_true(attempt, doubt)
        elif doubt.earlier is not None:
            raise ConnectionLostError("the connection ended behind an answer that may be a copy")
        return b""

    def _record_true(self, attempt: Attempt, doubt: _Doubt) -> None:
        """Record that a doubtful response was the answer to its request."""
        if doubt.earlier is not None:
            self._records.record_repetition(doubt.earlier.class_index)
        time = UnprovenTime(attempt.exchange.class_index, attempt.answer_time_ms)
        self._records.add_proven_time(attempt.address, time)
        attempt.is_time_known = True

    def may_believe(self, attempt: Attempt, connection: Connection, parser: http1.ResponseParser) -> bool:
        """Return whether a response that is followed by further bytes is the answer to this request.

        On a reused connection the bytes behind it may be the true answer, unless they repeat it.
        """
        extra_bytes = parser.take_extra_bytes()
        self.record_stray(attempt.address, connection, 0.0, "behind an answer", attempt.exchange)
        connection.close(CloseReason.STRAY_ANSWER)
        if not attempt.is_on_reused_connection or not http1.may_begin_response(extra_bytes):
            return True
        extra = http1.ResponseParser(self._max_body)
        try:
            extra.feed(extra_bytes)
        except http1.MessageError:
            return False
        return extra.complete and extra.content_digest() == parser.content_digest()

    def confirm_answers(self, address: Address, connection: Connection) -> None:
        """Record that a connection has rested so long that no answer to an earlier request is outstanding."""
        for time in connection.unproven_times:
            self._records.add_proven_time(address, time)
        connection.unproven_times.clear()

    def remember(self, attempt: Attempt, connection: Connection, digest: int, has_body: bool) -> None:
        connection.last_answer_at = attempt.answered_at
        class_index = attempt.exchange.class_index
        if not attempt.is_on_reused_connection:
            self._records.add_first_time(class_index, attempt.answer_time_ms)
        elif not attempt.is_time_known:
            connection.unproven_times.append(UnprovenTime(class_index, attempt.answer_time_ms))
            del connection.unproven_times[:-MAX_UNPROVEN_TIMES]
        if has_body:
            answer = CarriedAnswer(self._clock(), class_index, attempt.exchange.request.target)
            connection.answers.add(digest, answer)
            self._records.add_answer(class_index, digest, connection.number)

    def record_stray(
        self, address: Address, connection: Connection, late_ms: float, where: str, exchange: Exchange | None
    ) -> None:
        """Count, log and remember an answer that no request asked for."""
        self._counters.stray_answers += 1
        self._guard.record_stray(address, late_ms, self._clock())
        self._report_event(
            "stray_answer",
            server=address.hex(),
            connection=connection.number,
            carried=connection.requests_carried,
            where=where,
            late_ms=round(late_ms, 1),
            request=None if exchange is None else exchange.call_info.id,
        )
