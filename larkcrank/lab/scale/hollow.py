"""Hollow sidecars: the program's own parts without sockets for clients, many in a process.

Real, as the program has it: discovery's watch and its connections, the parser of lists, driver, balancer,
server side, clock and, where `fleet` is configured, the view, ranks, lists in common and their datagrams.
Left out: the clients' and the operators' listeners and what is behind them, signals, log lines (events are
counted), the handover. Shared by those of a process, unlike in service: interpreter, code, settings, loop.

A host process (`python -m larkcrank.lab.scale.hollow`) reads its `Spec` as the first line of standard input,
then orders: `serving` (answered once each has a list in force), `report`, `forget` (what was seen so far),
`rest` (the garbage that starting left is collected and the rest frozen, as the program does after its start),
`still` (no beat of 20 ms any more).
It ends with its standard input. `HollowHosts` owns many.
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
from larkcrank.core.interface import Action, Event, ServerList
from larkcrank.lab.scale.children import RESPONSE_TIMEOUT_S, ChildProcess, CommandChannel, close_all
from larkcrank.lab.scale.machine import MIB, LimitError, available_resources, resident_mib
from larkcrank.lab.settings import SETTINGS, merged
from larkcrank.program.clock import Clock
from larkcrank.program.counters import Counters
from larkcrank.program.together import FleetMember
from larkcrank.protocol import http1
from larkcrank.protocol.discovery import Listing, Names
from larkcrank.routing.discovery import CallKind, DiscoveryClient
from larkcrank.routing.driver import Driver
from larkcrank.routing.servers import AttemptExecutor
from larkcrank.transport.budget import Budget
from larkcrank.transport.descriptors import Descriptors
from larkcrank.transport.pool import Pool

CHANGE_NUMBER_SCALE = 1 << 20  # a line's weight is 1 + the number of its last change / TAG, see `tag`
MAX_RECORDED_LISTS = 8192  # of a sidecar's lists in force that are kept to be told
SOCKET_LIMIT = 1024
MEMORY_LIMIT_MB = 192.0
DATAGRAM_PORTS = (
    10_000,
    20_000,
)  # the first for datagrams and how many; one for all, each on an address of its own
ADDRESSES_PER_OCTET = 250  # addresses of a net for them
POLL_S = 0.01
MAX_CONCURRENT_STARTS = 4  # processes that start side by side
STATUS_LINE_BYTES = len(b"HTTP/1.1 200 OK\r\n")


def change_number(weight: float) -> int:
    """The number of the change that made a line what it is; 0: it is as it was at first.

    The settings here call listed weights no sizes, so that the balancer does not go by them; whoever passes
    lines on passes on the number with them, and it needs no key of its own.
    """
    return round((weight - 1.0) * CHANGE_NUMBER_SCALE)


class HostSpec(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """What a host process is told."""

    count: int
    discovery: list[str]  # host:port; sidecar number n asks the n-th, in turn
    first: int = 0  # the number of its first sidecar
    settings: dict[
        str, Any
    ] = {}  # merged into the bench's settings; `ordinal` is the number, modulo instances
    # Merged into the configuration file; in its texts {i} is the sidecar's number, {own} where it may bind
    # its socket for datagrams, {seed0} to {seed2} those of the first three.
    config: dict[str, Any] = {}
    port: int = DATAGRAM_PORTS[0]  # for datagrams
    beats: bool = True  # each keeps the program's beat of 20 ms; off: idle time is then without it
    spread_s: float = 0.0  # over which they start
    seed: int = 1


class AppliedList(msgspec.Struct, array_like=True):
    """One list in force: the balancer had handled it. Numbers are those of `tag`."""

    applied_at: float  # seconds on the machine's monotonic clock, the same in all processes
    generation: int
    is_complete: bool
    endpoint_count: int
    first_change: int  # the least change that a line of it tells ...
    last_change: int  # ... and the highest


class HollowReport(msgspec.Struct):
    """One sidecar's."""

    number: int
    began: float  # monotonic seconds
    serving: float | None  # when its first list with a line in it was in force
    servers: int  # in the balancer's list, told as places
    generation: int | None
    seen: list[AppliedList]
    unseen: int  # lists in force beyond SEEN_MOST
    bytes_in: int  # of discovery's answers, heads and bodies
    bytes_out: int
    calls: int
    failures: int
    crashed: int
    events: dict[str, int]  # what it would have logged, by event
    together: dict[str, Any] = {}  # counters of the fleet's part
    live: int = 0  # members in its view, itself too

    def applied_at(self, change: int) -> float | None:
        """When a list was in force that tells this change or a later one; None: not yet."""
        return next((one.applied_at for one in self.seen if one.last_change >= change), None)


class HostReport(msgspec.Struct):
    """One process's."""

    pid: int
    cpu_s: float  # since its start
    rss_mib: float
    uss_mib: float  # that is its own
    hollows: list[HollowReport]


class _Journal:
    """Counts what the program would log."""

    def __init__(self) -> None:
        self.events: Counter[str] = Counter()

    def event(self, name: str, **fields: object) -> None:
        self.events[name] += 1

    def failure(self, where: str, error: BaseException) -> None:
        self.events[f"crashed: {where}: {error!r}"[:200]] += 1


class _Watching:
    """Decisions, and a note of when each list was in force."""

    def __init__(self, balancer: Balancer, seen: Callable[[ServerList], None]) -> None:
        self._balancer, self._seen = balancer, seen

    def handle(self, now: float, event: Event) -> list[Action]:
        actions = self._balancer.handle(now, event)
        if isinstance(event, ServerList):
            self._seen(event)
        return actions


class _CountedLine:
    """A connection to discovery, and the bytes that its calls take."""

    def __init__(self, line: Any, count: "Callable[[int, int], None]") -> None:
        self._line, self._count = line, count

    async def get(self, target: bytes) -> http1.Response:
        response: http1.Response = await self._line.get(target)
        head = STATUS_LINE_BYTES + sum(len(field.line) + 2 for field in response.fields) + 2
        self._count(
            head + len(response.body), len(http1.request_bytes(b"GET", target, (b"Host: " + HOST_HEADER,)))
        )
        return response

    def close(self) -> None:
        self._line.close()


HOST_HEADER = b"127.0.0.1:65535"  # as long as one mostly is


class _CountedDiscovery(DiscoveryClient):
    """Discovery's watch as it is, with its bytes counted."""

    bytes_in = bytes_out = 0

    async def _call(self, line: Any, call: CallKind) -> Exception | None:
        return await super()._call(_CountedLine(line, self._add), call)  # type: ignore[arg-type]

    def _add(self, came: int, went: int) -> None:
        self.bytes_in += came
        self.bytes_out += went


class _Clock(Clock):
    """The program's; its beat can be stilled."""

    def __init__(self, beats: bool) -> None:
        self.beats = beats
        super().__init__()

    def start_heartbeat(self) -> None:
        if self.beats:
            super().start_heartbeat()


def datagram_address(number: int, port: int) -> str:
    """Where a sidecar may bind its socket for datagrams."""
    return (
        f"127.{100 + number // ADDRESSES_PER_OCTET**2}"
        f".{number // ADDRESSES_PER_OCTET % ADDRESSES_PER_OCTET}"
        f".{number % ADDRESSES_PER_OCTET + 1}:{port}"
    )


class HollowSidecar:
    """One sidecar. It is put together as `program.sidecar` does it."""

    def __init__(self, number: int, config: configuration.Config, beats: bool, rng: Random) -> None:
        self.number = number
        self.started_at = time.monotonic()
        self.serving_at: float | None = None
        self.event_counter = _Journal()
        self.counters = Counters()
        self._seen: deque[AppliedList] = deque(maxlen=MAX_RECORDED_LISTS)
        self._seen_count = 0
        site = config.site
        self._clock = _Clock(beats)
        self._names = Names(list(site.zones), list(site.kinds))
        descriptors = Descriptors(config.sockets)
        self._pool = Pool(descriptors, site.keepalive_ms)
        self._servers = AttemptExecutor(
            self._pool,
            descriptors,
            site.connect_timeout_ms,
            site.load_fields,
            config.max_body_bytes,
            Budget(config.memory_mb * MIB),
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
            _Watching(balancer, self._in_force),
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
        self._together: FleetMember | None = None
        if config.fleet is not None:
            shared = Random(rng.getrandbits(64))
            self._together = FleetMember(
                config, self._names, self._clock, self.event_counter, self._driver, shared
            )

    def start(self) -> None:
        """As a sidecar with no list held: discovery is asked."""
        known: Listing | None = None
        if self._together is not None:
            self._together.attach(self._discovery)
            known = self._together.initial_list(None)
        self._driver.receive_list(known if known is not None else Listing(0, True, ()), cached=True)
        if not self._must_ask:
            self._discovery.watch()
        self._clock.start_heartbeat()
        if self._together is not None:
            self._together.start()

    def close(self) -> None:
        if self._together is not None:
            self._together.close()
        self._discovery.close()
        self._pool.close()

    def stop_heartbeat(self) -> None:
        """No beat from now on."""
        self._clock.beats = False

    def clear_applied_lists(self) -> None:
        """What was seen so far is not told any more."""
        self._seen.clear()
        self._seen_count = 0

    def report(self) -> HollowReport:
        return HollowReport(
            number=self.number,
            began=self.started_at,
            serving=self.serving_at,
            servers=len(self._servers.host_ports()),
            generation=self._discovery.generation,
            seen=list(self._seen),
            unseen=self._seen_count - len(self._seen),
            bytes_in=self._discovery.bytes_in,
            bytes_out=self._discovery.bytes_out,
            calls=self.counters.discovery_calls,
            failures=self.counters.discovery_failures,
            crashed=self.counters.crashed,
            events=dict(self.event_counter.events),
            together={} if self._together is None else self._together.counters(),
            live=0 if self._together is None else int(self._together.view().split(" ", 2)[1]),
        )

    def _in_force(self, event: ServerList) -> None:
        if not event.endpoints:
            return
        at = time.monotonic()
        if self.serving_at is None:
            self.serving_at = at
        tags = [change_number(endpoint.size) for endpoint in event.endpoints]
        self._seen.append(AppliedList(at, event.revision, event.complete, len(tags), min(tags), max(tags)))
        self._seen_count += 1


def first_config(spec: HostSpec) -> configuration.Config:
    """The configuration that all of a host share but for names and addresses. Raises `ConfigError`."""
    return _parse(spec, spec.first)


def _parse(spec: HostSpec, number: int) -> configuration.Config:
    file = merged(
        {
            "name": f"hollow-{number}",
            "listen": "127.0.0.1:0",  # never bound
            "discovery": spec.discovery[number % len(spec.discovery)],
            "settings": merged(SETTINGS, spec.settings),
            "seed": f"{spec.seed * 1_000_003 + number:x}",
            "limits": {"sockets": SOCKET_LIMIT, "memory_mb": MEMORY_LIMIT_MB},
        },
        _with_texts(spec.config, number, spec.port),
    )
    return configuration.parse(msgspec.json.encode(file), {})


def _with_texts(value: Any, number: int, port: int) -> Any:
    if isinstance(value, str):
        seeds = {f"seed{other}": datagram_address(other, port) for other in range(3)}
        return value.format(i=number, own=datagram_address(number, port), **seeds)
    if isinstance(value, dict):
        return {key: _with_texts(one, number, port) for key, one in value.items()}
    return [_with_texts(one, number, port) for one in value] if isinstance(value, list) else value


class SidecarHost:
    """Hollow sidecars of one process, on its loop."""

    def __init__(self, spec: HostSpec) -> None:
        self._spec = spec
        self.sidecars: list[HollowSidecar] = []

    async def start(self) -> None:
        spec, shared = self._spec, first_config(self._spec)
        for index in range(spec.count):
            number = spec.first + index
            one = _parse(spec, number) if index else shared
            decisions = shared.site.decisions
            own = replace(decisions, ordinal=number % max(decisions.instances, 1))
            config = replace(one, site=replace(shared.site, decisions=own), settings=shared.settings)
            hollow = HollowSidecar(number, config, spec.beats, Random(config.seed))
            self.sidecars.append(hollow)
            hollow.start()
            await asyncio.sleep(spec.spread_s / spec.count)

    def serving_count(self) -> int:
        """How many have a list in force."""
        return sum(hollow.serving_at is not None for hollow in self.sidecars)

    def report(self, brief: bool = False) -> HostReport:
        process = psutil.Process()
        memory = process.memory_full_info()
        hollows = [] if brief else [hollow.report() for hollow in self.sidecars]
        cpu_s = time.process_time()
        return HostReport(process.pid, cpu_s, memory.rss / MIB, memory.uss / MIB, hollows)

    def close(self) -> None:
        for hollow in self.sidecars:
            hollow.close()


async def _serve() -> None:
    commands = CommandChannel()
    await commands.open()
    host = SidecarHost(msgspec.json.decode(await commands.read_spec(), type=HostSpec))
    rss = psutil.Process().memory_info().rss
    commands.send_event("ready", rss_mib=rss / MIB, cpu_s=time.process_time())  # with nobody in it yet
    starting = asyncio.get_running_loop().create_task(host.start())
    try:
        while (order := await commands.read_command()) is not None:
            match order["do"]:
                case "serving":
                    while not starting.done() or host.serving_count() < len(host.sidecars):
                        await asyncio.sleep(POLL_S)
                    starting.result()
                case "rest":
                    gc.unfreeze()
                    gc.collect()
                    gc.freeze()
                case "still":
                    for hollow in host.sidecars:
                        hollow.stop_heartbeat()
                case "forget":
                    for hollow in host.sidecars:
                        hollow.clear_applied_lists()
                case "report":
                    told = host.report(brief=order.get("brief", False))
                    commands.send_event("report", report=told)
                    continue
            commands.send_event(order["do"], cpu_s=time.process_time())
    finally:
        starting.cancel()
        host.close()


class HollowHosts:
    """`spec.count` hollow sidecars in as many processes as `each` makes of them. Who makes it closes it.

        hosts = HollowHosts(Spec(count=1000, discovery=["127.0.0.1:8500"]), each=250)
        try:
            await hosts.start()            # the processes are there
            await hosts.serving()          # every sidecar has a list in force
            reports = await hosts.collect()
        finally:
            await hosts.close()            # none is left

    `stop`, `go_on` and `kill` take the index of a host, from 0; one that was killed is not asked any more.
    Raises `ChildError`, and `LimitError` where the machine does not allow it.
    """

    def __init__(self, spec: HostSpec, each: int) -> None:
        if spec.port == DATAGRAM_PORTS[0]:  # runs side by side must not meet
            spec = msgspec.structs.replace(spec, port=DATAGRAM_PORTS[0] + os.getpid() % DATAGRAM_PORTS[1])
        self.spec = spec
        firsts = range(spec.first, spec.first + spec.count, each)
        parts = [min(each, spec.first + spec.count - first) for first in firsts]
        self._machine = available_resources()
        per = 2 if "fleet" in spec.config else 1
        self._machine.check(len(parts), 0.0, per * each)
        self.hosts = [
            ChildProcess(
                f"host {index}",
                "larkcrank.lab.scale.hollow",
                msgspec.structs.replace(spec, first=first, count=count),
            )
            for index, (first, count) in enumerate(zip(firsts, parts, strict=True))
        ]

    @property
    def running_hosts(self) -> list[ChildProcess]:
        """Those that are there."""
        return [host for host in self.hosts if host.is_started]

    @property
    def pids(self) -> list[int]:
        return [host.pid for host in self.running_hosts]

    async def start(self) -> None:
        """Start the processes, a few at a time; the sidecars of each begin over `spec.spread_s`."""
        for index in range(0, len(self.hosts), MAX_CONCURRENT_STARTS):
            await asyncio.gather(
                *(host.start() for host in self.hosts[index : index + MAX_CONCURRENT_STARTS])
            )
            self._check_memory()

    def _check_memory(self) -> None:
        held = resident_mib(self.pids)
        if held > self._machine.memory_mib:
            raise LimitError(f"{held:.0f} MiB are held, over half of the machine's memory")

    async def wait_until_serving(self) -> None:
        """Until every sidecar has a list in force."""
        await asyncio.gather(*(host.send_command("serving") for host in self.running_hosts))
        self._check_memory()

    async def collect_garbage(self) -> None:
        """Collect what starting left, and freeze the rest."""
        await asyncio.gather(*(host.send_command("rest") for host in self.running_hosts))

    async def stop_heartbeats(self) -> None:
        """No beats from now on, so that what changes cost stands alone."""
        await asyncio.gather(*(host.send_command("still") for host in self.running_hosts))

    async def clear_applied_lists(self) -> None:
        """What was seen so far is not told any more."""
        await asyncio.gather(*(host.send_command("forget") for host in self.running_hosts))

    async def collect(self, brief: bool = False) -> list[HostReport]:
        """A report of every process; `brief`: without its sidecars'."""
        told = await asyncio.gather(
            *(host.send_command("report", brief=brief) for host in self.running_hosts)
        )
        return [msgspec.convert(one["report"], HostReport) for one in told]

    async def collect_until(
        self, true: Callable[[HollowReport], bool], wait_s: float = RESPONSE_TIMEOUT_S, look_s: float = 0.25
    ) -> list[HostReport]:
        """Collect until this is so of every sidecar. Raises TimeoutError."""
        async with asyncio.timeout(wait_s):
            while True:
                reports = await self.collect()
                if all(true(hollow) for host in reports for hollow in host.hollows):
                    return reports
                await asyncio.sleep(look_s)

    def cpu_s(self) -> float:
        """Processor time of all of them so far."""
        return sum(host.cpu_s() for host in self.running_hosts)

    def suspend(self, index: int) -> None:
        """SIGSTOP."""
        self.hosts[index].suspend()

    def resume(self, index: int) -> None:
        self.hosts[index].resume()

    async def kill(self, index: int) -> None:
        """SIGKILL; its sidecars are not told of any more."""
        await self.hosts[index].kill()

    async def close(self) -> None:
        await close_all(self.hosts)


if __name__ == "__main__":
    asyncio.run(_serve())
