"""The view of the fleet in virtual time: it settles after every kind of trouble; datagrams are bounded."""

import math
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larkcrank.config.sidecar import ConfigError, parse
from larkcrank.fleet import membership, wire
from larkcrank.fleet.membership import Membership
from larkcrank.fleet.records import BUCKETS, Digest, Record, Standing
from larkcrank.fleet.wire import Ack, Codec, DatagramError, Message, Once, Page, Ping, size_of
from larkcrank.lab import worlds
from larkcrank.lab.virtual import VirtualFleet
from tests.frames import CONFIG

QUIET_MS = 300_000.0


def record(name: str, incarnation: int = 1, standing: Standing = Standing.ALIVE, life: int = 7) -> Record:
    return Record(name, "m:1", "z", life, incarnation, standing)


def settled(count: int, seed: int = 1, **more: int) -> VirtualFleet:
    world = VirtualFleet(count, seed, **more)
    assert world.run_until_converged(QUIET_MS) is not None
    return world


# Records and datagrams


def test_which_record_counts() -> None:
    order = [
        record("a", 1),
        record("a", 1, Standing.SUSPECT),
        record("a", 1, Standing.DEAD),
        record("a", 1, Standing.LEFT),
        record("a", 2),
    ]
    for index, one in enumerate(order):
        for other in order[:index]:
            assert one.outranks(other) and not other.outranks(one)
        assert not one.outranks(one)
    assert record("a", life=8).outranks(record("a", life=7))


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(1, 3), st.sampled_from(Standing)), max_size=30))
def test_a_digest_depends_on_the_live_members_alone(told: list[tuple[int, int, Standing]]) -> None:
    digest, held = Digest(), dict[str, Record]()
    for number, incarnation, standing in told:
        new = record(f"n{number}", incarnation, standing)
        digest.change(held.get(new.name), new)
        held[new.name] = new
    anew = Digest()
    for one in reversed(list(held.values())):
        anew.change(None, one)
    assert (digest.whole, digest.buckets) == (anew.whole, anew.buckets)


def test_strange_damaged_and_other_datagrams_are_refused() -> None:
    codec = Codec("one", "s")
    ping = Ping(record("a"), "b", 1, 0, 5, [record("c")], b"")
    data = codec.encode(ping)
    assert codec.decode(data) == ping

    def why(text: bytes, by: Codec = codec) -> str:
        with pytest.raises(DatagramError) as caught:
            by.decode(text)
        return caught.value.why

    assert why(data, Codec("two", "s")) == why(data, Codec("one", "t")) == "strange"
    assert why(data[:-1]) == why(data[:-1] + bytes([data[-1] ^ 1])) == "strange"
    assert why(bytes([9]) + data[1:]) == "other_version"
    assert why(b"") == why(bytes(2000)) == "damaged"
    with pytest.raises(ValueError, match=r"1[0-9]{3} bytes"):
        codec.encode(msgspec.structs.replace(ping, room=bytes(1200)))


@given(st.binary(max_size=1300))
def test_no_bytes_do_more_than_be_refused(data: bytes) -> None:
    with pytest.raises(DatagramError):
        Codec("one").decode(data)


@given(st.lists(st.integers(0, 200), max_size=200))
def test_each_datagram_is_taken_once(counts: list[int]) -> None:
    once, taken = Once(), set[int]()
    for count in counts:
        took = once.takes(count)
        assert not (took and count in taken)
        if count > max(taken, default=-1):
            assert took
        if took:
            taken.add(count)


def test_a_replayed_datagram_is_counted_and_changes_nothing() -> None:
    me = Membership(record("a", life=1), [], Random(1), 0.0)
    ping = Ping(record("b", life=2), "a", 1, 0, 5, [], bytes(200))
    assert len(me.receive(1.0, "m:2", ping)) == 1
    assert me.receive(2.0, "m:9", ping) == [] and me.replayed == 1
    # Of an earlier life, replayed after the new one has come.
    assert me.receive(3.0, "m:2", Ping(record("b", 2, life=3), "a", 1, 0, 5, [], bytes(200)))
    assert me.receive(4.0, "m:2", ping) == [] and me.replayed == 2
    # Not met before, of a life that another one outranks: it is told so, and changes nothing.
    (told,) = me.receive(4.0, "m:2", msgspec.structs.replace(ping, count=2))
    assert isinstance(told.message, Ack) and told.message.news[0].life == 3
    assert me.members["b"].life == 3
    assert me.receive(5.0, "m:2", msgspec.structs.replace(ping, to="c", count=3)) == []  # for another


def test_no_answer_is_longer_than_its_question(monkeypatch: pytest.MonkeyPatch) -> None:
    """Watched at every datagram of a fleet that joins, splits and heals."""
    watched = [0]
    receive = Membership.receive

    def watch(self: Membership, now: float, place: str, message: Message) -> list[membership.Out]:
        outs = receive(self, now, place, message)
        for out in outs:
            answers = isinstance(out.message, (Ack, wire.Nack, wire.Differ, wire.Reply, Ping))
            if answers:
                watched[0] += 1
                limit = size_of(message) + (membership.ROOM_BYTES if isinstance(out.message, Ping) else 0)
                assert size_of(out.message) <= limit, (message, out.message)
        return outs

    monkeypatch.setattr(Membership, "receive", watch)
    world = settled(24)
    world.is_link_cut = lambda a, b: (a < 8) != (b < 8)
    world.run(60_000)
    world.is_link_cut = lambda a, b: False
    assert world.run_until_converged(QUIET_MS) is not None
    assert watched[0] > 1000


def test_pages_mend_what_news_no_longer_tells() -> None:
    """Two views that share one member, long after all news was told."""
    names = [f"n{index}" for index in range(200)]
    one = Membership(record("a", life=1), [], Random(1), 0.0)
    two = Membership(record("b", life=2), ["m:1"], Random(2), 0.0)
    for index, name in enumerate(names):
        (one if index % 2 else two)._merge(Record(name, "m:9", "z", 5, 1))
    one._news.clear()
    two._news.clear()
    now, box = 0.0, list[tuple[Membership, str, Message]]()
    one._round, two._round = ["b"], ["a"]
    one._merge(two.me)
    two._merge(one.me)
    for _ in range(40):
        now += 100.0
        for me, other, place in ((one, two, "m:1"), (two, one, "m:2")):
            box += [(other, place, out.message) for out in me.tick(now) if out.message.to in ("a", "b")]
        while box:
            to, place, message = box.pop(0)
            back = "m:2" if to is two else "m:1"
            answers = to.receive(now, place, message)
            box += [(one if to is two else two, back, out.message) for out in answers]
        if one.digest.whole == two.digest.whole:
            break
    assert {r.name for r in one.live()} == {r.name for r in two.live()} == {"a", "b", *names}


# Whole fleets


@pytest.mark.parametrize("count", [3, 10, 40])
def test_a_third_killed_at_one_moment_and_back_with_nothing_kept(count: int) -> None:
    world = settled(count)
    dead = list(range(0, count, 3))
    world.kill(dead)
    assert world.run_until_converged(QUIET_MS) is not None
    for number in dead:
        world.start(number)  # with incarnation 1: it outranks its former life without a disk or a clock
    assert world.run_until_converged(QUIET_MS) is not None


@pytest.mark.parametrize("side", [1, 6])
@pytest.mark.parametrize("length", [5_000.0, 300_000.0])
def test_a_split_heals_by_itself(side: int, length: float) -> None:
    """Even and one against all, for seconds and for minutes; all seeds lie on one side."""
    world = settled(12)
    world.is_link_cut = lambda a, b: (a >= 12 - side) != (b >= 12 - side)
    world.run(length)
    if length > 100_000:
        views = [len(member.live()) for member in world.members.values()]
        assert views == [12 - side] * (12 - side) + [side] * side  # both go on, each with its own
    world.is_link_cut = lambda a, b: False
    assert world.run_until_converged(QUIET_MS) is not None


def test_split_in_three_that_heals_in_another_order_with_all_seeds_dead() -> None:
    world = settled(12)
    world.kill([0, 1, 2])
    assert world.run_until_converged(QUIET_MS) is not None
    world.is_link_cut = lambda a, b: a % 3 != b % 3
    world.run(120_000)
    world.is_link_cut = lambda a, b: 0 in (a % 3, b % 3) and a % 3 != b % 3
    world.run(60_000)
    world.is_link_cut = lambda a, b: False
    assert world.run_until_converged(QUIET_MS) is not None


def test_a_merge_revives_no_dead_member() -> None:
    world = settled(10)
    world.is_link_cut = lambda a, b: (a < 5) != (b < 5)
    world.run(60_000)
    world.kill([4, 9])
    world.run(60_000)
    world.is_link_cut = lambda a, b: False
    assert world.run_until_converged(QUIET_MS) is not None
    before = len(world.deaths)
    world.run(120_000)
    assert len(world.deaths) == before and world.has_converged()


def flaps(world: VirtualFleet, ms: float) -> int:
    before = len(world.deaths)
    world.run(ms)
    return len(world.deaths) - before


def test_a_pair_that_cannot_hear_each_other_stays_in_both_views() -> None:
    """A hears B and B hears C only: others answer for them, nobody is declared dead."""
    world = settled(8)
    world.is_link_cut = lambda a, b: {a, b} == {3, 5}
    assert flaps(world, 300_000) == 0 and world.has_converged()


def test_a_member_that_is_not_heard_is_dead_once_and_not_by_turns() -> None:
    """One way out is lost: the others drop it, and it does not flap. It is back when the way is."""
    world = settled(8)
    world.is_link_cut = lambda a, b: a == 5
    world.run(120_000)
    assert all("n5" not in {r.name for r in m.live()} for n, m in world.members.items() if n != 5)
    others = [death for death in world.deaths if death[1] != 5]
    world.run(300_000)
    assert [death for death in world.deaths if death[1] != 5] == others
    world.is_link_cut = lambda a, b: False
    assert world.run_until_converged(QUIET_MS) is not None


@pytest.mark.parametrize(("loss", "delay"), [(0.3, 2.0), (0.0, 300.0)])
def test_lossy_and_slow_links(loss: float, delay: float) -> None:
    world = settled(12, delay_ms=delay)  # type: ignore[arg-type]
    world.loss_rate = loss
    died = flaps(world, 300_000)
    assert died <= 12  # of 12 members in five minutes, over all views
    world.loss_rate = 0.0
    assert world.run_until_converged(QUIET_MS) is not None


def test_members_that_stood_still_come_back() -> None:
    """They wake believing nothing bad of the others, though they heard nobody for 10 s."""
    world = settled(12)
    world.stop([3, 4])
    world.run(10_000)
    world.resume([3, 4])
    assert world.run_until_converged(QUIET_MS) is not None
    blamed = {name for _, viewer, name in world.deaths if viewer in (3, 4)}
    assert blamed <= {"n3", "n4"}


@pytest.mark.parametrize("seed", range(8))
def test_a_restart_that_nobody_noticed_is_back_at_once(seed: int) -> None:
    """Its new life may be lesser than the former one, which all others believe to live."""
    world = settled(8, seed)
    world.kill([5])
    world.start(5)
    took = world.run_until_converged(QUIET_MS)
    assert took is not None and took <= 5_000.0 and world.deaths == []


def test_half_restarted_at_once_and_a_rolling_restart_while_split() -> None:
    world = settled(12)
    world.kill(range(6))
    for number in range(6):
        world.start(number)
    assert world.run_until_converged(QUIET_MS) is not None
    world.is_link_cut = lambda a, b: a % 2 != b % 2
    for number in range(12):
        world.kill([number])
        world.run(1_000)
        world.start(number)
        world.run(2_000)
    world.is_link_cut = lambda a, b: False
    assert world.run_until_converged(QUIET_MS) is not None


def test_a_planned_leave_is_known_without_suspicion() -> None:
    world = settled(12)
    before = len(world.deaths)
    world.leave(7)
    took = world.run_until_converged(QUIET_MS)
    assert took is not None and took <= 5_000.0
    assert len(world.deaths) == before


@pytest.mark.parametrize("seed", range(1, 13))
def test_two_processes_with_one_name_are_told_apart_and_one_goes_on(seed: int) -> None:
    """Whichever life was drawn greater: half of them were answered by nobody, and went unnoticed."""
    world = settled(6, seed)
    told: list[str] = []
    world.start(9, name="n4")
    both = world.members[4], world.members[9]
    for _ in range(120):
        world.run(500)
        told += [change.why for member in both for change in member.changes]
    silent = [member.is_duplicate for member in both]
    assert sorted(silent) == [False, True]
    right = both[silent.index(False)]
    assert right.me.incarnation < 100  # no war
    known = {
        (r.life, r.incarnation) for n, m in world.members.items() if n < 4 for r in m.live() if r.name == "n4"
    }
    assert known == {(right.me.life, right.me.incarnation)}


def test_a_member_on_another_version_of_the_protocol_is_left_alone() -> None:
    world = settled(6)
    data = bytes([wire.VERSION + 1]) + bytes(100)
    world._arrive(2, "m:5", data)
    assert world.rejected_datagrams == {"other_version": 1} and world.has_converged()


def test_datagrams_are_flat_in_the_size_of_the_fleet() -> None:
    rates = []
    for count in (5, 40):
        world = settled(count)
        world.run(200_000)  # all that the joins had to tell is told
        before, size = world.sent_datagrams, world.sent_bytes
        world.run(30_000)
        rates.append(((world.sent_datagrams - before) / count / 30, (world.sent_bytes - size) / count / 30))
    (few, few_bytes), (many, many_bytes) = rates
    assert many <= 2.2 and abs(many - few) < 0.2
    assert many_bytes < 500 and many_bytes < few_bytes * 1.2


@pytest.mark.parametrize("block", range(4))
def test_after_quiet_every_view_is_the_truth(block: int) -> None:
    for seed in range(block * 10, block * 10 + 10):
        assert worlds.check_seed(seed) is None


def test_who_is_left_alone_counts_itself_alone() -> None:
    """Seed 90: the last of four doubted itself for ever, with nobody to probe; its count stayed four."""
    assert worlds.check_seed(90) is None


@pytest.mark.parametrize("seed", [1109, 4716])
def test_who_left_and_comes_again_is_found_though_all_seeds_are_dead(seed: int) -> None:
    """Found by the search: only the dead were looked for, and it knew nobody."""
    assert worlds.check_seed(seed) is None


def test_worlds_in_which_nobody_knows_of_the_other_are_told_apart() -> None:
    world = VirtualFleet(4, 1, seed_count=1)
    assert world.run_until_converged(QUIET_MS) is not None
    world.kill([0, 1])
    assert worlds.is_connected(world)  # the seed is dead, and they know each other
    world.kill([2, 3])
    world.start(2)
    world.start(3)
    assert not worlds.is_connected(world)


def test_every_world_of_three_members_and_one_spell() -> None:
    """Killed, restarted or nobody; then alone, dumb, deaf, a pair apart. Two spells: `fleet hunt`."""
    played = [worlds.check_steps(steps) for steps in worlds.all_step_sequences(1)]
    assert len(played) == 91 and not any(played)


def _never(self: Any) -> float:
    return math.inf


def _falls_back(self: Membership, me: Record) -> None:
    me = msgspec.structs.replace(me, incarnation=2 if self.me.incarnation < 2 else 1)
    self._hold(self.me, me)
    self.me = me


@pytest.mark.parametrize(
    ("planted", "what"),
    [
        ("no refutation", "not settled"),
        ("the dead are not looked for", "not settled"),
        ("the silent are never dead", "not settled"),
        ("no rank", "went back"),
        ("a refutation goes back", "went back"),
    ],
)
def test_the_same_search_finds_planted_bugs(planted: str, what: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """A live member that stays dead, a dead one that stays, a record or an incarnation that goes back."""
    match planted:
        case "no refutation":
            monkeypatch.setattr(Membership, "_about_me", lambda self, record: None)
        case "the dead are not looked for":
            monkeypatch.setattr(Membership, "_look_for_lost", lambda self: [])
        case "the silent are never dead":
            monkeypatch.setattr(membership._Suspicion, "ends_at", _never)
        case "no rank":
            monkeypatch.setattr(Record, "outranks", lambda self, other: True)
        case "a refutation goes back":
            monkeypatch.setattr(Membership, "_become", _falls_back)
    monkeypatch.setattr(worlds, "CONVERGENCE_LIMIT_MS", 60_000.0)
    found = (worlds.check_steps(steps) for steps in worlds.all_step_sequences(1))
    assert any(one is not None and what in one.problem for one in found)


def test_the_search_finds_what_news_and_pages_are_for(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Membership, "_compare", lambda self: [])
    monkeypatch.setattr(worlds, "CONVERGENCE_LIMIT_MS", 60_000.0)
    assert any(worlds.check_seed(seed) is not None for seed in range(200, 240))


def test_a_hunt_plays_all_side_by_side() -> None:
    played = list(worlds.search(range(6), depth=0, jobs=2))
    assert [done for done, _ in played] == list(range(1, 7))
    assert not any(found for _, found in played)


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 2**32))
def test_incarnations_never_go_back(seed: int) -> None:
    rng = Random(seed)
    me = Membership(record("a", life=1), [], Random(seed), 0.0)
    best = 1
    for step in range(60):
        about = Record("a", "m:1", "z", rng.choice([1, 2]), rng.randint(1, 6), rng.choice(list(Standing)))
        me._merge(about)
        assert me.me.incarnation >= best
        best = me.me.incarnation
        assert me.members["a"] is me.me and (me.is_duplicate or me.me.standing is Standing.ALIVE), step


# Configuration


def test_configuration_names_what_is_wrong() -> None:
    base = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": CONFIG}
    good = {"name": "f", "listen": "127.0.0.1:0", "seeds": ["127.0.0.1:5"]}
    found = parse(msgspec.json.encode(base | {"fleet": good}), {})
    assert found.fleet is not None and found.fleet.seeds == ("127.0.0.1:5",) and not found.site.may_talk
    for change, said in (
        ({"name": ""}, "fleet.name"),
        ({"listen": "x"}, "fleet.listen"),
        ({"seeds": ["127.0.0.1:5", "here"]}, "fleet.seeds[1]"),
        ({"public": "127.0.0.1:0"}, "fleet.public"),
    ):
        with pytest.raises(ConfigError, match=said.replace("[", r"\[")):
            parse(msgspec.json.encode(base | {"fleet": good | change}), {})
    assert parse(msgspec.json.encode(base), {}).fleet is None


def test_pages_are_within_their_bound() -> None:
    me = Membership(record("a", life=1), [], Random(1), 0.0)
    for index in range(3000):
        me._merge(Record(f"member-{index}", "127.0.0.1:65535", "zone", 2**61, 1))
    me._compared = "b"
    sender = record("b", life=9)
    outs = me.receive(1.0, "m:2", wire.Differ(sender, "a", 1, 0, list(range(BUCKETS))))
    assert len(outs) == membership.PAGES_AT_ONCE
    codec = Codec("f")
    for out in outs:
        assert isinstance(out.message, Page)
        assert len(codec.encode(out.message)) <= wire.MOST_BYTES


@pytest.mark.parametrize("seed", [103, 153, 266])
def test_links_of_300_ms_make_nobody_suspect_everybody(seed: int) -> None:
    """Found by the search: answers took longer than half of a period, so that incarnations never
    came to rest; one that agreed with a suspicion of another life took the name back (103); and answers of
    members that had stood still made the period of others long (153)."""
    assert worlds.check_seed(seed) is None
