"""A wall clock that is stepped while the sidecar runs."""

import pytest

from larkcrank.program.clock import Clock

TOLERANCE_MS = 1000.0


@pytest.mark.parametrize("step_s", [3600.0, -3600.0])
def test_the_age_of_a_server_is_right_after_the_wall_clock_was_stepped(
    step_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    times = {"time": 1_796_365_000.0, "monotonic": 50.0}
    monkeypatch.setattr("time.time", lambda: times["time"])
    monkeypatch.setattr("time.monotonic", lambda: times["monotonic"])
    clock = Clock()
    times["time"] += step_s
    started_at_ms = times["time"] * 1000.0  # as discovery tells it
    times = {name: value + 10.0 for name, value in times.items()}
    assert abs(clock() - started_at_ms - 10_000.0) < TOLERANCE_MS
