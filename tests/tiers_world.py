"""Real tier processes on loopback: an origin, regions and zones, discovery and plain watchers round them.

Every way between two processes leads through a relay of the test's own, which is where faults stand. Verdicts
are on counts and order: a bound in time only ends a test that hangs.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from larkcrank.lab.tiers import Line, Place, Relay, Source, Tier, Watcher, written

LONG_S = 120.0  # nothing is timed by it: it ends a test that hangs


def run(work: Coroutine[Any, Any, None]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(LONG_S):
            await work

    asyncio.run(limited())


async def until(true: Callable[[], bool], what: Callable[[], object] = lambda: "") -> None:
    """Wait for it. What the test waited for in vain is told when the test's own time is over."""
    try:
        while not true():
            await asyncio.sleep(0.005)
    except asyncio.CancelledError:
        raise AssertionError(f"never came: {what()}") from None


def line(name: str, lifecycle: str = "Ready", service: str = "", **more: Any) -> Line:
    made = {
        "instanceId": name,
        "hostPort": "10.0.0.1:8000",
        "zone": "z",
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 0,
    }
    return made | ({"service": service} if service else {}) | more


def lines(prefix: str, count: int, lifecycle: str = "Ready", service: str = "", first: int = 0) -> list[Line]:
    return [
        line(f"{prefix}-{index}", lifecycle, service, hostPort=f"10.0.{index // 250}.{index % 250 + 1}:80")
        for index in range(first, first + count)
    ]


def names(prefix: str, count: int, first: int = 0) -> set[str]:
    return {f"{prefix}-{index}" for index in range(first, first + count)}


@dataclass
class World:
    folder: Path
    sources: dict[str, Source] = field(default_factory=dict)
    tiers: dict[str, Tier] = field(default_factory=dict)
    relays: dict[tuple[str, str], Relay] = field(default_factory=dict)
    watchers: list[Watcher] = field(default_factory=list)

    async def source(self, name: str, told: Iterable[Line] = (), first: int = 1) -> Source:
        source = self.sources[name] = Source(told, first)
        await source.start()
        return source

    async def relay(self, near: str, far: str, target: Place | None = None) -> Relay:
        """The way from one process to another; its target may come later."""
        relay = self.relays[near, far] = Relay(target)
        await relay.start()
        return relay

    async def relayed(self, near: str, far: str, target: Place | None = None) -> str:
        return written((await self.relay(near, far, target)).place)

    async def tier(self, name: str, start: bool = True, **config: Any) -> Tier:
        """A tier with free ports, which keeps them. `start`: until it listens."""
        config = {"name": name, "listen": "127.0.0.1:0", "ops": "127.0.0.1:0", **config}
        tier = self.tiers[name] = Tier(self.folder, config)
        if start:
            await tier.start()
        return tier

    async def watcher(
        self, place: Place, *others: Place, relay: bool = False, known: bool = False, **more: Any
    ) -> Watcher:
        """A plain sidecar at a door. `known`: returns once it holds a list."""
        watcher = Watcher([place, *others], f"w{len(self.watchers)}", **more)
        self.watchers.append(watcher)
        watcher.start()
        if known:
            await until(lambda: watcher.generation is not None, lambda: watcher.answers[-3:])
        return watcher

    async def crowd(self, count: int, place: Place, *others: Place, **more: Any) -> list[Watcher]:
        crowd = [await self.watcher(place, *others, **more) for _ in range(count)]
        await until(
            lambda: all(watcher.generation is not None for watcher in crowd),
            lambda: [watcher.answers[-1:] for watcher in crowd],
        )
        return crowd

    async def agreed(self, watchers: Iterable[Watcher], expected: dict[str, str]) -> None:
        """Until each of them holds just that: lifecycle by instance."""
        watchers = list(watchers)

        def differ() -> list[str]:
            return [
                f"{watcher.name} at {watcher.at}: {sorted(watcher.states.items() ^ expected.items())[:5]}"
                for watcher in watchers
                if watcher.states != expected
            ]

        await until(lambda: not differ(), differ)

    async def complete(self, *tiers: Tier) -> None:
        """Until each has heard from all that it depends on: from then on its generations stay its own."""
        wanted = tiers or tuple(self.tiers.values())
        await until(
            lambda: all(tier.events("tier_complete") for tier in wanted),
            lambda: [(tier.name, list(tier.log)[-3:]) for tier in wanted if not tier.events("tier_complete")],
        )

    async def told(self, watchers: Iterable[Watcher], name: str, lifecycle: str) -> None:
        """Until each of them was told that state of that instance."""
        watchers = list(watchers)
        await until(
            lambda: all((name, lifecycle) in watcher.seen_at for watcher in watchers),
            lambda: [w.name for w in watchers if (name, lifecycle) not in w.seen_at],
        )

    def check(self) -> None:
        """What no watcher may ever see, and no tier may ever log."""
        faults = [f"{watcher.name}: {fault}" for watcher in self.watchers for fault in watcher.faults]
        assert not faults, faults[:10]
        for tier in self.tiers.values():
            assert not tier.events("crashed"), tier.events("crashed")[:3]

    async def close(self) -> None:
        for watcher in self.watchers:
            await watcher.stop()
        for tier in self.tiers.values():
            await tier.kill()
        for relay in self.relays.values():
            relay.close()
        for source in self.sources.values():
            source.stop()


@asynccontextmanager
async def world(folder: Path) -> AsyncIterator[World]:
    """Checked at its end for what may never be; nothing of it is left after."""
    made = World(folder)
    try:
        yield made
        made.check()
    finally:
        await made.close()


async def three_levels(
    world: World,
    regions: int = 2,
    zones: int = 1,
    endpoints: int = 10,
    doors: tuple[str, ...] = ("*",),
    services: bool = False,
    **settings: Any,
) -> None:
    """An origin `o`, regions `r0`.. and zones `r0z0`..; each region has a discovery of its own.

    Relays: (region, origin), (origin, region), (zone, region) with every region in `above`, its own first.
    """
    for r in range(regions):
        name = f"r{r}"
        service = f"s{r}" if services else ""
        await world.source(name, lines(name, endpoints, service=service))
        await world.relay("o", name)
        await world.relay(name, "o")
        await world.relay(name, f"d{r}", world.sources[name].place)
    origin = await world.tier(
        "o",
        sources=[{"discovery": written(world.relays["o", f"r{r}"].place)} for r in range(regions)],
        doors=[{"listen": "127.0.0.1:0", "services": ["*"]}],
        settings=settings,
    )
    for r in range(regions):
        name = f"r{r}"
        world.relays[name, "o"].target = origin.listen
        region = await world.tier(
            name,
            own="127.0.0.1:0",
            sources=[{"discovery": written(world.relays[name, f"d{r}"].place)}],
            above=[written(world.relays[name, "o"].place)],
            doors=[{"listen": "127.0.0.1:0", "services": ["*"]}],
            settings=settings,
        )
        world.relays["o", name].target = region.own
    await world.complete()  # else a zone may begin at a neighbour, and stay there for a while
    for r in range(regions):
        for z in range(zones):
            name = f"r{r}z{z}"
            above = []
            for k in range(regions):
                other = f"r{(r + k) % regions}"
                above.append(await world.relayed(name, other, world.tiers[other].listen))
            await world.tier(
                name,
                above=above,
                doors=[{"listen": "127.0.0.1:0", "services": [door]} for door in doors],
                settings=settings,
            )
    await world.complete()


def all_ready(regions: int = 2, endpoints: int = 10) -> dict[str, str]:
    return dict.fromkeys(
        (name for r in range(regions) for name in names(f"r{r}", endpoints)),
        "Ready",
    )
