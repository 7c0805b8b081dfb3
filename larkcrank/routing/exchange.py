"""The state of one request, shared by the client side that received it and the server side that forwards it.
The two sides exchange data only through these objects.
"""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from larkcrank.core.interface import Effect, Result
from larkcrank.protocol import http1
from larkcrank.protocol.platform import CallInfo
from larkcrank.transport.memory import MemoryAccount, MemoryUse

MAX_BUFFERED_STREAM_PARTS = 1  # Parts of a streamed response buffered for a slow client.


@dataclass(slots=True, frozen=True)
class BufferedResponse:
    """A final response whose body is complete."""

    status: int
    header_lines: tuple[bytes, ...]
    body: bytes


@dataclass(slots=True, frozen=True)
class StreamedResponse:
    """The start of a final response whose body follows in parts."""

    status: int
    header_lines: tuple[bytes, ...]
    content_length: int | None = None  # None if the endpoint did not announce it.


class UploadEndedError(Exception):
    """The rest of a body can't be read: it was cut short, is not needed, or another attempt reads it."""


class Upload:
    """A long request body on its way from the client to an endpoint. The client side appends parts; an
    attempt consumes them.

    The start of the body stays buffered, so that it can be sent again, until the buffer exceeds the limit for
    bodies kept in memory, `http1.MAX_BUFFERED_BODY_BYTES`, or what memory allows if that is less.
    """

    def __init__(self, first_part: bytes, memory: MemoryAccount) -> None:
        self._memory = memory
        self._parts: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._dropped_part_count = 0  # Number of parts removed from the buffer.
        self._reader = UploadReader(self)  # That of the current attempt.
        self._changed = asyncio.Event()
        self.complete = False  # Whether the last byte has arrived.
        self.discarded = False  # Whether no attempt needs the body any more; further data is then dropped.
        self.aborted = False  # Whether the client stopped before the end of the body.
        self.append(first_part)

    @property
    def can_resend(self) -> bool:
        """Whether the body can still be sent from its first byte."""
        return not self._dropped_part_count

    # Client side

    def append(self, data: bytes) -> None:
        """Add a part received from the client; ignored if the body is no longer needed."""
        if data and not self.discarded:
            self._parts.append(data)
            self._buffered_bytes += len(data)
            self._memory.reserve(len(data), MemoryUse.UPLOAD)
            self._drop_consumed_parts()
            self._changed.set()

    @property
    def is_full(self) -> bool:
        """Whether reading from the client should pause.

        The deadline of the request counts from the body's last byte, so that byte must be read soon. The body
        is therefore buffered for a slow endpoint as far as memory allows.
        """
        self._drop_consumed_parts()  # memory may have become scarce since the last part came
        return self._buffered_bytes > self._memory.upload_allowance and not self.discarded

    async def wait_for_room(self, timeout_s: float) -> None:
        """Wait until reading from the client may continue, but not longer than `timeout_s`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self.is_full:
                    self._changed.clear()
                    await self._changed.wait()

    def finish(self, complete: bool) -> None:
        """Record that no more parts follow; `complete` tells whether the last byte has arrived."""
        self.complete, self.aborted = complete, not complete
        self._changed.set()

    def release(self) -> None:
        """Drop the body and return its remaining bytes to the budget. Later data is dropped too."""
        self.discarded = True
        self._memory.release(self._buffered_bytes, MemoryUse.UPLOAD)
        self._buffered_bytes = 0
        self._parts.clear()
        self._changed.set()

    # Server side

    def open_reader(self) -> "UploadReader":
        """Return a reader that begins at the first byte. It ends the reader of the attempt before."""
        self.end_reader()
        return self._reader

    def end_reader(self) -> None:
        """End the reader of an attempt, so that parts are kept until the next attempt reads them."""
        self._reader = UploadReader(self)
        self._changed.set()

    async def _read_part(self, reader: "UploadReader") -> bytes | None:
        while True:
            if reader is not self._reader:
                raise UploadEndedError("another attempt reads the request body")
            index = reader.consumed_part_count - self._dropped_part_count
            if index < len(self._parts):
                reader.consumed_part_count += 1
                part = self._parts[index]
                self._drop_consumed_parts()
                return part
            if self.complete and not self.discarded:
                return None
            if self.aborted or self.discarded:
                raise UploadEndedError("the request body was cut short")
            self._changed.clear()
            await self._changed.wait()

    def _drop_consumed_parts(self) -> None:
        """While the buffer exceeds its limit, drop parts that the current attempt has consumed. The body then
        cannot be sent again.
        """
        kept_bytes = min(http1.MAX_BUFFERED_BODY_BYTES, self._memory.upload_allowance)
        while (
            self._buffered_bytes > kept_bytes and self._reader.consumed_part_count > self._dropped_part_count
        ):
            dropped_bytes = len(self._parts.popleft())
            self._dropped_part_count += 1
            self._buffered_bytes -= dropped_bytes
            self._memory.release(dropped_bytes, MemoryUse.UPLOAD)
            self._changed.set()


class UploadReader:
    """Reads the body of an upload for one attempt."""

    def __init__(self, upload: Upload) -> None:
        self._upload = upload
        self.consumed_part_count = 0  # Counted from the first part.

    async def next_part(self) -> bytes | None:
        """Return the next part, or None at the end.

        Raises `UploadEndedError` if the body was cut short or another attempt has begun to read it.
        """
        return await self._upload._read_part(self)


@dataclass(slots=True, eq=False)
class Exchange:
    """The state of a request from its arrival to the last byte of its response.

    It is created once the request has arrived in full or, if the body is forwarded while it is received, once
    the head has arrived. The client side creates it and waits for the response, which the server side or the
    driver sets. Responses after the first are ignored.
    """

    id: int
    class_index: int
    call_info: CallInfo
    request: http1.Request
    arrived_at: float  # In ms of the process clock.
    deadline: float  # In ms of the process clock.
    streaming: bool  # Whether responses of the request's class are streamed.
    tenant_index: int = 0
    effect: Effect = Effect.SAFE
    upload: Upload | None = None  # The body, if it is forwarded while it is still being received.
    client_timeout_ms: float = 0.0  # How long the client waits, counted from the last byte of the request.
    key: int = 0  # The request's subject key, where requests are ordered or routed by it; 0 if there is none.
    is_expired: bool = False  # Whether its deadline has passed, so that no further attempt may begin.
    attempt_count: int = 0  # Number of attempts that the balancer has ordered.
    written_attempts: int = 0  # Number of attempts whose last byte was passed to the kernel.
    last_result: Result | None = None  # How the latest attempt that ended has ended.
    closed: bool = False  # Whether the final response was set or the client has disconnected.
    abandoned: bool = False  # Whether the client disconnected before the final response.
    _response: asyncio.Future[BufferedResponse | StreamedResponse] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    _stream_parts: deque[bytes | None] = field(default_factory=deque)
    _stream_changed: asyncio.Event = field(default_factory=asyncio.Event)
    stream_broken: bool = False  # Whether the streamed response could not be completed.
    on_client_gone: Callable[[], None] | None = None  # Set while a response is being streamed.
    # Checks the client's socket directly, since the end of its data may not have been read yet.
    has_client_ended: Callable[[], bool] = lambda: False

    # Server side

    def respond(self, status: int, header_lines: Iterable[bytes], body: bytes) -> bool:
        """Set the final response. Returns False if there is one already."""
        return self._resolve(BufferedResponse(status, tuple(header_lines), body))

    def begin_stream(self, status: int, header_lines: Iterable[bytes], content_length: int | None) -> bool:
        """Set the start of a streamed final response. Returns False if there is a response already."""
        return self._resolve(StreamedResponse(status, tuple(header_lines), content_length))

    def _resolve(self, response: BufferedResponse | StreamedResponse) -> bool:
        if self.closed:
            return False
        self.closed = True
        self._release_request()
        self._response.set_result(response)
        return True

    async def add_stream_part(self, data: bytes) -> None:
        """Add a part of the stream. Waits while `MAX_BUFFERED_STREAM_PARTS` parts are already buffered."""
        while len(self._stream_parts) >= MAX_BUFFERED_STREAM_PARTS and not self.stream_broken:
            self._stream_changed.clear()
            await self._stream_changed.wait()
        self._stream_parts.append(data)
        self._stream_changed.set()

    def end_stream(self, complete: bool) -> None:
        """End the stream; `complete` tells whether the endpoint sent the whole body."""
        self.on_client_gone = None
        self.stream_broken = self.stream_broken or not complete
        self._stream_parts.append(None)
        self._stream_changed.set()

    # Client side

    def response_future(self) -> "asyncio.Future[BufferedResponse | StreamedResponse]":
        """Return the future of the final response. It is cancelled if the client disconnects first."""
        return self._response

    async def next_stream_part(self) -> bytes | None:
        """Return the next part of the stream, or None at its end."""
        while not self._stream_parts:
            self._stream_changed.clear()
            await self._stream_changed.wait()
        part = self._stream_parts.popleft()
        self._stream_changed.set()
        return part

    def abandon(self) -> bool:
        """Record that the client has disconnected. Returns False if the client already had its response, or
        the start of a streamed one.
        """
        self.stream_broken = True
        self._stream_changed.set()
        if self.on_client_gone is not None:
            # An attempt that is waiting for a silent endpoint would not notice otherwise.
            self.on_client_gone()
        if self.closed:
            return False
        self.closed = self.abandoned = True
        self._release_request()
        self._response.cancel()
        return True

    def _release_request(self) -> None:
        """Free the memory of the request, for which no further attempt may begin."""
        self.request.release()
        if self.upload is not None:
            self.upload.release()
