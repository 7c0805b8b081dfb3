"""One request taken, and the only place where client side and server side meet."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from larkcrank.protocol import http1
from larkcrank.protocol.platform import CallInfo
from larkcrank.transport.budget import BufferBudget
from larkcrank.transport.connection import ConnectionLostError

AHEAD = 512 * 1024  # of a body that its endpoint has not taken yet, while memory is plenty
PARTS_HELD = 1  # of a stream, while the client is slow to take them


@dataclass(slots=True, frozen=True)
class Answer:
    """The final answer, whole."""

    status: int
    lines: tuple[bytes, ...]
    body: bytes


@dataclass(slots=True, frozen=True)
class StreamAnswer:
    """The beginning of an answer whose body follows in parts."""

    status: int
    lines: tuple[bytes, ...]
    length: int | None = None  # of the body, where the endpoint told it


class Upload:
    """A long body on its way from the client to an endpoint. The client side adds, an attempt takes.

    The beginning stays held, and can be sent again, until more than `HELD` has passed.
    """

    def __init__(self, beginning: bytes, budget: BufferBudget) -> None:
        self._budget = budget
        self._parts: deque[bytes] = deque()
        self._held = 0
        self._dropped = 0  # parts that are gone
        self._taken = 0  # parts, from the first on, that the present attempt took
        self._moved = asyncio.Event()
        self.whole = False  # its last byte has come
        self.over = False  # nobody takes it any more: what still comes is dropped
        self.broken = False  # the client has gone
        self.put(beginning)

    @property
    def again(self) -> bool:
        """It can be sent from its first byte on."""
        return not self._dropped

    # Client side

    def put(self, data: bytes) -> None:
        if data and not self.over:
            self._parts.append(data)
            self._held += len(data)
            self._budget.reserve(len(data))
            self._drop()
            self._moved.set()

    @property
    def is_full(self) -> bool:
        """No more should be read. What is left unread may hold the last byte, and time runs from that one: so
        an endpoint's delay is made up for here as long as the memory allows it."""
        return (
            self._held > (http1.MAX_BUFFERED_BODY_BYTES if self._budget.is_used_up else AHEAD)
            and not self.over
        )

    async def room(self) -> None:
        while self.is_full:
            self._moved.clear()
            await self._moved.wait()

    def finish(self, whole: bool) -> None:
        self.whole, self.broken = whole, not whole
        self._moved.set()

    def end(self) -> None:
        """Nothing of it is wanted any more; the one place where its bytes are given back."""
        self.over = True
        self._budget.release(self._held)
        self._held = 0
        self._parts.clear()
        self._moved.set()

    # Server side

    def begin(self) -> None:
        """Another attempt takes it from the first byte on."""
        self._taken = 0

    async def next_part(self) -> bytes | None:
        """The next part, None at the end. Raises `ConnectionLostError` where there will be none."""
        while self._taken - self._dropped >= len(self._parts):
            if self.whole and not self.over:
                return None
            if self.broken or self.over:
                raise ConnectionLostError("the body ended before its end")
            self._moved.clear()
            await self._moved.wait()
        part = self._parts[self._taken - self._dropped]
        self._taken += 1
        self._drop()
        return part

    def _drop(self) -> None:
        while self._held > http1.MAX_BUFFERED_BODY_BYTES and self._taken > self._dropped:
            gone = len(self._parts.popleft())
            self._dropped += 1
            self._held -= gone
            self._budget.release(gone)
            self._moved.set()


@dataclass(slots=True, eq=False)
class Exchange:
    """A request from its last byte in (of a long one: its head) to its last byte out.

    The client side makes it and waits; the server side answers it, through the driver. Whatever
    comes after the first answer is dropped.
    """

    id: int
    cls: int
    call: CallInfo
    request: http1.Request
    came_at: float
    deadline: float
    streaming: bool
    tenant: int = 0
    upload: Upload | None = None  # its body, where that passes through
    wait_ms: float = 0.0  # how long the client waits, from the last byte on
    key: int = 0  # its subject, where turns or homes go by it; 0: none
    attempts: int = 0
    written: int = 0  # attempts whose last byte was handed over
    closed: bool = False  # it has its final answer, or the client has gone
    left: bool = False  # the client went before it had one
    _first: asyncio.Future[Answer | StreamAnswer] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    _parts: deque[bytes | None] = field(default_factory=deque)
    _moved: asyncio.Event = field(default_factory=asyncio.Event)
    broken: bool = False  # a stream that could not be finished
    on_left: Callable[[], None] | None = None  # while a stream is under way
    # A look at the client's connection just now: its end may not have been read yet.
    client_ended: Callable[[], bool] = lambda: False

    # Server side

    def answer(self, status: int, lines: Iterable[bytes], body: bytes) -> bool:
        """Give the final answer; False where there is one already."""
        return self._close(Answer(status, tuple(lines), body))

    def begin_stream(self, status: int, lines: Iterable[bytes], length: int | None) -> bool:
        return self._close(StreamAnswer(status, tuple(lines), length))

    def _close(self, answer: Answer | StreamAnswer) -> bool:
        if self.closed:
            return False
        self.closed = True
        if self.upload is not None:
            self.upload.end()
        self._first.set_result(answer)
        return True

    async def add_part(self, data: bytes) -> None:
        """Pass on a part of the stream; waits while the client has enough to take."""
        while len(self._parts) >= PARTS_HELD and not self.broken:
            self._moved.clear()
            await self._moved.wait()
        self._parts.append(data)
        self._moved.set()

    def end_stream(self, whole: bool) -> None:
        self.on_left = None
        self.broken = self.broken or not whole
        self._parts.append(None)
        self._moved.set()

    # Client side

    def first(self) -> "asyncio.Future[Answer | StreamAnswer]":
        return self._first

    async def next_part(self) -> bytes | None:
        """The next part of the stream, None at its end."""
        while not self._parts:
            self._moved.clear()
            await self._moved.wait()
        part = self._parts.popleft()
        self._moved.set()
        return part

    def leave(self) -> bool:
        """The client has gone; False where it has its answer, or a stream's beginning, already."""
        self.broken = True
        self._moved.set()
        if self.on_left is not None:
            self.on_left()  # an endpoint that is silent just now would not notice
        if self.closed:
            return False
        self.closed = self.left = True
        if self.upload is not None:
            self.upload.end()
        self._first.cancel()
        return True
