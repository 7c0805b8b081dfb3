"""Checks the per-key request order with an independent checker, and sending to servers that are not listed.

Requests that have the same key run one at a time, in order of arrival. Where `only_draining_binds` is set,
only servers that drained are excluded: servers that are gone or not listed may still get requests.
"""

from dataclasses import dataclass, field
from typing import Any
from unittest import mock

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from larkcrank.core.balancer import MAX_BACKOFF_DOUBLINGS, MIN_UNLISTED_KEPT, Balancer
from larkcrank.core.interface import (
    Action,
    ClientGone,
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
    State,
    StreamStarted,
    Uploaded,
)
from tests.test_balancer import BalancerHarness, server_address

LOOK, SCAN, MOVE = range(3)  # indexes into CLASSES
CLASSES = (
    RequestClass("look", Effect.SAFE, Group.ALL, 500.0, 1000.0, 0.0, 3.0),
    RequestClass("scan", Effect.KEYED, Group.ALL, 400.0, 1500.0, 1500.0, 2.0, in_turn=True),
    RequestClass("move", Effect.UNSAFE, Group.ALL, 500.0, 1500.0, 0.0, 2.0, in_turn=True),
)
KEY_QUIET_MS = 50.0  # how long a key stays idle after an attempt that may still be running
MAY_STILL_RUN = (Result.TIMEOUT, Result.RESET, Result.CANCELLED)


@dataclass
class RequestRecord:
    """The checker's record of one request of a class that runs in order by key."""

    is_over: bool = False
    send_count: int = 0
    open_attempts: set[int] = field(default_factory=set)
    uncertain_end: float = -1e9  # when its last attempt that may still be running was given up


class OrderChecker:
    """Checks the order from requests, sends and outcomes alone, independently of the balancer's queues."""

    def __init__(self) -> None:
        self.request_ids_by_key: dict[int, list[int]] = {}
        self.key_by_request_id: dict[int, int] = {}
        self.records: dict[int, RequestRecord] = {}
        self.violations: list[str] = []

    def record_request(self, request: Request) -> None:
        if CLASSES[request.class_index].in_turn and request.key:
            self.request_ids_by_key.setdefault(request.key, []).append(request.id)
            self.key_by_request_id[request.id], self.records[request.id] = request.key, RequestRecord()

    def record_send(self, now: float, request_id: int) -> None:
        if request_id not in self.records:
            return
        for earlier_id in self.request_ids_by_key[self.key_by_request_id[request_id]]:
            if earlier_id == request_id:
                break
            earlier = self.records[earlier_id]
            if not earlier.is_over:
                self.violations.append(f"{request_id} sent while {earlier_id} is open")
            if earlier.open_attempts:
                self.violations.append(f"{request_id} sent while an attempt of {earlier_id} is open")
            if now < earlier.uncertain_end + KEY_QUIET_MS:
                self.violations.append(
                    f"{request_id} sent {now - earlier.uncertain_end} ms after one of {earlier_id} ended"
                )
        self.records[request_id].open_attempts.add(self.records[request_id].send_count)
        self.records[request_id].send_count += 1

    def record_outcome(self, now: float, request_id: int, attempt: int, result: Result) -> None:
        if request_id in self.records:
            self.records[request_id].open_attempts.discard(attempt)
            if result in MAY_STILL_RUN:
                self.records[request_id].uncertain_end = now

    def record_final_answer(self, request_id: int) -> None:
        if request_id in self.records:
            self.records[request_id].is_over = True


class CheckedBalancer(BalancerHarness):
    """The balancer harness with an order checker and a record of each request's final answer."""

    def __init__(self, seed: int = 1, servers: int = 3, **options: Any) -> None:
        self.checker = OrderChecker()
        # When the client gives up, for each request without a final answer.
        self.client_deadlines: dict[int, float] = {}
        self.final_answers: dict[int, Action] = {}
        self.late_answer_ids: list[int] = []
        defaults: dict[str, Any] = {"classes": CLASSES, "max_attempts": 5, "key_quiet_ms": KEY_QUIET_MS}
        super().__init__(servers, seed, **(defaults | options))

    def handle(self, event: Event) -> list[Action]:
        actions = super().handle(event)
        for action in actions:
            match action:
                case Send():
                    self.checker.record_send(self.now, action.id)
                case Refuse() | Fail():
                    assert action.id not in self.final_answers
                    self.final_answers[action.id] = action
                    if self.now > self.client_deadlines.pop(action.id):
                        self.late_answer_ids.append(action.id)
                    self.checker.record_final_answer(action.id)
        return actions

    def submit_keyed(
        self, class_index: int = SCAN, key: int = 7, time_left_ms: float = 1500.0, **options: Any
    ) -> int:
        self.last_request_id += 1
        request = Request(self.last_request_id, class_index, time_left_ms, key=key, **options)
        self.client_deadlines[self.last_request_id] = self.now + time_left_ms
        self.checker.record_request(request)
        self.handle(request)
        return self.last_request_id

    def finish_attempt(
        self, request_id: int, result: Result = Result.OK, attempt: int = 0, elapsed_ms: float = 40.0
    ) -> list[Action]:
        self.checker.record_outcome(self.now, request_id, attempt, result)
        if result is Result.OK and request_id in self.client_deadlines:
            del self.client_deadlines[request_id]
            self.checker.record_final_answer(request_id)
        address = self.open_attempts.pop((request_id, attempt))
        return self.handle(
            Outcome(request_id, attempt, address, result, elapsed_ms, request_id not in self.client_deadlines)
        )

    def disconnect_client(self, request_id: int) -> None:
        del self.client_deadlines[request_id]
        self.checker.record_final_answer(request_id)
        self.handle(ClientGone(request_id))

    def was_sent(self, request_id: int) -> bool:
        return request_id in self.send_counts


STEP = st.one_of(
    st.tuples(st.just("take"), st.sampled_from([LOOK, SCAN, SCAN, MOVE]), st.integers(0, 4)),
    st.tuples(st.just("end"), st.integers(0, 99), st.sampled_from([Result.OK, Result.OK, *Result])),
    st.tuples(st.just("leave"), st.integers(0, 99), st.none()),
    st.tuples(st.just("wait"), st.sampled_from([0.0, 5.0, 20.0, 45.0, 55.0, 300.0, 1600.0]), st.none()),
)


def run_steps(steps: list[tuple[Any, Any, Any]], seed: int, may_cancel: bool) -> CheckedBalancer:
    harness = CheckedBalancer(seed, may_cancel=may_cancel)
    for kind, first_argument, second_argument in steps:
        if kind == "take":
            harness.submit_keyed(first_argument, second_argument)
        elif kind == "end" and harness.open_attempts:
            request_id, attempt = sorted(harness.open_attempts)[first_argument % len(harness.open_attempts)]
            harness.finish_attempt(request_id, second_argument, attempt)
        elif kind == "leave" and harness.client_deadlines:
            harness.disconnect_client(
                sorted(harness.client_deadlines)[first_argument % len(harness.client_deadlines)]
            )
        elif kind == "wait":
            harness.advance(first_argument)
    return harness


STEPS = st.lists(STEP, min_size=10, max_size=120)
EXAMPLES = settings(
    max_examples=150, derandomize=True, deadline=None, database=None, suppress_health_check=list(HealthCheck)
)


@EXAMPLES
@given(steps=STEPS, seed=st.integers(0, 50), may_cancel=st.booleans())
def test_order_by_key_holds_for_random_steps_and_no_state_remains(
    steps: list[tuple[Any, Any, Any]], seed: int, may_cancel: bool
) -> None:
    harness = run_steps(steps, seed, may_cancel)
    assert harness.checker.violations == []
    for _ in range(40):  # until all attempts have ended and all clients are answered
        for request_id, attempt in sorted(harness.open_attempts):
            harness.finish_attempt(request_id, Result.TIMEOUT, attempt)
        harness.advance(100.0)
    assert (
        harness.checker.violations == [] and harness.late_answer_ids == [] and harness.client_deadlines == {}
    )
    balancer = harness.balancer
    assert not (
        balancer._key_queues
        or balancer._orphaned_attempts
        or balancer._requests
        or balancer._owed_attempts
        or balancer._queue
    )


def test_order_checker_detects_a_balancer_without_ordering() -> None:
    runs_with_violations = 0

    def hold_without_order(self: Balancer, job: Any, key: int) -> None:
        self._enqueue(job)

    @settings(EXAMPLES, max_examples=40)
    @given(steps=STEPS, seed=st.integers(0, 50))
    def run(steps: list[tuple[Any, Any, Any]], seed: int) -> None:
        nonlocal runs_with_violations
        runs_with_violations += bool(run_steps(steps, seed, True).checker.violations)

    with mock.patch.object(Balancer, "_enqueue_for_key", hold_without_order):
        run()
    assert runs_with_violations > 5


# Single cases of the order by key


def test_requests_of_one_key_run_one_at_a_time_and_others_in_parallel() -> None:
    harness = CheckedBalancer()
    first_id, second_id, other_key_id, unordered_id = (
        harness.submit_keyed(),
        harness.submit_keyed(),
        harness.submit_keyed(key=8),
        harness.submit_keyed(LOOK),
    )
    assert harness.was_sent(first_id) and not harness.was_sent(second_id)
    assert harness.was_sent(other_key_id) and harness.was_sent(unordered_id)
    harness.finish_attempt(first_id)
    assert harness.was_sent(second_id)


def test_classes_share_keys_and_requests_without_a_key_are_not_ordered() -> None:
    harness = CheckedBalancer()
    harness.submit_keyed(SCAN)
    move_id = harness.submit_keyed(MOVE)
    assert not harness.was_sent(move_id)
    keyless_ids = [harness.submit_keyed(SCAN, key=0) for _ in range(2)]
    assert all(harness.was_sent(request_id) for request_id in keyless_ids)


@pytest.mark.parametrize(
    "result, quiet_time_applies", [(r, r in MAY_STILL_RUN) for r in Result if r is not Result.OK]
)
def test_key_stays_idle_after_an_attempt_that_may_still_run(result: Result, quiet_time_applies: bool) -> None:
    # In a simulation, a later request was sent 40 ms after a cancelled attempt although the key has to stay
    # idle for 50 ms.
    harness = CheckedBalancer()
    first_id, second_id = harness.submit_keyed(), harness.submit_keyed()
    harness.advance(20.0)
    harness.disconnect_client(first_id)
    assert not harness.was_sent(second_id)  # the attempt has no outcome yet
    harness.finish_attempt(first_id, result)
    assert harness.was_sent(second_id) is not quiet_time_applies
    harness.advance(KEY_QUIET_MS - 5.0)
    assert harness.was_sent(second_id) is not quiet_time_applies
    harness.advance(5.0)
    assert harness.was_sent(second_id)


def test_quiet_time_does_not_delay_a_retry_of_the_current_request() -> None:
    harness = CheckedBalancer()
    first_id, second_id = harness.submit_keyed(), harness.submit_keyed()
    harness.finish_attempt(first_id, Result.RESET)
    assert harness.send_counts[first_id] == 2 and not harness.was_sent(second_id)
    harness.finish_attempt(first_id, Result.OK, attempt=1)
    assert not harness.was_sent(second_id)  # the quiet time still delays the next request
    harness.advance(KEY_QUIET_MS)
    assert harness.was_sent(second_id)


def test_quiet_time_after_a_failed_attempt_delays_only_later_requests() -> None:
    # The quiet time starts when the latest attempt that may still run has ended, even if a later attempt was
    # answered.
    harness = CheckedBalancer()
    first_id, second_id = harness.submit_keyed(), harness.submit_keyed()
    harness.finish_attempt(first_id, Result.RESET)
    harness.advance(30.0)
    harness.finish_attempt(first_id, Result.OK, attempt=1)
    harness.advance(15.0)
    assert not harness.was_sent(second_id)
    harness.advance(5.0)
    assert harness.was_sent(second_id)


def test_request_that_would_wait_too_long_for_its_turn_is_refused_at_once() -> None:
    harness = CheckedBalancer(retry_after=True, max_retry_after_ms=2000.0)
    request_ids = [harness.submit_keyed() for _ in range(30)]
    refused_ids = [request_id for request_id in request_ids if request_id in harness.final_answers]
    assert refused_ids and refused_ids == request_ids[-len(refused_ids) :]
    assert all(
        isinstance(harness.final_answers[refused_id], Refuse)
        and harness.final_answers[refused_id].retry_after_ms > 0  # type: ignore[union-attr]
        for refused_id in refused_ids
    )
    assert harness.now == 0.0


def test_request_behind_a_silent_attempt_is_refused_when_it_would_be_late() -> None:
    harness = CheckedBalancer()
    harness.submit_keyed()
    second_id = harness.submit_keyed()
    harness.advance(399.0)
    assert isinstance(harness.final_answers[second_id], Refuse)


def test_departed_client_releases_its_place_in_the_order() -> None:
    harness = CheckedBalancer()
    first_id, second_id, third_id = harness.submit_keyed(), harness.submit_keyed(), harness.submit_keyed()
    harness.disconnect_client(second_id)
    harness.finish_attempt(first_id)
    assert harness.was_sent(third_id)


def test_key_waits_for_the_end_of_a_streamed_answer() -> None:
    # The first part of a streamed answer closes the request for the client, but the server is still sending.
    harness = CheckedBalancer()
    first_id, second_id = harness.submit_keyed(), harness.submit_keyed()
    del harness.client_deadlines[first_id]
    address = harness.open_attempts[first_id, 0]
    harness.handle(StreamStarted(first_id, 0, address, 30.0))
    harness.advance(100.0)
    assert not harness.was_sent(second_id)
    harness.handle(Outcome(first_id, 0, address, Result.OK, 200.0, True))
    assert harness.was_sent(second_id)


def test_upload_in_progress_keeps_its_place_in_the_order() -> None:
    harness = CheckedBalancer()
    first_id = harness.submit_keyed()
    second_id = harness.submit_keyed(uploading=True)
    third_id = harness.submit_keyed()
    harness.advance(20.0)
    harness.finish_attempt(first_id)
    assert harness.was_sent(second_id) and not harness.was_sent(third_id)
    harness.handle(Uploaded(second_id, 1500.0))
    harness.finish_attempt(second_id)
    assert harness.was_sent(third_id)


# Servers that are gone or not listed, where only draining servers are excluded


def complete_list(*server_numbers: int, state: State = State.READY) -> ServerList:
    return ServerList(
        tuple(Endpoint(server_address(number), state) for number in server_numbers), complete=True
    )


SERVER_2_GONE = ServerList((Endpoint(server_address(2), State.GONE),), complete=False)


def used_addresses(harness: CheckedBalancer, count: int = 12) -> set[bytes]:
    addresses = set()
    for _ in range(count):
        request_id = harness.submit_keyed(LOOK, key=0)
        addresses |= {
            address for (sent_id, _), address in harness.open_attempts.items() if sent_id == request_id
        }
        harness.advance(20.0)
        if (request_id, 0) in harness.open_attempts:
            harness.finish_attempt(request_id)
    return addresses


@pytest.mark.parametrize("only_draining_binds", [False, True])
@pytest.mark.parametrize("removal", ["left out", "gone"])
def test_gone_or_omitted_server_is_still_used_where_only_draining_binds(
    only_draining_binds: bool, removal: str
) -> None:
    harness = CheckedBalancer(only_draining_binds=only_draining_binds)
    if removal == "gone":
        harness.handle(SERVER_2_GONE)
    else:
        harness.handle(complete_list(0, 1))
    assert (server_address(2) in used_addresses(harness)) is only_draining_binds


def test_empty_list_removes_no_server_where_only_draining_binds() -> None:
    harness = CheckedBalancer(only_draining_binds=True)
    harness.handle(ServerList((), complete=True))
    assert used_addresses(harness) == {server_address(0), server_address(1), server_address(2)}


@pytest.mark.parametrize("list_update", [complete_list(0, 1), SERVER_2_GONE])
def test_server_that_drained_gets_no_requests_when_it_is_gone(list_update: ServerList) -> None:
    harness = CheckedBalancer(only_draining_binds=True)
    harness.handle(ServerList((Endpoint(server_address(2), State.DRAINING),), complete=False))
    harness.handle(list_update)
    assert server_address(2) not in used_addresses(harness)


def test_unlisted_failing_server_leaves_the_rotation_unless_it_is_the_only_one() -> None:
    harness = CheckedBalancer(only_draining_binds=True)
    harness.handle(complete_list(0, 1))
    server = harness.balancer._servers[server_address(2)]
    server.fails = MAX_BACKOFF_DOUBLINGS - 1
    while (request_id := harness.submit_keyed(LOOK, key=0)) and harness.open_attempts[
        request_id, 0
    ] != server_address(2):
        harness.finish_attempt(request_id)
    harness.finish_attempt(request_id, Result.CONNECT_FAILED)
    assert server not in harness.balancer._ring and server.fails == MAX_BACKOFF_DOUBLINGS
    harness.handle(complete_list(2))  # listed again
    assert server in harness.balancer._ring

    single_server = CheckedBalancer(servers=1, only_draining_binds=True)
    single_server.handle(ServerList((), complete=True))
    single_server.balancer._servers[server_address(0)].fails = MAX_BACKOFF_DOUBLINGS - 1
    single_server.finish_attempt(single_server.submit_keyed(LOOK, key=0), Result.CONNECT_FAILED)
    assert [server.endpoint.address for server in single_server.balancer._ring] == [server_address(0)]


def test_number_of_unlisted_servers_kept_is_bounded() -> None:
    harness = CheckedBalancer(only_draining_binds=True)
    for first_number in range(0, 250, 10):
        harness.handle(complete_list(*range(first_number, first_number + 10)))
    assert len(harness.balancer._servers) <= 10 + MIN_UNLISTED_KEPT


def test_server_restarted_under_the_same_address_gets_its_start_time_from_the_list() -> None:
    harness = CheckedBalancer(only_draining_binds=True, cold_from=0.1, warm_after_ms=20000.0)
    harness.handle(SERVER_2_GONE)
    harness.advance(3000.0)
    harness.handle(ServerList((Endpoint(server_address(2), started_at=harness.now),), complete=False))
    server = harness.balancer._servers[server_address(2)]
    assert server.listed and server.endpoint.started_at == harness.now
