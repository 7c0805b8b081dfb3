"""Lists in common: the newest gets round; one that lies or lags neither brings back nor takes away."""

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
    ListUpdate,
    SharedServerList,
    list_hash,
)
from larkcrank.fleet.membership import Membership, OutgoingMessage
from larkcrank.fleet.records import MemberRecord
from larkcrank.fleet.restart import RestartKind, classify_restart
from larkcrank.fleet.wire import Codec, ListChunk, ListRequest, ListStatus, ServerEntry, encoded_size
from tests.test_program import ROOT


def line(name: str, state: State = State.READY, started: float = 0.0, place: str = "") -> ServerEntry:
    return ServerEntry(name, int(state), "z", "k", 0, 1.0, started, place or f"h:{name}")


def lines(*names: str, started: float = 0.0) -> list[ServerEntry]:
    return [line(name, started=started) for name in names]


class Fleet:
    """Members with lists, all known to each other; datagrams take 2 ms, by hand."""

    def __init__(self, count: int, same_places: bool = True, seed: int = 1) -> None:
        self.now = 0.0
        self.rng = Random(seed)
        self.cut: set[int] = set()  # members that no datagram reaches or leaves
        self.loss = 0.0
        self.bytes = 0
        self.fellows = [
            Membership(MemberRecord(f"n{i}", f"m:{i}", "z", i + 1, 1), [], Random(i), 0.0)
            for i in range(count)
        ]
        for one in self.fellows:
            for other in self.fellows:
                one._merge(other.local_record)
        self.lists = [
            SharedServerList(one, same_places, Random(i), 0.0) for i, one in enumerate(self.fellows)
        ]
        self.told: list[list[ListUpdate]] = [[] for _ in self.lists]
        self.box: list[tuple[float, int, int, wire.Message]] = []
        self.codec = Codec("f")

    def send(self, source: int, outs: list[OutgoingMessage]) -> None:
        for out in outs:
            self.bytes += len(self.codec.encode(out.message))  # within the bound, or it raises
            to = int(out.address[2:])
            if not self.cut & {source, to} and self.rng.random() >= self.loss:
                self.box.append((self.now + 2.0, source, to, out.message))

    def hear(
        self, index: int, heard: list[ServerEntry], generation: int, whole: bool = True
    ) -> list[ServerEntry]:
        return self.lists[index].on_discovery_list(self.now, heard, generation, whole)

    def run(self, ms: float) -> None:
        until = self.now + ms
        while self.now < until:
            self.now += 10.0
            due = [one for one in self.box if one[0] <= self.now]
            self.box = [one for one in self.box if one[0] > self.now]
            for _, source, to, message in due:
                self.send(to, self.fellows[to].receive(self.now, f"m:{source}", message))
                self.result(to)
            for index, one in enumerate(self.lists):
                if round(self.now) % 100 == 0:
                    self.send(index, one.tick(self.now))
                self.result(index)

    def result(self, index: int) -> None:
        told = self.lists[index].take_update(self.now)
        if told is not None:
            self.told[index].append(told)

    def names(self, index: int) -> list[str]:
        return sorted(name for name, one in self.lists[index].entries.items() if one.state == State.READY)


def begun(count: int, names: tuple[str, ...] = ("a", "b", "c", "d"), **more: bool) -> Fleet:
    """All hold the same list, told by discovery."""
    fleet = Fleet(count, **more)
    for index in range(count):
        fleet.hear(index, lines(*names), 10)
    fleet.run(2000.0)
    return fleet


def test_those_that_hear_nothing_have_a_newer_list_from_the_others_at_once() -> None:
    """Ten of twenty are deaf while three of four servers are replaced."""
    fleet = begun(20)
    for index in range(10):
        fleet.hear(index, lines("a", "t", "u", "v", started=5.0), 17)
    fleet.run(1000.0)
    assert all(fleet.names(index) == ["a", "t", "u", "v"] for index in range(20))
    assert all(fleet.told[index][-1].generation == 17 for index in range(10, 20))


def test_a_list_of_many_servers_comes_in_pieces_and_through_losses() -> None:
    fleet = begun(6)
    many = [line(f"server-{index:04d}", started=index) for index in range(200)]
    fleet.loss = 0.2
    fleet.hear(0, many, 40)
    fleet.hear(1, many, 40)
    fleet.run(20_000.0)
    assert all(len(one.entries) == 200 for one in fleet.lists)


def test_one_fellow_cannot_empty_the_list_and_two_can() -> None:
    fleet = begun(5)
    fleet.hear(0, lines("a"), 99)
    fleet.run(30_000.0)
    assert all(fleet.names(index) == ["a", "b", "c", "d"] for index in range(1, 5))
    assert all(
        one.rejected_counts["alone"] == 1 for one in fleet.lists[1:]
    )  # and those who took it half vouch for nothing
    before = fleet.bytes
    fleet.run(20_000.0)
    assert (fleet.bytes - before) / 5 / 20.0 < 400.0  # nor do they talk of it without end
    fleet.hear(1, lines("a"), 99)
    fleet.run(3000.0)
    assert all(fleet.names(index) == ["a"] for index in range(5))


def test_an_empty_list_is_only_discoverys_to_tell() -> None:
    """It came back without what it knew, and told so to two: they obey, the others serve on."""
    fleet = begun(6)
    for index in (0, 1):
        fleet.hear(index, [], 11)
    fleet.run(5000.0)
    assert [len(fleet.names(index)) for index in range(6)] == [0, 0, 4, 4, 4, 4]
    for index in (0, 1):
        fleet.hear(index, lines("a", "b", "c", "e"), 12)
    fleet.run(3000.0)
    assert all(fleet.names(index) == ["a", "b", "c", "e"] for index in range(6))


def test_one_fellow_can_take_away_a_few_and_add_some() -> None:
    fleet = begun(5)
    fleet.hear(0, lines("b", "c", "d", "e"), 11)
    fleet.run(2000.0)
    assert all(fleet.names(index) == ["b", "c", "d", "e"] for index in range(5))


def test_what_drains_or_has_gone_is_not_brought_back_within_its_life() -> None:
    """By a fellow that lags, by one that lies, and by discovery itself where it tells an older list."""
    fleet = begun(4)
    for index in range(3):
        fleet.hear(index, [line("a", State.DRAINING), line("b", State.GONE)], 12, whole=False)
    fleet.run(2000.0)
    assert all(fleet.names(index) == ["c", "d"] for index in range(4))
    fleet.hear(3, lines("a", "b", "c", "d"), 50)  # it lies, or a part of discovery does
    fleet.run(3000.0)
    assert all(fleet.names(index) == ["c", "d"] for index in range(3))
    assert all(fleet.lists[index].rejected_counts["gone"] == 2 for index in range(3))
    fleet.hear(0, lines("a", "b", "c", "d"), 11)
    assert fleet.names(0) == ["c", "d"]
    fleet.hear(0, [*lines("a", started=9.0), *lines("c", "d")], 60)  # another life
    fleet.run(3000.0)
    assert all(fleet.names(index) == ["a", "c", "d"] for index in range(3))


def test_a_life_of_its_own_ends_what_is_remembered() -> None:
    fleet = begun(2)
    fleet.hear(0, [line("a", State.GONE)], 12, whole=False)
    assert set(fleet.lists[0].departed()) == {"a"}
    fleet.hear(0, lines("a", started=3.0), 13, whole=False)
    assert fleet.lists[0].departed() == {}


def test_a_fellow_whose_discovery_lags_takes_nothing_back() -> None:
    fleet = begun(6)
    for index in range(5):
        fleet.hear(index, lines("c", "d", "e"), 20)
    fleet.run(2000.0)
    assert fleet.names(5) == ["c", "d", "e"]
    for _ in range(8):
        fleet.hear(5, lines("a", "b", "c", "d"), 10)  # whole, as it was
        for index in range(5):
            fleet.hear(index, [], 20, whole=False)  # a watch that told nothing
        fleet.run(5000.0)
    assert all(fleet.names(index) == ["c", "d", "e"] for index in range(6))
    assert all(one.generation == 20 for one in fleet.lists)


def test_a_discovery_that_counts_anew_is_believed_of_two_and_of_one_after_a_while() -> None:
    fleet = begun(6)
    fleet.run(module.DISCOVERY_REPORT_MAX_AGE_MS)
    fleet.hear(0, lines("p", "q"), 1)
    fleet.run(2000.0)
    assert set(fleet.names(0)) == {"a", "b", "c", "d", "p", "q"}  # both, until it is plain
    fleet.hear(1, lines("p", "q"), 1)
    fleet.run(5000.0)
    assert all(fleet.names(index) == ["p", "q"] for index in range(6))
    alone = begun(3)
    alone.run(module.DISCOVERY_REPORT_MAX_AGE_MS)
    for _ in range(5):
        alone.hear(0, lines("p", "q"), 1)
        alone.run(COUNT_RESTART_CONFIRM_MS / 4)
    assert alone.names(0) == ["p", "q"]


def test_a_list_of_before_gives_way_to_one_that_discovery_told() -> None:
    """Also to a lower generation: discovery may count anew. And an older one of before to a newer one."""
    fleet = Fleet(3)
    for index, generation in enumerate((5, 9, 7)):
        fleet.lists[index].load_saved(lines("a", "b", f"x{generation}"), generation)
    fleet.run(3000.0)
    assert all(one.generation == 9 and not one.is_reported for one in fleet.lists)
    assert all("x9" in fleet.names(index) for index in range(3))
    fleet.hear(2, lines("a", "n"), 2)
    fleet.run(3000.0)
    assert all("n" in fleet.names(index) for index in range(3))
    assert all(one.generation == 2 and one.is_reported for one in fleet.lists)


def test_an_old_list_is_not_taken() -> None:
    fleet = begun(3)
    fleet.cut = {2}
    fleet.hear(0, lines("a", "b", "c", "e"), 15)
    fleet.now += MAX_PEER_LIST_AGE_MS + 100.0
    fleet.cut = set()
    fleet.hear(2, lines("a", "b", "c", "d"), 12)
    fleet.run(3000.0)
    assert fleet.names(2) == ["a", "b", "c", "d"] and fleet.lists[2].generation == 12


def test_places_are_ones_own_unless_they_are_the_same_for_all() -> None:
    """What one cannot place gets nothing; what lives again may stand elsewhere; the rest keeps its place."""
    fleet = Fleet(3, same_places=False)
    for index in range(3):
        mine = [line(name, place=f"own-{index}:{name}") for name in "abcd"]
        fleet.hear(index, mine, 10)
    moved = [line("a", place="x:a"), line("b", place="x:b"), line("c", started=9.0), line("new")]
    fleet.hear(0, moved, 11)
    fleet.hear(1, moved, 11)
    fleet.run(3000.0)
    assert fleet.names(2) == ["a", "b"]
    assert {one.host_port for one in fleet.lists[2].entries.values()} == {"own-2:a", "own-2:b"}
    assert fleet.lists[2].rejected_counts["place"] == 2


def test_a_stranger_to_the_transfer_changes_nothing() -> None:
    fleet = begun(3)
    head = fleet.fellows[1].message_header("n0")
    piece = ListChunk(*head, 0, 99, 5, 1.0, "", "", lines("z"))
    assert fleet.lists[0].receive(fleet.now, "m:1", piece) == []  # never asked for
    have = ListStatus(*head, 0, 99, 1.0, 5, 99, 1.0, 1.0, bytes(24))
    (want,) = fleet.lists[0].receive(fleet.now, "m:1", have)
    assert isinstance(want.message, ListRequest)
    fleet.lists[0].receive(fleet.now, "m:1", piece)
    assert fleet.lists[0].rejected_counts == {"mark": 1} and fleet.names(0) == ["a", "b", "c", "d"]


def test_no_answer_is_longer_than_its_question(monkeypatch: pytest.MonkeyPatch) -> None:
    receive, watched = SharedServerList.receive, [0]

    def watch(
        self: SharedServerList, now: float, place: str, message: wire.ListMessage
    ) -> list[OutgoingMessage]:
        outs = receive(self, now, place, message)
        for out in outs:
            if not isinstance(out.message, ListRequest):  # which asks the teller for what it offered
                watched[0] += 1
                assert encoded_size(out.message) <= encoded_size(message)
        return outs

    monkeypatch.setattr(SharedServerList, "receive", watch)
    fleet = begun(12)
    fleet.hear(0, [line(f"s{index}") for index in range(100)], 20)
    fleet.run(10_000.0)
    assert watched[0] > 30


def test_what_is_told_is_flat_in_the_size_of_the_fleet() -> None:
    rates = []
    for count in (5, 40):
        fleet = begun(count)
        fleet.run(5000.0)
        before = fleet.bytes
        fleet.run(20_000.0)
        rates.append((fleet.bytes - before) / count / 20.0)
    assert rates[1] < 200.0 and rates[1] < 1.3 * rates[0]


@settings(max_examples=15, deadline=None)
@given(st.integers(0, 2**32))
def test_whatever_fellows_say_no_gone_server_comes_back_and_no_list_empties(seed: int) -> None:
    """One liar among five, with anything: generations, epochs, lines, claims of having it from discovery."""
    rng, fleet = Random(seed), begun(5)
    for index in range(4):
        fleet.hear(index, [line("a", State.GONE)], 12, whole=False)
    fleet.run(1500.0)
    liar = fleet.lists[4]
    for _ in range(10):
        names = rng.sample(["a", "b", "c", "d", "e", "f"], rng.randint(0, 6))
        told = {name: line(name, State(rng.randint(0, 2))) for name in names}
        liar._replace_list(
            told, told, module._ListVersion(rng.randint(0, 3), rng.randint(0, 1000), fleet.now)
        )
        liar._direct_generation, liar._direct_at = liar.generation, fleet.now
        liar._announce_soon = True
        fleet.run(rng.choice([200.0, 2000.0]))
        for index in range(4):
            # The others go on hearing discovery, which tells the truth.
            fleet.hear(index, [], 12, whole=False) if rng.random() < 0.5 else None
    fleet.run(2000.0)
    for index in range(4):
        assert "a" not in fleet.names(index)
        assert fleet.lists[index].entries


@pytest.mark.parametrize("planted", ["gone comes back", "one empties it", "old counts"])
def test_broken_on_purpose_each_is_caught(planted: str, monkeypatch: pytest.MonkeyPatch) -> None:
    match planted:
        case "gone comes back":
            monkeypatch.setattr(SharedServerList, "_keep_departed", lambda self, line: line)
            test = test_what_drains_or_has_gone_is_not_brought_back_within_its_life
        case "one empties it":
            monkeypatch.setattr(module, "REQUIRED_CONFIRMATIONS", 1)
            test = test_one_fellow_cannot_empty_the_list_and_two_can
        case _:
            monkeypatch.setattr(module, "MAX_PEER_LIST_AGE_MS", math.inf)
            test = test_an_old_list_is_not_taken
    with pytest.raises((AssertionError, KeyError)):
        test()


def test_marks_depend_on_lines_and_not_on_their_order() -> None:
    some = lines("a", "b", "c")
    assert list_hash(some, True) == list_hash(some[::-1], True)
    other = [msgspec.structs.replace(some[0], host_port="q:1"), *some[1:]]
    assert list_hash(some, False) == list_hash(other, False) and list_hash(some, True) != list_hash(
        other, True
    )


def test_the_page_shows_what_is_trusted() -> None:
    page = (ROOT / "docs/fleet-recovery.md").read_text()
    for row in trust.TRUST_RULES:
        ages = f"{trust.format_age(row.restart_max_age_ms)} | {trust.format_age(row.peer_max_age_ms)}"
        assert f"| {row.state} | {ages} | {row.reason} | {row.cost_of_error} |" in page


# Whose turn it is to call discovery


def calls(count: int, down_ms: float, cut: int = -1, seed: int = 1) -> list[tuple[float, int, bool]]:
    """All begin within 2 s; discovery answers after `down_ms`; `cut` hangs. When, who, answered."""
    rng = Random(seed)
    live = [f"n{index}" for index in range(count)]
    begins = [rng.random() * 2000.0 for _ in live]
    asking = [DiscoveryCallGate(name, count, i, begins[i], rng.random()) for i, name in enumerate(live)]
    found: list[tuple[float, int, bool]] = []
    now, known_at = 0.0, math.inf
    silent: set[int] = set()
    while now < 45_000.0:
        now += 100.0
        for index, one in enumerate(asking):
            met = live if now > begins[index] + 500.0 else [live[index]]
            told = known_at if now >= known_at + 300.0 else -math.inf
            if now < begins[index] or index in silent or one.is_unrestricted:
                continue
            if one.may_call(now, met, max(told, now - 1000.0) if told > 0 else told):
                ok = now >= down_ms and index != cut
                found.append((now, index, ok))
                if index == cut:
                    silent.add(index)  # its call hangs
                elif ok:
                    one.on_success()
                    known_at = min(known_at, now)
                else:
                    one.on_failure(now)
    return found


@pytest.mark.parametrize("count", [10, 40, 100])
@pytest.mark.parametrize("down_ms", [0.0, 6_000.0])
def test_calls_to_discovery_stay_under_a_quarter_of_the_fleet(count: int, down_ms: float) -> None:
    found = [at for at, _, _ in calls(count, down_ms) if at < 20_000.0]
    assert len(found) <= max(count / 4, 12)  # also those that found nobody
    first = next(at for at, _, ok in calls(count, down_ms) if ok)
    assert first <= down_ms + 3 * TURN_MS + 1000.0
    everyone = {who for _, who, ok in calls(count, down_ms) if ok}
    assert len(everyone) == count or count == 100  # later all watch again, spread


def test_another_takes_over_from_an_asker_that_is_cut_off() -> None:
    for cut in range(10):
        found = calls(10, 3_000.0, cut=cut)
        assert any(ok for at, _, ok in found if at < 3_000.0 + 3 * TURN_MS)


def test_one_alone_asks_at_once_and_without_fellows_soon() -> None:
    assert DiscoveryCallGate("a", 1, 0, 0.0, 0.5).may_call(0.0, ["a"], -math.inf)
    many = DiscoveryCallGate("a", 20, 7, 0.0, 0.5)
    assert not many.may_call(500.0, ["a"], -math.inf)
    assert many.may_call(5_000.0, ["a"], -math.inf)


def test_in_ordinary_times_everyone_may_and_after_a_failure_by_turns() -> None:
    live = [f"n{index}" for index in range(20)]
    some = [DiscoveryCallGate(name, 20, i, 0.0, 0.5) for i, name in enumerate(live)]
    for one in some:
        one.on_success()
    assert all(one.may_call(1000.0, live, 0.0) for one in some)
    for one in some:
        one.on_failure(100_000.0)
    assert sum(one.may_call(100_000.0 + TURN_MS, live, -math.inf) for one in some) == 1


def test_those_who_have_it_from_fellows_watch_again_later() -> None:
    live = [f"n{index}" for index in range(40)]
    some = [DiscoveryCallGate(name, 40, i, 0.0, i / 40) for i, name in enumerate(live)]
    assert sum(one.may_call(5000.0, live, 4900.0) for one in some) == 4
    later = [one.may_call(5000.0 + WATCH_DELAY_MS + 3000.0, live, 30_000.0) for one in some]
    assert 15 <= sum(later) <= 25
    assert all(one.may_call(5000.0 + WATCH_DELAY_MS + 6100.0, live, 40_000.0) for one in some)


# Which restart it was


def guess(ages: list[float], mine: float = 2000.0, zones: str = "") -> RestartKind:
    others = {f"n{index}": age for index, age in enumerate(ages)}
    where = {name: (zones[index] if zones else "a") for index, name in enumerate(others)}
    return classify_restart(mine, others, where | {"me": "a"}, "a")


def test_which_restart_it_was() -> None:
    day = 86_400_000.0
    assert guess([]) is RestartKind.UNKNOWN and guess([2000.0]) is RestartKind.UNKNOWN
    assert guess([1000.0, 4000.0, 9000.0, 500.0]) is RestartKind.FLEET
    assert guess([day] * 9) is RestartKind.SINGLE
    assert guess([20_000.0 * index for index in range(1, 10)]) is RestartKind.ROLLING
    assert guess([1000.0] * 4 + [day] * 4, zones="aaaabbbb") is RestartKind.ZONE
    assert guess([1000.0] * 4 + [day] * 4, zones="abababab") is RestartKind.ROLLING
    # Few of many have answered yet.
    everyone = {f"n{index}": "a" for index in range(40)}
    assert classify_restart(2000.0, {"n1": 1000.0, "n2": 1000.0}, everyone, "a") is RestartKind.UNKNOWN
    assert classify_restart(2000.0, {f"n{i}": 1000.0 for i in range(12)}, everyone, "a") is RestartKind.FLEET
