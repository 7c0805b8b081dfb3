"""Every decision of larkcrank: one Balancer an instance, events in, actions out.

Types, events and actions: larkcrank/core/interface.py; what it remembers: larkcrank/core/state.py.
Why: docs/design.md. Times are milliseconds on the caller's clock, rates sends a millisecond.
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
    Settings,
    SetTimer,
    State,
    StreamStarted,
    TimerFired,
    Uploaded,
    Watch,
)
from larkcrank.core.state import (
    Attempt,
    RateLimiter,
    PendingRequest,
    HandoverState,
    KeyQueue,
    DecayingCounter,
    Server,
)

LIMIT_CUT_SHARE = 0.20  # share of the rate that an event takes off (CARD)
LIMIT_RECOVERY_WINDOWS = 10  # windows until a cut limit is back at M; fixes C ("within tens of windows")
HYSTERESIS_WINDOWS = 2  # no event sooner than this after the limit last rose (CARD: 10 ms of 5 ms)
OBSERVATION_SENDS = 4  # sends to a mean server in one comparison span: "a few answers"
MAX_OBSERVATION_MS = 20000.0  # a span longer than this compares yesterday's weather
QUEUE_SLACK_SHARE = (
    0.5  # of a request's slack that the held before it may take: better refused early than late
)
MIN_TIME_LEFT_ANSWERS = 2.0  # recent answer times that a request must have left to be worth sending ...
MIN_TIME_LEFT_AIM_SHARE = 0.8  # ... but not more than this share of its aim
ALLOWED_MISSES = 1.5  # misses in a span that chance alone may bring ...
ALLOWED_MISS_SHARE = 0.25  # ... and the share of its sends; above both, sends outrun answers
CELL_ALLOWED_MISS_SHARE = 0.5  # the same for a cell's sends: a quarter late is usual where servers are unlike
LATE_WORTH_IN_FLIGHT_FACTOR = 5.0  # the same where a late answer still earns something
IN_FLIGHT_FACTOR = 3.0  # times the usual number of attempts out, at all servers together ...
SHARED_IN_FLIGHT_PER_SERVER = 2.0  # ... and so many more a server, shared by all instances: thin ones add up
LOW_WORTH_IN_FLIGHT_SHARE = (
    0.8  # of these places that are open to what is worth least: the last are for what is worth more
)
TOTAL_IN_FLIGHT_DEVIATIONS = (
    1.5  # standard deviations of chance in the number out, at all servers together ...
)
SERVER_IN_FLIGHT_DEVIATIONS = 2.0  # ... and at one
MIN_IN_FLIGHT_PER_SERVER = (
    1.5  # places a server and its shared ones: a single one is lost with one lost answer
)
OVERDUE_FACTOR = 4.0  # an answer is overdue after this many usual answer times ...
OVERDUE_AIM_SHARE = 0.5  # ... or this share of its aim, or the aim where a later answer still earns something
ANSWER_TIME_WEIGHT = 0.05  # of one answer in the recent answer time, of a quicker one in the usual ...
SLOWER_ANSWER_WEIGHT = 0.01  # ... and of a slower one in the usual: a crowd must not make waiting look usual
INITIAL_USUAL_AIM_SHARE = 0.2  # usual answer time before any answer, as a share of the aim
MAX_RESTORED_RATIO = 2.5  # times as much or as little as the first guess a kept usual time may be
RETRY_AFTER_AIM_SHARE = (
    0.25  # of the aim: a refused client comes back while an answer is still worth something
)
SPARSE_SENDS_PER_WINDOW = 0.1  # sends a window to a mean server; under it its own limit never learns in time
SPARSE_AVOIDANCE_MS = (
    30000.0  # a late server is second choice this long on thin traffic: troubles last tens of seconds
)
STALE_LIST_FAILURES = 2  # failures in a row of most servers of the ring: the list held is doubted
MAX_BACKOFF_DOUBLINGS = 4  # a failing server is left alone for 1, 2, 4 ... overdue times, doubled so often
SUBSET_SERVERS = 4  # an instance of many keeps to about so many servers ...
UNSIZED_SUBSET_SERVERS = 64  # ... or so many, where the list tells no sizes: four may all be small ones
MIN_INSTANCES_PER_SERVER = (
    4,
    6,
)  # ... as long as so many instances share each server, the more where they are tens ...
MIN_SUBSET_SERVERS = 4  # ... and it has this many ready ones
MAX_SERVERS_EXAMINED = 64  # servers looked at for one request in one event
RETRY_BUDGET_SHARE = 0.2  # further attempts allowed, as a share of requests taken
MAX_RETRY_BUDGET = 10.0  # further attempts that a quiet time may save up
COLD_SAFE_SHARE = (
    0.7  # of the share of its capacity that a cold server surely has; more as its answers show ...
)
MAX_COLD_LOAD_SHARE = (
    0.5  # ... up to this share of what would push it over: twice its even share still does not
)
RATE_TIME_CONSTANT_MS = 2000.0  # time constant of the rate of requests
TENANT_TIME_CONSTANT_MS = 5000.0  # time constant of what a tenant has had
DISCOVERY_SPREAD_PER_INSTANCE_MS = (
    150.0  # of spread for each instance's call: the service takes them in turn, a few a second
)
DISCOVERY_RETRY_MS = (
    500.0,
    5000.0,
    8000.0,
)  # least and longest wait for a call, or after a failure; after silence
MISS_SHARE_WEIGHT = 0.1  # of one send in the share of a class's sends that are missed
STALLED_CLASS_MISS_SHARE = (
    0.75  # a class that misses more than this everywhere waits for something behind the servers ...
)
HEALTHY_CLASS_MISS_SHARE = 0.3  # ... as long as another misses less than this
MACHINE_TYPE_WEIGHT = 0.02  # of one answer in what a machine type takes, against the usual
SIZE_UPDATE_INTERVAL_MS = 1000.0  # sizes told by answers are counted anew so often
SIZE_EXPONENT = 2.0  # of its answer time against others', that a machine type's size falls with ...
MAX_SIZE_RATIO = 2.0  # ... to so many times the mean or its inverse: a crowd is no size
MAX_TURNS_AHEAD = 4  # turns that a server may take before they come, for keys that it is home to
HOME_SERVERS = 2  # servers that a key is at home at, in order
MIN_UNLISTED_KEPT = 16  # servers kept that no list names any more, or as many as it names
MAY_STILL_RUN = (
    Result.TIMEOUT,
    Result.RESET,
    Result.CANCELLED,
)  # after these an attempt may still be running


def record_send_result(
    brake: RateLimiter, now: float, window: float, span: float, sent_at: float, missed: bool
) -> None:
    """Count one send as answered in time or missed."""
    if missed and sent_at < brake.event_at:
        return  # one episode, one cut: what went out before the cut belongs to it
    brake.settled.add(now, span)
    if missed:
        brake.missed.add(now, span)
        update_limit(brake, now, window, span)


def update_limit(brake: RateLimiter, now: float, window: float, span: float) -> None:
    """Compare sends with answers: cut the limit, let it rise, or leave it."""
    chance = max(ALLOWED_MISSES, brake.share * brake.settled.decayed(now, span))
    if brake.missed.decayed(now, span) > chance:
        if now - brake.rose_at > HYSTERESIS_WINDOWS * window:
            rate = min(brake.sends.rate(now, max(span, RATE_TIME_CONSTANT_MS)), brake.limit)
            brake.saturated = max(rate, 1 / span)  # M: not of the pause alone; floor: one send a span
            brake.limit = (1 - LIMIT_CUT_SHARE) * brake.saturated
            brake.event_at = brake.rose_at = now
            brake.settled, brake.missed = DecayingCounter(now), DecayingCounter(now)
    elif brake.limit < math.inf:
        regain = LIMIT_RECOVERY_WINDOWS * window  # K; C follows from it as LIMIT_CUT_SHARE * M / K ** 3
        growth = LIMIT_CUT_SHARE * brake.saturated / regain**3
        brake.limit = growth * (now - brake.event_at - regain) ** 3 + brake.saturated
        brake.rose_at = now


def has_quota(brake: RateLimiter, now: float, window: float, span: float) -> bool:
    """Whether the window's quota allows a send."""
    if brake.limit < math.inf and now >= brake.window_at + window:
        update_limit(brake, now, window, span)
        most = max(1.0, brake.limit * window)
        brake.credit = min(brake.credit + brake.limit * (now - brake.window_at), most)
        brake.window_at = now
    return brake.limit == math.inf or brake.credit >= 1.0


class Balancer:
    """Round-robin behind a cubic limit for each server."""

    def __init__(self, settings: Settings, rng: Random, now: float) -> None:
        self._settings, self._rng, self._now = settings, rng, now
        self._actions: list[Action] = []
        self._cell_limiters: dict[int, RateLimiter] = {}
        self._servers: dict[Address, Server] = {}  # all on the list, those that drain too
        self._ring: list[Server] = []  # ready ones, in turn
        self._next_index = rng.randrange(1 << 16)  # a start of its own: instances do not turn in step
        self._requests: dict[int, PendingRequest] = {}
        self._queue: list[PendingRequest] = []
        self._owed_attempts: dict[tuple[int, int], Attempt] = {}
        self._key_queues: dict[int, KeyQueue] = {}  # by key, while it has requests, strays or a rest
        self._orphaned_attempts: dict[
            tuple[int, int], int
        ] = {}  # attempts that are out of requests that are over: key
        self._ready_keys: list[int] = []  # keys whose first request may have its turn now
        self._timers: list[tuple[float, int, str, object]] = []  # what the timer is for, soonest first
        self._timer_sequence, self._timer_at, self._timer_token = 0, math.inf, 0
        self._usual_ms = [cls.aim_ms * INITIAL_USUAL_AIM_SHARE for cls in settings.classes]
        self._recent_ms = list(self._usual_ms)
        self._miss_shares = [0.0] * len(
            settings.classes
        )  # share of each class's sends that was missed of late
        self._stalled_classes: set[int] = set()  # classes that wait at every server
        self._arrivals, self._sends, self._timely_answers = (
            DecayingCounter(now),
            DecayingCounter(now),
            DecayingCounter(now),
        )  # served: in time
        self._window_ms = self._even_rate = self._observation_ms = self._usual_in_flight_per_server = (
            self._max_in_flight
        ) = self._usual_in_flight = 1.0
        self._largest_size = self._instances_per_server = (
            1.0  # instances that keep to a server of the ring, on average
        )
        self._tenant_sends = [DecayingCounter(now) for _ in settings.tenants]
        self._mean_worth, self._requests_taken = 0.0, 0  # mean worth of a request, and how many there were
        self._retry_budget, self._is_sparse, self._use_sizes = (
            MAX_RETRY_BUDGET,
            True,
            True,
        )  # weigh: turns and homes go by size
        self._machine_type_times: dict[int, float] = {}  # answer times of each machine type, in usual ones
        self._sized_at, self._next_fetch_at, self._awaits_list = now, -math.inf, False
        # All start or fail together: calls are spread, or most time out and come again as a herd.
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
        """Take one event at its time and return what to do."""
        self._actions, late, self._now = [], now - max(self._timer_at, self._now), now
        self._update_estimates()
        if (
            late > self._window_ms
        ):  # our own stall, counted once: curves stood still with us, no quota piled up
            for brake in [
                *self._cell_limiters.values(),
                *(server.brake for server in self._servers.values()),
            ]:
                brake.event_at += late
                brake.rose_at, brake.window_at = brake.rose_at + late, now
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
            case StreamStarted():  # answered; how long its client takes to read it is not the server's time
                job = self._requests.get(event.id)
                number, took = event.id, event.elapsed_ms
                self._handle_outcome(Outcome(number, event.attempt, event.address, Result.OK, took, True))
                if job is not None and job.ordering_key:  # but its key waits for the end
                    self._key_queues[job.ordering_key].orphaned_attempts += 1
                    self._orphaned_attempts[event.id, event.attempt] = job.ordering_key
            case Uploaded() if (job := self._requests.get(event.id)) is not None:
                self._set_deadlines(job, event.time_left_ms)
                if job.waits_for_turn:
                    self._schedule_turn_timeout(job)
                elif job in self._queue:
                    self._queue.remove(job)
                    self._enqueue(job)
                for index, attempt in job.in_flight.items():
                    attempt.sent_at = self._now
                    self._start_owing(job, index, attempt)
            case FleetSize():  # as the sidecars count themselves; parts move, so that each server is kept to
                self._settings = replace(
                    self._settings, instances=event.count, ordinal=event.ordinal, most=event.max_instances
                )
                self._discovery_spread_ms = min(
                    DISCOVERY_SPREAD_PER_INSTANCE_MS * event.max_instances, DISCOVERY_RETRY_MS[1]
                )
                self._rebuild_ring()
            case TimerFired() if event.token == self._timer_token:
                self._timer_at = math.inf
        self._run_due_timers()
        self._release_ready_keys()
        self._send_queued()
        while self._ready_keys:  # what was just given up has let others have their turn
            self._release_ready_keys()
            self._send_queued()
        self._arm_timer()
        return self._actions

    def usual_answer_times(self) -> tuple[float, ...]:
        """What is worth keeping across a restart: the usual answer time of each class, in their order."""
        return tuple(self._usual_ms)

    def restore_answer_times(self, usual: Mapping[int, float]) -> None:
        """Begin with kept usual times by class, held near the first guess: misleading ones do little harm."""
        for index, value in usual.items():
            guess = INITIAL_USUAL_AIM_SHARE * self._settings.classes[index].aim_ms
            self._usual_ms[index] = min(max(value, guess / MAX_RESTORED_RATIO), guess * MAX_RESTORED_RATIO)

    def export_state(self) -> HandoverState:
        rates = [self._arrivals, self._sends, self._timely_answers, *self._tenant_sends]
        servers = [replace(server, owes=[]) for server in self._servers.values()]
        known = self._mean_worth, self._requests_taken, self._retry_budget, self._next_index
        return HandoverState(self._usual_ms, self._recent_ms, rates, known, self._cell_limiters, servers)

    def import_state(self, learnt: HandoverState) -> None:
        """Go on, before the first event, where another process of this instance stood just now."""
        self._usual_ms, self._recent_ms, self._cell_limiters = learnt.usual, learnt.recent, learnt.cells
        self._arrivals, self._sends, self._timely_answers, *self._tenant_sends = learnt.rates
        self._mean_worth, self._requests_taken, self._retry_budget, self._next_index = learnt.known
        self._servers = {server.endpoint.address: server for server in learnt.servers}

    def _schedule(self, when: float, what: str, about: object = None) -> None:
        self._timer_sequence += 1
        heapq.heappush(self._timers, (when, self._timer_sequence, what, about))

    def _schedule_discovery_call(self, wait: float, watching: bool = False) -> None:
        self._discovery_call_at, self._awaits_list = self._now + wait, watching
        self._schedule(self._discovery_call_at, "ask")

    def _arm_timer(self) -> None:
        if self._timers and self._timers[0][0] < self._timer_at:
            self._timer_at = max(self._timers[0][0], self._now)
            self._timer_token += 1
            self._actions.append(SetTimer(self._timer_at - self._now, self._timer_token))

    def _run_due_timers(self) -> None:
        while self._timers and self._timers[0][0] <= self._now:
            when, _, what, about = heapq.heappop(self._timers)
            if isinstance(about, PendingRequest) and self._requests.get(about.id) is about:
                ends_at = about.latest_send_at if about.waits_for_turn else about.give_up_at
                if when >= ends_at and not (about.uploading and about.in_flight):
                    self._give_up(about)
            elif isinstance(about, tuple) and (attempt := self._owed_attempts.get(about)) is not None:
                if when < self._now - self._window_ms:  # we were late ourselves: answers may be waiting too
                    self._schedule(self._now + 2 * self._settings.tick_ms, what, about)
                else:
                    self._record_result(attempt, True)
            elif what == "rest" and isinstance(about, int):
                self._ready_keys.append(about)
            elif what == "fetch":
                self._actions.append(FetchList())
            elif what == "ask" and when == self._discovery_call_at:
                self._actions.append(Watch())
                self._schedule_discovery_call(DISCOVERY_RETRY_MS[2], True)

    def _update_estimates(self) -> None:
        """Window, even share and span from our traffic; a shorter window would see sends without answers."""
        self._window_ms = max(sum(self._usual_ms) / len(self._usual_ms), 2 * self._settings.tick_ms)
        ready = max(len(self._ring), 1)
        self._even_rate = max(self._arrivals.rate(self._now, RATE_TIME_CONSTANT_MS) / ready, 1e-9)
        # By answers in time, not requests: a burst is no capacity. By slow ones too: else a jam holds itself.
        takes = [
            min(t, OVERDUE_FACTOR * usual) for t, usual in zip(self._recent_ms, self._usual_ms, strict=True)
        ]
        self._usual_in_flight = all_due = self._timely_answers.rate(self._now, RATE_TIME_CONSTANT_MS) * max(
            sum(takes) / len(takes), self._window_ms
        )
        shared = SHARED_IN_FLIGHT_PER_SERVER / self._instances_per_server
        late = any(cls.late_worth for cls in self._settings.classes)
        most = (LATE_WORTH_IN_FLIGHT_FACTOR if late else IN_FLIGHT_FACTOR) * all_due
        if (
            not late and self._settings.instances > MIN_INSTANCES_PER_SERVER[0]
        ):  # of few, a burst here is the fleet's
            most = min(most, all_due + TOTAL_IN_FLIGHT_DEVIATIONS * math.sqrt(all_due))
        self._max_in_flight = max(most + shared * ready, 1.0)
        self._usual_in_flight_per_server = max(
            all_due / ready, (math.sqrt(MIN_IN_FLIGHT_PER_SERVER + shared + 1.0) - 1.0) ** 2
        )
        # Too thin for a server's own limit: its cell's limit, one late answer and listed sizes stand in.
        self._is_sparse = self._even_rate * self._window_ms < SPARSE_SENDS_PER_WINDOW
        self._use_sizes = self._is_sparse or not self._settings.listed_sizes
        if not self._settings.listed_sizes and self._now >= self._sized_at + SIZE_UPDATE_INTERVAL_MS:
            self._update_sizes()
        many = (
            ready / max(len(self._cell_limiters), 1) if self._is_sparse else 1.0
        )  # servers behind one limit
        self._observation_ms = min(
            max(OBSERVATION_SENDS / (self._even_rate * many), 2 * self._window_ms), MAX_OBSERVATION_MS
        )

    def _latest_send_time(self, job: PendingRequest) -> float:
        """When it is too late to send: an answer would miss the aim."""
        least = min(
            MIN_TIME_LEFT_ANSWERS * self._recent_ms[job.class_index],
            MIN_TIME_LEFT_AIM_SHARE * job.request_class.aim_ms,
        )
        return math.inf if job.uploading else job.aim_at - least

    def _limiter_for(self, server: Server) -> RateLimiter:
        """The limit that binds: on thin traffic a server's own never learns, so its cell's does."""
        return self._cell_limiters[server.endpoint.cell] if self._is_sparse else server.brake

    def _can_accept(self, server: Server) -> bool:
        """Whether a turn may go to this server now."""
        if self._now < server.benched_until:
            return False
        due = self._usual_in_flight_per_server * (server.size if self._is_sparse else 1.0)
        owes = (
            sum(one.index not in self._stalled_classes for one in server.owes)
            if self._stalled_classes
            else len(server.owes)
        )
        if owes and (server.fails or owes + 1 > due + SERVER_IN_FLIGHT_DEVIATIONS * math.sqrt(due)):
            return False  # one trial at a time; and what is owed beyond chance counts against the quota
        brake = self._limiter_for(server)
        return self._has_cold_credit(server) and has_quota(
            brake, self._now, self._window_ms, self._observation_ms
        )

    def _has_cold_credit(self, server: Server) -> bool:
        """Rule 4: a cold server gets the part of its even share that it surely can do, no more."""
        cold = self._settings.warm_after_ms - (self._now - server.endpoint.started_at)
        if cold <= 0 or not server.endpoint.started_at:
            return True
        sure = 1 - (1 - self._settings.cold_from) * min(cold / self._settings.warm_after_ms, 1.0)
        part = max(
            COLD_SAFE_SHARE * sure,
            min(server.warmth, MAX_COLD_LOAD_SHARE * self._settings.fall_multiple * sure),
        )
        return (
            server.refill_cold_credit(
                self._now, part * self._even_rate * (server.size if self._use_sizes else 1.0)
            )
            >= 1.0
        )

    def _pick_server(self, job: PendingRequest) -> Server | None:
        """The next server in turn with quota left that this request may go to."""
        count, second, early = len(self._ring), -1, list[Server]()
        for server in self._home_servers(job):
            if (
                server.ahead < MAX_TURNS_AHEAD
                and self._is_preferred(job, server)
                and self._can_accept(server)
            ):
                server.ahead += 1
                return server
        looked = min(count, MAX_SERVERS_EXAMINED)  # work for an event must not grow with the fleet
        for index in (step % count for step in range(self._next_index, self._next_index + looked)):
            server = self._ring[index]
            if self._can_accept(server) and self._may_send_to(job, server):
                # On thin traffic a server of half the size gets every second turn.
                server.passed = server.passed % 1.0 + (
                    server.size / self._largest_size if self._use_sizes else 1.0
                )
                if server.ahead and server.passed >= 1.0:  # its turn was taken already
                    early.append(server)
                    second = index if second < 0 else second
                    continue
                if server.passed >= 1.0 and self._is_preferred(job, server):
                    self._next_index = index + 1
                    for passed in early:
                        passed.ahead -= 1
                    return server
                second = index if second < 0 else second
        self._next_index = second + 1 if second >= 0 else self._next_index + looked
        for passed in early:  # a whole round of turns that were taken already
            passed.ahead -= 1
        return self._ring[second] if second >= 0 else None

    def _is_preferred(self, job: PendingRequest, server: Server) -> bool:
        wary = max(server.wary_until, server.spared.get(job.class_index, (0, -math.inf))[1])
        return server not in job.tried_servers and self._now >= wary and self._may_send_to(job, server)

    def _home_servers(self, job: PendingRequest) -> list[Server]:
        """Where its key is at home: the same servers at every instance, larger ones for more keys."""
        if not job.affinity_key:
            return []
        return heapq.nlargest(
            HOME_SERVERS,
            self._ring,
            key=lambda server: server.affinity_score(job.affinity_key, self._use_sizes),
        )

    def _may_send_to(self, job: PendingRequest, server: Server) -> bool:
        """Rule 2: what may have run is repeated only where that is harmless, a keyed one in its group."""
        if job.first_possible_run is None or job.request_class.effect is Effect.SAFE:
            return True
        if self._now + self._settings.tick_ms >= job.latest_repeat_at:
            return False
        first, there, group = job.first_possible_run.server.endpoint, server.endpoint, job.request_class.group
        same = first.zone == there.zone if group is Group.ZONE else first.cell == there.cell
        return same or group is Group.ALL

    def _accept_request(self, request: Request) -> None:
        cls, tenant = (
            self._settings.classes[request.class_index],
            request.tenant_index if self._tenant_sends else 0,
        )
        job = self._requests[request.id] = PendingRequest(
            request.id, request.class_index, cls, tenant, self._now, self._now
        )
        job.affinity_key = request.key if self._settings.warm_keys else 0
        self._set_deadlines(job, request.time_left_ms, request.uploading)
        self._arrivals.add(self._now, RATE_TIME_CONSTANT_MS)
        self._requests_taken += 1
        self._mean_worth += max(1 / self._requests_taken, ANSWER_TIME_WEIGHT) * (cls.worth - self._mean_worth)
        self._retry_budget = min(self._retry_budget + RETRY_BUDGET_SHARE, MAX_RETRY_BUDGET)
        if request.key and cls.in_turn:
            self._enqueue_for_key(job, request.key)
        else:
            self._enqueue(job)

    def _enqueue_for_key(self, job: PendingRequest, key: int) -> None:
        """Rule 5: requests of a key run one at a time as they came; none waits for what can't be in time."""
        line = self._key_queues.setdefault(key, KeyQueue())
        line.requests.append(job)
        job.ordering_key, job.waits_for_turn = key, True
        self._ready_keys.append(key)
        self._schedule_turn_timeout(job)
        if (len(line.requests) - 1) * self._usual_ms[job.class_index] > job.latest_send_at - self._now:
            self._give_up(job)

    def _schedule_turn_timeout(self, job: PendingRequest) -> None:
        job.latest_send_at = self._latest_send_time(job)
        if job.latest_send_at < math.inf:
            self._schedule(job.latest_send_at, "turn", job)

    def _release_ready_keys(self) -> None:
        """Let the first of each ripe key have its turn; a key with nothing left to keep is forgotten."""
        ripe, self._ready_keys = self._ready_keys, []
        for key in ripe:
            line = self._key_queues.get(key)
            if line is None or line.orphaned_attempts or line.quiet_until > self._now:
                continue  # it ripens with the outcome, or with the end of its rest
            if not line.requests:
                del self._key_queues[key]
            elif line.requests[0].waits_for_turn:
                line.requests[0].waits_for_turn = False
                self._enqueue(line.requests[0])

    def _set_deadlines(self, job: PendingRequest, left: float, uploading: bool = False) -> None:
        """A request's time begins now, or, while its body still comes, once that has come."""
        deadline, job.uploading = self._now + left, uploading
        job.aim_at = (
            deadline if job.request_class.late_worth else min(self._now + job.request_class.aim_ms, deadline)
        )
        job.give_up_at = deadline - 2 * self._settings.tick_ms
        self._schedule(job.give_up_at, "backstop", job)

    def _enqueue(self, job: PendingRequest) -> None:
        """Queue a request: tenants within their share, then what is worth most, then who can wait least."""
        if job.class_index in self._stalled_classes and self._is_at_in_flight_limit(job):
            self._give_up(job)  # a few go on and tell when it is over
            return
        job.latest_send_at = self._latest_send_time(job)
        had = [meter.decayed(self._now, TENANT_TIME_CONSTANT_MS) for meter in self._tenant_sends]
        over = bool(had) and had[job.tenant_index] > self._settings.tenants[job.tenant_index].portion * sum(
            had
        )
        job.priority = (over, -job.request_class.worth, job.latest_send_at)
        bisect.insort(self._queue, job, key=lambda held: held.priority)
        slack = job.latest_send_at - self._now
        if len(self._queue) - 1 > QUEUE_SLACK_SHARE * slack * self._sends.rate(
            self._now, RATE_TIME_CONSTANT_MS
        ):
            self._give_up(self._queue[-1])

    def _send_queued(self) -> None:
        """Send what quotas allow."""
        waiting, self._queue, spent = self._queue, [], False
        left: list[PendingRequest] = []
        for job in waiting:
            # A thin instance has one request in hand: the cap, not a queue, must tell which are worth more.
            full = self._is_at_in_flight_limit(job)
            server = None if spent or full else self._pick_server(job)
            if server is not None:
                self._send(job, server)
                continue
            spent = spent or (
                job.first_possible_run is None and not full
            )  # it might have gone anywhere: so nobody else can
            left.append(job)
            if self._now >= job.latest_send_at:
                self._give_up(left.pop())
        self._queue = left
        if left and self._queue_retry_at <= self._now:
            if self._now > self._queue_retry_at + TENANT_TIME_CONSTANT_MS:
                self._actions.append(Log(f"holding: no quota left on any of {len(self._ring)} servers"))
            self._queue_retry_at = self._now + max(self._window_ms / 4, self._settings.tick_ms)
            self._schedule(self._queue_retry_at, "window")

    def _is_at_in_flight_limit(self, job: PendingRequest) -> bool:
        """Whether as much is owed by all servers together as may be."""
        out = [attempt.index for attempt in self._owed_attempts.values()] if self._stalled_classes else []
        if job.class_index in self._stalled_classes:
            return out.count(job.class_index) >= max(self._usual_in_flight / len(self._usual_ms), 1.0)
        owed = len(self._owed_attempts) - sum(index in self._stalled_classes for index in out)
        return owed >= max(
            self._max_in_flight
            * max(job.request_class.worth / (self._mean_worth or 1.0), LOW_WORTH_IN_FLIGHT_SHARE),
            1.0,
        )

    def _send(self, job: PendingRequest, server: Server) -> None:
        attempt = Attempt(server, self._now, job.class_index)
        if job.attempts_sent == 0 and self._tenant_sends:
            self._tenant_sends[job.tenant_index].add(self._now, TENANT_TIME_CONSTANT_MS)
        job.in_flight[job.attempts_sent] = attempt
        if not job.uploading:
            self._start_owing(job, job.attempts_sent, attempt)
        job.attempts_sent += 1
        job.tried_servers.append(server)
        server.cold_credit = max(server.cold_credit - 1.0, 0.0)
        self._sends.add(self._now, RATE_TIME_CONSTANT_MS)
        brake = self._limiter_for(server)
        brake.credit = max(brake.credit - 1.0, 0.0)  # no debt from when nothing bound
        brake.sends.add(self._now, max(self._observation_ms, RATE_TIME_CONSTANT_MS))
        self._actions.append(Send(job.id, server.endpoint.address, begin_by_ms=job.latest_repeat_at))

    def _start_owing(self, job: PendingRequest, index: int, attempt: Attempt) -> None:
        """From now on the server owes an answer."""
        self._owed_attempts[job.id, index] = attempt
        attempt.server.owes.append(attempt)
        share = 1.0 if job.request_class.late_worth else OVERDUE_AIM_SHARE  # later leaves no time to mend it
        patience = min(OVERDUE_FACTOR * self._usual_ms[job.class_index], share * job.request_class.aim_ms)
        self._schedule(self._now + patience, "overdue", (job.id, index))

    def _may_retry(self, job: PendingRequest) -> bool:
        """Whether another attempt is allowed, paid for, and in time."""
        allowed = self._now < self._latest_send_time(job) and job.attempts_sent < self._settings.max_attempts
        return (
            allowed
            and self._retry_budget >= 1.0
            and any(self._may_send_to(job, server) for server in self._ring)
        )

    def _give_up(self, job: PendingRequest) -> None:
        dropped = job.request_class.effect is Effect.KEYED and job.request_class.group is Group.ALL
        harmless = (
            job.request_class.effect is Effect.SAFE
            or dropped
            or (job.first_possible_run is None and not job.in_flight)
        )
        hint = RETRY_AFTER_AIM_SHARE * job.request_class.aim_ms if self._now < job.aim_at else math.inf
        hint = min(self._settings.max_retry_after_ms, hint) if self._settings.retry_after else 0.0
        self._actions.append(Refuse(job.id, hint) if harmless else Fail(job.id))
        self._remove_request(job.id)

    def _remove_request(self, number: int) -> None:
        """Forget a request that has its answer; call off what is still out for it."""
        if (job := self._requests.pop(number, None)) is None:
            return
        self._queue = [held for held in self._queue if held is not job]
        if job.ordering_key:
            line = self._key_queues[job.ordering_key]
            line.requests.remove(job)
            line.orphaned_attempts += len(job.in_flight)
            self._orphaned_attempts |= {(number, out): job.ordering_key for out in job.in_flight}
            self._extend_quiet_time(line, job.ordering_key, job.key_quiet_until)
        self._actions.extend(Cancel(number, out) for out in job.in_flight if self._settings.may_cancel)

    def _extend_quiet_time(self, line: KeyQueue, key: int, until: float) -> None:
        line.quiet_until = max(line.quiet_until, until)
        if line.quiet_until > self._now:
            self._schedule(line.quiet_until, "rest", key)
        self._ready_keys.append(key)

    def _record_result(self, attempt: Attempt, missed: bool) -> None:
        if not attempt.missed:
            attempt.missed = missed
            self._miss_shares[attempt.index] += MISS_SHARE_WEIGHT * (
                missed - self._miss_shares[attempt.index]
            )
            others = min(self._miss_shares) < HEALTHY_CLASS_MISS_SHARE
            self._stalled_classes = {
                i for i, share in enumerate(self._miss_shares) if share > STALLED_CLASS_MISS_SHARE and others
            }
            if attempt.index in self._stalled_classes:
                return  # nobody's fault
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
        attempt, job = self._owed_attempts.pop((event.id, event.attempt), None), self._requests.get(event.id)
        unowed = job.in_flight.pop(event.attempt, None) if job is not None else None
        attempt = attempt or unowed  # its body was still on the way
        rests_until = self._now + self._settings.key_quiet_ms if event.result in MAY_STILL_RUN else -math.inf
        if key := self._orphaned_attempts.pop((event.id, event.attempt), 0):
            self._key_queues[key].orphaned_attempts -= 1
            self._extend_quiet_time(self._key_queues[key], key, rests_until)
        elif job is not None:
            job.key_quiet_until = max(job.key_quiet_until, rests_until)
        if attempt is not None:
            self._learn_from_outcome(event, attempt, job)
        if job is None or attempt is None:
            return
        if not event.result.never_ran:
            job.first_possible_run = job.first_possible_run or attempt
        if event.request_answered:
            self._remove_request(event.id)
        elif not job.in_flight and event.can_resend and self._may_retry(job):
            self._retry_budget -= 1.0
            self._enqueue(job)
        elif not job.in_flight:
            self._give_up(job)

    def _learn_from_outcome(self, event: Outcome, attempt: Attempt, job: PendingRequest | None) -> None:
        server, now = attempt.server, self._now
        stuck = attempt.index in self._stalled_classes and event.result is not Result.CONNECT_FAILED
        failed = event.result not in (Result.OK, Result.CANCELLED, Result.NOT_SENT) and not stuck
        server.owes = [one for one in server.owes if one is not attempt]
        other, server.answers = server.answers, -1 if attempt.missed or failed else attempt.index
        alone = attempt.index in server.spared or other not in (-1, attempt.index)
        if stuck:
            self._record_result(attempt, event.result is not Result.OK)
        elif alone and event.result in (Result.ERROR, Result.TIMEOUT):
            # It has just answered another class: this one alone may fail there, the others go on.
            count, _ = server.spared.get(attempt.index, (0, 0.0))
            memory = SPARSE_AVOIDANCE_MS if self._is_sparse else 1 / self._even_rate
            server.spared[attempt.index] = (count + 1, now + 2 ** min(count, MAX_BACKOFF_DOUBLINGS) * memory)
            failed, attempt.missed = False, True
        elif attempt.missed or failed:
            often = 2 ** min(server.fails, MAX_BACKOFF_DOUBLINGS) if failed else 1
            memory = SPARSE_AVOIDANCE_MS if self._is_sparse else 1 / self._even_rate
            server.wary_until = max(now + often * memory, server.wary_until)
            rest = now + self._window_ms * OVERDUE_FACTOR * often
            server.benched_until = max(min(rest, server.wary_until), server.benched_until)
            server.warmth /= 2
        if failed:
            server.spared.clear()
            self._record_result(
                attempt, event.result is not Result.RESET or self._is_sparse
            )  # it tells nothing of speed
            server.fails += 1
            if server.fails == MAX_BACKOFF_DOUBLINGS:  # where it is unlisted, it is out
                self._rebuild_ring()
            doubtful = sum(one.fails >= STALE_LIST_FAILURES for one in self._ring)
            if doubtful * 2 > len(self._ring) > 1 and now >= self._next_fetch_at:
                self._next_fetch_at = (
                    now + DISCOVERY_RETRY_MS[1]
                )  # most are not what the list says: a watch may be dead
                self._schedule(now + self._rng.random() * self._discovery_spread_ms, "fetch")
            if server.fails == MAX_BACKOFF_DOUBLINGS:
                self._actions.append(Log(f"left {server.endpoint.address.hex()} alone: {event.result.value}"))
        elif event.result is Result.OK and not stuck:
            self._record_result(attempt, False)
            server.fails //= 2
            server.warmth = min(max(server.warmth, 1 - COLD_SAFE_SHARE) / COLD_SAFE_SHARE, 1.0)
            server.spared.pop(attempt.index, None)
            # What is overdue and was overtaken is lost on its connection: the server owes it to nobody.
            server.owes = [one for one in server.owes if not one.missed or one.sent_at > attempt.sent_at]
            if job is not None:
                if not self._settings.listed_sizes:
                    took = event.elapsed_ms / max(self._recent_ms[job.class_index], self._settings.tick_ms)
                    known = self._machine_type_times.setdefault(server.endpoint.kind, 1.0)
                    self._machine_type_times[server.endpoint.kind] = known + MACHINE_TYPE_WEIGHT * (
                        took - known
                    )
                self._recent_ms[job.class_index] += ANSWER_TIME_WEIGHT * (
                    event.elapsed_ms - self._recent_ms[job.class_index]
                )
                off = event.elapsed_ms - self._usual_ms[job.class_index]
                self._usual_ms[job.class_index] += (
                    SLOWER_ANSWER_WEIGHT if off > 0 else ANSWER_TIME_WEIGHT
                ) * off

    def _handle_server_list(self, event: ServerList) -> None:
        if self._awaits_list and not event.cached:  # a list fetched without one is no answer to it
            self._discovery_call_at, self._discovery_wait_ms = (
                math.inf,
                max(self._discovery_spread_ms, DISCOVERY_RETRY_MS[0]),
            )
        if event.complete:
            named = {endpoint.address for endpoint in event.endpoints}
            for address in [address for address in self._servers if address not in named]:
                self._unlist(address)
        for endpoint in event.endpoints:
            if endpoint.cell not in self._cell_limiters:
                self._cell_limiters[endpoint.cell] = self._new_limiter(CELL_ALLOWED_MISS_SHARE)
            known = self._servers.get(endpoint.address)
            if endpoint.state is State.GONE:
                self._unlist(endpoint.address)
            elif known is None or known.endpoint.started_at != endpoint.started_at:
                place, passed, credit = self._rng.random(), self._rng.random(), self._rng.random()
                server = Server(endpoint, self._new_limiter(ALLOWED_MISS_SHARE), place, passed)
                server.cold_credit, server.cold_at = credit, self._now
                server.mark = zlib.crc32(endpoint.address)
                self._servers[endpoint.address] = server
            else:
                known.endpoint, known.listed = endpoint, True
        unlisted = [key for key, server in self._servers.items() if not server.listed]
        for address in unlisted[: -max(len(self._servers) - len(unlisted), MIN_UNLISTED_KEPT)]:
            del self._servers[address]  # the oldest: a fleet that is replaced leaves no end of them
        self._rebuild_ring()

    def _unlist(self, address: Address) -> None:
        """Forget a server, or where only draining binds keep one that did not drain: its own answers tell."""
        server = self._servers.get(address)
        if server is None:
            return
        server.listed = False
        if server.endpoint.state is not State.READY or not self._settings.only_draining_binds:
            del self._servers[address]

    def _rebuild_ring(self) -> None:
        """Who gets turns, in which order."""
        # An order of its own: who follows a skipped server gets its turns too, at each instance another.
        self._ring = sorted(self._choose_subset(), key=lambda server: server.place)
        self._update_sizes()

    def _update_sizes(self) -> None:
        """Sizes against the mean: as listed, or by what answers of each machine type take."""
        self._sized_at, sizes = self._now, [server.endpoint.size for server in self._ring]
        if not self._settings.listed_sizes:
            takes = [
                max(self._machine_type_times.get(server.endpoint.kind, 1.0), 1 / MAX_SIZE_RATIO)
                for server in self._ring
            ]
            sizes = [min(max(took**-SIZE_EXPONENT, 1 / MAX_SIZE_RATIO), MAX_SIZE_RATIO) for took in takes]
        total = sum(sizes)
        for server, size in zip(self._ring, sizes, strict=True):
            server.size = size * len(sizes) / total
        self._largest_size = max((server.size for server in self._ring), default=1.0)

    def _new_limiter(self, share: float) -> RateLimiter:
        return RateLimiter(
            self._now,
            DecayingCounter(self._now),
            DecayingCounter(self._now),
            DecayingCounter(self._now),
            share,
        )

    def _choose_subset(self) -> list[Server]:
        """The ready servers that this instance keeps to: all, but where many instances meet many servers."""
        ready = [server for server in self._servers.values() if server.endpoint.state is State.READY]
        ready = [server for server in ready if server.listed or server.fails < MAX_BACKOFF_DOUBLINGS] or ready
        count, total = max(self._settings.instances, 1), len(ready)
        least = min(
            max(count // MIN_INSTANCES_PER_SERVER[1], MIN_INSTANCES_PER_SERVER[0]),
            MIN_INSTANCES_PER_SERVER[1],
        )
        wanted = SUBSET_SERVERS if self._settings.listed_sizes else UNSIZED_SUBSET_SERVERS
        sharers = max(round(wanted / max(total, 1) * count), least)
        self._instances_per_server = float(max(count, self._settings.most))
        if sharers >= count or total <= MIN_SUBSET_SERVERS:
            return ready
        # Runs of neighbours on a circle: as many parts hold each server, a changed list moves ends of runs.
        in_cell = any(
            cls.effect is Effect.KEYED and cls.group is Group.CELL for cls in self._settings.classes
        )
        cells = {s.endpoint.cell: zlib.crc32(b"%d" % s.endpoint.cell) if in_cell else 0 for s in ready}
        ready.sort(key=lambda server: (cells[server.endpoint.cell], server.mark))
        size = max(round(sharers * total / count), MIN_SUBSET_SERVERS)
        first, part, warm = self._settings.ordinal * total // count, list[Server](), 0
        while warm < size and len(part) < total:  # cold ones come on top: they take next to nothing
            part.append(ready[(first + len(part)) % total])
            started = part[-1].endpoint.started_at
            warm += not started or self._now - started >= self._settings.warm_after_ms
        self._instances_per_server = max(max(count, self._settings.most) * len(part) / total, 1.0)
        return part
