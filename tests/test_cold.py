"""Simulates cold servers behind many instances: they must not be overloaded and must get their share.

A server that has just started works slowly and reaches its full speed after WARM_UP_MS. A load of more than
OVERLOAD_MULTIPLE times its current capacity for OVERLOAD_MS would make it fail.
"""

import heapq
from random import Random

import pytest

from larkcrank.core.balancer import Balancer
from larkcrank.core.interface import (
    Action,
    Endpoint,
    Event,
    FleetSize,
    Outcome,
    Request,
    Result,
    Send,
    ServerList,
    SetTimer,
    Settings,
    TimerFired,
)
from larkcrank.core.state import Server
from tests.test_balancer import CLASSES, VIEW, server_address

WARM_UP_MS, COLD_CAPACITY_SHARE, OVERLOAD_MULTIPLE, OVERLOAD_MS = 8000.0, 0.33, 4.0, 2000.0
SERVICE_TIME_MS, WORKERS_PER_SERVER = 30.0, 4


class FleetSimulation:
    """Simulates instances and servers with workers and a queue; a cold server works at reduced speed."""

    def __init__(
        self, instances: int, start_times: list[float], requests_per_s: float, seed: int = 1
    ) -> None:
        self.rng, self.now, self.sequence = Random(seed), 0.0, 0
        # Entries: time, sequence number, instance, event. The event is one for the balancer or a tuple:
        # (request ID, attempt, address, send time) for an answer, (0, 0, b"", requests per second) for the
        # next arrival.
        self.event_queue: list[tuple[float, int, int, Event | tuple[int, int, bytes, float]]] = []
        self.started_at = {server_address(index): started_at for index, started_at in enumerate(start_times)}
        self.worker_free_at = {address: [0.0] * WORKERS_PER_SERVER for address in self.started_at}
        self.sends: list[tuple[float, bytes]] = []
        self.arrival_times: list[float] = []
        self.answers: list[tuple[float, float]] = []  # arrival, answer time
        self.arrived_at: dict[tuple[int, int], float] = {}
        settings = Settings(
            CLASSES,
            instances=instances,
            cold_from=COLD_CAPACITY_SHARE,
            warm_after_ms=WARM_UP_MS,
            fall_multiple=OVERLOAD_MULTIPLE,
            fall_ms=OVERLOAD_MS,
            max_attempts=3,
        )
        endpoints = tuple(
            Endpoint(address, started_at=started_at) for address, started_at in self.started_at.items()
        )
        self.balancers = [Balancer(settings, Random(seed * 1000 + i), 0.0) for i in range(instances)]
        for index in range(instances):
            self.handle(index, ServerList(endpoints, complete=True))
            self.handle(index, FleetSize(instances, index, instances))
            self.schedule_request(index, requests_per_s / instances)
        self.requests_per_s = requests_per_s / instances
        self.last_request_id = 0

    def schedule(self, time_ms: float, instance: int, event: "Event | tuple[int, int, bytes, float]") -> None:
        self.sequence += 1
        heapq.heappush(self.event_queue, (time_ms, self.sequence, instance, event))

    def schedule_request(self, instance: int, requests_per_s: float) -> None:
        self.schedule(
            self.now + self.rng.expovariate(requests_per_s / 1000.0), instance, (0, 0, b"", requests_per_s)
        )

    def speed_share(self, address: bytes) -> float:
        """Returns the current speed of a server as a share of its full speed."""
        warm_up_progress = (self.now - self.started_at[address]) / WARM_UP_MS
        return (
            min(COLD_CAPACITY_SHARE + (1 - COLD_CAPACITY_SHARE) * warm_up_progress, 1.0)
            if self.started_at[address]
            else 1.0
        )

    def run(self, until_ms: float) -> None:
        while self.event_queue and self.event_queue[0][0] <= until_ms:
            self.now, _, instance, event = heapq.heappop(self.event_queue)
            if not isinstance(event, tuple):
                self.handle(instance, event)
                continue
            request_id, attempt, address, send_time_or_rate = event
            if address:
                self.answers.append(
                    (self.arrived_at[instance, request_id], self.now - self.arrived_at[instance, request_id])
                )
                self.handle(
                    instance,
                    Outcome(request_id, attempt, address, Result.OK, self.now - send_time_or_rate, True),
                )
            else:
                self.last_request_id += 1
                self.arrival_times.append(self.now)
                self.arrived_at[instance, self.last_request_id] = self.now
                self.handle(instance, Request(self.last_request_id, VIEW, 2500.0))
                self.schedule_request(instance, send_time_or_rate)
        self.now = until_ms

    def handle(self, instance: int, event: Event) -> None:
        actions: list[Action] = self.balancers[instance].handle(self.now, event)
        for action in actions:
            if isinstance(action, SetTimer):
                self.schedule(self.now + action.wait_ms, instance, TimerFired(action.token))
            elif isinstance(action, Send):
                self.sends.append((self.now, action.address))
                worker_free_at = self.worker_free_at[action.address]
                begins_at = max(heapq.heappop(worker_free_at), self.now)
                ends_at = begins_at + SERVICE_TIME_MS / self.speed_share(action.address)
                heapq.heappush(worker_free_at, ends_at)
                self.schedule(ends_at, instance, (action.id, 0, action.address, self.now))

    def served_share(self, from_ms: float, to_ms: float) -> float:
        """Returns the share of the requests that arrived in a period and were answered within 1 s."""
        in_time_count = sum(
            from_ms <= arrived_at < to_ms and elapsed_ms <= 1000.0 for arrived_at, elapsed_ms in self.answers
        )
        return in_time_count / sum(from_ms <= arrived_at < to_ms for arrived_at in self.arrival_times)

    def peak_load(self, address: bytes) -> float:
        """Returns the highest load sent to a server in any OVERLOAD_MS, relative to its capacity then."""
        send_times = [sent_at for sent_at, sent_to in self.sends if sent_to == address]
        peak = 0.0
        for sent_at in send_times:
            recent_sends = sum(sent_at - OVERLOAD_MS < time_ms <= sent_at for time_ms in send_times)
            warm_up_progress = max(sent_at - OVERLOAD_MS - self.started_at[address], 0.0) / WARM_UP_MS
            capacity = (
                WORKERS_PER_SERVER
                / SERVICE_TIME_MS
                * OVERLOAD_MS
                * min(COLD_CAPACITY_SHARE + (1 - COLD_CAPACITY_SHARE) * warm_up_progress, 1.0)
            )
            peak = max(peak, recent_sends / capacity)
        return peak


@pytest.mark.parametrize("instances", [1, 5, 40])
@pytest.mark.parametrize("load", [0.6, 1.3])
def test_all_cold_servers_work_to_capacity_without_overload(instances: int, load: float) -> None:
    """Six servers handle 133 requests/s each once warm. A cold one fails at four times its capacity."""
    simulation = FleetSimulation(instances, [1.0] * 6, requests_per_s=load * 800.0)
    simulation.run(12_000.0)
    for address in simulation.started_at:
        assert simulation.peak_load(address) < 0.75 * OVERLOAD_MULTIPLE
    if load < 1.0:
        expected_shares = [
            min((COLD_CAPACITY_SHARE + (1 - COLD_CAPACITY_SHARE) * second / 8.0) / load, 1.0)
            for second in range(12)
        ]
        served_shares = [
            simulation.served_share(second * 1000.0, second * 1000.0 + 1000.0) for second in range(2, 10)
        ]
        assert sum(served_shares) > 0.85 * sum(expected_shares[2:10])
        assert simulation.served_share(9000.0, 11_000.0) > 0.93


@pytest.mark.parametrize("instances", [5, 40])
def test_new_servers_that_replace_most_of_the_fleet_take_their_share_without_overload(instances: int) -> None:
    """Five of six servers are new. The warm one cannot take all the load, so the new ones have to take
    more as their answers in time show that they can."""
    simulation = FleetSimulation(instances, [0.0, *[1.0] * 5], requests_per_s=400.0)
    simulation.run(8_000.0)
    assert all(
        simulation.peak_load(server_address(index)) < 0.75 * OVERLOAD_MULTIPLE for index in range(1, 6)
    )
    assert simulation.served_share(2000.0, 8000.0) > 0.85


def test_warmth_rises_with_answers_in_time_and_falls_with_late_ones() -> None:
    simulation = FleetSimulation(1, [1.0], requests_per_s=50.0)
    simulation.run(2000.0)
    (server,) = simulation.balancers[0]._ring
    assert isinstance(server, Server) and server.warmth == 1.0
    # The server stalls for five seconds.
    simulation.worker_free_at[server_address(0)] = [simulation.now + 5000.0] * WORKERS_PER_SERVER
    warmth_samples = []
    for _ in range(60):
        simulation.run(simulation.now + 100.0)
        warmth_samples.append(server.warmth)
    assert min(warmth_samples) <= 0.5
