"""Those who ask a tier: doors with their answers, and one small protocol a connection."""

import asyncio
from collections.abc import Callable, Collection
from enum import Enum
from typing import Protocol

from larkcrank.protocol import http1
from larkcrank.tiers import wire
from larkcrank.tiers.gather import Gather
from larkcrank.tiers.state import State

SLICE = 256  # receivers answered in one turn of the loop
MOST_CACHED = 64
_JSON = (b"Content-Type: application/json",)


class Kind(Enum):
    PART = "door"  # for sidecars: published fields alone
    WHOLE = "listen"  # for tiers below
    OWN = "own"  # for the tier above: what this tier and those below it own


class Door:
    """One address, what is told there, and who waits for it. Answers are made once and shared."""

    def __init__(
        self, name: str, kind: Kind, services: Collection[str] | None, state: State, gather_s: float
    ) -> None:
        self.name, self.kind, self.services = name, kind, services
        self.gather = Gather(gather_s)
        self.changed = 0  # count at which something that is told here last became another
        self.receivers: set[Receiver] = set()
        self.waiting: set[Receiver] = set()
        self.place: tuple[str, int] = ("", 0)
        self._state = state
        self._cached_at = (-1, -1, False, False)
        self.stale = False  # what is told here may be behind: the tier hears nothing from above
        self._cache: dict[int, bytes] = {}
        self._wave: list[Receiver] = []

    @property
    def is_plain(self) -> bool:
        return self.kind is Kind.PART

    def since(self, count: int, provisional: bool) -> bytes:
        """The answer for one who holds everything up to this count."""
        return self._shared(count, provisional)

    def whole(self, provisional: bool) -> bytes:
        return self._shared(-1, provisional)

    @property
    def owners(self) -> Collection[str] | None:
        return self._state.subtree if self.kind is Kind.OWN else None

    def holds(self, count: int) -> int:
        """Up to which count one holds all that is told here who was last told at `count`."""
        if count < 0 or count >= self.changed:
            return self._state.count if count >= 0 else -1
        state = self._state
        if self.is_plain:
            lacks = [line.altered for line in state.part_since(self.services, count)]
        else:
            lacks = [line.changed for line in state.all_since(count, self.owners)]
        return min(lacks, default=state.count + 1) - 1

    @property
    def is_empty(self) -> bool:
        if self.is_plain:
            return not self._state.part(self.services)
        owners = self.owners
        return not any(
            not line.gone and (owners is None or line.owner in owners) for line in self._state.lines()
        )

    def _shared(self, count: int, provisional: bool) -> bytes:
        state = self._state
        mark = (state.identity, state.count, provisional, self.stale)
        if self._cached_at != mark or len(self._cache) > MOST_CACHED:
            self._cached_at = mark
            self._cache.clear()
        found = self._cache.get(count)
        if found is None:
            found = self._cache[count] = self._make(count, provisional)
        return found

    def _make(self, count: int, provisional: bool) -> bytes:
        state, whole = self._state, count < 0
        if self.is_plain:
            lines = state.part(self.services) if whole else state.part_since(self.services, count)
            body = wire.plain(lines, state.generation, whole)
        else:
            owners = self.owners
            lines = state.all_since(count, owners)
            body = wire.full(lines, state.generation, whole, state.known_of(owners), provisional, self.stale)
        return http1.encode_response(200, _JSON, body)


class Server(Protocol):
    """What a receiver needs of the tier."""

    def opened(self, receiver: "Receiver") -> bool: ...
    def called(self, receiver: "Receiver", after: int | None, wait_ms: int, fields: http1.Fields) -> None: ...
    def closed(self, receiver: "Receiver") -> None: ...
    def slow(self, receiver: "Receiver", is_slow: bool) -> None: ...

    longest_wait_ms: int
    bytes_out: int


class Receiver(asyncio.Protocol):
    """One connection, with what its other end is known to hold."""

    __slots__ = (
        "_loop",
        "_parser",
        "_server",
        "asks",
        "count",
        "door",
        "has_called",
        "is_tier",
        "quiet_since",
        "timer",
        "transport",
    )

    def __init__(self, server: Server, door: Door, loop: asyncio.AbstractEventLoop) -> None:
        self._server, self.door, self._loop = server, door, loop
        self._parser: http1.RequestParser | None = None
        self.transport: asyncio.Transport | None = None
        self.asks = self.has_called = False  # a call is under way; there was one
        self.count = -1  # of generations: everything up to it is held at the other end; -1: not known
        self.is_tier = False  # it sums up sidecars, and is none
        self.quiet_since = loop.time()  # the last call or answer
        self.timer: asyncio.TimerHandle | None = None

    @property
    def peer(self) -> str:
        found = self.transport.get_extra_info("peername") if self.transport is not None else None
        return "{}:{}".format(*found[:2]) if found else "?"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)
        if not self._server.opened(self):
            transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.stop_timer()
        self._server.closed(self)
        self.transport = None

    def pause_writing(self) -> None:
        self._server.slow(self, True)

    def resume_writing(self) -> None:
        self._server.slow(self, False)

    def data_received(self, data: bytes) -> None:
        parser = self._parser or http1.RequestParser(max_body_bytes=0)
        try:
            parser.feed(data)
            request = parser.next()
            if self.asks or (request is not None and parser.has_partial_request):
                raise http1.MessageError(400, "a call while one is under way")
        except http1.MessageError as error:
            self.refuse(error.status, close=True)
            return
        self._parser = parser if request is None else None  # most connections rest: they keep nothing
        if request is None:
            return
        call = wire.asked(request.target, self._server.longest_wait_ms)
        if request.method != b"GET":
            self.refuse(405, close=True)
        elif call is None:
            self.refuse(404)
        else:
            self.asks = self.has_called = True
            self.quiet_since = self._loop.time()
            self._server.called(self, *call, request.fields)

    def answer(self, data: bytes, close: bool = False) -> None:
        self.stop_timer()
        self.asks = False
        if self.transport is None:
            return
        self.quiet_since = self._loop.time()
        self.transport.write(data)
        self._server.bytes_out += len(data)
        if close:
            self.transport.close()

    def refuse(self, status: int, close: bool = False) -> None:
        self.door.waiting.discard(self)
        lines = (b"Retry-After: 1",) if status == 503 else ()
        self.answer(http1.encode_response(status, lines, b"", close=close), close)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def wait(self, at: float, then: "Callable[[Receiver], None]") -> None:
        self.stop_timer()
        self.timer = self._loop.call_at(at, then, self)

    def stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
