"""Who is in the fleet: a failure detector and a view that settles, without I/O. See docs/fleet-view.md.

After SWIM (Das, Gupta, Motivala, DSN 2002): random probes, indirect probes, suspicion, incarnations, news
on the back of probes. After Lifeguard (Dadgar, Phillips, Currey, DSN-W 2018): who misses answers blames
itself first and waits longer, others' agreement shortens a suspicion, whoever is suspected is told first.
Dead members are looked for at a bounded rate, as Serf does, and two members that differ compare and mend
their views, bucket by bucket.

Times are milliseconds on the caller's clock. `tick` has to be called every TICK_MS; a late call is our stall.
"""

import math
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

import msgspec

from larkcrank.fleet.news import News
from larkcrank.fleet.records import BUCKETS, Digest, Record, Standing, bucket_of
from larkcrank.fleet.wire import (
    MOST_BYTES,
    SEAL_BYTES,
    Ack,
    Ask,
    Differ,
    Have,
    ListMessage,
    Message,
    Nack,
    Once,
    Page,
    Piece,
    Ping,
    Reply,
    Summary,
    Want,
    size_of,
)

TICK_MS = 100.0
PERIOD_MS = 1000.0  # one probe in each; longer where answers take longer ...
PERIOD_MOST_MS = 4000.0  # ... but not than this
RTT_MOST_MS = 2000.0  # an answer after longer tells of a process that stood still, not of its way
RTT_WEIGHT, RTT_SPREAD_WEIGHT = 0.125, 0.25  # of one answer's time, and of how far off it was (RFC 6298) ...
RTT_SPREADS = 4.0  # ... so many of which an answer may take longer than usual
TIMED_MOST = 16  # probes whose answer is timed, be it late
DIRECT_SHARE = 0.5  # of a period that a probe may take before others are asked
NACK_SHARE = 0.8  # of that time after which one who was asked says that it is there
FIRST_MS = 300.0  # spread of the first probe: others are met soon, and not all at one moment
ASKED = 3  # others that are asked
SUSPECT_MIN = 5.0  # periods, times log10 of the fleet's size
SUSPECT_MAX = 4.0  # times that, while nobody agrees
AGREE = 3  # others whose agreement brings it down to the least
DOUBT_MOST = 4  # of ourselves: periods are as many times longer, and once more
NEWS_TIMES = 3.0  # tellings of a piece of news, times log2 of the fleet's size
NEWS_BYTES = 700  # of news in one datagram
STALL_MS = 1000.0  # a tick so late is our own stall
FORGET_MS = 24 * 3600 * 1000.0  # the dead are looked for so long
LIVES_HEARD = 4  # lives of one name whose datagrams are told apart from replayed ones
LIVES_MOST = 64  # other lives with our name that are remembered
RAISES = 4  # times that another life with our name outdid us: it lives
PAGES_AT_ONCE = 4
PAGE_BYTES = 1000  # of records in a page
LEAVE_TOLD = 4
ROOM_BYTES = 40  # of a datagram besides its records


@dataclass(slots=True, frozen=True)
class Out:
    """A datagram to send."""

    place: str
    message: Message


@dataclass(slots=True, frozen=True)
class Change:
    """What became of a member in our view, and why."""

    name: str
    standing: Standing
    why: str


@dataclass(slots=True)
class _Probe:
    name: str
    number: int
    asked: int = 0
    nacks: int = 0
    answered: bool = False


@dataclass(slots=True)
class _Suspicion:
    since: float
    incarnation: int
    least: float
    most: float
    by: set[str] = field(default_factory=set)

    def is_news(self, by: str) -> bool:
        return bool(by) and by not in self.by and len(self.by) <= AGREE

    def ends_at(self) -> float:
        agree = min(math.log(len(self.by) + 1) / math.log(AGREE + 1), 1.0)
        return self.since + max(self.least, self.most - (self.most - self.least) * agree)


@dataclass(slots=True)
class _Relay:
    """A probe that we do for another."""

    number: int  # the other's
    asker: str
    place: str
    nack_at: float
    ends_at: float


class Membership:
    """One member's view. Feed it `receive` and `tick`, send what they return, read `changes`."""

    def __init__(self, me: Record, seeds: Iterable[str], rng: Random, now: float) -> None:
        self.me = me
        self.is_duplicate = False  # another process has our name: it goes on with it, we are silent
        self.has_left = False
        self.doubt = 0
        self.changes: list[Change] = []
        self.members: dict[str, Record] = {}  # all that are known, also the dead
        self.lives: dict[str, Record] = {}  # those of them that live
        self.digest = Digest()
        self.version = 0  # grows when the live ones are others
        self.differed_at = -math.inf  # when somebody's digest was last another than ours
        self.met_at = math.inf  # when the first other was met
        self._dead: dict[
            str, Record
        ] = {}  # those that do not, and are looked for: also who left may come again
        self._names: list[set[str]] = [set() for _ in range(BUCKETS)]  # all known names, by bucket
        self._places: Counter[str] = Counter()  # where the live ones are
        self._hold(None, me)
        self._seeds = [seed for seed in seeds if seed != me.place]
        self._rng, self._now = rng, now
        self._tick_at = now
        self._period_at = now + rng.random() * FIRST_MS
        self._ask_at = math.inf
        self._round: list[str] = []  # who is probed next, in random order
        self._probe: _Probe | None = None
        self._timed: dict[int, float] = {}  # probes of late, and when they were sent
        self._usual_rtt, self._rtt_spread = -1.0, 0.0  # of answers; below 0: none yet
        self._relays: dict[int, _Relay] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        self._news = News()
        self._dead_at: dict[str, float] = {}
        self._once: dict[str, dict[int, Once]] = {}  # by name and life
        self._raises: dict[int, int] = {}  # by life: how often it outdid us
        self._outdone: dict[int, int] = {}  # by life: its incarnation that we have outdone
        self._pages: deque[tuple[str, str, int, str]] = (
            deque()
        )  # name, place, bucket, after: still to compare
        self._pages_out = 0
        self._sync_at = now
        self._differs: tuple[str, str] | None = None  # who has another digest, and where
        self._compared = ""  # who was asked where the views differ
        self._number = 0
        self._count = 0
        self.replayed = 0
        # What is told of server lists, once it is plain that the datagram counts.
        self.on_list: Callable[[float, str, ListMessage], list[Out]] = lambda now, place, message: []

    # What the owner reads

    def live(self) -> list[Record]:
        return list(self.lives.values())

    # Events

    def receive(self, now: float, place: str, message: Message) -> list[Out]:
        """A datagram that was opened, from where it came."""
        self._now = now
        if self.has_left or self.is_duplicate or message.to not in ("", self.me.name):
            return []
        sender = message.sender
        if sender.life == self.me.life:
            return []
        if not self._once_of(sender).takes(message.count):
            self.replayed += 1
            return []
        if not self._is_current(sender):
            # A restart that nobody noticed, or a second process with this name: only what we hold of the name
            # lets it outdo that. Left without an answer, it was nobody until its former life had died.
            return [self._ack(place, message)] if isinstance(message, Ping) else []
        self._merge(sender)
        out: list[Out] = []
        match message:
            case Ping():
                self._learn(message.news)
                out.append(self._ack(place, message))
            case Ack():
                self._learn(message.news)
                out += self._acked(sender.name, message.number)
            case Ask():
                self._learn(message.news)
                out += self._probe_for(place, sender.name, message)
            case Nack():
                if self._probe is not None and self._probe.number == message.number:
                    self._probe.nacks += 1
            case Summary():
                mine = [one & 0xFFFFFFFF for one in self.digest.buckets]
                differ = [i for i, (a, b) in enumerate(zip(mine, message.buckets, strict=False)) if a != b]
                if differ:
                    out.append(Out(place, Differ(*self.head(sender.name), differ)))
            case Differ() if sender.name == self._compared:
                self._compared = ""
                wanted = [bucket for bucket in message.buckets if 0 <= bucket < BUCKETS]
                self._rng.shuffle(wanted)
                self._pages = deque((sender.name, place, bucket, "") for bucket in wanted[:BUCKETS])
                self._pages_out = 0
                out += self._next_pages()
            case Page():
                out.append(Out(place, self._reply(sender.name, message)))
            case Have() | Want() | Piece():
                out += self.on_list(now, place, message)
            case Reply():
                self._learn(message.records)
                self._pages_out = max(self._pages_out - 1, 0)
                if message.upto and 0 <= message.bucket < BUCKETS:
                    self._pages.append((sender.name, place, message.bucket, message.upto))
                out += self._next_pages()
        self.met_at = min(self.met_at, now)
        if message.digest != self.digest.whole:
            self._differs, self.differed_at = (sender.name, place), now
        return out

    def tick(self, now: float) -> list[Out]:
        """Time has passed."""
        late, self._now, self._tick_at = now - self._tick_at, now, now
        if self.has_left or self.is_duplicate:
            return []
        if late > STALL_MS:
            self._stalled(late)
        out = self._relays_due() + self._compare()
        for name, suspicion in list(self._suspicions.items()):
            if now >= suspicion.ends_at():
                known = self.members[name]
                self._merge(msgspec.structs.replace(known, standing=Standing.DEAD, by=self.me.name))
        probe = self._probe
        if probe is not None and now >= self._ask_at:
            self._ask_at = math.inf
            if not probe.answered:
                out += self._ask_others(probe)
        if now >= self._period_at:
            self._end_probe()
            self._period_at = now + self._period() * (1 + self.doubt)
            out += self._begin_probe()
            out += self._look_for_lost() + self._hear_suspect()
            self._forget()
        return out

    def leave(self, now: float) -> list[Out]:
        """Go in order: some are told, and tell the others."""
        self._now = now
        gone = msgspec.structs.replace(self.me, incarnation=self.me.incarnation + 1, standing=Standing.LEFT)
        self._become(gone)
        others = [record for record in self.live() if record.name != self.me.name]
        told = self._rng.sample(others, min(LEAVE_TOLD, len(others)))
        out = [self._ping(record.place, record.name) for record in told]
        self.has_left = True
        return out

    def _compare(self) -> list[Out]:
        """Once a period ask one whose digest was another where the views differ."""
        if self._differs is None or self._now < self._sync_at:
            return []
        (self._compared, place), self._differs = self._differs, None
        self._sync_at = self._now + PERIOD_MS
        buckets = [one & 0xFFFFFFFF for one in self.digest.buckets]
        return [Out(place, Summary(*self.head(self._compared), buckets))]

    # Probes

    def _begin_probe(self) -> list[Out]:
        while self._round:
            record = self.members.get(self._round.pop())
            if record is not None and record.is_live and record.name != self.me.name:
                break
        else:
            self._round = [record.name for record in self.live() if record.name != self.me.name]
            self._rng.shuffle(self._round)
            if not self._round:
                return []
            record = self.members[self._round.pop()]
        self._number += 1
        self._probe = _Probe(record.name, self._number)
        self._ask_at = self._now + DIRECT_SHARE * self._period() * (1 + self.doubt)
        self._timed[self._number] = self._now
        if len(self._timed) > TIMED_MOST:
            del self._timed[next(iter(self._timed))]
        return [self._ping(record.place, record.name, self._number)]

    def _time(self, took: float) -> None:
        """An answer's time, as TCP measures it. Links of 300 ms made everybody suspect everybody by turns."""
        if self._usual_rtt < 0.0:
            self._usual_rtt, self._rtt_spread = took, took / 2
            return
        self._rtt_spread += RTT_SPREAD_WEIGHT * (abs(took - self._usual_rtt) - self._rtt_spread)
        self._usual_rtt += RTT_WEIGHT * (took - self._usual_rtt)

    def _period(self) -> float:
        """Half of it is time enough for a direct answer."""
        longest = self._usual_rtt + RTT_SPREADS * self._rtt_spread
        return min(max(PERIOD_MS, longest / DIRECT_SHARE), PERIOD_MOST_MS)

    def _end_probe(self) -> None:
        probe, self._probe = self._probe, None
        if probe is None or probe.answered:  # who has nobody to ask hears nothing bad of itself either
            self.doubt = max(self.doubt - 1, 0)
            return
        self.doubt = min(
            self.doubt + probe.asked - probe.nacks, DOUBT_MOST
        )  # who was asked, and said nothing
        record = self.members.get(probe.name)
        if record is not None and record.standing is Standing.ALIVE:
            self._merge(msgspec.structs.replace(record, standing=Standing.SUSPECT, by=self.me.name))
        elif record is not None and record.standing is Standing.SUSPECT:
            self._merge(msgspec.structs.replace(record, by=self.me.name))

    def _ask_others(self, probe: _Probe) -> list[Out]:
        target = self.members.get(probe.name)
        others = [one for one in self.live() if one.name not in (self.me.name, probe.name)]
        if target is None or not others:
            return []
        asked = self._rng.sample(others, min(ASKED, len(others)))
        probe.asked = len(asked)
        return [
            Out(
                one.place,
                Ask(*self.head(one.name), probe.number, target.name, target.place, self._news_for(one.name)),
            )
            for one in asked
        ]

    def _probe_for(self, place: str, asker: str, message: Ask) -> list[Out]:
        if len(self._relays) >= 64:
            return []
        self._number += 1
        wait = DIRECT_SHARE * self._period()
        self._relays[self._number] = _Relay(
            message.number, asker, place, self._now + NACK_SHARE * wait, self._now + 4 * PERIOD_MS
        )
        # No longer than the question, also here: it goes where the asker says.
        return [Out(message.place, Ping(*self.head(message.target), self._number, [], b""))]

    def _relays_due(self) -> list[Out]:
        out = []
        for number, relay in list(self._relays.items()):
            if self._now >= relay.nack_at:
                relay.nack_at = math.inf
                out.append(Out(relay.place, Nack(*self.head(relay.asker), relay.number)))
            if self._now >= relay.ends_at:
                del self._relays[number]
        return out

    def _acked(self, name: str, number: int) -> list[Out]:
        sent_at = self._timed.pop(number, None)
        if sent_at is not None and self._now - sent_at <= RTT_MOST_MS:
            self._time(self._now - sent_at)
        probe = self._probe
        if probe is not None and probe.number == number:
            probe.answered = True
            return []
        relay = self._relays.pop(number, None)
        if relay is None:
            return []
        return [Out(relay.place, Ack(*self.head(relay.asker), relay.number, []))]

    def _look_for_lost(self) -> list[Out]:
        """One of the dead, or of the seeds that are not live here: partitions heal from either side."""
        lost = [record.place for record in self._dead.values() if not self._places[record.place]]
        lost += [seed for seed in self._seeds if not self._places[seed]]
        return [self._ping(self._rng.choice(lost), "")] if lost else []

    def _hear_suspect(self) -> list[Out]:
        """Ask one who is suspected, whoever began it: its answer refutes, with no hop between."""
        if not self._suspicions:
            return []
        suspect = self.members[self._rng.choice(sorted(self._suspicions))]
        return [self._ping(suspect.place, suspect.name)]

    def _stalled(self, late: float) -> None:
        """We stood still: what did not come in that time says nothing of the others."""
        self.doubt = DOUBT_MOST // 2
        self._probe, self._ask_at = None, math.inf
        self._relays.clear()
        self._period_at = self._now
        for suspicion in self._suspicions.values():
            suspicion.since += late

    # Records

    def _once_of(self, sender: Record) -> Once:
        """What was taken of this life; also of some earlier ones, whose datagrams may be played again."""
        lives = self._once.setdefault(sender.name, {})
        once = lives.pop(sender.life, None) or Once()
        while len(lives) >= LIVES_HEARD:
            del lives[next(iter(lives))]  # the one that was silent for longest
        lives[sender.life] = once
        return once

    def _is_current(self, sender: Record) -> bool:
        known = self.members.get(sender.name)
        return known is None or known.life == sender.life or not known.outranks(sender) or not known.is_live

    def _learn(self, news: Iterable[Record]) -> None:
        for record in news:
            self._merge(record)

    def _merge(self, record: Record) -> None:
        if record.name == self.me.name:
            self._about_me(record)
            return
        known = self.members.get(record.name)
        if known is not None and not record.outranks(known):
            suspicion = self._suspicions.get(record.name)
            # Of the same life, too: else a lesser one with as high an incarnation took the name back.
            same = msgspec.structs.replace(record, by=known.by) == known
            if suspicion is not None and same and suspicion.is_news(record.by):
                suspicion.by.add(record.by)
                self._news.put(record.name)  # who agrees is news too
                self._hold(known, record)
            return
        self._hold(known, record)
        self._news.put(record.name)
        self._suspicions.pop(record.name, None)
        self._dead_at.pop(record.name, None)
        if record.standing is Standing.SUSPECT:
            least = SUSPECT_MIN * self._period() * max(math.log10(max(len(self.lives), 1)), 1.0)
            suspicion = _Suspicion(self._now, record.incarnation, least, least * SUSPECT_MAX, set())
            if record.by and record.by != self.me.name:
                suspicion.by.add(record.by)
            self._suspicions[record.name] = suspicion
        elif not record.is_live:
            self._dead_at[record.name] = self._now
        if known is None or known.standing is not record.standing or known.life != record.life:
            self.changes.append(Change(record.name, record.standing, record.by))

    def _about_me(self, record: Record) -> None:
        """Somebody says something of us, or of another process with our name."""
        raised = record.incarnation >= self.me.incarnation and record.is_live
        if record.life != self.me.life and raised and record.incarnation > self._outdone.get(record.life, -1):
            # A former life of ours is in old news; one that comes back each time we outdo it lives.
            self._raises[record.life] = self._raises.get(record.life, 0) + 1
            if self._raises[record.life] == RAISES:
                self.is_duplicate = record.life > self.me.life
                why = f"another process has our name, at {record.place}"
                self.changes.append(Change(self.me.name, Standing.SUSPECT, why))
                if self.is_duplicate:
                    return
        mine = self.me
        if record.life == mine.life and record.is_live and record.standing is Standing.ALIVE:
            return
        if record.incarnation < mine.incarnation:
            return
        if record.life == mine.life:
            self.doubt = min(self.doubt + 1, DOUBT_MOST)
        self._outdone[record.life] = max(record.incarnation, self._outdone.get(record.life, -1))
        if len(self._outdone) > LIVES_MOST:
            oldest = next(iter(self._outdone))
            self._raises.pop(oldest, None)
            del self._outdone[oldest]
        self._become(msgspec.structs.replace(mine, incarnation=record.incarnation + 1))

    def _become(self, me: Record) -> None:
        self._hold(self.me, me)
        self.me = me

    def _hold(self, known: Record | None, record: Record | None) -> None:
        """The one place where what is known of a member, and all that is derived from it, changes."""
        self.digest.change(known, record)
        if known is not None and known.is_live:
            self._places[known.place] -= 1
            if not self._places[known.place]:
                del self._places[known.place]
        name = known.name if record is None and known is not None else record.name if record else ""
        was_live = self.lives.pop(name, None) is not None
        self._dead.pop(name, None)
        if record is None:
            self.members.pop(name, None)
            self._names[bucket_of(name)].discard(name)
        else:
            self.members[name] = record
            self._names[bucket_of(name)].add(name)
            if record.is_live:
                self.lives[name] = record
                self._places[record.place] += 1
            else:
                self._dead[name] = record
        self.version += was_live is not (name in self.lives)

    def _forget(self) -> None:
        for name, at in list(self._dead_at.items()):
            if self._now >= at + FORGET_MS:
                del self._dead_at[name]
                self._hold(self.members[name], None)
                self._once.pop(name, None)
                self._news.drop(name)

    # Datagrams

    def head(self, to: str) -> tuple[Record, str, int, int]:
        """What every message to a member begins with."""
        self._count += 1
        return self.me, to, self._count, self.digest.whole

    def _ping(self, place: str, name: str, number: int = 0) -> Out:
        if not number:
            self._number += 1
            number = self._number
        room = bytes(size_of(self.me) + ROOM_BYTES)
        return Out(place, Ping(*self.head(name), number, self._news_for(name), room))

    def _ack(self, place: str, ping: Ping) -> Out:
        name = ping.sender.name
        room = size_of(ping) - size_of(self.me) - ROOM_BYTES
        return Out(place, Ack(*self.head(name), ping.number, self._news_for(name, ping.sender, room)))

    def _news_for(self, name: str, sender: Record | None = None, room: int = NEWS_BYTES) -> list[Record]:
        """What was told least often first; before all, what we think of the other: it can refute."""
        news: list[Record] = []
        room = min(room, NEWS_BYTES)
        about = self.members.get(name)
        wrong = about is not None and about.standing is not Standing.ALIVE
        stale = about is not None and sender is not None and about.outranks(sender)
        if about is not None and (wrong or stale) and size_of(about) <= room:
            news.append(about)
            room -= size_of(about)
        most = math.ceil(NEWS_TIMES * math.log2(len(self.members) + 1))
        for told in self._news:
            record = self.members.get(told)
            if record is None or told == name:
                continue
            room -= size_of(record)
            if room < 0:
                break
            news.append(record)
            self._news.count(told, most)
        return news

    def _range(self, bucket: int, after: str, upto: str) -> list[Record]:
        """What we hold of a bucket between two names, by name."""
        names = sorted(name for name in self._names[bucket] if name > after and (not upto or name <= upto))
        return [self.members[name] for name in names]

    def _next_pages(self) -> list[Out]:
        out: list[Out] = []
        while self._pages and self._pages_out < PAGES_AT_ONCE:
            name, place, bucket, after = self._pages.popleft()
            records: list[Record] = []
            upto, room = "", PAGE_BYTES
            for record in self._range(bucket, after, ""):
                room -= size_of(record)
                if room < 0:
                    upto = records[-1].name
                    break
                records.append(record)
            self._pages_out += 1
            if upto:
                self._pages.append((name, place, bucket, upto))
            out.append(Out(place, Page(*self.head(name), bucket, after, upto, records, bytes(max(room, 0)))))
        return out

    def _reply(self, name: str, page: Page) -> Reply:
        told = {record.name: record for record in page.records}
        room = min(size_of(page), MOST_BYTES - SEAL_BYTES - 1) - size_of(self.me) - size_of(page.upto) - 64
        records: list[Record] = []
        upto = ""
        for record in self._range(page.bucket, page.after, page.upto):
            theirs = told.get(record.name)
            if theirs is None or record.outranks(theirs):
                room -= size_of(record)
                if room < 0:
                    upto = records[-1].name if records else ""
                    break
                records.append(record)
        self._learn(page.records)
        return Reply(*self.head(name), page.bucket, upto, records)
