"""Plays a series: at each size the processes are started, their costs read, and all of them ended.

Processor times are the processes' own clocks, so another's load hardly moves them; wall times are only as
good as the machine was quiet.
"""

import asyncio
import contextlib
import statistics
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import chain
from pathlib import Path
from typing import Literal

import psutil

from larkcrank.lab.processes import Child as SidecarProcess
from larkcrank.lab.scale import machine
from larkcrank.lab.scale.children import close_all
from larkcrank.lab.scale.hollow import HollowHosts, HollowReport, HostReport
from larkcrank.lab.scale.hollow import HostSpec as HollowSpec
from larkcrank.lab.scale.registry import RegistryProcess, RegistryStats
from larkcrank.lab.scale.registry import Spec as RegistrySpec
from larkcrank.lab.scale.series import Series
from larkcrank.lab.settings import SETTINGS, merged

POLL_S = 0.02
WATCHERS_POLL_S = 0.1  # where discovery's own processor time is measured, it is asked less often
CONDITION_TIMEOUT_S = 180.0  # for all sidecars to watch, and for all members to be seen
WATCHERS_CONNECT_TIMEOUT_MS = 60_000.0  # by watchers, to connect: it is not the connecting that is measured
SidecarKind = Literal["hollow", "real"]
ProgressCallback = Callable[[str], None]


class MeasureError(Exception):
    """A run came to no end; the message says what was waited for."""


@dataclass(slots=True, frozen=True)
class CostMetric:
    """What is measured; the slug is the first part of its slope's name."""

    slug: str
    role: Literal["sidecar", "discovery", "view", "path"]
    description: str
    unit: str


COST_METRICS = {
    one.slug: one
    for one in (
        CostMetric("sidecar-memory", "sidecar", "resident memory", "MiB"),
        CostMetric("sidecar-start-cpu", "sidecar", "processor time until the first list is in force", "ms"),
        CostMetric("sidecar-start", "sidecar", "time from start to serving", "ms"),
        CostMetric("sidecar-idle", "sidecar", "idle processor time", "% of a core"),
        CostMetric("sidecar-change-cpu", "sidecar", "processor time a lone change", "ms"),
        CostMetric("sidecar-change-bytes", "sidecar", "bytes received a lone change", "B"),
        CostMetric("sidecar-in-force", "sidecar", "time until a lone change is in force", "ms"),
        CostMetric("sidecar-burst-cpu", "sidecar", "processor time a burst told at once", "ms"),
        CostMetric("sidecar-burst-bytes", "sidecar", "bytes received a burst told at once", "B"),
        CostMetric("sidecar-list-bytes", "sidecar", "bytes received until the first list is in force", "B"),
        CostMetric("member-datagrams", "view", "datagrams sent by a member a second, calm", "1/s"),
        CostMetric("member-bytes", "view", "bytes of datagrams sent by a member a second, calm", "B/s"),
        CostMetric("discovery-calls", "discovery", "calls a lone change", "calls"),
        CostMetric("discovery-connections", "discovery", "open connections", "connections"),
        CostMetric("discovery-cpu", "discovery", "processor time a lone change", "ms"),
        CostMetric("discovery-bytes", "discovery", "bytes sent a lone change", "B"),
        CostMetric("discovery-memory", "discovery", "resident memory", "MiB"),
        CostMetric("discovery-write", "discovery", "time until a lone change is written to all", "ms"),
        CostMetric("discovery-whole-bytes", "discovery", "bytes sent when all are told the whole list", "B"),
        CostMetric(
            "discovery-whole-cpu", "discovery", "processor time when all are told the whole list", "ms"
        ),
        CostMetric("path-median", "path", "time until a lone change is in force, median of all", "ms"),
        CostMetric("path-last", "path", "time until a lone change is in force, last of all", "ms"),
    )
}


@dataclass(slots=True)
class Measurements:
    """Points by cost, then by size."""

    hollow: dict[str, dict[int, list[float]]] = field(default_factory=dict)
    real: dict[str, dict[int, list[float]]] = field(default_factory=dict)
    cpu_s: float = 0.0  # of all processes that were started

    def add(self, how: SidecarKind, size: int, found: dict[str, float]) -> None:
        points = self.hollow if how == "hollow" else self.real
        for slug, value in found.items():
            points.setdefault(slug, {}).setdefault(size, []).append(value)


async def measure_series(series: Series, say: ProgressCallback) -> Measurements:
    """Measure all sizes, one after another. Whatever happens, no process is left.

    Raises `MeasureError`, `ChildError`, `ProcessError`, `LimitError`.
    """
    measured = Measurements()
    if series.by == "watchers":
        for size in series.sizes:
            await _by_watchers(series, size, measured, say)
        return measured
    for size, repeat in measurement_order(series.sizes, series.repeats):
        said = f"{series.by} {size}, repeat {repeat + 1}"
        say(f"{said}, hollow")
        measured.add("hollow", size, await _hollow(series, size, measured))
        if series.real and size in (series.real_sizes or series.sizes):
            say(f"{said}, real")
            measured.add("real", size, await _real(series, size, measured))
    return measured


def measurement_order(sizes: Sequence[int], repeats: int) -> Iterator[tuple[int, int]]:
    """All sizes, then all again, the other way round: what the machine does besides changes with time, and
    would else look like a cost of the sizes that came last."""
    for repeat in range(repeats):
        for size in sizes if repeat % 2 == 0 else reversed(sizes):
            yield size, repeat


async def _hollow(series: Series, size: int, measured: Measurements) -> dict[str, float]:
    """The costs of one sidecar, from several hollow ones of a process."""
    count = series.sidecar_count(size)
    async with contextlib.AsyncExitStack() as stack:
        (registry,) = await stack.enter_async_context(_registries(series, size, 1, measured))
        hosts = await stack.enter_async_context(_hosts(series, size, [registry], measured))
        await hosts.wait_until_serving()
        await _all_watch([registry], count)
        started = hosts.cpu_s() - sum(host.ready_message["cpu_s"] for host in hosts.hosts)
        account = await registry.stats()
        if series.by == "members":
            await _all_seen(hosts, count)
        await asyncio.sleep(series.settle)
        await hosts.collect_garbage()
        reports = await hosts.collect()
        empty = sum(host.ready_message["rss_mib"] for host in hosts.hosts)
        starts = [one.serving - one.began for one in _each(reports) if one.serving is not None]
        found = {
            "sidecar-memory": (sum(host.rss_mib for host in reports) - empty) / count,
            "sidecar-start-cpu": started / count * 1000.0,
            "sidecar-start": statistics.median(starts) * 1000.0,
            "sidecar-list-bytes": account.bytes_out / count,
        }
        before, began = hosts.cpu_s(), time.monotonic()
        await asyncio.sleep(series.idle)
        spent, took = hosts.cpu_s() - before, time.monotonic() - began
        found["sidecar-idle"] = spent / took / count * 100.0
        if series.by == "members":
            sent = [_sent(one) for one in (reports, await hosts.collect())]
            took = time.monotonic() - began
            found["member-datagrams"] = (sent[1][0] - sent[0][0]) / took / count
            found["member-bytes"] = (sent[1][1] - sent[0][1]) / took / count
            return found
        await hosts.stop_heartbeats()
        await hosts.clear_applied_lists()
        told, numbers = await _change(series, size, registry, count, hosts.cpu_s, 0.0)
        reports = await hosts.collect()
        delays = _delays(_each(reports), [(await registry.stats())], numbers)
        found["sidecar-in-force"] = statistics.median(chain.from_iterable(delays)) * 1000.0
        return found | told


async def _real(series: Series, size: int, measured: Measurements) -> dict[str, float]:
    """The same of processes of the program as they are run in service, with nobody to serve."""
    count = series.real
    with tempfile.TemporaryDirectory(prefix="larkcrank-scale-") as folder:
        async with _registries(series, size, 1, measured) as (registry,):
            children = [SidecarProcess(n, Path(folder), [], lambda *_: None) for n in range(count)]
            config = {
                "discovery": registry.place,
                "settings": merged(SETTINGS, series.settings),
                "limits": {"sockets": 1024, "memory_mb": 192.0},
            }

            def cpu_s() -> float:
                return sum(machine.cpu_s(child.pid) for child in children if child.pid is not None)

            try:
                for child in children:
                    await child.start(config | {"name": f"real-{child.index}"})
                await _all_watch([registry], count)
                started, account = cpu_s(), await registry.stats()
                await asyncio.sleep(series.settle)
                held = [psutil.Process(child.pid).memory_info().rss for child in children]
                found = {
                    "sidecar-memory": sum(held) / count / machine.MIB,
                    "sidecar-start-cpu": started / count * 1000.0,
                    "sidecar-start": statistics.median(child.started_s for child in children) * 1000.0,
                    "sidecar-list-bytes": account.bytes_out / count,
                }
                before, began = cpu_s(), time.monotonic()
                await asyncio.sleep(series.idle)
                idle = (cpu_s() - before) / (time.monotonic() - began)
                found["sidecar-idle"] = idle / count * 100.0
                told, _ = await _change(series, size, registry, count, cpu_s, idle)
                measured.cpu_s += cpu_s()
                return found | told
            finally:
                for child in children:
                    await child.close()


async def _change(
    series: Series,
    size: int,
    registry: "_Registry",
    count: int,
    cpu_s: Callable[[], float],
    idle: float,
) -> tuple[dict[str, float], list[int]]:
    """What lone changes and a burst cost each of so many sidecars, and the lone ones' numbers.

    `idle`: processor time a second that they take anyway, which is taken off.
    """

    async def told(changes: int, lines: int) -> tuple[float, float, list[int]]:
        numbers, bytes_out = list[int](), (await registry.stats()).bytes_out
        before, began = cpu_s(), time.monotonic()
        for _ in range(changes):
            numbers += await registry.change(lines)
            await _all_watch([registry], count)
            await asyncio.sleep(series.gap)
        spent = cpu_s() - before - idle * (time.monotonic() - began)
        received = (await registry.stats()).bytes_out - bytes_out
        return spent / count * 1000.0, received / count, numbers

    cpu_ms, received, numbers = await told(series.changes, 1)
    found = {
        "sidecar-change-cpu": cpu_ms / series.changes,
        "sidecar-change-bytes": received / series.changes,
    }
    if 0 < series.burst <= series.listed_endpoints(size):
        found["sidecar-burst-cpu"], found["sidecar-burst-bytes"], _ = await told(1, series.burst)
    return found, numbers


# Discovery's costs


async def _by_watchers(series: Series, size: int, measured: Measurements, say: ProgressCallback) -> None:
    """All sidecars are started once; the repeats are rounds of changes."""
    parts = -(-size // machine.available_resources().descriptors)
    async with _registries(series, size, parts, measured) as registries:
        say(f"watchers {size}: starting, discovery in {parts} processes")
        async with _hosts(series, size, registries, measured) as hosts:
            await hosts.wait_until_serving()
            await _all_watch(registries, size)
            await hosts.collect_garbage()
            await asyncio.sleep(series.settle)
            for repeat in range(series.repeats):
                say(f"watchers {size}, round {repeat + 1}")
                await hosts.clear_applied_lists()
                measured.add("hollow", size, await _round(series, registries, size, hosts))


async def _round(
    series: Series, registries: "Sequence[_Registry]", size: int, hosts: HollowHosts
) -> dict[str, float]:
    def cpu_s() -> float:
        return sum(registry.process.cpu_s() for registry in registries)

    async def told(whole: bool) -> list[int]:
        numbers = await asyncio.gather(*(registry.change(whole=whole) for registry in registries))
        await _all_watch(registries, size, WATCHERS_POLL_S)
        return numbers[0]  # the registries count alike

    async def accounts() -> list[RegistryStats]:
        return [await registry.stats() for registry in registries]

    def grown(key: str) -> float:
        pairs = zip(after, before, strict=True)
        return float(sum(getattr(new, key) - getattr(old, key) for new, old in pairs))

    before, began, hosts_began = await accounts(), cpu_s(), hosts.cpu_s()
    numbers = list[int]()
    for _ in range(series.changes):
        numbers += await told(False)
        await asyncio.sleep(series.gap)
    spent, hosts_spent = cpu_s() - began, hosts.cpu_s() - hosts_began
    after = await accounts()
    delays = _delays(_each(await hosts.collect()), after, numbers)
    times = [one.told[number] for one in after for number in numbers]
    found = {
        "sidecar-change-cpu": hosts_spent / series.changes / size * 1000.0,
        "discovery-calls": grown("watches") / series.changes,
        "discovery-connections": float(sum(one.connections for one in after)),
        "discovery-cpu": spent / series.changes * 1000.0,
        "discovery-bytes": grown("bytes_out") / series.changes,
        "discovery-memory": sum(one.rss_mib for one in after),
        "discovery-write": statistics.median(written - made for made, written in times) * 1000.0,
        "path-median": statistics.median(chain.from_iterable(delays)) * 1000.0,
        "path-last": statistics.median(map(max, delays)) * 1000.0,
    }
    before, began = await accounts(), cpu_s()
    await told(True)
    spent, after = cpu_s() - began, await accounts()
    return found | {
        "discovery-whole-cpu": spent * 1000.0,
        "discovery-whole-bytes": grown("bytes_out"),
    }


# What a size needs


class _Registry(RegistryProcess):
    place = ""


@contextlib.asynccontextmanager
async def _registries(
    series: Series, size: int, parts: int, measured: Measurements
) -> AsyncIterator[list[_Registry]]:
    services = size if series.by == "services" else 1
    spec = RegistrySpec(endpoints=series.listed_endpoints(size), services=services)
    registries = [_Registry(spec) for _ in range(parts)]
    try:
        for registry in registries:
            registry.place = await registry.start()
        yield registries
    finally:
        measured.cpu_s += sum(one.process.cpu_s() for one in registries if one.process.is_started)
        await close_all([one.process for one in registries])


@contextlib.asynccontextmanager
async def _hosts(
    series: Series, size: int, registries: Sequence[_Registry], measured: Measurements
) -> AsyncIterator[HollowHosts]:
    settings = series.settings
    if series.by == "watchers":
        settings = merged(settings, {"bounds": {"connect-timeout-ms": WATCHERS_CONNECT_TIMEOUT_MS}})
    if series.by == "members":
        settings = merged(settings, {"bounds": {"peers": True}})
    spec = HollowSpec(
        count=series.sidecar_count(size),
        discovery=[registry.place for registry in registries],
        settings=settings,
        config={"fleet": series.fleet} if series.by == "members" else {},
        beats=series.by != "watchers",
        spread_s=series.spread,
        seed=series.seed,
    )
    hosts = HollowHosts(spec, series.each)
    try:
        await hosts.start()
        yield hosts
    finally:
        measured.cpu_s += hosts.cpu_s()
        await hosts.close()


async def _all_watch(registries: Sequence[_Registry], count: int, look_s: float = POLL_S) -> None:
    """Until all of them wait at discovery: what it told is in force then."""
    what = f"{count} sidecars watching"
    await _until(what, lambda: _sum_waiting(registries), lambda found: found >= count, look_s)


async def _sum_waiting(registries: Sequence[_Registry]) -> int:
    return sum([await registry.waiting_count() for registry in registries])


async def _all_seen(hosts: HollowHosts, count: int) -> None:
    """Until all members see all of them."""

    async def least() -> int:
        return min(one.live for one in _each(await hosts.collect()))

    await _until(f"{count} members in every view", least, lambda found: found == count, 0.5)


async def _until(
    what: str,
    look: Callable[[], Coroutine[None, None, int]],
    true: Callable[[int], bool],
    look_s: float = POLL_S,
) -> None:
    until = time.monotonic() + CONDITION_TIMEOUT_S
    while not true(found := await look()):
        if time.monotonic() > until:
            raise MeasureError(f"not in {CONDITION_TIMEOUT_S:.0f} s: {what}; it was {found}")
        await asyncio.sleep(look_s)


def _each(reports: Sequence[HostReport]) -> list[HollowReport]:
    return [hollow for host in reports for hollow in host.hollows]


def _sent(reports: Sequence[HostReport]) -> tuple[int, int]:
    """Datagrams and their bytes that members have sent."""
    told = [one.together["fleet"] for one in _each(reports)]
    return sum(one["datagrams_out"] for one in told), sum(one["bytes_out"] for one in told)


def _delays(
    hollows: Sequence[HollowReport], accounts: Sequence[RegistryStats], numbers: Sequence[int]
) -> list[list[float]]:
    """By change: how long each sidecar took to have it in force since it was made (seconds)."""
    found = []
    for number in numbers:
        delays = []
        for hollow in hollows:
            at = hollow.applied_at(number)
            if at is None:
                raise MeasureError(f"sidecar {hollow.number} never had change {number} in force")
            delays.append(at - accounts[hollow.number % len(accounts)].told[number][0])
        found.append(delays)
    return found
