"""Who holds what, summed up the tiers."""

from hypothesis import given, settings
from hypothesis import strategies as st

from larkcrank.tiers import held
from larkcrank.tiers.held import (
    ChangeTimes,
    ChildSummaries,
    Laggard,
    ParentGenerations,
    PropagationMonitor,
    SidecarProgress,
    Summary,
)


def late(peer: str, since_s: float, generation: int = 0) -> Laggard:
    return Laggard("z", "doors[0]", peer, generation, since_s)


def test_what_is_held_is_told_in_the_generations_of_the_tier_above() -> None:
    steps, standing = ParentGenerations(), SidecarProgress()
    steps.record(1, 1001)
    steps.record(2, 1005)
    steps.record(2, 1006)  # nothing changed here between these
    steps.record(4, 1009)
    for count, number in ((4, 300), (3, 20), (1, 5), (0, 1), (-1, 2)):
        standing.add(count, number)
    standing.laggards.append((1, late("p:1", 4.0)))
    told = held.summarize("z", standing, steps)
    assert told.holders == [(0, 3), (1001, 5), (1006, 20), (1009, 300)]
    assert told.laggards == [late("p:1", 4.0, 1001)]
    assert held.decode(held.encode(told)) == told


@given(st.dictionaries(st.integers(-1, 200), st.integers(1, 50), max_size=60))
@settings(deadline=None)
def test_a_long_summary_counts_all_and_nobody_higher_than_he_is(counts: dict[int, int]) -> None:
    steps, standing = ParentGenerations(), SidecarProgress()
    for count in range(201):
        steps.record(count, 5000 + count)
    for count, number in counts.items():
        standing.add(count, number)
    told = held.summarize("z", standing, steps)
    assert len(told.holders) <= held.MAX_SUMMARY_BUCKETS
    assert sum(number for _, number in told.holders) == sum(counts.values())
    for generation in range(5000, 5201):
        exact = sum(number for count, number in counts.items() if count >= generation - 5000)
        assert sum(number for held_, number in told.holders if held_ >= generation) <= exact


def test_those_late_for_longest_are_named_and_not_all_of_them() -> None:
    standing = SidecarProgress()
    for n in range(50):
        standing.add(3)
        standing.laggards.append((3, late(f"p:{n}", float(n))))
    told = held.summarize("z", standing, ParentGenerations())
    assert [one.peer for one in told.laggards] == [f"p:{n}" for n in range(49, 29, -1)]
    assert (
        standing.longest_lagging(sequence=3) == []
        and len(standing.longest_lagging(sequence=4)) == held.MAX_LAGGARDS
    )


def test_a_tier_is_replaced_by_its_own_summary_which_ages_out_and_is_then_told_silent() -> None:
    below = ChildSummaries(3.0)
    below.add(Summary("z", [(7, 10)], []), 100.0)
    below.add(Summary("z", [(8, 10)], []), 101.0)
    below.add(Summary("y", [(8, 4)], []), 103.5)
    assert [one.holders for one in below.valid(104.0)] == [[(8, 10)], [(8, 4)]]
    assert [one.tier for one in below.valid(104.5)] == ["y"]
    assert below.silent(105.0) == {"z": 4.0}
    assert below.silent(101.0 + held.FORGET_CHILD_S + 1.0).keys() == {"y"}
    for n in range(1000):
        below.add(Summary(f"t{n}", [], []), 200.0)
    assert len(below.valid(200.0)) == held.MAX_CHILD_SUMMARIES


def test_since_when_a_change_is_missing() -> None:
    marks = ChangeTimes()
    for count, at in ((1, 10.0), (2, 10.1), (3, 11.0), (4, 15.0)):
        marks.record(count, at)
    assert marks.first_after(4) is None and marks.first_after(3) == 15.0 and marks.first_after(2) == 11.0
    assert marks.first_after(0) == marks.first_after(-1) == 10.0
    for count in range(5, 5000):
        marks.record(count, float(count) + 20.0)
    assert marks.first_after(4990) == 5011.0


def test_it_is_said_when_all_hold_a_change_and_when_some_lack_it_too_long() -> None:
    watch = PropagationMonitor(3.0)
    assert watch.check(5, 10.0) is None and not watch.has_pending
    watch.record(6, 10.0)
    watch.record(7, 10.5)
    assert watch.check(5, 11.0) is None
    assert watch.check(6, 11.5) == ("held", 6, 1.5)
    assert watch.check(6, 13.0) is None
    assert watch.check(6, 13.75) == ("lagging", 7, 3.25)
    assert watch.check(6, 20.0) is None  # said already
    assert watch.check(6, 13.75 + held.LAG_REPEAT_S) == ("lagging", 7, 3.25 + held.LAG_REPEAT_S)
    assert watch.check(9, 50.0) == ("held", 7, 39.5)
    watch.record(10, 60.0)
    assert watch.check(None, 61.0) is None and not watch.has_pending  # nobody is there


def test_a_summary_that_is_none_is_not_taken() -> None:
    for text in (b"", b"{}", b"[1,[],[]]", b'["z",[[-1,2]],[]]', b'["z",[[1,2]]', b"\xff"):
        assert held.decode(text) is None
    many = b'["z",[' + b",".join(b"[%d,1]" % n for n in range(17)) + b"],[]]"
    assert held.decode(many) is None
    assert held.decode(b'["%s",[],[]]' % (b"x" * 129)) is None
