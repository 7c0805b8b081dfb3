"""When changes are told and whole answers given, in virtual time."""

from itertools import pairwise
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from larkcrank.routing.places import AddressFailover
from larkcrank.tiers.gather import Gather, Turns


def waves(changes: list[float], gather_s: float) -> list[tuple[float, int]]:
    """When each wave goes, and how many changes it tells."""
    gather, told = Gather(gather_s), []
    open_since, pending = None, 0
    for at in [*sorted(changes), float("inf")]:
        while gather.due is not None and gather.due <= at:
            due = gather.due
            gather.went(due)
            told.append((due, pending))
            pending, open_since = 0, None
        if at < float("inf"):
            due = gather.changed(at)
            open_since = at if open_since is None else open_since
            assert at <= due <= open_since + gather_s
            pending += 1
    return told


def test_a_lone_change_goes_at_once() -> None:
    assert waves([1.0, 2.0, 3.5], 0.1) == [(1.0, 1), (2.0, 1), (3.5, 1)]


def test_a_burst_is_gathered_behind_its_first() -> None:
    burst = [5.0 + n * 0.00047 for n in range(364)]  # a zone's, over 0.17 s
    told = waves(burst, 0.1)
    assert [count for _, count in told] == [1, 212, 151]
    assert [round(at, 3) for at, _ in told] == [5.0, 5.1, 5.2]


@given(st.lists(st.floats(0.0, 10.0), max_size=200), st.sampled_from((0.05, 0.1, 0.5)))
@settings(deadline=None)
def test_no_change_waits_longer_than_the_gathering_and_none_is_forgotten(
    changes: list[float], gather_s: float
) -> None:
    told = waves(changes, gather_s)
    assert sum(count for _, count in told) == len(changes)
    times = [at for at, _ in told]
    assert all(later - at >= gather_s - 1e-9 for at, later in pairwise(times))


def test_whole_answers_are_given_at_the_stated_rate() -> None:
    turns = Turns(rate=100.0, wait_s=2.0)
    asked = [turns.ask(7.0) for _ in range(400)]
    given_at = [at for at in asked if at is not None]
    assert len(given_at) == 201 and given_at[0] == 7.0 and max(given_at) <= 9.0 + 1e-9
    assert all(abs(later - at - 0.01) < 1e-9 for at, later in pairwise(given_at))
    assert turns.ask(8.0) is not None  # a place in the queue is free again
    assert turns.ask(20.0) == 20.0


def places(count: int, seed: int = 1) -> AddressFailover:
    return AddressFailover([("h", n) for n in range(count)], Random(seed), 0.5, (20.0, 60.0), 2.0)


def test_who_loses_a_place_goes_to_the_next_after_a_drawn_wait_and_home_after_a_drawn_while() -> None:
    waits, homes = [], []
    for seed in range(200):
        mine = places(3, seed)
        waits.append(mine.record_failure(100.0))
        mine.record_success()
        assert mine.current == ("h", 1) and not mine.should_check_primary(119.9)
        at = 120.0
        while not mine.should_check_primary(at):
            at += 0.5
        homes.append(at)
        mine.record_primary_check(at, answered=False)
        assert (
            mine.current == ("h", 1)
            and not mine.should_check_primary(at + 19.9)
            and mine.should_check_primary(at + 60.0)
        )
        mine.record_primary_check(at + 60.0, answered=True)
        assert mine.current == ("h", 0) and not mine.should_check_primary(at + 1000.0)
    assert 0.0 <= min(waits) < 0.05 and 0.45 < max(waits) <= 0.5  # spread, not all at one moment
    assert 120.0 <= min(homes) < 125.0 and 155.0 < max(homes) <= 160.5


def test_where_all_places_fail_the_waits_grow_to_a_bound() -> None:
    mine = places(2)
    waits = [mine.record_failure(float(n)) for n in range(40)]
    assert max(waits[:2]) <= 0.5 and min(waits[-10:]) >= 1.0 and max(waits) <= 3.0
    mine.record_success()
    assert mine.record_failure(50.0) <= 0.5


def test_a_lone_place_stays_the_one_that_is_asked() -> None:
    mine = places(1)
    for n in range(5):
        assert mine.record_failure(float(n)) > 0.0
        assert mine.current == mine.primary == ("h", 0) and not mine.should_check_primary(1e9)
