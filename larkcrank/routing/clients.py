"""The client side: reads requests from the application's connections and writes responses to them."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager
from enum import Enum
from functools import partial
from typing import Any, Protocol

from larkcrank.core.interface import Effect, Settings
from larkcrank.protocol import http1, platform
from larkcrank.routing.exchange import BufferedResponse, Exchange, StreamedResponse, Upload
from larkcrank.routing.idle_sessions import IdleSessions
from larkcrank.routing.life import Lifecycle
from larkcrank.routing.request_check import RequestCheck
from larkcrank.routing.request_ids import RequestIds
from larkcrank.routing.response_writer import ClientStoppedReadingError, ResponseWriter
from larkcrank.routing.sessions import ClientSession
from larkcrank.routing.upload_receiver import PauseCounters, UploadHandler, UploadReceiver, read_size_for
from larkcrank.transport.closewatch import CloseWatcher
from larkcrank.transport.closing import ClientCloseReason
from larkcrank.transport.connection import Connection, ConnectionLostError
from larkcrank.transport.descriptors import DescriptorBudget, SocketUse
from larkcrank.transport.memory import (
    REQUEST_BYTES,
    SMALL_READ_BYTES,
    MemoryAccount,
    Pressure,
)
from larkcrank.transport.turns import MESSAGE_UNITS

# Time limit for receiving a request head; for the first request of a connection it starts when the connection
# is accepted. After the head, `sessions.REQUEST_PROGRESS_BYTES` of the body, or its end, must arrive within
# each further interval of this length. Time during which reading from the client is paused does not count.
REQUEST_PROGRESS_TIMEOUT_S = 2.4
# How long the rest of a body is read and dropped after an early response. A client may read the response only
# after it has written the whole body.
DISCARD_BODY_TIMEOUT_S = 10.0
# Idle time for which a connection that has had a response stays open, unless descriptors run out.
MIN_KEEPALIVE_S = 2.0
# Fraction of the clients' descriptors in use below which idle connections are not closed, since they cost
# nothing then.
IDLE_CLOSE_THRESHOLD = 0.5
# Limits on how long, and how much, is still read after an error response. The client may still be sending,
# and closing a connection with unread input would discard the response.
LINGER_TIMEOUT_S = 0.3
MAX_LINGER_BYTES = 1 << 20
SWEEP_INTERVAL_S = 0.2
RETRY_AFTER_MS = 500.0  # told to clients whose requests do not fit into memory


class RefusalReason(Enum):
    """Why a request was refused before it was taken. The values are texts of responses."""

    TOO_MANY_REQUESTS = "too many requests in hand"
    MEMORY = "too little memory"
    NO_CLAIM = "another process does not answer"


class _RefusedError(http1.MessageError):
    """The request is refused although it has not arrived whole."""

    def __init__(self, reason: RefusalReason) -> None:
        super().__init__(503, reason.value)
        self.reason = reason


class RequestHandler(UploadHandler, Protocol):
    """The interface to which the client side passes requests."""

    def is_full(self) -> bool: ...
    def next_request_id(self) -> int: ...
    def start_request(self, exchange: Exchange) -> None: ...


class ClientCounters(PauseCounters, Protocol):
    """Counters that the client side increments."""

    connections: int
    bad_requests: int
    crashed: int

    def turn_away(self, reason: RefusalReason) -> None: ...

    def close_client(self, reason: ClientCloseReason) -> None: ...


class ClientConnections:
    """Serves the application's connections, handling one request at a time on each."""

    def __init__(
        self,
        settings: Settings,
        request_handler: RequestHandler,
        lifecycle: Lifecycle,
        arrival_time: Callable[[], float],
        descriptors: DescriptorBudget,
        memory: MemoryAccount,
        max_body: int,
        counters: ClientCounters,
        report_failure: Callable[[str, BaseException], None],
    ) -> None:
        self._request_handler = request_handler
        self._lifecycle = lifecycle
        self._arrival_time = arrival_time
        self._counters = counters
        self._report_failure = report_failure
        self._request_check = RequestCheck(
            settings, memory, request_handler.next_request_id, lambda: lifecycle.latest_deadline
        )
        self._retry_after_ms = (
            min(settings.max_retry_after_ms, RETRY_AFTER_MS) if settings.retry_after else 0.0
        )
        self._sessions: dict[Connection, ClientSession] = {}
        self._idle = IdleSessions()
        self.request_ids = RequestIds(memory, _longest_effect_s(settings))
        # Asks another process of this sidecar whether an id may be taken; None if there is none. Raises
        # `TimeoutError` if that process does not answer.
        self.claim_id: Callable[[str], Awaitable[bool]] | None = None
        self._close_watch = CloseWatcher()
        self._upload_receiver = UploadReceiver(
            request_handler,
            memory,
            arrival_time,
            lambda: lifecycle.latest_deadline,
            self._close_watch,
            counters,
        )
        self._writer = ResponseWriter(lifecycle, descriptors, memory)
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._descriptors = descriptors
        self._memory = memory
        self._max_body = max_body
        descriptors.register_evictor(SocketUse.CLIENT, self._idle.evict, self._idle.longest_idle_since)

    @property
    def open_count(self) -> int:
        """The number of open client connections."""
        return len(self._sessions)

    def accept(self, connection: Connection) -> None:
        """Start serving a connection that was just accepted."""
        session = ClientSession(connection, self._max_body, self._memory)
        self._sessions[connection] = session
        self._counters.connections += 1
        loop = asyncio.get_running_loop()
        session.task = loop.create_task(self._serve(session))
        if self._sweep_timer is None:
            self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def close_idle(self, min_idle_s: float = 0.0) -> int:
        """Close the connections that have been idle for at least `min_idle_s`. Returns how many connections
        stay open.

        `min_idle_s` leaves time for a request that is still on the network: the first one on a connection
        just accepted, or the next one after a response.
        """
        now = asyncio.get_running_loop().time()
        for session in list(self._sessions.values()):
            if now - session.last_progress_at >= min_idle_s and session.is_idle():
                session.close(ClientCloseReason.SHUTDOWN)
        return sum(not session.connection.closed for session in self._sessions.values())

    def refuse_partial_requests(self) -> None:
        """Refuse the requests that have not arrived whole and are not forwarded yet, and close them."""
        for session in list(self._sessions.values()):
            if session.parser.has_partial_request and not (session.has_active_request or session.lingering):
                session.close_reason = ClientCloseReason.SHUTDOWN
                session.connection.write_and_close(
                    http1.encode_response(503, self._retry_after_lines(), b"shutting down", close=True)
                )

    def abort_all(self) -> None:
        """Abort every connection. A client can tell that a response cut off this way is incomplete."""
        for session in self._sessions.values():
            session.close_reason = ClientCloseReason.SHUTDOWN
            session.connection.abort()
            if session.task is not None:
                session.task.cancel()

    def _sweep(self) -> None:
        """Close connections that stay silent or leave a request incomplete for too long, so that a flood of
        such clients cannot use up the descriptors.
        """
        now = asyncio.get_running_loop().time()
        for session in list(self._sessions.values()):
            if (
                (session.has_active_request and not session.is_body_due)
                or session.lingering
                or self._idle.is_served(session)
            ):
                continue
            if now - session.last_progress_at < REQUEST_PROGRESS_TIMEOUT_S:
                continue
            if session.parser.has_partial_request:
                self._counters.bad_requests += 1
                session.close_reason = ClientCloseReason.SILENT
                session.connection.write_and_close(
                    _error_response(http1.MessageError(408, "request not whole in time"))
                )
            elif session.connection.is_idle():
                session.close(ClientCloseReason.IDLE_TIME)
        self._close_spare_connections(now)
        self._sweep_timer = (
            asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep) if self._sessions else None
        )

    def _close_spare_connections(self, now: float) -> None:
        """Close idle connections while descriptors or memory are short."""
        idle_since, reason = now - MIN_KEEPALIVE_S, ClientCloseReason.IDLE_TIME
        while self._descriptors.used_share(
            SocketUse.CLIENT
        ) > IDLE_CLOSE_THRESHOLD and self._idle.close_served_since(idle_since, reason):
            pass
        while self._memory.pressure >= Pressure.HIGH and self._idle.evict(ClientCloseReason.MEMORY):
            pass

    async def _serve(self, session: ClientSession) -> None:
        connection = session.connection
        try:
            try:
                await self._serve_requests(session)
                return
            except ClientStoppedReadingError:
                session.close_reason = ClientCloseReason.STOPPED_READING
                return
            except http1.MessageError as error:
                # Its traceback would keep what was parsed until the connection closes.
                rejection = error.with_traceback(None)
            if isinstance(rejection, _RefusedError):
                session.close_reason = ClientCloseReason.REFUSED_UNREAD
                await self._refuse_unread(session, rejection.reason)
            else:
                session.close_reason = ClientCloseReason.INVALID_REQUEST
                await self._send_error(session, rejection)
        except ConnectionLostError:
            pass
        except Exception as error:
            self._counters.crashed += 1
            self._report_failure("client connection", error)
        finally:
            connection.close()
            self._counters.close_client(session.close_reason)
            session.release_memory()
            self._idle.remove(session)
            self._sessions.pop(connection, None)

    async def _serve_requests(self, session: ClientSession) -> None:
        """Answer requests until one is the last on its connection."""
        keep_open = True
        while keep_open:
            request = await self._read_request(session)
            keep_open = await self._handle_request(session, request)
            if session.connection.must_take_turn(MESSAGE_UNITS):
                await session.connection.take_turn(MESSAGE_UNITS)
            session.has_served, session.last_progress_at = True, asyncio.get_running_loop().time()
        if session.close_reason is ClientCloseReason.CLOSED_BY_PEER:
            session.close_reason = ClientCloseReason.LAST_RESPONSE

    async def _read_request(self, session: ClientSession) -> http1.Request:
        """Read the next request, marking the session as idle until its first byte arrives."""
        parser, connection = session.parser, session.connection
        has_head = False
        while (request := parser.next()) is None:
            self._reserve_partial_request(session)
            if parser.awaits_body and not has_head:
                has_head = True
                session.mark_progress()
            if parser.expects_continue:
                parser.expects_continue = False
                await connection.write(http1.CONTINUE_RESPONSE)
            if parser.has_partial_request:
                await self._read_some(session)
                continue
            self._idle.add(session)
            await self._read_some(session)
            self._idle.remove(session)
            if session.has_served:
                session.last_progress_at = asyncio.get_running_loop().time()
        return request

    def _reserve_partial_request(self, session: ClientSession) -> None:
        """Count what a request that is arriving takes. Raises `_RefusedError` if it does not fit."""
        byte_count = session.parser.held_bytes
        session.request_memory.resize(byte_count)
        if byte_count > SMALL_READ_BYTES and not self._memory.admits(0, has_body=True):
            raise _RefusedError(RefusalReason.MEMORY)

    async def _read_some(self, session: ClientSession) -> None:
        had_head = session.parser.awaits_body
        data = await session.connection.read(read_size_for(session.parser, self._memory))
        session.parser.feed(data)
        session.data_arrived_at = self._arrival_time()
        if had_head:  # The data read belongs to the body.
            session.count_body_bytes(len(data))

    async def _handle_request(self, session: ClientSession, request: http1.Request) -> bool:
        """Respond to one request. Returns False if the connection closes afterwards."""
        session.has_active_request = True
        try:
            return await self._respond(session, request)
        finally:
            session.has_active_request = False
            session.request_memory.release()

    async def _respond(self, session: ClientSession, request: http1.Request) -> bool:
        if platform.is_ready_check(request):
            status = 200 if self._lifecycle.is_ready else 503
            return await self._writer.write_buffered(session, request, status, (), b"")
        # An invalid request raises MessageError, which closes the connection.
        exchange = self._request_check.create_exchange(request, session, self.request_ids)
        if (reason := self._reason_to_turn_away(session, request)) is not None:
            return await self._turn_away(session, request, exchange, reason)
        request_id, is_safe = exchange.call_info.id, exchange.effect is Effect.SAFE
        self.request_ids.begin(request_id, is_shared=not is_safe)
        try:
            if not is_safe and self.claim_id is not None:
                try:
                    is_granted = await self.claim_id(request_id)
                except TimeoutError:
                    return await self._turn_away(session, request, exchange, RefusalReason.NO_CLAIM)
                if not is_granted:
                    raise http1.MessageError(409, "another process has a request with this Req-Id")
            if exchange.upload is not None:
                return await self._handle_upload(session, request, exchange, exchange.upload)
            self._request_handler.start_request(exchange)
            return await self._await_response(session, request, exchange)
        finally:
            # Ends the exchange if there is no response yet; has no effect after a response.
            self._request_handler.handle_client_gone(exchange)
            may_run_again = is_safe and not exchange.abandoned
            self.request_ids.end(request_id, exchange.written_attempts > 0 and not may_run_again)

    def _reason_to_turn_away(self, session: ClientSession, request: http1.Request) -> RefusalReason | None:
        """Count the memory that a request takes, and return why it is not taken, if it is not."""
        if self._request_handler.is_full():
            return RefusalReason.TOO_MANY_REQUESTS
        has_body = bool(request.body) or not request.is_complete
        session.request_memory.resize(0)
        # A second copy of the body is made to send it.
        byte_count = REQUEST_BYTES + request.held_bytes + len(request.body)
        if not self._memory.admits(byte_count, has_body):
            return RefusalReason.MEMORY
        session.request_memory.resize(byte_count)
        return None

    async def _turn_away(
        self, session: ClientSession, request: http1.Request, exchange: Exchange, reason: RefusalReason
    ) -> bool:
        """Refuse a request that was read. Returns whether the connection stays open."""
        if exchange.upload is not None:
            exchange.upload.release()
            raise _RefusedError(reason)
        self._counters.turn_away(reason)
        request.release()
        return await self._writer.write_buffered(
            session, request, 503, self._retry_after_lines(), reason.value.encode()
        )

    async def _handle_upload(
        self, session: ClientSession, request: http1.Request, exchange: Exchange, upload: Upload
    ) -> bool:
        """Handle a request whose body is forwarded while it is received. The response may be written before
        the body ends; the rest of the body is then read and dropped. Returns whether the connection
        stays open.
        """
        session.uploading_exchange, session.body_bytes_read = exchange, 0
        session.mark_progress()
        upload_task = asyncio.get_running_loop().create_task(
            self._upload_receiver.receive(session, exchange, upload)
        )
        try:
            self._request_handler.start_request(exchange)
            response_future = exchange.response_future()
            awaited: set[asyncio.Future[Any]] = {response_future, upload_task}
            await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
            if upload_task.done():
                upload_task.result()
                return await self._await_response(session, request, exchange)
            # The response closes the connection, since what the client sends next cannot be told from the
            # rest of the body.
            session.answered_early = True
            await self._writer.write(session, request, exchange, _completed_response(response_future))
            # Some clients read the response only after they have written the whole body. Closing now would
            # discard the response before such a client reads it.
            await asyncio.wait((upload_task,), timeout=DISCARD_BODY_TIMEOUT_S)
            return False
        finally:
            upload.release()
            session.uploading_exchange = None
            # If the upload task is still running, it ends when the connection closes.
            upload_task.add_done_callback(_consume_exception)

    def _watch_for_close(self, session: ClientSession, exchange: Exchange) -> AbstractContextManager[None]:
        """Watch for the client disconnecting. While nothing is read from it, only polling the socket can
        tell.
        """
        return self._close_watch.watch(
            session.connection, partial(self._request_handler.handle_client_gone, exchange)
        )

    async def _await_response(
        self, session: ClientSession, request: http1.Request, exchange: Exchange
    ) -> bool:
        """Wait for the response and write it. Meanwhile, read from the client to notice a disconnect. Returns
        whether the connection stays open.
        """
        connection, response_future = session.connection, exchange.response_future()
        while not response_future.done():
            # The client has pipelined its next request. Nothing more is read until this one is answered.
            if session.parser.has_partial_request:
                with self._watch_for_close(session, exchange):
                    await asyncio.wait((response_future,))
                break
            pending_read = connection.start_read(SMALL_READ_BYTES)
            awaited: set[asyncio.Future[Any]] = {response_future, pending_read}
            await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
            if pending_read.done() and not response_future.done():
                await self._read_some(session)
        return await self._writer.write(session, request, exchange, _completed_response(response_future))

    def _retry_after_lines(self) -> tuple[bytes, ...]:
        return (platform.retry_after_line(self._retry_after_ms),) if self._retry_after_ms else ()

    async def _refuse_unread(self, session: ClientSession, reason: RefusalReason) -> None:
        """Refuse a request that was not read to its end, and read and drop the rest. Some clients read the
        response only after they have written the whole request.
        """
        self._counters.turn_away(reason)
        session.parser.discard()
        session.request_memory.release()
        session.lingering, session.last_progress_at = True, asyncio.get_running_loop().time()
        self._idle.add_lingering(session, is_first=False)
        response_text = http1.encode_response(
            503, self._retry_after_lines(), reason.value.encode(), close=True
        )
        try:
            async with asyncio.timeout(DISCARD_BODY_TIMEOUT_S):
                await session.connection.write(response_text)
                session.connection.shutdown_write()
                while True:
                    await session.connection.discard()
        except (ConnectionLostError, TimeoutError):
            pass

    async def _send_error(self, session: ClientSession, error: http1.MessageError) -> None:
        """Respond to an invalid request. Input is read for a while after that, since closing a connection
        with unread input would discard the response.
        """
        self._counters.bad_requests += 1
        connection = session.connection
        # Placed first, so that it is closed before other idle connections when a descriptor is needed.
        session.lingering, session.last_progress_at = True, 0.0
        self._idle.add_lingering(session, is_first=True)
        if not session.parser.has_partial_request and connection.is_idle():
            connection.write_and_close(_error_response(error))
            return
        session.parser.discard()
        session.request_memory.release()
        try:
            async with asyncio.timeout(LINGER_TIMEOUT_S):
                await connection.write(_error_response(error))
                connection.shutdown_write()
                discarded_bytes = 0
                while discarded_bytes < MAX_LINGER_BYTES:
                    discarded_bytes += await connection.discard()
        except (ConnectionLostError, TimeoutError):
            pass


def _longest_effect_s(settings: Settings) -> float:
    """Return for how long a request may still run, or be repeated by its key, after it has ended here."""
    times_ms = (max(request_class.deadline_ms, request_class.window_ms) for request_class in settings.classes)
    return max(times_ms, default=0.0) / 1000.0


def _error_response(error: http1.MessageError) -> bytes:
    return http1.encode_response(error.status, (), str(error).encode(), close=True)


def _completed_response(
    response_future: "asyncio.Future[BufferedResponse | StreamedResponse]",
) -> BufferedResponse | StreamedResponse:
    """Return the response. Raises `ConnectionLostError` if there is none because the server side was the
    first to notice that the client has left.
    """
    if response_future.cancelled():
        raise ConnectionLostError("the client disconnected")
    return response_future.result()


def _consume_exception(task: "asyncio.Task[None]") -> None:
    """Mark a task's exception as retrieved, so that asyncio does not log it."""
    if not task.cancelled():
        task.exception()
