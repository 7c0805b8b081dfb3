"""One request taken, and the only place where client side and server side meet."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from larkcrank.protocol import http1
from larkcrank.protocol.platform import Call

PARTS_HELD = 4  # of a stream, while the client is slow to take them


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


@dataclass(slots=True, eq=False)
class Exchange:
    """A request from its last byte in to its last byte out.

    The client side makes it and waits; the server side answers it, through the driver. Whatever
    comes after the first answer is dropped.
    """

    id: int
    cls: int
    call: Call
    request: http1.Request
    came_at: float
    deadline: float
    streaming: bool
    tenant: int = 0
    attempts: int = 0
    written: int = 0  # attempts whose last byte was handed over
    closed: bool = False  # it has its final answer, or the client has gone
    _first: asyncio.Future[Answer | StreamAnswer] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    _parts: deque[bytes | None] = field(default_factory=deque)
    _moved: asyncio.Event = field(default_factory=asyncio.Event)
    broken: bool = False  # a stream that could not be finished
    on_left: Callable[[], None] | None = None  # while a stream is under way

    # Server side

    def answer(self, status: int, lines: Iterable[bytes], body: bytes) -> bool:
        """Give the final answer; False where there is one already."""
        return self._close(Answer(status, tuple(lines), body))

    def begin_stream(self, status: int, lines: Iterable[bytes]) -> bool:
        return self._close(StreamAnswer(status, tuple(lines)))

    def _close(self, answer: Answer | StreamAnswer) -> bool:
        if self.closed:
            return False
        self.closed = True
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
        self.closed = True
        self._first.cancel()
        return True
