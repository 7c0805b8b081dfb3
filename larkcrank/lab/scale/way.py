"""The way of a change to all sidecars: through tiers, and as it is without them, measured in the same run.

    python -m larkcrank.lab.scale.way tiers:1000 old:1000 tiers:12000 light-tiers:12000 light-old:12000

Real tier processes (an origin, nine regions, 33 zones) or one discovery, and hollow sidecars below them.
Endpoint number n is of service n // 28 and stands in zone n modulo 33, so that a service is spread over all
zones and a lost zone concerns nearly every sidecar: the worst case. Sidecar number n stands beside endpoint n
and calls `calls` services; its door gives it these. All share the processors of one machine, so that a
wall time holds an upper bound: what another machine would do meanwhile is in it.
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
from larkcrank.lab.scale.hollow import TAG, HollowHosts, HollowReport, HostReport, Spec
from larkcrank.lab.scale.light import LightweightReceiverHosts
from larkcrank.lab.scale.machine import LimitError, Load, look, text_commit
from larkcrank.lab.scale.registry import RegistryProcess
from larkcrank.lab.scale.registry import Spec as RegistrySpec
from larkcrank.lab.scale.slopes import RUNS, write_json
from larkcrank.lab.tiers import Line, Source, Tier, TierError, written

REGIONS = 9
ZONES = 33
PER_SERVICE = 28
WHOLE = 12_000  # endpoints of a list that some hold whole
CALLS = 3  # services that a sidecar calls; nobody has told us, so it stands in every table
EACH = 500  # hollow sidecars in a process
LATE_S = 60.0  # a change not in force anywhere by then is told as missed
LONE = 15
SUSTAINED_PER_S = 0.6
BURST_PER_S = 6.0
STARTS = 6  # processes that start at one moment
MIB = 1 << 20
T = TypeVar("T")


@dataclass(frozen=True)
class Shape:
    """Who stands where, and who calls whom."""

    size: int
    calls: int = CALLS

    @property
    def services(self) -> int:
        return max(1, self.size // PER_SERVICE)

    def service(self, n: int) -> int:
        return min(n // PER_SERVICE, self.services - 1)

    def zone(self, n: int) -> int:
        return n % ZONES

    def region(self, zone: int) -> int:
        return zone * REGIONS // ZONES

    def called(self, service: int) -> list[int]:
        """The services that one calls: fixed, spread over all."""
        step = max(1, self.services // 7)
        return sorted({(service + 1 + k * step) % self.services for k in range(self.calls)})

    def doors(self, zone: int) -> list[int]:
        """The services whose sidecars stand in a zone: each has a door there."""
        return sorted({self.service(n) for n in range(zone, self.size, ZONES)})

    def line(self, n: int, lifecycle: str = "Ready", change: int = 0) -> Line:
        return {
            "instanceId": f"s-{n:08x}",
            "hostPort": f"127.{200 + (n >> 14) % 50}.{(n >> 7) & 127}.{(n & 127) + 1}:8000",
            "zone": f"z{self.zone(n)}",
            "machineType": "plain",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0 + change / TAG,
            "startedAtMs": 0,
            "service": name(self.service(n)),
        }

    def concerned(self, services: Iterable[int]) -> set[int]:
        """The sidecars that call one of these."""
        wanted = set(services)
        callers = {s for s in range(self.services) if wanted.intersection(self.called(s))}
        return {n for n in range(self.size) if self.service(n) in callers}


def name(service: int) -> str:
    return f"svc-{service}"


@dataclass
class Changed:
    """One change and whom it concerns."""

    number: int
    at: float
    service: int


@dataclass
class Phase:
    """What one kind of load did, as it goes into the file."""

    what: str
    changes: int
    seconds: float
    told: int = 0  # changes by sidecars concerned
    missed: int = 0
    median_s: float = 0.0
    p99_s: float = 0.0
    last_s: float = 0.0
    sidecar: dict[str, float] = field(default_factory=dict)
    tiers: dict[str, dict[str, float]] = field(default_factory=dict)
    origin_calls_per_s: float = 0.0
    machine: dict[str, Any] = field(default_factory=dict)


def latencies(reports: list[HostReport], changes: list[Changed], shape: Shape, all_hold: bool) -> list[float]:
    """For each change and each sidecar that it concerns, in force after so long; inf: not told of it."""
    callers: dict[int, list[Changed]] = {}
    for change in changes:
        for service in range(shape.services):
            if all_hold or change.service in shape.called(service):
                callers.setdefault(service, []).append(change)
    found = []
    for host in reports:
        for hollow in host.hollows:
            for change in callers.get(shape.service(hollow.number), ()):
                found.append(_in_force(hollow, change))
    return found


def _in_force(hollow: HollowReport, change: Changed) -> float:
    for seen in hollow.seen:
        if seen.at >= change.at and seen.first <= change.number <= seen.last:
            return seen.at - change.at
    return math.inf


class Tiers:
    """The origin, the regions and the zones, and the discoveries of the regions."""

    kind = "tiers"

    def __init__(self, shape: Shape, folder: Path) -> None:
        self.shape = shape
        self.sources = [
            Source(shape.line(n) for n in range(shape.size) if shape.region(shape.zone(n)) == region)
            for region in range(REGIONS)
        ]
        self.tiers: dict[str, Tier] = {}
        self._folder = folder
        self._number = 0
        self.discovery: list[str] = []

    async def start(self) -> None:
        shape = self.shape
        for source in self.sources:
            await source.start()
        # Who listens where is decided first: the origin asks the regions, and they ask it.
        ports = _free_ports(2 * REGIONS + 1)
        origin, regions = ports[0], list(zip(ports[1::2], ports[2::2], strict=True))
        await self._tier("origin", listen=origin, sources=[{"discovery": own} for _, own in regions])
        await _some_at_once(self._region(region, regions, origin) for region in range(REGIONS))
        by_door: dict[tuple[int, int], str] = {}
        for doors in await _some_at_once(self._zone(zone, regions) for zone in range(ZONES)):
            by_door |= doors
        self.discovery = [by_door[shape.zone(n), shape.service(n)] for n in range(shape.size)]

    async def _region(self, region: int, regions: list[tuple[str, str]], origin: str) -> Tier:
        listen, own = regions[region]
        return await self._tier(
            f"region-{region}",
            listen=listen,
            own=own,
            sources=[{"discovery": written(self.sources[region].place)}],
            above=[origin],
        )

    async def _zone(self, zone: int, regions: list[tuple[str, str]]) -> dict[tuple[int, int], str]:
        """Its doors, by zone and the service whose sidecars come to it."""
        shape = self.shape
        served = shape.doors(zone)
        tier = await self._tier(
            f"zone-{zone}",
            listen="127.0.0.1:0",
            above=[regions[(shape.region(zone) + k) % REGIONS][0] for k in range(3)],
            doors=[
                {
                    "listen": f"127.0.1.{zone + 1}:0",
                    "services": [name(called) for called in shape.called(service)],
                }
                for service in served
            ],
        )
        return {(zone, service): written(place) for service, place in zip(served, tier.doors, strict=True)}

    async def _tier(self, tier_name: str, **config: Any) -> Tier:
        tier = Tier(self._folder, {"name": tier_name, "ops": "127.0.0.1:0", **config})
        self.tiers[tier_name] = tier
        await tier.start()
        return tier

    async def change(self, numbers: list[int], lifecycle: str) -> list[Changed]:
        """These endpoints change at one moment."""
        by_region: dict[int, list[Line]] = {}
        made = []
        for n in numbers:
            self._number += 1
            line = self.shape.line(n, lifecycle, self._number)
            by_region.setdefault(self.shape.region(self.shape.zone(n)), []).append(line)
            made.append((self._number, n))
        at = time.monotonic()
        for region, lines in by_region.items():
            self.sources[region].tell(lines)
        return [Changed(number, at, self.shape.service(n)) for number, n in made]

    def usage(self) -> dict[str, tuple[float, float]]:
        return {tier_name: tier.usage() for tier_name, tier in self.tiers.items()}

    async def states(self) -> dict[str, dict[str, Any]]:
        return {tier_name: await tier.told("STATE") for tier_name, tier in self.tiers.items()}

    async def held(self) -> dict[str, Any]:
        return await self.tiers["origin"].told("HELD")

    async def close(self) -> None:
        for tier in self.tiers.values():
            await tier.kill()
        for source in self.sources:
            source.stop()


def _free_ports(count: int) -> list[str]:
    """Addresses that nobody uses now; they are on an address of their own, so hardly anybody will."""
    import socket

    found, open_ones = [], []
    for _ in range(count):
        sock = socket.socket()
        sock.bind(("127.0.2.1", 0))
        open_ones.append(sock)
        found.append(written(sock.getsockname()))
    for sock in open_ones:
        sock.close()
    return found


async def _some_at_once(works: Iterable[Coroutine[Any, Any, T]]) -> list[T]:
    """Do all of them, a few at a time."""
    turn = asyncio.Semaphore(STARTS)

    async def one(work: Coroutine[Any, Any, T]) -> T:
        async with turn:
            return await work

    return await asyncio.gather(*map(one, works))


class Old:
    """One discovery that all sidecars watch, each holding every endpoint."""

    kind = "old"

    def __init__(self, shape: Shape, lines: int = 0) -> None:
        self.shape = shape
        self._lines = lines or shape.size
        self._registry = RegistryProcess(RegistrySpec(endpoints=self._lines))
        self.discovery: list[str] = []
        self.first = 0

    async def start(self) -> None:
        self.discovery = [await self._registry.start()]

    async def change(self, numbers: list[int], lifecycle: str) -> list[Changed]:
        """As many endpoints, in turn, change at one moment."""
        at = time.monotonic()
        made = await self._registry.change(len(numbers))
        return [Changed(number, at, 0) for number in made]

    def usage(self) -> dict[str, tuple[float, float]]:
        import psutil

        process = psutil.Process(self._registry.child.pid)
        return {"discovery": (process.memory_full_info().uss / MIB, self._registry.child.cpu_s())}

    async def states(self) -> dict[str, dict[str, Any]]:
        account = await self._registry.account()
        return {
            "discovery": {
                "calls": account.watches + account.lists,
                "bytes_out": account.bytes_out,
                "connections": account.connections,
                "wholes": account.lists,
            }
        }

    async def held(self) -> dict[str, Any]:
        return {}

    async def close(self) -> None:
        await self._registry.close()


class Run:
    """One way at one size."""

    def __init__(self, way: Tiers | Old, sidecars: int, light: bool, say: Callable[[str], None]) -> None:
        self._light = light
        self.what = f"{'light-' if light else ''}{way.kind} {sidecars}"
        self.way, self.shape, self.sidecars, self._say = way, way.shape, sidecars, say
        self._random = Random(47)
        self._states: dict[int, str] = {}
        self.phases: list[Phase] = []
        self.start_s = 0.0

    async def play(self, brief: bool = False) -> dict[str, Any]:
        way = self.way
        load = Load()
        began = time.monotonic()
        await way.start()
        tiers_s = time.monotonic() - began
        self._say(f"{self.what}: the way is up after {tiers_s:.1f} s")
        # The beat that finds late loops is 50 wake-ups a second for each, and no part of the way of a change.
        spec = Spec(count=self.sidecars, discovery=way.discovery, beats=False, spread_s=1.0)
        if self._light:
            if way.kind == "old":  # 12,000 whole lists of 12,000 are 20 GB, and no part of a change's way
                spec.config = {"generation": 1}
            self.hosts: HollowHosts = LightweightReceiverHosts(spec, 3000)
        else:
            self.hosts = HollowHosts(spec, min(EACH, max(50, self.sidecars // 16)))
        try:
            await self.hosts.start()
            await self.hosts.serving()
            self.start_s = time.monotonic() - began - tiers_s
            await self.hosts.rest()
            await asyncio.sleep(3.0)
            self._say(f"{self.what}: all serve after {self.start_s:.1f} s")
            state = await way.states()
            await self._phase("idle", 0, 15.0, self._nothing)
            await self._phase("lone change", LONE, LONE * 1.5, self._lone)
            if not brief:
                seconds = 45.0
                count = round(SUSTAINED_PER_S * seconds)
                await self._phase(f"{SUSTAINED_PER_S} a second", count, seconds, self._evenly)
            await self._phase(f"{BURST_PER_S:.0f} a second", 60, 10.0, self._evenly)
            zone = [n for n in range(self.shape.size) if self.shape.zone(n) == ZONES // 2]
            # Long enough that no look at the reports falls into it: these cost the same processors.
            await self._phase(f"zone lost ({len(zone)})", len(zone), 20.0, self._zone)
            final = await way.states()
            reports = await self.hosts.collect()
            memory = {tier: usage[0] for tier, usage in way.usage().items()}
            return {
                "kind": way.kind,
                "size": self.shape.size,
                "sidecars": self.sidecars,
                "calls": self.shape.calls,
                "services": self.shape.services,
                "lines_a_sidecar": round(
                    statistics.mean(hollow.servers for host in reports for hollow in host.hollows), 1
                ),
                "way_up_s": tiers_s,
                "all_serve_s": self.start_s,
                "hollow_mib": sum(host.uss_mib for host in reports) / self.sidecars,
                "hosts": len(reports),
                "way_mib": memory,
                "state_at_start": state,
                "state_at_end": final,
                "held": await way.held(),
                "failures": sum(hollow.failures for host in reports for hollow in host.hollows),
                "crashed": sum(hollow.crashed for host in reports for hollow in host.hollows),
                "events": dict(
                    sum(
                        (Counter(hollow.events) for host in reports for hollow in host.hollows),
                        Counter[str](),
                    )
                ),
                "phases": [phase.__dict__ for phase in self.phases],
                "machine": load.seen(0.0) | {"processors": look().processors},
                "commit": text_commit(),
            }
        finally:
            await self.hosts.close()

    async def _phase(
        self, what: str, count: int, seconds: float, play: Callable[[Phase], Awaitable[list[Changed]]]
    ) -> None:
        phase = Phase(what, count, seconds)
        await self.hosts.forget()
        load = Load()
        before, tiers, states = await self.hosts.collect(), self.way.usage(), await self.way.states()
        began = time.monotonic()
        changes = await play(phase)
        await asyncio.sleep(max(0.0, began + seconds - time.monotonic()))
        span = time.monotonic() - began
        after, tiers_after = await self.hosts.collect(), self.way.usage()
        states_after = await self.way.states()
        all_hold = self.way.kind == "old"
        found = latencies(after, changes, self.shape, all_hold)
        late = time.monotonic() + LATE_S
        while any(math.isinf(one) for one in found) and time.monotonic() < late:
            await asyncio.sleep(10.0)
            found = latencies(await self.hosts.collect(), changes, self.shape, all_hold)
        good = sorted(one for one in found if not math.isinf(one))
        phase.told, phase.missed, phase.seconds = len(found), len(found) - len(good), round(span, 3)
        if good:
            phase.median_s = round(good[len(good) // 2], 4)
            phase.p99_s = round(good[min(len(good) - 1, math.ceil(0.99 * len(good)) - 1)], 4)
            phase.last_s = round(good[-1], 4)
        phase.sidecar = _per_sidecar(before, after, self.sidecars, span)
        for tier, (mib, cpu) in tiers_after.items():
            told = {"mib": round(mib, 1), "core": round((cpu - tiers[tier][1]) / span, 5)}
            for key in ("calls", "bytes_out", "bytes_in", "wholes", "refused"):
                one = states_after[tier].get(key)
                if isinstance(one, (int, float)):
                    told[key + "_per_s"] = round((one - states[tier].get(key, 0)) / span, 2)
            phase.tiers[tier] = told
        origin = phase.tiers.get("origin") or phase.tiers.get("discovery") or {}
        phase.origin_calls_per_s = origin.get("calls_per_s", 0.0)
        own = sum(host.cpu_s for host in after) - sum(host.cpu_s for host in before)
        own += sum(cpu - tiers[tier][1] for tier, (_, cpu) in tiers_after.items())
        phase.machine = load.seen(own)
        self.phases.append(phase)
        self._say(
            f"{self.what} {what}: median {phase.median_s:.3f} p99 {phase.p99_s:.3f} "
            f"last {phase.last_s:.3f} s, missed {phase.missed} of {phase.told}; a sidecar "
            f"{phase.sidecar}; others {phase.machine['others_share']}"
        )

    def _flip(self, n: int) -> str:
        state = self._states[n] = "Ready" if self._states.get(n) == "Terminating" else "Terminating"
        return state

    async def _nothing(self, phase: Phase) -> list[Changed]:
        return []

    async def _lone(self, phase: Phase) -> list[Changed]:
        return await self._each(phase.changes, 1.5)

    async def _evenly(self, phase: Phase) -> list[Changed]:
        return await self._each(phase.changes, phase.seconds / phase.changes)

    async def _each(self, count: int, every_s: float) -> list[Changed]:
        made = []
        began = time.monotonic()
        for index in range(count):
            await asyncio.sleep(max(0.0, began + index * every_s - time.monotonic()))
            n = self._random.randrange(self.shape.size)
            made += await self.way.change([n], self._flip(n))
        return made

    async def _zone(self, phase: Phase) -> list[Changed]:
        # Told as draining: a line that is gone carries no weight, by which a change is known here.
        zone = [n for n in range(self.shape.size) if self.shape.zone(n) == ZONES // 2]
        return await self.way.change(zone, "Terminating")


def _per_sidecar(
    before: list[HostReport], after: list[HostReport], count: int, span: float
) -> dict[str, float]:
    def total(reports: list[HostReport], get: Callable[[HollowReport], int]) -> int:
        return sum(get(hollow) for host in reports for hollow in host.hollows)

    def grew(get: Callable[[HollowReport], int]) -> float:
        return (total(after, get) - total(before, get)) / count / span

    cpu = sum(host.cpu_s for host in after) - sum(host.cpu_s for host in before)
    return {
        "core": round(cpu / count / span, 6),
        "mib": round(sum(host.uss_mib for host in after) / count, 3),
        "bytes_in_per_s": round(grew(lambda hollow: hollow.bytes_in), 1),
        "bytes_out_per_s": round(grew(lambda hollow: hollow.bytes_out), 1),
        "calls_per_s": round(grew(lambda hollow: hollow.calls), 4),
        "failures_per_s": round(grew(lambda hollow: hollow.failures), 5),
    }


async def measure(plays: list[tuple[str, int]], out: Path, brief: bool, calls: int) -> list[dict[str, Any]]:
    """Play each and leave a file each."""

    def say(text: str) -> None:
        print(f"{time.strftime('%H:%M:%S')} {text}", file=sys.stderr, flush=True)

    done = []
    for kind, size in plays:
        with tempfile.TemporaryDirectory(prefix="larkcrank-way-") as folder:
            shape = Shape(WHOLE if kind == "whole" else size, calls)
            way = Tiers(shape, Path(folder)) if "tiers" in kind else Old(shape)
            try:
                told = await Run(way, size, "light" in kind, say).play(brief)
            except (ChildError, LimitError, TierError) as error:
                say(f"{kind} {size}: no result: {error}")
                continue
            finally:
                await way.close()
        told["kind"] = kind
        done.append(told)
        write_json(out / f"way-{kind}-{size}.json", told)
    return done


KINDS = ("tiers", "old", "whole", "light-tiers", "light-old")


def play(text: str) -> tuple[str, int]:
    """KIND:SIZE."""
    kind, _, size = text.partition(":")
    if kind not in KINDS or not size.isdecimal():
        raise argparse.ArgumentTypeError(f"{text!r} is not one of {', '.join(KINDS)}, a colon and a number")
    return kind, int(size)


def main() -> int:
    parser = argparse.ArgumentParser(
        description="The way of a change. tiers:N - N hollow sidecars below tiers; old:N - N hollow sidecars "
        "that watch one discovery and hold all N endpoints; whole:N - N hollow ones that hold 12,000; "
        "light-tiers:N, light-old:N - receivers that hold nothing."
    )
    parser.add_argument("plays", type=play, nargs="+", metavar="KIND:SIZE")
    parser.add_argument("--calls", type=int, default=CALLS, help="services that a sidecar calls")
    parser.add_argument("--out", type=Path, default=RUNS)
    parser.add_argument("--brief", action="store_true", help="without the minute at the sustained rate")
    words = parser.parse_args()
    asyncio.run(measure(words.plays, words.out, words.brief, words.calls))
    return 0


if __name__ == "__main__":
    sys.exit(main())
