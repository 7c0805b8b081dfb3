"""The tiers' hard cases: real processes on loopback, faults between them, verdicts by count and order."""

import asyncio
import json
import shutil
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from larkcrank.lab.tiers import Source, Watcher, written
from tests import tiers_world as bed
from tests.tiers_world import World, all_ready, line, lines, names, three_levels, until, world

ZONE = 364  # endpoints of a lost zone


def test_a_change_goes_down_all_levels_as_changes_and_never_as_a_whole_list(tmp_path: Path) -> None:
    async def work() -> None:
        async with world(tmp_path) as w:
            await three_levels(w)
            at = [w.tiers[name].doors[0] for name in ("o", "r0", "r1", "r0z0", "r1z0")]
            watchers = [await w.watcher(place, known=True) for place in at]
            await w.agreed(watchers, all_ready())
            since = [len(watcher.answers) for watcher in watchers]
            expected = all_ready()
            for lifecycle in ("Terminating", "Gone"):
                w.sources["r1"].tell([line("r1-3", lifecycle)])
                await w.told(watchers, "r1-3", lifecycle)
            w.sources["r0"].tell([line("new")])
            expected.pop("r1-3")
            await w.agreed(watchers, expected | {"new": "Ready"})
            assert [watcher.count("whole", n) for watcher, n in zip(watchers, since, strict=True)] == [0] * 5
            assert [watcher.count("failed", n) for watcher, n in zip(watchers, since, strict=True)] == [0] * 5

    bed.run(work())


def test_a_door_gives_only_its_services(tmp_path: Path) -> None:
    async def work() -> None:
        async with world(tmp_path) as w:
            await three_levels(w, doors=("s0", "s1", "*"), services=True)
            one, two, both = [await w.watcher(place, known=True) for place in w.tiers["r0z0"].doors]
            await w.agreed([both], all_ready())
            await w.agreed([one], dict.fromkeys(names("r0", 10), "Ready"))
            await w.agreed([two], dict.fromkeys(names("r1", 10), "Ready"))
            since = len(one.answers)
            w.sources["r1"].tell([line("r1-0", "Terminating", "s1")])
            await w.told([two, both], "r1-0", "Terminating")
            w.sources["r0"].tell([line("r0-0", "Terminating", "s0")])
            await w.told([one, both], "r0-0", "Terminating")
            assert [a.lines for a in one.answers[since:] if a.kind != "quiet"] == [1]
            assert one.states.keys() == names("r0", 10)

    bed.run(work())


def test_a_burst_is_gathered_and_a_lone_drain_behind_it_does_not_wait(tmp_path: Path) -> None:
    async def work() -> None:
        async with world(tmp_path) as w:
            gather_s = 0.5
            await three_levels(w, endpoints=ZONE + 1, gather_ms=gather_s * 1000)
            watchers = [await w.watcher(w.tiers[name].doors[0], known=True) for name in ("r0z0", "r1z0")]
            await w.agreed(watchers, all_ready(endpoints=ZONE + 1))
            since = [len(watcher.answers) for watcher in watchers]
            loop = asyncio.get_running_loop()
            began = loop.time()
            for index in range(ZONE):  # each a generation of its own
                w.sources["r0"].tell([line(f"r0-{index}", "Gone")])
                await asyncio.sleep(0.004)
            w.sources["r1"].tell([line("r1-0", "Terminating")])
            expected = all_ready(endpoints=ZONE + 1) | {"r1-0": "Terminating"}
            for name in names("r0", ZONE):
                del expected[name]
            await w.agreed(watchers, expected)
            # A door's waves are as far apart by the tier's own clock; this span holds all of them.
            most = 2 + (loop.time() - began) / gather_s
            for watcher, n in zip(watchers, since, strict=True):
                changes = [answer for answer in watcher.answers[n:] if answer.kind == "changes"]
                assert watcher.count("whole", n) == 0
                assert len(changes) <= most, (len(changes), most)
                drain = watcher.seen_at["r1-0", "Terminating"]
                last = max(watcher.seen_at[name, "Gone"] for name in names("r0", ZONE))
                between = [answer for answer in changes if last < answer.at <= drain]
                assert len(between) <= 1, "the drain waited for an answer after the burst's last"

    bed.run(work())


def test_a_lone_change_goes_at_once_and_only_what_follows_it_is_gathered(tmp_path: Path) -> None:
    async def work() -> None:
        async with world(tmp_path) as w:
            source = await w.source("d", lines("a", 50))
            tier = await w.tier(
                "z",
                sources=[{"discovery": written(source.place)}],
                doors=[{"listen": "127.0.0.1:0", "services": ["*"]}],
                settings={"gather_ms": 1000},
            )
            watcher = await w.watcher(tier.doors[0], known=True)
            await w.agreed([watcher], dict.fromkeys(names("a", 50), "Ready"))
            await asyncio.sleep(1.2)  # the answer above is a wave too
            since = len(watcher.answers)
            source.tell([line("a-0", "Terminating")])
            await w.told([watcher], "a-0", "Terminating")
            for index in range(1, 21):
                source.tell([line(f"a-{index}", "Terminating")])
                await asyncio.sleep(0.002)
            await w.told([watcher], "a-20", "Terminating")
            told = [answer.lines for answer in watcher.answers[since:] if answer.kind == "changes"]
            assert told[0] == 1
            assert len(told) <= 3, told  # one by one it were 21

    bed.run(work())


def test_stopped_receivers_hold_up_nobody_and_cost_bounded_memory(tmp_path: Path) -> None:
    async def work() -> None:
        async with world(tmp_path) as w:
            source = await w.source("d", lines("a", 4000))
            tier = await w.tier(
                "z",
                sources=[{"discovery": written(source.place)}],
                doors=[{"listen": "127.0.0.1:0", "services": ["*"]}],
            )
            await w.complete()
            reader = await w.watcher(tier.doors[0], known=True)
            stopped = await w.crowd(60, tier.doors[0])
            await w.agreed([reader, *stopped], dict.fromkeys(names("a", 4000), "Ready"))
            before, _ = tier.usage()
            for watcher in stopped:
                watcher.hold()  # its call is out; it reads nothing any more
            for turn in range(10):  # each wave is some 500 KB: all of the list, told as changes
                weight = 2.0 + turn
                source.tell([entry | {"weight": weight} for entry in lines("a", 4000)])
                await weighs(reader, weight)
            after, _ = tier.usage()
            # One answer of some 500 KB for each would be 30 MB, ten waves' 300 MB.
            assert after - before < 60, (before, after)
            assert reader.count("failed") == 0
            state = await tier.told("STATE")
            assert state, state
            for watcher in stopped:  # read again, each comes to what is so
                watcher.release()
            await w.agreed([reader, *stopped], dict.fromkeys(names("a", 4000), "Ready"))

    async def weighs(reader: Watcher, weight: float) -> None:
        await until(lambda: reader.held["a-0"]["weight"] == weight, lambda: reader.answers[-3:])

    bed.run(work())


def test_who_comes_with_another_generation_gets_its_part_whole_at_a_bounded_rate(tmp_path: Path) -> None:
    async def work() -> None:
        async with world(tmp_path) as w:
            source = await w.source("d", lines("a", 40, service="s") + lines("b", 40, service="t"))
            tier = await w.tier(
                "z",
                sources=[{"discovery": written(source.place)}],
                doors=[{"listen": "127.0.0.1:0", "services": ["s"]}],
                settings={"wholes_per_s": 10},
            )
            await w.complete()
            first = await w.watcher(tier.doors[0], known=True)
            assert first.states.keys() == names("a", 40)
            held = list(first.held.values())
            began = asyncio.get_running_loop().time()
            crowd = [await w.watcher(tier.doors[0], generation=41, held=held) for _ in range(40)]
            await until(
                lambda: all(watcher.count("whole") for watcher in crowd),
                lambda: [watcher.answers[-1:] for watcher in crowd if not watcher.count("whole")],
            )
            whole = sorted(
                answer.at for watcher in crowd for answer in watcher.answers if answer.kind == "whole"
            )
            # An answer is read after it was sent, so that this holds however late the test's own loop is.
            for count, at in enumerate(whole, 1):
                assert count <= 1 + 10 * (at - began), (count, at - began)
            assert all(watcher.count("whole") == 1 for watcher in crowd)
            assert all(watcher.states.keys() == names("a", 40) for watcher in crowd)
            failed = [a.error for watcher in crowd for a in watcher.answers if a.kind == "failed"]
            assert set(failed) <= {"503"}, failed  # who would wait longer than 2 s for its turn
            source.tell([line("a-1", "Gone", "s")])
            await w.told(crowd, "a-1", "Gone")

    bed.run(work())


FAULTS = ["killed", "stopped", "half-open", "one way up", "one way down"]


@pytest.mark.parametrize("fault", FAULTS)
def test_zones_below_a_lost_region_go_to_a_neighbour_without_a_herd(tmp_path: Path, fault: str) -> None:
    async def work() -> None:
        async with world(tmp_path) as w:
            await three_levels(w, zones=3)
            zones = [f"r0z{z}" for z in range(3)]
            watchers = [await w.watcher(w.tiers[zone].doors[0], known=True) for zone in zones]
            await w.agreed(watchers, all_ready())
            since = [len(watcher.answers) for watcher in watchers]
            before = {zone: w.relays[zone, "r1"].accepted for zone in zones}
            region = w.tiers["r0"]
            if fault == "killed":
                await region.kill()
            elif fault == "stopped":
                region.stop()
            else:
                for near, far in [*((zone, "r0") for zone in zones)]:
                    w.relays[near, far].set(up=fault == "one way up", down=fault == "one way down")
            w.sources["r1"].tell([line("r1-0", "Terminating")])
            await w.told(watchers, "r1-0", "Terminating")
            w.sources["r1"].tell([line("r1-0", "Gone")])
            await w.told(watchers, "r1-0", "Gone")
            for zone in zones:
                assert w.relays[zone, "r1"].accepted - before[zone] <= 3, zone
            assert [watcher.count("whole", n) for watcher, n in zip(watchers, since, strict=True)] == [0] * 3
            for watcher in watchers:  # r0's endpoints are held on: nobody says that they are gone
                assert names("r0", 10) <= watcher.states.keys()
            if fault == "stopped":
                region.go_on()

    bed.run(work())


def test_a_region_that_is_back_with_its_old_snapshot_brings_nothing_back(tmp_path: Path) -> None:
    async def work() -> None:
        async with world(tmp_path) as w:
            source = await w.source("d", lines("a", 20))
            upper = await w.tier(
                "r",
                sources=[{"discovery": await w.relayed("r", "d", source.place)}],
                snapshot=str(tmp_path / "r.snapshot"),
                settings={"snapshot_ms": 100},
            )
            way = await w.relayed("z", "r", upper.listen)
            zone = await w.tier("z", above=[way], doors=[{"listen": "127.0.0.1:0", "services": ["*"]}])
            watcher = await w.watcher(zone.doors[0], known=True)
            await w.agreed([watcher], dict.fromkeys(names("a", 20), "Ready"))
            await until(lambda: (tmp_path / "r.snapshot").exists())
            shutil.copy(tmp_path / "r.snapshot", tmp_path / "old")
            source.tell([line(name, "Gone") for name in names("a", 5)])
            source.tell([line("a-7", "Terminating")])
            expected = dict.fromkeys(names("a", 15, first=5), "Ready") | {"a-7": "Terminating"}
            await w.agreed([watcher], expected)
            since = len(watcher.answers)
            await upper.kill()
            shutil.copy(tmp_path / "old", tmp_path / "r.snapshot")
            w.relays["r", "d"].cut()  # and it can't hear what is so
            await upper.start()
            asked = w.relays["z", "r"].accepted
            await until(lambda: w.relays["z", "r"].accepted > asked)
            await asyncio.sleep(0.5)
            assert watcher.states == expected
            w.relays["r", "d"].heal()
            source.tell([line("a-19", "Terminating")])
            await w.agreed([watcher], expected | {"a-19": "Terminating"})
            assert watcher.count("whole", since) == 0

    bed.run(work())


def test_a_zone_that_is_back_with_its_old_snapshot_says_nothing_to_who_holds_a_list(tmp_path: Path) -> None:
    async def work() -> None:
        async with world(tmp_path) as w:
            source = await w.source("d", lines("a", 20))
            zone = await w.tier(
                "z",
                sources=[{"discovery": await w.relayed("z", "d", source.place)}],
                doors=[{"listen": "127.0.0.1:0", "services": ["*"]}],
                snapshot=str(tmp_path / "snapshot"),
                settings={"snapshot_ms": 100},
            )
            watcher = await w.watcher(zone.doors[0], known=True)
            await w.agreed([watcher], dict.fromkeys(names("a", 20), "Ready"))
            await until(lambda: (tmp_path / "snapshot").exists())
            shutil.copy(tmp_path / "snapshot", tmp_path / "old")
            source.tell([line("a-0", "Gone")])
            await w.told([watcher], "a-0", "Gone")
            await zone.kill()
            shutil.copy(tmp_path / "old", tmp_path / "snapshot")
            w.relays["z", "d"].cut()
            await zone.start()
            since = len(watcher.answers)
            await until(lambda: len(watcher.answers) > since + 3, lambda: watcher.answers[-3:])
            assert {answer.kind for answer in watcher.answers[since:]} == {"failed"}
            assert watcher.states == dict.fromkeys(names("a", 19, first=1), "Ready")
            fresh = await w.watcher(zone.doors[0], known=True)  # one with nothing starts by what there is
            assert fresh.states == dict.fromkeys(names("a", 20), "Ready")
            w.relays["z", "d"].heal()
            source.tell([line("a-1", "Terminating")])
            await w.agreed(
                [watcher, fresh],
                dict.fromkeys(names("a", 18, first=2), "Ready") | {"a-1": "Terminating"},
            )

    bed.run(work())


def test_a_discovery_that_counts_anew_changes_nothing_below(tmp_path: Path) -> None:
    async def work() -> None:
        async with world(tmp_path) as w:
            await three_levels(w)
            w.sources["r0"].tell([line("r0-0", "Gone")])
            watchers = [await w.watcher(w.tiers[zone].doors[0], known=True) for zone in ("r0z0", "r1z0")]
            expected = all_ready()
            del expected["r0-0"]
            await w.agreed(watchers, expected)
            since = [len(watcher.answers) for watcher in watchers]
            calls = w.sources["r0"].whole_answers
            w.sources["r0"].anew()
            del w.sources["r0"].lines["r0-1"]  # this one went while it was away: only its absence tells
            w.sources["r0"].wake()
            await until(lambda: w.sources["r0"].whole_answers > calls)
            await w.told(watchers, "r0-1", "Gone")
            del expected["r0-1"]
            w.sources["r0"].tell([line("r0-2", "Terminating")])
            await w.agreed(watchers, expected | {"r0-2": "Terminating"})
            assert [watcher.count("whole", n) for watcher, n in zip(watchers, since, strict=True)] == [0] * 2

    bed.run(work())


def test_an_origin_that_starts_anew_is_never_mistaken_for_the_one_before(tmp_path: Path) -> None:
    async def work() -> None:
        async with world(tmp_path) as w:
            await three_levels(w)
            watchers = [await w.watcher(w.tiers[name].doors[0], known=True) for name in ("r0z0", "r1z0", "o")]
            await w.agreed(watchers, all_ready())
            generation = watchers[2].generation
            await w.tiers["o"].kill()
            w.sources["r1"].tell([line("r1-0", "Gone")])
            await w.told([watchers[1]], "r1-0", "Gone")
            since = [len(watcher.answers) for watcher in watchers]
            await w.tiers["o"].start()
            w.sources["r0"].tell([line("r0-0", "Gone")])
            expected = all_ready()
            del expected["r0-0"], expected["r1-0"]
            await w.agreed(watchers, expected)
            assert [watcher.count("whole", n) for watcher, n in zip(watchers, since, strict=True)] == [
                0,
                0,
                1,
            ]
            assert watchers[2].generation != generation

    bed.run(work())


def test_a_generation_of_another_tier_is_answered_with_the_whole_part(tmp_path: Path) -> None:
    async def work() -> None:
        async with world(tmp_path) as w:
            await three_levels(w)
            here, there = w.tiers["r0z0"].doors[0], w.tiers["r1z0"].doors[0]
            first = await w.watcher(here, there, known=True)
            await w.agreed([first], all_ready())
            foreign = [first.generation, 1, 41, (first.generation or 0) + 1, (first.generation or 0) - 1]
            others = [
                await w.watcher(there, generation=generation, held=first.held.values())
                for generation in foreign
            ]
            await until(lambda: all(len(other.answers) for other in others))
            assert [other.answers[0].kind for other in others] == ["whole"] * len(others), others[0].answers
            # Here one above its own count was never given out either.
            odd = await w.watcher(here, generation=(first.generation or 0) + 1, held=first.held.values())
            await until(lambda: len(odd.answers) > 0)
            assert odd.answers[0].kind == "whole"

    bed.run(work())


def test_a_region_cut_off_tells_its_own_changes_and_both_sides_agree_after_without_whole_lists(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        async with world(tmp_path) as w:
            await three_levels(w, endpoints=400)
            inside = [await w.watcher(w.tiers[name].doors[0], known=True) for name in ("r0", "r0z0")]
            outside = [await w.watcher(w.tiers[name].doors[0], known=True) for name in ("o", "r1z0")]
            await w.agreed(inside + outside, all_ready(endpoints=400))
            since = {watcher.name: len(watcher.answers) for watcher in w.watchers}
            ways = [w.relays["r0", "o"], w.relays["o", "r0"], w.relays["r0z0", "r1"]]
            for way in ways:
                way.cut()
            w.sources["r0"].tell([line("r0-0", "Gone"), line("r0-1", "Terminating")])
            w.sources["r1"].tell([line("r1-0", "Gone"), line("r1-1", "Terminating")])
            await w.told(inside, "r0-0", "Gone")
            await w.told(outside, "r1-0", "Gone")
            w.sources["r0"].tell([line("r0-1", "Gone"), line("r0-new")])
            await w.told(inside, "r0-new", "Ready")
            assert all("r1-0" in watcher.states for watcher in inside)
            assert all("r0-0" in watcher.states for watcher in outside)
            before = [way.bytes_down for way in ways]
            for way in ways:
                way.heal()
            expected = all_ready(endpoints=400)
            for name in ("r0-0", "r0-1", "r1-0"):
                del expected[name]
            await w.agreed(inside + outside, expected | {"r1-1": "Terminating", "r0-new": "Ready"})
            for watcher in w.watchers:
                n = since[watcher.name]
                assert watcher.count("whole", n) == 0, watcher.name
                assert sum(answer.lines for answer in watcher.answers[n:]) <= 12, watcher.answers[n:]
            # A whole list of 800 is some 100 KB on each way; five changes are a few hundred bytes each.
            spent = [way.bytes_down - start for way, start in zip(ways, before, strict=True)]
            assert sum(spent) < 30_000, spent

    bed.run(work())


def test_a_zone_at_a_neighbour_that_is_cut_off_goes_home(tmp_path: Path) -> None:
    async def work() -> None:
        async with world(tmp_path) as w:
            minutes = 600_000  # it must not go home by its own clock within this test
            await three_levels(w, back_min_ms=minutes, back_max_ms=minutes)
            watcher = await w.watcher(w.tiers["r1z0"].doors[0], known=True)
            await w.agreed([watcher], all_ready())
            home, away = w.relays["r1z0", "r1"], w.relays["r1z0", "r0"]
            home.set(resets=True)
            before = away.accepted
            await until(lambda: away.accepted > before)
            w.sources["r1"].tell([line("r1-0", "Terminating")])
            await w.told([watcher], "r1-0", "Terminating")  # by the neighbour
            home.heal()
            for way in (w.relays["r0", "o"], w.relays["o", "r0"]):
                way.cut()
            w.sources["r1"].tell([line("r1-0", "Gone")])
            await w.told([watcher], "r1-0", "Gone")
            assert watcher.count("failed") == 0

    bed.run(work())


def test_all_tiers_lost_and_back_sidecars_keep_what_they_hold(tmp_path: Path) -> None:
    async def work() -> None:
        async with world(tmp_path) as w:
            await three_levels(w, wholes_per_s=10, tier_wholes_per_s=2)
            doors = [w.tiers[zone].doors[0] for zone in ("r0z0", "r1z0")]
            watchers = await w.crowd(10, *doors) + await w.crowd(10, *reversed(doors))
            await w.agreed(watchers, all_ready())
            for source in w.sources.values():
                source.stop()
            await asyncio.gather(*(tier.kill() for tier in w.tiers.values()))
            since = len(watchers[0].answers)
            await until(lambda: len(watchers[0].answers) > since + 3)
            assert all(watcher.states == all_ready() for watcher in watchers)
            # The tiers are back and know nothing yet: no list at all may be told.
            await asyncio.gather(*(tier.start() for tier in w.tiers.values()))
            since = len(watchers[0].answers)
            await until(lambda: sum(a.error == "503" for a in watchers[0].answers[since:]) > 3)
            assert all(watcher.states == all_ready() for watcher in watchers)
            began = asyncio.get_running_loop().time()
            for source in w.sources.values():
                await source.start()
            w.sources["r0"].tell([line("r0-0", "Gone")])
            expected = all_ready()
            del expected["r0-0"]
            await w.agreed(watchers, expected)
            took = asyncio.get_running_loop().time() - began
            state = await w.tiers["o"].told("STATE")
            assert state["wholes"] <= 1 + 2 * took, state

    bed.run(work())


def test_held_names_the_receiver_that_does_not_hold_a_change(tmp_path: Path) -> None:
    async def work() -> None:
        async with world(tmp_path) as w:
            await three_levels(w)
            origin = w.tiers["o"]
            doors = [w.tiers[zone].doors[0] for zone in ("r0z0", "r1z0")]
            watchers = [await w.watcher(place, known=True) for place in doors * 3]
            await w.agreed(watchers, all_ready())
            w.sources["r0"].tell([line("r0-0", "Terminating")])
            await w.told(watchers, "r0-0", "Terminating")
            await held(w, lambda told: (told["held"], told["not_held"]) == (6, 0))
            stopped = watchers[3]
            stopped.hold()
            w.sources["r0"].tell([line("r0-0", "Gone")])
            others = [watcher for watcher in watchers if watcher is not stopped]
            await w.told(others, "r0-0", "Gone")
            told = await held(w, lambda told: (told["held"], told["not_held"]) == (5, 1))
            port = stopped.port
            [late] = told["late"]
            assert late["tier"] == "r1z0" and late["peer"].endswith(f":{port}"), late
            assert late["since_s"] > 0 and late["generation"] < told["generation"], late
            await until(lambda: bool(origin.events("tier_lagging")), lambda: list(origin.log)[-5:])
            stopped.release()
            await held(w, lambda told: (told["held"], told["not_held"]) == (6, 0))
            await until(lambda: bool(origin.events("tier_held")), lambda: list(origin.log)[-5:])

    async def held(w: World, true: Any) -> dict[str, Any]:
        told: dict[str, Any] = {}
        try:
            while not true(told := await w.tiers["o"].told("HELD")):
                await asyncio.sleep(0.05)
        except asyncio.CancelledError:
            raise AssertionError(f"never came: {told}") from None
        return told

    bed.run(work())


BAD: dict[str, bytes] = {
    "malformed": b'{"generation":7,"reset":true,"instances":[{"instanceId":"x"',
    "no JSON": b"<html>moved</html>",
    "foreign": b'{"services":{"a":["10.0.0.1:80"]},"index":12}',
    "no list": b'{"generation":9,"reset":true,"instances":null}',
    "other types": b'{"generation":9,"reset":true,"instances":[{"instanceId":7,"lifecycle":"Ready"}]}',
}
MADE: dict[str, Callable[[Source], bytes]] = {
    "empty whole list": lambda source: source.encode(True, [], 9),
    "all gone in a whole list": lambda source: source.encode(True, lines("a", 20, "Gone", "s"), 9),
    "unknown service": lambda source: source.encode(True, [line("x", service="nobody's")], 9),
    "negative generation": lambda source: source.encode(True, [line("x", service="s")], -1),
    "oversized": lambda source: source.encode(True, [line("x" * (5 << 20), service="s")], 9),
    "a long name": lambda source: source.encode(True, [line("x" * 5000, service="s")], 9),
}


@pytest.mark.parametrize("side", ["source", "above"])
@pytest.mark.parametrize("what", [*BAD, *MADE])
def test_bad_answers_are_failed_calls_and_the_state_stays(tmp_path: Path, what: str, side: str) -> None:
    async def work() -> None:
        async with world(tmp_path) as w:
            source = await w.source("d", lines("a", 20, service="s"))
            if side == "above":
                source.owner = "o"
            wired: dict[str, Any] = (
                {"sources": [{"discovery": written(source.place), "service": "s"}]}
                if side == "source"
                else {"above": [written(source.place)]}
            )
            tier = await w.tier(
                "z",
                doors=[{"listen": "127.0.0.1:0", "services": [service]} for service in ("s", "*")],
                services=["s"],
                **wired,
            )
            await w.complete()
            watchers = [await w.watcher(place, known=True) for place in tier.doors]
            expected = dict.fromkeys(names("a", 20), "Ready")
            await w.agreed(watchers, expected)
            calls = source.calls
            source.body = BAD[what] if what in BAD else MADE[what](source)
            source.wake()
            await until(lambda: source.calls >= calls + 2)
            await until(lambda: bool(failures(tier.log)), lambda: list(tier.log)[-5:])
            assert all(watcher.states == expected for watcher in watchers)
            assert "x" not in str(watchers[1].states)
            source.body = None
            source.tell([line("a-0", "Terminating", "s")])
            await w.agreed(watchers, expected | {"a-0": "Terminating"})

    def failures(log: Any) -> list[dict[str, Any]]:
        return [entry for entry in log if entry["event"] == "tier_call_failed"]

    bed.run(work())


GOOD: dict[str, Any] = {
    "name": "z",
    "listen": "127.0.0.1:0",
    "doors": [{"listen": "127.0.0.1:0", "services": ["s"]}],
    "above": ["127.0.0.1:9"],
    "ops": "127.0.0.1:0",
}
FAULTY: list[tuple[str, dict[str, Any]]] = [
    ("listen", {"listen": "nowhere"}),
    ("listen", {"listen": 8080}),
    ("name", {"name": ""}),
    ("doors", {"doors": {"listen": "127.0.0.1:0"}}),
    ("doors[0].services", {"doors": [{"listen": "127.0.0.1:0"}]}),
    ("doors[0].listen", {"doors": [{"listen": "127.0.0.1:99999", "services": ["s"]}]}),
    ("sources[0].discovery", {"sources": [{"service": "s"}]}),
    ("above[0]", {"above": ["127.0.0.1"]}),
    ("ops", {"ops": "127.0.0.1"}),
    ("settings.gather_ms", {"settings": {"gather_ms": -1}}),
    ("settings.gather_ms", {"settings": {"gather_ms": "soon"}}),
    ("settings.no_such", {"settings": {"no_such": 1}}),
    ("no_such", {"no_such": 1}),
]


@pytest.mark.parametrize(("key", "change"), FAULTY, ids=[f"{k}-{i}" for i, (k, _) in enumerate(FAULTY)])
def test_a_faulty_configuration_ends_the_start_and_names_the_key(
    tmp_path: Path, key: str, change: dict[str, Any]
) -> None:
    async def work() -> None:
        async with world(tmp_path) as w:
            tier = await w.tier("z", start=False)
            tier.config = GOOD | change | ({} if "name" in change else {"name": "z"})
            await refused(tier, key)

    bed.run(work())


@pytest.mark.parametrize("key", ["name", "listen"])
def test_a_missing_key_ends_the_start_and_is_named(tmp_path: Path, key: str) -> None:
    async def work() -> None:
        async with world(tmp_path) as w:
            tier = await w.tier("z", start=False)
            tier.config = {k: v for k, v in GOOD.items() if k != key}
            await refused(tier, key)

    bed.run(work())


async def refused(tier: Any, key: str) -> None:
    await tier.spawn()
    assert await tier.ended() == 2
    assert list(tier.other) == [], "a trace or a second line"
    [entry] = tier.log
    text = json.dumps(entry)
    assert all(part in text for part in key.split(".")), entry


def test_nonsense_at_a_door_ends_that_connection_only(tmp_path: Path) -> None:
    async def work() -> None:
        async with world(tmp_path) as w:
            source = await w.source("d", lines("a", 20))
            tier = await w.tier(
                "z",
                sources=[{"discovery": written(source.place)}],
                doors=[{"listen": "127.0.0.1:0", "services": ["*"]}],
            )
            await w.complete()
            watcher = await w.watcher(tier.doors[0], known=True)
            nonsense = [
                b"\x16\x03\x01\x02\x00\x01\x00",
                b"GET /registry/instances?after=x&wait_ms=1 HTTP/1.1\r\nHost: d\r\n\r\n",
                b"GET /registry/instances?after=-1&wait_ms=-1 HTTP/1.1\r\nHost: d\r\n\r\n",
                b"GET /registry/instances?after=%d&wait_ms=9 HTTP/1.1\r\nHost: d\r\n\r\n" % (1 << 80),
                b"POST /registry/instances HTTP/1.1\r\nHost: d\r\nContent-Length: 2\r\n\r\nhi",
                b"GET /else HTTP/1.1\r\nHost: d\r\n\r\n",
                b"GET /" + b"x" * (1 << 20),
                b"Held: " * 1000 + b"\r\n\r\n",
            ]
            for text in nonsense:
                reader, writer = await asyncio.open_connection(*tier.doors[0])
                try:
                    writer.write(text)
                    writer.write_eof()
                    said = await reader.read()
                except OSError:
                    said = b""
                assert (
                    not said
                    or said.split(b" ")[1][:1] == b"4"
                    or b'"reset": true' in said
                    or (b'"reset":true' in said)
                ), (text[:40], said[:80])
                writer.close()
            source.tell([line("a-0", "Terminating")])
            await w.told([watcher], "a-0", "Terminating")
            assert [answer.kind for answer in watcher.answers].count("failed") == 0
            assert tier.process is not None and tier.process.returncode is None

    bed.run(work())


def test_a_tier_that_has_heard_nothing_tells_no_list(tmp_path: Path) -> None:
    async def work() -> None:
        async with world(tmp_path) as w:
            source = await w.source("d", lines("a", 20))
            relay = await w.relay("r", "d", source.place)
            relay.cut()
            upper = await w.tier("r", sources=[{"discovery": written(relay.place)}])
            zone = await w.tier(
                "z",
                above=[written(upper.listen)],
                doors=[{"listen": "127.0.0.1:0", "services": ["*"]}],
            )
            holder = await w.watcher(zone.doors[0], generation=41, held=lines("a", 20))
            empty = await w.watcher(zone.doors[0])
            await until(lambda: min(len(holder.answers), len(empty.answers)) > 3)
            assert {answer.kind for answer in holder.answers + empty.answers} == {"failed"}
            relay.heal()
            await w.agreed([holder, empty], dict.fromkeys(names("a", 20), "Ready"))

    bed.run(work())


def test_the_stand_ins_find_what_they_look_for(tmp_path: Path) -> None:
    """A watcher at a discovery that does all that a tier may never do."""

    async def work() -> None:
        made = World(tmp_path)
        try:
            source = await made.source("d", lines("a", 3), first=5)
            watcher = await made.watcher(source.place, known=True)
            source.tell([line("a-0", "Gone")])
            await made.told([watcher], "a-0", "Gone")
            source.tell([line("a-0")])
            await until(lambda: len(watcher.faults) == 1)
            source.tell([line("a-1", "Terminating")])
            source.tell([line("a-1", "Ready")])
            source.lines.clear()
            source.anew(2)
            await until(lambda: "an empty whole list" in watcher.faults, lambda: watcher.faults)
            with pytest.raises(AssertionError, match="returns"):
                made.check()
            assert any("on one connection" in fault for fault in watcher.faults)
        finally:
            await made.close()

    bed.run(work())


def test_the_relay_passes_one_way_or_none_and_resets(tmp_path: Path) -> None:
    async def work() -> None:
        async with world(tmp_path) as w:
            source = await w.source("d", lines("a", 3))
            relay = await w.relay("w", "d", source.place)
            watcher = await w.watcher(relay.place, known=True, wait_ms=50)
            relay.set(up=True, down=False)
            calls = source.calls
            source.tell([line("a-0", "Terminating")])
            await until(lambda: watcher.count("failed") > 0)
            assert source.calls >= calls and "a-0" in watcher.states
            assert ("a-0", "Terminating") not in watcher.seen_at
            relay.cut()
            failed = watcher.count("failed")
            await until(lambda: watcher.count("failed") > failed)
            relay.set(resets=True)
            failed = watcher.count("failed")
            await until(lambda: watcher.count("failed") > failed)
            relay.heal()
            await w.told([watcher], "a-0", "Terminating")

    bed.run(work())
