"""How many there are and which place is one's own: the same everywhere, damped, safe in doubt."""

import math
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from larkcrank.core.balancer import Balancer
from larkcrank.core.interface import Endpoint, FleetSize, ServerList, Settings
from larkcrank.fleet import ranks as module
from larkcrank.fleet.ranks import CUT_MS, HOLD_MOST_MS, HOLD_MS, RECKON_MS, Doubt, Ranks, rank_of
from larkcrank.lab.virtual import VirtualFleet
from tests.test_balancer import CLASSES

names = st.sets(st.text(max_size=6), min_size=1, max_size=30)


@given(names)
def test_places_are_distinct_and_the_same_in_any_order(live: set[str]) -> None:
    assert sorted(rank_of(name, live) for name in live) == list(range(len(live)))
    assert all(rank_of(name, sorted(live)) == rank_of(name, sorted(live, reverse=True)) for name in live)


@given(names, st.text(max_size=6))
def test_one_more_moves_nobody_by_more_than_one(live: set[str], name: str) -> None:
    more = live | {name}
    assert all(rank_of(one, more) - rank_of(one, live) in (0, 1) for one in live)


class Watched:
    """One member's ranks, and the view that it is shown."""

    def __init__(self, live: int, configured: int = 10, name: str = "n0") -> None:
        self.now, self.live = 0.0, {f"n{index}" for index in range(live)}
        self.ranks = Ranks(name, configured, 3, 0.0)
        self.told: list[FleetSize] = []
        self.differed_at = -math.inf
        self.slow = False

    def run(self, ms: float) -> list[FleetSize]:
        """What it was told in that time."""
        before = len(self.told)
        until = self.now + ms
        while self.now < until:
            self.now += 1000.0
            met_at = 500.0 if len(self.live) > 1 else math.inf
            told = self.ranks.observe(self.now, self.live, met_at, self.differed_at, self.slow)
            self.told += [told] if told is not None else []
        return self.told[before:]


def test_it_goes_by_the_configuration_until_the_view_is_trusted() -> None:
    one = Watched(12)
    assert one.run(2000) == [FleetSize(10, 3, 12)]  # more live than is configured: at once the safer number
    assert one.ranks.doubt is Doubt.STARTED
    one.run(10_000)
    assert one.ranks.told == FleetSize(12, rank_of("n0", one.live), 12)


def test_who_meets_nobody_is_alone_after_a_while() -> None:
    one = Watched(1)
    one.run(4000)
    assert one.told == []  # ten are configured: it may just not have heard them yet
    one.run(4000)
    assert one.ranks.told == FleetSize(1, 0, 1)


def test_a_restart_moves_nobody_and_a_death_only_after_its_hold() -> None:
    one = Watched(20)
    one.run(10_000)
    place = one.ranks.told
    one.live.discard("n7")
    one.run(HOLD_MS - 2000)
    one.live.add("n7")
    one.run(60_000)
    assert one.ranks.told == place and one.ranks.moves == 1  # the first, from the configuration
    one.live.discard("n7")
    assert one.run(HOLD_MS - 2000) == []
    one.run(60_000)
    assert one.ranks.told.count == 19
    assert one.ranks.told.max_instances == 20  # it may live on where we can't see it
    one.run(RECKON_MS)
    assert one.ranks.told.max_instances == 19


def test_a_member_that_flaps_shifts_the_others_ever_more_seldom() -> None:
    """Away for 20 s, back for 20 s, over an hour: undamped that were 180 moves."""
    one = Watched(20)
    one.run(10_000)
    for _ in range(90):
        one.live.discard("n7")
        one.run(20_000)
        one.live.add("n7")
        one.run(20_000)
    assert one.ranks.moves <= 6
    one.run(HOLD_MOST_MS)
    assert one.ranks.told.count == 20


def test_many_lost_at_one_moment_move_nobody_until_it_is_plain() -> None:
    """Cut off, or a third killed: parts stand first, and the larger number is reckoned with for longer."""
    one = Watched(21)
    one.run(10_000)
    place = one.ranks.told
    one.live -= {f"n{index}" for index in range(14, 21)}
    one.run(CUT_MS - 2000)
    assert one.ranks.doubt is Doubt.CUT and one.ranks.told == place
    one.run(20_000)
    assert one.ranks.told == FleetSize(14, rank_of("n0", one.live), 21)


@pytest.mark.parametrize("why", [Doubt.SLOW, Doubt.MOVING])
def test_a_view_on_the_move_and_a_slow_self_move_nobody(why: Doubt) -> None:
    one = Watched(20)
    one.run(10_000)
    place = one.ranks.told
    one.slow, one.differed_at = why is Doubt.SLOW, math.inf if why is Doubt.MOVING else -math.inf
    one.live |= {"x", "y"}
    one.run(8000)
    assert one.ranks.doubt is why
    assert one.ranks.told == FleetSize(place.count, place.ordinal, 22)
    one.slow = False  # a view that never comes to rest is taken as it is
    one.run(20_000)
    assert one.ranks.told.count == 22


def test_what_is_remembered_is_bounded_by_the_fleet_not_by_its_history() -> None:
    one = Watched(5)
    for index in range(500):
        one.live = {"n0", f"x{index}"}
        one.run(10_000)
    ranks = one.ranks
    assert max(len(ranks._lost), len(ranks._deaths)) <= 2 * RECKON_MS / 10_000


@pytest.mark.parametrize("seed", range(6))
def test_a_fleet_places_itself_after_joins_deaths_and_splits(seed: int) -> None:
    rng = Random(seed)
    world = VirtualFleet(14, seed)
    world.run(30_000)
    assert world.has_converged() and world.has_correct_ordinals()
    world.kill(rng.sample(range(14), 4))
    world.run(120_000)
    assert world.has_correct_ordinals()
    world.is_link_cut = lambda a, b: a % 2 != b % 2
    world.run(120_000)
    told = [world.ranks[number].told for number in world.members]
    assert all(
        one.count < 10 <= one.max_instances for one in told
    )  # each side keeps to all servers by itself
    world.is_link_cut = lambda a, b: False
    world.run(120_000)
    assert world.has_converged() and world.has_correct_ordinals()


def test_in_a_fleet_that_is_cut_for_half_a_minute_nobody_moves() -> None:
    world = VirtualFleet(12, 1)
    world.run(30_000)
    before = len(world.reported_sizes)
    world.is_link_cut = lambda a, b: (a < 6) != (b < 6)
    world.run(25_000)
    assert len(world.deaths) > 30
    world.is_link_cut = lambda a, b: False
    world.run(60_000)
    assert all(ranks.moves <= 1 for ranks in world.ranks.values()) and world.has_correct_ordinals()
    assert {told.count for _, _, told in world.reported_sizes[before:]} <= {12}


# What the balancer makes of it


def rings(count: int, told: list[FleetSize], servers: int = 60) -> list[set[bytes]]:
    endpoints = tuple(Endpoint(b"s%d" % index) for index in range(servers))
    found = []
    for index in range(count):
        balancer = Balancer(Settings(CLASSES, instances=20, ordinal=index % 20), Random(index), 0.0)
        balancer.handle(0.0, ServerList(endpoints, complete=True))
        balancer.handle(1.0, told[index])
        found.append({server.endpoint.address for server in balancer._ring})
    return found


def test_parts_follow_the_size_and_cover_every_server() -> None:
    """Forty where twenty are configured: two of each ordinal, so that shares and parts are wrong."""
    told = [FleetSize(40, index, 40) for index in range(40)]
    parts = rings(40, told)
    covers = [sum(b"s%d" % index in part for part in parts) for index in range(60)]
    assert min(covers) >= 4 and max(covers) <= 7
    assert len({frozenset(part) for part in parts}) == 40
    alone = rings(1, [FleetSize(1, 0, 1)])[0]
    assert len(alone) == 60


def test_what_is_owed_goes_by_the_larger_number() -> None:
    """Half may be cut off from us and send to the same servers: our shared places stay those of all."""
    endpoints = tuple(Endpoint(b"s%d" % index) for index in range(10))

    def owed(size: FleetSize) -> float:
        balancer = Balancer(Settings(CLASSES, instances=2), Random(1), 0.0)
        balancer.handle(0.0, ServerList(endpoints, complete=True))
        balancer.handle(1.0, size)
        balancer.handle(2.0, size)
        return balancer._max_in_flight

    assert owed(FleetSize(2, 0, 20)) == owed(FleetSize(20, 0, 20)) < owed(FleetSize(2, 0, 2))


def test_the_search_finds_places_that_are_not_held(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without the doubt of a cut, everybody's servers shift in a cut of half a minute."""
    monkeypatch.setattr(module, "CUT_SHARE", 1.0)
    monkeypatch.setattr(module, "HOLD_MS", 0.0)
    with pytest.raises(AssertionError):
        test_in_a_fleet_that_is_cut_for_half_a_minute_nobody_moves()
