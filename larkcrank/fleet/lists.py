"""The server list as the sidecars have it together: who knows a newer one tells it. No I/O.

Which list counts, in this order: one that discovery told to somebody before one from before a restart; a
later epoch (discovery began its count anew); a higher generation. Discovery's own word replaces what fellows
told.

What fellows say is bounded, so that one that lies or lags does little harm:
- A server that is known to drain or to be gone stays so within its life (its start time).
- A list that takes away more than half of the ready servers needs two fellows that had it from discovery
  itself; until then the servers of both count, and failing ones are found out by their answers.
- A list whose age is over TRUST_MS is not taken, nor told as anything but one from before.
- An empty list is not taken from fellows at all.
- That discovery began its count anew is believed when two members heard so from it and nobody heard otherwise
  of late.
- Places are one's own, unless the operator says that they are the same for all. Without, a server that one
  cannot place, or that lives at another place now, gets nothing.

Times are milliseconds on the caller's clock; between members only ages travel, so no clocks have to agree.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random

import msgspec

from larkcrank.core.interface import State
from larkcrank.fleet import trust
from larkcrank.fleet.membership import Membership, Out
from larkcrank.fleet.wire import MOST_BYTES, SEAL_BYTES, Have, Line, ListMessage, Piece, Want, size_of

TELL_MS = 1000.0  # between two tellings of what one holds, to one member
TELL_NEW = 3  # members that are told at once of a newer list
TRUST_MS = trust.LIST.fellows_ms  # since discovery told a list: a fellow's is taken for so long
FRESH_MS = 20_000.0  # discovery's own word of so long ago still says how it counts
ANEW_MS = 30_000.0  # it is alone in hearing discovery, and that goes on counting lower: it began anew
GONE_MS = trust.GONE.before_ms  # a server that went is remembered for so long ...
GONE_MOST = 1024  # ... and so many are
SAID_MOST = 16  # lists that fellows were heard to hold
WANT_MS = 200.0  # without a piece it is wanted once more ...
WANTS = 8  # ... so often; then whoever tells us next is asked
DOUBT_MS = 300.0  # while one fellow is not believed, others are asked what they hold so often ...
DOUBTS_MS = 3000.0  # ... for so long: if nobody vouches for it by then, it is as good as alone
LINES_MOST = 4096  # of a list that is taken from fellows
PIECE_BYTES = MOST_BYTES - SEAL_BYTES - 1 - 60
HALF = 0.5
SECOND = 2  # fellows that have to hold the same where one is not believed

Key = tuple[bool, int, int]


@dataclass(slots=True, frozen=True)
class Told:
    """What the sidecar goes by from now on: whole, in place of what it had."""

    generation: int
    lines: tuple[Line, ...]
    by: str  # the fellow that it is from


@dataclass(slots=True)
class _Held:
    epoch: int = 0
    generation: int = -1
    told_at: float = -math.inf  # when discovery told it to whoever had it first; -inf: from before


@dataclass(slots=True)
class _Fetch:
    """A list on its way, piece by piece."""

    name: str
    place: str
    key: tuple[int, int, int]  # epoch, generation, mark
    asked_at: float
    told_at: float
    tries: int = 0
    lines: list[Line] = field(default_factory=list)


def mark_of(lines: Iterable[Line], with_places: bool) -> int:
    """Of what a list says, in any order."""
    whole = 0
    for line in lines:
        text = msgspec.msgpack.encode(line if with_places else msgspec.structs.replace(line, place=""))
        whole ^= int.from_bytes(blake2b(text, digest_size=8).digest(), "big")
    return whole


class Lists:
    """One member's list, and what it knows of the others'."""

    def __init__(self, fellows: Membership, same_places: bool, rng: Random, now: float) -> None:
        self.lines: dict[str, Line] = {}  # what this member goes by
        self.taken = 0  # lists that came from fellows
        self.refused: dict[str, int] = {}  # what fellows said that was not gone by, by reason
        self.up: dict[str, float] = {}  # by fellow: since when its process runs
        self._fellows, self._same, self._rng = fellows, same_places, rng
        self._began = self._now = now
        self._held = _Held()
        self._shared: dict[str, Line] = {}  # the list as discovery told it to whoever had it first ...
        self._mark = 0  # ... and its mark
        self._direct = -1  # the generation that discovery itself told last ...
        self._direct_at = -math.inf  # ... and when
        self._lower_since: float | None = None  # since when discovery counts lower than what is held
        self._lower: tuple[int, dict[str, Line]] | None = None  # what it tells then
        self._gone: dict[str, tuple[float, State, float]] = {}  # start time, drains or gone, since when known
        self._said: dict[tuple[int, int, int], dict[str, float]] = {}  # list: who holds it, heard when
        self._reports: dict[str, tuple[int, float]] = {}  # what discovery told a fellow, and when
        self._partial: tuple[tuple[int, int, int], Told] | None = None  # taken but for what it takes away
        self._sure = self._held, self._mark  # the list before that, which others are told of meanwhile
        self._ready: Told | None = None
        self._is_news = False
        self._fetch: _Fetch | None = None
        self._tell_at = now
        self._asks_until = -math.inf  # a second fellow's word is looked for
        fellows.on_list = self.receive

    # What the owner reads

    @property
    def generation(self) -> int:
        return self._held.generation

    @property
    def is_told(self) -> bool:
        """Whether discovery told it since this process began, be it to a fellow."""
        return self._held.told_at > -math.inf

    @property
    def told_at(self) -> float:
        """When discovery told it to whoever had it first; -inf: from before."""
        return self._held.told_at

    # Events

    def begin(self, lines: Iterable[Line], generation: int, age_ms: float = math.inf) -> None:
        """With the list of before; older than TRUST_MS, or of no known age, it counts among such ones."""
        named = {line.name: line for line in lines}
        told_at = self._now - age_ms if age_ms <= TRUST_MS else -math.inf
        self._hold(named, named, _Held(0, generation, told_at))

    def remember_gone(self, gone: dict[str, tuple[float, State, float]]) -> None:
        """Servers that had gone or drained before a restart."""
        self._gone |= gone

    def gone(self) -> dict[str, tuple[float, State, float]]:
        return dict(self._gone)

    def heard(self, now: float, lines: Iterable[Line], generation: int, whole: bool) -> list[Line]:
        """Discovery's own word: what it comes to, with what is known to drain or to have gone left so."""
        self._now, self._direct, self._direct_at = now, generation, now
        lower = generation < self._held.generation and self.is_told
        kept = [self._graved(line) if lower else line for line in lines]
        named = {line.name: line for line in kept}
        if lower and not whole:  # older than what fellows told: only what it takes away counts
            kept = [line for line in kept if line.state != State.READY]
            named = {line.name: line for line in kept}
            self._note_gone(named)
            self._go_by(self.lines | named)
            return kept
        if lower and self._others():  # it lags, or began its count anew: both count until it is plain which
            self._lower = generation, named
            self._lower_since = now if self._lower_since is None else self._lower_since
            self._note_gone(named)
            self._go_by(self.lines | named)
            return list(self.lines.values())
        self._note_gone(named, whole)
        epoch = self._held.epoch + lower
        newer = (epoch, generation) != (self._held.epoch, self._held.generation)
        before, shared = ({}, {}) if whole else (self.lines, self._shared)
        self._partial = self._fetch = self._lower = self._lower_since = None
        self._hold(before | named, shared | named, _Held(epoch, generation, now))
        if newer:
            self._is_news = True
        return kept

    def receive(self, now: float, place: str, message: ListMessage) -> list[Out]:
        self._now = now
        name = message.sender.name
        match message:
            case Have():
                return self._have(name, place, message)
            case Want():
                return self._wanted(name, place, message)
            case Piece():
                return self._piece(name, place, message)

    def tick(self, now: float) -> list[Out]:
        self._now = now
        out: list[Out] = []
        if self._fetch is not None and now >= self._fetch.asked_at + WANT_MS:
            self._fetch.tries += 1
            if self._fetch.tries < WANTS:
                out.append(self._want(self._fetch.lines[-1].name if self._fetch.lines else ""))
            else:
                self._fetch = None
        if now >= self._tell_at:
            asks = now < self._asks_until
            self._tell_at = now + (DOUBT_MS if asks else TELL_MS)
            out += self._tell(TELL_NEW if asks else 1)
            self._clear_out()
        if self._is_news:  # made only now: a process that stood still would tell an age of before
            self._is_news = False
            out += self._tell(TELL_NEW)
        return out

    def result(self, now: float) -> Told | None:
        """A list to go by from now on, where what fellows hold came to one."""
        self._now = now
        told, self._ready = self._ready, None
        if told is not None:
            return told
        if self._partial is not None and self._agreed(self._partial[0]):
            (_, told), self._partial = self._partial, None
            named = {line.name: line for line in told.lines}
            self._note_gone(named, True)
            self._go_by(named)
            return told
        if self._lower is not None and self._is_anew():
            (generation, lines), self._lower, self._lower_since = self._lower, None, None
            self._hold(lines, lines, _Held(self._held.epoch + 1, generation, self._direct_at))
            self._is_news = True
            return Told(generation, tuple(self.lines.values()), "")
        return None

    # What fellows hold

    def _have(self, name: str, place: str, message: Have) -> list[Out]:
        theirs = self._key(message.age_ms, message.epoch, message.generation)
        told_at = self._now - message.age_ms if message.age_ms >= 0.0 else -math.inf
        self.up[name] = self._now - message.up_ms
        if message.direct >= 0:
            self._reports[name] = message.direct, self._now - message.direct_ms
        key = message.epoch, message.generation, message.mark
        if message.direct == message.generation:  # it had it from discovery itself, not from another of us
            self._said.setdefault(key, {})[name] = self._now
            while len(self._said) > SAID_MOST:
                del self._said[next(iter(self._said))]
        mine = self._my_key()
        if theirs == mine and message.mark == self._mark:
            self._held.told_at = max(self._held.told_at, told_at)
            return []
        if theirs < mine:
            out = self._have_message(name)
            if self._key(out.age_ms, out.epoch, out.generation) <= theirs:
                return []  # two that each hold one in part told each other of what they had before, for ever
            room = size_of(message) - size_of(out) + len(out.room)
            return [Out(place, msgspec.structs.replace(out, room=bytes(max(room, 0))))] if room >= 0 else []
        if message.mark == 0 and self.lines:
            self._refuse("empty")
            return []
        if theirs == mine or self._fetch is not None:
            return []  # the same generation with other lines is settled by discovery, not between us
        if message.epoch > self._held.epoch and self._held.generation >= 0 and not self._may_be_anew(key):
            self._refuse("epoch")
            self._asks_until = self._now + TELL_MS
            self._tell_at = min(self._tell_at, self._now + DOUBT_MS)
            return []
        if message.age_ms > TRUST_MS:
            self._refuse("old")
            return []
        self._fetch = _Fetch(name, place, key, self._now, told_at)
        return [self._want("")]

    def _may_be_anew(self, key: tuple[int, int, int]) -> bool:
        """A later epoch is believed of two, or where discovery itself counts so to us."""
        own = self._now - self._direct_at < FRESH_MS and self._direct < self._held.generation
        return own or not self.is_told or self._agreed(key)

    def _agreed(self, key: tuple[int, int, int]) -> bool:
        return len(self._said.get(key, ())) >= SECOND

    def _want(self, after: str) -> Out:
        fetch = self._fetch
        assert fetch is not None
        fetch.asked_at = self._now
        epoch, generation, _ = fetch.key
        want = Want(*self._fellows.head(fetch.name), epoch, generation, after, b"")
        return Out(fetch.place, msgspec.structs.replace(want, room=bytes(PIECE_BYTES - size_of(want))))

    def _wanted(self, name: str, place: str, message: Want) -> list[Out]:
        held = self._held
        if (message.epoch, message.generation) != (held.epoch, held.generation):
            return []
        lines: list[Line] = []
        upto = ""
        head = *self._fellows.head(name), held.epoch, held.generation, self._mark, self._age(), message.after
        room = size_of(message) - size_of(Piece(*head, "", [])) - 8
        for key in sorted(key for key in self._shared if key > message.after):
            line = self._shared[key]
            room -= size_of(line)
            if room < len(key):
                if not lines:
                    self._refuse("untellable")  # one line alone is longer than a datagram
                    return []
                upto = lines[-1].name
                break
            lines.append(line)
        return [Out(place, Piece(*head, upto, lines))]

    def _piece(self, name: str, place: str, message: Piece) -> list[Out]:
        fetch = self._fetch
        key = message.epoch, message.generation, message.mark
        if fetch is None or fetch.name != name or fetch.key != key:
            return []
        after = fetch.lines[-1].name if fetch.lines else ""
        if message.after != after or len(fetch.lines) + len(message.lines) > LINES_MOST:
            return []
        fetch.lines += message.lines
        fetch.tries = 0
        if message.upto:
            if not message.lines:
                self._fetch = None
                return []
            return [self._want(message.upto)]
        self._fetch = None
        if mark_of(fetch.lines, self._same) != message.mark:
            self._refuse("mark")
            return []
        self._take(fetch)
        return []

    def _take(self, fetch: _Fetch) -> None:
        """A fellow's list is whole here: go by it as far as one fellow is believed."""
        if self._key(self._now - fetch.told_at, *fetch.key[:2]) <= self._my_key():
            return
        epoch, generation, _ = fetch.key
        theirs: dict[str, Line] = {}
        for line in fetch.lines:
            placed = self._placed(self._graved(line))
            if placed is not None:
                theirs[line.name] = placed
        ready = {line.name for line in self.lines.values() if line.state == State.READY}
        stay = {line.name for line in theirs.values() if line.state == State.READY}
        told = Told(generation, tuple(theirs.values()), fetch.name)
        self.taken += 1
        self._partial = None
        if len(ready - stay) > HALF * len(ready) and not self._agreed(fetch.key):
            self._refuse("alone")
            self._sure = self._held, self._mark
            self._partial = fetch.key, told
            self._asks_until, self._tell_at = self._now + DOUBTS_MS, self._now
            kept = {name: line for name, line in self.lines.items() if name in ready - stay}
            told = Told(generation, tuple({**theirs, **kept}.values()), fetch.name)
        else:
            self._note_gone(theirs, True)
        mine = {line.name: line for line in told.lines}
        shared = {line.name: line for line in fetch.lines}
        self._hold(mine, shared, _Held(epoch, generation, fetch.told_at))
        self._ready = told
        self._is_news = True

    # What is held

    def _hold(self, mine: dict[str, Line], shared: dict[str, Line], held: _Held) -> None:
        self._held = held
        self._shared = {name: line for name, line in shared.items() if line.state != State.GONE}
        self._mark = mark_of(self._shared.values(), self._same)
        self._go_by(mine)

    def _go_by(self, lines: dict[str, Line]) -> None:
        self.lines = {name: line for name, line in lines.items() if line.state != State.GONE}

    def _graved(self, line: Line) -> Line:
        """Draining or gone outranks ready within a life."""
        known = self._gone.get(line.name)
        if known is None or line.state != State.READY or line.started_ms > known[0]:
            return line
        self._refuse("gone")
        return msgspec.structs.replace(line, state=int(known[1]))

    def _placed(self, line: Line) -> Line | None:
        if self._same:
            return line
        own = self.lines.get(line.name)
        if own is None or own.started_ms != line.started_ms:
            self._refuse("place")
            return None
        return msgspec.structs.replace(line, place=own.place)

    def _note_gone(self, lines: dict[str, Line], whole: bool = False) -> None:
        """Remember what these lines take away from what is held."""
        for name, line in lines.items():
            if line.state != State.READY:
                known = self.lines.get(name)
                started = max(line.started_ms, known.started_ms if known is not None else 0.0)
                self._gone[name] = started, State(line.state), self._now
            elif name in self._gone and line.started_ms > self._gone[name][0]:
                del self._gone[name]
        if whole:
            for name, line in self.lines.items():
                if name not in lines:
                    self._gone[name] = line.started_ms, State.GONE, self._now
        while len(self._gone) > GONE_MOST:
            del self._gone[next(iter(self._gone))]

    def _is_anew(self) -> bool:
        assert self._lower_since is not None
        reports = [(self._direct, self._direct_at), *self._reports.values()]
        fresh = [generation for generation, at in reports if self._now < at + FRESH_MS]
        if any(generation >= self._held.generation for generation in fresh):
            self._lower_since = self._now
            return False
        return len(fresh) >= SECOND or self._now >= self._lower_since + ANEW_MS

    def _clear_out(self) -> None:
        for name in [name for name, (_, _, at) in self._gone.items() if self._now >= at + GONE_MS]:
            del self._gone[name]
        members = self._fellows.members
        self.up = {name: since for name, since in self.up.items() if name in members}
        self._reports = {name: report for name, report in self._reports.items() if name in members}
        for said in self._said.values():
            for name in [name for name, at in said.items() if self._now >= at + FRESH_MS]:
                del said[name]

    def _others(self) -> bool:
        return len(self._fellows.lives) > 1

    # What is told

    def _tell(self, count: int) -> list[Out]:
        if self._held.generation < 0 and not self._others():
            return []
        others = [one for one in self._fellows.lives.values() if one.name != self._fellows.me.name]
        told = self._rng.sample(others, min(count, len(others)))
        return [Out(one.place, self._have_message(one.name)) for one in told]

    def _have_message(self, name: str) -> Have:
        direct = self._now - self._direct_at if self._direct >= 0 else 0.0
        # One that is taken but in part is not told: who holds it, or a newer one, answers, and that decides.
        held, mark = (self._held, self._mark) if self._partial is None else self._sure
        age = self._now - held.told_at
        head = *self._fellows.head(name), held.epoch, held.generation, age if age <= TRUST_MS else -1.0, mark
        return Have(*head, self._direct, direct, self._now - self._began, bytes(24))

    def _age(self) -> float:
        age = self._now - self._held.told_at
        return age if age <= TRUST_MS else -1.0

    @staticmethod
    def _key(age_ms: float, epoch: int, generation: int) -> Key:
        return 0.0 <= age_ms <= TRUST_MS, epoch, generation

    def _my_key(self) -> Key:
        return self._key(self._age(), self._held.epoch, self._held.generation)

    def _refuse(self, why: str) -> None:
        self.refused[why] = self.refused.get(why, 0) + 1
