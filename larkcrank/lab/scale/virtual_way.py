"""The tiers' own program in virtual time, at full size: an origin, nine regions, 33 zones, 12,000 receivers.

The program runs as it is, on an event loop whose clock jumps to whatever is due next and whose connections
are queues in memory with a delay, which can be silent one way or both. Waits, delays, gathering, turns for
whole answers, drawn spreads and time limits are so measured exactly; processing takes no time at all here, so
that what it adds stands beside it from the runs with real processes (`way.py`).

Receivers hold what they were told, check the order of it, and go to the next of their places as a sidecar
with several addresses does (`routing/places.py`).

    python -m larkcrank.lab.scale.virtual_way --sizes 1000,4000,12000
"""

import argparse
import asyncio
import io
import json
import math
import re
import sys
import time
from collections import Counter, deque
from collections.abc import Callable, Iterable
from contextvars import Context, ContextVar, copy_context
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import msgspec

from larkcrank.lab.scale.machine import source_commit
from larkcrank.lab.scale.slopes import RUNS_FOLDER, write_json
from larkcrank.program.log import Log
from larkcrank.protocol import http1
from larkcrank.protocol.discovery import LIST_TARGET, watch_target
from larkcrank.routing.places import AddressFailover
from larkcrank.tiers import config as configuration
from larkcrank.tiers import program

Place = tuple[str, int]

UNIX_AT_NOUGHT = 1.7e9
WAIT_MS = 60_000  # a sidecar's watch
SLACK_S = 1.5
FETCH_S = 3.0
OUT_S = 20.0  # all tiers are gone for so long
WATCH = re.compile(rb"after=(\d+)&wait_ms=(\d+)")


class _Selector:
    """Nothing is ever ready; time passes instead."""

    def __init__(self) -> None:
        self.now = 0.0

    def select(self, timeout: float | None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("nothing is due any more")
        if timeout > 0:
            self.now += timeout
        return []


class Net:
    """Who listens where, and what befalls the ways. A group is who owns an address: a process."""

    def __init__(self, delay_s: Callable[[str, str], float]) -> None:
        self.delay_s = delay_s
        self.listeners: dict[Place, tuple[str, Callable[[], asyncio.BaseProtocol]]] = {}
        self.silent: set[tuple[str, str]] = set()  # from one group to another nothing passes
        self.stopped: set[str] = set()  # processes that stand still: nothing reaches them
        self.transports: dict[str, set[Wire]] = {}
        self.connects: Counter[tuple[str, str]] = Counter()
        self.sent: Counter[str] = Counter()  # bytes by group
        self._ports = 1000

    def free(self) -> Place:
        self._ports += 1
        return ("10.0.0.1", self._ports)

    def passes(self, source: str, to: str) -> bool:
        return (source, to) not in self.silent and source not in self.stopped and to not in self.stopped

    def kill(self, group: str) -> None:
        """The process dies: nobody listens, connections are reset."""
        for place in [place for place, (owner, _) in self.listeners.items() if owner == group]:
            del self.listeners[place]
        for transport in list(self.transports.get(group, ())):
            transport.abort()

    def heal(self) -> None:
        """All ways pass again; what was silent meanwhile ends by a reset, as where a machine is back."""
        self.silent.clear()
        for transports in self.transports.values():
            for transport in list(transports):
                if transport.lost:
                    transport.abort()


class Wire(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, loop: "VirtualLoop", group: str, protocol: asyncio.BaseProtocol, port: int) -> None:
        super().__init__()
        self.group, self.lost = group, False
        self.far: Wire | None = None
        self.place: Place = ("10.1.0.1", port)
        self._loop, self._protocol = loop, protocol
        self._in: deque[tuple[float, bytes | None]] = deque()  # bytes, or the end
        self._last = 0.0
        self._paused = self._closed = False
        self.context = acting_as(group)
        loop.net.transports.setdefault(group, set()).add(self)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if not self._closed and self.far is not None:
            self._loop.net.sent[self.group] += len(data)
            self._send(bytes(data))

    def _send(self, piece: bytes | None) -> None:
        far, net = self.far, self._loop.net
        if far is None:
            return
        if not net.passes(self.group, far.group):
            self.lost = far.lost = True
            return
        at = max(self._last, self._loop.time() + net.delay_s(self.group, far.group))
        self._last = at
        far._in.append((at, piece))
        self._loop.call_at(at, far._out, context=far.context)

    def _out(self) -> None:
        while self._in and not self._paused and self._in[0][0] <= self._loop.time() + 1e-9:
            _, piece = self._in.popleft()
            if piece is None:
                self._end(ConnectionResetError("reset"))
                return
            if self.group in self._loop.net.stopped:
                self.lost = True  # it lies in the kernel of a process that stands still
                continue
            cast(asyncio.Protocol, self._protocol).data_received(piece)

    def close(self) -> None:
        if not self._closed:
            self._send(None)
            self._end(None)

    def abort(self) -> None:
        self.close()

    def _end(self, error: Exception | None) -> None:
        if not self._closed:
            self._closed = True
            self._loop.net.transports[self.group].discard(self)
            self._loop.call_soon(self._protocol.connection_lost, error, context=self.context)

    def is_closing(self) -> bool:
        return self._closed

    def pause_reading(self) -> None:
        self._paused = True

    def resume_reading(self) -> None:
        self._paused = False
        self._loop.call_soon(self._out, context=self.context)

    def is_reading(self) -> bool:
        return not self._paused

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self._protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self._protocol

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        if name == "peername" and self.far is not None:
            return self.far.place
        return self.place if name == "sockname" else default


class _Socket:
    """Where somebody is about to listen."""

    def __init__(self, place: Place) -> None:
        self.place = place

    def getsockname(self) -> Place:
        return self.place


class _Server:
    def __init__(self, net: Net, place: Place) -> None:
        self._net, self._place = net, place

    def close(self) -> None:
        self._net.listeners.pop(self._place, None)


class VirtualLoop(asyncio.BaseEventLoop):
    """Time jumps; connections are made within. Who acts stands in the context."""

    def __init__(self, net: Net) -> None:
        super().__init__()
        self.net = net
        self._selector = _Selector()

    def time(self) -> float:
        return self._selector.now

    def _process_events(self, events: list[Any]) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

    async def create_server(  # type: ignore[override]
        self, factory: Any, *_: Any, sock: Any = None, **__: Any
    ) -> Any:
        self.net.listeners[sock.place] = (_group.get(), factory)
        return _Server(self.net, sock.place)

    async def create_connection(  # type: ignore[override]
        self, factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        net, group = self.net, _group.get()
        found = net.listeners.get((host, port))
        to = found[0] if found is not None else ""
        if found is not None and not (net.passes(group, to) and net.passes(to, group)):
            await asyncio.sleep(3600.0)  # the wish to connect, or its answer, is lost
        await asyncio.sleep(2 * net.delay_s(group, to) if found is not None else 0.001)
        found = net.listeners.get((host, port))
        if found is None:
            raise ConnectionRefusedError(111, "refused")
        net.connects[group, found[0]] += 1
        near_protocol, far_protocol = factory(), found[1]()
        near = Wire(self, group, near_protocol, net.free()[1])
        far = Wire(self, found[0], far_protocol, port)
        near.far, far.far = far, near
        near_protocol.connection_made(near)
        if not near.is_closing():
            self.call_soon(far_protocol.connection_made, far, context=far.context)
        return near, near_protocol


_group: ContextVar[str] = ContextVar(
    "group", default=""
)  # the process that acts; tasks and timers inherit it


def acting_as(group: str) -> Context:
    """A context in which this process acts."""
    context = copy_context()
    context.run(_group.set, group)
    return context


class Discovery:
    """The published protocol over one list; in memory. Changes of one moment are one answer."""

    def __init__(self, lines: Iterable[dict[str, Any]]) -> None:
        self.lines = {line["instanceId"]: line for line in lines}
        self.generation = 1
        self.calls = 0
        self._log: list[tuple[int, str]] = []
        self._gone: dict[str, dict[str, Any]] = {}
        self._waiting: list[tuple[_Asked, int]] = []

    def tell(self, lines: Iterable[dict[str, Any]]) -> None:
        self.generation += 1
        for line in lines:
            name = line["instanceId"]
            self.lines.pop(name, None)
            self._gone.pop(name, None)
            (self._gone if line["lifecycle"] == "Gone" else self.lines)[name] = line
            self._log.append((self.generation, name))
        waiting, self._waiting = self._waiting, []
        for asked, after in waiting:
            asked.say(self.answer(after))

    def answer(self, after: int | None) -> bytes:
        if after is None or not 1 <= after <= self.generation:
            told: list[dict[str, Any]] = list(self.lines.values())
        else:
            names = dict.fromkeys(name for generation, name in self._log if generation > after)
            told = [self.lines.get(name) or self._gone[name] for name in names]
        whole = after is None or not 1 <= after <= self.generation
        body = {"generation": self.generation, "reset": whole, "instances": told}
        return http1.encode_response(200, (), msgspec.json.encode(body))

    def ask(self, asked: "_Asked", target: bytes) -> None:
        self.calls += 1
        watch = WATCH.search(target)
        if watch is None or int(watch[1]) != self.generation:
            asked.say(self.answer(None if watch is None else int(watch[1])))
            return
        entry = (asked, int(watch[1]))
        self._waiting.append(entry)

        def late() -> None:
            if entry in self._waiting:
                self._waiting.remove(entry)
                asked.say(self.answer(entry[1]))

        asyncio.get_running_loop().call_later(int(watch[2]) / 1000.0, late)


class _Asked(asyncio.Protocol):
    def __init__(self, discovery: Discovery) -> None:
        self._discovery = discovery
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None

    def data_received(self, data: bytes) -> None:
        self._discovery.ask(self, data.split(b" ", 2)[1])

    def say(self, answer: bytes) -> None:
        if self._transport is not None:
            self._transport.write(answer)


class Receiver(asyncio.Protocol):
    """A sidecar's watch: what it holds, when it was told what, and whether that was in order."""

    def __init__(self, world: "World", number: int, places: list[Place], group: str) -> None:
        self.number, self.group = number, group
        self._context = acting_as(group)
        self.places = AddressFailover(places, Random(world.rng.getrandbits(64)))
        self.held: dict[str, str] = {}
        self.gone: set[str] = set()
        self.faults: list[str] = []
        self.generation: int | None = None
        self.wholes = self.changes = self.calls = self.failures = 0
        self._world = world
        self._transport: asyncio.Transport | None = None
        self._parser: http1.ResponseParser | None = None
        self._limit: asyncio.TimerHandle | None = None
        self._failing = False
        self._told_here = -1  # generation on this connection

    def start(self, after_s: float) -> None:
        self._world.loop.call_later(after_s, self._connect)

    def _connect(self) -> None:
        self._failing = False
        self._told_here = -1
        task = self._world.loop.create_task(self._world.reach(self), context=self._context)
        task.add_done_callback(self._reached)
        self._limited(FETCH_S)

    def _reached(self, task: "asyncio.Task[None]") -> None:
        if not task.cancelled() and task.exception() is not None:
            self._fail()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        if self._failing:
            cast(asyncio.Transport, transport).abort()
            return
        self._transport = cast(asyncio.Transport, transport)
        self._ask()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._fail()

    def _limited(self, after_s: float) -> None:
        if self._limit is not None:
            self._limit.cancel()
        self._limit = self._world.loop.call_later(after_s, self._fail)

    def _ask(self) -> None:
        assert self._transport is not None
        target = LIST_TARGET if self.generation is None else watch_target(self.generation, WAIT_MS)
        self._parser = http1.ResponseParser(max_body_bytes=64 << 20)
        self.calls += 1
        self._world.note_call(self)
        self._transport.write(http1.encode_request(b"GET", target, (b"Host: d",)))
        self._limited(FETCH_S if self.generation is None else WAIT_MS / 1000.0 + SLACK_S)

    def _fail(self) -> None:
        if self._failing:
            return
        self._failing = True
        self.failures += 1
        if self._limit is not None:
            self._limit.cancel()
        transport, self._transport = self._transport, None
        if transport is not None:
            transport.abort()
        loop = self._world.loop
        loop.call_later(self.places.record_failure(loop.time()), self._connect)

    def data_received(self, data: bytes) -> None:
        if self._parser is None:
            return
        self._parser.feed(data)
        if not self._parser.complete:
            return
        response, self._parser = self._parser.response(), None
        if response.status != 200:
            self._fail()
            return
        self.places.record_success()
        self._take(msgspec.json.decode(response.body))
        if self._transport is not None:
            self._ask()

    def _take(self, told: dict[str, Any]) -> None:
        generation, lines = told["generation"], told["instances"]
        whole = told["reset"] or self.generation is None
        if generation < self._told_here:
            self.faults.append(f"generation {generation} after {self._told_here}")
        self._told_here = self.generation = generation
        if whole:
            self.wholes += 1
            self._world.note_whole(self)
            if not lines:
                self.faults.append("an empty whole list")
            names = {line["instanceId"] for line in lines}
            self.gone |= self.held.keys() - names
            self.held = {name: state for name, state in self.held.items() if name in names}
        elif lines:
            self.changes += 1
        for line in lines:
            name, state = line["instanceId"], line["lifecycle"]
            if state == "Gone":
                self.held.pop(name, None)
                self.gone.add(name)
            else:
                if name in self.gone:
                    self.faults.append(f"{name} was gone, and returns")
                self.held[name] = state
            self._world.note(self, name, state)


class World:
    """All of it, on a loop of its own. Times in seconds of virtual time."""

    def __init__(
        self,
        size: int,
        regions: int = 9,
        zones: int = 33,
        per_service: int = 28,
        calls: int = 3,
        seed: int = 1,
        near_s: float = 0.001,
        far_s: float = 0.040,
        **settings: Any,
    ) -> None:
        """`near_s`, `far_s`: one way within a region, and between two."""
        self.rng = Random(seed)
        self.size, self.regions, self.zones, self.calls_each = size, regions, zones, calls
        self.services = max(1, size // per_service)
        self._per_service, self._near_s, self._far_s = per_service, near_s, far_s
        self._settings = settings
        self.net = Net(self._delay)
        self.loop = VirtualLoop(self.net)
        self.tiers: dict[str, program.Tier] = {}
        self.logs: dict[str, io.BytesIO] = {}
        self.discoveries: list[Discovery] = []
        self.receivers: list[Receiver] = []
        self.calls_at: Counter[tuple[str, int]] = Counter()  # group, tenth of a second
        self.wholes_at: Counter[tuple[str, int]] = Counter()
        self._wanted: dict[tuple[str, str], float] = {}  # instance and state: when it was told
        self._missing: dict[tuple[str, str], set[int]] = {}  # who is still to be told
        self.took: list[float] = []
        self._configs: dict[str, configuration.Config] = {}
        self._where: dict[tuple[int, int], Place] = {}
        self._door_of: dict[Place, str] = {}

    # Who is where.

    def service(self, n: int) -> int:
        return min(n // self._per_service, self.services - 1)

    def zone(self, n: int) -> int:
        return n % self.zones

    def region(self, zone: int) -> int:
        return zone * self.regions // self.zones

    def called(self, service: int) -> list[int]:
        step = max(1, self.services // 7)
        return sorted({(service + 1 + k * step) % self.services for k in range(self.calls_each)})

    def line(self, n: int, lifecycle: str = "Ready") -> dict[str, Any]:
        return {
            "instanceId": f"s-{n:08x}",
            "hostPort": f"10.{n >> 14}.{(n >> 7) & 127}.{(n & 127) + 1}:8000",
            "zone": f"z{self.zone(n)}",
            "machineType": "plain",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
            "service": f"svc-{self.service(n)}",
        }

    def _region_of(self, group: str) -> int:
        kind, _, number = group.partition("-")
        if kind == "zone":
            return self.region(int(number))
        if kind in ("region", "discovery"):
            return int(number)
        return 0 if kind == "origin" else self.region(self.zone(int(number)))

    def _delay(self, source: str, to: str) -> float:
        return self._near_s if self._region_of(source) == self._region_of(to) else self._far_s

    # Start.

    def start(self) -> None:
        net = self.net
        setattr(program, "time", SimpleNamespace(time=lambda: UNIX_AT_NOUGHT + self.loop.time()))  # noqa: B010
        setattr(program, "_bind_socket", _Socket)  # noqa: B010
        asyncio.set_event_loop(None)
        for region in range(self.regions):
            members = (n for n in range(self.size) if self.region(self.zone(n)) == region)
            discovery = Discovery(self.line(n) for n in members)
            self.discoveries.append(discovery)
            place = ("10.2.0.1", region + 1)
            net.listeners[place] = (f"discovery-{region}", lambda d=discovery: _Asked(d))  # type: ignore[misc]
        origin = net.free()
        regions = [(net.free(), net.free()) for _ in range(self.regions)]
        self._configure("origin", listen=origin, sources=[{"discovery": _text(own)} for _, own in regions])
        for region, (listen, own) in enumerate(regions):
            self._configure(
                f"region-{region}",
                listen=listen,
                own=_text(own),
                sources=[{"discovery": f"10.2.0.1:{region + 1}"}],
                above=[_text(origin)],
            )
        for zone in range(self.zones):
            doors = []
            for service in range(self.services):
                place = self._where[zone, service] = net.free()
                self._door_of[place] = f"zone-{zone}"
                names = [f"svc-{called}" for called in self.called(service)]
                doors.append({"listen": _text(place), "services": names})
            above = [(self.region(zone) + k) % self.regions for k in range(min(3, self.regions))]
            self._configure(
                f"zone-{zone}",
                listen=net.free(),
                doors=doors,
                above=[_text(regions[region][0]) for region in above],
            )
        for name in self._configs:
            self.launch(name)
        self.run(5.0)
        for n in range(self.size):
            zone, service = self.zone(n), self.service(n)
            others = [(zone + k) % self.zones for k in range(1, 3)]
            places = [self._where[one, service] for one in (zone, *others)]
            self.receivers.append(Receiver(self, n, places, f"sidecar-{n}"))
        for receiver in self.receivers:
            receiver.start(self.rng.random() * 5.0)
        self.settle(120.0)

    def _configure(self, name: str, listen: Place, **more: Any) -> None:
        text = {"name": name, "listen": _text(listen), "settings": self._settings, **more}
        self._configs[name] = configuration.parse(json.dumps(text).encode())

    def launch(self, name: str) -> None:
        """A tier's process begins."""
        log = self.logs.setdefault(name, io.BytesIO())

        async def begin() -> None:
            tier = self.tiers[name] = program.Tier(
                self._configs[name], Log(name, log), Random(self.rng.getrandbits(64))
            )
            await tier.start()

        self.loop.run_until_complete(self.loop.create_task(begin(), context=acting_as(name)))

    def kill(self, name: str) -> None:
        tier = self.tiers.pop(name)
        for task in tier._tasks:
            task.cancel()
        self.net.kill(name)
        self.run(0.0)

    async def reach(self, receiver: Receiver) -> None:
        await self.loop.create_connection(lambda: receiver, *receiver.places.current)

    # What happens.

    def run(self, seconds: float) -> None:
        self.loop.run_until_complete(self.loop.create_task(asyncio.sleep(seconds)))

    def settle(self, most_s: float) -> None:
        """Until every receiver holds a list. Raises AssertionError."""
        until = self.loop.time() + most_s
        while any(receiver.generation is None for receiver in self.receivers):
            assert self.loop.time() < until, "not all hold a list"
            self.run(0.5)

    def change(self, numbers: Iterable[int], lifecycle: str) -> None:
        """These change at one moment; `took` gets, for each and whom it concerns, how long that took."""
        by_region: dict[int, list[dict[str, Any]]] = {}
        now = self.loop.time()
        callers: dict[int, set[int]] = {}
        for n in numbers:
            line = self.line(n, lifecycle)
            by_region.setdefault(self.region(self.zone(n)), []).append(line)
            service = self.service(n)
            if service not in callers:
                callers[service] = {
                    receiver.number
                    for receiver in self.receivers
                    if service in self.called(self.service(receiver.number))
                }
            key = (str(line["instanceId"]), lifecycle)
            self._wanted[key] = now
            self._missing[key] = set(callers[service])
        for region, lines in by_region.items():
            self.discoveries[region].tell(lines)

    def note(self, receiver: Receiver, name: str, state: str) -> None:
        missing = self._missing.get((name, state))
        if missing is not None and receiver.number in missing:
            missing.discard(receiver.number)
            self.took.append(self.loop.time() - self._wanted[name, state])

    def note_call(self, receiver: Receiver) -> None:
        door = self._door_of.get(receiver.places.current, "")
        self.calls_at[door, int(self.loop.time() * 10)] += 1

    def note_whole(self, receiver: Receiver) -> None:
        door = self._door_of.get(receiver.places.current, "")
        self.wholes_at[door, int(self.loop.time() * 10)] += 1
        for (name, state), missing in self._missing.items():  # a whole list without it tells that too
            if state == "Gone" and receiver.number in missing:
                missing.discard(receiver.number)
                self.took.append(self.loop.time() - self._wanted[name, state])

    def missing(self) -> int:
        return sum(map(len, self._missing.values()))

    def told(self) -> dict[str, float]:
        """Median, p99 and last of what was told since; and begin anew."""
        took = sorted(self.took)
        self.took.clear()
        missed = self.missing()
        self._missing.clear()
        if not took:
            return {"told": 0, "missed": missed}
        return {
            "told": len(took),
            "missed": missed,
            "median_s": round(took[len(took) // 2], 3),
            "p99_s": round(took[math.ceil(0.99 * len(took)) - 1], 3),
            "last_s": round(took[-1], 3),
        }

    def until_told(self, most_s: float) -> None:
        until = self.loop.time() + most_s
        while self.missing() and self.loop.time() < until:
            self.run(0.1)

    def sent(self) -> dict[str, int]:
        """Bytes so far by kind of process."""
        found: Counter[str] = Counter()
        for group, size in self.net.sent.items():
            found[group.partition("-")[0]] += size
        return dict(found)

    def asked_whole(self) -> int:
        """Calls for a whole list by tiers, so far."""
        return sum(feed.full_requests for tier in self.tiers.values() for feed in tier._feeds)

    def events(self, name: str) -> int:
        mark = f'"event":"{name}"'.encode()
        return sum(log.getvalue().count(mark) for log in self.logs.values())

    def faults(self) -> list[str]:
        return [f"{one.number}: {fault}" for one in self.receivers for fault in one.faults]

    def agreed(self) -> bool:
        """Whether every receiver holds of its services just what the discoveries say."""
        truth: dict[str, dict[str, str]] = {}
        for discovery in self.discoveries:
            for line in discovery.lines.values():
                truth.setdefault(line["service"], {})[line["instanceId"]] = line["lifecycle"]
        parts: dict[int, dict[str, str]] = {}
        for receiver in self.receivers:
            service = self.service(receiver.number)
            if service not in parts:
                parts[service] = {}
                for called in self.called(service):
                    parts[service] |= truth.get(f"svc-{called}", {})
            if receiver.held != parts[service]:
                return False
        return True

    def until_agreed(self, most_s: float) -> float | None:
        """How long until they all do; None: not by then."""
        began = self.loop.time()
        while not self.agreed():
            if self.loop.time() - began >= most_s:
                return None
            self.run(0.1)
        return round(self.loop.time() - began, 1)

    def close(self) -> None:
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run(0.0)
        setattr(program, "time", time)  # noqa: B010
        setattr(program, "_bind_socket", _bound)  # noqa: B010
        self.loop.close()


_bound = program._bind_socket


def _text(place: Place) -> str:
    return f"{place[0]}:{place[1]}"


class Played:
    """The hard cases at one size, one after the other in one world."""

    def __init__(self, world: World, say: Callable[[str], None]) -> None:
        self.world, self._say = world, say
        self.cases: dict[str, dict[str, Any]] = {}
        self._random = Random(47)
        self._states: dict[int, str] = {}
        self._gone: set[int] = set()

    def play(self, hour_s: float) -> dict[str, dict[str, Any]]:
        began = time.monotonic()
        self.world.start()
        self._case("start", all_hold_s=round(self.world.loop.time(), 1))
        self.evenly("lone change", 20, 40.0)
        self.evenly("0.6 a second", 36, 60.0)
        self.evenly("6 a second", 60, 10.0)
        self.zone_lost()
        self.region_killed()
        self.zone_killed()
        self.region_cut(hour_s)
        self.all_lost()
        self._case("all", faults=len(self.world.faults()), crashed=self.world.events("crashed"))
        self.cases["all"]["processor_s"] = round(time.monotonic() - began, 1)
        return self.cases

    def _case(self, what: str, **more: Any) -> None:
        self.cases[what] = self.world.told() | more
        self._say(f"{self.world.size} {what}: {self.cases[what]}")

    def _some(self, region: int | None = None) -> int:
        """An endpoint that is there, of this region or of any."""
        while True:
            n = self._random.randrange(self.world.size)
            if n not in self._gone and region in (None, self.world.region(self.world.zone(n))):
                return n

    def _flip(self, region: int | None = None) -> None:
        n = self._some(region)
        state = self._states[n] = "Ready" if self._states.get(n) == "Terminating" else "Terminating"
        self.world.change([n], state)

    def evenly(self, what: str, count: int, seconds: float) -> None:
        before, calls = self.world.sent(), sum(one.calls for one in self.world.receivers)
        for _ in range(count):
            self._flip()
            self.world.run(seconds / count)
        self.world.until_told(20.0)
        sent = {kind: (size - before[kind]) / seconds for kind, size in self.world.sent().items()}
        called = sum(one.calls for one in self.world.receivers) - calls
        self._case(
            what,
            sidecar_out_bytes_per_s=round(sent["sidecar"] / self.world.size, 1),
            zone_out_bytes_per_s=round(sent["zone"] / self.world.zones),
            region_out_bytes_per_s=round(sent["region"] / self.world.regions),
            origin_out_bytes_per_s=round(sent["origin"]),
            sidecar_calls_per_s=round(called / self.world.size / seconds, 4),
        )

    def zone_lost(self) -> None:
        """All endpoints of a zone at one moment, and a lone drain elsewhere right behind."""
        world = self.world
        lost = [n for n in range(world.size) if world.zone(n) == world.zones // 2 and n not in self._gone]
        before, changes = world.sent(), sum(one.changes for one in world.receivers)
        world.change(lost, "Gone")
        self._gone.update(lost)
        world.run(0.001)
        drain = self._some((world.region(world.zones // 2) + 1) % world.regions)
        key = (f"s-{drain:08x}", "Terminating")
        at = world.loop.time()
        self._states[drain] = "Terminating"
        world.change([drain], "Terminating")
        while world._missing.get(key):
            world.run(0.01)
        drained = world.loop.time() - at
        world.until_told(30.0)
        sent = {kind: size - before[kind] for kind, size in world.sent().items()}
        self._case(
            "zone lost",
            endpoints=len(lost),
            drain_behind_s=round(drained, 2),
            answers=sum(one.changes for one in world.receivers) - changes,
            bytes_out=sent,
        )

    def region_killed(self) -> None:
        """The tier of region 0 dies; at once, and every second, something changes in another region."""
        world = self.world
        connects = Counter(world.net.connects)
        wholes = sum(one.wholes for one in world.receivers)
        world.kill("region-0")
        for _ in range(8):
            self._flip(1)
            world.run(1.0)
        world.until_told(30.0)
        below = [f"zone-{z}" for z in range(world.zones) if world.region(z) == 0]
        most = max(
            sum(world.net.connects[zone, f"region-{r}"] - connects[zone, f"region-{r}"] for zone in below)
            for r in range(1, world.regions)
        )
        self._case(
            "region's tier killed",
            zones_below=len(below),
            connections_at_a_neighbour=most,
            sidecars_told_whole=sum(one.wholes for one in world.receivers) - wholes,
        )
        world.launch("region-0")
        self._flip(0)
        world.run(90.0)
        world.until_told(60.0)
        self._case("region's tier back", agreed=world.agreed())

    def zone_killed(self) -> None:
        """The tier of zone 1 dies; its sidecars go to their next place."""
        world = self.world
        own = [one for one in world.receivers if world.zone(one.number) == 1]
        wholes, calls = Counter(world.wholes_at), Counter(world.calls_at)
        world.kill("zone-1")
        for _ in range(8):
            self._flip(2 % world.regions)
            world.run(1.0)
        world.until_told(30.0)
        whole = world.wholes_at - wholes
        called = world.calls_at - calls
        self._case(
            "zone's tier killed",
            sidecars=len(own),
            whole_answers=sum(whole.values()),
            most_whole_in_100_ms=max(whole.values(), default=0),
            most_calls_in_100_ms=max((n for (door, _), n in called.items() if door == "zone-2"), default=0),
            calls_a_sidecar=round(sum(called.values()) / len(own), 1),
        )
        world.launch("zone-1")
        world.run(10.0)

    def region_cut(self, seconds: float) -> None:
        """Region 1 is cut off from all others; things change on both sides."""
        world, net = self.world, self.world.net
        inside = {name for name in world._configs if name != "origin" and world._region_of(name) == 1}
        outside = set(world._configs) - inside
        tiers = [(a, b) for a in inside for b in outside]
        net.silent |= {pair for a, b in tiers for pair in ((a, b), (b, a))}
        count = 0
        while count < seconds * 0.6:
            count += 1
            self._flip()
            world.run(1 / 0.6)
        wholes = sum(one.wholes for one in world.receivers)
        answers = sum(one.changes for one in world.receivers)
        asked = world.asked_whole()
        before = world.sent()
        pending = world.missing()
        net.heal()
        took = world.until_agreed(120.0)
        sent = {kind: size - before[kind] for kind, size in world.sent().items()}
        self._case(
            "region cut off",
            seconds=seconds,
            changes=count,
            told_late=pending,
            agreed_after_s=took,
            sidecars_told_whole=sum(one.wholes for one in world.receivers) - wholes,
            answers_to_sidecars=sum(one.changes for one in world.receivers) - answers,
            tiers_asked_whole=world.asked_whole() - asked,
            bytes_out=sent,
        )

    def all_lost(self) -> None:
        """Every tier is gone for a while, and all come back at one moment with nothing kept."""
        world = self.world
        names = list(world.tiers)
        held = {one.number: dict(one.held) for one in world.receivers}
        for name in names:
            world.kill(name)
        world.run(OUT_S)
        kept = all(one.held == held[one.number] for one in world.receivers)
        wholes, faults = Counter(world.wholes_at), len(world.faults())
        failed = sum(one.failures for one in world.receivers)
        began = world.loop.time()
        for name in names:
            world.launch(name)
        self._flip()
        took = world.until_agreed(300.0)
        world.run(5.0)  # those whose part was as it had been are told it too
        whole = world.wholes_at - wholes
        origin = world.tiers["origin"]
        seconds = world.loop.time() - began
        self._case(
            "all tiers lost",
            kept=kept,
            agreed_after_s=took,
            origin_whole_answers=origin.full_answers,
            origin_calls_per_s=round(origin.calls / seconds, 1),
            sidecars_told_whole=sum(whole.values()),
            most_whole_at_a_zone_in_100_ms=max(whole.values(), default=0),
            failed_calls_a_sidecar=round(
                (sum(one.failures for one in world.receivers) - failed) / world.size, 2
            ),
            faults=len(world.faults()) - faults,
        )


def main() -> int:
    parser = argparse.ArgumentParser(description="the tiers' program in virtual time")
    parser.add_argument("--sizes", default="1000,4000,12000")
    parser.add_argument("--hour", type=float, default=3600.0, help="seconds that a region is cut off")
    parser.add_argument("--out", type=Path, default=RUNS_FOLDER)
    words = parser.parse_args()

    def say(text: str) -> None:
        print(f"{time.strftime('%H:%M:%S')} {text}", file=sys.stderr, flush=True)

    for size in map(int, words.sizes.split(",")):
        world = World(size)
        try:
            told = Played(world, say).play(words.hour)
        finally:
            world.close()
        write_json(
            words.out / f"way-virtual-{size}.json", {"size": size, "commit": source_commit(), "cases": told}
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
