"""Runs a series: measures it, fits the slopes, and writes the results to files."""

import asyncio
import time
from collections.abc import Mapping
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import msgspec
import psutil

from larkcrank.lab.scale import machine, slopes
from larkcrank.lab.scale.fit import MIN_REPEATS, MIN_SIZES
from larkcrank.lab.scale.measure import COST_METRICS, ProgressCallback, SidecarKind, measure_series
from larkcrank.lab.scale.series import Series

SIZE_LABELS = {
    "endpoints": "endpoints listed",
    "services": "services called",
    "members": "members of the view",
    "watchers": "watchers",
}

SHARED_PROCESSORS_NOTE = (
    "all sidecars share this machine's processors, and wait for each other: in service each has its own"
)
COST_NOTES = {
    ("sidecar-memory", "hollow"): "beyond that of the empty process, which several share",
    ("sidecar-memory", "real"): "the whole process",
    ("sidecar-start-cpu", "real"): "from the interpreter's start",
    ("sidecar-start", "real"): "from the process's start until it is ready; its list comes after that",
    ("sidecar-start", "hollow"): "from its making until its first list is in force",
    ("sidecar-in-force", "hollow"): "several share a loop, and wait for each other",
    ("path-median", "hollow"): SHARED_PROCESSORS_NOTE,
    ("path-last", "hollow"): SHARED_PROCESSORS_NOTE,
    ("sidecar-change-cpu", "hollow"): "with the beat of 20 ms stilled",
    ("sidecar-change-cpu", "real"): "idle processor time taken off",
    ("sidecar-burst-cpu", "hollow"): "with the beat of 20 ms stilled",
    ("sidecar-burst-cpu", "real"): "idle processor time taken off",
}


class SeriesRun(msgspec.Struct, kw_only=True):
    """The content of a file in docs/scale/runs/: the raw points and the conditions of the measurement."""

    series: dict[str, Any]
    command: str
    date: str
    commit: str  # of the source; `+` if files differed from it
    processors: int  # available to the run
    memory_mib: float  # of the machine
    descriptors: int  # limit per process
    took_s: float
    own_cpu_s: float  # processor time of the run's own processes
    machine: dict[str, Any]  # its load by other processes meanwhile, see `LoadMeter.summary`
    hollow: dict[str, dict[int, list[float]]]  # by cost, then by size: one value for each repeat
    real: dict[str, dict[int, list[float]]]


def run_series(
    series: Series, series_file: Path, out_folder: Path, report_progress: ProgressCallback
) -> dict[str, slopes.Slope]:
    """Measures and fits a series, and returns the slopes by name.

    Writes `out_folder`/runs/NAME.json, and a file for each slope in `out_folder`/slopes/.
    """
    started, load_meter, own_cpu_at_start = time.monotonic(), machine.LoadMeter(), time.process_time()
    measured = asyncio.run(measure_series(series, report_progress))
    own_cpu_s = measured.cpu_s + time.process_time() - own_cpu_at_start
    limits = machine.available_resources()
    result = SeriesRun(
        series=msgspec.to_builtins(series),
        command=f"python -m larkcrank scale run {series_file}",
        date=datetime.now(UTC).isoformat(timespec="seconds"),
        commit=machine.source_commit(),
        processors=limits.processors,
        memory_mib=round(psutil.virtual_memory().total / machine.MIB),
        descriptors=limits.descriptors,
        took_s=round(time.monotonic() - started, 1),
        own_cpu_s=round(own_cpu_s, 1),
        machine=load_meter.summary(own_cpu_s),
        hollow=measured.hollow,
        real=measured.real,
    )
    path = out_folder / "runs" / f"{series.name}.json"
    slopes.write_json(path, result)
    fitted = fit_slopes(series, result, str(path))
    for name, slope in fitted.items():
        slopes.write_slope(name, slope, out_folder / "slopes")
    return fitted


def fit_slopes(series: Series, run: SeriesRun, run_file: str) -> dict[str, slopes.Slope]:
    """Fits the slopes of a run and returns them by name.

    A cost with too few sizes or repeats has no slope and stands in the run's file only.
    """
    fitted = {}
    kinds: tuple[tuple[SidecarKind, str, dict[str, dict[int, list[float]]]], ...] = (
        ("hollow", "", run.hollow),
        ("real", "-real", run.real),
    )
    for kind, suffix, points in kinds:
        for metric_name, costs_by_size in points.items():
            if len(costs_by_size) < MIN_SIZES or any(
                len(repeats) < MIN_REPEATS for repeats in costs_by_size.values()
            ):
                continue
            metric = COST_METRICS[metric_name]
            comparison = real_process_difference(run, metric_name) if kind == "hollow" else ""
            label = f"-{series.label}" if series.label else ""
            fitted[f"{metric_name}-by-{series.by}{label}{suffix}"] = slopes.fit_slope(
                [(float(size), costs) for size, costs in sorted(costs_by_size.items())],
                title=f"{metric.description} by {SIZE_LABELS[series.by]}",
                role=metric.role,
                cost=metric.description,
                unit=metric.unit,
                by=SIZE_LABELS[series.by],
                how=kind,
                command=run.command,
                run=run_file,
                note="; ".join(filter(None, (COST_NOTES.get((metric_name, kind), ""), comparison))),
            )
    return fitted


def real_process_difference(run: SeriesRun, metric_name: str) -> str:
    """Describes how much more real processes cost than hollow sidecars, at the sizes measured for both."""
    hollow, real = run.hollow.get(metric_name, {}), run.real.get(metric_name, {})
    sizes = sorted(hollow.keys() & real.keys())
    if not sizes:
        return ""
    differences = (f"{mean_at(real, size) - mean_at(hollow, size):+.4g} at {size}" for size in sizes)
    return f"real processes beside it, {COST_METRICS[metric_name].unit}: {', '.join(differences)}"


def mean_at(costs_by_size: Mapping[int, list[float]], size: int) -> float:
    return sum(costs_by_size[size]) / len(costs_by_size[size])


def markdown_table(fitted: Mapping[str, slopes.Slope]) -> str:
    """Returns a Markdown table with a row for each slope. A slope that is not linear is marked as such."""
    rows = [
        "| series | how | means by size | slope for 1,000 more, 95% interval | at none | residual | shape |"
    ]
    rows.append("| --- | --- | --- | --- | --- | --- | --- |")
    for name, slope in fitted.items():
        points_text = ", ".join(f"{size:g}: {sum(costs) / len(costs):.4g}" for size, costs in slope.points)
        slope_text = f"{slope.slope * 1000:.4g} ({slope.low * 1000:.4g} to {slope.high * 1000:.4g})"
        slope_text = slope_text if slope.linear else f"not linear, go by the points; {slope_text}"
        fit_text = f"{slope.intercept:.4g} | {slope.residual:.3g} | {slope.shape}"
        rows.append(f"| {name} | {slope.how} | {points_text} {slope.unit} | {slope_text} | {fit_text} |")
    return "\n".join(rows) + "\n"


def draw_charts(fitted: Mapping[str, slopes.Slope], path: Path) -> None:
    """Draws all slopes of a run into one image: the points, and the fitted line (dotted if not linear)."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    columns = 3
    rows = -(-len(fitted) // columns)
    figure, axes_grid = pyplot.subplots(rows, columns, figsize=(4.2 * columns, 2.7 * rows), squeeze=False)
    for axis in axes_grid.flat[len(fitted) :]:
        axis.axis("off")
    for axis, (name, slope) in zip(axes_grid.flat, fitted.items(), strict=False):
        for size, costs in slope.points:
            axis.plot([size] * len(costs), costs, ".", color="tab:blue", markersize=4)
        end_sizes = [slope.points[0][0], slope.points[-1][0]]
        style = "-" if slope.linear else ":"
        axis.plot(
            end_sizes, [slope.intercept + slope.slope * size for size in end_sizes], style, color="tab:orange"
        )
        axis.set_title(f"{name}{'' if slope.linear else ' (not linear)'}", fontsize=7)
        axis.set_ylabel(slope.unit, fontsize=7)
        axis.tick_params(labelsize=6)
        axis.set_ylim(bottom=min(0.0, *(cost for _, costs in slope.points for cost in costs)))
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=70)
    pyplot.close(figure)
