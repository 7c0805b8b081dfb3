"""Measures the time that a sidecar adds to a call, in total and by stage, and derives it for chains of calls.

One real sidecar runs on loopback; this process plays the clients, the endpoints and discovery. In the same
run, calls through the sidecar and direct calls start at random times, so that other load on the machine
affects both alike. The endpoint records when it receives a request and when it responds, so the measured time
is that of both directions, without the endpoint's service time. Calls in a row are calls of which each starts
after the one before has ended.
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

from larkcrank.lab.processes import ProcessError, SidecarProcess
from larkcrank.lab.scale import machine, slopes
from larkcrank.lab.scale.alarm import PreciseTimer
from larkcrank.lab.scale.fit import FitError
from larkcrank.lab.scale.slopes import Slope, fit_slope
from larkcrank.lab.scale.stamped import QUEUE_WAIT, STAGES, STAMPS_FILE, StampsByRequest
from larkcrank.lab.settings import BASE_SETTINGS, merge_settings

CALLS_PER_S = (
    20,
    80,
    200,
    400,
)  # of one sidecar; in the planned fleet, 940,000 calls/s over 12,000 endpoints are 78
SEEDS = (1, 2, 3)
ENDPOINTS = 28  # of one service
SERVICE_S = 0.004
MIN_CALLS, MIN_STAMPED_CALLS, MIN_RUN_S = 1200, 600, 10.0
MAX_UNDISTURBED_WAIT_S = 5e-5  # in the run queue of the scheduler
WARM_UP_S = 2.0
IDLE_S = 3.0
CONNECTIONS = 24  # opened at the start; more are opened if all are busy
RESPONSE_TIMEOUT_S = 5.0  # after the end of the run, for calls still pending
CHAIN_LENGTHS = (1, 2, 3, 5, 7)  # numbers of calls in a row
CHAIN_CALLS_PER_S = 80  # the rate whose measured times are used for calls in a row
FORWARD_STAGES = (
    "read",
    "parsed",
    "taken",
    "decided",
    "going",
    "at the endpoint",
)  # stages before the endpoint receives the request
SIMULATED_CALLS = 50_000
COMMAND = "python -m larkcrank scale path"
CHAIN_SAMPLES = 200_000

_REQUEST_ID_PATTERN = re.compile(rb"\r\nReq-Id: ([^\r]+)\r\n", re.IGNORECASE)
_REQUEST_TEMPLATE = (
    b"GET /look/1 HTTP/1.1\r\nHost: shop.local\r\nAccept: application/json\r\nUser-Agent: bench/1\r\n"
    b"Req-Kind: look\r\nReq-Deadline: 2.0\r\nReq-Id: %s\r\n\r\n"
)
_BODY = b"x" * 200
_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (
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
    """The run gave no result. The message says why."""


@dataclass(slots=True)
class TimedCall:
    """The times of one call, by `time.monotonic`; 0 if not yet reached."""

    request_id: str
    direct: bool
    client_sent: float = 0.0
    endpoint_received: float = 0.0  # the whole request
    endpoint_sent: float = 0.0  # when the endpoint writes the response
    client_received: float = 0.0

    @property
    def added_s(self) -> float:
        return self.endpoint_received - self.client_sent + self.client_received - self.endpoint_sent


class _EndpointConnection(asyncio.Protocol):
    """An endpoint's side of a connection. Responds SERVICE_S after it has received a request."""

    def __init__(self, bench: "Bench") -> None:
        self._bench, self._received = bench, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        received_at = time.monotonic()
        self._received += data
        if not self._received.endswith(b"\r\n\r\n"):
            return
        request_id_match, self._received = _REQUEST_ID_PATTERN.search(self._received), b""
        if request_id_match is None:
            self._transport.abort()
            return
        call = self._bench.calls[request_id_match[1].decode()]
        call.endpoint_received = received_at
        self._bench.timer.call_at(received_at + SERVICE_S, lambda: self._respond(call))

    def _respond(self, call: TimedCall) -> None:
        call.endpoint_sent = time.monotonic()
        self._transport.write(_RESPONSE)


class _ClientConnection(asyncio.Protocol):
    """A client's side of a connection. It returns to the idle connections after each response."""

    def __init__(self, idle_connections: "list[_ClientConnection]") -> None:
        self._idle, self._received = idle_connections, b""
        self._call: TimedCall | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def send(self, call: TimedCall) -> None:
        self._call = call
        request_bytes = _REQUEST_TEMPLATE % call.request_id.encode()
        call.client_sent = time.monotonic()
        self._transport.write(request_bytes)

    def data_received(self, data: bytes) -> None:
        received_at = time.monotonic()
        self._received += data
        if not self._received.endswith(_BODY) or self._call is None:
            return
        if self._received.startswith(b"HTTP/1.1 200 "):
            self._call.client_received = received_at
        self._received, self._call = b"", None
        self._idle.append(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self._idle:
            self._idle.remove(self)


class _DiscoveryConnection(asyncio.Protocol):
    """A discovery server whose list never changes. It responds to a watch once its maximum wait is over."""

    def __init__(self, whole_list: bytes) -> None:
        self._whole_list = whole_list

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        wait = re.search(rb"wait_ms=(\d+)", data)
        if wait is None:
            self._respond(self._whole_list)
        else:
            unchanged = b'{"generation": 1, "reset": false, "instances": []}'
            asyncio.get_running_loop().call_later(int(wait[1]) / 1000.0, self._respond, unchanged)

    def _respond(self, body: bytes) -> None:
        self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


class Bench:
    """The clients and endpoints of one run."""

    def __init__(self, timer: PreciseTimer, rng: Random) -> None:
        self.timer, self._rng = timer, rng
        self.calls: dict[str, TimedCall] = {}
        self._idle: dict[bool, list[_ClientConnection]] = {True: [], False: []}
        self._tasks: set[asyncio.Task[None]] = set()
        self.late_connections = 0  # connections opened because all others were busy

    async def open_connection(self, direct: bool, port: int) -> None:
        idle_connections = self._idle[direct]
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: _ClientConnection(idle_connections), "127.0.0.1", port
        )
        idle_connections.append(connection)

    def start_call(self, request_id: str, direct: bool, port: int) -> None:
        call = self.calls[request_id] = TimedCall(request_id, direct)
        if idle_connections := self._idle[direct]:
            idle_connections.pop().send(call)
            return
        self.late_connections += 1
        task = asyncio.get_running_loop().create_task(self._connect_and_send(call, direct, port))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect_and_send(self, call: TimedCall, direct: bool, port: int) -> None:
        await self.open_connection(direct, port)
        self._idle[direct].pop().send(call)

    def schedule_calls(
        self, direct: bool, rate: float, start: float, end: float, port: Callable[[], int]
    ) -> None:
        """Schedules calls at exponential intervals, without waiting for responses (an open loop)."""
        id_prefix = "d" if direct else "s"

        def arrive(call_number: int, due: float) -> None:
            self.start_call(f"{id_prefix}{call_number}", direct, port())
            next_due = due + self._rng.expovariate(rate)
            if next_due < end:
                self.timer.call_at(next_due, lambda: arrive(call_number + 1, next_due))

        first_due = start + self._rng.expovariate(rate)
        self.timer.call_at(first_due, lambda: arrive(1, first_due))


class DirectionTimes(msgspec.Struct, frozen=True):
    """The times of calls with or without the sidecar, in ms: each a pair of median and 99th percentile."""

    calls: int  # number of calls
    there: tuple[float, float]  # from the client to the endpoint
    back: tuple[float, float]  # from the endpoint to the client
    both: tuple[float, float]  # their sum for each call


class StageTimes(msgspec.Struct, frozen=True):
    """Time from the previous stage to this one, in ms. `processor` is the sidecar's median processor time."""

    median: float
    p99: float
    processor: float


def undisturbed_calls(calls: list[TimedCall], stamps: StampsByRequest) -> list[TimedCall]:
    """Returns the calls during which, and since the call before, the sidecar never waited for a processor."""
    earlier_ends = sorted(
        (stamp["replied"][0], stamp[QUEUE_WAIT][0]) for stamp in stamps.values() if QUEUE_WAIT in stamp
    )
    undisturbed = []
    for call in calls:
        call_stamps = stamps.get(call.request_id, {})
        previous_count = (
            bisect(earlier_ends, (call_stamps["read"][0], 0.0)) if QUEUE_WAIT in call_stamps else 0
        )
        if (
            previous_count
            and call_stamps[QUEUE_WAIT][0] - earlier_ends[previous_count - 1][1] < MAX_UNDISTURBED_WAIT_S
        ):
            undisturbed.append(call)
    return undisturbed


class PathRun(msgspec.Struct, frozen=True):
    """The result of one run with one rate and one seed."""

    rate: float  # calls per second through the sidecar, and as many without it
    seed: int
    stamped: bool  # whether the sidecar recorded time stamps of the stages
    direct: DirectionTimes  # calls without a sidecar
    through: DirectionTimes  # calls through the sidecar
    unanswered: int
    opened: int  # connections opened because all others were busy
    idle_ms: float  # processor time per second without any calls
    processor_ms: float  # processor time per second at this rate
    waited_ms: float  # per second, while the sidecar was runnable but not running
    load: float  # the machine's load average over one minute
    stages: dict[str, StageTimes]  # of a stamped run
    quiet: DirectionTimes | None  # of a stamped run: calls in `undisturbed_calls`
    added: list[float]  # total time of both directions of each call through the sidecar, in ms


def _direction_times(calls: list[TimedCall]) -> DirectionTimes:
    there = [1000.0 * (call.endpoint_received - call.client_sent) for call in calls]
    back = [1000.0 * (call.client_received - call.endpoint_sent) for call in calls]
    both = [1000.0 * call.added_s for call in calls]
    return DirectionTimes(len(calls), *(_median_and_p99(times) for times in (there, back, both)))


def _median_and_p99(times: list[float]) -> tuple[float, float]:
    median, p99 = numpy.percentile(times, (50.0, 99.0))
    return float(median), float(p99)


def _scheduler_times(pid: int) -> tuple[float, float]:
    """Processor time and run queue wait of a process, in ms (proc(5): schedstat)."""
    running_ns = waiting_ns = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        fields = (task / "schedstat").read_text().split()
        running_ns, waiting_ns = running_ns + int(fields[0]), waiting_ns + int(fields[1])
    return running_ns / 1e6, waiting_ns / 1e6


def stage_times(calls: list[TimedCall], stamps: StampsByRequest) -> dict[str, StageTimes]:
    """Times from each stage to the next, from the client's write on, without the endpoint's service time."""
    times_by_stage: dict[str, list[tuple[float, float]]] = {}

    def add(name: str, duration_s: float, processor_s: float) -> None:
        times_by_stage.setdefault(name, []).append((1000.0 * duration_s, 1000.0 * processor_s))

    for call in calls:
        call_stamps = stamps.get(call.request_id, {})
        if any(stage not in call_stamps for stage in STAGES):
            continue
        add("read", call_stamps["read"][0] - call.client_sent, 0.0)
        # The reader may receive data before the writer's system call has returned. The next stage is thus
        # timed from the begin of the write, while the processor time of the write is added to that stage.
        for previous, stage in itertools.pairwise(STAGES[:5]):
            add(
                stage,
                *(
                    time_at - time_before
                    for time_at, time_before in zip(call_stamps[stage], call_stamps[previous], strict=True)
                ),
            )
        add(
            "at the endpoint",
            call.endpoint_received - call_stamps["going"][0],
            call_stamps["written"][1] - call_stamps["going"][1],
        )
        add("heard", call_stamps["heard"][0] - call.endpoint_sent, 0.0)
        for previous, stage in itertools.pairwise(STAGES[6:9]):
            add(
                stage,
                *(
                    time_at - time_before
                    for time_at, time_before in zip(call_stamps[stage], call_stamps[previous], strict=True)
                ),
            )
        add(
            "at the client",
            call.client_received - call_stamps["replying"][0],
            call_stamps["replied"][1] - call_stamps["replying"][1],
        )
    return {
        stage: StageTimes(
            *_median_and_p99([wall_ms for wall_ms, _ in times]),
            _median_and_p99([processor_ms for _, processor_ms in times])[0],
        )
        for stage, times in times_by_stage.items()
    }


async def _run_async(rate: float, seed: int, stamped: bool, folder: Path) -> PathRun:
    loop, rng, timer = asyncio.get_running_loop(), Random(seed), PreciseTimer()
    bench = Bench(timer, rng)
    servers = [
        await loop.create_server(lambda: _EndpointConnection(bench), "127.0.0.1", 0) for _ in range(ENDPOINTS)
    ]
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    endpoints = [
        {"instanceId": f"e{index}", "hostPort": f"127.0.0.1:{port}", "zone": "here", "lifecycle": "Ready"}
        for index, port in enumerate(ports)
    ]
    endpoint_list = {"generation": 1, "reset": True, "instances": endpoints}
    discovery = await loop.create_server(
        lambda: _DiscoveryConnection(msgspec.json.encode(endpoint_list)), "127.0.0.1", 0
    )
    command = ["python", "-m", "larkcrank.lab.scale.stamped"] if stamped else []
    child = SidecarProcess(0, folder, command, lambda *_: None)
    try:
        settings = merge_settings(BASE_SETTINGS, {"n-instances": 28})
        address = discovery.sockets[0].getsockname()
        await child.start(
            {
                "name": "s0",
                "seed": str(seed),
                "discovery": f"127.0.0.1:{address[1]}",
                "known": endpoint_list,
                "settings": settings,
            }
        )
        assert child.client_address is not None and child.pid is not None
        port = child.client_address[1]
        for _ in range(CONNECTIONS):
            await bench.open_connection(False, port)
            await bench.open_connection(True, rng.choice(ports))
        await asyncio.sleep(1.0)
        running_ms_before = _scheduler_times(child.pid)[0]
        await asyncio.sleep(IDLE_S)
        idle_ms_per_s = (_scheduler_times(child.pid)[0] - running_ms_before) / IDLE_S
        gc.collect()
        gc.disable()
        duration_s = max(MIN_RUN_S, (MIN_STAMPED_CALLS if stamped else MIN_CALLS) / rate)
        start = time.monotonic() + 0.1
        end = start + WARM_UP_S + duration_s
        bench.schedule_calls(False, rate, start, end, lambda: port)
        bench.schedule_calls(True, rate, start, end, lambda: rng.choice(ports))
        await asyncio.sleep(start + WARM_UP_S - time.monotonic())
        running_ms, waiting_ms = _scheduler_times(child.pid)
        await asyncio.sleep(end - time.monotonic())
        running_ms, waiting_ms = (
            now - before
            for now, before in zip(_scheduler_times(child.pid), (running_ms, waiting_ms), strict=True)
        )
        deadline = time.monotonic() + RESPONSE_TIMEOUT_S
        while time.monotonic() < deadline and any(not call.client_received for call in bench.calls.values()):
            await asyncio.sleep(0.05)
        gc.enable()
        load_average = os.getloadavg()[0]
        await child.terminate()
    finally:
        gc.enable()
        await child.close()
        for server in (*servers, discovery):
            server.close()
        timer.close()
    timed_calls = [call for call in bench.calls.values() if call.client_sent >= start + WARM_UP_S]
    calls_by_direct = {
        direct: [call for call in timed_calls if call.direct is direct and call.client_received]
        for direct in (True, False)
    }
    if not all(calls_by_direct.values()):
        raise PathError(f"no responses; the sidecar's last output lines: {list(child.recent_log_lines)}")
    stamps = msgspec.json.decode((folder / STAMPS_FILE).read_bytes(), type=StampsByRequest) if stamped else {}
    undisturbed = undisturbed_calls(calls_by_direct[False], stamps)
    return PathRun(
        rate=rate,
        seed=seed,
        stamped=stamped,
        direct=_direction_times(calls_by_direct[True]),
        through=_direction_times(calls_by_direct[False]),
        unanswered=sum(not call.client_received for call in timed_calls),
        opened=bench.late_connections,
        idle_ms=idle_ms_per_s,
        processor_ms=running_ms / duration_s,
        waited_ms=waiting_ms / duration_s,
        load=load_average,
        stages=stage_times(calls_by_direct[False], stamps),
        quiet=_direction_times(undisturbed) if undisturbed else None,
        added=[1000.0 * call.added_s for call in calls_by_direct[False]],
    )


def measure_run(rate: float, seed: int, stamped: bool = False) -> PathRun:
    """Raises `PathError` or `ProcessError`."""
    with (
        tempfile.TemporaryDirectory() as folder,
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        return runner.run(_run_async(rate, seed, stamped, Path(folder)))


def sample_chain(
    added_ms: list[float], base_ms: float, chain_length: int, rng: numpy.random.Generator
) -> tuple[float, float]:
    """Median and 99th percentile of the time added to `chain_length` calls in a row, in ms.

    `base_ms` is the time of a call without a sidecar. The samples are drawn independently from the measured
    times. A busy period that delays all sidecars of a machine at once would make the tail longer.
    """
    samples = rng.choice(numpy.asarray(added_ms) - base_ms, (CHAIN_SAMPLES, chain_length)).sum(axis=1)
    median, p99 = numpy.percentile(samples, (50.0, 99.0))
    return float(median), float(p99)


RUSAGE_TARGETS = (resource.RUSAGE_SELF, resource.RUSAGE_CHILDREN)


def simulate_dedicated_processor(
    processor_ms: float, forward_share: float, rate: float, rng: Random
) -> list[float]:
    """Simulates the time in ms that would be added to each call by a sidecar with a processor of its own.

    This is a first-come, first-served queue with one server, in virtual time. Calls arrive at random. Each is
    processed twice: `forward_share` of its processor time before the endpoint, which takes SERVICE_S, and the
    rest after it. Kernel time and wake-ups are left out and all calls take the same processor time, so the
    result is a lower bound.
    """
    processor_ms_by_phase = (processor_ms * forward_share, processor_ms * (1.0 - forward_share))
    pending: list[tuple[float, int, bool]] = []  # time in ms, index of the call, whether it is its response
    arrivals_ms, added_ms, arrival_ms, free_at_ms = [], [], 0.0, 0.0
    for call_index in range(SIMULATED_CALLS):
        arrival_ms += rng.expovariate(rate) * 1000.0
        arrivals_ms.append(arrival_ms)
        pending.append((arrival_ms, call_index, False))
    heapq.heapify(pending)
    while pending:
        due_ms, call_index, is_response = heapq.heappop(pending)
        free_at_ms = max(free_at_ms, due_ms) + processor_ms_by_phase[is_response]
        if is_response:
            added_ms.append(free_at_ms - arrivals_ms[call_index] - 1000.0 * SERVICE_S)
        else:
            heapq.heappush(pending, (free_at_ms + 1000.0 * SERVICE_S, call_index, True))
    return added_ms


def forward_processor_share(runs: Iterable[PathRun]) -> float:
    """Share of a call's processor time spent before it reaches the endpoint, over all stamped runs."""
    forward_ms = return_ms = 0.0
    for run in runs:
        for stage, times in run.stages.items():
            if stage in FORWARD_STAGES:
                forward_ms += times.processor
            else:
                return_ms += times.processor
    return forward_ms / (forward_ms + return_ms)


class PathRunFile(msgspec.Struct, kw_only=True):
    """The content of docs/scale/runs/path.json."""

    command: str
    date: str
    commit: str  # of the source; `+` if files differed from it
    took_s: float
    machine: dict[str, Any]  # its load by other processes meanwhile, see `LoadMeter.summary`
    runs: list[PathRun]  # with `added` left empty
    rows: dict[
        int, list[tuple[float, float]]
    ]  # by number of calls in a row: median and 99th percentile by seed


def _added_time(percentile_index: int, run: PathRun) -> float:
    return run.through.both[percentile_index] - run.direct.both[percentile_index]


def _undisturbed_added_time(percentile_index: int, run: PathRun) -> float:
    return (
        run.quiet.both[percentile_index] - run.direct.both[percentile_index]
        if run.quiet is not None
        else math.nan
    )


def _time_to_endpoint(percentile_index: int, run: PathRun) -> float:
    return run.through.there[percentile_index]


def _time_to_client(percentile_index: int, run: PathRun) -> float:
    return run.through.back[percentile_index]


def _direct_time(percentile_index: int, run: PathRun) -> float:
    return run.direct.both[percentile_index]


def _stage_time(stage: str, run: PathRun) -> float:
    return run.stages[stage].median


def _stage_processor_time(stage: str, run: PathRun) -> float:
    return run.stages[stage].processor


TIME_SERIES: dict[str, tuple[str, str, Callable[[int, PathRun], float]]] = {  # title, note, metric
    "added": (
        "added to a call",
        "the way through the sidecar less that without it, in the same run",
        _added_time,
    ),
    "quiet": (
        "added to a call, undisturbed",
        "calls of the stamped runs in whose time the sidecar was never kept from running",
        _undisturbed_added_time,
    ),
    "there": ("client to endpoint through the sidecar", "", _time_to_endpoint),
    "back": ("endpoint to client through the sidecar", "", _time_to_client),
    "direct": ("both ways without a sidecar", "", _direct_time),
}


BY_RATE, BY_CHAIN_LENGTH = "calls a second", "calls in a row"
PERCENT_OF_CORE, MS = "% of a core", "ms"
PERCENTILES = {"median": 50.0, "p99": 99.0}
Points = list[tuple[float, list[float]]]


class _SlopeFits:
    """Collects the fitted slopes of the runs by name."""

    def __init__(self, runs: Sequence[PathRun], run_file: str) -> None:
        self.slopes: dict[str, Slope] = {}
        self.runs, self._run_file = runs, run_file
        self.rates = sorted({run.rate for run in runs})

    def points(self, stamped: bool, metric: Callable[[PathRun], float]) -> Points:
        """Returns the metric by rate, one value per seed, without rates that have non-finite values."""
        chosen_runs = [run for run in self.runs if run.stamped is stamped]
        points = [(rate, [metric(run) for run in chosen_runs if run.rate == rate]) for rate in self.rates]
        return [(rate, values) for rate, values in points if all(map(math.isfinite, values))]

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
        fields = {"title": title, "cost": cost, "unit": unit, "by": by, "run": self._run_file, "note": note}
        try:
            self.slopes[f"path-{name}"] = fit_slope(points, role="path", how=how, command=COMMAND, **fields)
        except FitError as error:
            click.echo(f"{name}: no slope fitted: {error}", err=True)


def fit_slopes(
    runs: Sequence[PathRun], rows: Mapping[int, list[tuple[float, float]]], run_file: str
) -> dict[str, Slope]:
    """Fits the slopes of all runs and returns them by name. Series that can't be fitted are reported."""
    fits = _SlopeFits(runs, run_file)
    processor_points = fits.points(False, lambda run: run.processor_ms / 10)
    fits.add("processor", "a sidecar's processor time", processor_points, PERCENT_OF_CORE)
    queued_points = fits.points(False, lambda run: run.waited_ms / 10)
    note = "ready to run while another process ran: the machine's doing, not the program's"
    fits.add("queued", "a sidecar kept from running", queued_points, PERCENT_OF_CORE, note=note)
    for percentile_index, percentile_name in enumerate(PERCENTILES):
        for name, (title, note, metric) in TIME_SERIES.items():
            points = fits.points(name == "quiet", partial(metric, percentile_index))
            fits.add(f"{name}-{percentile_name}", f"{title}, {percentile_name}", points, note=note)
        note = f"drawn independently from what {CHAIN_CALLS_PER_S} calls a second were added"
        chain_points = [
            (float(chain_length), [result[percentile_index] for result in results])
            for chain_length, results in rows.items()
        ]
        fits.add(
            f"row-{percentile_name}",
            f"added to calls in a row, {percentile_name}",
            chain_points,
            by=BY_CHAIN_LENGTH,
            note=note,
        )
    _add_dedicated_processor_slopes(fits)
    for stage, description in STAGE_DESCRIPTIONS.items():
        stage_name = stage.replace(" ", "-")
        fits.add(
            f"stage-{stage_name}", f"{description}, median", fits.points(True, partial(_stage_time, stage))
        )
        stage_processor_points = fits.points(True, partial(_stage_processor_time, stage))
        fits.add(
            f"stage-{stage_name}-cpu",
            f"{description}, the sidecar's processor time, median",
            stage_processor_points,
        )
    return fits.slopes


def _add_dedicated_processor_slopes(fits: _SlopeFits) -> None:
    """Adds the slopes of the simulated time added by a sidecar with a processor of its own.

    The simulation uses the processor time that a call took in each run.
    """
    forward_share, added_by_rate = (
        forward_processor_share(fits.runs),
        dict[float, list[tuple[int, list[float]]]](),
    )
    for run in fits.runs:
        if not run.stamped:
            processor_ms = (run.processor_ms - run.idle_ms) / run.rate
            added_ms = simulate_dedicated_processor(processor_ms, forward_share, run.rate, Random(run.seed))
            added_by_rate.setdefault(run.rate, []).append((run.seed, added_ms))
    note = "a queue in virtual time; each call takes the processor time that it took in a run"
    title = "added by a sidecar with a processor to itself"
    for percentile_name, percentile in PERCENTILES.items():
        points = [
            (rate, [float(numpy.percentile(added_ms, percentile)) for _, added_ms in results])
            for rate, results in sorted(added_by_rate.items())
        ]
        fits.add(f"alone-{percentile_name}", f"{title}, {percentile_name}", points, note=note, how="virtual")
        chain_points: Points = []
        for chain_length in CHAIN_LENGTHS if CHAIN_CALLS_PER_S in added_by_rate else ():
            chain_results = [
                sample_chain(added_ms, 0.0, chain_length, numpy.random.default_rng(seed))
                for seed, added_ms in added_by_rate[CHAIN_CALLS_PER_S]
            ]
            chain_points.append(
                (float(chain_length), [result[percentile_name == "p99"] for result in chain_results])
            )
        chain_title = f"{title}, calls in a row, {CHAIN_CALLS_PER_S} a second, {percentile_name}"
        fits.add(
            f"alone-row-{percentile_name}",
            chain_title,
            chain_points,
            by=BY_CHAIN_LENGTH,
            note=note,
            how="virtual",
        )


@click.command()
@click.option("--rate", "rates", multiple=True, type=click.IntRange(1, 2000), default=CALLS_PER_S)
@click.option("--seed", "seeds", multiple=True, type=int, default=SEEDS, help="Repeats.")
@click.option("--out", type=click.Path(path_type=Path), default=Path("docs/scale"), show_default=True)
@click.option("--fit", "fit_only", is_flag=True, help="Fit anew what stands in OUT; measure nothing.")
def path(rates: tuple[int, ...], seeds: tuple[int, ...], out: Path, fit_only: bool) -> None:
    """What one sidecar adds to a call, in whole and by stage, by calls a second. Exit code 3: cut short."""
    if fit_only:
        _write_slopes(msgspec.json.decode((out / "runs" / "path.json").read_bytes(), type=PathRunFile), out)
        return
    started, load_meter = time.monotonic(), machine.LoadMeter()
    runs = []
    try:
        for stamped in (False, True):
            for seed in seeds:  # all rates of a seed in sequence, so that a busy period affects all of them
                for rate in rates:
                    runs.append(run := measure_run(rate, seed, stamped))
                    result = f"added {run.through.both[0] - run.direct.both[0]:.2f} ms at the median"
                    click.echo(f"{rate} a second, seed {seed}{', stamped' * stamped}: {result}", err=True)
    except (PathError, ProcessError, OSError) as error:
        click.echo(str(error), err=True)
        raise SystemExit(3) from None
    rows: dict[int, list[tuple[float, float]]] = {chain_length: [] for chain_length in CHAIN_LENGTHS}
    for run in runs:
        if not run.stamped and run.rate == CHAIN_CALLS_PER_S:
            rng = numpy.random.default_rng(run.seed)
            for chain_length in CHAIN_LENGTHS:
                rows[chain_length].append(sample_chain(run.added, run.direct.both[0], chain_length, rng))
    run_file = out / "runs" / "path.json"
    run_data = PathRunFile(
        command=COMMAND,
        date=datetime.now(UTC).isoformat(timespec="seconds"),
        commit=machine.source_commit(),
        took_s=round(time.monotonic() - started, 1),
        machine=load_meter.summary(sum(sum(resource.getrusage(target)[:2]) for target in RUSAGE_TARGETS)),
        runs=[msgspec.structs.replace(run, added=[]) for run in runs],
        rows=rows,
    )
    slopes.write_json(run_file, run_data)
    _write_slopes(run_data, out)


def _write_slopes(run_data: PathRunFile, out_folder: Path) -> None:
    for name, slope in fit_slopes(
        run_data.runs, run_data.rows, str(slopes.RUNS_FOLDER / "path.json")
    ).items():
        slopes.write_slope(name, slope, out_folder / "slopes")
        click.echo(
            f"{name}: {slope.slope:.4g} ({slope.low:.4g} to {slope.high:.4g}), at none {slope.intercept:.4g}"
        )
