"""Writes final responses to the application's connections."""

from larkcrank.protocol import http1
from larkcrank.routing.exchange import BufferedResponse, Exchange, StreamedResponse
from larkcrank.routing.life import Lifecycle
from larkcrank.routing.sessions import ClientSession
from larkcrank.transport.closing import ClientCloseReason
from larkcrank.transport.connection import Connection, ConnectionLostError
from larkcrank.transport.descriptors import DescriptorBudget
from larkcrank.transport.memory import REQUEST_BYTES, SMALL_READ_BYTES, MemoryAccount, Pressure

# A client that has read nothing of a long response for this time is disconnected.
CLIENT_WRITE_TIMEOUT_S = 20.0


class ClientStoppedReadingError(ConnectionLostError):
    """The client has not read any of its response for too long."""


class ResponseWriter:
    """Writes responses in the framing that suits the client, and tells which connections close afterwards."""

    def __init__(self, lifecycle: Lifecycle, descriptors: DescriptorBudget, memory: MemoryAccount) -> None:
        self._lifecycle = lifecycle
        self._descriptors = descriptors
        self._memory = memory

    async def write(
        self,
        session: ClientSession,
        request: http1.Request,
        exchange: Exchange,
        response: BufferedResponse | StreamedResponse,
    ) -> bool:
        """Write a final response. Returns whether the connection stays open."""
        if isinstance(response, StreamedResponse):
            return await self._write_streamed(session, request, exchange, response)
        return await self.write_buffered(
            session, request, response.status, response.header_lines, response.body
        )

    async def write_buffered(
        self,
        session: ClientSession,
        request: http1.Request,
        status: int,
        header_lines: tuple[bytes, ...],
        body: bytes,
    ) -> bool:
        """Write a response whose body is complete. Returns whether the connection stays open."""
        close_after = self._should_close(session, request)
        response_text = http1.encode_response(
            status, header_lines, body, close_after, announce_keep_alive=request.is_http10
        )
        # While a response is written, it is held instead of its request. Short ones are soon written.
        if len(response_text) > SMALL_READ_BYTES:
            session.request_memory.resize(REQUEST_BYTES + len(body) + len(response_text))
        await self._write_bytes(session.connection, response_text)
        return not close_after

    async def _write_streamed(
        self,
        session: ClientSession,
        request: http1.Request,
        exchange: Exchange,
        response: StreamedResponse,
    ) -> bool:
        close_after = self._should_close(session, request)
        session.request_memory.resize(REQUEST_BYTES)
        connection = session.connection
        chunked = response.content_length is None and not request.is_http10
        framing = (
            b"" if response.content_length is None else http1.content_length_line(response.content_length)
        )
        if chunked:
            framing = http1.CHUNKED_LINE
        # HTTP/1.0 has no chunked encoding, so closing the connection marks the end of the body.
        close_after = close_after or not framing
        # After an early answer, the task that still reads the upload notices the end of the connection.
        if not session.answered_early:
            connection.start_read(SMALL_READ_BYTES).add_done_callback(
                lambda _: connection.closed and exchange.abandon()
            )
        head = http1.encode_response_head(
            response.status,
            response.header_lines,
            framing,
            close_after,
            announce_keep_alive=request.is_http10,
        )
        await self._write_bytes(connection, head)
        while (part := await exchange.next_stream_part()) is not None:
            if part:
                text = http1.encode_chunk(part) if chunked else part
                del part  # Not held besides its chunk while a slow client reads that.
                await self._write_bytes(connection, text)
        if exchange.stream_broken:
            session.close_reason = ClientCloseReason.BROKEN_RESPONSE
            connection.abort()  # The client can tell that the body is incomplete, whatever its framing.
            return False
        if chunked:
            await self._write_bytes(connection, http1.encode_chunk(b""))
        return not close_after

    @staticmethod
    async def _write_bytes(connection: Connection, data: bytes) -> None:
        """Write to a client, which must take some of the data within each `CLIENT_WRITE_TIMEOUT_S`."""
        try:
            await connection.write_to_reader(data, CLIENT_WRITE_TIMEOUT_S)
        except TimeoutError:
            raise ClientStoppedReadingError("the client stopped reading the response") from None

    def _should_close(self, session: ClientSession, request: http1.Request) -> bool:
        """Whether the connection closes after this response: the client or the lifecycle asks for it, an
        upload was answered early, or another connection needs its descriptor or its memory.
        """
        must_close = (
            self._lifecycle.closes_connections
            or self._descriptors.has_waiters
            or self._memory.pressure is Pressure.EXHAUSTED
        )
        return must_close or session.answered_early or not request.keep_alive
