"""The sidecar's part in its fleet: a view of the members and, where configured, a shared server list.

Loaded only where `fleet` is configured. The sidecar owns one `FleetMember`, which starts and stops its parts.
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
from larkcrank.fleet.lists import SharedListUpdate, SharedServerList
from larkcrank.fleet.membership import Membership, OutgoingMessage
from larkcrank.fleet.ranks import DistrustReason
from larkcrank.fleet.restart import RestartKind, classify_restart
from larkcrank.fleet.speaker import FleetProtocol
from larkcrank.fleet.wire import ServerEntry
from larkcrank.protocol.discovery import ListUpdate, NameTable, parse_host_port
from larkcrank.routing.discovery import DiscoveryClient
from larkcrank.routing.driver import Driver, EventLog

MIN_SAVE_INTERVAL_MS = 5000.0  # between two writes of the snapshot
RESTART_DETECTION_MS = 60_000.0  # after a start, the time in which the kind of restart is determined
MAX_EARLY_LISTS = 64  # lists from discovery that are kept until the fleet is joined


class FleetMember:
    """One sidecar as a member of its fleet."""

    def __init__(
        self,
        config: Config,
        names: NameTable,
        clock: Callable[[], float],
        log: EventLog,
        driver: Driver,
        rng: Random,
    ) -> None:
        assert config.fleet is not None
        decisions = config.site.decisions
        zones, zone_number = config.site.zones, decisions.zone
        self._zone = zones[zone_number] if zone_number < len(zones) else str(zone_number)
        self._config, self._clock, self._log, self._driver = config, clock, log, driver
        configured_size = FleetSize(decisions.instances, decisions.ordinal, decisions.instances)
        self._speaker = FleetProtocol(
            config.fleet,
            config.name,
            self._zone,
            configured_size,
            clock,
            log,
            driver.dispatch,
            self._on_joined,
            self._step_recovery,
        )
        self._start_task: asyncio.Task[None] | None = None
        self._is_attached = False
        self._recovery: Recovery | None = None
        if config.fleet.recovery is not None:
            self._recovery = Recovery(config, config.fleet.recovery, names, clock, log, driver, rng)

    def attach(self, discovery: DiscoveryClient) -> None:
        """Combine discovery's lists with those of other members, and call discovery in turns with them."""
        if self._recovery is not None and not self._is_attached:
            self._is_attached = True
            self._recovery.attach(discovery)

    def initial_list(self, configured: ListUpdate | None) -> ListUpdate | None:
        """The server list to start with: `configured`, or the snapshot's if that is newer."""
        return configured if self._recovery is None else self._recovery.initial_list(configured)

    def start(self) -> None:
        if self._start_task is None:
            self._start_task = asyncio.get_running_loop().create_task(self._start())

    async def _start(self) -> None:
        if self._recovery is not None:
            self._speaker.set_extra_seeds(self._recovery.previous_members)
        try:
            await self._speaker.start()
        except OSError as error:  # the sidecar serves without a fleet
            self._log.event("fleet_off", reason=str(error))
            if self._recovery is not None:
                self._recovery.disable()

    def leave(self) -> None:
        """Tell other members that this one shuts down."""
        self._speaker.leave()

    def close(self) -> None:
        if self._start_task is not None:
            self._start_task.cancel()
        if self._recovery is not None:
            self._recovery.close()
        self._speaker.close()

    def view(self) -> str:
        return self._speaker.view()

    def counters(self) -> dict[str, Any]:
        recovery_counters = {} if self._recovery is None else {"recovery": self._recovery.counters()}
        return {"fleet": asdict(self._speaker.counters)} | recovery_counters

    def _on_joined(self, membership: Membership, now: float) -> None:
        if self._recovery is not None:
            self._recovery.on_joined(membership, self._speaker, self._zone, now)

    def _step_recovery(self, now: float) -> list[OutgoingMessage]:
        return [] if self._recovery is None else self._recovery.step(now)


class Recovery:
    """The server list shared with the fleet, the turns in which members call discovery, and the snapshot.

    With these, members recover after a restart even while discovery is unreachable or overloaded.
    """

    def __init__(
        self,
        config: Config,
        recovery: RecoveryConfig,
        names: NameTable,
        clock: Callable[[], float],
        log: EventLog,
        driver: Driver,
        rng: Random,
    ) -> None:
        assert config.fleet is not None
        decisions = config.site.decisions
        self.previous_members: list[str] = []  # host:port of members in the snapshot
        self._config, self._fleet_name, self._recovery_config = config, config.fleet.name, recovery
        self._names, self._clock, self._log, self._driver, self._rng = names, clock, log, driver, rng
        self._started_at = clock()
        self._asking = DiscoveryCallGate(
            config.name, decisions.instances, decisions.ordinal, self._started_at, rng.random()
        )
        self._lists: SharedServerList | None = None  # None until the fleet is joined
        self._membership: Membership | None = None
        self._speaker: FleetProtocol | None = None
        self._zone = ""
        self._restart = RestartKind.UNKNOWN
        # Lists that discovery sent before the fleet was joined: received at, entries, generation, complete.
        self._early_lists: list[tuple[float, list[ServerEntry], int, bool]] = []
        # Entries and generation of the list at the start (-1: none), and its age in ms (-1: unknown).
        self._initial_list: tuple[list[ServerEntry], int, float] = [], -1, -1.0
        # Draining and removed servers of the snapshot, by name: start time, state, since when this was known.
        self._gone: dict[str, tuple[float, State, float]] = {}
        self._forward_list: Callable[[ListUpdate], None] = driver.receive_list
        self._forward_failure: Callable[[str], None] = lambda reason: None
        self._is_disabled = False
        self._saved_content: object = None  # identifies the content of the last snapshot written
        self._next_save_at = self._started_at + MIN_SAVE_INTERVAL_MS
        self._save_future: asyncio.Future[None] | None = None
        self._saves = self._save_failures = 0
        self._last_save_failed = False

    def attach(self, discovery: DiscoveryClient) -> None:
        """Intercept discovery's callbacks; the previous ones are called afterwards. Discovery is then called
        only when the fleet permits it.
        """
        self._forward_list, self._forward_failure = discovery.on_list, discovery.on_failure
        discovery.on_list, discovery.on_failure, discovery.may_call = (
            self._on_list,
            self._on_failure,
            self._may_call_discovery,
        )

    def disable(self) -> None:
        """Behave as without a fleet: forward discovery's lists unchanged and allow every call."""
        self._is_disabled = True

    def on_joined(self, membership: Membership, speaker: FleetProtocol, zone: str, now: float) -> None:
        self._membership, self._speaker, self._zone = membership, speaker, zone
        rng = Random(self._rng.getrandbits(64))
        lists = self._lists = SharedServerList(membership, self._recovery_config.same_places, rng, now)
        lists.load_departed(self._gone)
        initial_lines, initial_generation, age_ms = self._initial_list
        if initial_generation >= 0:
            lists.load_saved(initial_lines, initial_generation, age_ms if age_ms >= 0.0 else float("inf"))
        for received_at, entries, generation, is_complete in self._early_lists:
            lists.on_discovery_list(received_at, entries, generation, is_complete)
        self._early_lists.clear()

    # Lists from discovery, and permission to call it

    def _on_list(self, list_update: ListUpdate) -> None:
        now = self._clock()
        self._asking.on_success()
        entries = self._entries_of(list_update)
        if self._lists is None:
            if not self._is_disabled:
                self._early_lists = [
                    *self._early_lists,
                    (now, entries, list_update.generation, list_update.is_full),
                ][-MAX_EARLY_LISTS:]
            self._forward_list(list_update)
            return
        accepted = self._lists.on_discovery_list(now, entries, list_update.generation, list_update.is_full)
        self._forward_list(
            list_update
            if accepted == entries
            else self._make_list_update(list_update.generation, list_update.is_full, accepted)
        )

    def _on_failure(self, reason: str) -> None:
        self._asking.on_failure(self._clock())
        self._forward_failure(reason)

    def _may_call_discovery(self) -> bool:
        if self._is_disabled or (self._membership is not None and self._membership.is_duplicate):
            return True
        live_members = [] if self._membership is None else list(self._membership.live_members)
        reported_at = -float("inf") if self._lists is None else self._lists.reported_at
        # While members do not answer, they may be unreachable: their turns must not be waited for.
        is_isolated = self._membership is not None and self._membership.local_health_score > 0
        return self._asking.may_call(self._clock(), live_members, reported_at, is_isolated)

    # Lists from other members

    def step(self, now: float) -> list[OutgoingMessage]:
        """Run periodic work. Return the messages to send."""
        assert self._lists is not None
        messages = self._lists.tick(now)
        shared_list = self._lists.take_update(now)
        if shared_list is not None:
            self._apply_shared_list(shared_list)
        if self._restart is RestartKind.UNKNOWN and now < self._started_at + RESTART_DETECTION_MS:
            self._detect_restart(now)
        if now >= self._next_save_at:
            self._save(now)
        return messages

    def _apply_shared_list(self, shared_list: SharedListUpdate) -> None:
        list_update = self._make_list_update(shared_list.generation, True, shared_list.entries)
        self._log.event(
            "list_from_fellow",
            generation=shared_list.generation,
            by=shared_list.source,
            servers=len(shared_list.entries),
        )
        self._driver.receive_list(list_update, cached=True)

    def _detect_restart(self, now: float) -> None:
        """Infer from the ages of the other processes whether one member, a zone or the fleet restarted."""
        assert self._lists is not None and self._membership is not None and self._speaker is not None
        ranks = self._speaker.size_tracker
        if ranks is None or ranks.distrust_reason is DistrustReason.JUST_STARTED:
            return
        ages_ms = {name: now - started_at for name, started_at in self._lists.peer_started_at.items()}
        zones = {name: record.zone for name, record in self._membership.live_members.items()}
        self._restart = classify_restart(now - self._started_at, ages_ms, zones, self._zone)
        if self._restart is not RestartKind.UNKNOWN:
            self._log.event("fleet_restart", restart=self._restart.value, asked=len(ages_ms))

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

    def initial_list(self, list_update: ListUpdate | None) -> ListUpdate | None:
        """Read the snapshot, and return the newer of its list and the configured `list_update`.

        Also keeps the snapshot's member addresses and removed servers.
        """
        loaded = self._read_snapshot()
        if loaded is not None:
            since_save_ms = max(self._clock() - loaded.saved_at_ms, 0.0)
            self.previous_members = loaded.places[: snapshot.MAX_PEER_ADDRESSES]
            now = self._clock()
            self._gone = {
                server.name: (
                    server.started_at_ms,
                    State(server.state),
                    now - server.age_ms - since_save_ms,
                )
                for server in loaded.gone
            }
            if loaded.generation >= 0 and (list_update is None or loaded.generation > list_update.generation):
                age_ms = loaded.list_age_ms + since_save_ms if loaded.list_age_ms >= 0.0 else -1.0
                list_update = self._make_list_update(loaded.generation, True, loaded.lines)
                self._initial_list = loaded.lines, loaded.generation, age_ms
                return list_update
        if list_update is not None:
            self._initial_list = self._entries_of(list_update), list_update.generation, -1.0
        return list_update

    def _read_snapshot(self) -> snapshot.Snapshot | None:
        if not self._recovery_config.snapshot:
            return None
        path = Path(self._recovery_config.snapshot)
        try:
            loaded = snapshot.read(path, self._fleet_name, self._config.name, self._clock())
        except snapshot.SnapshotError as error:
            self._log.event("snapshot_unusable", why=error.reason, message=str(error))
            return None
        self._log.event("snapshot_taken", generation=loaded.generation, servers=len(loaded.lines))
        return loaded

    def _save(self, now: float) -> None:
        """Write a snapshot if its content has changed, in a thread: a slow disk must not block the loop."""
        self._next_save_at = now + MIN_SAVE_INTERVAL_MS
        data, content = self._encode_snapshot(now)
        if (
            not self._recovery_config.snapshot
            or data is None
            or content == self._saved_content
            or self._save_future is not None
        ):
            return
        path = Path(self._recovery_config.snapshot)
        loop = asyncio.get_running_loop()
        self._save_future = loop.run_in_executor(None, snapshot.write, path, data)
        self._save_future.add_done_callback(lambda future: self._on_save_done(future, content))

    def _on_save_done(self, future: "asyncio.Future[None]", content: object) -> None:
        self._save_future = None
        if future.cancelled():
            return
        error = future.exception()
        if error is None:
            self._saved_content, self._last_save_failed = content, False
            self._saves += 1
            return
        self._save_failures += 1
        if not self._last_save_failed:  # log only the first of several failures in a row
            self._last_save_failed = True
            self._log.event("snapshot_not_written", message=str(error))

    def _encode_snapshot(self, now: float) -> tuple[bytes | None, object]:
        """The encoded snapshot (None: not available or too large), and a value that changes with its content.

        The value leaves out ages, which change all the time and need no new write.
        """
        lists, membership = self._lists, self._membership
        if lists is None or membership is None or self._speaker is None or self._speaker.size_tracker is None:
            return None, None
        other_members = (
            record.address
            for record in membership.live_members.values()
            if record.name != membership.local_record.name
        )
        places = sorted(other_members)[: snapshot.MAX_PEER_ADDRESSES]
        gone = [
            snapshot.DepartedServer(name, started_ms, int(state), now - known_since)
            for name, (started_ms, state, known_since) in lists.departed().items()
        ]
        entries = [lists.entries[name] for name in sorted(lists.entries)]
        list_age_ms = now - lists.reported_at if lists.is_reported else -1.0
        size = self._speaker.size_tracker.current.count
        snapshot_now = snapshot.Snapshot(
            self._fleet_name,
            self._config.name,
            now,
            lists.generation,
            list_age_ms,
            entries,
            gone,
            places,
            size,
        )
        data = snapshot.encode(snapshot_now)
        content = lists.generation, tuple(entries), tuple(server.name for server in gone), tuple(places), size
        return (data if len(data) <= snapshot.MAX_FILE_BYTES else None), content

    def close(self) -> None:
        if self._save_future is not None:
            self._save_future.cancel()

    # Conversion between the list updates of discovery and the entries of the fleet

    def _entries_of(self, list_update: ListUpdate) -> list[ServerEntry]:
        return [self._entry_of(endpoint, list_update) for endpoint in list_update.endpoints]

    def _entry_of(self, endpoint: Endpoint, list_update: ListUpdate) -> ServerEntry:
        host_and_port = list_update.host_ports.get(endpoint.address)
        return ServerEntry(
            endpoint.address.decode(),
            int(endpoint.state),
            self._names.zones[endpoint.zone],
            self._names.kinds[endpoint.kind],
            endpoint.cell,
            endpoint.size,
            endpoint.started_at,
            "" if host_and_port is None else f"{host_and_port[0]}:{host_and_port[1]}",
        )

    def _make_list_update(
        self, generation: int, is_complete: bool, entries: "list[ServerEntry] | tuple[ServerEntry, ...]"
    ) -> ListUpdate:
        endpoints, host_ports = [], {}
        for entry in entries:
            state, address = State(entry.state), entry.name.encode()
            try:
                host_ports[address] = parse_host_port(entry.host_port)
            except ValueError:  # as for such an entry of discovery: the server gets no new requests
                state = State.GONE if state is State.GONE else State.DRAINING
            zone = NameTable.number_of(self._names.zones, entry.zone)
            kind = NameTable.number_of(self._names.kinds, entry.kind)
            endpoints.append(
                Endpoint(address, state, zone, entry.cell, kind, entry.size, entry.started_at_ms)
            )
        return ListUpdate(generation, is_complete, tuple(endpoints), host_ports)
