"""The endpoint stand-in: slots, a queue, a cap on connections, a cold start that falls over, a drain.

Service time is work divided by the speed of that moment; a cold endpoint's speed grows evenly from
`cold_from` to 1. Work that has begun goes on whether or not anybody still waits for it. Keys are dropped by
the whole group, as in a store that its endpoints share.
"""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from larkcrank.core.interface import Effect, Group, RequestClass
from larkcrank.lab.ledger import Attempt, Ledger
from larkcrank.lab.ledger import Effect as Done
from larkcrank.lab.links import LinkConnection
from larkcrank.lab.scenario import Endpoints
from larkcrank.protocol import http1


def excess(calls: float, allowed: float) -> float:
    """Calls beyond N, in roots of N."""
    return (calls - allowed) / math.sqrt(allowed)


def nearness(calls: float, allowed: float) -> float:
    """Calls, as a share of what N and chance come to: above 1 the rule would be broken."""
    return calls / (allowed + 2.0 * math.sqrt(allowed) + 2.0)


class Keys:
    """Keys that groups have met, each until its window is over."""

    def __init__(self) -> None:
        self._until: dict[tuple[str, str], float] = {}

    def is_new(self, group: str, key: str, now: float, window_s: float) -> bool:
        """Whether this is no repeat; then it is remembered for the window."""
        if self._until.get((group, key), -1.0) > now:
            return False
        if len(self._until) > 100_000:
            self._until = {one: until for one, until in self._until.items() if until > now}
        self._until[group, key] = now + window_s
        return True


@dataclass(slots=True)
class _Work:
    attempt: Attempt
    key: str
    cls: RequestClass
    connection: "EndpointConnection"
    body: bytes
    extra_ms: float


class Endpoint:
    """One endpoint; `name` and place may change when it is replaced."""

    def __init__(
        self,
        index: int,
        name: str,
        zone: str,
        setting: Endpoints,
        classes: dict[str, RequestClass],
        keys: Keys,
        rng: Random,
        ledger: Ledger,
        stood: Callable[["Endpoint"], None],
    ) -> None:
        self.index, self.name, self.zone = index, name, zone
        self.state = "Ready"
        self.up = True
        self.place = 0  # which of its links' addresses is its own now
        self.started_at: float | None = None  # on the run's clock; None: long ago
        self.slower = 1.0
        self.fell = False
        self.most_connections = 0
        self.declined = 0
        self._set, self._classes, self._keys, self._rng, self._ledger = setting, classes, keys, rng, ledger
        self._stood = stood  # called when it goes down or comes up
        self._busy = 0
        self._waiting: deque[_Work] = deque()
        self._life = 0  # work of an earlier life comes to nothing
        self._sent: deque[tuple[float, float]] = deque()  # times and works of late, while cold
        self._open: set[EndpointConnection] = set()

    def accept(self, connection: LinkConnection, sidecar: int) -> "EndpointConnection":
        handler = EndpointConnection(self, connection, sidecar)
        self._ledger.connections += 1
        if len(self._open) >= self._set.connections:
            connection.close(reset=False)
            return handler
        self._open.add(handler)
        self.most_connections = max(self.most_connections, len(self._open))
        return handler

    def forget(self, connection: "EndpointConnection") -> None:
        self._open.discard(connection)

    def speed(self) -> float:
        """Share of its full speed now."""
        warm = 1.0
        if self.started_at is not None and self._set.warm_after_ms > 0:
            since = (self._ledger.now() - self.started_at) * 1000.0 / self._set.warm_after_ms
            warm = min(self._set.cold_from + (1.0 - self._set.cold_from) * since, 1.0)
        return warm / self.slower

    def die(self) -> None:
        """The process ends: connections are reset, new ones refused, what it worked on is gone."""
        self.up = False
        self._life += 1
        self._busy = 0
        self._waiting.clear()
        self._sent.clear()
        for connection in list(self._open):
            connection.link.close(reset=True)
        self._open.clear()
        self._stood(self)

    def start(self, name: str | None = None) -> None:
        """Up again, cold; under another name it is another one to discovery."""
        self.name = name or self.name
        self.up, self.fell, self.state, self.slower = True, False, "Ready", 1.0
        self.started_at = self._ledger.now()
        self._stood(self)

    def take(self, work: _Work) -> None:
        if self.state != "Ready" or len(self._waiting) >= self._set.queue:
            self.declined += 1
            work.connection.answer(work, 503, (b"Srv-Declined: 1",), b"")
            return
        mean = self._set.service_ms
        took = mean if self._set.spread == "fixed" else self._rng.expovariate(1.0 / mean)
        work.extra_ms += took
        self._watch_cold(work.extra_ms)
        if not self.up:
            return  # that one was too much
        self._waiting.append(work)
        self._begin()

    def _watch_cold(self, work_ms: float) -> None:
        """Rule 4: sent too many times what it can do for too long, a cold one falls over and stays down."""
        speed, now = self.speed() * self.slower, self._ledger.now()
        if speed >= 1.0:
            self._sent.clear()
            return
        span = self._set.fall_ms / 1000.0
        self._sent.append((now, work_ms))
        while self._sent and self._sent[0][0] < now - span:
            self._sent.popleft()
        can = self._set.workers * speed * self._set.fall_ms
        got = sum(one for _, one in self._sent)
        self._note_cold(got / self._set.service_ms, self._set.fall_multiple * can / self._set.service_ms)
        if got > self._set.fall_multiple * can:
            self.fell = True
            self._ledger.event("fell", self.name, f"sent over {self._set.fall_multiple} times what it can do")
            self.die()

    def _note_cold(self, calls: float, allowed: float) -> None:
        """Keep its worst window; calls and what is allowed are requests of mean work."""
        worst = self._ledger.cold.get(self.name)
        if math.isfinite(allowed) and (worst is None or nearness(calls, allowed) > nearness(*worst)):
            self._ledger.cold[self.name] = calls, allowed

    def _begin(self) -> None:
        loop = asyncio.get_running_loop()
        while self._waiting and self._busy < self._set.workers:
            work = self._waiting.popleft()
            self._busy += 1
            loop.call_later(work.extra_ms / 1000.0 / max(self.speed(), 1e-3), self._done, work, self._life)

    def _done(self, work: _Work, life: int) -> None:
        if life != self._life:
            return
        self._busy -= 1
        cls, now = work.cls, self._ledger.now()
        group = {Group.ALL: "all", Group.ZONE: self.zone, Group.CELL: str(self.index)}[cls.group]
        keyed = cls.effect is Effect.KEYED
        if not keyed or self._keys.is_new(group, work.key, now, cls.window_ms / 1000.0):
            self._ledger.effects.append(Done(now, work.attempt.request, work.key, self.name))
        work.connection.answer(work, 200, (), work.body)
        self._begin()


class EndpointConnection:
    """One connection, as the endpoint has it: requests one after another."""

    def __init__(self, endpoint: Endpoint, link: LinkConnection, sidecar: int) -> None:
        self.link = link
        self._endpoint, self._sidecar = endpoint, sidecar
        self._parser = http1.RequestParser()
        self._entered_at = -1.0
        self._is_new = True
        self._open: list[Attempt] = []
        link.on_near_lost = self._near_lost

    def data(self, data: bytes) -> None:
        endpoint = self._endpoint
        if not endpoint.up:
            return
        if self._entered_at < 0.0:
            self._entered_at = self.link.entered_at
        try:
            self._parser.feed(data)
            request = self._parser.next()
        except http1.MessageError as error:
            endpoint._ledger.event("malformed", endpoint.name, str(error))
            self.link.close(reset=True)
            return
        if request is None:
            return
        self._request(request)

    def lost(self) -> None:
        self._endpoint.forget(self)

    def answer(self, work: _Work, status: int, lines: tuple[bytes, ...], body: bytes) -> None:
        attempt = work.attempt
        attempt.status = status

        def through() -> None:
            if attempt.ended_at < 0.0:
                attempt.ended_at = self._endpoint._ledger.now()
                self._open.remove(attempt)

        self.link.write(http1.encode_response(status, lines, body), through)

    def _request(self, request: http1.Request) -> None:
        endpoint, ledger = self._endpoint, self._endpoint._ledger
        number = (request.fields.get_single(b"req-id") or b"").decode("latin-1")
        kind = request.target.lstrip(b"/").partition(b"/")[0].decode("latin-1")
        cls = endpoint._classes.get(kind)
        sidecar, told = self._sidecar, number.partition("-")[0]
        if sidecar < 0 and told.isdecimal():  # a link that all share: the request's id tells whose it is
            sidecar = int(told)
        attempt = Attempt(number, sidecar, endpoint.name, self._entered_at, ledger.now())
        attempt.new_connection = self._is_new
        ledger.attempts.append(attempt)
        self._open.append(attempt)
        extra = endpoint._set.handshake_ms if self._is_new else 0.0
        self._is_new, self._entered_at = False, -1.0
        if cls is None:
            ledger.event("malformed", endpoint.name, f"no class {kind!r}")
            self.link.close(reset=True)
            return
        key = (request.fields.get_single(b"idempotency-key") or b"").decode("latin-1")
        endpoint.take(_Work(attempt, key, cls, self, b"did " + number.encode("latin-1"), extra))

    def _near_lost(self) -> None:
        """The sidecar has ended the connection, or its process has died: its attempts are over for it."""
        for attempt in self._open:
            attempt.ended_at = self._endpoint._ledger.now()
        self._open.clear()
