"""Writes the tables and the chart of change propagation from the result files of the runs.

python -m larkcrank.lab.scale.way_report --runs docs/scale/runs --out docs/scale
"""

import argparse
import json
import sys
from pathlib import Path
from typing import Any

from larkcrank.lab.scale.slopes import RUNS_FOLDER

LABEL_BY_KIND = {
    "tiers": "tiers, hollow sidecars",
    "light-tiers": "tiers, light receivers",
    "old": "one discovery, hollow sidecars that hold every endpoint",
    "light-old": "one discovery, light receivers",
    "whole": "one discovery of 12,000 lines, hollow sidecars",
}
TABLES_BEGIN, TABLES_END = "<!-- tables: made by way_report -->", "<!-- end of the tables -->"


def read_runs(runs_folder: Path) -> list[dict[str, Any]]:
    """Reads the results of the runs with real processes, sorted by kind and number of sidecars."""
    kind_order = list(LABEL_BY_KIND)
    runs = [json.loads(path.read_text()) for path in runs_folder.glob("way-*.json")]
    runs = [run for run in runs if run.get("kind") in LABEL_BY_KIND]
    return sorted(runs, key=lambda run: (kind_order.index(run["kind"]), run["sidecars"]))


def read_virtual_runs(runs_folder: Path) -> list[dict[str, Any]]:
    """Reads the results of the runs in virtual time, sorted by number of sidecars."""
    return sorted(
        (json.loads(path.read_text()) for path in runs_folder.glob("way-virtual-*.json")),
        key=lambda run: run["size"],
    )


def _markdown_table(column_names: list[str], rows: list[list[Any]]) -> str:
    lines = ["| " + " | ".join(column_names) + " |", "|" + " --- |" * len(column_names)]
    lines += ["| " + " | ".join(map(str, row)) + " |" for row in rows]
    return "\n".join(lines) + "\n"


def propagation_table(runs: list[dict[str, Any]]) -> str:
    """Returns a table of the delivery times of each phase."""
    rows = []
    for run in runs:
        for phase in run["phases"]:
            if phase["told"]:
                rows.append(
                    [
                        LABEL_BY_KIND[run["kind"]],
                        f"{run['sidecars']:,}",
                        f"{run['lines_a_sidecar']:,.0f}" if run["kind"] != "light-old" else "none",
                        phase["what"],
                        f"{phase['told']:,}",
                        phase["missed"],
                        f"{phase['median_s']:.3f}",
                        f"{phase['p99_s']:.3f}",
                        f"{phase['last_s']:.3f}",
                        f"{100 * phase['machine']['others_share']:.0f}%",
                    ]
                )
    column_names = [
        "way",
        "sidecars",
        "lines held",
        "load",
        "deliveries (changes times affected sidecars)",
        "not delivered",
        "median s",
        "p99 s",
        "last s",
        "processor time of other processes",
    ]
    return _markdown_table(column_names, rows)


def sidecar_table(runs: list[dict[str, Any]]) -> str:
    """Returns a table of the average usage of a sidecar in each phase."""
    rows = []
    for run in runs:
        if "light" in run["kind"]:
            continue
        for phase in run["phases"]:
            sidecar_usage = phase["sidecar"]
            rows.append(
                [
                    LABEL_BY_KIND[run["kind"]],
                    f"{run['sidecars']:,}",
                    phase["what"],
                    f"{100 * sidecar_usage['core']:.3f}%",
                    f"{sidecar_usage['mib']:.2f}",
                    f"{sidecar_usage['bytes_in_per_s'] + sidecar_usage['bytes_out_per_s']:.1f}",
                    f"{sidecar_usage['calls_per_s']:.4f}",
                ]
            )
    column_names = ["way", "sidecars", "load", "share of a core", "MiB in its host", "bytes/s", "calls/s"]
    return _markdown_table(column_names, rows)


def _format_highest(process_usages: list[dict[str, float]], usage_key: str, divisor: int) -> str:
    """Formats the highest value in the given unit, or a dash if the run did not record it."""
    values = [usage[usage_key] for usage in process_usages if usage_key in usage]
    return f"{max(values) / divisor:.1f}" if values else "-"


def process_table(runs: list[dict[str, Any]]) -> str:
    """Returns a table of the highest usage among the tier or discovery processes of a kind, in each phase."""
    rows = []
    for run in runs:
        if run["kind"] == "light-tiers":
            continue  # the tier processes are the same as in the runs with hollow sidecars
        for phase in run["phases"]:
            usages_by_process_kind: dict[str, list[dict[str, float]]] = {}
            for name, usage in phase["tiers"].items():
                usages_by_process_kind.setdefault(name.partition("-")[0], []).append(usage)
            for process_kind, usages in usages_by_process_kind.items():
                rows.append(
                    [
                        f"{run['kind']} {run['sidecars']:,}",
                        phase["what"],
                        f"{process_kind} ({len(usages)})",
                        f"{100 * max(usage['core'] for usage in usages):.1f}%",
                        f"{max(usage['mib'] for usage in usages):.0f}",
                        _format_highest(usages, "bytes_out_per_s", 1024),
                        _format_highest(usages, "bytes_in_per_s", 1024),
                        _format_highest(usages, "calls_per_s", 1),
                    ]
                )
    column_names = ["run", "load", "process", "share of a core", "MiB", "KiB/s out", "KiB/s in", "calls/s"]
    return _markdown_table(column_names, rows)


def virtual_time_table(runs: list[dict[str, Any]]) -> str:
    """Returns a table of the results of the runs in virtual time."""
    rows = []
    for run in runs:
        for case_name, results in run["cases"].items():
            latency_columns = [
                f"{results.get(key, '')}" for key in ("told", "missed", "median_s", "p99_s", "last_s")
            ]
            other_results = {
                key: value
                for key, value in results.items()
                if key not in ("told", "missed", "median_s", "p99_s", "last_s", "bytes_out", "processor_s")
            }
            other_text = "; ".join(f"{key.replace('_', ' ')} {value}" for key, value in other_results.items())
            rows.append([f"{run['size']:,}", case_name, *latency_columns, other_text])
    return _markdown_table(
        ["sidecars", "case", "delivered", "not delivered", "median s", "p99 s", "last s", "also"],
        rows,
    )


def draw_chart(runs: list[dict[str, Any]], path: Path) -> None:
    """Plots the median and the last delivery against the number of sidecars, for each kind of run."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(1, 2, figsize=(11, 4.2), sharey=True)
    for axis, phase_name in zip(axes, ("lone change", "zone lost"), strict=True):
        for kind, label in LABEL_BY_KIND.items():
            points = [
                (run["sidecars"], phase["median_s"], phase["last_s"])
                for run in runs
                if run["kind"] == kind
                for phase in run["phases"]
                if phase["what"].startswith(phase_name) and phase["told"]
            ]
            if points:
                sizes, median_times, last_times = zip(*points, strict=True)
                [last_line] = axis.plot(sizes, last_times, "o-", label=label)
                axis.plot(sizes, median_times, "_", color=last_line.get_color(), markersize=12)
        axis.axhline(3.0, color="grey", linestyle=":")
        axis.set(xscale="log", yscale="log", title=phase_name, xlabel="sidecars")
        axis.grid(True, which="both", alpha=0.2)
    axes[0].set_ylabel("seconds until in force (line: last sidecar, dash: median)")
    axes[1].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    plt.close(figure)


def main() -> int:
    parser = argparse.ArgumentParser(description="write tables and a chart of change propagation")
    parser.add_argument("--runs", type=Path, default=RUNS_FOLDER)
    parser.add_argument("--out", type=Path, default=RUNS_FOLDER.parent)
    arguments = parser.parse_args()
    runs = read_runs(arguments.runs)
    tables = [
        "## Time until in force\n",
        propagation_table(runs),
        "## A sidecar's cost\n",
        sidecar_table(runs),
        "## Tier and discovery processes\n\nThe highest value among the processes of a kind.\n",
        process_table(runs),
        "## In virtual time\n",
        virtual_time_table(read_virtual_runs(arguments.runs)),
    ]
    page_path = arguments.out / "way.md"
    text = page_path.read_text() if page_path.exists() else f"{TABLES_BEGIN}\n{TABLES_END}\n"
    text_before, _, old_tables_and_rest = text.partition(TABLES_BEGIN)
    text_after = old_tables_and_rest.partition(TABLES_END)[2]
    page_path.write_text(
        f"{text_before}{TABLES_BEGIN}\n\n" + "\n".join(tables) + f"\n{TABLES_END}{text_after}"
    )
    draw_chart(runs, arguments.out / "way.png")
    return 0


if __name__ == "__main__":
    sys.exit(main())
