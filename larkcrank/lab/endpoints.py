"""The bench's stand-in for an endpoint: workers, a queue, a connection limit, cold starts and drains.

The service time of a request is its work divided by the speed at its start. The speed of a cold endpoint
grows linearly from `cold_from` to 1. A cold endpoint that gets far too much work falls over. Work that has
begun is finished even if the client has gone. Repeated idempotency keys are dropped across the whole group,
as in a store that the group's endpoints share.
"""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from larkcrank.core.interface import Effect, Group, RequestClass
from larkcrank.lab.ledger import Attempt, Ledger
from larkcrank.lab.ledger import Effect as CompletedWork
from larkcrank.lab.links import LinkConnection
from larkcrank.lab.scenario import EndpointSettings
from larkcrank.protocol import http1

DECLINED_LINE = b"Srv-Declined: 1"  # proves that the endpoint did not run the request


def excess_in_sqrt_units(calls: float, allowed: float) -> float:
    """Return by how many square roots of `allowed` the number of calls exceeds it."""
    return (calls - allowed) / math.sqrt(allowed)


def limit_utilisation(calls: float, allowed: float) -> float:
    """Return calls as a share of the limit plus an allowance for chance; above 1 the rule is broken."""
    return calls / (allowed + 2.0 * math.sqrt(allowed) + 2.0)


class IdempotencyKeys:
    """The idempotency keys that each group has seen, each kept until its window ends."""

    def __init__(self) -> None:
        self._expires_at: dict[tuple[str, str], float] = {}

    def add_if_new(self, group: str, key: str, now: float, window_s: float) -> bool:
        """Return whether the key is new. A new key is remembered for `window_s`."""
        if self._expires_at.get((group, key), -1.0) > now:
            return False
        if len(self._expires_at) > 100_000:
            self._expires_at = {
                group_key: expires_at
                for group_key, expires_at in self._expires_at.items()
                if expires_at > now
            }
        self._expires_at[group, key] = now + window_s
        return True


@dataclass(slots=True, frozen=True)
class StrayAnswers:
    """Answers that an endpoint sends although nobody asked for them, some time after a true answer."""

    share: float  # of the true answers that a stray one follows
    delay_s: float
    jitter_s: float
    answer: str  # copy, other or rejection, as in `scenario.Fault`

    def encode(self, answer: bytes) -> bytes:
        """Return the stray answer that follows the true `answer`."""
        match self.answer:
            case "other":
                return http1.encode_response(200, (), b"did what nobody asked for")
            case "rejection":
                return http1.encode_response(503, (DECLINED_LINE,), b"")
        return answer


@dataclass(slots=True)
class _QueuedRequest:
    """A request that an endpoint has accepted, with the work that it takes at full speed."""

    attempt: Attempt
    key: str
    cls: RequestClass
    connection: "EndpointConnection"
    body: bytes
    work_ms: float


class Endpoint:
    """One endpoint. Its name and address may change when it is replaced."""

    def __init__(
        self,
        index: int,
        name: str,
        zone: str,
        settings: EndpointSettings,
        classes: dict[str, RequestClass],
        keys: IdempotencyKeys,
        rng: Random,
        ledger: Ledger,
        on_running_changed: Callable[["Endpoint"], None],
    ) -> None:
        self.index, self.name, self.zone = index, name, zone
        self.state = "Ready"
        self.running = True
        self.address_index = 0  # index into each link's `ports` of the current port
        self.started_at: float | None = None  # on the run's clock; None: warm since before the run
        self.slowdown = 1.0  # factor by which a crowd fault slows it down
        self.stray_answers: StrayAnswers | None = None
        self.collapsed = False  # it crashed because of overload while cold
        self.most_connections = 0
        self.declined = 0
        self._settings, self._classes, self._keys, self._rng, self._ledger = (
            settings,
            classes,
            keys,
            rng,
            ledger,
        )
        self._on_running_changed = on_running_changed  # called when it goes down or comes up again
        self._busy_workers = 0
        self._waiting: deque[_QueuedRequest] = deque()
        self._incarnation = 0  # results of work from an earlier incarnation are discarded
        self._recent_cold_work: deque[tuple[float, float]] = deque()  # time and work (ms) of each request
        self._connections: set[EndpointConnection] = set()

    def accept(self, connection: LinkConnection, sidecar: int) -> "EndpointConnection":
        handler = EndpointConnection(self, connection, sidecar)
        self._ledger.connections += 1
        if len(self._connections) >= self._settings.connections:
            connection.close(reset=False)
            return handler
        self._connections.add(handler)
        self.most_connections = max(self.most_connections, len(self._connections))
        return handler

    def remove_connection(self, connection: "EndpointConnection") -> None:
        self._connections.discard(connection)

    def speed(self) -> float:
        """Return the current speed as a share of full speed."""
        warm_speed = 1.0
        if self.started_at is not None and self._settings.warm_after_ms > 0:
            warm_up_share = (self._ledger.now() - self.started_at) * 1000.0 / self._settings.warm_after_ms
            warm_speed = min(self._settings.cold_from + (1.0 - self._settings.cold_from) * warm_up_share, 1.0)
        return warm_speed / self.slowdown

    def crash(self) -> None:
        """Simulate the process's death: reset connections, refuse new ones and drop all work."""
        self.running = False
        self._incarnation += 1
        self._busy_workers = 0
        self._waiting.clear()
        self._recent_cold_work.clear()
        for connection in list(self._connections):
            connection.link.close(reset=True)
        self._connections.clear()
        self._on_running_changed(self)

    def start(self, name: str | None = None) -> None:
        """Start again, cold. With a new name, discovery treats it as another endpoint."""
        self.name = name or self.name
        self.running, self.collapsed, self.state, self.slowdown = True, False, "Ready", 1.0
        self.started_at = self._ledger.now()
        self._on_running_changed(self)

    def receive(self, queued: _QueuedRequest) -> None:
        """Queue a request, or decline it if the endpoint is not ready or its queue is full."""
        if self.state != "Ready" or len(self._waiting) >= self._settings.queue:
            self.declined += 1
            queued.connection.answer(queued, 503, (DECLINED_LINE,), b"")
            return
        mean_ms = self._settings.service_ms
        service_ms = mean_ms if self._settings.spread == "fixed" else self._rng.expovariate(1.0 / mean_ms)
        queued.work_ms += service_ms
        self._check_cold_overload(queued.work_ms)
        if not self.running:
            return  # this request made the cold endpoint fall over
        self._waiting.append(queued)
        self._start_queued()

    def _check_cold_overload(self, work_ms: float) -> None:
        """Rule 4: a cold endpoint that gets over `fall_multiple` times its capacity in `fall_ms` crashes."""
        speed, now = self.speed() * self.slowdown, self._ledger.now()
        if speed >= 1.0:
            self._recent_cold_work.clear()
            return
        window_s = self._settings.fall_ms / 1000.0
        self._recent_cold_work.append((now, work_ms))
        while self._recent_cold_work and self._recent_cold_work[0][0] < now - window_s:
            self._recent_cold_work.popleft()
        capacity_ms = self._settings.workers * speed * self._settings.fall_ms
        received_ms = sum(received_work_ms for _, received_work_ms in self._recent_cold_work)
        self._record_cold_window(
            received_ms / self._settings.service_ms,
            self._settings.fall_multiple * capacity_ms / self._settings.service_ms,
        )
        if received_ms > self._settings.fall_multiple * capacity_ms:
            self.collapsed = True
            self._ledger.record_event(
                "fell", self.name, f"sent over {self._settings.fall_multiple} times what it can do"
            )
            self.crash()

    def _record_cold_window(self, calls: float, allowed: float) -> None:
        """Record the window if it is the worst so far. Both arguments count requests of mean work."""
        worst = self._ledger.worst_cold_windows.get(self.name)
        if math.isfinite(allowed) and (
            worst is None or limit_utilisation(calls, allowed) > limit_utilisation(*worst)
        ):
            self._ledger.worst_cold_windows[self.name] = calls, allowed

    def _start_queued(self) -> None:
        loop = asyncio.get_running_loop()
        while self._waiting and self._busy_workers < self._settings.workers:
            queued = self._waiting.popleft()
            self._busy_workers += 1
            loop.call_later(
                queued.work_ms / 1000.0 / max(self.speed(), 1e-3), self._finish, queued, self._incarnation
            )

    def group_of(self, cls: RequestClass) -> str:
        """Return the group within which repeats of a request of this class are dropped."""
        return {Group.ALL: "all", Group.ZONE: self.zone, Group.CELL: str(self.index)}[cls.group]

    def draw_stray_answer(self, answer: bytes) -> tuple[float, bytes] | None:
        """Return delay (seconds) and text of the stray answer that follows `answer`, or None."""
        stray = self.stray_answers
        if stray is None or self._rng.random() >= stray.share:
            return None
        return stray.delay_s + self._rng.random() * stray.jitter_s, stray.encode(answer)

    def _finish(self, queued: _QueuedRequest, incarnation: int) -> None:
        if incarnation != self._incarnation:
            return
        self._busy_workers -= 1
        cls, now = queued.cls, self._ledger.now()
        is_keyed = cls.effect is Effect.KEYED
        if not is_keyed or self._keys.add_if_new(self.group_of(cls), queued.key, now, cls.window_ms / 1000.0):
            self._ledger.effects.append(CompletedWork(now, queued.attempt.request, queued.key, self.name))
        queued.connection.answer(queued, 200, (), queued.body)
        self._start_queued()


class EndpointConnection:
    """The endpoint's side of one connection, which carries one request at a time."""

    def __init__(self, endpoint: Endpoint, link: LinkConnection, sidecar: int) -> None:
        self.link = link
        self._endpoint, self._sidecar = endpoint, sidecar
        self._parser = http1.RequestParser()
        self._entered_at = -1.0
        self._is_new = True
        self._open_attempts: list[Attempt] = []
        link.on_sidecar_closed = self._sidecar_closed

    def handle_data(self, data: bytes) -> None:
        endpoint = self._endpoint
        if not endpoint.running:
            return
        if self._entered_at < 0.0:
            self._entered_at = self.link.entered_at
        try:
            self._parser.feed(data)
            request = self._parser.next()
        except http1.MessageError as error:
            endpoint._ledger.record_event("malformed", endpoint.name, str(error))
            self.link.close(reset=True)
            return
        if request is None:
            return
        self._handle_request(request)

    def handle_close(self) -> None:
        self._endpoint.remove_connection(self)

    def answer(self, queued: _QueuedRequest, status: int, lines: tuple[bytes, ...], body: bytes) -> None:
        attempt = queued.attempt
        attempt.status = status

        def record_answer_delivered() -> None:
            if attempt.ended_at < 0.0:
                attempt.ended_at = self._endpoint._ledger.now()
                self._open_attempts.remove(attempt)

        encoded_answer = http1.encode_response(status, lines, body)
        self.link.write(encoded_answer, record_answer_delivered)
        if (stray_answer := self._endpoint.draw_stray_answer(encoded_answer)) is not None:
            delay_s, text = stray_answer
            asyncio.get_running_loop().call_later(delay_s, self._write_stray_answer, text)

    def _write_stray_answer(self, text: bytes) -> None:
        self._endpoint._ledger.stray_answers += 1
        self.link.write(text)

    def _handle_request(self, request: http1.Request) -> None:
        endpoint, ledger = self._endpoint, self._endpoint._ledger
        request_id = (request.fields.get_single(b"req-id") or b"").decode("latin-1")
        class_name = request.target.lstrip(b"/").partition(b"/")[0].decode("latin-1")
        cls = endpoint._classes.get(class_name)
        sidecar, id_prefix = self._sidecar, request_id.partition("-")[0]
        if sidecar < 0 and id_prefix.isdecimal():  # shared link: the sidecar is in the request id
            sidecar = int(id_prefix)
        attempt = Attempt(request_id, sidecar, endpoint.name, self._entered_at, ledger.now())
        attempt.new_connection = self._is_new
        if cls is not None:
            attempt.group = endpoint.group_of(cls)
        attempt.entered_late = self.link.entered_late
        attempt.told_s = float(request.fields.get_single(b"req-deadline") or -1.0)
        ledger.attempts.append(attempt)
        if self.link.is_closed_by_sidecar:  # the link delivered the request after the end of its connection
            attempt.ended_at = attempt.arrived_at
        else:
            self._open_attempts.append(attempt)
        handshake_ms = endpoint._settings.handshake_ms if self._is_new else 0.0
        self._is_new, self._entered_at = False, -1.0
        if cls is None:
            ledger.record_event("malformed", endpoint.name, f"no class {class_name!r}")
            self.link.close(reset=True)
            return
        key = (request.fields.get_single(b"idempotency-key") or b"").decode("latin-1")
        endpoint.receive(
            _QueuedRequest(attempt, key, cls, self, b"did " + request_id.encode("latin-1"), handshake_ms)
        )

    def _sidecar_closed(self) -> None:
        """End all open attempts: the sidecar closed the connection, or its process died."""
        for attempt in self._open_attempts:
            attempt.ended_at = self._endpoint._ledger.now()
        self._open_attempts.clear()
