"""Reads bodies that are forwarded while they are received."""

import asyncio
import math
from collections.abc import Callable
from functools import partial
from typing import Protocol

from larkcrank.protocol import http1
from larkcrank.routing.exchange import Exchange, Upload
from larkcrank.routing.sessions import ClientSession
from larkcrank.transport.closewatch import CloseWatcher
from larkcrank.transport.closing import PauseReason
from larkcrank.transport.connection import ConnectionLostError
from larkcrank.transport.memory import MEDIUM_READ_BYTES, SMALL_READ_BYTES, MemoryAccount, Pressure

# While reading is paused, so often it is checked whether the client has sent everything.
ARRIVAL_CHECK_INTERVAL_S = 0.05
MAX_PEEKED_BYTES = 64 * 1024
# A read that waits for longer waits for the client, not for what it had sent before on its way.
CLIENT_WAIT_S = 0.05


class UploadHandler(Protocol):
    """The interface to which the progress of a body is passed."""

    def complete_upload(self, exchange: Exchange) -> None: ...
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
        parser = session.parser
        try:
            if parser.expects_continue:
                await session.connection.write(http1.CONTINUE_RESPONSE)
            while parser.is_streaming:
                await self._read_upload_part(session, upload)
                if parser.is_streaming and upload.is_full:
                    on_close = partial(self._handler.handle_client_gone, exchange)
                    with self._close_watch.watch(session.connection, on_close):
                        await self._pause_reading(session, exchange, upload)
            session.uploading_exchange = None
            upload.finish(complete=True)
            self._handle_last_byte(exchange, session.data_arrived_at - session.paused_ms)
        except (ConnectionLostError, http1.MessageError):
            upload.finish(complete=False)
            raise

    async def _read_upload_part(self, session: ClientSession, upload: Upload) -> None:
        loop, parser = asyncio.get_running_loop(), session.parser
        read_size = read_size_for(parser, self._memory)
        started_at = loop.time()
        must_wait = not session.connection.start_read(read_size).done()
        data = await session.connection.read(read_size)
        if must_wait and loop.time() - started_at > CLIENT_WAIT_S:
            session.paused_ms = 0.0  # The client did not have the next part ready: the pauses cost nothing.
        parser.feed(data)
        body_part = parser.take_part()
        session.data_arrived_at = self._arrival_time()
        upload.append(body_part)
        session.count_body_bytes(len(data))

    async def _pause_reading(self, session: ClientSession, exchange: Exchange, upload: Upload) -> None:
        """Read nothing until the endpoint has taken what came before. The client's time runs on if it has
        sent everything.
        """
        started_at = asyncio.get_running_loop().time()
        session.reading_paused = True
        is_memory_scarce = self._memory.pressure >= Pressure.HIGH
        self._counters.pause(PauseReason.MEMORY if is_memory_scarce else PauseReason.SLOW_ENDPOINT)
        while upload.is_full:
            if has_sent_everything(session):
                self._handle_last_byte(exchange, self._arrival_time() - session.paused_ms)
            await upload.wait_for_room(ARRIVAL_CHECK_INTERVAL_S)
        session.record_pause(asyncio.get_running_loop().time() - started_at)

    def _handle_last_byte(self, exchange: Exchange, arrived_at: float) -> None:
        """Start the time of a request whose client has sent the last byte. Later calls have no effect."""
        if exchange.deadline < math.inf:
            return
        exchange.arrived_at = arrived_at
        exchange.deadline = min(arrived_at + exchange.client_timeout_ms, self._latest_deadline())
        self._handler.complete_upload(exchange)


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
