"""Fleet size and ordinals: members agree on them, changes are damped, doubtful views change nothing."""

import math
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from larkcrank.core.balancer import Balancer
from larkcrank.core.interface import Endpoint, FleetSize, ServerList, Settings
from larkcrank.fleet import ranks as module
from larkcrank.fleet.ranks import (
    HOLD_MS,
    MAX_HOLD_MS,
    MAX_INSTANCES_HOLD_MS,
    PARTITION_HOLD_MS,
    DistrustReason,
    FleetSizeTracker,
    ordinal_of,
)
from larkcrank.lab.virtual import VirtualFleet
from tests.test_balancer import CLASSES

name_sets = st.sets(st.text(max_size=6), min_size=1, max_size=30)


@given(name_sets)
def test_ordinals_are_distinct_and_independent_of_the_order_of_names(names: set[str]) -> None:
    assert sorted(ordinal_of(name, names) for name in names) == list(range(len(names)))
    assert all(
        ordinal_of(name, sorted(names)) == ordinal_of(name, sorted(names, reverse=True)) for name in names
    )


@given(name_sets, st.text(max_size=6))
def test_one_more_member_shifts_each_ordinal_by_at_most_one(names: set[str], new_name: str) -> None:
    more_names = names | {new_name}
    assert all(ordinal_of(name, more_names) - ordinal_of(name, names) in (0, 1) for name in names)


class TrackerHarness:
    """A tracker, and the view that it observes."""

    def __init__(self, live_count: int, configured_count: int = 10, name: str = "n0") -> None:
        self.now, self.live_names = 0.0, {f"n{index}" for index in range(live_count)}
        self.tracker = FleetSizeTracker(name, configured_count, 3, 0.0)
        self.sizes: list[FleetSize] = []
        self.digest_mismatch_at = -math.inf
        self.is_slow = False

    def run(self, ms: float) -> list[FleetSize]:
        """Return the sizes that were reported in that time."""
        before = len(self.sizes)
        until = self.now + ms
        while self.now < until:
            self.now += 1000.0
            first_contact_at = 500.0 if len(self.live_names) > 1 else math.inf
            size = self.tracker.observe(
                self.now, self.live_names, first_contact_at, self.digest_mismatch_at, self.is_slow
            )
            self.sizes += [size] if size is not None else []
        return self.sizes[before:]


def test_the_configuration_applies_until_the_view_is_trusted() -> None:
    harness = TrackerHarness(12)
    # More members live than are configured, so the higher number counts as the maximum at once.
    assert harness.run(2000) == [FleetSize(10, 3, 12)]
    assert harness.tracker.distrust_reason is DistrustReason.JUST_STARTED
    harness.run(10_000)
    assert harness.tracker.current == FleetSize(12, ordinal_of("n0", harness.live_names), 12)


def test_a_member_without_contact_counts_itself_as_alone_after_a_while() -> None:
    harness = TrackerHarness(1)
    harness.run(4000)
    assert harness.sizes == []  # ten are configured, and may not have been heard yet
    harness.run(4000)
    assert harness.tracker.current == FleetSize(1, 0, 1)


def test_a_restart_changes_no_ordinal_and_a_death_only_after_the_hold_time() -> None:
    harness = TrackerHarness(20)
    harness.run(10_000)
    size_before = harness.tracker.current
    harness.live_names.discard("n7")
    harness.run(HOLD_MS - 2000)
    harness.live_names.add("n7")
    harness.run(60_000)
    # The only move is the first one, away from the configuration.
    assert harness.tracker.current == size_before and harness.tracker.move_count == 1
    harness.live_names.discard("n7")
    assert harness.run(HOLD_MS - 2000) == []
    harness.run(60_000)
    assert harness.tracker.current.count == 19
    assert harness.tracker.current.max_instances == 20  # it may be alive, but unreachable from here
    harness.run(MAX_INSTANCES_HOLD_MS)
    assert harness.tracker.current.max_instances == 19


def test_a_flapping_member_shifts_the_others_less_and_less_often() -> None:
    """A member is away for 20 s and back for 20 s, for an hour. Without damping, that makes 180 moves."""
    harness = TrackerHarness(20)
    harness.run(10_000)
    for _ in range(90):
        harness.live_names.discard("n7")
        harness.run(20_000)
        harness.live_names.add("n7")
        harness.run(20_000)
    assert harness.tracker.move_count <= 6
    harness.run(MAX_HOLD_MS)
    assert harness.tracker.current.count == 20


def test_the_loss_of_many_members_at_once_changes_ordinals_only_after_a_hold_time() -> None:
    """A third of the fleet is lost, by a partition or because it died.

    The ordinals are kept at first, and the maximum number of instances is kept for longer.
    """
    harness = TrackerHarness(21)
    harness.run(10_000)
    size_before = harness.tracker.current
    harness.live_names -= {f"n{index}" for index in range(14, 21)}
    harness.run(PARTITION_HOLD_MS - 2000)
    assert (
        harness.tracker.distrust_reason is DistrustReason.POSSIBLE_PARTITION
        and harness.tracker.current == size_before
    )
    harness.run(20_000)
    assert harness.tracker.current == FleetSize(14, ordinal_of("n0", harness.live_names), 21)


@pytest.mark.parametrize("reason", [DistrustReason.SLOW_PROCESS, DistrustReason.UNSETTLED])
def test_an_unsettled_view_and_a_slow_process_change_no_ordinal(reason: DistrustReason) -> None:
    harness = TrackerHarness(20)
    harness.run(10_000)
    size_before = harness.tracker.current
    harness.is_slow, harness.digest_mismatch_at = (
        reason is DistrustReason.SLOW_PROCESS,
        math.inf if reason is DistrustReason.UNSETTLED else -math.inf,
    )
    harness.live_names |= {"x", "y"}
    harness.run(8000)
    assert harness.tracker.distrust_reason is reason
    assert harness.tracker.current == FleetSize(size_before.count, size_before.ordinal, 22)
    harness.is_slow = False  # a view that never settles is used after a while
    harness.run(20_000)
    assert harness.tracker.current.count == 22


def test_memory_is_bounded_by_the_fleet_and_not_by_its_history() -> None:
    harness = TrackerHarness(5)
    for index in range(500):
        harness.live_names = {"n0", f"x{index}"}
        harness.run(10_000)
    tracker = harness.tracker
    assert max(len(tracker._lost_members), len(tracker._death_weights)) <= 2 * MAX_INSTANCES_HOLD_MS / 10_000


@pytest.mark.parametrize("seed", range(6))
def test_a_fleet_agrees_on_ordinals_after_joins_deaths_and_partitions(seed: int) -> None:
    rng = Random(seed)
    world = VirtualFleet(14, seed)
    world.run(30_000)
    assert world.has_converged() and world.has_correct_ordinals()
    world.kill(rng.sample(range(14), 4))
    world.run(120_000)
    assert world.has_correct_ordinals()
    world.is_link_cut = lambda a, b: a % 2 != b % 2
    world.run(120_000)
    sizes = [world.ranks[number].current for number in world.members]
    assert all(
        size.count < 10 <= size.max_instances for size in sizes
    )  # the members of each side cover all servers by themselves
    world.is_link_cut = lambda a, b: False
    world.run(120_000)
    assert world.has_converged() and world.has_correct_ordinals()


def test_a_partition_of_half_a_minute_changes_no_ordinal() -> None:
    world = VirtualFleet(12, 1)
    world.run(30_000)
    before = len(world.reported_sizes)
    world.is_link_cut = lambda a, b: (a < 6) != (b < 6)
    world.run(25_000)
    assert len(world.deaths) > 30
    world.is_link_cut = lambda a, b: False
    world.run(60_000)
    assert all(tracker.move_count <= 1 for tracker in world.ranks.values()) and world.has_correct_ordinals()
    assert {size.count for _, _, size in world.reported_sizes[before:]} <= {12}


# How the balancer uses the size


def servers_by_balancer(count: int, sizes: list[FleetSize], server_count: int = 60) -> list[set[bytes]]:
    """Return, for each of several balancers, the addresses of the servers that it uses."""
    endpoints = tuple(Endpoint(b"s%d" % index) for index in range(server_count))
    used_servers = []
    for index in range(count):
        balancer = Balancer(Settings(CLASSES, instances=20, ordinal=index % 20), Random(index), 0.0)
        balancer.handle(0.0, ServerList(endpoints, complete=True))
        balancer.handle(1.0, sizes[index])
        used_servers.append({server.endpoint.address for server in balancer._ring})
    return used_servers


def test_server_subsets_follow_the_fleet_size_and_cover_every_server() -> None:
    """Forty instances run where twenty are configured, so that each configured ordinal occurs twice."""
    sizes = [FleetSize(40, index, 40) for index in range(40)]
    subsets = servers_by_balancer(40, sizes)
    users_per_server = [sum(b"s%d" % index in subset for subset in subsets) for index in range(60)]
    assert min(users_per_server) >= 4 and max(users_per_server) <= 7
    assert len({frozenset(subset) for subset in subsets}) == 40
    all_servers = servers_by_balancer(1, [FleetSize(1, 0, 1)])[0]
    assert len(all_servers) == 60


def test_the_limit_of_requests_in_flight_depends_on_the_maximum_number_of_instances() -> None:
    """Instances beyond a partition may still send to the same servers, so they count for the limit."""
    endpoints = tuple(Endpoint(b"s%d" % index) for index in range(10))

    def max_in_flight(size: FleetSize) -> float:
        balancer = Balancer(Settings(CLASSES, instances=2), Random(1), 0.0)
        balancer.handle(0.0, ServerList(endpoints, complete=True))
        balancer.handle(1.0, size)
        balancer.handle(2.0, size)
        return balancer._max_in_flight

    assert (
        max_in_flight(FleetSize(2, 0, 20))
        == max_in_flight(FleetSize(20, 0, 20))
        < max_in_flight(FleetSize(2, 0, 2))
    )


def test_without_hold_times_a_partition_changes_ordinals(monkeypatch: pytest.MonkeyPatch) -> None:
    """Checks that the test of a short partition fails if partitions are not detected and nothing is held."""
    monkeypatch.setattr(module, "PARTITION_LOSS_SHARE", 1.0)
    monkeypatch.setattr(module, "HOLD_MS", 0.0)
    with pytest.raises(AssertionError):
        test_a_partition_of_half_a_minute_changes_no_ordinal()
