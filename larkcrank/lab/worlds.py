"""Worlds of members for a search: drawn from a seed, or every one of a bounded kind. What must hold in each.

After quiet (no fault any more) every live member holds just the live ones, all with one digest; and all the
while no view goes back to a record that an earlier one outranked, and nobody lowers its own incarnation.
"""

import os
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from itertools import product
from random import Random

from larkcrank.fleet.records import MemberRecord
from larkcrank.lab.virtual import World

QUIET_MS = 300_000.0
STEP_MS = 500.0
PLACES_MS = 330_000.0  # after so long those who died hold no place any more
SPELL_MS = 20_000.0  # of a bounded search: long enough that a silent member is declared dead

Cut = Callable[[int, int], bool]
Step = tuple[str, int, str, int]  # what befalls whom, then which way is cut, from or to whom


@dataclass(slots=True, frozen=True)
class Finding:
    """A world in which something did not hold."""

    world: str
    what: str


class Watch:
    """Looks at a world while it runs."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.found: list[str] = []
        self._seen: dict[tuple[int, int, str], MemberRecord] = {}

    def run(self, ms: float) -> None:
        until = self.world.now + ms
        while self.world.now < until:
            self.world.run(min(STEP_MS, until - self.world.now))
            self._look()

    def settle(self) -> float | None:
        """Quiet from now on: the time that it took."""
        began = self.world.now
        while self.world.now < began + QUIET_MS:
            if self.world.is_settled():
                return self.world.now - began
            self.run(STEP_MS)
        if not can_meet(self.world):
            return None
        live = {number: sorted(member.live_members) for number, member in self.world.members.items()}
        self.found.append(f"not settled after {QUIET_MS / 1000:.0f} s: {live}")
        return None

    def _look(self) -> None:
        for number, member in self.world.members.items():
            for name, record in member.members.items():
                before = self._seen.get((number, member.local_record.boot_id, name))
                if before is not None and _rank(before) > _rank(record):
                    self.found.append(f"n{number} went back from {before} to {record}")
                self._seen[number, member.local_record.boot_id, name] = record


def can_meet(world: World) -> bool:
    """Whether those that live know of each other at all, directly or by others: seeds may have died unmet."""
    places = {f"m:{number}": number for number in world.members}
    knows: dict[int, set[int]] = {number: set() for number in world.members}
    for number, member in world.members.items():
        known = {record.address for record in member.members.values()} | set(world.seeds)
        for other in (places[place] for place in known if place in places):
            knows[number].add(other)
            knows[other].add(number)
    met, waiting = set[int](), list(world.members)[:1]
    while waiting:
        if (number := waiting.pop()) not in met:
            met.add(number)
            waiting += knows[number]
    return len(met) == len(world.members)


def _rank(record: MemberRecord) -> tuple[int, int, int]:
    """Written out once more: what is searched for must not follow what is searched."""
    return record.incarnation, record.standing, record.boot_id


def heal(world: World) -> None:
    world.cut = lambda a, b: False
    world.loss = 0.0
    world.go_on(list(world.stopped))


def random_world(seed: int) -> Watch:
    """Faults of all kinds, alone and together, then healed. Not yet settled."""
    rng = Random(seed)
    count = rng.randint(3, 14) if rng.random() < 0.95 else rng.randint(15, 50)
    world = World(count, seed, seeds=rng.randint(1, 3), delay_ms=rng.choice([1.0, 5.0, 300.0]))
    watch = Watch(world)
    if watch.settle() is None:
        return watch
    for _ in range(rng.randint(1, 6)):
        who = rng.sample(range(count), rng.randint(1, max(1, count // 2)))
        some = set(who)
        ways: list[Cut] = [
            lambda a, b, s=some: (a in s) != (b in s),  # type: ignore[misc]
            lambda a, b, s=some: a in s and b not in s,  # type: ignore[misc]
            lambda a, b, s=some: {a, b} <= s,  # type: ignore[misc]
            lambda a, b: False,
        ]
        match rng.choice(["kill", "start", "stop", "cut", "lose", "leave", "go on"]):
            case "kill":
                world.kill(who)
            case "start":
                world.kill(who)
                for number in who:
                    world.start(number)
            case "stop":
                world.stop(who)
            case "cut":
                world.cut = rng.choice(ways)
            case "lose":
                world.loss = rng.choice([0.0, 0.1, 0.3])
            case "leave" if who[0] in world.members and who[0] not in world.stopped:
                world.leave(who[0])
            case "go on":
                world.go_on(list(world.stopped))
        watch.run(rng.choice([500.0, 3_000.0, 20_000.0, 60_000.0]))
    heal(world)
    return watch


def play_seed(seed: int) -> Finding | None:
    watch = random_world(seed)
    watch.settle()
    if not watch.found and watch.world.members and seed % 10 == 0:
        watch.run(PLACES_MS)
        if not watch.world.are_placed():
            told = {number: ranks.current for number, ranks in watch.world.ranks.items()}
            watch.found.append(f"not placed: {told}")
    return Finding(f"seed {seed}", watch.found[0]) if watch.found else None


# Every world of three members: before each spell one is killed, restarted or nobody is; in it ways are cut.

_BEFALLS = [("none", 0), *product(("kill", "restart"), range(3))]
_CUTS = [("none", 0), *product(("alone", "dumb", "deaf", "pair"), range(3))]
STEPS: list[Step] = [(*befalls, *cut) for befalls, cut in product(_BEFALLS, _CUTS)]


def _way(word: str, whom: int) -> Cut:
    others = {0, 1, 2} - {whom}
    return {
        "none": lambda a, b: False,
        "alone": lambda a, b: whom in (a, b),
        "dumb": lambda a, b: a == whom,
        "deaf": lambda a, b: b == whom,
        "pair": lambda a, b: {a, b} == others,
    }[word]


def every(depth: int) -> Iterator[tuple[Step, ...]]:
    """All worlds of so many spells: 91 of one, 8281 of two."""
    return product(STEPS, repeat=depth)


def play_steps(steps: Iterable[Step]) -> Finding | None:
    world = World(3, 1)
    watch = Watch(world)
    watch.settle()
    for befalls, whom, cut, at in steps:
        if befalls != "none":
            world.kill([whom])
        if befalls == "restart":
            world.start(whom)
        world.cut = _way(cut, at)
        watch.run(SPELL_MS)
    heal(world)
    watch.settle()
    return Finding(repr(tuple(steps)), watch.found[0]) if watch.found else None


def hunt(seeds: range, depth: int, jobs: int = 0) -> Iterator[tuple[int, list[Finding]]]:
    """Play all of them side by side: how many are done, and what was found since."""
    done = 0
    with ProcessPoolExecutor(jobs or os.cpu_count()) as pool:
        for found in pool.map(play_seed, seeds, chunksize=4):
            done += 1
            yield done, [found] if found is not None else []
        for found in pool.map(play_steps, every(depth) if depth else (), chunksize=8):
            done += 1
            yield done, [found] if found is not None else []
