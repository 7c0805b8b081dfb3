"""The instance table of a tier: all tiers converge, whatever the order, repetition and route of messages."""

from collections.abc import Sequence
from dataclasses import replace
from typing import Any

import pytest
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


def report(instance_id: str, lifecycle: str, service: str = "a") -> DiscoveryRecord:
    return DiscoveryRecord(instance_id, service, lifecycle == "Gone", f"{instance_id} {lifecycle}".encode())


def create_table(
    name: str, epoch: int = 1, random_value: int = 1, max_tombstones: int = 20_000
) -> InstanceTable:
    return InstanceTable(name, epoch, new_generation_prefix(epoch, random_value), max_tombstones)


def transferred(records: Sequence[InstanceRecord]) -> list[InstanceRecord]:
    """Copies without the fields that do not go over the wire."""
    return [replace(record, source="", changed_seq=0, content_changed_seq=0) for record in records]


def live_content(table: InstanceTable) -> dict[str, tuple[str, bytes]]:
    return {record.instance_id: (record.service, record.body) for record in table.live_records(None)}


def precedences(table: InstanceTable) -> dict[str, Any]:
    return {record.instance_id: (record.precedence, record.body) for record in table.records()}


RECORDS = st.lists(
    st.builds(
        lambda instance_id, service, owner, version, gone: InstanceRecord(
            instance_id, service, owner, version, gone, f"{owner} {version}".encode()
        ),
        st.sampled_from("wxyz"),
        st.sampled_from(SERVICES),
        st.sampled_from(("r1", "r2")),
        st.tuples(st.integers(1, 2), st.integers(1, 4)),
        st.booleans(),
    ),
    max_size=12,
    unique_by=lambda record: (record.instance_id, record.precedence),
)


@given(RECORDS, st.data())
@settings(max_examples=300, deadline=None)
def test_merging_is_idempotent_commutative_and_associative(
    records: list[InstanceRecord], data: st.DataObject
) -> None:
    all_at_once = create_table("t")
    all_at_once.merge(transferred(records), {}, False, 0.0)
    one_by_one = create_table("t")
    for record in data.draw(st.permutations(records + records)):  # in any order, each twice
        one_by_one.merge(transferred([record]), {}, False, 0.0)
    assert precedences(one_by_one) == precedences(all_at_once)
    from_two_tables = create_table("t")
    split = data.draw(st.integers(0, len(records)))
    first, second = create_table("u"), create_table("v")
    first.merge(transferred(records[split:]), {}, False, 0.0)
    second.merge(transferred(records[:split]), {}, False, 0.0)
    for sender in (first, second, first):  # the first one twice
        from_two_tables.merge(
            transferred(sender.changes_for_tier(-1)), sender.known_versions_of(), False, 0.0
        )
    assert precedences(from_two_tables) == precedences(all_at_once)
    assert not from_two_tables.merge(transferred(all_at_once.changes_for_tier(-1)), {}, False, 0.0)


class SidecarCopy:
    """The list of a sidecar that watches some services of a tier."""

    def __init__(self, services: Sequence[str] | None) -> None:
        self.services = services
        self.generation: int | None = None
        self.bodies: dict[str, bytes] = {}

    def poll(self, table: InstanceTable) -> None:
        sequence = None if self.generation is None else table.sequence_of(self.generation)
        if sequence is None or not table.can_answer_since(sequence, for_tier=False):
            self.bodies = {record.instance_id: record.body for record in table.live_records(self.services)}
        else:
            for record in table.changes_for_sidecar(self.services, sequence):
                if record.gone:
                    self.bodies.pop(record.instance_id, None)
                else:
                    self.bodies[record.instance_id] = record.body
        self.generation = table.generation


class World:
    """An origin `o` above two regions and two zones below them, with events in any order."""

    # Pairs of a tier and one that it pulls from.
    PULLS = (("o", "r1"), ("o", "r2"), ("r1", "o"), ("r2", "o"), ("z1", "r1"), ("z1", "r2"), ("z2", "r2"))

    def __init__(self, max_tombstones: int) -> None:
        self.max_tombstones = max_tombstones
        self.now = 1
        self.tables = {name: self.create_next_table(name) for name in ("o", "r1", "r2", "z1", "z2")}
        self.last_generation: dict[tuple[str, str], int] = {}  # by the pair of a pull
        self.published: dict[str, dict[str, DiscoveryRecord]] = {"r1": {}, "r2": {}}  # by region
        self.ever_published: set[str] = set()
        self.retired: set[str] = set()
        self.seen_gone: dict[str, set[str]] = {name: set() for name in self.tables}
        self.saved: dict[str, tuple[list[InstanceRecord], dict[str, Version]]] = {}
        self.sidecars = [
            ("z1", SidecarCopy(("a",))),
            ("z1", SidecarCopy(None)),
            ("z2", SidecarCopy(("a", "b"))),
            ("r1", SidecarCopy(("b",))),
        ]
        for name in self.published:
            self.answer_full(name)

    def create_next_table(self, name: str) -> InstanceTable:
        self.now += 1
        return create_table(name, self.now, self.now, self.max_tombstones)

    def answer_full(self, region: str) -> None:
        """The region's discovery service answers with its full list."""
        table = self.tables[region]
        table.apply_discovery("d", self.published[region].values(), True, self.now)
        if not table.own_records_complete:
            table.own_records_complete = True
            table.replace_generation_prefix(new_generation_prefix(self.now, 99))

    def publish(self, region: str, instance_id: str, lifecycle: str, service: str) -> None:
        if instance_id not in self.retired:
            self.ever_published.add(instance_id)
            for other in self.published:
                if other != region and self.published[other].pop(instance_id, None) is not None:
                    self.tables[other].apply_discovery("d", [report(instance_id, "Gone")], False, self.now)
            self.published[region][instance_id] = published = report(instance_id, lifecycle, service)
            if self.tables[region].own_records_complete:
                self.tables[region].apply_discovery("d", [published], False, self.now)

    def retire(self, region: str, instance_id: str, reported: bool) -> None:
        if self.published[region].pop(instance_id, None) is not None:
            self.retired.add(instance_id)
            if reported:
                self.tables[region].apply_discovery("d", [report(instance_id, "Gone")], False, self.now)

    def pull(self, receiver_name: str, sender_name: str, full: bool = False) -> None:
        """One tier pulls from another, which answers as its listener does."""
        receiver, sender = self.tables[receiver_name], self.tables[sender_name]
        owners = sender.subtree_owners if receiver_name == "o" else None
        after = None if full else self.last_generation.get((receiver_name, sender_name))
        sequence = None if after is None else sender.sequence_of(after)
        if sequence is None or not sender.can_answer_since(sequence, for_tier=True):
            sequence = -1
        records = transferred(sender.changes_for_tier(sequence, owners))
        known_versions = sender.known_versions_of(owners)
        receiver.merge(records, known_versions, sequence < 0, self.now)
        own_version = known_versions.get(receiver_name)
        if own_version is not None:
            receiver.supersede_version(own_version, new_generation_prefix(self.now, 98), self.now)
        self.last_generation[receiver_name, sender_name] = sender.generation

    def save(self, name: str) -> None:
        table = self.tables[name]
        self.saved[name] = [replace(record) for record in table.records()], table.known_versions_of()

    def restart(self, name: str, restore: bool, answered: bool, clock_set_back: bool) -> None:
        """Restart a tier, with what it saved or empty, and possibly with its clock set back."""
        self.now += 1
        epoch = 0 if clock_set_back else self.now
        table = self.tables[name] = InstanceTable(
            name, epoch, new_generation_prefix(self.now, self.now), self.max_tombstones
        )
        if restore and name in self.saved:
            records, known_versions = self.saved[name]
            table.restore([replace(record) for record in records], known_versions, self.now)
        self.seen_gone[name].clear()
        for pair in [pair for pair in self.last_generation if pair[0] == name]:
            del self.last_generation[pair]
        if name in self.published and answered:
            self.answer_full(name)

    def pull_all(self) -> None:
        for receiver_name, sender_name in self.PULLS:
            self.pull(receiver_name, sender_name)

    def check_nothing_returns(self) -> None:
        """Check that no tier holds a retired instance again after it saw that the instance was gone."""
        for name, table in self.tables.items():
            live_ids = live_content(table).keys()
            returned = self.seen_gone[name] & live_ids & self.retired
            assert not returned, f"{returned} returned at {name}"
            self.seen_gone[name] |= {
                instance_id
                for instance_id in self.retired
                if instance_id not in live_ids and _has_tombstone(table, instance_id)
            }

    def converge(self) -> None:
        """Pull until all tiers should agree, and check that they hold what the discovery services publish."""
        for name in self.published:
            self.answer_full(name)
        for _ in range(6):
            self.pull_all()
        expected: dict[str, tuple[str, bytes]] = {}
        for records in self.published.values():
            expected |= {record.instance_id: (record.service, record.body) for record in records.values()}
        for name, table in self.tables.items():
            assert live_content(table) == expected, name
            assert table.live_count == len(expected)


def _has_tombstone(table: InstanceTable, instance_id: str) -> bool:
    return any(record.instance_id == instance_id and record.gone for record in table.records())


REGIONS, TIERS = st.sampled_from(("r1", "r2")), st.sampled_from(("o", "r1", "r2", "z1", "z2"))
INSTANCE_IDS = st.sampled_from([f"i{number}" for number in range(6)])
# Each event is a method of `World` with its arguments, or `ask` with the index of a sidecar that polls.
EVENTS = st.lists(
    st.one_of(
        st.tuples(
            st.just("publish"),
            REGIONS,
            INSTANCE_IDS,
            st.sampled_from(("Ready", "Terminating")),
            st.sampled_from(SERVICES),
        ),
        st.tuples(st.just("retire"), REGIONS, INSTANCE_IDS, st.booleans()),
        st.tuples(st.just("pull"), st.sampled_from(World.PULLS), st.booleans()),
        st.tuples(st.just("pull"), st.sampled_from(World.PULLS), st.just(False)),
        st.tuples(st.just("ask"), st.integers(0, 3)),
        st.tuples(st.just("save"), TIERS),
        st.tuples(st.just("restart"), TIERS, st.booleans(), st.booleans(), st.booleans()),
        st.tuples(st.just("pull_all")),
        st.tuples(st.just("answer_full"), REGIONS),
    ),
    max_size=60,
)


def run_events(world: World, events: list[tuple[Any, ...]]) -> None:
    for event in events:
        match event:
            case ("pull", (receiver_name, sender_name), full):
                world.pull(receiver_name, sender_name, full)
            case ("ask", index):
                name, sidecar = world.sidecars[index]
                sidecar.poll(world.tables[name])
            case (method_name, *arguments):
                getattr(world, method_name)(*arguments)
        world.check_nothing_returns()
    for name, sidecar in world.sidecars:
        sidecar.poll(world.tables[name])
        assert sidecar.bodies == {
            record.instance_id: record.body for record in world.tables[name].live_records(sidecar.services)
        }
    world.converge()
    for name, sidecar in world.sidecars:
        sidecar.poll(world.tables[name])
        assert sidecar.bodies == {
            record.instance_id: record.body for record in world.tables[name].live_records(sidecar.services)
        }


@given(EVENTS)
@settings(max_examples=400, deadline=None)
def test_all_tiers_converge_to_the_published_lists_and_nothing_gone_returns(events: Any) -> None:
    run_events(World(max_tombstones=20_000), events)


@given(EVENTS)
@settings(max_examples=400, deadline=None)
def test_tiers_converge_with_at_most_one_tombstone(events: Any) -> None:
    run_events(World(max_tombstones=1), events)


def test_generations_of_different_processes_are_told_apart() -> None:
    first, second = create_table("t", 1_000, 1), create_table("t", 1_000, 2)
    later = create_table("t", 1_001, 1)
    for started in (first, second, later):
        started.apply_discovery("d", [report("x", "Ready")], True, 0.0)
    assert len({first.generation, second.generation, later.generation}) == 3
    for table in (first, second, later):
        for other in (first, second, later):
            assert (table.sequence_of(other.generation) is not None) is (table is other)
    assert first.sequence_of(first.generation + 1) is None  # not reached yet
    assert first.sequence_of(41) is None and first.sequence_of(0) is None  # of a discovery service


@pytest.mark.parametrize("later_s", [0.0, 0.5, -3600.0, 5.0])
@pytest.mark.parametrize("random_values", [(4000, 3), (7, 7), (3, 4000)])
def test_generations_grow_although_the_clock_stands_or_steps_back(
    later_s: float, random_values: tuple[int, int]
) -> None:
    table = InstanceTable("z", 1, new_generation_prefix(1_796_365_222.0, random_values[0]))
    before = table.generation
    table.replace_generation_prefix(new_generation_prefix(1_796_365_222.0 + later_s, random_values[1]))
    assert table.generation > before and table.sequence_of(before) is None


def test_a_sequence_overflow_changes_the_generation_prefix() -> None:
    table = create_table("t")
    table.apply_discovery("d", [report("x", "Ready")], True, 0.0)
    table.sequence = (1 << SEQUENCE_BITS) - 1
    generation_before = table.generation
    table.apply_discovery("d", [report("y", "Ready")], False, 0.0)
    assert table.sequence_of(generation_before) is None
    sidecar = SidecarCopy(None)
    sidecar.generation = generation_before
    sidecar.poll(table)
    assert sidecar.bodies.keys() == {"x", "y"}


def test_a_receiver_that_missed_a_pruned_tombstone_needs_a_full_answer() -> None:
    table = create_table("t", max_tombstones=2)
    table.apply_discovery("d", [report(f"i{n}", "Ready") for n in range(5)], True, 0.0)
    sequence = table.sequence
    for n in range(4):
        table.apply_discovery("d", [report(f"i{n}", "Gone")], False, float(n))
    assert table.tombstone_count == 2
    assert not table.can_answer_since(sequence, for_tier=False)
    assert table.can_answer_since(sequence + 2, for_tier=False)


def test_an_old_tombstone_is_pruned() -> None:
    table = InstanceTable("t", 1, 1, 20_000, tombstone_ttl_ms=1000.0)
    table.apply_discovery("d", [report("x", "Ready"), report("y", "Ready")], True, 0.0)
    table.apply_discovery("d", [report("x", "Gone")], False, 0.0)
    table.apply_discovery("d", [report("z", "Ready")], False, 1001.0)
    assert table.tombstone_count == 0 and live_content(table).keys() == {"y", "z"}


def test_a_new_version_from_a_restarted_owner_is_no_change_for_sidecars() -> None:
    first, second, zone = create_table("r1", 1), create_table("r1", 2), create_table("z")
    for region in (first, second):
        region.apply_discovery("d", [report("x", "Ready")], True, 0.0)
        region.own_records_complete = True
    zone.merge(transferred(first.changes_for_tier(-1)), first.known_versions_of(), True, 0.0)
    sequence = zone.sequence
    changes = zone.merge(transferred(second.changes_for_tier(-1)), second.known_versions_of(), True, 0.0)
    assert changes.owners == {"r1"} and not changes.services
    assert zone.changes_for_sidecar(None, sequence) == [] and zone.changes_for_tier(sequence) != []


def pull(receiver: InstanceTable, sender: InstanceTable, sequence: int = -1) -> None:
    """`receiver` pulls what changed at `sender` after `sequence`; -1: everything."""
    if not sender.can_answer_since(sequence, for_tier=True):
        sequence = -1
    receiver.merge(
        transferred(sender.changes_for_tier(sequence)), sender.known_versions_of(), sequence < 0, 0.0
    )


def create_region(name: str, *instance_ids: str, epoch: int = 1) -> InstanceTable:
    table = create_table(name, epoch)
    table.apply_discovery("d", [report(instance_id, "Ready") for instance_id in instance_ids], True, 0.0)
    table.own_records_complete = True
    return table


def test_a_gone_instance_does_not_return_from_an_outdated_tier_after_its_tombstone_was_pruned() -> None:
    owner, outdated, zone = (
        create_region("r1", "x", "y", "z"),
        create_table("r2"),
        create_table("zone", max_tombstones=1),
    )
    pull(outdated, owner)
    pull(zone, owner)
    sequence = owner.sequence
    owner.apply_discovery("d", [report("x", "Gone")], False, 0.0)
    owner.apply_discovery("d", [report("y", "Gone")], False, 0.0)
    pull(zone, owner, sequence)
    assert zone.tombstone_count == 1
    pull(zone, outdated)
    assert live_content(zone).keys() == {"z"}


def test_a_removal_that_a_tier_learnt_from_a_full_answer_reaches_the_tiers_below() -> None:
    owner, middle, zone = create_region("r1", "x", "y"), create_table("r2"), create_table("zone")
    pull(zone, owner)
    owner.apply_discovery("d", [report("x", "Gone")], False, 0.0)
    held = transferred(middle.changes_for_tier(-1))
    assert not held
    pull(zone, middle)
    sequence = middle.sequence
    # A full answer without the tombstone of "x", as after it was pruned.
    records = [record for record in transferred(owner.changes_for_tier(-1)) if not record.gone]
    middle.merge(records, owner.known_versions_of(), True, 0.0)
    pull(zone, middle, sequence)
    assert live_content(zone).keys() == {"y"}


def test_a_region_whose_clock_was_set_back_outranks_its_earlier_process() -> None:
    origin, earlier, restarted = (
        create_table("o"),
        create_region("r1", "x", "y", epoch=9),
        create_region("r1", "y", epoch=1),
    )
    pull(origin, earlier)
    pull(origin, restarted)
    assert live_content(origin).keys() == {"x", "y"}
    generation_before = restarted.generation
    restarted.supersede_version(origin.known_versions_of()["r1"], new_generation_prefix(7.0, 7), 0.0)
    assert restarted.sequence_of(generation_before) is None
    pull(origin, restarted)
    assert live_content(origin).keys() == {"y"}


def test_instances_of_a_discovery_service_that_has_not_answered_yet_are_not_removed_above() -> None:
    origin, earlier, restarted = create_table("o"), create_table("r1", 1), create_table("r1", 2)
    earlier.apply_discovery("d", [report("x", "Ready")], True, 0.0)
    earlier.apply_discovery("e", [report("y", "Ready")], True, 0.0)
    earlier.own_records_complete = True
    pull(origin, earlier)
    restarted.apply_discovery("d", [report("x", "Ready")], True, 0.0)
    pull(origin, restarted)
    assert live_content(origin).keys() == {"x", "y"}
    restarted.apply_discovery("e", [report("z", "Ready")], True, 0.0)
    restarted.own_records_complete = True
    pull(origin, restarted)
    assert live_content(origin).keys() == {"x", "z"}


def test_a_region_accepts_no_records_of_its_own_from_the_parent() -> None:
    origin, earlier, restarted = (
        create_table("o"),
        create_region("r1", "x", epoch=1),
        create_region("r1", "y", epoch=2),
    )
    pull(origin, earlier)
    pull(restarted, origin)
    assert live_content(restarted).keys() == {"y"}
