"""The fleet bench on real processes: what it starts, parts and counts, and that nothing of it is left."""

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
from larkcrank.lab.scenario import Endpoints, FaultLine, Fleet, Load, Scenario, Settle, Window
from tests.test_program import ROOT
from tests.wrong_sidecar import WAYS

LONG_S = 60.0  # nothing is timed by it: it ends a test that hangs
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


def quiet(text: str) -> None:
    pass


def until(true: Callable[[], bool]) -> None:
    began = time.monotonic()
    while not true():
        assert time.monotonic() - began < LONG_S
        time.sleep(0.02)


def test_each_wrong_peer_is_caught_and_named() -> None:
    """Eleven processes that are none of ours: ten break a rule each, and the ledger says which did which."""
    wrong = Scenario(
        name="wrong",
        seconds=4.5,
        fleet=Fleet(
            processes=len(WAYS),
            command=[sys.executable, "-m", "tests.wrong_sidecar"],
            settings={"grades": GRADES},
        ),
        endpoints=Endpoints(
            count=4,
            workers=32,
            service_ms=20.0,
            cold_from=0.01,
            warm_after_ms=60000.0,
            fall_multiple=0.1,
            fall_ms=1000.0,
        ),
        load=Load(rate=8.0, classes={"look": 1.0, "order": 1.0, "step": 1.0}, subjects=1),
        faults=[
            FaultLine(at=0.2, what="drain", who=["endpoints:0"]),
            FaultLine(at=0.1, what="restart", who=["endpoints:3"]),
            FaultLine(at=0.0, what="crowd", who=["endpoints:2"], times=125.0),
        ],
        grace_ms=500.0,
        slack_ms=1000.0,
    )
    played = bench.play(wrong, quiet)
    found: dict[str, set[str]] = defaultdict(set)
    for breach in played.breaches:
        kind, _, number = breach.who.partition(" ")
        found[WAYS[int(number)] if kind == "sidecar" else kind].add(breach.rule)
    assert found["right"] == set()
    named = {
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
    missed = {way: found[way] for way, rule in named.items() if rule not in found[way]}
    assert not missed
    assert "twice" in found["resend"]
    assert not report.summarize(wrong, played).passed


@pytest.fixture(scope="module")
def small(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The folder that a run of the small scenario leaves."""
    out = tmp_path_factory.mktemp("small")
    path = ROOT / "examples/scenarios/small.toml"
    result = CliRunner().invoke(main, ["fleet", "run", str(path), "--out", str(out)])
    assert result.exit_code == 0, result.output
    return out


def test_small_scenario_keeps_the_rules_through_its_faults(small: Path) -> None:
    result = report.read_result(small / "small-1" / report.RESULT_FILE)
    assert result.passed and result.breaches == []
    assert {what for _, what, _ in result.faults} == {"cut", "replace", "drain", "kill", "stop", "slow"}
    assert result.unreached > 0  # two processes were dead for a second
    assert result.served > 0.5 and result.asked > 500
    assert result.settled[0].took >= 0.0
    assert result.counters["taken"] > 0 and result.list_calls > 0 and result.connections > 0
    assert result.use.processes == 8 and result.use.memory_mb > 0.0


def test_the_ledger_tells_the_same(small: Path) -> None:
    lines = [json.loads(line) for line in (small / "small-1/ledger.jsonl").read_bytes().splitlines()]
    kinds = {line["type"] for line in lines}
    assert kinds == {"ask", "attempt", "effect", "told", "event"}
    result = report.read_result(small / "small-1" / report.RESULT_FILE)
    asks = [line for line in lines if line["type"] == "ask"]
    assert sum(line["status"] == 503 for line in asks) == result.refused
    events = [line["what"] for line in lines if line["type"] == "event"]
    assert events.count("killed") == 2 and events.count("stopped") == 1 and events.count("continued") == 1
    assert events.count("started") == 10 and "crashed" not in events


def test_report_of_runs(small: Path, tmp_path: Path) -> None:
    folder = small / "small-1"
    result = report.read_result(folder / report.RESULT_FILE)
    other = tmp_path / "other"
    other.mkdir()
    report.write_result(msgspec.structs.replace(result, seed=2, served=result.served / 2), other)
    out = tmp_path / "tables"
    said = CliRunner().invoke(main, ["fleet", "report", str(folder), str(other), "--out", str(out)])
    assert said.exit_code == 0
    assert "| verdict | passed | passed | same |" in said.output
    rows = [line.split(",") for line in (out / "report.csv").read_text().splitlines()]
    assert rows[0] == ["figure", "seed 1", "seed 2", "least", "median", "most"]
    served = next(row for row in rows if row[0] == "served")
    assert float(served[3]) < float(served[4]) < float(served[5])
    assert (out / "report.svg").read_text().startswith("<?xml")
    assert (out / "report.png").read_bytes().startswith(b"\x89PNG")
    (other / report.RESULT_FILE).write_text("{}")
    broken = CliRunner().invoke(main, ["fleet", "report", str(other)])
    assert broken.exit_code == 2 and "result.json" in broken.output


def tiny(**more: Any) -> Scenario:
    fields: dict[str, Any] = {
        "name": "tiny",
        "seconds": 1.0,
        "fleet": Fleet(processes=2),
        "endpoints": Endpoints(count=2, service_ms=5.0),
        "load": Load(rate=10.0, classes={"look": 1.0}),
        "slack_ms": 15000.0,
    }
    return Scenario(**(fields | more))


def test_an_expectation_that_is_missed_fails_the_run() -> None:
    dead = FaultLine(at=0.0, what="kill", who=["sidecars"])
    window = Window(name="all", since=0.0, to=1.0, at_least=0.5)
    settle = Settle(at=0.1, within=0.3)
    one = tiny(faults=[dead], windows=[window], settles=[settle])
    result = report.summarize(one, bench.play(one, quiet))
    assert not result.passed and result.unsettled == 1 and result.windows[0].served < 0.5
    calm = tiny(windows=[window])
    assert report.summarize(calm, bench.play(calm, quiet)).passed


def test_the_load_goes_on_while_a_counter_that_needs_it_is_waited_for() -> None:
    """On a slow machine it was over before the processes were up again; here it is over at once."""
    one = tiny(seconds=0.0, settles=[Settle(at=0.0, counter="served", least=3, within=20.0)])
    played = bench.play(one, quiet)
    assert played.settled[0].took < 20.0 and played.breaches == []


def test_a_port_that_another_bench_takes_meanwhile_keeps_no_member_out() -> None:
    """A member that can't bind keeps no view: the fleet then waits for it until its time is up."""
    place = bench._free_datagram_port()
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as theirs,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as ours,
    ):
        theirs.bind(("127.0.0.1", place[1]))  # as any other program on this machine would
        ours.bind(place)
    with multiprocessing.get_context("fork").Pool(1) as pool:
        other = pool.apply(bench._free_datagram_port)
    assert other[0] != place[0] and other[0].startswith("127.")


def test_told_different_things_callers_send_to_different_endpoints() -> None:
    hide = FaultLine(at=0.0, what="hide", between=[["sidecars:1"], ["endpoints:0"]])
    one = tiny(seconds=3.0, faults=[hide], discovery=scenario.DiscoveryPart(work_ms=5.0, known=False))
    played = bench.play(one, quiet)
    told = {
        name for line in played.ledger.tolds if line.sidecar == 1 and line.at > 0.0 for name in line.states
    }
    used = {attempt.endpoint for attempt in played.ledger.attempts if attempt.sidecar == 0}
    assert "s-0" not in told and "s-0" in used and not played.breaches


def test_datagrams_between_members_go_by_their_own_ways() -> None:
    """A cut of one way between two of four: what the other way and the other pairs bring goes on."""
    fleet = Fleet(
        processes=4,
        command=[sys.executable, "-m", "tests.datagram_peer"],
        datagrams=True,
        config={"own": "{own}", "public": "{public}", "all": "{all}"},
    )
    cut = FaultLine(at=0.0, what="cut", between=[["sidecars:0"], ["sidecars:1"]], one_way=True)
    heard = Settle(at=0.0, who=["sidecars:0-1", "sidecars:3"], counter="from_2", least=20)
    alone = Settle(at=0.0, who=["sidecars:0"], counter="from_1", least=20)
    one = tiny(fleet=fleet, faults=[cut], settles=[heard, alone], load=Load(rate=0.0, classes={"look": 1.0}))
    played = bench.play(one, quiet)
    assert all(settled.took < LONG_S for settled in played.settled)
    came = played.counters
    assert came["from_0"] < came["from_2"] and came["from_1"] > 20
    assert played.ledger.datagrams >= sum(came[f"from_{index}"] for index in range(4)) > 0


@pytest.mark.parametrize(
    ("command", "said"),
    [
        ([sys.executable, "-c", "import sys; sys.exit('cannot do it')"], "cannot do it"),
        (["/no/such/program"], "No such file"),
    ],
)
def test_a_process_that_does_not_start_ends_the_run(tmp_path: Path, command: list[str], said: str) -> None:
    path = tmp_path / "s.toml"
    text = (ROOT / "examples/scenarios/small.toml").read_text()
    path.write_text(text.replace("processes = 8", f"processes = 8\ncommand = {json.dumps(command)}"))
    out = tmp_path / "out"
    result = CliRunner().invoke(main, ["fleet", "run", str(path), "--out", str(out)])
    assert result.exit_code == 3 and said in result.output
    assert not list(out.rglob(report.RESULT_FILE))


def test_a_process_that_dies_by_itself_ends_the_run() -> None:
    code = (
        "import asyncio, sys, os; from larkcrank.program.start import serve;"
        "import threading; threading.Timer(1.0, lambda: os._exit(9)).start(); serve()"
    )
    one = tiny(seconds=30.0, fleet=Fleet(processes=1, command=[sys.executable, "-c", code]))
    with pytest.raises(ProcessError, match=r"sidecar 0 ended by itself with 9; its last lines: .*ready"):
        bench.play(one, quiet)


def test_what_a_link_costs_is_measured() -> None:
    result = CliRunner().invoke(main, ["fleet", "cost", "--count", "50"])
    rows = [line.split("|")[1].strip() for line in result.output.splitlines()]
    assert result.exit_code == 0 and rows == ["way", "---", "direct", "through a link"]


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_an_interrupted_run_leaves_neither_processes_nor_a_result(tmp_path: Path, number: int) -> None:
    path = ROOT / "examples/scenarios/small.toml"
    command = [sys.executable, "-m", "larkcrank", "fleet", "run", str(path), "--out", str(tmp_path)]
    run = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL, stderr=subprocess.PIPE)
    try:
        assert run.stderr is not None
        for line in run.stderr:
            if b"load for" in line:
                break
        children = psutil.Process(run.pid).children(recursive=True)
        assert len(children) == 8
        os.kill(run.pid, number)
        run.wait(LONG_S)
        until(lambda: not any(child.is_running() and child.status() != "zombie" for child in children))
        assert run.returncode != 0
        assert not list(tmp_path.rglob(report.RESULT_FILE))
        bench._sweep()  # as the next run does
        left = Path(tempfile.gettempdir()).glob(f"{bench.FOLDER}{run.pid}-*")
        assert not list(left)
    finally:
        run.kill()
        run.communicate()
