"""How long a fleet takes to settle, and what its view costs, by size, in virtual time."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from larkcrank.lab.virtual import World

MOST_MS = 600_000.0
SPLIT_MS = 60_000.0
CALM_MS = 30_000.0
TOLD_MS = 120_000.0  # after so long what the joins had to tell is told
WATCH_MS = 300_000.0  # of wrong deaths


@dataclass(slots=True, frozen=True)
class Row:
    members: int
    what: str
    figure: float
    unit: str


def _kill_third(world: World) -> None:
    world.kill(range(0, len(world.members), 3))


def _restart_half(world: World) -> None:
    for number in range(0, len(world.members), 2):
        world.kill([number])
        world.start(number)


def _split(world: World) -> None:
    half = len(world.members) // 2
    world.cut = lambda a, b: (a < half) != (b < half)
    world.run(SPLIT_MS)
    world.cut = lambda a, b: False


TROUBLES: dict[str, Callable[[World], None]] = {
    "a third killed at one moment": _kill_third,
    "half restarted at once, nothing kept": _restart_half,
    "split in halves for 60 s, healed": _split,
}


def settling(members: int, seed: int) -> Iterator[Row]:
    """Seconds until every view is the truth."""
    world = World(members, seed)
    yield Row(members, "all join at once", _took(world), "s")
    world.run(TOLD_MS)
    for what, befall in TROUBLES.items():
        befall(world)
        yield Row(members, what, _took(world), "s")
        world.run(TOLD_MS)


def _took(world: World) -> float:
    took = world.settle(MOST_MS)
    return -1.0 if took is None else took / 1000.0


def cost(members: int, seed: int) -> Iterator[Row]:
    """Datagrams and bytes of an instance in a second, calm."""
    world = World(members, seed)
    world.settle(MOST_MS)
    world.run(TOLD_MS)
    sent, size = world.sent, world.bytes
    world.run(CALM_MS)
    instance_seconds = members * CALM_MS / 1000.0
    yield Row(members, "datagrams an instance, calm", (world.sent - sent) / instance_seconds, "a second")
    yield Row(members, "bytes an instance, calm", (world.bytes - size) / instance_seconds, "a second")


def wrong_deaths(members: int, seed: int) -> Iterator[Row]:
    """Live members that somebody declared dead: calm, with datagrams lost, with a tenth starved of CPU."""
    for what in ("calm", "30% lost", "a tenth starved"):
        world = World(members, seed)
        world.settle(MOST_MS)
        before = len(world.deaths)
        if what == "30% lost":
            world.loss = 0.3
        if what == "a tenth starved":
            world.starve(range(0, members, 10))
        world.run(WATCH_MS)
        hours = members * WATCH_MS / 3_600_000.0
        wrong = len({(name, round(at / 60_000.0)) for at, _, name in world.deaths[before:]})
        yield Row(members, f"wrongly declared dead, {what}", wrong / hours, "an instance-hour")
