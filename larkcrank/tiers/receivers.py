"""The listeners of a tier, and the connections of their receivers: sidecars and other tiers."""

import asyncio
from collections.abc import Callable, Collection
from enum import Enum
from typing import Protocol

from larkcrank.protocol import http1
from larkcrank.tiers import wire
from larkcrank.tiers.gather import ChangeBatcher
from larkcrank.tiers.state import InstanceTable

BATCH_SIZE = 256  # maximum number of receivers answered in one iteration of the event loop
MAX_CACHED_ANSWERS = 64  # of one listener
_CONTENT_TYPE = (b"Content-Type: application/json",)


class ListenerKind(Enum):
    """Whom a listener serves. Each value is a key of the configuration file."""

    SIDECARS = "door"  # answers have published fields only
    CHILD_TIERS = "listen"  # answers have all records
    PARENT_TIER = "own"  # answers have the records that this tier and the tiers below it own


class Listener:
    """One listening address and its connections. Each answer is encoded once for all its receivers."""

    def __init__(
        self,
        name: str,
        kind: ListenerKind,
        services: Collection[str] | None,
        table: InstanceTable,
        batch_interval_s: float,
    ) -> None:
        self.name, self.kind, self.services = name, kind, services
        self.batcher = ChangeBatcher(batch_interval_s)
        self.changed_seq = 0  # sequence number of the last change of a record that this listener serves
        self.receivers: set[Receiver] = set()  # all open connections
        self.waiting: set[Receiver] = set()  # those whose call waits for a change
        self.address: tuple[str, int] = ("", 0)
        self._table = table
        # What the cached responses depend on: generation prefix, sequence number, provisional, stale.
        self._cache_key = (-1, -1, False, False)
        # Whether answers to tiers report stale data: this tier, or one above it, has lost its parent.
        self.reports_stale = False
        self._cache: dict[
            int, bytes
        ] = {}  # by sequence number (-1: none): the response with all later changes
        self._batch: list[Receiver] = []

    @property
    def is_for_sidecars(self) -> bool:
        return self.kind is ListenerKind.SIDECARS

    def delta_response(self, sequence: int, provisional: bool) -> bytes:
        """The response for a receiver that has received all changes up to `sequence`."""
        return self._cached_response(sequence, provisional)

    def full_response(self, provisional: bool) -> bytes:
        """The response with all records."""
        return self._cached_response(-1, provisional)

    @property
    def owners(self) -> Collection[str] | None:
        """The owners whose records are served here; None: all."""
        return self._table.subtree_owners if self.kind is ListenerKind.PARENT_TIER else None

    def held_up_to(self, sequence: int) -> int:
        """The sequence number up to which a receiver of this listener lacks no change; -1: unknown.

        `sequence` is that of its last answer. Changes that this listener does not serve are ignored.
        """
        if sequence < 0 or sequence >= self.changed_seq:
            return self._table.sequence if sequence >= 0 else -1
        table = self._table
        if self.is_for_sidecars:
            missing = [
                record.content_changed_seq for record in table.changes_for_sidecar(self.services, sequence)
            ]
        else:
            missing = [record.changed_seq for record in table.changes_for_tier(sequence, self.owners)]
        return min(missing, default=table.sequence + 1) - 1

    @property
    def is_empty(self) -> bool:
        """Whether a full answer would have no live instance."""
        if self.is_for_sidecars:
            return not self._table.live_records(self.services)
        owners = self.owners
        return not any(
            not record.gone and (owners is None or record.owner in owners) for record in self._table.records()
        )

    def _cached_response(self, sequence: int, provisional: bool) -> bytes:
        table = self._table
        cache_key = (table.generation_prefix, table.sequence, provisional, self.reports_stale)
        if self._cache_key != cache_key or len(self._cache) > MAX_CACHED_ANSWERS:
            self._cache_key = cache_key
            self._cache.clear()
        response = self._cache.get(sequence)
        if response is None:
            response = self._cache[sequence] = self._encode_response(sequence, provisional)
        return response

    def _encode_response(self, sequence: int, provisional: bool) -> bytes:
        table, full = self._table, sequence < 0
        if self.is_for_sidecars:
            records = (
                table.live_records(self.services)
                if full
                else table.changes_for_sidecar(self.services, sequence)
            )
            body = wire.encode_for_sidecar(records, table.generation, full)
        else:
            owners = self.owners
            records = table.changes_for_tier(sequence, owners)
            body = wire.encode_for_tier(
                records,
                table.generation,
                full,
                table.known_versions_of(owners),
                provisional,
                self.reports_stale,
            )
        return http1.encode_response(200, _CONTENT_TYPE, body)


class ReceiverHandler(Protocol):
    """What a receiver's connection uses of the tier: its callbacks, its wait limit and a byte counter."""

    def receiver_opened(self, receiver: "Receiver") -> bool: ...
    def receiver_called(
        self, receiver: "Receiver", after: int | None, wait_ms: int, fields: http1.Fields
    ) -> None: ...
    def receiver_closed(self, receiver: "Receiver") -> None: ...
    def receiver_blocked(self, receiver: "Receiver", is_blocked: bool) -> None: ...

    max_wait_ms: int
    bytes_out: int


class Receiver(asyncio.Protocol):
    """A connection of a sidecar or tier that fetches the list, and the sequence number that it holds."""

    __slots__ = (
        "_handler",
        "_loop",
        "_parser",
        "has_called",
        "idle_since",
        "is_calling",
        "is_tier",
        "listener",
        "sequence",
        "timer",
        "transport",
    )

    def __init__(self, handler: ReceiverHandler, listener: Listener, loop: asyncio.AbstractEventLoop) -> None:
        self._handler, self.listener, self._loop = handler, listener, loop
        self._parser: http1.RequestParser | None = None
        self.transport: asyncio.Transport | None = None
        # Whether a call awaits its response, and whether there has been any call.
        self.is_calling = self.has_called = False
        self.sequence = -1  # the peer has received all changes up to this one; -1: unknown
        self.is_tier = False  # whether the peer is a tier, not a sidecar
        self.idle_since = loop.time()  # time of the last call or response
        self.timer: asyncio.TimerHandle | None = None

    @property
    def peer(self) -> str:
        """The peer's address as host:port; `?` if it is not connected."""
        address = self.transport.get_extra_info("peername") if self.transport is not None else None
        return "{}:{}".format(*address[:2]) if address else "?"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)
        if not self._handler.receiver_opened(self):
            transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.stop_timer()
        self._handler.receiver_closed(self)
        self.transport = None

    def pause_writing(self) -> None:
        self._handler.receiver_blocked(self, True)

    def resume_writing(self) -> None:
        self._handler.receiver_blocked(self, False)

    def data_received(self, data: bytes) -> None:
        parser = self._parser or http1.RequestParser(max_body_bytes=0)
        try:
            parser.feed(data)
            request = parser.next()
            if self.is_calling or (request is not None and parser.has_partial_request):
                raise http1.MessageError(400, "a call while one is under way")
        except http1.MessageError as error:
            self.send_error(error.status, close=True)
            return
        self._parser = parser if request is None else None  # saves memory: most connections are idle
        if request is None:
            return
        call = wire.parse_list_target(request.target, self._handler.max_wait_ms)
        if request.method != b"GET":
            self.send_error(405, close=True)
        elif call is None:
            self.send_error(404)
        else:
            self.is_calling = self.has_called = True
            self.idle_since = self._loop.time()
            self._handler.receiver_called(self, *call, request.fields)

    def send(self, response: bytes, close: bool = False) -> None:
        """Send a response, which ends the current call."""
        self.stop_timer()
        self.is_calling = False
        if self.transport is None:
            return
        self.idle_since = self._loop.time()
        self.transport.write(response)
        self._handler.bytes_out += len(response)
        if close:
            self.transport.close()

    def send_error(self, status: int, close: bool = False) -> None:
        """Answer the current call with an error status and no body."""
        self.listener.waiting.discard(self)
        header_lines = (b"Retry-After: 1",) if status == 503 else ()
        self.send(http1.encode_response(status, header_lines, b"", close=close), close)

    def abort(self) -> None:
        """Close the connection at once, without sending what is buffered."""
        if self.transport is not None:
            self.transport.abort()

    def start_timer(self, at: float, callback: "Callable[[Receiver], None]") -> None:
        """Call `callback` with this receiver at the given loop time; replaces an earlier timer."""
        self.stop_timer()
        self.timer = self._loop.call_at(at, callback, self)

    def stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
