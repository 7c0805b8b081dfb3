"""One run: a series measured, its slopes fitted, and all of it written down."""

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
    """What stands in docs/scale/runs/: the raw points, and under what they were measured."""

    series: dict[str, Any]
    command: str
    date: str
    commit: str  # of the text; `+` where files differed from it
    processors: int  # that the run was let use
    memory_mib: float  # of the machine
    descriptors: int  # that a process might hold
    took_s: float
    own_cpu_s: float  # of the run's own processes
    machine: dict[str, Any]  # what others did meanwhile
    hollow: dict[str, dict[int, list[float]]]  # by cost, by size: one figure for each repeat
    real: dict[str, dict[int, list[float]]]


def run_series(series: Series, file: Path, out: Path, say: ProgressCallback) -> dict[str, slopes.Slope]:
    """Measure, fit, and write `out`/runs/NAME.json and a file for each slope under `out`/slopes/."""
    began, load, own = time.monotonic(), machine.LoadMeter(), time.process_time()
    measured = asyncio.run(measure_series(series, say))
    spent = measured.cpu_s + time.process_time() - own
    looked = machine.available_resources()
    found = SeriesRun(
        series=msgspec.to_builtins(series),
        command=f"python -m larkcrank scale run {file}",
        date=datetime.now(UTC).isoformat(timespec="seconds"),
        commit=machine.source_commit(),
        processors=looked.processors,
        memory_mib=round(psutil.virtual_memory().total / machine.MIB),
        descriptors=looked.descriptors,
        took_s=round(time.monotonic() - began, 1),
        own_cpu_s=round(spent, 1),
        machine=load.summary(spent),
        hollow=measured.hollow,
        real=measured.real,
    )
    path = out / "runs" / f"{series.name}.json"
    slopes.write_json(path, found)
    fitted = fit_slopes(series, found, str(path))
    for name, one in fitted.items():
        slopes.write_slope(name, one, out / "slopes")
    return fitted


def fit_slopes(series: Series, found: SeriesRun, path: str) -> dict[str, slopes.Slope]:
    """The slopes of a run by name. A cost with too few sizes is in the run's file only."""
    fitted = {}
    hows: tuple[tuple[SidecarKind, str, dict[str, dict[int, list[float]]]], ...] = (
        ("hollow", "", found.hollow),
        ("real", "-real", found.real),
    )
    for how, suffix, points in hows:
        for slug, by_size in points.items():
            if len(by_size) < MIN_SIZES or any(len(one) < MIN_REPEATS for one in by_size.values()):
                continue
            cost = COST_METRICS[slug]
            beside = real_process_difference(found, slug) if how == "hollow" else ""
            label = f"-{series.label}" if series.label else ""
            fitted[f"{slug}-by-{series.by}{label}{suffix}"] = slopes.fit_slope(
                [(float(size), costs) for size, costs in sorted(by_size.items())],
                title=f"{cost.description} by {SIZE_LABELS[series.by]}",
                role=cost.role,
                cost=cost.description,
                unit=cost.unit,
                by=SIZE_LABELS[series.by],
                how=how,
                command=found.command,
                run=path,
                note="; ".join(filter(None, (COST_NOTES.get((slug, how), ""), beside))),
            )
    return fitted


def real_process_difference(found: SeriesRun, slug: str) -> str:
    """What real processes had more than hollow sidecars, at the sizes that both did."""
    hollow, real = found.hollow.get(slug, {}), found.real.get(slug, {})
    sizes = sorted(hollow.keys() & real.keys())
    if not sizes:
        return ""
    more = (f"{mean_at(real, size) - mean_at(hollow, size):+.4g} at {size}" for size in sizes)
    return f"real processes beside it, {COST_METRICS[slug].unit}: {', '.join(more)}"


def mean_at(points: Mapping[int, list[float]], size: int) -> float:
    return sum(points[size]) / len(points[size])


def markdown_table(fitted: Mapping[str, slopes.Slope]) -> str:
    """Markdown: a line a slope. Of what is not linear the curve's points are told."""
    rows = [
        "| series | how | means by size | slope for 1,000 more, 95% interval | at none | residual | shape |"
    ]
    rows.append("| --- | --- | --- | --- | --- | --- | --- |")
    for name, one in fitted.items():
        points = ", ".join(f"{size:g}: {sum(costs) / len(costs):.4g}" for size, costs in one.points)
        slope = f"{one.slope * 1000:.4g} ({one.low * 1000:.4g} to {one.high * 1000:.4g})"
        slope = slope if one.linear else f"not linear, go by the points; {slope}"
        ends = f"{one.intercept:.4g} | {one.residual:.3g} | {one.shape}"
        rows.append(f"| {name} | {one.how} | {points} {one.unit} | {slope} | {ends} |")
    return "\n".join(rows) + "\n"


def draw_charts(fitted: Mapping[str, slopes.Slope], path: Path) -> None:
    """All slopes of a run in one small picture: points, and the line where it is one."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    columns = 3
    rows = -(-len(fitted) // columns)
    figure, axes = pyplot.subplots(rows, columns, figsize=(4.2 * columns, 2.7 * rows), squeeze=False)
    for axis in axes.flat[len(fitted) :]:
        axis.axis("off")
    for axis, (name, one) in zip(axes.flat, fitted.items(), strict=False):
        for size, costs in one.points:
            axis.plot([size] * len(costs), costs, ".", color="tab:blue", markersize=4)
        ends = [one.points[0][0], one.points[-1][0]]
        style = "-" if one.linear else ":"
        axis.plot(ends, [one.intercept + one.slope * size for size in ends], style, color="tab:orange")
        axis.set_title(f"{name}{'' if one.linear else ' (not linear)'}", fontsize=7)
        axis.set_ylabel(one.unit, fontsize=7)
        axis.tick_params(labelsize=6)
        axis.set_ylim(bottom=min(0.0, *(cost for _, costs in one.points for cost in costs)))
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=70)
    pyplot.close(figure)
