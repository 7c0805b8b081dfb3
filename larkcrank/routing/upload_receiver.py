"""Reads bodies that are forwarded while they are received."""

import asyncio
import math
from collections.abc import Callable
from functools import partial
from typing import Protocol

from larkcrank.protocol import http1
from larkcrank.routing.exchange import Exchange, Upload
from larkcrank.routing.last_byte_clock import LastByteClock
from larkcrank.routing.sessions import ClientSession
from larkcrank.transport.closewatch import CloseWatcher
from larkcrank.transport.closing import PauseReason
from larkcrank.transport.connection import ConnectionLostError, largest_send_buffer
from larkcrank.transport.memory import MEDIUM_READ_BYTES, SMALL_READ_BYTES, MemoryAccount, Pressure

# While reading is paused, so often it is checked whether the client has sent everything.
ARRIVAL_CHECK_INTERVAL_S = 0.05
MAX_PEEKED_BYTES = 64 * 1024
# A read that waits for longer waits for the client, not for what it had sent before on its way.
CLIENT_WAIT_S = 0.05


class UploadHandler(Protocol):
    """The interface to which the progress of a body is passed."""

    def complete_upload(self, exchange: Exchange) -> None: ...
    def expire_upload(self, exchange: Exchange) -> None: ...
    def handle_client_gone(self, exchange: Exchange) -> None: ...


class PauseCounters(Protocol):
    """Counters that reading bodies increments."""

    def pause(self, reason: PauseReason) -> None: ...


class UploadReceiver:
    """Reads the bodies of uploads from their clients."""

    def __init__(
        self,
        handler: UploadHandler,
        memory: MemoryAccount,
        arrival_time: Callable[[], float],
        latest_deadline: Callable[[], float],
        close_watch: CloseWatcher,
        counters: PauseCounters,
    ) -> None:
        """`arrival_time` returns when data that is read now arrived at the earliest, `latest_deadline` when
        every request must have ended, both in ms.
        """
        self._handler = handler
        self._memory = memory
        self._arrival_time = arrival_time
        self._latest_deadline = latest_deadline
        self._close_watch = close_watch
        self._counters = counters

    async def receive(self, session: ClientSession, exchange: Exchange, upload: Upload) -> None:
        """Read the body to its end. The deadline of the request counts from the body's last byte.

        Raises `ConnectionLostError` or `MessageError` if the body is cut short or malformed.
        """
        parser, clock = session.parser, LastByteClock(largest_send_buffer())
        session.all_read_at = exchange.arrived_at
        try:
            if parser.expects_continue:
                await session.connection.write(http1.CONTINUE_RESPONSE)
            while parser.is_streaming:
                await self._read_upload_part(session, upload, clock)
                if parser.is_streaming and upload.is_full:
                    on_close = partial(self._handler.handle_client_gone, exchange)
                    with self._close_watch.watch(session.connection, on_close):
                        await self._pause_reading(session, exchange, upload, clock)
                if clock.is_behind and parser.is_streaming:
                    self._expire_if_due(exchange, clock)
            session.uploading_exchange = None
            upload.finish(complete=True)
            arrived_at = session.data_arrived_at
            self._handle_last_byte(
                exchange, min(arrived_at, clock.earliest_at) if clock.is_behind else arrived_at
            )
        except (ConnectionLostError, http1.MessageError):
            upload.finish(complete=False)
            raise

    async def _read_upload_part(self, session: ClientSession, upload: Upload, clock: LastByteClock) -> None:
        loop, parser = asyncio.get_running_loop(), session.parser
        read_size = read_size_for(parser, self._memory)
        started_at, started_at_ms = loop.time(), self._arrival_time()
        must_wait = not session.connection.start_read(read_size).done()
        data = await session.connection.read(read_size)
        if loop.time() - started_at > CLIENT_WAIT_S:
            if must_wait:
                clock.catch_up()
            else:  # the data was there, and this connection had to wait for its turn
                clock.fall_behind(started_at_ms, session.body_bytes_read)
        if must_wait:
            session.all_read_at = started_at_ms
        parser.feed(data)
        body_part = parser.take_part()
        session.data_arrived_at = self._arrival_time()
        session.count_body_bytes(len(data))
        upload.append(body_part)
        if clock.is_behind:
            observe_input(session, clock, session.data_arrived_at)

    async def _pause_reading(
        self, session: ClientSession, exchange: Exchange, upload: Upload, clock: LastByteClock
    ) -> None:
        """Read nothing until the endpoint has taken what came before. The client's time runs on, unless it
        is known to be still writing.
        """
        session.reading_paused = True
        is_memory_scarce = self._memory.pressure >= Pressure.HIGH
        self._counters.pause(PauseReason.MEMORY if is_memory_scarce else PauseReason.SLOW_ENDPOINT)
        clock.fall_behind(session.all_read_at, session.body_bytes_read)
        while upload.is_full:
            now = self._arrival_time()
            observe_input(session, clock, now)
            if has_sent_everything(session):
                self._handle_last_byte(exchange, min(now, clock.earliest_at))
            self._expire_if_due(exchange, clock)
            await upload.wait_for_room(ARRIVAL_CHECK_INTERVAL_S)
        session.end_pause()

    def _expire_if_due(self, exchange: Exchange, clock: LastByteClock) -> None:
        """Finish the request if its client may have waited for its whole time."""
        if exchange.deadline < math.inf or exchange.closed:
            return
        due_at = min(clock.earliest_at + exchange.client_timeout_ms, self._latest_deadline())
        if self._arrival_time() >= due_at:
            exchange.arrived_at, exchange.deadline = clock.earliest_at, due_at
            self._handler.expire_upload(exchange)

    def _handle_last_byte(self, exchange: Exchange, arrived_at: float) -> None:
        """Start the time of a request whose client has sent the last byte. Later calls have no effect."""
        if exchange.deadline < math.inf:
            return
        exchange.arrived_at = arrived_at
        exchange.deadline = min(arrived_at + exchange.client_timeout_ms, self._latest_deadline())
        self._handler.complete_upload(exchange)


def observe_input(session: ClientSession, clock: LastByteClock, now: float) -> None:
    """Tell the clock how much of the body has come, and whether more could have."""
    connection, bytes_left = session.connection, session.parser.body_bytes_left
    unread_bytes = connection.unread_bytes()
    missing_bytes = None if bytes_left is None else bytes_left - unread_bytes
    received_bytes = session.body_bytes_read + unread_bytes
    clock.observe(now, received_bytes, missing_bytes, connection.is_receive_window_open())


def read_size_for(parser: http1.RequestParser, memory: MemoryAccount) -> int:
    """Return how much to read at once. A head is short; chunks take long to parse for their size."""
    if not parser.has_body_ahead:
        return SMALL_READ_BYTES
    read_size = memory.read_size
    return read_size if parser.has_sized_body else min(read_size, MEDIUM_READ_BYTES)


def has_sent_everything(session: ClientSession) -> bool:
    """Return whether the kernel has received the rest of the request's body."""
    unread_bytes = session.connection.unread_bytes()
    bytes_left = session.parser.body_bytes_left
    if bytes_left is not None:
        return unread_bytes >= bytes_left
    # Whether chunks end here can only be guessed.
    return 0 < unread_bytes <= MAX_PEEKED_BYTES and session.connection.peek(MAX_PEEKED_BYTES).endswith(
        http1.LAST_CHUNK
    )
