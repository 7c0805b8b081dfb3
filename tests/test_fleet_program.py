"""Fleet membership with real processes that are killed and partitioned, and the operators' VIEW call."""

import json
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from larkcrank.command.main import main
from larkcrank.lab import bench
from larkcrank.lab.scenario import (
    EndpointSettings,
    Fault,
    FleetSettings,
    LoadSettings,
    ProcessOverride,
    Scenario,
    SettleCheck,
)
from tests import bed as b
from tests.frames import CONFIG
from tests.test_program import next_event, running_process

FLEET_CONFIG = {
    "name": "t",
    "listen": "{own}",
    "public": "{public}",
    "seeds": ["{seed0}", "{seed1}"],
}


def test_views_converge_after_a_death_and_a_partition() -> None:
    """Of five processes, one is killed and restarts without state; two others are cut off for a while."""
    settle: dict[str, Any] = {"call": "VIEW", "alike": 5, "within": 60.0}
    scenario = Scenario(
        name="view",
        seconds=50.0,
        fleet=FleetSettings(
            processes=5,
            datagrams=True,
            config={"fleet": FLEET_CONFIG},
            settings={"bounds": {"peers": True}},
        ),
        endpoints=EndpointSettings(count=2, service_ms=5.0),
        load=LoadSettings(rate=2.0, classes={"look": 1.0}),
        faults=[
            Fault(at=10.0, what="kill", who=["sidecars:4"], last=40.0),
            Fault(at=10.0, what="cut", between=[["sidecars:0-1"], ["sidecars:2-3"]], last=40.0),
        ],
        settles=[
            # Each side of the partition has its own view; before and after, all five know each other.
            SettleCheck(at=0.0, answer="200 live 5 ", **settle),
            SettleCheck(at=10.0, who=["sidecars:0-1"], answer="200 live 2 ", **settle),
            SettleCheck(at=10.0, who=["sidecars:2-3"], answer="200 live 2 ", **settle),
            SettleCheck(at=50.0, answer="200 live 5 ", **settle),
        ],
        slack_ms=15000.0,
    )
    played = bench.run_scenario(scenario, lambda text: None)
    assert len(played.settled) == 4
    assert all(settled.took < 60.0 for settled in played.settled)
    assert played.breaches == [] and played.ledger.datagrams > 100


def test_a_duplicate_name_and_a_later_protocol_version_disturb_no_member() -> None:
    """Three members run, a fourth process with the third's name, and one of an unknown protocol version."""
    settle: dict[str, Any] = {"call": "VIEW", "alike": 5, "within": 60.0, "who": ["sidecars:0-1"]}
    scenario = Scenario(
        name="names",
        seconds=25.0,
        fleet=FleetSettings(
            processes=5,
            datagrams=True,
            config={"fleet": FLEET_CONFIG | {"secret": "s"}},
            settings={"bounds": {"peers": True}},
            own=[
                ProcessOverride(who=["sidecars:3"], config={"name": "n2"}),
                ProcessOverride(who=["sidecars:4"], command=["python", "-m", "larkcrank.lab.stranger"]),
            ],
        ),
        endpoints=EndpointSettings(count=2, service_ms=5.0),
        load=LoadSettings(rate=2.0, classes={"look": 1.0}),
        settles=[
            SettleCheck(at=15.0, answer="200 live 3 ", **settle),
            SettleCheck(at=15.0, counter="fleet.refused.other_version", within=60.0, who=["sidecars:0-1"]),
        ],
        slack_ms=15000.0,
    )
    played = bench.run_scenario(scenario, lambda text: None)
    assert all(settled.took < 60.0 for settled in played.settled)
    assert played.counters["fleet.deaths"] == 0 and played.breaches == []


def test_size_and_ordinals_follow_a_scale_out() -> None:
    """Two members are configured and run, and four more start: each counts six and has its own ordinal."""
    scenario = Scenario(
        name="more",
        seconds=20.0,
        fleet=FleetSettings(
            processes=6,
            at_first=2,
            datagrams=True,
            config={"fleet": FLEET_CONFIG, "settings": {"n-instances": 2}},
            settings={"bounds": {"peers": True}},
        ),
        endpoints=EndpointSettings(count=8, service_ms=5.0),
        load=LoadSettings(rate=2.0, classes={"look": 1.0}),
        faults=[Fault(at=1.0, what="restart", who=["sidecars:2-5"])],
        settles=[
            SettleCheck(at=1.0, call="VIEW", answer="200 live 6 ", alike=5),
            SettleCheck(at=1.0, counter="fleet.size", least=6),
        ],
        slack_ms=15000.0,
    )
    played = bench.run_scenario(scenario, lambda text: None)
    assert all(settled.took < 60.0 for settled in played.settled) and played.breaches == []
    # Sums over all members: six times a size of 6, and the ordinals 0 to 5.
    assert played.counters["fleet.size"] == 36 and played.counters["fleet.place"] == 15
    assert max(share for _, share in played.settled[0].course) <= 1.0


def test_the_fleet_is_off_where_peers_are_forbidden_or_not_configured(tmp_path: Path) -> None:
    async def check_without_fleet() -> None:
        endpoint = b.Endpoint("e")
        async with b.bed(endpoint, ops="127.0.0.1:0") as bed:
            assert await bed.call_operator(b"VIEW\n") == b"400 no view of the fleet is kept\n"
            assert "fleet_off" not in bed.log_events()

    b.run(check_without_fleet())
    config = {
        "name": "n",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "fleet": {"name": "t", "listen": "127.0.0.1:0"},
        "settings": CONFIG | {"grades": b.CLASSES},
    }
    path = tmp_path / "c.json"
    path.write_text(json.dumps(config))
    with running_process("-m", "larkcrank", PROXY_CONFIG=str(path)) as process:
        assert "may not talk" in next_event(process, "fleet_off")["reason"]
        next_event(process, "ready")


def test_a_start_without_a_fleet_loads_no_optional_modules() -> None:
    code = (
        "import sys; import larkcrank.__main__, larkcrank.program.start;"
        "print([m for m in sys.modules if m.split('.')[0] in ('click', 'uvloop', 'structlog', 'psutil')"
        " or m.startswith(('larkcrank.fleet', 'larkcrank.lab', 'larkcrank.command'))])"
    )
    with running_process("-c", code) as process:
        assert process.stdout is not None
        assert process.stdout.read().strip() == "[]"


def test_the_command_line_shows_the_view(tmp_path: Path) -> None:
    config = {
        "name": "n",
        "listen": "127.0.0.1:0",
        "ops": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "fleet": {"name": "t", "listen": "127.0.0.1:0", "seeds": ["127.0.0.1:1"]},
        "settings": CONFIG | {"grades": b.CLASSES, "bounds": CONFIG["bounds"] | {"peers": True}},
    }
    path = tmp_path / "c.json"
    path.write_text(json.dumps(config))
    with running_process("-m", "larkcrank", PROXY_CONFIG=str(path)) as process:
        ready = next_event(process, "ready")
        next_event(process, "fleet_joining")
        result = CliRunner().invoke(main, ["fleet", "view", ready["ops"]])
        assert result.exit_code == 0, result.output
        assert result.output.startswith("live 1 digest ") and "| n | alive | 127.0.0.1:" in result.output
    assert CliRunner().invoke(main, ["fleet", "view", "here"]).exit_code == 2
    assert CliRunner().invoke(main, ["fleet", "view", ready["ops"]]).exit_code == 1
