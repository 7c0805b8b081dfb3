"""Assembles the components of a sidecar, and controls its start and its shutdown."""

import asyncio
import gc
import signal
import socket
import tempfile
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

from larkcrank.config.sidecar import Config, ConfigError
from larkcrank.core.balancer import DISCOVERY_SPREAD_PER_INSTANCE_MS, Balancer
from larkcrank.core.host_port_owners import HostPortOwners
from larkcrank.program import handover, kept
from larkcrank.program.clock import Clock
from larkcrank.program.counters import Counters
from larkcrank.program.log import Log
from larkcrank.program.memory_monitor import MemoryMonitor
from larkcrank.program.ops import OperatorServer
from larkcrank.program.process_link import ProcessLink
from larkcrank.protocol.discovery import ListUpdate, NameTable, format_host_port, parse_host_port
from larkcrank.protocol.ops import Call
from larkcrank.protocol.process_messages import DiscoveryMove, News, SharedList
from larkcrank.routing.clients import ClientConnections
from larkcrank.routing.discovery import DiscoveryClient
from larkcrank.routing.driver import Driver, ListSource
from larkcrank.routing.life import Lifecycle, Phase
from larkcrank.routing.servers import AttemptExecutor
from larkcrank.transport.descriptors import DescriptorBudget, SocketUse
from larkcrank.transport.listener import Listener
from larkcrank.transport.memory import MemoryAccount, Pressure
from larkcrank.transport.pool import ConnectionPool
from larkcrank.transport.turns import turn_queue_of

if TYPE_CHECKING:
    from larkcrank.program.together import FleetMember

SHUTDOWN_ACCEPT_S = 0.55  # new connections keep arriving for up to 0.4 s after SIGTERM
IDLE_CLOSE_DELAY_S = 0.4  # clients keep using their open connections for this long after SIGTERM
MIN_IDLE_S = 0.2  # connections idle for less stay open: a client often sends its next request soon
# With a listening socket passed by the platform, idle connections stay open for this long after SIGTERM. Most
# clients reconnect to the successor earlier, as their next answer carries `Connection: close`.
HANDOVER_CLOSE_DELAY_S = 1.0
DISCOVERY_WAIT_S = 2.5  # limit on the wait for discovery if the predecessor's message is unusable
MAX_DEADLINE_WAIT_MS = 3000.0  # at shutdown the platform waits for the longest deadline, up to this limit
ANSWER_MARGIN_MS = 500.0  # added to the deadline wait; all requests end by then, 0.7 s before SIGKILL
ABORT_MARGIN_MS = 650.0  # added to the deadline wait; connections still open then are aborted
POLL_INTERVAL_S = 0.05


class Sidecar:
    """One sidecar process: creates its components, and runs its start, reloads and shutdown."""

    def __init__(
        self,
        config: Config,
        log: Log,
        load_config: Callable[[], Config],
        passed_socket: socket.socket | None = None,
    ) -> None:
        """`load_config` reads the configuration again. `passed_socket` is the platform's listening socket."""
        self.log = log
        self._config, self._load_config = config, load_config
        self.counters = Counters()
        self._clock = Clock()
        self._rng = Random(config.seed)
        site = config.site
        self.descriptors = DescriptorBudget(config.sockets, has_operators=config.ops is not None)
        self.memory = MemoryAccount(config.memory_mb * (1 << 20))
        self._memory_monitor = MemoryMonitor(self.memory, log)
        self.pool = ConnectionPool(self.descriptors, site.keepalive_ms)
        self._servers = servers = AttemptExecutor(
            self.pool,
            self.descriptors,
            site.connect_timeout_ms,
            site.load_fields,
            config.max_body_bytes,
            self.memory,
            self._clock,
            self.counters,
            log.log_exception,
            site.decisions.only_draining_binds,
            log.event,
        )
        self._names = NameTable(list(site.zones), list(site.kinds))
        self._discovery = DiscoveryClient(
            config.discovery,
            self.descriptors,
            self._names,
            site.connect_timeout_ms,
            not site.decisions.must_ask,
            Random(self._rng.getrandbits(64)),
            self.counters,
            log.log_exception,
            DISCOVERY_SPREAD_PER_INSTANCE_MS * site.decisions.instances / 1000.0
            if site.decisions.must_ask
            else 0.0,
            config.fallback_discovery,
            config.watch_ms,
        )
        self._discovery.on_answer = self._share_news
        balancer = Balancer(site.decisions, Random(self._rng.getrandbits(64)), self._clock())
        self._balancer = balancer
        self._host_port_owners = HostPortOwners(site.decisions.only_draining_binds)
        self._driver = Driver(
            balancer,
            self._host_port_owners,
            self._clock,
            servers,
            self._discovery,
            site.max_open,
            site.grace_ms,
            self.counters,
            log,
            self._clock.from_unix,
        )
        self._clock.on_stall = self._driver.handle_stall
        self.lifecycle = Lifecycle()
        self.lifecycle.on_change = self._on_phase_change
        self.clients = ClientConnections(
            site.decisions,
            self._driver,
            self.lifecycle,
            self._clock.earliest_arrival,
            self.descriptors,
            self.memory,
            config.max_body_bytes,
            self.counters,
            log.log_exception,
        )
        self._listener = Listener(
            config.listen,
            self.descriptors,
            self.clients.accept,
            passed_socket=passed_socket,
            must_accept_slowly=lambda: self.memory.pressure is Pressure.EXHAUSTED,
        )
        # Numbers of other live processes of this sidecar: [predecessors, successors].
        self._other_processes = [0, 0]
        self._predecessor: handover.Predecessor | None = None
        self._handover_server: handover.HandoverServer | None = None
        self._ops_listener: Listener | None = None
        if config.ops is not None:
            ops_server = OperatorServer(
                self.lifecycle,
                self.descriptors,
                self._on_operator_call,
                log.log_exception,
                self._fleet_view,
            )
            self._ops_listener = Listener(config.ops, self.descriptors, ops_server.accept, SocketUse.OPERATOR)
        self._idle_close_task: asyncio.Task[None] | None = None
        self._fleet_member = self._make_fleet_member()
        self._always_watch = not site.decisions.must_ask
        self._configured_list = config.initial_list
        self._initial_server_count = 0
        self._shutdown_requested = asyncio.Event()

    @property
    def listen_address(self) -> tuple[str, int]:
        """Host and port for clients."""
        return self._listener.host_port

    @property
    def ops_address(self) -> tuple[str, int]:
        """Host and port for operators' calls."""
        assert self._ops_listener is not None
        return self._ops_listener.host_port

    async def start_serving(self) -> None:
        """Start serving as soon as a sufficiently current server list is available.

        A process that already serves hands over its server list and its learned state. If such a process
        exists but its message is missing or unusable, this one waits for discovery, for a limited time: a
        slow discovery service must not keep the sidecar from serving.
        """
        if not self._listener.uses_passed_socket:
            self.start_without_handover()
            return
        if self._ops_listener is not None:
            self._ops_listener.start()  # operators' calls are answered already, with "starting"
        path = handover.socket_path(tempfile.gettempdir(), self._config.name)
        message, has_same_settings = await self._receive_handover(path)
        self._load_initial_servers(message if has_same_settings else None)
        if message is not None and not has_same_settings:
            self._load_list_of_predecessor(message)
        if not has_same_settings:
            wait_until = asyncio.get_running_loop().time() + DISCOVERY_WAIT_S
            while not self.counters.lists and asyncio.get_running_loop().time() < wait_until:
                await asyncio.sleep(POLL_INTERVAL_S)
        await self._start_handover_server(path)
        self._start_accepting()

    async def _receive_handover(self, path: Path) -> tuple[handover.HandoverMessage | None, bool]:
        """Connect to the process that serves now, if there is one.

        Return its message, None if there is none that is usable, and whether what it has learnt can be used.
        """
        message, has_same_settings = None, True
        try:
            self._predecessor = await handover.connect_to_predecessor(path)
            if self._predecessor is not None:
                message = handover.decode(
                    await self._predecessor.read_message(), self._config.name, self._settings_key()
                )
        except handover.HandoverError as error:
            has_same_settings = False
            self.log.event("handover_unusable", message=str(error))
            if isinstance(error, handover.OtherSettingsError):
                message = error.message
        if self._predecessor is not None:
            self._set_other_processes(0, 1)
            self._predecessor.watch(
                self._on_predecessor_exit, self.clients.request_ids.remember, self._on_news
            )
            if message is not None and message.answers_claims:
                self.clients.claim_id = self._predecessor.claim
            if message is not None and message.shares_news:
                self._predecessor.share_news()
        return message, has_same_settings

    def _load_list_of_predecessor(self, message: handover.HandoverMessage) -> None:
        """Take over the list of a predecessor with other settings, which may number zones otherwise."""
        endpoints = tuple(
            replace(
                endpoint,
                zone=self._names.number_of(self._names.zones, message.zones[endpoint.zone]),
                kind=self._names.number_of(self._names.kinds, message.kinds[endpoint.kind]),
            )
            for endpoint in message.listed_endpoints()
            if endpoint.zone < len(message.zones) and endpoint.kind < len(message.kinds)
        )
        if message.discovery == format_host_port(self._discovery.primary):
            self._discovery.set_generation(message.generation)
            self._host_port_owners.restore_servers(message.known_servers)
            self._driver.receive_list(
                ListUpdate(message.generation or 0, True, endpoints, message.host_ports()), ListSource.START
            )

    def _share_news(self, news: News, source: ProcessLink | None = None) -> None:
        """Tell the other processes of this sidecar what one of them, or this one, was told."""
        links = set() if self._handover_server is None else set(self._handover_server.links)
        if self._predecessor is not None and self._predecessor.link.shares_news:
            links.add(self._predecessor.link)
        links.discard(source)
        for link in links:
            if not link.share(news):
                self.counters.news_dropped += 1

    def _on_news(self, news: News, source: ProcessLink) -> None:
        """Handle what discovery has told to another process of this sidecar. It binds this one, too."""
        self._share_news(news, source)
        if isinstance(news, SharedList):
            self.counters.shared_list(self._discovery.receive_shared(news))
            return
        try:
            address = parse_host_port(news.discovery)
            fallbacks = [parse_host_port(fallback) for fallback in news.fallbacks]
        except ValueError:
            return
        self.log.event("moved_with_other_process", discovery=news.discovery)
        self._discovery.move_to(address, fallbacks)

    async def _start_handover_server(self, path: Path) -> None:
        self._handover_server = handover.HandoverServer(
            path,
            self._handover_message,
            lambda count: self._set_other_processes(1, count),
            self.clients.request_ids,
            self._on_news,
        )
        self.clients.request_ids.on_begin = self._handover_server.tell_known
        try:
            await self._handover_server.start()
        except OSError as error:  # the next process starts without a handover; this one can still serve
            self.log.event("handover_unavailable", message=str(error))

    def _handover_message(self) -> bytes:
        self.log.event("handed_over", servers=len(self._servers.host_ports()))
        message = handover.HandoverMessage(
            self._config.name,
            self._settings_key(),
            self._discovery.generation,
            self._names.zones,
            self._names.kinds,
            self._servers.host_ports(),
            self._balancer.export_state(),
            answers_claims=True,
            shares_news=True,
            discovery=format_host_port(self._discovery.primary),
            known_servers=self._host_port_owners.export_servers(),
        )
        return handover.encode(message)

    def _settings_key(self) -> str:
        """Return the settings as text. Two processes may share learned state only if theirs are equal."""
        return repr(self._config.site)

    def _set_other_processes(self, position: int, count: int) -> None:
        """Set the number of predecessors (position 0) or of successors (position 1), and adjust the limits.

        The limits apply to the sidecar as a whole: its live processes share them evenly.
        """
        self._other_processes[position] = count
        self.descriptors.set_other_processes(sum(self._other_processes))
        self.memory.set_other_processes(sum(self._other_processes))
        self.log.event("processes", beside=sum(self._other_processes))

    def _on_predecessor_exit(self) -> None:
        self._predecessor = None
        self.clients.claim_id = None
        self._set_other_processes(0, 0)
        if self.lifecycle.phase is not Phase.STARTING:
            self._join_fleet()

    def _make_fleet_member(self) -> "FleetMember | None":
        """Create the fleet member, if a fleet is configured and sidecars may send each other messages."""
        config = self._config
        if config.fleet is None:
            return None
        if not config.site.may_talk:
            self.log.event("fleet_off", reason="settings.bounds.peers is false: sidecars may not talk")
            return None
        # Imported here, so that a sidecar without a fleet starts without the import cost.
        from larkcrank.program.together import FleetMember

        rng = Random(self._rng.getrandbits(64))
        return FleetMember(config, self._names, self._clock, self.log, self._driver, rng)

    def _join_fleet(self) -> None:
        """Join the fleet, unless a predecessor is alive: only one process of a sidecar may be a member."""
        if self._fleet_member is not None and not self._other_processes[0]:
            self._fleet_member.attach(self._discovery)
            self._fleet_member.start()

    def _fleet_view(self) -> str | None:
        return None if self._fleet_member is None else self._fleet_member.view()

    def start_without_handover(self) -> None:
        """Start serving at once, with the last known server list until discovery answers."""
        if self._ops_listener is not None:
            self._ops_listener.start()
        self._load_initial_servers(None)
        self._start_accepting()

    def _load_initial_servers(self, message: handover.HandoverMessage | None) -> None:
        server_list: ListUpdate | None = None
        # While a predecessor is the member, this process calls discovery without coordinating with the fleet.
        if self._fleet_member is not None and self._predecessor is None:
            self._fleet_member.attach(self._discovery)
        if message is not None:
            self._balancer.import_state(message.learnt)
            self._names.zones[:], self._names.kinds[:] = message.zones, message.kinds
            endpoints = tuple(message.listed_endpoints())
            server_list = ListUpdate(message.generation or 0, True, endpoints, message.host_ports())
            self._host_port_owners.restore_servers(message.known_servers)
            if message.discovery in ("", format_host_port(self._discovery.primary)):
                self._discovery.set_generation(message.generation)
            # Discovery may no longer respond, so the first call must be one that does not wait.
            self._discovery.mark_availability_unknown()
            self.log.event("taken_over", known=len(endpoints), taken=message.learnt.known[1])
        else:
            self._restore_learned_state(self._config.learned_state_path)
            server_list = self._discovery.load_list(self._configured_list) if self._configured_list else None
            if self._fleet_member is not None:
                server_list = self._fleet_member.initial_list(server_list)
                self._discovery.set_generation(server_list.generation if server_list is not None else None)
        if server_list is None:
            server_list = ListUpdate(0, True, ())
        # Even an empty list is passed on: at its first event the balancer sets its timer for discovery calls.
        self._driver.receive_list(server_list, ListSource.START)
        if self._always_watch:
            self._discovery.watch()
        self._clock.start_heartbeat()
        self._initial_server_count = len(server_list.endpoints)

    def _start_accepting(self) -> None:
        self._memory_monitor.record_program()
        self._listener.start()
        self.lifecycle.start()
        self._join_fleet()
        host, port = self.listen_address
        ops_field = {"ops": "{}:{}".format(*self.ops_address)} if self._ops_listener is not None else {}
        self.log.event("ready", listen=f"{host}:{port}", known=self._initial_server_count, **ops_field)

    def _on_operator_call(self, call: Call, succeeded: bool) -> None:
        self.counters.operators_calls += 1
        if call not in (Call.PING, Call.VIEW):  # these two are called often and would fill the log
            self.log.event("operators_call", call=call.name, done=succeeded, now=self.lifecycle.phase.value)

    def _on_phase_change(self) -> None:
        if self.lifecycle.phase is Phase.DRAINING and self._idle_close_task is None:
            self._idle_close_task = asyncio.get_running_loop().create_task(self._close_idle_while_draining())

    async def _close_idle_while_draining(self) -> None:
        """Close idle client connections, once clients have had time to switch to another sidecar."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while self.lifecycle.phase is Phase.DRAINING:
            await asyncio.sleep(POLL_INTERVAL_S)
            if loop.time() - started_at >= IDLE_CLOSE_DELAY_S:
                self.clients.close_idle(MIN_IDLE_S)
        self._idle_close_task = None

    def _restore_learned_state(self, path: str) -> None:
        """Load the learned state from its file. If the file is unusable, log that and start cold."""
        if not path:
            return
        try:
            answer_times = kept.read(Path(path), self._clock(), self._config.site.decisions.classes)
        except kept.LearnedStateError as error:
            self.log.event("kept_unusable", message=str(error))
            return
        self._balancer.restore_answer_times(answer_times)
        self.log.event("kept_taken", classes=len(answer_times))

    def save_learned_state(self) -> None:
        """Write the learned state, where the configuration names a file for it."""
        if not self._config.learned_state_path:
            return
        classes, answer_times = self._config.site.decisions.classes, self._balancer.usual_answer_times()
        try:
            kept.write(Path(self._config.learned_state_path), self._clock(), classes, answer_times)
        except OSError as error:
            self.log.event("kept_not_written", message=str(error.strerror))

    def request_shutdown(self) -> None:
        """Request a graceful shutdown."""
        self._shutdown_requested.set()

    def _on_loop_exception(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Log an exception that escaped from a callback. The event loop keeps running."""
        self.counters.crashed += 1
        error = context.get("exception") or RuntimeError(str(context.get("message")))
        self.log.log_exception("loop", error)

    def reload(self) -> None:
        """Read the configuration again, and apply its discovery addresses. Other keys need a restart."""
        try:
            new_config = self._load_config()
        except ConfigError as error:
            self.log.event("bad_configuration", message=str(error), kept=True)
            return
        host, port = new_config.discovery
        self.log.event(
            "reloaded",
            discovery=f"{host}:{port}",
            needs_restart=self._config.changes_needing_restart(new_config),
        )
        self._discovery.move_to(new_config.discovery, new_config.fallback_discovery)
        fallbacks = [format_host_port(fallback) for fallback in new_config.fallback_discovery]
        self._share_news(DiscoveryMove(format_host_port(new_config.discovery), fallbacks))

    def log_counters(self) -> None:
        """Log all counters in one event."""
        fleet_counters = {} if self._fleet_member is None else self._fleet_member.counters()
        memory = self._memory_monitor.as_dict()
        turns = turn_queue_of(asyncio.get_running_loop()).waits
        self.log.event(
            "counters", **self.counters.as_dict(), memory=memory, turn_waits=turns, **fleet_counters
        )

    def log_diagnostics(self) -> None:
        """Log the most recent attempts in one event, if there were any, and all counters in another."""
        if attempts := self._servers.recent_attempts.as_list():
            self.log.event("attempts", recent=attempts)
        self.log_counters()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully. Raises OSError if listening fails."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.request_shutdown)
        loop.add_signal_handler(signal.SIGUSR1, self.log_diagnostics)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        # SIGHUP has been blocked since before the configuration was read.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))
        loop.set_exception_handler(self._on_loop_exception)
        self.log.capture_library_logs()
        self._memory_monitor.start()
        start_task = loop.create_task(self.start_serving())
        shutdown_wait = loop.create_task(self._shutdown_requested.wait())
        await asyncio.wait((start_task, shutdown_wait), return_when=asyncio.FIRST_COMPLETED)
        if start_task.done():
            start_task.result()
            gc.collect()
            gc.freeze()  # objects that live as long as the process need no further garbage collection
        await shutdown_wait
        start_task.cancel()  # has an effect only if shutdown was requested before the start completed
        # A cancelled start may still release resources; they are closed only after it has ended.
        await asyncio.wait((start_task,))
        await self.shut_down()
        self.save_learned_state()
        self.log_counters()
        self.log.event("ended")

    async def stop_listening(self) -> None:
        """Accept the connections that wait in the kernel's queue, then stop. A passed socket's stay queued.

        If descriptors run out, idle connections are closed to release descriptors for the queued ones.
        """
        while not self._listener.accept_remaining_and_close():
            await asyncio.sleep(POLL_INTERVAL_S)
            self.clients.close_idle()

    def close(self) -> None:
        """Release all resources except the clients' connections, at the end of a shutdown."""
        for listener in (self._listener, self._ops_listener, self._fleet_member):
            if listener is not None:
                listener.close()
        if self._idle_close_task is not None:
            self._idle_close_task.cancel()
        for handover_peer in (self._predecessor, self._handover_server):
            if handover_peer is not None:
                handover_peer.close()
        self._memory_monitor.stop()
        self._discovery.close()
        self.pool.close()

    async def shut_down(self) -> None:
        """Accept requests until clients have switched to other sidecars, answer them, then close."""
        self.log.event("winding_down", connections=self.clients.open_count)
        # If there is a successor, it continues this membership of the fleet.
        if self._fleet_member is not None and not self._other_processes[1]:
            self._fleet_member.leave()
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        longest_deadline_ms = max(
            request_class.deadline_ms for request_class in self._config.site.decisions.classes
        )
        answer_limit_ms = min(longest_deadline_ms, MAX_DEADLINE_WAIT_MS) + ANSWER_MARGIN_MS
        self.lifecycle.begin_shutdown(self._clock() + answer_limit_ms)
        self._driver.limit_deadlines(self.lifecycle.latest_deadline)
        if self._listener.uses_passed_socket:
            # Connections that arrive later on the passed socket go to the successor.
            await self.stop_listening()
        while (elapsed := loop.time() - started_at) < (
            HANDOVER_CLOSE_DELAY_S if self._listener.uses_passed_socket else SHUTDOWN_ACCEPT_S
        ):
            await asyncio.sleep(POLL_INTERVAL_S)
            if elapsed >= IDLE_CLOSE_DELAY_S and not self._listener.uses_passed_socket:
                # A client that sends a request before it notices the close can reconnect.
                self.clients.close_idle(MIN_IDLE_S)
        await self.stop_listening()
        min_idle_s = MIN_IDLE_S if self._listener.uses_passed_socket else 0.0
        while self.clients.open_count:
            # The sleep comes first, so that requests on the connections accepted last are read.
            await asyncio.sleep(POLL_INTERVAL_S)
            self.clients.close_idle(min_idle_s)
            if self._clock() >= self.lifecycle.latest_deadline:
                self._driver.expire_unfinished_uploads()
                self.clients.refuse_partial_requests()
            if loop.time() - started_at > (answer_limit_ms + ABORT_MARGIN_MS - ANSWER_MARGIN_MS) / 1000.0:
                self.clients.abort_all()
        self.close()
