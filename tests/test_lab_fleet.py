"""The fleet bench on real processes: faults, rule checks, counters, reports and cleanup."""

import json
import multiprocessing
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import psutil
import pytest
from click.testing import CliRunner

from larkcrank.command.main import main
from larkcrank.lab import bench, report, scenario
from larkcrank.lab.processes import ProcessError
from larkcrank.lab.scenario import (
    EndpointSettings,
    Fault,
    FleetSettings,
    LoadSettings,
    Scenario,
    SettleCheck,
    Window,
)
from tests.test_program import ROOT
from tests.wrong_sidecar import BEHAVIOURS

TEST_TIMEOUT_S = 60.0  # only ends a test that hangs
GRADES: list[dict[str, Any]] = [
    {"name": "look", "effect": "retryable", "aim-ms": 800.0, "deadline-ms": 1000.0},
    {"name": "order", "effect": "fragile", "aim-ms": 800.0, "deadline-ms": 1000.0},
    {
        "name": "step",
        "effect": "dedup",
        "window-ms": 9000.0,
        "aim-ms": 3000.0,
        "deadline-ms": 4000.0,
        "in-turn": True,
    },
]


def ignore_progress(text: str) -> None:
    pass


def wait_until(condition: Callable[[], bool]) -> None:
    started_at = time.monotonic()
    while not condition():
        assert time.monotonic() - started_at < TEST_TIMEOUT_S
        time.sleep(0.02)


def test_each_faulty_sidecar_is_reported_with_the_rule_that_it_breaks() -> None:
    """Ten of eleven stub processes break one rule each; the checks must name the process and the rule."""
    spec = Scenario(
        name="wrong",
        seconds=4.5,
        fleet=FleetSettings(
            processes=len(BEHAVIOURS),
            command=[sys.executable, "-m", "tests.wrong_sidecar"],
            settings={"grades": GRADES},
        ),
        endpoints=EndpointSettings(
            count=4,
            workers=32,
            service_ms=20.0,
            cold_from=0.01,
            warm_after_ms=60000.0,
            fall_multiple=0.1,
            fall_ms=1000.0,
        ),
        load=LoadSettings(rate=8.0, classes={"look": 1.0, "order": 1.0, "step": 1.0}, subjects=1),
        faults=[
            Fault(at=0.2, what="drain", who=["endpoints:0"]),
            Fault(at=0.1, what="restart", who=["endpoints:3"]),
            Fault(at=0.0, what="crowd", who=["endpoints:2"], times=125.0),
        ],
        grace_ms=500.0,
        slack_ms=1000.0,
    )
    outcome = bench.run_scenario(spec, ignore_progress)
    broken_rules: dict[str, set[str]] = defaultdict(set)
    for breach in outcome.breaches:
        kind, _, number = breach.who.partition(" ")
        broken_rules[BEHAVIOURS[int(number)] if kind == "sidecar" else kind].add(breach.rule)
    assert broken_rules["right"] == set()
    expected_rules = {
        "lose": "lost",
        "late": "late",
        "invent": "invented",
        "resend": "resent",
        "copies": "copies",
        "after": "after",
        "refuse": "refused",
        "drain": "drain",
        "order": "order",
        "s-3": "cold",
    }
    missed = {
        behaviour: broken_rules[behaviour]
        for behaviour, rule in expected_rules.items()
        if rule not in broken_rules[behaviour]
    }
    assert not missed
    assert "twice" in broken_rules["resend"]
    assert not report.summarize(spec, outcome).passed


@pytest.fixture(scope="module")
def small_run_folder(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The output folder of a run of the small scenario."""
    out_folder = tmp_path_factory.mktemp("small")
    path = ROOT / "examples/scenarios/small.toml"
    result = CliRunner().invoke(main, ["fleet", "run", str(path), "--out", str(out_folder)])
    assert result.exit_code == 0, result.output
    return out_folder


def test_the_small_scenario_breaks_no_rule_despite_its_faults(small_run_folder: Path) -> None:
    result = report.read_result(small_run_folder / "small-1" / report.RESULT_FILE)
    assert result.passed and result.breaches == []
    assert {what for _, what, _ in result.faults} == {"cut", "replace", "drain", "kill", "stop", "slow"}
    assert result.unreached > 0  # two processes were down for a second
    assert result.served > 0.5 and result.asked > 500
    assert result.settled[0].took >= 0.0
    assert result.counters["taken"] > 0 and result.list_calls > 0 and result.connections > 0
    assert result.use.processes == 8 and result.use.memory_mb > 0.0


def test_the_ledger_file_agrees_with_the_result(small_run_folder: Path) -> None:
    lines = [
        json.loads(line) for line in (small_run_folder / "small-1/ledger.jsonl").read_bytes().splitlines()
    ]
    kinds = {line["type"] for line in lines}
    assert kinds == {"ask", "attempt", "effect", "told", "event"}
    result = report.read_result(small_run_folder / "small-1" / report.RESULT_FILE)
    asks = [line for line in lines if line["type"] == "ask"]
    assert sum(line["status"] == 503 for line in asks) == result.refused
    events = [line["what"] for line in lines if line["type"] == "event"]
    assert events.count("killed") == 2 and events.count("stopped") == 1 and events.count("continued") == 1
    assert events.count("started") == 10 and "crashed" not in events


def test_the_report_compares_runs_and_rejects_a_broken_result(small_run_folder: Path, tmp_path: Path) -> None:
    folder = small_run_folder / "small-1"
    result = report.read_result(folder / report.RESULT_FILE)
    other_folder = tmp_path / "other"
    other_folder.mkdir()
    report.write_result(msgspec.structs.replace(result, seed=2, served=result.served / 2), other_folder)
    table_folder = tmp_path / "tables"
    report_result = CliRunner().invoke(
        main, ["fleet", "report", str(folder), str(other_folder), "--out", str(table_folder)]
    )
    assert report_result.exit_code == 0
    assert "| verdict | passed | passed | same |" in report_result.output
    rows = [line.split(",") for line in (table_folder / "report.csv").read_text().splitlines()]
    assert rows[0] == ["figure", "seed 1", "seed 2", "least", "median", "most"]
    served = next(row for row in rows if row[0] == "served")
    assert float(served[3]) < float(served[4]) < float(served[5])
    assert (table_folder / "report.svg").read_text().startswith("<?xml")
    assert (table_folder / "report.png").read_bytes().startswith(b"\x89PNG")
    (other_folder / report.RESULT_FILE).write_text("{}")
    broken = CliRunner().invoke(main, ["fleet", "report", str(other_folder)])
    assert broken.exit_code == 2 and "result.json" in broken.output


def tiny_scenario(**overrides: Any) -> Scenario:
    fields: dict[str, Any] = {
        "name": "tiny",
        "seconds": 1.0,
        "fleet": FleetSettings(processes=2),
        "endpoints": EndpointSettings(count=2, service_ms=5.0),
        "load": LoadSettings(rate=10.0, classes={"look": 1.0}),
        "slack_ms": 15000.0,
    }
    return Scenario(**(fields | overrides))


def test_a_missed_window_or_settle_check_fails_the_run() -> None:
    kill_all = Fault(at=0.0, what="kill", who=["sidecars"])
    window = Window(name="all", since=0.0, to=1.0, at_least=0.5)
    settle = SettleCheck(at=0.1, within=0.3)
    spec = tiny_scenario(faults=[kill_all], windows=[window], settles=[settle])
    result = report.summarize(spec, bench.run_scenario(spec, ignore_progress))
    assert not result.passed and result.unsettled == 1 and result.windows[0].served < 0.5
    spec_without_faults = tiny_scenario(windows=[window])
    assert report.summarize(
        spec_without_faults, bench.run_scenario(spec_without_faults, ignore_progress)
    ).passed


def test_the_load_continues_until_counter_checks_have_ended() -> None:
    """On a slow machine the load ended before restarted processes were up; here its time is 0 seconds."""
    spec = tiny_scenario(seconds=0.0, settles=[SettleCheck(at=0.0, counter="served", least=3, within=20.0)])
    outcome = bench.run_scenario(spec, ignore_progress)
    assert outcome.settled[0].took < 20.0 and outcome.breaches == []


def test_a_datagram_address_cannot_be_taken_by_another_bench() -> None:
    """A member that can't bind its address never joins, and the fleet waits for it until the time limit."""
    address = bench._free_datagram_address()
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other_socket,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as member_socket,
    ):
        other_socket.bind(("127.0.0.1", address[1]))  # as any other program on this machine may do
        member_socket.bind(address)
    with multiprocessing.get_context("fork").Pool(1) as pool:
        other_bench_address = pool.apply(bench._free_datagram_address)
    assert other_bench_address[0] != address[0] and other_bench_address[0].startswith("127.")


def test_a_hidden_endpoint_is_missing_from_only_that_sidecars_list() -> None:
    hide = Fault(at=0.0, what="hide", between=[["sidecars:1"], ["endpoints:0"]])
    spec = tiny_scenario(
        seconds=3.0, faults=[hide], discovery=scenario.DiscoverySettings(work_ms=5.0, known=False)
    )
    outcome = bench.run_scenario(spec, ignore_progress)
    listed = {
        name
        for delivered_list in outcome.ledger.tolds
        if delivered_list.sidecar == 1 and delivered_list.at > 0.0
        for name in delivered_list.states
    }
    used = {attempt.endpoint for attempt in outcome.ledger.attempts if attempt.sidecar == 0}
    assert "s-0" not in listed and "s-0" in used and not outcome.breaches


def test_a_one_way_cut_stops_datagrams_of_one_pair_and_direction_only() -> None:
    """Cut one direction between two of four members: all other datagrams still arrive."""
    fleet = FleetSettings(
        processes=4,
        command=[sys.executable, "-m", "tests.datagram_peer"],
        datagrams=True,
        config={"own": "{own}", "public": "{public}", "all": "{all}"},
    )
    cut = Fault(at=0.0, what="cut", between=[["sidecars:0"], ["sidecars:1"]], one_way=True)
    hears_member_2 = SettleCheck(at=0.0, who=["sidecars:0-1", "sidecars:3"], counter="from_2", least=20)
    hears_member_1 = SettleCheck(at=0.0, who=["sidecars:0"], counter="from_1", least=20)
    spec = tiny_scenario(
        fleet=fleet,
        faults=[cut],
        settles=[hears_member_2, hears_member_1],
        load=LoadSettings(rate=0.0, classes={"look": 1.0}),
    )
    outcome = bench.run_scenario(spec, ignore_progress)
    assert all(settled.took < TEST_TIMEOUT_S for settled in outcome.settled)
    counters = outcome.counters
    assert counters["from_0"] < counters["from_2"] and counters["from_1"] > 20
    assert outcome.ledger.datagrams >= sum(counters[f"from_{index}"] for index in range(4)) > 0


@pytest.mark.parametrize(
    ("command", "expected_message"),
    [
        ([sys.executable, "-c", "import sys; sys.exit('cannot do it')"], "cannot do it"),
        (["/no/such/program"], "No such file"),
    ],
)
def test_a_process_that_fails_to_start_ends_the_run(
    tmp_path: Path, command: list[str], expected_message: str
) -> None:
    path = tmp_path / "s.toml"
    text = (ROOT / "examples/scenarios/small.toml").read_text()
    path.write_text(text.replace("processes = 8", f"processes = 8\ncommand = {json.dumps(command)}"))
    out = tmp_path / "out"
    result = CliRunner().invoke(main, ["fleet", "run", str(path), "--out", str(out)])
    assert result.exit_code == 3 and expected_message in result.output
    assert not list(out.rglob(report.RESULT_FILE))


def test_a_process_that_exits_unexpectedly_ends_the_run() -> None:
    script = (
        "import asyncio, sys, os; from larkcrank.program.start import serve;"
        "import threading; threading.Timer(1.0, lambda: os._exit(9)).start(); serve()"
    )
    spec = tiny_scenario(
        seconds=30.0, fleet=FleetSettings(processes=1, command=[sys.executable, "-c", script])
    )
    with pytest.raises(ProcessError, match=r"sidecar 0 ended by itself with 9; its last lines: .*ready"):
        bench.run_scenario(spec, ignore_progress)


def test_the_cost_command_prints_direct_and_link_figures() -> None:
    result = CliRunner().invoke(main, ["fleet", "cost", "--count", "50"])
    rows = [line.split("|")[1].strip() for line in result.output.splitlines()]
    assert result.exit_code == 0 and rows == ["way", "---", "direct", "through a link"]


@pytest.mark.parametrize("signal_number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_an_interrupted_run_leaves_neither_processes_nor_a_result(tmp_path: Path, signal_number: int) -> None:
    path = ROOT / "examples/scenarios/small.toml"
    command = [sys.executable, "-m", "larkcrank", "fleet", "run", str(path), "--out", str(tmp_path)]
    bench_process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL, stderr=subprocess.PIPE)
    try:
        assert bench_process.stderr is not None
        for line in bench_process.stderr:
            if b"load for" in line:
                break
        children = psutil.Process(bench_process.pid).children(recursive=True)
        assert len(children) == 8
        os.kill(bench_process.pid, signal_number)
        bench_process.wait(TEST_TIMEOUT_S)
        wait_until(lambda: not any(child.is_running() and child.status() != "zombie" for child in children))
        assert bench_process.returncode != 0
        assert not list(tmp_path.rglob(report.RESULT_FILE))
        bench._remove_abandoned_folders()  # as the next run does at its start
        left_folders = Path(tempfile.gettempdir()).glob(f"{bench.TEMP_FOLDER_PREFIX}{bench_process.pid}-*")
        assert not list(left_folders)
    finally:
        bench_process.kill()
        bench_process.communicate()
