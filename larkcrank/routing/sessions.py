"""One connection of the application."""

import asyncio

from larkcrank.protocol import http1
from larkcrank.routing.exchange import Exchange
from larkcrank.transport.closing import ClientCloseReason
from larkcrank.transport.connection import Connection
from larkcrank.transport.memory import CONNECTION_BYTES, MemoryAccount, MemoryReservation, MemoryUse

# A client that sends a body must send so many bytes of it, or its end, within each progress timeout.
REQUEST_PROGRESS_BYTES = 16 * 1024


class ClientSession:
    """One connection of the application and the state of the request on it."""

    __slots__ = (
        "all_read_at",
        "answered_early",
        "body_bytes_read",
        "close_reason",
        "connection",
        "connection_memory",
        "data_arrived_at",
        "has_active_request",
        "has_served",
        "last_progress_at",
        "lingering",
        "parser",
        "progress_bytes",
        "reading_paused",
        "request_memory",
        "task",
        "uploading_exchange",
    )

    def __init__(self, connection: Connection, max_body: int, memory: MemoryAccount) -> None:
        self.connection = connection
        self.connection_memory = MemoryReservation(memory, MemoryUse.CONNECTION)
        self.connection_memory.resize(CONNECTION_BYTES)
        self.request_memory = MemoryReservation(memory, MemoryUse.REQUEST)
        self.parser = http1.RequestParser(max_body)
        self.uploading_exchange: Exchange | None = None  # The request whose body is being received.
        self.reading_paused = False  # Whether reading is paused because the upload buffer is full.
        self.answered_early = False  # Whether the request was answered before the end of its body.
        self.body_bytes_read = 0  # of the present upload, as they came
        # When all that had come of it was last seen to be read, in ms.
        self.all_read_at = 0.0
        self.progress_bytes = 0  # Bytes of a body received since `last_progress_at`.
        # True from the last byte of a request received to the last byte of its response sent.
        self.has_active_request = False
        # Whether an error was sent and what the client still sends is read and dropped.
        self.lingering = False
        # Loop time of the last of these: the connection was accepted, a request was answered, a request
        # began, or enough of a body arrived.
        self.last_progress_at = asyncio.get_running_loop().time()
        # Earliest time at which the last data read can have arrived. A pipelined request waits in the
        # socket's buffer.
        self.data_arrived_at = 0.0
        self.close_reason = ClientCloseReason.CLOSED_BY_PEER  # If it is not set before the connection ends.
        self.has_served = False  # Whether at least one request was answered.
        self.task: asyncio.Task[None] | None = None

    @property
    def is_body_due(self) -> bool:
        """Whether the client must send more of a body: its request is incomplete and unanswered, and reading
        is not paused.
        """
        exchange = self.uploading_exchange
        return exchange is not None and not exchange.closed and not self.reading_paused

    def mark_progress(self) -> None:
        """Record that the client has done what was expected of it until now."""
        self.progress_bytes, self.last_progress_at = 0, asyncio.get_running_loop().time()

    def end_pause(self) -> None:
        """Record that reading goes on. Not reading was no fault of the client."""
        self.reading_paused = False
        self.mark_progress()

    def count_body_bytes(self, count: int) -> None:
        """Count bytes of a body that have arrived."""
        self.body_bytes_read += count
        self.progress_bytes += count
        if self.progress_bytes >= REQUEST_PROGRESS_BYTES:
            self.mark_progress()

    def close(self, reason: ClientCloseReason) -> None:
        """Close the connection."""
        self.close_reason = reason
        self.connection.close()

    def release_memory(self) -> None:
        """Drop what has arrived, and stop counting the connection and its request."""
        self.parser.discard()
        self.request_memory.release()
        self.connection_memory.release()

    def is_idle(self) -> bool:
        """Return whether no request is being received or handled and no data is unread."""
        return (
            not self.has_active_request and not self.parser.has_partial_request and self.connection.is_idle()
        )
