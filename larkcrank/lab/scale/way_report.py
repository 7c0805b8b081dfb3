"""Tables and the chart of the way of a change, from the runs' files.

python -m larkcrank.lab.scale.way_report --runs docs/scale/runs --out docs/scale
"""

import argparse
import json
import sys
from pathlib import Path
from typing import Any

from larkcrank.lab.scale.slopes import RUNS_FOLDER

KINDS = {
    "tiers": "tiers, hollow sidecars",
    "light-tiers": "tiers, light receivers",
    "old": "one discovery, hollow sidecars that hold every endpoint",
    "light-old": "one discovery, light receivers",
    "whole": "one discovery of 12,000 lines, hollow sidecars",
}
BEGIN, END = "<!-- tables: made by way_report -->", "<!-- end of the tables -->"


def read(runs: Path) -> list[dict[str, Any]]:
    """The runs with real processes, by kind and size."""
    order = list(KINDS)
    found = [json.loads(path.read_text()) for path in runs.glob("way-*.json")]
    found = [run for run in found if run.get("kind") in KINDS]
    return sorted(found, key=lambda run: (order.index(run["kind"]), run["sidecars"]))


def read_virtual(runs: Path) -> list[dict[str, Any]]:
    return sorted(
        (json.loads(path.read_text()) for path in runs.glob("way-virtual-*.json")),
        key=lambda run: run["size"],
    )


def _table(head: list[str], rows: list[list[Any]]) -> str:
    lines = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    lines += ["| " + " | ".join(map(str, row)) + " |" for row in rows]
    return "\n".join(lines) + "\n"


def times(runs: list[dict[str, Any]]) -> str:
    rows = []
    for run in runs:
        for phase in run["phases"]:
            if phase["told"]:
                rows.append(
                    [
                        KINDS[run["kind"]],
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
    head = [
        "way",
        "sidecars",
        "lines held",
        "load",
        "told (changes by sidecars concerned)",
        "not told",
        "median s",
        "p99 s",
        "last s",
        "processor time that others took",
    ]
    return _table(head, rows)


def sidecars(runs: list[dict[str, Any]]) -> str:
    rows = []
    for run in runs:
        if "light" in run["kind"]:
            continue
        for phase in run["phases"]:
            one = phase["sidecar"]
            rows.append(
                [
                    KINDS[run["kind"]],
                    f"{run['sidecars']:,}",
                    phase["what"],
                    f"{100 * one['core']:.3f}%",
                    f"{one['mib']:.2f}",
                    f"{one['bytes_in_per_s'] + one['bytes_out_per_s']:.1f}",
                    f"{one['calls_per_s']:.4f}",
                ]
            )
    head = ["way", "sidecars", "load", "of a core", "MiB in its host", "bytes a second", "calls a second"]
    return _table(head, rows)


def _most(ones: list[dict[str, float]], key: str, unit: int) -> str:
    """The highest; a dash where the run did not count it."""
    found = [one[key] for one in ones if key in one]
    return f"{max(found) / unit:.1f}" if found else "-"


def processes(runs: list[dict[str, Any]]) -> str:
    rows = []
    for run in runs:
        if run["kind"] == "light-tiers":
            continue  # the same processes as below hollow sidecars
        for phase in run["phases"]:
            by_kind: dict[str, list[dict[str, float]]] = {}
            for name, one in phase["tiers"].items():
                by_kind.setdefault(name.partition("-")[0], []).append(one)
            for kind, ones in by_kind.items():
                rows.append(
                    [
                        f"{run['kind']} {run['sidecars']:,}",
                        phase["what"],
                        f"{kind} ({len(ones)})",
                        f"{100 * max(one['core'] for one in ones):.1f}%",
                        f"{max(one['mib'] for one in ones):.0f}",
                        _most(ones, "bytes_out_per_s", 1024),
                        _most(ones, "bytes_in_per_s", 1024),
                        _most(ones, "calls_per_s", 1),
                    ]
                )
    head = ["run", "load", "process", "of a core", "MiB", "KiB/s out", "KiB/s in", "calls a second"]
    return _table(head, rows)


def virtual(runs: list[dict[str, Any]]) -> str:
    rows = []
    for run in runs:
        for what, case in run["cases"].items():
            timed = [f"{case.get(key, '')}" for key in ("told", "missed", "median_s", "p99_s", "last_s")]
            rest = {
                key: value
                for key, value in case.items()
                if key not in ("told", "missed", "median_s", "p99_s", "last_s", "bytes_out", "processor_s")
            }
            more = "; ".join(f"{key.replace('_', ' ')} {value}" for key, value in rest.items())
            rows.append([f"{run['size']:,}", what, *timed, more])
    return _table(["sidecars", "case", "told", "not told", "median s", "p99 s", "last s", "also"], rows)


def chart(runs: list[dict[str, Any]], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(1, 2, figsize=(11, 4.2), sharey=True)
    for axis, wanted in zip(axes, ("lone change", "zone lost"), strict=True):
        for kind, label in KINDS.items():
            points = [
                (run["sidecars"], phase["median_s"], phase["last_s"])
                for run in runs
                if run["kind"] == kind
                for phase in run["phases"]
                if phase["what"].startswith(wanted) and phase["told"]
            ]
            if points:
                sizes, medians, lasts = zip(*points, strict=True)
                [drawn] = axis.plot(sizes, lasts, "o-", label=label)
                axis.plot(sizes, medians, "_", color=drawn.get_color(), markersize=12)
        axis.axhline(3.0, color="grey", linestyle=":")
        axis.set(xscale="log", yscale="log", title=wanted, xlabel="sidecars")
        axis.grid(True, which="both", alpha=0.2)
    axes[0].set_ylabel("seconds until in force (line: the last, dash: median)")
    axes[1].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    plt.close(figure)


def main() -> int:
    parser = argparse.ArgumentParser(description="tables and chart of the way of a change")
    parser.add_argument("--runs", type=Path, default=RUNS_FOLDER)
    parser.add_argument("--out", type=Path, default=RUNS_FOLDER.parent)
    words = parser.parse_args()
    runs = read(words.runs)
    tables = [
        "## Time until in force\n",
        times(runs),
        "## A sidecar's cost\n",
        sidecars(runs),
        "## The processes of the way\n\nThe highest of those of a kind.\n",
        processes(runs),
        "## In virtual time\n",
        virtual(read_virtual(words.runs)),
    ]
    page = words.out / "way.md"
    text = page.read_text() if page.exists() else f"{BEGIN}\n{END}\n"
    before, _, rest = text.partition(BEGIN)
    after = rest.partition(END)[2]
    page.write_text(f"{before}{BEGIN}\n\n" + "\n".join(tables) + f"\n{END}{after}")
    chart(runs, words.out / "way.png")
    return 0


if __name__ == "__main__":
    sys.exit(main())
