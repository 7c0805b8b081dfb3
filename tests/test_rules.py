"""Random legal events, outcomes and crashes: rules 1 to 3 hold, and the pacing of rule 4."""

import random

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from larkcrank.core.balancer import Balancer
from larkcrank.core.interface import (
    Action,
    Cancel,
    ClientGone,
    DiscoveryFailed,
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
    State,
    TimerFired,
    Watch,
)

CLASSES = (
    RequestClass("safe", Effect.SAFE, Group.ALL, 800.0, 2500.0, 5000.0, 2.0),
    RequestClass("unsafe", Effect.UNSAFE, Group.ALL, 800.0, 4000.0, 5000.0, 2.0),
    RequestClass("zone", Effect.KEYED, Group.ZONE, 1000.0, 5000.0, 1500.0, 6.0),
    RequestClass("cell", Effect.KEYED, Group.CELL, 1000.0, 5000.0, 1500.0, 6.0),
    RequestClass("all", Effect.KEYED, Group.ALL, 1000.0, 5000.0, 1500.0, 6.0, late_worth=0.2),
)
SERVERS = 6
GRACE_MS = 20.0
TICK_MS = 5.0
PROVEN_NOT_RUN = (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)
FAILURES = [Result.ERROR, Result.REJECTED, Result.CONNECT_FAILED, Result.RESET, Result.TIMEOUT]


class Held:
    """What the machine knows of one request."""

    def __init__(self, request: Request, now: float) -> None:
        self.cls = CLASSES[request.class_index]
        self.deadline = now + request.time_left_ms
        self.sends = 0
        self.out: dict[int, bytes] = {}
        self.ran: list[tuple[bytes, float]] = []  # where and when attempts that may have run were sent
        self.sent_at: dict[int, float] = {}


class Rules(RuleBasedStateMachine):
    @initialize(
        seed=st.integers(0, 1000),
        copies=st.booleans(),
        cancel=st.booleans(),
        ask=st.booleans(),
        hint=st.booleans(),
    )
    def start(self, seed: int, copies: bool, cancel: bool, ask: bool, hint: bool) -> None:
        self.settings = Settings(
            CLASSES,
            second_copies=copies,
            may_cancel=cancel,
            must_ask=ask,
            retry_after=hint,
            max_retry_after_ms=2000.0,
            max_attempts=4,
            tick_ms=TICK_MS,
            cold_from=0.3,
            warm_after_ms=8000.0,
            fall_multiple=3.0,
            fall_ms=2000.0,
        )
        self.now = 1000.0
        self.ids = 0
        self.seed = seed
        self.lines = {
            address: Endpoint(address, State.READY, zone=address[5] % 2, cell=address[5] % 3)
            for address in (bytes([10, 0, 0, 0, 0, n]) for n in range(SERVERS))
        }
        self.boot()

    def boot(self) -> None:
        """A process begins with nothing but its last list."""
        self.requests: dict[int, Held] = {}
        self.strays: dict[tuple[int, int], bytes] = {}  # attempts out of requests that are answered
        self.timers: list[tuple[float, int]] = []
        self.arrivals: list[float] = []
        self.cold: dict[bytes, list[float]] = {}
        self.began = self.now
        self.seed += 1
        self.balancer = Balancer(self.settings, random.Random(self.seed), self.now)
        self.do(ServerList(tuple(self.lines.values()), complete=True, cached=True))

    # What the balancer does is checked against the rules

    def do(self, event: Event) -> None:
        for action in self.balancer.handle(self.now, event):
            self.check(action)

    def check(self, action: Action) -> None:
        match action:
            case Send():
                self.sent(action)
            case Refuse():
                held = self.requests[action.id]
                effect, group = held.cls.effect, held.cls.group
                proven = not held.ran and not held.out
                assert effect is Effect.SAFE or proven or (effect is Effect.KEYED and group is Group.ALL)
                assert self.settings.retry_after or action.retry_after_ms == 0.0
                self.final(action.id)
            case Fail():
                self.final(action.id)
            case Cancel():
                assert self.settings.may_cancel
            case SetTimer():
                assert action.wait_ms >= 0.0
                self.timers.append((self.now + action.wait_ms, action.token))
            case Watch():
                assert self.settings.must_ask

    def final(self, number: int) -> None:
        held = self.requests.pop(number)  # a second final answer would find nothing
        assert self.now <= held.deadline + GRACE_MS
        for attempt, address in held.out.items():
            self.strays[number, attempt] = address

    def sent(self, action: Send) -> None:
        held = self.requests[action.id]  # rule 1: nothing after the final answer
        line = self.lines[action.address]
        assert line.state is State.READY  # rule 3, at once
        assert held.sends < self.settings.max_attempts
        assert not held.out or self.settings.second_copies
        before = held.ran + [(address, held.sent_at[n]) for n, address in held.out.items()]
        if held.cls.effect is Effect.UNSAFE:
            assert not before
        if held.cls.effect is Effect.KEYED and before:
            where, when = before[0]
            assert self.now < when + held.cls.window_ms
            first = self.lines[where]
            if held.cls.group is Group.ZONE:
                assert line.zone == first.zone
            if held.cls.group is Group.CELL:
                assert line.cell == first.cell
        held.out[held.sends] = action.address
        held.sent_at[held.sends] = self.now
        held.sends += 1
        if line.started_at:
            self.cold.setdefault(action.address, []).append(self.now)

    # What happens to it

    @rule(
        cls=st.integers(0, len(CLASSES) - 1), share=st.sampled_from([0.0, 0.3, 1.0]), burst=st.integers(1, 6)
    )
    def requests_come(self, cls: int, share: float, burst: int) -> None:
        for _ in range(burst):
            self.ids += 1
            request = Request(self.ids, cls, share * CLASSES[cls].deadline_ms)
            self.requests[self.ids] = Held(request, self.now)
            self.arrivals.append(self.now)
            self.do(request)

    def attempts(self) -> list[tuple[int, int, bytes]]:
        live = [(n, a, where) for n, held in self.requests.items() for a, where in held.out.items()]
        return live + [(n, a, where) for (n, a), where in self.strays.items()]

    def ends(self, number: int, attempt: int, where: bytes, result: Result) -> None:
        held = self.requests.get(number)
        if held is None:
            del self.strays[number, attempt]
            self.do(Outcome(number, attempt, where, result, 30.0, True))
            return
        del held.out[attempt]
        if result not in PROVEN_NOT_RUN:
            held.ran.append((where, held.sent_at[attempt]))
        if result is Result.OK:
            self.final(number)
        self.do(
            Outcome(number, attempt, where, result, self.now - held.sent_at[attempt], result is Result.OK)
        )

    @precondition(lambda self: self.attempts())
    @rule(pick=st.integers(0, 1000), result=st.sampled_from([Result.OK, Result.OK, Result.OK, *FAILURES]))
    def an_attempt_ends(self, pick: int, result: Result) -> None:
        found = self.attempts()
        self.ends(*found[pick % len(found)], result)

    @rule(steps=st.integers(1, 60))
    def time_passes(self, steps: int) -> None:
        for _ in range(steps):
            self.now += TICK_MS
            due = sorted(timer for timer in self.timers if timer[0] <= self.now)
            self.timers = [timer for timer in self.timers if timer[0] > self.now]
            for _, token in due:
                self.do(TimerFired(token))
            for number, held in list(self.requests.items()):
                for attempt, where in list(held.out.items()):
                    if self.now >= held.deadline:
                        self.ends(number, attempt, where, Result.TIMEOUT)

    @precondition(lambda self: self.requests)
    @rule(pick=st.integers(0, 1000))
    def a_client_leaves(self, pick: int) -> None:
        number = list(self.requests)[pick % len(self.requests)]
        held = self.requests.pop(number)
        self.strays |= {(number, attempt): where for attempt, where in held.out.items()}
        self.do(ClientGone(number))

    @rule(number=st.integers(0, SERVERS - 1), state=st.sampled_from(list(State)), whole=st.booleans())
    def the_list_changes(self, number: int, state: State, whole: bool) -> None:
        address = bytes([10, 0, 0, 0, 0, number])
        old = self.lines[address]
        started = self.now if state is State.READY and old.state is State.GONE else old.started_at
        self.lines[address] = Endpoint(address, state, old.zone, old.cell, started_at=started)
        self.cold.pop(address, None)
        if whole:
            named = tuple(line for line in self.lines.values() if line.state is not State.GONE)
            self.do(ServerList(named, complete=True))
        else:
            self.do(ServerList((self.lines[address],), complete=False))

    @rule()
    def discovery_fails(self) -> None:
        self.do(DiscoveryFailed())

    @rule(away=st.integers(0, 3000))
    def the_process_is_killed(self, away: int) -> None:
        self.now += away
        self.boot()

    @invariant()
    def nothing_is_owed_past_its_deadline(self) -> None:
        for held in getattr(self, "requests", {}).values():
            assert self.now <= held.deadline + GRACE_MS

    @invariant()
    def cold_servers_are_paced(self) -> None:
        """At most an even share of what came, and a little for chance, in any two seconds since the start."""
        ready = sum(line.state is State.READY for line in getattr(self, "lines", {}).values())
        for address, times in getattr(self, "cold", {}).items():
            if self.now - self.lines[address].started_at > self.settings.warm_after_ms:
                continue
            recent = [t for t in times if t > self.now - 2000.0]
            came = [t for t in self.arrivals if t > self.now - 8000.0]
            assert len(recent) <= 2 + 2 * len(came) / max(ready, 1)


Rules.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
TestRules = Rules.TestCase
