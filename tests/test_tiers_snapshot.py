"""The snapshot file of a tier: atomic writes, checks on reading, and its use until current data arrives."""

import os
import signal
import time
from pathlib import Path

import pytest

from larkcrank.tiers import snapshot
from larkcrank.tiers.snapshot import SnapshotError
from larkcrank.tiers.state import DiscoveryRecord, InstanceTable, new_generation_prefix
from tests.bed import run, until
from tests.tiers_bed import (
    DiscoveryServer,
    ListClient,
    TierRunner,
    instance,
    operator_call,
    poll_until,
    poll_until_list,
    running,
)

HOUR_MS = 3.6e6
ALL_SERVICES_LISTENER = {"listen": "127.0.0.1:0", "services": ["*"]}


def create_table(*instance_ids: str) -> InstanceTable:
    table = InstanceTable("t", 5, new_generation_prefix(5.0, 5))
    table.apply_discovery(
        "d",
        [
            DiscoveryRecord(instance_id, "svc", False, b'{"instanceId":"%s"}' % instance_id.encode())
            for instance_id in instance_ids
        ],
        True,
        0,
    )
    table.own_records_complete = True
    return table


def test_a_restored_table_equals_the_saved_one_and_its_new_versions_outrank_it(tmp_path: Path) -> None:
    table = create_table("a", "b")
    table.apply_discovery("d", [DiscoveryRecord("a", "svc", True, b"")], False, 0.0)
    path = tmp_path / "s"
    snapshot.write(path, snapshot.encode(table, 1000.0))
    saved = snapshot.read(path, "t", 61_000.0, HOUR_MS)
    assert saved.age_ms == 60_000.0
    restored = InstanceTable("t", 2, new_generation_prefix(9.0, 9))  # a lower epoch: the clock was set back
    restored.restore(saved.lines, saved.known, 0.0)
    assert [record.instance_id for record in restored.live_records(None)] == [
        "b"
    ] and restored.tombstone_count == 1
    assert restored.known_versions_of() == table.known_versions_of()
    restored.apply_discovery(
        "d", [DiscoveryRecord("b", "svc", False, b'{"instanceId":"b","weight":2}')], True, 0.0
    )
    (restored_record,) = restored.live_records(None)
    assert restored_record.version > table.live_records(None)[0].version
    assert not restored.apply_discovery(
        "d", [DiscoveryRecord("b", "svc", False, restored_record.body)], True, 0.0
    )


@pytest.mark.parametrize(
    ("damage", "why"),
    [
        (lambda data: data[:-1], "torn"),
        (lambda data: data[:20], "torn"),
        (lambda data: data[:-1] + bytes([data[-1] ^ 1]), "torn"),
        (lambda data: b"", "torn"),
        (lambda data: data.replace(b"larkcrank-tier", b"larkcrank-tear"), "foreign"),
        (lambda data: data.replace(b'"version":1', b'"version":2'), "version"),
        (lambda data: b"x\n" + data, "foreign"),
    ],
)
def test_a_damaged_or_foreign_file_is_rejected_with_its_reason(damage, why: str) -> None:  # type: ignore[no-untyped-def]
    with pytest.raises(SnapshotError) as error:
        snapshot.decode(damage(snapshot.encode(create_table("a"), 1000.0)), "t", 1000.0, HOUR_MS)
    assert error.value.why == why


def test_a_snapshot_of_another_tier_or_too_old_or_from_the_future_is_rejected(tmp_path: Path) -> None:
    data = snapshot.encode(create_table("a"), 1e9)
    for tier, now_ms, why in (
        ("u", 1e9, "other"),
        ("t", 1e9 + HOUR_MS + 1, "old"),
        ("t", 1e9 - 60_001, "future"),
    ):
        with pytest.raises(SnapshotError) as error:
            snapshot.decode(data, tier, now_ms, HOUR_MS)
        assert error.value.why == why
    with pytest.raises(SnapshotError) as error:
        snapshot.read(tmp_path / "none", "t", 0.0, HOUR_MS)
    assert error.value.why == "missing"


@pytest.mark.parametrize("killed_at", ["opened", "half written", "written", "synced", "replaced"])
def test_a_process_killed_during_a_write_leaves_the_old_or_the_new_file(
    tmp_path: Path, killed_at: str
) -> None:
    path = tmp_path / "s"
    snapshot.write(path, snapshot.encode(create_table("old"), 1000.0))
    child_pid = os.fork()
    if child_pid == 0:
        snapshot.write(
            path,
            snapshot.encode(create_table("new"), 1000.0),
            lambda step: os.kill(os.getpid(), signal.SIGKILL) if step == killed_at else None,
        )
        os._exit(0)
    os.waitpid(child_pid, 0)
    saved = snapshot.read(path, "t", 1000.0, HOUR_MS)
    assert [record.instance_id for record in saved.lines] == (["new"] if killed_at == "replaced" else ["old"])


def test_restored_data_is_served_only_to_clients_without_a_list_until_it_is_current(tmp_path: Path) -> None:
    async def scenario() -> None:
        source = await DiscoveryServer("s-1", "s-2").start()
        source_config = {"discovery": source.address, "service": "svc-1"}
        runner = TierRunner(
            sources=[source_config],
            doors=[ALL_SERVICES_LISTENER],
            ops="127.0.0.1:0",
            snapshot=str(tmp_path / "s"),
        )
        async with running(runner):
            client_before = ListClient(runner.sidecar_address())
            await poll_until_list(client_before)
            generation_before = client_before.generation
            await runner.stop()
            source.publish(instance("s-1", "Gone"), instance("s-3"))
            source.transform_body = lambda _: None
            await runner.start()
            assert runner.events("tier_snapshot_taken")[0]["lines"] == 2
            with_list, without_list = (
                ListClient(runner.sidecar_address()),
                ListClient(runner.sidecar_address()),
            )
            with_list.generation = generation_before
            assert await with_list.poll() == 503
            assert await without_list.poll() == 200 and without_list.instances.keys() == {"s-1", "s-2"}
            child = ListClient(runner.child_address)
            assert await child.poll() == 200 and child.last_answer["provisional"]
            assert await operator_call(runner, "PING") == (400, "starting")
            source.transform_body = lambda body: body
            await until(lambda: runner.tier.is_complete)
            assert await with_list.poll() == 200 and with_list.last_answer["reset"]
            assert with_list.instances.keys() == {"s-2", "s-3"}
            await poll_until(without_list, lambda: without_list.instances.keys() == {"s-2", "s-3"})
            await poll_until(child, lambda: child.last_answer["provisional"] is False)
            assert child.instances.keys() == {"s-2", "s-3"}
            for client in (client_before, with_list, without_list, child):
                client.close()
        source.stop()

    run(scenario())


def test_a_snapshot_follows_changes_and_is_not_overwritten_by_an_incomplete_table(tmp_path: Path) -> None:
    async def scenario() -> None:
        path = tmp_path / "s"
        source = await DiscoveryServer("s-1").start()
        source_config = {"discovery": source.address, "service": "svc-1"}
        runner = TierRunner(sources=[source_config], snapshot=str(path), settings={"snapshot_ms": 20.0})
        async with running(runner):
            await until(path.exists)
            source.publish(instance("s-2"))

            def saved_ids() -> set[str]:
                return {
                    record.instance_id
                    for record in snapshot.read(path, "t", time.time() * 1000.0, HOUR_MS).lines
                }

            def is_current() -> bool:
                try:
                    return saved_ids() == {"s-1", "s-2"}
                except SnapshotError:
                    return False

            await until(is_current)
            source.transform_body = lambda _: None
            await runner.stop()
            # The snapshot is too old to load and the source is silent, so the table stays empty.
            runner.config_fields["settings"]["snapshot_age_ms"] = 0.001
            await runner.start()
            assert runner.events("tier_snapshot_unusable")[-1]["why"] == "old"
            await runner.stop()
            assert saved_ids() == {"s-1", "s-2"}
        source.stop()

    run(scenario())
