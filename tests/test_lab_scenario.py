"""Scenario files: every error is reported with file, key and value, and nothing is started."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from larkcrank.command.main import main
from larkcrank.lab import scenario
from tests.test_program import ROOT

VALID_SCENARIO = """
name = "t"
seconds = 5.0
[fleet]
processes = 6
zones = ["a", "b"]
[endpoints]
count = 4
[load]
rate = 1.0
classes = { look = 1.0 }
"""


def scenario_with_fault(text: str) -> str:
    return VALID_SCENARIO + "[[faults]]\n" + text


@pytest.mark.parametrize(
    ("text", "expected_message"),
    [
        ("name = 1\n", "name"),
        (VALID_SCENARIO.replace("count = 4", "count = 4\nservers = 3"), "servers"),
        (VALID_SCENARIO.replace("rate = 1.0", "rate = -1.0"), "load.rate: -1.0"),
        (VALID_SCENARIO.replace("look = 1.0", "look = 0.0"), "load.classes"),
        (VALID_SCENARIO.replace("processes = 6", "processes = 0"), "fleet.processes: 0"),
        (VALID_SCENARIO.replace("seconds = 5.0", "seconds = nan"), "seconds: nan"),
        (
            scenario_with_fault('at = 1.0\nwhat = "explode"\nwho = ["sidecars"]'),
            "faults[0].what: unknown fault 'explode'",
        ),
        (scenario_with_fault('at = 1.0\nwhat = "kill"'), "faults[0].who: names no member"),
        (scenario_with_fault('at = 1.0\nwhat = "kill"\nwho = ["sidecars:6"]'), "faults[0].who: 'sidecars:6'"),
        (
            scenario_with_fault('at = 1.0\nwhat = "kill"\nwho = ["sidecars:3-2"]'),
            "faults[0].who: 'sidecars:3-2'",
        ),
        (scenario_with_fault('at = 1.0\nwhat = "kill"\nwho = ["sidecars:zone=c"]'), "there is no zone 'c'"),
        (
            scenario_with_fault('at = 1.0\nwhat = "kill"\nwho = ["peers"]'),
            "faults[0].who: 'peers' is not a group",
        ),
        (scenario_with_fault('at = 9.0\nwhat = "kill"\nwho = ["sidecars"]'), "faults[0].at: 9.0"),
        (
            scenario_with_fault('at = 1.0\nwhat = "stop"\nwho = ["endpoints"]'),
            "faults[0].who: endpoints can't be used",
        ),
        (
            scenario_with_fault('at = 1.0\nlast = 0.0\nwhat = "stop"\nwho = ["sidecars"]'),
            "faults[0].last: 0.0",
        ),
        (
            scenario_with_fault('at = 1.0\nwhat = "cut"\nwho = ["sidecars"]'),
            "faults[0].between: 'cut' needs two groups",
        ),
        (
            scenario_with_fault('at = 1.0\nwhat = "cut"\nbetween = [["endpoints"], ["discovery"]]'),
            "no link leads",
        ),
        (
            scenario_with_fault('at = 1.0\nwhat = "lose"\nbetween = [["sidecars"], ["endpoints"]]'),
            "faults[0].share",
        ),
        (
            scenario_with_fault(
                'at = 1.0\nwhat = "lose"\nshare = 1.5\nbetween = [["sidecars"], ["endpoints"]]'
            ),
            "faults[0].share: 1.5",
        ),
        (
            scenario_with_fault('at = 1.0\nwhat = "hide"\nbetween = [["endpoints"], ["sidecars"]]'),
            "faults[0].between[0]",
        ),
        (VALID_SCENARIO + '[[windows]]\nname = "w"\nsince = 3.0\nto = 2.0\n', "windows[0].to: 2.0"),
        (VALID_SCENARIO + "[[settles]]\nat = 6.0\n", "settles[0].at: 6.0"),
    ],
)
def test_an_invalid_scenario_is_reported_in_one_line_with_its_key(
    tmp_path: Path, text: str, expected_message: str
) -> None:
    path = tmp_path / "s.toml"
    path.write_text(text)
    result = CliRunner().invoke(main, ["fleet", "run", str(path)])
    assert result.exit_code == 2
    assert result.output.count("\n") == 1
    assert str(path) in result.output and expected_message in result.output


def test_a_missing_scenario_file_is_reported(tmp_path: Path) -> None:
    result = CliRunner().invoke(main, ["fleet", "run", str(tmp_path / "none.toml")])
    assert result.exit_code == 2 and "none.toml" in result.output


def test_member_names_resolve_to_indices(tmp_path: Path) -> None:
    path = tmp_path / "s.toml"
    path.write_text(VALID_SCENARIO)
    loaded = scenario.load_scenario(path, seed=9)
    assert loaded.seed == 9

    def sidecars(name: str) -> set[int]:
        return scenario.resolve_members([name], loaded)["sidecars"]

    assert sidecars("sidecars") == set(range(6))
    assert sidecars("sidecars:odd") == {1, 3, 5}
    assert sidecars("sidecars:0,3-4") == {0, 3, 4}
    assert sidecars("sidecars:zone=b") == {1, 3, 5}
    mixed = scenario.resolve_members(["sidecars:1", "endpoints:2-3", "discovery"], loaded)
    assert mixed == {"sidecars": {1}, "endpoints": {2, 3}, "discovery": {0}}


@pytest.mark.parametrize("path", sorted((ROOT / "examples/scenarios").glob("*.toml")), ids=lambda p: p.stem)
def test_the_example_scenarios_are_valid(path: Path) -> None:
    assert scenario.load_scenario(path).name == path.stem


def test_config_check_accepts_the_example_and_reports_a_bad_seed(tmp_path: Path) -> None:
    valid_result = CliRunner().invoke(main, ["config", "check", str(ROOT / "examples/config.json")])
    assert valid_result.exit_code == 0 and "good" in valid_result.output
    invalid_path = tmp_path / "c.json"
    invalid_path.write_text((ROOT / "examples/config.json").read_text().replace('"1f"', '"xyz"'))
    invalid_result = CliRunner().invoke(main, ["config", "check", str(invalid_path)])
    assert invalid_result.exit_code == 2 and "seed: 'xyz'" in invalid_result.output
