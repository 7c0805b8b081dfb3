"""Passes events to the balancer one at a time and executes the actions it returns. The driver makes no
routing decisions.
"""

import asyncio
import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from enum import Enum
from functools import partial
from typing import Protocol

from larkcrank.core.interface import (
    Action,
    Address,
    Cancel,
    ClientGone,
    CloseIdle,
    DiscoveryFailed,
    Endpoint,
    Event,
    Fail,
    FetchList,
    HostPort,
    Log,
    Outcome,
    Probe,
    ProbeResult,
    Refuse,
    Request,
    ResolvedList,
    Result,
    Send,
    ServerList,
    SetTimer,
    StallEnded,
    StreamStarted,
    Tell,
    TimerFired,
    Uploaded,
    Watch,
    WithheldServer,
)
from larkcrank.protocol import platform
from larkcrank.protocol.discovery import ListUpdate, format_host_port
from larkcrank.routing.attempt import Attempt
from larkcrank.routing.deadline_timer import DeadlineTimer
from larkcrank.routing.discovery import DiscoveryClient
from larkcrank.routing.exchange import Exchange
from larkcrank.routing.server_directory import MAX_LOGGED_SERVERS
from larkcrank.routing.servers import AttemptExecutor
from larkcrank.routing.start_times import StartTimes

# Fraction of the grace period after the deadline at which a request that is still open is failed.
OVERDUE_GRACE_FRACTION = 0.5
LAST_RESORT_S = 0.01  # after a stall, such a request is failed so much later than the balancer gives it up


class ListSource(Enum):
    """Who told this process of a server list. The values are texts of the log."""

    DISCOVERY = "discovery"
    START = "start"  # the configuration, a snapshot, or the process that served before
    FLEET = "fleet"
    PROCESS = "other process"  # of this sidecar, which had it from discovery


class BalancerInterface(Protocol):
    """The interface through which the driver uses the balancer, or a substitute for it."""

    def handle(self, now: float, event: Event) -> list[Action]: ...


class HostPortOwnersInterface(Protocol):
    """The interface through which the driver finds out which server owns a host and port."""

    def resolve(
        self, endpoints: Iterable[Endpoint], host_ports: Mapping[Address, HostPort], is_complete: bool
    ) -> ResolvedList: ...


class DriverCounters(Protocol):
    """Counters that the driver increments."""

    taken: int
    served: int
    clients_gone: int
    gone_before_send: int
    overdue: int
    uploads_expired: int
    unsent_late: int
    crashed: int

    def outcome(self, result: Result) -> None: ...

    def retry(self, last_result: Result | None) -> None: ...

    def refusal(self, last_result: Result | None) -> None: ...

    def failure(self, last_result: Result | None) -> None: ...


class EventLog(Protocol):
    """The log that the driver writes its events to."""

    def event(self, name: str, **fields: object) -> None: ...


class Driver:
    """Connects the balancer to the client side, the server side and discovery.

    The balancer's `handle` is never re-entered: events that arise while it runs are queued.
    """

    def __init__(
        self,
        balancer: BalancerInterface,
        host_port_owners: HostPortOwnersInterface,
        clock: Callable[[], float],
        attempt_executor: AttemptExecutor,
        discovery: DiscoveryClient,
        max_open: int,
        grace_ms: float,
        counters: DriverCounters,
        event_log: EventLog,
        from_unix: Callable[[float], float] = lambda unix_ms: unix_ms,
    ) -> None:
        self._balancer = balancer
        self._host_port_owners = host_port_owners
        self._clock = clock
        self._attempt_executor = attempt_executor
        self._discovery = discovery
        self._max_open = max_open
        self._overdue_delay_ms = grace_ms * OVERDUE_GRACE_FRACTION
        self._counters = counters
        self._event_log = event_log
        self._start_times = StartTimes(from_unix)
        self._loop = asyncio.get_running_loop()
        self._pending_events: deque[Event] = deque()
        self._is_handling = False
        self._open_exchanges: dict[int, Exchange] = {}
        self._overdue_timers: dict[int, DeadlineTimer[Exchange]] = {}
        self._balancer_timer: asyncio.TimerHandle | None = None
        self._last_request_id = 0
        self._discovery_down = False  # Whether the last call to discovery failed.
        attempt_executor.on_outcome = self._attempt_ended
        attempt_executor.on_stream_started = self._stream_started
        attempt_executor.on_client_gone = self.handle_client_gone
        attempt_executor.on_probe_result = self._probe_ended
        discovery.on_list = self.receive_list
        discovery.on_shared_list = partial(self.receive_list, source=ListSource.PROCESS)
        discovery.on_failure = self._discovery_failed

    # Interface of the client side

    def next_request_id(self) -> int:
        """Return a request id that this process has not used yet."""
        self._last_request_id += 1
        return self._last_request_id

    def is_full(self) -> bool:
        """Return whether the limit on open requests is reached."""
        return len(self._open_exchanges) >= self._max_open

    def start_request(self, exchange: Exchange) -> None:
        """Pass a new request to the balancer."""
        self._counters.taken += 1
        self._open_exchanges[exchange.id] = exchange
        uploading = exchange.upload is not None
        time_left_ms = exchange.client_timeout_ms if uploading else self._start_overdue_timer(exchange)
        self.dispatch(
            Request(
                id=exchange.id,
                class_index=exchange.class_index,
                time_left_ms=time_left_ms,
                tenant_index=exchange.tenant_index,
                key=exchange.key,
                is_retry=exchange.call_info.is_retry,
                uploading=uploading,
            )
        )

    def complete_upload(self, exchange: Exchange) -> None:
        """Record that the last byte of an uploaded body has arrived. The deadline counts from then."""
        if self._open_exchanges.get(exchange.id) is exchange:
            time_left_ms = self._start_overdue_timer(exchange)
            self._attempt_executor.complete_upload(exchange)
            self.dispatch(Uploaded(exchange.id, time_left_ms))

    def expire_upload(self, exchange: Exchange) -> None:
        """Finish a request whose deadline has passed before its body was read, since its endpoint reads too
        slowly or not at all. An attempt that has not got the whole body has not run.
        """
        if self._open_exchanges.get(exchange.id) is not exchange:
            return
        self._counters.uploads_expired += 1
        self._event_log.event(
            "upload_expired",
            request=exchange.call_info.id,
            attempts=exchange.attempt_count,
            waited_ms=round(self._clock() - exchange.arrived_at, 1),
        )
        exchange.is_expired = True
        self._attempt_executor.end_unwritten(exchange)
        if self._open_exchanges.get(exchange.id) is exchange:  # it has no attempt, or one that is written
            self.complete_upload(exchange)

    def expire_unfinished_uploads(self) -> None:
        """Finish the requests whose bodies are still arriving, since the process exits soon."""
        for exchange in list(self._open_exchanges.values()):
            if exchange.deadline == math.inf:
                exchange.deadline = self._clock()
                self.expire_upload(exchange)

    def handle_stall(self) -> None:
        """Leave time for what arrived while the process got no processor time, before deadlines count."""
        self._attempt_executor.input_grace.begin()
        self.dispatch(StallEnded())

    def _start_overdue_timer(self, exchange: Exchange) -> float:
        time_left_ms = exchange.deadline - self._clock()
        delay_s = (time_left_ms + self._overdue_delay_ms) / 1000.0
        self._overdue_timers[exchange.id] = DeadlineTimer(
            self._attempt_executor.input_grace, delay_s, self._fail_overdue, exchange, LAST_RESORT_S
        )
        return time_left_ms

    def limit_deadlines(self, latest_deadline: float) -> None:
        """Move later deadlines of open requests to `latest_deadline`, since the process exits after that.
        Requests whose upload is incomplete have no deadline yet.
        """
        for exchange in self._open_exchanges.values():
            if exchange.id in self._overdue_timers and latest_deadline < exchange.deadline:
                exchange.deadline = latest_deadline
                self._overdue_timers.pop(exchange.id).cancel()
                self._start_overdue_timer(exchange)

    def handle_client_gone(self, exchange: Exchange) -> None:
        """Handle a client that has disconnected. It may be reported more than once; only the first report has
        an effect.
        """
        if not exchange.abandon():
            return
        self._counters.clients_gone += 1
        if not exchange.written_attempts:
            self._counters.gone_before_send += 1
        self._remove_exchange(exchange)
        self._attempt_executor.abandon_unwritten(exchange)
        self.dispatch(ClientGone(exchange.id))

    # Callbacks of the server side and of discovery

    def receive_list(self, server_list: ListUpdate, source: ListSource = ListSource.DISCOVERY) -> None:
        """Apply a server list, without servers at whose host and port another one listens now."""
        cached = source is not ListSource.DISCOVERY
        resolved = self._host_port_owners.resolve(
            server_list.endpoints, server_list.host_ports, server_list.is_full
        )
        server_list = replace(server_list, endpoints=resolved.endpoints, host_ports=resolved.host_ports)
        change = self._attempt_executor.apply_list(server_list, resolved.withheld)
        if change and source is not ListSource.START:
            self._event_log.event(
                "servers_changed",
                generation=server_list.generation,
                source=source.value,
                **change.as_fields(),
            )
        self._log_withheld(resolved.newly_withheld, server_list.generation)
        if self._discovery_down and not cached:
            self._discovery_down = False
            self._event_log.event("discovery_answers", generation=server_list.generation)
        endpoints = self._start_times.convert(server_list.endpoints, server_list.is_full)
        self.dispatch(
            ServerList(
                endpoints, server_list.is_full, cached, server_list.generation, withheld=resolved.withheld
            )
        )

    def _log_withheld(self, servers: tuple[WithheldServer, ...], generation: int) -> None:
        for server in servers[:MAX_LOGGED_SERVERS]:
            self._event_log.event(
                "server_withheld",
                generation=generation,
                server=server.address.hex(),
                host_port=format_host_port(server.host_port),
                other=None if server.other is None else server.other.hex(),
            )

    def _discovery_failed(self, reason: str) -> None:
        if not self._discovery_down:  # Only changes of state are logged.
            self._discovery_down = True
            self._event_log.event("discovery_failed", reason=reason)
        self.dispatch(DiscoveryFailed())

    def _attempt_ended(self, attempt: Attempt, result: Result, load: tuple[float, ...]) -> None:
        exchange = attempt.exchange
        self._counters.outcome(result)
        if result is Result.OK and self._open_exchanges.get(exchange.id) is exchange:
            self._counters.served += 1
            self._remove_exchange(exchange)
        elapsed_ms = self._clock() - attempt.started_at
        self.dispatch(
            Outcome(
                exchange.id,
                attempt.index,
                attempt.address,
                result,
                elapsed_ms,
                exchange.closed,
                load,
                can_resend=not exchange.is_expired
                and (exchange.upload is None or exchange.upload.can_resend),
                is_unproven=attempt.is_unproven,
            )
        )

    def _stream_started(self, attempt: Attempt) -> None:
        self._counters.served += 1
        self._remove_exchange(attempt.exchange)
        elapsed_ms = self._clock() - attempt.started_at
        self.dispatch(StreamStarted(attempt.exchange.id, attempt.index, attempt.address, elapsed_ms))

    def _probe_ended(
        self, address: Address, result: Result, elapsed_ms: float, load: tuple[float, ...]
    ) -> None:
        self.dispatch(ProbeResult(address, result, elapsed_ms, load))

    # Event dispatch and execution of actions

    def dispatch(self, event: Event) -> None:
        """Pass an event to the balancer and execute its actions, or queue it if the balancer is running."""
        self._pending_events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._pending_events:
                self._handle_event(self._pending_events.popleft())
        finally:
            self._is_handling = False

    def _handle_event(self, event: Event) -> None:
        try:
            actions = self._balancer.handle(self._clock(), event)
        except Exception as error:
            self._counters.crashed += 1
            self._event_log.event("decision_crashed", on=type(event).__name__, error=repr(error))
            request_id = getattr(event, "id", None)
            if request_id in self._open_exchanges:  # Only the request concerned fails; the others continue.
                self._finish_with_error(self._open_exchanges[request_id], 500, (), "failed")
                self._pending_events.append(ClientGone(request_id))
            return
        for action in actions:
            try:
                self._execute(action)
            except Exception as error:
                self._counters.crashed += 1
                self._event_log.event("action_crashed", on=type(action).__name__, error=repr(error))

    def _execute(self, action: Action) -> None:
        match action:
            case SetTimer():
                if self._balancer_timer is not None:
                    self._balancer_timer.cancel()
                self._balancer_timer = self._loop.call_later(
                    max(action.wait_ms, 0.0) / 1000.0, self.dispatch, TimerFired(action.token)
                )
            case Send():
                self._start_attempt(action)
            case Refuse():
                if (exchange := self._open_exchanges.get(action.id)) is not None:
                    header_lines = (
                        (platform.retry_after_line(action.retry_after_ms),) if action.retry_after_ms else ()
                    )
                    self._finish_with_error(exchange, 503, header_lines, "refused")
            case Fail():
                if (exchange := self._open_exchanges.get(action.id)) is not None:
                    # 504 if at most the grace period, twice the overdue delay, is left until the deadline.
                    at_deadline = self._clock() + 2 * self._overdue_delay_ms >= exchange.deadline
                    self._finish_with_error(exchange, 504 if at_deadline else 502, (), "failed")
            case Cancel():
                self._attempt_executor.cancel(action.id, action.attempt)
            case Probe():
                self._attempt_executor.probe(action.address)
            case Watch():
                self._discovery.watch(action.subscribe)
            case FetchList():
                self._discovery.fetch_list()
            case CloseIdle():
                self._attempt_executor.close_idle(action.address)
            case Log():
                self._event_log.event("decision", text=action.text)
            case Tell():
                self._event_log.event("not_carried_out", action="Tell")

    def _start_attempt(self, action: Send) -> None:
        exchange = self._open_exchanges.get(action.id)
        if exchange is None:  # Nothing is sent for a request that already has its response.
            self._event_log.event("not_carried_out", action="Send")
            return
        attempt_index = exchange.attempt_count
        if attempt_index:
            self._counters.retry(exchange.last_result)
        exchange.attempt_count += 1
        stop_at_ms = min(action.stop_at_ms or exchange.deadline, exchange.deadline)
        self._attempt_executor.start_attempt(
            exchange, attempt_index, action.address, stop_at_ms, action.begin_by_ms
        )

    def _finish_with_error(
        self, exchange: Exchange, status: int, header_lines: tuple[bytes, ...], outcome_text: str
    ) -> None:
        """Respond with an error status and `outcome_text` ("refused" or "failed") as the body."""
        self._remove_exchange(exchange)
        if outcome_text == "refused":
            self._counters.refusal(exchange.last_result)
        else:
            self._counters.failure(exchange.last_result)
            self._event_log.event(
                "request_failed",
                request=exchange.call_info.id,
                status=status,
                attempts=exchange.attempt_count,
                written=exchange.written_attempts,
                last_result=None if exchange.last_result is None else exchange.last_result.value,
            )
        elapsed_ms = self._clock() - exchange.arrived_at
        # Counts requests that were never fully sent although more than half of their time had passed.
        if not exchange.written_attempts and elapsed_ms > (exchange.deadline - exchange.arrived_at) / 2:
            self._counters.unsent_late += 1
        exchange.respond(status, header_lines, outcome_text.encode())
        self._attempt_executor.abandon_unwritten(exchange)

    def _fail_overdue(self, exchange: Exchange) -> None:
        """Fail a request whose deadline passed without a decision, so that the client gets a response."""
        if self._open_exchanges.get(exchange.id) is exchange:
            self._counters.overdue += 1
            self._event_log.event("overdue", request=exchange.call_info.id, attempts=exchange.attempt_count)
            self._finish_with_error(exchange, 504, (), "failed")
            self.dispatch(ClientGone(exchange.id))

    def _remove_exchange(self, exchange: Exchange) -> None:
        self._open_exchanges.pop(exchange.id, None)
        overdue_timer = self._overdue_timers.pop(exchange.id, None)
        if overdue_timer is not None:
            overdue_timer.cancel()
