"""Checks the balancer's guarantees under random valid events, attempt outcomes and process crashes.

- Every request gets at most one final answer, by its deadline, and no attempt starts after it.
- A request that may have run is repeated only where its class allows it.
- Only servers that are ready get requests.
- Servers that have just started get only a limited share of the requests.
"""

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
SERVER_COUNT = 6
DEADLINE_TOLERANCE_MS = 20.0
TICK_MS = 5.0
NEVER_RAN = (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)
FAILURES = [Result.ERROR, Result.REJECTED, Result.CONNECT_FAILED, Result.RESET, Result.TIMEOUT]


class RequestRecord:
    """The test's record of one request."""

    def __init__(self, request: Request, now: float) -> None:
        self.request_class = CLASSES[request.class_index]
        self.deadline = now + request.time_left_ms
        self.send_count = 0
        self.open_attempts: dict[int, bytes] = {}
        # Address and send time of each ended attempt that may have run.
        self.may_have_run: list[tuple[bytes, float]] = []
        self.sent_at: dict[int, float] = {}


class BalancerRules(RuleBasedStateMachine):
    @initialize(
        seed=st.integers(0, 1000),
        allow_second_copies=st.booleans(),
        allow_cancel=st.booleans(),
        require_watch=st.booleans(),
        allow_retry_after=st.booleans(),
    )
    def start(
        self,
        seed: int,
        allow_second_copies: bool,
        allow_cancel: bool,
        require_watch: bool,
        allow_retry_after: bool,
    ) -> None:
        self.settings = Settings(
            CLASSES,
            second_copies=allow_second_copies,
            may_cancel=allow_cancel,
            must_ask=require_watch,
            retry_after=allow_retry_after,
            max_retry_after_ms=2000.0,
            max_attempts=4,
            tick_ms=TICK_MS,
            cold_from=0.3,
            warm_after_ms=8000.0,
            fall_multiple=3.0,
            fall_ms=2000.0,
        )
        self.now = 1000.0
        self.last_request_id = 0
        self.seed = seed
        self.endpoints = {
            address: Endpoint(address, State.READY, zone=address[5] % 2, cell=address[5] % 3)
            for address in (bytes([10, 0, 0, 0, 0, number]) for number in range(SERVER_COUNT))
        }
        self.start_process()

    def start_process(self) -> None:
        """Starts a balancer process that knows nothing but its last server list."""
        self.requests: dict[int, RequestRecord] = {}
        self.orphaned_attempts: dict[tuple[int, int], bytes] = {}  # open attempts of requests that are over
        self.timers: list[tuple[float, int]] = []
        self.arrival_times: list[float] = []
        self.cold_send_times: dict[bytes, list[float]] = {}
        self.process_started_at = self.now
        self.seed += 1
        self.balancer = Balancer(self.settings, random.Random(self.seed), self.now)
        self.handle(ServerList(tuple(self.endpoints.values()), complete=True, cached=True))

    # Checks of the balancer's actions

    def handle(self, event: Event) -> None:
        for action in self.balancer.handle(self.now, event):
            self.check_action(action)

    def check_action(self, action: Action) -> None:
        match action:
            case Send():
                self.check_send(action)
            case Refuse():
                record = self.requests[action.id]
                effect, group = record.request_class.effect, record.request_class.group
                never_ran = not record.may_have_run and not record.open_attempts
                assert effect is Effect.SAFE or never_ran or (effect is Effect.KEYED and group is Group.ALL)
                assert self.settings.retry_after or action.retry_after_ms == 0.0
                self.record_final_answer(action.id)
            case Fail():
                self.record_final_answer(action.id)
            case Cancel():
                assert self.settings.may_cancel
            case SetTimer():
                assert action.wait_ms >= 0.0
                self.timers.append((self.now + action.wait_ms, action.token))
            case Watch():
                assert self.settings.must_ask

    def record_final_answer(self, request_id: int) -> None:
        record = self.requests.pop(request_id)  # raises KeyError on a second final answer
        assert self.now <= record.deadline + DEADLINE_TOLERANCE_MS
        for attempt, address in record.open_attempts.items():
            self.orphaned_attempts[request_id, attempt] = address

    def check_send(self, action: Send) -> None:
        record = self.requests[action.id]  # raises KeyError on a send after the final answer
        endpoint = self.endpoints[action.address]
        assert endpoint.state is State.READY  # a list change applies to the next send
        assert record.send_count < self.settings.max_attempts
        assert not record.open_attempts or self.settings.second_copies
        earlier_attempts = record.may_have_run + [
            (address, record.sent_at[attempt]) for attempt, address in record.open_attempts.items()
        ]
        if record.request_class.effect is Effect.UNSAFE:
            assert not earlier_attempts
        if record.request_class.effect is Effect.KEYED and earlier_attempts:
            first_address, first_sent_at = earlier_attempts[0]
            assert self.now < first_sent_at + record.request_class.window_ms
            first_endpoint = self.endpoints[first_address]
            if record.request_class.group is Group.ZONE:
                assert endpoint.zone == first_endpoint.zone
            if record.request_class.group is Group.CELL:
                assert endpoint.cell == first_endpoint.cell
        record.open_attempts[record.send_count] = action.address
        record.sent_at[record.send_count] = self.now
        record.send_count += 1
        if endpoint.started_at:
            self.cold_send_times.setdefault(action.address, []).append(self.now)

    # Random events

    @rule(
        class_index=st.integers(0, len(CLASSES) - 1),
        time_left_share=st.sampled_from([0.0, 0.3, 1.0]),
        count=st.integers(1, 6),
    )
    def requests_arrive(self, class_index: int, time_left_share: float, count: int) -> None:
        for _ in range(count):
            self.last_request_id += 1
            request = Request(
                self.last_request_id, class_index, time_left_share * CLASSES[class_index].deadline_ms
            )
            self.requests[self.last_request_id] = RequestRecord(request, self.now)
            self.arrival_times.append(self.now)
            self.handle(request)

    def list_open_attempts(self) -> list[tuple[int, int, bytes]]:
        current = [
            (request_id, attempt, address)
            for request_id, record in self.requests.items()
            for attempt, address in record.open_attempts.items()
        ]
        return current + [
            (request_id, attempt, address)
            for (request_id, attempt), address in self.orphaned_attempts.items()
        ]

    def finish_attempt(self, request_id: int, attempt: int, address: bytes, result: Result) -> None:
        record = self.requests.get(request_id)
        if record is None:
            del self.orphaned_attempts[request_id, attempt]
            self.handle(Outcome(request_id, attempt, address, result, 30.0, True))
            return
        del record.open_attempts[attempt]
        if result not in NEVER_RAN:
            record.may_have_run.append((address, record.sent_at[attempt]))
        if result is Result.OK:
            self.record_final_answer(request_id)
        self.handle(
            Outcome(
                request_id, attempt, address, result, self.now - record.sent_at[attempt], result is Result.OK
            )
        )

    @precondition(lambda self: self.list_open_attempts())
    @rule(pick=st.integers(0, 1000), result=st.sampled_from([Result.OK, Result.OK, Result.OK, *FAILURES]))
    def attempt_ends(self, pick: int, result: Result) -> None:
        open_attempts = self.list_open_attempts()
        self.finish_attempt(*open_attempts[pick % len(open_attempts)], result)

    @rule(steps=st.integers(1, 60))
    def time_passes(self, steps: int) -> None:
        for _ in range(steps):
            self.now += TICK_MS
            due_timers = sorted(timer for timer in self.timers if timer[0] <= self.now)
            self.timers = [timer for timer in self.timers if timer[0] > self.now]
            for _, token in due_timers:
                self.handle(TimerFired(token))
            for request_id, record in list(self.requests.items()):
                for attempt, address in list(record.open_attempts.items()):
                    if self.now >= record.deadline:
                        self.finish_attempt(request_id, attempt, address, Result.TIMEOUT)

    @precondition(lambda self: self.requests)
    @rule(pick=st.integers(0, 1000))
    def client_leaves(self, pick: int) -> None:
        request_id = list(self.requests)[pick % len(self.requests)]
        record = self.requests.pop(request_id)
        self.orphaned_attempts |= {
            (request_id, attempt): address for attempt, address in record.open_attempts.items()
        }
        self.handle(ClientGone(request_id))

    @rule(
        server_number=st.integers(0, SERVER_COUNT - 1),
        state=st.sampled_from(list(State)),
        send_complete_list=st.booleans(),
    )
    def server_list_changes(self, server_number: int, state: State, send_complete_list: bool) -> None:
        address = bytes([10, 0, 0, 0, 0, server_number])
        old_endpoint = self.endpoints[address]
        started_at = (
            self.now if state is State.READY and old_endpoint.state is State.GONE else old_endpoint.started_at
        )
        self.endpoints[address] = Endpoint(
            address, state, old_endpoint.zone, old_endpoint.cell, started_at=started_at
        )
        self.cold_send_times.pop(address, None)
        if send_complete_list:
            listed = tuple(
                endpoint for endpoint in self.endpoints.values() if endpoint.state is not State.GONE
            )
            self.handle(ServerList(listed, complete=True))
        else:
            self.handle(ServerList((self.endpoints[address],), complete=False))

    @rule()
    def discovery_fails(self) -> None:
        self.handle(DiscoveryFailed())

    @rule(downtime_ms=st.integers(0, 3000))
    def process_is_killed(self, downtime_ms: int) -> None:
        self.now += downtime_ms
        self.start_process()

    @invariant()
    def no_request_is_open_past_its_deadline(self) -> None:
        for record in getattr(self, "requests", {}).values():
            assert self.now <= record.deadline + DEADLINE_TOLERANCE_MS

    @invariant()
    def cold_servers_get_a_limited_share(self) -> None:
        """In the last two seconds a cold server got at most two sends more than twice an even share.

        The even share is that of the requests of the last eight seconds.
        """
        ready_count = sum(
            endpoint.state is State.READY for endpoint in getattr(self, "endpoints", {}).values()
        )
        for address, send_times in getattr(self, "cold_send_times", {}).items():
            if self.now - self.endpoints[address].started_at > self.settings.warm_after_ms:
                continue
            recent_sends = [time_ms for time_ms in send_times if time_ms > self.now - 2000.0]
            recent_arrivals = [time_ms for time_ms in self.arrival_times if time_ms > self.now - 8000.0]
            assert len(recent_sends) <= 2 + 2 * len(recent_arrivals) / max(ready_count, 1)


BalancerRules.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
TestBalancerRules = BalancerRules.TestCase
