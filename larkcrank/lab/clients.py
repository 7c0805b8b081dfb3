"""The clients of one sidecar, which generate an open-loop load: a slow sidecar does not reduce the rate.

Each request has a scheduled send time, from which its latency is measured. A connection carries one request
at a time; a new one is opened when all are busy. Clients connect without a link because they run on the
sidecar's machine.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import cast

from larkcrank.core.interface import Effect, RequestClass
from larkcrank.lab.ledger import Ask, Ledger
from larkcrank.lab.scenario import LoadSettings
from larkcrank.protocol import http1

LATE_ANSWER_WAIT_S = 2.0  # extra wait beyond the slack, to tell late answers from missing ones
MAX_IDLE_CONNECTIONS = 64
DEFAULT_RETRY_AFTER_S = 0.2  # used when a refusal has no Retry-After


class _Connection(asyncio.Protocol):
    """A client's connection to the sidecar, which carries at most one request at a time."""

    def __init__(self, clients: "Clients") -> None:
        self._clients = clients
        self._transport: asyncio.Transport | None = None
        self._parser = http1.ResponseParser()
        self.request: Ask | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.has_answered = False  # has delivered a response before
        self._response_started = False  # part of the current response has arrived

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's class doesn't derive from it

    def send(self, request: Ask, request_bytes: bytes) -> None:
        assert self._transport is not None
        self.request, request.sent_at = request, self._clients.ledger.now()
        self._response_started = False
        remaining_s = request.asked_at + request.deadline + self._clients.extra_wait_s - request.sent_at
        self.timer = asyncio.get_running_loop().call_later(max(remaining_s, 0.0), self._on_timeout)
        self._transport.write(request_bytes)

    def data_received(self, data: bytes) -> None:
        self._response_started = True
        try:
            self._parser.feed(data)
        except http1.MessageError as error:
            self.fail(f"no HTTP: {error}")
            return
        if not self._parser.complete:
            return
        response = self._parser.response()
        self._parser, self.has_answered = http1.ResponseParser(), True
        if (request := self._detach_request()) is None:
            return
        request.status, request.ended_at = response.status, self._clients.ledger.now()
        request.body = response.body[:64].decode("latin-1")
        if (
            response.status in (429, 503)
            and (retry_after := response.fields.get_single(b"retry-after")) is not None
        ):
            request.retry_after = float(retry_after)
        if not response.keep_alive:
            self.close()
        else:
            self._clients.release(self)
        self._clients.handle_answer(request)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._clients.connection_closed(self)
        if (request := self._detach_request()) is None:
            return
        if self.has_answered and not self._response_started and not request.resent:
            # The sidecar closed the idle connection while the request was on its way, so it has not received
            # the request. The request counts as sent when it is sent on a new connection.
            request.resent = True
            request.sent_at = -1.0
            self._clients.resend(request)
            return
        request.ended_at, request.why = self._clients.ledger.now(), "cut off"

    def fail(self, reason: str) -> None:
        if (request := self._detach_request()) is not None:
            request.ended_at, request.why = self._clients.ledger.now(), reason
        self.close()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    @property
    def is_open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def _on_timeout(self) -> None:
        self.fail("out of time")

    def _detach_request(self) -> Ask | None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        request, self.request = self.request, None
        return request


class Clients:
    """All clients of one sidecar."""

    def __init__(
        self,
        sidecar: int,
        load: LoadSettings,
        classes: dict[str, RequestClass],
        address: Callable[[], tuple[str, int] | None],
        rng: Random,
        ledger: Ledger,
        slack_s: float,
    ) -> None:
        self.ledger = ledger
        self.extra_wait_s = slack_s + LATE_ANSWER_WAIT_S
        self._sidecar, self._load, self._classes = sidecar, load, classes
        self._address, self._rng = address, rng
        self._idle_connections: list[_Connection] = []
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._request_count = 0
        self._retry_counts: dict[str, int] = {}  # by request id: number of retries so far
        self._class_names = list(load.classes)
        self._class_weights = [load.classes[name] for name in self._class_names]

    async def run(self, until: float, keep_going: Callable[[], bool] = lambda: False) -> None:
        """Send requests until `until` on the ledger's clock, then on for as long as `keep_going()` holds."""
        if self._load.rate <= 0.0:
            return
        send_at = 0.0
        while (send_at := send_at + self._rng.expovariate(self._load.rate)) < until or keep_going():
            wait_s = send_at - self.ledger.now()
            if wait_s > 0.0:
                await asyncio.sleep(wait_s)
            class_name = self._rng.choices(self._class_names, self._class_weights)[0]
            subject = self._rng.randrange(1, self._load.subjects + 1) if self._load.subjects else 0
            self._start_request(send_at, class_name, subject)

    async def finish(self) -> None:
        """Wait for all outstanding requests; each of them times out on its own."""
        while self._tasks or any(connection.request is not None for connection in self._connections):
            await asyncio.sleep(0.05)

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for connection in list(self._connections):
            connection.close()

    def release(self, connection: _Connection) -> None:
        """Keep a connection for the next request, or close it if enough are idle."""
        if len(self._idle_connections) < MAX_IDLE_CONNECTIONS:
            self._idle_connections.append(connection)
        else:
            connection.close()

    def connection_closed(self, connection: _Connection) -> None:
        self._connections.discard(connection)
        if connection in self._idle_connections:
            self._idle_connections.remove(connection)

    def handle_answer(self, request: Ask) -> None:
        """Schedule a retry if the request was refused and has retries left."""
        retry_number = self._retry_counts.pop(request.id, 0)
        if request.status not in (429, 503) or retry_number >= self._load.repeats:
            return
        wait_s = request.retry_after if request.retry_after >= 0.0 else DEFAULT_RETRY_AFTER_S
        self._spawn(self._retry_after_wait(request, wait_s, retry_number + 1))

    def resend(self, request: Ask) -> None:
        self._spawn(self._connect_and_send(request, self._classes[request.cls]))

    async def _retry_after_wait(self, request: Ask, wait_s: float, retry_number: int) -> None:
        await asyncio.sleep(wait_s)
        self._start_request(self.ledger.now(), request.cls, request.subject, request, retry_number)

    def _start_request(
        self,
        asked_at: float,
        class_name: str,
        subject: int,
        previous: Ask | None = None,
        retry_number: int = 0,
    ) -> None:
        self._request_count += 1
        key = previous.key if previous is not None else ""
        cls = self._classes[class_name]
        request_id = f"{self._sidecar}-{self._request_count}"
        if cls.effect is Effect.KEYED and not key:
            key = f"{self._rng.getrandbits(96):024x}"
        request = Ask(
            request_id, self._sidecar, class_name, asked_at, asked_at, request_id, key=key, subject=subject
        )
        if previous is not None:
            request.meant_at, request.first = previous.meant_at, previous.first
        request.deadline = cls.deadline_ms / 1000.0 * self._load.patience
        if retry_number:
            self._retry_counts[request_id] = retry_number
        self.ledger.asks.append(request)
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.is_open:
                connection.send(request, self._request_bytes(request, cls))
                return
        self._spawn(self._connect_and_send(request, cls))

    async def _connect_and_send(self, request: Ask, cls: RequestClass) -> None:
        address = self._address()
        try:
            if address is None:
                raise ConnectionRefusedError
            async with asyncio.timeout(request.deadline):
                loop = asyncio.get_running_loop()
                _, connection = await loop.create_connection(lambda: _Connection(self), *address)
        except (OSError, TimeoutError):
            request.ended_at, request.why = self.ledger.now(), "unreached"
            self._retry_counts.pop(request.id, None)
            return
        self._connections.add(connection)
        if connection.is_open:
            connection.send(request, self._request_bytes(request, cls))
        else:
            request.ended_at, request.why = self.ledger.now(), "unreached"

    def _request_bytes(self, request: Ask, cls: RequestClass) -> bytes:
        remaining_s = max(request.asked_at + request.deadline - self.ledger.now(), 0.001)
        header_lines = [b"Host: lab", f"Req-Id: {request.id}".encode(), f"Req-Kind: {cls.name}".encode()]
        header_lines.append(b"Req-Deadline: %.3f" % remaining_s)
        if request.key:
            header_lines.append(f"Idempotency-Key: {request.key}".encode())
        if request.subject:
            header_lines.append(b"Req-Extra: item=%d" % request.subject)
        method = b"GET" if cls.effect is Effect.SAFE else b"POST"
        return http1.encode_request(method, f"/{cls.name}/{request.id}".encode(), header_lines, b"")

    def _spawn(self, coroutine: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
