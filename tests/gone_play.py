"""A manual experiment: hundreds of clients leave while their requests wait. `python -m tests.gone_play`

The sidecar, the clients and the endpoint run in a process each and share the monotonic clock, so a busy
sidecar does not distort the times. The result is how many attempts reached the endpoint after their
client had closed the connection, and how late.
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

CLIENT_COUNT = 300
MAX_LATE_S = 0.1  # an attempt that begins later after the close is a violation
LEAVE_WITHIN_S, SEND_WITHIN_S = 0.4, 0.6  # after the start: when clients leave and requests are sent
KEY_COUNT = 30
BUSY_ITERATION_S = 0.12  # how long an iteration of the busy loop takes
WAIT_SCENARIOS = [
    "limit",
    "long",
    "connection",
    "connection long",
    "attempt",
    "turn",
    "end",
    "at once",
    "behind more",
]
IN_TURN = [cls | {"in-turn": True} if cls["name"] == "book" else cls for cls in b.CLASSES]
_ID_PATTERN = re.compile(rb"req-id: *([^\r]+)", re.I)
_LENGTH_PATTERN = re.compile(rb"content-length: *(\d+)", re.I)


def request_text(scenario: str, client: int) -> bytes:
    """Return what a client sends before it waits."""
    common_lines = b"Host: a\r\nReq-Id: r%d\r\n" % client
    if "long" in scenario or scenario == "behind more":
        size = 4_000_000 if scenario == "behind more" else 200_000
        head = b"POST /take/1 HTTP/1.1\r\n%sReq-Kind: take\r\nContent-Length: %d\r\n\r\n" % (
            common_lines,
            size,
        )
        return head + b"x" * (size // 2)
    if scenario == "turn":
        key_lines = b"Idempotency-Key: k\r\nReq-Extra: item=%d\r\nContent-Length: 0\r\n" % (
            client % KEY_COUNT + 1
        )
        return b"POST /book/1 HTTP/1.1\r\n%sReq-Kind: book\r\n%s\r\n" % (common_lines, key_lines)
    version = b"1.0" if client % 4 == 1 else b"1.1"
    text = b"GET /view/1 HTTP/%s\r\n%sReq-Kind: view\r\n\r\n" % (version, common_lines)
    return text + b"GET /view/1 HTTP/1.1\r\n" if client % 4 == 2 else text


def run_clients(pipe: Pipe, port: int, scenario: str, seed: int) -> None:
    """Send all requests, wait for the start, then let each client leave at its own time.

    Reports through the pipe when each client left, and how many of the others were served.
    """
    rng = random.Random(seed)
    socks = []
    for number in range(CLIENT_COUNT):
        sock = socket.create_connection(("127.0.0.1", port))
        sock.setblocking(scenario != "behind more")
        sock.sendall(request_text(scenario, number)) if sock.getblocking() else _fill_socket(
            sock, request_text(scenario, number)
        )
        socks.append(sock)
    pipe.send("sent")
    start = pipe.recv()
    left_at: dict[int, float] = {}
    is_complete = "long" not in scenario and scenario != "behind more"
    leaving = [number for number in range(CLIENT_COUNT) if number % 10 or not is_complete]
    for when, number in sorted(
        (0.0 if scenario == "at once" else rng.random() * LEAVE_WITHIN_S, n) for n in leaving
    ):
        time.sleep(max(start + when - time.monotonic(), 0.0))
        sock = socks[number]
        with suppress(OSError):  # the connection of an answered request may be closed already
            if number % 8 == 3 and scenario != "behind more":
                sock.send(b"x" * 100)
        left_at[number] = time.monotonic()
        with suppress(OSError):
            if number % 3 == 1 and scenario != "behind more":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            if number % 3 == 2:
                sock.shutdown(socket.SHUT_WR)
            else:
                sock.close()
    served = 0
    for number in range(CLIENT_COUNT):
        if number not in left_at:
            socks[number].settimeout(4.0)
            with suppress(OSError):
                served += socks[number].recv(65536).startswith(b"HTTP/1.1 200")
    time.sleep(max(start + SEND_WITHIN_S + 0.2 - time.monotonic(), 0.0))
    for sock in socks:
        sock.close()
    pipe.send((left_at, served))


def _fill_socket(sock: socket.socket, data: bytes) -> None:
    """Send as much as the kernel buffers of both sides hold."""
    deadline = time.monotonic() + 0.004
    while data and time.monotonic() < deadline:
        try:
            data = data[sock.send(data) :]
        except BlockingIOError:
            time.sleep(0.001)


class Endpoint(asyncio.Protocol):
    """Records when the first byte of each attempt arrived."""

    def __init__(self, scenario: str, attempts: list[tuple[int, float]], started: asyncio.Event) -> None:
        self.scenario, self.attempts, self.started = scenario, attempts, started
        self.buffer, self.first_byte_at, self.body_bytes_left = b"", 0.0, -1
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self.body_bytes_left < 0:
            self.first_byte_at = self.first_byte_at if self.buffer else time.monotonic()
            self.buffer += data
            head, end, rest = self.buffer.partition(b"\r\n\r\n")
            if not end:
                return
            length, request_id = _LENGTH_PATTERN.search(head), _ID_PATTERN.search(head)
            assert request_id is not None
            self.attempts.append((int(request_id[1][1:]), self.first_byte_at))
            self.body_bytes_left, data, self.buffer = int(length[1]) if length else 0, rest, b""
        self.body_bytes_left -= len(data)
        if self.body_bytes_left <= 0:
            self.body_bytes_left = -1
            asyncio.get_running_loop().create_task(self.respond(len(self.attempts)))

    async def respond(self, count: int) -> None:
        if self.scenario in ("attempt", "turn"):
            await self.started.wait()
            await asyncio.sleep(
                random.Random(count).random() * (SEND_WITHIN_S if self.scenario == "attempt" else 0.06)
            )
        declined = self.scenario == "attempt" and count <= CLIENT_COUNT
        status = b"503 Busy\r\nSrv-Declined: 1" if declined else b"200 OK"
        self.transport.write(b"HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n" % status)


def run_endpoint(pipe: Pipe, scenario: str) -> None:
    async def work() -> None:
        attempts: list[tuple[int, float]] = []
        started, loop = asyncio.Event(), asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: Endpoint(scenario, attempts, started), "127.0.0.1", 0, backlog=4096
        )
        pipe.send(server.sockets[0].getsockname()[1])
        await loop.run_in_executor(None, pipe.recv)
        started.set()
        await loop.run_in_executor(None, pipe.recv)
        pipe.send(attempts)
        server.close()

    asyncio.run(work())


class TimedBalancer:
    """Replaces the balancer and sends each request when told to, unless its client has gone by then."""

    def __init__(self, bed: b.Bed, scenario: str) -> None:
        self.scenario, self.driver = scenario, bed.sidecar._driver
        self.request_ids: list[int] = []
        self.gone_ids: set[int] = set()
        self._pending_actions: list[api.Action] = []
        self.driver._balancer = self

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        match event:
            case api.Request():
                self.request_ids.append(event.id)
                if self.scenario in ("connection", "connection long", "attempt"):
                    return [api.Send(event.id, b"s-1")]
            case api.ClientGone():
                self.gone_ids.add(event.id)
            case api.Outcome() if event.result is api.Result.REJECTED and not event.request_answered:
                return [api.Send(event.id, b"s-1")]
        actions, self._pending_actions = self._pending_actions, []
        return actions

    def send(self, request_id: int) -> None:
        if request_id not in self.gone_ids:
            self._pending_actions = [api.Send(request_id, b"s-1")]
            self.driver.dispatch(api.TimerFired(0))


async def run_scenario(scenario: str, busy: bool, seed: int) -> str:
    loop, context = asyncio.get_running_loop(), multiprocessing.get_context("spawn")
    (endpoint_pipe, endpoint_side), (client_pipe, client_side) = context.Pipe(), context.Pipe()
    processes = [context.Process(target=run_endpoint, args=(endpoint_side, scenario))]
    processes[0].start()
    server = b.Endpoint("s-1")
    server.port = await loop.run_in_executor(None, endpoint_pipe.recv)
    may_connect, original_wait, rng = asyncio.Event(), PendingConnection.wait, random.Random(seed + 1)

    async def delayed_wait(pending: PendingConnection, timeout_ms: float) -> Connection:
        connection = await original_wait(pending, 10_000.0)
        await may_connect.wait()
        await asyncio.sleep(rng.random() * SEND_WITHIN_S)
        return connection

    async with b.bed(
        server, sockets=8 * CLIENT_COUNT, grades=IN_TURN, memory_mb=2048.0, discovery_up=False
    ) as bed:
        sidecar = bed.sidecar
        if scenario.startswith("connection"):
            PendingConnection.wait = delayed_wait  # type: ignore
        balancer = TimedBalancer(bed, scenario) if scenario != "turn" else None
        port = sidecar.listen_address[1]
        processes.append(context.Process(target=run_clients, args=(client_side, port, scenario, seed)))
        processes[1].start()
        await loop.run_in_executor(None, client_pipe.recv)
        for _ in range(400):
            if sidecar.counters.taken >= CLIENT_COUNT:
                break
            await asyncio.sleep(0.01)
        if scenario == "end":
            sidecar.lifecycle.begin_shutdown(sidecar._clock() + 8000.0)
        start = time.monotonic() + 0.05
        may_connect.set()
        client_pipe.send(start)
        endpoint_pipe.send("start")
        if balancer is not None and scenario in ("limit", "long", "end", "at once", "behind more"):
            for number in balancer.request_ids:
                loop.call_later(0.05 + rng.random() * SEND_WITHIN_S, balancer.send, number)
        result = loop.run_in_executor(None, client_pipe.recv)
        while not result.done():
            await asyncio.sleep(0.0 if busy else 0.01)
            if busy:
                time.sleep(BUSY_ITERATION_S)
        left_at, served = await result
        endpoint_pipe.send("end")
        attempts = await loop.run_in_executor(None, endpoint_pipe.recv)
        PendingConnection.wait = original_wait  # type: ignore[method-assign]
        counters = sidecar.counters
    for process in processes:
        process.join()
    of_gone_clients = [attempt for attempt in attempts if attempt[0] in left_at]
    delays_s = [
        arrived_at - left_at[number] for number, arrived_at in of_gone_clients if arrived_at > left_at[number]
    ]
    violations = sum(delay_s > MAX_LATE_S for delay_s in delays_s)
    worst_ms = max(delays_s, default=0.0) * 1000.0
    load = "busy" if busy else "idle"
    return (
        f"{scenario:16} {load} left {len(left_at):3} gone before {counters.gone_before_send:3} "
        f"begun {len(attempts):3} after the close {len(delays_s):3} over 0.1 s {violations:3} "
        f"worst {worst_ms:6.1f} ms served {served:2} of {CLIENT_COUNT - len(left_at):2} "
        f"connects {counters.connects:3} taken {counters.taken} "
        f"bad {counters.bad_requests} crashed {counters.crashed}"
    )


def main() -> None:
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    for scenario in sys.argv[2:] or WAIT_SCENARIOS:
        for busy in (False, True):
            print(asyncio.run(run_scenario(scenario, busy, seed)), flush=True)


if __name__ == "__main__":
    main()
