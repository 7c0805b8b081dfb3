"""Tells whether a response on a reused connection is the answer to the request that was sent on it."""

import asyncio
from collections.abc import Callable
from typing import Protocol

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
from larkcrank.transport.reuse import ReuseGuard


class CheckCounters(Protocol):
    """Counters that the checks increment."""

    stray_answers: int
    held_answers: int


class ResponseChecker:
    """Checks responses against what their connection has carried, and records stray answers."""

    def __init__(
        self,
        guard: ReuseGuard,
        records: AnswerRecords,
        max_body: int,
        clock: Callable[[], float],
        counters: CheckCounters,
        report_event: Callable[..., None],
    ) -> None:
        self._guard = guard
        self._records = records
        self._max_body = max_body
        self._clock = clock
        self._counters = counters
        self._report_event = report_event

    async def is_stray(self, attempt: Attempt, connection: Connection, parser: http1.ResponseParser) -> bool:
        """Read a response up to its head and, on a reused connection, up to its end if it is short. Return
        whether it is the answer to an earlier request, so that the next one has to be read.
        """
        while parser.head is None:
            parser.feed(await connection.read())
        attempt.answered_at = self._clock()
        is_long = (parser.head.content_length or 0) > http1.MAX_BUFFERED_BODY_BYTES
        if not attempt.is_on_reused_connection or parser.head.status != 200 or is_long:
            return False
        while not parser.complete and parser.buffered_bytes <= http1.MAX_BUFFERED_BODY_BYTES:
            try:
                parser.feed(await connection.read())
            except ConnectionLostError as error:
                if not error.is_clean_close or not parser.handle_clean_close():
                    raise
        if not parser.complete or not attempt.fully_written:
            return False
        earlier = connection.answers.find(parser.content_digest())
        if earlier is not None and self._records.is_copy(earlier, attempt.exchange.request.target):
            late_ms = self._clock() - earlier.arrived_at
            if not self._records.knows_answers:  # only safe requests reuse connections then
                raise ConnectionLostError("the answer may be a copy of an earlier one")
            attempt.skipped_answer = True
            self.record_stray(attempt.address, connection, late_ms, "copy", attempt.exchange)
            return True
        return await self._is_followed_by_another(attempt, connection, parser)

    async def _is_followed_by_another(
        self, attempt: Attempt, connection: Connection, parser: http1.ResponseParser
    ) -> bool:
        """Hold back an answer that came sooner than any before. Return whether another one follows it, so
        that it was not the answer to this request.
        """
        exchange = attempt.exchange
        hold_ms = self._records.hold_ms(attempt.address, exchange.class_index, attempt.answer_time_ms)
        hold_ms = min(hold_ms, attempt.time_left_ms() / 2)
        if hold_ms <= 0.0 or parser.has_extra_bytes:
            return False
        self._counters.held_answers += 1
        await asyncio.wait((connection.start_read(),), timeout=hold_ms / 1000.0)
        idle_input = connection.idle_input()
        if idle_input is not IdleInput.DATA:
            if idle_input is IdleInput.NONE:
                time = UnprovenTime(exchange.class_index, attempt.answer_time_ms)
                self._records.add_proven_time(attempt.address, time)
                attempt.is_time_known = True
            return False
        parser.feed(await connection.read())
        late_ms = attempt.answered_at - connection.last_answer_at
        self.record_stray(attempt.address, connection, late_ms, "too soon", exchange)
        return True

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
