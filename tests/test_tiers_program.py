"""Tiers on loopback: propagation, what is served in which state, failover, and faulty answers."""

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from larkcrank.tiers import config
from tests.bed import run, until
from tests.tiers_bed import (
    DiscoveryServer,
    ListClient,
    TcpProxy,
    TierRunner,
    instance,
    operator_call,
    poll_until,
    poll_until_list,
    running,
)

ALL_SERVICES_LISTENER = {"listen": "127.0.0.1:0", "services": ["*"]}


def sidecar_listener(*services: str) -> dict[str, Any]:
    return {"listen": "127.0.0.1:0", "services": list(services)}


@asynccontextmanager
async def single_tier(
    *instance_ids: str, **config_fields: Any
) -> AsyncIterator[tuple[DiscoveryServer, TierRunner]]:
    """One tier with one discovery server."""
    source = await DiscoveryServer(*instance_ids).start()
    source_config = {"discovery": source.address, "service": "svc-1"} | config_fields.pop("source", {})
    runner = TierRunner(
        sources=[source_config], **({"doors": [ALL_SERVICES_LISTENER], "ops": "127.0.0.1:0"} | config_fields)
    )
    try:
        async with running(runner):
            yield source, runner
    finally:
        source.stop()


@asynccontextmanager
async def three_tiers(
    *instance_ids: str,
) -> AsyncIterator[tuple[DiscoveryServer, TcpProxy, TierRunner, TierRunner, TierRunner]]:
    """An origin, a region and a zone with one discovery server; the proxy is between region and origin."""
    source = await DiscoveryServer(*instance_ids).start()
    origin_proxy = await TcpProxy("").start()
    region = TierRunner(
        name="region",
        own="127.0.0.1:0",
        sources=[{"discovery": source.address, "service": "svc-1"}],
        above=[origin_proxy.address],
        ops="127.0.0.1:0",
    )
    async with running(region):
        origin = TierRunner(name="origin", sources=[{"discovery": region.parent_address}], ops="127.0.0.1:0")
        async with running(origin):
            origin_proxy.upstream = origin.child_address
            zone = TierRunner(
                name="zone",
                above=[region.child_address],
                doors=[sidecar_listener("svc-1"), sidecar_listener("svc-2")],
            )
            async with running(zone):
                yield source, origin_proxy, origin, region, zone
    origin_proxy.stop()
    source.stop()


def test_a_change_passes_through_three_tiers_to_a_sidecar() -> None:
    async def scenario() -> None:
        async with three_tiers("s-1", "s-2") as (source, _, origin, _, zone):
            sidecar = ListClient(zone.sidecar_address())
            await poll_until_list(sidecar)
            assert sidecar.lifecycles == {"s-1": "Ready", "s-2": "Ready"}
            source.publish(instance("s-1", "Terminating"))
            await poll_until(sidecar, lambda: sidecar.lifecycles["s-1"] == "Terminating")
            source.publish(instance("s-1", "Gone"), instance("s-3"))
            await poll_until(sidecar, lambda: sidecar.lifecycles == {"s-2": "Ready", "s-3": "Ready"})
            assert set(sidecar.instances["s-3"]) == set(instance("s-3"))  # only the published fields
            origin_child = ListClient(origin.child_address)
            await poll_until_list(origin_child)
            await poll_until(origin_child, lambda: "s-3" in origin_child.instances)
            fields = origin_child.instances["s-3"]
            assert (
                fields["owner"] == "region" and fields["service"] == "svc-1" and len(fields["version"]) == 2
            )
            sidecar.close()
            origin_child.close()

    run(scenario())


def test_a_sidecar_listener_serves_its_services_only_and_ignores_changes_of_others() -> None:
    async def scenario() -> None:
        source_a, source_b = await DiscoveryServer("a-1").start(), await DiscoveryServer("b-1").start()
        runner = TierRunner(
            sources=[
                {"discovery": source_a.address, "service": "a"},
                {"discovery": source_b.address, "service": "b"},
            ],
            doors=[sidecar_listener("a"), sidecar_listener("a", "b")],
        )
        async with running(runner):
            sidecar_a, sidecar_ab = (
                ListClient(runner.sidecar_address(0)),
                ListClient(runner.sidecar_address(1)),
            )
            await poll_until_list(sidecar_ab)
            await poll_until(sidecar_ab, lambda: sidecar_ab.instances.keys() == {"a-1", "b-1"})
            await poll_until_list(sidecar_a)
            assert sidecar_a.instances.keys() == {"a-1"}
            watch = asyncio.create_task(sidecar_a.poll())
            source_b.publish(instance("b-2"))
            await poll_until(sidecar_ab, lambda: "b-2" in sidecar_ab.instances)
            assert not watch.done()
            source_a.publish(instance("a-2"))
            assert await watch == 200 and sidecar_a.instances.keys() == {"a-1", "a-2"}
            sidecar_a.close()
            sidecar_ab.close()
        source_a.stop()
        source_b.stop()

    run(scenario())


@pytest.mark.parametrize(
    ("faulty_body", "reason"),
    [
        (b"", "malformed"),
        (b'{"generation":9', "malformed"),
        (b'{"generation":9,"reset":true,"instances":[{"instanceId":5,"lifecycle":"Ready"}]}', "malformed"),
        (b'{"generation":9,"reset":true,"instances":[{"instanceId":"","lifecycle":"Ready"}]}', "malformed"),
        (b'{"generation":-1,"reset":true,"instances":[]}', "malformed"),
        (b'{"generation":9,"reset":true,"instances":[]}', "empty"),
        (b'{"generation":9,"reset":true,"instances":[{"instanceId":"x","lifecycle":"Gone"}]}', "empty"),
        (b'{"generation":0,"reset":false,"instances":[]}', "foreign"),
        (b'{"generation":9,"reset":true,"owners":{},"instances":[]}', "foreign"),
        (
            b'{"generation":9,"reset":true,"instances":[{"instanceId":"x","lifecycle":"Ready","service":"q"}]}',
            "unknown service",
        ),
        (b'{"generation":9,"instances":[],"more":"' + b"x" * 20_000 + b'"}', "malformed: body too large"),
        (None, "silent"),
    ],
)
def test_a_faulty_answer_is_logged_as_a_failed_call_and_changes_nothing(
    faulty_body: bytes | None, reason: str
) -> None:
    async def scenario() -> None:
        async with single_tier("s-1", "s-2", settings={"answer_bytes": 10_000}) as (source, runner):
            sidecar = ListClient(runner.sidecar_address())
            await poll_until_list(sidecar)
            watch = asyncio.create_task(sidecar.poll())
            source.transform_body = lambda _: faulty_body
            source.publish(instance("s-3"))
            await until(lambda: bool(runner.events("tier_call_failed")))
            assert runner.events("tier_call_failed")[0]["reason"].startswith(reason)
            assert not watch.done() and runner.tier.table.live_count == 2
            source.transform_body = lambda body: body
            assert await watch == 200
            assert sidecar.lifecycles == {"s-1": "Ready", "s-2": "Ready", "s-3": "Ready"}
            assert runner.events("tier_call_good")
            sidecar.close()

    run(scenario())


def test_after_a_restart_of_discovery_the_instances_that_it_still_lists_stay() -> None:
    async def scenario() -> None:
        async with single_tier("s-1", "s-2") as (source, runner):
            sidecar = ListClient(runner.sidecar_address())
            await poll_until_list(sidecar)
            source.stop()
            await until(lambda: bool(runner.events("tier_call_failed")))
            source.reset_generations("s-2", "s-3")
            await source.start()
            await poll_until(sidecar, lambda: sidecar.instances.keys() == {"s-2", "s-3"})
            assert not sidecar.last_answer["reset"]
            sidecar.close()

    run(scenario())


def test_a_generation_of_another_process_gets_a_full_answer() -> None:
    async def scenario() -> None:
        async with single_tier("s-1", "s-2") as (source, runner):
            sidecar = ListClient(runner.sidecar_address())
            await poll_until_list(sidecar)
            source.publish(instance("s-1", "Gone"))
            await poll_until(sidecar, lambda: "s-1" not in sidecar.instances)
            generation_before = sidecar.generation
            sidecar.close()
            await runner.stop()
            await runner.start()
            reconnected = ListClient(runner.sidecar_address())
            reconnected.generation, reconnected.instances = generation_before, {"s-1": {}, "s-2": {}}
            while await reconnected.poll() != 200:
                await asyncio.sleep(0.01)
            assert reconnected.last_answer["reset"] and reconnected.instances.keys() == {"s-2"}
            for foreign_generation in (1, 41, (reconnected.generation or 0) + 1):
                reconnected.generation = foreign_generation
                assert await reconnected.poll() == 200 and reconnected.last_answer["reset"]
            reconnected.close()

    run(scenario())


def test_a_tier_without_any_answer_serves_no_list() -> None:
    async def scenario() -> None:
        async with single_tier("s-1") as (source, runner):
            source.transform_body = lambda _: None
            await runner.stop()
            await runner.start()
            for address in (runner.sidecar_address(), runner.child_address):
                client = ListClient(address)
                assert await client.poll() == 503
                client.generation = 41
                assert await client.poll() == 503
                client.close()
            assert await operator_call(runner, "PING") == (400, "starting")

    run(scenario())


def test_a_tier_with_a_silent_source_refuses_newcomers_that_hold_another_list() -> None:
    async def scenario() -> None:
        async with single_tier("s-1", settings={"fresh_ms": 400.0}) as (source, runner):
            known, newcomer = ListClient(runner.sidecar_address()), ListClient(runner.sidecar_address())
            await poll_until_list(known)
            assert (await operator_call(runner, "PING"))[0] == 200
            source.transform_body = lambda _: None
            await until(lambda: bool(runner.events("tier_stale")))
            assert runner.events("tier_stale")[0]["not_heard"] == [source.address]
            assert await operator_call(runner, "PING") == (400, "stale")
            newcomer.generation = 41
            assert await newcomer.poll() == 503  # it keeps its list
            child = ListClient(runner.child_address)
            child.generation = 41
            assert await child.poll() == 503
            child.close()
            newcomer.generation = None
            assert await newcomer.poll() == 200  # a stale list is better than none
            assert await known.poll(wait_ms=10) == 200 and not known.last_answer["reset"]
            source.transform_body = lambda body: body
            await until(lambda: len(runner.events("tier_fresh")) == 2)
            newcomer.generation = 41
            assert await newcomer.poll() == 200 and newcomer.last_answer["reset"]
            known.close()
            newcomer.close()

    run(scenario())


@pytest.mark.parametrize("is_waiting", [False, True])
def test_a_child_tier_gets_provisional_answers_and_then_a_full_one_when_all_sources_have_answered(
    is_waiting: bool,
) -> None:
    async def scenario() -> None:
        source_a, source_b = await DiscoveryServer("a-1").start(), await DiscoveryServer("b-1").start()
        source_b.transform_body = lambda _: None
        runner = TierRunner(
            sources=[{"discovery": source.address, "service": "a"} for source in (source_a, source_b)]
        )
        async with running(runner):
            child = ListClient(runner.child_address)
            await poll_until_list(child)
            # Without known versions the child cannot conclude that an instance is gone.
            assert child.last_answer["provisional"] and child.last_answer["owners"] == {}
            watch = asyncio.create_task(child.poll()) if is_waiting else None
            source_b.transform_body = lambda body: body
            await until(lambda: runner.tier.is_complete)
            assert await (watch or child.poll()) == 200 and not child.last_answer["provisional"]
            assert child.last_answer["reset"] and child.instances.keys() == {"a-1", "b-1"}
            assert child.last_answer["owners"].keys() == {"t"}
            child.close()
        source_a.stop()
        source_b.stop()

    run(scenario())


def test_full_answers_above_the_rate_limit_are_delayed_or_refused() -> None:
    async def scenario() -> None:
        limits = {"wholes_per_s": 2.0, "whole_wait_ms": 600.0}
        async with single_tier("s-1", settings=limits) as (_, runner):
            first = ListClient(runner.sidecar_address())
            await poll_until_list(first)
            others = [ListClient(runner.sidecar_address()) for _ in range(40)]
            statuses = await asyncio.gather(*(client.poll() for client in others))
            assert set(statuses) == {200, 503} and statuses.count(200) < 20
            assert runner.tier.refused_calls >= 20
            assert await first.poll(wait_ms=1) == 200  # the limit does not apply to deltas
            for client in (first, *others):
                client.close()

    run(scenario())


def test_a_connection_whose_peer_does_not_read_is_cut_and_delays_no_other() -> None:
    async def scenario() -> None:
        instance_ids = [f"s-{n}" for n in range(4000)]
        async with single_tier(*instance_ids, settings={"write_ms": 300.0, "wholes_per_s": 1000.0}) as (
            source,
            runner,
        ):
            sidecar = ListClient(runner.sidecar_address())
            await poll_until_list(sidecar)
            _, writer = await asyncio.open_connection(*runner.tier.sidecar_listeners[0].address, limit=1)
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            round_number = 0
            while not runner.tier.cut_connections:
                round_number += 1
                if not writer.transport.is_closing():
                    writer.write(b"GET /registry/instances HTTP/1.1\r\nHost: x\r\n\r\n")
                watch = asyncio.create_task(sidecar.poll())
                source.publish(instance("s-0", weight=float(round_number)))
                assert await watch == 200 and sidecar.instances["s-0"]["weight"] == round_number
            writer.transport.abort()
            await until(lambda: len(runner.tier.receivers) == 1)
            sidecar.close()

    run(scenario())


def test_connections_above_the_limit_are_rejected() -> None:
    async def scenario() -> None:
        async with single_tier("s-1", settings={"connections": 2}) as (_, runner):
            accepted = [ListClient(runner.sidecar_address()) for _ in range(2)]
            for client in accepted:
                await poll_until_list(client)
            rejected = ListClient(runner.sidecar_address())
            with pytest.raises(ConnectionError):
                await rejected.poll()
            assert runner.tier.rejected_connections == 1 and await accepted[0].poll(wait_ms=1) == 200
            for client in (*accepted, rejected):
                client.close()

    run(scenario())


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"GET /registry/instances?after=x HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (b"GET /registry/instances?after=-1&wait_ms=5 HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (b"GET /other HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (b"PUT /registry/instances HTTP/1.1\r\nHost: x\r\n\r\n", 405),
        (b"nonsense\r\n\r\n", 400),
        (b"GET /registry/instances HTTP/1.1\r\nHost: x\r\n" + b"A: " + b"x" * 20_000, 431),
        (b"GET /registry/instances HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody", 413),
        (b"GET /registry/instances HTTP/1.1\r\nHost: x\r\n\r\n" * 2, 400),
    ],
)
def test_an_invalid_request_gets_an_error_status(request_bytes: bytes, status: int) -> None:
    async def scenario() -> None:
        async with single_tier("s-1") as (_, runner):
            reader, writer = await asyncio.open_connection(*runner.tier.sidecar_listeners[0].address)
            writer.write(request_bytes)
            assert (await reader.readline()).startswith(b"HTTP/1.1 %d " % status)
            writer.transport.abort()

    run(scenario())


def test_the_origin_reports_which_sidecars_hold_a_change() -> None:
    async def scenario() -> None:
        async with three_tiers("s-1") as (source, _, origin, _, zone):
            current, lagging = ListClient(zone.sidecar_address()), ListClient(zone.sidecar_address())
            other_service = ListClient(zone.sidecar_address(1))
            for client in (current, lagging):
                await poll_until_list(client)
            await asyncio.sleep(0)
            watch = asyncio.create_task(current.poll())
            await lagging.poll(wait_ms=1)

            async def held_counts() -> tuple[int, int]:
                _, report = await operator_call(origin, "HELD")
                return report["held"], report["not_held"]

            lagging_watch = asyncio.create_task(lagging.poll())
            while await held_counts() != (2, 0):
                await asyncio.sleep(0.02)
            source.publish(instance("s-1", "Terminating"))
            assert await watch == await lagging_watch == 200
            watch = asyncio.create_task(current.poll())  # only this one acknowledges the change
            while await held_counts() != (1, 1):
                await asyncio.sleep(0.02)
            _, report = await operator_call(origin, f"HELD {origin.tier.table.generation}")
            assert report["not_held"] == 1
            laggard = report["late"][0]
            assert (laggard["tier"], laggard["door"]) == ("zone", "doors[0]") and laggard["peer"].startswith(
                "127."
            )
            assert (await operator_call(origin, "HELD 41"))[0] == 400
            lagging_watch = asyncio.create_task(lagging.poll())
            while await held_counts() != (2, 0):
                await asyncio.sleep(0.02)
            await until(lambda: bool(origin.events("tier_held")))
            assert origin.events("tier_held")[-1]["sidecars"] == 2
            for task in (watch, lagging_watch):
                task.cancel()
            for client in (current, lagging, other_service):
                client.close()

    run(scenario())


def test_a_lagging_sidecar_is_logged_with_its_listener() -> None:
    async def scenario() -> None:
        async with single_tier("s-1", settings={"held_ms": 300.0}) as (source, runner):
            sidecar = ListClient(runner.sidecar_address())
            await poll_until_list(sidecar)
            watch = asyncio.create_task(sidecar.poll())
            source.publish(instance("s-1", "Terminating"))
            await watch
            await until(lambda: bool(runner.events("tier_lagging")))
            event = runner.events("tier_lagging")[0]
            assert event["not_held"] == 1 and event["late"][0]["door"] == "doors[0]"
            watch = asyncio.create_task(sidecar.poll())
            await until(lambda: bool(runner.events("tier_held")))
            watch.cancel()
            sidecar.close()

    run(scenario())


def test_a_region_cut_off_from_its_parent_serves_on_and_needs_no_full_list_afterwards() -> None:
    async def scenario() -> None:
        async with three_tiers("s-1", "s-2") as (source, origin_proxy, origin, region, zone):
            other_source = await DiscoveryServer("f-1").start()
            other_region = TierRunner(
                name="other",
                own="127.0.0.1:0",
                sources=[{"discovery": other_source.address, "service": "svc-2"}],
                above=[origin.child_address],
            )
            async with running(other_region):
                await origin.stop()
                listen = origin.config_fields["listen"] = origin_proxy.upstream
                origin.config_fields["sources"].append({"discovery": other_region.parent_address})
                # The origin's calls to the region have a proxy of their own, which is stalled as well.
                region_proxy = await TcpProxy(region.parent_address).start()
                origin.config_fields["sources"][0]["discovery"] = region_proxy.address
                await origin.start()
                assert origin.child_address == listen
                sidecar = ListClient(zone.sidecar_address(0))
                other_sidecar = ListClient(zone.sidecar_address(1))
                await poll_until_list(other_sidecar)
                await poll_until_list(sidecar)
                await until(
                    lambda: all(runner.tier.is_complete for runner in (origin, region, zone, other_region))
                )
                await until(lambda: len(other_region.tier.table.live_records(None)) == 3)
                full_requests = [
                    feed.full_requests
                    for runner in (origin, region, other_region)
                    for feed in runner.tier._feeds
                ]
                origin_proxy.stall()
                region_proxy.stall()
                source.publish(instance("s-1", "Gone"), instance("s-3"))
                other_source.publish(instance("f-1", "Gone"), instance("f-2"))
                await poll_until(sidecar, lambda: sidecar.instances.keys() == {"s-2", "s-3"})
                origin_child = ListClient(origin.child_address)
                await poll_until_list(origin_child)
                await poll_until(origin_child, lambda: origin_child.instances.keys() == {"s-1", "s-2", "f-2"})
                await until(lambda: region.tier.parent is not None and bool(region.tier.parent.current_error))
                origin_proxy.reset()
                region_proxy.reset()
                await poll_until(origin_child, lambda: origin_child.instances.keys() == {"s-2", "s-3", "f-2"})
                await poll_until(other_sidecar, lambda: other_sidecar.instances.keys() == {"f-2"})
                assert full_requests == [
                    feed.full_requests
                    for runner in (origin, region, other_region)
                    for feed in runner.tier._feeds
                ]
                for client in (sidecar, other_sidecar, origin_child):
                    client.close()
                region_proxy.stop()
            other_source.stop()

    run(scenario())


def test_a_tier_fails_over_to_another_parent_and_returns_without_a_full_list() -> None:
    async def scenario() -> None:
        async with single_tier("s-1", name="first") as (source, first):
            second = TierRunner(name="second", above=[first.child_address])
            async with running(second):
                first_proxy = await TcpProxy(first.child_address).start()
                zone = TierRunner(
                    name="zone",
                    above=[first_proxy.address, second.child_address],
                    doors=[ALL_SERVICES_LISTENER],
                    settings={"back_min_ms": 300.0, "back_max_ms": 600.0},
                )
                async with running(zone):
                    sidecar = ListClient(zone.sidecar_address())
                    await poll_until_list(sidecar)
                    assert zone.tier.parent is not None
                    first_proxy.stall()
                    source.publish(instance("s-1", "Terminating"))
                    await poll_until(sidecar, lambda: sidecar.lifecycles == {"s-1": "Terminating"})
                    assert zone.tier.parent.current_address == second.child_address and zone.events(
                        "tier_moved"
                    )
                    full_requests = zone.tier.parent.full_requests
                    first_proxy.reset()
                    await until(
                        lambda: (
                            zone.tier.parent is not None
                            and zone.tier.parent.current_address == first_proxy.address
                        )
                    )
                    source.publish(instance("s-1", "Ready"))
                    await poll_until(sidecar, lambda: sidecar.lifecycles == {"s-1": "Ready"})
                    # The zone still knows the first parent's last generation, which gets a delta.
                    assert zone.tier.parent.full_requests == full_requests
                    sidecar.close()
                first_proxy.stop()

    run(scenario())


def test_a_sidecar_that_comes_from_a_more_current_tier_gets_no_older_list() -> None:
    async def scenario() -> None:
        async with single_tier("s-1", "s-2") as (source, region):
            region_proxy = await TcpProxy(region.child_address).start()
            zone = TierRunner(
                name="zone", above=[region_proxy.address], doors=[ALL_SERVICES_LISTENER], ops="127.0.0.1:0"
            )
            async with running(zone):
                sidecar = ListClient(region.sidecar_address())
                await poll_until_list(sidecar)
                await until(lambda: zone.tier.is_complete)
                region_proxy.stall()
                source.publish(instance("s-1", "Gone"))
                await poll_until(sidecar, lambda: sidecar.instances.keys() == {"s-2"})
                moved = ListClient(zone.sidecar_address())
                moved.generation, moved.instances = sidecar.generation, dict(sidecar.instances)
                poll = asyncio.create_task(moved.poll())
                await until(lambda: bool(zone.events("tier_call_failed")))
                assert zone.tier.table.live_count == 2  # the zone lacks the change and holds its answer back
                region_proxy.reset()
                while await poll != 200:
                    poll = asyncio.create_task(moved.poll())
                assert moved.instances.keys() == {"s-2"} and not moved.reappeared
                for client in (sidecar, moved):
                    client.close()
            region_proxy.stop()

    run(scenario())


def test_a_tier_without_sources_ends_its_watches_when_its_parent_is_silent_and_a_region_does_not() -> None:
    async def scenario() -> None:
        settings = {"deaf_ms": 700.0}
        async with three_tiers("s-1") as (source, origin_proxy, _, region, _):
            region_proxy = await TcpProxy(region.child_address).start()
            zone = TierRunner(
                name="deaf",
                above=[region_proxy.address],
                doors=[ALL_SERVICES_LISTENER],
                settings=settings,
                ops="127.0.0.1:0",
            )
            async with running(zone):
                zone_client, region_client = (
                    ListClient(zone.sidecar_address()),
                    ListClient(region.child_address),
                )
                await until(lambda: zone.tier.is_complete)
                await poll_until_list(zone_client)
                await poll_until_list(region_client)
                watch = asyncio.create_task(zone_client.poll())
                region_proxy.stall()
                origin_proxy.stall()  # the region loses its parent as well
                assert await watch == 503 and zone.events("tier_deaf")
                assert await zone_client.poll() == 503  # new calls are refused too
                assert (await operator_call(zone, "STATE"))[1]["deaf"] is True
                await until(lambda: bool(region.tier.parent and region.tier.parent.current_error))
                source.publish(instance("s-2"))
                await poll_until(region_client, lambda: region_client.instances.keys() == {"s-1", "s-2"})
                region_proxy.reset()
                while await zone_client.poll() != 200:
                    await asyncio.sleep(0.02)
                await poll_until(zone_client, lambda: zone_client.instances.keys() == {"s-1", "s-2"})
                zone_client.close()
                region_client.close()
            region_proxy.stop()

    run(scenario())


def test_a_tier_leaves_a_stale_fallback_parent_for_a_current_one() -> None:
    async def scenario() -> None:
        settings = {"deaf_ms": 700.0}  # without staleness the first parent is retried after 20 s or more
        async with single_tier("s-1", name="top") as (source, top):
            top_proxy = await TcpProxy(top.child_address).start()
            other_source = await DiscoveryServer("f-1").start()
            first = TierRunner(name="here", above=[top.child_address])
            fallback = TierRunner(
                name="near",
                above=[top_proxy.address],
                settings=settings,
                sources=[{"discovery": other_source.address}],
            )
            async with running(first, fallback):
                first_proxy = await TcpProxy(first.child_address).start()
                zone = TierRunner(
                    name="zone",
                    above=[first_proxy.address, fallback.child_address],
                    doors=[ALL_SERVICES_LISTENER],
                    settings=settings,
                )
                async with running(zone):
                    sidecar = ListClient(zone.sidecar_address())
                    await poll_until_list(sidecar)
                    first_proxy.stall()
                    await until(
                        lambda: bool(
                            zone.tier.parent and zone.tier.parent.current_address == fallback.child_address
                        )
                    )
                    await poll_until(sidecar, lambda: sidecar.instances.keys() == {"s-1", "f-1"})
                    first_proxy.reset()
                    top_proxy.stall()  # the fallback still answers but has lost its own parent
                    source.publish(instance("s-1", "Terminating"))
                    await poll_until(sidecar, lambda: sidecar.lifecycles["s-1"] == "Terminating")
                    assert (
                        zone.tier.parent is not None
                        and zone.tier.parent.current_address == first_proxy.address
                    )
                    sidecar.close()
                first_proxy.stop()
            other_source.stop()
            top_proxy.stop()

    run(scenario())


def test_a_sidecar_that_was_cut_off_while_it_lacked_a_change_is_still_reported() -> None:
    async def scenario() -> None:
        async with single_tier("s-1", settings={"idle_ms": 300.0}) as (source, runner):
            sidecar = ListClient(runner.sidecar_address())
            await poll_until_list(sidecar)
            await sidecar.poll(wait_ms=1)
            source.publish(instance("s-1", "Terminating"))
            await until(lambda: not runner.tier.receivers)  # the connection was idle for idle_ms
            _, report = await operator_call(runner, "HELD")
            assert (report["held"], report["not_held"]) == (0, 1)
            assert report["late"][0]["door"] == "doors[0] (left)"
            sidecar.close()
            await poll_until(sidecar, lambda: sidecar.lifecycles == {"s-1": "Terminating"})
            watch = asyncio.create_task(sidecar.poll())
            await until(lambda: bool(runner.tier.sidecar_listeners[0].waiting))
            _, report = await operator_call(runner, "HELD")
            assert (report["held"], report["not_held"]) == (1, 0)
            watch.cancel()
            sidecar.close()

    run(scenario())


VALID_CONFIG = {"name": "z", "listen": "127.0.0.1:0", "above": ["127.0.0.1:1"]}


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"name": ""}, "name:"),
        ({"name": 5}, "$.name"),
        ({"listen": "nowhere"}, "listen:"),
        ({"listen": None}, "$.listen"),
        ({"own": "127.0.0.1"}, "own:"),
        ({"ops": "127.0.0.1:99999"}, "ops:"),
        ({"doors": [{"listen": "127.0.0.1:0"}]}, "`services` - at `$.doors[0]`"),
        ({"doors": [{"listen": "127.0.0.1:0", "services": []}]}, "doors[0].services:"),
        ({"doors": [sidecar_listener("a", "*")]}, "doors[0].services:"),
        ({"doors": [sidecar_listener("a"), {"listen": ":", "services": ["a"]}]}, "doors[1].listen:"),
        ({"doors": [sidecar_listener("q")], "services": ["a"]}, "doors[0].services[0]:"),
        ({"sources": [{"discovery": "127.0.0.1:0"}]}, "sources[0].discovery:"),
        ({"sources": [{"discovery": "127.0.0.1:7"}, {"discovery": "127.0.0.1:7"}]}, "sources:"),
        ({"above": ["x"]}, "above[0]:"),
        ({"above": ["127.0.0.1:1", "127.0.0.1:1"]}, "above:"),
        ({"above": []}, "sources:"),
        ({"listen": "127.0.0.1:4", "above": ["127.0.0.1:4"]}, "above[0]:"),
        ({"listen": "127.0.0.1:4", "own": "127.0.0.1:4"}, "own:"),
        ({"settings": {"gather_ms": -1}}, "settings.gather_ms:"),
        ({"settings": {"gather_ms": "x"}}, "$.settings.gather_ms"),
        ({"settings": {"gathering": 1}}, "gathering"),
        ({"settings": {"back_min_ms": 9e9}}, "settings.back_max_ms:"),
        ({"settings": {"longest_wait_ms": 60001}}, "settings.longest_wait_ms:"),
        ({"door": []}, "door"),
    ],
)
def test_an_invalid_configuration_is_reported_with_its_key(change: dict[str, Any], key: str) -> None:
    with pytest.raises(config.ConfigError) as error:
        config.parse(json.dumps(VALID_CONFIG | change).encode())
    assert key in str(error.value)


async def _start_process(path: Path) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "larkcrank", "tier", str(path), stderr=asyncio.subprocess.PIPE
    )


def test_the_command_listens_stops_on_sigterm_and_rejects_an_invalid_configuration(tmp_path: Path) -> None:
    async def scenario() -> None:
        path = tmp_path / "tier.json"
        path.write_text(json.dumps(VALID_CONFIG | {"ops": "127.0.0.1:0", "doors": [ALL_SERVICES_LISTENER]}))
        process = await _start_process(path)
        assert process.stderr is not None
        event = json.loads(await process.stderr.readline())
        assert event["event"] == "tier_listening" and len(event["doors"]) == 1 and event["ops"]
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        path.write_text(json.dumps(VALID_CONFIG | {"above": ["x"]}))
        process = await _start_process(path)
        _, log = await process.communicate()
        log_lines = log.splitlines()
        assert process.returncode == 2 and len(log_lines) == 1
        assert "above[0]" in json.loads(log_lines[0])["message"]

    run(scenario())


def test_a_sidecar_without_tiers_imports_no_module_of_the_tiers() -> None:
    async def scenario() -> None:
        loaded_modules = "[m for m in sys.modules if 'tiers' in m or 'places' in m]"
        script = f"import sys, larkcrank.program.start; print({loaded_modules})"
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", script, stdout=asyncio.subprocess.PIPE, env=dict(os.environ)
        )
        output, _ = await process.communicate()
        assert output == b"[]\n"

    run(scenario())
