"""Members in virtual time: datagrams, losses, cuts, deaths and stalls on one heap, repeatable by the seed.

SimPy was the other way: its processes are generators, a few times slower than plain calls on a heap, and the
members here are state machines already, with nothing to wait in.
"""

import heapq
from collections.abc import Callable, Iterable
from random import Random

from larkcrank.core.interface import FleetSize
from larkcrank.fleet.membership import MAX_LOCAL_HEALTH_SCORE, TICK_INTERVAL_MS, Membership, OutgoingMessage
from larkcrank.fleet.ranks import FleetSizeTracker
from larkcrank.fleet.records import MemberRecord
from larkcrank.fleet.wire import Codec, DatagramError

STARVED_ON_MS, STARVED_OFF_MS = 1000.0, 3000.0  # most that a starved member runs and stands
COUNT_MS = 1000.0  # between a member's looks at how many there are


class World:
    """Members by number; times in ms."""

    def __init__(self, count: int, seed: int, seeds: int = 3, delay_ms: float = 2.0, zones: int = 1) -> None:
        self.rng = Random(seed)
        self.now = 0.0
        self.loss = 0.0
        self.delay_ms, self.jitter_ms = delay_ms, delay_ms
        self.cut: Callable[[int, int], bool] = lambda source, to: False
        self.members: dict[int, Membership] = {}  # those whose process lives
        self.ranks: dict[int, FleetSizeTracker] = {}  # theirs
        self.sizes: list[tuple[float, int, FleetSize]] = []  # when, to whom, what its balancer was told
        self.configured = count  # the number of members that configurations tell
        self.stopped: set[int] = set()
        self.sent = self.bytes = 0
        self.refused: dict[str, int] = {}
        self.deaths: list[tuple[float, int, str]] = []  # when, in whose view, who
        self._codec = Codec("world")
        self._zones = zones
        self.seeds = [f"m:{index}" for index in range(seeds)]
        self._lives: dict[int, int] = {}
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._inbox: dict[int, list[tuple[str, bytes]]] = {}  # what came while a member stood still
        for number in range(count):
            self.start(number)

    # Faults

    def start(self, number: int, name: str = "") -> None:
        """A process under this name and address with nothing kept; its life is drawn anew."""
        life = self.rng.getrandbits(62)
        self._lives[number] = life
        me = MemberRecord(name or f"n{number}", f"m:{number}", f"z{number % self._zones}", life, 1)
        self.members[number] = Membership(me, self.seeds, Random(self.rng.getrandbits(62)), self.now)
        self.ranks[number] = FleetSizeTracker(me.name, self.configured, number, self.now)
        self.at(self.now + self.rng.random() * TICK_INTERVAL_MS, lambda: self._tick(number, life))
        self.at(self.now + self.rng.random() * COUNT_MS, lambda: self._count(number, life))

    def kill(self, numbers: Iterable[int]) -> None:
        for number in numbers:
            self.members.pop(number, None)
            self.ranks.pop(number, None)
            self.stopped.discard(number)
            self._inbox.pop(number, None)

    def stop(self, numbers: Iterable[int]) -> None:
        self.stopped |= set(numbers)

    def go_on(self, numbers: Iterable[int]) -> None:
        """What waited in their sockets is read now."""
        for number in numbers:
            self.stopped.discard(number)
            for place, data in self._inbox.pop(number, []):
                self._arrive(number, place, data)

    def starve(self, numbers: Iterable[int]) -> None:
        """From now on these get the CPU for moments only: they stand up to 3 s, and go on up to 1 s."""
        for number in numbers:
            self._starve(number, self._lives[number], stands=False)

    def _starve(self, number: int, life: int, stands: bool) -> None:
        if self._lives[number] != life or number not in self.members:
            return
        (self.go_on if stands else self.stop)([number])
        wait = self.rng.random() * (STARVED_ON_MS if stands else STARVED_OFF_MS)
        self.at(self.now + wait, lambda: self._starve(number, life, not stands))

    def leave(self, number: int) -> None:
        self._send(number, self.members[number].leave(self.now))
        self.kill([number])

    # Time

    def at(self, when: float, do: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._heap, (when, self._sequence, do))

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self._heap and self._heap[0][0] <= end:
            self.now, _, do = heapq.heappop(self._heap)
            do()
        self.now = end

    def settle(self, most_ms: float, step_ms: float = 500.0) -> float | None:
        """Time until all views are the truth; None: not by then."""
        began = self.now
        while self.now - began < most_ms:
            if self.is_settled():
                return self.now - began
            self.run(step_ms)
        return self.now - began if self.is_settled() else None

    def truth(self) -> set[tuple[str, int]]:
        return {(member.local_record.name, member.local_record.boot_id) for member in self.members.values()}

    def is_settled(self) -> bool:
        """Every live member holds just the live ones, and all digests are the same."""
        truth = self.truth()
        if len({member.digest.total for member in self.members.values()}) > 1:
            return False
        views = (
            {(one.name, one.boot_id) for one in member.live_records()} for member in self.members.values()
        )
        return all(view == truth for view in views)

    def _tick(self, number: int, life: int) -> None:
        member = self.members.get(number)
        if member is None or self._lives[number] != life:
            return
        if number not in self.stopped:
            self._send(number, member.tick(self.now))
            self._note(number, member)
        self.at(self.now + TICK_INTERVAL_MS, lambda: self._tick(number, life))

    def _count(self, number: int, life: int) -> None:
        member = self.members.get(number)
        if member is None or self._lives[number] != life:
            return
        if number not in self.stopped and not member.is_duplicate:
            slow = member.local_health_score * 2 >= MAX_LOCAL_HEALTH_SCORE
            ranks = self.ranks[number]
            told = ranks.observe(
                self.now, member.live_members, member.first_contact_at, member.digest_mismatch_at, slow
            )
            if told is not None:
                self.sizes.append((self.now, number, told))
        self.at(self.now + COUNT_MS, lambda: self._count(number, life))

    def are_placed(self) -> bool:
        """Every live member has a place of its own, and counts right."""
        told = [ranks.current for ranks in self.ranks.values()]
        everyone = set(range(len(self.members)))
        return {one.ordinal for one in told} == everyone and {one.count for one in told} == {len(told)}

    def _note(self, number: int, member: Membership) -> None:
        for change in member.changes:
            if change.standing.name == "DEAD":
                self.deaths.append((self.now, number, change.name))
        member.changes.clear()

    def _send(self, source: int, outs: list[OutgoingMessage]) -> None:
        for out in outs:
            data = self._codec.encode(out.message)
            self.sent += 1
            self.bytes += len(data)
            to = int(out.address[2:])
            if self.rng.random() < self.loss or self.cut(source, to):
                continue
            when = self.now + self.delay_ms + self.rng.random() * self.jitter_ms
            self.at(when, lambda to=to, data=data: self._arrive(to, f"m:{source}", data))  # type: ignore[misc]

    def _arrive(self, to: int, place: str, data: bytes) -> None:
        member = self.members.get(to)
        if member is None:
            return
        if to in self.stopped:
            self._inbox.setdefault(to, []).append((place, data))
            return
        try:
            message = self._codec.decode(data)
        except DatagramError as refused:
            self.refused[refused.reason] = self.refused.get(refused.reason, 0) + 1
            return
        self._send(to, member.receive(self.now, place, message))
        self._note(to, member)
