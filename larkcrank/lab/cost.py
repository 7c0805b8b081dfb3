"""Measures the overhead of a link: round trips through a link compared with a direct connection."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from random import Random

import msgspec
import psutil
import uvloop
from hdrh.histogram import HdrHistogram

from larkcrank.lab.links import Link, LinkConnection, LinkDirection

MAX_ROUND_TRIP_US = 10_000_000
MESSAGE = b"x" * 200


class Cost(msgspec.Struct, frozen=True):
    """Time and CPU per sequential 200-byte round trip. CPU covers both ends and, if used, the link."""

    p50_us: float
    p99_us: float
    cpu_us: float


class _EchoProtocol(asyncio.Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.transport.write(data)  # type: ignore[attr-defined]


class _EchoHandler:
    def __init__(self, connection: LinkConnection) -> None:
        self._connection = connection

    def handle_data(self, data: bytes) -> None:
        self._connection.write(data)

    def handle_close(self) -> None:
        pass


async def _measure_round_trips(port: int, count: int) -> Cost:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    round_trip_us, process = HdrHistogram(1, MAX_ROUND_TRIP_US, 3), psutil.Process()
    cpu_s = sum(process.cpu_times()[:2])
    for _ in range(count):
        started_at = time.perf_counter()
        writer.write(MESSAGE)
        await reader.readexactly(len(MESSAGE))
        round_trip_us.record_value(max(int((time.perf_counter() - started_at) * 1e6), 1))
    cpu_s = sum(process.cpu_times()[:2]) - cpu_s
    writer.close()
    p50, p99 = (round_trip_us.get_value_at_percentile(percentile) for percentile in (50.0, 99.0))
    return Cost(float(p50), float(p99), cpu_s / count * 1e6)


async def _measure_direct(count: int) -> Cost:
    server = await asyncio.get_running_loop().create_server(_EchoProtocol, "127.0.0.1", 0)
    try:
        return await _measure_round_trips(server.sockets[0].getsockname()[1], count)
    finally:
        server.close()


async def _measure_through_link(count: int) -> Cost:
    link = Link(LinkDirection(Random(1)), LinkDirection(Random(2)), _EchoHandler, time.monotonic)
    try:
        return await _measure_round_trips(link.ports[-1], count)
    finally:
        link.close()


def measure_link_cost(count: int) -> tuple[Cost, Cost]:
    """Measure direct and through a link, each after a warm-up of a tenth of `count`."""

    async def run_with_warm_up(measurement: Callable[[int], Awaitable[Cost]]) -> Cost:
        await measurement(max(count // 10, 1))
        return await measurement(count)

    def run_in_new_loop(measurement: Callable[[int], Awaitable[Cost]]) -> Cost:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(run_with_warm_up(measurement))

    return run_in_new_loop(_measure_direct), run_in_new_loop(_measure_through_link)
