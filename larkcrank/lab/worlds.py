"""Searches simulated fleets for violations of the membership's guarantees.

A fleet's faults are drawn from a seed, or enumerated completely for three members. After the last fault every
running member has to hold exactly the running members, all with the same digest. At all times no view may
replace a record by one of lower rank, and no member may lower its own incarnation.
"""

import os
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from itertools import product
from random import Random

from larkcrank.fleet.records import MemberRecord
from larkcrank.lab.virtual import VirtualFleet

CONVERGENCE_LIMIT_MS = 300_000.0  # time without faults within which all views have to agree
CHECK_INTERVAL_MS = 500.0  # virtual time between two checks of all views
ORDINAL_RELEASE_MS = 330_000.0  # after this time dead members hold no ordinal any more
STEP_DURATION_MS = 20_000.0  # of the complete search: long enough for a silent member to be declared dead

LinkFilter = Callable[[int, int], bool]  # whether datagrams from a member to another are dropped
Step = tuple[str, int, str, int]  # member fault and its member, then link fault and its member


@dataclass(slots=True, frozen=True)
class Finding:
    """A simulated fleet in which a guarantee was violated."""

    reproducer: str  # the seed or the steps that reproduce it
    problem: str


class FleetMonitor:
    """Runs a simulated fleet and checks the views of its members at regular times."""

    def __init__(self, fleet: VirtualFleet) -> None:
        self.fleet = fleet
        self.violations: list[str] = []
        # By member, its boot ID and a name: the record that its view held at the last check.
        self._last_records: dict[tuple[int, int, str], MemberRecord] = {}

    def run(self, duration_ms: float) -> None:
        end_ms = self.fleet.now + duration_ms
        while self.fleet.now < end_ms:
            self.fleet.run(min(CHECK_INTERVAL_MS, end_ms - self.fleet.now))
            self._check_views()

    def run_until_converged(self) -> float | None:
        """Runs without further faults until all views agree, and returns the time that it took.

        Returns None if they do not agree in time, which is a violation if they could have met.
        """
        started_at = self.fleet.now
        while self.fleet.now < started_at + CONVERGENCE_LIMIT_MS:
            if self.fleet.has_converged():
                return self.fleet.now - started_at
            self.run(CHECK_INTERVAL_MS)
        if not is_connected(self.fleet):
            return None
        boot_ids = {
            member_number: sorted(member.live_members) for member_number, member in self.fleet.members.items()
        }
        self.violations.append(f"not settled after {CONVERGENCE_LIMIT_MS / 1000:.0f} s: {boot_ids}")
        return None

    def _check_views(self) -> None:
        """Records a violation for each record that was replaced by one of lower rank."""
        for number, member in self.fleet.members.items():
            for name, record in member.members.items():
                earlier = self._last_records.get((number, member.local_record.boot_id, name))
                if earlier is not None and _record_order(earlier) > _record_order(record):
                    self.violations.append(f"n{number} went back from {earlier} to {record}")
                self._last_records[number, member.local_record.boot_id, name] = record


def is_connected(fleet: VirtualFleet) -> bool:
    """Whether the running members know each other, directly or through others.

    They may not if the seeds died before others met them.
    """
    numbers_by_address = {f"m:{number}": number for number in fleet.members}
    neighbours: dict[int, set[int]] = {number: set() for number in fleet.members}
    for number, member in fleet.members.items():
        known_addresses = {record.address for record in member.members.values()} | set(fleet.seed_addresses)
        for neighbour in (
            numbers_by_address[address] for address in known_addresses if address in numbers_by_address
        ):
            neighbours[number].add(neighbour)
            neighbours[neighbour].add(number)
    reached, to_visit = set[int](), list(fleet.members)[:1]
    while to_visit:
        if (number := to_visit.pop()) not in reached:
            reached.add(number)
            to_visit += neighbours[number]
    return len(reached) == len(fleet.members)


def _record_order(record: MemberRecord) -> tuple[int, int, int]:
    """The order in which records outrank each other.

    It is repeated here so that the check does not depend on the code under test.
    """
    return record.incarnation, record.standing, record.boot_id


def heal(fleet: VirtualFleet) -> None:
    """Ends all link faults, datagram losses and stops."""
    fleet.is_link_cut = lambda source, receiver: False
    fleet.loss_rate = 0.0
    fleet.resume(list(fleet.stopped))


def run_random_fleet(seed: int) -> FleetMonitor:
    """Runs a fleet through random faults and heals it. Does not wait until the views agree again."""
    rng = Random(seed)
    count = rng.randint(3, 14) if rng.random() < 0.95 else rng.randint(15, 50)
    fleet = VirtualFleet(count, seed, seed_count=rng.randint(1, 3), delay_ms=rng.choice([1.0, 5.0, 300.0]))
    monitor = FleetMonitor(fleet)
    if monitor.run_until_converged() is None:
        return monitor
    for _ in range(rng.randint(1, 6)):
        affected = rng.sample(range(count), rng.randint(1, max(1, count // 2)))
        affected_set = set(affected)
        link_filters: list[LinkFilter] = [
            lambda source, receiver, members=affected_set: (source in members) != (receiver in members),  # type: ignore[misc]
            lambda source, receiver, members=affected_set: source in members and receiver not in members,  # type: ignore[misc]
            lambda source, receiver, members=affected_set: {source, receiver} <= members,  # type: ignore[misc]
            lambda source, receiver: False,
        ]
        match rng.choice(["kill", "start", "stop", "cut", "lose", "leave", "go on"]):
            case "kill":
                fleet.kill(affected)
            case "start":
                fleet.kill(affected)
                for number in affected:
                    fleet.start(number)
            case "stop":
                fleet.stop(affected)
            case "cut":
                fleet.is_link_cut = rng.choice(link_filters)
            case "lose":
                fleet.loss_rate = rng.choice([0.0, 0.1, 0.3])
            case "leave" if affected[0] in fleet.members and affected[0] not in fleet.stopped:
                fleet.leave(affected[0])
            case "go on":
                fleet.resume(list(fleet.stopped))
        monitor.run(rng.choice([500.0, 3_000.0, 20_000.0, 60_000.0]))
    heal(fleet)
    return monitor


def check_seed(seed: int) -> Finding | None:
    """Checks the random fleet of this seed; every tenth seed checks the ordinals too."""
    monitor = run_random_fleet(seed)
    monitor.run_until_converged()
    if not monitor.violations and monitor.fleet.members and seed % 10 == 0:
        monitor.run(ORDINAL_RELEASE_MS)
        if not monitor.fleet.has_correct_ordinals():
            sizes = {number: ranks.current for number, ranks in monitor.fleet.ranks.items()}
            monitor.violations.append(f"wrong ordinals or fleet sizes: {sizes}")
    return Finding(f"seed {seed}", monitor.violations[0]) if monitor.violations else None


# The complete search over three members. At the start of each step one member or none is killed or restarted,
# and during the step some links are cut.

_MEMBER_FAULTS = [("none", 0), *product(("kill", "restart"), range(3))]
_LINK_FAULTS = [("none", 0), *product(("alone", "dumb", "deaf", "pair"), range(3))]
ALL_STEPS: list[Step] = [
    (*member_fault, *link_fault) for member_fault, link_fault in product(_MEMBER_FAULTS, _LINK_FAULTS)
]


def _link_filter(fault: str, member: int) -> LinkFilter:
    """The links that a fault cuts: all of a member, those from it or to it, or that between the others."""
    others = {0, 1, 2} - {member}
    return {
        "none": lambda source, receiver: False,
        "alone": lambda source, receiver: member in (source, receiver),
        "dumb": lambda source, receiver: source == member,
        "deaf": lambda source, receiver: receiver == member,
        "pair": lambda source, receiver: {source, receiver} == others,
    }[fault]


def all_step_sequences(depth: int) -> Iterator[tuple[Step, ...]]:
    """All sequences of `depth` steps: 91 of one step, 8281 of two."""
    return product(ALL_STEPS, repeat=depth)


def check_steps(steps: Iterable[Step]) -> Finding | None:
    """Runs three members through these steps and checks them."""
    fleet = VirtualFleet(3, 1)
    monitor = FleetMonitor(fleet)
    monitor.run_until_converged()
    for member_fault, faulty_member, link_fault, link_fault_member in steps:
        if member_fault != "none":
            fleet.kill([faulty_member])
        if member_fault == "restart":
            fleet.start(faulty_member)
        fleet.is_link_cut = _link_filter(link_fault, link_fault_member)
        monitor.run(STEP_DURATION_MS)
    heal(fleet)
    monitor.run_until_converged()
    return Finding(repr(tuple(steps)), monitor.violations[0]) if monitor.violations else None


def search(seeds: range, depth: int, jobs: int = 0) -> Iterator[tuple[int, list[Finding]]]:
    """Checks all seeds and step sequences in `jobs` parallel processes, or one per CPU if it is 0.

    After each one, yields the number checked so far and the findings of that one.
    """
    done = 0
    with ProcessPoolExecutor(jobs or os.cpu_count()) as pool:
        for finding in pool.map(check_seed, seeds, chunksize=4):
            done += 1
            yield done, [finding] if finding is not None else []
        for finding in pool.map(check_steps, all_step_sequences(depth) if depth else (), chunksize=8):
            done += 1
            yield done, [finding] if finding is not None else []
