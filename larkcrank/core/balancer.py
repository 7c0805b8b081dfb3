"""The balancer: one `Balancer` per instance takes events, makes every decision and returns actions.

The types of events and actions are in larkcrank/core/interface.py, the types of its state in
larkcrank/core/state.py, the send limits in larkcrank/core/rate_limit.py, the choice of the servers in use in
larkcrank/core/subset.py, and the reasons for the design in docs/design.md. Times are milliseconds on the
caller's clock; rates are per millisecond. "Usual" answer times are long-term averages; "recent" ones are
averages over a shorter time. The "aim" of a request is its target response time.

A "miss" is a send that failed or became overdue. A "failing" server is one whose count of failures is not yet
back at zero. A "window" is the interval at which the send quotas are refilled. Traffic is "sparse" if the
average server gets less than `SPARSE_SENDS_PER_WINDOW` sends per window.
"""

import bisect
import heapq
import math
import zlib
from collections.abc import Mapping
from dataclasses import replace
from random import Random

from larkcrank.core.interface import (
    Action,
    Address,
    Cancel,
    ClientGone,
    DiscoveryFailed,
    Effect,
    Event,
    Fail,
    FetchList,
    FleetSize,
    Group,
    Log,
    Outcome,
    Refuse,
    Request,
    Result,
    Send,
    ServerList,
    SetTimer,
    Settings,
    StallEnded,
    State,
    StreamStarted,
    TimerFired,
    Uploaded,
    Watch,
)
from larkcrank.core.rate_limit import (
    ALLOWED_MISS_SHARE,
    CELL_ALLOWED_MISS_SHARE,
    RATE_TIME_CONSTANT_MS,
    has_quota,
    record_send_result,
)
from larkcrank.core.state import (
    Attempt,
    DecayingCounter,
    HandoverState,
    KeyQueue,
    PendingRequest,
    RateLimiter,
    Server,
)
from larkcrank.core.subset import MIN_INSTANCES_PER_SERVER, choose_subset

# An observation period of the send limits lasts for so many sends.
OBSERVATION_SENDS = 4  # sends to an average server in one observation period
MAX_OBSERVATION_MS = 20000.0  # with a longer period, outdated results would count

# The slack of a request is the time left to send it. If the requests queued ahead of it would take more than
# this share of the slack, the last request in the queue is refused at once, since a client can act on an
# early refusal better than on a late one.
QUEUE_SLACK_SHARE = 0.5
# A request is sent only with at least this many recent answer times left until its target time.
MIN_TIME_LEFT_ANSWERS = 2.0
MIN_TIME_LEFT_AIM_SHARE = 0.8  # upper bound on this required time, as a share of the aim

# The limit on attempts in flight at all servers together, as a multiple of the usual number in flight.
LATE_WORTH_IN_FLIGHT_FACTOR = 5.0  # if late answers to some class have a worth
IN_FLIGHT_FACTOR = 3.0  # otherwise
# Added to this limit for each server. It is divided by the number of instances that use the server, because
# the attempts of many instances with sparse traffic add up.
SHARED_IN_FLIGHT_PER_SERVER = 2.0
# Share of the limit open to requests of the lowest worth; the rest is reserved for requests of higher worth.
LOW_WORTH_IN_FLIGHT_SHARE = 0.8
# Allowed chance variation of the number in flight, in standard deviations.
TOTAL_IN_FLIGHT_DEVIATIONS = 1.5  # at all servers together
SERVER_IN_FLIGHT_DEVIATIONS = 2.0  # at one server
# Minimum limit at one server, before `SHARED_IN_FLIGHT_PER_SERVER` is added. With a limit of 1, a single lost
# answer would block the server.
MIN_IN_FLIGHT_PER_SERVER = 1.5

# An answer is overdue after this many usual answer times, or after a share of its aim if that is sooner.
OVERDUE_FACTOR = 4.0
OVERDUE_AIM_SHARE = 0.5  # if late answers have a worth, the whole aim applies instead
ANSWER_TIME_WEIGHT = 0.05  # weight of one answer in the recent time, and in the usual time if it was faster
SLOWER_ANSWER_WEIGHT = 0.01  # in the usual time if it was slower; small, so that queueing hardly raises it
INITIAL_USUAL_AIM_SHARE = 0.2  # usual answer time before the first answer, as a share of the aim
MAX_RESTORED_RATIO = 2.5  # a restored usual time is at most this factor above or below the initial one
# Retry-After hint of a refusal, as a share of the aim; short, so that an answer to the retry still has worth.
RETRY_AFTER_AIM_SHARE = 0.25

# Traffic is sparse below this many sends per window to an average server. A limit of one server then gets too
# few results to adapt in time.
SPARSE_SENDS_PER_WINDOW = 0.1
# How long a late server is avoided on sparse traffic. Faults last tens of seconds.
SPARSE_AVOIDANCE_MS = 30000.0
STALE_LIST_FAILURES = 2  # if most servers have this many failures, the server list is probably outdated
# After a failure a server gets no requests for up to `OVERDUE_FACTOR` windows. This time doubles with each
# further failure, at most this many times.
MAX_BACKOFF_DOUBLINGS = 4

MAX_SERVERS_EXAMINED = 64  # maximum number of servers examined for one request in one event

RETRY_BUDGET_SHARE = 0.2  # allowed retries as a share of the accepted requests
MAX_RETRY_BUDGET = 10.0  # maximum number of unused retries that the budget accumulates

# A server is cold until `Settings.warm_after_ms` after its start. This is its initial load, as a share of its
# guaranteed capacity. The load grows with each successful answer.
COLD_SAFE_SHARE = 0.7
# Maximum load of a cold server, as a share of the load at which it fails; twice this load is still harmless.
MAX_COLD_LOAD_SHARE = 0.5

TENANT_TIME_CONSTANT_MS = 5000.0  # for the sends of each tenant

# The discovery calls of all instances are spread over this time multiplied by the number of instances,
# because the service handles them one after another, a few per second.
DISCOVERY_SPREAD_PER_INSTANCE_MS = 150.0
# Minimum and maximum wait before a discovery call or after a failed one, and the time allowed for an answer.
DISCOVERY_RETRY_MS = (500.0, 5000.0, 8000.0)

MISS_SHARE_WEIGHT = 0.1  # weight of one send in the share of missed sends of its class
# A class is called stalled if its share of missed sends is above the first value while that of another class
# is below the second. The servers then work, and the cause is a system that they depend on for this class.
STALLED_CLASS_MISS_SHARE = 0.75
HEALTHY_CLASS_MISS_SHARE = 0.3

# If the list gives no nominal sizes, the size of a machine type is estimated from its answer time.
MACHINE_TYPE_WEIGHT = 0.02  # weight of one answer in the relative answer time of a machine type
SIZE_UPDATE_INTERVAL_MS = 1000.0
SIZE_EXPONENT = 2.0  # the estimated size is the relative answer time to the negative power of this
# An estimated size is at most this factor above or below the mean, because slow answers may
# come from congestion and not from a small server.
MAX_SIZE_RATIO = 2.0

MAX_TURNS_AHEAD = 4  # round-robin turns that a server may use in advance, for keys that prefer it
HOME_SERVERS = 2  # number of servers that an affinity key prefers
MIN_UNLISTED_KEPT = 16  # unlisted servers kept: at least this many, or as many as are listed


# After a stall of the process, seen by a timer that is this late, a request with an attempt in flight is
# given up only after this grace, in which what arrived meanwhile is handled.
STALL_MS = 5.0
INPUT_GRACE_MS = 20.0


class Balancer:
    """Distributes requests over the servers by weighted round-robin, within adaptive send limits."""

    def __init__(self, settings: Settings, rng: Random, now: float) -> None:
        self._settings, self._rng, self._now = settings, rng, now
        self._actions: list[Action] = []
        self._cell_limiters: dict[int, RateLimiter] = {}
        self._servers: dict[Address, Server] = {}  # all known servers, also draining and unlisted ones
        self._ring: list[Server] = []  # ready servers of the subset, in round-robin order
        # Where the search for the next server begins; random at first, so that the instances do not all send
        # to the same server.
        self._next_index = rng.randrange(1 << 16)
        self._requests: dict[int, PendingRequest] = {}
        self._queue: list[PendingRequest] = []  # requests that wait for quota, by priority
        # Attempts sent completely and still without an outcome, by request id and attempt index.
        self._owed_attempts: dict[tuple[int, int], Attempt] = {}
        # By ordering key. A queue exists as long as the key has requests, orphaned attempts or a quiet time.
        self._key_queues: dict[int, KeyQueue] = {}
        # Ordering keys of orphaned attempts, by request id and attempt index. An attempt is orphaned if it is
        # in flight although its request is closed.
        self._orphaned_attempts: dict[tuple[int, int], int] = {}
        self._ready_keys: list[int] = []  # ordering keys whose first request may be able to run now
        # Heap of (due time, sequence number, kind, subject). "backstop" gives up a request shortly before its
        # deadline, "turn" gives up one that waited too long for its ordering key, "overdue" counts an attempt
        # as missed, "rest" ends the quiet time of a key, "window" retries the queue, "ask" calls discovery,
        # and "fetch" fetches the whole server list once. The subject is the request of "backstop" and "turn",
        # the request id and attempt index of "overdue", the ordering key of "rest", and None otherwise.
        self._timers: list[tuple[float, int, str, object]] = []
        self._timer_sequence, self._timer_at, self._timer_token = 0, math.inf, 0
        self._input_grace_until = -math.inf  # after a stall, until what arrived meanwhile is handled
        # The following lists have one element per class.
        self._usual_ms = [
            request_class.aim_ms * INITIAL_USUAL_AIM_SHARE for request_class in settings.classes
        ]
        self._recent_ms = list(self._usual_ms)
        self._miss_shares = [0.0] * len(settings.classes)  # share of recent sends that were missed
        self._stalled_classes: set[int] = set()  # classes mostly missed while another class is not
        self._arrivals, self._sends, self._timely_answers = (
            DecayingCounter(now),
            DecayingCounter(now),
            DecayingCounter(now),
        )
        # Estimates from this instance's traffic; `_update_estimates` sets them before each event is handled.
        # `_even_rate`: requests per millisecond for each server if they were divided evenly.
        self._window_ms = self._even_rate = self._observation_ms = self._usual_in_flight_per_server = (
            self._max_in_flight
        ) = self._usual_in_flight = 1.0
        # `_instances_per_server`: average number of instances whose subset contains a given server.
        self._largest_size = self._instances_per_server = 1.0
        self._tenant_sends = [DecayingCounter(now) for _ in settings.tenants]
        self._mean_worth, self._requests_accepted = 0.0, 0
        # `_use_sizes`: round-robin turns and key affinity are weighted by server size.
        self._retry_budget, self._is_sparse, self._use_sizes = MAX_RETRY_BUDGET, True, True
        self._machine_type_times: dict[int, float] = {}  # answer time relative to the mean, by machine type
        self._sizes_updated_at, self._next_fetch_at, self._awaits_list = now, -math.inf, False
        # Instances often start or fail together. Their discovery calls are spread over time, because
        # otherwise most would time out and be repeated all at once.
        self._discovery_spread_ms = min(
            DISCOVERY_SPREAD_PER_INSTANCE_MS * settings.instances, DISCOVERY_RETRY_MS[1]
        )
        self._discovery_call_at, self._discovery_wait_ms, self._queue_retry_at = (
            math.inf,
            max(self._discovery_spread_ms, DISCOVERY_RETRY_MS[0]),
            -math.inf,
        )
        if settings.must_ask:
            self._schedule_discovery_call(rng.random() * self._discovery_spread_ms)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event and return the actions to carry out."""
        self._actions, late_ms, self._now = [], now - max(self._timer_at, self._now), now
        self._update_estimates()
        # If this process was stopped for longer than a window, the limits do not rise for that time, and the
        # quotas do not grow.
        if late_ms > self._window_ms:
            for limiter in [
                *self._cell_limiters.values(),
                *(server.brake for server in self._servers.values()),
            ]:
                limiter.event_at += late_ms
                limiter.rose_at, limiter.window_at = limiter.rose_at + late_ms, now
        match event:
            case Request():
                self._accept_request(event)
            case Outcome():
                self._handle_outcome(event)
            case ServerList():
                self._handle_server_list(event)
            case DiscoveryFailed() if self._settings.must_ask:
                self._discovery_wait_ms = min(
                    self._discovery_wait_ms * (1 + 2 * self._rng.random()), DISCOVERY_RETRY_MS[1]
                )
                self._schedule_discovery_call(self._discovery_wait_ms * self._rng.random())
            case ClientGone():
                self._remove_request(event.id)
            case StreamStarted():  # Counts as the answer, because the rest takes as long as the client reads.
                request = self._requests.get(event.id)
                request_id, elapsed_ms = event.id, event.elapsed_ms
                self._handle_outcome(
                    Outcome(request_id, event.attempt, event.address, Result.OK, elapsed_ms, True)
                )
                if request is not None and request.ordering_key:  # Its key is blocked until the stream ends.
                    self._key_queues[request.ordering_key].orphaned_attempts += 1
                    self._orphaned_attempts[event.id, event.attempt] = request.ordering_key
            case Uploaded() if (request := self._requests.get(event.id)) is not None:
                self._set_deadlines(request, event.time_left_ms)
                if request.waits_for_turn:
                    self._schedule_turn_timeout(request)
                elif request in self._queue:
                    self._queue.remove(request)
                    self._enqueue(request)
                for attempt_index, attempt in request.in_flight.items():
                    attempt.sent_at = self._now
                    self._start_owing(request, attempt_index, attempt)
            case FleetSize():  # The subset depends on the number of instances.
                self._settings = replace(
                    self._settings, instances=event.count, ordinal=event.ordinal, most=event.max_instances
                )
                self._discovery_spread_ms = min(
                    DISCOVERY_SPREAD_PER_INSTANCE_MS * event.max_instances, DISCOVERY_RETRY_MS[1]
                )
                self._rebuild_ring()
            case TimerFired() if event.token == self._timer_token:
                self._timer_at = math.inf
            case StallEnded():
                self._begin_input_grace()
        self._run_due_timers()
        self._release_ready_keys()
        self._send_queued()
        while self._ready_keys:  # A request given up above may have unblocked the next one with its key.
            self._release_ready_keys()
            self._send_queued()
        self._arm_timer()
        return self._actions

    def usual_answer_times(self) -> tuple[float, ...]:
        """The usual answer time of each class, in the order of the settings, to be saved for a restart."""
        return tuple(self._usual_ms)

    def restore_answer_times(self, usual_ms: Mapping[int, float]) -> None:
        """Start from saved usual answer times, by class index. Values far from the initial ones are limited,
        so that misleading ones do little harm."""
        for class_index, saved_ms in usual_ms.items():
            initial_ms = INITIAL_USUAL_AIM_SHARE * self._settings.classes[class_index].aim_ms
            self._usual_ms[class_index] = min(
                max(saved_ms, initial_ms / MAX_RESTORED_RATIO), initial_ms * MAX_RESTORED_RATIO
            )

    def export_state(self) -> HandoverState:
        """The state from which the next process of this instance continues."""
        rates = [self._arrivals, self._sends, self._timely_answers, *self._tenant_sends]
        servers = [replace(server, owes=[]) for server in self._servers.values()]
        mean_and_counts = self._mean_worth, self._requests_accepted, self._retry_budget, self._next_index
        return HandoverState(
            self._usual_ms, self._recent_ms, rates, mean_and_counts, self._cell_limiters, servers
        )

    def import_state(self, state: HandoverState) -> None:
        """Continue from the state of the previous process of this instance; call before the first event."""
        self._usual_ms, self._recent_ms, self._cell_limiters = state.usual, state.recent, state.cells
        self._arrivals, self._sends, self._timely_answers, *self._tenant_sends = state.rates
        self._mean_worth, self._requests_accepted, self._retry_budget, self._next_index = state.known
        self._servers = {server.endpoint.address: server for server in state.servers}

    def _schedule(self, due_at: float, kind: str, subject: object = None) -> None:
        """Add a timer; `_timers` describes the kinds and their subjects."""
        self._timer_sequence += 1
        heapq.heappush(self._timers, (due_at, self._timer_sequence, kind, subject))

    def _schedule_discovery_call(self, wait_ms: float, awaits_list: bool = False) -> None:
        self._discovery_call_at, self._awaits_list = self._now + wait_ms, awaits_list
        self._schedule(self._discovery_call_at, "ask")

    def _arm_timer(self) -> None:
        """Request a timer event if the next due time is earlier than the timer already requested."""
        if self._timers and self._timers[0][0] < self._timer_at:
            self._timer_at = max(self._timers[0][0], self._now)
            self._timer_token += 1
            self._actions.append(SetTimer(self._timer_at - self._now, self._timer_token))

    def _run_due_timers(self) -> None:
        """Process the timers that are due; `_timers` describes their kinds."""
        while self._timers and self._timers[0][0] <= self._now:
            due_at, _, kind, subject = heapq.heappop(self._timers)
            if isinstance(subject, PendingRequest) and self._requests.get(subject.id) is subject:
                expires_at = subject.latest_send_at if subject.waits_for_turn else subject.give_up_at
                if due_at < self._now - STALL_MS:
                    self._begin_input_grace()
                if subject.in_flight and self._now < self._input_grace_until:
                    # An answer may have arrived during the stall and not been handled yet.
                    self._schedule(self._input_grace_until, kind, subject)
                elif due_at >= expires_at and not (subject.uploading and subject.in_flight):
                    self._give_up(subject)
            elif isinstance(subject, tuple) and (attempt := self._owed_attempts.get(subject)) is not None:
                # If this process is late with the timer, an answer may have arrived and not been handled yet.
                if due_at < self._now - self._window_ms:
                    self._schedule(self._now + 2 * self._settings.tick_ms, kind, subject)
                else:
                    self._record_result(attempt, True)
            elif kind == "rest" and isinstance(subject, int):  # the quiet time of an ordering key has ended
                self._ready_keys.append(subject)
            elif kind == "fetch":
                self._actions.append(FetchList())
            elif kind == "ask" and due_at == self._discovery_call_at:
                self._actions.append(Watch())
                self._schedule_discovery_call(DISCOVERY_RETRY_MS[2], True)

    def _begin_input_grace(self) -> None:
        self._input_grace_until = self._now + INPUT_GRACE_MS

    def _update_estimates(self) -> None:
        """Derive the window, the even rate per server, the observation period and the in-flight limits from
        this instance's traffic."""
        # With a shorter window, sends would be judged before their answers can arrive.
        self._window_ms = max(sum(self._usual_ms) / len(self._usual_ms), 2 * self._settings.tick_ms)
        ready_count = max(len(self._ring), 1)
        self._even_rate = max(self._arrivals.rate(self._now, RATE_TIME_CONSTANT_MS) / ready_count, 1e-9)
        # The usual number in flight follows from timely answers, not from requests: a burst of requests is no
        # evidence of capacity. Slow answers count too, because otherwise congestion would sustain itself.
        answer_times = [
            min(recent, OVERDUE_FACTOR * usual)
            for recent, usual in zip(self._recent_ms, self._usual_ms, strict=True)
        ]
        self._usual_in_flight = usual_in_flight = self._timely_answers.rate(
            self._now, RATE_TIME_CONSTANT_MS
        ) * max(sum(answer_times) / len(answer_times), self._window_ms)
        shared_in_flight = SHARED_IN_FLIGHT_PER_SERVER / self._instances_per_server
        has_late_worth = any(request_class.late_worth for request_class in self._settings.classes)
        max_in_flight = (
            LATE_WORTH_IN_FLIGHT_FACTOR if has_late_worth else IN_FLIGHT_FACTOR
        ) * usual_in_flight
        # A number in flight far above chance variation is limited only in large fleets. In a small fleet, a
        # burst of requests at one instance is a burst of the whole fleet and has to be served.
        if not has_late_worth and self._settings.instances > MIN_INSTANCES_PER_SERVER[0]:
            max_in_flight = min(
                max_in_flight, usual_in_flight + TOTAL_IN_FLIGHT_DEVIATIONS * math.sqrt(usual_in_flight)
            )
        self._max_in_flight = max(max_in_flight + shared_in_flight * ready_count, 1.0)
        # The limit at one server is m + 2 * sqrt(m), where m is its usual number in flight. The lower bound
        # on m is chosen so that this limit is at least the minimum limit.
        self._usual_in_flight_per_server = max(
            usual_in_flight / ready_count,
            (math.sqrt(MIN_IN_FLIGHT_PER_SERVER + shared_in_flight + 1.0) - 1.0) ** 2,
        )
        # On sparse traffic a limit of one server gets too few sends to adapt. Instead, the limit of the cell
        # applies, a server is avoided after its first late answer, and turns follow the server sizes.
        self._is_sparse = self._even_rate * self._window_ms < SPARSE_SENDS_PER_WINDOW
        self._use_sizes = self._is_sparse or not self._settings.listed_sizes
        if not self._settings.listed_sizes and self._now >= self._sizes_updated_at + SIZE_UPDATE_INTERVAL_MS:
            self._update_sizes()
        servers_per_limiter = ready_count / max(len(self._cell_limiters), 1) if self._is_sparse else 1.0
        self._observation_ms = min(
            max(OBSERVATION_SENDS / (self._even_rate * servers_per_limiter), 2 * self._window_ms),
            MAX_OBSERVATION_MS,
        )

    def _latest_send_time(self, request: PendingRequest) -> float:
        """Time after which it is too late to send: the answer would probably miss its target time."""
        min_time_left_ms = min(
            MIN_TIME_LEFT_ANSWERS * self._recent_ms[request.class_index],
            MIN_TIME_LEFT_AIM_SHARE * request.request_class.aim_ms,
        )
        return math.inf if request.uploading else request.aim_at - min_time_left_ms

    def _limiter_for(self, server: Server) -> RateLimiter:
        """The limit that applies: the server's own, or on sparse traffic that of its cell."""
        return self._cell_limiters[server.endpoint.cell] if self._is_sparse else server.brake

    def _can_accept(self, server: Server) -> bool:
        """Whether a request may be sent to this server now."""
        if self._now < server.benched_until:
            return False
        usual_in_flight = self._usual_in_flight_per_server * (server.size if self._is_sparse else 1.0)
        owed_count = (
            sum(attempt.index not in self._stalled_classes for attempt in server.owes)
            if self._stalled_classes
            else len(server.owes)
        )
        # A failing server gets one attempt at a time, any other its usual number plus chance variation.
        if owed_count and (
            server.fails
            or owed_count + 1 > usual_in_flight + SERVER_IN_FLIGHT_DEVIATIONS * math.sqrt(usual_in_flight)
        ):
            return False
        limiter = self._limiter_for(server)
        return self._has_cold_credit(server) and has_quota(
            limiter, self._now, self._window_ms, self._observation_ms
        )

    def _has_cold_credit(self, server: Server) -> bool:
        """Whether the additional quota of a cold server allows a send. A cold server must not get more than
        it can certainly handle, which is a part of its even share of the load."""
        cold_ms = self._settings.warm_after_ms - (self._now - server.endpoint.started_at)
        if cold_ms <= 0 or not server.endpoint.started_at:
            return True
        guaranteed_share = 1 - (1 - self._settings.cold_from) * min(
            cold_ms / self._settings.warm_after_ms, 1.0
        )
        load_share = max(
            COLD_SAFE_SHARE * guaranteed_share,
            min(server.warmth, MAX_COLD_LOAD_SHARE * self._settings.fall_multiple * guaranteed_share),
        )
        return (
            server.refill_cold_credit(
                self._now, load_share * self._even_rate * (server.size if self._use_sizes else 1.0)
            )
            >= 1.0
        )

    def _pick_server(self, request: PendingRequest) -> Server | None:
        """The server for this request: a home server of its key, or else the next one in round-robin order
        that has quota and may receive it. If none is preferred, the first usable one is the fallback."""
        ring_size, fallback_index, turns_used = len(self._ring), -1, list[Server]()
        for server in self._home_servers(request):
            if (
                server.ahead < MAX_TURNS_AHEAD
                and self._is_preferred(request, server)
                and self._can_accept(server)
            ):
                server.ahead += 1
                return server
        examined = min(ring_size, MAX_SERVERS_EXAMINED)  # the work per event must not grow with the fleet
        for index in (step % ring_size for step in range(self._next_index, self._next_index + examined)):
            server = self._ring[index]
            if self._can_accept(server) and self._may_send_to(request, server):
                # With sizes in use, a server of half the largest size gets every second turn.
                server.passed = server.passed % 1.0 + (
                    server.size / self._largest_size if self._use_sizes else 1.0
                )
                if server.ahead and server.passed >= 1.0:  # This turn has been used in advance.
                    turns_used.append(server)
                    fallback_index = index if fallback_index < 0 else fallback_index
                    continue
                if server.passed >= 1.0 and self._is_preferred(request, server):
                    self._next_index = index + 1
                    for skipped in turns_used:
                        skipped.ahead -= 1
                    return server
                fallback_index = index if fallback_index < 0 else fallback_index
        self._next_index = fallback_index + 1 if fallback_index >= 0 else self._next_index + examined
        for skipped in turns_used:
            skipped.ahead -= 1
        return self._ring[fallback_index] if fallback_index >= 0 else None

    def _is_preferred(self, request: PendingRequest, server: Server) -> bool:
        """Whether the server may receive this request, is not avoided now, and has not been tried for it."""
        avoided_until = max(server.wary_until, server.spared.get(request.class_index, (0, -math.inf))[1])
        return (
            server not in request.tried_servers
            and self._now >= avoided_until
            and self._may_send_to(request, server)
        )

    def _home_servers(self, request: PendingRequest) -> list[Server]:
        """The servers that the affinity key prefers, best first. Instances with the same servers in use agree
        on them, and larger servers are preferred by more keys."""
        if not request.affinity_key:
            return []
        return heapq.nlargest(
            HOME_SERVERS,
            self._ring,
            key=lambda server: server.affinity_score(request.affinity_key, self._use_sizes),
        )

    def _may_send_to(self, request: PendingRequest, server: Server) -> bool:
        """Whether this server may receive the request. One that may have been executed must be repeated only
        where that is harmless: a safe one anywhere, a keyed one in the group that deduplicates it."""
        if request.first_possible_run is None or request.request_class.effect is Effect.SAFE:
            return True
        if self._now + self._settings.tick_ms >= request.latest_repeat_at:
            return False
        first_endpoint, candidate_endpoint, dedup_group = (
            request.first_possible_run.server.endpoint,
            server.endpoint,
            request.request_class.group,
        )
        same_group = (
            first_endpoint.zone == candidate_endpoint.zone
            if dedup_group is Group.ZONE
            else first_endpoint.cell == candidate_endpoint.cell
        )
        return same_group or dedup_group is Group.ALL

    def _accept_request(self, event: Request) -> None:
        """Register a new request, and put it into the queue or into the queue of its ordering key."""
        request_class, tenant_index = (
            self._settings.classes[event.class_index],
            event.tenant_index if self._tenant_sends else 0,
        )
        request = self._requests[event.id] = PendingRequest(
            event.id, event.class_index, request_class, tenant_index, self._now, self._now
        )
        request.affinity_key = event.key if self._settings.warm_keys else 0
        self._set_deadlines(request, event.time_left_ms, event.uploading)
        self._arrivals.add(self._now, RATE_TIME_CONSTANT_MS)
        self._requests_accepted += 1
        self._mean_worth += max(1 / self._requests_accepted, ANSWER_TIME_WEIGHT) * (
            request_class.worth - self._mean_worth
        )
        self._retry_budget = min(self._retry_budget + RETRY_BUDGET_SHARE, MAX_RETRY_BUDGET)
        if event.key and request_class.in_turn:
            self._enqueue_for_key(request, event.key)
        else:
            self._enqueue(request)

    def _enqueue_for_key(self, request: PendingRequest, key: int) -> None:
        """Add a request whose key requires that its requests run one at a time, in order of arrival. If it
        would probably wait too long for its turn, it is given up at once."""
        key_queue = self._key_queues.setdefault(key, KeyQueue())
        key_queue.requests.append(request)
        request.ordering_key, request.waits_for_turn = key, True
        self._ready_keys.append(key)
        self._schedule_turn_timeout(request)
        if (len(key_queue.requests) - 1) * self._usual_ms[
            request.class_index
        ] > request.latest_send_at - self._now:
            self._give_up(request)

    def _schedule_turn_timeout(self, request: PendingRequest) -> None:
        """Give up the request if it still waits for its turn at its latest send time."""
        request.latest_send_at = self._latest_send_time(request)
        if request.latest_send_at < math.inf:
            self._schedule(request.latest_send_at, "turn", request)

    def _release_ready_keys(self) -> None:
        """Enqueue the first request of each key that may run now, and remove the empty key queues."""
        ready_keys, self._ready_keys = self._ready_keys, []
        for key in ready_keys:
            key_queue = self._key_queues.get(key)
            if key_queue is None or key_queue.orphaned_attempts or key_queue.quiet_until > self._now:
                continue  # The key becomes ready with the attempt's outcome or at the end of its quiet time.
            if not key_queue.requests:
                del self._key_queues[key]
            elif key_queue.requests[0].waits_for_turn:
                key_queue.requests[0].waits_for_turn = False
                self._enqueue(key_queue.requests[0])

    def _set_deadlines(self, request: PendingRequest, time_left_ms: float, uploading: bool = False) -> None:
        """Count response time and deadline from now: on arrival, and again once the body is complete."""
        deadline, request.uploading = self._now + time_left_ms, uploading
        request.aim_at = (
            deadline
            if request.request_class.late_worth
            else min(self._now + request.request_class.aim_ms, deadline)
        )
        request.give_up_at = deadline - 2 * self._settings.tick_ms
        self._schedule(request.give_up_at, "backstop", request)

    def _enqueue(self, request: PendingRequest) -> None:
        """Insert a request into the queue: tenants within their share come first, then higher worth, then the
        earlier latest send time. If the queue has become too long, its last request is given up."""
        # A few requests of a stalled class are still sent, to find out when the class has recovered.
        if request.class_index in self._stalled_classes and self._is_at_in_flight_limit(request):
            self._give_up(request)
            return
        request.latest_send_at = self._latest_send_time(request)
        tenant_sends = [counter.decayed(self._now, TENANT_TIME_CONSTANT_MS) for counter in self._tenant_sends]
        is_over_share = bool(tenant_sends) and tenant_sends[request.tenant_index] > self._settings.tenants[
            request.tenant_index
        ].portion * sum(tenant_sends)
        request.priority = (is_over_share, -request.request_class.worth, request.latest_send_at)
        bisect.insort(self._queue, request, key=lambda queued: queued.priority)
        slack_ms = request.latest_send_at - self._now
        if len(self._queue) - 1 > QUEUE_SLACK_SHARE * slack_ms * self._sends.rate(
            self._now, RATE_TIME_CONSTANT_MS
        ):
            self._give_up(self._queue[-1])

    def _send_queued(self) -> None:
        """Send queued requests as far as quotas allow."""
        queued, self._queue, no_quota_left = self._queue, [], False
        remaining: list[PendingRequest] = []
        for request in queued:
            # With sparse traffic the queue is usually empty, so its order by worth has no effect. The limit
            # on attempts in flight therefore depends on the worth as well.
            is_at_limit = self._is_at_in_flight_limit(request)
            server = None if no_quota_left or is_at_limit else self._pick_server(request)
            if server is not None:
                self._send(request, server)
                continue
            # If a request that may go to any server found none, the requests after it will find none either.
            no_quota_left = no_quota_left or (request.first_possible_run is None and not is_at_limit)
            remaining.append(request)
            if self._now >= request.latest_send_at:
                self._give_up(remaining.pop())
        self._queue = remaining
        if remaining and self._queue_retry_at <= self._now:
            if self._now > self._queue_retry_at + TENANT_TIME_CONSTANT_MS:
                self._actions.append(Log(f"holding: no quota left on any of {len(self._ring)} servers"))
            self._queue_retry_at = self._now + max(self._window_ms / 4, self._settings.tick_ms)
            self._schedule(self._queue_retry_at, "window")

    def _is_at_in_flight_limit(self, request: PendingRequest) -> bool:
        """Whether the attempts in flight at all servers have reached the limit for this request's worth."""
        owed_classes = (
            [attempt.index for attempt in self._owed_attempts.values()] if self._stalled_classes else []
        )
        if request.class_index in self._stalled_classes:
            return owed_classes.count(request.class_index) >= max(
                self._usual_in_flight / len(self._usual_ms), 1.0
            )
        owed_count = len(self._owed_attempts) - sum(
            class_index in self._stalled_classes for class_index in owed_classes
        )
        return owed_count >= max(
            self._max_in_flight
            * max(request.request_class.worth / (self._mean_worth or 1.0), LOW_WORTH_IN_FLIGHT_SHARE),
            1.0,
        )

    def _send(self, request: PendingRequest, server: Server) -> None:
        """Start an attempt at this server, and charge it to the quotas."""
        attempt = Attempt(server, self._now, request.class_index)
        if request.attempts_sent == 0 and self._tenant_sends:
            self._tenant_sends[request.tenant_index].add(self._now, TENANT_TIME_CONSTANT_MS)
        request.in_flight[request.attempts_sent] = attempt
        if not request.uploading:
            self._start_owing(request, request.attempts_sent, attempt)
        request.attempts_sent += 1
        request.tried_servers.append(server)
        server.cold_credit = max(server.cold_credit - 1.0, 0.0)
        self._sends.add(self._now, RATE_TIME_CONSTANT_MS)
        limiter = self._limiter_for(server)
        limiter.credit = max(limiter.credit - 1.0, 0.0)  # sends without a limit leave no debt
        limiter.sends.add(self._now, max(self._observation_ms, RATE_TIME_CONSTANT_MS))
        self._actions.append(Send(request.id, server.endpoint.address, begin_by_ms=request.latest_repeat_at))

    def _start_owing(self, request: PendingRequest, attempt_index: int, attempt: Attempt) -> None:
        """From now on the server owes an answer to this attempt, which becomes overdue after some time."""
        self._owed_attempts[request.id, attempt_index] = attempt
        attempt.server.owes.append(attempt)
        # With the whole aim, too little time would be left for a retry.
        aim_share = 1.0 if request.request_class.late_worth else OVERDUE_AIM_SHARE
        overdue_after_ms = min(
            OVERDUE_FACTOR * self._usual_ms[request.class_index], aim_share * request.request_class.aim_ms
        )
        self._schedule(self._now + overdue_after_ms, "overdue", (request.id, attempt_index))

    def _may_retry(self, request: PendingRequest) -> bool:
        """Whether another attempt is permitted, covered by the retry budget, and in time."""
        permitted = (
            self._now < self._latest_send_time(request)
            and request.attempts_sent < self._settings.max_attempts
        )
        return (
            permitted
            and self._retry_budget >= 1.0
            and any(self._may_send_to(request, server) for server in self._ring)
        )

    def _give_up(self, request: PendingRequest) -> None:
        """Answer with `Refuse` if a retry by the client is harmless, otherwise with `Fail`."""
        deduplicated = (
            request.request_class.effect is Effect.KEYED and request.request_class.group is Group.ALL
        )
        retry_is_harmless = (
            request.request_class.effect is Effect.SAFE
            or deduplicated
            or (request.first_possible_run is None and not request.in_flight)
        )
        retry_after_ms = (
            RETRY_AFTER_AIM_SHARE * request.request_class.aim_ms if self._now < request.aim_at else math.inf
        )
        retry_after_ms = (
            min(self._settings.max_retry_after_ms, retry_after_ms) if self._settings.retry_after else 0.0
        )
        self._actions.append(Refuse(request.id, retry_after_ms) if retry_is_harmless else Fail(request.id))
        self._remove_request(request.id)

    def _remove_request(self, request_id: int) -> None:
        """Remove a request that needs no answer any more, and cancel its attempts in flight."""
        if (request := self._requests.pop(request_id, None)) is None:
            return
        self._queue = [queued for queued in self._queue if queued is not request]
        if request.ordering_key:
            key_queue = self._key_queues[request.ordering_key]
            key_queue.requests.remove(request)
            key_queue.orphaned_attempts += len(request.in_flight)
            self._orphaned_attempts |= {
                (request_id, attempt_index): request.ordering_key for attempt_index in request.in_flight
            }
            self._extend_quiet_time(key_queue, request.ordering_key, request.key_quiet_until)
        self._actions.extend(
            Cancel(request_id, attempt_index)
            for attempt_index in request.in_flight
            if self._settings.may_cancel
        )

    def _extend_quiet_time(self, key_queue: KeyQueue, key: int, quiet_until: float) -> None:
        """Block the ordering key until `quiet_until`, because an attempt may still be running."""
        key_queue.quiet_until = max(key_queue.quiet_until, quiet_until)
        if key_queue.quiet_until > self._now:
            self._schedule(key_queue.quiet_until, "rest", key)
        self._ready_keys.append(key)

    def _record_result(self, attempt: Attempt, missed: bool) -> None:
        """Count the attempt as answered in time or missed, unless it has already been counted as missed."""
        if not attempt.missed:
            attempt.missed = missed
            self._miss_shares[attempt.index] += MISS_SHARE_WEIGHT * (
                missed - self._miss_shares[attempt.index]
            )
            some_class_healthy = min(self._miss_shares) < HEALTHY_CLASS_MISS_SHARE
            self._stalled_classes = {
                class_index
                for class_index, miss_share in enumerate(self._miss_shares)
                if miss_share > STALLED_CLASS_MISS_SHARE and some_class_healthy
            }
            if attempt.index in self._stalled_classes:
                return  # The servers are not the cause, so no limit is cut.
            if not missed:
                self._timely_answers.add(self._now, RATE_TIME_CONSTANT_MS)
            record_send_result(
                self._limiter_for(attempt.server),
                self._now,
                self._window_ms,
                self._observation_ms,
                attempt.sent_at,
                missed,
            )

    def _handle_outcome(self, event: Outcome) -> None:
        """Learn from the outcome of an attempt; then close, retry or give up its request."""
        attempt, request = (
            self._owed_attempts.pop((event.id, event.attempt), None),
            self._requests.get(event.id),
        )
        in_flight = request.in_flight.pop(event.attempt, None) if request is not None else None
        attempt = attempt or in_flight  # not in `_owed_attempts` if the request's body was still arriving
        quiet_until = self._now + self._settings.key_quiet_ms if event.may_still_run else -math.inf
        if key := self._orphaned_attempts.pop((event.id, event.attempt), 0):
            self._key_queues[key].orphaned_attempts -= 1
            self._extend_quiet_time(self._key_queues[key], key, quiet_until)
        elif request is not None:
            request.key_quiet_until = max(request.key_quiet_until, quiet_until)
        if attempt is not None:
            self._learn_from_outcome(event, attempt, request)
        if request is None or attempt is None:
            return
        if not event.never_ran:
            request.first_possible_run = request.first_possible_run or attempt
        if event.request_answered:
            self._remove_request(event.id)
        elif not request.in_flight and event.can_resend and self._may_retry(request):
            self._retry_budget -= 1.0
            self._enqueue(request)
        elif not request.in_flight:
            self._give_up(request)

    def _learn_from_outcome(self, event: Outcome, attempt: Attempt, request: PendingRequest | None) -> None:
        """Update the server, the limits and the answer times from an attempt's outcome."""
        server, now = attempt.server, self._now
        is_stalled = attempt.index in self._stalled_classes and event.result is not Result.CONNECT_FAILED
        failed = event.result not in (Result.OK, Result.CANCELLED, Result.NOT_SENT) and not is_stalled
        server.owes = [owed for owed in server.owes if owed is not attempt]
        previous_answer, server.answers = server.answers, -1 if attempt.missed or failed else attempt.index
        only_this_class = attempt.index in server.spared or previous_answer not in (-1, attempt.index)
        if is_stalled:
            self._record_result(attempt, event.result is not Result.OK)
        elif only_this_class and event.result in (Result.ERROR, Result.TIMEOUT):
            # The server has just answered another class, so only this class may be failing there. The server
            # is avoided for this class and stays in use for the others.
            failures, _ = server.spared.get(attempt.index, (0, 0.0))
            avoidance_ms = SPARSE_AVOIDANCE_MS if self._is_sparse else 1 / self._even_rate
            server.spared[attempt.index] = (
                failures + 1,
                now + 2 ** min(failures, MAX_BACKOFF_DOUBLINGS) * avoidance_ms,
            )
            failed, attempt.missed = False, True
        elif attempt.missed or failed:
            backoff = 2 ** min(server.fails, MAX_BACKOFF_DOUBLINGS) if failed else 1
            avoidance_ms = SPARSE_AVOIDANCE_MS if self._is_sparse else 1 / self._even_rate
            server.wary_until = max(now + backoff * avoidance_ms, server.wary_until)
            blocked_until = now + self._window_ms * OVERDUE_FACTOR * backoff
            server.benched_until = max(min(blocked_until, server.wary_until), server.benched_until)
            server.warmth /= 2
        if failed:
            server.spared.clear()
            # A reset does not show that the server is slow, so it counts as a miss only on sparse traffic.
            self._record_result(attempt, event.result is not Result.RESET or self._is_sparse)
            server.fails += 1
            if server.fails == MAX_BACKOFF_DOUBLINGS:  # An unlisted server leaves the ring now.
                self._rebuild_ring()
            failing_count = sum(other.fails >= STALE_LIST_FAILURES for other in self._ring)
            # If most servers fail, the list may be outdated, because the watch connection is dead.
            if failing_count * 2 > len(self._ring) > 1 and now >= self._next_fetch_at:
                self._next_fetch_at = now + DISCOVERY_RETRY_MS[1]
                self._schedule(now + self._rng.random() * self._discovery_spread_ms, "fetch")
            if server.fails == MAX_BACKOFF_DOUBLINGS:
                self._actions.append(Log(f"left {server.endpoint.address.hex()} alone: {event.result.value}"))
        elif event.result is Result.OK and not is_stalled:
            self._record_result(attempt, False)
            server.fails //= 2
            server.warmth = min(max(server.warmth, 1 - COLD_SAFE_SHARE) / COLD_SAFE_SHARE, 1.0)
            server.spared.pop(attempt.index, None)
            # An overdue attempt that was sent no later than the one just answered is taken as lost on its
            # connection, so the server no longer owes an answer to it.
            server.owes = [owed for owed in server.owes if not owed.missed or owed.sent_at > attempt.sent_at]
            if request is not None:
                if not self._settings.listed_sizes:
                    relative_time = event.elapsed_ms / max(
                        self._recent_ms[request.class_index], self._settings.tick_ms
                    )
                    previous_time = self._machine_type_times.setdefault(server.endpoint.kind, 1.0)
                    self._machine_type_times[server.endpoint.kind] = previous_time + MACHINE_TYPE_WEIGHT * (
                        relative_time - previous_time
                    )
                self._recent_ms[request.class_index] += ANSWER_TIME_WEIGHT * (
                    event.elapsed_ms - self._recent_ms[request.class_index]
                )
                difference_ms = event.elapsed_ms - self._usual_ms[request.class_index]
                self._usual_ms[request.class_index] += (
                    SLOWER_ANSWER_WEIGHT if difference_ms > 0 else ANSWER_TIME_WEIGHT
                ) * difference_ms

    def _handle_server_list(self, event: ServerList) -> None:
        """Add, update and remove servers as listed, and rebuild the ring."""
        # Only a list that arrives while a watch call is open, and is not cached, is the answer to that call.
        if self._awaits_list and not event.cached:
            self._discovery_call_at, self._discovery_wait_ms = (
                math.inf,
                max(self._discovery_spread_ms, DISCOVERY_RETRY_MS[0]),
            )
        for address in event.withheld:
            self._servers.pop(address, None)
        if event.complete:
            listed_addresses = {endpoint.address for endpoint in event.endpoints}
            for address in [address for address in self._servers if address not in listed_addresses]:
                self._unlist(address)
        for endpoint in event.endpoints:
            if endpoint.cell not in self._cell_limiters:
                self._cell_limiters[endpoint.cell] = self._new_limiter(CELL_ALLOWED_MISS_SHARE)
            known_server = self._servers.get(endpoint.address)
            if endpoint.state is State.GONE:
                self._unlist(endpoint.address)
            elif known_server is None or known_server.endpoint.started_at != endpoint.started_at:
                ring_position, turns_passed, cold_credit = (
                    self._rng.random(),
                    self._rng.random(),
                    self._rng.random(),
                )
                server = Server(endpoint, self._new_limiter(ALLOWED_MISS_SHARE), ring_position, turns_passed)
                server.cold_credit, server.cold_at = cold_credit, self._now
                server.mark = zlib.crc32(endpoint.address)
                self._servers[endpoint.address] = server
            else:
                known_server.endpoint, known_server.listed = endpoint, True
        unlisted = [known_address for known_address, server in self._servers.items() if not server.listed]
        # Remove the oldest unlisted servers; their number would grow with every replaced server otherwise.
        for address in unlisted[: -max(len(self._servers) - len(unlisted), MIN_UNLISTED_KEPT)]:
            del self._servers[address]
        self._rebuild_ring()

    def _unlist(self, address: Address) -> None:
        """Remove a server that is gone or not listed any more. If only draining servers are excluded from
        use, a ready one is kept, and its answers show whether it is still usable."""
        server = self._servers.get(address)
        if server is None:
            return
        server.listed = False
        if server.endpoint.state is not State.READY or not self._settings.only_draining_binds:
            del self._servers[address]

    def _rebuild_ring(self) -> None:
        """Choose the servers in use and their round-robin order."""
        # `place` is random, so the instances have different orders. The turns of a server that cannot accept
        # go to the next in order. With the same order everywhere, one server would get them from all
        # instances.
        ready = [server for server in self._servers.values() if server.endpoint.state is State.READY]
        ready = [server for server in ready if server.listed or server.fails < MAX_BACKOFF_DOUBLINGS] or ready
        subset = choose_subset(ready, self._settings, self._now)
        self._instances_per_server = subset.instances_per_server
        self._ring = sorted(subset.servers, key=lambda server: server.place)
        self._update_sizes()

    def _update_sizes(self) -> None:
        """Set each server's size relative to the mean, as listed or as estimated for its machine type."""
        self._sizes_updated_at, sizes = self._now, [server.endpoint.size for server in self._ring]
        if not self._settings.listed_sizes:
            relative_times = [
                max(self._machine_type_times.get(server.endpoint.kind, 1.0), 1 / MAX_SIZE_RATIO)
                for server in self._ring
            ]
            sizes = [
                min(max(relative_time**-SIZE_EXPONENT, 1 / MAX_SIZE_RATIO), MAX_SIZE_RATIO)
                for relative_time in relative_times
            ]
        total_size = sum(sizes)
        for server, size in zip(self._ring, sizes, strict=True):
            server.size = size * len(sizes) / total_size
        self._largest_size = max((server.size for server in self._ring), default=1.0)

    def _new_limiter(self, allowed_miss_share: float) -> RateLimiter:
        return RateLimiter(
            self._now,
            DecayingCounter(self._now),  # all sends
            DecayingCounter(self._now),  # sends answered in time or missed, since the last cut
            DecayingCounter(self._now),  # missed sends, since the last cut
            allowed_miss_share,
        )
