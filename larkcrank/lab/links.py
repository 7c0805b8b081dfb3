"""The links that processes and stand-ins meet through, so that a fault stands between two and in neither.

A link is a listening socket in front of one stand-in for one sidecar. Its far end is an object of the bench:
a second socket would cost a copy more and tell nothing more. Each of the two ways has a `Way`, whose faults
every connection of the link follows. What TCP hides from its user is hidden here too: lost segments come
later (a retransmission's time, doubled for each loss in a row), none come twice or out of order.

A cut is silence. Bytes wait in the link (the sender's side is not read any more, so what waits is bounded by
the kernel's buffers), ends and resets wait behind them, and new connections hang: the listening socket's
backlog is nought and filled by a connection of ours, so the kernel drops what asks to connect.
"""

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Protocol, cast

BACKLOG = 256
LOST_AGAIN_S = 0.2  # Linux's least retransmission time
LOSSES_MOST = 6
SEGMENT = 1460
_RESET = struct.pack("ii", 1, 0)


class Way:
    """One way between two: what befalls that which goes it. Shared by all connections of the pair."""

    def __init__(self, rng: Random) -> None:
        self.cut = self.refuse = False
        self.delay_s = self.jitter_s = 0.0
        self.loss = self.duplicate = self.reorder = 0.0
        self.bytes_per_s = 0.0  # 0: no limit
        self._rng = rng
        self._free_at = 0.0  # when the narrow way has sent what it has

    def clear(self) -> None:
        self.__init__(self._rng)  # type: ignore[misc]

    @property
    def plain(self) -> bool:
        return not (self.cut or self.delay_s or self.jitter_s or self.loss or self.bytes_per_s)

    def passes_at(self, now: float, size: int) -> float:
        """When a piece of so many bytes of a TCP stream is through."""
        when = now + self.delay_s + self._rng.random() * self.jitter_s
        if self.bytes_per_s:
            self._free_at = max(self._free_at, now) + size / self.bytes_per_s
            when += self._free_at - now
        for _ in range(-(-size // SEGMENT) if self.loss else 0):
            wait = LOST_AGAIN_S
            for _ in range(LOSSES_MOST):
                if self._rng.random() >= self.loss:
                    break
                when, wait = when + wait, wait * 2
        return when

    def datagram(self, now: float) -> list[float]:
        """When a datagram's copies are through; empty: lost."""
        if self.cut or self._rng.random() < self.loss:
            return []
        count = 2 if self._rng.random() < self.duplicate else 1
        late = self._rng.random() < self.reorder
        most = 4 * (self.delay_s + self.jitter_s) + 0.05  # far enough for others to overtake it
        return [
            now + self.delay_s + self._rng.random() * (most if late else self.jitter_s) for _ in range(count)
        ]


class Handler(Protocol):
    """The far end of one connection."""

    def data(self, data: bytes) -> None: ...

    def lost(self) -> None: ...


class _Pipe:
    """One way of one connection: pieces in order, each with the time at which it is through."""

    def __init__(self, way: Way, deliver: Callable[[bytes], None], end: Callable[[bool], None]) -> None:
        self._way, self._deliver, self._end = way, deliver, end
        self._pieces: deque[tuple[float, bytes | bool, Callable[[], None] | None]] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._last = 0.0
        self.ended = False

    def put(
        self, piece: bytes | bool, through: Callable[[], None] | None = None, extra_s: float = 0.0
    ) -> None:
        """Bytes, or the end (True: by a reset). `through` is called when the piece has come out."""
        if self.ended:
            return
        if not self._pieces and self._way.plain:
            self._out(piece, through)
            return
        now = asyncio.get_running_loop().time()
        size = 0 if isinstance(piece, bool) else len(piece)
        self._last = max(self._last, self._way.passes_at(now, size) + extra_s)
        self._pieces.append((self._last, piece, through))
        self.flush()

    def flush(self) -> None:
        """Let out what is due; called again when the way's faults change."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        loop = asyncio.get_running_loop()
        while self._pieces and not self._way.cut:
            due = self._pieces[0][0]
            if due > loop.time():
                self._timer = loop.call_at(due, self.flush)
                return
            _, piece, through = self._pieces.popleft()
            self._out(piece, through)

    def drop(self) -> None:
        self.ended = True
        self._pieces.clear()
        if self._timer is not None:
            self._timer.cancel()

    def _out(self, piece: bytes | bool, through: Callable[[], None] | None) -> None:
        if isinstance(piece, bool):
            self.drop()
            self._end(piece)
        else:
            self._deliver(piece)
        if through is not None:
            through()


class LinkConnection(asyncio.Protocol):
    """A sidecar's connection; its other end is a handler of the stand-in's."""

    def __init__(self, link: "Link") -> None:
        self.link = link
        self.entered_at = 0.0  # when the sidecar's last bytes came into the link
        self._handler: Handler | None = None
        self._transport: asyncio.Transport | None = None
        self._paused = False
        self._up = _Pipe(link.up, self._to_far, self._far_ends)
        self._down = _Pipe(link.down, self._to_near, self._near_ends)
        self._first = True
        self.on_near_lost: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass
        self.link.connections.add(self)
        self._handler = self.link.connect(self)
        self.follow()

    def data_received(self, data: bytes) -> None:
        # The kernel has shaken hands at once; the first bytes pay for the round trip that it took none for.
        extra = self.link.up.delay_s + self.link.down.delay_s if self._first else 0.0
        self._first = False
        self.entered_at = self.link.now()
        self._up.put(data, extra_s=extra)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._down.drop()
        if self.on_near_lost is not None:
            self.on_near_lost()
        self._up.put(exc is not None)
        self._forget()

    def write(self, data: bytes, through: Callable[[], None] | None = None) -> None:
        """Bytes from the stand-in; `through` once they have come to the sidecar's socket."""
        self._down.put(data, through)

    def close(self, reset: bool = False) -> None:
        """The stand-in ends the connection."""
        self._down.put(reset)

    def follow(self) -> None:
        """Act as the link's faults are now."""
        if self._transport is not None and not self._transport.is_closing():
            if self.link.up.cut and not self._paused:
                self._paused = True
                self._transport.pause_reading()
            elif self._paused and not self.link.up.cut:
                self._paused = False
                self._transport.resume_reading()
        self._up.flush()
        self._down.flush()

    def _to_far(self, data: bytes) -> None:
        if self._handler is not None:
            self._handler.data(data)

    def _far_ends(self, reset: bool) -> None:
        if self._handler is not None:
            handler, self._handler = self._handler, None
            handler.lost()
        if self._transport is not None:
            self._transport.abort()
        self._forget()

    def _to_near(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def _near_ends(self, reset: bool) -> None:
        if self._handler is not None:
            handler, self._handler = self._handler, None
            handler.lost()
        if self._transport is not None:
            if reset:
                sock = self._transport.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)  # else an abort ends in order
                self._transport.abort()
            else:
                self._transport.close()

    def _forget(self) -> None:
        if self._transport is None and (self._up.ended or self._handler is None):
            self.link.connections.discard(self)


class Link:
    """From one sidecar to one stand-in. It owns its listening socket and its connections."""

    def __init__(
        self,
        up: Way,
        down: Way,
        connect: Callable[[LinkConnection], Handler],
        now: Callable[[], float],
    ) -> None:
        self.up, self.down, self.connect, self.now = up, down, connect, now
        self.connections: set[LinkConnection] = set()
        self.far_up = True  # False: nobody listens at the far end
        self._tasks: set[asyncio.Task[object]] = set()
        self._filler: socket.socket | None = None
        self._old: list[socket.socket] = []
        self._state = "refusing"
        self._socket = self._bound(0)
        self.ports: list[int] = [self._socket.getsockname()[1]]  # all that it ever had
        self.follow()

    def follow(self) -> None:
        """Act as the faults are now: listen, refuse, or hang."""
        if self.up.cut or self.down.cut:
            wanted = "hanging"
        elif self.up.refuse or self.down.refuse or not self.far_up:
            wanted = "refusing"
        else:
            wanted = "listening"
        if wanted != self._state:
            self._become(wanted)
        if self.up.refuse or self.down.refuse:
            self.reset()
        for connection in list(self.connections):
            connection.follow()

    def move(self) -> None:
        """To an address of its own that is new; nobody is at the old one."""
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._old.append(self._socket if self._state == "refusing" else self._replaced())
        self._socket, self._state = self._bound(0), "refusing"
        self.ports.append(self._socket.getsockname()[1])
        self.follow()

    def _replaced(self) -> socket.socket:
        """The same address with nobody who listens: bound, so that nobody else can get it."""
        self._socket.close()
        return self._bound(self.ports[-1])

    def reset(self) -> None:
        """All connections end as those of a process that died."""
        for connection in list(self.connections):
            connection.close(reset=True)

    def close(self) -> None:
        """Give back the socket and all connections, whatever faults there are."""
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        for sock in (self._socket, self._filler, *self._old):
            if sock is not None:
                sock.close()
        for task in self._tasks:
            task.cancel()
        for connection in list(self.connections):
            connection._up.drop()
            connection._down.drop()
            if connection._transport is not None:
                connection._transport.abort()
        self.connections.clear()

    def _bound(self, port: int) -> socket.socket:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(("127.0.0.1", port))
        return sock

    def _become(self, wanted: str) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket.fileno())
        if self._filler is not None:
            self._filler.close()
            self._filler = None
        if self._state != "refusing":
            self._socket = self._replaced()  # what waits unaccepted is reset, as by a machine that is back
        self._state = wanted
        if wanted == "hanging":
            self._socket.listen(0)
            self._filler = socket.socket()
            self._filler.setblocking(False)
            self._filler.connect_ex(("127.0.0.1", self.ports[-1]))
        elif wanted == "listening":
            self._socket.listen(BACKLOG)
            loop.add_reader(self._socket.fileno(), self._accept)

    def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = self._socket.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task: asyncio.Task[object] = loop.create_task(
                loop.connect_accepted_socket(lambda: LinkConnection(self), sock)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)


class DatagramRelay(asyncio.DatagramProtocol):
    """A member's public address for datagrams: what comes here goes on to it, by the way from its sender.

    A member sends from its own socket to another's public address, so the source tells which pair it is, and
    it reaches the other from the sender's public address: replies take the same road back.
    """

    def __init__(self, index: int, relays: "list[DatagramRelay]", way: Callable[[int, int], Way]) -> None:
        self.index, self._relays, self._way = index, relays, way
        self.member: tuple[str, int] | None = None  # where the member's own socket is
        self.transport: asyncio.DatagramTransport | None = None
        self.passed = self.strangers = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    @property
    def place(self) -> tuple[str, int]:
        assert self.transport is not None
        host, port = self.transport.get_extra_info("sockname")[:2]
        return host, port

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        source = next((one for one in self._relays if one.member == addr), None)
        if source is None:
            self.strangers += 1
            return
        loop = asyncio.get_running_loop()
        now = loop.time()
        for when in self._way(source.index, self.index).datagram(now):
            if when <= now:
                self._pass_on(source, data)
            else:
                loop.call_at(when, self._pass_on, source, data)

    def _pass_on(self, source: "DatagramRelay", data: bytes) -> None:
        if self.member is None or source.transport is None or source.transport.is_closing():
            return
        self.passed += 1
        source.transport.sendto(data, self.member)


async def datagram_relays(count: int, way: Callable[[int, int], Way]) -> list[DatagramRelay]:
    """A public address for each member. Whoever opens them closes their transports."""
    relays: list[DatagramRelay] = []
    loop = asyncio.get_running_loop()
    for index in range(count):
        relay = DatagramRelay(index, relays, way)
        await loop.create_datagram_endpoint(lambda relay=relay: relay, local_addr=("127.0.0.1", 0))  # type: ignore[misc]
        relays.append(relay)
    return relays
