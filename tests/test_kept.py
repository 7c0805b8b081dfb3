"""What is kept across a restart, and the first seconds after it, on loopback."""

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
VIEW = RequestClass("view", Effect.SAFE, Group.ALL, 1000.0, 2500.0, 5000.0, 2.0)
TAKE = RequestClass("take", Effect.UNSAFE, Group.ALL, 1000.0, 4000.0, 5000.0, 2.0)


def test_what_was_written_is_read_again_and_nothing_else_is_left(tmp_path: Path) -> None:
    path = tmp_path / "kept.json"
    kept.write(path, NOW, (VIEW, TAKE), (80.0, 120.0))
    assert kept.read(path, NOW + 5000.0, (VIEW, TAKE)) == {0: 80.0, 1: 120.0}
    assert [one.name for one in tmp_path.iterdir()] == ["kept.json"]


def test_a_class_whose_settings_changed_starts_afresh(tmp_path: Path) -> None:
    path = tmp_path / "kept.json"
    kept.write(path, NOW, (VIEW, TAKE), (80.0, 120.0))
    other = RequestClass("view", Effect.SAFE, Group.ALL, 200.0, 2500.0, 5000.0, 2.0)
    assert kept.read(path, NOW, (TAKE, other)) == {0: 120.0}


def test_a_write_that_fails_leaves_the_old_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "kept.json"
    kept.write(path, NOW, (VIEW,), (80.0,))

    def broken(_: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", broken)
    with pytest.raises(OSError):
        kept.write(path, NOW, (VIEW,), (90.0,))
    assert kept.read(path, NOW, (VIEW,)) == {0: 80.0}
    assert [one.name for one in tmp_path.iterdir()] == ["kept.json"]


@pytest.mark.parametrize(
    ("text", "now"),
    [
        (None, NOW),
        ("", NOW),
        ("{", NOW),
        ("[1]", NOW),
        ('{"version": 2, "saved_at_ms": 1e12, "classes": {}}', NOW),
        ('{"version": 1, "saved_at_ms": 1e12, "classes": {}}', NOW + 2 * kept.MOST_AGE_MS),
        ('{"version": 1, "saved_at_ms": 1e12, "classes": {}}', NOW - 1.0),
        (" " * (kept.MOST_BYTES + 1), NOW),
    ],
)
def test_a_file_that_cannot_be_used_is_told_apart(tmp_path: Path, text: str | None, now: float) -> None:
    path = tmp_path / "kept.json"
    if text is not None:
        path.write_text(text)
    with pytest.raises(kept.KeptError):
        kept.read(path, now, (VIEW,))


@pytest.mark.parametrize("usual", [None, 60.0, 1e-6, 1e12])
def test_the_first_requests_after_a_switch_are_served(tmp_path: Path, usual: float | None) -> None:
    # With kept figures, with none and with misleading ones: each request has one answer, none is refused.
    path = tmp_path / "kept.json"

    async def work() -> None:
        changes: dict[str, Any] = {}
        ends = [b.Endpoint("s-1"), b.Endpoint("s-2")]
        async with b.bed(*ends, kept="" if usual is None else str(path), **changes) as bed:
            classes = bed.sidecar._config.site.decisions.classes
            if usual is not None:
                kept.write(path, time.time() * 1000.0 - 1000.0, classes, [usual] * len(classes))
                bed.sidecar._take_up(str(path))
                assert "kept_taken" in bed.log_events()
                aims = [cls.aim_ms for cls in classes]
                times = bed.sidecar._balancer.usual_answer_times()
                assert all(0.01 * aim <= one <= aim for one, aim in zip(times, aims, strict=True))
            clients = [await bed.client() for _ in range(4)]
            for _ in range(8):
                answers = await asyncio.gather(*(client.call("view") for client in clients))
                assert [answer.status for answer in answers] == [200] * 4
            assert sum(len(end.requests) for end in ends) == 32
            assert min(len(end.requests) for end in ends) >= 8

    b.run(work())


def test_a_planned_end_writes_the_file_and_a_damaged_one_is_logged(tmp_path: Path) -> None:
    path = tmp_path / "kept.json"
    path.write_text("{")

    async def work() -> None:
        async with b.bed(b.Endpoint("s-1"), kept=str(path)) as bed:
            assert bed.log_events().count("kept_unusable") == 1
            client = await bed.client()
            assert (await client.call("view")).status == 200
            bed.sidecar.keep()
        assert set(json.loads(path.read_text())["classes"]) == {cls["name"] for cls in b.CLASSES}
        async with b.bed(b.Endpoint("s-1"), kept=str(path)) as bed:
            assert "kept_taken" in bed.log_events()

    b.run(work())
