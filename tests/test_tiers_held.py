"""Counting which sidecars hold which generation, and summing this up from tier to tier."""

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


def laggard(peer: str, since_s: float, generation: int = 0) -> Laggard:
    return Laggard("z", "doors[0]", peer, generation, since_s)


def test_summary_is_in_the_generations_of_the_parent() -> None:
    parent_generations, progress = ParentGenerations(), SidecarProgress()
    parent_generations.record(1, 1001)
    parent_generations.record(2, 1005)
    parent_generations.record(2, 1006)  # a parent generation that changed nothing in this tier
    parent_generations.record(4, 1009)
    for sequence, count in ((4, 300), (3, 20), (1, 5), (0, 1), (-1, 2)):
        progress.add(sequence, count)
    progress.laggards.append((1, laggard("p:1", 4.0)))
    summary = held.summarize("z", progress, parent_generations)
    assert summary.holders == [(0, 3), (1001, 5), (1006, 20), (1009, 300)]
    assert summary.laggards == [laggard("p:1", 4.0, 1001)]
    assert held.decode(held.encode(summary)) == summary


@given(st.dictionaries(st.integers(-1, 200), st.integers(1, 50), max_size=60))
@settings(deadline=None)
def test_truncated_summary_counts_every_sidecar_and_overstates_none(counts: dict[int, int]) -> None:
    parent_generations, progress = ParentGenerations(), SidecarProgress()
    for sequence in range(201):
        parent_generations.record(sequence, 5000 + sequence)
    for sequence, count in counts.items():
        progress.add(sequence, count)
    summary = held.summarize("z", progress, parent_generations)
    assert len(summary.holders) <= held.MAX_SUMMARY_BUCKETS
    assert sum(count for _, count in summary.holders) == sum(counts.values())
    for generation in range(5000, 5201):
        exact = sum(count for sequence, count in counts.items() if sequence >= generation - 5000)
        assert (
            sum(count for held_generation, count in summary.holders if held_generation >= generation) <= exact
        )


def test_summary_names_a_limited_number_of_the_longest_lagging_sidecars() -> None:
    progress = SidecarProgress()
    for n in range(50):
        progress.add(3)
        progress.laggards.append((3, laggard(f"p:{n}", float(n))))
    summary = held.summarize("z", progress, ParentGenerations())
    assert [one.peer for one in summary.laggards] == [f"p:{n}" for n in range(49, 29, -1)]
    assert (
        progress.longest_lagging(sequence=3) == []
        and len(progress.longest_lagging(sequence=4)) == held.MAX_LAGGARDS
    )


def test_a_child_summary_replaces_the_last_one_and_expires_into_a_silent_child() -> None:
    children = ChildSummaries(3.0)
    children.add(Summary("z", [(7, 10)], []), 100.0)
    children.add(Summary("z", [(8, 10)], []), 101.0)
    children.add(Summary("y", [(8, 4)], []), 103.5)
    assert [summary.holders for summary in children.valid(104.0)] == [[(8, 10)], [(8, 4)]]
    assert [summary.tier for summary in children.valid(104.5)] == ["y"]
    assert children.silent(105.0) == {"z": 4.0}
    assert children.silent(101.0 + held.FORGET_CHILD_S + 1.0).keys() == {"y"}
    for n in range(1000):
        children.add(Summary(f"t{n}", [], []), 200.0)
    assert len(children.valid(200.0)) == held.MAX_CHILD_SUMMARIES


def test_change_times_tell_since_when_a_change_is_missing() -> None:
    change_times = ChangeTimes()
    for sequence, at in ((1, 10.0), (2, 10.1), (3, 11.0), (4, 15.0)):
        change_times.record(sequence, at)
    assert (
        change_times.first_after(4) is None
        and change_times.first_after(3) == 15.0
        and change_times.first_after(2) == 11.0
    )
    assert change_times.first_after(0) == change_times.first_after(-1) == 10.0
    for sequence in range(5, 5000):
        change_times.record(sequence, float(sequence) + 20.0)
    assert change_times.first_after(4990) == 5011.0


def test_monitor_reports_when_all_hold_a_change_and_when_some_lack_it_for_too_long() -> None:
    monitor = PropagationMonitor(3.0)
    assert monitor.check(5, 10.0) is None and not monitor.has_pending
    monitor.record(6, 10.0)
    monitor.record(7, 10.5)
    assert monitor.check(5, 11.0) is None
    assert monitor.check(6, 11.5) == ("held", 6, 1.5)
    assert monitor.check(6, 13.0) is None
    assert monitor.check(6, 13.75) == ("lagging", 7, 3.25)
    assert monitor.check(6, 20.0) is None  # reported already
    assert monitor.check(6, 13.75 + held.LAG_REPEAT_S) == ("lagging", 7, 3.25 + held.LAG_REPEAT_S)
    assert monitor.check(9, 50.0) == ("held", 7, 39.5)
    monitor.record(10, 60.0)
    assert monitor.check(None, 61.0) is None and not monitor.has_pending  # there are no sidecars


def test_an_invalid_summary_is_rejected() -> None:
    for text in (b"", b"{}", b"[1,[],[]]", b'["z",[[-1,2]],[]]', b'["z",[[1,2]]', b"\xff"):
        assert held.decode(text) is None
    too_many_buckets = b'["z",[' + b",".join(b"[%d,1]" % n for n in range(17)) + b"],[]]"
    assert held.decode(too_many_buckets) is None
    assert held.decode(b'["%s",[],[]]' % (b"x" * 129)) is None
