"""A sidecar's discovery client below tiers: failover between addresses, and delays from tier to tier.

The tests run in virtual time.
"""

import asyncio
import json
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from random import Random
from typing import Any

import pytest

from larkcrank.config import sidecar as config
from larkcrank.core.interface import State
from larkcrank.program.counters import Counters
from larkcrank.protocol.discovery import ListUpdate, NameTable, parse_host_port
from larkcrank.routing import discovery
from larkcrank.transport.descriptors import DescriptorBudget
from tests import virtual_loop
from tests.bed import until
from tests.frames import CONFIG
from tests.tiers_bed import DiscoveryServer, TcpProxy, TierRunner, instance, running

# From a change until the last sidecar has received it: without a fault, and after one.
MAX_DELAY_S, MAX_DELAY_AFTER_FAULT_S = 3.0, 6.0
TEST_TIMEOUT_S = 600.0  # of virtual time
ALL_SERVICES_LISTENER = {"listen": "127.0.0.1:0", "services": ["*"]}
DEFAULT_DELAYS: dict[str, Any] = {
    "spread_ms": 500.0,
    "again_max_ms": 2000.0,
    "gather_ms": 100.0,
    "wait_ms": 1000,
}
SETTINGS = DEFAULT_DELAYS | {"slack_ms": 700.0}


def run(scenario: Coroutine[Any, Any, None]) -> None:
    async def with_timeout() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await scenario

    virtual_loop.run(with_timeout())


class Sidecar:
    """A sidecar's discovery client, with the server states that its balancer would hold."""

    def __init__(self, *addresses: str, watch_ms: int | None = 1000, seed: int = 1) -> None:
        first, *others = map(parse_host_port, addresses)
        self.counters = Counters()
        self.discovery = discovery.DiscoveryClient(
            first,
            DescriptorBudget(100),
            NameTable([], []),
            500.0,
            True,
            Random(seed),
            self.counters,
            lambda where, error: self.crashes.append(error),
            fallbacks=others,
            watch_wait_ms=watch_ms,
        )
        self.crashes: list[BaseException] = []
        self.states: dict[bytes, State] = {}  # by server
        self.received_at: dict[tuple[bytes, State], float] = {}  # the first time of each state
        self.gone: set[bytes] = set()
        self.reappeared: set[bytes] = set()  # servers that were listed again after they were gone
        self.full_lists = 0
        self.discovery.on_list = self._apply

    def _apply(self, listing: ListUpdate) -> None:
        now = asyncio.get_running_loop().time()
        if listing.is_full:
            self.full_lists += 1
            listed = {endpoint.address for endpoint in listing.endpoints}
            self.gone |= self.states.keys() - listed
            self.states.clear()
        for endpoint in listing.endpoints:
            if endpoint.state is State.GONE:
                self.states.pop(endpoint.address, None)
                self.gone.add(endpoint.address)
            else:
                self.states[endpoint.address] = endpoint.state
                self.received_at.setdefault((endpoint.address, endpoint.state), now)
                if endpoint.address in self.gone:
                    self.reappeared.add(endpoint.address)

    async def wait_for(self, server: bytes, state: State) -> float:
        """When the sidecar first received this state of the server."""
        await until(lambda: (server, state) in self.received_at)
        return self.received_at[server, state]


@asynccontextmanager
async def watching(*sidecars: Sidecar) -> AsyncIterator[None]:
    for sidecar in sidecars:
        sidecar.discovery.watch()
    try:
        await until(lambda: all(sidecar.states for sidecar in sidecars))
        yield
    finally:
        for sidecar in sidecars:
            sidecar.discovery.close()
        assert not any(sidecar.crashes for sidecar in sidecars)


async def until_checking_every_50_ms(condition: Any) -> None:
    while not condition():
        await asyncio.sleep(0.05)


@asynccontextmanager
async def two_zones() -> AsyncIterator[
    tuple[DiscoveryServer, TierRunner, TierRunner, TierRunner, list[TcpProxy]]
]:
    """A region and two zone tiers below it.

    The proxies are, in this order: two from sidecars to the zones, and two from the zones to the region.
    """
    source = await DiscoveryServer("s-1", "s-2", "s-3").start()
    source_config = {"discovery": source.address, "service": "svc-1"}
    region = TierRunner(name="region", sources=[source_config], settings=SETTINGS)
    async with running(region):
        region_proxies = [await TcpProxy(region.child_address).start() for _ in range(2)]
        zones = [
            TierRunner(
                name=name, above=[region_proxy.address], doors=[ALL_SERVICES_LISTENER], settings=SETTINGS
            )
            for name, region_proxy in zip(("one", "two"), region_proxies, strict=True)
        ]
        async with running(*zones):
            zone_proxies = [await TcpProxy(zone.sidecar_address()).start() for zone in zones]
            yield source, region, zones[0], zones[1], [*zone_proxies, *region_proxies]
            for proxy in zone_proxies:
                proxy.stop()
        for proxy in region_proxies:
            proxy.stop()
    source.stop()


def test_without_a_fault_a_change_reaches_all_sidecars_in_time() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        async with two_zones() as (source, _, _, _, proxies):
            sidecars = [
                Sidecar(proxies[n % 2].address, proxies[1 - n % 2].address, seed=n) for n in range(20)
            ]
            async with watching(*sidecars):
                await asyncio.sleep(5.0)
                for n, lifecycle in enumerate(("Terminating", "Ready", "Terminating", "Ready")):
                    changed_at = loop.time()
                    source.publish(instance(f"s-{n % 3 + 1}", lifecycle), instance(f"n-{n}"))
                    received_at = [
                        await sidecar.wait_for(f"n-{n}".encode(), State.READY) for sidecar in sidecars
                    ]
                    assert max(received_at) - changed_at < MAX_DELAY_S

    run(scenario())


@pytest.mark.parametrize("fault", ["killed", "half open", "deaf"])
def test_sidecars_of_a_failed_zone_move_to_the_other_in_time_spread_out_and_see_nothing_return(
    fault: str,
) -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        async with two_zones() as (source, _, failing, other, proxies):
            sidecars = [Sidecar(proxies[0].address, proxies[1].address, seed=n) for n in range(40)]
            async with watching(*sidecars):
                await asyncio.sleep(5.0)
                source.publish(instance("s-3", "Gone"))
                await until_checking_every_50_ms(
                    lambda: all(b"s-3" not in sidecar.states for sidecar in sidecars)
                )
                failed_at = loop.time()
                calls_before = other.tier.calls
                if fault == "killed":
                    await failing.stop()
                    proxies[0].reset()
                elif fault == "half open":
                    proxies[0].stall()
                else:
                    proxies[2].stall()  # the zone keeps its sidecars and loses its parent
                source.publish(instance("s-1", "Terminating"))
                received_at = [await sidecar.wait_for(b"s-1", State.DRAINING) for sidecar in sidecars]
                assert max(received_at) - failed_at < MAX_DELAY_AFTER_FAULT_S
                assert max(received_at) - min(received_at) > 0.2  # spread, not all at once
                assert other.tier.calls - calls_before < 40 * 12 and other.tier.full_answers >= 40
                assert not any(sidecar.reappeared for sidecar in sidecars)
                if fault == "killed":
                    proxies[0].upstream = "127.0.0.1:9"
                    full_answers_before = other.tier.full_answers
                    await asyncio.sleep(90.0)
                    # The sidecars have tried their first address again, in vain.
                    assert other.tier.full_answers == full_answers_before

    run(scenario())


def test_sidecars_return_to_a_recovered_first_address_one_by_one() -> None:
    async def scenario() -> None:
        async with two_zones() as (source, _, first, second, proxies):
            sidecars = [Sidecar(proxies[0].address, proxies[1].address, seed=n) for n in range(40)]
            async with watching(*sidecars):
                await asyncio.sleep(2.0)
                proxies[0].stall()
                await until_checking_every_50_ms(
                    lambda: len(second.tier.sidecar_listeners[0].receivers) == 40
                )
                proxies[0].reset()
                return_times: list[float] = []
                while len(return_times) < 40:
                    returned = len(first.tier.sidecar_listeners[0].receivers)
                    return_times += [asyncio.get_running_loop().time()] * (returned - len(return_times))
                    await asyncio.sleep(0.25)
                assert max(return_times.count(at) for at in return_times) <= 8  # of 40 over 40 s
                source.publish(instance("s-1", "Terminating"))
                for sidecar in sidecars:
                    await sidecar.wait_for(b"s-1", State.DRAINING)
                # One at the start, one after the failover, and one after the return.
                assert all(sidecar.full_lists == 3 for sidecar in sidecars)

    run(scenario())


def test_a_single_address_gets_the_same_calls_as_without_tiers() -> None:
    async def scenario() -> None:
        source = await DiscoveryServer("s-1").start()
        sidecar = Sidecar(source.address, watch_ms=None)
        async with watching(sidecar):
            source.publish(instance("s-2"))
            await sidecar.wait_for(b"s-2", State.READY)
            await until_checking_every_50_ms(lambda: len(source.targets) == 3)
        assert source.targets == [
            "/registry/instances",
            "/registry/instances?after=1&wait_ms=60000",
            "/registry/instances?after=2&wait_ms=60000",
        ]
        source.stop()

    run(scenario())


def parse_config(**fields: Any) -> config.Config:
    file = json.loads(json.dumps({"settings": CONFIG, "name": "n", "listen": "127.0.0.1:0"} | fields))
    return config.parse(json.dumps(file).encode(), {})


def test_configuration_takes_several_discovery_addresses_and_the_watch_wait() -> None:
    single = parse_config(discovery="127.0.0.1:1")
    assert (single.discovery, single.fallback_discovery, single.watch_ms) == (("127.0.0.1", 1), (), None)
    notations: tuple[Any, ...] = (["127.0.0.1:1", "127.0.0.1:2"], "127.0.0.1:1, 127.0.0.1:2")
    for addresses in notations:
        double = parse_config(discovery=addresses, watch_ms=1500)
        assert double.discovery == ("127.0.0.1", 1) and double.fallback_discovery == (("127.0.0.1", 2),)
        assert double.watch_ms == 1500 and "watch_ms" in single.changes_needing_restart(double)


@pytest.mark.parametrize(
    ("fields", "key"),
    [
        ({"discovery": []}, "discovery:"),
        ({"discovery": ["127.0.0.1:1", "x"]}, "discovery[1]:"),
        ({"discovery": ["127.0.0.1:1", "127.0.0.1:1"]}, "discovery:"),
        ({"discovery": "127.0.0.1:1", "watch_ms": 60001}, "watch_ms:"),
        ({"discovery": "127.0.0.1:1", "watch_ms": 0}, "watch_ms:"),
        (
            {
                "discovery": ["127.0.0.1:1", "127.0.0.1:2"],
                "fleet": {"name": "f", "listen": "127.0.0.1:0", "recovery": {}},
            },
            "discovery:",
        ),
    ],
)
def test_an_invalid_address_or_wait_is_reported_with_its_key(fields: dict[str, Any], key: str) -> None:
    with pytest.raises(config.ConfigError) as error:
        parse_config(**fields)
    assert str(error.value).startswith(key)
