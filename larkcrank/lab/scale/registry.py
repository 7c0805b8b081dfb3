"""The stand-in for discovery at scale: one list, many watchers, and an account of what they cost.

What a good discovery does: an answer is made once for all watchers that are as far (one for each `after`),
and written to all of them in the turn of the loop in which the change came; a change of many lines at once is
one answer. It keeps no connection's task: a watcher is an entry in a table. The fleet bench's stand-in
(`lab/registry.py`) makes each sidecar an answer of its own, since it can lie to some.

A process (`python -m larkcrank.lab.scale.registry`) reads its `Spec` as the first line of standard input and
tells where it listens, then takes orders: `change`, `waiting`, `account`. It ends with its standard input.
"""

import asyncio
import math
import re
import resource
import time
from collections.abc import Iterator
from typing import Any, Literal, cast

import msgspec
import uvloop

from larkcrank.lab.scale.children import ChildProcess, CommandChannel
from larkcrank.lab.scale.hollow import CHANGE_NUMBER_SCALE
from larkcrank.protocol import http1
from larkcrank.protocol.discovery import LIST_TARGET

BACKLOG = 4096
MAX_RECORDED_CHANGES = 4096  # changes whose times are kept to be told
MAX_LOGGED_CHANGES = 20_000  # changes that a watcher may be behind: beyond, it is told the whole list
_WATCH = re.compile(rb"after=(\d+)(?:&wait_ms=(\d+))?")


class Spec(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """What a registry process is told."""

    endpoints: int
    services: int = 1  # endpoint number n is of service n modulo these
    zones: list[str] = msgspec.field(default_factory=lambda: ["here"])  # endpoints take them in turn


class ListedEndpoint(msgspec.Struct, rename="camel"):
    """An entry of the list, as discovery's protocol has it."""

    instance_id: str
    host_port: str
    zone: str
    cell: int  # its service
    machine_type: str = "plain"
    lifecycle: str = "Ready"
    weight: float = 1.0  # 1 + the number of its last change / TAG
    started_at_ms: float = 0.0


class RegistryStats(msgspec.Struct, kw_only=True):
    """What it did since it began."""

    cpu_s: float
    rss_mib: float
    connections: int  # open now
    waiting: int  # of these, with a watch under way
    watches: int  # calls so far
    lists: int  # calls for the whole list
    bytes_out: int  # handed to the kernel, heads and bodies
    made: int  # answers that were encoded; each was shared by all that were as far
    whole_bytes: int  # of the list as it is
    generation: int
    # By change: monotonic seconds at which it was made, and written to all that waited.
    told: dict[int, tuple[float, float]]
    # By the last change of each turn: when all that were told it had asked anew; a sidecar does so once the
    # list is in force.
    again: dict[int, float]


class EndpointList:
    """The list and its changes. No I/O.

    Generation g is the list after g changes; a change's number, in its line's weight, is the generation.
    """

    def __init__(self, spec: Spec) -> None:
        self.entries = [_line(spec, number) for number in range(spec.endpoints)]
        self.first_generation = 1  # the generation of the list as it was at first
        self.generation = 1
        self.encoded_count = 0
        self._log: list[int] = []  # whose line each change since changed
        self._next = 0
        self._answers: dict[int, bytes] = {}  # by `after`; -1: the whole list

    def change_next(self, lifecycle: str) -> int:
        """The next endpoint in turn is in another state; the change's number."""
        number = self._next % len(self.entries)
        self._next += 1
        return self.set_lifecycle(number, lifecycle)

    def set_lifecycle(self, number: int, lifecycle: str) -> int:
        """One endpoint is in this state, or in the other of `Ready` and `Terminating` where it is `flip`."""
        self.generation += 1
        line = self.entries[number]
        if lifecycle == "flip":
            lifecycle = "Terminating" if line.lifecycle == "Ready" else "Ready"
        self.entries[number] = msgspec.structs.replace(
            line, lifecycle=lifecycle, weight=1.0 + self.generation / CHANGE_NUMBER_SCALE
        )
        self._log.append(number)
        self._answers.clear()
        if len(self._log) > 2 * MAX_LOGGED_CHANGES:
            self.first_generation += len(self._log) - MAX_LOGGED_CHANGES
            del self._log[:-MAX_LOGGED_CHANGES]
        return self.generation

    def discard_log(self) -> None:
        """Of what has changed so far nothing is known: who is behind is told the whole list."""
        self.first_generation += len(self._log)
        self._log.clear()
        self._answers.clear()

    def response_after(self, after: int | None) -> bytes:
        """HTTP's answer to who is as far as `after`; None, or out of the log's reach: the whole list."""
        reach = after is not None and self.first_generation <= after <= self.generation
        key = after if reach and after is not None else -1
        found = self._answers.get(key)
        if found is None:
            found = self._answers[key] = http1.response_bytes(200, (), self._body(key))
            self.encoded_count += 1
        return found

    def _body(self, after: int) -> bytes:
        whole = after < 0
        changed = (
            dict.fromkeys(self._log[after - self.first_generation :])
            if not whole
            else range(len(self.entries))
        )
        lines = [self.entries[number] for number in changed]
        if whole:
            lines = [line for line in lines if line.lifecycle != "Gone"]
        return msgspec.json.encode({"generation": self.generation, "reset": whole, "instances": lines})


def _line(spec: Spec, number: int) -> ListedEndpoint:
    place = f"127.{200 + (number >> 14) % 50}.{(number >> 7) & 127}.{(number & 127) + 1}:8000"
    zone = spec.zones[number % len(spec.zones)]
    return ListedEndpoint(f"s-{number:08x}", place, zone, number % spec.services)


class Registry:
    """Serves the list to watchers."""

    def __init__(self, listed: EndpointList) -> None:
        self.endpoint_list = listed
        self.connections = self.watches = self.lists = self.bytes_out = 0
        self.written_times: dict[int, tuple[float, float]] = {}
        self.reasked_times: dict[int, float] = {}
        self._waiting: dict[_Connection, int] = {}  # who waits, and how far it is
        self._owing: dict[_Connection, int] = {}  # who was told a change, and which, and has not asked since
        self._left: dict[int, int] = {}  # by change: how many of them

    def stats(self) -> RegistryStats:
        used = resource.getrusage(resource.RUSAGE_SELF)
        with open("/proc/self/statm") as file:
            resident = int(file.read().split()[1]) * resource.getpagesize()
        return RegistryStats(
            cpu_s=used.ru_utime + used.ru_stime,
            rss_mib=resident / (1 << 20),
            connections=self.connections,
            waiting=len(self._waiting),
            watches=self.watches,
            lists=self.lists,
            bytes_out=self.bytes_out,
            made=self.endpoint_list.encoded_count,
            whole_bytes=len(self.endpoint_list.response_after(None)),
            generation=self.endpoint_list.generation,
            told=dict(self.written_times),
            again=dict(self.reasked_times),
        )

    @property
    def waiting_count(self) -> int:
        """Watches under way."""
        return len(self._waiting)

    def change(self, count: int, lifecycle: str, whole: bool = False) -> list[int]:
        """So many lines change at once, and all that wait are told, `whole`: the whole list.

        The changes' numbers."""
        made_at = time.monotonic()
        numbers = [self.endpoint_list.change_next(lifecycle) for _ in range(count)]
        if whole:
            self.endpoint_list.discard_log()
        waiting, self._waiting = self._waiting, {}
        for connection, after in waiting.items():
            self._came_back(connection)
            self._owing[connection] = numbers[-1]
            connection.send_response(self.endpoint_list.response_after(after))
        if waiting:
            self._left[numbers[-1]] = len(waiting)
        told_at = time.monotonic()
        self.written_times.update(dict.fromkeys(numbers, (made_at, told_at)))
        for times in (self.written_times, self.reasked_times):
            for number in list(times)[:-MAX_RECORDED_CHANGES]:
                del times[number]
        return numbers

    def _came_back(self, connection: "_Connection") -> None:
        number = self._owing.pop(connection, None)
        if number is not None:
            self._left[number] -= 1
            if not self._left[number]:
                del self._left[number]
                self.reasked_times[number] = time.monotonic()

    def handle_call(self, connection: "_Connection", after: int | None, wait_ms: float) -> None:
        """A call; answered now, or when there is something newer."""
        self._came_back(connection)
        if after is None:
            self.lists += 1
        else:
            self.watches += 1
        if after is None or after != self.endpoint_list.generation or wait_ms <= 0.0:
            connection.send_response(self.endpoint_list.response_after(after))
        else:
            self._waiting[connection] = after
            connection.start_wait_timer(wait_ms / 1000.0)

    def handle_wait_over(self, connection: "_Connection") -> None:
        """Its time is over, and nothing has changed."""
        after = self._waiting.pop(connection, None)
        if after is not None:
            connection.send_response(self.endpoint_list.response_after(after))

    def handle_connection_lost(self, connection: "_Connection") -> None:
        self._came_back(connection)
        self._waiting.pop(connection, None)


class _Connection(asyncio.Protocol):
    """One watcher."""

    def __init__(self, registry: Registry) -> None:
        self._registry = registry
        self._transport: asyncio.Transport | None = None
        self._buffer = b""
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._registry.connections += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self._registry.connections -= 1
        self._registry.handle_connection_lost(self)
        self._stop()

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        head, end, rest = self._buffer.partition(b"\r\n\r\n")
        if not end:
            if len(head) > 8192 and self._transport is not None:
                self._transport.abort()
            return
        self._buffer = rest
        target = head.split(b" ", 2)[1] if head.count(b" ") >= 2 else b""
        if not target.startswith(LIST_TARGET):
            self.send_response(http1.response_bytes(404, (), b""))
            return
        watch = _WATCH.search(target)
        if watch is None:
            self._registry.handle_call(self, None, 0.0)
        else:
            self._registry.handle_call(self, int(watch[1]), float(watch[2] or 0))

    def send_response(self, answer: bytes) -> None:
        self._stop()
        if self._transport is not None and not self._transport.is_closing():
            self._registry.bytes_out += len(answer)
            self._transport.write(answer)

    def start_wait_timer(self, wait_s: float) -> None:
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._registry.handle_wait_over, self)

    def _stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def change_schedule(count: int, each: int, over_s: float) -> Iterator[tuple[float, int]]:
    """When, from a beginning, how many lines change: `count` of them, `each` at once, evenly over so long."""
    times = math.ceil(count / each)
    for step in range(times):
        yield step * over_s / times, min(each, count - step * each)


async def _change(registry: Registry, order: dict[str, Any]) -> list[int]:
    loop, numbers = asyncio.get_running_loop(), list[int]()
    began = loop.time()
    for at, count in change_schedule(
        order["count"], order.get("each", order["count"]), order.get("over_s", 0.0)
    ):
        await asyncio.sleep(max(began + at - loop.time(), 0.0))
        numbers += registry.change(count, order.get("lifecycle", "flip"), order.get("whole", False))
    return numbers


async def _serve() -> None:
    commands = CommandChannel()
    await commands.open()
    registry = Registry(EndpointList(msgspec.json.decode(await commands.read_spec(), type=Spec)))
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: _Connection(registry), "127.0.0.1", 0, backlog=BACKLOG)
    host, port = server.sockets[0].getsockname()
    commands.send_event("ready", place=f"{host}:{port}")
    while (order := await commands.read_command()) is not None:
        match order["do"]:
            case "change":
                commands.send_event("change", numbers=await _change(registry, order))
            case "waiting":
                commands.send_event("waiting", count=registry.waiting_count)
            case "account":
                commands.send_event("account", account=registry.stats())
    server.close()


class RegistryProcess:
    """One registry in a process of its own. Who makes it closes it."""

    def __init__(self, spec: Spec) -> None:
        self.process = ChildProcess("registry", "larkcrank.lab.scale.registry", spec)

    async def start(self) -> str:
        """Its host:port."""
        await self.process.start()
        place: str = self.process.ready_message["place"]
        return place

    async def change(
        self,
        count: int = 1,
        each: int = 0,
        over_s: float = 0.0,
        lifecycle: Literal["flip", "Ready", "Terminating", "Gone"] = "flip",
        whole: bool = False,
    ) -> list[int]:
        """Change lines, endpoints in turn: `each` of them at once (0: all), evenly over so many seconds.

        `whole`: all that wait are told the whole list instead. The changes' numbers, once all of them were
        written to who waited.
        """
        more = {"over_s": over_s, "lifecycle": lifecycle, "whole": whole}
        told = await self.process.send_command("change", count=count, each=each or count, **more)
        numbers: list[int] = told["numbers"]
        return numbers

    async def waiting_count(self) -> int:
        """Watches under way; cheaper to ask than an account."""
        count: int = (await self.process.send_command("waiting"))["count"]
        return count

    async def stats(self) -> RegistryStats:
        return msgspec.convert(
            (await self.process.send_command("account"))["account"], RegistryStats, strict=False
        )

    async def close(self) -> None:
        await self.process.close()


if __name__ == "__main__":
    uvloop.run(_serve())
