"""Forwards the response to an attempt to the client side while it arrives."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Protocol

from larkcrank.core.interface import Result
from larkcrank.protocol import http1, platform
from larkcrank.routing.attempt import Attempt
from larkcrank.routing.exchange import Exchange
from larkcrank.transport.closing import CutReason
from larkcrank.transport.connection import Connection, ConnectionLostError
from larkcrank.transport.memory import (
    MEDIUM_READ_BYTES,
    READS_HELD_PER_STREAM,
    MemoryAccount,
    MemoryReservation,
    MemoryUse,
)

# Time without a byte of a streamed response after which its endpoint counts as gone.
STREAM_READ_TIMEOUT_S = 20.0


class RelayCounters(Protocol):
    """Counters that forwarding responses increments."""

    def cut(self, reason: CutReason) -> None: ...


class StreamRelay:
    """Forwards streamed responses, and reads less of them at a time as memory gets scarce."""

    def __init__(
        self,
        memory: MemoryAccount,
        load_fields: tuple[str, ...],
        report_start: Callable[[Attempt], None],
        counters: RelayCounters,
        report_event: Callable[..., None],
    ) -> None:
        self._memory = memory
        self._load_fields = load_fields
        self._report_start = report_start
        self._counters = counters
        self._report_event = report_event

    async def relay(self, attempt: Attempt, connection: Connection, parser: http1.ResponseParser) -> None:
        """Forward a response whose head has arrived, and end the attempt.

        From the first part on, neither the deadline nor the attempt's timeout applies.
        """
        exchange, head = attempt.exchange, parser.head
        if attempt.ended or head is None:
            return
        if not exchange.begin_stream(200, head.fields.forwarded_lines(), head.content_length):
            attempt.end(Result.CANCELLED)
            return
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.response_started = True
        exchange.on_client_gone = partial(attempt.end, Result.CANCELLED)
        self._report_start(attempt)
        attempt.release_response_memory()  # Counted as a stream from now on.
        reservation = MemoryReservation(self._memory, MemoryUse.STREAM)
        cut_reason: CutReason | None = None
        try:
            await self._relay_parts(exchange, connection, parser, reservation)
            if exchange.stream_broken:  # The client has disconnected.
                attempt.end(Result.CANCELLED)
                return
        except ConnectionLostError as error:
            if not error.fin_was_read:
                cut_reason = CutReason.RESET
            elif not parser.handle_clean_close():
                cut_reason = CutReason.EARLY_END
        except TimeoutError:
            cut_reason = CutReason.SILENT
        except http1.MessageError:
            cut_reason = CutReason.MALFORMED
        finally:
            reservation.release()
        exchange.end_stream(complete=cut_reason is None)
        if cut_reason is None:
            attempt.end(Result.OK, platform.read_load_report(head.fields, self._load_fields))
            return
        self._record_cut(attempt, cut_reason)
        attempt.end(Result.RESET)

    def _record_cut(self, attempt: Attempt, reason: CutReason) -> None:
        self._counters.cut(reason)
        self._report_event(
            "answer_cut",
            request=attempt.exchange.call_info.id,
            server=attempt.address.hex(),
            connection=attempt.connection_number,
            reason=reason.value,
        )

    async def _relay_parts(
        self,
        exchange: Exchange,
        connection: Connection,
        parser: http1.ResponseParser,
        reservation: MemoryReservation,
    ) -> None:
        """Return when the response has come whole, or if the client disconnects."""
        while True:
            read_size = self._memory.read_size
            if not parser.has_sized_body:
                read_size = min(read_size, MEDIUM_READ_BYTES)
            part = parser.take_body()
            reservation.resize(READS_HELD_PER_STREAM * read_size + len(part))
            # The first part may be larger than a read; whoever writes a piece holds it more than once.
            for start in range(0, len(part), read_size):
                await exchange.add_stream_part(part[start : start + read_size])
            del part
            if parser.complete or exchange.stream_broken:
                return
            async with asyncio.timeout(STREAM_READ_TIMEOUT_S):
                data = await connection.read(read_size)
            parser.feed(data)
