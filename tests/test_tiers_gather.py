"""Batching of changes, pacing of full answers, and the choice between several addresses, in virtual time."""

from itertools import pairwise
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from larkcrank.routing.places import AddressFailover
from larkcrank.tiers.gather import ChangeBatcher, FullAnswerLimiter


def send_batches(changes: list[float], interval_s: float) -> list[tuple[float, int]]:
    """The time of each batch and its number of changes, for changes at these times."""
    batcher, batches = ChangeBatcher(interval_s), []
    first_pending_at, pending = None, 0
    for at in [*sorted(changes), float("inf")]:
        while batcher.due_at is not None and batcher.due_at <= at:
            due_at = batcher.due_at
            batcher.sent(due_at)
            batches.append((due_at, pending))
            pending, first_pending_at = 0, None
        if at < float("inf"):
            due_at = batcher.schedule(at)
            first_pending_at = at if first_pending_at is None else first_pending_at
            assert at <= due_at <= first_pending_at + interval_s
            pending += 1
    return batches


def test_a_lone_change_is_sent_at_once() -> None:
    assert send_batches([1.0, 2.0, 3.5], 0.1) == [(1.0, 1), (2.0, 1), (3.5, 1)]


def test_a_burst_is_batched_after_its_first_change() -> None:
    burst = [5.0 + n * 0.00047 for n in range(364)]  # the instances of one zone within 0.17 s
    batches = send_batches(burst, 0.1)
    assert [count for _, count in batches] == [1, 212, 151]
    assert [round(at, 3) for at, _ in batches] == [5.0, 5.1, 5.2]


@given(st.lists(st.floats(0.0, 10.0), max_size=200), st.sampled_from((0.05, 0.1, 0.5)))
@settings(deadline=None)
def test_no_change_waits_longer_than_the_interval_and_none_is_lost(
    changes: list[float], interval_s: float
) -> None:
    batches = send_batches(changes, interval_s)
    assert sum(count for _, count in batches) == len(changes)
    times = [at for at, _ in batches]
    assert all(later - at >= interval_s - 1e-9 for at, later in pairwise(times))


def test_full_answers_are_paced_at_the_given_rate() -> None:
    limiter = FullAnswerLimiter(rate_per_s=100.0, max_wait_s=2.0)
    reserved = [limiter.reserve(7.0) for _ in range(400)]
    granted_at = [at for at in reserved if at is not None]
    assert len(granted_at) == 201 and granted_at[0] == 7.0 and max(granted_at) <= 9.0 + 1e-9
    assert all(abs(later - at - 0.01) < 1e-9 for at, later in pairwise(granted_at))
    assert limiter.reserve(8.0) is not None  # the queue has room again
    assert limiter.reserve(20.0) == 20.0


def create_places(count: int, seed: int = 1) -> AddressFailover:
    return AddressFailover([("h", n) for n in range(count)], Random(seed), 0.5, (20.0, 60.0), 2.0)


def test_failover_and_return_to_the_first_address_are_spread_by_random_delays() -> None:
    delays, return_times = [], []
    for seed in range(200):
        places = create_places(3, seed)
        delays.append(places.record_failure(100.0))
        places.record_success()
        assert places.current == ("h", 1) and not places.should_check_primary(119.9)
        at = 120.0
        while not places.should_check_primary(at):
            at += 0.5
        return_times.append(at)
        places.record_primary_check(at, answered=False)
        assert (
            places.current == ("h", 1)
            and not places.should_check_primary(at + 19.9)
            and places.should_check_primary(at + 60.0)
        )
        places.record_primary_check(at + 60.0, answered=True)
        assert places.current == ("h", 0) and not places.should_check_primary(at + 1000.0)
    assert 0.0 <= min(delays) < 0.05 and 0.45 < max(delays) <= 0.5  # spread, not all at once
    assert 120.0 <= min(return_times) < 125.0 and 155.0 < max(return_times) <= 160.5


def test_delays_grow_to_a_bound_while_all_addresses_fail() -> None:
    places = create_places(2)
    delays = [places.record_failure(float(n)) for n in range(40)]
    assert max(delays[:2]) <= 0.5 and min(delays[-10:]) >= 1.0 and max(delays) <= 3.0
    places.record_success()
    assert places.record_failure(50.0) <= 0.5


def test_a_single_address_stays_current() -> None:
    places = create_places(1)
    for n in range(5):
        assert places.record_failure(float(n)) > 0.0
        assert places.current == places.primary == ("h", 0) and not places.should_check_primary(1e9)
