"""Measures in virtual time, by fleet size: convergence times, traffic and false death declarations."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from larkcrank.lab.virtual import VirtualFleet

CONVERGENCE_TIMEOUT_MS = 600_000.0
PARTITION_MS = 60_000.0
TRAFFIC_MEASURE_MS = 30_000.0
DISSEMINATION_MS = 120_000.0  # after this time members no longer pass on the news of joins and faults
FALSE_DEATH_MEASURE_MS = 300_000.0


@dataclass(slots=True, frozen=True)
class Measurement:
    """One measured value of a fleet."""

    members: int
    quantity: str
    value: float
    unit: str


def _kill_third(fleet: VirtualFleet) -> None:
    fleet.kill(range(0, len(fleet.members), 3))


def _restart_half(fleet: VirtualFleet) -> None:
    for number in range(0, len(fleet.members), 2):
        fleet.kill([number])
        fleet.start(number)


def _partition_in_halves(fleet: VirtualFleet) -> None:
    half = len(fleet.members) // 2
    fleet.is_link_cut = lambda source, receiver: (source < half) != (receiver < half)
    fleet.run(PARTITION_MS)
    fleet.is_link_cut = lambda source, receiver: False


FAULTS: dict[str, Callable[[VirtualFleet], None]] = {
    "a third killed at one moment": _kill_third,
    "half restarted at once, nothing kept": _restart_half,
    "split in halves for 60 s, healed": _partition_in_halves,
}


def convergence_times(member_count: int, seed: int) -> Iterator[Measurement]:
    """Seconds until every view is correct, after the start and after each fault."""
    fleet = VirtualFleet(member_count, seed)
    yield Measurement(member_count, "all join at once", _convergence_time_s(fleet), "s")
    fleet.run(DISSEMINATION_MS)
    for fault, inject in FAULTS.items():
        inject(fleet)
        yield Measurement(member_count, fault, _convergence_time_s(fleet), "s")
        fleet.run(DISSEMINATION_MS)


def _convergence_time_s(fleet: VirtualFleet) -> float:
    """Seconds until all views are correct; -1: not within the timeout."""
    took_ms = fleet.run_until_converged(CONVERGENCE_TIMEOUT_MS)
    return -1.0 if took_ms is None else took_ms / 1000.0


def steady_state_traffic(member_count: int, seed: int) -> Iterator[Measurement]:
    """Datagrams and bytes per instance and second, without faults."""
    fleet = VirtualFleet(member_count, seed)
    fleet.run_until_converged(CONVERGENCE_TIMEOUT_MS)
    fleet.run(DISSEMINATION_MS)
    datagrams_before, bytes_before = fleet.sent_datagrams, fleet.sent_bytes
    fleet.run(TRAFFIC_MEASURE_MS)
    instance_seconds = member_count * TRAFFIC_MEASURE_MS / 1000.0
    yield Measurement(
        member_count,
        "datagrams an instance, calm",
        (fleet.sent_datagrams - datagrams_before) / instance_seconds,
        "a second",
    )
    yield Measurement(
        member_count,
        "bytes an instance, calm",
        (fleet.sent_bytes - bytes_before) / instance_seconds,
        "a second",
    )


def false_death_rates(member_count: int, seed: int) -> Iterator[Measurement]:
    """Rates at which running members are declared dead: calm, with lost datagrams, with too little CPU.

    Declarations of one member by several others within a minute count once.
    """
    for condition in ("calm", "30% lost", "a tenth starved"):
        fleet = VirtualFleet(member_count, seed)
        fleet.run_until_converged(CONVERGENCE_TIMEOUT_MS)
        deaths_before = len(fleet.deaths)
        if condition == "30% lost":
            fleet.loss_rate = 0.3
        if condition == "a tenth starved":
            fleet.starve(range(0, member_count, 10))
        fleet.run(FALSE_DEATH_MEASURE_MS)
        instance_hours = member_count * FALSE_DEATH_MEASURE_MS / 3_600_000.0
        false_deaths = len(
            {(name, round(died_at / 60_000.0)) for died_at, _, name in fleet.deaths[deaths_before:]}
        )
        yield Measurement(
            member_count,
            f"wrongly declared dead, {condition}",
            false_deaths / instance_hours,
            "an instance-hour",
        )
