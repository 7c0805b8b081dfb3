"""Scale tests: the fit, hollow sidecars beside the stand-in for discovery, refusals, and the end."""

import asyncio
import contextlib
import os
import resource
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Coroutine
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import psutil
import pytest
from click.testing import CliRunner

from larkcrank.command.main import main
from larkcrank.config.settings import convert
from larkcrank.core.balancer import Balancer
from larkcrank.core.interface import Endpoint, ServerList, State
from larkcrank.lab.scale import machine, runs, series, slopes
from larkcrank.lab.scale import registry as registries
from larkcrank.lab.scale.fit import FitError, fit_line
from larkcrank.lab.scale.hollow import HollowHosts, HostSpec, change_number
from larkcrank.lab.scale.measure import measurement_order
from larkcrank.lab.scale.plan import NUMBERS_FILE
from larkcrank.lab.settings import SETTINGS
from larkcrank.protocol.discovery import Names, parse

LONG_S = 120.0  # nothing is timed by it: it ends a test that hangs
SIZES = (30.0, 300.0, 1200.0, 3000.0, 12000.0)


def planted(rng: Random, shape: "dict[float, float]", noise: float) -> list[tuple[float, list[float]]]:
    return [(size, [mean + rng.gauss(0.0, noise) for _ in range(3)]) for size, mean in shape.items()]


def test_planted_slope_lies_in_interval_at_nominal_rate() -> None:
    """95% intervals hold the truth in 95 of 100 seeds: of 400 in 380 +- 13 (three standard deviations)."""
    held = linear = 0
    for seed in range(400):
        found = fit_line(planted(Random(seed), {size: 31.0 + 0.0013 * size for size in SIZES}, 0.4))
        held += found.low <= 0.0013 <= found.high
        linear += found.linear
    assert 367 <= held <= 393
    assert linear == 400


def test_a_cost_that_never_varies_has_no_doubt() -> None:
    found = fit_line([(size, [259.0] * 3) for size in SIZES])
    assert (found.slope, found.low, found.high, found.residual, found.shape) == (0.0, 0.0, 0.0, 0.0, "line")


def test_planted_curve_is_not_linear() -> None:
    for seed in range(50):
        square = planted(Random(seed), {size: 1.0 + (size / 1200.0) ** 2 for size in SIZES}, 0.5)
        assert fit_line(square).shape == "quadratic"
        level = {1.0: 1.0, 4.0: 2.0, 16.0: 3.0, 64.0: 4.0, 256.0: 5.0}
        assert fit_line(planted(Random(seed), level, 0.05)).shape == "logarithm"


def test_no_growth_is_a_line_whose_interval_holds_nought() -> None:
    """A flat cost with noise is no curve: in 200 seeds the interval leaves nought out as often as it may."""
    grown = 0
    for seed in range(200):
        found = fit_line(planted(Random(seed), dict.fromkeys(SIZES, 5.0), 0.2))
        grown += found.grows
    assert grown <= 20


@pytest.mark.parametrize(
    ("points", "why"),
    [
        ([(1.0, [1.0] * 3), (2.0, [1.0] * 3), (3.0, [1.0] * 3)], "3 sizes"),
        ([(1.0, [1.0] * 3), (2.0, [1.0] * 3), (3.0, [1.0] * 3), (4.0, [1.0] * 2)], "under 3 repeats"),
        ([(1.0, [1.0] * 3), (2.0, [1.0] * 3), (3.0, [1.0] * 3), (4.0, [float("nan")] * 3)], "no finite"),
    ],
)
def test_too_little_is_no_slope(points: list[tuple[float, list[float]]], why: str) -> None:
    with pytest.raises(FitError, match=why):
        fit_line(points)


def test_slopes_come_back_as_written(tmp_path: Path) -> None:
    points = [(size, [size * 2.0, size * 2.0 + 0.1, size * 2.0 - 0.1]) for size in SIZES]
    one = slopes.fit_slope(
        points,
        title="t",
        role="sidecar",
        cost="resident memory",
        unit="MiB",
        by="endpoints listed",
        how="hollow",
        command="c",
        run="r",
    )
    slopes.write_slope("one", one, tmp_path)
    (tmp_path / "two.json").write_text('{"title": 3}')
    with pytest.raises(slopes.SlopesError, match=r"two\.json"):
        slopes.read_slopes(tmp_path)
    (tmp_path / "two.json").unlink()
    assert slopes.read_slopes(tmp_path) == {"one": one}
    assert one.linear and one.low < 2.0 < one.high


# Hollow sidecars and the stand-in for discovery


def test_a_change_reaches_every_hollow_sidecar_and_is_counted_once() -> None:
    async def play() -> None:
        async with _fleet(members=6, each=2, endpoints=10) as (registry, hosts):
            before = await registry.stats()
            assert (before.connections, before.waiting, before.lists) == (6, 6, 6)
            numbers = await registry.change(3, each=1)
            numbers += await registry.change(4)
            reports = await hosts.collect_until(lambda hollow: hollow.applied_at(numbers[-1]) is not None)
            hollows = [hollow for host in reports for hollow in host.hollows]
            assert sorted(hollow.number for hollow in hollows) == list(range(6))
            told = await registry.stats()
            assert numbers == list(range(2, 9)) and list(told.told) == numbers
            for hollow in hollows:
                whole, *changes = hollow.seen
                assert whole.is_complete and whole.endpoint_count == 10 and hollow.servers == 10
                assert sum(one.endpoint_count for one in changes) == 7 and not any(
                    one.is_complete for one in changes
                )
                assert [one.first_change for one in changes] == sorted(one.first_change for one in changes)
                assert hollow.generation == 8 and hollow.failures == hollow.crashed == hollow.unseen == 0
                at = hollow.applied_at(numbers[-1])
                assert at is not None and at >= told.told[numbers[-1]][0]
            assert sum(hollow.bytes_in for hollow in hollows) == told.bytes_out
            assert told.made <= 1 + 6 * 4  # one a generation and how far: not one a watcher

    _run(play())


def test_answers_are_made_once_for_all_that_are_as_far() -> None:
    listed = registries.EndpointList(registries.Spec(endpoints=100, services=4))
    first = [listed.response_after(None) for _ in range(1000)]
    assert listed.encoded_count == 1 and all(one is first[0] for one in first)
    numbers = [listed.change_next("flip") for _ in range(364)]
    behind = [listed.response_after(1) for _ in range(1000)]
    assert listed.encoded_count == 2 and all(one is behind[0] for one in behind)
    told = parse(listed.response_after(1).partition(b"\r\n\r\n")[2], Names([], []))
    assert not told.whole and told.generation == 365 and len(told.endpoints) == 100
    assert max(change_number(endpoint.size) for endpoint in told.endpoints) == numbers[-1]
    assert {endpoint.cell for endpoint in told.endpoints} == {0, 1, 2, 3}
    ahead = parse(listed.response_after(9999).partition(b"\r\n\r\n")[2], Names([], []))
    assert ahead.whole  # another discovery's count


def test_what_is_forgotten_is_told_whole() -> None:
    listed = registries.EndpointList(registries.Spec(endpoints=5))
    at = listed.change_next("flip")
    listed.discard_log()
    assert parse(listed.response_after(at - 1).partition(b"\r\n\r\n")[2], Names([], [])).whole
    listed.change_next("flip")
    told = parse(listed.response_after(at).partition(b"\r\n\r\n")[2], Names([], []))
    assert not told.whole and len(told.endpoints) == 1


def test_who_is_further_behind_than_the_log_reaches_is_told_the_whole_list() -> None:
    listed = registries.EndpointList(registries.Spec(endpoints=5))
    for _ in range(2 * registries.MAX_LOGGED_CHANGES + 1):
        listed.change_next("flip")
    assert parse(listed.response_after(2).partition(b"\r\n\r\n")[2], Names([], [])).whole
    assert not parse(
        listed.response_after(listed.generation - 3).partition(b"\r\n\r\n")[2], Names([], [])
    ).whole


def test_a_killed_host_is_not_asked_and_none_is_left() -> None:
    async def play() -> None:
        async with _fleet(members=4, each=2, endpoints=3) as (_, hosts):
            pids = hosts.pids
            await hosts.kill(0)
            reports = await hosts.collect()
            assert [hollow.number for host in reports for hollow in host.hollows] == [2, 3]
        assert not any(psutil.pid_exists(pid) for pid in pids)

    _run(play())


def test_hollow_members_see_each_other() -> None:
    """The view, ranks and lists in common are the program's own, on datagrams."""

    async def play() -> None:
        registry = registries.RegistryProcess(registries.Spec(endpoints=3))
        hosts: HollowHosts | None = None
        fleet = {
            "name": f"test-{os.getpid()}",
            "listen": "{own}",
            "seeds": ["{seed0}"],
            "recovery": {"same_places": True},
        }
        try:
            spec = HostSpec(
                count=4,
                discovery=[await registry.start()],
                settings={"bounds": {"peers": True}},
                config={"fleet": fleet},
            )
            hosts = HollowHosts(spec, 2)
            await hosts.start()
            await hosts.wait_until_serving()
            reports = await hosts.collect_until(lambda hollow: hollow.live == 4)
            for hollow in (one for host in reports for one in host.hollows):
                assert hollow.together["fleet"]["datagrams_out"] and not hollow.crashed
                assert hollow.together["fleet"]["refused"] == {}
        finally:
            if hosts is not None:
                await hosts.close()
            await registry.close()

    _run(play())


def test_a_host_ends_with_its_owner() -> None:
    """An owner that is killed outright closes nothing: its children go all the same."""
    text = (
        "import asyncio\n"
        "from larkcrank.lab.scale import hollow, registry\n"
        "async def main():\n"
        "    r = registry.RegistryProcess(registry.Spec(endpoints=3))\n"
        "    h = hollow.HollowHosts(hollow.HostSpec(count=2, discovery=[await r.start()]), 1)\n"
        "    await h.start()\n"
        "    print(r.process.pid, *h.pids, flush=True)\n"
        "    await asyncio.Event().wait()\n"
        "asyncio.run(main())\n"
    )
    owner = subprocess.Popen([sys.executable, "-c", text], stdout=subprocess.PIPE, text=True)
    try:
        assert owner.stdout is not None
        children = [psutil.Process(int(pid)) for pid in owner.stdout.readline().split()]
        assert len(children) == 3
    finally:
        owner.kill()
        owner.wait()
        assert owner.stdout is not None
        owner.stdout.close()
    _, alive = psutil.wait_procs(children, timeout=LONG_S)
    assert not alive


@contextlib.asynccontextmanager
async def _fleet(
    members: int, each: int, endpoints: int
) -> AsyncIterator[tuple[registries.RegistryProcess, HollowHosts]]:
    """All have their first list in force, and watch."""
    registry = registries.RegistryProcess(registries.Spec(endpoints=endpoints))
    hosts: HollowHosts | None = None
    try:
        place = await registry.start()
        patient = {"bounds": {"connect-timeout-ms": LONG_S * 1000.0}}
        hosts = HollowHosts(HostSpec(count=members, discovery=[place], settings=patient, beats=False), each)
        await hosts.start()
        await hosts.wait_until_serving()
        while (await registry.stats()).waiting < members:
            await asyncio.sleep(0.01)
        yield registry, hosts
    finally:
        if hosts is not None:
            await hosts.close()
        await registry.close()


def _run(work: Coroutine[Any, Any, None]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(LONG_S):
            await work

    asyncio.run(limited())


# A series' file, and a run of one

SMALL = """
name = "small"
by = "endpoints"
sizes = [3, 6, 9, 12]
hollows = 2
each = 2
settle = 0.0
idle = 0.1
changes = 2
gap = 0.0
burst = 3
[settings]
registry-mode = "automatic"
"""


@pytest.mark.parametrize(
    ("old", "new", "told"),
    [
        ("sizes = [3, 6, 9, 12]", "sizes = [3, 6, 9]", "sizes: [3, 6, 9]"),
        ("sizes = [3, 6, 9, 12]", "sizes = [3, 6, 6, 9, 12]", "sizes: [3, 6, 6, 9, 12]"),
        ("sizes = [3, 6, 9, 12]", "sizes = [3, 6, 9, 0]", "sizes[3]: 0"),
        ("sizes = [3, 6, 9, 12]", "sizes = [3, 6, 9, 20001]", "sizes[3]: 20001 lines"),
        ("sizes = [3, 6, 9, 12]", "sizes = 3", "$.sizes"),
        ('by = "endpoints"', 'by = "people"', "'people' - at `$.by`"),
        ('by = "endpoints"', 'by = "members"', "fleet: it is needed"),
        ('by = "endpoints"', 'by = "watchers"\nreal = 2', "real: 2"),
        ('name = "small"', 'name = "../small"', "name: '../small'"),
        ("idle = 0.1", "idle = 0.0", "idle: 0.0"),
        ("idle = 0.1", "idle = nan", "idle: nan"),
        ("idle = 0.1", "idler = 0.1", "`idler`"),
        ("changes = 2", "repeats = 2", "repeats: 2"),
        ("changes = 2", "real_sizes = [4]", "real_sizes[0]: 4"),
        ('registry-mode = "automatic"', "resolution-ms = -1.0", "$.resolution-ms"),
        ("hollows = 2", "hollows = ", "small.toml"),
    ],
)
def test_a_faulty_series_is_refused_with_file_key_and_value(
    tmp_path: Path, old: str, new: str, told: str
) -> None:
    assert old in SMALL
    file = tmp_path / "small.toml"
    file.write_text(SMALL.replace(old, new))
    with pytest.raises(series.SeriesError) as error:
        series.load(file)
    assert str(file) in str(error.value) and told in str(error.value)
    assert len(str(error.value).splitlines()) == 1


def test_a_refused_series_starts_nothing_and_ends_with_2(tmp_path: Path) -> None:
    (tmp_path / "small.toml").write_text(SMALL.replace("hollows = 2", "hollows = 0"))
    done = CliRunner().invoke(main, ["scale", "run", str(tmp_path / "small.toml"), "--out", str(tmp_path)])
    assert done.exit_code == 2 and "hollows: 0" in done.output
    missing = CliRunner().invoke(main, ["scale", "run", str(tmp_path / "none.toml")])
    assert missing.exit_code == 2 and "none.toml" in missing.output
    assert [path.name for path in tmp_path.iterdir()] == ["small.toml"]


def test_all_series_of_examples_can_be_read() -> None:
    files = set(Path("examples/scale").glob("*.toml")) - {
        NUMBERS_FILE
    }  # the operators' numbers are no series
    names = [series.load(path).name for path in sorted(files)]
    assert len(names) == len(set(names)) >= 4


def test_a_run_measures_fits_and_writes_and_leaves_nothing_running(tmp_path: Path) -> None:
    """Counts only: what arithmetic says of bytes and calls. No verdict on a time."""
    file = tmp_path / "small.toml"
    text = SMALL.replace("each = 2", "each = 2\nreal = 1\nreal_sizes = [3]")
    file.write_text(text + "[settings.bounds]\nconnect-timeout-ms = 120000.0\n")
    found = series.load(file)
    fitted = runs.run_series(found, file, tmp_path, lambda text: None)
    assert not psutil.Process().children(recursive=True)
    assert slopes.read_slopes(tmp_path / "slopes") == fitted
    raw = msgspec.json.decode((tmp_path / "runs" / "small.json").read_bytes(), type=runs.SeriesRun)
    assert raw.own_cpu_s > 0.0 and raw.hollow["sidecar-list-bytes"].keys() == {3, 6, 9, 12}
    line = len(registries.EndpointList(registries.Spec(endpoints=2)).response_after(None)) - len(
        registries.EndpointList(registries.Spec(endpoints=1)).response_after(None)
    )
    listed = fitted["sidecar-list-bytes-by-endpoints"]
    assert listed.linear and abs(listed.slope - line) < 1.0 and listed.how == "hollow"
    change = fitted["sidecar-change-bytes-by-endpoints"]
    assert not change.low or change.low <= 0.0 <= change.high
    more = raw.real["sidecar-memory"][3]
    assert len(more) == 3 and "at 3" in fitted["sidecar-memory-by-endpoints"].note
    assert "sidecar-memory-by-endpoints" in runs.markdown_table(fitted)
    runs.draw_charts(fitted, tmp_path / "small.png")
    assert (tmp_path / "small.png").stat().st_size > 0


def test_sizes_take_turns_so_that_drift_is_no_slope() -> None:
    turns = list(measurement_order((1, 2, 3), 3))
    assert turns == [(1, 0), (2, 0), (3, 0), (3, 1), (2, 1), (1, 1), (1, 2), (2, 2), (3, 2)]
    means = [sum(place for place, (size, _) in enumerate(turns) if size == one) / 3 for one in (1, 2, 3)]
    assert max(means) - min(means) < 1.0


def test_watchers_are_counted_by_discovery(tmp_path: Path) -> None:
    file = tmp_path / "small.toml"
    text = SMALL.replace('by = "endpoints"', 'by = "watchers"').replace("each = 2", "each = 4")
    file.write_text(text)
    fitted = runs.run_series(series.load(file), file, tmp_path, lambda text: None)
    assert not psutil.Process().children(recursive=True)
    connections = fitted["discovery-connections-by-watchers"]
    assert [costs for _, costs in connections.points] == [[float(n)] * 3 for n in (3, 6, 9, 12)]
    calls = fitted["discovery-calls-by-watchers"]
    assert [costs for _, costs in calls.points] == [[float(n)] * 3 for n in (3, 6, 9, 12)]
    whole = fitted["discovery-whole-bytes-by-watchers"]
    listed = len(registries.EndpointList(registries.Spec(endpoints=28)).response_after(None))
    assert whole.linear and abs(whole.slope - listed) < 28 * 20.0  # weights and states are a little longer


def test_an_interrupted_run_leaves_nothing_running_and_writes_nothing(tmp_path: Path) -> None:
    file = tmp_path / "small.toml"
    file.write_text(SMALL.replace("idle = 0.1", "idle = 600.0"))
    command = [sys.executable, "-m", "larkcrank", "scale", "run", str(file), "--out", str(tmp_path / "out")]
    run = psutil.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
    try:
        children: list[psutil.Process] = []
        until = time.monotonic() + LONG_S
        while len(children) < 2 and time.monotonic() < until:  # discovery, and who hosts the sidecars
            time.sleep(0.05)
            children = run.children(recursive=True)
        assert len(children) == 2
        run.send_signal(signal.SIGINT)
        _, told = run.communicate(timeout=LONG_S)
        assert run.returncode == 3 and b"interrupted" in told
        _, alive = psutil.wait_procs(children, timeout=LONG_S)
        assert not alive and not (tmp_path / "out").exists()
    finally:
        if run.poll() is None:
            run.kill()
            run.wait()


def test_limits_are_looked_up_and_kept() -> None:
    here = machine.available_resources()
    soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    assert here.descriptors < soft and here.memory_mib * machine.MIB <= psutil.virtual_memory().total / 2
    here.check(machine.MAX_PROCESSES, here.memory_mib, here.descriptors)
    for wants in (
        (machine.MAX_PROCESSES + 1, 0.0, 0),
        (1, here.memory_mib + 1.0, 0),
        (1, 0.0, here.descriptors + 1),
    ):
        with pytest.raises(machine.LimitError):
            here.check(*wants)
    with pytest.raises(machine.LimitError, match="processes"):
        HollowHosts(HostSpec(count=machine.MAX_PROCESSES + 1, discovery=["127.0.0.1:1"]), 1)


def test_a_plain_sidecar_loads_none_of_it() -> None:
    """Neither the program's start nor the command line's pays for the scale tests or scipy."""
    text = (
        "import sys, larkcrank.__main__, larkcrank.program.sidecar, larkcrank.command.main\n"
        "assert not [m for m in sys.modules if m.startswith(('scipy', 'numpy', 'larkcrank.lab'))]"
    )
    subprocess.run([sys.executable, "-c", text], check=True, timeout=LONG_S)


# What the series found


def test_a_changed_line_sums_the_sizes_once_and_not_once_a_server() -> None:
    """Counted in calls: with a sum for each server, a change of a long list costs its square."""

    def sums(servers: int) -> int:
        balancer = Balancer(convert(SETTINGS).decisions, Random(1), 0.0)
        endpoints = tuple(Endpoint(b"s%d" % number) for number in range(servers))
        balancer.handle(0.0, ServerList(endpoints, True))
        counted = 0

        def count(frame: object, event: str, what: object) -> None:
            nonlocal counted
            counted += event == "c_call" and what is sum

        sys.setprofile(count)
        try:
            balancer.handle(1.0, ServerList((Endpoint(b"s0", State.DRAINING),), False))
        finally:
            sys.setprofile(None)
        return counted

    assert sums(50) == sums(500)
