"""The list as a tier holds it: merged by version, told by generation, without I/O.

Each line has one owner, the tier that watches its discovery, and that owner's version of it. The greater
version wins wherever two are met, so that order, repetition and detours of messages don't matter. `known`
tells for each owner up to which of its versions all has been merged: a line within it that is not held is
gone, also when its tombstone was given up long ago.
"""

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from itertools import islice
from typing import TypeVar

COUNTER_BITS = 20
_RANDOM_BITS, _SECONDS_BITS = 12, 31

Version = tuple[int, int]  # epoch, counter
NEVER: Version = (-1, 0)
_Key = TypeVar("_Key")


@dataclass(slots=True)
class Line:
    """One instance. `body` is its published JSON object; `changed` and `altered` count generations."""

    id: str
    service: str
    owner: str
    version: Version
    gone: bool
    body: bytes
    source: str = ""  # of the discovery that told it; only with its owner
    changed: int = 0  # when it last became another one, if only by its version
    altered: int = 0  # when that which plain receivers are told last became another
    since_ms: float = 0.0  # of a tombstone: when it was set up

    @property
    def rank(self) -> tuple[Version, str, bool]:
        """Among all that were ever told of this instance, the greatest wins."""
        return (self.version, self.owner, self.gone)


@dataclass(slots=True, frozen=True)
class Told:
    """What a discovery says of one instance."""

    id: str
    service: str
    gone: bool
    body: bytes


def identity(now_s: float, drawn: int) -> int:
    """The high bits of a process's generations: when it started and 12 random bits."""
    return (int(now_s) & ((1 << _SECONDS_BITS) - 1)) << _RANDOM_BITS | drawn & ((1 << _RANDOM_BITS) - 1)


@dataclass(slots=True)
class Changes:
    """Whom one merge concerns."""

    services: set[str]  # in which something is told anew to plain receivers
    owners: set[str]  # of which some line became another

    def __bool__(self) -> bool:
        return bool(self.owners)


class State:
    """What one tier holds.

    `most_tombstones` and `tombstone_ms` bound what is kept of instances that are gone; a receiver that missed
    one which was given up gets the whole of its part.
    """

    def __init__(
        self, name: str, epoch: int, identity: int, most_tombstones: int = 20_000, tombstone_ms: float = 7.2e6
    ) -> None:
        self.name = name
        self.epoch = epoch
        self.counter = 0  # of own versions
        self.identity = identity
        self.count = 0  # of generations
        self.known: dict[str, Version] = {}  # of the other owners
        self.knows_mine = False  # all own discoveries have been heard since the start
        self._mine_before: Version | None = None  # how far an earlier process knew its own
        self.subtree = {name}  # owners below, this one among them
        self._most, self._age = most_tombstones, tombstone_ms
        self._lines: dict[str, Line] = {}  # the last changed last
        self._parts: dict[str, dict[str, Line]] = {}  # by service; the last altered last
        self._mine: dict[str, tuple[str, Told]] = {}  # what the own discoveries say, by source and line
        self._gone: dict[str, float] = {}  # tombstones, the oldest first
        self._left: dict[tuple[str, str], float] = {}  # lines that went to another service, the oldest first
        self._pruned = 0  # the last generation of which a tombstone was given up
        self._whole_at = 0  # the last generation that came of a whole answer which told something new
        self.living = 0

    # Generations.

    @property
    def generation(self) -> int:
        return self.identity << COUNTER_BITS | self.count

    def count_of(self, generation: int) -> int | None:
        """How far `generation` is in this process's count; None where it is another's."""
        count = generation & ((1 << COUNTER_BITS) - 1)
        if generation < 0 or generation >> COUNTER_BITS != self.identity or count > self.count:
            return None
        return count

    def can_tell_since(self, count: int, tier: bool) -> bool:
        """Whether a receiver, or a tier, that holds everything up to this count can be told the rest alone.

        Not where a tombstone of a later change was given up; for a tier also not where this one has learnt
        from a whole answer since: what that left out is gone, but stands nowhere.
        """
        return count >= self._pruned and not (tier and count < self._whole_at)

    def renew(self, identity: int) -> None:
        """Go on under another identity: nobody's generation holds any more, each receiver gets a whole."""
        if identity == self.identity:
            identity ^= 1
        self.identity = identity

    def _step(self) -> int:
        if self.count + 1 >= 1 << COUNTER_BITS:
            self.renew(self.identity + 1)
            self.count = self._pruned = self._whole_at = 0
            for line in self._lines.values():
                line.changed = line.altered = 0
            for part in self._parts.values():
                for line in part.values():
                    line.changed = line.altered = 0
        self.count += 1
        return self.count

    # Merging.

    def merge(self, lines: Iterable[Line], known: dict[str, Version], whole: bool, now_ms: float) -> Changes:
        """Take in what another tier told: `known` is that tier's knowledge with it.

        Lines that this tier owns are not taken from others. With `whole`, what is held, covered by `known`
        and not named is gone.
        """
        changes, count, named = Changes(set(), set()), 0, set()
        for line in lines:
            named.add(line.id)
            if line.owner == self.name:
                continue
            held = self._lines.get(line.id)
            if held is None:
                if line.version <= self.known.get(line.owner, NEVER):
                    continue  # it was here, and is gone
            elif line.rank <= held.rank:
                continue
            count = count or self._step()
            self._put(line, count, now_ms, changes)
            if line.gone and line.id in self._mine:
                self._assert(line.id, count, now_ms, changes)
        for held in list(self._lines.values()) if whole else ():
            if held.gone or held.id in named or held.owner == self.name:
                continue
            if held.version <= known.get(held.owner, NEVER):
                count = count or self._step()
                self._put(_tombstone(held), count, now_ms, changes)
                if held.id in self._mine:
                    self._assert(held.id, count, now_ms, changes)
        for owner, upto in known.items():
            if owner != self.name and upto > self.known.get(owner, NEVER):
                self.known[owner] = upto
                if whole:
                    count = count or self._step()
                    self._whole_at = count
        self._prune(now_ms)
        return changes

    def tell(self, source: str, lines: Iterable[Told], whole: bool, now_ms: float) -> Changes:
        """Take in what a discovery that this tier watches said; a whole answer covers all its own."""
        changes, count, named = Changes(set(), set()), 0, set()
        for told in lines:
            named.add(told.id)
            mine, held = self._mine.get(told.id), self._lines.get(told.id)
            if told.gone:
                if mine is not None and mine[0] == source:
                    count = count or self._step()
                    self._drop(told.id, count, now_ms, changes)
            elif mine != (source, told) or held is None or held.gone:
                count = count or self._step()
                self._mine[told.id] = (source, told)
                self._assert(told.id, count, now_ms, changes)
        if whole:
            for id in [id for id, mine in self._mine.items() if mine[0] == source and id not in named]:
                count = count or self._step()
                self._drop(id, count, now_ms, changes)
        self._prune(now_ms)
        return changes

    def forget_sources(self, but: Collection[str], now_ms: float) -> Changes:
        """Lines of discoveries that this tier watches no more are gone."""
        changes, count = Changes(set(), set()), 0
        for id, (source, _) in list(self._mine.items()):
            if source not in but:
                count = count or self._step()
                self._drop(id, count, now_ms, changes)
        return changes

    def raise_above(self, heard: Version, identity: int, now_ms: float) -> Changes:
        """An earlier life of this tier had gone further than this one: all its own lines are told anew."""
        changes = Changes(set(), set())
        if heard <= (self.epoch, self.counter):
            return changes
        self.epoch = max(self.epoch, heard[0]) + 1
        self.renew(identity)
        count = self._step()
        for id in list(self._mine):
            self._assert(id, count, now_ms, changes)
        return changes

    def restore(self, lines: Iterable[Line], known: dict[str, Version], now_ms: float) -> None:
        """Begin with what an earlier process held. Called before anything else is taken in."""
        count = self._step()
        nobody = Changes(set(), set())
        for line in lines:
            self._put(line, count, now_ms, nobody)
            if line.owner == self.name:
                self.epoch = max(self.epoch, line.version[0] + 1)
                if not line.gone:
                    self._mine[line.id] = (line.source, Told(line.id, line.service, False, line.body))
        self._mine_before = known.get(self.name)
        self.known.update((owner, upto) for owner, upto in known.items() if owner != self.name)
        if self._mine_before is not None:
            self.epoch = max(self.epoch, self._mine_before[0] + 1)

    def _assert(self, id: str, count: int, now_ms: float, changes: Changes) -> None:
        """Tell an own line in a version that outranks the one held."""
        source, told = self._mine[id]
        line = Line(id, told.service, self.name, self._stamp(id), False, told.body, source)
        self._put(line, count, now_ms, changes)

    def _drop(self, id: str, count: int, now_ms: float, changes: Changes) -> None:
        self._mine.pop(id, None)
        held = self._lines.get(id)
        if held is not None and not held.gone and held.owner == self.name:
            self._put(_tombstone(held, self._stamp(id)), count, now_ms, changes)

    def _stamp(self, id: str) -> Version:
        """The next own version, above what is held of this instance."""
        held = self._lines.get(id)
        if held is not None and held.version[0] > self.epoch:
            self.epoch = held.version[0] + 1
        self.counter += 1
        return (self.epoch, self.counter)

    def _put(self, line: Line, count: int, now_ms: float, changes: Changes) -> None:
        held = self._lines.pop(line.id, None)
        same = (
            held is not None
            and held.gone == line.gone
            and held.service == line.service
            and (line.gone or held.body == line.body)
        )
        line.changed = count
        line.altered = held.altered if held is not None and same else count
        self._lines[line.id] = line
        changes.owners.add(line.owner)
        if held is not None:
            changes.owners.add(held.owner)
            self.living -= not held.gone
        self.living += not line.gone
        if line.gone:
            if held is None or not held.gone:
                self._gone.pop(line.id, None)
                line.since_ms = self._gone[line.id] = now_ms
            else:
                line.since_ms = held.since_ms
        else:
            self._gone.pop(line.id, None)
        part = self._parts.setdefault(line.service, {})
        if held is not None and same:
            part[line.id] = line  # keeps its place
            return
        changes.services.add(line.service)
        if held is not None and held.service != line.service:
            old = self._parts[held.service]
            old.pop(held.id, None)
            left = _tombstone(held)
            left.changed = left.altered = count
            old[held.id] = left
            self._left.pop((held.service, held.id), None)
            self._left[held.service, held.id] = now_ms
            changes.services.add(held.service)
        self._left.pop((line.service, line.id), None)
        part.pop(line.id, None)
        part[line.id] = line

    def _prune(self, now_ms: float) -> None:
        for id in self._old(self._gone, now_ms):
            del self._gone[id]
            line = self._lines.pop(id)
            self._pruned = max(self._pruned, line.changed)
            self._take_out(line.service, id)
        for service, id in self._old(self._left, now_ms):
            del self._left[service, id]
            self._pruned = max(self._pruned, self._parts[service][id].altered)
            self._take_out(service, id)

    def _old(self, marks: dict[_Key, float], now_ms: float) -> list[_Key]:
        """Those to be given up, by count or age."""
        if not marks:
            return []
        extra = len(marks) - self._most
        old = []
        for i, (key, since) in enumerate(marks.items()):
            if i >= extra and now_ms - since <= self._age:
                break
            old.append(key)
        return old

    def _take_out(self, service: str, id: str) -> None:
        part = self._parts[service]
        part.pop(id, None)
        if not part:
            del self._parts[service]

    # Telling.

    def lines(self) -> Iterator[Line]:
        """All that is held, tombstones too."""
        return iter(self._lines.values())

    def all_since(self, count: int, owners: Collection[str] | None = None) -> list[Line]:
        """For tiers: what became another after this count, the latest first; -1: all, tombstones too."""
        found = []
        for line in reversed(self._lines.values()):
            if line.changed <= count:
                break
            if owners is None or line.owner in owners:
                found.append(line)
        return found

    def part_since(self, services: Collection[str] | None, count: int) -> list[Line]:
        """For plain receivers of these services (None: of all): what they are to be told after this count."""
        found: dict[str, Line] = {}
        for service in self._parts if services is None else services:
            for line in reversed(self._parts.get(service, {}).values()):
                if line.altered <= count:
                    break
                other = found.get(line.id)
                if other is None or other is not self._lines.get(line.id):
                    found[line.id] = line
        return list(found.values())

    def part(self, services: Collection[str] | None) -> list[Line]:
        """The living lines of these services (None: of all)."""
        if services is None:
            return [line for line in self._lines.values() if not line.gone]
        return [
            line for service in services for line in self._parts.get(service, {}).values() if not line.gone
        ]

    def altered(self, services: Collection[str] | None) -> int:
        """The count at which something in these services was last altered."""
        last = 0
        for service in self._parts if services is None else services:
            for line in islice(reversed(self._parts.get(service, {}).values()), 1):
                last = max(last, line.altered)
        return last

    def known_of(self, owners: Collection[str] | None = None) -> dict[str, Version]:
        """Up to which version of each owner (None: of all) the state holds everything."""
        known = dict(self.known)
        mine = (self.epoch, self.counter) if self.knows_mine else self._mine_before
        if mine is not None:
            known[self.name] = mine
        return known if owners is None else {owner: known[owner] for owner in owners if owner in known}

    @property
    def tombstones(self) -> int:
        return len(self._gone)


def _tombstone(line: Line, version: Version | None = None) -> Line:
    """Of the line's own version where no later one is known: it outranks just this line."""
    return Line(line.id, line.service, line.owner, version or line.version, True, line.body)
