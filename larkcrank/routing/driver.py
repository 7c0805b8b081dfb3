"""Feeds the decisions with events, one at a time, and carries out what they decide. It decides nothing."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

from larkcrank.core.interface import (
    Action,
    Address,
    Cancel,
    ClientGone,
    CloseIdle,
    DiscoveryFailed,
    Event,
    Fail,
    FetchList,
    Log,
    Outcome,
    Probe,
    ProbeResult,
    Refuse,
    Request,
    Result,
    Send,
    ServerList,
    SetTimer,
    StreamStarted,
    Tell,
    TimerFired,
    Uploaded,
    Watch,
)
from larkcrank.protocol import platform
from larkcrank.protocol.discovery import ListUpdate
from larkcrank.routing.discovery import Discovery
from larkcrank.routing.exchange import Exchange
from larkcrank.routing.servers import Attempt, Servers

OVERDUE_SHARE = 0.5  # of the grace after the deadline: then a request still open is failed here


class Decisions(Protocol):
    """What decides: the balancer, or whatever stands in its place."""

    def handle(self, now: float, event: Event) -> list[Action]: ...


class Tally(Protocol):
    """What the driver counts."""

    taken: int
    served: int
    refused: int
    failed: int
    clients_gone: int
    gone_before_send: int
    overdue: int
    unsent_late: int
    crashed: int

    def outcome(self, result: Result) -> None: ...


class Journal(Protocol):
    """Where events are logged."""

    def event(self, name: str, **fields: object) -> None: ...


class Driver:
    """One for a sidecar. `handle` is never entered twice: what arises meanwhile queues up."""

    def __init__(
        self,
        decisions: Decisions,
        clock: Callable[[], float],
        servers: Servers,
        discovery: Discovery,
        max_open: int,
        grace_ms: float,
        tally: Tally,
        journal: Journal,
    ) -> None:
        self._decisions = decisions
        self._clock = clock
        self._servers = servers
        self._discovery = discovery
        self._max_open = max_open
        self._overdue_ms = grace_ms * OVERDUE_SHARE
        self._tally = tally
        self._journal = journal
        self._loop = asyncio.get_running_loop()
        self._events: deque[Event] = deque()
        self._busy = False
        self._open: dict[int, Exchange] = {}
        self._guards: dict[int, asyncio.TimerHandle] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._last_id = 0
        self._discovery_down = False
        servers.on_outcome = self._attempt_ended
        servers.on_stream = self._stream_started
        servers.on_client_gone = self.client_gone
        servers.on_probe = self._probe_ended
        discovery.on_list = self.told
        discovery.on_failure = self._discovery_failed

    # What the client side needs

    def next_id(self) -> int:
        self._last_id += 1
        return self._last_id

    def is_full(self) -> bool:
        return len(self._open) >= self._max_open

    def take(self, exchange: Exchange) -> None:
        self._tally.taken += 1
        self._open[exchange.id] = exchange
        uploading = exchange.upload is not None
        left = exchange.wait_ms if uploading else self._guard(exchange)
        self.feed(
            Request(
                id=exchange.id,
                class_index=exchange.cls,
                time_left_ms=left,
                tenant_index=exchange.tenant,
                key=exchange.key,
                is_retry=exchange.call.is_retry,
                uploading=uploading,
            )
        )

    def uploaded(self, exchange: Exchange) -> None:
        """Its last byte has come: its time begins."""
        if self._open.get(exchange.id) is exchange:
            left = self._guard(exchange)
            self._servers.uploaded(exchange)
            self.feed(Uploaded(exchange.id, left))

    def _guard(self, exchange: Exchange) -> float:
        left = exchange.deadline - self._clock()
        self._guards[exchange.id] = self._loop.call_later(
            (left + self._overdue_ms) / 1000.0, self._overdue, exchange
        )
        return left

    def end_by(self, latest: float) -> None:
        """What is open has its answer by then, whatever its client would wait: we are gone after that."""
        for exchange in self._open.values():
            if exchange.id in self._guards and latest < exchange.deadline:
                exchange.deadline = latest
                self._guards.pop(exchange.id).cancel()
                self._guard(exchange)

    def client_gone(self, exchange: Exchange) -> None:
        """Its client has left. Whoever sees that first tells it; the second time changes nothing."""
        if not exchange.leave():
            return
        self._tally.clients_gone += 1
        if not exchange.written:
            self._tally.gone_before_send += 1
        self._forget(exchange)
        self._servers.drop_unwritten(exchange)
        self.feed(ClientGone(exchange.id))

    # What the server side and discovery tell

    def told(self, listing: ListUpdate, cached: bool = False) -> None:
        self._servers.learn(listing)
        if self._discovery_down and not cached:
            self._discovery_down = False
            self._journal.event("discovery_answers", generation=listing.generation)
        self.feed(ServerList(listing.endpoints, listing.is_full, cached, listing.generation))

    def _discovery_failed(self, reason: str) -> None:
        if not self._discovery_down:  # the log tells changes of state only
            self._discovery_down = True
            self._journal.event("discovery_failed", reason=reason)
        self.feed(DiscoveryFailed())

    def _attempt_ended(self, attempt: Attempt, result: Result, load: tuple[float, ...]) -> None:
        exchange = attempt.exchange
        self._tally.outcome(result)
        if result is Result.OK and self._open.get(exchange.id) is exchange:
            self._tally.served += 1
            self._forget(exchange)
        elapsed = self._clock() - attempt.started
        self.feed(
            Outcome(
                exchange.id,
                attempt.index,
                attempt.address,
                result,
                elapsed,
                exchange.closed,
                load,
                can_resend=exchange.upload is None or exchange.upload.again,
            )
        )

    def _stream_started(self, attempt: Attempt) -> None:
        self._tally.served += 1
        self._forget(attempt.exchange)
        elapsed = self._clock() - attempt.started
        self.feed(StreamStarted(attempt.exchange.id, attempt.index, attempt.address, elapsed))

    def _probe_ended(self, address: Address, result: Result, elapsed: float, load: tuple[float, ...]) -> None:
        self.feed(ProbeResult(address, result, elapsed, load))

    # Events in, actions out

    def feed(self, event: Event) -> None:
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._step(self._events.popleft())
        finally:
            self._busy = False

    def _step(self, event: Event) -> None:
        try:
            actions = self._decisions.handle(self._clock(), event)
        except Exception as error:
            self._tally.crashed += 1
            self._journal.event("decision_crashed", on=type(event).__name__, error=repr(error))
            number = getattr(event, "id", None)
            if number in self._open:  # one request ends by it, the others go on
                self._finish(self._open[number], 500, (), "failed")
                self._events.append(ClientGone(number))
            return
        for action in actions:
            try:
                self._carry_out(action)
            except Exception as error:
                self._tally.crashed += 1
                self._journal.event("action_crashed", on=type(action).__name__, error=repr(error))

    def _carry_out(self, action: Action) -> None:
        match action:
            case SetTimer():
                if self._timer is not None:
                    self._timer.cancel()
                self._timer = self._loop.call_later(
                    max(action.wait_ms, 0.0) / 1000.0, self.feed, TimerFired(action.token)
                )
            case Send():
                self._send(action)
            case Refuse():
                if (exchange := self._open.get(action.id)) is not None:
                    lines = (
                        (platform.retry_after_line(action.retry_after_ms),) if action.retry_after_ms else ()
                    )
                    self._finish(exchange, 503, lines, "refused")
            case Fail():
                if (exchange := self._open.get(action.id)) is not None:
                    late = self._clock() + 2 * self._overdue_ms >= exchange.deadline
                    self._finish(exchange, 504 if late else 502, (), "failed")
            case Cancel():
                self._servers.cancel(action.id, action.attempt)
            case Probe():
                self._servers.probe(action.address)
            case Watch():
                self._discovery.watch(action.subscribe)
            case FetchList():
                self._discovery.fetch()
            case CloseIdle():
                self._servers.close_idle(action.address)
            case Log():
                self._journal.event("decision", text=action.text)
            case Tell():
                self._journal.event("not_carried_out", action="Tell")

    def _send(self, action: Send) -> None:
        exchange = self._open.get(action.id)
        if exchange is None:  # after its answer nothing is sent for a request
            self._journal.event("not_carried_out", action="Send")
            return
        index = exchange.attempts
        exchange.attempts += 1
        stop_at = min(action.stop_at_ms or exchange.deadline, exchange.deadline)
        self._servers.start(exchange, index, action.address, stop_at, action.begin_by_ms)

    def _finish(self, exchange: Exchange, status: int, lines: tuple[bytes, ...], how: str) -> None:
        self._forget(exchange)
        if how == "refused":
            self._tally.refused += 1
        else:
            self._tally.failed += 1
        spent = self._clock() - exchange.came_at
        if not exchange.written and spent > (exchange.deadline - exchange.came_at) / 2:
            self._tally.unsent_late += 1
        exchange.answer(status, lines, how.encode())
        self._servers.drop_unwritten(exchange)

    def _overdue(self, exchange: Exchange) -> None:
        """The deadline has passed and nothing was decided: the client is not left without an answer."""
        if self._open.get(exchange.id) is exchange:
            self._tally.overdue += 1
            self._journal.event("overdue", request=exchange.call.id, attempts=exchange.attempts)
            self._finish(exchange, 504, (), "failed")
            self.feed(ClientGone(exchange.id))

    def _forget(self, exchange: Exchange) -> None:
        self._open.pop(exchange.id, None)
        guard = self._guards.pop(exchange.id, None)
        if guard is not None:
            guard.cancel()
