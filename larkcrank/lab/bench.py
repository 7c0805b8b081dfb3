"""One run of a scenario: start everything, load it, play the timetable of faults, count, give all back."""

import asyncio
import math
import os
import resource
import secrets
import shutil
import signal
import socket
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import psutil
import uvloop

from larkcrank.config.settings import convert
from larkcrank.core.interface import RequestClass
from larkcrank.lab import rules
from larkcrank.lab.clients import Clients
from larkcrank.lab.endpoints import Endpoint, Keys
from larkcrank.lab.ledger import Ledger
from larkcrank.lab.links import DatagramRelay, Link, Way, datagram_relays
from larkcrank.lab.processes import Child, ProcessError
from larkcrank.lab.registry import Registry
from larkcrank.lab.scenario import LINK_WORDS, FaultLine, Own, Scenario, Settle, members
from larkcrank.lab.settings import SETTINGS, merged

Node = tuple[str, int]
LAG_BEAT_S = 0.02
STARTS_AT_ONCE = 8  # processes that start side by side: a crowded machine makes all of them late
POLL_S = 0.05
FOLDER = "larkcrank-fleet-"  # in the temporary directory, then the bench's own process id
EVERYONE = -1  # the near end of a link that all processes share
OWN_PORTS = (20000, 32000)  # of members, for datagrams
OWN_NET = 64
SEEDS = 3  # the first members, which others may be told to begin with
MOST_DESCRIPTORS = 1 << 16


class BenchError(Exception):
    """The bench itself failed: what it counted means nothing."""


class Settled(msgspec.Struct, frozen=True):
    at: float
    call: str
    took: float  # seconds; infinite: not within its bound
    course: list[tuple[float, float]] = []  # when, and the share of those asked who agreed then


class Use(msgspec.Struct, frozen=True):
    """What the fleet took of the machine."""

    processes: int
    ready_s: float  # until all were ready
    memory_mb: float  # of the processes' own, together
    cpu_s: float  # of the processes, while the load ran
    bench_cpu_s: float  # the bench's own, in the same time
    bench_mb: float


class Played(msgspec.Struct):
    """What a run brought; `report.py` reads it."""

    ledger: Ledger
    breaches: list[rules.Breach]
    settled: list[Settled]
    use: Use
    counters: dict[str, Any]  # of the processes that live at the end, added up
    lag_s: float  # the latest that the bench's own loop was
    most_connections: int  # at one endpoint


class Bench:
    """Owns the children, the links and the stand-ins of one run."""

    def __init__(self, scenario: Scenario, folder: Path, progress: Callable[[str], None]) -> None:
        self._scenario, self._folder, self._progress = scenario, folder, progress
        self._rng = Random(scenario.seed)
        self._ledger = Ledger()
        settings = merged(SETTINGS, scenario.fleet.settings)
        settings |= {"n-instances": scenario.fleet.processes, "zones": scenario.fleet.zones}
        self._settings = settings
        self._site = convert(settings)
        self._classes: dict[str, RequestClass] = {cls.name: cls for cls in self._site.decisions.classes}
        self._ways: dict[tuple[Node, Node], Way] = {}
        self._faults: dict[tuple[Node, Node], list[FaultLine]] = {}  # those that act on a way now
        self._links: dict[tuple[int, Node], Link] = {}
        self._endpoints: list[Endpoint] = []
        self._children: list[Child] = []
        self._clients: list[Clients] = []
        self._known: dict[int, dict[str, Any]] = {}
        self._replaced = 0
        self._lag_s = 0.0
        self._settled: list[Settled] = []
        self._counted = 0  # waits for a counter that are not over
        self._failures: list[str] = []
        self._relays: list[DatagramRelay] = []
        self._undoing: list[asyncio.Task[Any]] = []
        began = time.time()
        self._registry = Registry(scenario.discovery.work_ms, self._port, self._ledger, began)

    async def play(self) -> Played:
        """Raises `ProcessError` where a process does not start or ends by itself."""
        try:
            return await self._play()
        finally:
            await self._close()

    async def _play(self) -> Played:
        scenario, loop = self._scenario, asyncio.get_running_loop()
        _raise_descriptors()
        loop.set_exception_handler(self._failed)
        self._build()
        if scenario.fleet.datagrams:
            self._relays = await datagram_relays(
                scenario.fleet.processes, lambda i, j: self._way(("sidecars", i), ("sidecars", j))
            )
        began = loop.time()
        self._progress(f"starting {scenario.fleet.processes} processes")
        gate = asyncio.Semaphore(STARTS_AT_ONCE)

        async def start(child: Child) -> None:
            async with gate:
                known = self._registry.whole(child.index) if scenario.discovery.known else None
                await self._start(child, known)

        await self._all([start(child) for child in self._children[: scenario.fleet.at_first or None]])
        ready_s = loop.time() - began
        self._restart_clock()
        cpu = sum(child.usage()[1] for child in self._children)
        own = psutil.Process()
        own_cpu = sum(own.cpu_times()[:2])
        self._progress(f"ready after {ready_s:.1f} s; load for {scenario.seconds:g} s")
        await self._load()
        usages = [child.usage() for child in self._children]
        memory, cpu = sum(one[0] for one in usages), sum(one[1] for one in usages) - cpu
        use = Use(
            scenario.fleet.processes,
            ready_s,
            memory,
            max(cpu, 0.0),
            sum(own.cpu_times()[:2]) - own_cpu,
            own.memory_info().rss / (1 << 20),
        )
        counters = await self._counters()
        self._ledger.datagrams = sum(relay.passed for relay in self._relays)
        if self._failures:
            raise BenchError("; ".join(self._failures[:3]))
        breaches = self._check()
        most = max(endpoint.most_connections for endpoint in self._endpoints)
        return Played(self._ledger, breaches, self._settled, use, counters, self._lag_s, most)

    def _failed(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self._failures.append(repr(context.get("exception") or context.get("message")))
        loop.default_exception_handler(context)

    def _check(self) -> list[rules.Breach]:
        decisions, scenario = self._site.decisions, self._scenario
        return rules.find_breaches(
            self._ledger,
            self._classes,
            scenario.grace_ms / 1000.0,
            # What the bench saw late itself, it can't hold against the processes.
            max(scenario.slack_ms / 1000.0, 2 * self._lag_s),
            decisions.only_draining_binds,
            decisions.key_quiet_ms / 1000.0,
            decisions.second_copies,
        )

    def _build(self) -> None:
        scenario, zones = self._scenario, self._scenario.fleet.zones
        keys = Keys()
        for index in range(scenario.endpoints.count):
            zone = zones[index % len(zones)]
            rng = Random(self._rng.getrandbits(64))
            endpoint = Endpoint(
                index,
                f"s-{index}",
                zone,
                scenario.endpoints,
                self._classes,
                keys,
                rng,
                self._ledger,
                self._stood,
            )
            self._endpoints.append(endpoint)
        for index in range(scenario.fleet.processes):
            command = next((own.command for own in self._own(index) if own.command), scenario.fleet.command)
            self._children.append(Child(index, self._folder, command, self._ledger.event))
            self._link(index, ("discovery", 0), lambda c, i=index: self._registry.accept(c, i))  # type: ignore[misc]
            near = self._near(index)
            for endpoint in self._endpoints:
                far = ("endpoints", endpoint.index)
                if (near, far) not in self._links:
                    self._link(near, far, lambda c, i=near, e=endpoint: e.accept(c, i))  # type: ignore[misc]
            child = self._children[-1]
            rng = Random(self._rng.getrandbits(64))
            place = lambda child=child: child.place  # noqa: E731
            slack_s = scenario.slack_ms / 1000.0
            load = scenario.load
            if load.heavy_one_in and index % load.heavy_one_in == 0:
                load = msgspec.structs.replace(load, rate=load.rate * load.heavy_times)
            clients = Clients(index, load, self._classes, place, rng, self._ledger, slack_s)
            self._clients.append(clients)
        for endpoint in self._endpoints:
            self._registry.change(endpoint, "Ready")

    def _link(self, sidecar: int, far: Node, connect: Callable[[Any], Any]) -> None:
        near: Node = ("sidecars", sidecar)
        up, down = self._way(near, far), self._way(far, near)
        self._links[sidecar, far] = Link(up, down, connect, self._ledger.now)

    def _near(self, sidecar: int) -> int:
        """The near end of a sidecar's links to endpoints."""
        return EVERYONE if self._scenario.endpoints.shared else sidecar

    def _links_to(self, endpoint: int) -> list[Link]:
        return [link for (_, far), link in self._links.items() if far == ("endpoints", endpoint)]

    def _way(self, source: Node, to: Node) -> Way:
        if (source, to) not in self._ways:
            self._ways[source, to] = Way(Random(self._rng.getrandbits(64)))
        return self._ways[source, to]

    def _port(self, sidecar: int, endpoint: int, place: int) -> int:
        return self._links[self._near(sidecar), ("endpoints", endpoint)].ports[place]

    def _restart_clock(self) -> None:
        """The load begins at nought; what was told at the starts belongs to before it."""
        before = self._ledger.now()
        self._ledger.begin()
        self._registry.unix_at_nought = time.time()
        for told in self._ledger.tolds:
            told.at -= before
        for event in self._ledger.events:
            event.at -= before
        self._registry.shift(before)
        self._ledger.list_calls.clear()
        self._ledger.connections = 0

    def _config(self, child: Child, known: dict[str, Any] | None) -> dict[str, Any]:
        fleet, index = self._scenario.fleet, child.index
        settings = self._settings | {"ordinal": index, "az": index % len(fleet.zones)}
        port = self._links[index, ("discovery", 0)].ports[-1]
        config = {
            "name": f"n{index}",
            "discovery": f"127.0.0.1:{port}",
            "seed": f"{self._scenario.seed * 1000 + index:x}",
            "limits": {"sockets": 1024},
            "kept": str(child.kept),
            "settings": merged(settings, fleet.config.get("settings", {})),
        }
        if known is not None:
            config["known"] = known
        names = {"i": str(index), "files": str(child.kept)}
        if self._relays:
            names["own"] = "{}:{}".format(*(self._relays[index].member or ()))
            names["public"] = "{}:{}".format(*self._relays[index].place)
            names |= {f"seed{i}": "{}:{}".format(*one.place) for i, one in enumerate(self._relays[:SEEDS])}
            names["all"] = ",".join("{}:{}".format(*relay.place) for relay in self._relays)
        more = {key: value for key, value in fleet.config.items() if key != "settings"}
        config = merged(config, _filled(more, names))
        for own in self._own(index):
            config = merged(config, _filled(own.config, names))
        return config

    def _own(self, index: int) -> list[Own]:
        owns = self._scenario.fleet.own
        return [own for own in owns if index in members(own.who, self._scenario)["sidecars"]]

    async def _start(self, child: Child, known: dict[str, Any] | None) -> None:
        if self._relays:  # anew each time: nobody holds the port of a process that is dead
            self._relays[child.index].member = _free_datagram_port()
        await child.start(self._config(child, known))

    async def _load(self) -> None:
        scenario, loop = self._scenario, asyncio.get_running_loop()
        # What a counter is waited for may need the load: on a slow machine it goes on until that is settled.
        self._counted = sum(bool(settle.counter) for settle in scenario.settles)
        goes_on = lambda: self._counted > 0  # noqa: E731
        works = [clients.run(scenario.seconds, goes_on) for clients in self._clients]
        works += [self._play_fault(fault) for fault in scenario.faults]
        works += [self._settle(settle) for settle in scenario.settles]
        lag = loop.create_task(self._watch_lag())
        telling = loop.create_task(self._tell_progress())
        crashes: list[asyncio.Future[Any]] = [child.crashed for child in self._children]
        every = loop.create_task(self._all([*works, self._until(scenario.seconds)]))
        try:
            waited: list[asyncio.Future[Any]] = [every, *crashes]
            await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
            for crash in crashes:
                if crash.done():
                    raise ProcessError(crash.result())
            await every
            for clients in self._clients:
                await clients.finish()
        finally:
            for task in (every, lag, telling):
                task.cancel()
            await asyncio.gather(every, lag, telling, return_exceptions=True)

    async def _all(self, works: Iterable[Any]) -> None:
        async with asyncio.TaskGroup() as group:
            for work in works:
                group.create_task(work)

    async def _until(self, at: float) -> None:
        await asyncio.sleep(max(at - self._ledger.now(), 0.0))

    async def _watch_lag(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(LAG_BEAT_S)
            self._lag_s = max(self._lag_s, time.monotonic() - before - LAG_BEAT_S)

    async def _tell_progress(self) -> None:
        while True:
            await asyncio.sleep(5.0)
            asks = self._ledger.asks
            served = sum(ask.status == 200 for ask in asks)
            self._progress(f"{self._ledger.now():6.1f} s: {len(asks)} asked, {served} served")

    async def _settle(self, settle: Settle) -> None:
        await self._until(settle.at)
        waiting = set(members(settle.who, self._scenario)["sidecars"])
        everyone, course = len(waiting), list[tuple[float, float]]()
        while waiting and self._ledger.now() - settle.at < settle.within:
            ordered = sorted(waiting)
            saying = await asyncio.gather(*(self._says(self._children[i], settle) for i in ordered))
            heads = Counter(" ".join(said.split()[: settle.alike]) for said in saying if said)
            agree = max(heads.values(), default=0) if settle.alike else sum(heads.values())
            if not settle.alike:
                waiting -= {index for index, said in zip(ordered, saying, strict=True) if said}
                agree = everyone - len(waiting)
            elif agree == everyone:
                waiting.clear()
            share = agree / everyone
            if not course or course[-1][1] != share:
                course.append((self._ledger.now(), share))
            if waiting:
                await asyncio.sleep(POLL_S)
        self._counted -= bool(settle.counter)
        took = math.inf if waiting else self._ledger.now() - settle.at
        self._settled.append(Settled(settle.at, settle.counter or settle.call, took, course))

    async def _says(self, child: Child, settle: Settle) -> str:
        """What it says if that is what was waited for; empty if not."""
        if not settle.counter:
            said = await child.call(settle.call)
            return said if said.startswith(settle.answer) else ""
        try:
            found = _flat(await child.ask_counters()).get(settle.counter)
        except TimeoutError:
            return ""
        return str(found) if found is not None and found >= settle.least else ""

    # Faults

    async def _play_fault(self, fault: FaultLine) -> None:
        await self._until(fault.at)
        names = fault.who or [" ".join(side) for side in fault.between]
        self._ledger.event("fault", " / ".join(names), fault.what)
        self._progress(f"{self._ledger.now():6.1f} s: {fault.what} {' / '.join(names)}")
        if fault.what in LINK_WORDS or fault.what == "silence":
            self._bind_ways(fault, True)
            undo: Callable[[], Any] | None = lambda: self._bind_ways(fault, False)  # noqa: E731
        else:
            undo = await self._befall(fault)
        if undo is not None and fault.last < math.inf:
            await self._until(fault.at + fault.last)
            self._ledger.event("over", " / ".join(names), fault.what)
            undo()

    def _pairs(self, fault: FaultLine) -> list[tuple[Node, Node]]:
        if fault.what == "silence":
            far = [("endpoints", i) for i in members(fault.who, self._scenario)["endpoints"]]
            near = [
                ("sidecars", i)
                for i in sorted({self._near(i) for i in range(self._scenario.fleet.processes)})
            ]
            sides = [near, far]
        else:
            sides = []
            for side in fault.between:
                named = members(side, self._scenario)
                sides.append([(kind, index) for kind in named for index in sorted(named[kind])])
        pairs = [(one, other) for one in sides[0] for other in sides[1] if one != other]
        if self._scenario.endpoints.shared:
            pairs = list(dict.fromkeys((_shared(*pair), _shared(*pair[::-1])) for pair in pairs))
        if not fault.one_way:
            pairs += [(other, one) for one, other in pairs]
        return pairs

    def _bind_ways(self, fault: FaultLine, begins: bool) -> None:
        """Ways are what their faults make of them together; one that ends leaves the others."""
        for pair in self._pairs(fault):
            acting = self._faults.setdefault(pair, [])
            if begins:
                acting.append(fault)
            else:
                acting.remove(fault)
            way = self._way(*pair)
            way.clear()
            for one in acting:
                _add(way, one)
            (kind, index), far = sorted(pair, key=lambda node: node[0] != "sidecars")
            if kind == "sidecars" and (link := self._links.get((index, far))) is not None:
                link.follow()

    async def _befall(self, fault: FaultLine) -> Callable[[], Any] | None:
        """Carry out a fault on members; what undoes it where it lasts, None where it is done."""
        found = members(fault.who or ["discovery"], self._scenario)
        children = [self._children[i] for i in sorted(found["sidecars"])]
        endpoints = [self._endpoints[i] for i in sorted(found["endpoints"])]
        registry = self._registry
        match fault.what:
            case "hush" | "deny":
                attribute = "silent" if fault.what == "hush" else "denies"
                return self._set_registry(attribute, True, False)
            case "drag":
                return self._set_registry("work_ms", fault.work_ms, registry.work_ms)
            case "empty":
                return self._set_registry("empty", True, False)
            case "anew":
                self._registry.anew()
            case "lag":
                return self._set_registry("behind_s", fault.by, registry.behind_s)
            case "hide":
                callers, unheard = (members(side, self._scenario) for side in fault.between)
                hidden = dict.fromkeys(callers["sidecars"], unheard["endpoints"])
                return self._set_registry("hidden", hidden, {})
            case "crowd":
                self._slow_down(endpoints, fault.times)
                return lambda: self._slow_down(endpoints, 1.0)
            case "drain":
                await self._one_by_one(fault, endpoints, self._drain)
            case "replace":
                await self._one_by_one(fault, endpoints, lambda one: self._replace(one, fault.address))
            case "kill" | "end" | "restart":
                if found["discovery"]:
                    registry.start() if fault.what == "restart" else registry.die()
                    self._follow_discovery()
                await self._one_by_one(fault, endpoints, lambda one: self._stand(one, fault))
                await self._one_by_one(fault, children, lambda one: self._live(one, fault))
                if fault.what != "restart":
                    again = msgspec.structs.replace(fault, what="restart", at=0.0)
                    return lambda: self._later(self._befall(again))
            case "stop":
                for child in children:
                    child.stop()
                return lambda: self._go_on(children)
            case "continue":
                self._go_on(children)
        return None

    @staticmethod
    def _slow_down(endpoints: list[Endpoint], times: float) -> None:
        for endpoint in endpoints:
            endpoint.slower = times

    @staticmethod
    def _go_on(children: list[Child]) -> None:
        for child in children:
            child.go_on()

    def _later(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._undoing.append(task)

    def _set_registry(self, name: str, value: Any, after: Any) -> Callable[[], None]:
        def put(one: Any) -> None:
            setattr(self._registry, name, one)
            self._registry.wake()

        put(value)
        return lambda: put(after)

    async def _one_by_one(self, fault: FaultLine, who: list[Any], do: Callable[[Any], Any]) -> None:
        """Side by side, or spread over the fault's time."""
        if not fault.spread or len(who) < 2:
            await asyncio.gather(*(do(one) for one in who))
            return
        gap = fault.spread / (len(who) - 1)

        async def after(wait: float, one: Any) -> None:
            await asyncio.sleep(wait)
            await do(one)

        await asyncio.gather(*(after(gap * index, one) for index, one in enumerate(who)))

    async def _live(self, child: Child, fault: FaultLine) -> None:
        if fault.what in ("kill", "end") or child.pid is not None:
            self._known[child.index] = self._registry.known(child.index)
            await (child.kill() if fault.what == "kill" else child.end())
        if fault.what == "restart":
            known = self._known.get(child.index) if fault.keeps == "list" else None
            if fault.keeps == "nothing":
                for path in [child.kept, *self._folder.glob(f"{child.kept.name}.*")]:
                    path.unlink(missing_ok=True)
            await self._start(child, known)

    async def _stand(self, endpoint: Endpoint, fault: FaultLine) -> None:
        """An endpoint's process dies, or is back under its name; discovery sees both."""
        if fault.what != "restart":
            self._registry.change(endpoint, "Gone")
            endpoint.die()
            return
        if endpoint.up:
            endpoint.die()
        if fault.address == "new":
            self._move(endpoint)
        endpoint.start()
        self._registry.change(endpoint, "Ready")

    async def _replace(self, endpoint: Endpoint, address: str) -> None:
        """Another endpoint under a new name takes its place, at the same address or at a new one."""
        self._registry.change(endpoint, "Gone")
        endpoint.die()
        self._replaced += 1
        if address == "new":
            self._move(endpoint)
        endpoint.start(f"t-{self._replaced}")
        self._registry.change(endpoint, "Ready")

    async def _drain(self, endpoint: Endpoint) -> None:
        self._registry.change(endpoint, "Terminating")
        self._ledger.event("draining", endpoint.name)

    def _move(self, endpoint: Endpoint) -> None:
        for link in self._links_to(endpoint.index):
            link.move()
        endpoint.place += 1

    def _stood(self, endpoint: Endpoint) -> None:
        """An endpoint went down or came up: its links refuse or listen."""
        for link in self._links_to(endpoint.index):
            link.far_up = endpoint.up
            link.follow()

    def _follow_discovery(self) -> None:
        for sidecar in range(self._scenario.fleet.processes):
            link = self._links[sidecar, ("discovery", 0)]
            link.far_up = self._registry.up
            link.follow()

    async def _counters(self) -> dict[str, Any]:
        """The numbers of all that live, added up."""
        total: dict[str, Any] = {}
        living = [child.ask_counters() for child in self._children if child.pid is not None]
        for told in await asyncio.gather(*living, return_exceptions=True):
            if isinstance(told, TimeoutError):
                continue  # it stands still, or is very busy
            if isinstance(told, BaseException):
                raise told
            for key, value in _flat(told).items():
                total[key] = total.get(key, 0) + value
        return total

    async def _close(self) -> None:
        for task in self._undoing:
            task.cancel()
        for clients in self._clients:
            clients.close()
        await asyncio.gather(*(child.close() for child in self._children), return_exceptions=True)
        for link in self._links.values():
            link.close()
        for relay in self._relays:
            if relay.transport is not None:
                relay.transport.close()


def _shared(one: Node, other: Node) -> Node:
    """A sidecar's end of a link to an endpoint that all share."""
    return ("sidecars", EVERYONE) if one[0] == "sidecars" and other[0] == "endpoints" else one


def _flat(told: dict[str, Any]) -> dict[str, int]:
    """The whole numbers of what a process counted; those of a part under `part.name`."""
    found = {key: value for key, value in told.items() if type(value) is int}
    for part, inner in told.items():
        if isinstance(inner, dict):
            found |= {f"{part}.{key}": value for key, value in _flat(inner).items()}
    return found


def _free_datagram_port() -> tuple[str, int]:
    """A port that was free just now: what is to bind it is told it at once.

    Not one of those that the kernel gives away by itself: another process got it before ours had begun. On a
    loopback address of this bench's own: another bench beside it got it while ours was slow to begin.
    """
    pid = os.getpid()
    own = f"127.{OWN_NET + (pid >> 16)}.{pid >> 8 & 255}.{pid & 255}"  # process ids have 22 bits
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            try:
                sock.bind((own, OWN_PORTS[0] + secrets.randbelow(OWN_PORTS[1] - OWN_PORTS[0])))
            except OSError:
                continue
            host, port = sock.getsockname()
            return host, port


def _filled(value: Any, names: dict[str, str]) -> Any:
    """The same with the names in its texts replaced."""
    if isinstance(value, str):
        for name, text in names.items():
            value = value.replace("{" + name + "}", text)
        return value
    if isinstance(value, dict):
        return {key: _filled(one, names) for key, one in value.items()}
    return [_filled(one, names) for one in value] if isinstance(value, list) else value


def _add(way: Way, fault: FaultLine) -> None:
    """Faults on one way add up; of two rates the narrower one counts."""
    match fault.what:
        case "cut" | "silence":
            way.cut = True
        case "refuse":
            way.refuse = True
        case "slow":
            way.delay_s += fault.delay_ms / 1000.0
            way.jitter_s += fault.jitter_ms / 1000.0
        case "lose":
            way.loss = 1.0 - (1.0 - way.loss) * (1.0 - fault.share)
        case "duplicate":
            way.duplicate = max(way.duplicate, fault.share)
        case "reorder":
            way.reorder = max(way.reorder, fault.share)
        case "narrow":
            way.bytes_per_s = min(way.bytes_per_s or math.inf, fault.bytes_per_s)


def _raise_descriptors() -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = hard if hard != resource.RLIM_INFINITY else MOST_DESCRIPTORS
    if soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def _sweep() -> None:
    """Take away what benches that were killed outright have left: folders whose owner lives no more."""
    for folder in Path(tempfile.gettempdir()).glob(f"{FOLDER}*-*"):
        owner = folder.name.removeprefix(FOLDER).partition("-")[0]
        if owner.isdecimal() and not psutil.pid_exists(int(owner)):
            shutil.rmtree(folder, ignore_errors=True)


def play(scenario: Scenario, progress: Callable[[str], None]) -> Played:
    """One run, in an event loop of its own. Raises `ProcessError`, OSError."""
    _sweep()
    with tempfile.TemporaryDirectory(prefix=f"{FOLDER}{os.getpid()}-") as folder:

        async def run() -> Played:
            loop = asyncio.get_running_loop()
            task = asyncio.current_task()
            assert task is not None
            loop.add_signal_handler(signal.SIGTERM, task.cancel)  # children are reaped on the way out
            return await Bench(scenario, Path(folder), progress).play()

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(run())
