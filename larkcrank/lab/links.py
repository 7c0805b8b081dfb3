"""Network links between sidecar processes and the bench's stand-ins, where network faults are injected.

A link is a listening socket in front of one stand-in (an endpoint or discovery) for one sidecar. Its far end
is an in-process handler: a second socket would only add a copy of the data. Each of the two directions has a
`LinkDirection`, whose faults apply to every connection of the link. As with real TCP, the receiver never sees
lost, duplicated or reordered bytes: a lost segment arrives later, by one retransmission time that doubles for
each consecutive loss.

A cut drops nothing and reports nothing. Bytes wait in the link, and closes and resets wait behind them. The
sender's side is not read during a cut, so the kernel's buffers bound the amount of waiting data. New
connections hang: the listening socket has a backlog of 0 that is filled by a connection of the link's own, so
the kernel drops further connection attempts.
"""

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Protocol, cast

LISTEN_BACKLOG = 256
MIN_RETRANSMISSION_S = 0.2  # minimum retransmission timeout of Linux
MAX_CONSECUTIVE_LOSSES = 6  # of one segment, so that its delay stays bounded
SEGMENT_BYTES = 1460  # TCP payload of a packet with an MTU of 1500
_LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER with 0 seconds: closing sends a reset


class LinkDirection:
    """The faults of one direction between two nodes, shared by all connections of the pair."""

    def __init__(self, rng: Random) -> None:
        self.cut = self.refuse = False  # cut: streams wait, datagrams are lost; refuse: resets
        self.delay_s = self.jitter_s = 0.0
        self.loss = self.duplicate = self.reorder = 0.0  # probabilities from 0 to 1
        self.bytes_per_s = 0.0  # 0 means no limit
        self._rng = rng
        self._bandwidth_free_at = 0.0  # when the bandwidth limit has let through all that was sent

    def clear(self) -> None:
        self.__init__(self._rng)  # type: ignore[misc]

    @property
    def has_no_stream_faults(self) -> bool:
        return not (self.cut or self.delay_s or self.jitter_s or self.loss or self.bytes_per_s)

    def delivery_time(self, now: float, size: int) -> float:
        """Return when `size` bytes of a TCP stream that are sent now arrive."""
        deliver_at = now + self.delay_s + self._rng.random() * self.jitter_s
        if self.bytes_per_s:
            self._bandwidth_free_at = max(self._bandwidth_free_at, now) + size / self.bytes_per_s
            deliver_at += self._bandwidth_free_at - now
        for _ in range(-(-size // SEGMENT_BYTES) if self.loss else 0):
            retransmission_s = MIN_RETRANSMISSION_S
            for _ in range(MAX_CONSECUTIVE_LOSSES):
                if self._rng.random() >= self.loss:
                    break
                deliver_at, retransmission_s = deliver_at + retransmission_s, retransmission_s * 2
        return deliver_at

    def datagram_delivery_times(self, now: float) -> list[float]:
        """Return the arrival time of each copy of a datagram; empty if it is lost."""
        if self.cut or self._rng.random() < self.loss:
            return []
        count = 2 if self._rng.random() < self.duplicate else 1
        reordered = self._rng.random() < self.reorder
        # Long enough for later datagrams to overtake this one.
        reorder_delay_s = 4 * (self.delay_s + self.jitter_s) + 0.05
        return [
            now + self.delay_s + self._rng.random() * (reorder_delay_s if reordered else self.jitter_s)
            for _ in range(count)
        ]


class ConnectionHandler(Protocol):
    """The stand-in's side of one connection."""

    def handle_data(self, data: bytes) -> None: ...

    def handle_close(self) -> None: ...


class _DelayedStream:
    """One direction of one connection: an ordered queue of bytes and closes with their delivery times."""

    def __init__(
        self, direction: LinkDirection, on_bytes: Callable[[bytes], None], on_end: Callable[[bool], None]
    ) -> None:
        self._direction, self._on_bytes, self._on_end = direction, on_bytes, on_end
        self._queue: deque[tuple[float, bytes | bool, Callable[[], None] | None]] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._last_delivery_at = 0.0
        self.closed = False

    def send(
        self, item: bytes | bool, on_delivered: Callable[[], None] | None = None, extra_s: float = 0.0
    ) -> None:
        """Send bytes, or a close (True: a reset). `on_delivered` is called once the item is delivered."""
        if self.closed:
            return
        if not self._queue and self._direction.has_no_stream_faults:
            self._deliver(item, on_delivered)
            return
        now = asyncio.get_running_loop().time()
        size = 0 if isinstance(item, bool) else len(item)
        self._last_delivery_at = max(
            self._last_delivery_at, self._direction.delivery_time(now, size) + extra_s
        )
        self._queue.append((self._last_delivery_at, item, on_delivered))
        self.flush()

    def flush(self) -> None:
        """Deliver what is due. Called again when the direction's faults change."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        loop = asyncio.get_running_loop()
        while self._queue and not self._direction.cut:
            due = self._queue[0][0]
            if due > loop.time():
                self._timer = loop.call_at(due, self.flush)
                return
            _, item, on_delivered = self._queue.popleft()
            self._deliver(item, on_delivered)

    def discard(self) -> None:
        self.closed = True
        self._queue.clear()
        if self._timer is not None:
            self._timer.cancel()

    def _deliver(self, item: bytes | bool, on_delivered: Callable[[], None] | None) -> None:
        if isinstance(item, bool):
            self.discard()
            self._on_end(item)
        else:
            self._on_bytes(item)
        if on_delivered is not None:
            on_delivered()


class LinkConnection(asyncio.Protocol):
    """A sidecar's connection to a stand-in, which handles the other end with a `ConnectionHandler`."""

    def __init__(self, link: "Link") -> None:
        self.link = link
        self.entered_at = 0.0  # when the latest bytes from the sidecar entered the link
        self.entered_late = False  # a cut kept them in the sidecar's kernel, so they were written earlier
        self._handler: ConnectionHandler | None = None
        self._transport: asyncio.Transport | None = None
        self._reading_paused = self._was_paused = False
        self._to_handler = _DelayedStream(link.forward, self._deliver_to_handler, self._end_handler)
        self._to_sidecar = _DelayedStream(
            link.backward, self._deliver_to_sidecar, self._close_sidecar_connection
        )
        self._awaiting_first_bytes = True
        self.on_sidecar_closed: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's class doesn't derive from it
        self.link.connections.add(self)
        self._handler = self.link.make_handler(self)
        self.apply_faults()

    def data_received(self, data: bytes) -> None:
        # The kernel completes the handshake without the link's delay, so the first bytes take that delay too.
        handshake_s = (
            self.link.forward.delay_s + self.link.backward.delay_s if self._awaiting_first_bytes else 0.0
        )
        self._awaiting_first_bytes = False
        self.entered_at = self.link.now()
        self.entered_late, self._was_paused = self._was_paused, False
        self._to_handler.send(data, extra_s=handshake_s)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._to_sidecar.discard()
        if self.on_sidecar_closed is not None:
            self.on_sidecar_closed()
        self._to_handler.send(exc is not None)
        self._unregister()

    @property
    def is_closed_by_sidecar(self) -> bool:
        return self._transport is None

    def write(self, data: bytes, on_delivered: Callable[[], None] | None = None) -> None:
        """Send bytes from the stand-in; `on_delivered` runs once they are written to the sidecar's socket."""
        self._to_sidecar.send(data, on_delivered)

    def close(self, reset: bool = False) -> None:
        """Close the connection from the stand-in's side."""
        self._to_sidecar.send(reset)

    def apply_faults(self) -> None:
        """Apply the link's current faults to this connection."""
        if self._transport is not None and not self._transport.is_closing():
            if self.link.forward.cut and not self._reading_paused:
                self._reading_paused = self._was_paused = True
                self._transport.pause_reading()
            elif self._reading_paused and not self.link.forward.cut:
                self._reading_paused = False
                self._transport.resume_reading()
        self._to_handler.flush()
        self._to_sidecar.flush()

    def _deliver_to_handler(self, data: bytes) -> None:
        if self._handler is not None:
            self._handler.handle_data(data)

    def _end_handler(self, reset: bool) -> None:
        if self._handler is not None:
            handler, self._handler = self._handler, None
            handler.handle_close()
        if self._transport is not None:
            self._transport.abort()
        self._unregister()

    def _deliver_to_sidecar(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def _close_sidecar_connection(self, reset: bool) -> None:
        if self._handler is not None:
            handler, self._handler = self._handler, None
            handler.handle_close()
        if self._transport is not None:
            if reset:
                sock = self._transport.get_extra_info("socket")
                # Without this option, abort() closes the connection with a FIN and not with a reset.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
                self._transport.abort()
            else:
                self._transport.close()

    def _unregister(self) -> None:
        if self._transport is None and (self._to_handler.closed or self._handler is None):
            self.link.connections.discard(self)


class Link:
    """The path from one sidecar to one stand-in. Owns its listening socket and its connections."""

    def __init__(
        self,
        forward: LinkDirection,
        backward: LinkDirection,
        make_handler: Callable[[LinkConnection], ConnectionHandler],
        now: Callable[[], float],
    ) -> None:
        self.forward, self.backward, self.make_handler, self.now = forward, backward, make_handler, now
        self.connections: set[LinkConnection] = set()
        self.far_end_listening = True  # False: the stand-in's process is down
        self._tasks: set[asyncio.Task[object]] = set()
        self._backlog_filler: socket.socket | None = None
        self._retired_sockets: list[socket.socket] = []
        self._state = "refusing"
        self._socket = self._bind_socket(0)
        self.ports: list[int] = [
            self._socket.getsockname()[1]
        ]  # every port that it has had; the last one is current
        self.apply_faults()

    def apply_faults(self) -> None:
        """Listen, refuse or hang, according to the current faults."""
        if self.forward.cut or self.backward.cut:
            wanted = "hanging"
        elif self.forward.refuse or self.backward.refuse or not self.far_end_listening:
            wanted = "refusing"
        else:
            wanted = "listening"
        if wanted != self._state:
            self._enter_state(wanted)
        if self.forward.refuse or self.backward.refuse:
            self.reset_connections()
        for connection in list(self.connections):
            connection.apply_faults()

    def move_to_new_port(self) -> None:
        """Listen on a new port. Connections to the old port are refused."""
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._retired_sockets.append(self._socket if self._state == "refusing" else self._rebind())
        self._socket, self._state = self._bind_socket(0), "refusing"
        self.ports.append(self._socket.getsockname()[1])
        self.apply_faults()

    def _rebind(self) -> socket.socket:
        """Return a socket that keeps the same port reserved without listening on it."""
        self._socket.close()
        return self._bind_socket(self.ports[-1])

    def reset_connections(self) -> None:
        """Reset all connections, as when the process at the far end dies."""
        for connection in list(self.connections):
            connection.close(reset=True)

    def close(self) -> None:
        """Close the sockets and all connections at once, regardless of faults."""
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        for sock in (self._socket, self._backlog_filler, *self._retired_sockets):
            if sock is not None:
                sock.close()
        for task in self._tasks:
            task.cancel()
        for connection in list(self.connections):
            connection._to_handler.discard()
            connection._to_sidecar.discard()
            if connection._transport is not None:
                connection._transport.abort()
        self.connections.clear()

    def _bind_socket(self, port: int) -> socket.socket:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(("127.0.0.1", port))
        return sock

    def _enter_state(self, wanted: str) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket.fileno())
        if self._backlog_filler is not None:
            self._backlog_filler.close()
            self._backlog_filler = None
        if self._state != "refusing":
            self._socket = self._rebind()  # resets unaccepted connections, as after a reboot
        self._state = wanted
        if wanted == "hanging":
            self._socket.listen(0)
            self._backlog_filler = socket.socket()
            self._backlog_filler.setblocking(False)
            self._backlog_filler.connect_ex(("127.0.0.1", self.ports[-1]))
        elif wanted == "listening":
            self._socket.listen(LISTEN_BACKLOG)
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
    """A fleet member's public datagram address. Forwards datagrams to the member with the sender's faults.

    A member sends from its own socket to another member's public address, so the source address identifies
    the pair. The receiver sees the sender's public address as the source, so replies pass through relays too.
    """

    def __init__(
        self,
        index: int,
        relays: "list[DatagramRelay]",
        direction_between: Callable[[int, int], LinkDirection],
    ) -> None:
        self.index, self._relays, self._direction_between = index, relays, direction_between
        self.member_address: tuple[str, int] | None = None  # the member's own socket address
        self.transport: asyncio.DatagramTransport | None = None
        self.forwarded_count = self.unknown_senders = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    @property
    def public_address(self) -> tuple[str, int]:
        assert self.transport is not None
        host, port = self.transport.get_extra_info("sockname")[:2]
        return host, port

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        sender = next((relay for relay in self._relays if relay.member_address == addr), None)
        if sender is None:
            self.unknown_senders += 1
            return
        loop = asyncio.get_running_loop()
        now = loop.time()
        for deliver_at in self._direction_between(sender.index, self.index).datagram_delivery_times(now):
            if deliver_at <= now:
                self._forward(sender, data)
            else:
                loop.call_at(deliver_at, self._forward, sender, data)

    def _forward(self, sender: "DatagramRelay", data: bytes) -> None:
        if self.member_address is None or sender.transport is None or sender.transport.is_closing():
            return
        self.forwarded_count += 1
        sender.transport.sendto(data, self.member_address)


async def open_datagram_relays(
    count: int, direction_between: Callable[[int, int], LinkDirection]
) -> list[DatagramRelay]:
    """Open one public datagram address per member. The caller closes their transports."""
    relays: list[DatagramRelay] = []
    loop = asyncio.get_running_loop()
    for index in range(count):
        relay = DatagramRelay(index, relays, direction_between)
        await loop.create_datagram_endpoint(lambda relay=relay: relay, local_addr=("127.0.0.1", 0))  # type: ignore[misc]
        relays.append(relay)
    return relays
