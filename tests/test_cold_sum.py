"""Tests the load that many balancer processes together put on cold servers, in virtual time."""

from dataclasses import replace
from random import Random

import pytest

from larkcrank.core.balancer import MAX_COLD_LOAD_SHARE, Balancer
from larkcrank.core.interface import Endpoint, Outcome, Request, Result, Send, ServerList, Settings
from larkcrank.lab.cold import Case, Scenario, simulate
from larkcrank.lab.endpoints import Endpoint as SimulatedEndpoint
from larkcrank.lab.endpoints import IdempotencyKeys, excess_in_sqrt_units, limit_utilisation
from larkcrank.lab.ledger import Ledger
from larkcrank.lab.scenario import EndpointSettings
from tests.test_balancer import CLASSES, VIEW, server_address

OVERLOADED_RELEASE = Case(
    "release", servers=2, work_ms=400.0, workers=60, fall_ms=1000.0, load=1.3, quick=True, play_ms=6500.0
)
COLD_FLEET = Case(servers=6, work_ms=200.0, workers=2, play_ms=6000.0)


@pytest.mark.parametrize("seed", [1, 2])
def test_fast_answers_of_a_cold_server_do_not_raise_its_load_limit(seed: int) -> None:
    """Guards against balancers that raise the limit of a cold server because its first answers are fast.

    In an overloaded release in steps, cold servers answer fast until they are congested. All processes see
    then that these servers carry an even share of the load, before the first late answers reach them.
    """
    result = simulate(replace(OVERLOADED_RELEASE, seed=seed))
    assert result.request_count > 2000 and result.overloaded_servers == 0
    assert result.worst_excess < 0.0


@pytest.mark.parametrize("processes", [20, 30])
@pytest.mark.parametrize("scenario", ["all", "one", "release", "restarts"])
def test_many_processes_together_overload_no_cold_server(scenario: Scenario, processes: int) -> None:
    result = simulate(replace(COLD_FLEET, scenario=scenario, processes=processes))
    assert result.attempt_count > 100 and result.overloaded_servers == 0


@pytest.mark.parametrize("told", [0.5, 2.0])
def test_a_wrong_process_count_overloads_no_cold_server(told: float) -> None:
    assert simulate(replace(COLD_FLEET, servers=24, told=told)).overloaded_servers == 0


def test_classes_of_different_work_overload_no_cold_server() -> None:
    assert simulate(replace(COLD_FLEET, unlike=True)).overloaded_servers == 0


@pytest.mark.parametrize("cold_from, fall_multiple", [(0.12, 2.0), (0.33, 2.0), (0.12, 4.0)])
def test_one_process_sends_a_fast_cold_server_just_its_allowed_share(
    cold_from: float, fall_multiple: float
) -> None:
    """Answers without delay must not raise the part of an even share that the settings allow."""
    settings = Settings(
        CLASSES,
        cold_from=cold_from,
        warm_after_ms=1e6,
        fall_multiple=fall_multiple,
        fall_ms=2000.0,
        tick_ms=1.0,
    )
    balancer, now, cold_requests = Balancer(settings, Random(1), 0.0), 1.0, 0
    endpoints = Endpoint(server_address(0)), Endpoint(server_address(1), started_at=1.0)
    balancer.handle(now, ServerList(endpoints, complete=True))
    for request_id in range(1, 1001):
        now += 10.0
        for action in balancer.handle(now, Request(request_id, VIEW, 2500.0)):
            if isinstance(action, Send):
                cold_requests += action.address == server_address(1)
                outcome = Outcome(request_id, 0, action.address, Result.OK, 1.0, True)
        balancer.handle(now + 1.0, outcome)
    expected_share = MAX_COLD_LOAD_SHARE * fall_multiple * cold_from
    assert 0.9 * expected_share * 500 < cold_requests < 1.15 * expected_share * 500


def test_the_fleet_bench_records_the_worst_window_of_a_cold_endpoint(monkeypatch: pytest.MonkeyPatch) -> None:
    """Ten workers at 100 ms do a tenth of their work while cold; twice that for 2 s gives N = 40 requests."""
    now, ledger = 10.0, Ledger()
    monkeypatch.setattr(ledger, "now", lambda: now)
    settings = EndpointSettings(
        1, workers=10, service_ms=100.0, cold_from=0.1, warm_after_ms=1e9, fall_multiple=2.0, fall_ms=2000.0
    )
    endpoint = SimulatedEndpoint(
        0, "s-0", "here", settings, {}, IdempotencyKeys(), Random(1), ledger, lambda _: None
    )
    endpoint.start()
    for started_at, work_ms in ((12.0, 100.0), (12.5, 50.0), (13.0, 300.0), (16.0, 100.0)):
        now = started_at
        endpoint._check_cold_overload(work_ms)
    calls, allowed = ledger.worst_cold_windows["s-0"]
    assert calls == pytest.approx(4.5) and allowed == pytest.approx(40.0, rel=1e-3)
    assert excess_in_sqrt_units(49.0, 36.0) == pytest.approx(13.0 / 6.0) and limit_utilisation(
        50.0, 36.0
    ) == pytest.approx(1.0)
    for _ in range(40):
        endpoint._check_cold_overload(100.0)
    assert endpoint.collapsed and ledger.worst_cold_windows["s-0"][0] == pytest.approx(41.0)
