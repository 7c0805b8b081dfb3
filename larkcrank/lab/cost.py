"""What a link itself costs: round trips through one, beside the same without it."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from random import Random

import msgspec
import psutil
import uvloop
from hdrh.histogram import HdrHistogram

from larkcrank.lab.links import Link, LinkConnection, Way

MOST_US = 10_000_000
TEXT = b"x" * 200


class Cost(msgspec.Struct, frozen=True):
    """Round trips of 200 bytes, one after another, in microseconds; CPU is that of both ends and the link."""

    p50_us: float
    p99_us: float
    cpu_us: float


class _Back(asyncio.Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.transport.write(data)  # type: ignore[attr-defined]


class _End:
    def __init__(self, link: LinkConnection) -> None:
        self._link = link

    def data(self, data: bytes) -> None:
        self._link.write(data)

    def lost(self) -> None:
        pass


async def _times(port: int, count: int) -> Cost:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    taken, process = HdrHistogram(1, MOST_US, 3), psutil.Process()
    cpu = sum(process.cpu_times()[:2])
    for _ in range(count):
        began = time.perf_counter()
        writer.write(TEXT)
        await reader.readexactly(len(TEXT))
        taken.record_value(max(int((time.perf_counter() - began) * 1e6), 1))
    cpu = sum(process.cpu_times()[:2]) - cpu
    writer.close()
    p50, p99 = (taken.get_value_at_percentile(share) for share in (50.0, 99.0))
    return Cost(float(p50), float(p99), cpu / count * 1e6)


async def _without(count: int) -> Cost:
    server = await asyncio.get_running_loop().create_server(_Back, "127.0.0.1", 0)
    try:
        return await _times(server.sockets[0].getsockname()[1], count)
    finally:
        server.close()


async def _through(count: int) -> Cost:
    link = Link(Way(Random(1)), Way(Random(2)), _End, time.monotonic)
    try:
        return await _times(link.ports[-1], count)
    finally:
        link.close()


def measure(count: int) -> tuple[Cost, Cost]:
    """Without a link and through one, each after a warm-up of a tenth."""

    async def run(what: Callable[[int], Awaitable[Cost]]) -> Cost:
        await what(max(count // 10, 1))
        return await what(count)

    def play(what: Callable[[int], Awaitable[Cost]]) -> Cost:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(run(what))

    return play(_without), play(_through)
