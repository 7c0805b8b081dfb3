"""Tests of the capacity plan, of the plays of the view, and of the measurement of the data path."""

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
from larkcrank.lab.scale import path as path_module
from larkcrank.lab.scale import plan as plan_module
from larkcrank.lab.scale import slopes, view
from larkcrank.lab.scale.path import TimedCall
from larkcrank.lab.scale.stamped import QUEUE_WAIT, STAGES
from tests import bed

PAGE = Path("docs/CAPACITY.md")
BEGIN, END = "<!-- plan begins -->\n", "<!-- plan ends -->\n"
SIZES = (100.0, 1000.0, 4000.0, 8000.0)


def linear_slope(slope: float, intercept: float = 0.0, noise: float = 0.0, by: str = "size") -> slopes.Slope:
    rng = Random(1)
    xs = [math.log10(size) for size in SIZES] if by.startswith("log10") else SIZES
    points = [(x, [intercept + slope * x + rng.uniform(-noise, noise) for _ in range(3)]) for x in xs]
    return slopes.fit_slope(
        points, title="", role="view", cost="", unit="", by=by, how="virtual", command="c", run="r"
    )


def quadratic_slope() -> slopes.Slope:
    points = [(size, [size**2 / 1000 + deviation for deviation in (-1.0, 0.0, 1.0)]) for size in SIZES]
    slope = slopes.fit_slope(
        points, title="", role="view", cost="", unit="", by="size", how="virtual", command="c", run="r"
    )
    assert not slope.linear
    return slope


def numbers() -> plan_module.OperatorNumbers:
    return plan_module.load_numbers(plan_module.NUMBERS_FILE)


def find_row(
    plan: plan_module.CapacityPlan, scenario: str, role: str, distribution: str, description: str
) -> plan_module.Row:
    matching_rows = [
        row
        for row in plan.rows
        if (row.scenario, row.role, row.distribution, row.description)
        == (scenario, role, distribution, description)
    ]
    assert len(matching_rows) == 1, matching_rows
    return matching_rows[0]


def test_page_contains_the_printed_plan() -> None:
    page = PAGE.read_text()
    assert page.count(BEGIN) == page.count(END) == 1
    printed_tables = page.partition(BEGIN)[2].partition(END)[0]
    assert printed_tables == plan_module.markdown(plan_module.CapacityPlan(numbers(), slopes.read_slopes()))
    result = CliRunner().invoke(main, ["scale", "plan", "--markdown"])
    assert result.exit_code == 0 and result.output == printed_tables


def evaluate_formula(formula: str) -> float:
    """Evaluates the text of a formula, without any other input."""
    expression = re.sub(r"(?<=\d),(?=\d{3})", "", formula).replace(" x ", " * ")
    expression = re.sub(r"log(2|10) (\d+(?:\.\d+)?)", r"math.log\1(\2)", expression)
    assert re.fullmatch(r"[\d.\s()*/+-]*(?:math\.log(?:2|10)\([\d.]+\)[\d.\s()*/+-]*)*", expression), formula
    return float(
        eval(expression, {"math": math, "__builtins__": {}})
    )  # only digits, operators and logarithms, see above


def test_every_formula_evaluates_to_its_figure() -> None:
    plan, checked_count = plan_module.CapacityPlan(numbers(), slopes.read_slopes()), 0
    for row in plan.rows:
        if row.figure.value is not None:
            interval_width = abs(row.figure.high - row.figure.low)
            assert evaluate_formula(row.figure.formula) == pytest.approx(
                row.figure.value, rel=0.01, abs=interval_width / 10
            )
            checked_count += 1
    assert checked_count > 20  # about ten figures depend on the operators' numbers only


def test_rows_for_one_discovery_and_tiers_match_manual_arithmetic() -> None:
    plan = plan_module.CapacityPlan(
        numbers(),
        {
            "sidecar-change-cpu-by-endpoints": linear_slope(0.001, 0.5),
            "sidecar-idle-by-endpoints": linear_slope(0.0002, 1.0),
            "sidecar-memory-by-endpoints": linear_slope(0.0015, 30.0),
            "discovery-cpu-by-watchers": linear_slope(0.02, 2.0),
        },
    )
    one_discovery_cpu = find_row(
        plan,
        plan_module.ZONE_LOST,
        plan_module.SIDECAR_CONTROL,
        plan_module.ONE_DISCOVERY,
        "told line by line",
    )
    assert one_discovery_cpu.figure.value == pytest.approx(364 * (0.5 + 0.001 * 12000) / 1000)
    assert one_discovery_cpu.verdict == "**short by 1.55 s**"
    tiers_cpu = find_row(
        plan, plan_module.ZONE_LOST, plan_module.SIDECAR_CONTROL, plan_module.TIERS, "told line by line"
    )
    assert tiers_cpu.figure.value == pytest.approx(364 * 279 / 12000 * (0.5 + 0.001 * 279) / 1000)
    assert tiers_cpu.verdict == "holds"
    discovery_cpu = find_row(
        plan,
        plan_module.ZONE_LOST,
        plan_module.DISCOVERY_SIDE,
        plan_module.ONE_DISCOVERY,
        "told line by line",
    )
    assert discovery_cpu.figure.value == pytest.approx(364 * (2.0 + 0.02 * 12000) / 1000)
    idle_and_changes = find_row(
        plan,
        plan_module.ORDINARY_DAY,
        plan_module.SIDECAR_CONTROL,
        plan_module.ONE_DISCOVERY,
        "idle, and changes",
    )
    assert idle_and_changes.figure.value == pytest.approx(1.0 + 2.4 + 12.5 * 52000 / 86400 / 10)
    memory = find_row(
        plan,
        plan_module.ORDINARY_DAY,
        plan_module.SIDECAR_CONTROL,
        plan_module.ONE_DISCOVERY,
        "what the list adds",
    )
    assert memory.figure.value == pytest.approx(0.0015 * 12000)
    calls = find_row(
        plan, plan_module.ORDINARY_DAY, plan_module.DISCOVERY_SIDE, plan_module.ONE_DISCOVERY, "calls"
    )
    assert calls.figure.value == pytest.approx(12000 * (52000 / 86400 + 1 / 60))
    assert calls.figure.low == calls.figure.high


def test_slope_of_real_processes_is_preferred() -> None:
    slopes_by_name = {
        "sidecar-memory-by-endpoints": linear_slope(0.001),
        "sidecar-memory-by-endpoints-real": linear_slope(0.002),
    }
    plan = plan_module.CapacityPlan(numbers(), slopes_by_name)
    memory = find_row(
        plan,
        plan_module.ORDINARY_DAY,
        plan_module.SIDECAR_CONTROL,
        plan_module.ONE_DISCOVERY,
        "what the list adds",
    )
    assert memory.figure.value == pytest.approx(24.0)
    assert memory.figure.series == ("sidecar-memory-by-endpoints-real",)


def test_missing_slope_makes_figures_not_known_and_is_named() -> None:
    plan = plan_module.CapacityPlan(numbers(), {})
    unknown_rows = [row for row in plan.rows if row.figure.value is None]
    assert unknown_rows and all(row.verdict == "not known" for row in unknown_rows)
    assert all(("[" in row.figure.formula) is (row.figure.value is None) for row in plan.rows)
    known_rows = [row for row in plan.rows if row.figure.value is not None]
    # The other figures depend on the operators' numbers only, and have no interval.
    assert all(row.figure.low == row.figure.high for row in known_rows)
    page = plan_module.markdown(plan)
    assert "Not measured, so not known: discovery-bytes-by-watchers, discovery-cpu-by-watchers" in page
    assert "nan" not in page and "inf" not in page


def test_missing_summand_makes_the_sum_not_known() -> None:
    plan = plan_module.CapacityPlan(numbers(), {"sidecar-idle-by-endpoints": linear_slope(0.0002, 1.0)})
    idle = find_row(
        plan,
        plan_module.ORDINARY_DAY,
        plan_module.SIDECAR_CONTROL,
        plan_module.ONE_DISCOVERY,
        "idle, and changes",
    )
    assert idle.figure.value is None and idle.verdict == "not known"
    assert "[sidecar-change-cpu-by-endpoints] at 12,000" in idle.figure.formula


def test_plan_accepts_other_numbers_and_slopes(tmp_path: Path) -> None:
    text = plan_module.NUMBERS_FILE.read_text().replace("endpoints = 12000", "endpoints = 24000")
    (tmp_path / "twice.toml").write_text(text)
    slopes.write_slope("view-memory", linear_slope(0.0006), tmp_path / "slopes")
    arguments = [
        "scale",
        "plan",
        "--numbers",
        str(tmp_path / "twice.toml"),
        "--slopes",
        str(tmp_path / "slopes"),
    ]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 0
    assert "0 + 0.0006 x 24,000 | 14.4 MiB †" in result.output


@pytest.mark.parametrize(
    ("valid_text", "invalid_text", "expected"),
    [
        ("zones = 33", "zones = 0", "fleet.zones"),
        ("zones = 33", "zonse = 33", "zonse"),
        ("changes = 52000", "changes = nan", "changes"),
        ("[day]", "[dya]", "dya"),
    ],
)
def test_invalid_numbers_are_named(tmp_path: Path, valid_text: str, invalid_text: str, expected: str) -> None:
    path = tmp_path / "numbers.toml"
    path.write_text(plan_module.NUMBERS_FILE.read_text().replace(valid_text, invalid_text, 1))
    result = CliRunner().invoke(main, ["scale", "plan", "--numbers", str(path)])
    assert result.exit_code == 2 and expected in result.output and str(path) in result.output


def test_invalid_slope_file_is_named(tmp_path: Path) -> None:
    (tmp_path / "view-memory.json").write_text("{}")
    result = CliRunner().invoke(main, ["scale", "plan", "--slopes", str(tmp_path)])
    assert result.exit_code == 2 and "view-memory.json" in result.output


def test_interval_matches_the_textbook_formula() -> None:
    slope = linear_slope(0.01, 5.0, noise=3.0)
    figure = plan_module.MeasuredSlopes({"a": slope}).cost_at("a", 12000)
    xs = numpy.array([x for x, costs in slope.points for _ in costs])
    ys = numpy.array([y for _, costs in slope.points for y in costs])
    matrix = numpy.column_stack([numpy.ones_like(xs), xs])
    residuals = ys - matrix @ numpy.linalg.lstsq(matrix, ys, rcond=None)[0]
    design_row = numpy.array([1.0, 12000.0])
    variance = residuals @ residuals / 10 * design_row @ numpy.linalg.inv(matrix.T @ matrix) @ design_row
    half_width = stats.t.ppf(0.975, 10) * math.sqrt(variance)
    assert figure.value is not None
    assert figure.high - figure.value == pytest.approx(half_width, rel=1e-6)
    assert figure.value - figure.low == pytest.approx(half_width, rel=1e-6)
    assert (
        figure.is_extrapolated
        and not plan_module.MeasuredSlopes({"a": slope}).cost_at("a", 8000).is_extrapolated
    )


def test_curve_is_interpolated_and_not_extrapolated() -> None:
    measured = plan_module.MeasuredSlopes({"a": quadratic_slope()})
    assert measured.cost_at("a", 4000).value == pytest.approx(16000.0)
    between = measured.cost_at("a", 6000)
    assert between.value == pytest.approx((16000 + 64000) / 2) and between.is_interpolated
    assert (between.low, between.high) == (15999.0, 64001.0)
    assert measured.cost_at("a", 12000).value is None
    assert "a at 12,000" in measured.missing
    assert measured.growth_over("a", 4000).value == pytest.approx(16000.0 - 10.0)


def test_logarithmic_slope_uses_the_logarithm_of_the_size() -> None:
    slope = linear_slope(10.0, 1.0, by="log10 of members")
    figure = plan_module.MeasuredSlopes({"a": slope}).cost_at("a", 10000)
    assert figure.value == pytest.approx(41.0)
    assert figure.formula == "1 + 10 x log10 10,000"


@pytest.mark.parametrize(
    ("low", "value", "high", "verdict"),
    [
        (1.0, 2.0, 3.0, "holds"),
        (4.0, 5.0, 6.0, "**short by 2 s**"),
        (2.0, 3.5, 4.0, "not known: the interval holds the budget"),
    ],
)
def test_verdict_compares_interval_with_budget(low: float, value: float, high: float, verdict: str) -> None:
    figure = plan_module.Figure(value, low, high, "")
    assert plan_module.Row("", "", "", "time", "", figure, "s", 3.0).verdict == verdict
    assert plan_module.Row("", "", "", "time", "", figure, "s").verdict == "no budget"


@pytest.mark.parametrize(
    ("value", "text"),
    [(0.0, "0"), (12000.0, "12,000"), (0.00012345, "0.0001234"), (-3.5, "-3.5"), (1e9, "1,000,000,000")],
)
def test_numbers_are_formatted_with_four_digits(value: float, text: str) -> None:
    assert plan_module.format_number(value) == text


# Simulations of the view


def test_settled_world_sends_only_probes() -> None:
    world = view.ConvergedFleetSimulation(30, 1)
    assert world.has_converged()
    world.run(5000.0)
    assert world.has_converged() and not world.deaths and not world.log_lines
    assert world.sent_datagrams <= 30 * 2 * 6  # one probe per period, and the response


def test_loss_ends_with_correct_views_and_is_reproducible() -> None:
    case = view.Case("lose", 30, 4.0, 2)
    result = view.run_case(case)
    assert math.isfinite(result["settled_s"]) and result["wrong"] == 0.0
    assert result["datagrams"] > 0.0
    assert view.run_case(case) == result


def test_lone_member_considers_exactly_the_silent_members_dead() -> None:
    lone_member = view.SingleMemberSimulation(1000, 1)
    lone_member.run(5000.0)
    assert len(lone_member.member.live_members) == 1000
    lone_member.silence_peers(30)
    lone_member.run(60_000.0)
    dead = {name for name, record in lone_member.member.members.items() if record.standing is Standing.DEAD}
    assert dead == lone_member._silent_names and len(dead) == 30


def test_every_view_series_can_be_fitted(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each series has enough sizes for a fit, and its simulations return the cost that it fits."""
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


def test_failure_size_scales_with_the_fleet() -> None:
    assert [view.scaled_group_size(size, 364) for size in (100, 400, 12000)] == [3, 12, 364]
    assert view.scaled_group_size(10, 1) == 1


# Measurement of the data path


def make_stamps(offset: float, queued: float) -> dict[str, tuple[float, float]]:
    """Returns stamps at intervals of 1 ms, a tenth of which is the sidecar's processor time."""
    stamps = {
        stage: (offset + 0.001 * position, 0.0001 * position)
        for position, stage in enumerate(STAGES, start=1)
    }
    return stamps | {QUEUE_WAIT: (queued, 0.0)}


def make_call(request_id: str, offset: float) -> TimedCall:
    """Returns a call that fits `make_stamps`.

    The sidecar reads it 1 ms after it is sent. The endpoint receives it 1 ms after `going`, and the client
    receives the response 1 ms after `replying`.
    """
    return TimedCall(request_id, False, offset, offset + 0.006, offset + 0.0065, offset + 0.010)


def test_stage_times_add_up_to_the_added_time() -> None:
    calls = [make_call("s1", 10.0), make_call("s2", 11.0)]
    stages = path_module.stage_times(calls, {"s1": make_stamps(10.0, 0.0), "s2": make_stamps(11.0, 0.0)})
    assert set(stages) == set(path_module.STAGE_DESCRIPTIONS)
    assert sum(stage.median for stage in stages.values()) == pytest.approx(1000 * calls[0].added_s)
    assert stages["decided"].median == pytest.approx(1.0)
    assert stages["decided"].processor == pytest.approx(0.1)


def test_call_without_all_stages_is_left_out() -> None:
    incomplete_stamps = {"read": (11.001, 0.0)}
    stages = path_module.stage_times(
        [make_call("s1", 10.0), make_call("s2", 11.0)],
        {"s1": make_stamps(10.0, 0.0), "s2": incomplete_stamps},
    )
    assert stages["read"].p99 == pytest.approx(1.0)


def test_undisturbed_calls_did_not_wait_for_the_processor() -> None:
    calls = [make_call(f"s{index}", 10.0 + index) for index in range(4)]
    queue_waits = [0.0, 0.0, 0.002, 0.002]  # totals at the end of each call; the third call had to wait
    all_stamps = {f"s{index}": make_stamps(10.0 + index, queue_waits[index]) for index in range(4)}
    undisturbed_ids = [
        timed_call.request_id for timed_call in path_module.undisturbed_calls(calls, all_stamps)
    ]
    assert undisturbed_ids == ["s1", "s3"]  # of the first, the total before it is not known


def test_times_of_calls_in_a_row_add_up() -> None:
    rng = numpy.random.default_rng(1)
    assert path_module.sample_chain([1.5, 1.5], 0.5, 7, rng) == pytest.approx((7.0, 7.0))
    single_call = path_module.sample_chain([0.0] * 99 + [10.0], 0.0, 1, rng)
    seven_calls = path_module.sample_chain([0.0] * 99 + [10.0], 0.0, 7, rng)
    # One chain of seven calls in fifteen has a slow call.
    assert single_call[0] == seven_calls[0] == 0.0 and seven_calls[1] == 10.0


def test_timer_callbacks_run_in_order_and_never_early() -> None:
    async def run_timer() -> None:
        import asyncio
        import time

        from larkcrank.lab.scale.alarm import PreciseTimer

        timer, runs, done = PreciseTimer(), list[tuple[int, float]](), asyncio.Event()
        now = time.monotonic()
        for number, delay_s in ((2, 0.02), (0, -1.0), (3, 0.03), (1, 0.01)):
            timer.call_at(now + delay_s, lambda number=number: runs.append((number, time.monotonic())))  # type: ignore[misc]
        timer.call_at(now + 0.04, done.set)
        await done.wait()
        timer.close()
        assert [number for number, _ in runs] == [0, 1, 2, 3]
        # They may be late on a busy machine, but never early.
        assert all(run_at >= now + 0.01 * number for number, run_at in runs)

    bed.run(run_timer())


def test_real_sidecar_is_measured_by_stage(monkeypatch: pytest.MonkeyPatch) -> None:
    for name, value in (("MIN_RUN_S", 0.5), ("MIN_STAMPED_CALLS", 10), ("WARM_UP_S", 0.2), ("IDLE_S", 0.1)):
        monkeypatch.setattr(path_module, name, value)
    run = path_module.measure_run(30.0, 1, stamped=True)
    assert run.through.calls == len(run.added) > 0 and run.direct.calls > 0
    assert set(run.stages) == set(path_module.STAGE_DESCRIPTIONS)
    assert all(stage.median >= 0.0 and stage.processor >= 0.0 for stage in run.stages.values())
    assert run.processor_ms > 0.0
