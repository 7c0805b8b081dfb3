"""A sidecar's side of the tiers: several addresses, shorter watches; times down the tiers, virtual."""

import asyncio
import json
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from random import Random
from typing import Any

import pytest

from larkcrank.config import sidecar as config
from larkcrank.core.interface import State
from larkcrank.program.counters import Counters
from larkcrank.protocol.discovery import ListUpdate, NameTable, parse_host_port
from larkcrank.routing import discovery
from larkcrank.transport.descriptors import DescriptorBudget
from tests import virtual_loop
from tests.bed import until
from tests.frames import CONFIG
from tests.tiers_bed import Discovery, Link, Running, line, running

CALM_S, FAULT_S = 3.0, 6.0  # from a change to the last sidecar's word of it: in calm, and after a failure
LIMIT_S = 600.0  # of virtual time: it ends a test that hangs
ANY = {"listen": "127.0.0.1:0", "services": ["*"]}
SLOW: dict[str, Any] = {"spread_ms": 500.0, "again_max_ms": 2000.0, "gather_ms": 100.0, "wait_ms": 1000}
SETTINGS = SLOW | {"slack_ms": 700.0}


def run(work: Coroutine[Any, Any, None]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(LIMIT_S):
            await work

    virtual_loop.run(limited())


class Sidecar:
    """A sidecar's own discovery, with the list as its balancer would hold it."""

    def __init__(self, *places: str, watch_ms: int | None = 1000, seed: int = 1) -> None:
        home, *elsewhere = map(parse_host_port, places)
        self.tally = Counters()
        self.discovery = discovery.Discovery(
            home,
            DescriptorBudget(100),
            NameTable([], []),
            500.0,
            True,
            Random(seed),
            self.tally,
            lambda where, error: self.crashes.append(error),
            elsewhere=elsewhere,
            watch_ms=watch_ms,
        )
        self.crashes: list[BaseException] = []
        self.states: dict[bytes, State] = {}
        self.told_at: dict[tuple[bytes, State], float] = {}
        self.gone: set[bytes] = set()
        self.returned: set[bytes] = set()
        self.wholes = 0
        self.discovery.on_list = self._take

    def _take(self, listing: ListUpdate) -> None:
        now = asyncio.get_running_loop().time()
        if listing.is_full:
            self.wholes += 1
            named = {one.address for one in listing.endpoints}
            self.gone |= self.states.keys() - named
            self.states.clear()
        for one in listing.endpoints:
            if one.state is State.GONE:
                self.states.pop(one.address, None)
                self.gone.add(one.address)
            else:
                self.states[one.address] = one.state
                self.told_at.setdefault((one.address, one.state), now)
                if one.address in self.gone:
                    self.returned.add(one.address)

    async def holds(self, name: bytes, state: State) -> float:
        """When it was first told so."""
        await until(lambda: (name, state) in self.told_at)
        return self.told_at[name, state]


@asynccontextmanager
async def watching(*sidecars: Sidecar) -> AsyncIterator[None]:
    for one in sidecars:
        one.discovery.watch()
    try:
        await until(lambda: all(one.states for one in sidecars))
        yield
    finally:
        for one in sidecars:
            one.discovery.close()
        assert not any(one.crashes for one in sidecars)


async def until_wide(true: Any) -> None:
    while not true():
        await asyncio.sleep(0.05)


@asynccontextmanager
async def two_zones() -> AsyncIterator[tuple[Discovery, Running, Running, Running, list[Link]]]:
    """A region and two zones that pass it on; sidecars go by the links to the zones, these to the region."""
    source = await Discovery("s-1", "s-2", "s-3").start()
    given = {"discovery": source.place, "service": "svc-1"}
    region = Running(name="region", sources=[given], settings=SETTINGS)
    async with running(region):
        ups = [await Link(region.listen).start() for _ in range(2)]
        zones = [
            Running(name=name, above=[up.place], doors=[ANY], settings=SETTINGS)
            for name, up in zip(("one", "two"), ups, strict=True)
        ]
        async with running(*zones):
            downs = [await Link(zone.door()).start() for zone in zones]
            yield source, region, zones[0], zones[1], [*downs, *ups]
            for link in downs:
                link.stop()
        for link in ups:
            link.stop()
    source.stop()


def test_a_change_is_told_all_the_way_down_in_calm_within_its_time() -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        async with two_zones() as (source, _, _, _, links):
            fleet = [Sidecar(links[n % 2].place, links[1 - n % 2].place, seed=n) for n in range(20)]
            async with watching(*fleet):
                await asyncio.sleep(5.0)
                for n, state in enumerate(("Terminating", "Ready", "Terminating", "Ready")):
                    began = loop.time()
                    source.tell(line(f"s-{n % 3 + 1}", state), line(f"n-{n}"))
                    told = [await one.holds(f"n-{n}".encode(), State.READY) for one in fleet]
                    assert max(told) - began < CALM_S

    run(work())


@pytest.mark.parametrize("way", ["killed", "half open", "deaf"])
def test_a_zone_that_fails_is_left_for_its_neighbour_in_time_without_a_herd_and_nothing_returns(
    way: str,
) -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        async with two_zones() as (source, _, one, two, links):
            fleet = [Sidecar(links[0].place, links[1].place, seed=n) for n in range(40)]
            async with watching(*fleet):
                await asyncio.sleep(5.0)
                source.tell(line("s-3", "Gone"))
                await until_wide(lambda: all(b"s-3" not in sidecar.states for sidecar in fleet))
                began = loop.time()
                calls_before = two.it.calls
                if way == "killed":
                    await one.stop()
                    links[0].heal()  # whoever was connected is reset
                elif way == "half open":
                    links[0].cut()
                else:
                    links[2].cut()
                source.tell(line("s-1", "Terminating"))
                told = [await sidecar.holds(b"s-1", State.DRAINING) for sidecar in fleet]
                assert max(told) - began < FAULT_S
                assert max(told) - min(told) > 0.2  # spread, not all at one moment
                assert two.it.calls - calls_before < 40 * 12 and two.it.wholes >= 40
                assert not any(sidecar.returned for sidecar in fleet)
                if way == "killed":
                    links[0].to = "127.0.0.1:9"
                    continue_at = two.it.wholes
                    await asyncio.sleep(90.0)
                    assert two.it.wholes == continue_at  # home is looked at, and is not there

    run(work())


def test_sidecars_go_home_one_by_one_when_home_answers_again() -> None:
    async def work() -> None:
        async with two_zones() as (source, _, one, two, links):
            fleet = [Sidecar(links[0].place, links[1].place, seed=n) for n in range(40)]
            async with watching(*fleet):
                await asyncio.sleep(2.0)
                links[0].cut()
                await until_wide(lambda: len(two.it.doors[0].receivers) == 40)
                links[0].heal()
                homes: list[float] = []
                while len(homes) < 40:
                    at_home = len(one.it.doors[0].receivers)
                    homes += [asyncio.get_running_loop().time()] * (at_home - len(homes))
                    await asyncio.sleep(0.25)
                assert max(homes.count(at) for at in homes) <= 8  # of 40 over 40 s
                source.tell(line("s-1", "Terminating"))
                for sidecar in fleet:
                    await sidecar.holds(b"s-1", State.DRAINING)
                assert all(sidecar.wholes == 3 for sidecar in fleet)  # at the start, away, at home

    run(work())


def test_with_one_address_calls_are_those_without_tiers() -> None:
    async def work() -> None:
        source = await Discovery("s-1").start()
        sidecar = Sidecar(source.place, watch_ms=None)
        async with watching(sidecar):
            source.tell(line("s-2"))
            await sidecar.holds(b"s-2", State.READY)
            await until_wide(lambda: len(source.calls) == 3)
        assert source.calls == [
            "/registry/instances",
            "/registry/instances?after=1&wait_ms=60000",
            "/registry/instances?after=2&wait_ms=60000",
        ]
        source.stop()

    run(work())


def configured(**told: Any) -> config.Config:
    file = json.loads(json.dumps({"settings": CONFIG, "name": "n", "listen": "127.0.0.1:0"} | told))
    return config.parse(json.dumps(file).encode(), {})


def test_several_addresses_and_the_wait_are_read_from_the_configuration() -> None:
    one = configured(discovery="127.0.0.1:1")
    assert (one.discovery, one.elsewhere, one.watch_ms) == (("127.0.0.1", 1), (), None)
    both: tuple[Any, ...] = (["127.0.0.1:1", "127.0.0.1:2"], "127.0.0.1:1, 127.0.0.1:2")
    for told in both:
        two = configured(discovery=told, watch_ms=1500)
        assert two.discovery == ("127.0.0.1", 1) and two.elsewhere == (("127.0.0.1", 2),)
        assert two.watch_ms == 1500 and "watch_ms" in one.fixed_changes(two)


@pytest.mark.parametrize(
    ("told", "key"),
    [
        ({"discovery": []}, "discovery:"),
        ({"discovery": ["127.0.0.1:1", "x"]}, "discovery[1]:"),
        ({"discovery": ["127.0.0.1:1", "127.0.0.1:1"]}, "discovery:"),
        ({"discovery": "127.0.0.1:1", "watch_ms": 60001}, "watch_ms:"),
        ({"discovery": "127.0.0.1:1", "watch_ms": 0}, "watch_ms:"),
        (
            {
                "discovery": ["127.0.0.1:1", "127.0.0.1:2"],
                "fleet": {"name": "f", "listen": "127.0.0.1:0", "recovery": {}},
            },
            "discovery:",
        ),
    ],
)
def test_a_faulty_address_or_wait_is_told_by_its_key(told: dict[str, Any], key: str) -> None:
    with pytest.raises(config.ConfigError) as error:
        configured(**told)
    assert str(error.value).startswith(key)
