"""Cold servers under the sum of many instances, in virtual time: repeatable by the seed, no I/O.

What a cold server may be sent within `fall_ms` is N requests of mean work: the settings' multiple of what it
can do at that moment. Beyond N, so many roots of N count as chance: `ROOTS` and `LEAST` requests. The worst
excess is told in roots of N. Nothing falls here, so that the sum is seen in full.
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

ROOTS, LEAST = 2.0, 2.0  # beyond N: so many of its roots, and so many requests, are chance
HEAVY_ONE_IN, HEAVY_TIMES = 10, 10.0  # one process in ten carries ten times what each other carries
WIRE_MS = 1.0  # each way
EVENT_MS = 3000.0  # when the first servers start anew, in a play that begins with warm ones
STEPS, STEP_MS = 4, 1500.0  # of a release
BACK_TIMES = 2  # a refused client comes back so often
TOLD_MS = 50.0  # until the last process has the new list
DOWN_MS = 300.0  # a server that starts anew is away so long
WORKS = (
    (0.70, 0.5),
    (0.25, 1.2),
    (0.05, 7.0),
)  # classes of unlike work: share of the requests, times the mean

Scenario: TypeAlias = Literal["all", "one", "release", "restarts"]
Make: TypeAlias = Callable[[Settings, Random, float], Balancer]


@dataclass(frozen=True)
class Case:
    """One play. Times in ms; `load` is of the work of all servers once they are warm."""

    scenario: Scenario = "all"
    processes: int = 30
    servers: int = 10
    workers: int = 2
    work_ms: float = 60.0  # of a mean request on a warm server
    load: float = 0.8
    cold_from: float = 0.12
    fall_multiple: float = 2.0
    warm_ms: float = 8000.0
    fall_ms: float = 2000.0
    told: float = 1.0  # how many processes the configuration tells, as a multiple of how many there are
    listed_sizes: bool = True
    unlike: bool = False  # classes of unlike work
    quick: bool = False  # a cold server does less at once, not each more slowly: it answers soon
    begins_ms: float = 0.0  # until then no client comes
    play_ms: float = 10_000.0
    seed: int = 1


@dataclass
class Found:
    """What a play brought. An excess is (calls - N) / root of N, the worst over all cold servers."""

    excess: float = -math.inf
    beyond: float = -math.inf  # the worst of calls - (N + 2 root N + 2), in roots of N: above 0 a server fell
    fell: int = 0  # servers that were sent more than that at any time
    asked: int = 0
    served: int = 0
    cold_asked: int = 0  # while any server was cold
    cold_served: int = 0
    sent: int = 0

    @property
    def share(self) -> float:
        return self.served / max(self.asked, 1)

    @property
    def cold_share(self) -> float:
        return self.cold_served / max(self.cold_asked, 1)


@dataclass
class _Server:
    address: bytes
    started_at: float  # 0: long ago
    free: int
    up: bool = True
    life: int = 0
    queue: deque["_Work"] = field(default_factory=deque)
    working: list["_Work"] = field(default_factory=list)
    calls: deque[tuple[float, float]] = field(default_factory=deque)  # when, works
    total: float = 0.0
    fell: bool = False


@dataclass
class _Work:
    server: "_Server"
    who: int
    id: int
    attempt: int
    sent_at: float
    work_ms: float
    ended: bool = False  # its process knows how it ended, or is gone
    dropped: bool = False  # called off before it had begun


@dataclass
class _Ask:
    came_at: float
    cls: int
    backs: int
    during: bool  # while any server was cold


def cells(base: Case) -> dict[str, Case]:
    """The plays that a table tells, by name."""
    return {
        "all cold at once": replace(base, scenario="all"),
        "one cold among warm": replace(base, scenario="one"),
        "release in steps": replace(base, scenario="release"),
        "half of the processes restart": replace(base, scenario="restarts"),
        "count told: half": replace(base, scenario="release", told=0.5),
        "count told: twice": replace(base, scenario="release", told=2.0),
        "classes of unlike work": replace(base, scenario="release", unlike=True),
    }


def drawn(base: Case) -> Case:
    """The same play with settings and servers drawn by its seed."""
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


def play(case: Case) -> Found:
    return Play(case).play()


def play_all(cases: list[Case], cores: int) -> list[Found]:
    """Each case on one of so many processes, in their order."""
    with ProcessPoolExecutor(cores) as pool:
        return list(pool.map(play, cases, chunksize=4))


class Play:
    """Instances before model servers on one heap."""

    def __init__(self, case: Case, make: Make = Balancer) -> None:
        self.case, self.now, self.found = case, 0.0, Found()
        self._make, self._rng = make, Random(case.seed)
        self._heap: list[tuple[float, int, Callable[[], object]]] = []
        self._sequence = self._ids = 0
        works = WORKS if case.unlike else ((1.0, 1.0),)
        mean = sum(share * times for share, times in works)
        self._shares = [share for share, _ in works]
        self._works = [times / mean for _, times in works]
        aim = max(1000.0, 8.0 * case.work_ms * max(self._works))
        classes = tuple(
            RequestClass(f"c{i}", Effect.SAFE, Group.ALL, aim, 2.5 * aim, 5000.0, 1.0)
            for i in range(len(works))
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
        cold = 1.0 if case.scenario == "all" else 0.0
        self._servers = {
            address: _Server(address, cold, case.workers)
            for address in (bytes([10, 0, 0, i, 35, 40]) for i in range(case.servers))
        }
        self._balancers: list[Balancer] = []
        self._lives = [0] * case.processes
        self._asks: list[dict[int, _Ask]] = [{} for _ in range(case.processes)]
        self._out: list[dict[tuple[int, int], _Work]] = [{} for _ in range(case.processes)]
        self._tries: list[dict[int, int]] = [{} for _ in range(case.processes)]
        for who in range(case.processes):
            self._balancers.append(self._new(who))
            self._tell(who)
        heavy = max(round(case.processes / HEAVY_ONE_IN), 1)
        weights = [HEAVY_TIMES] * heavy + [1.0] * (case.processes - heavy)
        self._rng.shuffle(weights)
        capacity = case.servers * case.workers / case.work_ms
        self._rates = [case.load * capacity * weight / sum(weights) for weight in weights]
        for who in range(case.processes):
            self._at(case.begins_ms, partial(self._next, who))
        self._timetable()

    def play(self) -> Found:
        while self._heap and self._heap[0][0] <= self.case.play_ms:
            self.now, _, do = heapq.heappop(self._heap)
            do()
        return self.found

    # The timetable

    def _timetable(self) -> None:
        case, servers = self.case, list(self._servers.values())
        if case.scenario == "one":
            self._at(EVENT_MS, partial(self._restart_servers, servers[:1]))
        elif case.scenario == "release":
            for step in range(STEPS):
                those = servers[step::STEPS]
                self._at(EVENT_MS + step * STEP_MS, partial(self._restart_servers, those))
        elif case.scenario == "restarts":
            self._at(EVENT_MS, partial(self._restart_servers, servers[::2]))
            self._at(EVENT_MS + DOWN_MS + case.warm_ms / 8, self._restart_processes)

    def _restart_servers(self, those: list[_Server]) -> None:
        for server in those:
            server.up, server.life = False, server.life + 1
            lost, server.queue, server.working = [*server.queue, *server.working], deque(), []
            server.free = self.case.workers
            for work in lost:
                self._end(work, Result.RESET)
        self._at(self.now + DOWN_MS, partial(self._up, those))

    def _up(self, those: list[_Server]) -> None:
        for server in those:
            server.up, server.started_at = True, self.now
            server.calls.clear()
            server.total = 0.0
        for who in range(self.case.processes):
            self._at(self.now + TOLD_MS * self._rng.random(), partial(self._tell, who))

    def _restart_processes(self) -> None:
        """Half of them at once, with nothing kept; what they held is lost, and their clients go on."""
        for who in range(0, self.case.processes, 2):
            self._lives[who] += 1
            for work in self._out[who].values():
                work.ended = True
            self._asks[who], self._out[who], self._tries[who] = {}, {}, {}
            self._balancers[who] = self._new(who)
            self._tell(who)

    # Instances

    def _new(self, who: int) -> Balancer:
        settings = replace(self._settings, ordinal=who)
        return self._make(settings, Random(self._rng.getrandbits(62)), self.now)

    def _tell(self, who: int) -> None:
        lines = (Endpoint(one.address, started_at=one.started_at) for one in self._servers.values())
        self._do(who, ServerList(tuple(lines), complete=True))

    def _at(self, when: float, do: Callable[[], object]) -> None:
        self._sequence += 1
        heapq.heappush(self._heap, (when, self._sequence, do))

    def _next(self, who: int) -> None:
        self._at(self.now + self._rng.expovariate(self._rates[who]), partial(self._arrive, who))

    def _arrive(self, who: int) -> None:
        cls = self._rng.choices(range(len(self._shares)), self._shares)[0]
        during = any(self._speed(server) < 1.0 for server in self._servers.values())
        self.found.asked += 1
        self.found.cold_asked += during
        self._ask(who, _Ask(self.now, cls, BACK_TIMES, during))
        self._next(who)

    def _ask(self, who: int, ask: _Ask) -> None:
        self._ids += 1
        self._asks[who][self._ids] = ask
        left = self._settings.classes[ask.cls].deadline_ms
        self._do(who, Request(self._ids, ask.cls, left, is_retry=ask.backs < BACK_TIMES))

    def _do(self, who: int, event: Event, life: int = -1) -> None:
        if 0 <= life != self._lives[who]:
            return
        life = self._lives[who]
        for action in self._balancers[who].handle(self.now, event):
            match action:
                case SetTimer():
                    fired = TimerFired(action.token)
                    self._at(self.now + action.wait_ms, partial(self._do, who, fired, life))
                case Send():
                    self._send(who, action)
                case Cancel() if (work := self._out[who].get((action.id, action.attempt))) is not None:
                    work.dropped = work in work.server.queue
                    self._at(self.now, partial(self._end, work, Result.CANCELLED))
                case Refuse():
                    ask = self._asks[who].pop(action.id, None)
                    if ask is not None and ask.backs and action.retry_after_ms:
                        again = replace(ask, backs=ask.backs - 1)
                        wait = action.retry_after_ms * (0.8 + 0.4 * self._rng.random())
                        self._at(self.now + wait, partial(self._ask, who, again))
                case Fail():
                    self._asks[who].pop(action.id, None)

    def _send(self, who: int, action: Send) -> None:
        attempt = self._tries[who].get(action.id, 0)
        self._tries[who][action.id] = attempt + 1
        work_ms = self._works[self._asks[who][action.id].cls] * self.case.work_ms
        work = _Work(self._servers[action.address], who, action.id, attempt, self.now, work_ms)
        self._out[who][action.id, attempt] = work
        self.found.sent += 1
        self._at(self.now + WIRE_MS, partial(self._take, work))

    def _end(self, work: _Work, result: Result) -> None:
        """Tell its process, once."""
        if work.ended:
            return
        work.ended = True
        del self._out[work.who][work.id, work.attempt]
        took = self.now - work.sent_at
        ask = self._asks[work.who].get(work.id)
        if result is Result.OK and ask is not None:
            del self._asks[work.who][work.id]
            good = self.now - ask.came_at <= self._settings.classes[ask.cls].aim_ms
            self.found.served += good
            self.found.cold_served += good and ask.during
        self._do(
            work.who, Outcome(work.id, work.attempt, work.server.address, result, took, result is Result.OK)
        )

    # Servers

    def _speed(self, server: _Server) -> float:
        if not server.started_at:
            return 1.0
        since = (self.now - server.started_at) / self.case.warm_ms
        return min(self.case.cold_from + (1.0 - self.case.cold_from) * since, 1.0)

    def _take(self, work: _Work) -> None:
        server = work.server
        if not server.up:
            self._end(work, Result.CONNECT_FAILED)
            return
        if self._speed(server) < 1.0:
            self._count(server, work.work_ms / self.case.work_ms)
        server.queue.append(work)
        self._begin(server)

    def _count(self, server: _Server, works: float) -> None:
        server.calls.append((self.now, works))
        server.total += works
        while server.calls[0][0] < self.now - self.case.fall_ms:
            server.total -= server.calls.popleft()[1]
        can = self.case.workers / self.case.work_ms * self._speed(server) * self.case.fall_ms
        allowed = self.case.fall_multiple * can
        root = math.sqrt(allowed)
        beyond = server.total - allowed - ROOTS * root - LEAST
        self.found.excess = max(self.found.excess, (server.total - allowed) / root)
        self.found.beyond = max(self.found.beyond, beyond / root)
        if beyond > 0.0 and not server.fell:
            server.fell = True
            self.found.fell += 1

    def _begin(self, server: _Server) -> None:
        while server.queue and server.free:
            work = server.queue.popleft()
            if work.dropped:
                continue
            server.free -= 1
            server.working.append(work)
            busy = work.work_ms / self._speed(server)
            if self.case.quick:
                self._at(self.now + work.work_ms, partial(self._end, work, Result.OK))
            self._at(self.now + busy, partial(self._done, work, server.life))

    def _done(self, work: _Work, life: int) -> None:
        server = work.server
        if server.life != life:
            return
        server.free += 1
        server.working.remove(work)
        self._end(work, Result.OK)
        self._begin(server)
