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
    Action, Address, Cancel, ClientGone, DiscoveryFailed, Effect, Event, Fail, FetchList, FleetSize, Group,
    Log, Outcome, Refuse, Request, Result, Send, ServerList, Settings, SetTimer, State,
    StreamStarted, TimerFired, Uploaded, Watch,
)  # fmt: skip
from larkcrank.core.state import Attempt, Brake, Job, Learnt, Line, Meter, Server

BETA = 0.20  # share of the rate that an event takes off (CARD)
REGAIN_WINDOWS = 10  # windows until a cut limit is back at M; fixes C ("within tens of windows")
HYSTERESIS_WINDOWS = 2  # no event sooner than this after the limit last rose (CARD: 10 ms of 5 ms)
SPAN_SENDS = 4  # sends to a mean server in one comparison span: "a few answers"
SPAN_MAX_MS = 20000.0  # a span longer than this compares yesterday's weather
HOLD_SHARE = 0.5  # of a request's slack that the held before it may take: better refused early than late
LAST_CALL_TIMES = 2.0  # recent answer times that a request must have left to be worth sending ...
LAST_CALL_AIM = 0.8  # ... but not more than this share of its aim
CHANCE_MISSES = 1.5  # misses in a span that chance alone may bring ...
CHANCE_SHARE = 0.25  # ... and the share of its sends; above both, sends outrun answers
CELL_SHARE = 0.5  # the same for a cell's sends: a quarter late is usual where servers are unlike
OWED_LATE = 5.0  # the same where a late answer still earns something
OWED_TIMES = 3.0  # times the usual number of attempts out, at all servers together ...
OWED_SHARED = 2.0  # ... and so many more a server, shared by all instances: thin ones add up
CHEAP_PART = 0.8  # of these places that are open to what is worth least: the last are for what is worth more
CHANCE_ALL = 1.5  # standard deviations of chance in the number out, at all servers together ...
CHANCE_OWED = 2.0  # ... and at one
OWED_LEAST = 1.5  # places a server and its shared ones: a single one is lost with one lost answer
OVERDUE_TIMES = 4.0  # an answer is overdue after this many usual answer times ...
OVERDUE_AIM = 0.5  # ... or this share of its aim, or the aim where a later answer still earns something
ANSWER_WEIGHT = 0.05  # of one answer in the recent answer time, of a quicker one in the usual ...
USUAL_UP = 0.01  # ... and of a slower one in the usual: a crowd must not make waiting look usual
FIRST_USUAL_AIM = 0.2  # usual answer time before any answer, as a share of the aim
KEPT_OFF = 2.5  # times as much or as little as the first guess a kept usual time may be
HINT_AIM = 0.25  # of the aim: a refused client comes back while an answer is still worth something
THIN_SENDS = 0.1  # sends a window to a mean server; under it its own limit never learns in time
MEMORY_MS = 30000.0  # a late server is second choice this long on thin traffic: troubles last tens of seconds
DOUBT_FAILS = 2  # failures in a row of most servers of the ring: the list held is doubted
BENCH_DOUBLINGS = 4  # a failing server is left alone for 1, 2, 4 ... overdue times, doubled so often
PART_SERVERS = 4  # an instance of many keeps to about so many servers ...
PART_BLIND = 64  # ... or so many, where the list tells no sizes: four may all be small ones
PART_SHARERS = (4, 6)  # ... as long as so many instances share each server, the more where they are tens ...
PART_LEAST = 4  # ... and it has this many ready ones
LOOK_MOST = 64  # servers looked at for one request in one event
RETRY_SHARE = 0.2  # further attempts allowed, as a share of requests taken
RETRY_SAVED = 10.0  # further attempts that a quiet time may save up
COLD_CAUTION = 0.7  # of the share of its capacity that a cold server surely has; more as its answers show ...
COLD_CLAIM = 0.5  # ... up to this share of what would push it over: twice its even share still does not
RATE_MS = 2000.0  # time constant of the rate of requests
TENANT_MS = 5000.0  # time constant of what a tenant has had
ASK_EACH_MS = 150.0  # of spread for each instance's call: the service takes them in turn, a few a second
ASK_AGAIN_MS = (500.0, 5000.0, 8000.0)  # least and longest wait for a call, or after a failure; after silence
STUCK_WEIGHT = 0.1  # of one send in the share of a class's sends that are missed
STUCK_SHARE = 0.75  # a class that misses more than this everywhere waits for something behind the servers ...
STUCK_OTHERS = 0.3  # ... as long as another misses less than this
KIND_WEIGHT = 0.02  # of one answer in what a machine type takes, against the usual
SIZES_MS = 1000.0  # sizes told by answers are counted anew so often
SIZE_POWER = 2.0  # of its answer time against others', that a machine type's size falls with ...
SIZE_MOST = 2.0  # ... to so many times the mean or its inverse: a crowd is no size
AHEAD_MOST = 4  # turns that a server may take before they come, for keys that it is home to
HOMES = 2  # servers that a key is at home at, in order
UNLISTED_LEAST = 16  # servers kept that no list names any more, or as many as it names
LINGERS = (Result.TIMEOUT, Result.RESET, Result.CANCELLED)  # after these an attempt may still be running


def settle(brake: Brake, now: float, window: float, span: float, sent_at: float, missed: bool) -> None:
    """Count one send as answered in time or missed."""
    if missed and sent_at < brake.event_at:
        return  # one episode, one cut: what went out before the cut belongs to it
    brake.settled.add(now, span)
    if missed:
        brake.missed.add(now, span)
        review(brake, now, window, span)


def review(brake: Brake, now: float, window: float, span: float) -> None:
    """Compare sends with answers: cut the limit, let it rise, or leave it."""
    chance = max(CHANCE_MISSES, brake.share * brake.settled.faded(now, span))
    if brake.missed.faded(now, span) > chance:
        if now - brake.rose_at > HYSTERESIS_WINDOWS * window:
            rate = min(brake.sends.rate(now, max(span, RATE_MS)), brake.limit)
            brake.saturated = max(rate, 1 / span)  # M: not of the pause alone; floor: one send a span
            brake.limit = (1 - BETA) * brake.saturated
            brake.event_at = brake.rose_at = now
            brake.settled, brake.missed = Meter(now), Meter(now)
    elif brake.limit < math.inf:
        regain = REGAIN_WINDOWS * window  # K; C follows from it as BETA * M / K ** 3
        growth = BETA * brake.saturated / regain**3
        brake.limit = growth * (now - brake.event_at - regain) ** 3 + brake.saturated
        brake.rose_at = now


def has_quota(brake: Brake, now: float, window: float, span: float) -> bool:
    """Whether the window's quota allows a send."""
    if brake.limit < math.inf and now >= brake.window_at + window:
        review(brake, now, window, span)
        most = max(1.0, brake.limit * window)
        brake.credit = min(brake.credit + brake.limit * (now - brake.window_at), most)
        brake.window_at = now
    return brake.limit == math.inf or brake.credit >= 1.0


class Balancer:
    """Round-robin behind a cubic limit for each server."""

    def __init__(self, settings: Settings, rng: Random, now: float) -> None:
        self._set, self._rng, self._now = settings, rng, now
        self._actions: list[Action] = []
        self._cells: dict[int, Brake] = {}
        self._servers: dict[Address, Server] = {}  # all on the list, those that drain too
        self._ring: list[Server] = []  # ready ones, in turn
        self._turn = rng.randrange(1 << 16)  # a start of its own: instances do not turn in step
        self._jobs: dict[int, Job] = {}
        self._held: list[Job] = []
        self._attempts: dict[tuple[int, int], Attempt] = {}
        self._lines: dict[int, Line] = {}  # by key, while it has requests, strays or a rest
        self._strays: dict[tuple[int, int], int] = {}  # attempts that are out of requests that are over: key
        self._ripe: list[int] = []  # keys whose first request may have its turn now
        self._due: list[tuple[float, int, str, object]] = []  # what the timer is for, soonest first
        self._sequence, self._armed, self._timer = 0, math.inf, 0
        self._usual = [cls.aim_ms * FIRST_USUAL_AIM for cls in settings.classes]
        self._recent = list(self._usual)
        self._missing = [0.0] * len(settings.classes)  # share of each class's sends that was missed of late
        self._stuck: set[int] = set()  # classes that wait at every server
        self._arrivals, self._sends, self._served = Meter(now), Meter(now), Meter(now)  # served: in time
        self._window = self._even = self._span = self._owe_each = self._owe_all = self._all_due = 1.0
        self._largest = self._sharers = 1.0  # instances that keep to a server of the ring, on average
        self._tenants = [Meter(now) for _ in settings.tenants]
        self._worth, self._taken = 0.0, 0  # mean worth of a request, and how many there were
        self._retries, self._thin, self._weigh = RETRY_SAVED, True, True  # weigh: turns and homes go by size
        self._takes: dict[int, float] = {}  # answer times of each machine type, in usual ones
        self._sized_at, self._fetch_at, self._watching = now, -math.inf, False
        # All start or fail together: calls are spread, or most time out and come again as a herd.
        self._spread = min(ASK_EACH_MS * settings.instances, ASK_AGAIN_MS[1])
        self._ask_at, self._ask_wait, self._wake = math.inf, max(self._spread, ASK_AGAIN_MS[0]), -math.inf
        if settings.must_ask:
            self._ask_in(rng.random() * self._spread)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event at its time and return what to do."""
        self._actions, late, self._now = [], now - max(self._armed, self._now), now
        self._measure()
        if late > self._window:  # our own stall, counted once: curves stood still with us, no quota piled up
            for brake in [*self._cells.values(), *(server.brake for server in self._servers.values())]:
                brake.event_at += late
                brake.rose_at, brake.window_at = brake.rose_at + late, now
        match event:
            case Request():
                self._take(event)
            case Outcome():
                self._outcome(event)
            case ServerList():
                self._list(event)
            case DiscoveryFailed() if self._set.must_ask:
                self._ask_wait = min(self._ask_wait * (1 + 2 * self._rng.random()), ASK_AGAIN_MS[1])
                self._ask_in(self._ask_wait * self._rng.random())
            case ClientGone():
                self._close(event.id)
            case StreamStarted():  # answered; how long its client takes to read it is not the server's time
                job = self._jobs.get(event.id)
                number, took = event.id, event.elapsed_ms
                self._outcome(Outcome(number, event.attempt, event.address, Result.OK, took, True))
                if job is not None and job.key:  # but its key waits for the end
                    self._lines[job.key].strays += 1
                    self._strays[event.id, event.attempt] = job.key
            case Uploaded() if (job := self._jobs.get(event.id)) is not None:
                self._time(job, event.time_left_ms)
                if job.waits:
                    self._await_turn(job)
                elif job in self._held:
                    self._held.remove(job)
                    self._hold(job)
                for index, attempt in job.out.items():
                    attempt.sent_at = self._now
                    self._expect(job, index, attempt)
            case FleetSize():  # as the sidecars count themselves; parts move, so that each server is kept to
                self._set = replace(self._set, instances=event.count, ordinal=event.ordinal, most=event.most)
                self._spread = min(ASK_EACH_MS * event.most, ASK_AGAIN_MS[1])
                self._turns()
            case TimerFired() if event.token == self._timer:
                self._armed = math.inf
        self._run_due()
        self._call_up()
        self._send_held()
        while self._ripe:  # what was just given up has let others have their turn
            self._call_up()
            self._send_held()
        self._arm()
        return self._actions

    def usual_times(self) -> tuple[float, ...]:
        """What is worth keeping across a restart: the usual answer time of each class, in their order."""
        return tuple(self._usual)

    def start_from(self, usual: Mapping[int, float]) -> None:
        """Begin with kept usual times by class, held near the first guess: misleading ones do little harm."""
        for index, value in usual.items():
            guess = FIRST_USUAL_AIM * self._set.classes[index].aim_ms
            self._usual[index] = min(max(value, guess / KEPT_OFF), guess * KEPT_OFF)

    def hand_over(self) -> Learnt:
        rates = [self._arrivals, self._sends, self._served, *self._tenants]
        servers = [replace(server, owes=[]) for server in self._servers.values()]
        known = self._worth, self._taken, self._retries, self._turn
        return Learnt(self._usual, self._recent, rates, known, self._cells, servers)

    def take_over(self, learnt: Learnt) -> None:
        """Go on, before the first event, where another process of this instance stood just now."""
        self._usual, self._recent, self._cells = learnt.usual, learnt.recent, learnt.cells
        self._arrivals, self._sends, self._served, *self._tenants = learnt.rates
        self._worth, self._taken, self._retries, self._turn = learnt.known
        self._servers = {server.endpoint.address: server for server in learnt.servers}

    def _at(self, when: float, what: str, about: object = None) -> None:
        self._sequence += 1
        heapq.heappush(self._due, (when, self._sequence, what, about))

    def _ask_in(self, wait: float, watching: bool = False) -> None:
        self._ask_at, self._watching = self._now + wait, watching
        self._at(self._ask_at, "ask")

    def _arm(self) -> None:
        if self._due and self._due[0][0] < self._armed:
            self._armed = max(self._due[0][0], self._now)
            self._timer += 1
            self._actions.append(SetTimer(self._armed - self._now, self._timer))

    def _run_due(self) -> None:
        while self._due and self._due[0][0] <= self._now:
            when, _, what, about = heapq.heappop(self._due)
            if isinstance(about, Job) and self._jobs.get(about.id) is about:
                ends_at = about.last_call if about.waits else about.ends_at
                if when >= ends_at and not (about.uploading and about.out):
                    self._give_up(about)
            elif isinstance(about, tuple) and (attempt := self._attempts.get(about)) is not None:
                if when < self._now - self._window:  # we were late ourselves: answers may be waiting too
                    self._at(self._now + 2 * self._set.tick_ms, what, about)
                else:
                    self._settle(attempt, True)
            elif what == "rest" and isinstance(about, int):
                self._ripe.append(about)
            elif what == "fetch":
                self._actions.append(FetchList())
            elif what == "ask" and when == self._ask_at:
                self._actions.append(Watch())
                self._ask_in(ASK_AGAIN_MS[2], True)

    def _measure(self) -> None:
        """Window, even share and span from our traffic; a shorter window would see sends without answers."""
        self._window = max(sum(self._usual) / len(self._usual), 2 * self._set.tick_ms)
        ready = max(len(self._ring), 1)
        self._even = max(self._arrivals.rate(self._now, RATE_MS) / ready, 1e-9)
        # By answers in time, not requests: a burst is no capacity. By slow ones too: else a jam holds itself.
        takes = [min(t, OVERDUE_TIMES * usual) for t, usual in zip(self._recent, self._usual, strict=True)]
        self._all_due = all_due = self._served.rate(self._now, RATE_MS) * max(
            sum(takes) / len(takes), self._window
        )
        shared = OWED_SHARED / self._sharers
        late = any(cls.late_worth for cls in self._set.classes)
        most = (OWED_LATE if late else OWED_TIMES) * all_due
        if not late and self._set.instances > PART_SHARERS[0]:  # of few, a burst here is the fleet's
            most = min(most, all_due + CHANCE_ALL * math.sqrt(all_due))
        self._owe_all = max(most + shared * ready, 1.0)
        self._owe_each = max(all_due / ready, (math.sqrt(OWED_LEAST + shared + 1.0) - 1.0) ** 2)
        # Too thin for a server's own limit: its cell's limit, one late answer and listed sizes stand in.
        self._thin = self._even * self._window < THIN_SENDS
        self._weigh = self._thin or not self._set.listed_sizes
        if not self._set.listed_sizes and self._now >= self._sized_at + SIZES_MS:
            self._size()
        many = ready / max(len(self._cells), 1) if self._thin else 1.0  # servers behind one limit
        self._span = min(max(SPAN_SENDS / (self._even * many), 2 * self._window), SPAN_MAX_MS)

    def _last_call(self, job: Job) -> float:
        """When it is too late to send: an answer would miss the aim."""
        least = min(LAST_CALL_TIMES * self._recent[job.index], LAST_CALL_AIM * job.cls.aim_ms)
        return math.inf if job.uploading else job.aim_at - least

    def _brake(self, server: Server) -> Brake:
        """The limit that binds: on thin traffic a server's own never learns, so its cell's does."""
        return self._cells[server.endpoint.cell] if self._thin else server.brake

    def _open(self, server: Server) -> bool:
        """Whether a turn may go to this server now."""
        if self._now < server.benched_until:
            return False
        due = self._owe_each * (server.size if self._thin else 1.0)
        owes = sum(one.index not in self._stuck for one in server.owes) if self._stuck else len(server.owes)
        if owes and (server.fails or owes + 1 > due + CHANCE_OWED * math.sqrt(due)):
            return False  # one trial at a time; and what is owed beyond chance counts against the quota
        brake = self._brake(server)
        return self._is_warm_enough(server) and has_quota(brake, self._now, self._window, self._span)

    def _is_warm_enough(self, server: Server) -> bool:
        """Rule 4: a cold server gets the part of its even share that it surely can do, no more."""
        cold = self._set.warm_after_ms - (self._now - server.endpoint.started_at)
        if cold <= 0 or not server.endpoint.started_at:
            return True
        sure = 1 - (1 - self._set.cold_from) * min(cold / self._set.warm_after_ms, 1.0)
        part = max(COLD_CAUTION * sure, min(server.warmth, COLD_CLAIM * self._set.fall_multiple * sure))
        return server.earn(self._now, part * self._even * (server.size if self._weigh else 1.0)) >= 1.0

    def _pick(self, job: Job) -> Server | None:
        """The next server in turn with quota left that this request may go to."""
        count, second, early = len(self._ring), -1, list[Server]()
        for server in self._homes(job):
            if server.ahead < AHEAD_MOST and self._is_good(job, server) and self._open(server):
                server.ahead += 1
                return server
        looked = min(count, LOOK_MOST)  # work for an event must not grow with the fleet
        for index in (step % count for step in range(self._turn, self._turn + looked)):
            server = self._ring[index]
            if self._open(server) and self._may_go(job, server):
                # On thin traffic a server of half the size gets every second turn.
                server.passed = server.passed % 1.0 + (server.size / self._largest if self._weigh else 1.0)
                if server.ahead and server.passed >= 1.0:  # its turn was taken already
                    early.append(server)
                    second = index if second < 0 else second
                    continue
                if server.passed >= 1.0 and self._is_good(job, server):
                    self._turn = index + 1
                    for passed in early:
                        passed.ahead -= 1
                    return server
                second = index if second < 0 else second
        self._turn = second + 1 if second >= 0 else self._turn + looked
        for passed in early:  # a whole round of turns that were taken already
            passed.ahead -= 1
        return self._ring[second] if second >= 0 else None

    def _is_good(self, job: Job, server: Server) -> bool:
        wary = max(server.wary_until, server.spared.get(job.index, (0, -math.inf))[1])
        return server not in job.tried and self._now >= wary and self._may_go(job, server)

    def _homes(self, job: Job) -> list[Server]:
        """Where its key is at home: the same servers at every instance, larger ones for more keys."""
        if not job.subject:
            return []
        return heapq.nlargest(HOMES, self._ring, key=lambda server: server.draw(job.subject, self._weigh))

    def _may_go(self, job: Job, server: Server) -> bool:
        """Rule 2: what may have run is repeated only where that is harmless, a keyed one in its group."""
        if job.ran is None or job.cls.effect is Effect.SAFE:
            return True
        if self._now + self._set.tick_ms >= job.repeat_by:
            return False
        first, there, group = job.ran.server.endpoint, server.endpoint, job.cls.group
        same = first.zone == there.zone if group is Group.ZONE else first.cell == there.cell
        return same or group is Group.ALL

    def _take(self, request: Request) -> None:
        cls, tenant = self._set.classes[request.cls], request.tenant if self._tenants else 0
        job = self._jobs[request.id] = Job(request.id, request.cls, cls, tenant, self._now, self._now)
        job.subject = request.key if self._set.warm_keys else 0
        self._time(job, request.time_left_ms, request.uploading)
        self._arrivals.add(self._now, RATE_MS)
        self._taken += 1
        self._worth += max(1 / self._taken, ANSWER_WEIGHT) * (cls.worth - self._worth)
        self._retries = min(self._retries + RETRY_SHARE, RETRY_SAVED)
        if request.key and cls.in_turn:
            self._line_up(job, request.key)
        else:
            self._hold(job)

    def _line_up(self, job: Job, key: int) -> None:
        """Rule 5: requests of a key run one at a time as they came; none waits for what can't be in time."""
        line = self._lines.setdefault(key, Line())
        line.jobs.append(job)
        job.key, job.waits = key, True
        self._ripe.append(key)
        self._await_turn(job)
        if (len(line.jobs) - 1) * self._usual[job.index] > job.last_call - self._now:
            self._give_up(job)

    def _await_turn(self, job: Job) -> None:
        job.last_call = self._last_call(job)
        if job.last_call < math.inf:
            self._at(job.last_call, "turn", job)

    def _call_up(self) -> None:
        """Let the first of each ripe key have its turn; a key with nothing left to keep is forgotten."""
        ripe, self._ripe = self._ripe, []
        for key in ripe:
            line = self._lines.get(key)
            if line is None or line.strays or line.rests_until > self._now:
                continue  # it ripens with the outcome, or with the end of its rest
            if not line.jobs:
                del self._lines[key]
            elif line.jobs[0].waits:
                line.jobs[0].waits = False
                self._hold(line.jobs[0])

    def _time(self, job: Job, left: float, uploading: bool = False) -> None:
        """A request's time begins now, or, while its body still comes, once that has come."""
        deadline, job.uploading = self._now + left, uploading
        job.aim_at = deadline if job.cls.late_worth else min(self._now + job.cls.aim_ms, deadline)
        job.ends_at = deadline - 2 * self._set.tick_ms
        self._at(job.ends_at, "backstop", job)

    def _hold(self, job: Job) -> None:
        """Queue a request: tenants within their share, then what is worth most, then who can wait least."""
        if job.index in self._stuck and self._is_full(job):
            self._give_up(job)  # a few go on and tell when it is over
            return
        job.last_call = self._last_call(job)
        had = [meter.faded(self._now, TENANT_MS) for meter in self._tenants]
        over = bool(had) and had[job.tenant] > self._set.tenants[job.tenant].portion * sum(had)
        job.rank = (over, -job.cls.worth, job.last_call)
        bisect.insort(self._held, job, key=lambda held: held.rank)
        slack = job.last_call - self._now
        if len(self._held) - 1 > HOLD_SHARE * slack * self._sends.rate(self._now, RATE_MS):
            self._give_up(self._held[-1])

    def _send_held(self) -> None:
        """Send what quotas allow."""
        waiting, self._held, spent = self._held, [], False
        left: list[Job] = []
        for job in waiting:
            # A thin instance has one request in hand: the cap, not a queue, must tell which are worth more.
            full = self._is_full(job)
            server = None if spent or full else self._pick(job)
            if server is not None:
                self._send(job, server)
                continue
            spent = spent or (job.ran is None and not full)  # it might have gone anywhere: so nobody else can
            left.append(job)
            if self._now >= job.last_call:
                self._give_up(left.pop())
        self._held = left
        if left and self._wake <= self._now:
            if self._now > self._wake + TENANT_MS:
                self._actions.append(Log(f"holding: no quota left on any of {len(self._ring)} servers"))
            self._wake = self._now + max(self._window / 4, self._set.tick_ms)
            self._at(self._wake, "window")

    def _is_full(self, job: Job) -> bool:
        """Whether as much is owed by all servers together as may be."""
        out = [attempt.index for attempt in self._attempts.values()] if self._stuck else []
        if job.index in self._stuck:
            return out.count(job.index) >= max(self._all_due / len(self._usual), 1.0)
        owed = len(self._attempts) - sum(index in self._stuck for index in out)
        return owed >= max(self._owe_all * max(job.cls.worth / (self._worth or 1.0), CHEAP_PART), 1.0)

    def _send(self, job: Job, server: Server) -> None:
        attempt = Attempt(server, self._now, job.index)
        if job.sends == 0 and self._tenants:
            self._tenants[job.tenant].add(self._now, TENANT_MS)
        job.out[job.sends] = attempt
        if not job.uploading:
            self._expect(job, job.sends, attempt)
        job.sends += 1
        job.tried.append(server)
        server.cold_credit = max(server.cold_credit - 1.0, 0.0)
        self._sends.add(self._now, RATE_MS)
        brake = self._brake(server)
        brake.credit = max(brake.credit - 1.0, 0.0)  # no debt from when nothing bound
        brake.sends.add(self._now, max(self._span, RATE_MS))
        self._actions.append(Send(job.id, server.endpoint.address, begin_by_ms=job.repeat_by))

    def _expect(self, job: Job, index: int, attempt: Attempt) -> None:
        """From now on the server owes an answer."""
        self._attempts[job.id, index] = attempt
        attempt.server.owes.append(attempt)
        share = 1.0 if job.cls.late_worth else OVERDUE_AIM  # later leaves no time to mend it
        patience = min(OVERDUE_TIMES * self._usual[job.index], share * job.cls.aim_ms)
        self._at(self._now + patience, "overdue", (job.id, index))

    def _may_repeat(self, job: Job) -> bool:
        """Whether another attempt is allowed, paid for, and in time."""
        allowed = self._now < self._last_call(job) and job.sends < self._set.max_attempts
        return allowed and self._retries >= 1.0 and any(self._may_go(job, server) for server in self._ring)

    def _give_up(self, job: Job) -> None:
        dropped = job.cls.effect is Effect.KEYED and job.cls.group is Group.ALL
        harmless = job.cls.effect is Effect.SAFE or dropped or (job.ran is None and not job.out)
        hint = HINT_AIM * job.cls.aim_ms if self._now < job.aim_at else math.inf
        hint = min(self._set.max_retry_after_ms, hint) if self._set.retry_after else 0.0
        self._actions.append(Refuse(job.id, hint) if harmless else Fail(job.id))
        self._close(job.id)

    def _close(self, number: int) -> None:
        """Forget a request that has its answer; call off what is still out for it."""
        if (job := self._jobs.pop(number, None)) is None:
            return
        self._held = [held for held in self._held if held is not job]
        if job.key:
            line = self._lines[job.key]
            line.jobs.remove(job)
            line.strays += len(job.out)
            self._strays |= {(number, out): job.key for out in job.out}
            self._rest(line, job.key, job.rests_until)
        self._actions.extend(Cancel(number, out) for out in job.out if self._set.may_cancel)

    def _rest(self, line: Line, key: int, until: float) -> None:
        line.rests_until = max(line.rests_until, until)
        if line.rests_until > self._now:
            self._at(line.rests_until, "rest", key)
        self._ripe.append(key)

    def _settle(self, attempt: Attempt, missed: bool) -> None:
        if not attempt.missed:
            attempt.missed = missed
            self._missing[attempt.index] += STUCK_WEIGHT * (missed - self._missing[attempt.index])
            others = min(self._missing) < STUCK_OTHERS
            self._stuck = {i for i, share in enumerate(self._missing) if share > STUCK_SHARE and others}
            if attempt.index in self._stuck:
                return  # nobody's fault
            if not missed:
                self._served.add(self._now, RATE_MS)
            settle(self._brake(attempt.server), self._now, self._window, self._span, attempt.sent_at, missed)

    def _outcome(self, event: Outcome) -> None:
        attempt, job = self._attempts.pop((event.id, event.attempt), None), self._jobs.get(event.id)
        unowed = job.out.pop(event.attempt, None) if job is not None else None
        attempt = attempt or unowed  # its body was still on the way
        rests_until = self._now + self._set.key_quiet_ms if event.result in LINGERS else -math.inf
        if key := self._strays.pop((event.id, event.attempt), 0):
            self._lines[key].strays -= 1
            self._rest(self._lines[key], key, rests_until)
        elif job is not None:
            job.rests_until = max(job.rests_until, rests_until)
        if attempt is not None:
            self._learn(event, attempt, job)
        if job is None or attempt is None:
            return
        if not event.result.never_ran:
            job.ran = job.ran or attempt
        if event.closed:
            self._close(event.id)
        elif not job.out and event.again and self._may_repeat(job):
            self._retries -= 1.0
            self._hold(job)
        elif not job.out:
            self._give_up(job)

    def _learn(self, event: Outcome, attempt: Attempt, job: Job | None) -> None:
        server, now = attempt.server, self._now
        stuck = attempt.index in self._stuck and event.result is not Result.CONNECT_FAILED
        failed = event.result not in (Result.OK, Result.CANCELLED, Result.NOT_SENT) and not stuck
        server.owes = [one for one in server.owes if one is not attempt]
        other, server.answers = server.answers, -1 if attempt.missed or failed else attempt.index
        alone = attempt.index in server.spared or other not in (-1, attempt.index)
        if stuck:
            self._settle(attempt, event.result is not Result.OK)
        elif alone and event.result in (Result.ERROR, Result.TIMEOUT):
            # It has just answered another class: this one alone may fail there, the others go on.
            count, _ = server.spared.get(attempt.index, (0, 0.0))
            memory = MEMORY_MS if self._thin else 1 / self._even
            server.spared[attempt.index] = (count + 1, now + 2 ** min(count, BENCH_DOUBLINGS) * memory)
            failed, attempt.missed = False, True
        elif attempt.missed or failed:
            often = 2 ** min(server.fails, BENCH_DOUBLINGS) if failed else 1
            memory = MEMORY_MS if self._thin else 1 / self._even
            server.wary_until = max(now + often * memory, server.wary_until)
            rest = now + self._window * OVERDUE_TIMES * often
            server.benched_until = max(min(rest, server.wary_until), server.benched_until)
            server.warmth /= 2
        if failed:
            server.spared.clear()
            self._settle(attempt, event.result is not Result.RESET or self._thin)  # it tells nothing of speed
            server.fails += 1
            if server.fails == BENCH_DOUBLINGS:  # where it is unlisted, it is out
                self._turns()
            doubtful = sum(one.fails >= DOUBT_FAILS for one in self._ring)
            if doubtful * 2 > len(self._ring) > 1 and now >= self._fetch_at:
                self._fetch_at = now + ASK_AGAIN_MS[1]  # most are not what the list says: a watch may be dead
                self._at(now + self._rng.random() * self._spread, "fetch")
            if server.fails == BENCH_DOUBLINGS:
                self._actions.append(Log(f"left {server.endpoint.address.hex()} alone: {event.result.value}"))
        elif event.result is Result.OK and not stuck:
            self._settle(attempt, False)
            server.fails //= 2
            server.warmth = min(max(server.warmth, 1 - COLD_CAUTION) / COLD_CAUTION, 1.0)
            server.spared.pop(attempt.index, None)
            # What is overdue and was overtaken is lost on its connection: the server owes it to nobody.
            server.owes = [one for one in server.owes if not one.missed or one.sent_at > attempt.sent_at]
            if job is not None:
                if not self._set.listed_sizes:
                    took = event.elapsed_ms / max(self._recent[job.index], self._set.tick_ms)
                    known = self._takes.setdefault(server.endpoint.kind, 1.0)
                    self._takes[server.endpoint.kind] = known + KIND_WEIGHT * (took - known)
                self._recent[job.index] += ANSWER_WEIGHT * (event.elapsed_ms - self._recent[job.index])
                off = event.elapsed_ms - self._usual[job.index]
                self._usual[job.index] += (USUAL_UP if off > 0 else ANSWER_WEIGHT) * off

    def _list(self, event: ServerList) -> None:
        if self._watching and not event.cached:  # a list fetched without one is no answer to it
            self._ask_at, self._ask_wait = math.inf, max(self._spread, ASK_AGAIN_MS[0])
        if event.complete:
            named = {endpoint.address for endpoint in event.endpoints}
            for address in [address for address in self._servers if address not in named]:
                self._unlist(address)
        for endpoint in event.endpoints:
            if endpoint.cell not in self._cells:
                self._cells[endpoint.cell] = self._new_brake(CELL_SHARE)
            known = self._servers.get(endpoint.address)
            if endpoint.state is State.GONE:
                self._unlist(endpoint.address)
            elif known is None or known.endpoint.started_at != endpoint.started_at:
                place, passed, credit = self._rng.random(), self._rng.random(), self._rng.random()
                server = Server(endpoint, self._new_brake(CHANCE_SHARE), place, passed)
                server.cold_credit, server.cold_at = credit, self._now
                server.mark = zlib.crc32(endpoint.address)
                self._servers[endpoint.address] = server
            else:
                known.endpoint, known.listed = endpoint, True
        unlisted = [key for key, server in self._servers.items() if not server.listed]
        for address in unlisted[: -max(len(self._servers) - len(unlisted), UNLISTED_LEAST)]:
            del self._servers[address]  # the oldest: a fleet that is replaced leaves no end of them
        self._turns()

    def _unlist(self, address: Address) -> None:
        """Forget a server, or where only draining binds keep one that did not drain: its own answers tell."""
        server = self._servers.get(address)
        if server is None:
            return
        server.listed = False
        if server.endpoint.state is not State.READY or not self._set.only_draining_binds:
            del self._servers[address]

    def _turns(self) -> None:
        """Who gets turns, in which order."""
        # An order of its own: who follows a skipped server gets its turns too, at each instance another.
        self._ring = sorted(self._part(), key=lambda server: server.place)
        self._size()

    def _size(self) -> None:
        """Sizes against the mean: as listed, or by what answers of each machine type take."""
        self._sized_at, sizes = self._now, [server.endpoint.size for server in self._ring]
        if not self._set.listed_sizes:
            takes = [max(self._takes.get(server.endpoint.kind, 1.0), 1 / SIZE_MOST) for server in self._ring]
            sizes = [min(max(took**-SIZE_POWER, 1 / SIZE_MOST), SIZE_MOST) for took in takes]
        total = sum(sizes)
        for server, size in zip(self._ring, sizes, strict=True):
            server.size = size * len(sizes) / total
        self._largest = max((server.size for server in self._ring), default=1.0)

    def _new_brake(self, share: float) -> Brake:
        return Brake(self._now, Meter(self._now), Meter(self._now), Meter(self._now), share)

    def _part(self) -> list[Server]:
        """The ready servers that this instance keeps to: all, but where many instances meet many servers."""
        ready = [server for server in self._servers.values() if server.endpoint.state is State.READY]
        ready = [server for server in ready if server.listed or server.fails < BENCH_DOUBLINGS] or ready
        count, total = max(self._set.instances, 1), len(ready)
        least = min(max(count // PART_SHARERS[1], PART_SHARERS[0]), PART_SHARERS[1])
        wanted = PART_SERVERS if self._set.listed_sizes else PART_BLIND
        sharers = max(round(wanted / max(total, 1) * count), least)
        self._sharers = float(max(count, self._set.most))
        if sharers >= count or total <= PART_LEAST:
            return ready
        # Runs of neighbours on a circle: as many parts hold each server, a changed list moves ends of runs.
        in_cell = any(cls.effect is Effect.KEYED and cls.group is Group.CELL for cls in self._set.classes)
        cells = {s.endpoint.cell: zlib.crc32(b"%d" % s.endpoint.cell) if in_cell else 0 for s in ready}
        ready.sort(key=lambda server: (cells[server.endpoint.cell], server.mark))
        size = max(round(sharers * total / count), PART_LEAST)
        first, part, warm = self._set.ordinal * total // count, list[Server](), 0
        while warm < size and len(part) < total:  # cold ones come on top: they take next to nothing
            part.append(ready[(first + len(part)) % total])
            started = part[-1].endpoint.started_at
            warm += not started or self._now - started >= self._set.warm_after_ms
        self._sharers = max(max(count, self._set.most) * len(part) / total, 1.0)
        return part
