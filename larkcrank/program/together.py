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
from larkcrank.fleet.asking import DiscoveryCallGate
from larkcrank.fleet.lists import ListUpdate, SharedServerList
from larkcrank.fleet.membership import Membership, OutgoingMessage
from larkcrank.fleet.ranks import DistrustReason
from larkcrank.fleet.restart import RestartKind, classify_restart
from larkcrank.fleet.speaker import FleetProtocol
from larkcrank.fleet.wire import ServerEntry
from larkcrank.protocol.discovery import Listing, Names, host_port
from larkcrank.routing.discovery import Discovery
from larkcrank.routing.driver import Driver, Journal

SAVE_MS = 5000.0  # between two writes of the snapshot at least
GUESS_MS = 60_000.0  # after a start in which it is found out which restart it was


class Together:
    """The fleet's part of a sidecar."""

    def __init__(
        self,
        config: Config,
        names: Names,
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
        self._speaker = FleetProtocol(
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

    def known(self, listing: Listing | None) -> Listing | None:
        """The list to begin with: the configuration's, or the one of before where that is newer."""
        return listing if self._recovery is None else self._recovery.known(listing)

    def start(self) -> None:
        if self._starting is None:
            self._starting = asyncio.get_running_loop().create_task(self._start())

    async def _start(self) -> None:
        if self._recovery is not None:
            self._speaker.set_extra_seeds(self._recovery.fellows)
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

    def _step(self, now: float) -> list[OutgoingMessage]:
        return [] if self._recovery is None else self._recovery.step(now)


class Recovery:
    """Lists in common, whose turn it is to call discovery, and the snapshot."""

    def __init__(
        self,
        config: Config,
        recovery: RecoveryConfig,
        names: Names,
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
        self._asking = DiscoveryCallGate(
            config.name, decisions.instances, decisions.ordinal, self._began, rng.random()
        )
        self._lists: SharedServerList | None = None
        self._membership: Membership | None = None
        self._speaker: FleetProtocol | None = None
        self._zone = ""
        self._restart = RestartKind.UNKNOWN
        self._heard: list[tuple[float, list[ServerEntry], int, bool]] = []  # before it joined
        self._listed: tuple[list[ServerEntry], int, float] = [], -1, -1.0  # the list begun with, and its age
        self._gone: dict[str, tuple[float, State, float]] = {}
        self._told: Callable[[Listing], None] = driver.told
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

    def joined(self, membership: Membership, speaker: FleetProtocol, zone: str, now: float) -> None:
        self._membership, self._speaker, self._zone = membership, speaker, zone
        rng = Random(self._rng.getrandbits(64))
        lists = self._lists = SharedServerList(membership, self._recovery.same_places, rng, now)
        lists.load_departed(self._gone)
        lines, generation, age = self._listed
        if generation >= 0:
            lists.load_saved(lines, generation, age if age >= 0.0 else float("inf"))
        for at, heard, told, whole in self._heard:
            lists.on_discovery_list(at, heard, told, whole)
        self._heard.clear()

    # Discovery's own word, and leave to ask for it

    def _on_list(self, listing: Listing) -> None:
        now = self._clock()
        self._asking.on_success()
        lines = self._lines(listing)
        if self._lists is None:
            if not self._is_off:
                self._heard = [*self._heard, (now, lines, listing.generation, listing.whole)][-64:]
            self._told(listing)
            return
        kept = self._lists.on_discovery_list(now, lines, listing.generation, listing.whole)
        self._told(listing if kept == lines else self._listing(listing.generation, listing.whole, kept))

    def _on_failure(self, reason: str) -> None:
        self._asking.on_failure(self._clock())
        self._failed(reason)

    def _may_ask(self) -> bool:
        if self._is_off or (self._membership is not None and self._membership.is_duplicate):
            return True
        live = [] if self._membership is None else list(self._membership.live_members)
        told_at = -float("inf") if self._lists is None else self._lists.reported_at
        lonely = self._membership is not None and self._membership.local_health_score > 0
        return self._asking.may_call(self._clock(), live, told_at, lonely)

    # What fellows hold

    def step(self, now: float) -> list[OutgoingMessage]:
        assert self._lists is not None
        out = self._lists.tick(now)
        told = self._lists.take_update(now)
        if told is not None:
            self._go_by(told)
        if self._restart is RestartKind.UNKNOWN and now < self._began + GUESS_MS:
            self._guess(now)
        if now >= self._save_at:
            self._save(now)
        return out

    def _go_by(self, told: ListUpdate) -> None:
        listing = self._listing(told.generation, True, told.entries)
        self._log.event(
            "list_from_fellow", generation=told.generation, by=told.source, servers=len(told.entries)
        )
        self._driver.told(listing, cached=True)

    def _guess(self, now: float) -> None:
        assert self._lists is not None and self._membership is not None and self._speaker is not None
        ranks = self._speaker.size_tracker
        if ranks is None or ranks.distrust_reason is DistrustReason.JUST_STARTED:
            return
        ages = {name: now - began for name, began in self._lists.peer_started_at.items()}
        zones = {name: record.zone for name, record in self._membership.live_members.items()}
        self._restart = classify_restart(now - self._began, ages, zones, self._zone)
        if self._restart is not RestartKind.UNKNOWN:
            self._log.event("fleet_restart", restart=self._restart.value, asked=len(ages))

    def counters(self) -> dict[str, Any]:
        lists = self._lists
        return {
            "lists_taken": 0 if lists is None else lists.adopted_count,
            "refused": {} if lists is None else dict(lists.rejected_counts),
            "restart": self._restart.value,
            "saves": self._saves,
            "save_failures": self._save_failures,
        }

    # The snapshot

    def known(self, listing: Listing | None) -> Listing | None:
        """What to begin with; also remembers what a snapshot tells besides."""
        found = self._read()
        if found is not None:
            since = max(self._clock() - found.saved_at_ms, 0.0)
            self.fellows = found.places[: snapshot.MAX_PEER_ADDRESSES]
            now = self._clock()
            self._gone = {
                one.name: (one.started_at_ms, State(one.state), now - one.age_ms - since)
                for one in found.gone
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
            self._log.event("snapshot_unusable", why=error.reason, message=str(error))
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
        if lists is None or membership is None or self._speaker is None or self._speaker.size_tracker is None:
            return None, None
        others = (
            one.address
            for one in membership.live_members.values()
            if one.name != membership.local_record.name
        )
        places = sorted(others)[: snapshot.MAX_PEER_ADDRESSES]
        gone = [
            snapshot.DepartedServer(name, started, int(state), now - at)
            for name, (started, state, at) in lists.departed().items()
        ]
        lines = [lists.entries[name] for name in sorted(lists.entries)]
        age = now - lists.reported_at if lists.is_reported else -1.0
        size = self._speaker.size_tracker.current.count
        found = snapshot.Snapshot(
            self._fleet, self._config.name, now, lists.generation, age, lines, gone, places, size
        )
        data = snapshot.encode(found)
        marks = lists.generation, tuple(lines), tuple(one.name for one in gone), tuple(places), size
        return (data if len(data) <= snapshot.MAX_FILE_BYTES else None), marks

    def close(self) -> None:
        if self._saving is not None:
            self._saving.cancel()

    # Listings and lines

    def _lines(self, listing: Listing) -> list[ServerEntry]:
        return [self._line(endpoint, listing) for endpoint in listing.endpoints]

    def _line(self, endpoint: Endpoint, listing: Listing) -> ServerEntry:
        place = listing.places.get(endpoint.address)
        return ServerEntry(
            endpoint.address.decode(),
            int(endpoint.state),
            self._names.zones[endpoint.zone],
            self._names.kinds[endpoint.kind],
            endpoint.cell,
            endpoint.size,
            endpoint.started_at,
            "" if place is None else f"{place[0]}:{place[1]}",
        )

    def _listing(
        self, generation: int, whole: bool, lines: "list[ServerEntry] | tuple[ServerEntry, ...]"
    ) -> Listing:
        endpoints, places = [], {}
        for line in lines:
            state, address = State(line.state), line.name.encode()
            try:
                places[address] = host_port(line.host_port)
            except ValueError:  # as discovery's own: such a server gets nothing new
                state = State.GONE if state is State.GONE else State.DRAINING
            zone = Names.number(self._names.zones, line.zone)
            kind = Names.number(self._names.kinds, line.kind)
            endpoints.append(Endpoint(address, state, zone, line.cell, kind, line.size, line.started_at_ms))
        return Listing(generation, whole, tuple(endpoints), places)
