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

from larkcrank.lab.scale.children import Child, Commands
from larkcrank.lab.scale.hollow import TAG
from larkcrank.protocol import http1
from larkcrank.protocol.discovery import LIST_TARGET

BACKLOG = 4096
TOLD_MOST = 4096  # changes whose times are kept to be told
LOG_MOST = 20_000  # changes that a watcher may be behind: beyond, it is told the whole list
_WATCH = re.compile(rb"after=(\d+)(?:&wait_ms=(\d+))?")


class Spec(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """What a registry process is told."""

    endpoints: int
    services: int = 1  # endpoint number n is of service n modulo these
    zones: list[str] = msgspec.field(default_factory=lambda: ["here"])  # endpoints take them in turn


class Line(msgspec.Struct, rename="camel"):
    """An entry of the list, as discovery's protocol has it."""

    instance_id: str
    host_port: str
    zone: str
    cell: int  # its service
    machine_type: str = "plain"
    lifecycle: str = "Ready"
    weight: float = 1.0  # 1 + the number of its last change / TAG
    started_at_ms: float = 0.0


class Account(msgspec.Struct, kw_only=True):
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


class Listed:
    """The list and its changes. No I/O.

    Generation g is the list after g changes; a change's number, in its line's weight, is the generation.
    """

    def __init__(self, spec: Spec) -> None:
        self.lines = [_line(spec, number) for number in range(spec.endpoints)]
        self.base = 1  # the generation of the list as it was at first
        self.generation = 1
        self.made = 0
        self._log: list[int] = []  # whose line each change since changed
        self._next = 0
        self._answers: dict[int, bytes] = {}  # by `after`; -1: the whole list

    def change(self, lifecycle: str) -> int:
        """The next endpoint in turn is in another state; the change's number."""
        number = self._next % len(self.lines)
        self._next += 1
        return self.set(number, lifecycle)

    def set(self, number: int, lifecycle: str) -> int:
        """One endpoint is in this state, or in the other of `Ready` and `Terminating` where it is `flip`."""
        self.generation += 1
        line = self.lines[number]
        if lifecycle == "flip":
            lifecycle = "Terminating" if line.lifecycle == "Ready" else "Ready"
        self.lines[number] = msgspec.structs.replace(
            line, lifecycle=lifecycle, weight=1.0 + self.generation / TAG
        )
        self._log.append(number)
        self._answers.clear()
        if len(self._log) > 2 * LOG_MOST:
            self.base += len(self._log) - LOG_MOST
            del self._log[:-LOG_MOST]
        return self.generation

    def forget(self) -> None:
        """Of what has changed so far nothing is known: who is behind is told the whole list."""
        self.base += len(self._log)
        self._log.clear()
        self._answers.clear()

    def answer(self, after: int | None) -> bytes:
        """HTTP's answer to who is as far as `after`; None, or out of the log's reach: the whole list."""
        reach = after is not None and self.base <= after <= self.generation
        key = after if reach and after is not None else -1
        found = self._answers.get(key)
        if found is None:
            found = self._answers[key] = http1.encode_response(200, (), self._body(key))
            self.made += 1
        return found

    def _body(self, after: int) -> bytes:
        whole = after < 0
        changed = dict.fromkeys(self._log[after - self.base :]) if not whole else range(len(self.lines))
        lines = [self.lines[number] for number in changed]
        if whole:
            lines = [line for line in lines if line.lifecycle != "Gone"]
        return msgspec.json.encode({"generation": self.generation, "reset": whole, "instances": lines})


def _line(spec: Spec, number: int) -> Line:
    place = f"127.{200 + (number >> 14) % 50}.{(number >> 7) & 127}.{(number & 127) + 1}:8000"
    zone = spec.zones[number % len(spec.zones)]
    return Line(f"s-{number:08x}", place, zone, number % spec.services)


class Registry:
    """Serves the list to watchers."""

    def __init__(self, listed: Listed) -> None:
        self.listed = listed
        self.connections = self.watches = self.lists = self.bytes_out = 0
        self.told: dict[int, tuple[float, float]] = {}
        self.again: dict[int, float] = {}
        self._waiting: dict[_Connection, int] = {}  # who waits, and how far it is
        self._owing: dict[_Connection, int] = {}  # who was told a change, and which, and has not asked since
        self._left: dict[int, int] = {}  # by change: how many of them

    def account(self) -> Account:
        used = resource.getrusage(resource.RUSAGE_SELF)
        with open("/proc/self/statm") as file:
            resident = int(file.read().split()[1]) * resource.getpagesize()
        return Account(
            cpu_s=used.ru_utime + used.ru_stime,
            rss_mib=resident / (1 << 20),
            connections=self.connections,
            waiting=len(self._waiting),
            watches=self.watches,
            lists=self.lists,
            bytes_out=self.bytes_out,
            made=self.listed.made,
            whole_bytes=len(self.listed.answer(None)),
            generation=self.listed.generation,
            told=dict(self.told),
            again=dict(self.again),
        )

    @property
    def waiting(self) -> int:
        """Watches under way."""
        return len(self._waiting)

    def change(self, count: int, lifecycle: str, whole: bool = False) -> list[int]:
        """So many lines change at once, and all that wait are told, `whole`: the whole list.

        The changes' numbers."""
        made_at = time.monotonic()
        numbers = [self.listed.change(lifecycle) for _ in range(count)]
        if whole:
            self.listed.forget()
        waiting, self._waiting = self._waiting, {}
        for connection, after in waiting.items():
            self._came_back(connection)
            self._owing[connection] = numbers[-1]
            connection.tell(self.listed.answer(after))
        if waiting:
            self._left[numbers[-1]] = len(waiting)
        told_at = time.monotonic()
        self.told.update(dict.fromkeys(numbers, (made_at, told_at)))
        for times in (self.told, self.again):
            for number in list(times)[:-TOLD_MOST]:
                del times[number]
        return numbers

    def _came_back(self, connection: "_Connection") -> None:
        number = self._owing.pop(connection, None)
        if number is not None:
            self._left[number] -= 1
            if not self._left[number]:
                del self._left[number]
                self.again[number] = time.monotonic()

    def ask(self, connection: "_Connection", after: int | None, wait_ms: float) -> None:
        """A call; answered now, or when there is something newer."""
        self._came_back(connection)
        if after is None:
            self.lists += 1
        else:
            self.watches += 1
        if after is None or after != self.listed.generation or wait_ms <= 0.0:
            connection.tell(self.listed.answer(after))
        else:
            self._waiting[connection] = after
            connection.give_up_in(wait_ms / 1000.0)

    def waited(self, connection: "_Connection") -> None:
        """Its time is over, and nothing has changed."""
        after = self._waiting.pop(connection, None)
        if after is not None:
            connection.tell(self.listed.answer(after))

    def forget(self, connection: "_Connection") -> None:
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
        self._registry.forget(self)
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
            self.tell(http1.encode_response(404, (), b""))
            return
        watch = _WATCH.search(target)
        if watch is None:
            self._registry.ask(self, None, 0.0)
        else:
            self._registry.ask(self, int(watch[1]), float(watch[2] or 0))

    def tell(self, answer: bytes) -> None:
        self._stop()
        if self._transport is not None and not self._transport.is_closing():
            self._registry.bytes_out += len(answer)
            self._transport.write(answer)

    def give_up_in(self, wait_s: float) -> None:
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._registry.waited, self)

    def _stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def steps(count: int, each: int, over_s: float) -> Iterator[tuple[float, int]]:
    """When, from a beginning, how many lines change: `count` of them, `each` at once, evenly over so long."""
    times = math.ceil(count / each)
    for step in range(times):
        yield step * over_s / times, min(each, count - step * each)


async def _change(registry: Registry, order: dict[str, Any]) -> list[int]:
    loop, numbers = asyncio.get_running_loop(), list[int]()
    began = loop.time()
    for at, count in steps(order["count"], order.get("each", order["count"]), order.get("over_s", 0.0)):
        await asyncio.sleep(max(began + at - loop.time(), 0.0))
        numbers += registry.change(count, order.get("lifecycle", "flip"), order.get("whole", False))
    return numbers


async def _serve() -> None:
    commands = Commands()
    await commands.open()
    registry = Registry(Listed(msgspec.json.decode(await commands.spec(), type=Spec)))
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: _Connection(registry), "127.0.0.1", 0, backlog=BACKLOG)
    host, port = server.sockets[0].getsockname()
    commands.say("ready", place=f"{host}:{port}")
    while (order := await commands.next()) is not None:
        match order["do"]:
            case "change":
                commands.say("change", numbers=await _change(registry, order))
            case "waiting":
                commands.say("waiting", count=registry.waiting)
            case "account":
                commands.say("account", account=registry.account())
    server.close()


class RegistryProcess:
    """One registry in a process of its own. Who makes it closes it."""

    def __init__(self, spec: Spec) -> None:
        self.child = Child("registry", "larkcrank.lab.scale.registry", spec)

    async def start(self) -> str:
        """Its host:port."""
        await self.child.start()
        place: str = self.child.ready["place"]
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
        told = await self.child.call("change", count=count, each=each or count, **more)
        numbers: list[int] = told["numbers"]
        return numbers

    async def waiting(self) -> int:
        """Watches under way; cheaper to ask than an account."""
        count: int = (await self.child.call("waiting"))["count"]
        return count

    async def account(self) -> Account:
        return msgspec.convert((await self.child.call("account"))["account"], Account, strict=False)

    async def close(self) -> None:
        await self.child.close()


if __name__ == "__main__":
    uvloop.run(_serve())
