"""The list as a tier holds it: whatever the order, repetition and detours of what it is told."""

from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from larkcrank.tiers.state import (
    SEQUENCE_BITS,
    DiscoveryRecord,
    InstanceRecord,
    InstanceTable,
    Version,
    new_generation_prefix,
)

SERVICES = ("a", "b")


def told(id: str, lifecycle: str, service: str = "a") -> DiscoveryRecord:
    return DiscoveryRecord(id, service, lifecycle == "Gone", f"{id} {lifecycle}".encode())


def state(name: str, epoch: int = 1, drawn: int = 1, tombstones: int = 20_000) -> InstanceTable:
    return InstanceTable(name, epoch, new_generation_prefix(epoch, drawn), tombstones)


def copied(lines: Sequence[InstanceRecord]) -> list[InstanceRecord]:
    return [replace(line, source="", changed_seq=0, content_changed_seq=0) for line in lines]


def alive(held: InstanceTable) -> dict[str, tuple[str, bytes]]:
    return {line.instance_id: (line.service, line.body) for line in held.live_records(None)}


def ranks(held: InstanceTable) -> dict[str, Any]:
    return {line.instance_id: (line.precedence, line.body) for line in held.records()}


LINES = st.lists(
    st.builds(
        lambda id, service, owner, version, gone: InstanceRecord(
            id, service, owner, version, gone, f"{owner} {version}".encode()
        ),
        st.sampled_from("wxyz"),
        st.sampled_from(SERVICES),
        st.sampled_from(("r1", "r2")),
        st.tuples(st.integers(1, 2), st.integers(1, 4)),
        st.booleans(),
    ),
    max_size=12,
    unique_by=lambda line: (line.instance_id, line.precedence),
)


@given(LINES, st.data())
@settings(max_examples=300, deadline=None)
def test_merging_is_idempotent_commutative_and_associative(
    lines: list[InstanceRecord], data: st.DataObject
) -> None:
    straight = state("t")
    straight.merge(copied(lines), {}, False, 0.0)
    other = state("t")
    for line in data.draw(st.permutations(lines + lines)):  # in any order, each twice, one at a time
        other.merge(copied([line]), {}, False, 0.0)
    assert ranks(other) == ranks(straight)
    halves = state("t")
    cut = data.draw(st.integers(0, len(lines)))
    first, second = state("u"), state("v")
    first.merge(copied(lines[cut:]), {}, False, 0.0)
    second.merge(copied(lines[:cut]), {}, False, 0.0)
    for part in (first, second, first):  # merged elsewhere before
        halves.merge(copied(part.changes_for_tier(-1)), part.known_versions_of(), False, 0.0)
    assert ranks(halves) == ranks(straight)
    assert not halves.merge(copied(straight.changes_for_tier(-1)), {}, False, 0.0)


class Copy:
    """What a plain sidecar holds that watches some services of a tier."""

    def __init__(self, services: Sequence[str] | None) -> None:
        self.services = services
        self.generation: int | None = None
        self.lines: dict[str, bytes] = {}

    def ask(self, tier: InstanceTable) -> None:
        count = None if self.generation is None else tier.sequence_of(self.generation)
        if count is None or not tier.can_answer_since(count, for_tier=False):
            self.lines = {line.instance_id: line.body for line in tier.live_records(self.services)}
        else:
            for line in tier.changes_for_sidecar(self.services, count):
                if line.gone:
                    self.lines.pop(line.instance_id, None)
                else:
                    self.lines[line.instance_id] = line.body
        self.generation = tier.generation


class World:
    """Two regions, an origin above and two zones below, in any order of events."""

    FOLLOWS = (("o", "r1"), ("o", "r2"), ("r1", "o"), ("r2", "o"), ("z1", "r1"), ("z1", "r2"), ("z2", "r2"))

    def __init__(self, tombstones: int) -> None:
        self.tombstones = tombstones
        self.now = 1
        self.tiers = {name: self.fresh(name) for name in ("o", "r1", "r2", "z1", "z2")}
        self.after: dict[tuple[str, str], int] = {}
        self.truth: dict[str, dict[str, DiscoveryRecord]] = {"r1": {}, "r2": {}}
        self.ever: set[str] = set()
        self.retired: set[str] = set()
        self.seen_gone: dict[str, set[str]] = {name: set() for name in self.tiers}
        self.kept: dict[str, tuple[list[InstanceRecord], dict[str, Version]]] = {}
        self.copies = [
            ("z1", Copy(("a",))),
            ("z1", Copy(None)),
            ("z2", Copy(("a", "b"))),
            ("r1", Copy(("b",))),
        ]
        for name in self.truth:
            self.hear(name)

    def fresh(self, name: str) -> InstanceTable:
        self.now += 1
        return state(name, self.now, self.now, self.tombstones)

    def hear(self, region: str) -> None:
        """The region's discovery tells its whole list."""
        tier = self.tiers[region]
        tier.apply_discovery("d", self.truth[region].values(), True, self.now)
        if not tier.own_records_complete:
            tier.own_records_complete = True
            tier.replace_generation_prefix(new_generation_prefix(self.now, 99))

    def set_up(self, region: str, id: str, lifecycle: str, service: str) -> None:
        if id not in self.retired:
            self.ever.add(id)
            for other in self.truth:
                if other != region and self.truth[other].pop(id, None) is not None:
                    self.tiers[other].apply_discovery("d", [told(id, "Gone")], False, self.now)
            self.truth[region][id] = one = told(id, lifecycle, service)
            if self.tiers[region].own_records_complete:
                self.tiers[region].apply_discovery("d", [one], False, self.now)

    def retire(self, region: str, id: str, heard: bool) -> None:
        if self.truth[region].pop(id, None) is not None:
            self.retired.add(id)
            if heard:
                self.tiers[region].apply_discovery("d", [told(id, "Gone")], False, self.now)

    def pull(self, who: str, whom: str, whole: bool = False) -> None:
        """`who` asks `whom`, who answers as its door does."""
        receiver, sender = self.tiers[who], self.tiers[whom]
        owners = sender.subtree_owners if who == "o" else None
        after = None if whole else self.after.get((who, whom))
        count = None if after is None else sender.sequence_of(after)
        if count is None or not sender.can_answer_since(count, for_tier=True):
            count = -1
        lines = copied(sender.changes_for_tier(count, owners))
        known = sender.known_versions_of(owners)
        receiver.merge(lines, known, count < 0, self.now)
        heard = known.get(who)
        if heard is not None:
            receiver.supersede_version(heard, new_generation_prefix(self.now, 98), self.now)
        self.after[who, whom] = sender.generation

    def keep(self, who: str) -> None:
        tier = self.tiers[who]
        self.kept[who] = [replace(line) for line in tier.records()], tier.known_versions_of()

    def restart(self, who: str, old: bool, heard: bool, clock_back: bool) -> None:
        """With the state that was kept, however old, or with none; maybe by a clock that was set back."""
        self.now += 1
        epoch = 0 if clock_back else self.now
        tier = self.tiers[who] = InstanceTable(
            who, epoch, new_generation_prefix(self.now, self.now), self.tombstones
        )
        if old and who in self.kept:
            lines, known = self.kept[who]
            tier.restore([replace(line) for line in lines], known, self.now)
        self.seen_gone[who].clear()
        for key in [key for key in self.after if key[0] == who]:
            del self.after[key]
        if who in self.truth and heard:
            self.hear(who)

    def spread(self) -> None:
        for who, whom in self.FOLLOWS:
            self.pull(who, whom)

    def look(self) -> None:
        for name, tier in self.tiers.items():
            living = alive(tier).keys()
            back = self.seen_gone[name] & living & self.retired
            assert not back, f"{back} returned at {name}"
            self.seen_gone[name] |= {id for id in self.retired if id not in living and _knows(tier, id)}

    def settle(self) -> None:
        for name in self.truth:
            self.hear(name)
        for _ in range(6):
            self.spread()
        truth: dict[str, tuple[str, bytes]] = {}
        for lines in self.truth.values():
            truth |= {one.instance_id: (one.service, one.body) for one in lines.values()}
        for name, tier in self.tiers.items():
            assert alive(tier) == truth, name
            assert tier.live_count == len(truth)


def _knows(tier: InstanceTable, id: str) -> bool:
    return any(line.instance_id == id and line.gone for line in tier.records())


REGIONS, TIERS = st.sampled_from(("r1", "r2")), st.sampled_from(("o", "r1", "r2", "z1", "z2"))
IDS = st.sampled_from([f"i{number}" for number in range(6)])
EVENTS = st.lists(
    st.one_of(
        st.tuples(
            st.just("set_up"),
            REGIONS,
            IDS,
            st.sampled_from(("Ready", "Terminating")),
            st.sampled_from(SERVICES),
        ),
        st.tuples(st.just("retire"), REGIONS, IDS, st.booleans()),
        st.tuples(st.just("pull"), st.sampled_from(World.FOLLOWS), st.booleans()),
        st.tuples(st.just("pull"), st.sampled_from(World.FOLLOWS), st.just(False)),
        st.tuples(st.just("ask"), st.integers(0, 3)),
        st.tuples(st.just("keep"), TIERS),
        st.tuples(st.just("restart"), TIERS, st.booleans(), st.booleans(), st.booleans()),
        st.tuples(st.just("spread")),
        st.tuples(st.just("hear"), REGIONS),
    ),
    max_size=60,
)


def play(world: World, events: list[tuple[Any, ...]]) -> None:
    for event in events:
        match event:
            case ("pull", (who, whom), whole):
                world.pull(who, whom, whole)
            case ("ask", index):
                name, copy = world.copies[index]
                copy.ask(world.tiers[name])
            case (name, *rest):
                getattr(world, name)(*rest)
        world.look()
    for name, copy in world.copies:
        copy.ask(world.tiers[name])
        assert copy.lines == {
            line.instance_id: line.body for line in world.tiers[name].live_records(copy.services)
        }
    world.settle()
    for name, copy in world.copies:
        copy.ask(world.tiers[name])
        assert copy.lines == {
            line.instance_id: line.body for line in world.tiers[name].live_records(copy.services)
        }


@given(EVENTS)
@settings(max_examples=400, deadline=None)
def test_all_tiers_come_to_hold_what_the_discoveries_say_and_nothing_gone_returns(events: Any) -> None:
    play(World(tombstones=20_000), events)


@given(EVENTS)
@settings(max_examples=400, deadline=None)
def test_the_same_where_hardly_any_tombstone_is_kept(events: Any) -> None:
    play(World(tombstones=1), events)


def test_generations_of_two_processes_are_never_taken_for_one_another() -> None:
    one, other = state("t", 1_000, 1), state("t", 1_000, 2)
    later = state("t", 1_001, 1)
    for held in (one, other, later):
        held.apply_discovery("d", [told("x", "Ready")], True, 0.0)
    assert len({one.generation, other.generation, later.generation}) == 3
    for mine in (one, other, later):
        for its in (one, other, later):
            assert (mine.sequence_of(its.generation) is not None) is (mine is its)
    assert one.sequence_of(one.generation + 1) is None  # it has not come so far
    assert one.sequence_of(41) is None and one.sequence_of(0) is None  # a plain discovery's


def test_a_count_that_runs_over_begins_anew_under_another_identity() -> None:
    held = state("t")
    held.apply_discovery("d", [told("x", "Ready")], True, 0.0)
    held.sequence = (1 << SEQUENCE_BITS) - 1
    before = held.generation
    held.apply_discovery("d", [told("y", "Ready")], False, 0.0)
    assert held.sequence_of(before) is None
    copy = Copy(None)
    copy.generation = before
    copy.ask(held)
    assert copy.lines.keys() == {"x", "y"}


def test_who_missed_a_tombstone_that_was_given_up_is_told_the_whole() -> None:
    held = state("t", tombstones=2)
    held.apply_discovery("d", [told(f"i{n}", "Ready") for n in range(5)], True, 0.0)
    count = held.sequence
    for n in range(4):
        held.apply_discovery("d", [told(f"i{n}", "Gone")], False, float(n))
    assert held.tombstone_count == 2
    assert not held.can_answer_since(count, for_tier=False)
    assert held.can_answer_since(count + 2, for_tier=False)


def test_a_tombstone_is_given_up_with_age() -> None:
    held = InstanceTable("t", 1, 1, 20_000, tombstone_ttl_ms=1000.0)
    held.apply_discovery("d", [told("x", "Ready"), told("y", "Ready")], True, 0.0)
    held.apply_discovery("d", [told("x", "Gone")], False, 0.0)
    held.apply_discovery("d", [told("z", "Ready")], False, 1001.0)
    assert held.tombstone_count == 0 and alive(held).keys() == {"y", "z"}


def test_a_line_told_anew_by_a_restarted_owner_is_no_change_for_plain_receivers() -> None:
    first, second, zone = state("r1", 1), state("r1", 2), state("z")
    for region in (first, second):
        region.apply_discovery("d", [told("x", "Ready")], True, 0.0)
        region.own_records_complete = True
    zone.merge(copied(first.changes_for_tier(-1)), first.known_versions_of(), True, 0.0)
    count = zone.sequence
    changes = zone.merge(copied(second.changes_for_tier(-1)), second.known_versions_of(), True, 0.0)
    assert changes.owners == {"r1"} and not changes.services
    assert zone.changes_for_sidecar(None, count) == [] and zone.changes_for_tier(count) != []


def pulled(receiver: InstanceTable, sender: InstanceTable, count: int = -1) -> None:
    if not sender.can_answer_since(count, for_tier=True):
        count = -1
    receiver.merge(copied(sender.changes_for_tier(count)), sender.known_versions_of(), count < 0, 0.0)


def region(name: str, *ids: str, epoch: int = 1) -> InstanceTable:
    held = state(name, epoch)
    held.apply_discovery("d", [told(id, "Ready") for id in ids], True, 0.0)
    held.own_records_complete = True
    return held


def test_what_is_gone_does_not_return_by_a_tier_that_is_behind_though_its_tombstone_was_given_up() -> None:
    owner, behind, zone = region("r1", "x", "y", "z"), state("r2"), state("zone", tombstones=1)
    pulled(behind, owner)
    pulled(zone, owner)
    count = owner.sequence
    owner.apply_discovery("d", [told("x", "Gone")], False, 0.0)
    owner.apply_discovery("d", [told("y", "Gone")], False, 0.0)
    pulled(zone, owner, count)
    assert zone.tombstone_count == 1
    pulled(zone, behind)
    assert alive(zone).keys() == {"z"}


def test_what_a_tier_learnt_was_gone_from_a_whole_answer_is_gone_below_too() -> None:
    owner, above, zone = region("r1", "x", "y"), state("r2"), state("zone")
    pulled(zone, owner)
    owner.apply_discovery("d", [told("x", "Gone")], False, 0.0)
    held = copied(above.changes_for_tier(-1))
    assert not held
    pulled(zone, above)
    count = above.sequence
    lines = [
        line for line in copied(owner.changes_for_tier(-1)) if not line.gone
    ]  # the tombstone was given up
    above.merge(lines, owner.known_versions_of(), True, 0.0)
    pulled(zone, above, count)
    assert alive(zone).keys() == {"y"}


def test_a_region_whose_clock_was_set_back_prevails_over_its_earlier_life() -> None:
    origin, first, second = state("o"), region("r1", "x", "y", epoch=9), region("r1", "y", epoch=1)
    pulled(origin, first)
    pulled(origin, second)
    assert alive(origin).keys() == {"x", "y"}
    before = second.generation
    second.supersede_version(origin.known_versions_of()["r1"], new_generation_prefix(7.0, 7), 0.0)
    assert second.sequence_of(before) is None
    pulled(origin, second)
    assert alive(origin).keys() == {"y"}


def test_while_one_discovery_is_not_heard_its_lines_are_not_gone_above() -> None:
    origin, first, second = state("o"), state("r1", 1), state("r1", 2)
    first.apply_discovery("d", [told("x", "Ready")], True, 0.0)
    first.apply_discovery("e", [told("y", "Ready")], True, 0.0)
    first.own_records_complete = True
    pulled(origin, first)
    second.apply_discovery("d", [told("x", "Ready")], True, 0.0)
    pulled(origin, second)
    assert alive(origin).keys() == {"x", "y"}
    second.apply_discovery("e", [told("z", "Ready")], True, 0.0)
    second.own_records_complete = True
    pulled(origin, second)
    assert alive(origin).keys() == {"x", "z"}


def test_a_region_takes_no_word_from_above_on_what_it_owns() -> None:
    origin, first, second = state("o"), region("r1", "x", epoch=1), region("r1", "y", epoch=2)
    pulled(origin, first)
    pulled(second, origin)
    assert alive(second).keys() == {"y"}
