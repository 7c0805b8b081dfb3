"""Tests the tiers under faults, with real processes on loopback. The tests assert counts and order."""

import asyncio
import json
import shutil
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from larkcrank.lab.tiers import FakeDiscovery, Watcher, format_address
from tests import tiers_world
from tests.tiers_world import (
    TierTestbed,
    all_ready_lifecycles,
    instance_entries,
    instance_entry,
    instance_ids,
    running_testbed,
    start_three_levels,
    wait_until,
)

ZONE_ENDPOINTS = 364  # number of endpoints that disappear with a zone


def test_a_change_reaches_all_levels_without_a_full_list(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_testbed(tmp_path) as testbed:
            await start_three_levels(testbed)
            addresses = [testbed.tiers[name].door_addresses[0] for name in ("o", "r0", "r1", "r0z0", "r1z0")]
            watchers = [await testbed.start_watcher(address, wait_for_list=True) for address in addresses]
            await testbed.wait_for_lifecycles(watchers, all_ready_lifecycles())
            first_new_results = [len(watcher.results) for watcher in watchers]
            expected = all_ready_lifecycles()
            for lifecycle in ("Terminating", "Gone"):
                testbed.discoveries["r1"].publish([instance_entry("r1-3", lifecycle)])
                await testbed.wait_for_change(watchers, "r1-3", lifecycle)
            testbed.discoveries["r0"].publish([instance_entry("new")])
            expected.pop("r1-3")
            await testbed.wait_for_lifecycles(watchers, expected | {"new": "Ready"})
            assert [
                watcher.count_results("whole", start_index)
                for watcher, start_index in zip(watchers, first_new_results, strict=True)
            ] == [0] * 5
            assert [
                watcher.count_results("failed", start_index)
                for watcher, start_index in zip(watchers, first_new_results, strict=True)
            ] == [0] * 5

    tiers_world.run_with_timeout(scenario())


def test_a_door_serves_only_its_services(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_testbed(tmp_path) as testbed:
            await start_three_levels(testbed, doors=("s0", "s1", "*"), services=True)
            first_service, second_service, all_services = [
                await testbed.start_watcher(address, wait_for_list=True)
                for address in testbed.tiers["r0z0"].door_addresses
            ]
            await testbed.wait_for_lifecycles([all_services], all_ready_lifecycles())
            await testbed.wait_for_lifecycles([first_service], dict.fromkeys(instance_ids("r0", 10), "Ready"))
            await testbed.wait_for_lifecycles(
                [second_service], dict.fromkeys(instance_ids("r1", 10), "Ready")
            )
            first_new_result = len(first_service.results)
            testbed.discoveries["r1"].publish([instance_entry("r1-0", "Terminating", "s1")])
            await testbed.wait_for_change([second_service, all_services], "r1-0", "Terminating")
            testbed.discoveries["r0"].publish([instance_entry("r0-0", "Terminating", "s0")])
            await testbed.wait_for_change([first_service, all_services], "r0-0", "Terminating")
            assert [
                result.entry_count
                for result in first_service.results[first_new_result:]
                if result.kind != "quiet"
            ] == [1]
            assert first_service.lifecycles.keys() == instance_ids("r0", 10)

    tiers_world.run_with_timeout(scenario())


def test_a_burst_is_batched_and_a_following_drain_is_not_delayed(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_testbed(tmp_path) as testbed:
            gather_s = 0.5
            await start_three_levels(testbed, endpoints=ZONE_ENDPOINTS + 1, gather_ms=gather_s * 1000)
            watchers = [
                await testbed.start_watcher(testbed.tiers[name].door_addresses[0], wait_for_list=True)
                for name in ("r0z0", "r1z0")
            ]
            await testbed.wait_for_lifecycles(watchers, all_ready_lifecycles(endpoints=ZONE_ENDPOINTS + 1))
            first_new_results = [len(watcher.results) for watcher in watchers]
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            for index in range(ZONE_ENDPOINTS):  # one generation per change
                testbed.discoveries["r0"].publish([instance_entry(f"r0-{index}", "Gone")])
                await asyncio.sleep(0.004)
            testbed.discoveries["r1"].publish([instance_entry("r1-0", "Terminating")])
            expected = all_ready_lifecycles(endpoints=ZONE_ENDPOINTS + 1) | {"r1-0": "Terminating"}
            for name in instance_ids("r0", ZONE_ENDPOINTS):
                del expected[name]
            await testbed.wait_for_lifecycles(watchers, expected)
            # A door sends changes at most once per `gather_ms` of its own clock; this span covers them all.
            max_answers = 2 + (loop.time() - started_at) / gather_s
            for watcher, start_index in zip(watchers, first_new_results, strict=True):
                changes = [result for result in watcher.results[start_index:] if result.kind == "changes"]
                assert watcher.count_results("whole", start_index) == 0
                assert len(changes) <= max_answers, (len(changes), max_answers)
                drain_seen_at = watcher.first_seen_at["r1-0", "Terminating"]
                last_of_burst_at = max(
                    watcher.first_seen_at[name, "Gone"] for name in instance_ids("r0", ZONE_ENDPOINTS)
                )
                answers_between = [
                    result for result in changes if last_of_burst_at < result.ended_at <= drain_seen_at
                ]
                assert len(answers_between) <= 1, "the drain was delayed by an extra answer after the burst"

    tiers_world.run_with_timeout(scenario())


def test_a_single_change_is_sent_at_once_and_only_later_ones_are_batched(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_testbed(tmp_path) as testbed:
            discovery = await testbed.start_discovery("d", instance_entries("a", 50))
            tier = await testbed.add_tier(
                "z",
                sources=[{"discovery": format_address(discovery.address)}],
                doors=[{"listen": "127.0.0.1:0", "services": ["*"]}],
                settings={"gather_ms": 1000},
            )
            watcher = await testbed.start_watcher(tier.door_addresses[0], wait_for_list=True)
            await testbed.wait_for_lifecycles([watcher], dict.fromkeys(instance_ids("a", 50), "Ready"))
            await asyncio.sleep(1.2)  # the first answer starts a gathering interval too
            first_new_result = len(watcher.results)
            discovery.publish([instance_entry("a-0", "Terminating")])
            await testbed.wait_for_change([watcher], "a-0", "Terminating")
            for index in range(1, 21):
                discovery.publish([instance_entry(f"a-{index}", "Terminating")])
                await asyncio.sleep(0.002)
            await testbed.wait_for_change([watcher], "a-20", "Terminating")
            change_counts = [
                result.entry_count
                for result in watcher.results[first_new_result:]
                if result.kind == "changes"
            ]
            assert change_counts[0] == 1
            assert len(change_counts) <= 3, change_counts  # without gathering there would be 21

    tiers_world.run_with_timeout(scenario())


def test_stalled_receivers_delay_nobody_and_use_bounded_memory(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_testbed(tmp_path) as testbed:
            discovery = await testbed.start_discovery("d", instance_entries("a", 4000))
            tier = await testbed.add_tier(
                "z",
                sources=[{"discovery": format_address(discovery.address)}],
                doors=[{"listen": "127.0.0.1:0", "services": ["*"]}],
            )
            await testbed.wait_until_complete()
            reader = await testbed.start_watcher(tier.door_addresses[0], wait_for_list=True)
            paused = await testbed.start_watchers(60, tier.door_addresses[0])
            await testbed.wait_for_lifecycles(
                [reader, *paused], dict.fromkeys(instance_ids("a", 4000), "Ready")
            )
            memory_before, _ = tier.resource_usage()
            for watcher in paused:
                watcher.pause_reading()  # its call is pending and the answer will not be read
            for wave in range(10):  # each wave changes all entries and is about 500 KB
                weight = 2.0 + wave
                discovery.publish([entry | {"weight": weight} for entry in instance_entries("a", 4000)])
                await wait_for_weight(reader, weight)
            memory_after, _ = tier.resource_usage()
            # One pending answer of 500 KB per watcher would be 30 MB; those of all ten waves would be 300 MB.
            assert memory_after - memory_before < 60, (memory_before, memory_after)
            assert reader.count_results("failed") == 0
            state = await tier.ops_call_json("STATE")
            assert state, state
            for watcher in paused:  # after reading again, each has the current list
                watcher.resume_reading()
            await testbed.wait_for_lifecycles(
                [reader, *paused], dict.fromkeys(instance_ids("a", 4000), "Ready")
            )

    async def wait_for_weight(reader: Watcher, weight: float) -> None:
        await wait_until(lambda: reader.instances["a-0"]["weight"] == weight, lambda: reader.results[-3:])

    tiers_world.run_with_timeout(scenario())


def test_unknown_generations_get_full_lists_at_a_bounded_rate(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_testbed(tmp_path) as testbed:
            discovery = await testbed.start_discovery(
                "d", instance_entries("a", 40, service="s") + instance_entries("b", 40, service="t")
            )
            tier = await testbed.add_tier(
                "z",
                sources=[{"discovery": format_address(discovery.address)}],
                doors=[{"listen": "127.0.0.1:0", "services": ["s"]}],
                settings={"wholes_per_s": 10},
            )
            await testbed.wait_until_complete()
            watcher_with_list = await testbed.start_watcher(tier.door_addresses[0], wait_for_list=True)
            assert watcher_with_list.lifecycles.keys() == instance_ids("a", 40)
            known_instances = list(watcher_with_list.instances.values())
            started_at = asyncio.get_running_loop().time()
            watchers = [
                await testbed.start_watcher(
                    tier.door_addresses[0], generation=41, initial_instances=known_instances
                )
                for _ in range(40)
            ]
            await wait_until(
                lambda: all(watcher.count_results("whole") for watcher in watchers),
                lambda: [watcher.results[-1:] for watcher in watchers if not watcher.count_results("whole")],
            )
            full_answer_times = sorted(
                result.ended_at
                for watcher in watchers
                for result in watcher.results
                if result.kind == "whole"
            )
            # Answers are read after they were sent, so this holds even if the event loop of the test is late.
            for count, received_at in enumerate(full_answer_times, 1):
                assert count <= 1 + 10 * (received_at - started_at), (count, received_at - started_at)
            assert all(watcher.count_results("whole") == 1 for watcher in watchers)
            assert all(watcher.lifecycles.keys() == instance_ids("a", 40) for watcher in watchers)
            errors = [call.error for watcher in watchers for call in watcher.results if call.kind == "failed"]
            assert set(errors) <= {"503"}, errors  # refused because the wait would exceed 2 s
            discovery.publish([instance_entry("a-1", "Gone", "s")])
            await testbed.wait_for_change(watchers, "a-1", "Gone")

    tiers_world.run_with_timeout(scenario())


FAULTS = ["killed", "stopped", "half-open", "one way up", "one way down"]


@pytest.mark.parametrize("fault", FAULTS)
def test_zones_of_a_lost_region_switch_to_another_with_few_connections(tmp_path: Path, fault: str) -> None:
    async def scenario() -> None:
        async with running_testbed(tmp_path) as testbed:
            await start_three_levels(testbed, zones=3)
            zones = [f"r0z{zone_index}" for zone_index in range(3)]
            watchers = [
                await testbed.start_watcher(testbed.tiers[zone].door_addresses[0], wait_for_list=True)
                for zone in zones
            ]
            await testbed.wait_for_lifecycles(watchers, all_ready_lifecycles())
            first_new_results = [len(watcher.results) for watcher in watchers]
            accepted_before = {zone: testbed.relays[zone, "r1"].accepted_count for zone in zones}
            region = testbed.tiers["r0"]
            if fault == "killed":
                await region.kill()
            elif fault == "stopped":
                region.suspend()
            else:
                for client_name, target_name in [*((zone, "r0") for zone in zones)]:
                    testbed.relays[client_name, target_name].set_faults(
                        to_target=fault == "one way up", to_client=fault == "one way down"
                    )
            testbed.discoveries["r1"].publish([instance_entry("r1-0", "Terminating")])
            await testbed.wait_for_change(watchers, "r1-0", "Terminating")
            testbed.discoveries["r1"].publish([instance_entry("r1-0", "Gone")])
            await testbed.wait_for_change(watchers, "r1-0", "Gone")
            for zone in zones:
                assert testbed.relays[zone, "r1"].accepted_count - accepted_before[zone] <= 3, zone
            assert [
                watcher.count_results("whole", start_index)
                for watcher, start_index in zip(watchers, first_new_results, strict=True)
            ] == [0] * 3
            for watcher in watchers:  # the endpoints of r0 are kept: no tier has said that they are gone
                assert instance_ids("r0", 10) <= watcher.lifecycles.keys()
            if fault == "stopped":
                region.resume()

    tiers_world.run_with_timeout(scenario())


def test_a_region_restarted_from_an_old_snapshot_restores_no_old_state(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_testbed(tmp_path) as testbed:
            discovery = await testbed.start_discovery("d", instance_entries("a", 20))
            region = await testbed.add_tier(
                "r",
                sources=[{"discovery": await testbed.start_relay_address("r", "d", discovery.address)}],
                snapshot=str(tmp_path / "r.snapshot"),
                settings={"snapshot_ms": 100},
            )
            region_address = await testbed.start_relay_address("z", "r", region.listen_address)
            zone = await testbed.add_tier(
                "z", above=[region_address], doors=[{"listen": "127.0.0.1:0", "services": ["*"]}]
            )
            watcher = await testbed.start_watcher(zone.door_addresses[0], wait_for_list=True)
            await testbed.wait_for_lifecycles([watcher], dict.fromkeys(instance_ids("a", 20), "Ready"))
            await wait_until(lambda: (tmp_path / "r.snapshot").exists())
            shutil.copy(tmp_path / "r.snapshot", tmp_path / "old")
            discovery.publish([instance_entry(name, "Gone") for name in instance_ids("a", 5)])
            discovery.publish([instance_entry("a-7", "Terminating")])
            expected = dict.fromkeys(instance_ids("a", 15, first=5), "Ready") | {"a-7": "Terminating"}
            await testbed.wait_for_lifecycles([watcher], expected)
            first_new_result = len(watcher.results)
            await region.kill()
            shutil.copy(tmp_path / "old", tmp_path / "r.snapshot")
            testbed.relays["r", "d"].block()  # so that it cannot receive the current list
            await region.start()
            accepted_before = testbed.relays["z", "r"].accepted_count
            await wait_until(lambda: testbed.relays["z", "r"].accepted_count > accepted_before)
            await asyncio.sleep(0.5)
            assert watcher.lifecycles == expected
            testbed.relays["r", "d"].restore()
            discovery.publish([instance_entry("a-19", "Terminating")])
            await testbed.wait_for_lifecycles([watcher], expected | {"a-19": "Terminating"})
            assert watcher.count_results("whole", first_new_result) == 0

    tiers_world.run_with_timeout(scenario())


def test_a_zone_restarted_from_an_old_snapshot_sends_nothing_to_watchers_with_a_list(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_testbed(tmp_path) as testbed:
            discovery = await testbed.start_discovery("d", instance_entries("a", 20))
            zone = await testbed.add_tier(
                "z",
                sources=[{"discovery": await testbed.start_relay_address("z", "d", discovery.address)}],
                doors=[{"listen": "127.0.0.1:0", "services": ["*"]}],
                snapshot=str(tmp_path / "snapshot"),
                settings={"snapshot_ms": 100},
            )
            watcher = await testbed.start_watcher(zone.door_addresses[0], wait_for_list=True)
            await testbed.wait_for_lifecycles([watcher], dict.fromkeys(instance_ids("a", 20), "Ready"))
            await wait_until(lambda: (tmp_path / "snapshot").exists())
            shutil.copy(tmp_path / "snapshot", tmp_path / "old")
            discovery.publish([instance_entry("a-0", "Gone")])
            await testbed.wait_for_change([watcher], "a-0", "Gone")
            await zone.kill()
            shutil.copy(tmp_path / "old", tmp_path / "snapshot")
            testbed.relays["z", "d"].block()
            await zone.start()
            first_new_result = len(watcher.results)
            await wait_until(
                lambda: len(watcher.results) > first_new_result + 3, lambda: watcher.results[-3:]
            )
            assert {result.kind for result in watcher.results[first_new_result:]} == {"failed"}
            assert watcher.lifecycles == dict.fromkeys(instance_ids("a", 19, first=1), "Ready")
            # A watcher without a list gets the available one.
            new_watcher = await testbed.start_watcher(zone.door_addresses[0], wait_for_list=True)
            assert new_watcher.lifecycles == dict.fromkeys(instance_ids("a", 20), "Ready")
            testbed.relays["z", "d"].restore()
            discovery.publish([instance_entry("a-1", "Terminating")])
            await testbed.wait_for_lifecycles(
                [watcher, new_watcher],
                dict.fromkeys(instance_ids("a", 18, first=2), "Ready") | {"a-1": "Terminating"},
            )

    tiers_world.run_with_timeout(scenario())


def test_a_discovery_that_restarts_its_generations_causes_no_full_lists_below(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_testbed(tmp_path) as testbed:
            await start_three_levels(testbed)
            testbed.discoveries["r0"].publish([instance_entry("r0-0", "Gone")])
            watchers = [
                await testbed.start_watcher(testbed.tiers[zone].door_addresses[0], wait_for_list=True)
                for zone in ("r0z0", "r1z0")
            ]
            expected = all_ready_lifecycles()
            del expected["r0-0"]
            await testbed.wait_for_lifecycles(watchers, expected)
            first_new_results = [len(watcher.results) for watcher in watchers]
            full_answers_before = testbed.discoveries["r0"].full_answer_count
            testbed.discoveries["r0"].restart_generations()
            # Removed while the state was lost, so that only its absence shows the removal.
            del testbed.discoveries["r0"].instances["r0-1"]
            testbed.discoveries["r0"].notify_watchers()
            await wait_until(lambda: testbed.discoveries["r0"].full_answer_count > full_answers_before)
            await testbed.wait_for_change(watchers, "r0-1", "Gone")
            del expected["r0-1"]
            testbed.discoveries["r0"].publish([instance_entry("r0-2", "Terminating")])
            await testbed.wait_for_lifecycles(watchers, expected | {"r0-2": "Terminating"})
            assert [
                watcher.count_results("whole", start_index)
                for watcher, start_index in zip(watchers, first_new_results, strict=True)
            ] == [0] * 2

    tiers_world.run_with_timeout(scenario())


def test_generations_of_a_restarted_origin_are_not_confused_with_earlier_ones(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_testbed(tmp_path) as testbed:
            await start_three_levels(testbed)
            watchers = [
                await testbed.start_watcher(testbed.tiers[name].door_addresses[0], wait_for_list=True)
                for name in ("r0z0", "r1z0", "o")
            ]
            await testbed.wait_for_lifecycles(watchers, all_ready_lifecycles())
            old_generation = watchers[2].generation
            await testbed.tiers["o"].kill()
            testbed.discoveries["r1"].publish([instance_entry("r1-0", "Gone")])
            await testbed.wait_for_change([watchers[1]], "r1-0", "Gone")
            first_new_results = [len(watcher.results) for watcher in watchers]
            await testbed.tiers["o"].start()
            testbed.discoveries["r0"].publish([instance_entry("r0-0", "Gone")])
            expected = all_ready_lifecycles()
            del expected["r0-0"], expected["r1-0"]
            await testbed.wait_for_lifecycles(watchers, expected)
            assert [
                watcher.count_results("whole", start_index)
                for watcher, start_index in zip(watchers, first_new_results, strict=True)
            ] == [
                0,
                0,
                1,
            ]
            assert watchers[2].generation != old_generation

    tiers_world.run_with_timeout(scenario())


def test_a_generation_of_another_tier_is_answered_with_a_full_list(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_testbed(tmp_path) as testbed:
            await start_three_levels(testbed)
            own_address, other_address = (
                testbed.tiers["r0z0"].door_addresses[0],
                testbed.tiers["r1z0"].door_addresses[0],
            )
            watcher = await testbed.start_watcher(own_address, other_address, wait_for_list=True)
            await testbed.wait_for_lifecycles([watcher], all_ready_lifecycles())
            foreign_generations = [
                watcher.generation,
                1,
                41,
                (watcher.generation or 0) + 1,
                (watcher.generation or 0) - 1,
            ]
            other_watchers = [
                await testbed.start_watcher(
                    other_address, generation=generation, initial_instances=watcher.instances.values()
                )
                for generation in foreign_generations
            ]
            await wait_until(lambda: all(len(other_watcher.results) for other_watcher in other_watchers))
            assert [other_watcher.results[0].kind for other_watcher in other_watchers] == ["whole"] * len(
                other_watchers
            ), other_watchers[0].results
            # At its own tier, a generation above the current one is unknown too.
            unknown_generation_watcher = await testbed.start_watcher(
                own_address,
                generation=(watcher.generation or 0) + 1,
                initial_instances=watcher.instances.values(),
            )
            await wait_until(lambda: len(unknown_generation_watcher.results) > 0)
            assert unknown_generation_watcher.results[0].kind == "whole"

    tiers_world.run_with_timeout(scenario())


def test_a_partitioned_region_serves_its_changes_and_both_sides_converge_without_full_lists(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with running_testbed(tmp_path) as testbed:
            await start_three_levels(testbed, endpoints=400)
            inside = [
                await testbed.start_watcher(testbed.tiers[tier_name].door_addresses[0], wait_for_list=True)
                for tier_name in ("r0", "r0z0")
            ]
            outside = [
                await testbed.start_watcher(testbed.tiers[tier_name].door_addresses[0], wait_for_list=True)
                for tier_name in ("o", "r1z0")
            ]
            await testbed.wait_for_lifecycles(inside + outside, all_ready_lifecycles(endpoints=400))
            first_new_results = {watcher.name: len(watcher.results) for watcher in testbed.watchers}
            cut_relays = [testbed.relays["r0", "o"], testbed.relays["o", "r0"], testbed.relays["r0z0", "r1"]]
            for relay in cut_relays:
                relay.block()
            testbed.discoveries["r0"].publish(
                [instance_entry("r0-0", "Gone"), instance_entry("r0-1", "Terminating")]
            )
            testbed.discoveries["r1"].publish(
                [instance_entry("r1-0", "Gone"), instance_entry("r1-1", "Terminating")]
            )
            await testbed.wait_for_change(inside, "r0-0", "Gone")
            await testbed.wait_for_change(outside, "r1-0", "Gone")
            testbed.discoveries["r0"].publish([instance_entry("r0-1", "Gone"), instance_entry("r0-new")])
            await testbed.wait_for_change(inside, "r0-new", "Ready")
            assert all("r1-0" in watcher.lifecycles for watcher in inside)
            assert all("r0-0" in watcher.lifecycles for watcher in outside)
            bytes_before = [relay.bytes_to_client for relay in cut_relays]
            for relay in cut_relays:
                relay.restore()
            expected = all_ready_lifecycles(endpoints=400)
            for instance_id in ("r0-0", "r0-1", "r1-0"):
                del expected[instance_id]
            await testbed.wait_for_lifecycles(
                inside + outside, expected | {"r1-1": "Terminating", "r0-new": "Ready"}
            )
            for watcher in testbed.watchers:
                start_index = first_new_results[watcher.name]
                assert watcher.count_results("whole", start_index) == 0, watcher.name
                assert sum(result.entry_count for result in watcher.results[start_index:]) <= 12, (
                    watcher.results[start_index:]
                )
            # A full list of 800 is about 100 KB per relay; five changes are a few hundred bytes each.
            bytes_by_relay = [
                relay.bytes_to_client - bytes_at_start
                for relay, bytes_at_start in zip(cut_relays, bytes_before, strict=True)
            ]
            assert sum(bytes_by_relay) < 30_000, bytes_by_relay

    tiers_world.run_with_timeout(scenario())


def test_a_zone_returns_to_its_region_when_the_other_one_is_partitioned(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_testbed(tmp_path) as testbed:
            # Longer than the test, so that no timer returns the zone to its own region.
            no_return_ms = 600_000
            await start_three_levels(testbed, back_min_ms=no_return_ms, back_max_ms=no_return_ms)
            watcher = await testbed.start_watcher(testbed.tiers["r1z0"].door_addresses[0], wait_for_list=True)
            await testbed.wait_for_lifecycles([watcher], all_ready_lifecycles())
            home_relay, neighbour_relay = testbed.relays["r1z0", "r1"], testbed.relays["r1z0", "r0"]
            home_relay.set_faults(resets=True)
            accepted_before = neighbour_relay.accepted_count
            await wait_until(lambda: neighbour_relay.accepted_count > accepted_before)
            testbed.discoveries["r1"].publish([instance_entry("r1-0", "Terminating")])
            await testbed.wait_for_change([watcher], "r1-0", "Terminating")  # through the other region
            home_relay.restore()
            for relay in (testbed.relays["r0", "o"], testbed.relays["o", "r0"]):
                relay.block()
            testbed.discoveries["r1"].publish([instance_entry("r1-0", "Gone")])
            await testbed.wait_for_change([watcher], "r1-0", "Gone")
            assert watcher.count_results("failed") == 0

    tiers_world.run_with_timeout(scenario())


def test_sidecars_keep_their_list_while_all_tiers_are_lost_and_restarted(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_testbed(tmp_path) as testbed:
            await start_three_levels(testbed, wholes_per_s=10, tier_wholes_per_s=2)
            addresses = [testbed.tiers[zone].door_addresses[0] for zone in ("r0z0", "r1z0")]
            watchers = await testbed.start_watchers(10, *addresses) + await testbed.start_watchers(
                10, *reversed(addresses)
            )
            await testbed.wait_for_lifecycles(watchers, all_ready_lifecycles())
            for discovery in testbed.discoveries.values():
                discovery.stop()
            await asyncio.gather(*(tier.kill() for tier in testbed.tiers.values()))
            first_new_result = len(watchers[0].results)
            await wait_until(lambda: len(watchers[0].results) > first_new_result + 3)
            assert all(watcher.lifecycles == all_ready_lifecycles() for watcher in watchers)
            # The restarted tiers know nothing yet and must not send any list.
            await asyncio.gather(*(tier.start() for tier in testbed.tiers.values()))
            first_new_result = len(watchers[0].results)
            await wait_until(
                lambda: sum(result.error == "503" for result in watchers[0].results[first_new_result:]) > 3
            )
            assert all(watcher.lifecycles == all_ready_lifecycles() for watcher in watchers)
            started_at = asyncio.get_running_loop().time()
            for discovery in testbed.discoveries.values():
                await discovery.start()
            testbed.discoveries["r0"].publish([instance_entry("r0-0", "Gone")])
            expected = all_ready_lifecycles()
            del expected["r0-0"]
            await testbed.wait_for_lifecycles(watchers, expected)
            took_s = asyncio.get_running_loop().time() - started_at
            state = await testbed.tiers["o"].ops_call_json("STATE")
            assert state["wholes"] <= 1 + 2 * took_s, state

    tiers_world.run_with_timeout(scenario())


def test_held_reports_the_receiver_that_lacks_a_change(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_testbed(tmp_path) as testbed:
            await start_three_levels(testbed)
            origin = testbed.tiers["o"]
            addresses = [testbed.tiers[zone].door_addresses[0] for zone in ("r0z0", "r1z0")]
            watchers = [await testbed.start_watcher(address, wait_for_list=True) for address in addresses * 3]
            await testbed.wait_for_lifecycles(watchers, all_ready_lifecycles())
            testbed.discoveries["r0"].publish([instance_entry("r0-0", "Terminating")])
            await testbed.wait_for_change(watchers, "r0-0", "Terminating")
            await wait_for_report(testbed, lambda report: (report["held"], report["not_held"]) == (6, 0))
            paused = watchers[3]
            paused.pause_reading()
            testbed.discoveries["r0"].publish([instance_entry("r0-0", "Gone")])
            other_watchers = [watcher for watcher in watchers if watcher is not paused]
            await testbed.wait_for_change(other_watchers, "r0-0", "Gone")
            report = await wait_for_report(
                testbed, lambda report: (report["held"], report["not_held"]) == (5, 1)
            )
            paused_port = paused.local_port
            [late_receiver] = report["late"]
            assert late_receiver["tier"] == "r1z0" and late_receiver["peer"].endswith(f":{paused_port}"), (
                late_receiver
            )
            assert late_receiver["since_s"] > 0 and late_receiver["generation"] < report["generation"], (
                late_receiver
            )
            await wait_until(lambda: bool(origin.events("tier_lagging")), lambda: list(origin.log)[-5:])
            paused.resume_reading()
            await wait_for_report(testbed, lambda report: (report["held"], report["not_held"]) == (6, 0))
            await wait_until(lambda: bool(origin.events("tier_held")), lambda: list(origin.log)[-5:])

    async def wait_for_report(testbed: TierTestbed, condition: Any) -> dict[str, Any]:
        report: dict[str, Any] = {}
        try:
            while not condition(report := await testbed.tiers["o"].ops_call_json("HELD")):
                await asyncio.sleep(0.05)
        except asyncio.CancelledError:
            raise AssertionError(f"condition was not met: {report}") from None
        return report

    tiers_world.run_with_timeout(scenario())


INVALID_BODIES: dict[str, bytes] = {
    "malformed": b'{"generation":7,"reset":true,"instances":[{"instanceId":"x"',
    "no JSON": b"<html>moved</html>",
    "foreign": b'{"services":{"a":["10.0.0.1:80"]},"index":12}',
    "no list": b'{"generation":9,"reset":true,"instances":null}',
    "other types": b'{"generation":9,"reset":true,"instances":[{"instanceId":7,"lifecycle":"Ready"}]}',
}
INVALID_ANSWERS: dict[str, Callable[[FakeDiscovery], bytes]] = {
    "empty whole list": lambda discovery: discovery.encode_answer(True, [], 9),
    "all gone in a whole list": lambda discovery: discovery.encode_answer(
        True, instance_entries("a", 20, "Gone", "s"), 9
    ),
    "unknown service": lambda discovery: discovery.encode_answer(
        True, [instance_entry("x", service="nobody's")], 9
    ),
    "negative generation": lambda discovery: discovery.encode_answer(
        True, [instance_entry("x", service="s")], -1
    ),
    "oversized": lambda discovery: discovery.encode_answer(
        True, [instance_entry("x" * (5 << 20), service="s")], 9
    ),
    "a long name": lambda discovery: discovery.encode_answer(
        True, [instance_entry("x" * 5000, service="s")], 9
    ),
}


@pytest.mark.parametrize("side", ["source", "above"])
@pytest.mark.parametrize("fault", [*INVALID_BODIES, *INVALID_ANSWERS])
def test_invalid_answers_fail_the_call_and_keep_the_state(tmp_path: Path, fault: str, side: str) -> None:
    async def scenario() -> None:
        async with running_testbed(tmp_path) as testbed:
            discovery = await testbed.start_discovery("d", instance_entries("a", 20, service="s"))
            if side == "above":
                discovery.owner = "o"
            upstream_config: dict[str, Any] = (
                {"sources": [{"discovery": format_address(discovery.address), "service": "s"}]}
                if side == "source"
                else {"above": [format_address(discovery.address)]}
            )
            tier = await testbed.add_tier(
                "z",
                doors=[{"listen": "127.0.0.1:0", "services": [service]} for service in ("s", "*")],
                services=["s"],
                **upstream_config,
            )
            await testbed.wait_until_complete()
            watchers = [
                await testbed.start_watcher(address, wait_for_list=True) for address in tier.door_addresses
            ]
            expected = dict.fromkeys(instance_ids("a", 20), "Ready")
            await testbed.wait_for_lifecycles(watchers, expected)
            calls_before = discovery.call_count
            discovery.body_override = (
                INVALID_BODIES[fault] if fault in INVALID_BODIES else INVALID_ANSWERS[fault](discovery)
            )
            discovery.notify_watchers()
            await wait_until(lambda: discovery.call_count >= calls_before + 2)
            await wait_until(lambda: bool(failed_calls(tier.log)), lambda: list(tier.log)[-5:])
            assert all(watcher.lifecycles == expected for watcher in watchers)
            assert "x" not in str(watchers[1].lifecycles)
            discovery.body_override = None
            discovery.publish([instance_entry("a-0", "Terminating", "s")])
            await testbed.wait_for_lifecycles(watchers, expected | {"a-0": "Terminating"})

    def failed_calls(log: Any) -> list[dict[str, Any]]:
        return [entry for entry in log if entry["event"] == "tier_call_failed"]

    tiers_world.run_with_timeout(scenario())


VALID_CONFIG: dict[str, Any] = {
    "name": "z",
    "listen": "127.0.0.1:0",
    "doors": [{"listen": "127.0.0.1:0", "services": ["s"]}],
    "above": ["127.0.0.1:9"],
    "ops": "127.0.0.1:0",
}
INVALID_CONFIG_CASES: list[tuple[str, dict[str, Any]]] = [
    ("listen", {"listen": "nowhere"}),
    ("listen", {"listen": 8080}),
    ("name", {"name": ""}),
    ("doors", {"doors": {"listen": "127.0.0.1:0"}}),
    ("doors[0].services", {"doors": [{"listen": "127.0.0.1:0"}]}),
    ("doors[0].listen", {"doors": [{"listen": "127.0.0.1:99999", "services": ["s"]}]}),
    ("sources[0].discovery", {"sources": [{"service": "s"}]}),
    ("above[0]", {"above": ["127.0.0.1"]}),
    ("ops", {"ops": "127.0.0.1"}),
    ("settings.gather_ms", {"settings": {"gather_ms": -1}}),
    ("settings.gather_ms", {"settings": {"gather_ms": "soon"}}),
    ("settings.no_such", {"settings": {"no_such": 1}}),
    ("no_such", {"no_such": 1}),
]


@pytest.mark.parametrize(
    ("key", "change"),
    INVALID_CONFIG_CASES,
    ids=[f"{case_key}-{index}" for index, (case_key, _) in enumerate(INVALID_CONFIG_CASES)],
)
def test_an_invalid_configuration_stops_the_start_and_names_the_key(
    tmp_path: Path, key: str, change: dict[str, Any]
) -> None:
    async def scenario() -> None:
        async with running_testbed(tmp_path) as testbed:
            tier = await testbed.add_tier("z", start=False)
            tier.config = VALID_CONFIG | change | ({} if "name" in change else {"name": "z"})
            await assert_start_refused(tier, key)

    tiers_world.run_with_timeout(scenario())


@pytest.mark.parametrize("key", ["name", "listen"])
def test_a_missing_key_stops_the_start_and_is_named(tmp_path: Path, key: str) -> None:
    async def scenario() -> None:
        async with running_testbed(tmp_path) as testbed:
            tier = await testbed.add_tier("z", start=False)
            tier.config = {name: value for name, value in VALID_CONFIG.items() if name != key}
            await assert_start_refused(tier, key)

    tiers_world.run_with_timeout(scenario())


async def assert_start_refused(tier: Any, key: str) -> None:
    await tier.spawn()
    assert await tier.wait_for_exit() == 2
    assert list(tier.unparsed_lines) == [], "output other than one log line"
    [entry] = tier.log
    entry_text = json.dumps(entry)
    assert all(key_part in entry_text for key_part in key.split(".")), entry


def test_an_invalid_request_at_a_door_ends_only_that_connection(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_testbed(tmp_path) as testbed:
            discovery = await testbed.start_discovery("d", instance_entries("a", 20))
            tier = await testbed.add_tier(
                "z",
                sources=[{"discovery": format_address(discovery.address)}],
                doors=[{"listen": "127.0.0.1:0", "services": ["*"]}],
            )
            await testbed.wait_until_complete()
            watcher = await testbed.start_watcher(tier.door_addresses[0], wait_for_list=True)
            invalid_requests = [
                b"\x16\x03\x01\x02\x00\x01\x00",
                b"GET /registry/instances?after=x&wait_ms=1 HTTP/1.1\r\nHost: d\r\n\r\n",
                b"GET /registry/instances?after=-1&wait_ms=-1 HTTP/1.1\r\nHost: d\r\n\r\n",
                b"GET /registry/instances?after=%d&wait_ms=9 HTTP/1.1\r\nHost: d\r\n\r\n" % (1 << 80),
                b"POST /registry/instances HTTP/1.1\r\nHost: d\r\nContent-Length: 2\r\n\r\nhi",
                b"GET /else HTTP/1.1\r\nHost: d\r\n\r\n",
                b"GET /" + b"x" * (1 << 20),
                b"Held: " * 1000 + b"\r\n\r\n",
            ]
            for request in invalid_requests:
                reader, writer = await asyncio.open_connection(*tier.door_addresses[0])
                try:
                    writer.write(request)
                    writer.write_eof()
                    response = await reader.read()
                except OSError:
                    response = b""
                assert (
                    not response
                    or response.split(b" ")[1][:1] == b"4"
                    or b'"reset": true' in response
                    or (b'"reset":true' in response)
                ), (request[:40], response[:80])
                writer.close()
            discovery.publish([instance_entry("a-0", "Terminating")])
            await testbed.wait_for_change([watcher], "a-0", "Terminating")
            assert [result.kind for result in watcher.results].count("failed") == 0
            assert tier.process is not None and tier.process.returncode is None

    tiers_world.run_with_timeout(scenario())


def test_a_tier_without_data_sends_no_list(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_testbed(tmp_path) as testbed:
            discovery = await testbed.start_discovery("d", instance_entries("a", 20))
            relay = await testbed.start_relay("r", "d", discovery.address)
            relay.block()
            region = await testbed.add_tier("r", sources=[{"discovery": format_address(relay.address)}])
            zone = await testbed.add_tier(
                "z",
                above=[format_address(region.listen_address)],
                doors=[{"listen": "127.0.0.1:0", "services": ["*"]}],
            )
            watcher_with_list = await testbed.start_watcher(
                zone.door_addresses[0], generation=41, initial_instances=instance_entries("a", 20)
            )
            watcher_without_list = await testbed.start_watcher(zone.door_addresses[0])
            await wait_until(
                lambda: min(len(watcher_with_list.results), len(watcher_without_list.results)) > 3
            )
            assert {result.kind for result in watcher_with_list.results + watcher_without_list.results} == {
                "failed"
            }
            relay.restore()
            await testbed.wait_for_lifecycles(
                [watcher_with_list, watcher_without_list], dict.fromkeys(instance_ids("a", 20), "Ready")
            )

    tiers_world.run_with_timeout(scenario())


def test_the_watcher_detects_protocol_violations(tmp_path: Path) -> None:
    """Checks that the watcher detects violations: its discovery does everything that a tier must not do."""

    async def scenario() -> None:
        testbed = TierTestbed(tmp_path)
        try:
            discovery = await testbed.start_discovery("d", instance_entries("a", 3), first_generation=5)
            watcher = await testbed.start_watcher(discovery.address, wait_for_list=True)
            discovery.publish([instance_entry("a-0", "Gone")])
            await testbed.wait_for_change([watcher], "a-0", "Gone")
            discovery.publish([instance_entry("a-0")])
            await wait_until(lambda: len(watcher.violations) == 1)
            discovery.publish([instance_entry("a-1", "Terminating")])
            discovery.publish([instance_entry("a-1", "Ready")])
            discovery.instances.clear()
            discovery.restart_generations(2)
            await wait_until(lambda: "an empty full list" in watcher.violations, lambda: watcher.violations)
            with pytest.raises(AssertionError, match="returns"):
                testbed.assert_no_violations()
            assert any("on one connection" in violation for violation in watcher.violations)
        finally:
            await testbed.close()

    tiers_world.run_with_timeout(scenario())


def test_the_relay_forwards_one_direction_or_none_and_resets(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_testbed(tmp_path) as testbed:
            discovery = await testbed.start_discovery("d", instance_entries("a", 3))
            relay = await testbed.start_relay("w", "d", discovery.address)
            watcher = await testbed.start_watcher(relay.address, wait_for_list=True, wait_ms=50)
            relay.set_faults(to_target=True, to_client=False)
            calls_before = discovery.call_count
            discovery.publish([instance_entry("a-0", "Terminating")])
            await wait_until(lambda: watcher.count_results("failed") > 0)
            assert discovery.call_count >= calls_before and "a-0" in watcher.lifecycles
            assert ("a-0", "Terminating") not in watcher.first_seen_at
            relay.block()
            failed_before = watcher.count_results("failed")
            await wait_until(lambda: watcher.count_results("failed") > failed_before)
            relay.set_faults(resets=True)
            failed_before = watcher.count_results("failed")
            await wait_until(lambda: watcher.count_results("failed") > failed_before)
            relay.restore()
            await testbed.wait_for_change([watcher], "a-0", "Terminating")

    tiers_world.run_with_timeout(scenario())
