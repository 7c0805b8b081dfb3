"""What a tier held, in a file: whole or not at all, and what it is good for."""

import os
import signal
import time
from pathlib import Path

import pytest

from larkcrank.tiers import snapshot
from larkcrank.tiers.snapshot import SnapshotError
from larkcrank.tiers.state import DiscoveryRecord, InstanceTable, new_generation_prefix
from tests.bed import run, until
from tests.tiers_bed import Discovery, Receiver, Running, line, operator, running, until_told, whole

HOUR_MS = 3.6e6
ANY = {"listen": "127.0.0.1:0", "services": ["*"]}


def held(*names: str) -> InstanceTable:
    state = InstanceTable("t", 5, new_generation_prefix(5.0, 5))
    state.apply_discovery(
        "d",
        [DiscoveryRecord(name, "svc", False, b'{"instanceId":"%s"}' % name.encode()) for name in names],
        True,
        0,
    )
    state.own_records_complete = True
    return state


def test_what_is_written_is_read_and_the_next_life_outranks_it(tmp_path: Path) -> None:
    state = held("a", "b")
    state.apply_discovery("d", [DiscoveryRecord("a", "svc", True, b"")], False, 0.0)
    path = tmp_path / "s"
    snapshot.write(path, snapshot.encode(state, 1000.0))
    kept = snapshot.read(path, "t", 61_000.0, HOUR_MS)
    assert kept.age_ms == 60_000.0
    after = InstanceTable("t", 2, new_generation_prefix(9.0, 9))  # by a clock that was set back
    after.restore(kept.lines, kept.known, 0.0)
    assert [one.instance_id for one in after.live_records(None)] == ["b"] and after.tombstone_count == 1
    assert after.known_versions_of() == state.known_versions_of()
    after.apply_discovery(
        "d", [DiscoveryRecord("b", "svc", False, b'{"instanceId":"b","weight":2}')], True, 0.0
    )
    (line,) = after.live_records(None)
    assert line.version > state.live_records(None)[0].version
    assert not after.apply_discovery("d", [DiscoveryRecord("b", "svc", False, line.body)], True, 0.0)


@pytest.mark.parametrize(
    ("spoil", "why"),
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
def test_a_file_that_is_none_is_told_apart(spoil, why: str) -> None:  # type: ignore[no-untyped-def]
    with pytest.raises(SnapshotError) as error:
        snapshot.decode(spoil(snapshot.encode(held("a"), 1000.0)), "t", 1000.0, HOUR_MS)
    assert error.value.why == why


def test_one_of_another_tier_too_old_or_from_the_future_is_not_taken(tmp_path: Path) -> None:
    data = snapshot.encode(held("a"), 1e9)
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


@pytest.mark.parametrize("at", ["opened", "half written", "written", "synced", "replaced"])
def test_a_process_killed_while_it_writes_leaves_the_old_file_or_the_new_one(tmp_path: Path, at: str) -> None:
    path = tmp_path / "s"
    snapshot.write(path, snapshot.encode(held("old"), 1000.0))
    child = os.fork()
    if child == 0:
        snapshot.write(
            path,
            snapshot.encode(held("new"), 1000.0),
            lambda step: os.kill(os.getpid(), signal.SIGKILL) if step == at else None,
        )
        os._exit(0)
    os.waitpid(child, 0)
    kept = snapshot.read(path, "t", 1000.0, HOUR_MS)
    assert [one.instance_id for one in kept.lines] == (["new"] if at == "replaced" else ["old"])


def test_after_a_restart_it_serves_only_who_has_no_list_until_all_is_heard(tmp_path: Path) -> None:
    async def work() -> None:
        source = await Discovery("s-1", "s-2").start()
        given = {"discovery": source.place, "service": "svc-1"}
        tier = Running(sources=[given], doors=[ANY], ops="127.0.0.1:0", snapshot=str(tmp_path / "s"))
        async with running(tier):
            sidecar = Receiver(tier.door())
            await whole(sidecar)
            before = sidecar.generation
            await tier.stop()
            source.tell(line("s-1", "Gone"), line("s-3"))
            source.spoil = lambda _: None
            await tier.start()
            assert tier.events("tier_snapshot_taken")[0]["lines"] == 2
            holds, new = Receiver(tier.door()), Receiver(tier.door())
            holds.generation = before
            assert await holds.ask() == 503
            assert await new.ask() == 200 and new.lines.keys() == {"s-1", "s-2"}
            below = Receiver(tier.listen)
            assert await below.ask() == 200 and below.last["provisional"]
            assert await operator(tier, "PING") == (400, "starting")
            source.spoil = lambda body: body
            await until(lambda: tier.it.is_complete)
            assert await holds.ask() == 200 and holds.last["reset"]
            assert holds.lines.keys() == {"s-2", "s-3"}
            await until_told(new, lambda: new.lines.keys() == {"s-2", "s-3"})
            await until_told(below, lambda: below.last["provisional"] is False)
            assert below.lines.keys() == {"s-2", "s-3"}
            for one in (sidecar, holds, new, below):
                one.close()
        source.stop()

    run(work())


def test_a_snapshot_is_kept_current_and_not_overwritten_by_less(tmp_path: Path) -> None:
    async def work() -> None:
        path = tmp_path / "s"
        source = await Discovery("s-1").start()
        given = {"discovery": source.place, "service": "svc-1"}
        tier = Running(sources=[given], snapshot=str(path), settings={"snapshot_ms": 20.0})
        async with running(tier):
            await until(path.exists)
            source.tell(line("s-2"))

            def names() -> set[str]:
                return {
                    one.instance_id for one in snapshot.read(path, "t", time.time() * 1000.0, HOUR_MS).lines
                }

            def current() -> bool:
                try:
                    return names() == {"s-1", "s-2"}
                except SnapshotError:
                    return False

            await until(current)
            source.spoil = lambda _: None
            await tier.stop()
            tier.told["settings"]["snapshot_age_ms"] = 0.001  # it begins with nothing, and hears nothing
            await tier.start()
            assert tier.events("tier_snapshot_unusable")[-1]["why"] == "old"
            await tier.stop()
            assert names() == {"s-1", "s-2"}
        source.stop()

    run(work())
