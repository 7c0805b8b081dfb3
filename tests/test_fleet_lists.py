"""Shared server lists: the newest spreads, and a wrong or lagging peer cannot restore or remove servers."""

import math
from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larkcrank.core.interface import State
from larkcrank.fleet import lists as module
from larkcrank.fleet import trust, wire
from larkcrank.fleet.asking import TURN_MS, WATCH_DELAY_MS, DiscoveryCallGate
from larkcrank.fleet.lists import (
    COUNT_RESTART_CONFIRM_MS,
    MAX_PEER_LIST_AGE_MS,
    SharedListUpdate,
    SharedServerList,
    list_hash,
)
from larkcrank.fleet.membership import Membership, OutgoingMessage
from larkcrank.fleet.records import MemberRecord
from larkcrank.fleet.restart import RestartKind, classify_restart
from larkcrank.fleet.wire import Codec, ListChunk, ListRequest, ListStatus, ServerEntry, encoded_size
from tests.test_program import ROOT


def make_entry(
    name: str, state: State = State.READY, started_at: float = 0.0, host_port: str = ""
) -> ServerEntry:
    return ServerEntry(name, int(state), "z", "k", 0, 1.0, started_at, host_port or f"h:{name}")


def make_entries(*names: str, started_at: float = 0.0) -> list[ServerEntry]:
    return [make_entry(name, started_at=started_at) for name in names]


class Fleet:
    """Members with server lists that all know each other. Datagrams take 2 ms of simulated time."""

    def __init__(self, count: int, same_addresses: bool = True, seed: int = 1) -> None:
        self.now = 0.0
        self.rng = Random(seed)
        self.cut_off: set[int] = set()  # members that no datagram reaches or leaves
        self.loss = 0.0
        self.bytes_sent = 0
        self.memberships = [
            Membership(MemberRecord(f"n{i}", f"m:{i}", "z", i + 1, 1), [], Random(i), 0.0)
            for i in range(count)
        ]
        for member in self.memberships:
            for other in self.memberships:
                member._merge(other.local_record)
        self.lists = [
            SharedServerList(member, same_addresses, Random(i), 0.0)
            for i, member in enumerate(self.memberships)
        ]
        self.updates: list[list[SharedListUpdate]] = [[] for _ in self.lists]
        self.in_flight: list[tuple[float, int, int, wire.Message]] = []
        self.codec = Codec("f")

    def send(self, source: int, outgoing: list[OutgoingMessage]) -> None:
        for message in outgoing:
            # Raises ValueError if the datagram is too long.
            self.bytes_sent += len(self.codec.encode(message.message))
            destination = int(message.address[2:])
            if not self.cut_off & {source, destination} and self.rng.random() >= self.loss:
                self.in_flight.append((self.now + 2.0, source, destination, message.message))

    def report(
        self, index: int, entries: list[ServerEntry], generation: int, complete: bool = True
    ) -> list[ServerEntry]:
        """Deliver an answer of discovery to a member."""
        return self.lists[index].on_discovery_list(self.now, entries, generation, complete)

    def run(self, ms: float) -> None:
        until = self.now + ms
        while self.now < until:
            self.now += 10.0
            due = [datagram for datagram in self.in_flight if datagram[0] <= self.now]
            self.in_flight = [datagram for datagram in self.in_flight if datagram[0] > self.now]
            for _, source, destination, message in due:
                self.send(
                    destination, self.memberships[destination].receive(self.now, f"m:{source}", message)
                )
                self.take_update(destination)
            for index, server_list in enumerate(self.lists):
                if round(self.now) % 100 == 0:
                    self.send(index, server_list.tick(self.now))
                self.take_update(index)

    def take_update(self, index: int) -> None:
        update = self.lists[index].take_update(self.now)
        if update is not None:
            self.updates[index].append(update)

    def ready_names(self, index: int) -> list[str]:
        return sorted(name for name, entry in self.lists[index].entries.items() if entry.state == State.READY)


def fleet_with_list(count: int, names: tuple[str, ...] = ("a", "b", "c", "d"), **options: bool) -> Fleet:
    """Return a fleet in which discovery reported the same list to all members."""
    fleet = Fleet(count, **options)
    for index in range(count):
        fleet.report(index, make_entries(*names), 10)
    fleet.run(2000.0)
    return fleet


def test_members_without_discovery_get_a_newer_list_from_peers_at_once() -> None:
    """Ten of twenty members do not hear discovery while three of four servers are replaced."""
    fleet = fleet_with_list(20)
    for index in range(10):
        fleet.report(index, make_entries("a", "t", "u", "v", started_at=5.0), 17)
    fleet.run(1000.0)
    assert all(fleet.ready_names(index) == ["a", "t", "u", "v"] for index in range(20))
    assert all(fleet.updates[index][-1].generation == 17 for index in range(10, 20))


def test_a_long_list_is_transferred_in_chunks_despite_losses() -> None:
    fleet = fleet_with_list(6)
    entries = [make_entry(f"server-{index:04d}", started_at=index) for index in range(200)]
    fleet.loss = 0.2
    fleet.report(0, entries, 40)
    fleet.report(1, entries, 40)
    fleet.run(20_000.0)
    assert all(len(server_list.entries) == 200 for server_list in fleet.lists)


def test_removing_most_servers_takes_two_peers() -> None:
    fleet = fleet_with_list(5)
    fleet.report(0, make_entries("a"), 99)
    fleet.run(30_000.0)
    assert all(fleet.ready_names(index) == ["a", "b", "c", "d"] for index in range(1, 5))
    assert all(
        server_list.rejected_counts["alone"] == 1 for server_list in fleet.lists[1:]
    )  # members that adopted the list without its removals do not confirm it
    bytes_before = fleet.bytes_sent
    fleet.run(20_000.0)
    # The members do not exchange messages about it without end.
    assert (fleet.bytes_sent - bytes_before) / 5 / 20.0 < 400.0
    fleet.report(1, make_entries("a"), 99)
    fleet.run(3000.0)
    assert all(fleet.ready_names(index) == ["a"] for index in range(5))


def test_an_empty_list_is_accepted_only_from_discovery() -> None:
    """Discovery restarted without its state and reported an empty list to two members.

    These two use it, and the others keep their servers.
    """
    fleet = fleet_with_list(6)
    for index in (0, 1):
        fleet.report(index, [], 11)
    fleet.run(5000.0)
    assert [len(fleet.ready_names(index)) for index in range(6)] == [0, 0, 4, 4, 4, 4]
    for index in (0, 1):
        fleet.report(index, make_entries("a", "b", "c", "e"), 12)
    fleet.run(3000.0)
    assert all(fleet.ready_names(index) == ["a", "b", "c", "e"] for index in range(6))


def test_one_peer_can_remove_a_few_servers_and_add_others() -> None:
    fleet = fleet_with_list(5)
    fleet.report(0, make_entries("b", "c", "d", "e"), 11)
    fleet.run(2000.0)
    assert all(fleet.ready_names(index) == ["b", "c", "d", "e"] for index in range(5))


def test_draining_and_gone_servers_stay_so_until_they_are_restarted() -> None:
    """Neither a lagging or wrong peer nor an outdated answer of discovery makes them ready again."""
    fleet = fleet_with_list(4)
    for index in range(3):
        fleet.report(
            index, [make_entry("a", State.DRAINING), make_entry("b", State.GONE)], 12, complete=False
        )
    fleet.run(2000.0)
    assert all(fleet.ready_names(index) == ["c", "d"] for index in range(4))
    fleet.report(3, make_entries("a", "b", "c", "d"), 50)  # wrong: these servers were not restarted
    fleet.run(3000.0)
    assert all(fleet.ready_names(index) == ["c", "d"] for index in range(3))
    assert all(fleet.lists[index].rejected_counts["gone"] == 2 for index in range(3))
    fleet.report(0, make_entries("a", "b", "c", "d"), 11)
    assert fleet.ready_names(0) == ["c", "d"]
    fleet.report(0, [*make_entries("a", started_at=9.0), *make_entries("c", "d")], 60)  # "a" was restarted
    fleet.run(3000.0)
    assert all(fleet.ready_names(index) == ["a", "c", "d"] for index in range(3))


def test_a_restarted_server_no_longer_counts_as_departed() -> None:
    fleet = fleet_with_list(2)
    fleet.report(0, [make_entry("a", State.GONE)], 12, complete=False)
    assert set(fleet.lists[0].departed()) == {"a"}
    fleet.report(0, make_entries("a", started_at=3.0), 13, complete=False)
    assert fleet.lists[0].departed() == {}


def test_a_peer_with_a_lagging_discovery_does_not_restore_an_older_list() -> None:
    fleet = fleet_with_list(6)
    for index in range(5):
        fleet.report(index, make_entries("c", "d", "e"), 20)
    fleet.run(2000.0)
    assert fleet.ready_names(5) == ["c", "d", "e"]
    for _ in range(8):
        fleet.report(5, make_entries("a", "b", "c", "d"), 10)  # the complete list, as it was before
        for index in range(5):
            fleet.report(index, [], 20, complete=False)  # a watch that ended without changes
        fleet.run(5000.0)
    assert all(fleet.ready_names(index) == ["c", "d", "e"] for index in range(6))
    assert all(server_list.generation == 20 for server_list in fleet.lists)


def test_a_restarted_generation_count_is_accepted_from_two_members_or_from_one_after_a_while() -> None:
    fleet = fleet_with_list(6)
    fleet.run(module.DISCOVERY_REPORT_MAX_AGE_MS)
    fleet.report(0, make_entries("p", "q"), 1)
    fleet.run(2000.0)
    # The servers of both lists are used until it is clear which one is current.
    assert set(fleet.ready_names(0)) == {"a", "b", "c", "d", "p", "q"}
    fleet.report(1, make_entries("p", "q"), 1)
    fleet.run(5000.0)
    assert all(fleet.ready_names(index) == ["p", "q"] for index in range(6))
    one_reached = fleet_with_list(3)
    one_reached.run(module.DISCOVERY_REPORT_MAX_AGE_MS)
    for _ in range(5):
        one_reached.report(0, make_entries("p", "q"), 1)
        one_reached.run(COUNT_RESTART_CONFIRM_MS / 4)
    assert one_reached.ready_names(0) == ["p", "q"]


def test_a_list_reported_by_discovery_replaces_any_list_from_before_a_restart() -> None:
    """Its generation may be lower, as discovery may have restarted its count.

    Among lists from before a restart, the one with the highest generation is used.
    """
    fleet = Fleet(3)
    for index, generation in enumerate((5, 9, 7)):
        fleet.lists[index].load_saved(make_entries("a", "b", f"x{generation}"), generation)
    fleet.run(3000.0)
    assert all(server_list.generation == 9 and not server_list.is_reported for server_list in fleet.lists)
    assert all("x9" in fleet.ready_names(index) for index in range(3))
    fleet.report(2, make_entries("a", "n"), 2)
    fleet.run(3000.0)
    assert all("n" in fleet.ready_names(index) for index in range(3))
    assert all(server_list.generation == 2 and server_list.is_reported for server_list in fleet.lists)


def test_a_list_that_is_too_old_is_not_adopted() -> None:
    fleet = fleet_with_list(3)
    fleet.cut_off = {2}
    fleet.report(0, make_entries("a", "b", "c", "e"), 15)
    fleet.now += MAX_PEER_LIST_AGE_MS + 100.0
    fleet.cut_off = set()
    fleet.report(2, make_entries("a", "b", "c", "d"), 12)
    fleet.run(3000.0)
    assert fleet.ready_names(2) == ["a", "b", "c", "d"] and fleet.lists[2].generation == 12


def test_each_member_keeps_its_own_server_addresses_unless_they_are_the_same_for_all() -> None:
    """A server that is new here or was restarted has no known address, and gets no requests."""
    fleet = Fleet(3, same_addresses=False)
    for index in range(3):
        own_entries = [make_entry(name, host_port=f"own-{index}:{name}") for name in "abcd"]
        fleet.report(index, own_entries, 10)
    moved = [
        make_entry("a", host_port="x:a"),
        make_entry("b", host_port="x:b"),
        make_entry("c", started_at=9.0),
        make_entry("new"),
    ]
    fleet.report(0, moved, 11)
    fleet.report(1, moved, 11)
    fleet.run(3000.0)
    assert fleet.ready_names(2) == ["a", "b"]
    assert {entry.host_port for entry in fleet.lists[2].entries.values()} == {"own-2:a", "own-2:b"}
    assert fleet.lists[2].rejected_counts["place"] == 2


def test_an_unrequested_or_wrong_chunk_changes_nothing() -> None:
    fleet = fleet_with_list(3)
    header = fleet.memberships[1].message_header("n0")
    chunk = ListChunk(*header, 0, 99, 5, 1.0, "", "", make_entries("z"))
    assert fleet.lists[0].receive(fleet.now, "m:1", chunk) == []  # it was not requested
    status = ListStatus(*header, 0, 99, 1.0, 5, 99, 1.0, 1.0, bytes(24))
    (request,) = fleet.lists[0].receive(fleet.now, "m:1", status)
    assert isinstance(request.message, ListRequest)
    fleet.lists[0].receive(fleet.now, "m:1", chunk)
    assert fleet.lists[0].rejected_counts == {"mark": 1} and fleet.ready_names(0) == ["a", "b", "c", "d"]


def test_no_answer_is_longer_than_its_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """Otherwise, forged requests could make the fleet amplify traffic."""
    receive, checked = SharedServerList.receive, [0]

    def checked_receive(
        self: SharedServerList, now: float, address: str, message: wire.ListMessage
    ) -> list[OutgoingMessage]:
        outgoing = receive(self, now, address, message)
        for answer in outgoing:
            # A request goes only to the member that offered the list.
            if not isinstance(answer.message, ListRequest):
                checked[0] += 1
                assert encoded_size(answer.message) <= encoded_size(message)
        return outgoing

    monkeypatch.setattr(SharedServerList, "receive", checked_receive)
    fleet = fleet_with_list(12)
    fleet.report(0, [make_entry(f"s{index}") for index in range(100)], 20)
    fleet.run(10_000.0)
    assert checked[0] > 30


def test_traffic_per_member_does_not_grow_with_the_fleet() -> None:
    bytes_per_s = []
    for count in (5, 40):
        fleet = fleet_with_list(count)
        fleet.run(5000.0)
        bytes_before = fleet.bytes_sent
        fleet.run(20_000.0)
        bytes_per_s.append((fleet.bytes_sent - bytes_before) / count / 20.0)
    assert bytes_per_s[1] < 200.0 and bytes_per_s[1] < 1.3 * bytes_per_s[0]


@settings(max_examples=15, deadline=None)
@given(st.integers(0, 2**32))
def test_a_faulty_peer_can_neither_restore_a_gone_server_nor_empty_a_list(seed: int) -> None:
    """One of five members offers random lists, generations and epochs, as if discovery had reported them."""
    rng, fleet = Random(seed), fleet_with_list(5)
    for index in range(4):
        fleet.report(index, [make_entry("a", State.GONE)], 12, complete=False)
    fleet.run(1500.0)
    faulty = fleet.lists[4]
    for _ in range(10):
        names = rng.sample(["a", "b", "c", "d", "e", "f"], rng.randint(0, 6))
        entries = {name: make_entry(name, State(rng.randint(0, 2))) for name in names}
        faulty._replace_list(
            entries, entries, module._ListVersion(rng.randint(0, 3), rng.randint(0, 1000), fleet.now)
        )
        faulty._direct_generation, faulty._direct_report_at = faulty.generation, fleet.now
        faulty._announcement_due = True
        fleet.run(rng.choice([200.0, 2000.0]))
        for index in range(4):
            # The other members continue to receive correct answers of discovery.
            fleet.report(index, [], 12, complete=False) if rng.random() < 0.5 else None
    fleet.run(2000.0)
    for index in range(4):
        assert "a" not in fleet.ready_names(index)
        assert fleet.lists[index].entries


@pytest.mark.parametrize(
    "planted_bug", ["gone servers return", "one peer removes most servers", "old lists are adopted"]
)
def test_planted_bugs_make_the_tests_fail(planted_bug: str, monkeypatch: pytest.MonkeyPatch) -> None:
    match planted_bug:
        case "gone servers return":
            monkeypatch.setattr(SharedServerList, "_keep_departed", lambda self, entry: entry)
            test = test_draining_and_gone_servers_stay_so_until_they_are_restarted
        case "one peer removes most servers":
            monkeypatch.setattr(module, "REQUIRED_CONFIRMATIONS", 1)
            test = test_removing_most_servers_takes_two_peers
        case _:
            monkeypatch.setattr(module, "MAX_PEER_LIST_AGE_MS", math.inf)
            test = test_a_list_that_is_too_old_is_not_adopted
    with pytest.raises((AssertionError, KeyError)):
        test()


def test_a_list_hash_does_not_depend_on_the_order_of_entries() -> None:
    entries = make_entries("a", "b", "c")
    assert list_hash(entries, True) == list_hash(entries[::-1], True)
    moved = [msgspec.structs.replace(entries[0], host_port="q:1"), *entries[1:]]
    assert list_hash(entries, False) == list_hash(moved, False) and list_hash(entries, True) != list_hash(
        moved, True
    )


def test_the_documentation_contains_the_trust_rules() -> None:
    page = (ROOT / "docs/fleet-recovery.md").read_text()
    for rule in trust.TRUST_RULES:
        ages = f"{trust.format_age(rule.restart_max_age_ms)} | {trust.format_age(rule.peer_max_age_ms)}"
        assert f"| {rule.state} | {ages} | {rule.reason} | {rule.cost_of_error} |" in page


# Turns to call discovery


def simulate_calls(
    count: int, down_ms: float, cut_off: int = -1, seed: int = 1
) -> list[tuple[float, int, bool]]:
    """Simulate the calls of members that start within 2 s, while discovery is down for `down_ms`.

    The call of member `cut_off` hangs. Returns the time, the member and the success of each call.
    """
    rng = Random(seed)
    names = [f"n{index}" for index in range(count)]
    start_times = [rng.random() * 2000.0 for _ in names]
    gates = [DiscoveryCallGate(name, count, i, start_times[i], rng.random()) for i, name in enumerate(names)]
    calls: list[tuple[float, int, bool]] = []
    now, first_answer_at = 0.0, math.inf
    hanging: set[int] = set()
    while now < 45_000.0:
        now += 100.0
        for index, gate in enumerate(gates):
            live_names = names if now > start_times[index] + 500.0 else [names[index]]
            known_since = first_answer_at if now >= first_answer_at + 300.0 else -math.inf
            if now < start_times[index] or index in hanging or gate.is_unrestricted:
                continue
            if gate.may_call(
                now, live_names, max(known_since, now - 1000.0) if known_since > 0 else known_since
            ):
                is_answered = now >= down_ms and index != cut_off
                calls.append((now, index, is_answered))
                if index == cut_off:
                    hanging.add(index)
                elif is_answered:
                    gate.on_success()
                    first_answer_at = min(first_answer_at, now)
                else:
                    gate.on_failure(now)
    return calls


@pytest.mark.parametrize("count", [10, 40, 100])
@pytest.mark.parametrize("down_ms", [0.0, 6_000.0])
def test_calls_to_discovery_stay_under_a_quarter_of_the_fleet(count: int, down_ms: float) -> None:
    call_times = [at for at, _, _ in simulate_calls(count, down_ms) if at < 20_000.0]
    assert len(call_times) <= max(count / 4, 12)  # including calls that failed
    first_answer_at = next(at for at, _, is_answered in simulate_calls(count, down_ms) if is_answered)
    assert first_answer_at <= down_ms + 3 * TURN_MS + 1000.0
    answered = {index for _, index, is_answered in simulate_calls(count, down_ms) if is_answered}
    assert len(answered) == count or count == 100  # later, all members watch again, spread over time


def test_another_member_takes_over_from_a_caller_that_is_cut_off() -> None:
    for cut_off in range(10):
        calls = simulate_calls(10, 3_000.0, cut_off=cut_off)
        assert any(is_answered for at, _, is_answered in calls if at < 3_000.0 + 3 * TURN_MS)


def test_a_single_member_calls_at_once_and_one_without_contact_after_a_while() -> None:
    assert DiscoveryCallGate("a", 1, 0, 0.0, 0.5).may_call(0.0, ["a"], -math.inf)
    gate = DiscoveryCallGate("a", 20, 7, 0.0, 0.5)
    assert not gate.may_call(500.0, ["a"], -math.inf)
    assert gate.may_call(5_000.0, ["a"], -math.inf)


def test_all_members_may_call_in_normal_operation_and_in_turns_after_a_failure() -> None:
    names = [f"n{index}" for index in range(20)]
    gates = [DiscoveryCallGate(name, 20, i, 0.0, 0.5) for i, name in enumerate(names)]
    for gate in gates:
        gate.on_success()
    assert all(gate.may_call(1000.0, names, 0.0) for gate in gates)
    for gate in gates:
        gate.on_failure(100_000.0)
    assert sum(gate.may_call(100_000.0 + TURN_MS, names, -math.inf) for gate in gates) == 1


def test_members_with_a_list_from_peers_watch_discovery_again_later() -> None:
    names = [f"n{index}" for index in range(40)]
    gates = [DiscoveryCallGate(name, 40, i, 0.0, i / 40) for i, name in enumerate(names)]
    assert sum(gate.may_call(5000.0, names, 4900.0) for gate in gates) == 4
    may_call_later = [gate.may_call(5000.0 + WATCH_DELAY_MS + 3000.0, names, 30_000.0) for gate in gates]
    assert 15 <= sum(may_call_later) <= 25
    assert all(gate.may_call(5000.0 + WATCH_DELAY_MS + 6100.0, names, 40_000.0) for gate in gates)


# Classification of restarts


def classify(peer_ages: list[float], own_age: float = 2000.0, peer_zones: str = "") -> RestartKind:
    """Classify a restart in zone "a". `peer_zones` has one letter for each peer; default: all in zone "a"."""
    ages = {f"n{index}": age for index, age in enumerate(peer_ages)}
    zones = {name: (peer_zones[index] if peer_zones else "a") for index, name in enumerate(ages)}
    return classify_restart(own_age, ages, zones | {"me": "a"}, "a")


def test_restarts_are_classified_by_the_ages_of_the_peers() -> None:
    day = 86_400_000.0
    assert classify([]) is RestartKind.UNKNOWN and classify([2000.0]) is RestartKind.UNKNOWN
    assert classify([1000.0, 4000.0, 9000.0, 500.0]) is RestartKind.FLEET
    assert classify([day] * 9) is RestartKind.SINGLE
    assert classify([20_000.0 * index for index in range(1, 10)]) is RestartKind.ROLLING
    assert classify([1000.0] * 4 + [day] * 4, peer_zones="aaaabbbb") is RestartKind.ZONE
    assert classify([1000.0] * 4 + [day] * 4, peer_zones="abababab") is RestartKind.ROLLING
    # Two of forty ages are too few; twelve are enough.
    zones = {f"n{index}": "a" for index in range(40)}
    assert classify_restart(2000.0, {"n1": 1000.0, "n2": 1000.0}, zones, "a") is RestartKind.UNKNOWN
    assert classify_restart(2000.0, {f"n{i}": 1000.0 for i in range(12)}, zones, "a") is RestartKind.FLEET
