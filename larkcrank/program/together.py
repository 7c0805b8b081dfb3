"""The sidecar's membership of a fleet: a view of the members and, where configured, a shared server list.

Imported only if the configuration has a `fleet`. The sidecar owns one `FleetMember`, which starts and stops
the fleet protocol and the recovery.
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
from larkcrank.routing.driver import Driver, EventLog, ListSource

MIN_SAVE_INTERVAL_MS = 5000.0  # between two writes of the snapshot
RESTART_DETECTION_MS = 60_000.0  # after a start, the time in which the kind of restart is determined
MAX_EARLY_LISTS = 64  # lists from discovery that are kept until the fleet is joined


class FleetMember:
    """Runs the fleet protocol and, where configured, the recovery of one sidecar."""

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
        self._protocol = FleetProtocol(
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
        """Start the fleet protocol in a task. Further calls have no effect."""
        if self._start_task is None:
            self._start_task = asyncio.get_running_loop().create_task(self._start())

    async def _start(self) -> None:
        if self._recovery is not None:
            self._protocol.set_extra_seeds(self._recovery.previous_members)
        try:
            await self._protocol.start()
        except OSError as error:  # the sidecar serves without a fleet
            self._log.event("fleet_off", reason=str(error))
            if self._recovery is not None:
                self._recovery.disable()

    def leave(self) -> None:
        """Tell other members that this one shuts down."""
        self._protocol.leave()

    def close(self) -> None:
        """Stop the fleet protocol and the recovery without a message to other members."""
        if self._start_task is not None:
            self._start_task.cancel()
        if self._recovery is not None:
            self._recovery.close()
        self._protocol.close()

    def view(self) -> str:
        """Return the members as this one sees them, as one line of text for operators."""
        return self._protocol.view()

    def counters(self) -> dict[str, Any]:
        """Return the counters of the fleet protocol and of the recovery, as fields of a log event."""
        recovery_counters = {} if self._recovery is None else {"recovery": self._recovery.counters()}
        return {"fleet": asdict(self._protocol.counters)} | recovery_counters

    def _on_joined(self, membership: Membership, now: float) -> None:
        if self._recovery is not None:
            self._recovery.on_joined(membership, self._protocol, self._zone, now)

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
        self._name_table, self._clock, self._log, self._driver, self._rng = names, clock, log, driver, rng
        self._started_at = clock()
        self._call_gate = DiscoveryCallGate(
            config.name, decisions.instances, decisions.ordinal, self._started_at, rng.random()
        )
        self._server_list: SharedServerList | None = None  # None until the fleet is joined
        self._membership: Membership | None = None
        self._protocol: FleetProtocol | None = None
        self._zone = ""
        self._restart_kind = RestartKind.UNKNOWN
        # Lists that discovery sent before the fleet was joined. Each: time of receipt (clock, ms), entries,
        # generation, whether the list is complete (not only the changes).
        self._early_lists: list[tuple[float, list[ServerEntry], int, bool]] = []
        # The list at the start: entries, generation (-1: there is no list), age in ms (-1: unknown).
        self._initial_list: tuple[list[ServerEntry], int, float] = [], -1, -1.0
        # Draining and removed servers of the snapshot, by name. Each: the server's start time (Unix, ms), its
        # state, and the time at which the fleet learned of this state (clock, ms).
        self._departed_servers: dict[str, tuple[float, State, float]] = {}
        self._forward_list: Callable[[ListUpdate], None] = driver.receive_list
        self._forward_shared_list: Callable[[ListUpdate], None] = driver.receive_list
        self._forward_failure: Callable[[str], None] = lambda reason: None
        self._is_disabled = False
        # The second value of `_encode_snapshot` at the last successful write.
        self._saved_content: object = None
        self._next_save_at = self._started_at + MIN_SAVE_INTERVAL_MS
        self._save_future: asyncio.Future[None] | None = None
        self._save_count = self._save_failure_count = 0
        self._last_save_failed = False

    def attach(self, discovery: DiscoveryClient) -> None:
        """Replace the callbacks of the discovery client, and call the previous ones from the new ones.

        From then on, the client calls discovery only when `_may_call_discovery` permits it.
        """
        self._forward_list, self._forward_failure = discovery.on_list, discovery.on_failure
        self._forward_shared_list = discovery.on_shared_list
        discovery.on_list, discovery.on_failure, discovery.may_call = (
            self._on_list,
            self._on_failure,
            self._may_call_discovery,
        )
        discovery.on_shared_list = self._on_shared_list

    def disable(self) -> None:
        """Behave as without a fleet: forward discovery's lists unchanged and allow every call."""
        self._is_disabled = True

    def on_joined(self, membership: Membership, protocol: FleetProtocol, zone: str, now: float) -> None:
        """Start sharing server lists, with the list at the start and those received before the joining."""
        self._membership, self._protocol, self._zone = membership, protocol, zone
        rng = Random(self._rng.getrandbits(64))
        lists = self._server_list = SharedServerList(membership, self._recovery_config.same_places, rng, now)
        lists.load_departed(self._departed_servers)
        initial_entries, initial_generation, age_ms = self._initial_list
        if initial_generation >= 0:
            lists.load_saved(initial_entries, initial_generation, age_ms if age_ms >= 0.0 else float("inf"))
        for received_at, entries, generation, is_complete in self._early_lists:
            lists.on_discovery_list(received_at, entries, generation, is_complete)
        self._early_lists.clear()

    # Lists from discovery, and permission to call it

    def _on_list(self, list_update: ListUpdate) -> None:
        self._call_gate.on_success()
        self._combine_list(list_update, self._forward_list)

    def _on_shared_list(self, list_update: ListUpdate) -> None:
        """Handle a list that discovery has told to another process of this sidecar."""
        self._combine_list(list_update, self._forward_shared_list)

    def _combine_list(self, list_update: ListUpdate, forward_list: Callable[[ListUpdate], None]) -> None:
        now = self._clock()
        entries = self._entries_of(list_update)
        if self._server_list is None:
            if not self._is_disabled:
                self._early_lists = [
                    *self._early_lists,
                    (now, entries, list_update.generation, list_update.is_full),
                ][-MAX_EARLY_LISTS:]
            forward_list(list_update)
            return
        accepted = self._server_list.on_discovery_list(
            now, entries, list_update.generation, list_update.is_full
        )
        forward_list(
            list_update
            if accepted == entries
            else self._make_list_update(list_update.generation, list_update.is_full, accepted)
        )

    def _on_failure(self, reason: str) -> None:
        self._call_gate.on_failure(self._clock())
        self._forward_failure(reason)

    def _may_call_discovery(self) -> bool:
        if self._is_disabled or (self._membership is not None and self._membership.is_duplicate):
            return True
        live_members = [] if self._membership is None else list(self._membership.live_members)
        reported_at = -float("inf") if self._server_list is None else self._server_list.reported_at
        # A score above 0 means that members recently failed to answer this one. They may be unreachable, so
        # this member must not wait while it is their turn to call.
        is_isolated = self._membership is not None and self._membership.local_health_score > 0
        return self._call_gate.may_call(self._clock(), live_members, reported_at, is_isolated)

    # Lists from other members

    def step(self, now: float) -> list[OutgoingMessage]:
        """Apply a newer shared list, detect the kind of restart, save the snapshot.

        Return the messages to send.
        """
        assert self._server_list is not None
        messages = self._server_list.tick(now)
        shared_update = self._server_list.take_update(now)
        if shared_update is not None:
            self._apply_shared_list(shared_update)
        if self._restart_kind is RestartKind.UNKNOWN and now < self._started_at + RESTART_DETECTION_MS:
            self._detect_restart(now)
        if now >= self._next_save_at:
            self._save(now)
        return messages

    def _apply_shared_list(self, shared_update: SharedListUpdate) -> None:
        list_update = self._make_list_update(shared_update.generation, True, shared_update.entries)
        self._log.event(
            "list_from_fellow",
            generation=shared_update.generation,
            by=shared_update.source,
            servers=len(shared_update.entries),
        )
        self._driver.receive_list(list_update, ListSource.FLEET)

    def _detect_restart(self, now: float) -> None:
        """Infer whether this member, its zone or the fleet restarted, from how long other members run."""
        assert self._server_list is not None and self._membership is not None and self._protocol is not None
        size_tracker = self._protocol.size_tracker
        if size_tracker is None or size_tracker.distrust_reason is DistrustReason.JUST_STARTED:
            return
        ages_ms = {name: now - started_at for name, started_at in self._server_list.peer_started_at.items()}
        zones = {name: record.zone for name, record in self._membership.live_members.items()}
        self._restart_kind = classify_restart(now - self._started_at, ages_ms, zones, self._zone)
        if self._restart_kind is not RestartKind.UNKNOWN:
            self._log.event("fleet_restart", restart=self._restart_kind.value, asked=len(ages_ms))

    def counters(self) -> dict[str, Any]:
        """Return the counters of the recovery, as fields of a log event."""
        lists = self._server_list
        return {
            "lists_taken": 0 if lists is None else lists.adopted_count,
            "refused": {} if lists is None else dict(lists.rejected_counts),
            "restart": self._restart_kind.value,
            "saves": self._save_count,
            "save_failures": self._save_failure_count,
        }

    # The snapshot

    def initial_list(self, list_update: ListUpdate | None) -> ListUpdate | None:
        """Read the snapshot, and return the newer of its list and the configured `list_update`.

        Also store the snapshot's member addresses, and its draining and removed servers.
        """
        saved = self._read_snapshot()
        if saved is not None:
            since_save_ms = max(self._clock() - saved.saved_at_ms, 0.0)
            self.previous_members = saved.places[: snapshot.MAX_PEER_ADDRESSES]
            now = self._clock()
            self._departed_servers = {
                server.name: (
                    server.started_at_ms,
                    State(server.state),
                    now - server.age_ms - since_save_ms,
                )
                for server in saved.gone
            }
            if saved.generation >= 0 and (list_update is None or saved.generation > list_update.generation):
                age_ms = saved.list_age_ms + since_save_ms if saved.list_age_ms >= 0.0 else -1.0
                list_update = self._make_list_update(saved.generation, True, saved.lines)
                self._initial_list = saved.lines, saved.generation, age_ms
                return list_update
        if list_update is not None:
            self._initial_list = self._entries_of(list_update), list_update.generation, -1.0
        return list_update

    def _read_snapshot(self) -> snapshot.Snapshot | None:
        if not self._recovery_config.snapshot:
            return None
        path = Path(self._recovery_config.snapshot)
        try:
            saved = snapshot.read(path, self._fleet_name, self._config.name, self._clock())
        except snapshot.SnapshotError as error:
            self._log.event("snapshot_unusable", why=error.reason, message=str(error))
            return None
        self._log.event("snapshot_taken", generation=saved.generation, servers=len(saved.lines))
        return saved

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
            self._save_count += 1
            return
        self._save_failure_count += 1
        if not self._last_save_failed:  # log only the first of several failures in a row
            self._last_save_failed = True
            self._log.event("snapshot_not_written", message=str(error))

    def _encode_snapshot(self, now: float) -> tuple[bytes | None, object]:
        """Return the encoded snapshot (None: not available or too large) and a value that equals the value of
        another snapshot if their content is the same.

        The value leaves out the ages of list and servers: they change all the time, and need no new write.
        """
        lists, membership = self._server_list, self._membership
        if (
            lists is None
            or membership is None
            or self._protocol is None
            or self._protocol.size_tracker is None
        ):
            return None, None
        other_members = (
            record.address
            for record in membership.live_members.values()
            if record.name != membership.local_record.name
        )
        peer_addresses = sorted(other_members)[: snapshot.MAX_PEER_ADDRESSES]
        departed_servers = [
            snapshot.DepartedServer(name, started_ms, int(state), now - known_since)
            for name, (started_ms, state, known_since) in lists.departed().items()
        ]
        entries = [lists.entries[name] for name in sorted(lists.entries)]
        list_age_ms = now - lists.reported_at if lists.is_reported else -1.0
        size = self._protocol.size_tracker.current.count
        snapshot_now = snapshot.Snapshot(
            self._fleet_name,
            self._config.name,
            now,
            lists.generation,
            list_age_ms,
            entries,
            departed_servers,
            peer_addresses,
            size,
        )
        data = snapshot.encode(snapshot_now)
        content = (
            lists.generation,
            tuple(entries),
            tuple(server.name for server in departed_servers),
            tuple(peer_addresses),
            size,
        )
        return (data if len(data) <= snapshot.MAX_FILE_BYTES else None), content

    def close(self) -> None:
        """Cancel a write of the snapshot that has not begun."""
        if self._save_future is not None:
            self._save_future.cancel()

    # Conversion between discovery's `ListUpdate` and the `ServerEntry` of messages between members

    def _entries_of(self, list_update: ListUpdate) -> list[ServerEntry]:
        return [self._entry_of(endpoint, list_update) for endpoint in list_update.endpoints]

    def _entry_of(self, endpoint: Endpoint, list_update: ListUpdate) -> ServerEntry:
        host_and_port = list_update.host_ports.get(endpoint.address)
        return ServerEntry(
            endpoint.address.decode(),
            int(endpoint.state),
            self._name_table.zones[endpoint.zone],
            self._name_table.kinds[endpoint.kind],
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
            except ValueError:
                # Without a valid host:port the server gets no new requests, as in discovery's lists.
                state = State.GONE if state is State.GONE else State.DRAINING
            zone = NameTable.number_of(self._name_table.zones, entry.zone)
            kind = NameTable.number_of(self._name_table.kinds, entry.kind)
            endpoints.append(
                Endpoint(address, state, zone, entry.cell, kind, entry.size, entry.started_at_ms)
            )
        return ListUpdate(generation, is_complete, tuple(endpoints), host_ports)
