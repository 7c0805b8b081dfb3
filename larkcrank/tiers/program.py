"""A tier's parts put together: sockets, time, start and end. `python -m larkcrank tier CONFIG.json`."""

import asyncio
import gc
import resource
import signal
import socket
import time
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from larkcrank.program.log import Log
from larkcrank.protocol import http1
from larkcrank.tiers import held, snapshot, wire
from larkcrank.tiers.config import Config, ConfigError, Place, SourceConfig, load
from larkcrank.tiers.feeds import Answer, Feed
from larkcrank.tiers.gather import Turns
from larkcrank.tiers.receivers import SLICE, Door, Kind, Receiver
from larkcrank.tiers.state import Changes, State, identity

BACKLOG = 4096
SPARE_DESCRIPTORS = 64  # of the process's limit: for calls, listeners, files
LOOK_S = 0.25  # between looks at what is late
ABOVE = "above"
HELD = b"Held"
ASIDE = b"Held-Aside"  # a tier's call beside its watch: it is no sidecar
LOGGED_LATE = 5
MOST_LEFT = 20
OPS_LINE = 128
OPS_SILENT_S = 2.0
OPS_MOST = 16


class Tier:
    """One tier on the running loop. `start` listens and begins to ask; `stop` ends all of it."""

    def __init__(self, config: Config, log: Log, rng: Random | None = None) -> None:
        self.config, self.log = config, log
        self._rng = rng or Random()
        settings = self._settings = config.settings
        self._loop = asyncio.get_running_loop()
        now = time.time()
        self.state = State(
            config.name,
            int(now * 1000.0),
            identity(now, self._rng.getrandbits(12)),
            settings.tombstones,
            settings.tombstone_ms,
        )
        gather_s = settings.gather_ms / 1000.0
        self.listen = Door("listen", Kind.WHOLE, None, self.state, gather_s)
        self.own = Door("own", Kind.OWN, None, self.state, gather_s) if config.own is not None else None
        self.doors = [
            Door(f"doors[{i}]", Kind.PART, door.services, self.state, gather_s)
            for i, door in enumerate(config.doors)
        ]
        self._by_service: dict[str, list[Door]] = {}
        self._any_service: list[Door] = []
        for door in self.doors:
            if door.services is None:
                self._any_service.append(door)
            for service in door.services or ():
                self._by_service.setdefault(service, []).append(door)
        self._turns = Turns(settings.wholes_per_s, settings.whole_wait_ms / 1000.0)
        self._tier_turns = Turns(settings.tier_wholes_per_s, settings.whole_wait_ms / 1000.0)
        self.longest_wait_ms = settings.longest_wait_ms
        self.receivers: set[Receiver] = set()
        self._slow: dict[Receiver, float] = {}
        self._newcomers: dict[Receiver, float] = {}  # with a list of another tier, and when they asked
        self._left: dict[tuple[str, str], tuple[int, float, str]] = {}  # cut off while they lacked something
        self._deaf = False  # it has nothing to tell and hears nobody
        limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self._most = max(min(settings.connections, limit - SPARE_DESCRIPTORS), 1)
        self.sources: list[Feed] = [self._source(one) for one in config.sources]
        self.above: Feed | None = None
        if config.above:
            read = partial(wire.read, services=config.services)
            self.above = self._feed(ABOVE, config.above, read)
        self._tasks: list[asyncio.Task[None]] = []
        self._servers: list[asyncio.Server] = []
        self.ops_place: tuple[str, int] | None = None
        self._operators: set[Operator] = set()
        self._began = self._loop.time()
        self._identity_told = self.state.identity
        held_s = settings.held_ms / 1000.0
        self._steps, self._marks, self._below = held.Steps(), held.Marks(), held.Below(held_s)
        self._steps_of: Place | None = None  # the place above whose generations these are
        self._watch = held.Watch(held_s)
        self.own_complete = self.complete = False  # heard from all sources; and from above
        self._was_fresh = False
        self._saved = 0  # the count of the last snapshot
        self._take_up()
        self.refused = self.wholes = self.answers = self.turned_away = self.cut = self.foreign = 0
        self.calls = self.bytes_out = 0

    def _feed(self, name: str, places: Sequence[tuple[str, int]], read: Any) -> Feed:
        return Feed(
            name,
            places,
            read,
            self._take,
            self._lines,
            self._settings,
            Random(self._rng.getrandbits(64)),
            self.log.event,
        )

    def _source(self, one: SourceConfig) -> Feed:
        services = self.config.services
        read = partial(wire.read, service=one.service, services=services)
        feed = self._feed("{}:{}".format(*one.place), (one.place,), read)
        feed.may_be_empty = one.may_be_empty
        return feed

    # The snapshot.

    def _take_up(self) -> None:
        """Begin with what an earlier process held. A file that can't be used is logged."""
        path, now_ms = self.config.snapshot, time.time() * 1000.0
        if path is None:
            return
        try:
            kept = snapshot.read(path, self.config.name, now_ms, self._settings.snapshot_age_ms)
        except snapshot.SnapshotError as error:
            self.log.event("tier_snapshot_unusable", why=error.why, message=str(error))
            return
        self.state.restore(kept.lines, kept.known, now_ms)
        for door in self._all_doors:
            door.changed = self.state.count
        self.log.event("tier_snapshot_taken", lines=self.state.living, age_s=round(kept.age_ms / 1000.0, 1))

    async def _save(self) -> None:
        """Keep the snapshot current. While not all has been heard the older one is the better one."""
        path = self.config.snapshot
        while path is not None:
            await asyncio.sleep(self._settings.snapshot_ms / 1000.0)
            if self.complete and self.state.count != self._saved:
                count, data = self.state.count, snapshot.encode(self.state, time.time() * 1000.0)
                try:
                    await asyncio.to_thread(snapshot.write, path, data)
                    self._saved = count
                except OSError as error:
                    self.log.event("tier_snapshot_not_written", message=error.strerror or str(error))

    def _save_last(self) -> None:
        if self.config.snapshot is not None and self.complete:
            try:
                snapshot.write(self.config.snapshot, snapshot.encode(self.state, time.time() * 1000.0))
            except OSError as error:
                self.log.event("tier_snapshot_not_written", message=error.strerror or str(error))

    # Start and end.

    async def start(self) -> None:
        """Raises `OSError` where an address can't be listened on."""
        config = self.config
        await self._listen(self.listen, config.listen)
        if self.own is not None and config.own is not None:
            await self._listen(self.own, config.own)
        for door, told in zip(self.doors, config.doors, strict=True):
            await self._listen(door, told.listen)
        if config.ops is not None:
            sock = _bound(config.ops)
            self.ops_place = sock.getsockname()[:2]
            self._servers.append(
                await self._loop.create_server(lambda: Operator(self), sock=sock, backlog=OPS_MOST)
            )
        more = {} if self.ops_place is None else {"ops": _text(self.ops_place)}
        if self.own is not None:
            more["own"] = _text(self.own.place)
        self.log.event(
            "tier_listening",
            listen=_text(self.listen.place),
            doors=[_text(door.place) for door in self.doors],
            connections=self._most,
            **more,
        )
        feeds = [*self.sources, *([self.above] if self.above is not None else [])]
        self._tasks += [self._loop.create_task(self._keep(feed)) for feed in feeds]
        self._tasks += [self._loop.create_task(self._look()), self._loop.create_task(self._save())]

    async def _listen(self, door: Door, place: tuple[str, int]) -> None:
        sock = _bound(place)
        door.place = sock.getsockname()[:2]
        self._servers.append(
            await self._loop.create_server(
                lambda: Receiver(self, door, self._loop), sock=sock, backlog=BACKLOG
            )
        )

    async def stop(self) -> None:
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._save_last()
        for receiver in list(self.receivers):
            receiver.abort()
        for operator in list(self._operators):
            operator.abort()
        await asyncio.sleep(0)

    async def _keep(self, feed: Feed) -> None:
        """A defect ends one call, not the feed."""
        while True:
            try:
                await feed.run()
            except Exception as error:
                self.log.failure(f"feed {feed.name}", error)
                await asyncio.sleep(1.0)

    # What is heard.

    def _lines(self, feed: Feed, place: Place | None) -> Sequence[bytes]:
        """What goes up with a call: who holds what below."""
        if feed is not self.above:
            return ()
        if place is None:
            return (ASIDE + b": 1",)
        told = held.Summary(self.config.name, [], [])
        if place == self._steps_of:
            told = held.summary(self.config.name, self.standing(), self._steps)
        return (HELD + b": " + held.encode(told),)

    def _take(self, feed: Feed, place: Place, answer: Answer) -> None:
        """Raises `AnswerError` before anything is changed."""
        state, now_ms = self.state, time.time() * 1000.0
        empty = answer.whole and not any(not line.gone for line in answer.lines)
        if empty and not feed.may_be_empty:
            raise wire.AnswerError("empty")
        if isinstance(answer, wire.FromDiscovery):
            if feed is self.above:
                raise wire.AnswerError("foreign: no tier's answer")
            changes = state.tell(feed.name, answer.lines, answer.whole, now_ms)
            feed.heard()
        else:
            if feed is not self.above:
                state.subtree |= answer.known.keys() - {self.config.name}
            changes = state.merge(answer.lines, answer.known, answer.whole, now_ms)
            mine = answer.known.get(state.name)
            if mine is not None and mine > (state.epoch, state.counter):
                self.log.event("tier_epoch_raised", heard=mine, own=state.epoch)
                more = state.raise_above(mine, self._identity(), now_ms)
                self._renewed()
                self._changed(more)
            feed.heard(not answer.provisional)
        self._changed(changes)
        if feed is self.above and place == feed.places.current:
            if place != self._steps_of:
                self._steps.clear()
                self._steps_of = place
            self._steps.heard(state.count, answer.generation)
        if not self.complete or not state.knows_mine:
            self._progress()
        self._deaf = self._deaf and self._hears_nobody
        self._admit()

    def _identity(self) -> int:
        return identity(time.time(), self._rng.getrandbits(12))

    def _progress(self) -> None:
        """Whether all that this tier depends on has been heard since its start."""
        state = self.state
        own = all(feed.heard_at is not None or feed.excused for feed in self.sources)
        mine = all(feed.heard_at is not None for feed in self.sources)
        complete = own and (self.above is None or self.above.heard_at is not None)
        news = (mine and not state.knows_mine) or (own and not self.own_complete)
        if news or (complete and not self.complete):
            self.own_complete = own
            if mine and not state.knows_mine:
                state.knows_mine = True
                names = {feed.name for feed in self.sources}
                self._changed(state.forget_sources(names, time.time() * 1000.0))
            state.renew(self._identity())
            first, self.complete = complete and not self.complete, complete
            self._renewed()
            if first:
                self.log.event("tier_complete", lines=state.living, generation=state.generation)

    def _renewed(self) -> None:
        """The generations have another identity: tiers that wait get the whole; sidecars missed nothing."""
        self._identity_told = self.state.identity
        for door in (self.listen, self.own):
            if door is not None:
                for receiver in list(door.waiting):
                    self._turn(receiver)

    def _changed(self, changes: Changes) -> None:
        if not changes:
            return
        now, count = self._loop.time(), self.state.count
        if self.state.identity != self._identity_told:  # the count has run over: it begins anew
            self._renewed()
            self._marks.clear()
            self._watch.clear()
            self._steps.clear()
            self._left.clear()
            for door in self.doors:
                for receiver in list(door.waiting):
                    self._turn(receiver)
        self._marks.changed(count, now)
        if not self.config.above:
            self._watch.changed(count, now)
        concerned = {self.listen: None}
        if self.own is not None and not changes.owners.isdisjoint(self.state.subtree):
            concerned[self.own] = None
        if changes.services:
            concerned.update(dict.fromkeys(self._any_service))
        for service in changes.services:
            concerned.update(dict.fromkeys(self._by_service.get(service, ())))
        for door in concerned:
            door.changed = count
            if door.gather.due is None:
                due = door.gather.changed(now)
                if due <= now:
                    self._loop.call_soon(self._wave, door)
                else:
                    self._loop.call_at(due, self._wave, door)

    def _wave(self, door: Door) -> None:
        door.gather.went(self._loop.time())
        self._tell(door, [receiver for receiver in door.waiting if receiver.count < door.changed])

    def _tell(self, door: Door, receivers: list[Receiver]) -> None:
        """Tell these what they have not; so many a turn of the loop, so that nobody else waits for them."""
        for receiver in receivers[:SLICE]:
            if receiver in door.waiting:
                self._answer_since(receiver)
        if len(receivers) > SLICE:
            self._loop.call_soon(self._tell, door, receivers[SLICE:])

    # Receivers.

    def opened(self, receiver: Receiver) -> bool:
        if len(self.receivers) >= self._most:
            self.turned_away += 1
            return False
        self.receivers.add(receiver)
        receiver.door.receivers.add(receiver)
        return True

    def closed(self, receiver: Receiver) -> None:
        self.receivers.discard(receiver)
        receiver.door.receivers.discard(receiver)
        receiver.door.waiting.discard(receiver)
        self._slow.pop(receiver, None)
        self._newcomers.pop(receiver, None)

    def slow(self, receiver: Receiver, is_slow: bool) -> None:
        if is_slow:
            self._slow[receiver] = self._loop.time() + self._settings.write_ms / 1000.0
        else:
            self._slow.pop(receiver, None)

    def called(self, receiver: Receiver, after: int | None, wait_ms: int, fields: http1.Fields) -> None:
        door, state, now = receiver.door, self.state, self._loop.time()
        self.calls += 1
        if self._left:
            self._left.pop(self._who(receiver), None)
        if not door.is_plain:
            self._summary(receiver, fields)
        count = None if after is None else state.count_of(after)
        if count is None:
            receiver.count = -1
            if after is not None and not self.is_fresh(door):
                self._refuse(receiver)
            elif after is not None and door.is_plain:
                self._newcomer(receiver, now)
            else:
                self._turn(receiver)
            return
        receiver.count = count
        if self._deaf:
            self._refuse(receiver)
        elif not state.can_tell_since(count, not door.is_plain):
            self._turn(receiver)
        elif door.changed > count and door.gather.due is None:
            self._answer_since(receiver)
        else:
            door.waiting.add(receiver)
            receiver.wait(now + wait_ms / 1000.0, self._answer_since)

    def _complete(self, door: Door) -> bool:
        return self.own_complete if door.kind is Kind.OWN else self.complete

    def is_fresh(self, door: Door) -> bool:
        """Whether what is told here was heard lately from all that it depends on."""
        if not self._complete(door):
            return False
        feeds = [feed for feed in self.sources if not feed.excused]
        if door.kind is not Kind.OWN and self.above is not None:
            feeds.append(self.above)
        since = self._loop.time() - self._settings.fresh_ms / 1000.0
        return all(feed.heard_at is not None and feed.heard_at >= since for feed in feeds)

    def _newcomer(self, receiver: Receiver, now: float) -> None:
        """It holds a list of another tier, which may have told it more than is here: ask above first."""
        self._newcomers[receiver] = now
        receiver.wait(now + self._settings.whole_wait_ms / 1000.0, self._refuse)
        for feed in self._feeds:
            feed.check()

    def _admit(self) -> None:
        """Those newcomers get their turn since whose call all has been heard."""
        if not self._newcomers:
            return
        heard = [feed.heard_at for feed in self._feeds if not feed.excused]
        since = min((at or 0.0 for at in heard), default=0.0)
        for receiver in [one for one, at in self._newcomers.items() if at <= since]:
            del self._newcomers[receiver]
            self._turn(receiver)
        for feed in self._feeds:
            if self._newcomers:
                feed.check()

    def _turn(self, receiver: Receiver) -> None:
        """The whole, once it is this receiver's turn."""
        door, now = receiver.door, self._loop.time()
        door.waiting.discard(receiver)
        if door.is_empty and not self._may_be_empty:
            self._refuse(receiver)  # no empty list spreads
            return
        at = (self._turns if door.is_plain else self._tier_turns).ask(now)
        if at is None:
            self._refuse(receiver)
        elif at <= now:
            self._answer_whole(receiver)
        else:
            receiver.wait(at, self._answer_whole)

    @property
    def _may_be_empty(self) -> bool:
        return bool(self.sources) and self.above is None and all(feed.may_be_empty for feed in self.sources)

    def _refuse(self, receiver: Receiver) -> None:
        self.refused += 1
        self._newcomers.pop(receiver, None)
        receiver.door.waiting.discard(receiver)
        receiver.refuse(503)

    def _answer_whole(self, receiver: Receiver) -> None:
        self.wholes += 1
        door = receiver.door
        receiver.answer(door.whole(not self._complete(door)))

    def _answer_since(self, receiver: Receiver) -> None:
        self.answers += 1
        door = receiver.door
        door.waiting.discard(receiver)
        receiver.answer(door.since(receiver.count, not self._complete(door)))

    # What is held.

    def _summary(self, receiver: Receiver, fields: http1.Fields) -> None:
        text = fields.get_all(HELD.lower())
        found = held.decode(text[0]) if text else None
        if found is not None:
            receiver.is_tier = True
            self._below.told(found, self._loop.time())
        elif text:
            self.foreign += 1
        receiver.is_tier = receiver.is_tier or bool(fields.get_all(ASIDE.lower()))

    def standing(self) -> held.Standing:
        """What the sidecars at the doors and below hold, by the own count."""
        standing, state, now = held.Standing(), self.state, self._loop.time()
        for door in (self.listen, *self.doors):
            for receiver in door.receivers:
                if receiver.is_tier or not receiver.has_called:
                    continue
                count = door.holds(receiver.count)
                standing.add(count)
                if count < state.count:
                    since = receiver.quiet_since if count < 0 else self._marks.after(count)
                    late_s = round(now - (now if since is None else since), 3)
                    generation = 0 if count < 0 else state.generation - state.count + count
                    late = held.Late(self.config.name, door.name, receiver.peer, generation, late_s)
                    standing.late.append((count, late))
        for (door_name, _), (count, at, peer) in list(self._left.items()):
            if now - at > self._settings.left_ms / 1000.0:
                del self._left[door_name, peer.rpartition(":")[0]]
                continue
            standing.add(count)
            generation = 0 if count < 0 else state.generation - state.count + count
            gone = held.Late(self.config.name, f"{door_name} (left)", peer, generation, round(now - at, 3))
            standing.late.append((count, gone))
        for summary in self._below.now(now):
            for generation, number in summary.held:
                count_below = state.count_of(generation)
                standing.add(-1 if count_below is None else count_below, number)
            for late in summary.late:
                count_below = state.count_of(late.generation)
                standing.late.append((-1 if count_below is None else count_below, late))
        return standing

    def held(self, generation: int | None) -> tuple[bool, str]:
        """Who holds this generation of this tier, or its latest."""
        state = self.state
        count = state.count if generation is None else state.count_of(generation)
        if count is None:
            return False, "no generation of this tier, or of an earlier life of it"
        standing = self.standing()
        holding = standing.holding(count)
        told = {
            "generation": state.generation - state.count + count,
            "held": holding,
            "not_held": standing.total - holding,
            "late": [msgspec.structs.asdict(one) for _, one in standing.latest(count=count)],
            "silent": {tier: round(s, 3) for tier, s in self._below.silent(self._loop.time()).items()},
        }
        return True, msgspec.json.encode(told).decode()

    def _say_held(self, now: float) -> None:
        standing = self.standing()
        said = self._watch.look(standing.least, now)
        if said is None:
            return
        what, count, took_s = said
        more: dict[str, Any] = {}
        if what == "lagging":
            more["not_held"] = standing.total - standing.holding(count)
            more["late"] = [msgspec.structs.asdict(one) for _, one in standing.latest(LOGGED_LATE, count)]
        generation = self.state.generation - self.state.count + count
        self.log.event(
            f"tier_{what}", generation=generation, sidecars=standing.total, after_s=round(took_s, 3), **more
        )

    # What is late.

    async def _look(self) -> None:
        while True:
            await asyncio.sleep(LOOK_S)
            try:
                self._look_once()
            except Exception as error:
                self.log.failure("look", error)

    def _look_once(self) -> None:
        now = self._loop.time()
        self.listen.stale = self.is_stale
        for receiver in [one for one, until in self._slow.items() if until <= now]:
            self.cut += 1
            self._cut_off(receiver)
        quiet = now - self._settings.idle_ms / 1000.0
        for receiver in [one for one in self.receivers if not one.asks and one.quiet_since < quiet]:
            self._cut_off(receiver)
        if not self.complete:
            if now - self._began > self._settings.patience_ms / 1000.0:
                self._excuse()
            self._progress()
        if self._watch.is_open:
            self._say_held(now)
        self._admit()
        if not self._deaf and self._hears_nobody:
            self._deaf = True
            self.log.event("tier_deaf", watches=sum(len(door.waiting) for door in self._all_doors))
            self._end_watches([one for door in self._all_doors for one in door.waiting])
        fresh = self.is_fresh(self.listen)
        if fresh is not self._was_fresh:
            self._was_fresh = fresh
            late = [feed.name for feed in self._feeds if not feed.excused and not self._is_heard(feed)]
            self.log.event("tier_fresh" if fresh else "tier_stale", not_heard=late)

    def _cut_off(self, receiver: Receiver) -> None:
        """End a connection that is stuck; who lacks something is remembered until he comes again."""
        if receiver.has_called and not receiver.is_tier and receiver.door is not self.own:
            count = receiver.door.holds(receiver.count)
            if count < self.state.count:
                since = receiver.quiet_since if count < 0 else self._marks.after(count)
                at = self._loop.time() if since is None else since
                self._left.pop(self._who(receiver), None)
                self._left[self._who(receiver)] = (count, at, receiver.peer)
                if len(self._left) > MOST_LEFT:
                    del self._left[next(iter(self._left))]
        receiver.abort()

    @staticmethod
    def _who(receiver: Receiver) -> tuple[str, str]:
        return receiver.door.name, receiver.peer.rpartition(":")[0]

    @property
    def is_stale(self) -> bool:
        """Whether this tier, or one above it, hears nothing from above."""
        if self.above is None:
            return False
        at = self.above.heard_at
        silent = at is None or self._loop.time() - at > self._settings.deaf_ms / 1000.0
        return silent or self.above.stale

    @property
    def _hears_nobody(self) -> bool:
        """A tier with discoveries of its own always has something to tell; who only passes on has not."""
        if self.sources or self.above is None:
            return False
        at = self.above.answered_at
        return at is not None and self._loop.time() - at > self._settings.deaf_ms / 1000.0

    def _end_watches(self, receivers: list[Receiver]) -> None:
        for receiver in receivers[:SLICE]:
            if receiver in receiver.door.waiting and self._deaf:
                self._refuse(receiver)
        if len(receivers) > SLICE:
            self._loop.call_soon(self._end_watches, receivers[SLICE:])

    @property
    def _all_doors(self) -> list[Door]:
        return [self.listen, *([self.own] if self.own is not None else []), *self.doors]

    @property
    def _feeds(self) -> list[Feed]:
        return [*self.sources, *([self.above] if self.above is not None else [])]

    def _is_heard(self, feed: Feed) -> bool:
        since = self._loop.time() - self._settings.fresh_ms / 1000.0
        return feed.heard_at is not None and feed.heard_at >= since

    def _excuse(self) -> None:
        """Some source is silent since the start: go on without it, as long as any was heard."""
        if not any(feed.heard_at is not None for feed in self.sources):
            return
        for feed in self.sources:
            if feed.heard_at is None and not feed.excused:
                feed.excused = True
                self.log.event("tier_excused", feed=feed.name)

    # Operators.

    def call(self, line: str) -> tuple[bool, str]:
        """An operators' call: whether it was carried out, and what is said."""
        word, _, rest = line.partition(" ")
        if word == "PING" and not rest:
            fresh = self.is_fresh(self.listen)
            return fresh, "fresh" if fresh else "stale" if self.complete else "starting"
        if word == "HELD" and (not rest or (rest.isascii() and rest.isdigit() and len(rest) < 20)):
            return self.held(int(rest) if rest else None)
        if word == "STATE" and not rest:
            return True, msgspec.json.encode(self.picture()).decode()
        return False, "unknown call; known are PING, HELD [generation], STATE"

    def picture(self) -> dict[str, Any]:
        now, state = self._loop.time(), self.state
        return {
            "name": self.config.name,
            "generation": state.generation,
            "complete": self.complete,
            "deaf": self._deaf,
            "stale": self.is_stale,
            "fresh": self.is_fresh(self.listen),
            "lines": state.living,
            "tombstones": state.tombstones,
            "known": state.known_of(),
            "feeds": [
                {
                    "feed": feed.name,
                    "place": feed.place,
                    "generation": feed.generation,
                    "heard_s": None if feed.heard_at is None else round(now - feed.heard_at, 3),
                    "trouble": feed.trouble,
                    "excused": feed.excused,
                    "calls": feed.calls,
                    "failures": feed.failures,
                    "wholes": feed.wholes,
                }
                for feed in self._feeds
            ],
            "doors": [
                {
                    "door": door.name,
                    "listen": _text(door.place),
                    "connections": len(door.receivers),
                    "waiting": len(door.waiting),
                }
                for door in self._all_doors
            ],
            "calls": self.calls,
            "bytes_out": self.bytes_out,
            "bytes_in": sum(feed.bytes[1] for feed in self._feeds),
            "bytes_up": sum(feed.bytes[0] for feed in self._feeds),
            "answers": self.answers,
            "wholes": self.wholes,
            "refused": self.refused,
            "turned_away": self.turned_away,
            "cut": self.cut,
            "bad_summaries": self.foreign,
        }

    def operator_opened(self, operator: "Operator") -> bool:
        if len(self._operators) >= OPS_MOST:
            return False
        self._operators.add(operator)
        return True

    def operator_closed(self, operator: "Operator") -> None:
        self._operators.discard(operator)


class Operator(asyncio.Protocol):
    """One connection of an operator: one line in, one line out."""

    def __init__(self, tier: Tier) -> None:
        self._tier = tier
        self._buffer = b""
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._timer = asyncio.get_running_loop().call_later(OPS_SILENT_S, self.abort)
        if not self._tier.operator_opened(self):
            transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._tier.operator_closed(self)
        self._transport = None

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        line, end, _ = self._buffer.partition(b"\n")
        if self._transport is None or self._transport.is_closing():
            return
        if len(line) > OPS_LINE:
            self._say(False, f"a call is a line of at most {OPS_LINE} bytes")
        elif end:
            try:
                self._say(*self._tier.call(line.removesuffix(b"\r").decode("ascii", "replace")))
            except Exception as error:
                self._tier.log.failure("operators' call", error)
                self.abort()

    def _say(self, done: bool, text: str) -> None:
        assert self._transport is not None
        self._transport.write(f"{200 if done else 400} {text}\n".encode())
        self._transport.close()

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


def _bound(place: tuple[str, int]) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(place)
    except OSError as error:
        sock.close()
        raise OSError(error.errno, f"{_text(place)}: {error.strerror}") from None
    return sock


def _text(place: tuple[str, int]) -> str:
    return f"{place[0]}:{place[1]}"


async def _run(config: Config, log: Log) -> None:
    loop, ending = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ending.set)
    tier = Tier(config, log)
    try:
        await tier.start()
        gc.collect()
        gc.freeze()
        await ending.wait()
    finally:
        await tier.stop()
    log.event("tier_ended")


def main(arguments: Sequence[str]) -> int:
    """Run until SIGTERM. 2: the configuration is faulty; 1: an address can't be listened on."""
    if len(arguments) != 1:
        Log("tier").event("bad_configuration", message="one argument: the path of the configuration")
        return 2
    try:
        config = load(Path(arguments[0]))
    except ConfigError as error:
        Log("tier").event("bad_configuration", message=str(error))
        return 2
    log = Log(config.name)
    log.take_over()
    try:
        asyncio.run(_run(config, log))
    except OSError as error:
        log.event("cannot_listen", message=error.strerror or str(error))
        return 1
    return 0
