"""The clients beside one sidecar: an open loop, so that a slow sidecar is asked no less.

Each request has a time at which it is meant to be sent; its latency counts from there. One request at a
time on a connection; more are opened when all are busy. No link is between: they are on its machine.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import cast

from larkcrank.core.interface import Effect, RequestClass
from larkcrank.lab.ledger import Ask, Ledger
from larkcrank.lab.scenario import Load
from larkcrank.protocol import http1

LATE_S = 2.0  # past the slack a client waits so much longer, to tell late from never
IDLE_MOST = 64
COME_BACK_S = 0.2  # where a refusal names no time


class _Connection(asyncio.Protocol):
    def __init__(self, clients: "Clients") -> None:
        self._clients = clients
        self._transport: asyncio.Transport | None = None
        self._parser = http1.ResponseParser()
        self.ask: Ask | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.used = False  # has brought an answer already
        self._begun = False  # some of the answer has come

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass

    def send(self, ask: Ask, text: bytes) -> None:
        assert self._transport is not None
        self.ask, ask.sent_at = ask, self._clients.ledger.now()
        self._begun = False
        left = ask.asked_at + ask.deadline + self._clients.patience_s - ask.sent_at
        self.timer = asyncio.get_running_loop().call_later(max(left, 0.0), self._too_late)
        self._transport.write(text)

    def data_received(self, data: bytes) -> None:
        self._begun = True
        try:
            self._parser.feed(data)
        except http1.MessageError as error:
            self.end(f"no HTTP: {error}")
            return
        if not self._parser.complete:
            return
        answer = self._parser.response()
        self._parser, self.used = http1.ResponseParser(), True
        if (ask := self._free()) is None:
            return
        ask.status, ask.ended_at = answer.status, self._clients.ledger.now()
        ask.body = answer.body[:64].decode("latin-1")
        if answer.status in (429, 503) and (after := answer.fields.get_single(b"retry-after")) is not None:
            ask.retry_after = float(after)
        if not answer.keep_alive:
            self.close()
        else:
            self._clients.idle(self)
        self._clients.answered(ask)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._clients.dropped(self)
        if (ask := self._free()) is None:
            return
        if self.used and not self._begun and not ask.resent:
            ask.resent = True  # the end of a connection that had rested crossed the request ...
            ask.sent_at = -1.0  # ... which nobody has taken: it counts as sent with the new one
            self._clients.send_again(ask)
            return
        ask.ended_at, ask.why = self._clients.ledger.now(), "cut off"

    def end(self, why: str) -> None:
        if (ask := self._free()) is not None:
            ask.ended_at, ask.why = self._clients.ledger.now(), why
        self.close()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    @property
    def usable(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def _too_late(self) -> None:
        self.end("out of time")

    def _free(self) -> Ask | None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        ask, self.ask = self.ask, None
        return ask


class Clients:
    """All clients of one sidecar."""

    def __init__(
        self,
        sidecar: int,
        load: Load,
        classes: dict[str, RequestClass],
        place: Callable[[], tuple[str, int] | None],
        rng: Random,
        ledger: Ledger,
        slack_s: float,
    ) -> None:
        self.ledger = ledger
        self.patience_s = slack_s + LATE_S
        self._sidecar, self._load, self._classes = sidecar, load, classes
        self._place, self._rng = place, rng
        self._idle: list[_Connection] = []
        self._all: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._count = 0
        self._backs: dict[str, int] = {}  # by request: how often its client has come back
        self._names = list(load.classes)
        self._shares = [load.classes[name] for name in self._names]

    async def run(self, until: float, goes_on: Callable[[], bool] = lambda: False) -> None:
        """Ask until then, on the ledger's clock, and as long as it goes on. What is out then has its time."""
        if self._load.rate <= 0.0:
            return
        at = 0.0
        while (at := at + self._rng.expovariate(self._load.rate)) < until or goes_on():
            wait = at - self.ledger.now()
            if wait > 0.0:
                await asyncio.sleep(wait)
            name = self._rng.choices(self._names, self._shares)[0]
            subject = self._rng.randrange(1, self._load.subjects + 1) if self._load.subjects else 0
            self._begin(at, name, subject)

    async def finish(self) -> None:
        """Wait for all that is out; each has its deadline."""
        while self._tasks or any(one.ask is not None for one in self._all):
            await asyncio.sleep(0.05)

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for connection in list(self._all):
            connection.close()

    def idle(self, connection: _Connection) -> None:
        if len(self._idle) < IDLE_MOST:
            self._idle.append(connection)
        else:
            connection.close()

    def dropped(self, connection: _Connection) -> None:
        self._all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def answered(self, ask: Ask) -> None:
        back = self._backs.pop(ask.id, 0)
        if ask.status not in (429, 503) or back >= self._load.repeats:
            return
        wait = ask.retry_after if ask.retry_after >= 0.0 else COME_BACK_S
        self._do(self._come_back(ask, wait, back + 1))

    def send_again(self, ask: Ask) -> None:
        self._do(self._open(ask, self._classes[ask.cls]))

    async def _come_back(self, ask: Ask, wait: float, back: int) -> None:
        await asyncio.sleep(wait)
        self._begin(self.ledger.now(), ask.cls, ask.subject, ask, back)

    def _begin(self, at: float, name: str, subject: int, before: Ask | None = None, back: int = 0) -> None:
        self._count += 1
        key = before.key if before is not None else ""
        cls = self._classes[name]
        number = f"{self._sidecar}-{self._count}"
        if cls.effect is Effect.KEYED and not key:
            key = f"{self._rng.getrandbits(96):024x}"
        ask = Ask(number, self._sidecar, name, at, at, number, key=key, subject=subject)
        if before is not None:
            ask.meant_at, ask.first = before.meant_at, before.first
        ask.deadline = cls.deadline_ms / 1000.0 * self._load.patience
        if back:
            self._backs[number] = back
        self.ledger.asks.append(ask)
        while self._idle:
            connection = self._idle.pop()
            if connection.usable:
                connection.send(ask, self._text(ask, cls))
                return
        self._do(self._open(ask, cls))

    async def _open(self, ask: Ask, cls: RequestClass) -> None:
        place = self._place()
        try:
            if place is None:
                raise ConnectionRefusedError
            async with asyncio.timeout(ask.deadline):
                loop = asyncio.get_running_loop()
                _, connection = await loop.create_connection(lambda: _Connection(self), *place)
        except (OSError, TimeoutError):
            ask.ended_at, ask.why = self.ledger.now(), "unreached"
            self._backs.pop(ask.id, None)
            return
        self._all.add(connection)
        if connection.usable:
            connection.send(ask, self._text(ask, cls))
        else:
            ask.ended_at, ask.why = self.ledger.now(), "unreached"

    def _text(self, ask: Ask, cls: RequestClass) -> bytes:
        left = max(ask.asked_at + ask.deadline - self.ledger.now(), 0.001)
        lines = [b"Host: lab", f"Req-Id: {ask.id}".encode(), f"Req-Kind: {cls.name}".encode()]
        lines.append(b"Req-Deadline: %.3f" % left)
        if ask.key:
            lines.append(f"Idempotency-Key: {ask.key}".encode())
        if ask.subject:
            lines.append(b"Req-Extra: item=%d" % ask.subject)
        method = b"GET" if cls.effect is Effect.SAFE else b"POST"
        return http1.encode_request(method, f"/{cls.name}/{ask.id}".encode(), lines, b"")

    def _do(self, work: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
