"""What the view of a fleet costs by its members and by how many are lost at once, in virtual time.

The members are the program's own (`fleet/membership.py`, `fleet/ranks.py`, `fleet/wire.py`). A flat view of
12,000 is 144 million records, so two plays stand in for it: whole fleets of up to some 1,300 members, and one
member whose fellows are played, with as many in its view as are asked for.
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
SIZES = (100, 200, 400, 800, 1333)  # of whole fleets
VIEW_SIZES = (1000, 3000, 6000, 12000)  # of one member's view
JOIN_SIZES = (40, 80, 160, 320)
APART_SIZES = (40, 80, 160, 320)
COMMAND = "python -m larkcrank scale view"
PLAN, ZONE, REGION = 12000, 364, 1333  # the zone's and the region's part of a fleet of so many
RACK = 28
LOST = (1, 28, 364, 1333)  # at once, of a view of PLAN
RATES = (0.0, 0.1, 0.2, 0.4)  # restarts a second
RATE_MEMBERS = 100

WARM_MS = 5_000.0
CALM_MS = 30_000.0
RATES_MS = 120_000.0
APART_MS = 120_000.0  # long enough that each side holds the other for dead
ASKED = 5
MOST_MS = 600_000.0
STEP_MS = 100.0  # between looks whether all views are the truth
LOOK_MS = 60_000.0  # of one member's play
TELLERS = 4  # of suspicions: one, and as many as may agree
IN_ONE = 8  # records in a datagram
WAY_MS = 3.0  # of a played fellow's answer
VIEWS = 8  # of one size side by side, so that their memory is well above the noise


class SettledWorld(VirtualFleet):
    """Members that know each other from the start, with nothing left to tell. None counts places: that is
    measured on one member, and would take half of the time here."""

    def __init__(self, count: int, seed: int) -> None:
        super().__init__(count, seed, seed_count=min(count, 3))
        records = [member.local_record for member in self.members.values()]
        for member in self.members.values():
            know(member, records, self.now)

        self.lines = 0  # that their logs got

    def _count(self, number: int, life: int) -> None:
        return

    def _note(self, number: int, member: Membership) -> None:
        self.lines += len(member.changes)
        super()._note(number, member)


def know(member: Membership, records: Iterable[MemberRecord], now: float) -> None:
    """Have a member hold these, as one that has heard them all long ago."""
    for record in records:
        if record.name != member.local_record.name:
            member._store(None, record)
    member.first_contact_at = now


@dataclass(slots=True, frozen=True)
class Case:
    """One play: its kind, members, how many are lost or the rate of restarts, seed."""

    kind: str
    members: int
    amount: float
    seed: int


Found = dict[str, float]


def calm(case: Case) -> Found:
    world = SettledWorld(case.members, case.seed)
    world.run(WARM_MS)
    sent, size = world.sent_datagrams, world.sent_bytes
    world.run(CALM_MS)
    seconds = case.members * CALM_MS / 1000.0
    return {
        "datagrams": (world.sent_datagrams - sent) / seconds,
        "bytes": (world.sent_bytes - size) / seconds,
    }


def lose(case: Case) -> Found:
    """So many die at one moment; until all views are true."""
    world = SettledWorld(case.members, case.seed)
    world.run(WARM_MS)
    lost = Random(case.seed).sample(range(case.members), int(case.amount))
    sent, size, left = world.sent_datagrams, world.sent_bytes, case.members - len(lost)
    world.kill(lost)
    names = {f"n{number}" for number in lost}
    took = world.run_until_converged(MOST_MS, STEP_MS)
    seconds = (MOST_MS if took is None else took) / 1000.0
    wrong = {name for _, _, name in world.deaths if name not in names}
    return {
        "settled_s": math.inf if took is None else seconds,
        "datagrams": (world.sent_datagrams - sent) / left / seconds,
        "bytes": (world.sent_bytes - size) / left / seconds,
        "wrong": float(len(wrong)),
    }


def join(case: Case) -> Found:
    """All start at one moment with nothing but three seeds; then two minutes in which the joins are told."""
    world = VirtualFleet(case.members, case.seed)
    took = world.run_until_converged(MOST_MS, STEP_MS)
    size, began = world.sent_bytes, world.now
    world.run(RATES_MS)
    told = (world.sent_bytes - size) / case.members / ((world.now - began) / 1000.0)
    return {"settled_s": math.inf if took is None else took / 1000.0, "bytes": told}


def restarts(case: Case) -> Found:
    """Members killed and started again with nothing, so many a second."""
    world = SettledWorld(case.members, case.seed)
    world.run(WARM_MS)
    rng, size, began = Random(case.seed), world.sent_bytes, world.now
    count = round(case.amount * RATES_MS / 1000.0)
    for number in rng.choices(range(case.members), k=count):
        world.run(RATES_MS / count)
        world.kill([number])
        world.start(number)
    world.run(max(began + RATES_MS - world.now, 0.0))
    seconds = RATES_MS / 1000.0
    return {
        "bytes": (world.sent_bytes - size) / case.members / seconds,
        "lines": world.lines / case.members / seconds,
    }


def apart(case: Case) -> Found:
    """A region's part of the members and the others don't hear each other; then until all views are true."""
    world = SettledWorld(case.members, case.seed)
    world.run(WARM_MS)
    within = part_of(case.members, REGION)
    world.is_link_cut = lambda a, b: (a < within) != (b < within)
    world.run(APART_MS)
    world.is_link_cut = lambda a, b: False
    size = world.sent_bytes
    took = world.run_until_converged(MOST_MS, STEP_MS)
    seconds = (MOST_MS if took is None else took) / 1000.0
    told = (world.sent_bytes - size) / case.members
    return {"settled_s": math.inf if took is None else seconds, "told": told}


def asked(case: Case) -> Found:
    """An operator asks one member for its view: the answer, and the processor time it takes."""
    config = FleetConfig("world", ("127.0.0.1", 0), "", "", (), None)
    size = FleetSize(case.members, 0, case.members)
    speaker = FleetProtocol(config, "n0", "z0", size, float, _Nobody(), _nothing, _nothing, lambda now: [])
    one = LoneMember(case.members, case.seed)
    speaker.membership, speaker.size_tracker = one.member, one.ranks
    began = time.thread_time()
    for _ in range(ASKED):
        text = speaker.view()
    return {"ms": 1000.0 * (time.thread_time() - began) / ASKED, "kib": len(text) / 1024}


class _Nobody:
    def event(self, name: str, **fields: object) -> None:
        return


def _nothing(*_: object) -> None:
    return


class LoneMember:
    """One member of the program's own code with a whole view; its fellows only answer, and ask once a period.

    Processor time is that of everything the program does for a datagram, a tick and a count, besides the
    loop and the socket.
    """

    def __init__(self, count: int, seed: int) -> None:
        self.rng = Random(seed)
        self._codec = Codec("world")
        me = MemberRecord("n0", "m:0", "z0", self.rng.getrandbits(62), 1)
        self.now = self.spent = 0.0
        self.sent = self.bytes = self.received = 0
        self.member = Membership(me, ["m:1"], Random(seed), 0.0)
        self.fellows = [
            MemberRecord(f"n{number}", f"m:{number}", "z0", self.rng.getrandbits(62), 1)
            for number in range(1, count)
        ]
        know(self.member, copies(self.fellows), 0.0)
        self.ranks = FleetSizeTracker("n0", count, 0, -WARM_MS)
        self._counts: defaultdict[str, itertools.count[int]] = defaultdict(lambda: itertools.count(1))
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._silent: set[str] = set()
        for every, do in (
            (TICK_INTERVAL_MS, self._tick),
            (FLEET_SIZE_CHECK_MS, self._count),
            (1000.0, self._ask),
        ):
            self._at(every * self.rng.random(), self._each(every, do))

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self._heap and self._heap[0][0] <= end:
            self.now, _, do = heapq.heappop(self._heap)
            do()
        self.now = end

    def lose(self, count: int) -> None:
        """Fellows fall silent. It hears from others that they are suspected, and each time of as many in a
        datagram as one holds, from so many that its own suspicion lasts no longer than it must."""
        silent = self.rng.sample(self.fellows[TELLERS:], count)
        self._silent = {record.name for record in silent}
        for teller in self.fellows[:TELLERS]:
            suspected = [
                msgspec.structs.replace(record, standing=Standing.SUSPECT, reported_by=teller.name)
                for record in silent
            ]
            for first in range(0, count, IN_ONE):
                some = suspected[first : first + IN_ONE]
                self._arrive(teller, BucketReply(*self._head(teller), 0, "", some))

    def _teller(self) -> MemberRecord:
        while (one := self.rng.choice(self.fellows)).name in self._silent:
            pass
        return one

    def _each(self, every: float, do: Callable[[], None]) -> Callable[[], None]:
        def again() -> None:
            do()
            self._at(self.now + every, again)

        return again

    def _at(self, when: float, do: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (when, next(self._sequence), do))

    def _tick(self) -> None:
        began = time.thread_time()
        outs = self.member.tick(self.now)
        self._spend(began)
        self._send(outs)

    def _count(self) -> None:
        member, began = self.member, time.thread_time()
        self.ranks.observe(
            self.now, member.live_members, member.first_contact_at, member.digest_mismatch_at, False
        )
        self._spend(began)

    def _ask(self) -> None:
        one = self._teller()
        self._arrive(one, Ping(*self._head(one), self.rng.getrandbits(30), [], bytes(100)))

    def _head(self, one: MemberRecord) -> tuple[MemberRecord, str, int, int]:
        return one, "n0", next(self._counts[one.name]), self.member.digest.total

    def _arrive(self, sender: MemberRecord, message: Ping | Ack | BucketReply) -> None:
        data = self._codec.encode(message)
        self.received += 1
        began = time.thread_time()
        outs = self.member.receive(self.now, sender.address, self._codec.decode(data))
        self._spend(began)
        self._send(outs)

    def _send(self, outs: list[OutgoingMessage]) -> None:
        for out in outs:
            began = time.thread_time()
            data = self._codec.encode(out.message)
            self._spend(began)
            self.sent += 1
            self.bytes += len(data)
            number = int(out.address[2:])
            one = self.fellows[number - 1]
            if isinstance(out.message, Ping) and one.name not in self._silent:
                self._at(self.now + WAY_MS, self._answer(one, out.message.probe_id))

    def _answer(self, one: MemberRecord, number: int) -> Callable[[], None]:
        return lambda: self._arrive(one, Ack(*self._head(one), number, []))

    def _spend(self, began: float) -> None:
        self.spent += time.thread_time() - began


def copies(records: list[MemberRecord]) -> list[MemberRecord]:
    """As they come off the wire: nothing of them is shared with the sender's."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(records), type=list[MemberRecord])


def lone(case: Case) -> Found:
    """Calm: share of a core."""
    one = LoneMember(case.members, case.seed)
    one.run(WARM_MS)
    one.spent = 0.0
    one.run(LOOK_MS)
    return {"core_percent": 100.0 * one.spent / LOOK_MS * 1000.0}


def memory(case: Case) -> Found:
    """Of views of this size side by side: what the process grows by for each. Needs a process of its own."""
    text = msgspec.msgpack.encode(
        [
            MemberRecord(f"n{number}", f"m:{number}", "z0", number << 40, 1)
            for number in range(1, case.members)
        ]
    )

    def view(number: int) -> tuple[Membership, FleetSizeTracker]:
        member = Membership(MemberRecord("n0", "m:0", "z0", number, 1), [], Random(case.seed), 0.0)
        know(member, msgspec.msgpack.decode(text, type=list[MemberRecord]), 0.0)
        ranks = FleetSizeTracker("n0", case.members, 0, 0.0)
        for now in (0.0, WARM_MS, 4 * WARM_MS):
            ranks.observe(now, member.live_members, 0.0, -math.inf, False)
        return member, ranks

    held, process = [view(0)], psutil.Process()  # the first pays for what all have in common
    gc.collect()
    before = process.memory_full_info().uss
    held += [view(number) for number in range(1, VIEWS + 1)]
    gc.collect()
    return {"mib": (process.memory_full_info().uss - before) / (len(held) - 1) / (1 << 20)}


def lone_lost(case: Case) -> Found:
    """Processor time that so many who fall silent at one moment add in the minute after, in ms."""
    one = LoneMember(case.members, case.seed)
    one.run(WARM_MS)
    one.spent = 0.0
    one.run(LOOK_MS)
    usual, one.spent = one.spent, 0.0
    one.lose(int(case.amount))
    one.run(LOOK_MS)
    gone = case.members - len(one.member.live_members)
    return {"added_ms": 1000.0 * (one.spent - usual), "gone": float(gone)}


KINDS: dict[str, Callable[[Case], Found]] = {
    "calm": calm,
    "lose": lose,
    "join": join,
    "restarts": restarts,
    "apart": apart,
    "asked": asked,
    "lone": lone,
    "memory": memory,
    "lone_lost": lone_lost,
}


def play(case: Case) -> Found:
    return KINDS[case.kind](case)


Points = tuple[tuple[float, int, float], ...]  # size, members, amount


@dataclass(slots=True, frozen=True)
class Plan:
    """A series: its file, the plays it takes, which of their figures, and against what."""

    name: str
    title: str
    kind: str
    figure: str
    points: Points
    by: str = "members"


COSTS = {  # what a play's figure is, and its unit
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
LOG = "log10 of members"


def _sizes(sizes: Iterable[int], amount: Callable[[int], float] = lambda _: 0.0) -> Points:
    return tuple((float(size), size, amount(size)) for size in sizes)


def _logs(sizes: Iterable[int], amount: Callable[[int], float] = lambda _: 0.0) -> Points:
    return tuple((math.log10(size), size, amount(size)) for size in sizes)


def part_of(size: int, lost: int) -> int:
    """As many of a fleet of this size as `lost` are of PLAN."""
    return max(round(size * lost / PLAN), 1)


def plans(sizes: tuple[int, ...] = SIZES, views: tuple[int, ...] = VIEW_SIZES) -> list[Plan]:
    """All series. One play may give several figures; it is made once."""
    joins, aparts = ([size for size in some if size <= max(sizes)] for some in (JOIN_SIZES, APART_SIZES))
    rates = tuple((rate, RATE_MEMBERS, rate) for rate in RATES)
    most = max(views)
    lost = tuple((float(count), most, float(count)) for count in (part_of(most, one) for one in LOST))
    of, by_rate = f"a view of {most}", "restarts a second"
    region = f"a region's part ({REGION} of {PLAN})"
    heal = f"{region} apart for {APART_MS / 1000:.0f} s, healed"
    found = [
        Plan("calm-datagrams", "datagrams a member, calm", "calm", "datagrams", _sizes(sizes)),
        Plan("calm-bytes", "bytes a member, calm", "calm", "bytes", _sizes(sizes)),
        Plan(
            "join-settling", "all join at one moment: all views true", "join", "settled_s", _logs(joins), LOG
        ),
        Plan("join-bytes", "two minutes after all joined: bytes a member", "join", "bytes", _sizes(joins)),
        Plan("restart-bytes", "bytes a member", "restarts", "bytes", rates, by_rate),
        Plan("restart-lines", "log lines a member", "restarts", "lines", rates, by_rate),
        Plan("apart-settling", f"{heal}: all views true", "apart", "settled_s", _logs(aparts), LOG),
        Plan("apart-bytes", f"{heal}: bytes a member until then", "apart", "told", _sizes(aparts)),
        Plan("asked-size", "an answer to VIEW", "asked", "kib", _sizes(views)),
        Plan("asked-processor", "an answer to VIEW", "asked", "ms", _sizes(views)),
        Plan("memory", "a member's view and places", "memory", "mib", _sizes(views)),
        Plan("processor", "a member's view, calm", "lone", "core_percent", _sizes(views)),
        Plan(
            "lost-processor", f"lost at once, {of}: added in a minute", "lone_lost", "added_ms", lost, "lost"
        ),
    ]
    groups: tuple[tuple[str, str, Callable[[int], float]], ...] = (
        ("one", "one", lambda size: 1.0),
        ("rack", str(RACK), lambda size: float(RACK)),
        ("zone", f"a zone's part ({ZONE} of {PLAN})", lambda size: float(part_of(size, ZONE))),
        ("region", region, lambda size: float(part_of(size, REGION))),
    )
    for name, what, count in groups:
        title = f"{what} lost at one moment: "
        found += [
            Plan(f"{name}-settling", title + "all views true", "lose", "settled_s", _logs(sizes, count), LOG),
            Plan(f"{name}-bytes", title + "bytes a member until then", "lose", "bytes", _sizes(sizes, count)),
        ]
    if (large := max(sizes)) > 2 * ZONE:
        many = tuple((float(some), large, float(some)) for some in (1, RACK, part_of(large, REGION), ZONE))
        title = f"lost at one moment of {large}: all views true"
        found.append(Plan("lost-settling", title, "lose", "settled_s", many, "lost"))
    return found


def cases_of(chosen: Iterable[Plan], seeds: Iterable[int]) -> list[Case]:
    """The plays that these series take, each once, small fleets first."""
    seeds = tuple(seeds)
    found = {
        Case(plan.kind, size, amount, seed)
        for plan in chosen
        for _, size, amount in plan.points
        for seed in seeds
    }
    whole = ("lose", "join", "apart")
    return sorted(found, key=lambda case: (case.members if case.kind in whole else 0, astuple(case)))


def play_all(cases: Iterable[Case], jobs: int, file: Path, told: Callable[[str], None]) -> dict[Case, Found]:
    """Play them side by side, but for those that `file` holds; each is added to it as it ends."""
    results = read_plays(file)
    file.parent.mkdir(parents=True, exist_ok=True)

    def keep(case: Case, found: Found) -> None:
        results[case] = found
        with file.open("ab") as out:
            out.write(msgspec.json.encode(asdict(case) | {"found": found}) + b"\n")
        told(f"{len(results)}: {case.kind} {case.members} {case.amount:g} seed {case.seed}: {found}")

    left = [case for case in cases if case not in results]
    for case in left:
        if case.kind == "memory":  # in a process that has done nothing else
            with _pool(1) as pool:
                keep(case, pool.submit(play, case).result())
    with _pool(jobs) as pool:
        futures = {pool.submit(play, case): case for case in left if case.kind != "memory"}
        for future in as_completed(futures):
            keep(futures[future], future.result())
    return results


def _pool(jobs: int) -> ProcessPoolExecutor:
    """Workers that end with whoever started them."""
    return ProcessPoolExecutor(jobs, multiprocessing.get_context("spawn"), kill_when_parent_exits)


def read_plays(file: Path) -> dict[Case, Found]:
    """The plays that a file of an earlier run holds; a line cut short is none. Same text, same figures: what
    is in virtual time does not change by being played again."""
    found: dict[Case, Found] = {}
    for line in file.read_bytes().splitlines() if file.exists() else ():
        try:
            one = msgspec.json.decode(line)
        except msgspec.DecodeError:
            continue
        figures = one.pop("found")
        found[Case(**one)] = figures
    return found


def fitted(
    chosen: Iterable[Plan],
    results: Mapping[Case, Found],
    seeds: Iterable[int],
    run: str,
    told: Callable[[str], None],
) -> dict[str, Slope]:
    """The series by name; `told` is told which has no slope. `run` is where the plays stand."""
    series: dict[str, Slope] = {}
    seeds = tuple(seeds)
    for plan in chosen:
        points = [
            (x, [results[Case(plan.kind, size, amount, seed)][plan.figure] for seed in seeds])
            for x, size, amount in plan.points
        ]
        cost, unit = COSTS[plan.figure]
        words = {"title": plan.title, "cost": cost, "unit": unit, "by": plan.by, "run": run}
        try:
            slope = fit_slope(points, role="view", how="virtual", command=COMMAND, **words)
        except FitError as error:
            told(f"{plan.name}: no slope: {error}")
            continue
        series[f"view-{plan.name}"] = slope
    return series


OWN = (resource.RUSAGE_SELF, resource.RUSAGE_CHILDREN)


class Run(msgspec.Struct, kw_only=True):
    """What stands in docs/scale/runs/."""

    command: str
    date: str
    commit: str  # of the text; `+` where files differed from it
    took_s: float
    machine: dict[str, Any]  # what others did meanwhile
    plays: list[dict[str, Any]]  # each one's kind, members, amount, seed, figures


@click.command()
@click.option("--members", multiple=True, type=click.IntRange(20), default=SIZES, help="Whole fleets.")
@click.option("--views", multiple=True, type=click.IntRange(1000), default=VIEW_SIZES, help="One member's.")
@click.option("--seed", "seeds", multiple=True, type=int, default=SEEDS, help="Repeats.")
@click.option("--jobs", type=click.IntRange(1), default=4, show_default=True, help="Plays side by side.")
@click.option("--out", type=click.Path(path_type=Path), default=Path("docs/scale"), show_default=True)
@click.option("--more", is_flag=True, help="Play only what an earlier run into OUT has not.")
def view(
    members: tuple[int, ...], views: tuple[int, ...], seeds: tuple[int, ...], jobs: int, out: Path, more: bool
) -> None:
    """What the view of a fleet costs by its members and by those lost at once, in virtual time."""
    began, load = time.monotonic(), machine.LoadMeter()
    path, plays = out / "runs" / "view.json", out / "runs" / "view-plays.jsonl"

    def told(text: str) -> None:
        click.echo(text, err=True)

    if not more:
        plays.unlink(missing_ok=True)
    chosen = plans(members, views)
    cases = cases_of(chosen, seeds)
    played = play_all(cases, jobs, plays, told)
    run = Run(
        command=COMMAND,
        date=datetime.now(UTC).isoformat(timespec="seconds"),
        commit=machine.source_commit(),
        took_s=round(time.monotonic() - began, 1),
        machine=load.summary(sum(sum(resource.getrusage(who)[:2]) for who in OWN)),
        plays=[asdict(case) | {"found": played[case]} for case in cases],
    )
    slopes.write_json(path, run)
    for name, one in fitted(chosen, played, seeds, str(slopes.RUNS_FOLDER / "view.json"), told).items():
        slopes.write_slope(name, one, out / "slopes")
        click.echo(f"{name}: {one.slope:.4g} ({one.low:.4g} to {one.high:.4g}), at none {one.intercept:.4g}")
