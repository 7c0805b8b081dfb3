"""Light receivers: they take an answer, note which changes it tells, and ask again. They hold no list.

Beside hollow sidecars they show what the way alone takes. A hollow sidecar spends some tenths of a
millisecond to a few on a change; in service each does so on a machine of its own, on a bench all share
a few processors, so that thousands concerned at one moment wait for each other.

A process (`python -m larkcrank.lab.scale.light`) reads the hollow sidecars' `Spec` and takes their orders; in
its `config` a `generation` says which they hold at first.
"""

import asyncio
import re
import time
from collections import deque
from typing import cast

import msgspec
import psutil
import uvloop

from larkcrank.lab.scale.children import ChildProcess, CommandChannel
from larkcrank.lab.scale.hollow import (
    CHANGE_NUMBER_SCALE,
    MAX_RECORDED_LISTS,
    AppliedList,
    HollowHosts,
    HollowReport,
    HostReport,
    HostSpec,
)
from larkcrank.lab.scale.machine import MIB
from larkcrank.protocol import http1
from larkcrank.protocol.discovery import LIST_TARGET, parse_host_port, watch_target

WAIT_MS = 60_000  # as a sidecar's
AGAIN_S = 1.0
_LENGTH = re.compile(rb"[Cc]ontent-[Ll]ength: (\d+)")
_GENERATION = re.compile(rb'"generation": ?(\d+)')
_WHOLE = re.compile(rb'"reset": ?true')
_WEIGHT = re.compile(rb'"weight": ?([0-9.e-]+)')


class Light(asyncio.Protocol):
    def __init__(self, number: int, place: tuple[str, int], generation: int | None = None) -> None:
        """With a `generation` it begins as one that holds it, and takes no whole list."""
        self.number = number
        self.serving: float | None = None
        self.began = time.monotonic()
        self.seen: deque[AppliedList] = deque(maxlen=MAX_RECORDED_LISTS)
        self.bytes_in = self.bytes_out = self.calls = self.failures = self.lines = 0
        self.generation = generation
        self._place = place
        self._transport: asyncio.Transport | None = None
        self._parts: list[bytes] = []
        self._missing = 0  # bytes of an answer that has begun
        self._task: asyncio.Task[None] | None = None
        self._closed = False

    async def connect(self) -> None:
        while True:
            try:
                await asyncio.get_running_loop().create_connection(lambda: self, *self._place)
                return
            except OSError:
                self.failures += 1
                await asyncio.sleep(AGAIN_S)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._parts, self._missing = [], 0
        self._ask()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        if not self._closed:
            self.failures += 1
            self._task = asyncio.get_running_loop().create_task(self.connect())

    def close(self) -> None:
        self._closed = True
        if self._task is not None:
            self._task.cancel()
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        self.bytes_in += len(data)
        self._parts.append(data)
        if self._missing:
            self._missing -= len(data)
            if self._missing > 0:
                return
        text = b"".join(self._parts)
        head, end, body = text.partition(b"\r\n\r\n")
        length = _LENGTH.search(head) if end else None
        if length is None:
            return
        if len(body) < int(length[1]):
            self._missing = int(length[1]) - len(body)
            self._parts = [text]
            return
        self._parts, self._missing = [], 0
        self._take(head, body)

    def _take(self, head: bytes, body: bytes) -> None:
        if not head.startswith(b"HTTP/1.1 200"):
            self.failures += 1
            asyncio.get_running_loop().call_later(AGAIN_S, self._ask)
            return
        found = _GENERATION.search(body)
        assert found is not None
        self.generation = int(found[1])
        tags = [round((float(weight) - 1.0) * CHANGE_NUMBER_SCALE) for weight in _WEIGHT.findall(body)]
        if tags:
            at, whole = time.monotonic(), _WHOLE.search(body) is not None
            self.serving = self.serving or at
            self.lines = len(tags) if whole else self.lines
            self.seen.append(AppliedList(at, self.generation, whole, len(tags), min(tags), max(tags)))
        self._ask()

    def _ask(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        target = LIST_TARGET if self.generation is None else watch_target(self.generation, WAIT_MS)
        request = http1.encode_request(
            b"GET", target, (b"Host: %s:%d" % (self._place[0].encode(), self._place[1]),)
        )
        self.calls += 1
        self.bytes_out += len(request)
        self._transport.write(request)
        if self.generation is not None:
            self.serving = self.serving or time.monotonic()

    def report(self) -> HollowReport:
        return HollowReport(
            number=self.number,
            began=self.began,
            serving=self.serving,
            servers=self.lines,
            generation=self.generation,
            seen=list(self.seen),
            unseen=0,
            bytes_in=self.bytes_in,
            bytes_out=self.bytes_out,
            calls=self.calls,
            failures=self.failures,
            crashed=0,
            events={},
        )


async def _serve() -> None:
    commands = CommandChannel()
    await commands.open()
    spec = msgspec.json.decode(await commands.read_spec(), type=HostSpec)
    numbers = range(spec.first, spec.first + spec.count)
    places = [parse_host_port(text) for text in spec.discovery]
    lights = [Light(n, places[n % len(places)], spec.config.get("generation")) for n in numbers]

    async def start() -> None:
        for light in lights:
            await light.connect()

    starting = asyncio.get_running_loop().create_task(start())
    commands.send_event("ready")
    process = psutil.Process()
    try:
        while (order := await commands.read_command()) is not None:
            match order["do"]:
                case "serving":
                    while not starting.done() or not all(light.serving for light in lights):
                        await asyncio.sleep(0.05)
                    starting.result()
                case "forget":
                    for light in lights:
                        light.seen.clear()
                case "report":
                    memory, times = process.memory_full_info(), process.cpu_times()
                    told = [] if order.get("brief") else [light.report() for light in lights]
                    commands.send_event(
                        "report",
                        report=HostReport(
                            process.pid, times.user + times.system, memory.rss / MIB, memory.uss / MIB, told
                        ),
                    )
                    continue
            commands.send_event(order["do"])
    finally:
        starting.cancel()
        for light in lights:
            light.close()


class LightHosts(HollowHosts):
    """As `HollowHosts`, with light receivers in place of sidecars."""

    def __init__(self, spec: HostSpec, each: int) -> None:
        super().__init__(spec, each)
        firsts = range(spec.first, spec.first + spec.count, each)
        self.hosts = [
            ChildProcess(
                f"light {index}",
                "larkcrank.lab.scale.light",
                msgspec.structs.replace(spec, first=first, count=min(each, spec.first + spec.count - first)),
            )
            for index, first in enumerate(firsts)
        ]


if __name__ == "__main__":
    uvloop.run(_serve())
