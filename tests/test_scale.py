"""Tests of larkcrank.lab.scale: fits, hollow sidecars, simulated discovery, invalid input and shutdown."""

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
from larkcrank.lab.scale import registry as registry_module
from larkcrank.lab.scale.fit import FitError, fit_line
from larkcrank.lab.scale.hollow import HollowHosts, HostSpec, change_number
from larkcrank.lab.scale.measure import measurement_order
from larkcrank.lab.scale.plan import NUMBERS_FILE
from larkcrank.lab.settings import BASE_SETTINGS
from larkcrank.protocol.discovery import NameTable, parse_list

TEST_TIMEOUT_S = 120.0  # only ends tests that hang
SIZES = (30.0, 300.0, 1200.0, 3000.0, 12000.0)


def noisy_points(
    rng: Random, mean_by_size: "dict[float, float]", noise: float
) -> list[tuple[float, list[float]]]:
    return [(size, [mean + rng.gauss(0.0, noise) for _ in range(3)]) for size, mean in mean_by_size.items()]


def test_true_slope_lies_in_95_percent_interval_at_nominal_rate() -> None:
    """A 95% interval contains the true slope in 380 +- 13 of 400 seeds (three standard deviations)."""
    inside_count = linear_count = 0
    for seed in range(400):
        line = fit_line(noisy_points(Random(seed), {size: 31.0 + 0.0013 * size for size in SIZES}, 0.4))
        inside_count += line.low <= 0.0013 <= line.high
        linear_count += line.linear
    assert 367 <= inside_count <= 393
    assert linear_count == 400


def test_constant_cost_has_zero_width_interval() -> None:
    line = fit_line([(size, [259.0] * 3) for size in SIZES])
    assert (line.slope, line.low, line.high, line.residual, line.shape) == (0.0, 0.0, 0.0, 0.0, "line")


def test_curved_cost_is_not_linear() -> None:
    for seed in range(50):
        quadratic_points = noisy_points(
            Random(seed), {size: 1.0 + (size / 1200.0) ** 2 for size in SIZES}, 0.5
        )
        assert fit_line(quadratic_points).shape == "quadratic"
        logarithmic_means = {1.0: 1.0, 4.0: 2.0, 16.0: 3.0, 64.0: 4.0, 256.0: 5.0}
        assert fit_line(noisy_points(Random(seed), logarithmic_means, 0.05)).shape == "logarithm"


def test_constant_noisy_cost_has_interval_that_contains_zero() -> None:
    """The interval of a constant, noisy cost may exclude zero in at most 20 of 200 seeds."""
    growing_count = 0
    for seed in range(200):
        line = fit_line(noisy_points(Random(seed), dict.fromkeys(SIZES, 5.0), 0.2))
        growing_count += line.grows
    assert growing_count <= 20


@pytest.mark.parametrize(
    ("points", "message"),
    [
        ([(1.0, [1.0] * 3), (2.0, [1.0] * 3), (3.0, [1.0] * 3)], "3 sizes"),
        ([(1.0, [1.0] * 3), (2.0, [1.0] * 3), (3.0, [1.0] * 3), (4.0, [1.0] * 2)], "under 3 repeats"),
        ([(1.0, [1.0] * 3), (2.0, [1.0] * 3), (3.0, [1.0] * 3), (4.0, [float("nan")] * 3)], "no finite"),
    ],
)
def test_fit_rejects_too_few_or_non_finite_points(
    points: list[tuple[float, list[float]]], message: str
) -> None:
    with pytest.raises(FitError, match=message):
        fit_line(points)


def test_written_slopes_are_read_back_unchanged(tmp_path: Path) -> None:
    points = [(size, [size * 2.0, size * 2.0 + 0.1, size * 2.0 - 0.1]) for size in SIZES]
    slope = slopes.fit_slope(
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
    slopes.write_slope("one", slope, tmp_path)
    (tmp_path / "two.json").write_text('{"title": 3}')
    with pytest.raises(slopes.SlopesError, match=r"two\.json"):
        slopes.read_slopes(tmp_path)
    (tmp_path / "two.json").unlink()
    assert slopes.read_slopes(tmp_path) == {"one": slope}
    assert slope.linear and slope.low < 2.0 < slope.high


# Hollow sidecars and the simulated discovery


def test_change_reaches_every_hollow_sidecar_and_is_counted_once() -> None:
    async def check() -> None:
        async with _running_fleet(members=6, sidecars_per_host=2, endpoints=10) as (registry, hosts):
            stats_before = await registry.stats()
            assert (stats_before.connections, stats_before.waiting, stats_before.lists) == (6, 6, 6)
            change_numbers = await registry.change(3, each=1)
            change_numbers += await registry.change(4)
            reports = await hosts.collect_until(
                lambda sidecar: sidecar.applied_at(change_numbers[-1]) is not None
            )
            sidecars = [sidecar for host in reports for sidecar in host.hollows]
            assert sorted(sidecar.number for sidecar in sidecars) == list(range(6))
            stats = await registry.stats()
            assert change_numbers == list(range(2, 9)) and list(stats.told) == change_numbers
            for sidecar in sidecars:
                first_list, *updates = sidecar.seen
                assert first_list.is_complete and first_list.endpoint_count == 10 and sidecar.servers == 10
                assert sum(applied_list.endpoint_count for applied_list in updates) == 7 and not any(
                    applied_list.is_complete for applied_list in updates
                )
                assert [applied_list.first_change for applied_list in updates] == sorted(
                    applied_list.first_change for applied_list in updates
                )
                assert sidecar.generation == 8 and sidecar.failures == sidecar.crashed == sidecar.unseen == 0
                applied_at = sidecar.applied_at(change_numbers[-1])
                assert applied_at is not None and applied_at >= stats.told[change_numbers[-1]][0]
            assert sum(sidecar.bytes_in for sidecar in sidecars) == stats.bytes_out
            assert stats.made <= 1 + 6 * 4  # one per generation and `after`, not one per watcher

    _run_with_timeout(check())


def test_response_is_encoded_once_per_generation() -> None:
    endpoint_list = registry_module.EndpointList(registry_module.Spec(endpoints=100, services=4))
    whole_responses = [endpoint_list.response_after(None) for _ in range(1000)]
    assert endpoint_list.encoded_count == 1 and all(
        response is whole_responses[0] for response in whole_responses
    )
    change_numbers = [endpoint_list.change_next("flip") for _ in range(364)]
    update_responses = [endpoint_list.response_after(1) for _ in range(1000)]
    assert endpoint_list.encoded_count == 2 and all(
        response is update_responses[0] for response in update_responses
    )
    update = parse_list(endpoint_list.response_after(1).partition(b"\r\n\r\n")[2], NameTable([], []))
    assert not update.is_full and update.generation == 365 and len(update.endpoints) == 100
    assert max(change_number(endpoint.size) for endpoint in update.endpoints) == change_numbers[-1]
    assert {endpoint.cell for endpoint in update.endpoints} == {0, 1, 2, 3}
    ahead_of_discovery = parse_list(
        endpoint_list.response_after(9999).partition(b"\r\n\r\n")[2], NameTable([], [])
    )
    assert ahead_of_discovery.is_full  # a generation from another discovery process


def test_watcher_behind_a_discarded_log_gets_the_whole_list() -> None:
    endpoint_list = registry_module.EndpointList(registry_module.Spec(endpoints=5))
    generation = endpoint_list.change_next("flip")
    endpoint_list.discard_log()
    assert parse_list(
        endpoint_list.response_after(generation - 1).partition(b"\r\n\r\n")[2], NameTable([], [])
    ).is_full
    endpoint_list.change_next("flip")
    update = parse_list(endpoint_list.response_after(generation).partition(b"\r\n\r\n")[2], NameTable([], []))
    assert not update.is_full and len(update.endpoints) == 1


def test_watcher_behind_the_start_of_the_log_gets_the_whole_list() -> None:
    endpoint_list = registry_module.EndpointList(registry_module.Spec(endpoints=5))
    for _ in range(2 * registry_module.MAX_LOGGED_CHANGES + 1):
        endpoint_list.change_next("flip")
    assert parse_list(endpoint_list.response_after(2).partition(b"\r\n\r\n")[2], NameTable([], [])).is_full
    assert not parse_list(
        endpoint_list.response_after(endpoint_list.generation - 3).partition(b"\r\n\r\n")[2],
        NameTable([], []),
    ).is_full


def test_killed_host_is_skipped_and_all_hosts_end() -> None:
    async def check() -> None:
        async with _running_fleet(members=4, sidecars_per_host=2, endpoints=3) as (_, hosts):
            pids = hosts.pids
            await hosts.kill(0)
            reports = await hosts.collect()
            assert [sidecar.number for host in reports for sidecar in host.hollows] == [2, 3]
        assert not any(psutil.pid_exists(pid) for pid in pids)

    _run_with_timeout(check())


def test_hollow_members_see_each_other() -> None:
    """Hollow members use the program's own view, ranks and shared lists, over datagrams."""

    async def check() -> None:
        registry = registry_module.RegistryProcess(registry_module.Spec(endpoints=3))
        hosts: HollowHosts | None = None
        fleet_config = {
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
                config={"fleet": fleet_config},
            )
            hosts = HollowHosts(spec, 2)
            await hosts.start()
            await hosts.wait_until_serving()
            reports = await hosts.collect_until(lambda sidecar: sidecar.live == 4)
            for sidecar in (report for host in reports for report in host.hollows):
                assert sidecar.together["fleet"]["datagrams_out"] and not sidecar.crashed
                assert sidecar.together["fleet"]["refused"] == {}
        finally:
            if hosts is not None:
                await hosts.close()
            await registry.close()

    _run_with_timeout(check())


def test_child_processes_end_with_their_owner() -> None:
    """An owner that is killed with SIGKILL closes nothing, but its child processes end too."""
    script = (
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
    owner = subprocess.Popen([sys.executable, "-c", script], stdout=subprocess.PIPE, text=True)
    try:
        assert owner.stdout is not None
        children = [psutil.Process(int(pid)) for pid in owner.stdout.readline().split()]
        assert len(children) == 3
    finally:
        owner.kill()
        owner.wait()
        assert owner.stdout is not None
        owner.stdout.close()
    _, still_running = psutil.wait_procs(children, timeout=TEST_TIMEOUT_S)
    assert not still_running


@contextlib.asynccontextmanager
async def _running_fleet(
    members: int, sidecars_per_host: int, endpoints: int
) -> AsyncIterator[tuple[registry_module.RegistryProcess, HollowHosts]]:
    """Runs hollow sidecars that all have applied their first list and have a pending watch."""
    registry = registry_module.RegistryProcess(registry_module.Spec(endpoints=endpoints))
    hosts: HollowHosts | None = None
    try:
        host_port = await registry.start()
        long_connect_timeout = {"bounds": {"connect-timeout-ms": TEST_TIMEOUT_S * 1000.0}}
        hosts = HollowHosts(
            HostSpec(count=members, discovery=[host_port], settings=long_connect_timeout, beats=False),
            sidecars_per_host,
        )
        await hosts.start()
        await hosts.wait_until_serving()
        while (await registry.stats()).waiting < members:
            await asyncio.sleep(0.01)
        yield registry, hosts
    finally:
        if hosts is not None:
            await hosts.close()
        await registry.close()


def _run_with_timeout(coroutine: Coroutine[Any, Any, None]) -> None:
    async def run_with_timeout() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await coroutine

    asyncio.run(run_with_timeout())


# The file of a series, and a run of one

SMALL_SERIES = """
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
    ("valid_text", "invalid_text", "expected"),
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
def test_invalid_series_is_rejected_with_file_key_and_value(
    tmp_path: Path, valid_text: str, invalid_text: str, expected: str
) -> None:
    assert valid_text in SMALL_SERIES
    file = tmp_path / "small.toml"
    file.write_text(SMALL_SERIES.replace(valid_text, invalid_text))
    with pytest.raises(series.SeriesError) as error:
        series.load(file)
    assert str(file) in str(error.value) and expected in str(error.value)
    assert len(str(error.value).splitlines()) == 1


def test_rejected_series_starts_nothing_and_exits_with_2(tmp_path: Path) -> None:
    (tmp_path / "small.toml").write_text(SMALL_SERIES.replace("hollows = 2", "hollows = 0"))
    result = CliRunner().invoke(main, ["scale", "run", str(tmp_path / "small.toml"), "--out", str(tmp_path)])
    assert result.exit_code == 2 and "hollows: 0" in result.output
    missing = CliRunner().invoke(main, ["scale", "run", str(tmp_path / "none.toml")])
    assert missing.exit_code == 2 and "none.toml" in missing.output
    assert [path.name for path in tmp_path.iterdir()] == ["small.toml"]


def test_all_example_series_can_be_read() -> None:
    # The file with the operators' numbers is not a series.
    files = set(Path("examples/scale").glob("*.toml")) - {NUMBERS_FILE}
    names = [series.load(path).name for path in sorted(files)]
    assert len(names) == len(set(names)) >= 4


def test_run_writes_measurements_and_fits_and_ends_its_processes(tmp_path: Path) -> None:
    """Checks bytes and counts that can be computed beforehand, but no times."""
    series_file = tmp_path / "small.toml"
    text = SMALL_SERIES.replace("each = 2", "each = 2\nreal = 1\nreal_sizes = [3]")
    series_file.write_text(text + "[settings.bounds]\nconnect-timeout-ms = 120000.0\n")
    definition = series.load(series_file)
    slopes_by_name = runs.run_series(definition, series_file, tmp_path, lambda text: None)
    assert not psutil.Process().children(recursive=True)
    assert slopes.read_slopes(tmp_path / "slopes") == slopes_by_name
    run_file = msgspec.json.decode((tmp_path / "runs" / "small.json").read_bytes(), type=runs.SeriesRun)
    assert run_file.own_cpu_s > 0.0 and run_file.hollow["sidecar-list-bytes"].keys() == {3, 6, 9, 12}
    bytes_per_endpoint = len(
        registry_module.EndpointList(registry_module.Spec(endpoints=2)).response_after(None)
    ) - len(registry_module.EndpointList(registry_module.Spec(endpoints=1)).response_after(None))
    list_bytes = slopes_by_name["sidecar-list-bytes-by-endpoints"]
    assert (
        list_bytes.linear and abs(list_bytes.slope - bytes_per_endpoint) < 1.0 and list_bytes.how == "hollow"
    )
    change_bytes = slopes_by_name["sidecar-change-bytes-by-endpoints"]
    assert not change_bytes.low or change_bytes.low <= 0.0 <= change_bytes.high
    real_memory = run_file.real["sidecar-memory"][3]
    assert len(real_memory) == 3 and "at 3" in slopes_by_name["sidecar-memory-by-endpoints"].note
    assert "sidecar-memory-by-endpoints" in runs.markdown_table(slopes_by_name)
    runs.draw_charts(slopes_by_name, tmp_path / "small.png")
    assert (tmp_path / "small.png").stat().st_size > 0


def test_alternating_size_order_keeps_drift_out_of_the_slope() -> None:
    order = list(measurement_order((1, 2, 3), 3))
    assert order == [(1, 0), (2, 0), (3, 0), (3, 1), (2, 1), (1, 1), (1, 2), (2, 2), (3, 2)]
    mean_positions = [
        sum(position for position, (size, _) in enumerate(order) if size == measured_size) / 3
        for measured_size in (1, 2, 3)
    ]
    assert max(mean_positions) - min(mean_positions) < 1.0


def test_watchers_are_counted_by_discovery(tmp_path: Path) -> None:
    series_file = tmp_path / "small.toml"
    text = SMALL_SERIES.replace('by = "endpoints"', 'by = "watchers"').replace("each = 2", "each = 4")
    series_file.write_text(text)
    slopes_by_name = runs.run_series(series.load(series_file), series_file, tmp_path, lambda text: None)
    assert not psutil.Process().children(recursive=True)
    connections = slopes_by_name["discovery-connections-by-watchers"]
    assert [costs for _, costs in connections.points] == [[float(n)] * 3 for n in (3, 6, 9, 12)]
    calls = slopes_by_name["discovery-calls-by-watchers"]
    assert [costs for _, costs in calls.points] == [[float(n)] * 3 for n in (3, 6, 9, 12)]
    whole_list_bytes = slopes_by_name["discovery-whole-bytes-by-watchers"]
    list_bytes = len(registry_module.EndpointList(registry_module.Spec(endpoints=28)).response_after(None))
    # Changed weights and lifecycles are a little longer than the initial ones.
    assert whole_list_bytes.linear and abs(whole_list_bytes.slope - list_bytes) < 28 * 20.0


def test_interrupted_run_ends_its_processes_and_writes_nothing(tmp_path: Path) -> None:
    series_file = tmp_path / "small.toml"
    series_file.write_text(SMALL_SERIES.replace("idle = 0.1", "idle = 600.0"))
    command = [
        sys.executable,
        "-m",
        "larkcrank",
        "scale",
        "run",
        str(series_file),
        "--out",
        str(tmp_path / "out"),
    ]
    run = psutil.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
    try:
        children: list[psutil.Process] = []
        deadline = time.monotonic() + TEST_TIMEOUT_S
        while len(children) < 2 and time.monotonic() < deadline:  # discovery and the sidecar host
            time.sleep(0.05)
            children = run.children(recursive=True)
        assert len(children) == 2
        run.send_signal(signal.SIGINT)
        _, stderr = run.communicate(timeout=TEST_TIMEOUT_S)
        assert run.returncode == 3 and b"interrupted" in stderr
        _, still_running = psutil.wait_procs(children, timeout=TEST_TIMEOUT_S)
        assert not still_running and not (tmp_path / "out").exists()
    finally:
        if run.poll() is None:
            run.kill()
            run.wait()


def test_machine_limits_are_read_and_enforced() -> None:
    limits = machine.available_resources()
    soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    assert limits.descriptors < soft and limits.memory_mib * machine.MIB <= psutil.virtual_memory().total / 2
    limits.check(machine.MAX_PROCESSES, limits.memory_mib, limits.descriptors)
    for excessive in (
        (machine.MAX_PROCESSES + 1, 0.0, 0),
        (1, limits.memory_mib + 1.0, 0),
        (1, 0.0, limits.descriptors + 1),
    ):
        with pytest.raises(machine.LimitError):
            limits.check(*excessive)
    with pytest.raises(machine.LimitError, match="processes"):
        HollowHosts(HostSpec(count=machine.MAX_PROCESSES + 1, discovery=["127.0.0.1:1"]), 1)


def test_sidecar_program_does_not_import_the_lab() -> None:
    """The sidecar and the command line must not load the lab, numpy or scipy at their start."""
    script = (
        "import sys, larkcrank.__main__, larkcrank.program.sidecar, larkcrank.command.main\n"
        "assert not [m for m in sys.modules if m.startswith(('scipy', 'numpy', 'larkcrank.lab'))]"
    )
    subprocess.run([sys.executable, "-c", script], check=True, timeout=TEST_TIMEOUT_S)


# Faults found by the series


def test_endpoint_change_sums_the_sizes_once_and_not_once_per_server() -> None:
    """Counts calls of `sum`. With a sum for each server, a change costs the square of the list's length."""

    def count_sum_calls(servers: int) -> int:
        balancer = Balancer(convert(BASE_SETTINGS).decisions, Random(1), 0.0)
        endpoints = tuple(Endpoint(b"s%d" % number) for number in range(servers))
        balancer.handle(0.0, ServerList(endpoints, True))
        counted = 0

        def count_call(frame: object, event: str, function: object) -> None:
            nonlocal counted
            counted += event == "c_call" and function is sum

        sys.setprofile(count_call)
        try:
            balancer.handle(1.0, ServerList((Endpoint(b"s0", State.DRAINING),), False))
        finally:
            sys.setprofile(None)
        return counted

    assert count_sum_calls(50) == count_sum_calls(500)
