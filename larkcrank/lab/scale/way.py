"""Measures how endpoint changes propagate to all sidecars, with tiers and with a single discovery service.

    python -m larkcrank.lab.scale.way tiers:1000 old:1000 tiers:12000 light-tiers:12000 light-old:12000

The runs use real tier processes (an origin, nine regions, 33 zones) or one discovery process, with hollow
sidecars below them. Endpoint number n belongs to service n // 28 and is in zone n modulo 33. Every service is
therefore spread over all zones, and the loss of a zone affects nearly every sidecar, which is the worst case.
Sidecar number n runs beside endpoint n and calls `called_services` services. Its zone's tier has a listener
that serves just these services.

All processes share the processors of one machine. The measured times are therefore upper bounds: they include
work that other machines would do in production.
"""

import argparse
import asyncio
import math
import statistics
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any, TypeVar

from larkcrank.lab.scale.children import ChildError
from larkcrank.lab.scale.hollow import CHANGE_NUMBER_SCALE, HollowHosts, HollowReport, HostReport, HostSpec
from larkcrank.lab.scale.light import LightweightReceiverHosts
from larkcrank.lab.scale.machine import LimitError, LoadMeter, available_resources, source_commit
from larkcrank.lab.scale.registry import RegistryProcess
from larkcrank.lab.scale.registry import Spec as RegistrySpec
from larkcrank.lab.scale.slopes import RUNS_FOLDER, write_json
from larkcrank.lab.tiers import FakeDiscovery, InstanceEntry, TierError, TierProcess, format_address

REGIONS = 9
ZONES = 33
ENDPOINTS_PER_SERVICE = 28
FULL_LIST_ENDPOINTS = 12_000  # endpoints in the list of the runs of kind `whole`
CALLED_SERVICES = 3  # services that a sidecar calls; an assumption, so every result states it
HOLLOW_SIDECARS_PER_PROCESS = 500  # at most
LATE_DELIVERY_TIMEOUT_S = 60.0  # a change that is not in force by then counts as missed
SINGLE_CHANGES = 15  # changes made one at a time
SUSTAINED_CHANGES_PER_S = 0.6
BURST_CHANGES_PER_S = 6.0
CONCURRENT_STARTS = 6  # tier processes that start at the same time
MIB = 1 << 20
T = TypeVar("T")
SINGLE_CHANGE_INTERVAL_S = 1.5
LIGHTWEIGHT_RECEIVERS_PER_PROCESS = 3000


@dataclass(frozen=True)
class Topology:
    """Assigns endpoints and sidecars to services, zones and regions, and services to their callers."""

    endpoint_count: int
    called_services: int = CALLED_SERVICES

    @property
    def services(self) -> int:
        return max(1, self.endpoint_count // ENDPOINTS_PER_SERVICE)

    def service_of(self, endpoint_number: int) -> int:
        return min(endpoint_number // ENDPOINTS_PER_SERVICE, self.services - 1)

    def zone_of(self, endpoint_number: int) -> int:
        return endpoint_number % ZONES

    def region_of_zone(self, zone: int) -> int:
        return zone * REGIONS // ZONES

    def services_called_by(self, service: int) -> list[int]:
        """Returns the services that a service calls: a fixed selection, spread over all of them."""
        step = max(1, self.services // 7)
        return sorted({(service + 1 + k * step) % self.services for k in range(self.called_services)})

    def services_in_zone(self, zone: int) -> list[int]:
        """Returns the services with sidecars in a zone; the zone's tier has a listener for each."""
        return sorted(
            {self.service_of(endpoint_number) for endpoint_number in range(zone, self.endpoint_count, ZONES)}
        )

    def endpoint_line(
        self, endpoint_number: int, lifecycle: str = "Ready", change_number: int = 0
    ) -> InstanceEntry:
        """Builds the discovery entry of an endpoint. The weight carries the number of the change."""
        return {
            "instanceId": f"s-{endpoint_number:08x}",
            "hostPort": f"127.{200 + (endpoint_number >> 14) % 50}.{(endpoint_number >> 7) & 127}"
            f".{(endpoint_number & 127) + 1}:8000",
            "zone": f"z{self.zone_of(endpoint_number)}",
            "machineType": "plain",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0 + change_number / CHANGE_NUMBER_SCALE,
            "startedAtMs": 0,
            "service": service_name(self.service_of(endpoint_number)),
        }

    def affected_sidecars(self, services: Iterable[int]) -> set[int]:
        """Returns the sidecars that call one of these services."""
        changed_services = set(services)
        callers = {
            service
            for service in range(self.services)
            if changed_services.intersection(self.services_called_by(service))
        }
        return {
            endpoint_number
            for endpoint_number in range(self.endpoint_count)
            if self.service_of(endpoint_number) in callers
        }


def service_name(service: int) -> str:
    return f"svc-{service}"


@dataclass
class EndpointChange:
    """One endpoint change: its number, when it was made, and the service of the endpoint."""

    number: int
    at: float  # seconds on the monotonic clock
    service: int


@dataclass
class Phase:
    """The results of one phase of load, as written to the result file."""

    what: str  # name of the phase
    changes: int  # endpoint changes made
    seconds: float  # duration
    told: int = 0  # expected deliveries: the changes times the sidecars affected by each
    missed: int = 0  # expected deliveries that did not arrive
    median_s: float = 0.0
    p99_s: float = 0.0
    last_s: float = 0.0
    sidecar: dict[str, float] = field(default_factory=dict)  # average usage of a sidecar
    tiers: dict[str, dict[str, float]] = field(default_factory=dict)  # usage by process name
    origin_calls_per_s: float = 0.0
    machine: dict[str, Any] = field(default_factory=dict)  # load of the machine by other processes


def delivery_latencies(
    reports: list[HostReport], changes: list[EndpointChange], topology: Topology, every_sidecar_affected: bool
) -> list[float]:
    """Returns the seconds until a change is in force, for each change and each affected sidecar.

    A change that a sidecar has not received has infinite latency.
    """
    changes_by_calling_service: dict[int, list[EndpointChange]] = {}
    for change in changes:
        for service in range(topology.services):
            if every_sidecar_affected or change.service in topology.services_called_by(service):
                changes_by_calling_service.setdefault(service, []).append(change)
    latencies_s = []
    for host in reports:
        for hollow in host.hollows:
            for change in changes_by_calling_service.get(topology.service_of(hollow.number), ()):
                latencies_s.append(_latency_until_in_force(hollow, change))
    return latencies_s


def _latency_until_in_force(hollow: HollowReport, change: EndpointChange) -> float:
    for list_in_force in hollow.seen:
        if (
            list_in_force.applied_at >= change.at
            and list_in_force.first_change <= change.number <= list_in_force.last_change
        ):
            return list_in_force.applied_at - change.at
    return math.inf


class TieredDiscovery:
    """The tier processes of the origin, regions and zones, and a discovery service for each region."""

    kind = "tiers"

    def __init__(self, topology: Topology, folder: Path) -> None:
        self.topology = topology
        self.sources = [
            FakeDiscovery(
                topology.endpoint_line(endpoint_number)
                for endpoint_number in range(topology.endpoint_count)
                if topology.region_of_zone(topology.zone_of(endpoint_number)) == region
            )
            for region in range(REGIONS)
        ]
        self.tiers: dict[str, TierProcess] = {}
        self._folder = folder
        self._last_change_number = 0
        self.discovery_by_sidecar: list[str] = []

    async def start(self) -> None:
        topology = self.topology
        for source in self.sources:
            await source.start()
        # Ports are chosen first, because the origin connects to the regions and the regions to the origin.
        ports = _free_ports(2 * REGIONS + 1)
        origin_address, region_addresses = ports[0], list(zip(ports[1::2], ports[2::2], strict=True))
        await self._start_tier(
            "origin",
            listen=origin_address,
            sources=[{"discovery": own_list_address} for _, own_list_address in region_addresses],
        )
        await _gather_limited(
            self._start_region(region, region_addresses, origin_address) for region in range(REGIONS)
        )
        address_by_zone_and_service: dict[tuple[int, int], str] = {}
        for zone_addresses in await _gather_limited(
            self._start_zone(zone, region_addresses) for zone in range(ZONES)
        ):
            address_by_zone_and_service |= zone_addresses
        self.discovery_by_sidecar = [
            address_by_zone_and_service[
                topology.zone_of(endpoint_number), topology.service_of(endpoint_number)
            ]
            for endpoint_number in range(topology.endpoint_count)
        ]

    async def _start_region(
        self, region: int, region_addresses: list[tuple[str, str]], origin_address: str
    ) -> TierProcess:
        listen_address, own_list_address = region_addresses[region]
        return await self._start_tier(
            f"region-{region}",
            listen=listen_address,
            own=own_list_address,
            sources=[{"discovery": format_address(self.sources[region].address)}],
            above=[origin_address],
        )

    async def _start_zone(
        self, zone: int, region_addresses: list[tuple[str, str]]
    ) -> dict[tuple[int, int], str]:
        """Starts the tier of a zone; returns its listener addresses by zone and by the calling service."""
        topology = self.topology
        local_services = topology.services_in_zone(zone)
        tier = await self._start_tier(
            f"zone-{zone}",
            listen="127.0.0.1:0",
            above=[region_addresses[(topology.region_of_zone(zone) + k) % REGIONS][0] for k in range(3)],
            doors=[
                {
                    "listen": f"127.0.1.{zone + 1}:0",
                    "services": [
                        service_name(called_service)
                        for called_service in topology.services_called_by(service)
                    ],
                }
                for service in local_services
            ],
        )
        return {
            (zone, service): format_address(address)
            for service, address in zip(local_services, tier.door_addresses, strict=True)
        }

    async def _start_tier(self, tier_name: str, **config: Any) -> TierProcess:
        tier = TierProcess(self._folder, {"name": tier_name, "ops": "127.0.0.1:0", **config})
        self.tiers[tier_name] = tier
        await tier.start()
        return tier

    async def change_endpoints(self, endpoint_numbers: list[int], lifecycle: str) -> list[EndpointChange]:
        """Changes the lifecycle state of these endpoints at one moment."""
        lines_by_region: dict[int, list[InstanceEntry]] = {}
        changed = []
        for endpoint_number in endpoint_numbers:
            self._last_change_number += 1
            line = self.topology.endpoint_line(endpoint_number, lifecycle, self._last_change_number)
            lines_by_region.setdefault(
                self.topology.region_of_zone(self.topology.zone_of(endpoint_number)), []
            ).append(line)
            changed.append((self._last_change_number, endpoint_number))
        changed_at = time.monotonic()
        for region, lines in lines_by_region.items():
            self.sources[region].publish(lines)
        return [
            EndpointChange(change_number, changed_at, self.topology.service_of(endpoint_number))
            for change_number, endpoint_number in changed
        ]

    def memory_and_cpu(self) -> dict[str, tuple[float, float]]:
        """Returns memory in MiB and processor time in seconds, by process name."""
        return {tier_name: tier.resource_usage() for tier_name, tier in self.tiers.items()}

    async def tier_states(self) -> dict[str, dict[str, Any]]:
        """Returns the counters of each process, by process name."""
        return {tier_name: await tier.ops_call_json("STATE") for tier_name, tier in self.tiers.items()}

    async def propagation_report(self) -> dict[str, Any]:
        """Asks the origin how many sidecars hold its latest generation."""
        return await self.tiers["origin"].ops_call_json("HELD")

    async def close(self) -> None:
        for tier in self.tiers.values():
            await tier.kill()
        for source in self.sources:
            source.stop()


def _free_ports(count: int) -> list[str]:
    """Returns unused addresses on a loopback IP that little else uses, so they are likely to stay free."""
    import socket

    addresses, sockets = [], []
    for _ in range(count):
        probe_socket = socket.socket()
        probe_socket.bind(("127.0.2.1", 0))
        sockets.append(probe_socket)
        addresses.append(format_address(probe_socket.getsockname()))
    for probe_socket in sockets:
        probe_socket.close()
    return addresses


async def _gather_limited(coroutines: Iterable[Coroutine[Any, Any, T]]) -> list[T]:
    """Runs the coroutines, at most `CONCURRENT_STARTS` at a time, and returns their results in order."""
    start_slots = asyncio.Semaphore(CONCURRENT_STARTS)

    async def run_limited(coroutine: Coroutine[Any, Any, T]) -> T:
        async with start_slots:
            return await coroutine

    return await asyncio.gather(*map(run_limited, coroutines))


class SingleDiscovery:
    """One discovery service that all sidecars watch; each sidecar holds every endpoint."""

    kind = "old"

    def __init__(self, topology: Topology, endpoint_count: int = 0) -> None:
        self.topology = topology
        self._endpoint_count = endpoint_count or topology.endpoint_count
        self._registry = RegistryProcess(RegistrySpec(endpoints=self._endpoint_count))
        self.discovery_by_sidecar: list[str] = []  # a single address, which all sidecars share
        self.first = 0

    async def start(self) -> None:
        self.discovery_by_sidecar = [await self._registry.start()]

    async def change_endpoints(self, endpoint_numbers: list[int], lifecycle: str) -> list[EndpointChange]:
        """Changes as many endpoints at one moment; the discovery process cycles through its list."""
        changed_at = time.monotonic()
        change_numbers = await self._registry.change(len(endpoint_numbers))
        return [EndpointChange(change_number, changed_at, 0) for change_number in change_numbers]

    def memory_and_cpu(self) -> dict[str, tuple[float, float]]:
        """Returns memory in MiB and processor time in seconds, by process name."""
        import psutil

        process = psutil.Process(self._registry.process.pid)
        return {"discovery": (process.memory_full_info().uss / MIB, self._registry.process.cpu_s())}

    async def tier_states(self) -> dict[str, dict[str, Any]]:
        """Returns the counters of each process, by process name."""
        account = await self._registry.stats()
        return {
            "discovery": {
                "calls": account.watches + account.lists,
                "bytes_out": account.bytes_out,
                "connections": account.connections,
                "wholes": account.lists,
            }
        }

    async def propagation_report(self) -> dict[str, Any]:
        """A single discovery service has no such report."""
        return {}

    async def close(self) -> None:
        await self._registry.close()


class PropagationRun:
    """One run: a discovery setup with a number of sidecars, measured phase by phase."""

    def __init__(
        self,
        discovery: TieredDiscovery | SingleDiscovery,
        sidecar_count: int,
        lightweight: bool,
        log: Callable[[str], None],
    ) -> None:
        self._lightweight = lightweight
        self.label = f"{'light-' if lightweight else ''}{discovery.kind} {sidecar_count}"
        self.discovery, self.topology, self.sidecar_count, self._log = (
            discovery,
            discovery.topology,
            sidecar_count,
            log,
        )
        self._random = Random(47)
        self._state_by_endpoint: dict[int, str] = {}
        self.phases: list[Phase] = []
        self.sidecars_ready_s = 0.0

    async def run(self, brief: bool = False) -> dict[str, Any]:
        """Starts discovery and the sidecars, runs all phases and returns the contents of the result file."""
        discovery = self.discovery
        load = LoadMeter()
        started_at_s = time.monotonic()
        await discovery.start()
        discovery_ready_s = time.monotonic() - started_at_s
        self._log(f"{self.label}: discovery is ready after {discovery_ready_s:.1f} s")
        # The periodic timer that detects late event loops is off. It costs 50 wake-ups a second in each
        # sidecar and plays no part in propagation.
        spec = HostSpec(
            count=self.sidecar_count, discovery=discovery.discovery_by_sidecar, beats=False, spread_s=1.0
        )
        if self._lightweight:
            # 12,000 full lists of 12,000 lines are 20 GB and play no part in propagation.
            # The receivers therefore start from a generation and fetch no full list.
            if discovery.kind == "old":
                spec.config = {"generation": 1}
            self.hosts: HollowHosts = LightweightReceiverHosts(spec, LIGHTWEIGHT_RECEIVERS_PER_PROCESS)
        else:
            self.hosts = HollowHosts(
                spec, min(HOLLOW_SIDECARS_PER_PROCESS, max(50, self.sidecar_count // 16))
            )
        try:
            await self.hosts.start()
            await self.hosts.wait_until_serving()
            self.sidecars_ready_s = time.monotonic() - started_at_s - discovery_ready_s
            await self.hosts.collect_garbage()
            await asyncio.sleep(3.0)
            self._log(f"{self.label}: all sidecars are ready after {self.sidecars_ready_s:.1f} s")
            state_at_start = await discovery.tier_states()
            await self._run_phase("idle", 0, 15.0, self._make_no_changes)
            await self._run_phase(
                "lone change",
                SINGLE_CHANGES,
                SINGLE_CHANGES * SINGLE_CHANGE_INTERVAL_S,
                self._make_single_changes,
            )
            if not brief:
                sustained_s = 45.0
                count = round(SUSTAINED_CHANGES_PER_S * sustained_s)
                await self._run_phase(
                    f"{SUSTAINED_CHANGES_PER_S} a second",
                    count,
                    sustained_s,
                    self._make_evenly_spaced_changes,
                )
            await self._run_phase(
                f"{BURST_CHANGES_PER_S:.0f} a second", 60, 10.0, self._make_evenly_spaced_changes
            )
            zone_endpoints = [
                endpoint_number
                for endpoint_number in range(self.topology.endpoint_count)
                if self.topology.zone_of(endpoint_number) == ZONES // 2
            ]
            # The phase is long enough that no reports are collected before the change is in force: collecting
            # uses the same processors.
            await self._run_phase(
                f"zone lost ({len(zone_endpoints)})", len(zone_endpoints), 20.0, self._drain_zone
            )
            state_at_end = await discovery.tier_states()
            reports = await self.hosts.collect()
            memory_by_process = {
                tier_name: usage[0] for tier_name, usage in discovery.memory_and_cpu().items()
            }
            return {
                "kind": discovery.kind,
                "size": self.topology.endpoint_count,
                "sidecars": self.sidecar_count,
                "calls": self.topology.called_services,
                "services": self.topology.services,
                "lines_a_sidecar": round(
                    statistics.mean(hollow.servers for host in reports for hollow in host.hollows), 1
                ),
                "way_up_s": discovery_ready_s,
                "all_serve_s": self.sidecars_ready_s,
                "hollow_mib": sum(host.uss_mib for host in reports) / self.sidecar_count,
                "hosts": len(reports),
                "way_mib": memory_by_process,
                "state_at_start": state_at_start,
                "state_at_end": state_at_end,
                "held": await discovery.propagation_report(),
                "failures": sum(hollow.failures for host in reports for hollow in host.hollows),
                "crashed": sum(hollow.crashed for host in reports for hollow in host.hollows),
                "events": dict(
                    sum(
                        (Counter(hollow.events) for host in reports for hollow in host.hollows),
                        Counter[str](),
                    )
                ),
                "phases": [phase.__dict__ for phase in self.phases],
                "machine": load.summary(0.0) | {"processors": available_resources().processors},
                "commit": source_commit(),
            }
        finally:
            await self.hosts.close()

    async def _run_phase(
        self,
        phase_name: str,
        count: int,
        seconds: float,
        make_changes: Callable[[Phase], Awaitable[list[EndpointChange]]],
    ) -> None:
        """Makes the changes of a phase and records delivery times and the usage of all processes."""
        phase = Phase(phase_name, count, seconds)
        await self.hosts.clear_applied_lists()
        load = LoadMeter()
        reports_before, usage_before, states_before = (
            await self.hosts.collect(),
            self.discovery.memory_and_cpu(),
            await self.discovery.tier_states(),
        )
        started_at_s = time.monotonic()
        changes = await make_changes(phase)
        await asyncio.sleep(max(0.0, started_at_s + seconds - time.monotonic()))
        elapsed_s = time.monotonic() - started_at_s
        reports_after, usage_after = await self.hosts.collect(), self.discovery.memory_and_cpu()
        states_after = await self.discovery.tier_states()
        every_sidecar_affected = self.discovery.kind == "old"
        latencies_s = delivery_latencies(reports_after, changes, self.topology, every_sidecar_affected)
        late_deadline_s = time.monotonic() + LATE_DELIVERY_TIMEOUT_S
        while any(math.isinf(latency_s) for latency_s in latencies_s) and time.monotonic() < late_deadline_s:
            await asyncio.sleep(10.0)
            latencies_s = delivery_latencies(
                await self.hosts.collect(), changes, self.topology, every_sidecar_affected
            )
        delivered_s = sorted(latency_s for latency_s in latencies_s if not math.isinf(latency_s))
        phase.told, phase.missed, phase.seconds = (
            len(latencies_s),
            len(latencies_s) - len(delivered_s),
            round(elapsed_s, 3),
        )
        if delivered_s:
            phase.median_s = round(delivered_s[len(delivered_s) // 2], 4)
            phase.p99_s = round(
                delivered_s[min(len(delivered_s) - 1, math.ceil(0.99 * len(delivered_s)) - 1)], 4
            )
            phase.last_s = round(delivered_s[-1], 4)
        phase.sidecar = _usage_per_sidecar(reports_before, reports_after, self.sidecar_count, elapsed_s)
        for tier_name, (memory_mib, cpu_s) in usage_after.items():
            tier_results = {
                "mib": round(memory_mib, 1),
                "core": round((cpu_s - usage_before[tier_name][1]) / elapsed_s, 5),
            }
            for counter_name in ("calls", "bytes_out", "bytes_in", "wholes", "refused"):
                counter_value = states_after[tier_name].get(counter_name)
                if isinstance(counter_value, (int, float)):
                    tier_results[counter_name + "_per_s"] = round(
                        (counter_value - states_before[tier_name].get(counter_name, 0)) / elapsed_s, 2
                    )
            phase.tiers[tier_name] = tier_results
        origin_results = phase.tiers.get("origin") or phase.tiers.get("discovery") or {}
        phase.origin_calls_per_s = origin_results.get("calls_per_s", 0.0)
        own_cpu_s = sum(host.cpu_s for host in reports_after) - sum(host.cpu_s for host in reports_before)
        own_cpu_s += sum(cpu_s - usage_before[tier_name][1] for tier_name, (_, cpu_s) in usage_after.items())
        phase.machine = load.summary(own_cpu_s)
        self.phases.append(phase)
        self._log(
            f"{self.label} {phase_name}: median {phase.median_s:.3f} p99 {phase.p99_s:.3f} "
            f"last {phase.last_s:.3f} s, missed {phase.missed} of {phase.told}; per sidecar "
            f"{phase.sidecar}; share of other processes {phase.machine['others_share']}"
        )

    def _toggle_drain(self, endpoint_number: int) -> str:
        """Records and returns the new state: draining, or ready if the endpoint is draining."""
        new_state = self._state_by_endpoint[endpoint_number] = (
            "Ready" if self._state_by_endpoint.get(endpoint_number) == "Terminating" else "Terminating"
        )
        return new_state

    # Each of the following makes the changes of a phase and returns them.

    async def _make_no_changes(self, phase: Phase) -> list[EndpointChange]:
        return []

    async def _make_single_changes(self, phase: Phase) -> list[EndpointChange]:
        return await self._change_at_interval(phase.changes, SINGLE_CHANGE_INTERVAL_S)

    async def _make_evenly_spaced_changes(self, phase: Phase) -> list[EndpointChange]:
        return await self._change_at_interval(phase.changes, phase.seconds / phase.changes)

    async def _change_at_interval(self, count: int, interval_s: float) -> list[EndpointChange]:
        changes = []
        started_at_s = time.monotonic()
        for index in range(count):
            await asyncio.sleep(max(0.0, started_at_s + index * interval_s - time.monotonic()))
            endpoint_number = self._random.randrange(self.topology.endpoint_count)
            changes += await self.discovery.change_endpoints(
                [endpoint_number], self._toggle_drain(endpoint_number)
            )
        return changes

    async def _drain_zone(self, phase: Phase) -> list[EndpointChange]:
        # The endpoints are set to draining, not removed: a removed line has no weight, and the weight carries
        # the change number.
        zone_endpoints = [
            endpoint_number
            for endpoint_number in range(self.topology.endpoint_count)
            if self.topology.zone_of(endpoint_number) == ZONES // 2
        ]
        return await self.discovery.change_endpoints(zone_endpoints, "Terminating")


def _usage_per_sidecar(
    reports_before: list[HostReport], reports_after: list[HostReport], sidecar_count: int, elapsed_s: float
) -> dict[str, float]:
    """Returns the average usage of a sidecar between two rounds of reports."""

    def total_of(reports: list[HostReport], counter_of: Callable[[HollowReport], int]) -> int:
        return sum(counter_of(hollow) for host in reports for hollow in host.hollows)

    def rate_of(counter_of: Callable[[HollowReport], int]) -> float:
        return (
            (total_of(reports_after, counter_of) - total_of(reports_before, counter_of))
            / sidecar_count
            / elapsed_s
        )

    cpu_s = sum(host.cpu_s for host in reports_after) - sum(host.cpu_s for host in reports_before)
    return {
        "core": round(cpu_s / sidecar_count / elapsed_s, 6),
        "mib": round(sum(host.uss_mib for host in reports_after) / sidecar_count, 3),
        "bytes_in_per_s": round(rate_of(lambda hollow: hollow.bytes_in), 1),
        "bytes_out_per_s": round(rate_of(lambda hollow: hollow.bytes_out), 1),
        "calls_per_s": round(rate_of(lambda hollow: hollow.calls), 4),
        "failures_per_s": round(rate_of(lambda hollow: hollow.failures), 5),
    }


async def run_all(
    runs: list[tuple[str, int]], output_folder: Path, brief: bool, called_services: int
) -> list[dict[str, Any]]:
    """Runs each setup and writes a result file for each; a run that fails is logged and left out."""

    def log(text: str) -> None:
        print(f"{time.strftime('%H:%M:%S')} {text}", file=sys.stderr, flush=True)

    results = []
    for kind, sidecar_count in runs:
        with tempfile.TemporaryDirectory(prefix="larkcrank-way-") as folder:
            topology = Topology(FULL_LIST_ENDPOINTS if kind == "whole" else sidecar_count, called_services)
            discovery = (
                TieredDiscovery(topology, Path(folder)) if "tiers" in kind else SingleDiscovery(topology)
            )
            try:
                result = await PropagationRun(discovery, sidecar_count, "light" in kind, log).run(brief)
            except (ChildError, LimitError, TierError) as error:
                log(f"{kind} {sidecar_count}: no result: {error}")
                continue
            finally:
                await discovery.close()
        result["kind"] = kind
        results.append(result)
        write_json(output_folder / f"way-{kind}-{sidecar_count}.json", result)
    return results


RUN_KINDS = ("tiers", "old", "whole", "light-tiers", "light-old")


def parse_run_argument(text: str) -> tuple[str, int]:
    """Parses an argument of the form KIND:SIZE."""
    kind, _, sidecar_count = text.partition(":")
    if kind not in RUN_KINDS or not sidecar_count.isdecimal():
        raise argparse.ArgumentTypeError(
            f"{text!r} is not one of {', '.join(RUN_KINDS)} followed by a colon and a number"
        )
    return kind, int(sidecar_count)


def main() -> int:
    parser = argparse.ArgumentParser(
        description="Measure the propagation of changes. tiers:N - N hollow sidecars below tiers; old:N - N "
        "hollow sidecars that watch one discovery service and hold all N endpoints; whole:N - N hollow "
        "sidecars that hold 12,000 endpoints; light-tiers:N, light-old:N - N receivers that keep no list."
    )
    parser.add_argument("plays", type=parse_run_argument, nargs="+", metavar="KIND:SIZE")
    parser.add_argument("--calls", type=int, default=CALLED_SERVICES, help="services that a sidecar calls")
    parser.add_argument("--out", type=Path, default=RUNS_FOLDER)
    parser.add_argument("--brief", action="store_true", help="skip the phase at the sustained rate")
    arguments = parser.parse_args()
    asyncio.run(run_all(arguments.plays, arguments.out, arguments.brief, arguments.calls))
    return 0


if __name__ == "__main__":
    sys.exit(main())
