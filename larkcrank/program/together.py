"""What a sidecar does with its fellows: keeps a view of them and, where that is asked for, lists in common.

Loaded only where `fleet` is configured. It starts and stops itself; the sidecar owns one.
"""

import asyncio
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from random import Random
from typing import Any

from larkcrank.config.sidecar import Config, RecoveryConfig
from larkcrank.core.interface import Endpoint, FleetSize, State
from larkcrank.fleet import snapshot
from larkcrank.fleet.asking import Asking
from larkcrank.fleet.lists import Lists, Told
from larkcrank.fleet.membership import Membership, Out
from larkcrank.fleet.ranks import Doubt
from larkcrank.fleet.restart import Restart, which
from larkcrank.fleet.speaker import Speaker
from larkcrank.fleet.wire import Line
from larkcrank.protocol.discovery import ListUpdate, NameTable, parse_host_port
from larkcrank.routing.discovery import Discovery
from larkcrank.routing.driver import Driver, Journal

SAVE_MS = 5000.0  # between two writes of the snapshot at least
GUESS_MS = 60_000.0  # after a start in which it is found out which restart it was


class Together:
    """The fleet's part of a sidecar."""

    def __init__(
        self,
        config: Config,
        names: NameTable,
        clock: Callable[[], float],
        log: Journal,
        driver: Driver,
        rng: Random,
    ) -> None:
        assert config.fleet is not None
        decisions = config.site.decisions
        zones, zone = config.site.zones, decisions.zone
        self._zone = zones[zone] if zone < len(zones) else str(zone)
        self._config, self._clock, self._log, self._driver = config, clock, log, driver
        configured = FleetSize(decisions.instances, decisions.ordinal, decisions.instances)
        self._speaker = Speaker(
            config.fleet,
            config.name,
            self._zone,
            configured,
            clock,
            log,
            driver.feed,
            self._joined,
            self._step,
        )
        self._starting: asyncio.Task[None] | None = None
        self._attached = False
        self._recovery: Recovery | None = None
        if config.fleet.recovery is not None:
            self._recovery = Recovery(config, config.fleet.recovery, names, clock, log, driver, rng)

    def attach(self, discovery: Discovery) -> None:
        """From now on discovery's word meets what the fellows know, and calls to it wait for their turn."""
        if self._recovery is not None and not self._attached:
            self._attached = True
            self._recovery.attach(discovery)

    def known(self, listing: ListUpdate | None) -> ListUpdate | None:
        """The list to begin with: the configuration's, or the one of before where that is newer."""
        return listing if self._recovery is None else self._recovery.known(listing)

    def start(self) -> None:
        if self._starting is None:
            self._starting = asyncio.get_running_loop().create_task(self._start())

    async def _start(self) -> None:
        if self._recovery is not None:
            self._speaker.more_seeds(self._recovery.fellows)
        try:
            await self._speaker.start()
        except OSError as error:  # it serves all the same
            self._log.event("fleet_off", reason=str(error))
            if self._recovery is not None:
                self._recovery.detach()

    def leave(self) -> None:
        """The planned end: others are told."""
        self._speaker.leave()

    def close(self) -> None:
        if self._starting is not None:
            self._starting.cancel()
        if self._recovery is not None:
            self._recovery.close()
        self._speaker.close()

    def view(self) -> str:
        return self._speaker.view()

    def counters(self) -> dict[str, Any]:
        more = {} if self._recovery is None else {"recovery": self._recovery.counters()}
        return {"fleet": asdict(self._speaker.counters)} | more

    def _joined(self, membership: Membership, now: float) -> None:
        if self._recovery is not None:
            self._recovery.joined(membership, self._speaker, self._zone, now)

    def _step(self, now: float) -> list[Out]:
        return [] if self._recovery is None else self._recovery.step(now)


class Recovery:
    """Lists in common, whose turn it is to call discovery, and the snapshot."""

    def __init__(
        self,
        config: Config,
        recovery: RecoveryConfig,
        names: NameTable,
        clock: Callable[[], float],
        log: Journal,
        driver: Driver,
        rng: Random,
    ) -> None:
        assert config.fleet is not None
        decisions = config.site.decisions
        self.fellows: list[str] = []  # places of before
        self._config, self._fleet, self._recovery = config, config.fleet.name, recovery
        self._names, self._clock, self._log, self._driver, self._rng = names, clock, log, driver, rng
        self._began = clock()
        self._asking = Asking(config.name, decisions.instances, decisions.ordinal, self._began, rng.random())
        self._lists: Lists | None = None
        self._membership: Membership | None = None
        self._speaker: Speaker | None = None
        self._zone = ""
        self._restart = Restart.UNKNOWN
        self._heard: list[tuple[float, list[Line], int, bool]] = []  # before it joined
        self._listed: tuple[list[Line], int, float] = [], -1, -1.0  # the list begun with, and its age
        self._gone: dict[str, tuple[float, State, float]] = {}
        self._told: Callable[[ListUpdate], None] = driver.told
        self._failed: Callable[[str], None] = lambda reason: None
        self._is_off = False
        self._saved: object = None  # what the file holds
        self._save_at = self._began + SAVE_MS
        self._saving: asyncio.Future[None] | None = None
        self._saves = self._save_failures = 0
        self._cannot_save = False

    def attach(self, discovery: Discovery) -> None:
        self._told, self._failed = discovery.on_list, discovery.on_failure
        discovery.on_list, discovery.on_failure, discovery.gate = (
            self._on_list,
            self._on_failure,
            self._may_ask,
        )

    def detach(self) -> None:
        """There are no fellows: everything goes as without them."""
        self._is_off = True

    def joined(self, membership: Membership, speaker: Speaker, zone: str, now: float) -> None:
        self._membership, self._speaker, self._zone = membership, speaker, zone
        rng = Random(self._rng.getrandbits(64))
        lists = self._lists = Lists(membership, self._recovery.same_places, rng, now)
        lists.remember_gone(self._gone)
        lines, generation, age = self._listed
        if generation >= 0:
            lists.begin(lines, generation, age if age >= 0.0 else float("inf"))
        for at, heard, told, whole in self._heard:
            lists.heard(at, heard, told, whole)
        self._heard.clear()

    # Discovery's own word, and leave to ask for it

    def _on_list(self, listing: ListUpdate) -> None:
        now = self._clock()
        self._asking.heard()
        lines = self._lines(listing)
        if self._lists is None:
            if not self._is_off:
                self._heard = [*self._heard, (now, lines, listing.generation, listing.is_full)][-64:]
            self._told(listing)
            return
        kept = self._lists.heard(now, lines, listing.generation, listing.is_full)
        self._told(listing if kept == lines else self._listing(listing.generation, listing.is_full, kept))

    def _on_failure(self, reason: str) -> None:
        self._asking.failed(self._clock())
        self._failed(reason)

    def _may_ask(self) -> bool:
        if self._is_off or (self._membership is not None and self._membership.is_duplicate):
            return True
        live = [] if self._membership is None else list(self._membership.lives)
        told_at = -float("inf") if self._lists is None else self._lists.told_at
        lonely = self._membership is not None and self._membership.doubt > 0
        return self._asking.may(self._clock(), live, told_at, lonely)

    # What fellows hold

    def step(self, now: float) -> list[Out]:
        assert self._lists is not None
        out = self._lists.tick(now)
        told = self._lists.result(now)
        if told is not None:
            self._go_by(told)
        if self._restart is Restart.UNKNOWN and now < self._began + GUESS_MS:
            self._guess(now)
        if now >= self._save_at:
            self._save(now)
        return out

    def _go_by(self, told: Told) -> None:
        listing = self._listing(told.generation, True, told.lines)
        self._log.event("list_from_fellow", generation=told.generation, by=told.by, servers=len(told.lines))
        self._driver.told(listing, cached=True)

    def _guess(self, now: float) -> None:
        assert self._lists is not None and self._membership is not None and self._speaker is not None
        ranks = self._speaker.ranks
        if ranks is None or ranks.doubt is Doubt.STARTED:
            return
        ages = {name: now - began for name, began in self._lists.up.items()}
        zones = {name: record.zone for name, record in self._membership.lives.items()}
        self._restart = which(now - self._began, ages, zones, self._zone)
        if self._restart is not Restart.UNKNOWN:
            self._log.event("fleet_restart", restart=self._restart.value, asked=len(ages))

    def counters(self) -> dict[str, Any]:
        lists = self._lists
        return {
            "lists_taken": 0 if lists is None else lists.taken,
            "refused": {} if lists is None else dict(lists.refused),
            "restart": self._restart.value,
            "saves": self._saves,
            "save_failures": self._save_failures,
        }

    # The snapshot

    def known(self, listing: ListUpdate | None) -> ListUpdate | None:
        """What to begin with; also remembers what a snapshot tells besides."""
        found = self._read()
        if found is not None:
            since = max(self._clock() - found.saved_at_ms, 0.0)
            self.fellows = found.places[: snapshot.FELLOWS_MOST]
            now = self._clock()
            self._gone = {
                one.name: (one.started_ms, State(one.state), now - one.age_ms - since) for one in found.gone
            }
            if found.generation >= 0 and (listing is None or found.generation > listing.generation):
                age = found.list_age_ms + since if found.list_age_ms >= 0.0 else -1.0
                listing = self._listing(found.generation, True, found.lines)
                self._listed = found.lines, found.generation, age
                return listing
        if listing is not None:
            self._listed = self._lines(listing), listing.generation, -1.0
        return listing

    def _read(self) -> snapshot.Snapshot | None:
        if not self._recovery.snapshot:
            return None
        path = Path(self._recovery.snapshot)
        try:
            found = snapshot.read(path, self._fleet, self._config.name, self._clock())
        except snapshot.SnapshotError as error:
            self._log.event("snapshot_unusable", why=error.why, message=str(error))
            return None
        self._log.event("snapshot_taken", generation=found.generation, servers=len(found.lines))
        return found

    def _save(self, now: float) -> None:
        """Write what is known, where it changed, in a thread: a slow disk holds up nobody."""
        self._save_at = now + SAVE_MS
        data, marks = self._snapshot(now)
        if not self._recovery.snapshot or data is None or marks == self._saved or self._saving is not None:
            return
        path = Path(self._recovery.snapshot)
        loop = asyncio.get_running_loop()
        self._saving = loop.run_in_executor(None, snapshot.write, path, data)
        self._saving.add_done_callback(lambda future: self._was_saved(future, marks))

    def _was_saved(self, future: "asyncio.Future[None]", marks: object) -> None:
        self._saving = None
        if future.cancelled():
            return
        error = future.exception()
        if error is None:
            self._saved, self._cannot_save = marks, False
            self._saves += 1
            return
        self._save_failures += 1
        if not self._cannot_save:  # the log tells changes of state only
            self._cannot_save = True
            self._log.event("snapshot_not_written", message=str(error))

    def _snapshot(self, now: float) -> tuple[bytes | None, object]:
        """The file's bytes, and what has to change before it is worth another write."""
        lists, membership = self._lists, self._membership
        if lists is None or membership is None or self._speaker is None or self._speaker.ranks is None:
            return None, None
        others = (one.place for one in membership.lives.values() if one.name != membership.me.name)
        places = sorted(others)[: snapshot.FELLOWS_MOST]
        gone = [
            snapshot.Gone(name, started, int(state), now - at)
            for name, (started, state, at) in lists.gone().items()
        ]
        lines = [lists.lines[name] for name in sorted(lists.lines)]
        age = now - lists.told_at if lists.is_told else -1.0
        size = self._speaker.ranks.told.count
        found = snapshot.Snapshot(
            self._fleet, self._config.name, now, lists.generation, age, lines, gone, places, size
        )
        data = snapshot.encode(found)
        marks = lists.generation, tuple(lines), tuple(one.name for one in gone), tuple(places), size
        return (data if len(data) <= snapshot.MOST_BYTES else None), marks

    def close(self) -> None:
        if self._saving is not None:
            self._saving.cancel()

    # Listings and lines

    def _lines(self, listing: ListUpdate) -> list[Line]:
        return [self._line(endpoint, listing) for endpoint in listing.endpoints]

    def _line(self, endpoint: Endpoint, listing: ListUpdate) -> Line:
        place = listing.host_ports.get(endpoint.address)
        return Line(
            endpoint.address.decode(),
            int(endpoint.state),
            self._names.zones[endpoint.zone],
            self._names.kinds[endpoint.kind],
            endpoint.cell,
            endpoint.size,
            endpoint.started_at,
            "" if place is None else f"{place[0]}:{place[1]}",
        )

    def _listing(self, generation: int, whole: bool, lines: "list[Line] | tuple[Line, ...]") -> ListUpdate:
        endpoints, places = [], {}
        for line in lines:
            state, address = State(line.state), line.name.encode()
            try:
                places[address] = parse_host_port(line.place)
            except ValueError:  # as discovery's own: such a server gets nothing new
                state = State.GONE if state is State.GONE else State.DRAINING
            zone = NameTable.number_of(self._names.zones, line.zone)
            kind = NameTable.number_of(self._names.kinds, line.kind)
            endpoints.append(Endpoint(address, state, zone, line.cell, kind, line.size, line.started_ms))
        return ListUpdate(generation, whole, tuple(endpoints), places)
