"""Simulates the load that many balancer processes together put on cold servers.

The simulation runs in virtual time without I/O, and a seed makes it repeatable. Within `fall_ms` a cold
server may receive N requests of mean work: the multiple in the settings of what it can do at that moment.
Random variation may exceed N by `MARGIN_ROOTS` square roots of N plus `MARGIN_REQUESTS` requests. The worst
excess is given in square roots of N. An overloaded server keeps running, so that the whole load on it is
counted.
"""

import heapq
import math
from collections import deque
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random
from typing import Literal, TypeAlias

from larkcrank.core.balancer import Balancer
from larkcrank.core.interface import (
    Cancel,
    Effect,
    Endpoint,
    Event,
    Fail,
    Group,
    Outcome,
    Refuse,
    Request,
    RequestClass,
    Result,
    Send,
    ServerList,
    SetTimer,
    Settings,
    TimerFired,
)

MARGIN_ROOTS, MARGIN_REQUESTS = 2.0, 2.0  # random margin above N: square roots of N, and requests
HEAVY_ONE_IN, HEAVY_TIMES = 10, 10.0  # one process in ten carries ten times the load of each other one
ONE_WAY_LATENCY_MS = 1.0
SCENARIO_START_MS = 3000.0  # first server restart, in the scenarios that begin with warm servers
RELEASE_STEPS, RELEASE_STEP_INTERVAL_MS = 4, 1500.0
MAX_CLIENT_RETRIES = 2  # retries of a client after refusals
LIST_SPREAD_MS = 50.0  # time until the last process has received a new server list
SERVER_DOWNTIME_MS = 300.0  # how long a restarting server is unreachable
# Request classes of different work: share of the requests, and relative work of a request.
WORK_CLASSES = (
    (0.70, 0.5),
    (0.25, 1.2),
    (0.05, 7.0),
)

Scenario: TypeAlias = Literal["all", "one", "release", "restarts"]
BalancerFactory: TypeAlias = Callable[[Settings, Random, float], Balancer]


@dataclass(frozen=True)
class Case:
    """The parameters of one simulation. Times are in ms."""

    scenario: Scenario = "all"  # see `_schedule_scenario`; "all": all servers start cold
    processes: int = 30
    servers: int = 10
    workers: int = 2  # per server
    work_ms: float = 60.0  # duration of a mean request on a warm server
    load: float = 0.8  # relative to the capacity of all servers when they are warm
    cold_from: float = 0.12  # speed of a server at its start, relative to a warm one
    fall_multiple: float = 2.0  # N as a multiple of the current capacity of a cold server
    warm_ms: float = 8000.0  # time from the start of a server until it is warm
    fall_ms: float = 2000.0  # window in which the calls to a cold server are counted
    told: float = 1.0  # configured number of processes, as a multiple of the real number
    listed_sizes: bool = True  # the setting of the same name
    unlike: bool = False  # whether the request classes differ in work
    quick: bool = False  # a cold server answers at full speed but runs fewer requests at a time
    begins_ms: float = 0.0  # time of the first client request
    play_ms: float = 10_000.0  # duration of the simulation
    seed: int = 1


@dataclass
class SimulationResult:
    """The result of one simulation. N is the number of calls that a cold server may receive in a window."""

    worst_excess: float = -math.inf  # highest (calls - N) / sqrt(N) of any cold server
    worst_overrun: float = -math.inf  # highest (calls - N - margin) / sqrt(N); above 0: overload
    overloaded_servers: int = 0  # servers that received more than N and the margin at any time
    request_count: int = 0  # without client retries
    served_count: int = 0  # requests answered within the target latency
    cold_request_count: int = 0  # requests that arrived while any server was cold
    cold_served_count: int = 0
    attempt_count: int = 0

    @property
    def served_share(self) -> float:
        return self.served_count / max(self.request_count, 1)

    @property
    def cold_served_share(self) -> float:
        return self.cold_served_count / max(self.cold_request_count, 1)


@dataclass
class _Server:
    """A simulated server, cold after its start."""

    address: bytes
    started_at: float  # 0: before the simulation, hence warm
    free_workers: int
    is_up: bool = True
    restart_count: int = 0
    queue: deque["_Attempt"] = field(default_factory=deque)
    running: list["_Attempt"] = field(default_factory=list)
    cold_calls: deque[tuple[float, float]] = field(default_factory=deque)  # time, relative work
    cold_work: float = 0.0
    is_overloaded: bool = False  # it received more calls than N and the margin at some time


@dataclass
class _Attempt:
    """A request that a process sent to a server."""

    server: "_Server"
    process: int
    request_id: int
    attempt_number: int
    sent_at: float
    work_ms: float
    is_ended: bool = False  # the process has been told the outcome, or has restarted
    is_dropped: bool = False  # cancelled before the server began it


@dataclass
class _ClientRequest:
    """A request as its client sees it, with the retries that it has left."""

    arrived_at: float
    class_index: int
    retries_left: int
    during_cold_start: bool  # some server was cold when it arrived


def named_cases(base: Case) -> dict[str, Case]:
    """The cases of the results table, by their name there."""
    return {
        "all cold at once": replace(base, scenario="all"),
        "one cold among warm": replace(base, scenario="one"),
        "release in steps": replace(base, scenario="release"),
        "half of the processes restart": replace(base, scenario="restarts"),
        "count told: half": replace(base, scenario="release", told=0.5),
        "count told: twice": replace(base, scenario="release", told=2.0),
        "classes of unlike work": replace(base, scenario="release", unlike=True),
    }


def randomized_case(base: Case) -> Case:
    """The same case with settings and servers drawn at random from its seed."""
    rng = Random(base.seed)
    return replace(
        base,
        servers=rng.choice([4, 6, 10, 16]),
        workers=rng.choice([1, 2, 4]),
        work_ms=rng.choice([60.0, 120.0, 240.0]),
        load=rng.uniform(0.5, 1.5),
        cold_from=rng.choice([0.12, 0.18, 0.3, 0.4]),
        fall_multiple=rng.choice([2.0, 2.5, 3.0, 4.0]),
        warm_ms=rng.uniform(5000.0, 10_000.0),
        fall_ms=rng.choice([1000.0, 1500.0, 2000.0, 3000.0]),
        listed_sizes=rng.random() < 0.7,
        quick=rng.random() < 0.5,
    )


def simulate(case: Case) -> SimulationResult:
    return Simulation(case).run()


def simulate_all(cases: list[Case], worker_count: int) -> list[SimulationResult]:
    """Runs the cases in parallel processes and returns the results in the order of the cases."""
    with ProcessPoolExecutor(worker_count) as pool:
        return list(pool.map(simulate, cases, chunksize=4))


class Simulation:
    """Runs real balancers against simulated servers, with all events on one heap."""

    def __init__(self, case: Case, make_balancer: BalancerFactory = Balancer) -> None:
        self.case, self.now, self.result = case, 0.0, SimulationResult()
        self._make_balancer, self._rng = make_balancer, Random(case.seed)
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self._event_count = self._last_request_id = 0
        work_classes = WORK_CLASSES if case.unlike else ((1.0, 1.0),)
        mean_work = sum(request_share * relative_work for request_share, relative_work in work_classes)
        self._class_shares = [request_share for request_share, _ in work_classes]
        self._class_work = [relative_work / mean_work for _, relative_work in work_classes]
        target_ms = max(1000.0, 8.0 * case.work_ms * max(self._class_work))
        classes = tuple(
            RequestClass(f"c{index}", Effect.SAFE, Group.ALL, target_ms, 2.5 * target_ms, 5000.0, 1.0)
            for index in range(len(work_classes))
        )
        self._settings = Settings(
            classes,
            instances=max(round(case.processes * case.told), 1),
            cold_from=case.cold_from,
            warm_after_ms=case.warm_ms,
            fall_multiple=case.fall_multiple,
            fall_ms=case.fall_ms,
            max_attempts=3,
            may_cancel=True,
            retry_after=True,
            max_retry_after_ms=2000.0,
            listed_sizes=case.listed_sizes,
        )
        started_at = 1.0 if case.scenario == "all" else 0.0
        self._servers = {
            address: _Server(address, started_at, case.workers)
            for address in (bytes([10, 0, 0, index, 35, 40]) for index in range(case.servers))
        }
        self._balancers: list[Balancer] = []
        self._restart_counts = [0] * case.processes
        self._open_requests: list[dict[int, _ClientRequest]] = [{} for _ in range(case.processes)]
        self._open_attempts: list[dict[tuple[int, int], _Attempt]] = [{} for _ in range(case.processes)]
        self._attempt_counts: list[dict[int, int]] = [{} for _ in range(case.processes)]
        for process in range(case.processes):
            self._balancers.append(self._new_balancer(process))
            self._send_server_list(process)
        heavy_count = max(round(case.processes / HEAVY_ONE_IN), 1)
        weights = [HEAVY_TIMES] * heavy_count + [1.0] * (case.processes - heavy_count)
        self._rng.shuffle(weights)
        capacity = case.servers * case.workers / case.work_ms
        self._request_rates = [case.load * capacity * weight / sum(weights) for weight in weights]
        for process in range(case.processes):
            self._schedule(case.begins_ms, partial(self._schedule_arrival, process))
        self._schedule_scenario()

    def run(self) -> SimulationResult:
        while self._events and self._events[0][0] <= self.case.play_ms:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.result

    # Scenario

    def _schedule_scenario(self) -> None:
        """Schedules the restarts of the scenario. In "all" there are none: all servers start cold."""
        case, servers = self.case, list(self._servers.values())
        if case.scenario == "one":
            self._schedule(SCENARIO_START_MS, partial(self._restart_servers, servers[:1]))
        elif case.scenario == "release":
            for step in range(RELEASE_STEPS):
                restarted = servers[step::RELEASE_STEPS]
                self._schedule(
                    SCENARIO_START_MS + step * RELEASE_STEP_INTERVAL_MS,
                    partial(self._restart_servers, restarted),
                )
        elif case.scenario == "restarts":
            self._schedule(SCENARIO_START_MS, partial(self._restart_servers, servers[::2]))
            self._schedule(SCENARIO_START_MS + SERVER_DOWNTIME_MS + case.warm_ms / 8, self._restart_processes)

    def _restart_servers(self, servers: list[_Server]) -> None:
        """Stops these servers, which resets their attempts, and starts them again after the downtime."""
        for server in servers:
            server.is_up, server.restart_count = False, server.restart_count + 1
            lost_attempts, server.queue, server.running = [*server.queue, *server.running], deque(), []
            server.free_workers = self.case.workers
            for attempt in lost_attempts:
                self._end_attempt(attempt, Result.RESET)
        self._schedule(self.now + SERVER_DOWNTIME_MS, partial(self._finish_restart, servers))

    def _finish_restart(self, servers: list[_Server]) -> None:
        for server in servers:
            server.is_up, server.started_at = True, self.now
            server.cold_calls.clear()
            server.cold_work = 0.0
        for process in range(self.case.processes):
            self._schedule(
                self.now + LIST_SPREAD_MS * self._rng.random(), partial(self._send_server_list, process)
            )

    def _restart_processes(self) -> None:
        """Restarts half of the processes at once. They lose their state, but new requests keep arriving."""
        for process in range(0, self.case.processes, 2):
            self._restart_counts[process] += 1
            for attempt in self._open_attempts[process].values():
                attempt.is_ended = True
            self._open_requests[process], self._open_attempts[process], self._attempt_counts[process] = (
                {},
                {},
                {},
            )
            self._balancers[process] = self._new_balancer(process)
            self._send_server_list(process)

    # Processes

    def _new_balancer(self, process: int) -> Balancer:
        settings = replace(self._settings, ordinal=process)
        return self._make_balancer(settings, Random(self._rng.getrandbits(62)), self.now)

    def _send_server_list(self, process: int) -> None:
        """Gives a process the current server list."""
        endpoints = (
            Endpoint(server.address, started_at=server.started_at) for server in self._servers.values()
        )
        self._handle(process, ServerList(tuple(endpoints), complete=True))

    def _schedule(self, due: float, action: Callable[[], object]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (due, self._event_count, action))

    def _schedule_arrival(self, process: int) -> None:
        self._schedule(
            self.now + self._rng.expovariate(self._request_rates[process]),
            partial(self._new_request, process),
        )

    def _new_request(self, process: int) -> None:
        """Lets a new client request arrive at a process and schedules the next one."""
        class_index = self._rng.choices(range(len(self._class_shares)), self._class_shares)[0]
        during_cold_start = any(self._relative_speed(server) < 1.0 for server in self._servers.values())
        self.result.request_count += 1
        self.result.cold_request_count += during_cold_start
        self._submit(process, _ClientRequest(self.now, class_index, MAX_CLIENT_RETRIES, during_cold_start))
        self._schedule_arrival(process)

    def _submit(self, process: int, request: _ClientRequest) -> None:
        self._last_request_id += 1
        self._open_requests[process][self._last_request_id] = request
        deadline_ms = self._settings.classes[request.class_index].deadline_ms
        self._handle(
            process,
            Request(
                self._last_request_id,
                request.class_index,
                deadline_ms,
                is_retry=request.retries_left < MAX_CLIENT_RETRIES,
            ),
        )

    def _handle(self, process: int, event: Event, restart_count: int = -1) -> None:
        """Passes an event to a balancer and carries out its actions.

        A `restart_count` from 0 on drops the event if the process has restarted since.
        """
        if 0 <= restart_count != self._restart_counts[process]:
            return
        restart_count = self._restart_counts[process]
        for action in self._balancers[process].handle(self.now, event):
            match action:
                case SetTimer():
                    timer_fired = TimerFired(action.token)
                    self._schedule(
                        self.now + action.wait_ms, partial(self._handle, process, timer_fired, restart_count)
                    )
                case Send():
                    self._start_attempt(process, action)
                case Cancel() if (
                    attempt := self._open_attempts[process].get((action.id, action.attempt))
                ) is not None:
                    attempt.is_dropped = attempt in attempt.server.queue
                    self._schedule(self.now, partial(self._end_attempt, attempt, Result.CANCELLED))
                case Refuse():
                    request = self._open_requests[process].pop(action.id, None)
                    if request is not None and request.retries_left and action.retry_after_ms:
                        retry = replace(request, retries_left=request.retries_left - 1)
                        wait_ms = action.retry_after_ms * (0.8 + 0.4 * self._rng.random())
                        self._schedule(self.now + wait_ms, partial(self._submit, process, retry))
                case Fail():
                    self._open_requests[process].pop(action.id, None)

    def _start_attempt(self, process: int, action: Send) -> None:
        attempt_number = self._attempt_counts[process].get(action.id, 0)
        self._attempt_counts[process][action.id] = attempt_number + 1
        work_ms = self._class_work[self._open_requests[process][action.id].class_index] * self.case.work_ms
        attempt = _Attempt(
            self._servers[action.address], process, action.id, attempt_number, self.now, work_ms
        )
        self._open_attempts[process][action.id, attempt_number] = attempt
        self.result.attempt_count += 1
        self._schedule(self.now + ONE_WAY_LATENCY_MS, partial(self._receive_attempt, attempt))

    def _end_attempt(self, attempt: _Attempt, result: Result) -> None:
        """Reports the outcome of an attempt to its process, unless that has been done."""
        if attempt.is_ended:
            return
        attempt.is_ended = True
        del self._open_attempts[attempt.process][attempt.request_id, attempt.attempt_number]
        took_ms = self.now - attempt.sent_at
        request = self._open_requests[attempt.process].get(attempt.request_id)
        if result is Result.OK and request is not None:
            del self._open_requests[attempt.process][attempt.request_id]
            in_time = self.now - request.arrived_at <= self._settings.classes[request.class_index].aim_ms
            self.result.served_count += in_time
            self.result.cold_served_count += in_time and request.during_cold_start
        self._handle(
            attempt.process,
            Outcome(
                attempt.request_id,
                attempt.attempt_number,
                attempt.server.address,
                result,
                took_ms,
                result is Result.OK,
            ),
        )

    # Servers

    def _relative_speed(self, server: _Server) -> float:
        """The speed of a server relative to a warm one."""
        if not server.started_at:
            return 1.0
        warm_share = (self.now - server.started_at) / self.case.warm_ms
        return min(self.case.cold_from + (1.0 - self.case.cold_from) * warm_share, 1.0)

    def _receive_attempt(self, attempt: _Attempt) -> None:
        """Lets an attempt arrive at its server."""
        server = attempt.server
        if not server.is_up:
            self._end_attempt(attempt, Result.CONNECT_FAILED)
            return
        if self._relative_speed(server) < 1.0:
            self._count_cold_call(server, attempt.work_ms / self.case.work_ms)
        server.queue.append(attempt)
        self._start_queued(server)

    def _count_cold_call(self, server: _Server, relative_work: float) -> None:
        """Counts a call to a cold server and updates the worst excess over N."""
        server.cold_calls.append((self.now, relative_work))
        server.cold_work += relative_work
        while server.cold_calls[0][0] < self.now - self.case.fall_ms:
            server.cold_work -= server.cold_calls.popleft()[1]
        capacity = self.case.workers / self.case.work_ms * self._relative_speed(server) * self.case.fall_ms
        allowed = self.case.fall_multiple * capacity
        root_of_allowed = math.sqrt(allowed)
        overrun = server.cold_work - allowed - MARGIN_ROOTS * root_of_allowed - MARGIN_REQUESTS
        self.result.worst_excess = max(
            self.result.worst_excess, (server.cold_work - allowed) / root_of_allowed
        )
        self.result.worst_overrun = max(self.result.worst_overrun, overrun / root_of_allowed)
        if overrun > 0.0 and not server.is_overloaded:
            server.is_overloaded = True
            self.result.overloaded_servers += 1

    def _start_queued(self, server: _Server) -> None:
        """Starts queued attempts while the server has free workers."""
        while server.queue and server.free_workers:
            attempt = server.queue.popleft()
            if attempt.is_dropped:
                continue
            server.free_workers -= 1
            server.running.append(attempt)
            busy_ms = attempt.work_ms / self._relative_speed(server)
            if self.case.quick:
                self._schedule(self.now + attempt.work_ms, partial(self._end_attempt, attempt, Result.OK))
            self._schedule(self.now + busy_ms, partial(self._finish_work, attempt, server.restart_count))

    def _finish_work(self, attempt: _Attempt, restart_count: int) -> None:
        """Frees the worker of an attempt, unless the server has restarted since the attempt began."""
        server = attempt.server
        if server.restart_count != restart_count:
            return
        server.free_workers += 1
        server.running.remove(attempt)
        self._end_attempt(attempt, Result.OK)
        self._start_queued(server)
