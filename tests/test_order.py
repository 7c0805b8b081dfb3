"""Rule 5, order by key: a checker of its own sees every send; and the rule on drains where only they bind."""

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
from tests.test_balancer import Desk, address

LOOK, SCAN, MOVE = range(3)
CLASSES = (
    RequestClass("look", Effect.SAFE, Group.ALL, 500.0, 1000.0, 0.0, 3.0),
    RequestClass("scan", Effect.KEYED, Group.ALL, 400.0, 1500.0, 1500.0, 2.0, in_turn=True),
    RequestClass("move", Effect.UNSAFE, Group.ALL, 500.0, 1500.0, 0.0, 2.0, in_turn=True),
)
QUIET_MS = 50.0
LASTING = (Result.TIMEOUT, Result.RESET, Result.CANCELLED)


@dataclass
class Seen:
    """What the checker knows of one request of a class that takes turns."""

    over: bool = False
    sends: int = 0
    out: set[int] = field(default_factory=set)
    quiet_from: float = -1e9  # of its attempts that may have gone on running


class Checker:
    """Knows requests, sends and outcomes, and nothing of how the balancer keeps its lines."""

    def __init__(self) -> None:
        self.keys: dict[int, list[int]] = {}
        self.key_of: dict[int, int] = {}
        self.seen: dict[int, Seen] = {}
        self.breaks: list[str] = []

    def took(self, request: Request) -> None:
        if CLASSES[request.class_index].in_turn and request.key:
            self.keys.setdefault(request.key, []).append(request.id)
            self.key_of[request.id], self.seen[request.id] = request.key, Seen()

    def sent(self, now: float, number: int) -> None:
        if number not in self.seen:
            return
        for earlier in self.keys[self.key_of[number]]:
            if earlier == number:
                break
            one = self.seen[earlier]
            if not one.over:
                self.breaks.append(f"{number} sent while {earlier} is open")
            if one.out:
                self.breaks.append(f"{number} sent while an attempt of {earlier} is out")
            if now < one.quiet_from + QUIET_MS:
                self.breaks.append(f"{number} sent {now - one.quiet_from} ms after one of {earlier} ended")
        self.seen[number].out.add(self.seen[number].sends)
        self.seen[number].sends += 1

    def ended(self, now: float, number: int, attempt: int, result: Result) -> None:
        if number in self.seen:
            self.seen[number].out.discard(attempt)
            if result in LASTING:
                self.seen[number].quiet_from = now

    def over(self, number: int) -> None:
        if number in self.seen:
            self.seen[number].over = True


class World(Desk):
    """The desk with the checker beside it, and each request's final answer."""

    def __init__(self, seed: int = 1, servers: int = 3, **more: Any) -> None:
        self.checker = Checker()
        self.ends: dict[int, float] = {}  # of requests without a final answer: when the client gives up
        self.finals: dict[int, Action] = {}
        self.late: list[int] = []
        defaults: dict[str, Any] = {"classes": CLASSES, "max_attempts": 5, "key_quiet_ms": QUIET_MS}
        super().__init__(servers, seed, **(defaults | more))

    def do(self, event: Event) -> list[Action]:
        actions = super().do(event)
        for action in actions:
            match action:
                case Send():
                    self.checker.sent(self.now, action.id)
                case Refuse() | Fail():
                    assert action.id not in self.finals
                    self.finals[action.id] = action
                    if self.now > self.ends.pop(action.id):
                        self.late.append(action.id)
                    self.checker.over(action.id)
        return actions

    def ask(self, cls: int = SCAN, key: int = 7, left: float = 1500.0, **more: Any) -> int:
        self.ids += 1
        request = Request(self.ids, cls, left, key=key, **more)
        self.ends[self.ids] = self.now + left
        self.checker.took(request)
        self.do(request)
        return self.ids

    def end(
        self, number: int, result: Result = Result.OK, attempt: int = 0, elapsed: float = 40.0
    ) -> list[Action]:
        self.checker.ended(self.now, number, attempt, result)
        if result is Result.OK and number in self.ends:
            del self.ends[number]
            self.checker.over(number)
        where = self.out.pop((number, attempt))
        return self.do(Outcome(number, attempt, where, result, elapsed, number not in self.ends))

    def leave(self, number: int) -> None:
        del self.ends[number]
        self.checker.over(number)
        self.do(ClientGone(number))

    def went(self, number: int) -> bool:
        return number in self.sent


STEP = st.one_of(
    st.tuples(st.just("take"), st.sampled_from([LOOK, SCAN, SCAN, MOVE]), st.integers(0, 4)),
    st.tuples(st.just("end"), st.integers(0, 99), st.sampled_from([Result.OK, Result.OK, *Result])),
    st.tuples(st.just("leave"), st.integers(0, 99), st.none()),
    st.tuples(st.just("wait"), st.sampled_from([0.0, 5.0, 20.0, 45.0, 55.0, 300.0, 1600.0]), st.none()),
)


def play(steps: list[tuple[Any, Any, Any]], seed: int, cancel: bool) -> World:
    world = World(seed, may_cancel=cancel)
    for what, first, second in steps:
        if what == "take":
            world.ask(first, second)
        elif what == "end" and world.out:
            number, attempt = sorted(world.out)[first % len(world.out)]
            world.end(number, second, attempt)
        elif what == "leave" and world.ends:
            world.leave(sorted(world.ends)[first % len(world.ends)])
        elif what == "wait":
            world.wait(first)
    return world


STEPS = st.lists(STEP, min_size=10, max_size=120)
EXAMPLES = settings(
    max_examples=150, derandomize=True, deadline=None, database=None, suppress_health_check=list(HealthCheck)
)


@EXAMPLES
@given(steps=STEPS, seed=st.integers(0, 50), cancel=st.booleans())
def test_order_holds_whatever_comes_and_nothing_is_left_behind(
    steps: list[tuple[Any, Any, Any]], seed: int, cancel: bool
) -> None:
    world = play(steps, seed, cancel)
    assert world.checker.breaks == []
    for _ in range(40):  # all attempts come back, all clients are answered
        for number, attempt in sorted(world.out):
            world.end(number, Result.TIMEOUT, attempt)
        world.wait(100.0)
    assert world.checker.breaks == [] and world.late == [] and world.ends == {}
    left = world.balancer
    assert not (
        left._key_queues or left._orphaned_attempts or left._requests or left._owed_attempts or left._queue
    )


def test_the_checker_catches_a_balancer_without_the_rule() -> None:
    caught = 0

    def free(self: Balancer, job: Any, key: int) -> None:
        self._enqueue(job)

    @settings(EXAMPLES, max_examples=40)
    @given(steps=STEPS, seed=st.integers(0, 50))
    def run(steps: list[tuple[Any, Any, Any]], seed: int) -> None:
        nonlocal caught
        caught += bool(play(steps, seed, True).checker.breaks)

    with mock.patch.object(Balancer, "_enqueue_for_key", free):
        run()
    assert caught > 5


# Single cases


def test_requests_of_a_key_run_one_at_a_time_others_at_once() -> None:
    world = World()
    first, second, other, free = world.ask(), world.ask(), world.ask(key=8), world.ask(LOOK)
    assert world.went(first) and not world.went(second)
    assert world.went(other) and world.went(free)
    world.end(first)
    assert world.went(second)


def test_classes_share_their_keys_and_requests_without_a_key_are_free() -> None:
    world = World()
    world.ask(SCAN)
    move = world.ask(MOVE)
    assert not world.went(move)
    bare = [world.ask(SCAN, key=0) for _ in range(2)]
    assert all(world.went(number) for number in bare)


@pytest.mark.parametrize("result, rests", [(r, r in LASTING) for r in Result if r is not Result.OK])
def test_a_key_rests_after_what_may_have_gone_on_running(result: Result, rests: bool) -> None:
    # The bench's case: a later request was sent 40 ms after a cancelled attempt where the key rests 50.
    world = World()
    first, second = world.ask(), world.ask()
    world.wait(20.0)
    world.leave(first)
    assert not world.went(second)  # the attempt has no outcome yet
    world.end(first, result)
    assert world.went(second) is not rests
    world.wait(QUIET_MS - 5.0)
    assert world.went(second) is not rests
    world.wait(5.0)
    assert world.went(second)


def test_a_rest_delays_no_further_try_of_the_request_whose_turn_it_is() -> None:
    world = World()
    first, second = world.ask(), world.ask()
    world.end(first, Result.RESET)
    assert world.sent[first] == 2 and not world.went(second)
    world.end(first, Result.OK, attempt=1)
    assert not world.went(second)  # but those behind it
    world.wait(QUIET_MS)
    assert world.went(second)


def test_a_rest_that_began_under_a_request_is_kept_for_those_behind_it_alone() -> None:
    # It is the latest of all its attempts that counts, though the last one was answered.
    world = World()
    first, second = world.ask(), world.ask()
    world.end(first, Result.RESET)
    world.wait(30.0)
    world.end(first, Result.OK, attempt=1)
    world.wait(15.0)
    assert not world.went(second)
    world.wait(5.0)
    assert world.went(second)


def test_who_would_wait_too_long_for_its_turn_is_answered_at_once() -> None:
    world = World(retry_after=True, max_retry_after_ms=2000.0)
    numbers = [world.ask() for _ in range(30)]
    refused = [number for number in numbers if number in world.finals]
    assert refused and refused == numbers[-len(refused) :]
    assert all(isinstance(world.finals[n], Refuse) and world.finals[n].retry_after_ms > 0 for n in refused)  # type: ignore[union-attr]
    assert world.now == 0.0


def test_who_waits_behind_a_silent_attempt_is_answered_when_it_could_no_longer_be_in_time() -> None:
    world = World()
    world.ask()
    second = world.ask()
    world.wait(399.0)
    assert isinstance(world.finals[second], Refuse)


def test_one_that_is_given_up_lets_the_next_pass() -> None:
    world = World()
    first, second, third = world.ask(), world.ask(), world.ask()
    world.leave(second)
    world.end(first)
    assert world.went(third)


def test_a_key_waits_for_the_end_of_a_long_answer() -> None:
    # Its first part closes the request for the client; the server is still at it.
    world = World()
    first, second = world.ask(), world.ask()
    del world.ends[first]
    where = world.out[first, 0]
    world.do(StreamStarted(first, 0, where, 30.0))
    world.wait(100.0)
    assert not world.went(second)
    world.do(Outcome(first, 0, where, Result.OK, 200.0, True))
    assert world.went(second)


def test_a_body_that_still_comes_keeps_its_place_in_line() -> None:
    world = World()
    first = world.ask()
    second = world.ask(uploading=True)
    third = world.ask()
    world.wait(20.0)
    world.end(first)
    assert world.went(second) and not world.went(third)
    world.do(Uploaded(second, 1500.0))
    world.end(second)
    assert world.went(third)


# Only draining binds


def whole(*numbers: int, state: State = State.READY) -> ServerList:
    return ServerList(tuple(Endpoint(address(n), state) for n in numbers), complete=True)


GONE = ServerList((Endpoint(address(2), State.GONE),), complete=False)


def places(world: World, count: int = 12) -> set[bytes]:
    found = set()
    for _ in range(count):
        number = world.ask(LOOK, key=0)
        found |= {where for (one, _), where in world.out.items() if one == number}
        world.wait(20.0)
        if (number, 0) in world.out:
            world.end(number)
    return found


@pytest.mark.parametrize("binds", [False, True])
@pytest.mark.parametrize("how", ["left out", "gone"])
def test_who_is_gone_or_left_out_is_still_sent_to_where_only_draining_binds(binds: bool, how: str) -> None:
    world = World(only_draining_binds=binds)
    if how == "gone":
        world.do(GONE)
    else:
        world.do(whole(0, 1))
    assert (address(2) in places(world)) is binds


def test_a_list_that_empties_takes_nothing_away_where_only_draining_binds() -> None:
    world = World(only_draining_binds=True)
    world.do(ServerList((), complete=True))
    assert places(world) == {address(0), address(1), address(2)}


@pytest.mark.parametrize("after", [whole(0, 1), GONE])
def test_who_drained_gets_nothing_when_it_is_gone(after: ServerList) -> None:
    world = World(only_draining_binds=True)
    world.do(ServerList((Endpoint(address(2), State.DRAINING),), complete=False))
    world.do(after)
    assert address(2) not in places(world)


def test_who_is_no_longer_listed_and_fails_gets_no_turns_unless_all_are_so() -> None:
    world = World(only_draining_binds=True)
    world.do(whole(0, 1))
    server = world.balancer._servers[address(2)]
    server.fails = MAX_BACKOFF_DOUBLINGS - 1
    while (number := world.ask(LOOK, key=0)) and world.out[number, 0] != address(2):
        world.end(number)
    world.end(number, Result.CONNECT_FAILED)
    assert server not in world.balancer._ring and server.fails == MAX_BACKOFF_DOUBLINGS
    world.do(whole(2))  # the list speaks for it again
    assert server in world.balancer._ring

    alone = World(servers=1, only_draining_binds=True)
    alone.do(ServerList((), complete=True))
    alone.balancer._servers[address(0)].fails = MAX_BACKOFF_DOUBLINGS - 1
    alone.end(alone.ask(LOOK, key=0), Result.CONNECT_FAILED)
    assert [server.endpoint.address for server in alone.balancer._ring] == [address(0)]


def test_a_fleet_that_is_replaced_leaves_no_end_of_servers() -> None:
    world = World(only_draining_binds=True)
    for first in range(0, 250, 10):
        world.do(whole(*range(first, first + 10)))
    assert len(world.balancer._servers) <= 10 + MIN_UNLISTED_KEPT


def test_a_cold_return_under_the_same_address_is_told_by_the_list() -> None:
    world = World(only_draining_binds=True, cold_from=0.1, warm_after_ms=20000.0)
    world.do(GONE)
    world.wait(3000.0)
    world.do(ServerList((Endpoint(address(2), started_at=world.now),), complete=False))
    server = world.balancer._servers[address(2)]
    assert server.listed and server.endpoint.started_at == world.now
