"""Tiers on loopback: one way down, what is served when, and what a bad answer does."""

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from larkcrank.tiers import config
from tests.bed import run, until
from tests.tiers_bed import (
    Discovery,
    Link,
    Receiver,
    Running,
    line,
    operator,
    running,
    until_told,
    whole,
)

ANY = {"listen": "127.0.0.1:0", "services": ["*"]}


def part(*services: str) -> dict[str, Any]:
    return {"listen": "127.0.0.1:0", "services": list(services)}


@asynccontextmanager
async def alone(*names: str, **told: Any) -> AsyncIterator[tuple[Discovery, Running]]:
    """One tier over one discovery."""
    source = await Discovery(*names).start()
    given = {"discovery": source.place, "service": "svc-1"} | told.pop("source", {})
    tier = Running(sources=[given], **({"doors": [ANY], "ops": "127.0.0.1:0"} | told))
    try:
        async with running(tier):
            yield source, tier
    finally:
        source.stop()


@asynccontextmanager
async def three(*names: str) -> AsyncIterator[tuple[Discovery, Link, Running, Running, Running]]:
    """Origin, region and zone over one discovery; the region's call to the origin goes by the link."""
    source = await Discovery(*names).start()
    link = await Link("").start()
    region = Running(
        name="region",
        own="127.0.0.1:0",
        sources=[{"discovery": source.place, "service": "svc-1"}],
        above=[link.place],
        ops="127.0.0.1:0",
    )
    async with running(region):
        origin = Running(name="origin", sources=[{"discovery": region.own}], ops="127.0.0.1:0")
        async with running(origin):
            link.to = origin.listen
            zone = Running(name="zone", above=[region.listen], doors=[part("svc-1"), part("svc-2")])
            async with running(zone):
                yield source, link, origin, region, zone
    link.stop()
    source.stop()


def test_a_change_goes_from_discovery_by_way_of_three_tiers_to_a_door() -> None:
    async def work() -> None:
        async with three("s-1", "s-2") as (source, _, origin, _, zone):
            sidecar = Receiver(zone.door())
            await whole(sidecar)
            assert sidecar.states == {"s-1": "Ready", "s-2": "Ready"}
            source.tell(line("s-1", "Terminating"))
            await until_told(sidecar, lambda: sidecar.states["s-1"] == "Terminating")
            source.tell(line("s-1", "Gone"), line("s-3"))
            await until_told(sidecar, lambda: sidecar.states == {"s-2": "Ready", "s-3": "Ready"})
            assert set(sidecar.lines["s-3"]) == set(line("s-3"))  # published fields, no others
            upper = Receiver(origin.listen)
            await whole(upper)
            await until_told(upper, lambda: "s-3" in upper.lines)
            told = upper.lines["s-3"]
            assert told["owner"] == "region" and told["service"] == "svc-1" and len(told["version"]) == 2
            sidecar.close()
            upper.close()

    run(work())


def test_a_door_tells_its_services_alone_and_others_wake_nobody_there() -> None:
    async def work() -> None:
        first, second = await Discovery("a-1").start(), await Discovery("b-1").start()
        tier = Running(
            sources=[
                {"discovery": first.place, "service": "a"},
                {"discovery": second.place, "service": "b"},
            ],
            doors=[part("a"), part("a", "b")],
        )
        async with running(tier):
            one, both = Receiver(tier.door(0)), Receiver(tier.door(1))
            await whole(both)
            await until_told(both, lambda: both.lines.keys() == {"a-1", "b-1"})
            await whole(one)
            assert one.lines.keys() == {"a-1"}
            waits = asyncio.create_task(one.ask())
            second.tell(line("b-2"))
            await until_told(both, lambda: "b-2" in both.lines)
            assert not waits.done()
            first.tell(line("a-2"))
            assert await waits == 200 and one.lines.keys() == {"a-1", "a-2"}
            one.close()
            both.close()
        first.stop()
        second.stop()

    run(work())


@pytest.mark.parametrize(
    ("spoilt", "reason"),
    [
        (b"", "malformed"),
        (b'{"generation":9', "malformed"),
        (b'{"generation":9,"reset":true,"instances":[{"instanceId":5,"lifecycle":"Ready"}]}', "malformed"),
        (b'{"generation":9,"reset":true,"instances":[{"instanceId":"","lifecycle":"Ready"}]}', "malformed"),
        (b'{"generation":-1,"reset":true,"instances":[]}', "malformed"),
        (b'{"generation":9,"reset":true,"instances":[]}', "empty"),
        (b'{"generation":9,"reset":true,"instances":[{"instanceId":"x","lifecycle":"Gone"}]}', "empty"),
        (b'{"generation":0,"reset":false,"instances":[]}', "foreign"),
        (b'{"generation":9,"reset":true,"owners":{},"instances":[]}', "foreign"),
        (
            b'{"generation":9,"reset":true,"instances":[{"instanceId":"x","lifecycle":"Ready","service":"q"}]}',
            "unknown service",
        ),
        (b'{"generation":9,"instances":[],"more":"' + b"x" * 20_000 + b'"}', "malformed: body too large"),
        (None, "silent"),
    ],
)
def test_a_bad_answer_is_a_failed_call_that_is_logged_and_changes_nothing(
    spoilt: bytes | None, reason: str
) -> None:
    async def work() -> None:
        async with alone("s-1", "s-2", settings={"answer_bytes": 10_000}) as (source, tier):
            sidecar = Receiver(tier.door())
            await whole(sidecar)
            waits = asyncio.create_task(sidecar.ask())
            source.spoil = lambda _: spoilt
            source.tell(line("s-3"))
            await until(lambda: bool(tier.events("tier_call_failed")))
            assert tier.events("tier_call_failed")[0]["reason"].startswith(reason)
            assert not waits.done() and tier.it.table.live_count == 2
            source.spoil = lambda body: body
            assert await waits == 200
            assert sidecar.states == {"s-1": "Ready", "s-2": "Ready", "s-3": "Ready"}
            assert tier.events("tier_call_good")
            sidecar.close()

    run(work())


def test_a_discovery_that_is_down_or_counts_anew_takes_nothing_away_that_it_still_names() -> None:
    async def work() -> None:
        async with alone("s-1", "s-2") as (source, tier):
            sidecar = Receiver(tier.door())
            await whole(sidecar)
            source.stop()
            await until(lambda: bool(tier.events("tier_call_failed")))
            source.begin_anew("s-2", "s-3")
            await source.start()
            await until_told(sidecar, lambda: sidecar.lines.keys() == {"s-2", "s-3"})
            assert not sidecar.last["reset"]
            sidecar.close()

    run(work())


def test_generations_of_another_process_are_answered_with_the_whole() -> None:
    async def work() -> None:
        async with alone("s-1", "s-2") as (source, tier):
            sidecar = Receiver(tier.door())
            await whole(sidecar)
            source.tell(line("s-1", "Gone"))
            await until_told(sidecar, lambda: "s-1" not in sidecar.lines)
            before = sidecar.generation
            sidecar.close()
            await tier.stop()
            await tier.start()
            again = Receiver(tier.door())
            again.generation, again.lines = before, {"s-1": {}, "s-2": {}}
            while await again.ask() != 200:
                await asyncio.sleep(0.01)
            assert again.last["reset"] and again.lines.keys() == {"s-2"}
            for foreign in (1, 41, (again.generation or 0) + 1):
                again.generation = foreign
                assert await again.ask() == 200 and again.last["reset"]
            again.close()

    run(work())


def test_a_tier_that_has_heard_nothing_gives_no_list() -> None:
    async def work() -> None:
        async with alone("s-1") as (source, tier):
            source.spoil = lambda _: None
            await tier.stop()
            await tier.start()
            for place in (tier.door(), tier.listen):
                sidecar = Receiver(place)
                assert await sidecar.ask() == 503
                sidecar.generation = 41
                assert await sidecar.ask() == 503
                sidecar.close()
            assert await operator(tier, "PING") == (400, "starting")

    run(work())


def test_a_tier_that_no_longer_hears_tells_those_it_knows_and_no_newcomer_with_a_list() -> None:
    async def work() -> None:
        async with alone("s-1", settings={"fresh_ms": 400.0}) as (source, tier):
            known, new = Receiver(tier.door()), Receiver(tier.door())
            await whole(known)
            assert (await operator(tier, "PING"))[0] == 200
            source.spoil = lambda _: None
            await until(lambda: bool(tier.events("tier_stale")))
            assert tier.events("tier_stale")[0]["not_heard"] == [source.place]
            assert await operator(tier, "PING") == (400, "stale")
            new.generation = 41
            assert await new.ask() == 503  # it keeps what it has
            below = Receiver(tier.listen)
            below.generation = 41
            assert await below.ask() == 503
            below.close()
            new.generation = None
            assert await new.ask() == 200  # it has nothing
            assert await known.ask(wait_ms=10) == 200 and not known.last["reset"]
            source.spoil = lambda body: body
            await until(lambda: len(tier.events("tier_fresh")) == 2)
            new.generation = 41
            assert await new.ask() == 200 and new.last["reset"]
            known.close()
            new.close()

    run(work())


@pytest.mark.parametrize("waiting", [False, True])
def test_until_all_is_heard_a_tier_below_is_told_so_and_then_given_the_whole(waiting: bool) -> None:
    async def work() -> None:
        first, second = await Discovery("a-1").start(), await Discovery("b-1").start()
        second.spoil = lambda _: None
        tier = Running(sources=[{"discovery": one.place, "service": "a"} for one in (first, second)])
        async with running(tier):
            below = Receiver(tier.listen)
            await whole(below)
            assert below.last["provisional"] and below.last["owners"] == {}  # nothing is known to be gone
            waits = asyncio.create_task(below.ask()) if waiting else None
            second.spoil = lambda body: body
            await until(lambda: tier.it.is_complete)
            assert await (waits or below.ask()) == 200 and not below.last["provisional"]
            assert below.last["reset"] and below.lines.keys() == {"a-1", "b-1"}
            assert below.last["owners"].keys() == {"t"}
            below.close()
        first.stop()
        second.stop()

    run(work())


def test_whole_answers_beyond_the_rate_wait_their_turn_or_are_refused() -> None:
    async def work() -> None:
        limits = {"wholes_per_s": 2.0, "whole_wait_ms": 600.0}
        async with alone("s-1", settings=limits) as (_, tier):
            first = Receiver(tier.door())
            await whole(first)
            crowd = [Receiver(tier.door()) for _ in range(40)]
            answers = await asyncio.gather(*(one.ask() for one in crowd))
            assert set(answers) == {200, 503} and answers.count(200) < 20
            assert tier.it.refused_calls >= 20
            assert await first.ask(wait_ms=1) == 200  # who holds a list waits for nobody
            for one in (first, *crowd):
                one.close()

    run(work())


def test_a_receiver_that_reads_nothing_is_cut_and_holds_up_nobody() -> None:
    async def work() -> None:
        names = [f"s-{n}" for n in range(4000)]
        async with alone(*names, settings={"write_ms": 300.0, "wholes_per_s": 1000.0}) as (source, tier):
            sidecar = Receiver(tier.door())
            await whole(sidecar)
            _, writer = await asyncio.open_connection(*tier.it.sidecar_listeners[0].address, limit=1)
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            turn = 0
            while not tier.it.cut_connections:
                turn += 1
                if not writer.transport.is_closing():
                    writer.write(b"GET /registry/instances HTTP/1.1\r\nHost: x\r\n\r\n")
                waits = asyncio.create_task(sidecar.ask())
                source.tell(line("s-0", weight=float(turn)))
                assert await waits == 200 and sidecar.lines["s-0"]["weight"] == turn
            writer.transport.abort()
            await until(lambda: len(tier.it.receivers) == 1)
            sidecar.close()

    run(work())


def test_more_connections_than_are_allowed_are_turned_away() -> None:
    async def work() -> None:
        async with alone("s-1", settings={"connections": 2}) as (_, tier):
            held = [Receiver(tier.door()) for _ in range(2)]
            for one in held:
                await whole(one)
            over = Receiver(tier.door())
            with pytest.raises(ConnectionError):
                await over.ask()
            assert tier.it.rejected_connections == 1 and await held[0].ask(wait_ms=1) == 200
            for one in (*held, over):
                one.close()

    run(work())


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (b"GET /registry/instances?after=x HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (b"GET /registry/instances?after=-1&wait_ms=5 HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (b"GET /other HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (b"PUT /registry/instances HTTP/1.1\r\nHost: x\r\n\r\n", 405),
        (b"nonsense\r\n\r\n", 400),
        (b"GET /registry/instances HTTP/1.1\r\nHost: x\r\n" + b"A: " + b"x" * 20_000, 431),
        (b"GET /registry/instances HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody", 413),
        (b"GET /registry/instances HTTP/1.1\r\nHost: x\r\n\r\n" * 2, 400),
    ],
)
def test_a_bad_call_is_answered_so(text: bytes, status: int) -> None:
    async def work() -> None:
        async with alone("s-1") as (_, tier):
            reader, writer = await asyncio.open_connection(*tier.it.sidecar_listeners[0].address)
            writer.write(text)
            assert (await reader.readline()).startswith(b"HTTP/1.1 %d " % status)
            writer.transport.abort()

    run(work())


def test_the_origin_can_say_who_holds_a_change_and_who_does_not() -> None:
    async def work() -> None:
        async with three("s-1") as (source, _, origin, _, zone):
            quick, lame = Receiver(zone.door()), Receiver(zone.door())
            other = Receiver(zone.door(1))
            for one in (quick, lame):
                await whole(one)
            await asyncio.sleep(0)
            watches = asyncio.create_task(quick.ask())
            await lame.ask(wait_ms=1)

            async def held() -> tuple[int, int]:
                _, told = await operator(origin, "HELD")
                return told["held"], told["not_held"]

            lame_waits = asyncio.create_task(lame.ask())
            while await held() != (2, 0):
                await asyncio.sleep(0.02)
            source.tell(line("s-1", "Terminating"))
            assert await watches == await lame_waits == 200
            watches = asyncio.create_task(quick.ask())  # the other does not come again
            while await held() != (1, 1):
                await asyncio.sleep(0.02)
            _, told = await operator(origin, f"HELD {origin.it.table.generation}")
            assert told["not_held"] == 1
            late = told["late"][0]
            assert (late["tier"], late["door"]) == ("zone", "doors[0]") and late["peer"].startswith("127.")
            assert (await operator(origin, "HELD 41"))[0] == 400
            lame_waits = asyncio.create_task(lame.ask())
            while await held() != (2, 0):
                await asyncio.sleep(0.02)
            await until(lambda: bool(origin.events("tier_held")))
            assert origin.events("tier_held")[-1]["sidecars"] == 2
            for task in (watches, lame_waits):
                task.cancel()
            for one in (quick, lame, other):
                one.close()

    run(work())


def test_who_lags_is_logged_with_where_it_is() -> None:
    async def work() -> None:
        async with alone("s-1", settings={"held_ms": 300.0}) as (source, tier):
            sidecar = Receiver(tier.door())
            await whole(sidecar)
            waits = asyncio.create_task(sidecar.ask())
            source.tell(line("s-1", "Terminating"))
            await waits
            await until(lambda: bool(tier.events("tier_lagging")))
            told = tier.events("tier_lagging")[0]
            assert told["not_held"] == 1 and told["late"][0]["door"] == "doors[0]"
            waits = asyncio.create_task(sidecar.ask())
            await until(lambda: bool(tier.events("tier_held")))
            waits.cancel()
            sidecar.close()

    run(work())


def test_a_region_that_is_cut_off_serves_on_and_afterwards_nobody_takes_a_whole_list() -> None:
    async def work() -> None:
        async with three("s-1", "s-2") as (source, link, origin, region, zone):
            far = await Discovery("f-1").start()
            other = Running(
                name="other",
                own="127.0.0.1:0",
                sources=[{"discovery": far.place, "service": "svc-2"}],
                above=[origin.listen],
            )
            async with running(other):
                await origin.stop()
                listen = origin.told["listen"] = link.to
                origin.told["sources"].append({"discovery": other.own})
                # The way up from the region to the origin's call is cut as well: by a link of its own.
                up = await Link(region.own).start()
                origin.told["sources"][0]["discovery"] = up.place
                await origin.start()
                assert origin.listen == listen
                sidecar = Receiver(zone.door(0))
                far_sidecar = Receiver(zone.door(1))
                await whole(far_sidecar)
                await whole(sidecar)
                await until(lambda: all(t.it.is_complete for t in (origin, region, zone, other)))
                await until(lambda: len(other.it.table.live_records(None)) == 3)
                wholes = [feed.full_requests for t in (origin, region, other) for feed in t.it._feeds]
                link.cut()
                up.cut()
                source.tell(line("s-1", "Gone"), line("s-3"))
                far.tell(line("f-1", "Gone"), line("f-2"))
                await until_told(sidecar, lambda: sidecar.lines.keys() == {"s-2", "s-3"})
                upper = Receiver(origin.listen)
                await whole(upper)
                await until_told(upper, lambda: upper.lines.keys() == {"s-1", "s-2", "f-2"})
                await until(lambda: region.it.parent is not None and bool(region.it.parent.current_error))
                link.heal()
                up.heal()
                await until_told(upper, lambda: upper.lines.keys() == {"s-2", "s-3", "f-2"})
                await until_told(far_sidecar, lambda: far_sidecar.lines.keys() == {"f-2"})
                assert wholes == [feed.full_requests for t in (origin, region, other) for feed in t.it._feeds]
                for one in (sidecar, far_sidecar, upper):
                    one.close()
                up.stop()
            far.stop()

    run(work())


def test_who_loses_its_tier_above_goes_to_a_neighbour_and_back_without_a_whole_list() -> None:
    async def work() -> None:
        async with alone("s-1", name="first") as (source, first):
            second = Running(name="second", above=[first.listen])
            async with running(second):
                link = await Link(first.listen).start()
                zone = Running(
                    name="zone",
                    above=[link.place, second.listen],
                    doors=[ANY],
                    settings={"back_min_ms": 300.0, "back_max_ms": 600.0},
                )
                async with running(zone):
                    sidecar = Receiver(zone.door())
                    await whole(sidecar)
                    assert zone.it.parent is not None
                    link.cut()  # half open: it says nothing more
                    source.tell(line("s-1", "Terminating"))
                    await until_told(sidecar, lambda: sidecar.states == {"s-1": "Terminating"})
                    assert zone.it.parent.current_address == second.listen and zone.events("tier_moved")
                    wholes = zone.it.parent.full_requests
                    link.heal()
                    await until(
                        lambda: zone.it.parent is not None and zone.it.parent.current_address == link.place
                    )
                    source.tell(line("s-1", "Ready"))
                    await until_told(sidecar, lambda: sidecar.states == {"s-1": "Ready"})
                    assert zone.it.parent.full_requests == wholes  # home remembers what it had told
                    sidecar.close()
                link.stop()

    run(work())


def test_who_comes_with_a_list_of_another_tier_is_told_no_less_than_that_one_knew() -> None:
    async def work() -> None:
        async with alone("s-1", "s-2") as (source, region):
            link = await Link(region.listen).start()
            zone = Running(name="zone", above=[link.place], doors=[ANY], ops="127.0.0.1:0")
            async with running(zone):
                sidecar = Receiver(region.door())
                await whole(sidecar)
                await until(lambda: zone.it.is_complete)
                link.cut()
                source.tell(line("s-1", "Gone"))
                await until_told(sidecar, lambda: sidecar.lines.keys() == {"s-2"})
                moved = Receiver(zone.door())
                moved.generation, moved.lines = sidecar.generation, dict(sidecar.lines)
                asks = asyncio.create_task(moved.ask())
                await until(lambda: bool(zone.events("tier_call_failed")))
                assert zone.it.table.live_count == 2  # it has not heard of it yet, and says nothing
                link.heal()
                while await asks != 200:
                    asks = asyncio.create_task(moved.ask())
                assert moved.lines.keys() == {"s-2"} and not moved.returned
                for one in (sidecar, moved):
                    one.close()
            link.stop()

    run(work())


def test_a_tier_that_only_passes_on_ends_its_watches_when_it_hears_nobody_and_a_region_does_not() -> None:
    async def work() -> None:
        deaf = {"deaf_ms": 700.0}
        async with three("s-1") as (source, link, _, region, _):
            up = await Link(region.listen).start()
            zone = Running(name="deaf", above=[up.place], doors=[ANY], settings=deaf, ops="127.0.0.1:0")
            async with running(zone):
                here, near = Receiver(zone.door()), Receiver(region.listen)
                await until(lambda: zone.it.is_complete)
                await whole(here)
                await whole(near)
                waits = asyncio.create_task(here.ask())
                up.cut()
                link.cut()  # the region is cut off as well
                assert await waits == 503 and zone.events("tier_deaf")
                assert await here.ask() == 503  # also who comes again
                assert (await operator(zone, "STATE"))[1]["deaf"] is True
                await until(lambda: bool(region.it.parent and region.it.parent.current_error))
                source.tell(line("s-2"))
                await until_told(near, lambda: near.lines.keys() == {"s-1", "s-2"})
                up.heal()
                while await here.ask() != 200:
                    await asyncio.sleep(0.02)
                await until_told(here, lambda: here.lines.keys() == {"s-1", "s-2"})
                here.close()
                near.close()
            up.stop()

    run(work())


def test_a_tier_at_a_neighbour_that_is_cut_off_itself_goes_where_more_is_known() -> None:
    async def work() -> None:
        wait = {"deaf_ms": 700.0}  # home is looked at by the clock after 20 s at the earliest
        async with alone("s-1", name="top") as (source, top):
            link = await Link(top.listen).start()
            far = await Discovery("f-1").start()
            here = Running(name="here", above=[top.listen])
            near = Running(name="near", above=[link.place], settings=wait, sources=[{"discovery": far.place}])
            async with running(here, near):
                home = await Link(here.listen).start()
                zone = Running(name="zone", above=[home.place, near.listen], doors=[ANY], settings=wait)
                async with running(zone):
                    sidecar = Receiver(zone.door())
                    await whole(sidecar)
                    home.cut()
                    await until(
                        lambda: bool(zone.it.parent and zone.it.parent.current_address == near.listen)
                    )
                    await until_told(sidecar, lambda: sidecar.lines.keys() == {"s-1", "f-1"})
                    home.heal()
                    link.cut()  # the neighbour answers, and hears nothing of the rest
                    source.tell(line("s-1", "Terminating"))
                    await until_told(sidecar, lambda: sidecar.states["s-1"] == "Terminating")
                    assert zone.it.parent is not None and zone.it.parent.current_address == home.place
                    sidecar.close()
                home.stop()
            far.stop()
            link.stop()

    run(work())


def test_who_was_cut_off_while_it_lacked_a_change_is_still_told_as_lacking_it() -> None:
    async def work() -> None:
        async with alone("s-1", settings={"idle_ms": 300.0}) as (source, tier):
            sidecar = Receiver(tier.door())
            await whole(sidecar)
            await sidecar.ask(wait_ms=1)
            source.tell(line("s-1", "Terminating"))
            await until(lambda: not tier.it.receivers)  # it said nothing for idle_ms
            _, told = await operator(tier, "HELD")
            assert (told["held"], told["not_held"]) == (0, 1)
            assert told["late"][0]["door"] == "doors[0] (left)"
            sidecar.close()
            await until_told(sidecar, lambda: sidecar.states == {"s-1": "Terminating"})
            waits = asyncio.create_task(sidecar.ask())
            await until(lambda: bool(tier.it.sidecar_listeners[0].waiting))
            _, told = await operator(tier, "HELD")
            assert (told["held"], told["not_held"]) == (1, 0)
            waits.cancel()
            sidecar.close()

    run(work())


GOOD = {"name": "z", "listen": "127.0.0.1:0", "above": ["127.0.0.1:1"]}


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"name": ""}, "name:"),
        ({"name": 5}, "$.name"),
        ({"listen": "nowhere"}, "listen:"),
        ({"listen": None}, "$.listen"),
        ({"own": "127.0.0.1"}, "own:"),
        ({"ops": "127.0.0.1:99999"}, "ops:"),
        ({"doors": [{"listen": "127.0.0.1:0"}]}, "`services` - at `$.doors[0]`"),
        ({"doors": [{"listen": "127.0.0.1:0", "services": []}]}, "doors[0].services:"),
        ({"doors": [part("a", "*")]}, "doors[0].services:"),
        ({"doors": [part("a"), {"listen": ":", "services": ["a"]}]}, "doors[1].listen:"),
        ({"doors": [part("q")], "services": ["a"]}, "doors[0].services[0]:"),
        ({"sources": [{"discovery": "127.0.0.1:0"}]}, "sources[0].discovery:"),
        ({"sources": [{"discovery": "127.0.0.1:7"}, {"discovery": "127.0.0.1:7"}]}, "sources:"),
        ({"above": ["x"]}, "above[0]:"),
        ({"above": ["127.0.0.1:1", "127.0.0.1:1"]}, "above:"),
        ({"above": []}, "sources:"),
        ({"listen": "127.0.0.1:4", "above": ["127.0.0.1:4"]}, "above[0]:"),
        ({"listen": "127.0.0.1:4", "own": "127.0.0.1:4"}, "own:"),
        ({"settings": {"gather_ms": -1}}, "settings.gather_ms:"),
        ({"settings": {"gather_ms": "x"}}, "$.settings.gather_ms"),
        ({"settings": {"gathering": 1}}, "gathering"),
        ({"settings": {"back_min_ms": 9e9}}, "settings.back_max_ms:"),
        ({"settings": {"longest_wait_ms": 60001}}, "settings.longest_wait_ms:"),
        ({"door": []}, "door"),
    ],
)
def test_a_faulty_configuration_is_told_by_its_key(change: dict[str, Any], key: str) -> None:
    with pytest.raises(config.ConfigError) as error:
        config.parse(json.dumps(GOOD | change).encode())
    assert key in str(error.value)


async def _started(path: Path) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "larkcrank", "tier", str(path), stderr=asyncio.subprocess.PIPE
    )


def test_the_command_listens_ends_in_order_and_refuses_a_faulty_configuration(tmp_path: Path) -> None:
    async def work() -> None:
        path = tmp_path / "tier.json"
        path.write_text(json.dumps(GOOD | {"ops": "127.0.0.1:0", "doors": [ANY]}))
        process = await _started(path)
        assert process.stderr is not None
        told = json.loads(await process.stderr.readline())
        assert told["event"] == "tier_listening" and len(told["doors"]) == 1 and told["ops"]
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        path.write_text(json.dumps(GOOD | {"above": ["x"]}))
        process = await _started(path)
        _, text = await process.communicate()
        lines = text.splitlines()
        assert process.returncode == 2 and len(lines) == 1
        assert "above[0]" in json.loads(lines[0])["message"]

    run(work())


def test_a_plain_sidecar_loads_nothing_of_the_tiers() -> None:
    async def work() -> None:
        found = "[m for m in sys.modules if 'tiers' in m or 'places' in m]"
        text = f"import sys, larkcrank.program.start; print({found})"
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", text, stdout=asyncio.subprocess.PIPE, env=dict(os.environ)
        )
        out, _ = await process.communicate()
        assert out == b"[]\n"

    run(work())
