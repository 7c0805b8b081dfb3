"""A testbed with real tier processes on loopback: origin, regions and zones, fake discoveries and watchers.

All connections between two tiers pass through a relay of the test, which injects the faults. The tests assert
counts and order; the time limit only ends a test that hangs.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from larkcrank.lab.tiers import (
    Address,
    FakeDiscovery,
    InstanceEntry,
    Relay,
    TierProcess,
    Watcher,
    format_address,
)

TEST_TIMEOUT_S = 120.0  # only ends a test that hangs


def run_with_timeout(scenario: Coroutine[Any, Any, None]) -> None:
    async def run_limited() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await scenario

    asyncio.run(run_limited())


async def wait_until(condition: Callable[[], bool], describe: Callable[[], object] = lambda: "") -> None:
    """Waits for a condition. When the test times out, raises AssertionError with the description."""
    try:
        while not condition():
            await asyncio.sleep(0.005)
    except asyncio.CancelledError:
        raise AssertionError(f"condition was not met: {describe()}") from None


def instance_entry(
    instance_id: str, lifecycle: str = "Ready", service: str = "", **fields: Any
) -> InstanceEntry:
    entry = {
        "instanceId": instance_id,
        "hostPort": "10.0.0.1:8000",
        "zone": "z",
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 0,
    }
    return entry | ({"service": service} if service else {}) | fields


def instance_entries(
    prefix: str, count: int, lifecycle: str = "Ready", service: str = "", first: int = 0
) -> list[InstanceEntry]:
    return [
        instance_entry(
            f"{prefix}-{index}", lifecycle, service, hostPort=f"10.0.{index // 250}.{index % 250 + 1}:80"
        )
        for index in range(first, first + count)
    ]


def instance_ids(prefix: str, count: int, first: int = 0) -> set[str]:
    return {f"{prefix}-{index}" for index in range(first, first + count)}


@dataclass
class TierTestbed:
    """The processes, relays and watchers of a test."""

    folder: Path
    discoveries: dict[str, FakeDiscovery] = field(default_factory=dict)
    tiers: dict[str, TierProcess] = field(default_factory=dict)
    relays: dict[tuple[str, str], Relay] = field(default_factory=dict)
    watchers: list[Watcher] = field(default_factory=list)

    async def start_discovery(
        self, name: str, entries: Iterable[InstanceEntry] = (), first_generation: int = 1
    ) -> FakeDiscovery:
        discovery = self.discoveries[name] = FakeDiscovery(entries, first_generation)
        await discovery.start()
        return discovery

    async def start_relay(self, client_name: str, target_name: str, target: Address | None = None) -> Relay:
        """Starts a relay between two processes. Its target may be set later."""
        relay = self.relays[client_name, target_name] = Relay(target)
        await relay.start()
        return relay

    async def start_relay_address(
        self, client_name: str, target_name: str, target: Address | None = None
    ) -> str:
        return format_address((await self.start_relay(client_name, target_name, target)).address)

    async def add_tier(self, name: str, start: bool = True, **config: Any) -> TierProcess:
        """Adds a tier that takes free ports and keeps them. `start`: starts it and waits until it listens."""
        config = {"name": name, "listen": "127.0.0.1:0", "ops": "127.0.0.1:0", **config}
        tier = self.tiers[name] = TierProcess(self.folder, config)
        if start:
            await tier.start()
        return tier

    async def start_watcher(
        self,
        address: Address,
        *other_addresses: Address,
        relay: bool = False,
        wait_for_list: bool = False,
        **options: Any,
    ) -> Watcher:
        """Starts a watcher that calls a door like a sidecar. `wait_for_list`: waits until it has a list."""
        watcher = Watcher([address, *other_addresses], f"w{len(self.watchers)}", **options)
        self.watchers.append(watcher)
        watcher.start()
        if wait_for_list:
            await wait_until(lambda: watcher.generation is not None, lambda: watcher.results[-3:])
        return watcher

    async def start_watchers(
        self, count: int, address: Address, *other_addresses: Address, **options: Any
    ) -> list[Watcher]:
        watchers = [await self.start_watcher(address, *other_addresses, **options) for _ in range(count)]
        await wait_until(
            lambda: all(watcher.generation is not None for watcher in watchers),
            lambda: [watcher.results[-1:] for watcher in watchers],
        )
        return watchers

    async def wait_for_lifecycles(self, watchers: Iterable[Watcher], expected: dict[str, str]) -> None:
        """Waits until each watcher holds exactly these instances with these lifecycles."""
        watchers = list(watchers)

        def differences() -> list[str]:
            return [
                f"{watcher.name} at {watcher.address_index}: "
                f"{sorted(watcher.lifecycles.items() ^ expected.items())[:5]}"
                for watcher in watchers
                if watcher.lifecycles != expected
            ]

        await wait_until(lambda: not differences(), differences)

    async def wait_until_complete(self, *tiers: TierProcess) -> None:
        """Waits until each tier has heard from all its sources; from then on its generations stay its own."""
        awaited = tiers or tuple(self.tiers.values())
        await wait_until(
            lambda: all(tier.events("tier_complete") for tier in awaited),
            lambda: [
                (tier.name, list(tier.log)[-3:]) for tier in awaited if not tier.events("tier_complete")
            ],
        )

    async def wait_for_change(self, watchers: Iterable[Watcher], instance_id: str, lifecycle: str) -> None:
        """Waits until each watcher has received this lifecycle of this instance."""
        watchers = list(watchers)
        await wait_until(
            lambda: all((instance_id, lifecycle) in watcher.first_seen_at for watcher in watchers),
            lambda: [late.name for late in watchers if (instance_id, lifecycle) not in late.first_seen_at],
        )

    def assert_no_violations(self) -> None:
        """Fails if a watcher saw a protocol violation or a tier logged a crash."""
        violations = [
            f"{watcher.name}: {violation}" for watcher in self.watchers for violation in watcher.violations
        ]
        assert not violations, violations[:10]
        for tier in self.tiers.values():
            assert not tier.events("crashed"), tier.events("crashed")[:3]

    async def close(self) -> None:
        for watcher in self.watchers:
            await watcher.stop()
        for tier in self.tiers.values():
            await tier.kill()
        for relay in self.relays.values():
            relay.close()
        for discovery in self.discoveries.values():
            discovery.stop()


@asynccontextmanager
async def running_testbed(folder: Path) -> AsyncIterator[TierTestbed]:
    """Provides a testbed, checks it for violations at the end, and stops all its processes."""
    testbed = TierTestbed(folder)
    try:
        yield testbed
        testbed.assert_no_violations()
    finally:
        await testbed.close()


async def start_three_levels(
    testbed: TierTestbed,
    regions: int = 2,
    zones: int = 1,
    endpoints: int = 10,
    doors: tuple[str, ...] = ("*",),
    services: bool = False,
    **settings: Any,
) -> None:
    """Starts an origin `o`, regions `r0`.. and zones `r0z0`..; each region has its own fake discovery.

    Relays connect (region, origin), (origin, region), (region, discovery) and (zone, region). Each zone has
    all regions in `above`, its own first.
    """
    for region_index in range(regions):
        tier_name = f"r{region_index}"
        service = f"s{region_index}" if services else ""
        await testbed.start_discovery(tier_name, instance_entries(tier_name, endpoints, service=service))
        await testbed.start_relay("o", tier_name)
        await testbed.start_relay(tier_name, "o")
        await testbed.start_relay(tier_name, f"d{region_index}", testbed.discoveries[tier_name].address)
    origin = await testbed.add_tier(
        "o",
        sources=[
            {"discovery": format_address(testbed.relays["o", f"r{region_index}"].address)}
            for region_index in range(regions)
        ],
        doors=[{"listen": "127.0.0.1:0", "services": ["*"]}],
        settings=settings,
    )
    for region_index in range(regions):
        tier_name = f"r{region_index}"
        testbed.relays[tier_name, "o"].target = origin.listen_address
        region = await testbed.add_tier(
            tier_name,
            own="127.0.0.1:0",
            sources=[{"discovery": format_address(testbed.relays[tier_name, f"d{region_index}"].address)}],
            above=[format_address(testbed.relays[tier_name, "o"].address)],
            doors=[{"listen": "127.0.0.1:0", "services": ["*"]}],
            settings=settings,
        )
        testbed.relays["o", tier_name].target = region.own_address
    # Otherwise a zone might first connect to another region and stay there for a while.
    await testbed.wait_until_complete()
    for region_index in range(regions):
        for zone_index in range(zones):
            tier_name = f"r{region_index}z{zone_index}"
            above = []
            for offset in range(regions):
                other_name = f"r{(region_index + offset) % regions}"
                above.append(
                    await testbed.start_relay_address(
                        tier_name, other_name, testbed.tiers[other_name].listen_address
                    )
                )
            await testbed.add_tier(
                tier_name,
                above=above,
                doors=[{"listen": "127.0.0.1:0", "services": [door]} for door in doors],
                settings=settings,
            )
    await testbed.wait_until_complete()


def all_ready_lifecycles(regions: int = 2, endpoints: int = 10) -> dict[str, str]:
    return dict.fromkeys(
        (instance_id for region in range(regions) for instance_id in instance_ids(f"r{region}", endpoints)),
        "Ready",
    )
