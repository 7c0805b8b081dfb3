"""What a sidecar adds to a call, by stage and in whole, and what that makes of calls in a row.

One real sidecar on loopback; clients, endpoints and discovery are this process. Calls with the sidecar and
without it come by turns at random moments in the same run, so that a busy machine does the same to both.
The endpoint answers at its moment: what is added is the way there and the way back, the service left out.
"""

import asyncio
import gc
import heapq
import itertools
import math
import os
import re
import resource
import tempfile
import time
from bisect import bisect
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from functools import partial
from pathlib import Path
from random import Random
from typing import Any, Literal, cast

import click
import msgspec
import numpy
import uvloop

from larkcrank.lab.processes import Child, ProcessError
from larkcrank.lab.scale import machine, slopes
from larkcrank.lab.scale.alarm import PreciseTimer
from larkcrank.lab.scale.fit import FitError
from larkcrank.lab.scale.slopes import Slope, fit_slope
from larkcrank.lab.scale.stamped import QUEUE_WAIT, STAGES, STAMPS_FILE, StampsByRequest
from larkcrank.lab.settings import SETTINGS, merged

CALLS_PER_S = (20, 80, 200, 400)  # calls a second of one sidecar; 940,000 over 12,000 are 78
SEEDS = (1, 2, 3)
ENDPOINTS = 28  # of a service
SERVICE_S = 0.004
MIN_CALLS, MIN_STAMPED_CALLS, MIN_RUN_S = 1200, 600, 10.0
MAX_UNDISTURBED_WAIT_S = 5e-5  # in the run queue
WARM_UP_S = 2.0
IDLE_S = 3.0
CONNECTIONS = 24  # opened beforehand; more are opened where all are busy
RESPONSE_TIMEOUT_S = 5.0  # after the last call its answer must have come
CHAIN_LENGTHS = (1, 2, 3, 5, 7)  # calls in a row
CHAIN_CALLS_PER_S = 80  # at which what they are added is taken
FORWARD_STAGES = (
    "read",
    "parsed",
    "taken",
    "decided",
    "going",
    "at the endpoint",
)  # stages before the answer
SIMULATED_CALLS = 50_000
COMMAND = "python -m larkcrank scale path"
CHAIN_SAMPLES = 200_000

_ID = re.compile(rb"\r\nReq-Id: ([^\r]+)\r\n", re.IGNORECASE)
_REQUEST = (
    b"GET /look/1 HTTP/1.1\r\nHost: shop.local\r\nAccept: application/json\r\nUser-Agent: bench/1\r\n"
    b"Req-Kind: look\r\nReq-Deadline: 2.0\r\nReq-Id: %s\r\n\r\n"
)
_BODY = b"x" * 200
_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (
    len(_BODY),
    _BODY,
)


STAGE_DESCRIPTIONS = {
    "read": "client's write to the sidecar's read",
    "parsed": "request parsed",
    "taken": "request made a call",
    "decided": "endpoint decided",
    "going": "connection taken, head made",
    "at the endpoint": "sidecar's write to the endpoint's read",
    "heard": "endpoint's write to the sidecar's read",
    "answered": "answer parsed",
    "replying": "outcome decided, client's side woken",
    "at the client": "sidecar's write to the client's read",
}


class PathError(Exception):
    """The run came to no figure; the message says why."""


@dataclass(slots=True)
class TimedCall:
    """One call's moments, by `time.monotonic`."""

    request_id: str
    direct: bool
    client_sent: float = 0.0
    endpoint_received: float = 0.0  # whole at the endpoint
    endpoint_sent: float = 0.0  # handed over by the endpoint
    client_received: float = 0.0

    @property
    def added_s(self) -> float:
        return self.endpoint_received - self.client_sent + self.client_received - self.endpoint_sent


class _EndpointSide(asyncio.Protocol):
    def __init__(self, bench: "Bench") -> None:
        self._bench, self._held = bench, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        came = time.monotonic()
        self._held += data
        if not self._held.endswith(b"\r\n\r\n"):
            return
        found, self._held = _ID.search(self._held), b""
        if found is None:
            self._transport.abort()
            return
        asked = self._bench.calls[found[1].decode()]
        asked.endpoint_received = came
        self._bench.timer.call_at(came + SERVICE_S, lambda: self._answer(asked))

    def _answer(self, asked: TimedCall) -> None:
        asked.endpoint_sent = time.monotonic()
        self._transport.write(_ANSWER)


class _ClientSide(asyncio.Protocol):
    def __init__(self, idle: "list[_ClientSide]") -> None:
        self._idle, self._held = idle, b""
        self._asked: TimedCall | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def send(self, asked: TimedCall) -> None:
        self._asked = asked
        text = _REQUEST % asked.request_id.encode()
        asked.client_sent = time.monotonic()
        self._transport.write(text)

    def data_received(self, data: bytes) -> None:
        back = time.monotonic()
        self._held += data
        if not self._held.endswith(_BODY) or self._asked is None:
            return
        if self._held.startswith(b"HTTP/1.1 200 "):
            self._asked.client_received = back
        self._held, self._asked = b"", None
        self._idle.append(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self._idle:
            self._idle.remove(self)


class _Discovery(asyncio.Protocol):
    """Its list never changes: whoever watches is told so when the wait is over."""

    def __init__(self, whole: bytes) -> None:
        self._whole = whole

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        wait = re.search(rb"wait_ms=(\d+)", data)
        if wait is None:
            self._say(self._whole)
        else:
            none = b'{"generation": 1, "reset": false, "instances": []}'
            asyncio.get_running_loop().call_later(int(wait[1]) / 1000.0, self._say, none)

    def _say(self, body: bytes) -> None:
        self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


class Bench:
    """Endpoints and clients of one run."""

    def __init__(self, alarm: PreciseTimer, rng: Random) -> None:
        self.timer, self._rng = alarm, rng
        self.calls: dict[str, TimedCall] = {}
        self._idle: dict[bool, list[_ClientSide]] = {True: [], False: []}
        self._tasks: set[asyncio.Task[None]] = set()
        self.late_connections = 0  # connections beyond those opened beforehand

    async def open_connection(self, direct: bool, port: int) -> None:
        idle = self._idle[direct]
        _, side = await asyncio.get_running_loop().create_connection(
            lambda: _ClientSide(idle), "127.0.0.1", port
        )
        idle.append(side)

    def start_call(self, number: str, direct: bool, port: int) -> None:
        asked = self.calls[number] = TimedCall(number, direct)
        if idle := self._idle[direct]:
            idle.pop().send(asked)
            return
        self.late_connections += 1
        task = asyncio.get_running_loop().create_task(self._ask_late(asked, direct, port))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask_late(self, asked: TimedCall, direct: bool, port: int) -> None:
        await self.open_connection(direct, port)
        self._idle[direct].pop().send(asked)

    def schedule_calls(
        self, direct: bool, rate: float, begin: float, end: float, port: Callable[[], int]
    ) -> None:
        """Calls at random moments, an open loop."""
        way = "d" if direct else "s"

        def arrive(number: int, when: float) -> None:
            self.start_call(f"{way}{number}", direct, port())
            following = when + self._rng.expovariate(rate)
            if following < end:
                self.timer.call_at(following, lambda: arrive(number + 1, following))

        first = begin + self._rng.expovariate(rate)
        self.timer.call_at(first, lambda: arrive(1, first))


class DirectionTimes(msgspec.Struct, frozen=True):
    """Of calls one way, in ms: there, back and both, at the median and at the 99th in a hundred."""

    calls: int
    there: tuple[float, float]
    back: tuple[float, float]
    both: tuple[float, float]


class StageTimes(msgspec.Struct, frozen=True):
    """From the stage before to this one, in ms; `processor` is the median of the sidecar's own."""

    median: float
    p99: float
    processor: float


def undisturbed_calls(calls: list[TimedCall], stamps: StampsByRequest) -> list[TimedCall]:
    """Those in whose time, and since the call before, the sidecar was never kept from running."""
    ends = sorted((one["replied"][0], one[QUEUE_WAIT][0]) for one in stamps.values() if QUEUE_WAIT in one)
    found = []
    for call in calls:
        stamp = stamps.get(call.request_id, {})
        before = bisect(ends, (stamp["read"][0], 0.0)) if QUEUE_WAIT in stamp else 0
        if before and stamp[QUEUE_WAIT][0] - ends[before - 1][1] < MAX_UNDISTURBED_WAIT_S:
            found.append(call)
    return found


class PathRun(msgspec.Struct, frozen=True):
    """One rate, one seed."""

    rate: float
    seed: int
    stamped: bool
    direct: DirectionTimes
    through: DirectionTimes
    unanswered: int
    opened: int
    idle_ms: float  # processor time a second without a call
    processor_ms: float  # a second, at this rate
    waited_ms: float  # a second, that the sidecar was ready to run and another process ran
    load: float  # of the machine, as its own mean of a minute
    stages: dict[str, StageTimes]  # of a stamped run
    quiet: DirectionTimes | None  # of a stamped run: calls that found the sidecar free to run all the while
    added: list[float]  # each call's, in ms


def _ways(calls: list[TimedCall]) -> DirectionTimes:
    there = [1000.0 * (one.endpoint_received - one.client_sent) for one in calls]
    back = [1000.0 * (one.client_received - one.endpoint_sent) for one in calls]
    both = [1000.0 * one.added_s for one in calls]
    return DirectionTimes(len(calls), *(_middle_and_tail(times) for times in (there, back, both)))


def _middle_and_tail(times: list[float]) -> tuple[float, float]:
    middle, tail = numpy.percentile(times, (50.0, 99.0))
    return float(middle), float(tail)


def _scheduled(pid: int) -> tuple[float, float]:
    """Processor time and time in the run queue of a process, in ms (proc(5): schedstat)."""
    spent = waited = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        one = (task / "schedstat").read_text().split()
        spent, waited = spent + int(one[0]), waited + int(one[1])
    return spent / 1e6, waited / 1e6


def stage_times(calls: list[TimedCall], stamps: StampsByRequest) -> dict[str, StageTimes]:
    """From each stage to the next, from the client's write on, the endpoint's own time left out."""
    spans: dict[str, list[tuple[float, float]]] = {}

    def add(name: str, ms: float, processor_ms: float) -> None:
        spans.setdefault(name, []).append((1000.0 * ms, 1000.0 * processor_ms))

    for call in calls:
        found = stamps.get(call.request_id, {})
        if any(stage not in found for stage in STAGES):
            continue
        add("read", found["read"][0] - call.client_sent, 0.0)
        # The kernel may bring a write to its reader before the call that writes has returned: what follows
        # it on the way is counted from its beginning, its processor time as if it were done first.
        for before, stage in itertools.pairwise(STAGES[:5]):
            add(stage, *(now - then for now, then in zip(found[stage], found[before], strict=True)))
        add(
            "at the endpoint",
            call.endpoint_received - found["going"][0],
            found["written"][1] - found["going"][1],
        )
        add("heard", found["heard"][0] - call.endpoint_sent, 0.0)
        for before, stage in itertools.pairwise(STAGES[6:9]):
            add(stage, *(now - then for now, then in zip(found[stage], found[before], strict=True)))
        add(
            "at the client",
            call.client_received - found["replying"][0],
            found["replied"][1] - found["replying"][1],
        )
    return {
        stage: StageTimes(
            *_middle_and_tail([wall for wall, _ in both]), _middle_and_tail([one for _, one in both])[0]
        )
        for stage, both in spans.items()
    }


async def _run(rate: float, seed: int, stamped: bool, folder: Path) -> PathRun:
    loop, rng, alarm = asyncio.get_running_loop(), Random(seed), PreciseTimer()
    bench = Bench(alarm, rng)
    servers = [
        await loop.create_server(lambda: _EndpointSide(bench), "127.0.0.1", 0) for _ in range(ENDPOINTS)
    ]
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    lines = [
        {"instanceId": f"e{index}", "hostPort": f"127.0.0.1:{port}", "zone": "here", "lifecycle": "Ready"}
        for index, port in enumerate(ports)
    ]
    known = {"generation": 1, "reset": True, "instances": lines}
    discovery = await loop.create_server(lambda: _Discovery(msgspec.json.encode(known)), "127.0.0.1", 0)
    command = ["python", "-m", "larkcrank.lab.scale.stamped"] if stamped else []
    child = Child(0, folder, command, lambda *_: None)
    try:
        settings = merged(SETTINGS, {"n-instances": 28})
        address = discovery.sockets[0].getsockname()
        await child.start(
            {
                "name": "s0",
                "seed": str(seed),
                "discovery": f"127.0.0.1:{address[1]}",
                "known": known,
                "settings": settings,
            }
        )
        assert child.place is not None and child.pid is not None
        port = child.place[1]
        for _ in range(CONNECTIONS):
            await bench.open_connection(False, port)
            await bench.open_connection(True, rng.choice(ports))
        await asyncio.sleep(1.0)
        before = _scheduled(child.pid)[0]
        await asyncio.sleep(IDLE_S)
        idle = (_scheduled(child.pid)[0] - before) / IDLE_S
        gc.collect()
        gc.disable()
        last_s = max(MIN_RUN_S, (MIN_STAMPED_CALLS if stamped else MIN_CALLS) / rate)
        begin = time.monotonic() + 0.1
        end = begin + WARM_UP_S + last_s
        bench.schedule_calls(False, rate, begin, end, lambda: port)
        bench.schedule_calls(True, rate, begin, end, lambda: rng.choice(ports))
        await asyncio.sleep(begin + WARM_UP_S - time.monotonic())
        spent, waited = _scheduled(child.pid)
        await asyncio.sleep(end - time.monotonic())
        spent, waited = (now - then for now, then in zip(_scheduled(child.pid), (spent, waited), strict=True))
        until = time.monotonic() + RESPONSE_TIMEOUT_S
        while time.monotonic() < until and any(not one.client_received for one in bench.calls.values()):
            await asyncio.sleep(0.05)
        gc.enable()
        load = os.getloadavg()[0]
        await child.end()
    finally:
        gc.enable()
        await child.close()
        for server in (*servers, discovery):
            server.close()
        alarm.close()
    timed = [one for one in bench.calls.values() if one.client_sent >= begin + WARM_UP_S]
    ways = {
        direct: [one for one in timed if one.direct is direct and one.client_received]
        for direct in (True, False)
    }
    if not all(ways.values()):
        raise PathError(f"no answers; the sidecar's last lines: {list(child.lines)}")
    stamps = msgspec.json.decode((folder / STAMPS_FILE).read_bytes(), type=StampsByRequest) if stamped else {}
    quiet = undisturbed_calls(ways[False], stamps)
    return PathRun(
        rate=rate,
        seed=seed,
        stamped=stamped,
        direct=_ways(ways[True]),
        through=_ways(ways[False]),
        unanswered=sum(not one.client_received for one in timed),
        opened=bench.late_connections,
        idle_ms=idle,
        processor_ms=spent / last_s,
        waited_ms=waited / last_s,
        load=load,
        stages=stage_times(ways[False], stamps),
        quiet=_ways(quiet) if quiet else None,
        added=[1000.0 * one.added_s for one in ways[False]],
    )


def measure_run(rate: float, seed: int, stamped: bool = False) -> PathRun:
    """Raises `PathError` or `ProcessError`."""
    with (
        tempfile.TemporaryDirectory() as folder,
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        return runner.run(_run(rate, seed, stamped, Path(folder)))


def sample_chain(
    added: list[float], base: float, deep: int, rng: numpy.random.Generator
) -> tuple[float, float]:
    """Median and 99th in a hundred of what `deep` calls one after another are given, in ms.

    `base` is what a call without a sidecar takes on the way; drawn independently from what was measured: a
    busy moment that holds up all sidecars of a machine at once would make the tail longer.
    """
    drawn = rng.choice(numpy.asarray(added) - base, (CHAIN_SAMPLES, deep)).sum(axis=1)
    middle, tail = numpy.percentile(drawn, (50.0, 99.0))
    return float(middle), float(tail)


RUSAGE_TARGETS = (resource.RUSAGE_SELF, resource.RUSAGE_CHILDREN)


def simulate_dedicated_processor(processor_ms: float, first: float, rate: float, rng: Random) -> list[float]:
    """What calls would be added if the sidecar had a processor to itself: its own time, and the wait for it.

    A queue of one server, first come first served, in virtual time: calls come at random, each is worked on
    twice, `first` of its processor time before its endpoint and the rest after, and the endpoint takes
    SERVICE_S. The kernel's way and the wake-ups are left out, and each call takes as long: a lower bound.
    """
    parts = (processor_ms * first, processor_ms * (1.0 - first))
    due: list[tuple[float, int, bool]] = []  # when, which call, whether its answer
    begun, found, now, free = [], [], 0.0, 0.0
    for number in range(SIMULATED_CALLS):
        now += rng.expovariate(rate) * 1000.0
        begun.append(now)
        due.append((now, number, False))
    heapq.heapify(due)
    while due:
        when, number, is_answer = heapq.heappop(due)
        free = max(free, when) + parts[is_answer]
        if is_answer:
            found.append(free - begun[number] - 1000.0 * SERVICE_S)
        else:
            heapq.heappush(due, (free + 1000.0 * SERVICE_S, number, True))
    return found


def forward_processor_share(runs: Iterable[PathRun]) -> float:
    """Of a call's processor time, how much is spent before it is at its endpoint: of all stamped runs."""
    before = after = 0.0
    for one in runs:
        for stage, words in one.stages.items():
            if stage in FORWARD_STAGES:
                before += words.processor
            else:
                after += words.processor
    return before / (before + after)


class PathRunFile(msgspec.Struct, kw_only=True):
    """What stands in docs/scale/runs/."""

    command: str
    date: str
    commit: str  # of the text; `+` where files differed from it
    took_s: float
    machine: dict[str, Any]  # what others did meanwhile
    runs: list[PathRun]  # without each call's figure
    rows: dict[int, list[tuple[float, float]]]  # calls in a row: median and 99th in a hundred, of each seed


def _added(index: int, one: PathRun) -> float:
    return one.through.both[index] - one.direct.both[index]


def _undisturbed(index: int, one: PathRun) -> float:
    return one.quiet.both[index] - one.direct.both[index] if one.quiet is not None else math.nan


def _there(index: int, one: PathRun) -> float:
    return one.through.there[index]


def _back(index: int, one: PathRun) -> float:
    return one.through.back[index]


def _direct(index: int, one: PathRun) -> float:
    return one.direct.both[index]


def _took(stage: str, one: PathRun) -> float:
    return one.stages[stage].median


def _spent(stage: str, one: PathRun) -> float:
    return one.stages[stage].processor


TIME_SERIES: dict[str, tuple[str, str, Callable[[int, PathRun], float]]] = {  # title, note, figure
    "added": ("added to a call", "the way through the sidecar less that without it, in the same run", _added),
    "quiet": (
        "added to a call, undisturbed",
        "calls of the stamped runs in whose time the sidecar was never kept from running",
        _undisturbed,
    ),
    "there": ("client to endpoint through the sidecar", "", _there),
    "back": ("endpoint to client through the sidecar", "", _back),
    "direct": ("both ways without a sidecar", "", _direct),
}


BY_RATE, BY_CHAIN_LENGTH = "calls a second", "calls in a row"
PERCENT_OF_CORE, MS = "% of a core", "ms"
PERCENTILES = {"median": 50.0, "p99": 99.0}
Points = list[tuple[float, list[float]]]


class _Fits:
    """The slopes of a run by name."""

    def __init__(self, runs: Sequence[PathRun], run: str) -> None:
        self.found: dict[str, Slope] = {}
        self.runs, self._run = runs, run
        self.rates = sorted({one.rate for one in runs})

    def points(self, stamped: bool, figure: Callable[[PathRun], float]) -> Points:
        """By rate, one figure for each seed. A rate at which one has none is left out."""
        chosen = [one for one in self.runs if one.stamped is stamped]
        found = [(rate, [figure(one) for one in chosen if one.rate == rate]) for rate in self.rates]
        return [(rate, each) for rate, each in found if all(map(math.isfinite, each))]

    def add(
        self,
        name: str,
        title: str,
        points: Points,
        unit: str = MS,
        by: str = BY_RATE,
        note: str = "",
        how: Literal["real", "virtual"] = "real",
    ) -> None:
        cost = "processor time" if name.endswith(("processor", "-cpu")) else "time"
        words = {"title": title, "cost": cost, "unit": unit, "by": by, "run": self._run, "note": note}
        try:
            self.found[f"path-{name}"] = fit_slope(points, role="path", how=how, command=COMMAND, **words)
        except FitError as error:
            click.echo(f"{name}: no slope: {error}", err=True)


def fit_slopes(
    runs: Sequence[PathRun], rows: Mapping[int, list[tuple[float, float]]], run: str
) -> dict[str, Slope]:
    """The slopes of all that was measured, by name; what has none is told."""
    fits = _Fits(runs, run)
    processor = fits.points(False, lambda one: one.processor_ms / 10)
    fits.add("processor", "a sidecar's processor time", processor, PERCENT_OF_CORE)
    queued = fits.points(False, lambda one: one.waited_ms / 10)
    note = "ready to run while another process ran: the machine's doing, not the program's"
    fits.add("queued", "a sidecar kept from running", queued, PERCENT_OF_CORE, note=note)
    for index, which in enumerate(PERCENTILES):
        for name, (title, note, way) in TIME_SERIES.items():
            figures = fits.points(name == "quiet", partial(way, index))
            fits.add(f"{name}-{which}", f"{title}, {which}", figures, note=note)
        note = f"drawn independently from what {CHAIN_CALLS_PER_S} calls a second were added"
        row = [(float(deep), [one[index] for one in each]) for deep, each in rows.items()]
        fits.add(f"row-{which}", f"added to calls in a row, {which}", row, by=BY_CHAIN_LENGTH, note=note)
    _add_alone(fits)
    for stage, words in STAGE_DESCRIPTIONS.items():
        slug = stage.replace(" ", "-")
        fits.add(f"stage-{slug}", f"{words}, median", fits.points(True, partial(_took, stage)))
        own = fits.points(True, partial(_spent, stage))
        fits.add(f"stage-{slug}-cpu", f"{words}, the sidecar's processor time, median", own)
    return fits.found


def _add_alone(fits: _Fits) -> None:
    """What calls were added if the sidecar had a processor to itself, by the processor time of each run."""
    first, by_rate = forward_processor_share(fits.runs), dict[float, list[tuple[int, list[float]]]]()
    for one in fits.runs:
        if not one.stamped:
            took = (one.processor_ms - one.idle_ms) / one.rate
            added = simulate_dedicated_processor(took, first, one.rate, Random(one.seed))
            by_rate.setdefault(one.rate, []).append((one.seed, added))
    note = "a queue in virtual time; each call takes the processor time that it took in a run"
    title = "added by a sidecar with a processor to itself"
    for which, share in PERCENTILES.items():
        figures = [
            (rate, [float(numpy.percentile(added, share)) for _, added in each])
            for rate, each in sorted(by_rate.items())
        ]
        fits.add(f"alone-{which}", f"{title}, {which}", figures, note=note, how="virtual")
        row: Points = []
        for deep in CHAIN_LENGTHS if CHAIN_CALLS_PER_S in by_rate else ():
            drawn = [
                sample_chain(added, 0.0, deep, numpy.random.default_rng(seed))
                for seed, added in by_rate[CHAIN_CALLS_PER_S]
            ]
            row.append((float(deep), [one[which == "p99"] for one in drawn]))
        words = f"{title}, calls in a row, {CHAIN_CALLS_PER_S} a second, {which}"
        fits.add(f"alone-row-{which}", words, row, by=BY_CHAIN_LENGTH, note=note, how="virtual")


@click.command()
@click.option("--rate", "rates", multiple=True, type=click.IntRange(1, 2000), default=CALLS_PER_S)
@click.option("--seed", "seeds", multiple=True, type=int, default=SEEDS, help="Repeats.")
@click.option("--out", type=click.Path(path_type=Path), default=Path("docs/scale"), show_default=True)
@click.option("--fit", "fit_only", is_flag=True, help="Fit anew what stands in OUT; measure nothing.")
def path(rates: tuple[int, ...], seeds: tuple[int, ...], out: Path, fit_only: bool) -> None:
    """What one sidecar adds to a call, in whole and by stage, by calls a second. Exit code 3: cut short."""
    if fit_only:
        _write(msgspec.json.decode((out / "runs" / "path.json").read_bytes(), type=PathRunFile), out)
        return
    began, load = time.monotonic(), machine.LoadMeter()
    runs = []
    try:
        for stamped in (False, True):
            for seed in seeds:  # each seed's rates one after another, so that a busy spell befalls them all
                for rate in rates:
                    runs.append(one := measure_run(rate, seed, stamped))
                    said = f"added {one.through.both[0] - one.direct.both[0]:.2f} ms at the median"
                    click.echo(f"{rate} a second, seed {seed}{', stamped' * stamped}: {said}", err=True)
    except (PathError, ProcessError, OSError) as error:
        click.echo(str(error), err=True)
        raise SystemExit(3) from None
    rows: dict[int, list[tuple[float, float]]] = {deep: [] for deep in CHAIN_LENGTHS}
    for one in runs:
        if not one.stamped and one.rate == CHAIN_CALLS_PER_S:
            rng = numpy.random.default_rng(one.seed)
            for deep in CHAIN_LENGTHS:
                rows[deep].append(sample_chain(one.added, one.direct.both[0], deep, rng))
    where = out / "runs" / "path.json"
    raw = PathRunFile(
        command=COMMAND,
        date=datetime.now(UTC).isoformat(timespec="seconds"),
        commit=machine.source_commit(),
        took_s=round(time.monotonic() - began, 1),
        machine=load.summary(sum(sum(resource.getrusage(who)[:2]) for who in RUSAGE_TARGETS)),
        runs=[msgspec.structs.replace(one, added=[]) for one in runs],
        rows=rows,
    )
    slopes.write_json(where, raw)
    _write(raw, out)


def _write(raw: PathRunFile, out: Path) -> None:
    for name, slope in fit_slopes(raw.runs, raw.rows, str(slopes.RUNS_FOLDER / "path.json")).items():
        slopes.write_slope(name, slope, out / "slopes")
        click.echo(
            f"{name}: {slope.slope:.4g} ({slope.low:.4g} to {slope.high:.4g}), at none {slope.intercept:.4g}"
        )
