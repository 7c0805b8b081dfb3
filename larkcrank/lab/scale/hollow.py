"""Hollow sidecars: the control part of the sidecar program without client sockets, many in one process.

A hollow sidecar has the program's own discovery watch with its connections, list parser, driver, balancer,
server side and clock. If `fleet` is configured, it also has the view, the ranks, the shared lists and their
datagrams. It lacks the listeners for clients and operators and all that is behind them, signals, the
handover, and log lines (events are only counted). Unlike in service, the sidecars of a process share the
interpreter, the code, the settings and the event loop.

A host process (`python -m larkcrank.lab.scale.hollow`) reads its `HostSpec` as the first line of standard
input, then accepts these commands:

- `serving`: responds once each sidecar has applied a list;
- `report`: responds with a `HostReport`;
- `forget`: clears the applied lists recorded so far;
- `rest`: collects garbage and freezes all other objects, as the program does after its start;
- `still`: stops the heartbeat of 20 ms.

It exits when its standard input is closed. `HollowHosts` owns many host processes.
"""

import asyncio
import gc
import os
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

import msgspec
import psutil

from larkcrank.config import sidecar as configuration
from larkcrank.core.balancer import Balancer
from larkcrank.core.host_port_owners import HostPortOwners
from larkcrank.core.interface import Action, Event, ServerList
from larkcrank.lab.scale.children import RESPONSE_TIMEOUT_S, ChildProcess, CommandChannel, close_all
from larkcrank.lab.scale.machine import MIB, LimitError, available_resources, resident_mib
from larkcrank.lab.settings import BASE_SETTINGS, merge_settings
from larkcrank.program.clock import Clock
from larkcrank.program.counters import Counters
from larkcrank.program.together import FleetMember
from larkcrank.protocol import http1
from larkcrank.protocol.discovery import ListUpdate, NameTable
from larkcrank.routing.discovery import CallKind, DiscoveryClient
from larkcrank.routing.driver import Driver, ListSource
from larkcrank.routing.servers import AttemptExecutor
from larkcrank.transport.descriptors import DescriptorBudget
from larkcrank.transport.memory import MemoryAccount
from larkcrank.transport.pool import ConnectionPool

CHANGE_NUMBER_SCALE = 1 << 20  # see `change_number`
MAX_RECORDED_LISTS = 8192  # per sidecar
SOCKET_LIMIT = 1024
MEMORY_LIMIT_MB = 192.0
DATAGRAM_PORTS = (
    10_000,
    20_000,
)  # first port and number of ports; all sidecars of a run use one port, on different addresses
ADDRESSES_PER_OCTET = 250  # used in each octet of a sidecar's address
POLL_S = 0.01
MAX_CONCURRENT_STARTS = 4  # processes
STATUS_LINE_BYTES = len(b"HTTP/1.1 200 OK\r\n")


def change_number(weight: float) -> int:
    """Decodes the number of the last change of a list entry from its weight; 0 means never changed.

    The weight is 1 + number / CHANGE_NUMBER_SCALE. The settings of scale tests don't let the balancer use
    listed weights. Tiers pass the weight on with the entry, so the number needs no key of its own.
    """
    return round((weight - 1.0) * CHANGE_NUMBER_SCALE)


class HostSpec(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The configuration of a host process."""

    count: int  # of sidecars
    discovery: list[str]  # host:port; sidecars use these addresses round-robin, by their number
    first: int = 0  # number of the first sidecar
    # Merged into the lab's default settings. `ordinal` is set to the sidecar's number, modulo the instances.
    settings: dict[str, Any] = {}
    # Merged into the configuration file. In its strings, {i} is replaced by the sidecar's number, {own} by
    # the address for its datagram socket, and {seed0} to {seed2} by those of the first three sidecars.
    config: dict[str, Any] = {}
    port: int = DATAGRAM_PORTS[0]  # for datagrams
    beats: bool = True  # whether sidecars run the program's heartbeat of 20 ms, which adds to idle time
    spread_s: float = 0.0  # period over which the sidecars start
    seed: int = 1


class AppliedList(msgspec.Struct, array_like=True):
    """A list that the balancer has applied. Changes are numbered as in `change_number`."""

    applied_at: float  # seconds on the machine's monotonic clock, the same in all processes
    generation: int
    is_complete: bool
    endpoint_count: int
    first_change: int  # the lowest change number among its entries ...
    last_change: int  # ... and the highest


class HollowReport(msgspec.Struct):
    """The report of one sidecar."""

    number: int
    began: float  # start time, in monotonic seconds
    serving: float | None  # when it had applied its first list with an entry, in monotonic seconds
    servers: int  # number of servers in the balancer's list
    generation: int | None
    seen: list[AppliedList]  # the last applied lists
    unseen: int  # number of applied lists beyond MAX_RECORDED_LISTS, which are not in `seen`
    bytes_in: int  # of discovery's responses, heads and bodies
    bytes_out: int  # of requests to discovery
    calls: int  # to discovery
    failures: int  # of calls to discovery
    crashed: int
    events: dict[str, int]  # number of events that the program would have logged, by event
    together: dict[str, Any] = {}  # counters of the fleet member
    live: int = 0  # live members in its view, including itself

    def applied_at(self, change: int) -> float | None:
        """Time at which a list with this change or a later one was applied; None if none was yet."""
        return next(
            (applied_list.applied_at for applied_list in self.seen if applied_list.last_change >= change),
            None,
        )


class HostReport(msgspec.Struct):
    """The report of one host process."""

    pid: int
    cpu_s: float  # processor time since its start
    rss_mib: float
    uss_mib: float  # memory not shared with other processes
    hollows: list[HollowReport]


class _EventCounter:
    """Counts the events that the program would log."""

    def __init__(self) -> None:
        self.events: Counter[str] = Counter()

    def event(self, name: str, **fields: object) -> None:
        self.events[name] += 1

    def failure(self, where: str, error: BaseException) -> None:
        self.events[f"crashed: {where}: {error!r}"[:200]] += 1


class _RecordingBalancer:
    """A balancer that calls `on_list_applied` after each list that it has applied."""

    def __init__(self, balancer: Balancer, on_list_applied: Callable[[ServerList], None]) -> None:
        self._balancer, self._on_list_applied = balancer, on_list_applied

    def handle(self, now: float, event: Event) -> list[Action]:
        actions = self._balancer.handle(now, event)
        if isinstance(event, ServerList):
            self._on_list_applied(event)
        return actions


class _CountedConnection:
    """A connection to discovery that counts the bytes of its requests and responses."""

    def __init__(self, connection: Any, count_bytes: "Callable[[int, int], None]") -> None:
        self._connection, self._count_bytes = connection, count_bytes

    @property
    def is_reused(self) -> bool:
        return bool(self._connection.is_reused)

    async def get(self, target: bytes) -> http1.Response:
        response: http1.Response = await self._connection.get(target)
        head_bytes = STATUS_LINE_BYTES + sum(len(field.raw_line) + 2 for field in response.fields) + 2
        self._count_bytes(
            head_bytes + len(response.body),
            len(http1.encode_request(b"GET", target, (b"Host: " + HOST_HEADER,))),
        )
        return response

    def close(self) -> None:
        self._connection.close()


HOST_HEADER = b"127.0.0.1:65535"  # stands for the actual header, which has about this length


class _CountedDiscovery(DiscoveryClient):
    """The program's discovery client, with its bytes counted."""

    bytes_in = bytes_out = 0

    async def _call(self, connection: Any, call: CallKind) -> Exception | None:
        return await super()._call(_CountedConnection(connection, self._add_bytes), call)  # type: ignore[arg-type]

    def _add_bytes(self, received_bytes: int, sent_bytes: int) -> None:
        self.bytes_in += received_bytes
        self.bytes_out += sent_bytes


class _HeartbeatClock(Clock):
    """The program's clock, with a heartbeat that can be turned off."""

    def __init__(self, is_enabled: bool) -> None:
        self.is_enabled = is_enabled
        super().__init__()

    def start_heartbeat(self) -> None:
        if self.is_enabled:
            super().start_heartbeat()


def datagram_address(number: int, port: int) -> str:
    """The loopback address on which a sidecar may bind its datagram socket."""
    return (
        f"127.{100 + number // ADDRESSES_PER_OCTET**2}"
        f".{number // ADDRESSES_PER_OCTET % ADDRESSES_PER_OCTET}"
        f".{number % ADDRESSES_PER_OCTET + 1}:{port}"
    )


class HollowSidecar:
    """One hollow sidecar, assembled as in `program.sidecar`."""

    def __init__(self, number: int, config: configuration.Config, has_heartbeat: bool, rng: Random) -> None:
        self.number = number
        self.started_at = time.monotonic()
        self.serving_at: float | None = None
        self.event_counter = _EventCounter()
        self.counters = Counters()
        self._applied_lists: deque[AppliedList] = deque(maxlen=MAX_RECORDED_LISTS)
        self._applied_list_count = 0
        site = config.site
        self._clock = _HeartbeatClock(has_heartbeat)
        self._names = NameTable(list(site.zones), list(site.kinds))
        descriptors = DescriptorBudget(config.sockets)
        self._pool = ConnectionPool(descriptors, site.keepalive_ms)
        self._servers = AttemptExecutor(
            self._pool,
            descriptors,
            site.connect_timeout_ms,
            site.load_fields,
            config.max_body_bytes,
            MemoryAccount(config.memory_mb * MIB),
            self._clock,
            self.counters,
            self.event_counter.failure,
            site.decisions.only_draining_binds,
        )
        self._discovery = _CountedDiscovery(
            config.discovery,
            descriptors,
            self._names,
            site.connect_timeout_ms,
            not site.decisions.must_ask,
            Random(rng.getrandbits(64)),
            self.counters,
            self.event_counter.failure,
        )
        self._listed: set[bytes] = set()
        balancer = Balancer(site.decisions, Random(rng.getrandbits(64)), self._clock())
        self._driver = Driver(
            _RecordingBalancer(balancer, self._record_applied_list),
            HostPortOwners(site.decisions.only_draining_binds),
            self._clock,
            self._servers,
            self._discovery,
            site.max_open,
            site.grace_ms,
            self.counters,
            self.event_counter,
        )
        self._balancer = balancer
        self._must_ask = site.decisions.must_ask
        self._fleet_member: FleetMember | None = None
        if config.fleet is not None:
            fleet_rng = Random(rng.getrandbits(64))
            self._fleet_member = FleetMember(
                config, self._names, self._clock, self.event_counter, self._driver, fleet_rng
            )

    def start(self) -> None:
        """Starts as a sidecar without a saved list, which has to ask discovery."""
        initial_list: ListUpdate | None = None
        if self._fleet_member is not None:
            self._fleet_member.attach(self._discovery)
            initial_list = self._fleet_member.initial_list(None)
        self._driver.receive_list(
            initial_list if initial_list is not None else ListUpdate(0, True, ()), ListSource.START
        )
        if not self._must_ask:
            self._discovery.watch()
        self._clock.start_heartbeat()
        if self._fleet_member is not None:
            self._fleet_member.start()

    def close(self) -> None:
        if self._fleet_member is not None:
            self._fleet_member.close()
        self._discovery.close()
        self._pool.close()

    def stop_heartbeat(self) -> None:
        """Stops the heartbeat."""
        self._clock.is_enabled = False

    def clear_applied_lists(self) -> None:
        """Clears the applied lists recorded so far."""
        self._applied_lists.clear()
        self._applied_list_count = 0

    def report(self) -> HollowReport:
        return HollowReport(
            number=self.number,
            began=self.started_at,
            serving=self.serving_at,
            servers=len(self._servers.host_ports()),
            generation=self._discovery.generation,
            seen=list(self._applied_lists),
            unseen=self._applied_list_count - len(self._applied_lists),
            bytes_in=self._discovery.bytes_in,
            bytes_out=self._discovery.bytes_out,
            calls=self.counters.discovery_calls,
            failures=self.counters.discovery_failures,
            crashed=self.counters.crashed,
            events=dict(self.event_counter.events),
            together={} if self._fleet_member is None else self._fleet_member.counters(),
            live=0 if self._fleet_member is None else int(self._fleet_member.view().split(" ", 2)[1]),
        )

    def _record_applied_list(self, event: ServerList) -> None:
        if not event.endpoints:
            return
        applied_at = time.monotonic()
        if self.serving_at is None:
            self.serving_at = applied_at
        change_numbers = [change_number(endpoint.size) for endpoint in event.endpoints]
        self._applied_lists.append(
            AppliedList(
                applied_at,
                event.revision,
                event.complete,
                len(change_numbers),
                min(change_numbers),
                max(change_numbers),
            )
        )
        self._applied_list_count += 1


def first_config(spec: HostSpec) -> configuration.Config:
    """The first sidecar's configuration, whose settings all sidecars of the host share.

    Raises `ConfigError`.
    """
    return _sidecar_config(spec, spec.first)


def _sidecar_config(spec: HostSpec, number: int) -> configuration.Config:
    config_file = merge_settings(
        {
            "name": f"hollow-{number}",
            "listen": "127.0.0.1:0",  # never bound
            "discovery": spec.discovery[number % len(spec.discovery)],
            "settings": merge_settings(BASE_SETTINGS, spec.settings),
            "seed": f"{spec.seed * 1_000_003 + number:x}",
            "limits": {"sockets": SOCKET_LIMIT, "memory_mb": MEMORY_LIMIT_MB},
        },
        _fill_placeholders(spec.config, number, spec.port),
    )
    return configuration.parse(msgspec.json.encode(config_file), {})


def _fill_placeholders(value: Any, number: int, port: int) -> Any:
    if isinstance(value, str):
        seed_addresses = {
            f"seed{seed_number}": datagram_address(seed_number, port) for seed_number in range(3)
        }
        return value.format(i=number, own=datagram_address(number, port), **seed_addresses)
    if isinstance(value, dict):
        return {key: _fill_placeholders(item, number, port) for key, item in value.items()}
    return [_fill_placeholders(item, number, port) for item in value] if isinstance(value, list) else value


class SidecarHost:
    """The hollow sidecars of one process, on its event loop."""

    def __init__(self, spec: HostSpec) -> None:
        self._spec = spec
        self.sidecars: list[HollowSidecar] = []

    async def start(self) -> None:
        spec, shared_config = self._spec, first_config(self._spec)
        for index in range(spec.count):
            number = spec.first + index
            own_config = _sidecar_config(spec, number) if index else shared_config
            decisions = shared_config.site.decisions
            own_decisions = replace(decisions, ordinal=number % max(decisions.instances, 1))
            config = replace(
                own_config,
                site=replace(shared_config.site, decisions=own_decisions),
                settings=shared_config.settings,
            )
            sidecar = HollowSidecar(number, config, spec.beats, Random(config.seed))
            self.sidecars.append(sidecar)
            sidecar.start()
            await asyncio.sleep(spec.spread_s / spec.count)

    def serving_count(self) -> int:
        """Number of sidecars that have applied a list."""
        return sum(sidecar.serving_at is not None for sidecar in self.sidecars)

    def report(self, brief: bool = False) -> HostReport:
        process = psutil.Process()
        memory = process.memory_full_info()
        reports = [] if brief else [sidecar.report() for sidecar in self.sidecars]
        cpu_s = time.process_time()
        return HostReport(process.pid, cpu_s, memory.rss / MIB, memory.uss / MIB, reports)

    def close(self) -> None:
        for sidecar in self.sidecars:
            sidecar.close()


async def _serve() -> None:
    commands = CommandChannel()
    await commands.open()
    host = SidecarHost(msgspec.json.decode(await commands.read_spec(), type=HostSpec))
    rss_bytes = psutil.Process().memory_info().rss
    commands.send_event(
        "ready", rss_mib=rss_bytes / MIB, cpu_s=time.process_time()
    )  # without any sidecar yet
    start_task = asyncio.get_running_loop().create_task(host.start())
    try:
        while (command := await commands.read_command()) is not None:
            match command["do"]:
                case "serving":
                    while not start_task.done() or host.serving_count() < len(host.sidecars):
                        await asyncio.sleep(POLL_S)
                    start_task.result()
                case "rest":
                    gc.unfreeze()
                    gc.collect()
                    gc.freeze()
                case "still":
                    for sidecar in host.sidecars:
                        sidecar.stop_heartbeat()
                case "forget":
                    for sidecar in host.sidecars:
                        sidecar.clear_applied_lists()
                case "report":
                    report = host.report(brief=command.get("brief", False))
                    commands.send_event("report", report=report)
                    continue
            commands.send_event(command["do"], cpu_s=time.process_time())
    finally:
        start_task.cancel()
        host.close()


class HollowHosts:
    """`spec.count` hollow sidecars in processes of up to `each` sidecars. The creator has to close it.

        hosts = HollowHosts(HostSpec(count=1000, discovery=["127.0.0.1:8500"]), each=250)
        try:
            await hosts.start()               # starts all processes
            await hosts.wait_until_serving()  # every sidecar has applied a list
            reports = await hosts.collect()
        finally:
            await hosts.close()               # ends all processes

    `suspend`, `resume` and `kill` take the index of a host, from 0. No commands are sent to killed hosts.
    Raises `ChildError`, and `LimitError` if the machine does not allow the number of processes or the memory.
    """

    def __init__(self, spec: HostSpec, each: int) -> None:
        if spec.port == DATAGRAM_PORTS[0]:  # concurrent runs need different ports
            spec = msgspec.structs.replace(spec, port=DATAGRAM_PORTS[0] + os.getpid() % DATAGRAM_PORTS[1])
        self.spec = spec
        first_numbers = range(spec.first, spec.first + spec.count, each)
        sidecar_counts = [min(each, spec.first + spec.count - first) for first in first_numbers]
        self._machine_limits = available_resources()
        descriptors_per_sidecar = 2 if "fleet" in spec.config else 1
        self._machine_limits.check(len(sidecar_counts), 0.0, descriptors_per_sidecar * each)
        self.hosts = [
            ChildProcess(
                f"host {index}",
                "larkcrank.lab.scale.hollow",
                msgspec.structs.replace(spec, first=first, count=count),
            )
            for index, (first, count) in enumerate(zip(first_numbers, sidecar_counts, strict=True))
        ]

    @property
    def running_hosts(self) -> list[ChildProcess]:
        """The hosts that were started and not closed or killed."""
        return [host for host in self.hosts if host.is_started]

    @property
    def pids(self) -> list[int]:
        return [host.pid for host in self.running_hosts]

    async def start(self) -> None:
        """Starts the processes, a few at a time. The sidecars of each start over `spec.spread_s`."""
        for index in range(0, len(self.hosts), MAX_CONCURRENT_STARTS):
            await asyncio.gather(
                *(host.start() for host in self.hosts[index : index + MAX_CONCURRENT_STARTS])
            )
            self._check_memory()

    def _check_memory(self) -> None:
        used_mib = resident_mib(self.pids)
        if used_mib > self._machine_limits.memory_mib:
            raise LimitError(f"{used_mib:.0f} MiB in use exceed half of the machine's memory")

    async def wait_until_serving(self) -> None:
        """Waits until every sidecar has applied a list."""
        await asyncio.gather(*(host.send_command("serving") for host in self.running_hosts))
        self._check_memory()

    async def collect_garbage(self) -> None:
        """Collects the garbage of the start in all hosts, and freezes all other objects."""
        await asyncio.gather(*(host.send_command("rest") for host in self.running_hosts))

    async def stop_heartbeats(self) -> None:
        """Stops the heartbeats, so that they don't add to the measured cost of changes."""
        await asyncio.gather(*(host.send_command("still") for host in self.running_hosts))

    async def clear_applied_lists(self) -> None:
        """Clears the applied lists recorded so far by all sidecars."""
        await asyncio.gather(*(host.send_command("forget") for host in self.running_hosts))

    async def collect(self, brief: bool = False) -> list[HostReport]:
        """Returns a report of every process, without those of its sidecars if `brief` is true."""
        events = await asyncio.gather(
            *(host.send_command("report", brief=brief) for host in self.running_hosts)
        )
        return [msgspec.convert(event["report"], HostReport) for event in events]

    async def collect_until(
        self,
        condition: Callable[[HollowReport], bool],
        timeout_s: float = RESPONSE_TIMEOUT_S,
        poll_s: float = 0.25,
    ) -> list[HostReport]:
        """Collects reports until the condition holds for every sidecar. Raises TimeoutError."""
        async with asyncio.timeout(timeout_s):
            while True:
                reports = await self.collect()
                if all(condition(sidecar) for host in reports for sidecar in host.hollows):
                    return reports
                await asyncio.sleep(poll_s)

    def cpu_s(self) -> float:
        """Processor time of all running hosts so far."""
        return sum(host.cpu_s() for host in self.running_hosts)

    def suspend(self, index: int) -> None:
        """Suspends a host with SIGSTOP."""
        self.hosts[index].suspend()

    def resume(self, index: int) -> None:
        self.hosts[index].resume()

    async def kill(self, index: int) -> None:
        """Kills a host with SIGKILL. Later reports lack its sidecars."""
        await self.hosts[index].kill()

    async def close(self) -> None:
        await close_all(self.hosts)


if __name__ == "__main__":
    asyncio.run(_serve())
