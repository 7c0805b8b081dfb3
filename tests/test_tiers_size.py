"""The tiers' own program in virtual time, small: waits and limits are exact there, whatever the machine does.

The same at full size, 12,000 receivers below 33 zones: `python -m larkcrank.lab.scale.virtual_way`.
"""

from collections.abc import Iterator

import pytest

from larkcrank.lab.scale.virtual_way import Played, World

SIZE, REGIONS, ZONES = 280, 3, 6


@pytest.fixture
def played() -> Iterator[Played]:
    world = World(SIZE, REGIONS, ZONES, tier_wholes_per_s=5)
    try:
        world.start()
        yield Played(world, lambda text: None)
        assert world.faults() == []
        assert world.events("crashed") == 0
    finally:
        world.close()


def test_lone_changes_and_bursts_are_in_force_within_the_calm_limit(played: Played) -> None:
    played.evenly("lone", 10, 20.0)
    played.evenly("burst", 60, 10.0)
    for case in played.cases.values():
        assert case["missed"] == 0
        # Three waits of at most 100 ms for a wave, and five ways of at most 40 ms; the limit is 3 s.
        assert case["last_s"] <= 0.6, case
    assert played.cases["lone"]["median_s"] < 0.1  # nothing waits where nothing went before


def test_a_lost_zone_is_gathered_and_a_drain_behind_it_is_told_as_soon(played: Played) -> None:
    played.zone_lost()
    case = played.cases["zone lost"]
    assert case["missed"] == 0 and case["last_s"] <= 0.6
    assert case["drain_behind_s"] <= 0.4
    assert case["answers"] <= 3 * SIZE, "told line by line"


def test_a_killed_region_is_replaced_by_a_neighbour_within_the_limit_and_without_a_herd(
    played: Played,
) -> None:
    played.region_killed()
    case = played.cases["region's tier killed"]
    assert case["missed"] == 0 and case["last_s"] <= 6.0
    assert case["connections_at_a_neighbour"] <= 2 * case["zones_below"]
    assert case["sidecars_told_whole"] == 0
    assert played.cases["region's tier back"]["agreed"]


def test_sidecars_of_a_killed_zone_come_to_the_neighbour_one_by_one(played: Played) -> None:
    played.zone_killed()
    case = played.cases["zone's tier killed"]
    assert case["missed"] == 0 and case["last_s"] <= 6.0
    assert case["whole_answers"] == case["sidecars"]
    # Drawn over half a second: of 47 some ten a tenth of a second. All at once were 47.
    assert case["most_whole_in_100_ms"] <= case["sidecars"] // 2


def test_after_a_cut_both_sides_agree_without_a_whole_list_each(played: Played) -> None:
    played.region_cut(60.0)
    case = played.cases["region cut off"]
    assert case["agreed_after_s"] is not None and case["agreed_after_s"] <= 10.0
    assert case["told_late"] > 0, "the cut did not hold anything up"
    assert case["sidecars_told_whole"] == 0
    assert case["tiers_asked_whole"] == 0


def test_when_all_tiers_are_back_whole_lists_go_at_their_rates_and_nobody_loses_any() -> None:
    world = World(SIZE, REGIONS, ZONES, tier_wholes_per_s=1, wholes_per_s=20)
    try:
        world.start()
        played = Played(world, lambda text: None)
        played.all_lost()
        case = played.cases["all tiers lost"]
        assert case["kept"] and world.faults() == [] and world.events("crashed") == 0
        assert case["agreed_after_s"] is not None
        assert case["sidecars_told_whole"] == SIZE
        assert case["origin_whole_answers"] <= 2 + case["agreed_after_s"], case
        assert case["most_whole_at_a_zone_in_100_ms"] <= 3, case  # 47 sidecars a zone, 20 a second
    finally:
        world.close()
