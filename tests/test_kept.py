"""Tests of the learned state that survives a restart, and of serving right after one, on loopback."""

import asyncio
import json
import os
import time
from pathlib import Path
from typing import Any

import pytest

from larkcrank.core.interface import Effect, Group, RequestClass
from larkcrank.program import kept
from tests import bed as b

NOW = 1e12
VIEW_CLASS = RequestClass("view", Effect.SAFE, Group.ALL, 1000.0, 2500.0, 5000.0, 2.0)
TAKE_CLASS = RequestClass("take", Effect.UNSAFE, Group.ALL, 1000.0, 4000.0, 5000.0, 2.0)


def test_written_times_are_read_back_and_no_temporary_file_remains(tmp_path: Path) -> None:
    path = tmp_path / "kept.json"
    kept.write(path, NOW, (VIEW_CLASS, TAKE_CLASS), (80.0, 120.0))
    assert kept.read(path, NOW + 5000.0, (VIEW_CLASS, TAKE_CLASS)) == {0: 80.0, 1: 120.0}
    assert [entry.name for entry in tmp_path.iterdir()] == ["kept.json"]


def test_time_of_a_class_with_changed_settings_is_ignored(tmp_path: Path) -> None:
    path = tmp_path / "kept.json"
    kept.write(path, NOW, (VIEW_CLASS, TAKE_CLASS), (80.0, 120.0))
    changed_view_class = RequestClass("view", Effect.SAFE, Group.ALL, 200.0, 2500.0, 5000.0, 2.0)
    assert kept.read(path, NOW, (TAKE_CLASS, changed_view_class)) == {0: 120.0}


def test_failed_write_keeps_the_old_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "kept.json"
    kept.write(path, NOW, (VIEW_CLASS,), (80.0,))

    def fail_fsync(_: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", fail_fsync)
    with pytest.raises(OSError):
        kept.write(path, NOW, (VIEW_CLASS,), (90.0,))
    assert kept.read(path, NOW, (VIEW_CLASS,)) == {0: 80.0}
    assert [entry.name for entry in tmp_path.iterdir()] == ["kept.json"]


@pytest.mark.parametrize(
    ("text", "now"),
    [
        (None, NOW),
        ("", NOW),
        ("{", NOW),
        ("[1]", NOW),
        ('{"version": 2, "saved_at_ms": 1e12, "classes": {}}', NOW),
        ('{"version": 1, "saved_at_ms": 1e12, "classes": {}}', NOW + 2 * kept.MAX_AGE_MS),
        ('{"version": 1, "saved_at_ms": 1e12, "classes": {}}', NOW - 1.0),
        (" " * (kept.MAX_FILE_BYTES + 1), NOW),
    ],
)
def test_unusable_file_raises_an_error(tmp_path: Path, text: str | None, now: float) -> None:
    path = tmp_path / "kept.json"
    if text is not None:
        path.write_text(text)
    with pytest.raises(kept.LearnedStateError):
        kept.read(path, now, (VIEW_CLASS,))


@pytest.mark.parametrize("saved_ms", [None, 60.0, 1e-6, 1e12])
def test_first_requests_after_a_restart_are_served(tmp_path: Path, saved_ms: float | None) -> None:
    # With no saved times, plausible ones or misleading ones, each request is answered and none is refused.
    path = tmp_path / "kept.json"

    async def scenario() -> None:
        settings_changes: dict[str, Any] = {}
        endpoints = [b.Endpoint("s-1"), b.Endpoint("s-2")]
        async with b.bed(*endpoints, kept="" if saved_ms is None else str(path), **settings_changes) as bed:
            classes = bed.sidecar._config.site.decisions.classes
            if saved_ms is not None:
                kept.write(path, time.time() * 1000.0 - 1000.0, classes, [saved_ms] * len(classes))
                bed.sidecar._restore_learned_state(str(path))
                assert "kept_taken" in bed.log_events()
                target_times = [request_class.aim_ms for request_class in classes]
                answer_times = bed.sidecar._balancer.usual_answer_times()
                assert all(
                    0.01 * target_ms <= answer_ms <= target_ms
                    for answer_ms, target_ms in zip(answer_times, target_times, strict=True)
                )
            clients = [await bed.client() for _ in range(4)]
            for _ in range(8):
                answers = await asyncio.gather(*(client.call("view") for client in clients))
                assert [answer.status for answer in answers] == [200] * 4
            assert sum(len(endpoint.requests) for endpoint in endpoints) == 32
            assert min(len(endpoint.requests) for endpoint in endpoints) >= 8

    b.run(scenario())


def test_graceful_shutdown_writes_the_file_and_a_damaged_one_is_logged(tmp_path: Path) -> None:
    path = tmp_path / "kept.json"
    path.write_text("{")

    async def scenario() -> None:
        async with b.bed(b.Endpoint("s-1"), kept=str(path)) as bed:
            assert bed.log_events().count("kept_unusable") == 1
            client = await bed.client()
            assert (await client.call("view")).status == 200
            bed.sidecar.save_learned_state()
        assert set(json.loads(path.read_text())["classes"]) == {
            request_class["name"] for request_class in b.CLASSES
        }
        async with b.bed(b.Endpoint("s-1"), kept=str(path)) as bed:
            assert "kept_taken" in bed.log_events()

    b.run(scenario())
