"""Measures in virtual time what a member's view of the fleet costs, by fleet size and by simultaneous losses.

The members run the program's own code (`fleet/membership.py`, `fleet/ranks.py`, `fleet/wire.py`). In a fleet
of 12,000 each member holds a record of every other, which makes 144 million records. Two simulations are
used instead: whole fleets of up to about 1,300 members, and a single member whose peers are simulated, with
a view of any size.
"""

import gc
import heapq
import itertools
import math
import multiprocessing
import resource
import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import asdict, astuple, dataclass
from datetime import UTC, datetime
from pathlib import Path
from random import Random
from typing import Any

import click
import msgspec
import psutil

from larkcrank.config.sidecar import FleetConfig
from larkcrank.core.interface import FleetSize
from larkcrank.fleet.membership import TICK_INTERVAL_MS, Membership, OutgoingMessage
from larkcrank.fleet.ranks import FleetSizeTracker
from larkcrank.fleet.records import MemberRecord, Standing
from larkcrank.fleet.speaker import FleetProtocol
from larkcrank.fleet.wire import Ack, BucketReply, Codec, Ping
from larkcrank.lab.processes import kill_when_parent_exits
from larkcrank.lab.scale import machine, slopes
from larkcrank.lab.scale.fit import FitError
from larkcrank.lab.scale.slopes import Slope, fit_slope
from larkcrank.lab.virtual import FLEET_SIZE_CHECK_MS, VirtualFleet

SEEDS = (1, 2, 3)
FLEET_SIZES = (100, 200, 400, 800, 1333)  # members of a fully simulated fleet
VIEW_SIZES = (1000, 3000, 6000, 12000)  # members in the view of a single member
JOIN_FLEET_SIZES = (40, 80, 160, 320)
PARTITION_FLEET_SIZES = (40, 80, 160, 320)
COMMAND = "python -m larkcrank scale view"
PLANNED_FLEET_SIZE, ZONE_SIZE, REGION_SIZE = 12000, 364, 1333  # members of the fleet, of a zone, of a region
RACK_SIZE = 28  # members
LOST_COUNTS = (1, 28, 364, 1333)  # members lost at once, of PLANNED_FLEET_SIZE
RESTARTS_PER_S = (0.0, 0.1, 0.2, 0.4)
RESTART_FLEET_SIZE = 100  # members of the fleet in which members restart

WARM_UP_MS = 5_000.0
IDLE_MEASUREMENT_MS = 30_000.0
TRAFFIC_MEASUREMENT_MS = 120_000.0  # after a join, or while members restart
PARTITION_MS = 120_000.0  # long enough for each side to declare the other dead
VIEW_REQUESTS = 5  # requests to average over
CONVERGENCE_TIMEOUT_MS = 600_000.0
CONVERGENCE_CHECK_INTERVAL_MS = 100.0
SINGLE_MEMBER_MEASUREMENT_MS = 60_000.0
SUSPICION_REPORTERS = 4  # the first report of a suspicion and the most that may confirm it
RECORDS_PER_DATAGRAM = 8
PEER_RESPONSE_DELAY_MS = 3.0
MEASURED_VIEWS = 8  # views of one size held at once, so that their memory is well above the measurement noise


class ConvergedFleetSimulation(VirtualFleet):
    """A fleet whose members know each other from the start and have no changes left to spread.

    Members do not track the fleet size here. That would take half of the run time, and it is measured on a
    single member instead.
    """

    def __init__(self, count: int, seed: int) -> None:
        super().__init__(count, seed, seed_count=min(count, 3))
        records = [member.local_record for member in self.members.values()]
        for member in self.members.values():
            add_known_records(member, records, self.now)

        self.log_lines = 0  # log lines that all members would have written

    def _count(self, number: int, life: int) -> None:
        return

    def _note(self, number: int, member: Membership) -> None:
        self.log_lines += len(member.changes)
        super()._note(number, member)


def add_known_records(member: Membership, records: Iterable[MemberRecord], now_ms: float) -> None:
    """Stores records in a member's view as if it had learned them long ago, with nothing left to spread."""
    for record in records:
        if record.name != member.local_record.name:
            member._store(None, record)
    member.first_contact_at = now_ms


@dataclass(slots=True, frozen=True)
class Case:
    """One simulation run. `amount` is the number of members lost or the restarts a second, by `kind`."""

    kind: str
    members: int
    amount: float
    seed: int


SimulationResult = dict[str, float]


def simulate_idle_fleet(case: Case) -> SimulationResult:
    """Measures datagrams and bytes a second for each member of an idle fleet."""
    fleet = ConvergedFleetSimulation(case.members, case.seed)
    fleet.run(WARM_UP_MS)
    datagrams_before, bytes_before = fleet.sent_datagrams, fleet.sent_bytes
    fleet.run(IDLE_MEASUREMENT_MS)
    member_seconds = case.members * IDLE_MEASUREMENT_MS / 1000.0
    return {
        "datagrams": (fleet.sent_datagrams - datagrams_before) / member_seconds,
        "bytes": (fleet.sent_bytes - bytes_before) / member_seconds,
    }


def simulate_simultaneous_deaths(case: Case) -> SimulationResult:
    """Kills `case.amount` members at one moment and measures until all views are correct."""
    fleet = ConvergedFleetSimulation(case.members, case.seed)
    fleet.run(WARM_UP_MS)
    lost_numbers = Random(case.seed).sample(range(case.members), int(case.amount))
    datagrams_before, bytes_before, survivors = (
        fleet.sent_datagrams,
        fleet.sent_bytes,
        case.members - len(lost_numbers),
    )
    fleet.kill(lost_numbers)
    lost_names = {f"n{number}" for number in lost_numbers}
    converged_after_ms = fleet.run_until_converged(CONVERGENCE_TIMEOUT_MS, CONVERGENCE_CHECK_INTERVAL_MS)
    seconds = (CONVERGENCE_TIMEOUT_MS if converged_after_ms is None else converged_after_ms) / 1000.0
    wrongly_declared_dead = {name for _, _, name in fleet.deaths if name not in lost_names}
    return {
        "settled_s": math.inf if converged_after_ms is None else seconds,
        "datagrams": (fleet.sent_datagrams - datagrams_before) / survivors / seconds,
        "bytes": (fleet.sent_bytes - bytes_before) / survivors / seconds,
        "wrong": float(len(wrongly_declared_dead)),
    }


def simulate_simultaneous_join(case: Case) -> SimulationResult:
    """Starts all members at once with three seeds, then measures the traffic that the joins still cause."""
    fleet = VirtualFleet(case.members, case.seed)
    converged_after_ms = fleet.run_until_converged(CONVERGENCE_TIMEOUT_MS, CONVERGENCE_CHECK_INTERVAL_MS)
    bytes_before, started_at_ms = fleet.sent_bytes, fleet.now
    fleet.run(TRAFFIC_MEASUREMENT_MS)
    bytes_per_member_and_s = (
        (fleet.sent_bytes - bytes_before) / case.members / ((fleet.now - started_at_ms) / 1000.0)
    )
    return {
        "settled_s": math.inf if converged_after_ms is None else converged_after_ms / 1000.0,
        "bytes": bytes_per_member_and_s,
    }


def simulate_restarts(case: Case) -> SimulationResult:
    """Kills members and restarts them with empty state, `case.amount` times a second."""
    fleet = ConvergedFleetSimulation(case.members, case.seed)
    fleet.run(WARM_UP_MS)
    rng, bytes_before, started_at_ms = Random(case.seed), fleet.sent_bytes, fleet.now
    count = round(case.amount * TRAFFIC_MEASUREMENT_MS / 1000.0)
    for number in rng.choices(range(case.members), k=count):
        fleet.run(TRAFFIC_MEASUREMENT_MS / count)
        fleet.kill([number])
        fleet.start(number)
    fleet.run(max(started_at_ms + TRAFFIC_MEASUREMENT_MS - fleet.now, 0.0))
    seconds = TRAFFIC_MEASUREMENT_MS / 1000.0
    return {
        "bytes": (fleet.sent_bytes - bytes_before) / case.members / seconds,
        "lines": fleet.log_lines / case.members / seconds,
    }


def simulate_partition(case: Case) -> SimulationResult:
    """Partitions a region's share of the members from the others, then measures the recovery."""
    fleet = ConvergedFleetSimulation(case.members, case.seed)
    fleet.run(WARM_UP_MS)
    region_size = scaled_group_size(case.members, REGION_SIZE)
    fleet.is_link_cut = lambda sender, receiver: (sender < region_size) != (receiver < region_size)
    fleet.run(PARTITION_MS)
    fleet.is_link_cut = lambda sender, receiver: False
    bytes_before = fleet.sent_bytes
    converged_after_ms = fleet.run_until_converged(CONVERGENCE_TIMEOUT_MS, CONVERGENCE_CHECK_INTERVAL_MS)
    seconds = (CONVERGENCE_TIMEOUT_MS if converged_after_ms is None else converged_after_ms) / 1000.0
    bytes_per_member = (fleet.sent_bytes - bytes_before) / case.members
    return {"settled_s": math.inf if converged_after_ms is None else seconds, "told": bytes_per_member}


def measure_view_request(case: Case) -> SimulationResult:
    """Measures the size and the processor time of a member's answer to the operator command VIEW."""
    config = FleetConfig("world", ("127.0.0.1", 0), "", "", (), None)
    fleet_size = FleetSize(case.members, 0, case.members)
    protocol = FleetProtocol(
        config, "n0", "z0", fleet_size, float, _NullEventLog(), _ignore, _ignore, lambda now: []
    )
    simulation = SingleMemberSimulation(case.members, case.seed)
    protocol.membership, protocol.size_tracker = simulation.member, simulation.fleet_size_tracker
    started_at_s = time.thread_time()
    for _ in range(VIEW_REQUESTS):
        view_text = protocol.view()
    return {"ms": 1000.0 * (time.thread_time() - started_at_s) / VIEW_REQUESTS, "kib": len(view_text) / 1024}


class _NullEventLog:
    """An event log that discards everything."""

    def event(self, name: str, **fields: object) -> None:
        return


def _ignore(*_: object) -> None:
    return


class SingleMemberSimulation:
    """One real member with a full view. Its simulated peers answer its pings and send one ping a second.

    `cpu_s` is the processor time of all that the program does for a datagram, a tick and an update of the
    fleet size, without the event loop and the socket.
    """

    def __init__(self, member_count: int, seed: int) -> None:
        self.rng = Random(seed)
        self._codec = Codec("world")
        local_record = MemberRecord("n0", "m:0", "z0", self.rng.getrandbits(62), 1)
        self.now_ms = self.cpu_s = 0.0
        self.sent = self.bytes = self.received = 0
        self.member = Membership(local_record, ["m:1"], Random(seed), 0.0)
        self.peers = [
            MemberRecord(f"n{number}", f"m:{number}", "z0", self.rng.getrandbits(62), 1)
            for number in range(1, member_count)
        ]
        add_known_records(self.member, copy_records(self.peers), 0.0)
        self.fleet_size_tracker = FleetSizeTracker("n0", member_count, 0, -WARM_UP_MS)
        self._message_counters: defaultdict[str, itertools.count[int]] = defaultdict(
            lambda: itertools.count(1)
        )
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._silent_names: set[str] = set()
        for interval_ms, action in (
            (TICK_INTERVAL_MS, self._tick),
            (FLEET_SIZE_CHECK_MS, self._observe_fleet_size),
            (1000.0, self._receive_ping),
        ):
            self._schedule(interval_ms * self.rng.random(), self._repeating(interval_ms, action))

    def run(self, duration_ms: float) -> None:
        end_ms = self.now_ms + duration_ms
        while self._heap and self._heap[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._heap)
            action()
        self.now_ms = end_ms

    def silence_peers(self, lost_count: int) -> None:
        """Makes peers stop answering, and has other peers report them as suspects in full datagrams.

        As many peers report them as are needed to shorten the member's own suspicion timeout to its minimum.
        """
        silent_peers = self.rng.sample(self.peers[SUSPICION_REPORTERS:], lost_count)
        self._silent_names = {record.name for record in silent_peers}
        for reporter in self.peers[:SUSPICION_REPORTERS]:
            suspect_records = [
                msgspec.structs.replace(record, standing=Standing.SUSPECT, reported_by=reporter.name)
                for record in silent_peers
            ]
            for first in range(0, lost_count, RECORDS_PER_DATAGRAM):
                batch = suspect_records[first : first + RECORDS_PER_DATAGRAM]
                self._deliver(reporter, BucketReply(*self._message_header(reporter), 0, "", batch))

    def _pick_live_peer(self) -> MemberRecord:
        while (peer := self.rng.choice(self.peers)).name in self._silent_names:
            pass
        return peer

    def _repeating(self, interval_ms: float, action: Callable[[], None]) -> Callable[[], None]:
        """Wraps an action so that it schedules itself again after each run."""

        def run_and_reschedule() -> None:
            action()
            self._schedule(self.now_ms + interval_ms, run_and_reschedule)

        return run_and_reschedule

    def _schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (at_ms, next(self._sequence), action))

    def _tick(self) -> None:
        started_at_s = time.thread_time()
        outgoing_messages = self.member.tick(self.now_ms)
        self._add_cpu_time(started_at_s)
        self._send(outgoing_messages)

    def _observe_fleet_size(self) -> None:
        member, started_at_s = self.member, time.thread_time()
        self.fleet_size_tracker.observe(
            self.now_ms, member.live_members, member.first_contact_at, member.digest_mismatch_at, False
        )
        self._add_cpu_time(started_at_s)

    def _receive_ping(self) -> None:
        """Delivers a ping of a random live peer to the member."""
        peer = self._pick_live_peer()
        self._deliver(peer, Ping(*self._message_header(peer), self.rng.getrandbits(30), [], bytes(100)))

    def _message_header(self, peer: MemberRecord) -> tuple[MemberRecord, str, int, int]:
        """Returns the first fields of a message from a peer, which has the same digest as the member."""
        return peer, "n0", next(self._message_counters[peer.name]), self.member.digest.total

    def _deliver(self, sender: MemberRecord, message: Ping | Ack | BucketReply) -> None:
        """Passes an encoded message of a peer to the member and measures the processor time."""
        data = self._codec.encode(message)
        self.received += 1
        started_at_s = time.thread_time()
        outgoing_messages = self.member.receive(self.now_ms, sender.address, self._codec.decode(data))
        self._add_cpu_time(started_at_s)
        self._send(outgoing_messages)

    def _send(self, outgoing_messages: list[OutgoingMessage]) -> None:
        """Encodes the member's messages and schedules acks to its pings from peers that are not silent."""
        for outgoing in outgoing_messages:
            started_at_s = time.thread_time()
            data = self._codec.encode(outgoing.message)
            self._add_cpu_time(started_at_s)
            self.sent += 1
            self.bytes += len(data)
            peer_number = int(outgoing.address[2:])
            peer = self.peers[peer_number - 1]
            if isinstance(outgoing.message, Ping) and peer.name not in self._silent_names:
                self._schedule(
                    self.now_ms + PEER_RESPONSE_DELAY_MS, self._ack_action(peer, outgoing.message.probe_id)
                )

    def _ack_action(self, peer: MemberRecord, probe_id: int) -> Callable[[], None]:
        return lambda: self._deliver(peer, Ack(*self._message_header(peer), probe_id, []))

    def _add_cpu_time(self, started_at_s: float) -> None:
        self.cpu_s += time.thread_time() - started_at_s


def copy_records(records: list[MemberRecord]) -> list[MemberRecord]:
    """Copies records by encoding and decoding them, so that they share no objects with the originals."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(records), type=list[MemberRecord])


def measure_idle_member(case: Case) -> SimulationResult:
    """Measures the share of a core that one member of an idle fleet uses."""
    simulation = SingleMemberSimulation(case.members, case.seed)
    simulation.run(WARM_UP_MS)
    simulation.cpu_s = 0.0
    simulation.run(SINGLE_MEMBER_MEASUREMENT_MS)
    return {"core_percent": 100.0 * simulation.cpu_s / SINGLE_MEMBER_MEASUREMENT_MS * 1000.0}


def measure_view_memory(case: Case) -> SimulationResult:
    """Measures how much the process grows for each view of this size. Needs a process of its own."""
    encoded_records = msgspec.msgpack.encode(
        [
            MemberRecord(f"n{number}", f"m:{number}", "z0", number << 40, 1)
            for number in range(1, case.members)
        ]
    )

    def build_view(number: int) -> tuple[Membership, FleetSizeTracker]:
        member = Membership(MemberRecord("n0", "m:0", "z0", number, 1), [], Random(case.seed), 0.0)
        add_known_records(member, msgspec.msgpack.decode(encoded_records, type=list[MemberRecord]), 0.0)
        size_tracker = FleetSizeTracker("n0", case.members, 0, 0.0)
        for now_ms in (0.0, WARM_UP_MS, 4 * WARM_UP_MS):
            size_tracker.observe(now_ms, member.live_members, 0.0, -math.inf, False)
        return member, size_tracker

    views, process = [build_view(0)], psutil.Process()  # the first view also allocates what all of them share
    gc.collect()
    bytes_before = process.memory_full_info().uss
    views += [build_view(number) for number in range(1, MEASURED_VIEWS + 1)]
    gc.collect()
    return {"mib": (process.memory_full_info().uss - bytes_before) / (len(views) - 1) / (1 << 20)}


def measure_deaths_on_member(case: Case) -> SimulationResult:
    """Measures the processor time that simultaneous losses add to a member in the minute after, in ms."""
    simulation = SingleMemberSimulation(case.members, case.seed)
    simulation.run(WARM_UP_MS)
    simulation.cpu_s = 0.0
    simulation.run(SINGLE_MEMBER_MEASUREMENT_MS)
    idle_cpu_s, simulation.cpu_s = simulation.cpu_s, 0.0
    simulation.silence_peers(int(case.amount))
    simulation.run(SINGLE_MEMBER_MEASUREMENT_MS)
    members_lost = case.members - len(simulation.member.live_members)
    return {"added_ms": 1000.0 * (simulation.cpu_s - idle_cpu_s), "gone": float(members_lost)}


SIMULATIONS_BY_KIND: dict[str, Callable[[Case], SimulationResult]] = {
    "calm": simulate_idle_fleet,
    "lose": simulate_simultaneous_deaths,
    "join": simulate_simultaneous_join,
    "restarts": simulate_restarts,
    "apart": simulate_partition,
    "asked": measure_view_request,
    "lone": measure_idle_member,
    "memory": measure_view_memory,
    "lone_lost": measure_deaths_on_member,
}


def run_case(case: Case) -> SimulationResult:
    """Runs the simulation of this kind; module level, so that a worker process can import it."""
    return SIMULATIONS_BY_KIND[case.kind](case)


SeriesPoints = tuple[tuple[float, int, float], ...]  # x value, Case.members, Case.amount


@dataclass(slots=True, frozen=True)
class SeriesPlan:
    """A series to fit: its name, the runs it needs, which result it plots and against what (`by`)."""

    name: str
    title: str
    kind: str
    result_key: str
    points: SeriesPoints
    by: str = "members"


COST_AND_UNIT_BY_RESULT_KEY = {  # the cost and the unit of a result, by its key in SimulationResult
    "datagrams": ("datagrams", "a second"),
    "bytes": ("bytes", "a second"),
    "told": ("bytes", "bytes"),
    "lines": ("log lines", "a second"),
    "settled_s": ("time", "s"),
    "mib": ("memory", "MiB"),
    "core_percent": ("processor time", "% of a core"),
    "added_ms": ("processor time", "ms"),
    "ms": ("processor time", "ms"),
    "kib": ("bytes", "KiB"),
}
LOG_OF_MEMBERS_LABEL = "log10 of members"


def _linear_points(
    sizes: Iterable[int], amount_of_size: Callable[[int], float] = lambda _: 0.0
) -> SeriesPoints:
    """Returns points with the size as x value."""
    return tuple((float(size), size, amount_of_size(size)) for size in sizes)


def _logarithmic_points(
    sizes: Iterable[int], amount_of_size: Callable[[int], float] = lambda _: 0.0
) -> SeriesPoints:
    """Returns points with the logarithm of the size as x value."""
    return tuple((math.log10(size), size, amount_of_size(size)) for size in sizes)


def scaled_group_size(fleet_size: int, group_size: int) -> int:
    """Scales a group of the planned fleet down to a fleet of this size; at least one member."""
    return max(round(fleet_size * group_size / PLANNED_FLEET_SIZE), 1)


def series_plans(
    fleet_sizes: tuple[int, ...] = FLEET_SIZES, view_sizes: tuple[int, ...] = VIEW_SIZES
) -> list[SeriesPlan]:
    """Returns all series. Several series may use results of the same run, which is made only once."""
    join_sizes, partition_sizes = (
        [size for size in candidate_sizes if size <= max(fleet_sizes)]
        for candidate_sizes in (JOIN_FLEET_SIZES, PARTITION_FLEET_SIZES)
    )
    restart_points = tuple((rate, RESTART_FLEET_SIZE, rate) for rate in RESTARTS_PER_S)
    largest_view = max(view_sizes)
    lost_points = tuple(
        (float(lost_count), largest_view, float(lost_count))
        for lost_count in (scaled_group_size(largest_view, group_size) for group_size in LOST_COUNTS)
    )
    largest_view_label, rate_label = f"a view of {largest_view}", "restarts a second"
    region_label = f"a region's part ({REGION_SIZE} of {PLANNED_FLEET_SIZE})"
    partition_label = f"{region_label} apart for {PARTITION_MS / 1000:.0f} s, healed"
    plans = [
        SeriesPlan(
            "calm-datagrams", "datagrams a member, calm", "calm", "datagrams", _linear_points(fleet_sizes)
        ),
        SeriesPlan("calm-bytes", "bytes a member, calm", "calm", "bytes", _linear_points(fleet_sizes)),
        SeriesPlan(
            "join-settling",
            "all join at one moment: all views true",
            "join",
            "settled_s",
            _logarithmic_points(join_sizes),
            LOG_OF_MEMBERS_LABEL,
        ),
        SeriesPlan(
            "join-bytes",
            "two minutes after all joined: bytes a member",
            "join",
            "bytes",
            _linear_points(join_sizes),
        ),
        SeriesPlan("restart-bytes", "bytes a member", "restarts", "bytes", restart_points, rate_label),
        SeriesPlan("restart-lines", "log lines a member", "restarts", "lines", restart_points, rate_label),
        SeriesPlan(
            "apart-settling",
            f"{partition_label}: all views true",
            "apart",
            "settled_s",
            _logarithmic_points(partition_sizes),
            LOG_OF_MEMBERS_LABEL,
        ),
        SeriesPlan(
            "apart-bytes",
            f"{partition_label}: bytes a member until then",
            "apart",
            "told",
            _linear_points(partition_sizes),
        ),
        SeriesPlan("asked-size", "an answer to VIEW", "asked", "kib", _linear_points(view_sizes)),
        SeriesPlan("asked-processor", "an answer to VIEW", "asked", "ms", _linear_points(view_sizes)),
        SeriesPlan("memory", "a member's view and places", "memory", "mib", _linear_points(view_sizes)),
        SeriesPlan("processor", "a member's view, calm", "lone", "core_percent", _linear_points(view_sizes)),
        SeriesPlan(
            "lost-processor",
            f"lost at once, {largest_view_label}: added in a minute",
            "lone_lost",
            "added_ms",
            lost_points,
            "lost",
        ),
    ]
    lost_groups: tuple[tuple[str, str, Callable[[int], float]], ...] = (
        ("one", "one", lambda size: 1.0),
        ("rack", str(RACK_SIZE), lambda size: float(RACK_SIZE)),
        (
            "zone",
            f"a zone's part ({ZONE_SIZE} of {PLANNED_FLEET_SIZE})",
            lambda size: float(scaled_group_size(size, ZONE_SIZE)),
        ),
        ("region", region_label, lambda size: float(scaled_group_size(size, REGION_SIZE))),
    )
    for name, group_label, lost_count_of_size in lost_groups:
        title = f"{group_label} lost at one moment: "
        plans += [
            SeriesPlan(
                f"{name}-settling",
                title + "all views true",
                "lose",
                "settled_s",
                _logarithmic_points(fleet_sizes, lost_count_of_size),
                LOG_OF_MEMBERS_LABEL,
            ),
            SeriesPlan(
                f"{name}-bytes",
                title + "bytes a member until then",
                "lose",
                "bytes",
                _linear_points(fleet_sizes, lost_count_of_size),
            ),
        ]
    if (largest_fleet := max(fleet_sizes)) > 2 * ZONE_SIZE:
        lost_count_points = tuple(
            (float(number_lost), largest_fleet, float(number_lost))
            for number_lost in (1, RACK_SIZE, scaled_group_size(largest_fleet, REGION_SIZE), ZONE_SIZE)
        )
        title = f"lost at one moment of {largest_fleet}: all views true"
        plans.append(SeriesPlan("lost-settling", title, "lose", "settled_s", lost_count_points, "lost"))
    return plans


def cases_of_plans(plans: Iterable[SeriesPlan], seeds: Iterable[int]) -> list[Case]:
    """Returns the distinct runs that these series need, with small fleets first."""
    seeds = tuple(seeds)
    cases = {
        Case(plan.kind, size, amount, seed)
        for plan in plans
        for _, size, amount in plan.points
        for seed in seeds
    }
    kinds_sorted_by_members = ("lose", "join", "apart")
    return sorted(
        cases, key=lambda case: (case.members if case.kind in kinds_sorted_by_members else 0, astuple(case))
    )


def run_cases(
    cases: Iterable[Case], jobs: int, results_path: Path, log: Callable[[str], None]
) -> dict[Case, SimulationResult]:
    """Runs the cases in parallel and appends each result to a file; results in the file are reused."""
    results = read_results(results_path)
    results_path.parent.mkdir(parents=True, exist_ok=True)

    def store_result(case: Case, result: SimulationResult) -> None:
        results[case] = result
        with results_path.open("ab") as results_file:
            results_file.write(msgspec.json.encode(asdict(case) | {"found": result}) + b"\n")
        log(f"{len(results)}: {case.kind} {case.members} {case.amount:g} seed {case.seed}: {result}")

    remaining_cases = [case for case in cases if case not in results]
    for case in remaining_cases:
        if case.kind == "memory":  # memory is measured in a fresh process
            with _worker_pool(1) as pool:
                store_result(case, pool.submit(run_case, case).result())
    with _worker_pool(jobs) as pool:
        futures = {pool.submit(run_case, case): case for case in remaining_cases if case.kind != "memory"}
        for future in as_completed(futures):
            store_result(futures[future], future.result())
    return results


def _worker_pool(jobs: int) -> ProcessPoolExecutor:
    """Returns a pool of workers that end when their parent process ends."""
    return ProcessPoolExecutor(jobs, multiprocessing.get_context("spawn"), kill_when_parent_exits)


def read_results(results_path: Path) -> dict[Case, SimulationResult]:
    """Reads the results that an earlier run left; incomplete lines are skipped.

    Results in virtual time can be reused, since the same code gives the same results on every run.
    """
    results: dict[Case, SimulationResult] = {}
    for line in results_path.read_bytes().splitlines() if results_path.exists() else ():
        try:
            fields = msgspec.json.decode(line)
        except msgspec.DecodeError:
            continue
        result = fields.pop("found")
        results[Case(**fields)] = result
    return results


def fit_series(
    plans: Iterable[SeriesPlan],
    results: Mapping[Case, SimulationResult],
    seeds: Iterable[int],
    run_path: str,
    log: Callable[[str], None],
) -> dict[str, Slope]:
    """Fits the series and returns them by name. `run_path` is the file with the runs.

    Series without a fit are logged and left out.
    """
    series: dict[str, Slope] = {}
    seeds = tuple(seeds)
    for plan in plans:
        points = [
            (x, [results[Case(plan.kind, size, amount, seed)][plan.result_key] for seed in seeds])
            for x, size, amount in plan.points
        ]
        cost, unit = COST_AND_UNIT_BY_RESULT_KEY[plan.result_key]
        labels = {"title": plan.title, "cost": cost, "unit": unit, "by": plan.by, "run": run_path}
        try:
            slope = fit_slope(points, role="view", how="virtual", command=COMMAND, **labels)
        except FitError as error:
            log(f"{plan.name}: no slope: {error}")
            continue
        series[f"view-{plan.name}"] = slope
    return series


RUSAGE_SCOPES = (resource.RUSAGE_SELF, resource.RUSAGE_CHILDREN)


class Run(msgspec.Struct, kw_only=True):
    """The result file in docs/scale/runs/."""

    command: str
    date: str
    commit: str  # source revision, with `+` if files differed from it
    took_s: float
    machine: dict[str, Any]  # load by other processes during the run
    plays: list[dict[str, Any]]  # kind, members, amount, seed and results of each run


@click.command()
@click.option(
    "--members",
    multiple=True,
    type=click.IntRange(20),
    default=FLEET_SIZES,
    help="Size of a simulated fleet.",
)
@click.option(
    "--views",
    multiple=True,
    type=click.IntRange(1000),
    default=VIEW_SIZES,
    help="Size of a single member's view.",
)
@click.option(
    "--seed", "seeds", multiple=True, type=int, default=SEEDS, help="Random seed; one repeat for each."
)
@click.option(
    "--jobs", type=click.IntRange(1), default=4, show_default=True, help="Simulations run in parallel."
)
@click.option("--out", type=click.Path(path_type=Path), default=Path("docs/scale"), show_default=True)
@click.option("--more", is_flag=True, help="Keep the results of an earlier run in OUT.")
def view(
    members: tuple[int, ...], views: tuple[int, ...], seeds: tuple[int, ...], jobs: int, out: Path, more: bool
) -> None:
    """Measure in virtual time what a view of the fleet costs, by fleet size and by members lost at once."""
    started_at_s, load = time.monotonic(), machine.LoadMeter()
    run_path, results_path = out / "runs" / "view.json", out / "runs" / "view-plays.jsonl"

    def log(text: str) -> None:
        click.echo(text, err=True)

    if not more:
        results_path.unlink(missing_ok=True)
    plans = series_plans(members, views)
    cases = cases_of_plans(plans, seeds)
    results = run_cases(cases, jobs, results_path, log)
    run_record = Run(
        command=COMMAND,
        date=datetime.now(UTC).isoformat(timespec="seconds"),
        commit=machine.source_commit(),
        took_s=round(time.monotonic() - started_at_s, 1),
        machine=load.summary(sum(sum(resource.getrusage(scope)[:2]) for scope in RUSAGE_SCOPES)),
        plays=[asdict(case) | {"found": results[case]} for case in cases],
    )
    slopes.write_json(run_path, run_record)
    for name, slope in fit_series(plans, results, seeds, str(slopes.RUNS_FOLDER / "view.json"), log).items():
        slopes.write_slope(name, slope, out / "slopes")
        click.echo(
            f"{name}: {slope.slope:.4g} ({slope.low:.4g} to {slope.high:.4g}), at zero {slope.intercept:.4g}"
        )
