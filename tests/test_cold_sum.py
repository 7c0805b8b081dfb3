"""Cold servers under the sum of many instances, counted in virtual time (`larkcrank/lab/cold.py`)."""

from dataclasses import replace
from random import Random

import pytest

from larkcrank.core.balancer import MAX_COLD_LOAD_SHARE, Balancer
from larkcrank.core.interface import Endpoint, Outcome, Request, Result, Send, ServerList, Settings
from larkcrank.lab.cold import Case, Scenario, play
from larkcrank.lab.endpoints import Endpoint as BenchEndpoint
from larkcrank.lab.endpoints import IdempotencyKeys, excess_in_sqrt_units, limit_utilisation
from larkcrank.lab.ledger import Ledger
from larkcrank.lab.scenario import EndpointSettings
from tests.test_balancer import CLASSES, VIEW, server_address

DENSE = Case(
    "release", servers=2, work_ms=400.0, workers=60, fall_ms=1000.0, load=1.3, quick=True, play_ms=6500.0
)
THIN = Case(servers=6, work_ms=200.0, workers=2, play_ms=6000.0)


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
    lines = Endpoint(server_address(0)), Endpoint(server_address(1), started_at=1.0)
    balancer.handle(now, ServerList(lines, complete=True))
    for number in range(1, 1001):
        now += 10.0
        for action in balancer.handle(now, Request(number, VIEW, 2500.0)):
            if isinstance(action, Send):
                to_cold += action.address == server_address(1)
                done = Outcome(number, 0, action.address, Result.OK, 1.0, True)
        balancer.handle(now + 1.0, done)
    claim = MAX_COLD_LOAD_SHARE * multiple * cold_from
    assert 0.9 * claim * 500 < to_cold < 1.15 * claim * 500


def test_the_fleet_bench_counts_a_cold_endpoints_worst_window(monkeypatch: pytest.MonkeyPatch) -> None:
    """Ten workers at 100 ms, a tenth of that while cold, twice for 2 s: N is 40 requests of mean work."""
    now, ledger = 10.0, Ledger()
    monkeypatch.setattr(ledger, "now", lambda: now)
    settings = EndpointSettings(
        1, workers=10, service_ms=100.0, cold_from=0.1, warm_after_ms=1e9, fall_multiple=2.0, fall_ms=2000.0
    )
    endpoint = BenchEndpoint(
        0, "s-0", "here", settings, {}, IdempotencyKeys(), Random(1), ledger, lambda _: None
    )
    endpoint.start()
    for each, work_ms in ((12.0, 100.0), (12.5, 50.0), (13.0, 300.0), (16.0, 100.0)):
        now = each
        endpoint._check_cold_overload(work_ms)
    calls, allowed = ledger.worst_cold_windows["s-0"]
    assert calls == pytest.approx(4.5) and allowed == pytest.approx(40.0, rel=1e-3)
    assert excess_in_sqrt_units(49.0, 36.0) == pytest.approx(13.0 / 6.0) and limit_utilisation(
        50.0, 36.0
    ) == pytest.approx(1.0)
    for _ in range(40):
        endpoint._check_cold_overload(100.0)
    assert endpoint.collapsed and ledger.worst_cold_windows["s-0"][0] == pytest.approx(41.0)
