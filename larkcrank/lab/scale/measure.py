"""Measures a series: at each size it starts the processes, reads their costs, and ends all of them.

Processor times come from the CPU clocks of the processes, so the load of other processes hardly changes them.
Wall times are reliable only on an idle machine.
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

from larkcrank.lab.processes import SidecarProcess
from larkcrank.lab.scale import machine
from larkcrank.lab.scale.children import close_all
from larkcrank.lab.scale.hollow import HollowHosts, HollowReport, HostReport, HostSpec
from larkcrank.lab.scale.registry import RegistryProcess, RegistryStats
from larkcrank.lab.scale.registry import Spec as RegistrySpec
from larkcrank.lab.scale.series import Series
from larkcrank.lab.settings import BASE_SETTINGS, merge_settings

POLL_S = 0.02
WATCHERS_POLL_S = 0.1  # longer, because polls add to discovery's measured processor time
CONDITION_TIMEOUT_S = 180.0
WATCHERS_CONNECT_TIMEOUT_MS = 60_000.0  # long, because many connect at once and that isn't measured
SidecarKind = Literal["hollow", "real"]
ProgressCallback = Callable[[str], None]


class MeasureError(Exception):
    """A measurement did not finish. The message names the condition that was not met."""


@dataclass(slots=True, frozen=True)
class CostMetric:
    """A cost that is measured. Its name is the first part of the names of its slopes."""

    name: str
    role: Literal["sidecar", "discovery", "view", "path"]
    description: str
    unit: str


COST_METRICS = {
    metric.name: metric
    for metric in (
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
    """Measured values by cost metric, then by size: one for each repeat."""

    hollow: dict[str, dict[int, list[float]]] = field(default_factory=dict)
    real: dict[str, dict[int, list[float]]] = field(default_factory=dict)
    cpu_s: float = 0.0  # processor time of all started processes

    def add(self, kind: SidecarKind, size: int, costs: dict[str, float]) -> None:
        costs_by_metric = self.hollow if kind == "hollow" else self.real
        for name, value in costs.items():
            costs_by_metric.setdefault(name, {}).setdefault(size, []).append(value)


async def measure_series(series: Series, report_progress: ProgressCallback) -> Measurements:
    """Measures all sizes, one after another. All processes are ended, also after an error.

    Raises `MeasureError`, `ChildError`, `ProcessError`, `LimitError`.
    """
    measurements = Measurements()
    if series.by == "watchers":
        for size in series.sizes:
            await _measure_by_watchers(series, size, measurements, report_progress)
        return measurements
    for size, repeat in measurement_order(series.sizes, series.repeats):
        progress = f"{series.by} {size}, repeat {repeat + 1}"
        report_progress(f"{progress}, hollow")
        measurements.add("hollow", size, await _measure_hollow(series, size, measurements))
        if series.real and size in (series.real_sizes or series.sizes):
            report_progress(f"{progress}, real")
            measurements.add("real", size, await _measure_real(series, size, measurements))
    return measurements


def measurement_order(sizes: Sequence[int], repeats: int) -> Iterator[tuple[int, int]]:
    """Yields (size, repeat) pairs. Every other repeat goes through the sizes in reverse order.

    Otherwise a load of the machine that changes over time would look like a cost of the last sizes.
    """
    for repeat in range(repeats):
        for size in sizes if repeat % 2 == 0 else reversed(sizes):
            yield size, repeat


async def _measure_hollow(series: Series, size: int, measurements: Measurements) -> dict[str, float]:
    """Measures the costs of one sidecar, as the mean over several hollow sidecars."""
    count = series.sidecar_count(size)
    async with contextlib.AsyncExitStack() as stack:
        (registry,) = await stack.enter_async_context(_run_registries(series, size, 1, measurements))
        hosts = await stack.enter_async_context(_run_hosts(series, size, [registry], measurements))
        await hosts.wait_until_serving()
        await _wait_until_all_watch([registry], count)
        start_cpu_s = hosts.cpu_s() - sum(host.ready_message["cpu_s"] for host in hosts.hosts)
        stats = await registry.stats()
        if series.by == "members":
            await _wait_until_views_complete(hosts, count)
        await asyncio.sleep(series.settle)
        await hosts.collect_garbage()
        reports = await hosts.collect()
        empty_rss_mib = sum(host.ready_message["rss_mib"] for host in hosts.hosts)
        start_times_s = [
            report.serving - report.began
            for report in _sidecar_reports(reports)
            if report.serving is not None
        ]
        costs = {
            "sidecar-memory": (sum(host.rss_mib for host in reports) - empty_rss_mib) / count,
            "sidecar-start-cpu": start_cpu_s / count * 1000.0,
            "sidecar-start": statistics.median(start_times_s) * 1000.0,
            "sidecar-list-bytes": stats.bytes_out / count,
        }
        cpu_s_before, started_at = hosts.cpu_s(), time.monotonic()
        await asyncio.sleep(series.idle)
        spent_cpu_s, took_s = hosts.cpu_s() - cpu_s_before, time.monotonic() - started_at
        costs["sidecar-idle"] = spent_cpu_s / took_s / count * 100.0
        if series.by == "members":
            datagrams_sent = [
                _datagrams_sent(host_reports) for host_reports in (reports, await hosts.collect())
            ]
            took_s = time.monotonic() - started_at
            costs["member-datagrams"] = (datagrams_sent[1][0] - datagrams_sent[0][0]) / took_s / count
            costs["member-bytes"] = (datagrams_sent[1][1] - datagrams_sent[0][1]) / took_s / count
            return costs
        await hosts.stop_heartbeats()
        await hosts.clear_applied_lists()
        change_costs, change_numbers = await _measure_changes(series, size, registry, count, hosts.cpu_s, 0.0)
        reports = await hosts.collect()
        delays = _apply_delays(_sidecar_reports(reports), [(await registry.stats())], change_numbers)
        costs["sidecar-in-force"] = statistics.median(chain.from_iterable(delays)) * 1000.0
        return costs | change_costs


async def _measure_real(series: Series, size: int, measurements: Measurements) -> dict[str, float]:
    """Measures the costs of one sidecar, with real processes of the program that serve no clients."""
    count = series.real
    with tempfile.TemporaryDirectory(prefix="larkcrank-scale-") as folder:
        async with _run_registries(series, size, 1, measurements) as (registry,):
            children = [SidecarProcess(index, Path(folder), [], lambda *_: None) for index in range(count)]
            config = {
                "discovery": registry.host_port,
                "settings": merge_settings(BASE_SETTINGS, series.settings),
                "limits": {"sockets": 1024, "memory_mb": 192.0},
            }

            def cpu_s() -> float:
                return sum(machine.cpu_s(child.pid) for child in children if child.pid is not None)

            try:
                for child in children:
                    await child.start(config | {"name": f"real-{child.index}"})
                await _wait_until_all_watch([registry], count)
                start_cpu_s, stats = cpu_s(), await registry.stats()
                await asyncio.sleep(series.settle)
                rss_bytes = [psutil.Process(child.pid).memory_info().rss for child in children]
                costs = {
                    "sidecar-memory": sum(rss_bytes) / count / machine.MIB,
                    "sidecar-start-cpu": start_cpu_s / count * 1000.0,
                    "sidecar-start": statistics.median(child.startup_s for child in children) * 1000.0,
                    "sidecar-list-bytes": stats.bytes_out / count,
                }
                cpu_s_before, started_at = cpu_s(), time.monotonic()
                await asyncio.sleep(series.idle)
                idle_cpu_share = (cpu_s() - cpu_s_before) / (time.monotonic() - started_at)
                costs["sidecar-idle"] = idle_cpu_share / count * 100.0
                change_costs, _ = await _measure_changes(series, size, registry, count, cpu_s, idle_cpu_share)
                measurements.cpu_s += cpu_s()
                return costs | change_costs
            finally:
                for child in children:
                    await child.close()


async def _measure_changes(
    series: Series,
    size: int,
    registry: "_Registry",
    count: int,
    cpu_s: Callable[[], float],
    idle_cpu_share: float,
) -> tuple[dict[str, float], list[int]]:
    """Measures what single changes and a burst cost each of `count` sidecars.

    `idle_cpu_share` is the processor time per second that the sidecars take when idle; it is subtracted.
    Returns the costs and the numbers of the single changes.
    """

    async def measure_batches(batch_count: int, endpoint_count: int) -> tuple[float, float, list[int]]:
        change_numbers, bytes_out_before = list[int](), (await registry.stats()).bytes_out
        cpu_s_before, started_at = cpu_s(), time.monotonic()
        for _ in range(batch_count):
            change_numbers += await registry.change(endpoint_count)
            await _wait_until_all_watch([registry], count)
            await asyncio.sleep(series.gap)
        spent_cpu_s = cpu_s() - cpu_s_before - idle_cpu_share * (time.monotonic() - started_at)
        received_bytes = (await registry.stats()).bytes_out - bytes_out_before
        return spent_cpu_s / count * 1000.0, received_bytes / count, change_numbers

    cpu_ms, received_bytes, change_numbers = await measure_batches(series.changes, 1)
    costs = {
        "sidecar-change-cpu": cpu_ms / series.changes,
        "sidecar-change-bytes": received_bytes / series.changes,
    }
    if 0 < series.burst <= series.listed_endpoints(size):
        costs["sidecar-burst-cpu"], costs["sidecar-burst-bytes"], _ = await measure_batches(1, series.burst)
    return costs, change_numbers


# The costs of discovery


async def _measure_by_watchers(
    series: Series, size: int, measurements: Measurements, report_progress: ProgressCallback
) -> None:
    """Starts all sidecars once; each repeat is a round of changes."""
    registry_count = -(-size // machine.available_resources().descriptors)
    async with _run_registries(series, size, registry_count, measurements) as registries:
        report_progress(f"watchers {size}: starting, discovery in {registry_count} processes")
        async with _run_hosts(series, size, registries, measurements) as hosts:
            await hosts.wait_until_serving()
            await _wait_until_all_watch(registries, size)
            await hosts.collect_garbage()
            await asyncio.sleep(series.settle)
            for repeat in range(series.repeats):
                report_progress(f"watchers {size}, round {repeat + 1}")
                await hosts.clear_applied_lists()
                measurements.add("hollow", size, await _measure_round(series, registries, size, hosts))


async def _measure_round(
    series: Series, registries: "Sequence[_Registry]", size: int, hosts: HollowHosts
) -> dict[str, float]:
    def cpu_s() -> float:
        return sum(registry.process.cpu_s() for registry in registries)

    async def change_all(whole: bool) -> list[int]:
        numbers_by_registry = await asyncio.gather(*(registry.change(whole=whole) for registry in registries))
        await _wait_until_all_watch(registries, size, WATCHERS_POLL_S)
        return numbers_by_registry[0]  # all registries number their changes alike

    async def read_stats() -> list[RegistryStats]:
        return [await registry.stats() for registry in registries]

    def increase(field_name: str) -> float:
        pairs = zip(after, before, strict=True)
        return float(
            sum(
                getattr(stats_after, field_name) - getattr(stats_before, field_name)
                for stats_after, stats_before in pairs
            )
        )

    before, discovery_cpu_before, hosts_cpu_before = await read_stats(), cpu_s(), hosts.cpu_s()
    change_numbers = list[int]()
    for _ in range(series.changes):
        change_numbers += await change_all(False)
        await asyncio.sleep(series.gap)
    discovery_cpu_s, hosts_cpu_s = cpu_s() - discovery_cpu_before, hosts.cpu_s() - hosts_cpu_before
    after = await read_stats()
    delays = _apply_delays(_sidecar_reports(await hosts.collect()), after, change_numbers)
    write_times = [stats.told[number] for stats in after for number in change_numbers]
    costs = {
        "sidecar-change-cpu": hosts_cpu_s / series.changes / size * 1000.0,
        "discovery-calls": increase("watches") / series.changes,
        "discovery-connections": float(sum(stats.connections for stats in after)),
        "discovery-cpu": discovery_cpu_s / series.changes * 1000.0,
        "discovery-bytes": increase("bytes_out") / series.changes,
        "discovery-memory": sum(stats.rss_mib for stats in after),
        "discovery-write": statistics.median(written_at - made_at for made_at, written_at in write_times)
        * 1000.0,
        "path-median": statistics.median(chain.from_iterable(delays)) * 1000.0,
        "path-last": statistics.median(map(max, delays)) * 1000.0,
    }
    before, discovery_cpu_before = await read_stats(), cpu_s()
    await change_all(True)
    discovery_cpu_s, after = cpu_s() - discovery_cpu_before, await read_stats()
    return costs | {
        "discovery-whole-cpu": discovery_cpu_s * 1000.0,
        "discovery-whole-bytes": increase("bytes_out"),
    }


# The processes for one size


class _Registry(RegistryProcess):
    """A registry process that keeps its address."""

    host_port = ""


@contextlib.asynccontextmanager
async def _run_registries(
    series: Series, size: int, registry_count: int, measurements: Measurements
) -> AsyncIterator[list[_Registry]]:
    services = size if series.by == "services" else 1
    spec = RegistrySpec(endpoints=series.listed_endpoints(size), services=services)
    registries = [_Registry(spec) for _ in range(registry_count)]
    try:
        for registry in registries:
            registry.host_port = await registry.start()
        yield registries
    finally:
        measurements.cpu_s += sum(
            started_registry.process.cpu_s()
            for started_registry in registries
            if started_registry.process.is_started
        )
        await close_all([started_registry.process for started_registry in registries])


@contextlib.asynccontextmanager
async def _run_hosts(
    series: Series, size: int, registries: Sequence[_Registry], measurements: Measurements
) -> AsyncIterator[HollowHosts]:
    settings = series.settings
    if series.by == "watchers":
        settings = merge_settings(settings, {"bounds": {"connect-timeout-ms": WATCHERS_CONNECT_TIMEOUT_MS}})
    if series.by == "members":
        settings = merge_settings(settings, {"bounds": {"peers": True}})
    spec = HostSpec(
        count=series.sidecar_count(size),
        discovery=[registry.host_port for registry in registries],
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
        measurements.cpu_s += hosts.cpu_s()
        await hosts.close()


async def _wait_until_all_watch(registries: Sequence[_Registry], count: int, poll_s: float = POLL_S) -> None:
    """Waits until all sidecars have a pending watch, which means that they have applied the last list."""
    condition = f"{count} sidecars watching"
    await _wait_until(
        condition, lambda: _total_waiting(registries), lambda waiting_count: waiting_count >= count, poll_s
    )


async def _total_waiting(registries: Sequence[_Registry]) -> int:
    return sum([await registry.waiting_count() for registry in registries])


async def _wait_until_views_complete(hosts: HollowHosts, count: int) -> None:
    """Waits until the view of every member contains all members."""

    async def smallest_view() -> int:
        return min(report.live for report in _sidecar_reports(await hosts.collect()))

    await _wait_until(
        f"{count} members in every view", smallest_view, lambda view_size: view_size == count, 0.5
    )


async def _wait_until(
    description: str,
    read_value: Callable[[], Coroutine[None, None, int]],
    condition: Callable[[int], bool],
    poll_s: float = POLL_S,
) -> None:
    deadline = time.monotonic() + CONDITION_TIMEOUT_S
    while not condition(value := await read_value()):
        if time.monotonic() > deadline:
            raise MeasureError(f"not within {CONDITION_TIMEOUT_S:.0f} s: {description}; last value: {value}")
        await asyncio.sleep(poll_s)


def _sidecar_reports(reports: Sequence[HostReport]) -> list[HollowReport]:
    return [sidecar for host in reports for sidecar in host.hollows]


def _datagrams_sent(reports: Sequence[HostReport]) -> tuple[int, int]:
    """Number of datagrams sent by all members, and their bytes."""
    fleet_counters = [report.together["fleet"] for report in _sidecar_reports(reports)]
    return sum(counters["datagrams_out"] for counters in fleet_counters), sum(
        counters["bytes_out"] for counters in fleet_counters
    )


def _apply_delays(
    sidecars: Sequence[HollowReport], registry_stats: Sequence[RegistryStats], change_numbers: Sequence[int]
) -> list[list[float]]:
    """By change: how many seconds after the change each sidecar had applied it."""
    delays_by_change = []
    for change in change_numbers:
        delays = []
        for sidecar in sidecars:
            applied_at = sidecar.applied_at(change)
            if applied_at is None:
                raise MeasureError(f"sidecar {sidecar.number} never had change {change} applied")
            delays.append(applied_at - registry_stats[sidecar.number % len(registry_stats)].told[change][0])
        delays_by_change.append(delays)
    return delays_by_change
