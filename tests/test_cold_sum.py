"""Cold servers under the sum of many instances, counted in virtual time (`larkcrank/lab/cold.py`)."""

from dataclasses import replace
from random import Random

import pytest

from larkcrank.core.balancer import COLD_CLAIM, Balancer
from larkcrank.core.interface import Endpoint, Outcome, Request, Result, Send, ServerList, Settings
from larkcrank.lab.cold import Case, Found, Play, Scenario
from tests.test_balancer import CLASSES, VIEW, address

DENSE = Case(
    "release", servers=2, work_ms=400.0, workers=60, fall_ms=1000.0, load=1.3, quick=True, play_ms=6500.0
)
THIN = Case(servers=6, work_ms=200.0, workers=2, play_ms=6000.0)


def play(case: Case) -> Found:
    return Play(case).play()


@pytest.mark.parametrize("seed", [1, 2])
def test_what_answers_show_is_no_leave_to_send_more_than_the_settings_allow(seed: int) -> None:
    """A release in steps, overloaded, cold servers that answer soon up to a point: all instances are shown
    that they bear an even share before the first answers of the jam are late."""
    found = play(replace(DENSE, seed=seed))
    assert found.asked > 2000 and found.fell == 0
    assert found.excess < 0.0


@pytest.mark.parametrize("processes", [20, 30])
@pytest.mark.parametrize("scenario", ["all", "one", "release", "restarts"])
def test_no_cold_server_is_pushed_over_by_many_together(scenario: Scenario, processes: int) -> None:
    found = play(replace(THIN, scenario=scenario, processes=processes))
    assert found.sent > 100 and found.fell == 0


@pytest.mark.parametrize("told", [0.5, 2.0])
def test_a_stale_count_pushes_no_cold_server_over(told: float) -> None:
    assert play(replace(THIN, servers=24, told=told)).fell == 0


def test_classes_of_unlike_work_push_no_cold_server_over() -> None:
    assert play(replace(THIN, unlike=True)).fell == 0


@pytest.mark.parametrize("cold_from, multiple", [(0.12, 2.0), (0.33, 2.0), (0.12, 4.0)])
def test_one_instance_sends_a_cold_server_its_claim_however_warm_it_showed_itself(
    cold_from: float, multiple: float
) -> None:
    """The part of an even share that the settings allow, as its answers come at once."""
    settings = Settings(
        CLASSES, cold_from=cold_from, warm_after_ms=1e6, fall_multiple=multiple, fall_ms=2000.0, tick_ms=1.0
    )
    balancer, now, to_cold = Balancer(settings, Random(1), 0.0), 1.0, 0
    lines = Endpoint(address(0)), Endpoint(address(1), started_at=1.0)
    balancer.handle(now, ServerList(lines, complete=True))
    for number in range(1, 1001):
        now += 10.0
        for action in balancer.handle(now, Request(number, VIEW, 2500.0)):
            if isinstance(action, Send):
                to_cold += action.address == address(1)
                done = Outcome(number, 0, action.address, Result.OK, 1.0, True)
        balancer.handle(now + 1.0, done)
    claim = COLD_CLAIM * multiple * cold_from
    assert 0.9 * claim * 500 < to_cold < 1.15 * claim * 500
