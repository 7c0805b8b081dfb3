"""A play by hand: some hundred clients leave while their requests wait. `python -m tests.gone_play`

Sidecar, clients and endpoint are a process each, on one monotonic clock: what the sidecar's loop does delays
no reading of it. Counted are the attempts whose first byte came to the endpoint after the close, and when.
"""

import asyncio
import multiprocessing
import random
import re
import socket
import struct
import sys
import time
from contextlib import suppress
from multiprocessing.connection import Connection as Pipe
from typing import Any

from larkcrank.core import interface as api
from larkcrank.transport.connection import Connection, PendingConnection
from tests import bed as b

COUNT = 300
LATE_S = 0.1  # a later begin is a break
LEAVE_S, SEND_S = 0.4, 0.6  # clients leave, and requests get their turn, within so long of the start
KEYS = 30
TURN_S = 0.12  # a turn of the busy loop
WAITS = ["limit", "long", "connection", "connection long", "attempt", "turn", "end", "at once", "behind more"]
IN_TURN = [cls | {"in-turn": True} if cls["name"] == "book" else cls for cls in b.CLASSES]
_ID = re.compile(rb"req-id: *([^\r]+)", re.I)
_LENGTH = re.compile(rb"content-length: *(\d+)", re.I)


def text_of(wait: str, number: int) -> bytes:
    """What the client of this number sends before it waits."""
    name = b"Host: a\r\nReq-Id: r%d\r\n" % number
    if "long" in wait or wait == "behind more":
        size = 4_000_000 if wait == "behind more" else 200_000
        head = b"POST /take/1 HTTP/1.1\r\n%sReq-Kind: take\r\nContent-Length: %d\r\n\r\n" % (name, size)
        return head + b"x" * (size // 2)
    if wait == "turn":
        more = b"Idempotency-Key: k\r\nReq-Extra: item=%d\r\nContent-Length: 0\r\n" % (number % KEYS + 1)
        return b"POST /book/1 HTTP/1.1\r\n%sReq-Kind: book\r\n%s\r\n" % (name, more)
    old = b"1.0" if number % 4 == 1 else b"1.1"
    text = b"GET /view/1 HTTP/%s\r\n%sReq-Kind: view\r\n\r\n" % (old, name)
    return text + b"GET /view/1 HTTP/1.1\r\n" if number % 4 == 2 else text


def be_clients(pipe: Pipe, port: int, wait: str, seed: int) -> None:
    """Send, wait for the word, leave each at its time; tell when, by number."""
    rng = random.Random(seed)
    socks = []
    for number in range(COUNT):
        sock = socket.create_connection(("127.0.0.1", port))
        sock.setblocking(wait != "behind more")
        sock.sendall(text_of(wait, number)) if sock.getblocking() else _fill(sock, text_of(wait, number))
        socks.append(sock)
    pipe.send("sent")
    start = pipe.recv()
    left: dict[int, float] = {}
    whole = "long" not in wait and wait != "behind more"
    leaving = [number for number in range(COUNT) if number % 10 or not whole]
    for when, number in sorted((0.0 if wait == "at once" else rng.random() * LEAVE_S, n) for n in leaving):
        time.sleep(max(start + when - time.monotonic(), 0.0))
        sock = socks[number]
        with suppress(OSError):  # one that was answered may be closed by now
            if number % 8 == 3 and wait != "behind more":
                sock.send(b"x" * 100)
        left[number] = time.monotonic()
        with suppress(OSError):
            if number % 3 == 1 and wait != "behind more":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            if number % 3 == 2:
                sock.shutdown(socket.SHUT_WR)
            else:
                sock.close()
    served = 0
    for number in range(COUNT):
        if number not in left:
            socks[number].settimeout(4.0)
            with suppress(OSError):
                served += socks[number].recv(65536).startswith(b"HTTP/1.1 200")
    time.sleep(max(start + SEND_S + 0.2 - time.monotonic(), 0.0))
    for sock in socks:
        sock.close()
    pipe.send((left, served))


def _fill(sock: socket.socket, data: bytes) -> None:
    """As much as the systems of both sides hold."""
    until = time.monotonic() + 0.004
    while data and time.monotonic() < until:
        try:
            data = data[sock.send(data) :]
        except BlockingIOError:
            time.sleep(0.001)


class Endpoint(asyncio.Protocol):
    """Notes when the first byte of each attempt came."""

    def __init__(self, wait: str, begun: list[tuple[int, float]], started: asyncio.Event) -> None:
        self.wait, self.begun, self.started = wait, begun, started
        self.held, self.first, self.left = b"", 0.0, -1
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self.left < 0:
            self.first = self.first if self.held else time.monotonic()
            self.held += data
            head, end, rest = self.held.partition(b"\r\n\r\n")
            if not end:
                return
            length, name = _LENGTH.search(head), _ID.search(head)
            assert name is not None
            self.begun.append((int(name[1][1:]), self.first))
            self.left, data, self.held = int(length[1]) if length else 0, rest, b""
        self.left -= len(data)
        if self.left <= 0:
            self.left = -1
            asyncio.get_running_loop().create_task(self.answer(len(self.begun)))

    async def answer(self, count: int) -> None:
        if self.wait in ("attempt", "turn"):
            await self.started.wait()
            await asyncio.sleep(random.Random(count).random() * (SEND_S if self.wait == "attempt" else 0.06))
        declined = self.wait == "attempt" and count <= COUNT
        status = b"503 Busy\r\nSrv-Declined: 1" if declined else b"200 OK"
        self.transport.write(b"HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n" % status)


def be_endpoint(pipe: Pipe, wait: str) -> None:
    async def work() -> None:
        begun: list[tuple[int, float]] = []
        started, loop = asyncio.Event(), asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: Endpoint(wait, begun, started), "127.0.0.1", 0, backlog=4096
        )
        pipe.send(server.sockets[0].getsockname()[1])
        await loop.run_in_executor(None, pipe.recv)
        started.set()
        await loop.run_in_executor(None, pipe.recv)
        pipe.send(begun)
        server.close()

    asyncio.run(work())


class Turns:
    """Decisions that send each request on at a time drawn for it, unless its client has gone by then."""

    def __init__(self, bed: b.Bed, wait: str) -> None:
        self.wait, self.driver = wait, bed.sidecar._driver
        self.taken: list[int] = []
        self.gone: set[int] = set()
        self._say: list[api.Action] = []
        self.driver._decisions = self

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        match event:
            case api.Request():
                self.taken.append(event.id)
                if self.wait in ("connection", "connection long", "attempt"):
                    return [api.Send(event.id, b"s-1")]
            case api.ClientGone():
                self.gone.add(event.id)
            case api.Outcome() if event.result is api.Result.REJECTED and not event.request_answered:
                return [api.Send(event.id, b"s-1")]
        said, self._say = self._say, []
        return said

    def send(self, number: int) -> None:
        if number not in self.gone:
            self._say = [api.Send(number, b"s-1")]
            self.driver.feed(api.TimerFired(0))


async def play(wait: str, busy: bool, seed: int) -> str:
    loop, context = asyncio.get_running_loop(), multiprocessing.get_context("spawn")
    (ends, theirs), (clients, others) = context.Pipe(), context.Pipe()
    processes = [context.Process(target=be_endpoint, args=(theirs, wait))]
    processes[0].start()
    server = b.Endpoint("s-1")
    server.port = await loop.run_in_executor(None, ends.recv)
    come_up, dial, rng = asyncio.Event(), PendingConnection.wait, random.Random(seed + 1)

    async def late(connecting: PendingConnection, timeout_ms: float) -> Connection:
        connection = await dial(connecting, 10_000.0)
        await come_up.wait()
        await asyncio.sleep(rng.random() * SEND_S)
        return connection

    async with b.bed(server, sockets=8 * COUNT, grades=IN_TURN, memory_mb=2048.0, discovery_up=False) as bed:
        sidecar = bed.sidecar
        if wait.startswith("connection"):
            PendingConnection.wait = late  # type: ignore
        turns = Turns(bed, wait) if wait != "turn" else None
        place = sidecar.place[1]
        processes.append(context.Process(target=be_clients, args=(others, place, wait, seed)))
        processes[1].start()
        await loop.run_in_executor(None, clients.recv)
        for _ in range(400):
            if sidecar.counters.taken >= COUNT:
                break
            await asyncio.sleep(0.01)
        if wait == "end":
            sidecar.life.end(sidecar._clock() + 8000.0)
        start = time.monotonic() + 0.05
        come_up.set()
        clients.send(start)
        ends.send("start")
        if turns is not None and wait in ("limit", "long", "end", "at once", "behind more"):
            for number in turns.taken:
                loop.call_later(0.05 + rng.random() * SEND_S, turns.send, number)
        ended = loop.run_in_executor(None, clients.recv)
        while not ended.done():
            await asyncio.sleep(0.0 if busy else 0.01)
            if busy:
                time.sleep(TURN_S)
        left, served = await ended
        ends.send("end")
        begun = await loop.run_in_executor(None, ends.recv)
        PendingConnection.wait = dial  # type: ignore[method-assign]
        counters = sidecar.counters
    for process in processes:
        process.join()
    first = [pair for pair in begun if pair[0] in left]
    after = [when - left[number] for number, when in first if when > left[number]]
    breaks = sum(late_s > LATE_S for late_s in after)
    worst = max(after, default=0.0) * 1000.0
    kind = "busy" if busy else "idle"
    return (
        f"{wait:16} {kind} left {len(left):3} gone before {counters.gone_before_send:3} begun {len(begun):3} "
        f"after the close {len(after):3} over 0.1 s {breaks:3} worst {worst:6.1f} ms "
        f"served {served:2} of {COUNT - len(left):2} connects {counters.connects:3} taken {counters.taken} "
        f"bad {counters.bad_requests} crashed {counters.crashed}"
    )


def main() -> None:
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    for wait in sys.argv[2:] or WAITS:
        for busy in (False, True):
            print(asyncio.run(play(wait, busy, seed)), flush=True)


if __name__ == "__main__":
    main()
