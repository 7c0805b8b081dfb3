"""The plan: its arithmetic on planted slopes, what it says of missing ones; the page is its output."""

import math
import re
from pathlib import Path
from random import Random

import numpy
import pytest
from click.testing import CliRunner
from scipy import stats

from larkcrank.command.main import main
from larkcrank.fleet.records import Standing
from larkcrank.lab.scale import path as paths
from larkcrank.lab.scale import plan as plans
from larkcrank.lab.scale import slopes, view
from larkcrank.lab.scale.path import Asked
from larkcrank.lab.scale.stamped import QUEUED, STAGES
from tests import bed as b

PAGE = Path("docs/CAPACITY.md")
BEGIN, END = "<!-- plan begins -->\n", "<!-- plan ends -->\n"
SIZES = (100.0, 1000.0, 4000.0, 8000.0)


def planted(slope: float, none: float = 0.0, noise: float = 0.0, by: str = "size") -> slopes.Slope:
    rng = Random(1)
    xs = [math.log10(size) for size in SIZES] if by.startswith("log10") else SIZES
    points = [(x, [none + slope * x + rng.uniform(-noise, noise) for _ in range(3)]) for x in xs]
    return slopes.made(
        points, title="", role="view", cost="", unit="", by=by, how="virtual", command="c", run="r"
    )


def curved() -> slopes.Slope:
    points = [(size, [size**2 / 1000 + more for more in (-1.0, 0.0, 1.0)]) for size in SIZES]
    found = slopes.made(
        points, title="", role="view", cost="", unit="", by="size", how="virtual", command="c", run="r"
    )
    assert not found.linear
    return found


def numbers() -> plans.Numbers:
    return plans.load(plans.NUMBERS)


def row(plan: plans.Plan, day: str, role: str, way: str, what: str) -> plans.Row:
    found = [one for one in plan.rows if (one.day, one.role, one.way, one.what) == (day, role, way, what)]
    assert len(found) == 1, found
    return found[0]


def test_the_page_shows_what_the_plan_prints() -> None:
    page = PAGE.read_text()
    assert page.count(BEGIN) == page.count(END) == 1
    shown = page.partition(BEGIN)[2].partition(END)[0]
    assert shown == plans.markdown(plans.Plan(numbers(), slopes.read()))
    printed = CliRunner().invoke(main, ["scale", "plan", "--markdown"])
    assert printed.exit_code == 0 and printed.output == shown


def redone(formula: str) -> float:
    """A formula's text, reckoned by somebody who has nothing else."""
    text = re.sub(r"(?<=\d),(?=\d{3})", "", formula).replace(" x ", " * ")
    text = re.sub(r"log(2|10) (\d+(?:\.\d+)?)", r"math.log\1(\2)", text)
    assert re.fullmatch(r"[\d.\s()*/+-]*(?:math\.log(?:2|10)\([\d.]+\)[\d.\s()*/+-]*)*", text), formula
    return float(eval(text, {"math": math, "__builtins__": {}}))  # digits and signs, see above


def test_every_figure_on_the_page_can_be_redone_by_hand() -> None:
    plan, checked = plans.Plan(numbers(), slopes.read()), 0
    for one in plan.rows:
        if one.figure.value is not None:
            ends = abs(one.figure.high - one.figure.low)
            assert redone(one.figure.formula) == pytest.approx(one.figure.value, rel=0.01, abs=ends / 10)
            checked += 1
    assert checked > 20  # those of the operators' numbers alone are some ten


def test_old_way_and_tiers_by_hand() -> None:
    plan = plans.Plan(
        numbers(),
        {
            "sidecar-change-cpu-by-endpoints": planted(0.001, 0.5),
            "sidecar-idle-by-endpoints": planted(0.0002, 1.0),
            "sidecar-memory-by-endpoints": planted(0.0015, 30.0),
            "discovery-cpu-by-watchers": planted(0.02, 2.0),
        },
    )
    zone = row(plan, plans.ZONE, plans.CONTROL, plans.ONE, "told line by line")
    assert zone.figure.value == pytest.approx(364 * (0.5 + 0.001 * 12000) / 1000)
    assert zone.verdict == "**short by 1.55 s**"
    part = row(plan, plans.ZONE, plans.CONTROL, plans.TIERS, "told line by line")
    assert part.figure.value == pytest.approx(364 * 279 / 12000 * (0.5 + 0.001 * 279) / 1000)
    assert part.verdict == "holds"
    told = row(plan, plans.ZONE, plans.BETWEEN, plans.ONE, "told line by line")
    assert told.figure.value == pytest.approx(364 * (2.0 + 0.02 * 12000) / 1000)
    idle = row(plan, plans.ORDINARY, plans.CONTROL, plans.ONE, "idle, and changes")
    assert idle.figure.value == pytest.approx(1.0 + 2.4 + 12.5 * 52000 / 86400 / 10)
    memory = row(plan, plans.ORDINARY, plans.CONTROL, plans.ONE, "what the list adds")
    assert memory.figure.value == pytest.approx(0.0015 * 12000)
    calls = row(plan, plans.ORDINARY, plans.BETWEEN, plans.ONE, "calls")
    assert calls.figure.value == pytest.approx(12000 * (52000 / 86400 + 1 / 60))
    assert calls.figure.low == calls.figure.high


def test_a_real_process_counts_before_a_hollow_sidecar() -> None:
    found = {
        "sidecar-memory-by-endpoints": planted(0.001),
        "sidecar-memory-by-endpoints-real": planted(0.002),
    }
    plan = plans.Plan(numbers(), found)
    memory = row(plan, plans.ORDINARY, plans.CONTROL, plans.ONE, "what the list adds")
    assert memory.figure.value == pytest.approx(24.0)
    assert memory.figure.series == ("sidecar-memory-by-endpoints-real",)


def test_a_missing_slope_is_not_known_and_is_named() -> None:
    plan = plans.Plan(numbers(), {})
    without = [one for one in plan.rows if one.figure.value is None]
    assert without and all(one.verdict == "not known" for one in without)
    assert all(("[" in one.figure.formula) is (one.figure.value is None) for one in plan.rows)
    known = [one for one in plan.rows if one.figure.value is not None]
    assert all(one.figure.low == one.figure.high for one in known)  # of the operators' numbers alone
    text = plans.markdown(plan)
    assert "Not measured, so not known: discovery-bytes-by-watchers, discovery-cpu-by-watchers" in text
    assert "nan" not in text and "inf" not in text


def test_one_missing_part_makes_the_sum_not_known() -> None:
    plan = plans.Plan(numbers(), {"sidecar-idle-by-endpoints": planted(0.0002, 1.0)})
    idle = row(plan, plans.ORDINARY, plans.CONTROL, plans.ONE, "idle, and changes")
    assert idle.figure.value is None and idle.verdict == "not known"
    assert "[sidecar-change-cpu-by-endpoints] at 12,000" in idle.figure.formula


def test_other_sizes_can_be_asked(tmp_path: Path) -> None:
    text = plans.NUMBERS.read_text().replace("endpoints = 12000", "endpoints = 24000")
    (tmp_path / "twice.toml").write_text(text)
    slopes.write("view-memory", planted(0.0006), tmp_path / "slopes")
    words = ["scale", "plan", "--numbers", str(tmp_path / "twice.toml"), "--slopes", str(tmp_path / "slopes")]
    printed = CliRunner().invoke(main, words)
    assert printed.exit_code == 0
    assert "0 + 0.0006 x 24,000 | 14.4 MiB †" in printed.output


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ("zones = 33", "zones = 0", "fleet.zones"),
        ("zones = 33", "zonse = 33", "zonse"),
        ("changes = 52000", "changes = nan", "changes"),
        ("[day]", "[dya]", "dya"),
    ],
)
def test_faulty_numbers_are_named(tmp_path: Path, old: str, new: str, named: str) -> None:
    path = tmp_path / "numbers.toml"
    path.write_text(plans.NUMBERS.read_text().replace(old, new, 1))
    refused = CliRunner().invoke(main, ["scale", "plan", "--numbers", str(path)])
    assert refused.exit_code == 2 and named in refused.output and str(path) in refused.output


def test_a_faulty_slope_is_named(tmp_path: Path) -> None:
    (tmp_path / "view-memory.json").write_text("{}")
    refused = CliRunner().invoke(main, ["scale", "plan", "--slopes", str(tmp_path)])
    assert refused.exit_code == 2 and "view-memory.json" in refused.output


def test_interval_is_the_textbooks() -> None:
    found = planted(0.01, 5.0, noise=3.0)
    figure = plans.Series({"a": found}).at("a", 12000)
    xs = numpy.array([x for x, costs in found.points for _ in costs])
    ys = numpy.array([y for _, costs in found.points for y in costs])
    matrix = numpy.column_stack([numpy.ones_like(xs), xs])
    rest = ys - matrix @ numpy.linalg.lstsq(matrix, ys, rcond=None)[0]
    at = numpy.array([1.0, 12000.0])
    variance = rest @ rest / 10 * at @ numpy.linalg.inv(matrix.T @ matrix) @ at
    half = stats.t.ppf(0.975, 10) * math.sqrt(variance)
    assert figure.value is not None
    assert figure.high - figure.value == pytest.approx(half, rel=1e-6)
    assert figure.value - figure.low == pytest.approx(half, rel=1e-6)
    assert figure.is_beyond and not plans.Series({"a": found}).at("a", 8000).is_beyond


def test_a_curve_is_read_off_its_points_and_ends_with_them() -> None:
    series = plans.Series({"a": curved()})
    assert series.at("a", 4000).value == pytest.approx(16000.0)
    between = series.at("a", 6000)
    assert between.value == pytest.approx((16000 + 64000) / 2) and between.is_read_off
    assert (between.low, between.high) == (15999.0, 64001.0)
    assert series.at("a", 12000).value is None
    assert "a at 12,000" in series.missing
    assert series.growth("a", 4000).value == pytest.approx(16000.0 - 10.0)


def test_settling_goes_by_the_logarithm() -> None:
    found = planted(10.0, 1.0, by="log10 of members")
    figure = plans.Series({"a": found}).at("a", 10000)
    assert figure.value == pytest.approx(41.0)
    assert figure.formula == "1 + 10 x log10 10,000"


@pytest.mark.parametrize(
    ("low", "value", "high", "said"),
    [
        (1.0, 2.0, 3.0, "holds"),
        (4.0, 5.0, 6.0, "**short by 2 s**"),
        (2.0, 3.5, 4.0, "not known: the interval holds the budget"),
    ],
)
def test_verdicts(low: float, value: float, high: float, said: str) -> None:
    figure = plans.Figure(value, low, high, "")
    assert plans.Row("", "", "", "time", "", figure, "s", 3.0).verdict == said
    assert plans.Row("", "", "", "time", "", figure, "s").verdict == "no budget"


@pytest.mark.parametrize(
    ("value", "text"),
    [(0.0, "0"), (12000.0, "12,000"), (0.00012345, "0.0001234"), (-3.5, "-3.5"), (1e9, "1,000,000,000")],
)
def test_numbers_are_shown_by_four_digits(value: float, text: str) -> None:
    assert plans.shown(value) == text


# The view's plays


def test_a_settled_world_has_nothing_to_tell() -> None:
    world = view.ConvergedFleetSimulation(30, 1)
    assert world.is_settled()
    world.run(5000.0)
    assert world.is_settled() and not world.deaths and not world.log_lines
    assert world.sent <= 30 * 2 * 6  # one probe a period, and its answer


def test_a_loss_ends_with_every_view_true_and_repeats_by_its_seed() -> None:
    case = view.Case("lose", 30, 4.0, 2)
    found = view.run_case(case)
    assert math.isfinite(found["settled_s"]) and found["wrong"] == 0.0
    assert found["datagrams"] > 0.0
    assert view.run_case(case) == found


def test_one_member_holds_those_silent_for_dead_and_no_others() -> None:
    one = view.SingleMemberSimulation(1000, 1)
    one.run(5000.0)
    assert len(one.member.live_members) == 1000
    one.silence_peers(30)
    one.run(60_000.0)
    dead = {name for name, record in one.member.members.items() if record.standing is Standing.DEAD}
    assert dead == one._silent_names and len(dead) == 30


def test_every_series_of_the_view_can_be_fitted(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each has the sizes that a fit needs, and its plays give the figure that it takes."""
    for name in (
        "TRAFFIC_MEASUREMENT_MS",
        "PARTITION_MS",
        "IDLE_MEASUREMENT_MS",
        "SINGLE_MEMBER_MEASUREMENT_MS",
    ):
        monkeypatch.setattr(view, name, 3000.0)
    figures = {kind: view.run_case(view.Case(kind, 20, 1.0, 1)) for kind in view.SIMULATIONS_BY_KIND}
    for plan in view.series_plans():
        assert len({x for x, _, _ in plan.points}) >= 4, plan.name
        assert plan.result_key in view.COST_AND_UNIT_BY_RESULT_KEY and plan.result_key in figures[plan.kind]


def test_parts_of_a_smaller_fleet() -> None:
    assert [view.scaled_group_size(size, 364) for size in (100, 400, 12000)] == [3, 12, 364]
    assert view.scaled_group_size(10, 1) == 1


# The data path's measurement


def stamps(offset: float, queued: float) -> dict[str, tuple[float, float]]:
    """A call whose stages follow each other by 1 ms, a tenth of it the sidecar's own."""
    found = {
        stage: (offset + 0.001 * number, 0.0001 * number) for number, stage in enumerate(STAGES, start=1)
    }
    return found | {QUEUED: (queued, 0.0)}


def call(number: str, offset: float) -> Asked:
    """Sent 1 ms before it is read; at the endpoint 1 ms after it left, and back 1 ms after its answer did."""
    return Asked(number, False, offset, offset + 0.006, offset + 0.0065, offset + 0.010)


def test_stages_add_up_to_the_whole() -> None:
    calls = [call("s1", 10.0), call("s2", 11.0)]
    found = paths.stages_of(calls, {"s1": stamps(10.0, 0.0), "s2": stamps(11.0, 0.0)})
    assert set(found) == set(paths.STAGE_WORDS)
    assert sum(stage.median for stage in found.values()) == pytest.approx(1000 * calls[0].added_s)
    assert found["decided"].median == pytest.approx(1.0)
    assert found["decided"].processor == pytest.approx(0.1)


def test_a_call_without_all_its_stages_is_left_out() -> None:
    half = {"read": (11.001, 0.0)}
    found = paths.stages_of([call("s1", 10.0), call("s2", 11.0)], {"s1": stamps(10.0, 0.0), "s2": half})
    assert found["read"].p99 == pytest.approx(1.0)


def test_undisturbed_calls_are_those_without_a_wait_for_the_processor() -> None:
    calls = [call(f"s{number}", 10.0 + number) for number in range(4)]
    queued = [0.0, 0.0, 0.002, 0.002]  # in all, at each one's end: the third had to wait
    all_stamps = {f"s{number}": stamps(10.0 + number, queued[number]) for number in range(4)}
    found = [one.number for one in paths.quiet_of(calls, all_stamps)]
    assert found == ["s1", "s3"]  # of the first nothing is known before it


def test_calls_in_a_row_add_up() -> None:
    rng = numpy.random.default_rng(1)
    assert paths.in_a_row([1.5, 1.5], 0.5, 7, rng) == pytest.approx((7.0, 7.0))
    one = paths.in_a_row([0.0] * 99 + [10.0], 0.0, 1, rng)
    seven = paths.in_a_row([0.0] * 99 + [10.0], 0.0, 7, rng)
    assert one[0] == seven[0] == 0.0 and seven[1] == 10.0  # one in fifteen has a slow call among seven


def test_alarms_come_in_order() -> None:
    async def ring() -> None:
        import asyncio
        import time

        from larkcrank.lab.scale.alarm import Alarm

        alarm, heard, done = Alarm(), list[tuple[int, float]](), asyncio.Event()
        now = time.monotonic()
        for number, after in ((2, 0.02), (0, -1.0), (3, 0.03), (1, 0.01)):
            alarm.at(now + after, lambda number=number: heard.append((number, time.monotonic())))  # type: ignore[misc]
        alarm.at(now + 0.04, done.set)
        await done.wait()
        alarm.close()
        assert [number for number, _ in heard] == [0, 1, 2, 3]
        assert all(at >= now + 0.01 * number for number, at in heard)  # late on a busy machine, never early

    b.run(ring())


def test_a_real_sidecar_is_measured_by_stage(monkeypatch: pytest.MonkeyPatch) -> None:
    for name, value in (("LEAST_S", 0.5), ("LEAST_STAMPED", 10), ("WARM_S", 0.2), ("IDLE_S", 0.1)):
        monkeypatch.setattr(paths, name, value)
    run = paths.measure(30.0, 1, stamped=True)
    assert run.through.calls == len(run.added) > 0 and run.direct.calls > 0
    assert set(run.stages) == set(paths.STAGE_WORDS)
    assert all(stage.median >= 0.0 and stage.processor >= 0.0 for stage in run.stages.values())
    assert run.processor_ms > 0.0
