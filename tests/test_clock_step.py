"""A wall clock that is stepped while the sidecar runs."""

import time

import pytest

from larkcrank.core import interface as api
from larkcrank.program.clock import Clock
from tests import bed as testbed

TOLERANCE_MS = 1000.0


class SteppedClocks:
    """Stands in for the wall clock and the monotonic clock, in seconds."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.wall, self.monotonic = 1_796_365_000.0, 50.0
        monkeypatch.setattr("time.time", lambda: self.wall)
        monkeypatch.setattr("time.monotonic", lambda: self.monotonic)

    def advance(self, seconds: float) -> None:
        self.wall += seconds
        self.monotonic += seconds


@pytest.mark.parametrize("starts_after_step", [True, False])
@pytest.mark.parametrize("step_s", [3600.0, -3600.0])
def test_the_age_of_a_server_is_right_after_the_wall_clock_was_stepped(
    step_s: float, starts_after_step: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    clocks = SteppedClocks(monkeypatch)
    clock = Clock()
    if starts_after_step:
        clocks.wall += step_s
    started_at_ms = clocks.wall * 1000.0  # as discovery tells it
    clocks.advance(10.0)
    if not starts_after_step:
        clocks.wall += step_s
    assert abs(clock() - clock.from_unix(started_at_ms) - 10_000.0) < TOLERANCE_MS


@pytest.mark.parametrize("step_s", [3600.0, -3600.0])
def test_the_process_clock_follows_real_time_while_the_wall_clock_is_stepped(
    step_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    clocks = SteppedClocks(monkeypatch)
    clock = Clock()
    before = clock()
    clocks.advance(10.0)
    clocks.wall += step_s
    assert clock() - before == pytest.approx(10_000.0)


@pytest.mark.parametrize("step_s", [3600.0, -3600.0])
def test_the_balancer_is_told_the_age_of_a_server_that_starts_after_a_step(
    step_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        old, new = testbed.Endpoint("s-1"), testbed.Endpoint("s-2")
        await new.start()
        async with testbed.bed(old) as bed:
            balancer = bed.sidecar._driver._balancer
            lists: list[api.ServerList] = []
            handle = balancer.handle

            def record_lists(now: float, event: api.Event) -> list[api.Action]:
                if isinstance(event, api.ServerList):
                    lists.append(event)
                return handle(now, event)

            monkeypatch.setattr(balancer, "handle", record_lists)
            read_wall_clock = time.time
            monkeypatch.setattr("time.time", lambda: read_wall_clock() + step_s)
            new.started_at_ms = time.time() * 1000.0 - 5000.0
            for _ in range(2):  # told again, it is the same process still
                watch = b"after=%d&" % bed.discovery.generation
                await testbed.until(lambda watch=watch: watch in b"".join(bed.discovery.request_targets[-1:]))  # type: ignore[misc]
                count = len(lists)
                bed.discovery.announce(new)
                await testbed.until(lambda count=count: len(lists) > count)  # type: ignore[misc]
            starts = [endpoint.started_at for event in lists for endpoint in event.endpoints]
            starts = [started_at for started_at in starts if started_at]
            assert len(starts) == 2 and starts[0] == starts[1]
            assert abs(bed.sidecar._clock() - starts[0] - 5000.0) < TOLERANCE_MS
        await new.stop()

    testbed.run(scenario())
