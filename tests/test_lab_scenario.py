"""Scenario files: every fault named by file, key and value, and nothing started."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from larkcrank.command.main import main
from larkcrank.lab import scenario
from tests.test_program import ROOT

GOOD = """
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


def fault(text: str) -> str:
    return GOOD + "[[faults]]\n" + text


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("name = 1\n", "name"),
        (GOOD.replace("count = 4", "count = 4\nservers = 3"), "servers"),
        (GOOD.replace("rate = 1.0", "rate = -1.0"), "load.rate: -1.0"),
        (GOOD.replace("look = 1.0", "look = 0.0"), "load.classes"),
        (GOOD.replace("processes = 6", "processes = 0"), "fleet.processes: 0"),
        (GOOD.replace("seconds = 5.0", "seconds = nan"), "seconds: nan"),
        (fault('at = 1.0\nwhat = "explode"\nwho = ["sidecars"]'), "faults[0].what: unknown word 'explode'"),
        (fault('at = 1.0\nwhat = "kill"'), "faults[0].who: names nobody"),
        (fault('at = 1.0\nwhat = "kill"\nwho = ["sidecars:6"]'), "faults[0].who: 'sidecars:6'"),
        (fault('at = 1.0\nwhat = "kill"\nwho = ["sidecars:3-2"]'), "faults[0].who: 'sidecars:3-2'"),
        (fault('at = 1.0\nwhat = "kill"\nwho = ["sidecars:zone=c"]'), "no zone 'c'"),
        (fault('at = 1.0\nwhat = "kill"\nwho = ["peers"]'), "faults[0].who: 'peers' is no group"),
        (fault('at = 9.0\nwhat = "kill"\nwho = ["sidecars"]'), "faults[0].at: 9.0"),
        (fault('at = 1.0\nwhat = "stop"\nwho = ["endpoints"]'), "faults[0].who: endpoints can't be meant"),
        (fault('at = 1.0\nlast = 0.0\nwhat = "stop"\nwho = ["sidecars"]'), "faults[0].last: 0.0"),
        (fault('at = 1.0\nwhat = "cut"\nwho = ["sidecars"]'), "faults[0].between: 'cut' needs two groups"),
        (fault('at = 1.0\nwhat = "cut"\nbetween = [["endpoints"], ["discovery"]]'), "no link leads"),
        (fault('at = 1.0\nwhat = "lose"\nbetween = [["sidecars"], ["endpoints"]]'), "faults[0].share"),
        (
            fault('at = 1.0\nwhat = "lose"\nshare = 1.5\nbetween = [["sidecars"], ["endpoints"]]'),
            "faults[0].share: 1.5",
        ),
        (fault('at = 1.0\nwhat = "hide"\nbetween = [["endpoints"], ["sidecars"]]'), "faults[0].between[0]"),
        (GOOD + '[[windows]]\nname = "w"\nsince = 3.0\nto = 2.0\n', "windows[0].to: 2.0"),
        (GOOD + "[[settles]]\nat = 6.0\n", "settles[0].at: 6.0"),
    ],
)
def test_bad_input_is_named(tmp_path: Path, text: str, said: str) -> None:
    path = tmp_path / "s.toml"
    path.write_text(text)
    result = CliRunner().invoke(main, ["fleet", "run", str(path)])
    assert result.exit_code == 2
    assert result.output.count("\n") == 1
    assert str(path) in result.output and said in result.output


def test_a_file_that_is_not_there_is_named(tmp_path: Path) -> None:
    result = CliRunner().invoke(main, ["fleet", "run", str(tmp_path / "none.toml")])
    assert result.exit_code == 2 and "none.toml" in result.output


def test_names_of_groups(tmp_path: Path) -> None:
    path = tmp_path / "s.toml"
    path.write_text(GOOD)
    found = scenario.load_scenario(path, seed=9)
    assert found.seed == 9

    def sidecars(name: str) -> set[int]:
        return scenario.resolve_members([name], found)["sidecars"]

    assert sidecars("sidecars") == set(range(6))
    assert sidecars("sidecars:odd") == {1, 3, 5}
    assert sidecars("sidecars:0,3-4") == {0, 3, 4}
    assert sidecars("sidecars:zone=b") == {1, 3, 5}
    both = scenario.resolve_members(["sidecars:1", "endpoints:2-3", "discovery"], found)
    assert both == {"sidecars": {1}, "endpoints": {2, 3}, "discovery": {0}}


@pytest.mark.parametrize("path", sorted((ROOT / "examples/scenarios").glob("*.toml")), ids=lambda p: p.stem)
def test_the_examples_are_good(path: Path) -> None:
    assert scenario.load_scenario(path).name == path.stem


def test_a_configuration_is_checked(tmp_path: Path) -> None:
    good = CliRunner().invoke(main, ["config", "check", str(ROOT / "examples/config.json")])
    assert good.exit_code == 0 and "good" in good.output
    bad = tmp_path / "c.json"
    bad.write_text((ROOT / "examples/config.json").read_text().replace('"1f"', '"xyz"'))
    result = CliRunner().invoke(main, ["config", "check", str(bad)])
    assert result.exit_code == 2 and "seed: 'xyz'" in result.output
